//! Tests of the software versions that streams began at.

use std::time::Duration;

use proptest::prelude::*;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        member_list::MemberIdentity,
        stream_origins::{KEEPERS, OriginSource, OriginTable, StreamOrigin, rank_keepers},
        version_history::VersionHistory,
    },
    ids::{AttemptKey, Incarnation, PoolName, SoftwareVersion},
};

const TIMEOUT: Duration = Duration::from_secs(19);
/// Time after which no stream of a version can be resumed, in milliseconds.
const SPAN_MS: u64 = 20_000;

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn pool(name: &str) -> PoolName {
    name.parse().unwrap()
}

fn version(label: &str) -> SoftwareVersion {
    label.parse().unwrap()
}

fn origin(label: &str) -> StreamOrigin {
    StreamOrigin { software: version(label), pool: Some(pool("p")) }
}

/// Observes `labels` in pool `p` each half second.
fn observe(history: &mut VersionHistory, labels: &[&str], from_ms: u64, to_ms: u64) {
    let listed: Vec<_> = labels.iter().map(|label| (pool("p"), version(label))).collect();
    for millis in (from_ms..=to_ms).step_by(500) {
        let listed = listed.iter().map(|(pool, version)| (pool, version));
        history.observe(listed, at(millis), at(millis));
    }
}

fn only(history: &VersionHistory, millis: u64) -> Option<String> {
    let found = history.only_version(&[pool("p")], TIMEOUT, at(millis));
    found.map(ToString::to_string)
}

#[test]
fn version_is_certain_once_no_older_stream_can_be_resumed() {
    let mut history = VersionHistory::default();
    observe(&mut history, &["v1"], 100_000, 120_500);
    assert_eq!(only(&history, 119_900), None);
    assert_eq!(only(&history, 120_500).as_deref(), Some("v1"));
    observe(&mut history, &["v1", "v2"], 121_000, 122_000);
    assert_eq!(only(&history, 122_000), None);
    observe(&mut history, &["v2"], 122_500, 150_000);
    assert_eq!(only(&history, 122_000 + SPAN_MS - 1), None);
    assert_eq!(only(&history, 150_000).as_deref(), Some("v2"));
}

#[test]
fn version_is_uncertain_after_a_gap_and_with_an_outdated_list() {
    let mut history = VersionHistory::default();
    history.record_first_start();
    observe(&mut history, &["v1"], 100_000, 101_000);
    assert_eq!(only(&history, 101_000).as_deref(), Some("v1"), "no node has served before");
    observe(&mut history, &["v1"], 101_500, 120_000);
    assert_eq!(only(&history, 120_000).as_deref(), Some("v1"));
    assert_eq!(only(&history, 123_000), None, "another version may serve by now");
    observe(&mut history, &["v1"], 123_000, 140_000);
    assert_eq!(only(&history, 140_000), None, "another version may have served in the gap");
    observe(&mut history, &["v1"], 140_500, 144_000);
    assert_eq!(only(&history, 144_000).as_deref(), Some("v1"));
}

#[test]
fn callers_that_wait_longer_keep_a_version_in_question() {
    let mut history = VersionHistory::default();
    observe(&mut history, &["v1"], 100_000, 122_000);
    assert_eq!(only(&history, 122_000).as_deref(), Some("v1"));
    history.record_stream(Duration::from_secs(30));
    assert_eq!(only(&history, 122_000), None);
    observe(&mut history, &["v1"], 122_500, 131_500);
    assert_eq!(only(&history, 131_500).as_deref(), Some("v1"));
}

/// The callers of the nodes before may wait longer than the route's timeout.
#[test]
fn node_that_starts_does_not_trust_a_short_timeout() {
    let mut history = VersionHistory::default();
    observe(&mut history, &["v2"], 100_000, 110_000);
    let timeout = Duration::from_secs(1);
    assert_eq!(history.only_version(&[pool("p")], timeout, at(110_000)), None);
}

#[test]
fn node_that_starts_takes_over_what_others_have_published() {
    let to_store = |time: BootTime| i64::try_from(time.as_millis()).ok();
    let to_boot = |millis: i64| at(u64::try_from(millis).unwrap());
    let mut before = VersionHistory::default();
    observe(&mut before, &["v1"], 100_000, 130_000);
    let published = before.publish(to_store).unwrap();

    let mut started = VersionHistory::default();
    observe(&mut started, &["v1"], 133_000, 134_000);
    assert_eq!(only(&started, 134_000), None);
    started.merge(&published, to_boot);
    assert_eq!(only(&started, 134_000).as_deref(), Some("v1"));

    // What was published is read before the list.
    let mut started = VersionHistory::default();
    started.merge(&published, to_boot);
    observe(&mut started, &["v1"], 133_000, 134_000);
    assert_eq!(only(&started, 134_000).as_deref(), Some("v1"));

    // The release took place while no node was running.
    let mut after_release = VersionHistory::default();
    observe(&mut after_release, &["v2"], 133_000, 134_000);
    after_release.merge(&published, to_boot);
    assert_eq!(only(&after_release, 134_000), None);

    let mut much_later = VersionHistory::default();
    observe(&mut much_later, &["v1"], 150_000, 151_000);
    much_later.merge(&published, to_boot);
    assert_eq!(only(&much_later, 151_000), None, "the published history is outdated");
}

#[test]
fn first_origin_of_a_stream_holds_and_expires() {
    let mut table = OriginTable::default();
    let attempt = AttemptKey::of("a");
    let lifetime = Duration::from_secs(5);
    table.record(attempt, origin("v1"), OriginSource::Announced, lifetime, at(0));
    table.record(attempt, origin("v2"), OriginSource::Own, lifetime, at(3_000));
    assert_eq!(table.find(attempt), Some(&origin("v1")));
    table.remove_expired(at(7_900));
    assert_eq!(table.count(), 1);
    table.remove_expired(at(8_000));
    assert_eq!(table.find(attempt), None);
}

#[test]
fn origin_is_announced_once_and_only_if_due() {
    let mut table = OriginTable::default();
    let lifetime = Duration::from_secs(5);
    table.record(AttemptKey::of("a"), origin("v1"), OriginSource::Own, lifetime, at(0));
    table.record(AttemptKey::of("b"), origin("v1"), OriginSource::Announced, lifetime, at(0));
    assert!(table.take_unannounced(9, |_| false, at(1_000)).is_empty());
    let taken = table.take_unannounced(9, |_| true, at(1_000));
    assert_eq!(taken, [(AttemptKey::of("a"), origin("v1"), Duration::from_secs(4))]);
    assert!(table.take_unannounced(9, |_| true, at(1_000)).is_empty());
}

fn members(count: u64) -> Vec<MemberIdentity> {
    let member = |number: u64| MemberIdentity {
        node: format!("n{number}").parse().unwrap(),
        incarnation: Incarnation(1),
        peer: "10.0.0.1:80".parse().unwrap(),
        domain: "a".parse().unwrap(),
        since_ms: 0,
    };
    (0..count).map(member).collect()
}

proptest! {
    /// Whichever of the nodes that remain is asked, it queries one that was told, as long as not all
    /// of these are gone.
    #[test]
    fn node_that_is_asked_finds_a_keeper(count in 4_u64..40, seed: u64, lost in 0_usize..3) {
        let nodes = members(count);
        let attempt = AttemptKey::of(&seed.to_string());
        let teller = &nodes[usize::try_from(seed % count).unwrap()].node;
        let told: Vec<_> =
            rank_keepers(attempt, &nodes, teller).into_iter().take(KEEPERS).collect();
        prop_assert_eq!(told.len(), KEEPERS);
        let gone: Vec<_> = told.iter().take(lost).map(|entry| &entry.node).chain([teller]).collect();
        let left: Vec<_> =
            nodes.iter().filter(|entry| !gone.contains(&&entry.node)).cloned().collect();
        for asked in &left {
            let queried = rank_keepers(attempt, &left, &asked.node);
            let knows = told.contains(&asked) || queried.iter().any(|entry| told.contains(entry));
            prop_assert!(knows, "{} finds nobody", asked.node);
        }
    }
}
