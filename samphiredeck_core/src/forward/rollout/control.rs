//! Steps of one rollout, as the leader takes them.
//!
//! A version may turn bad at any time before the deadline, and what it gets until then counts. So the order's time is
//! divided: the permitted share is spent on the first parts, and all traffic moves only after them. A new leader knows
//! what the row holds, and what the nodes report.

use std::time::Duration;

use crate::{
    boot_time::BootTime,
    ids::{FencingToken, Incarnation, NodeName, PoolName},
};

use super::{
    ExposureBounds, ExposureCounts, ExposureLease, RolloutDirective, RolloutReport,
    exposure::ExposureBudget,
    phases::{OpenRollout, RolloutPhase, RolloutRow},
    tally::RouteReport,
    verdict::VersionJudge,
};

/// Part of the order's time in which the new version gets the permitted share, `s`. Together with the steps below it
/// gets `0.4 s + 0.1 * 2.5 s + 0.06 * 5 s = 0.95 s` of all requests until the deadline.
const PROBING_PART: f64 = 0.4;
/// Parts of the order's time, and factors of the share, of the steps of [`RolloutPhase::Widening`].
const WIDENING_STEPS: [(f64, f64); 2] = [(0.1, 2.5), (0.06, 5.0)];
/// Part of the order's time from which the steps are shortened: a leader was lost, or there are few requests.
const LATE_PART: f64 = 0.6;
/// Minimum part of the order's time for widening then.
const WIDENING_PART_MIN: f64 = 0.06;
/// Part of the order's time from which requests that are left at old upstreams don't hold up the end.
const LAST_PART: f64 = 0.96;
/// Minimum number of responses of the new version before its share rises.
const JUDGED_MIN: u64 = 20;
/// Part of the permitted share and of the slack that is used. The rest is for requests that change their upstream
/// unknown to any node.
const USED_SHARE: f64 = 0.95;
const USED_SLACK: f64 = 0.8;
/// Highest share of requests of a pool with few of them, for which the slack is most of the budget.
const PROBING_SHARE_MAX: f64 = 1.0 / 3.0;
/// Time for which a new leader only collects reports: they hold what nodes counted under the leader before.
const COLLECT_TIME: Duration = Duration::from_secs(1);
/// Minimum time between two rows that only raise the reserved number.
const RESERVE_PERIOD: Duration = Duration::from_millis(500);
/// Time after which a report no longer shows what a node does.
const REPORT_MAX: Duration = Duration::from_secs(1);
/// Interval at which a node that knows the end of a rollout is told it again: it may have been started anew.
const REPEAT_PERIOD: Duration = Duration::from_secs(5);
/// Minimum time for which all new requests go to the new version before the end.
const MOVING_MIN_MS: i64 = 1_000;

/// What is known of a pool besides the rollout.
#[derive(Clone, Copy, Debug)]
pub struct PoolView<'a> {
    /// Whether an upstream of the new version takes requests.
    pub has_new: bool,
    /// Nodes of the cluster.
    pub members: &'a [NodeName],
}

#[derive(Clone, Debug)]
struct NodeStatus {
    node: NodeName,
    incarnation: Incarnation,
    asked_ms: u64,
    reported_at: BootTime,
    phase: RolloutPhase,
    base_in_flight: u32,
    /// Sorted by route.
    routes: Vec<RouteReport>,
}

/// Rollout of one pool at the leader.
#[derive(Clone, Debug)]
pub struct RolloutControl {
    pool: PoolName,
    bounds: ExposureBounds,
    row: RolloutRow,
    budget: ExposureBudget,
    judge: VersionJudge,
    /// Sorted by node.
    nodes: Vec<NodeStatus>,
    /// Outcomes since the last look, sorted by route.
    period: Vec<RouteReport>,
    /// End of the rollout that a node knows of.
    known_end: Option<RolloutPhase>,
    begun_at: BootTime,
    written_at: BootTime,
}

impl RolloutControl {
    /// Creates the control of a leader that has read or written `row` at `now`.
    #[must_use]
    pub fn new(pool: PoolName, bounds: ExposureBounds, row: RolloutRow, now: BootTime) -> Self {
        let prior = ExposureCounts { arrivals: row.arrivals, exposed: row.reserved };
        let budget = ExposureBudget::new(prior, bounds.lease_time());
        Self {
            pool,
            bounds,
            row,
            budget,
            judge: VersionJudge::default(),
            nodes: Vec::new(),
            period: Vec::new(),
            known_end: None,
            begun_at: now,
            written_at: now,
        }
    }

    /// Pool of the rollout.
    #[must_use]
    pub fn pool(&self) -> &PoolName {
        &self.pool
    }

    /// Row as it was last written.
    #[must_use]
    pub fn row(&self) -> &RolloutRow {
        &self.row
    }

    /// Judge of the new version.
    #[must_use]
    pub fn judge(&self) -> &VersionJudge {
        &self.judge
    }

    /// Requests of the pool and of the new version.
    #[must_use]
    pub fn counts(&self) -> ExposureCounts {
        self.budget.counts()
    }

    /// Records that `row` was written at `now`.
    pub fn record_written(&mut self, row: RolloutRow, now: BootTime) {
        self.row = row;
        self.written_at = now;
    }

    /// Applies a report of `node`.
    pub fn record_report(
        &mut self,
        (node, incarnation): (&NodeName, Incarnation),
        report: RolloutReport,
        now: BootTime,
    ) {
        if report.order != self.row.order {
            return;
        }
        if matches!(report.phase, RolloutPhase::Completed | RolloutPhase::RolledBack) {
            self.known_end = Some(report.phase);
        }
        let sender = (node, incarnation);
        if !self.budget.record_report(sender, report.asked_ms, report.counts, now) {
            return;
        }
        let at = match self.nodes.binary_search_by(|known| known.node.cmp(node)) {
            Ok(at) if self.nodes[at].incarnation > incarnation => return,
            Ok(at) => {
                if self.nodes[at].incarnation < incarnation {
                    self.nodes[at].routes.clear();
                }
                at
            }
            Err(at) => {
                let status = NodeStatus {
                    node: node.clone(),
                    incarnation,
                    asked_ms: 0,
                    reported_at: now,
                    phase: report.phase,
                    base_in_flight: 0,
                    routes: Vec::new(),
                };
                self.nodes.insert(at, status);
                at
            }
        };
        let known = &mut self.nodes[at];
        known.incarnation = incarnation;
        known.asked_ms = report.asked_ms;
        known.reported_at = now;
        known.phase = report.phase;
        known.base_in_flight = report.base_in_flight;
        for tally in report.routes {
            let found = known.routes.binary_search_by(|before| before.route.cmp(&tally.route));
            let news = match found {
                Ok(at) => {
                    let news = tally.since(&known.routes[at]);
                    known.routes[at] = tally;
                    news
                }
                Err(at) => {
                    known.routes.insert(at, tally.clone());
                    tally
                }
            };
            match self.period.binary_search_by(|sum| sum.route.cmp(&news.route)) {
                Ok(at) => {
                    self.period[at].base.add(&news.base);
                    self.period[at].new.add(&news.new);
                }
                Err(at) => self.period.insert(at, news),
            }
        }
    }

    /// Judges the outcomes that were reported since the last look.
    pub fn judge_period(&mut self) {
        let period = std::mem::take(&mut self.period);
        self.judge.record(&period);
    }

    /// Number of requests that the new version may get so far.
    fn allowance(&self, now_ms: i64) -> u64 {
        #[expect(clippy::cast_precision_loss, reason = "a pool gets far fewer requests")]
        let arrivals = self.budget.counts().arrivals as f64;
        let arrivals = match self.row.phase {
            RolloutPhase::Probing => arrivals,
            // What the pool gets after a rollback counts as well, so that requests to come are part of the whole.
            RolloutPhase::Widening => arrivals / self.row.elapsed(now_ms).clamp(0.1, 1.0),
            _ => return 0,
        };
        let allowed = arrivals * self.bounds.share * USED_SHARE + self.bounds.slack * USED_SLACK;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a number of requests is not negative and far smaller"
        )]
        let allowed = allowed as u64;
        allowed
    }

    /// Share of each node's requests that goes to the new version, as far as its lease permits.
    #[expect(clippy::cast_precision_loss, reason = "a pool gets far fewer requests")]
    fn share(&self, now_ms: i64) -> f64 {
        let share = self.bounds.share;
        match self.row.phase {
            RolloutPhase::Probing => {
                let counts = self.budget.counts();
                let elapsed = self.row.elapsed(now_ms);
                if elapsed >= PROBING_PART || counts.arrivals == 0 {
                    return share;
                }
                let to_come = counts.arrivals as f64 / elapsed.max(0.01) * (PROBING_PART - elapsed);
                let left = self.allowance(now_ms).saturating_sub(counts.exposed) as f64;
                let share_left = left / to_come.max(1.0) + share;
                share_left.min(PROBING_SHARE_MAX.max(share)).min(1.0)
            }
            RolloutPhase::Widening => {
                let elapsed = self.row.elapsed_in_phase(now_ms);
                let [(first_part, first), (_, second)] = WIDENING_STEPS;
                let factor = if elapsed < first_part { first } else { second };
                (share * factor).min(1.0)
            }
            RolloutPhase::Moving | RolloutPhase::Completed => 1.0,
            _ => 0.0,
        }
    }

    /// Whether all members send their requests to the new version, and none is left at the old one.
    fn has_moved(&self, members: &[NodeName], now: BootTime) -> bool {
        members.iter().all(|member| {
            let found = self.nodes.binary_search_by(|known| known.node.cmp(member));
            found.is_ok_and(|at| {
                let known = &self.nodes[at];
                known.phase == RolloutPhase::Moving
                    && known.base_in_flight == 0
                    && now.since(known.reported_at) < REPORT_MAX
            })
        })
    }

    /// Row to write next, if any, at `now`, which is `now_ms` on the store's clock.
    #[must_use]
    pub fn next_row(&self, view: PoolView<'_>, now: BootTime, now_ms: i64) -> Option<RolloutRow> {
        let row = self.with_counts();
        let open = OpenRollout::of(row.clone())?;
        if let Some(phase) = self.known_end {
            return Some(open.adopt_end(phase, now_ms));
        }
        let bad = self.judge.verdict().map(|bad| {
            format!(
                "{:?} on {}: {:.1}, expected {:.3}",
                bad.aspect, bad.route, bad.sum, bad.expected
            )
        });
        let is_collecting = now.since(self.begun_at) < COLLECT_TIME;
        let elapsed = row.elapsed(now_ms);
        let in_phase = row.elapsed_in_phase(now_ms);
        let is_late = elapsed >= LATE_PART;
        let is_judged = self.judge.judged() >= if is_late { 1 } else { JUDGED_MIN };
        let unproven = || "not known to be good by the deadline".to_owned();
        let next = match open {
            OpenRollout::Ordered(rollout) => {
                (view.has_new && elapsed < LAST_PART).then(|| rollout.probe(now_ms))
            }
            OpenRollout::Probing(rollout) => match bad {
                Some(reason) => Some(rollout.roll_back(now_ms, reason)),
                None if elapsed >= LAST_PART => Some(rollout.roll_back(now_ms, unproven())),
                None if is_collecting => None,
                // Late, the share may be used up by leases of nodes and leaders that ended, along with what they had
                // counted. Widening permits more, and its end requires responses.
                None => (elapsed >= PROBING_PART && (is_judged || is_late))
                    .then(|| rollout.widen(now_ms)),
            },
            OpenRollout::Widening(rollout) => {
                let whole: f64 = WIDENING_STEPS.iter().map(|(part, _)| part).sum();
                let needed = if is_late { WIDENING_PART_MIN } else { whole };
                match bad {
                    Some(reason) => Some(rollout.roll_back(now_ms, reason)),
                    None if elapsed >= LAST_PART => Some(rollout.roll_back(now_ms, unproven())),
                    None if is_collecting => None,
                    None => (in_phase >= needed && is_judged).then(|| rollout.move_all(now_ms)),
                }
            }
            OpenRollout::Moving(rollout) => match bad {
                Some(reason) => Some(rollout.roll_back(now_ms, reason)),
                None if elapsed >= LAST_PART => Some(rollout.complete(now_ms)),
                None if is_collecting || now_ms - row.since_ms < MOVING_MIN_MS => None,
                None => self.has_moved(view.members, now).then(|| rollout.complete(now_ms)),
            },
        };
        next.or_else(|| self.reserve_more(row, now, now_ms))
    }

    /// Row with the number of requests to the pool that are known now.
    fn with_counts(&self) -> RolloutRow {
        RolloutRow { arrivals: self.budget.counts().arrivals, ..self.row.clone() }
    }

    /// Row that reserves what the allowance has become.
    fn reserve_more(&self, row: RolloutRow, now: BootTime, now_ms: i64) -> Option<RolloutRow> {
        let allowance = self.allowance(now_ms);
        let is_due = row.reserved == 0 || now.since(self.written_at) >= RESERVE_PERIOD;
        (is_due && allowance > row.reserved).then_some(RolloutRow { reserved: allowance, ..row })
    }

    /// What the nodes are to be told at `now`.
    pub fn directives(
        &mut self,
        fence: FencingToken,
        members: &[NodeName],
        now: BootTime,
        now_ms: i64,
    ) -> Vec<(NodeName, RolloutDirective)> {
        let share = self.share(now_ms);
        let is_collecting = now.since(self.begun_at) < COLLECT_TIME;
        let mut leases = match self.row.phase {
            _ if is_collecting || self.judge.verdict().is_some() => Vec::new(),
            RolloutPhase::Probing | RolloutPhase::Widening => {
                let allowance = self.allowance(now_ms).min(self.row.reserved);
                self.budget.deal(allowance, share, now)
            }
            RolloutPhase::Moving => self.moving_leases(now),
            _ => Vec::new(),
        };
        // Of two runs of a node, the later one asks for leases.
        leases.sort_by(|(a, _), (b, _)| a.cmp(b));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share is at most 1 and not negative"
        )]
        let share_permille = (share * 1_000.0) as u16;
        let directive = |node: &NodeName| {
            let found = leases.binary_search_by(|(holder, _)| holder.cmp(node)).ok();
            let lease = found.map(|at| leases[at].1);
            RolloutDirective {
                fence,
                pool: self.pool.clone(),
                order: self.row.order,
                base: self.row.base.clone(),
                to: self.row.to.clone(),
                phase: self.row.phase,
                share_permille,
                lease,
            }
        };
        let is_told = |node: &&NodeName| {
            let found = self.nodes.binary_search_by(|known| known.node.cmp(node)).ok();
            found.is_some_and(|at| {
                let known = &self.nodes[at];
                self.row.phase.is_final()
                    && known.phase == self.row.phase
                    && now.since(known.reported_at) < REPEAT_PERIOD
            })
        };
        let told = members.iter().filter(|node| !is_told(node));
        told.map(|node| (node.clone(), directive(node))).collect()
    }

    /// Leases without a limit, which only end with their time.
    fn moving_leases(&self, now: BootTime) -> Vec<(NodeName, ExposureLease)> {
        let valid_ms = u64::try_from(self.bounds.lease_time().as_millis()).unwrap_or(u64::MAX);
        let fresh = self.nodes.iter().filter(|known| now.since(known.reported_at) < REPORT_MAX);
        let lease = |known: &NodeStatus| {
            let lease = ExposureLease { asked_ms: known.asked_ms, valid_ms, limit: u64::MAX };
            (known.node.clone(), lease)
        };
        fresh.map(lease).collect()
    }
}
