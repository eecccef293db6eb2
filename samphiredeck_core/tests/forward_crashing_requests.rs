//! Tests of the search for requests that crash upstreams.

use std::time::Duration;

use samphiredeck_core::{
    boot_time::BootTime,
    forward::suspects::{CrashReport, SuspectProof, SuspectTable},
    ids::{RunKey, SuspectKey},
};

/// Later than any age of a report.
const START: Duration = Duration::from_secs(100_000);

fn at(millis: u64) -> BootTime {
    BootTime::new(START) + Duration::from_millis(millis)
}

fn part(name: &str) -> SuspectKey {
    SuspectKey::of_part(name)
}

fn request(name: &str) -> SuspectKey {
    SuspectKey::of_request(&["POST", name], b"body")
}

/// Report of `request` with the shared parts `names`, which waited for `waited_ms`.
fn request_report(
    engine: u64,
    request: SuspectKey,
    names: &[&str],
    (millis, waited_ms): (u64, u64),
) -> CrashReport {
    let run = RunKey::of(&format!("e{engine}").parse().unwrap(), Some(engine));
    let keys = std::iter::once(request).chain(names.iter().map(|name| part(name))).collect();
    let report = CrashReport::new(run, keys, at(millis)).unwrap();
    report.with_wait(Duration::from_millis(waited_ms))
}

#[test]
fn request_that_goes_from_upstream_to_upstream_counts_each_crash() {
    let mut table = SuspectTable::default();
    for number in 0..3 {
        table.add_report(request_report(number, request("a"), &[], (1_000 + number * 50, 45)));
    }
    assert_eq!(table.assess(&[request("a")]).unwrap().crashes, 3);
    // Copies of it that were sent before the first crash count once.
    let mut table = SuspectTable::default();
    for number in 0..6 {
        table.add_report(request_report(number, request("a"), &[], (1_000 + number * 10, 400)));
    }
    assert_eq!(table.assess(&[request("a")]).unwrap().crashes, 1);
}

#[test]
fn one_crash_counts_once_however_late_its_requests_were_sent() {
    let mut table = SuspectTable::default();
    for (number, waited_ms) in (0..5).zip([400, 4, 3, 2, 1]) {
        let victim = request(&format!("v{number}"));
        table.add_report(request_report(1, victim, &["hot"], (1_000 + number * 3, waited_ms)));
    }
    assert_eq!(table.assess(&[part("hot")]).unwrap().crashes, 1);
    // Engines of a failure domain that end together, with requests sent until then.
    let mut table = SuspectTable::default();
    for engine in 0..8 {
        let victim = request(&format!("v{engine}"));
        let times = (1_000 + engine * 2, 1 + engine * 2 + engine % 3);
        table.add_report(request_report(engine, victim, &["hot"], times));
    }
    assert_eq!(table.assess(&[part("hot")]).unwrap().crashes, 1);
}

#[test]
fn request_is_blamed_before_its_parts_and_parts_before_single_requests() {
    let mut table = SuspectTable::default();
    for number in 0..3 {
        table.add_report(request_report(number, request("a"), &["first"], (number * 1_000, 40)));
    }
    let blamed = table.assess(&[request("a"), part("first")]).unwrap();
    assert_eq!((blamed.key, blamed.crashes), (request("a"), 3));
    assert_eq!(table.assess(&[request("b"), part("first")]), None, "the request explains it");
    let mut table = SuspectTable::default();
    for (number, name) in (0..3).zip(["a", "b", "c"]) {
        table.add_report(request_report(number, request(name), &["dead"], (number * 1_000, 40)));
    }
    let blamed = table.assess(&[request("d"), part("dead")]).unwrap();
    assert_eq!((blamed.key, blamed.crashes), (part("dead"), 3));
    let mut table = SuspectTable::default();
    for (number, name) in (0..2).zip(["a", "b"]) {
        table.add_report(request_report(
            number,
            request(name),
            &["first", "dead"],
            (number * 1_000, 40),
        ));
    }
    let blamed = table.assess(&[request("c"), part("first"), part("dead")]).unwrap();
    assert_eq!(blamed.key, part("dead"), "fewer requests share it");
    assert_eq!(table.assess(&[request("d")]), None);
}

#[test]
fn request_reaches_upstreams_three_times_after_its_third_crash() {
    // Whether trials end in crashes, or have no result.
    for crashes in [true, false] {
        let mut table = SuspectTable::default();
        for number in 0..3 {
            table.add_report(request_report(number, request("a"), &[], (number * 1_000, 40)));
        }
        let mut granted = 0;
        for second in 3..7_000 {
            let now = at(second * 1_000);
            table.remove_settled(now);
            let is_due =
                table.assess(&[request("a")]).is_none_or(|suspicion| suspicion.trial_at <= now);
            if !is_due || !table.grant_trial(request("a"), &[request("a")], now) {
                continue;
            }
            granted += 1;
            if crashes {
                let report = request_report(second, request("a"), &[], (second * 1_000 + 50, 40));
                table.add_report(report);
            }
        }
        assert_eq!(granted, 3, "crashes: {crashes}");
    }
}

#[test]
fn repeated_request_outlasts_many_that_were_there_once() {
    let mut table = SuspectTable::default();
    for number in 0..3 {
        table.add_report(request_report(number, request("a"), &[], (number * 1_000, 40)));
    }
    for number in 0..2_000 {
        let victim = request(&format!("v{number}"));
        table.add_report(request_report(number, victim, &[], (4_000 + number * 200, 40)));
    }
    assert_eq!(table.assess(&[request("a")]).unwrap().crashes, 3);
    let victim = request("v1999");
    assert!(table.assess(&[victim]).is_some());
    assert!(table.add_proof(SuspectProof { key: victim, at: at(500_000) }), "a response clears it");
    assert_eq!(table.assess(&[victim]), None);
}
