//! Tests of leases: a node that takes over waits longer than the holder considers its lease valid.

use std::time::{Duration, Instant};

use samphiredeck_core::{
    ids::{NodeName, RowVersion},
    lease::{HeldLease, LEASE_DURATION, LeaseObserver, TAKEOVER_MARGIN},
};

fn holder() -> NodeName {
    "entry-1".parse().expect("valid name")
}

/// Observes the row with `version` once a second, starting at `from`, for `seconds` seconds.
fn observe_for(observer: &mut LeaseObserver, version: u64, from: Instant, seconds: u64) -> Instant {
    for second in 0..=seconds {
        observer.observe(vec![(holder(), RowVersion(version))], from + Duration::from_secs(second));
    }
    from + Duration::from_secs(seconds)
}

#[test]
fn a_lease_expires_before_another_node_may_take_over() {
    let sent = Instant::now();
    let mut lease = HeldLease::default();
    lease.renew(sent);
    let mut observer = LeaseObserver::default();
    // No other node can observe the renewal before it was sent.
    let seen = observe_for(&mut observer, 1, sent, 8);
    assert!(!lease.is_valid(sent + LEASE_DURATION));
    assert!(seen - sent >= LEASE_DURATION + TAKEOVER_MARGIN);
    assert_eq!(observer.expired(seen).len(), 1);
    assert!(observer.expired(sent + LEASE_DURATION).is_empty());
}

#[test]
fn a_renewal_restarts_the_wait_for_expiry() {
    let start = Instant::now();
    let mut observer = LeaseObserver::default();
    let at = observe_for(&mut observer, 1, start, 6);
    let at = observe_for(&mut observer, 2, at, 6);
    assert!(observer.expired(at).is_empty());
    assert!(observer.is_held(&holder(), at));
}

#[test]
fn a_table_outage_expires_no_lease() {
    let start = Instant::now();
    let mut observer = LeaseObserver::default();
    let at = observe_for(&mut observer, 1, start, 3);
    // During the outage no node could renew its lease or read the rows.
    let back = at + Duration::from_secs(60);
    observer.observe(vec![(holder(), RowVersion(1))], back);
    assert!(observer.expired(back).is_empty());
    let later = observe_for(&mut observer, 1, back, 8);
    assert_eq!(observer.expired(later).len(), 1);
}

#[test]
fn an_older_confirmation_does_not_shorten_a_lease() {
    let start = Instant::now();
    let mut lease = HeldLease::default();
    lease.renew(start + Duration::from_secs(2));
    lease.renew(start);
    assert!(lease.is_valid(start + LEASE_DURATION));
    lease.release();
    assert!(!lease.is_valid(start));
}
