//! Contract of leases: the taker waits longer than the holder believes to hold.

use std::time::{Duration, Instant};

use samphiredeck_core::{
    ids::{NodeName, RowVersion},
    lease::{HeldLease, LEASE_DURATION, LeaseObserver, TAKEOVER_MARGIN},
};

fn holder() -> NodeName {
    "entry-1".parse().expect("a name")
}

/// Reads the row once a second from `from` on, for `seconds`.
fn watch_for(watch: &mut LeaseObserver, version: u64, from: Instant, seconds: u64) -> Instant {
    for second in 0..=seconds {
        watch.observe(vec![(holder(), RowVersion(version))], from + Duration::from_secs(second));
    }
    from + Duration::from_secs(seconds)
}

#[test]
fn the_holder_is_through_before_the_taker_may_begin() {
    let sent = Instant::now();
    let mut holding = HeldLease::default();
    holding.renew(sent);
    let mut watch = LeaseObserver::default();
    // The taker can't see the renewal before it was sent.
    let seen = watch_for(&mut watch, 1, sent, 8);
    assert!(!holding.is_valid(sent + LEASE_DURATION));
    assert!(seen - sent >= LEASE_DURATION + TAKEOVER_MARGIN);
    assert_eq!(watch.expired(seen).len(), 1);
    assert!(watch.expired(sent + LEASE_DURATION).is_empty());
}

#[test]
fn a_renewal_starts_the_wait_over() {
    let start = Instant::now();
    let mut watch = LeaseObserver::default();
    let at = watch_for(&mut watch, 1, start, 6);
    let at = watch_for(&mut watch, 2, at, 6);
    assert!(watch.expired(at).is_empty());
    assert!(watch.is_held(&holder(), at));
}

#[test]
fn an_outage_of_the_table_lets_nobody_lapse() {
    let start = Instant::now();
    let mut watch = LeaseObserver::default();
    let at = watch_for(&mut watch, 1, start, 3);
    // Nobody could renew, and nobody could read either.
    let back = at + Duration::from_secs(60);
    watch.observe(vec![(holder(), RowVersion(1))], back);
    assert!(watch.expired(back).is_empty());
    let later = watch_for(&mut watch, 1, back, 8);
    assert_eq!(watch.expired(later).len(), 1);
}

#[test]
fn an_older_confirmation_does_not_shorten_a_lease() {
    let start = Instant::now();
    let mut holding = HeldLease::default();
    holding.renew(start + Duration::from_secs(2));
    holding.renew(start);
    assert!(holding.is_valid(start + LEASE_DURATION));
    holding.release();
    assert!(!holding.is_valid(start));
}
