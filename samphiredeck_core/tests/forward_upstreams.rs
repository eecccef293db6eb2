//! The list of upstreams and the choice among them.

use std::time::Duration;

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        placement::{PlacementRequest, PromptPart, choose_upstream},
        store_readers::{ReaderCandidate, order_readers},
        upstreams::{ListUpdate, ListedUpstream, PeerListStatus, UpstreamChange, UpstreamRegistry},
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

/// Reads a list of `names` as version `millis`, asked 10 ms before.
fn read(roster: &mut UpstreamRegistry, names: &[&str], millis: u64) -> Vec<UpstreamChange> {
    let list = names.iter().map(|name| entry(name)).collect();
    roster.apply_list(list, RowVersion(millis), at(millis - 10), at(millis))
}

fn accepting(roster: &UpstreamRegistry, name: &str, millis: u64) -> bool {
    roster.find(&id(name)).is_some_and(|row| row.is_accepting(at(millis)))
}

fn choose(roster: &UpstreamRegistry, parts: &[PromptPart], tried: &[UpstreamId]) -> Option<String> {
    choose_amid(roster, parts, tried, &[0.5])
}

/// Chooses while the noise goes through `noises` again and again.
fn choose_amid(
    roster: &UpstreamRegistry,
    parts: &[PromptPart],
    tried: &[UpstreamId],
    noises: &[f64],
) -> Option<String> {
    let mut noises = noises.iter().copied().cycle();
    let pool: PoolName = "pool".parse().unwrap();
    let domain: DomainName = "a".parse().unwrap();
    let engine = !parts.is_empty();
    let request = PlacementRequest { pool: &pool, engine, parts, tried, max_connections: 50 };
    let choice = choose_upstream(roster, &request, &domain, at(2_000), || noises.next().unwrap());
    choice.map(|choice| choice.upstream.to_string())
}

#[test]
fn leaving_mark_stays_for_one_start() {
    let mut roster = UpstreamRegistry::default();
    read(&mut roster, &["u"], 1_000);
    let leaving = ListedUpstream { leaving: true, ..entry("u") };
    let changes = roster.apply_list(vec![leaving], RowVersion(1_500), at(1_490), at(1_500));
    assert_eq!(changes, [UpstreamChange::Leaving(id("u"))]);
    read(&mut roster, &["u"], 2_000);
    assert!(!accepting(&roster, "u", 2_000), "a list that says ready clears no mark");

    let reborn = ListedUpstream { started_ms: Some(2), ..entry("u") };
    roster.apply_list(vec![reborn], RowVersion(2_500), at(2_490), at(2_500));
    assert!(accepting(&roster, "u", 2_500), "a new start holds nothing of what was before");
}

#[test]
fn misdirected_answer_marks_the_upstream() {
    let mut roster = UpstreamRegistry::default();
    read(&mut roster, &["u"], 1_000);
    assert!(roster.note_leaving(&id("u")));
    assert!(!roster.note_leaving(&id("u")), "told once");
    read(&mut roster, &["u"], 1_700);
    assert!(!accepting(&roster, "u", 1_700));
}

#[test]
fn entries_that_lapsed_in_a_gap_are_a_last_resort() {
    let mut roster = UpstreamRegistry::default();
    read(&mut roster, &["u", "v"], 1_000);
    // The store was away for 5 s and lists only one of them when it is back.
    read(&mut roster, &["v"], 6_000);
    assert!(accepting(&roster, "u", 6_000));
    let chosen = choose(&roster, &[], &[]);
    assert_eq!(chosen.as_deref(), Some("v"), "a listed one goes first");
    assert_eq!(choose(&roster, &[], &[id("v")]).as_deref(), Some("u"));
    assert!(!accepting(&roster, "u", 8_300), "what is still missing after two seconds is gone");
    let changes = read(&mut roster, &["u", "v"], 8_000);
    assert_eq!(changes, [UpstreamChange::Returned(id("u"))]);
    assert!(accepting(&roster, "u", 9_000));
}

#[test]
fn entry_that_goes_after_a_gap_is_gone_at_once() {
    let mut roster = UpstreamRegistry::default();
    read(&mut roster, &["u", "v"], 1_000);
    read(&mut roster, &["u", "v"], 6_000);
    let changes = read(&mut roster, &["v"], 6_700);
    assert_eq!(changes, [UpstreamChange::Gone(id("u"))]);
    assert!(!accepting(&roster, "u", 6_700));
}

#[test]
fn older_lists_change_nothing() {
    let mut roster = UpstreamRegistry::default();
    read(&mut roster, &["u"], 1_000);
    read(&mut roster, &[], 2_000);
    // Asked earlier and answered later.
    roster.apply_list(vec![entry("u")], RowVersion(2_100), at(1_500), at(2_100));
    assert!(!accepting(&roster, "u", 2_100));
    // Asked later, answered with an older state.
    roster.apply_list(vec![entry("u")], RowVersion(1_200), at(2_200), at(2_210));
    assert!(!accepting(&roster, "u", 2_210));
}

#[test]
fn failing_upstreams_are_avoided_and_tried_again() {
    let mut roster = UpstreamRegistry::default();
    read(&mut roster, &["u", "v"], 1_000);
    for _ in 0..5 {
        roster.note_outcome(&id("u"), true, at(1_900));
        roster.note_outcome(&id("v"), false, at(1_900));
    }
    assert_eq!(choose(&roster, &[], &[]).as_deref(), Some("v"));
    let share = roster.find(&id("u")).unwrap().failure_rate(at(1_900));
    let later = roster.find(&id("u")).unwrap().failure_rate(at(13_900));
    assert!(share > 0.8 && later < 0.1, "{share} {later}");
}

#[test]
fn load_of_others_counts_until_its_report_is_old() {
    let mut roster = UpstreamRegistry::default();
    read(&mut roster, &["u", "v"], 1_000);
    roster.note_load(&id("u"), 6, 4, at(2_000));
    assert_eq!(choose(&roster, &[], &[]).as_deref(), Some("v"));
    let row = roster.find(&id("u")).unwrap();
    assert!(row.other_nodes_load(at(2_000)) > 9.9);
    assert!(row.other_nodes_load(at(3_500)) < 0.1);
}

fn parts(shared: &str, tokens: u64, own: u64) -> Vec<PromptPart> {
    let part = |id: &str, tokens| PromptPart { id: id.to_owned(), tokens };
    vec![part("base", 500), part(shared, tokens), part("own", own)]
}

#[test]
fn shared_parts_have_one_home_that_all_nodes_find() {
    let names = ["u", "v", "w", "x", "y"];
    let mut homes = Vec::new();
    for (order, noises) in [(0, [0.0, 1.0]), (2, [1.0, 0.0])] {
        let mut roster = UpstreamRegistry::default();
        let mut names = names;
        names.rotate_left(order);
        read(&mut roster, &names, 1_000);
        let session = |number: u64| parts(&format!("session{number}"), 5_000, 600);
        let chosen = |number| choose_amid(&roster, &session(number), &[], &noises);
        homes.push((0..20).map(chosen).collect::<Vec<_>>());
    }
    assert_eq!(homes[0], homes[1], "nodes agree whatever their noise");
    let mut used = homes[0].clone();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), names.len() - 1, "sessions spread over all but the lane");
    // A home that is busy is left: reading 5,000 tokens again takes 77 ms.
    let home = homes[0][0].clone().unwrap();
    let mut roster = UpstreamRegistry::default();
    read(&mut roster, &names, 1_000);
    roster.note_sent(&id(&home), 20_000);
    assert_ne!(choose(&roster, &parts("session0", 5_000, 600), &[]), Some(home));
}

#[test]
fn long_prompts_and_other_requests_keep_apart() {
    let names: Vec<String> = (0..12).map(|number| format!("u{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut roster = UpstreamRegistry::default();
    read(&mut roster, &names, 1_000);
    let mut long = Vec::new();
    let mut short = Vec::new();
    for number in 0..40 {
        long.extend(choose(&roster, &parts(&format!("s{number}"), 4_000, 40_000), &[]));
        short.extend(choose(&roster, &parts(&format!("s{number}"), 4_000, 600), &[]));
    }
    assert!(long.iter().all(|upstream| !short.contains(upstream)), "{long:?} {short:?}");
    long.sort();
    long.dedup();
    assert!(long.len() <= 2, "{long:?}");
}

fn word(digest: u64, as_of: u64) -> PeerListStatus {
    PeerListStatus { digest, as_of: at(as_of), delta: None }
}

#[test]
fn word_of_another_node_keeps_the_same_list_fresh_and_no_other() {
    let mut roster = UpstreamRegistry::default();
    let mut other = UpstreamRegistry::default();
    assert_eq!(
        roster.apply_peer_status(word(1, 50), at(60)),
        ListUpdate::Refetch,
        "nothing was read yet"
    );
    read(&mut roster, &["a", "b"], 1_000);
    // The other node's list counts down elsewhere, which makes no difference.
    let mut list = vec![entry("b"), entry("a")];
    list[0].warm_up = Duration::from_millis(300);
    list[1].leaves_in = Some(Duration::from_secs(9));
    other.apply_list(list, RowVersion(1_400), at(1_390), at(1_400));
    let told = other.digest();
    assert_eq!(roster.apply_peer_status(word(told, 990), at(1_500)), ListUpdate::Stale);
    assert_eq!(
        roster.apply_peer_status(word(told, 1_390), at(1_500)),
        ListUpdate::Applied(Vec::new())
    );
    assert_eq!(roster.read_at(), Some(at(1_390)), "as old as the other node's read");
    for change in ["leaving", "born", "address"] {
        let mut changed = entry("a");
        match change {
            "leaving" => changed.leaving = true,
            "born" => changed.started_ms = Some(2),
            _ => changed.address = "10.0.0.1:81".parse().unwrap(),
        }
        let mut other = UpstreamRegistry::default();
        other.apply_list(vec![changed, entry("b")], RowVersion(1_600), at(1_590), at(1_600));
        let step = roster.apply_peer_status(word(other.digest(), 1_590), at(1_700));
        assert_eq!(step, ListUpdate::Refetch, "{change}");
    }
    assert_eq!(roster.read_at(), Some(at(1_390)), "another list proves nothing");
}

#[test]
fn upstream_missing_after_a_gap_is_given_up_by_word_too() {
    let mut roster = UpstreamRegistry::default();
    read(&mut roster, &["a", "b"], 1_000);
    // Entries lapsed while the store was away: the first read after it names one of two.
    assert!(read(&mut roster, &["a"], 6_000).is_empty());
    let mut other = UpstreamRegistry::default();
    read(&mut other, &["a"], 8_500);
    let step = roster.apply_peer_status(word(other.digest(), 8_490), at(8_500));
    assert_eq!(step, ListUpdate::Applied(vec![UpstreamChange::Gone(id("b"))]));
}

#[test]
fn nodes_of_a_domain_have_the_same_few_readers() {
    let candidate = |number: u32| ReaderCandidate {
        node: format!("n{number:03}").parse().unwrap(),
        domain: if number.is_multiple_of(2) { "a" } else { "b" }.parse().unwrap(),
    };
    for (count, readers) in [(2, 1), (8, 1), (64, 1), (66, 2), (1_000, 16)] {
        let all: Vec<ReaderCandidate> = (0..count).map(candidate).collect();
        let mut first: Vec<NodeName> = Vec::new();
        let mut busiest = 0;
        for own in &all {
            let order = order_readers(&own.node, &own.domain, all.clone());
            assert_eq!(order.len(), all.len());
            // Everyone reads for itself before it asks another domain.
            let place = order.iter().position(|node| *node == own.node).unwrap();
            let near = all.iter().filter(|one| one.domain == own.domain).count();
            assert!(place < near);
            if own.domain.as_str() == "a" {
                first.push(order[0].clone());
            }
        }
        first.sort();
        let mut at = 0;
        while at < first.len() {
            let same = first[at..].iter().take_while(|node| **node == first[at]).count();
            busiest = busiest.max(same);
            at += same;
        }
        first.dedup();
        assert_eq!(first.len(), readers, "{count} nodes");
        assert!(busiest <= 64, "{busiest} ask one reader");
        // Those that are asked first read for themselves.
        for reader in &first {
            let domain = "a".parse().unwrap();
            assert_eq!(order_readers(reader, &domain, all.clone())[0], *reader);
        }
    }
}

#[test]
fn small_changes_of_the_list_come_with_the_word_and_are_checked() {
    let names: Vec<String> = (0..40).map(|number| format!("u{number:02}")).collect();
    let mut list: Vec<ListedUpstream> = names.iter().map(|name| entry(name)).collect();
    let mut reader = UpstreamRegistry::default();
    let mut follower = UpstreamRegistry::default();
    reader.apply_list(list.clone(), RowVersion(1), at(990), at(1_000));
    follower.apply_list(list.clone(), RowVersion(1), at(990), at(1_000));
    let held = follower.digest();
    // Two reads of the reader later: one leaves, one is gone, one has started anew, one is new.
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
    let told = PeerListStatus { delta: Some(wrong), ..word(reader.digest(), 1_790) };
    assert_eq!(
        follower.apply_peer_status(told, at(1_900)),
        ListUpdate::Refetch,
        "a part is missing"
    );
    let told = PeerListStatus { delta, ..word(reader.digest(), 1_790) };
    let step = follower.apply_peer_status(told, at(1_900));
    let ListUpdate::Applied(mut changes) = step else { panic!("{step:?}") };
    changes.sort_by_key(|change| format!("{change:?}"));
    let expected = [
        UpstreamChange::Gone(id("u07")),
        UpstreamChange::Joined(id("new")),
        UpstreamChange::Joined(id("u10")),
        UpstreamChange::Leaving(id("u03")),
    ];
    assert_eq!(changes, expected);
    assert_eq!(follower.digest(), reader.digest());
    assert_eq!(follower.delta_from(held), reader.delta_from(held), "it can tell others");
    // What is too much for one datagram has to be read.
    list.truncate(10);
    reader.apply_list(list, RowVersion(4), at(2_190), at(2_200));
    assert_eq!(reader.delta_from(held), None);
    assert_eq!(reader.delta_from(12_345), None, "an unknown list");
}
