//! Tests of the search for prompt parts that crash engines.

use std::{net::SocketAddr, time::Duration};

use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        member_list::MemberIdentity,
        suspects::{
            CrashReport, SuspectProof, SuspectTable, exchange::SuspectUpdate, trials::find_keeper,
        },
    },
    ids::{Incarnation, RunKey, SuspectKey},
};

/// Later than any age of a report.
const START: Duration = Duration::from_secs(100_000);

fn at(millis: u64) -> BootTime {
    BootTime::new(START) + Duration::from_millis(millis)
}

fn part(name: &str) -> SuspectKey {
    SuspectKey::of_part(name)
}

fn parts(names: &[&str]) -> Vec<SuspectKey> {
    names.iter().map(|name| part(name)).collect()
}

fn report(engine: u64, names: &[&str], millis: u64) -> CrashReport {
    let run = RunKey::of(&format!("e{engine}").parse().unwrap(), Some(engine));
    CrashReport::new(run, parts(names), at(millis)).unwrap()
}

fn proof(name: &str, millis: u64) -> SuspectProof {
    SuspectProof { key: part(name), at: at(millis) }
}

/// Table with the reports of `crashes` crashes a second apart, of requests with the parts `names`.
fn table_after(crashes: u64, names: &[&str]) -> SuspectTable {
    let mut table = SuspectTable::default();
    for number in 0..crashes {
        assert!(table.add_report(report(number, names, number * 1_000)));
    }
    table
}

fn update_of(table: &SuspectTable, now: BootTime) -> SuspectUpdate {
    let mut update = SuspectUpdate::default();
    for report in table.reports() {
        let (shared, proofs) = table.share(report, now);
        update.reports.push(shared);
        update.proofs.extend(proofs);
    }
    update
}

#[test]
fn trials_wait_longer_with_each_crash() {
    let delays_ms: Vec<u128> = (1..=9)
        .map(|crashes| {
            let table = table_after(crashes, &["first", "dead"]);
            let suspicion = table.assess(&parts(&["first", "dead"])).unwrap();
            assert_eq!(u64::from(suspicion.crashes), crashes);
            assert_eq!(suspicion.is_thin(), crashes == 1);
            assert!(suspicion.permits_trial_of(0));
            assert_eq!(suspicion.permits_trial_of(1), crashes == 1);
            assert!(!suspicion.permits_trial_of(2));
            suspicion.trial_at.since(suspicion.last_crash).as_millis()
        })
        .collect();
    assert!(delays_ms.is_sorted());
    assert_eq!(delays_ms[0], 0);
    // Of a part that crashes engines, no more than three requests may reach them in the minutes after
    // the fifth crash.
    assert!(delays_ms[4] >= 300_000, "{delays_ms:?}");
    assert!(*delays_ms.last().unwrap() <= 1_800_000, "{delays_ms:?}");
}

#[test]
fn parts_of_sound_requests_are_not_blamed() {
    let mut table = table_after(4, &["first", "second", "dead"]);
    assert!(table.add_proof(proof("first", 3_500)));
    assert!(!table.add_proof(proof("first", 3_600)), "it is cleared already");
    assert_eq!(table.assess(&parts(&["first"])), None);
    let blamed = table.assess(&parts(&["first", "second", "dead"])).unwrap();
    assert_ne!(blamed.key, part("first"));
    assert!(table.add_proof(proof("second", 3_700)));
    let blamed = table.assess(&parts(&["first", "second", "dead"])).unwrap();
    assert_eq!((blamed.key, blamed.crashes), (part("dead"), 4));
    // A response from before a crash says nothing about it.
    table.add_report(report(9, &["first"], 9_000));
    let mut other = table.clone();
    other.add_proof(proof("first", 8_900));
    assert!(!other.reports().last().unwrap().keys().is_empty());
    assert_eq!(table.assess(&parts(&["first"])), None, "one crash soon after a response");
}

#[test]
fn part_that_always_comes_with_a_deadly_one_is_tried_on_its_own() {
    let mut table = table_after(4, &["companion", "dead"]);
    assert!(table.assess(&parts(&["companion", "dead"])).unwrap().crashes == 4);
    assert_eq!(table.assess(&parts(&["companion"])), None);
    assert_eq!(table.assess(&parts(&["dead"])), None);
    // What happens then tells them apart.
    table.add_report(report(8, &["dead"], 8_000));
    assert_eq!(table.assess(&parts(&["dead"])).unwrap().crashes, 5);
    assert_eq!(table.assess(&parts(&["companion"])), None);
    assert_eq!(table.assess(&parts(&["companion", "dead"])).unwrap().key, part("dead"));
}

#[test]
fn loss_of_many_engines_at_once_counts_once() {
    let mut table = SuspectTable::default();
    table.add_proof(proof("hot", 0));
    for engine in 0..20 {
        table.add_report(report(engine, &["hot", "rare"], 5_000 + engine * 4));
    }
    assert_eq!(table.assess(&parts(&["hot"])), None, "it was sound shortly before");
    let rare = table.assess(&parts(&["hot", "rare"])).unwrap();
    assert_eq!((rare.key, rare.crashes), (part("rare"), 1));
    assert_eq!(rare.trial_at, rare.last_crash, "it may be tried at once");
}

/// Requests with the deadly part were under way to the later engines before the first crash, and sound ones beside them were
/// sent after it.
#[test]
fn part_of_all_requests_is_tried_soon_after_a_burst_of_crashes() {
    let mut table = SuspectTable::default();
    for engine in 0..4 {
        let millis = 10_000 + engine * 40;
        let waited = |waited_ms| Duration::from_millis(waited_ms);
        let deadly = report(engine, &["first", "deadly"], millis).with_wait(waited(200));
        let own = format!("sound{engine}");
        let sound = report(engine, &["first", &own], millis + 1).with_wait(waited(20));
        assert!(table.add_report(deadly) && table.add_report(sound));
    }
    let of = |table: &SuspectTable, names: &[&str]| table.assess(&parts(names));
    let deadly = of(&table, &["first", "deadly"]).unwrap();
    assert_eq!((deadly.key, deadly.crashes), (part("deadly"), 4));
    // Sound requests are tried soon, and not held back once one of them has had a response.
    let last_crash = at(10_121);
    let first = of(&table, &["first", "other"]).unwrap();
    assert!(first.trial_at <= last_crash + Duration::from_secs(1), "{first:?}");
    assert!(table.grant_trial(first.key, &parts(&["first", "other"]), at(11_200)));
    table.add_proof(proof("first", 11_300));
    assert_eq!(of(&table, &["first", "other"]), None);
    let sound = of(&table, &["first", "sound2"]);
    assert!(sound.is_none_or(|found| found.is_thin()), "{sound:?}");
    // Trials of the deadly part grow rarer with each of its crashes.
    for (number, delay) in [300, 600, 1_200].into_iter().enumerate() {
        let crash = 12_000 + 100_000 * u64::try_from(number).unwrap();
        assert!(table.add_report(report(9, &["first", "deadly"], crash)));
        let deadly = of(&table, &["deadly"]).unwrap();
        assert_eq!(deadly.trial_at, at(crash) + Duration::from_secs(delay));
    }
}

#[test]
fn part_that_was_sound_and_turns_deadly_is_found() {
    let mut table = SuspectTable::default();
    table.add_proof(proof("turned", 0));
    for number in 1..=3 {
        assert_eq!(table.assess(&parts(&["turned"])), None);
        table.add_report(report(number, &["turned"], number * 1_000));
    }
    assert_eq!(table.assess(&parts(&["turned"])).unwrap().crashes, 3);
}

#[test]
fn trials_run_one_at_a_time() {
    let mut table = table_after(1, &["dead"]);
    assert!(table.grant_trial(part("dead"), &parts(&["dead"]), at(100)));
    assert!(!table.grant_trial(part("dead"), &parts(&["dead"]), at(200)), "one runs");
    assert!(table.grant_trial(part("other"), &parts(&["other"]), at(200)), "of another part");
    // A crash ends it, and the next one waits.
    table.add_report(report(7, &["dead"], 900));
    assert!(!table.grant_trial(part("dead"), &parts(&["dead"]), at(1_000)));
    assert!(table.grant_trial(part("dead"), &parts(&["dead"]), at(1_950)));
    // So does its loss.
    assert!(!table.grant_trial(part("dead"), &parts(&["dead"]), at(6_900)));
    assert!(table.grant_trial(part("dead"), &parts(&["dead"]), at(7_000)));
    // So does its release.
    table.release_trial(part("dead"));
    assert!(table.grant_trial(part("dead"), &parts(&["dead"]), at(7_100)));
    // A response ends the suspicion.
    table.add_proof(proof("dead", 7_200));
    assert_eq!(table.assess(&parts(&["dead"])), None);
    assert!(table.grant_trial(part("dead"), &parts(&["dead"]), at(7_300)));
}

#[test]
fn long_prompts_are_reported_with_the_parts_that_had_no_response() {
    let mut table = SuspectTable::default();
    let names: Vec<String> = (0..40).map(|number| format!("p{number}")).collect();
    for name in &names {
        table.add_proof(proof(name, 100));
    }
    for number in 0..40 {
        let mut all: Vec<SuspectKey> = names.iter().map(|name| part(name)).collect();
        let deadly = part(&format!("dead{number}"));
        all.push(deadly);
        let run = report(1, &["x"], 0).run;
        assert!(table.report(run, all, at(200)).unwrap().keys().contains(&deadly));
    }
}

/// The keeper of a part judges the request that asks: a crash that another part explains, which the request
/// lacks, delays no trial.
#[test]
fn sound_requests_are_tried_as_soon_as_their_crashes_permit() {
    let mut table = SuspectTable::default();
    let crashes: [(u64, &[&str], u64); 7] = [
        (0, &["shared", "dead"], 0),
        (0, &["shared"], 0),
        (3, &["apart", "dead"], 110),
        (4, &["shared", "dead"], 220),
        (1, &["shared", "other"], 330),
        (1, &["third", "dead"], 330),
        (2, &["third", "dead"], 440),
    ];
    for (engine, names, millis) in crashes {
        table.add_report(report(engine, names, millis));
    }
    let sound = parts(&["shared"]);
    let suspicion = table.assess(&sound).unwrap();
    assert_eq!((suspicion.key, suspicion.crashes), (part("shared"), 2));
    assert!(suspicion.trial_at <= at(1_400), "{suspicion:?}");
    assert!(table.grant_trial(part("shared"), &sound, at(1_400)));
    // One with the deadly part waits for the crashes of that one.
    let deadly = parts(&["shared", "dead"]);
    assert_eq!(table.assess(&deadly).unwrap().key, part("dead"));
    assert!(!table.grant_trial(part("dead"), &deadly, at(1_500)));
}

#[test]
fn tables_are_bounded() {
    let mut table = SuspectTable::default();
    for number in 0..3_000 {
        let names: Vec<String> = (0..40).map(|at| format!("p{number}-{at}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        table.add_report(report(number, &names, number * 10));
        table.add_proof(proof(&format!("s{number}"), number * 10));
        let tried = part(&format!("t{number}"));
        table.grant_trial(tried, &[tried], at(number * 10));
    }
    assert!(table.reports().len() <= 256);
    assert!(table.reports().iter().all(|report| report.keys().len() <= 16));
    table.remove_settled(at(20 * 3_600_000));
    assert_eq!(table.reports().len(), 0, "reports expire");
}

#[test]
fn cleared_reports_are_dropped_and_do_not_return() {
    let mut table = table_after(2, &["first", "second"]);
    let others = update_of(&table, at(2_000));
    table.add_proof(proof("first", 2_100));
    table.add_proof(proof("second", 2_100));
    table.remove_settled(at(2_200));
    assert_eq!(table.reports().len(), 0);
    assert_eq!(table.digest(), SuspectTable::default().digest());
    let applied = table.apply_update(others, at(2_200));
    assert_eq!(applied.reports.len(), 0);
    assert_eq!(applied.missing.len(), 2, "the other node is told why");
}

fn member(number: usize) -> MemberIdentity {
    MemberIdentity {
        node: format!("n{number}").parse().unwrap(),
        incarnation: Incarnation::default(),
        peer: SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: "a".parse().unwrap(),
        since_ms: 0,
    }
}

/// Nodes that exchange what they know with a delay, and requests with a deadly part among sound ones
/// that share its other parts.
struct Simulation {
    tables: Vec<SuspectTable>,
    members: Vec<MemberIdentity>,
    random: StdRng,
    /// Reports and proofs under way to all nodes, with the time of their arrival.
    underway: Vec<(u64, Result<CrashReport, SuspectProof>)>,
    crashes: Vec<u64>,
    deadly_arrivals: Vec<u64>,
    sound_refused: u64,
    sound_sent: u64,
}

impl Simulation {
    fn new(nodes: usize, seed: u64) -> Self {
        Self {
            tables: vec![SuspectTable::default(); nodes],
            members: (0..nodes).map(member).collect(),
            random: StdRng::seed_from_u64(seed),
            underway: Vec::new(),
            crashes: Vec::new(),
            deadly_arrivals: Vec::new(),
            sound_refused: 0,
            sound_sent: 0,
        }
    }

    /// Whether a node permits a request with `names` at `now`, as the node does.
    fn permits(&mut self, node: usize, names: &[&str], now: u64) -> bool {
        let Some(suspicion) = self.tables[node].assess(&parts(names)) else { return true };
        let keeper = find_keeper(suspicion.key, &self.members).unwrap();
        let keeper = self.members.iter().position(|other| other == keeper).unwrap();
        suspicion.trial_at <= at(now)
            && self.tables[keeper].grant_trial(suspicion.key, &parts(names), at(now))
    }

    fn step(&mut self, now: u64, deadly_share: f64) {
        for position in (0..self.underway.len()).rev() {
            if self.underway[position].0 > now {
                continue;
            }
            let (_, news) = self.underway.swap_remove(position);
            for table in &mut self.tables {
                match &news {
                    Ok(report) => {
                        table.add_report(report.clone());
                    }
                    Err(proof) => {
                        table.add_proof(*proof);
                    }
                }
            }
        }
        let node = self.random.random_range(0..self.tables.len());
        let sibling = format!("s{}", self.random.random_range(0..20));
        if self.random.random_bool(deadly_share) {
            let names = ["first", sibling.as_str(), "dead"];
            if self.permits(node, &names, now) {
                self.deadly_arrivals.push(now);
                let crashed_at = now + 120;
                self.crashes.push(crashed_at);
                let engine = self.random.random_range(0..50);
                self.underway.push((crashed_at + 80, Ok(report(engine, &names, crashed_at))));
            }
            return;
        }
        if !self.permits(node, &["first", sibling.as_str()], now) {
            self.sound_refused += 1;
            return;
        }
        self.sound_sent += 1;
        for name in ["first", sibling.as_str()] {
            self.underway.push((now + 230, Err(proof(name, now + 150))));
        }
    }
}

#[test]
fn few_requests_with_a_deadly_part_reach_engines_however_many_nodes_there_are() {
    for (nodes, deadly_share, seed) in [(1, 0.1, 1), (9, 0.02, 2), (9, 0.5, 3), (300, 0.2, 4)] {
        let mut simulation = Simulation::new(nodes, seed);
        for step in 0..6_000 {
            simulation.step(step * 50, deadly_share);
        }
        simulation.crashes.sort_unstable();
        let fifth = simulation.crashes.get(4).copied().unwrap_or(u64::MAX - 3_000);
        let late = simulation.deadly_arrivals.iter().filter(|at| **at > fifth + 3_000).count();
        let crashes = simulation.crashes.len();
        let (refused, sent) = (simulation.sound_refused, simulation.sound_sent);
        println!("{nodes} nodes: {crashes} crashes, {late} late, {refused} of {sent} refused");
        assert!(late <= 3, "{nodes} nodes: {late} late arrivals");
        assert!(crashes <= 10, "{nodes} nodes: {crashes} crashes");
        assert!(refused * 20 <= sent, "{nodes} nodes: {refused} of {sent} sound ones refused");
    }
}

#[test]
fn suspicion_ends_when_the_part_is_sound() {
    let mut simulation = Simulation::new(5, 7);
    for step in 0..400 {
        simulation.step(step * 50, 0.2);
    }
    assert!(simulation.crashes.len() >= 3);
    // The engines are mended. A trial that is due brings a response.
    let trial_at = simulation.tables[0].assess(&parts(&["dead"])).unwrap().trial_at;
    let now = u64::try_from(trial_at.since(at(0)).as_millis()).unwrap() + 100;
    assert!(simulation.permits(2, &["dead"], now));
    assert!(!simulation.permits(3, &["dead"], now), "one trial at a time");
    for table in &mut simulation.tables {
        table.add_proof(proof("dead", now + 100));
        assert_eq!(table.assess(&parts(&["first", "dead"])), None);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Report(usize, u64, Vec<usize>, u64),
    Proof(usize, usize, u64),
    Tell(usize, usize),
    Settle(usize),
}

fn step_strategy() -> impl Strategy<Value = Step> {
    let names = proptest::collection::vec(0_usize..5, 1..4);
    prop_oneof![
        (0_usize..3, 0_u64..6, names, 0_u64..60)
            .prop_map(|(node, engine, names, at)| Step::Report(node, engine, names, at * 1_000)),
        (0_usize..3, 0_usize..5, 0_u64..60).prop_map(|(node, name, at)| Step::Proof(
            node,
            name,
            at * 1_000
        )),
        (0_usize..3, 0_usize..3).prop_map(|(from, to)| Step::Tell(from, to)),
        (0_usize..3).prop_map(Step::Settle),
    ]
}

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

proptest! {
    /// Whatever was lost on the way, nodes that exchange what they hold come to the same view.
    #[test]
    fn nodes_agree_after_an_exchange(steps in proptest::collection::vec(step_strategy(), 0..60)) {
        let mut tables = vec![SuspectTable::default(); 3];
        let now = at(60_000);
        for step in steps {
            match step {
                Step::Report(node, engine, names, millis) => {
                    let names: Vec<&str> = names.iter().map(|name| NAMES[*name]).collect();
                    tables[node].add_report(report(engine, &names, millis));
                }
                Step::Proof(node, name, millis) => {
                    tables[node].add_proof(proof(NAMES[name], millis));
                }
                Step::Tell(from, to) => {
                    let update = update_of(&tables[from], now);
                    tables[to].apply_update(update, now);
                }
                Step::Settle(node) => tables[node].remove_settled(now),
            }
        }
        for _ in 0..4 {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
                let update = update_of(&tables[from], now);
                for missing in tables[to].apply_update(update, now).missing {
                    tables[from].add_proof(missing);
                }
            }
        }
        for table in &mut tables {
            table.remove_settled(now);
        }
        for name in NAMES {
            let views: Vec<_> = tables.iter().map(|table| table.assess(&[part(name)])).collect();
            let crashes: Vec<_> = views.iter().map(|view| view.map(|view| view.crashes)).collect();
            // A node that has seen a response of late needs more crashes to suspect a part.
            let suspected: Vec<u32> = crashes.iter().flatten().copied().collect();
            prop_assert!(suspected.windows(2).all(|pair| pair[0] == pair[1]), "{:?}", crashes);
        }
        prop_assert_eq!(tables[0].digest(), tables[1].digest());
        prop_assert_eq!(tables[1].digest(), tables[2].digest());
    }

    /// A part with a response after its last crash is never held back.
    #[test]
    fn proven_parts_are_never_held_back(
        reports in proptest::collection::vec((0_u64..6, 0_usize..5, 0_u64..60_000), 0..40)
    ) {
        let mut table = SuspectTable::default();
        for (engine, name, millis) in reports {
            table.add_report(report(engine, &[NAMES[name], "shared"], millis));
        }
        for name in NAMES {
            table.add_proof(proof(name, 60_000));
        }
        for name in NAMES {
            prop_assert_eq!(table.assess(&[part(name)]), None);
        }
    }
}
