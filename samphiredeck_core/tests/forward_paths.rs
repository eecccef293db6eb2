//! Paths to upstreams, and the nodes through which lost ones are replaced.

use std::{net::SocketAddr, time::Duration};

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        catalog::RetryPolicy,
        member_list::MemberIdentity,
        outcome::{NextStep, SendOutcome, next_step},
        tunnel_nodes::TunnelNodes,
        upstream_paths::{PathFailure, PathRoute, PathTable},
    },
    ids::{DomainName, Incarnation, NodeName, UpstreamId},
    verdict::RunVerdict,
};

fn upstream(number: u32) -> UpstreamId {
    format!("u{number}").parse().unwrap()
}

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(100_000 + millis)
}

#[test]
fn upstream_that_no_node_reaches_is_not_a_lost_path() {
    let mut paths = PathTable::default();
    paths.record_connected(&upstream(1), at(0));
    assert!(!paths.record_failure(&upstream(0), PathFailure::Refused, at(10)));
    assert_eq!(paths.route(&upstream(0)), PathRoute::Direct);
    assert!(paths.record_reached(&upstream(0), at(20)));
    assert_eq!(paths.route(&upstream(0)), PathRoute::OtherNode);
    assert_eq!(paths.route(&upstream(1)), PathRoute::Direct);
}

#[test]
fn upstream_that_another_node_reaches_after_its_restart_is_not_lost() {
    let mut paths = PathTable::default();
    paths.record_connected(&upstream(1), at(0));
    paths.record_failure(&upstream(0), PathFailure::Refused, at(10));
    assert!(!paths.record_reached(&upstream(0), at(1_500)));
    assert_eq!(paths.route(&upstream(0)), PathRoute::Direct);
}

#[test]
fn all_paths_are_suspected_after_two_failures_until_one_succeeds() {
    let mut paths = PathTable::default();
    paths.record_connected(&upstream(2), at(0));
    paths.record_failure(&upstream(0), PathFailure::Silent, at(10));
    paths.record_failure(&upstream(1), PathFailure::Silent, at(20));
    assert!(!paths.is_cut_off(), "they may have ended");
    paths.record_reached(&upstream(0), at(30));
    assert!(paths.is_cut_off() && paths.is_silent(&upstream(3)));
    assert_eq!(paths.route(&upstream(3)), PathRoute::OtherNode);
    // The first probe is one that has not failed.
    let listed = [0, 1, 2, 3].map(upstream);
    let probed = paths.take_probe(listed.iter(), at(40), 0.99).unwrap();
    assert_eq!(probed, upstream(3));
    assert!(paths.take_probe(listed.iter(), at(500), 0.0).is_none(), "one a second");
    assert!(paths.record_connected(&probed, at(600)));
    assert_eq!(paths.route(&upstream(3)), PathRoute::Direct);
    assert_eq!(paths.route(&upstream(0)), PathRoute::OtherNode, "this one is lost for certain");
    let probed = paths.take_probe(listed.iter(), at(1_100), 0.0).unwrap();
    assert!(paths.record_connected(&probed, at(1_110)));
    assert_eq!(paths.route(&upstream(0)), PathRoute::Direct);
    assert!(paths.take_probe(listed.iter(), at(9_000), 0.0).is_none());
}

#[test]
fn connections_live_on_where_new_ones_are_refused() {
    let mut paths = PathTable::default();
    for number in 0..3 {
        paths.record_failure(&upstream(number), PathFailure::Refused, at(10));
        paths.record_reached(&upstream(number), at(20));
    }
    assert!(paths.is_cut_off());
    assert!((0..4).all(|number| !paths.is_silent(&upstream(number))));
}

#[test]
fn failures_long_apart_are_not_taken_together() {
    let mut paths = PathTable::default();
    paths.record_failure(&upstream(0), PathFailure::Silent, at(0));
    paths.record_failure(&upstream(1), PathFailure::Silent, at(5_000));
    assert!(!paths.record_unreached(at(5_010)));
    paths.record_failure(&upstream(2), PathFailure::Silent, at(5_020));
    assert!(paths.record_unreached(at(5_030)));
}

#[test]
fn requests_without_a_path_are_refused_as_not_run() {
    let step = next_step(SendOutcome::NoPath, RunVerdict::NotRun, RetryPolicy::Idempotent, 2);
    assert_eq!(step, NextStep::RefuseUnrun);
    let step = next_step(SendOutcome::NoPath, RunVerdict::MayHaveRun, RetryPolicy::Idempotent, 2);
    assert_eq!(step, NextStep::GiveUp);
}

fn member(number: u32, domain: &str) -> MemberIdentity {
    MemberIdentity {
        node: node(number),
        incarnation: Incarnation(1),
        peer: SocketAddr::from(([10, 0, 0, 1], 7_000)),
        domain: domain.parse().unwrap(),
        since_ms: 0,
    }
}

fn node(number: u32) -> NodeName {
    format!("n{number:02}").parse().unwrap()
}

#[test]
fn nodes_that_reach_upstreams_are_asked_first_and_failed_ones_not_at_all() {
    let members: Vec<_> = (0..12).map(|i| member(i, ["a", "b"][(i % 2) as usize])).collect();
    let domain: DomainName = "a".parse().unwrap();
    let (mut nodes, own) = (TunnelNodes::default(), node(0));
    let rank = |nodes: &TunnelNodes, now, seed: u64| {
        let mut number = seed;
        let random = || {
            number = number.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            number
        };
        let ranked = nodes.rank(&members, (&own, &domain), 4, now, random);
        ranked.into_iter().map(|(name, _)| name).collect::<Vec<_>>()
    };
    let near = [2, 4, 6, 8, 10].map(node);
    assert!(rank(&nodes, at(0), 1).iter().all(|name| near.contains(name)));
    nodes.record(&node(7), true, at(0));
    nodes.record(&node(2), false, at(0));
    for seed in 0..50 {
        let ranked = rank(&nodes, at(100), seed);
        assert_eq!(ranked[0], node(7));
        assert!(!ranked.contains(&node(2)) && !ranked.contains(&own));
    }
    assert!((0..50).any(|seed| rank(&nodes, at(2_100), seed).contains(&node(2))), "asked again");
    // Callers need not wait for each of many nodes.
    let mut nodes = TunnelNodes::default();
    for number in 1..9 {
        nodes.record(&node(number), false, at(0));
    }
    assert!(rank(&nodes, at(100), 1).is_empty());
    nodes.record(&node(10), true, at(200));
    assert_eq!(rank(&nodes, at(300), 1)[0], node(10));
    assert_eq!(rank(&nodes, at(300) + Duration::from_secs(4), 1)[0], node(10));
}
