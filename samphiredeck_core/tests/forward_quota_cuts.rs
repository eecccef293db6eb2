//! A limit over nodes that lose each other: a model in virtual time of nodes that query owners of one workspace.

use std::time::Duration;

use proptest::prelude::*;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        catalog::WorkspaceRow,
        quota::{
            LocalQuota, QuotaDecision, QuotaOwner, QuotaSlack, UnownedTable, rank_quota_owners,
        },
        quota_reach::{PROBE_PERIOD, PROBED_PER_ROUND, QuotaReach},
    },
    ids::NodeName,
};

const STEP_MS: u64 = 25;
const WINDOW_MS: u64 = 8_000;
const LENGTH_MS: u64 = 30_000;
const UNOWNED_AFTER: Duration = Duration::from_millis(500);

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(100_000 + millis)
}

fn slack() -> QuotaSlack {
    QuotaSlack { overage: 0.1, tokens: 140_000.0, window: Duration::from_millis(WINDOW_MS) }
}

fn workspace(rate: f64) -> WorkspaceRow {
    WorkspaceRow {
        name: "w".parse().unwrap(),
        priority: None,
        rate,
        burst: rate,
        by_tokens: true,
        default_tokens: 200,
    }
}

fn allowed(rate: f64) -> f64 {
    (rate * 8.0 + rate) * 1.1 + 140_000.0
}

/// What is wrong for a time.
#[derive(Clone, Debug)]
enum Trouble {
    /// Nodes whose bit is set lose the others.
    Split(u16),
    /// No node reaches another.
    Alone,
    /// Each node reaches its neighbours in the list only.
    Chain,
    /// As a split, every other second.
    Flapping(u16),
    /// The node's process has ended.
    Ended(usize),
    /// The node is frozen: it neither sends nor answers.
    Frozen(usize),
}

#[derive(Clone, Debug)]
struct Span {
    from_ms: u64,
    until_ms: u64,
    trouble: Trouble,
}

struct Node {
    name: NodeName,
    owner: QuotaOwner,
    local: LocalQuota,
    reach: QuotaReach,
    unowned: UnownedTable,
}

struct Model {
    nodes: Vec<Node>,
    spans: Vec<Span>,
    row: WorkspaceRow,
    /// Indexes of the nodes, first owner first.
    ranking: Vec<usize>,
}

impl Model {
    fn new(count: usize, rate: f64, spans: Vec<Span>) -> Self {
        let row = workspace(rate);
        let names: Vec<NodeName> =
            (0..count).map(|number| format!("n{number:02}").parse().unwrap()).collect();
        let refs: Vec<&NodeName> = names.iter().collect();
        let ranking = rank_quota_owners(&row.name, &refs)
            .into_iter()
            .map(|name| names.iter().position(|known| known == name).unwrap())
            .collect();
        let nodes = names.into_iter().map(|name| Node::new(name, count)).collect();
        Self { nodes, spans, row, ranking }
    }

    fn troubles(&self, now: u64) -> impl Iterator<Item = &Span> {
        self.spans.iter().filter(move |span| span.from_ms <= now && now < span.until_ms)
    }

    fn has_ended(&self, node: usize, now: u64) -> bool {
        self.troubles(now)
            .any(|span| matches!(span.trouble, Trouble::Ended(ended) if ended == node))
    }

    fn runs(&self, node: usize, now: u64) -> bool {
        let is_frozen =
            |span: &Span| matches!(span.trouble, Trouble::Frozen(frozen) if frozen == node);
        !self.has_ended(node, now) && !self.troubles(now).any(is_frozen)
    }

    fn has_path(&self, a: usize, b: usize, now: u64) -> bool {
        let differ = |mask: u16| (mask >> a) & 1 != (mask >> b) & 1;
        a == b
            || !self.troubles(now).any(|span| match span.trouble {
                Trouble::Split(mask) => differ(mask),
                Trouble::Flapping(mask) => (now / 1_000).is_multiple_of(2) && differ(mask),
                Trouble::Alone => true,
                Trouble::Chain => a.abs_diff(b) > 1,
                Trouble::Ended(_) | Trouble::Frozen(_) => false,
            })
    }

    fn reaches(&self, a: usize, b: usize, now: u64) -> bool {
        self.runs(a, now) && self.runs(b, now) && self.has_path(a, b, now)
    }

    fn probe(&mut self, node: usize, now: u64) {
        let count = self.nodes.len();
        let rounds = usize::try_from(now / STEP_MS).unwrap();
        // Larger clusters are probed in turn here, at random by nodes.
        let mut others: Vec<usize> = (1..count)
            .map(|step| (node + step + rounds) % count)
            .filter(|other| *other != node)
            .collect();
        others.truncate(PROBED_PER_ROUND);
        let mut names: Vec<NodeName> =
            others.iter().map(|other| self.nodes[*other].name.clone()).collect();
        names.sort();
        self.nodes[node].reach.begin_round(&names, at(now));
        for other in others {
            let name = self.nodes[other].name.clone();
            if self.reaches(node, other, now) {
                self.nodes[node].reach.record_answer(&name, at(now));
            } else if self.has_ended(other, now) && self.has_path(node, other, now) {
                self.nodes[node].reach.record_end(&name, at(now));
            }
        }
    }

    /// Decision of the owner at `rank`, or of a higher-ranked one that it reaches.
    fn decide(&mut self, rank: usize, cost: f64, now: u64) -> QuotaDecision {
        let owner = self.ranking[rank];
        if let Some(higher) =
            (0..rank).find(|higher| self.reaches(owner, self.ranking[*higher], now))
        {
            return self.decide(higher, cost, now);
        }
        let mut decided_at = at(now);
        if rank > 0 && self.nodes[owner].reach.share(decided_at).is_none() {
            self.probe(owner, now);
            decided_at = decided_at + Duration::from_millis(31);
        }
        #[expect(clippy::cast_precision_loss, reason = "few nodes")]
        let unknown = if rank > 0 { 1.0 / self.nodes.len() as f64 } else { 1.0 };
        let node = &mut self.nodes[owner];
        let share = node.reach.share(decided_at).unwrap_or(unknown);
        node.owner.take(&self.row, cost, share, decided_at)
    }

    fn admit(&mut self, node: usize, cost: f64, now: u64) -> bool {
        if self.nodes[node].local.take_small(&self.row, cost, at(now)) {
            return true;
        }
        let rank =
            (0..self.ranking.len()).find(|rank| self.reaches(node, self.ranking[*rank], now));
        if let Some(rank) = rank {
            let decision = self.decide(rank, cost, now);
            self.nodes[node].unowned.record_decision(&self.row.name);
            return decision == QuotaDecision::Granted;
        }
        #[expect(clippy::cast_precision_loss, reason = "few nodes")]
        let share = 1.0 / self.nodes.len() as f64;
        let Node { local, unowned, owner, .. } = &mut self.nodes[node];
        local.take(&self.row, cost, at(now))
            || (unowned.silence(&self.row.name, at(now)) >= UNOWNED_AFTER
                && owner.take(&self.row, cost, share, at(now)) == QuotaDecision::Granted)
    }

    fn maintain(&mut self, now: u64) {
        let first = self.ranking[0];
        let count = self.nodes.len();
        for index in 0..count {
            let was_running = now >= STEP_MS && self.runs(index, now - STEP_MS);
            if !self.runs(index, now) {
                continue;
            }
            let ended_before = now >= STEP_MS && self.has_ended(index, now - STEP_MS);
            let node = &mut self.nodes[index];
            if ended_before {
                *node = Node::new(node.name.clone(), count);
            } else if !was_running {
                node.owner.relieve(|_| false, at(now));
            }
            if now.is_multiple_of(u64::try_from(PROBE_PERIOD.as_millis()).unwrap()) {
                node.owner.relieve(|_| index == first, at(now));
                if node.owner.is_pressed(at(now)) {
                    self.probe(index, now);
                } else {
                    node.reach.clear();
                }
            }
        }
    }

    /// Plays requests of `cost` units at `load` times the limit, evenly over the nodes. Returns the largest sum of a window,
    /// and the share of the requests that was granted at running nodes, over all and in the worst two seconds.
    fn play(&mut self, cost: f64, load: f64) -> (f64, f64, f64) {
        let count = self.nodes.len();
        let mut granted = Vec::new();
        let mut seconds = vec![(0_u32, 0_u32); usize::try_from(LENGTH_MS / 1_000).unwrap()];
        let (mut due, mut turn) = (0.0, 0);
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let per_step = self.row.rate * load / cost * STEP_MS as f64 / 1_000.0;
        for step in 0..LENGTH_MS / STEP_MS {
            let now = step * STEP_MS;
            self.maintain(now);
            due += per_step;
            while due >= 1.0 {
                due -= 1.0;
                turn = (turn + 1) % count;
                if !self.runs(turn, now) {
                    continue;
                }
                let second = &mut seconds[usize::try_from(now / 1_000).unwrap()];
                second.0 += 1;
                if self.admit(turn, cost, now) {
                    second.1 += 1;
                    granted.push((now, cost));
                }
            }
        }
        let windows = granted.iter().enumerate().map(|(index, (end, _))| {
            let inside = granted[..=index].iter().rev().take_while(|(at, _)| at + WINDOW_MS > *end);
            inside.map(|(_, units)| units).sum()
        });
        let worst = windows.fold(0.0, f64::max);
        let share = |seconds: &[(u32, u32)]| {
            let (asked, got) = seconds.iter().fold((0, 0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
            f64::from(got) / f64::from(asked.max(1))
        };
        // A new cluster begins with nearly empty buckets.
        let settled = &seconds[4..];
        let least = settled.windows(2).map(share).fold(1.0, f64::min);
        (worst, share(settled), least)
    }
}

impl Node {
    fn new(name: NodeName, count: usize) -> Self {
        Self {
            name,
            owner: QuotaOwner::new(slack()),
            local: LocalQuota::new(slack(), u32::try_from(count).unwrap()),
            reach: QuotaReach::default(),
            unowned: UnownedTable::default(),
        }
    }
}

fn span(from_ms: u64, length_ms: u64, trouble: Trouble) -> Span {
    Span { from_ms, until_ms: from_ms + length_ms, trouble }
}

fn cuts(count: usize) -> Vec<Trouble> {
    let half = (1_u16 << (count / 2)) - 1;
    vec![
        Trouble::Split(0b11),
        Trouble::Split(0b11 << (count - 2)),
        Trouble::Split(half),
        Trouble::Split(1),
        Trouble::Flapping(half),
        Trouble::Flapping(0b11),
        Trouble::Chain,
        Trouble::Alone,
    ]
}

/// Guards against an owner on each side of a cut that grants at the full rate: 815,875 units ran where 757,632 are allowed.
#[test]
fn sides_of_a_cut_share_the_limit() {
    for (count, rate) in [(9, 60_000.0), (9, 120_000.0), (12, 30_000.0), (4, 120_000.0)] {
        for (trouble, cost) in cuts(count)
            .into_iter()
            .flat_map(|cut| [300.0, 2_500.0, 13_000.0].map(|cost| (cut.clone(), cost)))
        {
            for length in [1_500, 5_500, 12_000] {
                let spans = vec![span(6_000, length, trouble.clone())];
                let (worst, _, _) = Model::new(count, rate, spans).play(cost, 7.5);
                let limit = allowed(rate);
                assert!(
                    worst <= limit,
                    "{count}, {trouble:?}, {cost}, {length}: {worst} of {limit}"
                );
            }
        }
    }
}

/// The counterpart: a workspace within its limit goes on during a cut and after it.
#[test]
fn workspace_within_its_limit_is_served_across_a_cut() {
    for trouble in cuts(9) {
        let spans = vec![span(8_000, 5_500, trouble.clone())];
        let (_, served, least) = Model::new(9, 120_000.0, spans).play(2_500.0, 0.6);
        assert!(served >= 0.97 && least >= 0.7, "{trouble:?}: {served}, {least}");
    }
}

/// An ended owner is replaced at the full rate, and a frozen one costs its own share only.
#[test]
fn workspace_at_its_limit_is_served_when_nodes_end() {
    for index in 0..9 {
        let ended = vec![span(8_000, 1_500, Trouble::Ended(index))];
        let (_, served, least) = Model::new(9, 120_000.0, ended).play(2_500.0, 0.9);
        assert!(served >= 0.99 && least >= 0.95, "{index}: {served}, {least}");
        let frozen = vec![span(8_000, 3_000, Trouble::Frozen(index))];
        let (_, served, least) = Model::new(9, 120_000.0, frozen).play(2_500.0, 0.8);
        assert!(served >= 0.97 && least >= 0.8, "{index}: {served}, {least}");
    }
}

/// Guards against a bucket more for each owner that stops and starts: a rolling restart exceeded limits by 1 in 100.
#[test]
fn restarts_of_all_nodes_in_turn_keep_the_limit() {
    for (pause, length) in [(1_500, 1_200), (2_500, 1_800), (900, 800)] {
        let spans: Vec<Span> = (0_u64..9)
            .map(|index| {
                let node = usize::try_from(index).unwrap();
                span(6_000 + index * pause, length, Trouble::Ended(node))
            })
            .collect();
        for cost in [300.0, 2_500.0, 13_000.0] {
            let (worst, _, _) = Model::new(9, 120_000.0, spans.clone()).play(cost, 7.5);
            let limit = allowed(120_000.0);
            assert!(worst <= limit, "{pause}, {cost}: {worst} of {limit}");
        }
    }
}

fn any_trouble() -> impl Strategy<Value = Trouble> {
    prop_oneof![
        any::<u16>().prop_map(Trouble::Split),
        any::<u16>().prop_map(Trouble::Flapping),
        Just(Trouble::Alone),
        Just(Trouble::Chain),
        (0..9_usize).prop_map(Trouble::Ended),
        (0..9_usize).prop_map(Trouble::Frozen),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn random_troubles_keep_the_limit(
        count in 3..12_usize,
        rate in 30_000.0..250_000.0_f64,
        cost in 200.0..16_000.0_f64,
        load in 2.0..8.0_f64,
        spans in proptest::collection::vec((0..24_000_u64, 300..8_000_u64, any_trouble()), 1..5),
    ) {
        let spans: Vec<Span> = spans.into_iter().map(|(from, length, trouble)| span(from, length, trouble)).collect();
        let (worst, _, _) = Model::new(count, rate, spans).play(cost, load);
        prop_assert!(worst <= allowed(rate), "{} of {}", worst, allowed(rate));
    }
}
