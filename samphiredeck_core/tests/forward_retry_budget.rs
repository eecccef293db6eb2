//! Tests of the retry budget over all nodes and all their starts.

use std::time::Duration;

use proptest::prelude::*;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        members::{established_ms, is_lapsed},
        retry_budget::{RetryBudget, RetryLimit},
    },
    ids::PoolName,
};

const WINDOW_MS: u64 = 10_000;
const RATIO: f64 = 0.2;
/// Time from a heartbeat to its publication in the list of all nodes.
const LIST_LAG_MS: u64 = 3_000;
/// Age of a heartbeat from which a node is not listed any more.
const LISTED_MS: u64 = 7_500;

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn pool() -> PoolName {
    "p".parse().unwrap()
}

fn limit(extra: f64) -> RetryLimit {
    RetryLimit { ratio: RATIO, extra, window: Duration::from_millis(WINDOW_MS) }
}

/// Row that a node has published.
#[derive(Clone, Copy, Debug)]
struct PublishedRow {
    since: u64,
    /// Times of the last publication, and of the first one since `since`.
    beat: u64,
    first_beat: u64,
}

/// Node of a simulated cluster.
#[derive(Clone, Debug)]
struct SimulatedNode {
    /// `None` while the node does not run.
    budget: Option<RetryBudget>,
    /// Time from which on its budget is to be funded for the first start.
    vacant_from: Option<u64>,
    since: u64,
    published: Option<u64>,
    next_publication: u64,
    frozen_until: u64,
}

/// Cluster with a limit on retries.
struct SimulatedCluster {
    limit: RetryLimit,
    now: u64,
    nodes: Vec<SimulatedNode>,
    /// Row of each node.
    rows: Vec<Option<PublishedRow>>,
    requests: Vec<u64>,
    /// Times of arrival.
    retries: Vec<u64>,
}

impl SimulatedCluster {
    /// Starts `count` nodes at once for the first time.
    fn start_first(count: usize, extra: f64) -> Self {
        let mut cluster = Self {
            limit: limit(extra),
            now: 100_000,
            nodes: Vec::new(),
            rows: Vec::new(),
            requests: Vec::new(),
            retries: Vec::new(),
        };
        for _ in 0..count {
            cluster.add();
        }
        for index in 0..count {
            cluster.run(index);
        }
        cluster
    }

    /// Starts `count` nodes at once that have run earlier.
    fn start(count: usize, extra: f64) -> Self {
        let mut cluster = Self::start_first(count, extra);
        cluster.rows.fill(Some(PublishedRow { since: 0, beat: 1, first_beat: 1 }));
        for index in 0..count {
            cluster.run(index);
        }
        cluster
    }

    /// Adds a node and starts it.
    fn join(&mut self) {
        self.add();
        self.run(self.nodes.len() - 1);
    }

    fn add(&mut self) {
        self.nodes.push(SimulatedNode {
            budget: None,
            vacant_from: None,
            since: 0,
            published: None,
            next_publication: 0,
            frozen_until: 0,
        });
        self.rows.push(None);
    }

    /// Starts the process of node `index`.
    fn run(&mut self, index: usize) {
        let now = self.now;
        let is_vacant = self.rows.iter().all(Option::is_none);
        let row = self.rows[index];
        let kept = row.filter(|row| !is_lapsed(Duration::from_millis(now - row.beat)));
        let node = &mut self.nodes[index];
        node.budget = Some(RetryBudget::new(self.limit));
        node.vacant_from = is_vacant.then_some(now - 20_500);
        node.since = kept.map_or(now, |row| row.since);
        node.published = None;
        node.next_publication = now + 300;
        node.frozen_until = 0;
    }

    fn kill(&mut self, index: usize) {
        self.nodes[index].budget = None;
    }

    /// Number of nodes in the list that is read at `now`.
    fn listed(&self, now: u64) -> u32 {
        let is_listed =
            |row: &PublishedRow| row.first_beat + LIST_LAG_MS <= now && now < row.beat + LISTED_MS;
        let count = self.rows.iter().flatten().filter(|row| is_listed(row)).count();
        u32::try_from(count.max(1)).unwrap()
    }

    fn publish(&mut self, index: usize) {
        let now = self.now;
        let listed = self.listed(now);
        let node = &mut self.nodes[index];
        if node.published.is_some_and(|at| is_lapsed(Duration::from_millis(now - at))) {
            node.since = now;
            node.vacant_from = None;
        }
        let (since, now_ms) = (node.since.try_into().unwrap(), now.try_into().unwrap());
        let Some(budget) = &mut node.budget else { return };
        let member_since = established_ms(since).min(now_ms);
        budget.record_membership(listed, at(member_since.try_into().unwrap()), at(now));
        node.published = Some(now);
        node.next_publication = now + 900;
        let row = &mut self.rows[index];
        let same = row.filter(|row| row.since == node.since);
        let first_beat = same.map_or(now, |row| row.first_beat);
        *row = Some(PublishedRow { since: node.since, beat: now, first_beat });
        self.fund_first_start(index);
    }

    fn fund_first_start(&mut self, index: usize) {
        let rows: Vec<PublishedRow> = self.rows.iter().flatten().copied().collect();
        let named = u32::try_from(rows.len()).unwrap();
        let since = rows.iter().map(|row| established_ms(row.since.try_into().unwrap()));
        let until = self.now.min(since.min().unwrap().try_into().unwrap());
        let node = &mut self.nodes[index];
        let (Some(from), Some(budget)) = (node.vacant_from, &mut node.budget) else { return };
        let is_of_use = budget.may_fund_first_start(named);
        if is_of_use {
            budget.fund_first_start(named, at(from), at(until));
        }
        node.vacant_from = (is_of_use && until == self.now).then_some(until);
    }

    fn advance(&mut self, millis: u64) {
        let until = self.now + millis;
        while self.now < until {
            self.now = until.min(self.now + 100);
            for index in 0..self.nodes.len() {
                let node = &self.nodes[index];
                if node.budget.is_some() && self.now >= node.next_publication.max(node.frozen_until)
                {
                    self.publish(index);
                }
            }
        }
    }

    /// A request that arrives at node `index`, or is sent to it in vain.
    fn request(&mut self, index: usize) {
        self.requests.push(self.now);
        if let Some(budget) = &mut self.nodes[index].budget {
            budget.record_request(&pool(), at(self.now));
        }
    }

    /// Retries at node `index`, if the budget permits it. The retry arrives after `delay` milliseconds.
    fn retry(&mut self, index: usize, delay: u64) -> bool {
        let now = self.now;
        let node = &mut self.nodes[index];
        let Some(budget) = node.budget.as_mut().filter(|_| now >= node.frozen_until) else {
            return false;
        };
        let taken = budget.take(&pool(), at(now));
        if taken {
            self.retries.push(now + delay);
        }
        taken
    }

    /// Plays traffic of `rate` requests a second for `millis`, of which each third one asks for a retry while `fails`.
    fn play(&mut self, rate: u64, millis: u64, fails: bool) -> usize {
        let mut granted = 0;
        let count = self.nodes.len();
        for number in 0..rate * millis / 1_000 {
            let index = usize::try_from(number).unwrap() % count;
            self.request(index);
            if fails {
                granted += usize::from(self.retry(index, 0));
            }
            let next = (number + 1) * 1_000 / rate - number * 1_000 / rate;
            self.advance(next);
        }
        granted
    }

    /// Retries in the worst window, and the number that is permitted in it by the requests of it or of the one before.
    fn worst_window(&self) -> (f64, f64) {
        let mut retries = self.retries.clone();
        retries.sort_unstable();
        let count = |times: &[u64], from: u64, to: u64| {
            let first = times.partition_point(|time| *time < from);
            f64::from(u32::try_from(times.partition_point(|time| *time <= to) - first).unwrap())
        };
        let windows = retries.iter().map(|from| {
            let to = from + WINDOW_MS;
            let requests = count(&self.requests, *from, to).max(count(
                &self.requests,
                from - WINDOW_MS,
                *from,
            ));
            (count(&retries, *from, to), requests * RATIO + self.limit.extra)
        });
        let excess = |window: &(f64, f64)| window.0 - window.1;
        windows.max_by(|a, b| excess(a).total_cmp(&excess(b))).unwrap_or((0.0, self.limit.extra))
    }
}

/// Step of a random play.
#[derive(Clone, Debug)]
enum PlayStep {
    /// Requests at one node, each followed by retries with a delay.
    Traffic {
        node: usize,
        requests: usize,
        retries: usize,
        delay: u64,
    },
    Wait(u64),
    Kill(usize),
    KillAll,
    Start(usize),
    StartAll,
    Join,
    Freeze(usize, u64),
}

fn play_step() -> impl Strategy<Value = PlayStep> {
    prop_oneof![
        12 => (0..64_usize, 0..120_usize, 0..60_usize, 0..400_u64).prop_map(|(node, requests, retries, delay)| {
            PlayStep::Traffic { node, requests, retries, delay }
        }),
        8 => (0..1_500_u64).prop_map(PlayStep::Wait),
        1 => (3_000..12_000_u64).prop_map(PlayStep::Wait),
        2 => (0..64_usize).prop_map(PlayStep::Kill),
        1 => Just(PlayStep::KillAll),
        3 => (0..64_usize).prop_map(PlayStep::Start),
        2 => Just(PlayStep::StartAll),
        1 => Just(PlayStep::Join),
        1 => ((0..64_usize), 500..12_000_u64).prop_map(|(node, time)| PlayStep::Freeze(node, time)),
    ]
}

fn apply(cluster: &mut SimulatedCluster, step: &PlayStep) {
    let count = cluster.nodes.len();
    match *step {
        PlayStep::Traffic { node, requests, retries, delay } => {
            for _ in 0..requests {
                cluster.request(node % count);
            }
            for _ in 0..retries {
                cluster.retry(node % count, delay);
            }
        }
        PlayStep::Wait(millis) => cluster.advance(millis),
        PlayStep::Kill(node) => cluster.kill(node % count),
        PlayStep::KillAll => (0..count).for_each(|index| cluster.kill(index)),
        PlayStep::Start(node) if cluster.nodes[node % count].budget.is_none() => {
            cluster.run(node % count);
        }
        PlayStep::StartAll => {
            for index in 0..count {
                if cluster.nodes[index].budget.is_none() {
                    cluster.run(index);
                }
            }
        }
        PlayStep::Join if count < 24 => cluster.join(),
        PlayStep::Start(_) | PlayStep::Join => {}
        PlayStep::Freeze(node, time) => {
            cluster.nodes[node % count].frozen_until = cluster.now + time;
        }
    }
}

proptest! {
    // Guards against kills, starts, joins and freezes in any order that make retries of two budgets fall into a window.
    #[test]
    fn retries_of_all_nodes_and_starts_stay_within_the_budget(
        (count, extra) in (1..16_usize, prop_oneof![Just(0.0), Just(56.0), Just(400.0)]),
        is_first in any::<bool>(),
        steps in proptest::collection::vec(play_step(), 1..200)
    ) {
        let start = if is_first { SimulatedCluster::start_first } else { SimulatedCluster::start };
        let mut cluster = start(count, extra);
        for step in &steps {
            apply(&mut cluster, step);
        }
        let (retries, permitted) = cluster.worst_window();
        prop_assert!(retries <= permitted, "{retries} retries, {permitted} are permitted");
    }
}

/// Sizes of clusters, with requests a second and additional retries.
const SIZES: [(usize, u64, f64); 4] =
    [(1, 100, 56.0), (2, 300, 58.0), (9, 300, 56.0), (78, 900, 166.0)];

#[test]
fn kills_of_all_nodes_between_spells_of_failures_keep_the_budget() {
    for (count, rate, extra) in SIZES {
        let mut cluster = SimulatedCluster::start(count, extra);
        cluster.play(rate, 25_000, false);
        let before = cluster.play(rate, 4_000, true);
        for index in 0..count {
            cluster.kill(index);
        }
        cluster.play(rate, 200, false);
        for index in 0..count {
            cluster.run(index);
        }
        let after = cluster.play(rate, 5_000, true);
        let (retries, permitted) = cluster.worst_window();
        assert!(
            retries <= permitted,
            "{count} nodes: {retries} retries, {permitted} are permitted"
        );
        assert!(
            retries >= 0.8 * permitted,
            "{count} nodes: {retries} retries, {permitted} are permitted"
        );
        assert!(before > 0 && after > 0, "{count} nodes: {before} retries before, {after} after");
    }
}

// Guards against starts that each take the cluster for new, since none of them was published.
#[test]
fn first_starts_fund_the_retries_of_one_window() {
    for (count, rate, extra) in SIZES {
        for (pause, kills) in [(200, 6), (1_300, 3), (5_000, 1), (1_000, 0)] {
            let mut cluster = SimulatedCluster::start_first(count, extra);
            for _ in 0..kills {
                cluster.play(rate, pause, true);
                for index in 0..count {
                    cluster.kill(index);
                    cluster.run(index);
                }
            }
            cluster.play(rate, 12_000, true);
            let (retries, permitted) = cluster.worst_window();
            assert!(
                retries <= permitted,
                "{count} nodes, {kills} kills: {retries} retries, {permitted} are permitted"
            );
        }
    }
}

// Guards against first nodes that share the additional retries by the number that each has seen.
#[test]
fn first_nodes_that_see_each_other_late_share_the_budget() {
    for (count, pause) in [(1, 0), (2, 500), (5, 0), (5, 900), (16, 100), (16, 400)] {
        let mut cluster = SimulatedCluster::start_first(count, 400.0);
        for (node, number) in cluster.nodes.iter_mut().zip(0..) {
            node.next_publication += pause * number;
        }
        for _ in 0..150 {
            cluster.advance(200);
            for index in 0..count {
                while cluster.retry(index, 0) {}
            }
        }
        let (retries, permitted) = cluster.worst_window();
        assert!(
            retries <= permitted && retries >= 0.3 * permitted,
            "{count} nodes, {pause} ms apart: {retries} retries, {permitted} are permitted"
        );
    }
}

// The counterpart: callers of a small new cluster get retries, however few requests it has had.
#[test]
fn first_start_of_a_small_cluster_funds_retries() {
    for count in [1, 2, 3] {
        let mut cluster = SimulatedCluster::start_first(count, 56.0);
        cluster.advance(2_000);
        for index in 0..count {
            assert!(cluster.retry(index, 0), "{count} nodes, node {index}");
        }
    }
}

#[test]
fn kills_in_turn_keep_the_budget() {
    for (count, rate, extra) in SIZES {
        let mut cluster = SimulatedCluster::start(count, extra);
        cluster.play(rate, 25_000, false);
        let pause = 9_000 / u64::try_from(count).unwrap();
        for index in 0..count {
            cluster.kill(index);
            cluster.play(rate, pause.min(200), true);
            cluster.run(index);
            cluster.play(rate, pause, true);
        }
        let (retries, permitted) = cluster.worst_window();
        assert!(
            retries <= permitted,
            "{count} nodes: {retries} retries, {permitted} are permitted"
        );
    }
}

// Guards against a node that gets its share for a time in which the others have it.
#[test]
fn frozen_node_gets_no_share_for_the_time() {
    let mut cluster = SimulatedCluster::start(2, 400.0);
    cluster.advance(25_000);
    cluster.nodes[1].frozen_until = cluster.now + 20_000;
    cluster.advance(20_500);
    for index in [0, 1] {
        while cluster.retry(index, 0) {}
    }
    cluster.advance(9_000);
    for index in [0, 1] {
        while cluster.retry(index, 0) {}
    }
    let (retries, permitted) = cluster.worst_window();
    assert!(retries <= permitted, "{retries} retries, {permitted} are permitted");
    assert!(retries >= 0.5 * permitted, "{retries} retries, {permitted} are permitted");
}

#[test]
fn time_without_a_publication_funds_nothing() {
    let mut budget = RetryBudget::new(limit(400.0));
    budget.record_membership(1, at(0), at(100_000));
    budget.record_membership(1, at(0), at(115_000));
    assert!(!budget.take(&pool(), at(115_000)));
    budget.record_membership(1, at(0), at(116_000));
    assert!(budget.take(&pool(), at(116_000)));
}

// The counterpart: a reserve must not leave much of the budget unused.
#[test]
fn lasting_failures_get_most_of_the_budget() {
    for (count, rate, extra) in SIZES {
        let mut cluster = SimulatedCluster::start(count, extra);
        cluster.play(rate, 25_000, false);
        cluster.play(rate, 30_000, true);
        let (retries, permitted) = cluster.worst_window();
        assert!(
            retries <= permitted && retries >= 0.85 * permitted,
            "{count}: {retries} of {permitted}"
        );
    }
}

// The counterpart of a kill and of a start: no window of a node that runs is without retries.
#[test]
fn each_start_retries_within_its_first_window() {
    for (count, rate, extra) in SIZES {
        let mut cluster = SimulatedCluster::start(count, extra);
        assert!(cluster.play(rate, 2_000, true) > 0, "{count} nodes, first start");
        cluster.play(rate, 20_000, false);
        for time in [500, 9_000, 30_000] {
            for index in 0..count {
                cluster.kill(index);
            }
            cluster.advance(time);
            for index in 0..count {
                cluster.run(index);
            }
            assert!(cluster.play(rate, 2_000, true) > 0, "{count} nodes, away for {time} ms");
            cluster.play(rate, 12_000, false);
        }
        cluster.join();
        assert!(cluster.play(rate, 3_000, true) > 0, "{count} nodes, one has joined");
    }
}
