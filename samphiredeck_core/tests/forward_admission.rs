//! Tests of admission: who is served, who waits and who is refused while a pool is short of slots.

use std::time::Duration;

use proptest::prelude::*;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        admission::{
            AdmissionDecision, AdmissionRequest, RefusalReason, decide_admission,
            fair_share::{WorkspaceKey, WorkspaceUse, WorkspaceUses, fair_level},
            urgency::{UrgencyRank, UrgencyTable},
        },
        wait_estimate::WaitEstimate,
    },
    ids::{PoolName, WorkspaceName},
};

const TARGET: Duration = Duration::from_millis(400);
const DEADLINE: Duration = Duration::from_secs(8);

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn request(rank: u32) -> AdmissionRequest {
    AdmissionRequest {
        age: Duration::ZERO,
        time_left: DEADLINE,
        latency_target: TARGET,
        pool_target: TARGET,
        rank: UrgencyRank(rank),
        is_over_share: false,
        has_returned: false,
        is_refusable: true,
    }
}

fn wait(slot_ms: u64) -> WaitEstimate {
    let slot = Duration::from_millis(slot_ms);
    WaitEstimate { slot, first_token: Duration::from_millis(20), ..WaitEstimate::default() }
}

fn decide(request: &AdmissionRequest, slot_ms: u64, draw: f64) -> AdmissionDecision {
    decide_admission(request, &wait(slot_ms), (draw, 0.5), at(1_000))
}

/// `request` after it has waited at the node for as long as it may.
fn waited(request: AdmissionRequest) -> AdmissionRequest {
    AdmissionRequest { age: request.latency_target / 8, ..request }
}

fn longest_wait(request: &AdmissionRequest, draw: f64) -> u64 {
    let is_sent = |ms: &u64| decide(request, *ms, draw) == AdmissionDecision::Send;
    (0..3_000).take_while(is_sent).count() as u64
}

/// Requests of one kind: how many arrived, were sent, and began on time.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    arrived: u32,
    sent: u32,
    on_time: u32,
}

/// Request in [`play`].
#[derive(Clone, Copy)]
struct Caller {
    kind: usize,
    arrived_ms: f64,
    /// Time at which it is looked at next.
    next_ms: f64,
    has_returned: bool,
    draw: f64,
    is_counted: bool,
}

const TURN_MS: f64 = 12.5;
const ORDERS: [[usize; 3]; 6] = [[0, 1, 2], [2, 1, 0], [1, 2, 0], [0, 2, 1], [2, 0, 1], [1, 0, 2]];

/// Plays 20 s of requests that one pool of 16 slots with 200 ms per request takes from one queue, at `load` times what
/// that serves. Three kinds come in turn, each with the same draws. At `end_ms` the load falls to a half, and only requests that
/// come from a second after that on are counted.
fn play(load: f64, end_ms: Option<f64>) -> [Served; 3] {
    let mut kinds = [Served::default(); 3];
    let mut callers: Vec<Caller> = Vec::new();
    let (mut arrived_ms, mut number) = (0.0, 0_usize);
    while arrived_ms < 20_000.0 {
        // In all orders, so that none always comes right after the most urgent one.
        let kind = ORDERS[number / 3 % 6][number % 3];
        let draw = (f64::from(u32::try_from(number / 3).unwrap()) * 0.618_034).fract();
        let is_counted = end_ms.is_none_or(|end| arrived_ms >= end + 1_000.0);
        let next_ms = arrived_ms;
        callers.push(Caller { kind, arrived_ms, next_ms, has_returned: false, draw, is_counted });
        kinds[kind].arrived += u32::from(is_counted);
        number += 1;
        arrived_ms +=
            TURN_MS / if end_ms.is_some_and(|end| arrived_ms >= end) { 0.5 } else { load };
    }
    let mut free_at = 0.0_f64;
    while let Some(next) =
        (0..callers.len()).min_by(|a, b| callers[*a].next_ms.total_cmp(&callers[*b].next_ms))
    {
        let caller = callers.swap_remove(next);
        let now_ms = caller.next_ms;
        let queue_ms = (free_at - now_ms).max(0.0);
        let age_ms = now_ms - caller.arrived_ms;
        let request = AdmissionRequest {
            age: Duration::from_secs_f64(age_ms / 1_000.0),
            has_returned: caller.has_returned,
            ..request(u32::try_from(caller.kind).unwrap())
        };
        let slot = Duration::from_secs_f64(queue_ms / 1_000.0);
        let (estimate, draws) = (WaitEstimate { slot, ..wait(0) }, (caller.draw, caller.draw));
        let now = BootTime::new(Duration::from_secs_f64(now_ms / 1_000.0));
        match decide_admission(&request, &estimate, draws, now) {
            AdmissionDecision::Send => {
                free_at = free_at.max(now_ms) + TURN_MS;
                let counted = u32::from(caller.is_counted);
                kinds[caller.kind].sent += counted;
                if age_ms + queue_ms + 20.0 <= 400.0 {
                    kinds[caller.kind].on_time += counted;
                }
            }
            AdmissionDecision::WaitUntil(until) => {
                let next_ms = now_ms + until.since(now).as_secs_f64() * 1_000.0;
                callers.push(Caller { next_ms, ..caller });
            }
            // The caller returns once, with a new target.
            AdmissionDecision::Refuse { retry_after, .. } if !caller.has_returned => {
                let back_ms = now_ms + retry_after.as_secs_f64() * 1_000.0;
                let back = Caller { arrived_ms: back_ms, next_ms: back_ms, ..caller };
                callers.push(Caller { has_returned: true, ..back });
            }
            AdmissionDecision::Refuse { .. } => {}
        }
    }
    kinds
}

fn share(kind: &Served) -> f64 {
    f64::from(kind.sent) / f64::from(kind.arrived)
}

/// The least urgent kind was served best.
#[test]
fn more_urgent_kinds_are_served_at_least_as_often_and_none_starves() {
    for load in [2.0, 3.0] {
        let kinds = play(load, None);
        let shares: Vec<f64> = kinds.iter().map(share).collect();
        assert!(shares.is_sorted_by(|a, b| a >= b), "{load}: {shares:?}");
        assert!(shares.iter().all(|share| *share > 0.02), "{load}: {shares:?}");
    }
}

#[test]
fn goodput_at_twice_full_load_is_nearly_that_at_full_load() {
    let on_time = |load| play(load, None).iter().map(|kind| kind.on_time).sum::<u32>();
    let (full, twice, thrice) = (on_time(1.0), on_time(2.0), on_time(3.0));
    println!("on time at full load {full}, twice {twice}, three times {thrice}");
    assert!(f64::from(twice) >= 0.9 * f64::from(full), "{twice} of {full}");
}

#[test]
fn nothing_is_refused_while_there_is_room() {
    for rank in [0, 1, 9] {
        for is_over_share in [false, true] {
            for age_ms in [0, 50, 399, 3_000] {
                let age = Duration::from_millis(age_ms);
                let request = AdmissionRequest { is_over_share, age, ..request(rank) };
                assert_eq!(decide(&request, 0, 0.99), AdmissionDecision::Send, "{request:?}");
            }
        }
    }
    assert!(play(0.9, None).iter().all(|kind| kind.sent == kind.arrived));
}

/// Guards against a shortage that refusals or returning callers keep up: a second after the load has fallen from three
/// times of what is served to a half, everyone is served on time.
#[test]
fn a_shortage_is_over_with_the_first_free_slot() {
    for _ in 0..100 {
        assert!(matches!(decide(&waited(request(2)), 900, 0.9), AdmissionDecision::Refuse { .. }));
    }
    assert_eq!(decide(&request(2), 0, 0.9), AdmissionDecision::Send);
    let after = play(3.0, Some(10_000.0));
    assert!(after.iter().all(|kind| kind.arrived > 0 && kind.on_time == kind.arrived), "{after:?}");
}

#[test]
fn less_urgent_kinds_wait_for_less_and_a_part_of_each_for_as_long() {
    let longest: Vec<u64> = (0..4).map(|rank| longest_wait(&waited(request(rank)), 0.5)).collect();
    assert!(longest.is_sorted_by(|a, b| a > b) && longest[3] > 0, "{longest:?}");
    for rank in 1..4 {
        assert_eq!(longest_wait(&waited(request(rank)), 0.05), longest[0]);
    }
    let over = AdmissionRequest { is_over_share: true, ..request(0) };
    assert_eq!(longest_wait(&waited(over), 0.5), longest[1]);
}

#[test]
fn long_prompts_are_not_refused_for_their_length() {
    for rank in 0..3 {
        let long = WaitEstimate { prefill: Duration::from_secs(2), ..wait(0) };
        let send = decide_admission(&request(rank), &long, (0.9, 0.5), at(0));
        assert_eq!(send, AdmissionDecision::Send);
        // Beside a short queue, too.
        let long = WaitEstimate { slot: Duration::from_millis(10), ..long };
        let send = decide_admission(&request(rank), &long, (0.9, 0.5), at(0));
        assert_eq!(send, AdmissionDecision::Send, "{rank}");
    }
}

#[test]
fn callers_that_returned_precede_new_ones_of_their_kind() {
    for rank in 0..4 {
        let returned = AdmissionRequest { has_returned: true, ..request(rank) };
        let (first, new) = (longest_wait(&returned, 0.5), longest_wait(&request(rank), 0.5));
        assert!(first > new, "{rank}: {first}, {new}");
    }
}

#[test]
fn refusals_state_their_reason_and_requests_that_may_have_run_are_not_refused_for_load() {
    let reason = |request: AdmissionRequest| match decide(&waited(request), 900, 0.9) {
        AdmissionDecision::Refuse { reason, retry_after } => {
            assert!(retry_after >= Duration::from_millis(100) && retry_after <= DEADLINE / 4);
            Some(reason)
        }
        _ => None,
    };
    assert_eq!(reason(request(0)), Some(RefusalReason::TargetUnreachable));
    assert_eq!(reason(request(1)), Some(RefusalReason::LessUrgent));
    let over = AdmissionRequest { is_over_share: true, ..request(1) };
    assert_eq!(reason(over), Some(RefusalReason::OverFairShare));
    let late = AdmissionRequest { time_left: Duration::from_secs(1), ..request(0) };
    assert_eq!(reason(late), Some(RefusalReason::DeadlineUnreachable));
    assert_eq!(reason(AdmissionRequest { is_refusable: false, ..request(2) }), None);
}

proptest! {
    #[test]
    fn no_request_waits_at_the_node_for_longer_than_an_eighth_of_its_target(
        (rank, slot_ms, target_ms) in (0_u32..12, 0_u64..20_000, 1_u64..5_000),
        (draw, jitter) in (0.0..1.0_f64, 0.0..1.0_f64),
        (is_over_share, has_returned, is_refusable) in any::<(bool, bool, bool)>(),
    ) {
        let target = Duration::from_millis(target_ms);
        let arrived = at(1_000);
        let mut now = arrived;
        for _ in 0..200 {
            let request = AdmissionRequest {
                age: now.since(arrived), latency_target: target, pool_target: target,
                is_over_share, has_returned, is_refusable, ..request(rank)
            };
            let decision = decide_admission(&request, &wait(slot_ms), (draw, jitter), now);
            let AdmissionDecision::WaitUntil(until) = decision else { return Ok(()) };
            prop_assert!(until > now);
            prop_assert!(until.since(arrived) <= target / 8 + Duration::from_micros(1), "{:?}", until.since(arrived));
            now = until;
        }
        prop_assert!(false, "it waits on");
    }
}

fn pool(name: &str) -> PoolName {
    name.parse().unwrap()
}

#[test]
fn ranks_count_the_more_urgent_priorities_of_the_pool_that_are_in_use() {
    let mut table = UrgencyTable::default();
    let mut record = |name, priority, target_ms, millis| {
        let urgency = (priority, Duration::from_millis(target_ms));
        let (rank, least) = table.record(&pool(name), urgency, at(millis));
        (rank.0, least.as_millis())
    };
    assert_eq!(record("a", 7, 500, 0), (0, 500), "alone, whatever its number");
    assert_eq!(record("a", 2, 400, 0), (0, 400));
    assert_eq!(record("a", 7, 500, 0), (1, 400));
    assert_eq!(record("a", 200, 900, 0), (2, 400), "beyond the last priority");
    assert_eq!(record("b", 7, 500, 0), (0, 500), "pools don't compete");
    assert_eq!(record("a", 7, 500, 4_999), (1, 400));
    assert_eq!(record("a", 7, 500, 5_000), (0, 500), "the more urgent one is no longer used");
}

#[test]
fn a_caller_has_returned_if_it_states_less_time_than_others_of_its_route() {
    let mut table = UrgencyTable::default();
    assert!(!table.record_deadline("chat", Duration::from_secs(8)));
    assert!(!table.record_deadline("chat", Duration::from_millis(7_950)));
    assert!(table.record_deadline("chat", Duration::from_secs(7)));
    assert!(!table.record_deadline("tag", Duration::from_secs(2)));
    table.retain_routes(|route| route != "chat");
    assert!(!table.record_deadline("chat", Duration::from_secs(7)));
}

fn name(number: usize) -> WorkspaceName {
    format!("w{number}").parse().unwrap()
}

fn uses(rates: &[u32]) -> WorkspaceUses {
    let mut uses = WorkspaceUses::default();
    let row = |(number, rate): (usize, &u32)| WorkspaceUse {
        workspace: WorkspaceKey::of(&name(number)),
        rate: *rate,
    };
    uses.record_shared(rates.iter().enumerate().map(row).collect(), at(1_000));
    uses
}

/// Parts of the rates that are over the share, over draws that are spread evenly.
fn parts_over(uses: &WorkspaceUses, count: usize, excess: f64) -> Vec<f64> {
    let draws = || (0..1_000).map(|draw| (f64::from(draw) + 0.5) / 1_000.0);
    let is_over =
        |number, draw: &f64| uses.is_over_share(&name(number), (excess, *draw), at(1_100));
    let part = |number| draws().filter(|draw| is_over(number, draw)).map(|_| 0.001).sum::<f64>();
    (0..count).map(part).collect()
}

#[test]
fn equal_workspaces_get_equal_shares_and_one_that_asks_little_is_never_over_its_own() {
    let excess = 2.0;
    let mut rates = vec![1_000; 16];
    let within: Vec<f64> =
        parts_over(&uses(&rates), 16, excess).iter().map(|part| 1.0 - part).collect();
    let mean = within.iter().sum::<f64>() / 16.0;
    assert!(within.iter().all(|part| (part / mean - 1.0).abs() < 0.1), "{within:?}");
    rates[3] = 100;
    assert!(parts_over(&uses(&rates), 16, excess)[3] < f64::EPSILON);
    assert!(parts_over(&uses(&[1_000]), 1, excess)[0] < f64::EPSILON, "alone");
    assert!(parts_over(&uses(&rates), 16, 1.0).iter().all(|part| *part < f64::EPSILON), "room");
}

/// Every workspace counted as over its share as a whole once the room was short for all of them, so that the one that asked
/// for five times as much got five times as much.
#[test]
fn a_workspace_at_five_times_its_usual_gets_what_the_others_get() {
    for excess in [1.05, 1.25, 2.0, 3.0] {
        let mut rates = vec![1_000; 16];
        rates[7] = 5_000;
        let parts = parts_over(&uses(&rates), 16, excess);
        let within = |number: usize| f64::from(rates[number]) * (1.0 - parts[number]);
        assert!(parts[7] > 0.0, "{excess}: {parts:?}");
        let level =
            fair_level(rates.iter().map(|rate| f64::from(*rate)).collect(), 20_000.0 / excess);
        for (number, rate) in rates.iter().enumerate() {
            let ratio = within(number) / level.min(f64::from(*rate));
            assert!((0.99..1.12).contains(&ratio), "{excess}: {number} {ratio} {parts:?}");
        }
    }
}

#[test]
fn a_node_without_a_recent_view_decides_by_its_own() {
    let mut uses = uses(&[1_000, 1_000]);
    let over = |uses: &WorkspaceUses, number, millis| {
        uses.is_over_share(&name(number), (1.5, 0.9), at(millis))
    };
    uses.record(&name(0), 5_000, at(2_400));
    uses.record(&name(1), 500, at(2_400));
    assert!(over(&uses, 0, 2_400) && over(&uses, 1, 2_400), "the view still counts");
    assert!(over(&uses, 0, 2_500) && !over(&uses, 1, 2_500));
    assert!(!over(&uses, 9, 2_500), "unknown");
    assert_eq!(uses.own(at(60_000)), [], "forgotten");
}

#[test]
fn fair_levels_use_the_room() {
    let rates = vec![10.0, 400.0, 20.0, 300.0];
    let level = fair_level(rates.clone(), 330.0);
    assert!((rates.iter().map(|rate| rate.min(level)).sum::<f64>() - 330.0).abs() < 1e-9);
    assert!(fair_level(rates, 730.0).is_infinite());
}
