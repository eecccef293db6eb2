//! Tests of the upstream registry, placement, and store readers.

use std::time::Duration;

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        placement::{PlacementRequest, PromptPart, choose_upstream},
        pool_speed::PoolSpeed,
        prompt_cache::PromptCacheTable,
        store_readers::{ReaderCandidate, order_readers},
        upstream_list::{ListedUpstream, UPSTREAM_PAGE_ENTRIES},
        upstream_state::ResponseEvent,
        upstreams::{
            ListUpdate, PeerListStatus, PendingResponse, UpstreamChange, UpstreamRegistry,
        },
    },
    ids::{DomainName, NodeName, PoolName, RowVersion, UpstreamId},
};

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn entry(id: &str) -> ListedUpstream {
    ListedUpstream {
        id: id.parse().unwrap(),
        started_ms: Some(1),
        pool: "pool".parse().unwrap(),
        software: "v1".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "a".parse().unwrap(),
        slots: 6,
        leaving: false,
        leaves_in: None,
        reclaimable: false,
        warm_up: Duration::ZERO,
    }
}

fn id(text: &str) -> UpstreamId {
    text.parse().unwrap()
}

/// Applies a list of `names` as version `millis`, read by a query that was sent 10 ms before.
fn read(registry: &mut UpstreamRegistry, names: &[&str], millis: u64) -> Vec<UpstreamChange> {
    let list = names.iter().map(|name| entry(name)).collect();
    registry.apply_list(list, RowVersion(millis), at(millis - 10), at(millis))
}

fn accepting(registry: &UpstreamRegistry, name: &str, millis: u64) -> bool {
    registry.find(&id(name)).is_some_and(|row| row.is_accepting(at(millis)))
}

fn choose(
    registry: &UpstreamRegistry,
    parts: &[PromptPart],
    tried: &[UpstreamId],
) -> Option<String> {
    choose_with_jitter(registry, parts, tried, &[0.5])
}

/// Chooses an upstream with the jitter cycling through `jitters`.
fn choose_with_jitter(
    registry: &UpstreamRegistry,
    parts: &[PromptPart],
    tried: &[UpstreamId],
    jitters: &[f64],
) -> Option<String> {
    let mut jitters = jitters.iter().copied().cycle();
    let pool: PoolName = "pool".parse().unwrap();
    let domain: DomainName = "a".parse().unwrap();
    let engine = !parts.is_empty();
    let request = PlacementRequest {
        node: &"n".parse().unwrap(),
        only: None,
        software: None,
        avoided_software: &[],
        pool: &pool,
        engine,
        parts,
        tried,
        misdirected: &[],
        max_connections: 50,
        max_event_gap: Duration::from_millis(600),
        speed: PoolSpeed::default(),
        prompt_cache: &PromptCacheTable::default(),
        nodes: 8,
        is_told: false,
        turn: None,
    };
    let choice =
        choose_upstream(registry, &request, &domain, at(2_000), || jitters.next().unwrap());
    choice.map(|choice| choice.upstream.to_string())
}

#[test]
fn leaving_mark_lasts_until_the_upstream_restarts() {
    let mut registry = UpstreamRegistry::default();
    read(&mut registry, &["u"], 1_000);
    let leaving = ListedUpstream { leaving: true, ..entry("u") };
    let changes = registry.apply_list(vec![leaving], RowVersion(1_500), at(1_490), at(1_500));
    assert_eq!(changes, [UpstreamChange::Leaving(id("u"))]);
    read(&mut registry, &["u"], 2_000);
    assert!(!accepting(&registry, "u", 2_000), "a list entry without the mark does not clear it");

    let restarted = ListedUpstream { started_ms: Some(2), ..entry("u") };
    registry.apply_list(vec![restarted], RowVersion(2_500), at(2_490), at(2_500));
    assert!(accepting(&registry, "u", 2_500), "a restart clears the mark");
}

#[test]
fn upstream_that_left_does_not_accept_again_when_its_entry_returns() {
    let mut registry = UpstreamRegistry::default();
    read(&mut registry, &["u", "v"], 1_000);
    // A request in flight keeps the row after its entry is gone.
    registry.record_request_start(&id("u"), &pending(0, 1_000));
    registry.record_request_start(&id("v"), &pending(0, 1_000));
    let leaving = ListedUpstream { leaving: true, ..entry("u") };
    registry.apply_list(vec![leaving, entry("v")], RowVersion(1_500), at(1_490), at(1_500));
    read(&mut registry, &[], 2_000);
    read(&mut registry, &["u", "v"], 2_500);
    assert!(!accepting(&registry, "u", 2_500), "it was leaving");
    assert!(accepting(&registry, "v", 2_500), "its entry had expired");
}

#[test]
fn leaving_mark_in_a_response_is_kept() {
    let mut registry = UpstreamRegistry::default();
    read(&mut registry, &["u"], 1_000);
    let mut record =
        || registry.record_response_event(&id("u"), Some(1), ResponseEvent::Leaving, at(1_200));
    assert!(record().is_some());
    assert!(record().is_none(), "reported once");
    read(&mut registry, &["u"], 1_700);
    assert!(!accepting(&registry, "u", 1_700));
}

#[test]
fn entries_missing_after_a_read_gap_are_a_last_resort() {
    let mut registry = UpstreamRegistry::default();
    read(&mut registry, &["u", "v"], 1_000);
    // The store was unavailable for 5 s and lists only one of them afterwards.
    read(&mut registry, &["v"], 6_000);
    assert!(accepting(&registry, "u", 6_000));
    let chosen = choose(&registry, &[], &[]);
    assert_eq!(chosen.as_deref(), Some("v"), "a listed upstream is preferred");
    assert_eq!(choose(&registry, &[], &[id("v")]).as_deref(), Some("u"));
    assert!(!accepting(&registry, "u", 8_300), "removed if still missing after two seconds");
    let changes = read(&mut registry, &["u", "v"], 8_000);
    assert_eq!(changes, [UpstreamChange::Returned(id("u"))]);
    assert!(accepting(&registry, "u", 9_000));
}

#[test]
fn entry_that_disappears_later_is_removed_at_once() {
    let mut registry = UpstreamRegistry::default();
    read(&mut registry, &["u", "v"], 1_000);
    read(&mut registry, &["u", "v"], 6_000);
    let changes = read(&mut registry, &["v"], 6_700);
    assert_eq!(changes, [UpstreamChange::Gone(id("u"))]);
    assert!(!accepting(&registry, "u", 6_700));
}

#[test]
fn older_lists_are_ignored() {
    let mut registry = UpstreamRegistry::default();
    read(&mut registry, &["u"], 1_000);
    read(&mut registry, &[], 2_000);
    // Sent earlier and answered later.
    registry.apply_list(vec![entry("u")], RowVersion(2_100), at(1_500), at(2_100));
    assert!(!accepting(&registry, "u", 2_100));
    // Sent later, but answered with an older version.
    registry.apply_list(vec![entry("u")], RowVersion(1_200), at(2_200), at(2_210));
    assert!(!accepting(&registry, "u", 2_210));
}

#[test]
fn failing_upstreams_are_avoided_and_retried_later() {
    let mut registry = UpstreamRegistry::default();
    read(&mut registry, &["u", "v"], 1_000);
    for _ in 0..5 {
        registry.record_outcome(&id("u"), true, at(1_900));
        registry.record_outcome(&id("v"), false, at(1_900));
    }
    assert_eq!(choose(&registry, &[], &[]).as_deref(), Some("v"));
    let share = registry.find(&id("u")).unwrap().failure_rate(at(1_900));
    let later = registry.find(&id("u")).unwrap().failure_rate(at(13_900));
    assert!(share > 0.8 && later < 0.1, "{share} {later}");
}

#[test]
fn load_of_other_nodes_counts_until_the_report_is_old() {
    let mut registry = UpstreamRegistry::default();
    read(&mut registry, &["u", "v"], 1_000);
    registry.record_load(&id("u"), 6, 4, at(2_000));
    assert_eq!(choose(&registry, &[], &[]).as_deref(), Some("v"));
    let row = registry.find(&id("u")).unwrap();
    let counted =
        |millis| row.reported_load(at(millis)).map_or(0.0, |(load, recency)| load * recency);
    assert!(counted(2_000) > 9.9);
    assert!(counted(3_500) < 0.1);
}

fn pending(prefill_tokens: u64, due_millis: u64) -> PendingResponse {
    PendingResponse { prefill_tokens, due_at: at(due_millis) }
}

#[test]
fn slow_upstream_is_avoided_while_its_responses_are_late_and_tried_again_later() {
    // One runner is slowed down while all report the same load, as in `srv_slow`.
    let mut registry = UpstreamRegistry::default();
    read(&mut registry, &["u", "v"], 1_000);
    let request = pending(0, 1_500);
    registry.record_request_start(&id("u"), &request);
    // Without its lateness, the first one would be preferred.
    for _ in 0..3 {
        registry.record_request_start(&id("v"), &pending(0, 9_000));
    }
    assert!(registry.find(&id("u")).unwrap().lateness_ms(at(1_400)) < 0.1);
    // Not answered yet, and already overdue.
    let overdue = registry.find(&id("u")).unwrap().lateness_ms(at(1_900));
    assert!((overdue - 400.0).abs() < 1.0, "{overdue}");
    assert_eq!(choose(&registry, &[], &[]).as_deref(), Some("v"));
    registry.record_no_longer_pending(&id("u"), &request);
    registry.record_response_start(&id("u"), &request, at(2_000));
    let late = registry.find(&id("u")).unwrap().lateness_ms(at(2_000));
    assert!(late > 100.0, "{late}");
    assert_eq!(choose(&registry, &[], &[]).as_deref(), Some("v"));
    assert!(registry.find(&id("u")).unwrap().lateness_ms(at(10_000)) < 1.0);
}

fn parts(shared: &str, tokens: u64, own: u64) -> Vec<PromptPart> {
    let part = |id: &str, tokens| PromptPart { id: id.to_owned(), tokens };
    vec![part("base", 500), part(shared, tokens), part("own", own)]
}

#[test]
fn all_nodes_find_the_same_affinity_upstream() {
    let names = ["u", "v", "w", "x", "y"];
    let mut affinity_choices = Vec::new();
    for (order, jitters) in [(0, [0.0, 1.0]), (2, [1.0, 0.0])] {
        let mut registry = UpstreamRegistry::default();
        let mut names = names;
        names.rotate_left(order);
        read(&mut registry, &names, 1_000);
        let session = |number: u64| parts(&format!("session{number}"), 5_000, 600);
        let chosen = |number| choose_with_jitter(&registry, &session(number), &[], &jitters);
        affinity_choices.push((0..20).map(chosen).collect::<Vec<_>>());
    }
    assert_eq!(affinity_choices[0], affinity_choices[1], "nodes agree whatever their jitter");
    let mut used = affinity_choices[0].clone();
    used.sort();
    used.dedup();
    assert_eq!(
        used.len(),
        names.len() - 1,
        "sessions spread over all upstreams but the dedicated one"
    );
    // A busy affinity upstream is avoided: computing 5,000 tokens again takes less time.
    let affinity_upstream = affinity_choices[0][0].clone().unwrap();
    let mut registry = UpstreamRegistry::default();
    read(&mut registry, &names, 1_000);
    registry.record_request_start(&id(&affinity_upstream), &pending(20_000, 2_500));
    assert_ne!(choose(&registry, &parts("session0", 5_000, 600), &[]), Some(affinity_upstream));
}

#[test]
fn long_prompts_and_other_requests_use_separate_upstreams() {
    let names: Vec<String> = (0..12).map(|number| format!("u{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut registry = UpstreamRegistry::default();
    read(&mut registry, &names, 1_000);
    let mut long = Vec::new();
    let mut short = Vec::new();
    for number in 0..40 {
        long.extend(choose(&registry, &parts(&format!("s{number}"), 4_000, 40_000), &[]));
        short.extend(choose(&registry, &parts(&format!("s{number}"), 4_000, 600), &[]));
    }
    assert!(long.iter().all(|upstream| !short.contains(upstream)), "{long:?} {short:?}");
    long.sort();
    long.dedup();
    assert!(long.len() <= 2, "{long:?}");
}

fn peer_status(digest: u64, as_of: u64) -> PeerListStatus {
    PeerListStatus { digest, version: RowVersion(as_of), as_of: at(as_of), delta: None }
}

#[test]
fn peer_status_confirms_only_an_identical_list() {
    let mut registry = UpstreamRegistry::default();
    let mut other = UpstreamRegistry::default();
    assert_eq!(
        registry.apply_peer_status(peer_status(1, 50), at(60)),
        ListUpdate::Refetch,
        "nothing was read yet"
    );
    read(&mut registry, &["a", "b"], 1_000);
    // The other node's list has different countdowns, which are not compared.
    let mut list = vec![entry("b"), entry("a")];
    list[0].warm_up = Duration::from_millis(300);
    list[1].leaves_in = Some(Duration::from_secs(9));
    other.apply_list(list, RowVersion(1_400), at(1_390), at(1_400));
    let digest = other.digest();
    assert_eq!(registry.apply_peer_status(peer_status(digest, 990), at(1_500)), ListUpdate::Stale);
    assert_eq!(
        registry.apply_peer_status(peer_status(digest, 1_390), at(1_500)),
        ListUpdate::Applied(Vec::new())
    );
    assert_eq!(registry.read_at(), Some(at(1_390)), "as old as the other node's read");
    for change in ["leaving", "born", "address"] {
        let mut changed = entry("a");
        match change {
            "leaving" => changed.leaving = true,
            "born" => changed.started_ms = Some(2),
            _ => changed.address = "10.0.0.1:81".parse().unwrap(),
        }
        let mut other = UpstreamRegistry::default();
        other.apply_list(vec![changed, entry("b")], RowVersion(1_600), at(1_590), at(1_600));
        let update = registry.apply_peer_status(peer_status(other.digest(), 1_590), at(1_700));
        assert_eq!(update, ListUpdate::Refetch, "{change}");
    }
    assert_eq!(registry.read_at(), Some(at(1_390)), "a different list confirms nothing");
}

#[test]
fn peer_status_also_removes_an_upstream_missing_after_a_gap() {
    let mut registry = UpstreamRegistry::default();
    read(&mut registry, &["a", "b"], 1_000);
    // Entries expired while the store was unavailable. The first read after it lists one of two.
    assert!(read(&mut registry, &["a"], 6_000).is_empty());
    let mut other = UpstreamRegistry::default();
    read(&mut other, &["a"], 8_500);
    let update = registry.apply_peer_status(peer_status(other.digest(), 8_490), at(8_500));
    assert_eq!(update, ListUpdate::Applied(vec![UpstreamChange::Gone(id("b"))]));
}

#[test]
fn nodes_of_a_domain_share_a_few_readers() {
    let candidate = |number: u32| ReaderCandidate {
        node: format!("n{number:03}").parse().unwrap(),
        domain: if number.is_multiple_of(2) { "a" } else { "b" }.parse().unwrap(),
    };
    for (count, readers) in [(2, 1), (8, 1), (64, 1), (128, 1), (130, 2), (1_000, 8)] {
        let all: Vec<ReaderCandidate> = (0..count).map(candidate).collect();
        let mut first_readers: Vec<NodeName> = Vec::new();
        let mut busiest = 0;
        for own in &all {
            let order = order_readers(&own.node, &own.domain, all.clone());
            assert_eq!(order.len(), all.len());
            // Each node reads the store itself before it asks another domain.
            let position = order.iter().position(|node| *node == own.node).unwrap();
            let near = all.iter().filter(|one| one.domain == own.domain).count();
            assert!(position < near);
            if own.domain.as_str() == "a" {
                first_readers.push(order[0].clone());
            }
        }
        first_readers.sort();
        let mut at = 0;
        while at < first_readers.len() {
            let same =
                first_readers[at..].iter().take_while(|node| **node == first_readers[at]).count();
            busiest = busiest.max(same);
            at += same;
        }
        first_readers.dedup();
        assert_eq!(first_readers.len(), readers, "{count} nodes");
        // A reader is meant for 64 nodes; uneven hashing may double that.
        assert!(busiest <= 128, "{busiest} ask one reader");
        // Readers read the store themselves.
        for reader in &first_readers {
            let domain = "a".parse().unwrap();
            assert_eq!(order_readers(reader, &domain, all.clone())[0], *reader);
        }
    }
}

#[test]
fn small_list_changes_are_sent_as_verified_deltas() {
    let names: Vec<String> = (0..40).map(|number| format!("u{number:02}")).collect();
    let mut list: Vec<ListedUpstream> = names.iter().map(|name| entry(name)).collect();
    let mut reader = UpstreamRegistry::default();
    let mut follower = UpstreamRegistry::default();
    reader.apply_list(list.clone(), RowVersion(1), at(990), at(1_000));
    follower.apply_list(list.clone(), RowVersion(1), at(990), at(1_000));
    let held = follower.digest();
    // The reader has read twice since: one upstream is leaving, one is gone, one has restarted, and
    // one is new.
    list[3].leaving = true;
    list.remove(7);
    reader.apply_list(list.clone(), RowVersion(2), at(1_390), at(1_400));
    list[9].started_ms = Some(2);
    list.push(entry("new"));
    reader.apply_list(list.clone(), RowVersion(3), at(1_790), at(1_800));
    let delta = reader.delta_from(held);
    assert!(
        delta.as_ref().is_some_and(|delta| delta.upserted.len() == 3 && delta.removed.len() == 1)
    );
    let mut wrong = delta.clone().unwrap();
    wrong.removed.clear();
    let status = PeerListStatus { delta: Some(wrong), ..peer_status(reader.digest(), 1_790) };
    assert_eq!(
        follower.apply_peer_status(status, at(1_900)),
        ListUpdate::Refetch,
        "an incomplete delta is rejected"
    );
    let status = PeerListStatus { delta, ..peer_status(reader.digest(), 1_790) };
    let update = follower.apply_peer_status(status, at(1_900));
    let ListUpdate::Applied(mut changes) = update else { panic!("{update:?}") };
    changes.sort_by_key(|change| format!("{change:?}"));
    let expected = [
        UpstreamChange::Gone(id("u07")),
        UpstreamChange::Joined(id("new")),
        UpstreamChange::Joined(id("u10")),
        UpstreamChange::Leaving(id("u03")),
    ];
    assert_eq!(changes, expected);
    assert_eq!(follower.digest(), reader.digest());
    assert_eq!(
        follower.delta_from(held),
        reader.delta_from(held),
        "the follower can relay the delta"
    );
    // A large change, and the whole list for a node that holds an unknown one, come in pages.
    list.truncate(10);
    reader.apply_list(list, RowVersion(4), at(2_190), at(2_200));
    for from in [follower.digest(), 12_345] {
        let whole = reader.delta_from(from).unwrap();
        assert_eq!(whole.from.is_none(), from == 12_345);
        let (mut received, mut left) = whole.page(0, UPSTREAM_PAGE_ENTRIES);
        while left > 0 {
            let (page, left_after) = whole.page(received.len(), UPSTREAM_PAGE_ENTRIES);
            assert!(page.len() <= 8, "fits into a datagram");
            assert!(left_after < left);
            received.append(page);
            left = left_after;
        }
        assert_eq!(received, whole);
        let mut node = if from == 12_345 { UpstreamRegistry::default() } else { follower.clone() };
        let status =
            PeerListStatus { delta: Some(received), ..peer_status(reader.digest(), 2_190) };
        let update = node.apply_peer_status(status, at(2_300));
        assert!(matches!(update, ListUpdate::Applied(_)), "{update:?}");
        assert_eq!(node.digest(), reader.digest());
    }
}

/// After a freeze, the list named an upstream that had left meanwhile. Without the store, the last list is all there is.
#[test]
fn list_is_outdated_after_a_freeze_and_not_while_reads_fail() {
    let mut registry = UpstreamRegistry::default();
    assert!(!registry.is_outdated(at(60_000)), "nothing to use before the first read");
    read(&mut registry, &["a"], 1_000);
    assert!(!registry.is_outdated(at(3_000)));
    assert!(registry.is_outdated(at(5_000)), "frozen for four seconds");
    read(&mut registry, &[], 5_050);
    assert!(!registry.is_outdated(at(5_060)));
    // An outage: each read fails, at most 2 s after the one before.
    for second in 7..30 {
        registry.record_read_failure(at(second * 1_000));
        assert!(!registry.is_outdated(at(second * 1_000 + 999)));
    }
    assert!(registry.is_outdated(at(35_000)), "frozen in an outage, until the next read fails");
    registry.record_read_failure(at(35_900));
    assert!(!registry.is_outdated(at(35_901)));
}
