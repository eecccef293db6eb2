//! Tests of what follows from the versions that nodes know, while some of them are out of step.

use std::time::Duration;

use proptest::prelude::*;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        member_list::MemberIdentity,
        origin_query::{KeeperReplies, OriginDecision, VersionView, decide_origin},
        stream_origins::{KEEPERS, StreamOrigin, rank_keepers},
        version_history::VersionHistory,
    },
    ids::{AttemptKey, Incarnation, PoolName, SoftwareVersion},
};

const TIMEOUT: Duration = Duration::from_secs(19);
/// Time for which only one version has served, longer than any stream, in milliseconds.
const SETTLED_MS: u64 = 100_000;

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn pool() -> PoolName {
    "p".parse().unwrap()
}

fn version(label: &str) -> SoftwareVersion {
    label.parse().unwrap()
}

fn inferred(label: &str) -> StreamOrigin {
    StreamOrigin { software: version(label), pool: None }
}

fn announced(label: &str) -> StreamOrigin {
    StreamOrigin { software: version(label), pool: Some(pool()) }
}

/// Replies of queried nodes: `-` for one that does not reply, `?` for one that does not know.
fn replies(words: &[&str]) -> KeeperReplies {
    let mut replies = KeeperReplies { queried: words.len(), ..KeeperReplies::default() };
    for word in words {
        match *word {
            "-" => {}
            "?" => replies.add(None),
            label => replies.add(Some(inferred(label))),
        }
    }
    replies
}

fn view(only: Option<&str>, known: &[&str]) -> VersionView {
    let known = known.iter().map(|label| version(label)).collect();
    VersionView { only: only.map(version), known, is_later: false }
}

fn observe(history: &mut VersionHistory, labels: &[&str], (sent, answered): (u64, u64)) {
    let listed: Vec<_> = labels.iter().map(|label| (pool(), version(label))).collect();
    let listed = listed.iter().map(|(pool, version)| (pool, version));
    history.observe(listed, at(sent), at(answered));
}

/// History of a node that has observed version `v1` only, up to a query at `until`.
fn settled(until: u64) -> VersionHistory {
    let mut history = VersionHistory::default();
    for sent in (until % 500..=until).step_by(500) {
        observe(&mut history, &["v1"], (sent, sent));
    }
    history
}

fn only(history: &VersionHistory, millis: u64) -> Option<String> {
    history.only_version(&[pool()], TIMEOUT, at(millis)).map(ToString::to_string)
}

#[test]
fn node_that_knows_two_versions_believes_no_other_that_infers_one() {
    let known = view(None, &["v1", "v2"]);
    let all_infer = replies(&["v1", "v1", "v1", "v1", "v1"]);
    assert_eq!(decide_origin(&known, &all_infer), OriginDecision::Unknown);
}

#[test]
fn inferences_that_differ_count_as_none() {
    let mixed = replies(&["v1", "v1", "v1", "v1", "v2"]);
    assert_eq!(decide_origin(&view(Some("v1"), &["v1"]), &mixed), OriginDecision::Unknown);
    assert_eq!(decide_origin(&view(None, &["v1"]), &mixed), OriginDecision::Unknown);
    let others = replies(&["v2", "v2", "v2"]);
    let later = VersionView { is_later: true, ..view(Some("v1"), &["v1"]) };
    assert_eq!(decide_origin(&later, &others), OriginDecision::Unknown);
}

#[test]
fn own_inference_needs_others_or_a_later_list() {
    let own = view(Some("v1"), &["v1"]);
    let later = VersionView { is_later: true, ..own.clone() };
    for words in [&["?", "-", "-", "-", "-"][..], &["?", "?", "?", "?", "v1"], &["-", "-"], &[]] {
        let replies = replies(words);
        assert_eq!(decide_origin(&own, &replies), OriginDecision::NeedsList, "{words:?}");
        assert_eq!(decide_origin(&later, &replies), OriginDecision::Known(inferred("v1")));
        let two_known = view(None, &["v1", "v2"]);
        assert_eq!(decide_origin(&two_known, &replies), OriginDecision::Unknown, "{words:?}");
    }
}

/// After a loss of many nodes, or where many stood still at once, few infer a version.
#[test]
fn one_node_that_infers_and_a_later_list_decide() {
    let own = view(None, &["v1"]);
    let later = VersionView { is_later: true, ..own.clone() };
    for words in [&["?", "?", "?", "?", "v1"][..], &["-", "-", "v1", "-", "-"]] {
        assert_eq!(decide_origin(&own, &replies(words)), OriginDecision::NeedsList, "{words:?}");
        let known = OriginDecision::Known(inferred("v1"));
        assert_eq!(decide_origin(&later, &replies(words)), known, "{words:?}");
        let joined = VersionView { is_later: true, ..view(None, &["v1", "v2"]) };
        assert_eq!(decide_origin(&joined, &replies(words)), OriginDecision::Unknown, "{words:?}");
    }
    let nobody_infers = replies(&["?", "?", "?", "-", "-"]);
    assert_eq!(decide_origin(&later, &nobody_infers), OriginDecision::Unknown);
}

/// In step, streams go on at once although a few nodes are gone or do not know, and also at a node whose own
/// list is not complete yet.
#[test]
fn most_nodes_that_infer_the_same_version_decide_at_once() {
    for words in [
        &["v1", "v1", "v1", "-", "-"][..],
        &["v1", "v1", "v1", "?", "?"],
        &["v1", "v1", "-", "?"],
        &["v1", "-", "-"],
        &["v1"],
    ] {
        let replies = replies(words);
        let known = OriginDecision::Known(inferred("v1"));
        assert_eq!(decide_origin(&view(Some("v1"), &["v1"]), &replies), known, "{words:?}");
        assert_eq!(decide_origin(&view(None, &["v1"]), &replies), known, "{words:?}");
    }
}

#[test]
fn announced_origin_comes_before_any_inference() {
    let mut replies = replies(&["v1", "v1", "v1", "?"]);
    replies.add(Some(announced("v2")));
    let decision = decide_origin(&view(Some("v1"), &["v1"]), &replies);
    assert_eq!(decision, OriginDecision::Known(announced("v2")));
}

#[test]
fn version_counts_as_joining_until_every_current_list_holds_it() {
    let mut history = settled(SETTLED_MS);
    assert!(history.joining(&pool(), at(SETTLED_MS)).is_empty());
    observe(&mut history, &["v1", "v2"], (SETTLED_MS + 500, SETTLED_MS + 900));
    assert_eq!(history.joining(&pool(), at(SETTLED_MS + 900)), [version("v2")]);
    observe(&mut history, &["v1", "v2"], (SETTLED_MS + 3_000, SETTLED_MS + 3_000));
    assert_eq!(history.joining(&pool(), at(SETTLED_MS + 3_400)), [version("v2")]);
    assert!(history.joining(&pool(), at(SETTLED_MS + 3_401)).is_empty());
}

/// A node that starts during a release learns from others which versions have served for long.
#[test]
fn version_that_others_have_published_joins_no_more() {
    let mut before = settled(SETTLED_MS);
    observe(&mut before, &["v1", "v2"], (SETTLED_MS + 100, SETTLED_MS + 100));
    let published = before.publish(|time| i64::try_from(time.as_millis()).ok()).unwrap();
    let mut started = VersionHistory::default();
    let sent = SETTLED_MS + 3_000;
    observe(&mut started, &["v1", "v2"], (sent, sent));
    assert_eq!(started.joining(&pool(), at(sent)).len(), 2);
    started.merge(&published, |millis| at(u64::try_from(millis).unwrap()));
    assert_eq!(started.joining(&pool(), at(sent)), [version("v1"), version("v2")]);
    assert!(started.joining(&pool(), at(sent + 601)).is_empty());
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
    /// Once a stream has begun at a version that is not joining any more, no node infers another one, however
    /// late its list is and whenever it asked for it.
    #[test]
    fn no_current_list_lacks_a_version_at_which_new_streams_begin(
        joined in 0_u64..3_000,
        first_query in 0_u64..500,
        period in 100_u64..3_000,
        answer_time in 0_u64..1_000,
        last_query in 0_u64..10_000,
        late in 0_u64..6_000,
    ) {
        // The node that begins the stream. Its queries are performed as late as possible.
        let mut beginning = settled(SETTLED_MS);
        let mut began = None;
        for sent in (SETTLED_MS + first_query..SETTLED_MS + 20_000).step_by(usize::try_from(period).unwrap()) {
            let answered = sent + answer_time;
            let labels = if answered >= SETTLED_MS + joined { &["v1", "v2"][..] } else { &["v1"] };
            observe(&mut beginning, labels, (sent, answered));
            let is_listed = labels.len() == 2;
            if is_listed && beginning.joining(&pool(), at(answered)).is_empty() {
                began = Some(answered);
                break;
            }
        }
        let began = began.unwrap();
        // The node that is asked to go on with it. Its queries are performed as soon as possible.
        let last_query = SETTLED_MS + last_query;
        let mut asked = settled(last_query.min(SETTLED_MS + joined - u64::from(joined > 0)));
        for sent in (SETTLED_MS + joined..=last_query).step_by(500) {
            observe(&mut asked, &["v1", "v2"], (sent, sent));
        }
        prop_assert_eq!(only(&asked, began + late), None);
    }

    /// However many nodes are unreachable and however outdated the lists of all others are, a stream that was
    /// announced is not taken for one of another version.
    #[test]
    fn nodes_that_were_told_outvote_outdated_lists(
        count in 3_u64..40,
        seed: u64,
        unreachable in proptest::collection::vec(any::<bool>(), 40),
    ) {
        let nodes = members(count);
        let attempt = AttemptKey::of(&seed.to_string());
        let teller = &nodes[0].node;
        let told: Vec<_> =
            rank_keepers(attempt, &nodes, teller).into_iter().take(KEEPERS).collect();
        for asked in nodes[1..].iter().filter(|asked| !told.contains(asked)) {
            let queried = rank_keepers(attempt, &nodes, &asked.node);
            let mut replies = KeeperReplies { queried: queried.len(), ..KeeperReplies::default() };
            for keeper in queried {
                let at = nodes.iter().position(|entry| entry == keeper).unwrap();
                if unreachable[at] || keeper.node == *teller {
                    continue;
                }
                let is_told = told.contains(&keeper);
                replies.add(Some(if is_told { announced("v2") } else { inferred("v1") }));
            }
            let decision = decide_origin(&view(Some("v1"), &["v1"]), &replies);
            prop_assert_ne!(decision, OriginDecision::Known(inferred("v1")));
        }
    }
}
