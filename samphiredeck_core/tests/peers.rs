//! Tests of the state that nodes exchange: membership, leaving marks, requests in flight and hints
//! on prompts that were just placed.

use std::time::{Duration, Instant};

use samphiredeck_core::{
    hint::{HINTS_PER_HEARTBEAT_MAX, PlacementHintTable},
    ids::{Incarnation, NodeName, UpstreamId},
    in_flight::{InFlightEntry, InFlightTable, upstream_hash},
    membership::{
        DEAD_AFTER, HEARTBEAT_FANOUT, LeavingMarkTable, MARKS_PER_DATAGRAM_MAX, PeerTable,
        SUSPECT_AFTER,
    },
    prefix::hash_blocks,
    rows::MemberRow,
    upstream::InFlightCount,
};

fn node(number: usize) -> NodeName {
    format!("entry-{number:04}").parse().expect("valid name")
}

fn upstream(number: usize) -> UpstreamId {
    format!("engine-{number:04}").parse().expect("valid name")
}

fn member(number: usize, incarnation: u64) -> MemberRow {
    MemberRow {
        node: node(number),
        incarnation: Incarnation(incarnation),
        domain: "suva-a".parse().expect("valid name"),
        peer_address: "127.0.0.1:1".to_owned(),
        caller_address: "127.0.0.1:2".to_owned(),
        transaction: 0,
        lapsed: false,
        lapsed_at: 0,
    }
}

#[test]
fn a_heartbeat_round_targets_at_most_a_fixed_number_of_nodes() {
    for count in [1_usize, 2, 8, 2_900] {
        let now = Instant::now();
        let mut peers = PeerTable::default();
        for number in 0..count {
            peers.upsert(&member(number, 1), now);
        }
        let mut targeted = Vec::new();
        for _ in 0..count.div_ceil(HEARTBEAT_FANOUT) {
            let targets = peers.next_heartbeat_targets();
            assert_eq!(targets.len(), count.min(HEARTBEAT_FANOUT));
            targeted.extend(targets.into_iter().map(|row| row.node));
        }
        targeted.sort();
        targeted.dedup();
        assert_eq!(targeted.len(), count, "every node is reached");
    }
}

#[test]
fn a_silent_node_is_suspected_then_dead_until_a_newer_incarnation_is_heard() {
    let now = Instant::now();
    let mut peers = PeerTable::default();
    peers.upsert(&member(1, 5), now);
    assert!(peers.alive(now).is_empty(), "no message yet");
    assert!(peers.record_message(&node(1), Incarnation(5), None, now));
    assert_eq!(peers.alive(now), [node(1)]);
    assert_eq!(peers.suspects(now + SUSPECT_AFTER), [node(1)]);
    assert!(peers.alive(now + DEAD_AFTER).is_empty());
    assert!(peers.mark_left(&node(1), Incarnation(5)));
    assert!(peers.alive(now).is_empty());
    assert!(
        !peers.record_message(&node(1), Incarnation(4), None, now),
        "an old incarnation is ignored"
    );
    assert!(peers.record_message(&node(1), Incarnation(6), None, now));
    assert_eq!(peers.alive(now), [node(1)]);
}

#[test]
fn marks_are_sent_a_bounded_number_of_times_and_kept() {
    let now = Instant::now();
    let mut marks = LeavingMarkTable::default();
    for number in 0..40 {
        assert!(marks.insert(upstream(number), 9, now));
        assert!(!marks.insert(upstream(number), 9, now));
    }
    let mut sent = 0;
    loop {
        let batch = marks.take_batch();
        assert!(batch.len() <= MARKS_PER_DATAGRAM_MAX);
        if batch.is_empty() {
            break;
        }
        sent += batch.len();
    }
    assert!((40 * 6..40 * 30).contains(&sent), "{sent}");
    assert_eq!(marks.all().len(), 40);
    let mut other = LeavingMarkTable::default();
    for number in (0..40).rev() {
        other.insert(upstream(number), 9, now);
    }
    assert_eq!(marks.digest(), other.digest(), "the digest depends on the order");
    marks.expire(now + Duration::from_secs(1_000));
    assert!(marks.all().is_empty());
}

#[test]
fn in_flight_counts_are_complete_only_while_all_live_nodes_report() {
    let now = Instant::now();
    let mut in_flight = InFlightTable::default();
    let entry = |number: usize, total: u32| InFlightEntry {
        upstream: upstream_hash(&upstream(number)),
        count: InFlightCount { total, patient: 1 },
    };
    in_flight.update(&node(1), vec![entry(1, 4), entry(2, 2)], now);
    assert!(!in_flight.is_complete(&[node(1), node(2)]));
    in_flight.update(&node(2), vec![entry(2, 3)], now);
    assert!(in_flight.is_complete(&[node(1), node(2)]));
    assert_eq!(in_flight.sum(&upstream(2)), InFlightCount { total: 5, patient: 2 });
    in_flight.update(&node(1), Vec::new(), now);
    assert_eq!(in_flight.sum(&upstream(2)), InFlightCount { total: 3, patient: 1 });
    in_flight.expire(now + Duration::from_secs(2));
    assert!(!in_flight.is_complete(&[node(1)]), "expired reports do not count");
}

#[test]
fn a_hint_matches_a_session_that_has_grown() {
    let now = Instant::now();
    let text = "the history of one vehicle ".repeat(60);
    let grown = format!("{text}{}", "and its last visit ".repeat(40));
    let (first, second) = (hash_blocks("m", &text), hash_blocks("m", &grown));
    let mut sender = PlacementHintTable::default();
    sender.record_placement(&first, &upstream(3));
    let sent = sender.take_batch();
    let mut receiver = PlacementHintTable::default();
    assert_eq!(receiver.find_deepest(&second), None);
    receiver.insert_received(&sent, now);
    assert_eq!(receiver.find_deepest(&second), Some((first.len(), upstream_hash(&upstream(3)))));
    assert_eq!(receiver.find_deepest(&hash_blocks("n", &grown)), None, "another model");
    receiver.expire(now + Duration::from_secs(6));
    assert_eq!(receiver.find_deepest(&second), None);
}

#[test]
fn hints_are_sent_in_bounded_batches_and_run_out() {
    let mut hints = PlacementHintTable::default();
    for number in 0..100 {
        let blocks = hash_blocks("m", &format!("case {number} ").repeat(30));
        hints.record_placement(&blocks, &upstream(number));
    }
    let mut batches = 0;
    while !hints.take_batch().is_empty() {
        batches += 1;
        assert!(batches < 50, "hints never run out");
    }
    assert!(HINTS_PER_HEARTBEAT_MAX < 100 && batches > 3, "{batches}");
}
