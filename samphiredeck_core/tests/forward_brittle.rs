//! Requests that a brittle upstream turns away, over all nodes in the worst second, and the work that it still
//! gets. Simulated nodes always have requests to send.

use std::time::Duration;

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        brittle_pools::{BrittleStatement, RefusalLimit, SharedBrittle},
        upstream_slots::{NodeSlots, SlotDecision, SlotKeeper, divide_slots},
        upstreams::UpstreamRegistry,
    },
    ids::{NodeName, PoolName, UpstreamId},
};

const TICK_MS: u64 = 2;
/// Time for which an upstream that crashed is down.
const DOWN_MS: u64 = 3_000;
/// Time after which a node considers a query unanswered.
const QUERY_TIMEOUT_MS: u64 = 60;
/// Simulated time.
const TIME_MS: u64 = 20_000;

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(1_000_000 + millis)
}

fn pool() -> PoolName {
    "pool".parse().unwrap()
}

fn upstream() -> UpstreamId {
    "u0".parse().unwrap()
}

fn node_name(number: usize) -> NodeName {
    format!("n{number}").parse().unwrap()
}

fn statement(refusals: Option<u32>, sent_ms: u64, read_ms: u64) -> BrittleStatement {
    let refusals = refusals.map(RefusalLimit);
    BrittleStatement { refusals, sent_at: at(sent_ms), read_at: at(read_ms) }
}

/// Deterministic uniform numbers.
struct Numbers(u64);

impl Numbers {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

/// Message under way.
enum Message {
    Acquire { node: usize, held: u32 },
    Report { node: usize, held: u32, refused: bool },
    Decision { node: usize, granted: bool },
}

/// Node as one upstream sees it.
struct Node {
    slots: NodeSlots,
    in_flight: u32,
    /// Time at which it asked, while there is no answer.
    asked_at: Option<u64>,
}

/// One upstream and the nodes that send to it.
struct Simulation {
    nodes: usize,
    /// Requests that it tells it can run.
    slots: u32,
    /// Requests that it has room for.
    room: u32,
    /// Refusals in a second that it bears.
    refusals: usize,
    held_ms: u64,
    delay_ms: u64,
    /// One message in this many is lost. Zero for none.
    loss: u64,
    /// Interval at which a random node restarts, and the keeper after several of them. Zero for none.
    restart_ms: u64,
}

/// What the upstream has seen.
#[derive(Debug, Default)]
struct Seen {
    refused: usize,
    crashes: usize,
    served: u64,
}

impl Simulation {
    #[expect(clippy::too_many_lines, reason = "one step of the simulation")]
    fn run(&self, seed: u64) -> Seen {
        let mut numbers = Numbers(seed);
        let mut keeper = SlotKeeper::default();
        let mut result = Seen::default();
        let mut refused_at: Vec<u64> = Vec::new();
        let mut running: Vec<(usize, u64)> = Vec::new();
        let mut messages: Vec<(u64, Message)> = Vec::new();
        let mut down_until = 0;
        let node = || Node { slots: NodeSlots::new(true, 0), in_flight: 0, asked_at: None };
        let mut nodes: Vec<Node> = (0..self.nodes).map(|_| node()).collect();
        for now in (0..TIME_MS).step_by(usize::try_from(TICK_MS).unwrap()) {
            if self.restart_ms > 0 && now > 0 && now % self.restart_ms == 0 {
                let at = usize::try_from(numbers.below(self.nodes as u64)).unwrap();
                running.retain(|(of, _)| *of != at);
                nodes[at] = node();
                if now % (self.restart_ms * 4) == 0 {
                    keeper = SlotKeeper::default();
                }
            }
            let (ended, left): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|(_, until)| *until <= now);
            running = left;
            for (of, _) in ended {
                nodes[of].in_flight -= 1;
                result.served += 1;
            }
            let mut sent: Vec<Message> = Vec::new();
            let (due, later): (Vec<_>, Vec<_>) =
                messages.into_iter().partition(|(due, _)| *due <= now);
            messages = later;
            for (_, message) in due {
                match message {
                    Message::Acquire { node, held } => {
                        let name = node_name(node);
                        let kept = (&upstream(), self.slots);
                        let granted = keeper.acquire(&name, kept, held, at(now));
                        sent.push(Message::Decision { node, granted });
                    }
                    Message::Report { node, held, refused } => {
                        let kept = (&upstream(), self.slots);
                        keeper.record(&node_name(node), kept, (held, refused), at(now));
                    }
                    Message::Decision { node, granted } => {
                        if nodes[node].asked_at.take().is_some() {
                            nodes[node].slots.record_reply(Some(granted), 0, at(now));
                        }
                    }
                }
            }
            let mut crashed = false;
            for (number, node) in nodes.iter_mut().enumerate() {
                if let Some(held) = node.slots.take_due(node.in_flight, at(now)) {
                    sent.push(Message::Report { node: number, held, refused: false });
                }
                if node.asked_at.is_some_and(|asked| now - asked >= QUERY_TIMEOUT_MS) {
                    node.asked_at = None;
                    let position = u32::try_from(number).unwrap();
                    let all = u32::try_from(self.nodes).unwrap();
                    let share = divide_slots(&upstream(), self.slots, position, all);
                    node.slots.record_reply(None, share, at(now));
                }
                match node.slots.decide(node.in_flight, None, at(now)) {
                    SlotDecision::Ask if node.asked_at.is_none() => {
                        let held = node.slots.held();
                        node.slots.record_asked();
                        node.asked_at = Some(now);
                        sent.push(Message::Acquire { node: number, held });
                    }
                    SlotDecision::Ask | SlotDecision::Full => {}
                    SlotDecision::Free if now < down_until => {}
                    SlotDecision::Free if running.len() < self.room as usize => {
                        node.slots.record_sent();
                        node.in_flight += 1;
                        let held = self.held_ms / 2 + numbers.below(self.held_ms);
                        running.push((number, now + held));
                    }
                    SlotDecision::Free => {
                        result.refused += 1;
                        node.slots.record_refusal(at(now));
                        let held = node.slots.held();
                        sent.push(Message::Report { node: number, held, refused: true });
                        refused_at.retain(|at| now - at < 1_000);
                        refused_at.push(now);
                        if refused_at.len() > self.refusals {
                            result.crashes += 1;
                            down_until = now + DOWN_MS;
                            refused_at.clear();
                            crashed = true;
                        }
                    }
                }
            }
            for (of, _) in running.drain(if crashed { 0.. } else { running.len().. }) {
                nodes[of].in_flight -= 1;
            }
            for message in sent {
                if self.loss == 0 || numbers.below(self.loss) > 0 {
                    messages.push((now + 1 + numbers.below(self.delay_ms.max(1)), message));
                }
            }
        }
        result
    }

    /// Requests that the upstream can serve.
    fn capacity(&self) -> u64 {
        u64::from(self.room.min(self.slots)) * TIME_MS / self.held_ms
    }
}

const CALM: Simulation = Simulation {
    nodes: 9,
    slots: 6,
    room: 6,
    refusals: 1,
    held_ms: 200,
    delay_ms: 2,
    loss: 0,
    restart_ms: 0,
};

#[test]
fn upstream_with_as_much_room_as_it_tells_turns_nothing_away() {
    for (nodes, slots) in [(1, 6), (3, 6), (9, 6), (9, 64), (79, 6), (79, 12)] {
        for held_ms in [60, 300, 2_000] {
            let simulation = Simulation { nodes, slots, room: slots, held_ms, ..CALM };
            let seen = simulation.run(1);
            let capacity = simulation.capacity();
            println!("{nodes} nodes, {slots} slots, {held_ms} ms: {seen:?}, capacity {capacity}");
            assert_eq!((seen.refused, seen.crashes), (0, 0), "{nodes} nodes, {slots} slots");
            // Nodes that send nothing would keep that, too.
            assert!(seen.served * 2 >= capacity, "{nodes} nodes, {slots} slots: {seen:?}");
        }
    }
}

#[test]
fn upstream_with_less_room_than_it_tells_crashes_at_most_twice() {
    for (nodes, slots, room) in [(1, 6, 4), (3, 6, 4), (9, 6, 3), (79, 6, 5), (79, 12, 9)] {
        for refusals in 1..=3 {
            let simulation = Simulation { nodes, slots, room, refusals, ..CALM };
            let seen = simulation.run(2);
            let capacity = simulation.capacity();
            println!("{nodes} nodes, {room} of {slots}, {refusals}: {seen:?}, capacity {capacity}");
            assert!(seen.crashes <= 2, "{nodes} nodes, {room} of {slots}, {refusals}: {seen:?}");
            assert!(seen.served * 2 >= capacity, "{nodes} nodes, {room} of {slots}: {seen:?}");
        }
    }
}

#[test]
fn lost_messages_and_restarts_crash_an_upstream_at_most_twice() {
    for (nodes, slots) in [(3, 6), (9, 6), (79, 12)] {
        for seed in 0..5 {
            let simulation = Simulation {
                nodes,
                slots,
                room: slots + 1,
                refusals: 2,
                delay_ms: 20,
                loss: 20,
                restart_ms: 1_000,
                ..CALM
            };
            let seen = simulation.run(seed);
            println!("{nodes} nodes, {slots} slots, seed {seed}: {seen:?}");
            assert!(seen.crashes <= 2, "{nodes} nodes, {slots} slots, seed {seed}: {seen:?}");
            assert!(seen.served * 3 >= simulation.capacity(), "{nodes} nodes: {seen:?}");
        }
    }
}

#[test]
fn slots_are_divided_whole_if_nobody_counts_them() {
    for (nodes, slots) in [(1, 6), (3, 6), (9, 6), (9, 64), (79, 12), (2_900, 64)] {
        let share = |position| divide_slots(&"u7".parse().unwrap(), slots, position, nodes);
        let shares: Vec<u32> = (0..nodes).map(share).collect();
        assert_eq!(shares.iter().sum::<u32>(), slots, "{nodes} nodes, {slots} slots");
        assert!(shares.iter().max().unwrap() - shares.iter().min().unwrap() <= 1);
    }
}

#[test]
fn slots_that_are_free_are_returned() {
    let mut slots = NodeSlots::new(true, 0);
    assert_eq!(slots.decide(0, None, at(0)), SlotDecision::Ask);
    slots.record_asked();
    assert!(slots.record_reply(Some(true), 0, at(10)));
    assert_eq!(slots.decide(0, None, at(10)), SlotDecision::Free);
    assert_eq!(slots.decide(1, None, at(10)), SlotDecision::Ask);
    assert_eq!(slots.take_due(0, at(20)), None);
    assert_eq!(slots.take_due(0, at(80)), Some(0));
    assert_eq!(slots.decide(0, None, at(80)), SlotDecision::Ask);
    let queued = Some((2, Duration::from_millis(50)));
    assert_eq!(slots.decide(0, queued, at(80)), SlotDecision::Full, "others wait there");
}

#[test]
fn older_statements_change_nothing() {
    let mut registry = UpstreamRegistry::default();
    assert!(!registry.apply_brittle(&pool(), statement(None, 0, 1)), "never brittle");
    assert!(registry.apply_brittle(&pool(), statement(Some(3), 100, 120)));
    assert!(!registry.apply_brittle(&pool(), statement(None, 110, 130)), "may be older");
    assert_eq!(registry.brittle.refusals(&pool()), Some(RefusalLimit(3)));
    // Another node is told, and takes it for older by the delay of the message.
    let shared: Vec<SharedBrittle> = registry.brittle.share(at(1_000));
    let mut other = UpstreamRegistry::default();
    assert!(other.apply_brittle(&pool(), shared[0].to_statement(at(1_050))));
    assert!(other.initial_slots(&pool()).is_brittle());
    assert!(registry.apply_brittle(&pool(), statement(None, 2_000, 2_020)));
    let ended = registry.brittle.share(at(2_100));
    assert!(other.apply_brittle(&pool(), ended[0].to_statement(at(2_110))));
    assert_eq!(other.brittle.refusals(&pool()), None);
    let slots = other.initial_slots(&pool());
    assert_eq!(slots.decide(100, None, at(3_000)), SlotDecision::Free);
}
