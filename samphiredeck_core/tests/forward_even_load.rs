//! Replay of the choices of 80 nodes among engines of unequal speed, in virtual time.
//!
//! Guards against engines that are overrun while others idle, because nodes choose at the same moment by old reports.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "times and counts of a short replay"
)]

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        load_view::{LoadSums, RequestCounts, ViewPage},
        placement::{PlacementRequest, PromptPart, choose_upstream},
        pool_speed::PoolSpeed,
        prompt_cache::PromptCacheTable,
        upstream_list::ListedUpstream,
        upstreams::{PendingResponse, UpstreamRegistry},
    },
    ids::{NodeName, RowVersion, UpstreamId},
};

const NODES: usize = 80;
const SLOTS: usize = 16;
const END_US: u64 = 12_000_000;
const VIEW_US: u64 = 100_000;
/// Start of what is counted: speeds are known by then.
const COUNTED_US: u64 = 6_000_000;
const FIRST_TOKEN_US: f64 = 20_000.0;
const TOKEN_US: f64 = 3_000.0;
const TOKENS_MEAN: f64 = 60.0;

/// Request that is sent at `at_us` by `node`.
#[derive(Clone, Copy)]
struct Arrival {
    at_us: u64,
    node: usize,
    tokens: u32,
}

fn run_us(tokens: u32, factor: f64) -> f64 {
    (FIRST_TOKEN_US + f64::from(tokens) * TOKEN_US) * factor
}

/// Factors of the engines, of which the slowest takes 2.4 times as long as the fastest, and arrivals at 0.9 of what they
/// can do.
fn workload(engines: u32, seed: u64) -> (Vec<f64>, Vec<Arrival>) {
    let factor = |number| 2.4_f64.powf(f64::from(number) / f64::from(engines - 1));
    let factors: Vec<f64> = (0..engines).map(factor).collect();
    let run_mean = FIRST_TOKEN_US + TOKENS_MEAN * TOKEN_US;
    let per_us: f64 = factors.iter().map(|factor| 16.0 / (run_mean * factor)).sum::<f64>() * 0.9;
    let mut random = StdRng::seed_from_u64(seed);
    let mut exponential = |mean: f64| -mean * (1.0 - random.random::<f64>()).ln();
    let (mut at, mut arrivals) = (0.0, Vec::new());
    while at < END_US as f64 {
        at += exponential(1.0 / per_us);
        let tokens = exponential(TOKENS_MEAN).ceil() as u32;
        arrivals.push(Arrival { at_us: at as u64, node: 0, tokens });
    }
    for arrival in &mut arrivals {
        arrival.node = random.random_range(0..NODES);
    }
    (factors, arrivals)
}

/// 99th percentile of the waits for a slot in milliseconds.
fn p99(mut waits: Vec<u64>) -> f64 {
    waits.sort_unstable();
    waits[waits.len() * 99 / 100] as f64 / 1_000.0
}

/// The same if requests were in one queue, from which each takes the first free slot, that of the fastest engine first.
fn play_central(factors: &[f64], arrivals: &[Arrival]) -> f64 {
    let mut free: Vec<usize> = factors.iter().map(|_| SLOTS).collect();
    let mut ends = BinaryHeap::new();
    let mut now_us = 0;
    let mut waits = Vec::new();
    for arrival in arrivals {
        now_us = now_us.max(arrival.at_us);
        if free.iter().all(|free| *free == 0) {
            now_us = now_us.max(ends.peek().map_or(0, |Reverse((end, _))| *end));
        }
        while let Some((_, engine)) =
            ends.peek().map(|Reverse(end)| *end).filter(|(end, _)| *end <= now_us)
        {
            ends.pop();
            free[engine] += 1;
        }
        let engine = free.iter().position(|free| *free > 0).unwrap();
        free[engine] -= 1;
        ends.push(Reverse((now_us + run_us(arrival.tokens, factors[engine]) as u64, engine)));
        if arrival.at_us >= COUNTED_US {
            waits.push(now_us - arrival.at_us);
        }
    }
    p99(waits)
}

fn at(micros: u64) -> BootTime {
    BootTime::new(Duration::from_micros(micros))
}

fn micros(value: f64) -> Duration {
    Duration::from_secs_f64(value / 1e6)
}

struct Node {
    name: NodeName,
    registry: UpstreamRegistry,
    speed: PoolSpeed,
    told: RequestCounts,
}

#[derive(Clone)]
struct Job {
    arrival: Arrival,
    engine: usize,
    pending: PendingResponse,
}

#[derive(Default)]
struct Engine {
    running: usize,
    queue: VecDeque<Job>,
}

struct Replay<'a> {
    factors: &'a [f64],
    ids: Vec<UpstreamId>,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    /// First events and ends of responses, with the number of the job.
    events: BinaryHeap<Reverse<(u64, bool, usize)>>,
    jobs: Vec<Job>,
    waits: Vec<u64>,
}

impl Replay<'_> {
    fn start(&mut self, job: Job, now: u64) {
        let factor = self.factors[job.engine];
        self.engines[job.engine].running += 1;
        if job.arrival.at_us >= COUNTED_US {
            self.waits.push(now - job.arrival.at_us);
        }
        let end = now + run_us(job.arrival.tokens, factor) as u64;
        let first = now + (FIRST_TOKEN_US * factor) as u64;
        self.events.push(Reverse((first, false, self.jobs.len())));
        self.events.push(Reverse((end, true, self.jobs.len())));
        self.jobs.push(job);
    }

    fn send(&mut self, arrival: Arrival, random: &mut StdRng) {
        let now = at(arrival.at_us);
        let node = &mut self.nodes[arrival.node];
        let parts = [PromptPart { id: "own".to_owned(), tokens: 100 }];
        let request = PlacementRequest {
            node: &node.name,
            pool: &"pool".parse().unwrap(),
            engine: true,
            parts: &parts,
            software: None,
            avoided_software: &[],
            tried: &[],
            misdirected: &[],
            only: None,
            max_connections: 660,
            max_event_gap: Duration::from_secs(2),
            speed: node.speed,
            prompt_cache: &PromptCacheTable::default(),
            nodes: NODES as u32,
            is_told: node.registry.is_exchanged(),
            turn: None,
        };
        let domain = "a".parse().unwrap();
        let choice =
            choose_upstream(&node.registry, &request, &domain, now, || random.random()).unwrap();
        let due_at = now + choice.wait.total();
        let pending = PendingResponse { prefill_tokens: choice.prefill_tokens, due_at };
        node.registry.record_request_start(&choice.upstream, &pending);
        node.speed.record_prompt(choice.prefill_tokens);
        let engine = self.ids.binary_search(&choice.upstream).unwrap();
        let job = Job { arrival, engine, pending };
        if self.engines[engine].running < SLOTS {
            self.start(job, arrival.at_us);
        } else {
            self.engines[engine].queue.push_back(job);
        }
    }

    fn respond(&mut self, (now, is_end, number): (u64, bool, usize)) {
        let Job { arrival, engine, pending } = self.jobs[number].clone();
        let (id, state) = (&self.ids[engine], &mut self.engines[engine]);
        let node = &mut self.nodes[arrival.node];
        if !is_end {
            let (running, waiting) = (state.running as u32, state.queue.len() as u32);
            node.registry.record_no_longer_pending(id, &pending);
            node.registry.record_response_start(id, &pending, at(now));
            return node.registry.record_load(id, running, waiting, at(now));
        }
        let interval = micros(TOKEN_US * self.factors[engine]);
        node.registry.record_request_end(id);
        node.registry.record_event_interval(id, Some(1), interval, at(now));
        node.speed.record_output(u64::from(arrival.tokens), interval * arrival.tokens);
        node.speed.record_held(at(now).since(at(arrival.at_us)));
        state.running -= 1;
        if let Some(job) = state.queue.pop_front() {
            self.start(job, now);
        }
    }

    /// Applies what nodes told one period ago, and tells again. Every fifth time, nodes tell another one of speeds.
    fn exchange(&mut self, told: &mut LoadSums, now: u64, random: &mut StdRng) {
        let page = ViewPage { page: 0, pages: 1, sums: std::mem::take(told) };
        for node in &mut self.nodes {
            node.registry.apply_load_view(&page, &node.told, NODES as u32, at(now));
            node.told = node.registry.request_counts();
            told.counts.extend(&node.told);
        }
        told.nodes = NODES as u16;
        told.counts.sort_by_key(|row| row.upstream);
        told.counts.dedup_by(|next, sum| {
            let is_same = next.upstream == sum.upstream;
            if is_same {
                sum.count += next.count;
                sum.pending += next.pending;
            }
            is_same
        });
        let is_due = now.is_multiple_of(5 * VIEW_US);
        for index in (0..NODES).filter(|_| is_due) {
            let mut speeds = self.nodes[index].registry.share_speeds(at(now));
            speeds.truncate(72);
            let peer = random.random_range(0..NODES);
            for _ in 0..24.min(speeds.len()) {
                let speed = speeds.swap_remove(random.random_range(0..speeds.len()));
                self.nodes[peer].registry.apply_speed(&speed, at(now));
            }
        }
    }
}

/// Plays `arrivals`. Returns the 99th percentile of the waits for a slot in milliseconds, and the share of samples in which
/// an engine holds more requests than it has slots while another holds fewer than 4.
fn play(factors: &[f64], arrivals: &[Arrival], is_exchanged: bool) -> (f64, f64) {
    let mut random = StdRng::seed_from_u64(9);
    let ids: Vec<UpstreamId> =
        (100..100 + factors.len()).map(|number| format!("u{number}").parse().unwrap()).collect();
    let entry = |id: &UpstreamId| ListedUpstream {
        id: id.clone(),
        started_ms: Some(1),
        pool: "pool".parse().unwrap(),
        software: "v1".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "a".parse().unwrap(),
        slots: SLOTS as u32,
        leaving: false,
        leaves_in: None,
        reclaimable: false,
        warm_up: Duration::ZERO,
    };
    let mut registry = UpstreamRegistry::default();
    registry.apply_list(ids.iter().map(entry).collect(), RowVersion(1), at(0), at(0));
    registry.set_exchanged(is_exchanged);
    let node = |number| Node {
        name: format!("node{number}").parse().unwrap(),
        registry: registry.clone(),
        speed: PoolSpeed::default(),
        told: Vec::new(),
    };
    let mut replay = Replay {
        factors,
        ids,
        nodes: (0..NODES).map(node).collect(),
        engines: factors.iter().map(|_| Engine::default()).collect(),
        events: BinaryHeap::new(),
        jobs: Vec::new(),
        waits: Vec::new(),
    };
    let (mut told, mut next_view) = (LoadSums::default(), VIEW_US);
    let (mut samples, mut uneven) = (0.0, 0.0);
    for arrival in arrivals {
        loop {
            let event = replay.events.peek().map(|Reverse(event)| *event);
            let event = event.filter(|(time, ..)| *time <= arrival.at_us.min(next_view));
            if let Some(event) = event {
                replay.events.pop();
                replay.respond(event);
            } else if next_view <= arrival.at_us {
                if is_exchanged {
                    replay.exchange(&mut told, next_view, &mut random);
                }
                let held = |engine: &Engine| engine.running + engine.queue.len();
                let held: Vec<usize> = replay.engines.iter().map(held).collect();
                if next_view >= COUNTED_US {
                    samples += 1.0;
                    let is_over = held.iter().any(|held| *held > SLOTS);
                    uneven += f64::from(is_over && held.iter().any(|held| *held < 4));
                }
                next_view += VIEW_US;
            } else {
                break;
            }
        }
        replay.send(*arrival, &mut random);
    }
    (p99(replay.waits), uneven / samples)
}

/// Figures of both sizes: p99 with one queue, with views and without, and the uneven samples with views and without.
fn compare(engines: u32) -> [f64; 5] {
    let (factors, arrivals) = workload(engines, u64::from(engines));
    let (with, uneven) = play(&factors, &arrivals, true);
    let (without, uneven_without) = play(&factors, &arrivals, false);
    let figures = [play_central(&factors, &arrivals), with, without, uneven, uneven_without];
    println!("{engines} engines: {figures:?}");
    figures
}

#[test]
fn views_and_speeds_keep_engines_from_being_overrun_while_others_idle() {
    for (engines, figures) in [60, 90].map(|engines| (engines, compare(engines))) {
        let [_, with, without, uneven, _] = figures;
        assert!(uneven < 0.02, "{engines}: {uneven}");
        assert!(with < without, "{engines}: {with}, {without} ms");
    }
}

#[test]
fn the_wait_for_a_slot_is_within_twice_that_of_one_queue() {
    for (engines, figures) in [60, 90].map(|engines| (engines, compare(engines))) {
        let [central, with, ..] = figures;
        assert!(with <= 2.0 * central, "{engines}: {with}, {central} ms");
    }
}
