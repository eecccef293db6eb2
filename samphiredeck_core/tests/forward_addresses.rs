//! Tests of entries that share an address, and of attempts that reach another upstream.

use std::{net::SocketAddr, time::Duration};

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        catalog::RetryPolicy,
        outcome::{NextStep, SendOutcome, next_step, uses_attempt},
        placement::{PlacementRequest, choose_upstream},
        pool_speed::PoolSpeed,
        prompt_cache::PromptCacheTable,
        upstream_list::ListedUpstream,
        upstream_state::ResponseEvent,
        upstreams::UpstreamRegistry,
    },
    ids::{RowVersion, UpstreamId},
    verdict::RunVerdict,
};

/// Entry that claims so many slots that it comes first in every choice.
const WIDE: u32 = 1_000_000;

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn id(text: &str) -> UpstreamId {
    text.parse().unwrap()
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn entry(name: &str, port: u16, slots: u32) -> ListedUpstream {
    ListedUpstream {
        id: id(name),
        started_ms: Some(1),
        pool: "pool".parse().unwrap(),
        software: "v1".parse().unwrap(),
        address: address(port),
        domain: "a".parse().unwrap(),
        slots,
        leaving: false,
        leaves_in: None,
        reclaimable: false,
        warm_up: Duration::ZERO,
    }
}

fn read(registry: &mut UpstreamRegistry, list: Vec<ListedUpstream>, millis: u64) {
    registry.apply_list(list, RowVersion(millis), at(millis), at(millis));
}

fn choose(registry: &UpstreamRegistry, misdirected: &[SocketAddr], millis: u64) -> String {
    let request = PlacementRequest {
        node: &"n".parse().unwrap(),
        only: None,
        software: None,
        avoided_software: &[],
        pool: &"pool".parse().unwrap(),
        engine: false,
        parts: &[],
        tried: &[],
        misdirected,
        max_connections: 50,
        max_event_gap: Duration::ZERO,
        speed: PoolSpeed::default(),
        prompt_cache: &PromptCacheTable::default(),
        nodes: 1,
        is_told: false,
        turn: None,
    };
    let domain = "a".parse().unwrap();
    choose_upstream(registry, &request, &domain, at(millis), || 0.5).unwrap().upstream.to_string()
}

/// Registry with two upstreams, the first of which has responded, and a wrong entry at its address.
fn registry_with_wrong_entry() -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::default();
    let right = vec![entry("u0", 1, 6), entry("u1", 2, 1)];
    read(&mut registry, right.clone(), 1_000);
    registry.record_outcome(&id("u0"), false, at(1_100));
    read(&mut registry, [right, vec![entry("wide", 1, WIDE)]].concat(), 2_000);
    registry
}

#[test]
fn upstream_that_responded_comes_before_other_entries_at_its_address() {
    let registry = registry_with_wrong_entry();
    assert_eq!(choose(&registry, &[], 2_100), "u0");
}

#[test]
fn later_start_of_an_entry_proves_nothing() {
    let mut registry = registry_with_wrong_entry();
    let wide = ListedUpstream { started_ms: Some(u64::MAX), ..entry("wide", 1, WIDE) };
    read(&mut registry, vec![entry("u0", 1, 6), entry("u1", 2, 1), wide], 3_000);
    assert_eq!(choose(&registry, &[], 3_100), "u0");
}

#[test]
fn replacement_is_chosen_once_the_upstream_before_is_known_to_have_left() {
    for event in [ResponseEvent::AddressReused, ResponseEvent::Leaving] {
        let mut registry = registry_with_wrong_entry();
        registry.record_response_event(&id("u0"), Some(1), event, at(2_100));
        assert_eq!(choose(&registry, &[], 2_200), "wide", "{event:?}");
    }
    let mut registry = registry_with_wrong_entry();
    read(&mut registry, vec![entry("u1", 2, 1), entry("wide", 1, WIDE)], 3_000);
    assert_eq!(choose(&registry, &[], 3_100), "wide", "the entry before is not listed any more");
}

#[test]
fn the_last_of_several_responses_at_an_address_counts() {
    let mut registry = registry_with_wrong_entry();
    registry.record_outcome(&id("wide"), false, at(2_100));
    assert_eq!(choose(&registry, &[], 2_200), "wide");
    registry.record_outcome(&id("u0"), false, at(2_300));
    assert_eq!(choose(&registry, &[], 2_400), "u0");
}

#[test]
fn entries_of_other_pools_do_not_displace_an_upstream() {
    let mut registry = registry_with_wrong_entry();
    let wide = ListedUpstream { pool: "other".parse().unwrap(), ..entry("wide", 1, WIDE) };
    read(&mut registry, vec![entry("u0", 1, 6), entry("u1", 2, 1), wide], 3_000);
    registry.record_outcome(&id("wide"), false, at(3_100));
    assert_eq!(choose(&registry, &[], 3_200), "u0");
}

#[test]
fn all_entries_are_tried_while_none_has_responded() {
    let mut registry = UpstreamRegistry::default();
    read(&mut registry, vec![entry("u0", 1, 6), entry("wide", 1, WIDE)], 1_000);
    assert_eq!(choose(&registry, &[], 1_100), "wide");
}

#[test]
fn misdirected_request_goes_to_other_addresses_first() {
    let mut registry = UpstreamRegistry::default();
    read(&mut registry, vec![entry("u1", 2, 1), entry("wide", 1, WIDE)], 1_000);
    assert_eq!(choose(&registry, &[], 1_100), "wide");
    assert_eq!(choose(&registry, &[address(1)], 1_100), "u1");
    assert_eq!(choose(&registry, &[address(1), address(2)], 1_100), "wide", "better than none");
}

#[test]
fn misdirected_request_has_not_run_and_uses_up_no_attempt() {
    let outcome = SendOutcome::Misdirected;
    assert_eq!(outcome.verdict(), RunVerdict::NotRun);
    for policy in [RetryPolicy::NonIdempotent, RetryPolicy::Idempotent, RetryPolicy::Resumable] {
        let step = |attempts| next_step(outcome, RunVerdict::NotRun, policy, attempts);
        assert_eq!(step(1), NextStep::SendAgain);
        assert_eq!(step(0), NextStep::RefuseUnrun);
        let may_have_run = next_step(outcome, RunVerdict::MayHaveRun, policy, 0);
        assert_eq!(may_have_run, NextStep::GiveUp);
    }
    assert!(!uses_attempt(outcome, 0));
    assert!(uses_attempt(outcome, 3), "a request must not wander for ever");
    for outcome in [SendOutcome::Rejected, SendOutcome::Failed, SendOutcome::Broken] {
        assert!(uses_attempt(outcome, 0), "{outcome:?}");
    }
}
