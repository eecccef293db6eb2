//! Limits that upstreams name: the sum over all nodes, and which statement holds.

use std::time::Duration;

use proptest::prelude::*;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        demand::{DemandRate, part_lost_to_limit},
        limit_queue::LimitQueue,
        pool_speed::PoolSpeed,
        upstream_limit::{LimitChange, LimitStatement, NodeTurn, UpstreamLimit},
    },
    ids::{PoolName, UpstreamId},
    units::RequestRate,
};

fn upstream(number: u32) -> UpstreamId {
    format!("u{number}").parse().unwrap()
}

fn rate(per_second: f64) -> RequestRate {
    per_second.try_into().unwrap()
}

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn statement(per_second: Option<f64>, sent_ms: u64, read_ms: u64) -> LimitStatement {
    LimitStatement { rate: per_second.map(rate), sent_at: at(sent_ms), read_at: at(read_ms) }
}

/// Node as the model drives it.
#[derive(Clone, Debug)]
struct ModelNode {
    limit: UpstreamLimit,
    /// Place among the nodes of the list that it holds.
    position: u32,
    nodes: u32,
    /// Error of its estimate of the store's clock, in milliseconds.
    clock_error_ms: i64,
}

/// Lets all `nodes` send as much as they may for `time_ms`. Returns the times of the sends. With
/// `delay_ms`, a request is sent up to that long after its permit was taken, as long as it is valid.
fn run_nodes(nodes: &mut [ModelNode], time_ms: u64, delay_ms: u64) -> Vec<u64> {
    let mut sends = Vec::new();
    let mut held = vec![Vec::new(); nodes.len()];
    for now_ms in 0..time_ms {
        for (node, held) in nodes.iter_mut().zip(&mut held) {
            let store_ms = 1_000_000_000 + i64::try_from(now_ms).unwrap() + node.clock_error_ms;
            let turn = NodeTurn::new(node.position, node.nodes, store_ms).unwrap();
            let now = at(now_ms);
            while let Some(permit) = node.limit.take(turn, now) {
                held.push((now_ms + delay_ms, permit));
            }
            held.retain(|(due_ms, permit)| {
                let is_sent = *due_ms <= now_ms && permit.is_valid(now);
                if is_sent {
                    sends.push(now_ms);
                }
                !is_sent && permit.is_valid(now)
            });
        }
    }
    sends.sort_unstable();
    sends
}

fn most_in(sends: &[u64], window_ms: u64) -> usize {
    let count = |from: &u64| {
        sends.partition_point(|at| *at < from + window_ms) - sends.partition_point(|at| at < from)
    };
    sends.iter().map(count).max().unwrap_or(0)
}

fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap())
}

fn model(count: u32, per_second: f64) -> Vec<ModelNode> {
    let limit = UpstreamLimit::new(&upstream(1), statement(Some(per_second), 0, 0));
    (0..count)
        .map(|position| ModelNode {
            limit: limit.clone(),
            position,
            nodes: count,
            clock_error_ms: 0,
        })
        .collect()
}

proptest! {
    #[test]
    fn nodes_with_one_list_keep_the_limit_together(
        count in 1_u32..30,
        per_second in 0.05_f64..60.0,
        errors in prop::collection::vec(-20_i64..=20, 30),
        delay_ms in 0_u64..200,
    ) {
        let mut nodes = model(count, per_second);
        for (node, error) in nodes.iter_mut().zip(errors) {
            node.clock_error_ms = error;
        }
        let sends = run_nodes(&mut nodes, 12_000, delay_ms);
        let most = most_in(&sends, 4_000);
        prop_assert!(float(most) <= 1.5 * per_second * 4.0 + 5.0, "{most} in 4 s");
        // Nothing is left unused where every node always has a request.
        let least = (per_second * 12.0 * 0.7 - 3.0).max(0.0);
        prop_assert!(delay_ms > 0 || float(sends.len()) >= least, "{} in 12 s", sends.len());
    }

    /// Up to two nodes have joined or left for some of the nodes, and not yet for the others.
    #[test]
    fn nodes_with_two_lists_send_at_most_twice_as_much(
        count in 3_u32..20,
        joined in 1_u32..3,
        per_second in 0.05_f64..2.5,
        holds_new in prop::collection::vec(any::<bool>(), 22),
    ) {
        let all = count + joined;
        let mut nodes = model(all, per_second);
        for (position, node) in (0..).zip(&mut nodes) {
            // The newcomers come first in the order, so that all places move.
            if position >= joined && !holds_new[position as usize] {
                node.position = position - joined;
                node.nodes = count;
            }
        }
        let most = most_in(&run_nodes(&mut nodes, 12_000, 0), 4_000);
        prop_assert!(float(most) <= 2.0 * (per_second * 4.0 + 3.0), "{most} in 4 s");
    }

    #[test]
    fn limit_that_changes_again_and_again_is_kept(
        count in 1_u32..12,
        rates in prop::collection::vec(0.5_f64..3.0, 2..20),
    ) {
        let mut nodes = model(count, rates[0]);
        let mut sends = Vec::new();
        let largest = rates.iter().fold(0.0_f64, |largest, rate| largest.max(*rate));
        let span_ms = 12_000 / u64::try_from(rates.len()).unwrap();
        for now_ms in 0..12_000 {
            let index = usize::try_from(now_ms / span_ms).unwrap().min(rates.len() - 1);
            let store_ms = i64::try_from(now_ms).unwrap();
            for node in &mut nodes {
                node.limit.apply(statement(Some(rates[index]), now_ms, now_ms));
                let turn = NodeTurn::new(node.position, node.nodes, store_ms).unwrap();
                if node.limit.take(turn, at(now_ms)).is_some() {
                    sends.push(now_ms);
                }
            }
        }
        let most = most_in(&sends, 4_000);
        prop_assert!(float(most) <= 2.0 * (largest * 4.0 + 3.0), "{most} in 4 s");
    }

    /// Whatever order responses are read in, one that was sent before the statement was read does
    /// not replace it.
    #[test]
    fn older_responses_change_nothing(
        first in prop::option::of(0.0_f64..9.0),
        second in prop::option::of(0.0_f64..9.0),
        sent_ms in 0_u64..1_000,
        read_ms in 0_u64..5_000,
    ) {
        let mut limit = UpstreamLimit::new(&upstream(1), statement(first, 500, 1_000));
        let before = limit.statement();
        let change = limit.apply(statement(second, sent_ms, sent_ms + read_ms));
        prop_assert_eq!(change, None);
        prop_assert_eq!(limit.statement(), before);
    }
}

#[test]
fn later_response_names_changes_and_lifts_a_limit() {
    let mut limit = UpstreamLimit::new(&upstream(1), statement(Some(1.0), 0, 100));
    assert_eq!(limit.apply(statement(Some(1.0), 100, 200)), None);
    let changed = Some(LimitChange::Changed(rate(0.5)));
    assert_eq!(limit.apply(statement(Some(0.5), 200, 300)), changed);
    assert_eq!(limit.apply(statement(None, 299, 400)), None);
    assert_eq!(limit.apply(statement(None, 300, 400)), Some(LimitChange::Lifted));
    assert_eq!(limit.apply(statement(Some(2.0), 350, 500)), None, "it may be older");
    assert_eq!(limit.apply(statement(Some(2.0), 400, 500)), Some(LimitChange::Named(rate(2.0))));
}

#[test]
fn upstream_without_any_requests_is_asked_once_a_minute() {
    for per_second in [0.0, 0.000_1] {
        let mut nodes = model(5, per_second);
        let sends = run_nodes(&mut nodes, 300_000, 0);
        assert!((4..=7).contains(&sends.len()), "{per_second}/s: {} in 5 min", sends.len());
    }
}

#[test]
fn huge_limit_holds_nothing_back() {
    let mut nodes = model(3, 1e300);
    let turn = NodeTurn::new(0, 3, 0).unwrap();
    assert!((0..1_000).all(|_request| nodes[0].limit.take(turn, at(1_000)).is_some()));
}

#[test]
fn permit_that_was_not_used_is_given_back() {
    for per_second in [0.5, 40.0] {
        let mut limit = model(1, per_second).remove(0).limit;
        let turn = NodeTurn::new(0, 1, 10_000).unwrap();
        let mut taken = Vec::new();
        while let Some(permit) = limit.take(turn, at(10_000)) {
            taken.push(permit);
        }
        let last = taken.pop().unwrap();
        limit.give_back(last);
        assert!(limit.take(turn, at(10_000)).is_some(), "{per_second}/s");
        assert!(limit.take(turn, at(10_000)).is_none(), "{per_second}/s");
    }
}

#[test]
fn node_without_a_place_sends_nothing_to_a_limited_upstream() {
    let mut limit = model(1, 40.0).remove(0).limit;
    assert_eq!(limit.next_send(None, at(5_000)), None);
    limit.apply(statement(None, 5_000, 5_001));
    assert_eq!(limit.next_send(None, at(6_000)), Some(at(6_000)));
    assert_eq!(NodeTurn::new(3, 3, 0), None);
}

#[test]
fn waiting_requests_are_ordered_by_priority_and_arrival() {
    let pool: PoolName = "pool".parse().unwrap();
    let other: PoolName = "other".parse().unwrap();
    let mut queue = LimitQueue::default();
    let first = queue.join(&pool, 2);
    let second = queue.join(&pool, 2);
    let urgent = queue.join(&pool, 0);
    queue.join(&other, 0);
    assert_eq!(queue.count_ahead(&pool, 0, Some(urgent)), 0);
    assert_eq!(queue.count_ahead(&pool, 2, Some(first)), 1);
    assert_eq!(queue.count_ahead(&pool, 2, Some(second)), 2);
    assert_eq!(queue.count_ahead(&pool, 1, None), 1);
    assert_eq!(queue.count_ahead(&pool, 3, None), 3);
    queue.leave(urgent);
    queue.leave(first);
    assert_eq!(queue.count_ahead(&pool, 2, Some(second)), 0);
}

#[test]
fn refused_callers_return_as_far_apart_as_turns() {
    let pool: PoolName = "pool".parse().unwrap();
    let mut queue = LimitQueue::default();
    let spacing = Duration::from_millis(400);
    let planned: Vec<u64> = (0..3)
        .map(|_caller| queue.plan_return(&pool, at(1_000), spacing, at(500)).as_millis())
        .collect();
    assert_eq!(planned, [1_000, 1_400, 1_800]);
    assert_eq!(queue.plan_return(&pool, at(2_500), spacing, at(2_000)), at(2_500));
}

#[test]
fn engine_with_a_limit_counts_for_what_it_takes() {
    let speed = PoolSpeed::default();
    let usual = DemandRate::of_usual(&speed).engines_needed(16, &speed);
    assert!((part_lost_to_limit(rate(0.0), 16, &speed) - 1.0).abs() < 1e-9);
    assert!((part_lost_to_limit(rate(0.5 / usual), 16, &speed) - 0.5).abs() < 1e-9);
    assert!(part_lost_to_limit(rate(1e300), 16, &speed).abs() < 1e-9);
}
