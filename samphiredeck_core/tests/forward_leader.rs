//! Tests of the leader lease.

use std::time::Duration;

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        leader::{LeaderLease, LeaderRecord, LeaderStep},
        store_eras::StoreEra,
    },
    ids::{FencingToken, Incarnation, RowVersion},
};

const LEASE: Duration = Duration::from_secs(3);

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn lease(name: &str) -> LeaderLease {
    lease_at(name, "10.0.0.1:7600")
}

fn lease_at(name: &str, address: &str) -> LeaderLease {
    let mut lease = LeaderLease::new(name.parse().unwrap(), address.parse().unwrap(), LEASE);
    lease.set_incarnation(Incarnation(1));
    lease
}

fn write(step: LeaderStep) -> (LeaderRecord, RowVersion) {
    match step {
        LeaderStep::Write(record, version) => (record, version),
        LeaderStep::Wait => panic!("nothing to write"),
    }
}

/// Lets `lease` acquire or renew the leader lease at `millis`, as row version `version`.
fn acquire(lease: &mut LeaderLease, version: u64, millis: u64) -> LeaderRecord {
    let (record, _) = write(lease.next_step(at(millis)));
    lease.record_written(record.clone(), RowVersion(version), at(millis));
    record
}

/// Returns a node that has held the lease since 100 ms, and the row that it wrote as version 10.
fn leader() -> (LeaderLease, LeaderRecord) {
    let mut first = lease("a");
    first.observe(None, (StoreEra(0), RowVersion(0)), at(0));
    let record = acquire(&mut first, 10, 100);
    (first, record)
}

#[test]
fn lease_changes_hands_only_after_the_old_leader_has_stopped() {
    let mut first = lease("a");
    let mut second = lease("b");
    assert_eq!(second.next_step(at(0)), LeaderStep::Wait, "nothing was read yet");
    first.observe(None, (StoreEra(0), RowVersion(0)), at(0));
    let record = acquire(&mut first, 10, 100);
    second.observe(Some(record), (StoreEra(0), RowVersion(10)), at(110));
    // The leader freezes here. It must have stopped acting when the other node takes over.
    let last = (100..20_000).rev().find(|millis| first.fence(at(*millis)).is_some()).unwrap();
    let claimed = (110..20_000).find(|millis| second.next_step(at(*millis)) != LeaderStep::Wait);
    let claimed = claimed.unwrap();
    assert!(last < 100 + 3_000 - 799, "an order in flight ends within the lease: {last}");
    assert!(claimed > last + 800, "last {last}, claimed {claimed}");
    let record = acquire(&mut second, 20, claimed);
    assert_eq!(record.fence, FencingToken(2));
    // The old leader learns of the change and no longer acts under its fencing token.
    first.observe(Some(record), (StoreEra(0), RowVersion(20)), at(claimed + 10));
    assert_eq!(first.fence(at(claimed + 11)), None);
}

/// Version `number` of a row in `era`, with it.
fn version(era: u16, number: u64) -> (StoreEra, RowVersion) {
    (StoreEra(era), RowVersion(number).in_era(StoreEra(era)))
}

/// Time at which `lease` claims, from `millis` on, and its record.
fn claim_after(lease: &LeaderLease, millis: u64) -> (u64, LeaderRecord) {
    let claims = |at_ms: &u64| lease.next_step(at(*at_ms)) != LeaderStep::Wait;
    let claimed = (millis..millis + 20_000).find(claims).unwrap();
    (claimed, write(lease.next_step(at(claimed))).0)
}

#[test]
fn lease_goes_on_after_the_store_has_lost_its_row_or_returned_an_older_one() {
    // The copy has no row, one of the same leader, or one of a leader before.
    let other = LeaderRecord { holder: "c".parse().unwrap(), ..leader().1 };
    for copy in [None, Some(leader().1), Some(other)] {
        let (mut first, _) = leader();
        let mut second = lease("b");
        second.observe(Some(acquire(&mut first, 900, 5_000)), version(0, 900), at(5_010));
        let last = (5_000..9_000).rev().find(|millis| first.fence(at(*millis)).is_some()).unwrap();
        let row = if copy.is_some() { version(1, 10) } else { (StoreEra(1), RowVersion(0)) };
        second.observe(copy.clone(), row, at(5_100));
        let (claimed, record) = claim_after(&second, 5_100);
        assert!(claimed > last + 800, "{claimed}: the leader of before acts until {last}");
        assert!(
            record.fence > FencingToken(1_000),
            "{:?} is lower than tokens of before",
            record.fence
        );
        // The leader of before learns of the new era, and waits like any other node.
        first.observe(copy, row, at(5_200));
        assert_eq!(first.fence(at(5_201)), None);
        let (claimed, _) = claim_after(&first, 5_200);
        assert!(claimed > last + 800, "{claimed}");
        second.record_written(record, version(1, 20).1, at(claimed));
        assert!(second.fence(at(claimed + 1)).is_some());
    }
}

#[test]
fn renewal_that_the_store_takes_for_one_of_a_new_era_does_not_extend_the_lease() {
    let (mut first, _) = leader();
    let (renewed, _) = write(first.next_step(at(1_000)));
    first.record_written(renewed, version(1, 11).1, at(1_000));
    assert_eq!(first.fence(at(1_001)), None);
    let (_, record) = claim_after(&first, 1_001);
    assert_eq!(record.fence.era(), StoreEra(1));
}

#[test]
fn tenure_goes_on_over_a_return_of_the_store_only_for_the_holder_of_the_lease() {
    let (mut first, record) = leader();
    assert_eq!(first.tenure_since(), Some(at(100)));
    acquire(&mut first, 11, 1_000);
    // The copy names another leader of before, which holds nothing in the new era.
    let other = LeaderRecord { holder: "c".parse().unwrap(), ..record.clone() };
    let mut late = first.clone();
    first.observe(Some(other.clone()), version(1, 5), at(2_000));
    assert_eq!((first.fence(at(2_001)), first.tenure_since()), (None, Some(at(100))));
    let (claimed, _) = claim_after(&first, 2_000);
    acquire(&mut first, version(1, 20).1.0, claimed);
    assert_eq!(first.tenure_since(), Some(at(100)));
    // The lease of before had ended, so another node may have acted.
    late.observe(Some(other), version(1, 5), at(3_300));
    assert_eq!(late.tenure_since(), None);
}

#[test]
fn tenure_ends_when_another_node_claims_or_the_store_returns_once_more() {
    for (era, fence) in [(0, FencingToken(2)), (1, FencingToken::first_in(StoreEra(1)))] {
        let (mut first, record) = leader();
        first.observe(None, (StoreEra(era), RowVersion(0)), at(1_000));
        let other = LeaderRecord { holder: "b".parse().unwrap(), fence, ..record };
        first.observe(Some(other), version(era, 12), at(1_200));
        assert_eq!(first.tenure_since(), None, "era {era}");
    }
    let (mut first, _) = leader();
    first.observe(None, (StoreEra(1), RowVersion(0)), at(1_000));
    assert!(first.tenure_since().is_some());
    first.observe(None, (StoreEra(2), RowVersion(0)), at(2_000));
    assert_eq!(first.tenure_since(), None, "another node may have claimed in era 1");
}

#[test]
fn holder_of_before_claims_first_after_a_return_of_the_store() {
    let (mut first, record) = leader();
    let mut second = lease("b");
    second.observe(Some(record), version(0, 10), at(110));
    // The holder notices with its next renewal.
    second.observe(None, (StoreEra(1), RowVersion(0)), at(500));
    first.observe(None, (StoreEra(1), RowVersion(0)), at(1_500));
    let (claimed, _) = claim_after(&first, 1_500);
    let (next_claimed, _) = claim_after(&second, 500);
    assert!(claimed < next_claimed, "{claimed} {next_claimed}");
}

#[test]
fn tokens_of_a_later_era_are_higher() {
    let last = FencingToken::first_in(StoreEra(1)).next().next();
    assert_eq!(last.era(), StoreEra(1));
    assert!(last < FencingToken::first_in(StoreEra(2)));
    assert_eq!(FencingToken::first_in(StoreEra(0)), FencingToken(1));
    // JSON numbers are exact up to here.
    assert!(FencingToken::first_in(StoreEra(u16::MAX)).0 < 1 << 53);
}

#[test]
fn timely_renewal_keeps_the_lease() {
    let (mut first, _) = leader();
    assert_eq!(first.next_step(at(800)), LeaderStep::Wait);
    let renewed = acquire(&mut first, 11, 1_000);
    assert_eq!((renewed.fence, renewed.renewals), (FencingToken(1), 1));
    assert!(first.fence(at(3_100)).is_some());
    // A read that is older than the renewal does not end the lease.
    let old = LeaderRecord { renewals: 0, ..renewed };
    first.observe(Some(old), (StoreEra(0), RowVersion(10)), at(1_100));
    assert!(first.fence(at(3_100)).is_some());
}

#[test]
fn later_incarnation_at_another_address_waits_like_any_other_node() {
    let (_, record) = leader();
    // The earlier run may still be alive at the old address, partitioned from others.
    let mut restarted_lease = lease_at("a", "10.0.0.9:7600");
    restarted_lease.set_incarnation(Incarnation(2));
    restarted_lease.observe(Some(record), (StoreEra(0), RowVersion(10)), at(500));
    assert_eq!(restarted_lease.next_step(at(4_900)), LeaderStep::Wait);
    assert_eq!(restarted_lease.fence(at(4_900)), None);
    assert_ne!(restarted_lease.next_step(at(5_100)), LeaderStep::Wait);
}

#[test]
fn later_incarnation_at_the_same_address_waits_for_calls_in_flight() {
    let (_, record) = leader();
    let mut restarted_lease = lease("a");
    restarted_lease.set_incarnation(Incarnation(2));
    restarted_lease.observe(Some(record), (StoreEra(0), RowVersion(10)), at(500));
    assert_eq!(restarted_lease.next_step(at(1_200)), LeaderStep::Wait);
    let (claimed, _) = write(restarted_lease.next_step(at(1_400)));
    assert_eq!((claimed.fence, claimed.incarnation), (FencingToken(2), Incarnation(2)));
}

#[test]
fn unknown_outcome_of_a_renewal_neither_shortens_nor_extends_the_lease() {
    let (mut first, _) = leader();
    first.mark_uncertain();
    assert!(first.needs_read());
    assert_eq!(first.next_step(at(1_500)), LeaderStep::Wait);
    assert!(first.fence(at(2_000)).is_some());
    assert!(first.fence(at(2_400)).is_none());
}

#[test]
fn store_outage_does_not_restart_the_wait_of_a_successor() {
    let (_, record) = leader();
    let mut second = lease("b");
    second.observe(Some(record.clone()), (StoreEra(0), RowVersion(10)), at(200));
    // The write gets no response. The first read after the outage shows that it was not applied.
    let (claimed, _) = write(second.next_step(at(5_000)));
    second.mark_uncertain();
    assert_eq!(second.next_step(at(9_000)), LeaderStep::Wait);
    second.observe(Some(record), (StoreEra(0), RowVersion(10)), at(10_000));
    assert_eq!(second.next_step(at(10_000)), LeaderStep::Write(claimed, RowVersion(10)));
    assert_eq!(second.fence(at(10_000)), None, "the lease is not held before the response");
}
