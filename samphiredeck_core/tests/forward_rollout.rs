//! Rollouts: the budget of a new version, the verdict, and what nodes may choose.

use std::time::Duration;

use proptest::prelude::*;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::rollout::{
        ExposureBounds, ExposureCounts, ExposureLease, RolloutDirective, RolloutReport,
        control::{PoolView, RolloutControl},
        exposure::ExposureBudget,
        phases::{RolloutPhase, RolloutRow},
        tally::{ResponseEnd, RouteReport},
        verdict::{BadAspect, VersionJudge},
        version_share::{AvoidedVersions, ListedVersion, VersionShare},
    },
    ids::{FencingToken, Incarnation, NodeName, PoolName, RowVersion, SoftwareVersion},
};

const BOUNDS: ExposureBounds =
    ExposureBounds { share: 0.1, slack: 50.0, rollback: Duration::from_secs(5) };
const RUN: Incarnation = Incarnation(1);

fn pool() -> PoolName {
    "pool".parse().unwrap()
}

fn version(label: &str) -> SoftwareVersion {
    label.to_owned().into()
}

fn node(number: usize) -> NodeName {
    format!("n{number}").parse().unwrap()
}

fn to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap())
}

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn listed(entries: &[(&str, u64)]) -> Vec<ListedVersion> {
    let entry = |(label, started): &(&str, u64)| ListedVersion {
        pool: pool(),
        software: version(label),
        started_ms: Some(*started),
    };
    entries.iter().map(entry).collect()
}

fn directive(phase: RolloutPhase, lease: Option<ExposureLease>) -> RolloutDirective {
    RolloutDirective {
        fence: FencingToken(1),
        pool: pool(),
        order: RowVersion(7),
        base: version("v1"),
        to: version("v2"),
        phase,
        share_permille: 1_000,
        lease,
    }
}

fn share_of_v1() -> VersionShare {
    let mut share = VersionShare::new(true);
    share.observe_list(&listed(&[("v1", 1)]), at(0));
    share
}

fn avoided(share: &VersionShare, now: BootTime) -> AvoidedVersions {
    share.avoided(&pool(), &[version("v1"), version("v2")], (None, false), 0.0, now)
}

/// Guards against callers without upstreams while those of a pool are replaced by another version without an order.
#[test]
fn all_versions_may_be_chosen_without_an_order() {
    let mut share = share_of_v1();
    share.observe_list(&listed(&[("v1", 5), ("v2", 2)]), at(10));
    let joining = avoided(&share, at(10));
    assert_eq!(joining.preferably, [version("v2")], "an order may not be known yet");
    assert!(joining.always.is_empty());
    assert_eq!(avoided(&share, at(5_000)), AvoidedVersions::default());
    assert!(share.take(&pool(), &version("v2"), at(5_000)));
}

/// The counterpart: a version that was left stays out of use, others don't.
#[test]
fn version_that_was_rolled_back_gets_nothing() {
    let mut share = share_of_v1();
    share.apply_directive(directive(RolloutPhase::RolledBack, None), at(0));
    assert_eq!(avoided(&share, at(10)).always, [version("v2")]);
    assert!(!share.take(&pool(), &version("v2"), at(10)));
    assert!(share.take(&pool(), &version("v1"), at(10)));
}

#[test]
fn version_that_joins_gets_nothing_without_a_lease() {
    let mut share = share_of_v1();
    share.apply_directive(directive(RolloutPhase::Ordered, None), at(5));
    share.observe_list(&listed(&[("v1", 5), ("v2", 2)]), at(10));
    assert_eq!(share.base(&pool()), Some(&version("v1")));
    assert_eq!(avoided(&share, at(10)).always, [version("v2")]);
    assert!(!share.take(&pool(), &version("v2"), at(10)));
    assert!(share.take(&pool(), &version("v1"), at(10)));
    // A node that starts then takes the version of the oldest upstream.
    let mut later = VersionShare::new(true);
    later.observe_list(&listed(&[("v1", 5), ("v2", 9), ("v2", 8)]), at(10));
    assert_eq!(later.base(&pool()), Some(&version("v1")));
}

#[test]
fn all_versions_may_be_chosen_without_bounds() {
    let mut share = VersionShare::new(false);
    share.observe_list(&listed(&[("v1", 1)]), at(0));
    share.apply_directive(directive(RolloutPhase::RolledBack, None), at(0));
    assert_eq!(avoided(&share, at(1)), AvoidedVersions::default());
    assert!(share.take(&pool(), &version("v2"), at(1)));
}

#[test]
fn lease_ends_with_its_limit_and_its_time() {
    let mut share = share_of_v1();
    share.apply_directive(directive(RolloutPhase::Probing, None), at(0));
    let lease = ExposureLease { asked_ms: 100, valid_ms: 1_000, limit: 2 };
    share.apply_directive(directive(RolloutPhase::Probing, Some(lease)), at(150));
    let chosen = avoided(&share, at(200));
    assert_eq!(chosen.preferably, [version("v1")]);
    assert!(!chosen.always.contains(&version("v2")), "no version is left");
    assert!(share.take(&pool(), &version("v2"), at(200)));
    assert!(share.take(&pool(), &version("v2"), at(1_099)));
    assert!(!share.take(&pool(), &version("v2"), at(1_099)), "beyond the limit");
    share.give_back(&pool(), &version("v2"));
    assert!(!share.take(&pool(), &version("v2"), at(1_100)), "after the lease");
    // A message that was delayed grants nothing anew.
    share.apply_directive(directive(RolloutPhase::Probing, Some(lease)), at(2_000));
    assert!(!share.take(&pool(), &version("v2"), at(2_000)));
}

#[test]
fn lower_phase_and_earlier_leader_are_not_adopted() {
    let mut share = share_of_v1();
    share.apply_directive(directive(RolloutPhase::Probing, None), at(0));
    let rolled_back =
        RolloutDirective { fence: FencingToken(3), ..directive(RolloutPhase::RolledBack, None) };
    assert!(share.apply_directive(rolled_back, at(10)).is_some());
    let lease = Some(ExposureLease { asked_ms: 20, valid_ms: 9_000, limit: 9 });
    let late =
        RolloutDirective { fence: FencingToken(2), ..directive(RolloutPhase::Moving, lease) };
    assert!(share.apply_directive(late, at(20)).is_none());
    let lower =
        RolloutDirective { fence: FencingToken(4), ..directive(RolloutPhase::Probing, lease) };
    assert!(share.apply_directive(lower, at(20)).is_none());
    assert!(!share.take(&pool(), &version("v2"), at(30)));
    // The version that was left stays out of use if the others are gone.
    share.observe_list(&listed(&[("v2", 2)]), at(60_000));
    assert!(!share.take(&pool(), &version("v2"), at(60_000)));
}

#[test]
fn node_that_missed_the_end_goes_on_with_what_is_listed() {
    let mut share = share_of_v1();
    share.apply_directive(directive(RolloutPhase::Probing, None), at(0));
    share.observe_list(&listed(&[("v2", 2)]), at(5_000));
    assert!(!share.take(&pool(), &version("v2"), at(5_000)));
    share.observe_list(&listed(&[("v2", 2)]), at(11_000));
    assert!(share.take(&pool(), &version("v2"), at(11_000)));
}

#[test]
fn streams_go_on_at_the_version_that_began_them() {
    let mut share = share_of_v1();
    share.apply_directive(directive(RolloutPhase::Moving, None), at(0));
    let lease = ExposureLease { asked_ms: 100, valid_ms: 1_000, limit: u64::MAX };
    share.apply_directive(directive(RolloutPhase::Moving, Some(lease)), at(150));
    let listed = [version("v1"), version("v2"), version("v3")];
    let begun = version("v1");
    let chosen = share.avoided(&pool(), &listed, (Some(&begun), false), 0.0, at(200));
    assert_eq!(chosen.always, [version("v3")]);
    assert!(chosen.preferably.is_empty());
}

/// A node that is killed after its last report may have used all of its lease.
#[test]
fn lease_of_a_node_that_ended_stays_counted() {
    let mut budget = ExposureBudget::new(ExposureCounts::default(), Duration::from_secs(1));
    for number in 0..2 {
        let counts = ExposureCounts { arrivals: 0, exposed: 0 };
        budget.record_report((&node(number), RUN), 1_000, counts, at(0));
    }
    for number in 0..2 {
        let counts = ExposureCounts { arrivals: 10, exposed: 0 };
        budget.record_report((&node(number), RUN), 1_250, counts, at(250));
    }
    let dealt = budget.deal(10, 0.5, at(250));
    let total: u64 = dealt.iter().map(|(_, lease)| lease.limit).sum();
    assert_eq!(total, 10);
    // One reports that it has used two after its lease has ended, the other never again.
    let counts = ExposureCounts { arrivals: 20, exposed: 2 };
    budget.record_report((&node(0), RUN), 2_250, counts, at(1_250));
    let other = dealt.iter().find(|(name, _)| *name == node(1)).unwrap().1.limit;
    assert_eq!(budget.counts().exposed, 2 + other);
}

/// Outcomes of one route: `(complete, failed)` of the old and the new version.
fn outcomes(base: (u32, u32), new: (u32, u32), factor: u32) -> RouteReport {
    let mut report = RouteReport { route: "r".to_owned(), ..RouteReport::default() };
    for (tally, (complete, failed), factor) in
        [(&mut report.base, base, 1), (&mut report.new, new, factor)]
    {
        for number in 0..complete {
            tally.record_end(ResponseEnd::Complete);
            tally.starts.record(Duration::from_millis(u64::from((80 + number % 7 * 20) * factor)));
        }
        for _ in 0..failed {
            tally.record_end(ResponseEnd::Failed);
        }
    }
    report
}

/// Number of periods until the new version is found to be bad.
fn periods_to_verdict(periods: &[RouteReport]) -> Option<usize> {
    let mut judge = VersionJudge::default();
    periods.iter().position(|period| {
        judge.record(std::slice::from_ref(period));
        judge.verdict().is_some()
    })
}

#[test]
fn failing_version_is_found_before_its_50th_bad_response() {
    let half = vec![outcomes((20, 0), (1, 1), 1); 100];
    assert!(periods_to_verdict(&half).unwrap() < 10);
    let tenth = vec![outcomes((50, 0), (9, 1), 1); 100];
    assert!(periods_to_verdict(&tenth).unwrap() < 50);
    // Bad only after a long time without any failure.
    let mut later = vec![outcomes((50, 0), (10, 0), 1); 400];
    later.extend(vec![outcomes((50, 0), (9, 1), 1); 50]);
    assert!((400..440).contains(&periods_to_verdict(&later).unwrap()));
}

#[test]
fn slow_version_is_found() {
    let mut periods = vec![outcomes((30, 0), (0, 0), 1); 4];
    periods.extend(vec![outcomes((30, 0), (3, 0), 4); 100]);
    let mut judge = VersionJudge::default();
    for period in &periods {
        judge.record(std::slice::from_ref(period));
    }
    assert_eq!(judge.verdict().unwrap().aspect, BadAspect::Start);
    assert!(periods_to_verdict(&periods).unwrap() < 20);
}

#[test]
fn good_version_is_kept() {
    // Fails as often as the old one.
    assert_eq!(periods_to_verdict(&vec![outcomes((90, 10), (9, 1), 1); 1_000]), None);
    assert_eq!(periods_to_verdict(&vec![outcomes((200, 0), (100, 0), 1); 1_000]), None);
    // Trouble of both versions in the same seconds.
    let mut trouble = vec![outcomes((50, 0), (5, 0), 1); 100];
    trouble.extend(vec![outcomes((20, 30), (2, 3), 1); 20]);
    assert_eq!(periods_to_verdict(&trouble), None);
    // The crash of one upstream with 16 slots.
    let mut crash = outcomes((50, 0), (5, 0), 1);
    for _ in 0..16 {
        crash.new.record_end(ResponseEnd::Closed);
    }
    assert_eq!(periods_to_verdict(&[outcomes((50, 0), (5, 0), 1), crash]), None);
}

/// Pool whose nodes send requests at a steady rate, in steps of 50 ms.
struct PoolModel {
    now: u64,
    fence: u64,
    control: Option<RolloutControl>,
    /// Row in the store.
    row: RolloutRow,
    nodes: Vec<(Incarnation, VersionShare)>,
    /// Messages to nodes and from them, with the time at which they arrive.
    to_nodes: Vec<(u64, usize, RolloutDirective)>,
    to_leader: Vec<(u64, usize, Incarnation, RolloutReport)>,
    arrivals: u64,
    exposed: u64,
    bad: u64,
    /// Time of the 50th bad response.
    bad_at: Option<u64>,
    last_exposed_at: u64,
    credit: f64,
}

const STEP_MS: u64 = 50;
const DURATION_MS: u64 = 60_000;

/// What happens to the model.
#[derive(Clone, Debug)]
struct ModelFaults {
    seed: u64,
    /// Part of the messages that are lost, in percent.
    lost: u64,
    /// Maximum delay of messages, in milliseconds.
    delay: u64,
    /// Times at which the leader is lost for 5 s.
    leader_lost: Vec<u64>,
    /// Times at which a node is killed and starts again.
    node_lost: Vec<u64>,
    /// Times at which a node is frozen for 3 s.
    node_frozen: Vec<u64>,
}

impl PoolModel {
    fn new(count: usize) -> Self {
        let row = RolloutRow::new(
            RowVersion(7),
            (version("v1"), version("v2")),
            Duration::from_millis(DURATION_MS),
            0,
        );
        Self {
            now: 0,
            fence: 1,
            control: None,
            row,
            nodes: (0..count).map(|_| (RUN, share_of_v1())).collect(),
            to_nodes: Vec::new(),
            to_leader: Vec::new(),
            arrivals: 0,
            exposed: 0,
            bad: 0,
            bad_at: None,
            last_exposed_at: 0,
            credit: 0.0,
        }
    }

    /// Runs until the deadline. A version that is bad fails in each second response from `bad_from` on.
    fn run(&mut self, rate: f64, bad_from: u64, faults: &ModelFaults) {
        self.run_to(DURATION_MS, rate, bad_from, faults);
    }

    /// Runs until `end`.
    fn run_to(&mut self, end: u64, rate: f64, bad_from: u64, faults: &ModelFaults) {
        let mut random = faults.seed | 1;
        let mut draw = move |range: u64| {
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (random >> 33) % range.max(1)
        };
        let count = self.nodes.len();
        let mut frozen: Vec<(u64, usize)> = Vec::new();
        while self.now < end {
            let now = self.now;
            let is_leaderless =
                faults.leader_lost.iter().any(|lost| (*lost..*lost + 5_000).contains(&now));
            if faults.node_lost.contains(&now) {
                let index = usize::try_from(draw(count as u64)).unwrap();
                let (run, _) = self.nodes[index];
                let mut share = VersionShare::new(true);
                share.observe_list(&listed(&[("v1", 1), ("v2", 2)]), at(now));
                self.nodes[index] = (run.next(), share);
            }
            if faults.node_frozen.contains(&now) {
                frozen.push((now + 3_000, usize::try_from(draw(count as u64)).unwrap()));
            }
            frozen.retain(|(until, _)| *until > now);
            let is_frozen = |index: usize| frozen.iter().any(|(_, at)| *at == index);
            if is_leaderless {
                self.control = None;
            } else if self.control.is_none() {
                self.fence += 1;
                let row = self.row.clone();
                self.control = Some(RolloutControl::new(pool(), BOUNDS, row, at(now)));
            }
            self.step_messages(&is_frozen, &mut draw, faults);
            if now.is_multiple_of(250) {
                self.step_leader(&mut draw, faults);
            }
            self.credit += rate * to_f64(STEP_MS) / 1_000.0;
            while self.credit >= 1.0 {
                self.credit -= 1.0;
                let index = usize::try_from(draw(count as u64)).unwrap();
                if !is_frozen(index) {
                    self.send(index, bad_from, &mut draw);
                }
            }
            self.now += STEP_MS;
        }
    }

    fn send(&mut self, index: usize, bad_from: u64, draw: &mut impl FnMut(u64) -> u64) {
        let now = at(self.now);
        let share = &mut self.nodes[index].1;
        let listed = [version("v1"), version("v2")];
        let chance = to_f64(draw(1_000)) / 1_000.0;
        let avoided = share.avoided(&pool(), &listed, (None, false), chance, now);
        let wants_new = avoided.preferably.contains(&version("v1"));
        let is_new = wants_new && share.take(&pool(), &version("v2"), now);
        let chosen = version(if is_new { "v2" } else { "v1" });
        if !is_new {
            share.take(&pool(), &chosen, now);
        }
        self.arrivals += 1;
        let is_bad = is_new && self.now >= bad_from && draw(2) == 0;
        let end = if is_bad { ResponseEnd::Failed } else { ResponseEnd::Complete };
        share.record_end(&pool(), &chosen, "r", end);
        if is_new {
            self.exposed += 1;
            self.last_exposed_at = self.now;
        }
        if is_bad {
            self.bad += 1;
            if self.bad == 50 {
                self.bad_at = Some(self.now);
            }
        }
    }

    fn step_messages(
        &mut self,
        is_frozen: &impl Fn(usize) -> bool,
        draw: &mut impl FnMut(u64) -> u64,
        faults: &ModelFaults,
    ) {
        let now = self.now;
        let arrive = |due: &u64, index: usize| *due <= now && !is_frozen(index);
        let (arrived, waiting): (Vec<_>, Vec<_>) =
            self.to_nodes.drain(..).partition(|(due, index, _)| arrive(due, *index));
        self.to_nodes = waiting;
        for (_, index, directive) in arrived {
            let (run, share) = &mut self.nodes[index];
            share.apply_directive(directive, at(now));
            let report = share.report(&pool(), at(now), |_| 0);
            if let Some(report) = report.filter(|_| draw(100) >= faults.lost) {
                self.to_leader.push((now + draw(faults.delay + 1), index, *run, report));
            }
        }
        let (arrived, waiting): (Vec<_>, Vec<_>) =
            self.to_leader.drain(..).partition(|(due, ..)| *due <= now);
        self.to_leader = waiting;
        for (_, index, run, report) in arrived {
            if let Some(control) = &mut self.control {
                control.record_report((&node(index), run), report, at(now));
            }
        }
    }

    fn step_leader(&mut self, draw: &mut impl FnMut(u64) -> u64, faults: &ModelFaults) {
        let (now, now_ms) = (at(self.now), i64::try_from(self.now).unwrap());
        let members: Vec<NodeName> = (0..self.nodes.len()).map(node).collect();
        let Some(control) = &mut self.control else { return };
        control.judge_period();
        let view = PoolView { has_new: true, members: &members };
        if let Some(row) = control.next_row(view, now, now_ms) {
            self.row = row.clone();
            control.record_written(row, now);
        }
        let directives = control.directives(FencingToken(self.fence), &members, now, now_ms);
        for (index, (_, directive)) in directives.into_iter().enumerate() {
            if draw(100) >= faults.lost {
                self.to_nodes.push((self.now + draw(faults.delay + 1), index, directive));
            }
        }
    }
}

fn faults() -> impl Strategy<Value = ModelFaults> {
    let times = || proptest::collection::vec((0..60_u64).prop_map(|second| second * 1_000), 0..3);
    (any::<u64>(), 0..30_u64, 0..400_u64, times(), times(), times()).prop_map(
        |(seed, lost, delay, leader_lost, node_lost, node_frozen)| ModelFaults {
            seed,
            lost,
            delay,
            leader_lost,
            node_lost,
            node_frozen,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// A version that is bad before all traffic moves gets no more than its share, is left in time and rolled back by the
    /// deadline, whichever messages, leaders and nodes are lost.
    #[test]
    fn bad_version_gets_no_more_than_its_share(
        faults in faults(), count in 1..12_usize, rate in 20.0..300.0_f64, bad_from in 0..22_000_u64,
    ) {
        let mut model = PoolModel::new(count);
        model.run(rate, bad_from, &faults);
        let permitted = to_f64(model.arrivals) * 0.1 + 50.0;
        prop_assert!(to_f64(model.exposed) <= permitted, "{} of {}", model.exposed, model.arrivals);
        if let Some(bad_at) = model.bad_at {
            prop_assert!(model.last_exposed_at <= bad_at + 5_000, "{} after {bad_at}", model.last_exposed_at);
            prop_assert_eq!(model.row.phase, RolloutPhase::RolledBack);
        }
    }

    /// A good version is completed by the deadline.
    #[test]
    fn good_version_is_completed(faults in faults(), count in 1..12_usize, rate in 20.0..300.0_f64) {
        let mut model = PoolModel::new(count);
        // A lost leader in the last seconds is missed for longer than is left.
        let leader_lost = faults.leader_lost.iter().copied().filter(|at| *at < 45_000).collect();
        model.run(rate, u64::MAX, &ModelFaults { leader_lost, ..faults });
        prop_assert_eq!(model.row.phase, RolloutPhase::Completed, "{:?}", model.row);
    }

    /// Without faults, the permitted share is used within the first quarter of the time.
    #[test]
    fn good_version_gets_its_share_soon(seed: u64, count in 1..12_usize, rate in 20.0..300.0_f64) {
        let faults = ModelFaults {
            seed, lost: 5, delay: 50, leader_lost: Vec::new(), node_lost: Vec::new(), node_frozen: Vec::new(),
        };
        let mut model = PoolModel::new(count);
        model.run_to(DURATION_MS / 4, rate, u64::MAX, &faults);
        let (arrivals, exposed) = (model.arrivals, model.exposed);
        prop_assert!(to_f64(exposed) >= 0.08 * to_f64(arrivals), "{exposed} of {arrivals}");
    }
}
