//! Paths to upstreams.

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        catalog::RetryPolicy,
        outcome::{NextStep, SendOutcome, next_step},
        upstream_paths::{PathFailure, PathRoute, PathTable},
    },
    ids::UpstreamId,
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
fn lost_paths_are_tried_again_before_others_that_nodes_have_reached() {
    let mut paths = PathTable::default();
    for number in 0..2 {
        paths.record_failure(&upstream(number), PathFailure::Refused, at(10));
    }
    paths.record_reached(&upstream(0), at(20));
    // Requests have gone through other nodes.
    for number in 2..8 {
        paths.record_reached(&upstream(number), at(1_000));
    }
    assert!(paths.is_cut_off());
    assert!(paths.record_connected(&upstream(8), at(1_100)));
    let listed: Vec<UpstreamId> = (0..9).map(upstream).collect();
    for (probe, random) in [0.0, 0.5, 0.99].into_iter().enumerate() {
        let now = at(3_000 + 1_000 * u64::try_from(probe).unwrap());
        assert_eq!(paths.take_probe(listed.iter(), now, random), Some(upstream(0)));
    }
    assert!(paths.record_connected(&upstream(0), at(6_000)));
    assert_eq!(paths.take_probe(listed.iter(), at(7_000), 0.5), None);
}

#[test]
fn failed_probes_of_lost_paths_do_not_speak_for_the_others() {
    let mut paths = PathTable::default();
    let listed = [0, 1, 2, 3].map(upstream);
    for number in 0..2 {
        paths.record_failure(&upstream(number), PathFailure::Silent, at(10));
        paths.record_reached(&upstream(number), at(20));
    }
    let probed = paths.take_probe(listed.iter(), at(30), 0.5).unwrap();
    paths.record_connected(&probed, at(31));
    // Requests to the others use kept connections, so only lost paths are tried from here on.
    for second in 1..20 {
        let now = at(second * 1_100);
        let random = if second % 2 == 0 { 0.0 } else { 0.99 };
        let probed = paths.take_probe(listed.iter(), now, random).unwrap();
        assert!(paths.is_lost(&probed), "{probed} is probed");
        paths.record_failure(&probed, PathFailure::Silent, now);
        paths.record_reached(&probed, now);
        assert!(!paths.is_cut_off(), "after {second} probes");
        assert_eq!(paths.route(&upstream(2)), PathRoute::Direct);
    }
    // The others are lost later.
    for number in 2..4 {
        paths.record_failure(&upstream(number), PathFailure::Silent, at(30_000));
        paths.record_reached(&upstream(number), at(30_010));
    }
    assert!(paths.is_cut_off());
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
