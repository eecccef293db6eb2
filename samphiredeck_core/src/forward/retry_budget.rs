//! Retry budget that keeps retries from multiplying load, over all nodes and all their starts.
//!
//! When a pool fails or rejects many requests, a node may retry a fraction of the requests that callers sent to the
//! pool, plus its share of a fixed number, within a sliding window. A node that is killed leaves nothing behind that
//! tells what it has spent, and its successor may start within the same window. So retries are funded by requests, and
//! by the time for which the node counts as a member: the larger part by what came in the window before, which a
//! successor doesn't know, and the smaller part by what comes in the window itself.
//!
//! # Bound
//!
//! The retries of a window cost at most [`PREVIOUS_PART`] of what all nodes earned in the window before it, and
//! [`CURRENT_PART`] of what they earned in it. Runs of a node don't overlap, and neither do the shares of nodes that
//! count as members at the same moment. So whatever the order of kills, starts and joins, that is at most what the larger
//! one of two windows in a row earned.

use std::{collections::VecDeque, ops::Range, time::Duration};

use crate::{boot_time::BootTime, forward::members::is_lapsed, ids::PoolName};

/// Number of steps that a window is divided into.
const STEPS: u64 = 20;
/// Steps that may pass until a retry reaches its upstream.
const ARRIVAL_STEPS: u64 = 1;
/// Steps for which retries count: a window and the one step that it does not begin with.
const RETRY_STEPS: u64 = STEPS + ARRIVAL_STEPS;
/// Steps for which requests and memberships fund retries.
const FUNDING_STEPS: u64 = RETRY_STEPS + STEPS;
/// Part of the retries of a window that the one before it funds. At least [`CURRENT_PART`], and 1 together with it.
const PREVIOUS_PART: f64 = 1.0 - CURRENT_PART;
/// Part of the retries of a window that it funds itself, which is all that a run gets in its first window. A larger part
/// leaves less for the begin of a spell of failures.
const CURRENT_PART: f64 = 1.0 / 3.0;

/// Declared limit on retries over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries over all nodes.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Requests and retries within one step.
#[derive(Clone, Copy, Debug)]
struct StepCount {
    step: u64,
    requests: f64,
    retries: f64,
}

/// One row of a [`RetryBudget`].
#[derive(Clone, Debug)]
struct PoolCounts {
    pool: PoolName,
    /// Oldest first, without duplicates, at most [`FUNDING_STEPS`] + 1.
    steps: VecDeque<StepCount>,
}

impl PoolCounts {
    /// Whether any of its counts matters in `step`.
    fn is_recent(&self, step: u64) -> bool {
        self.steps.back().is_some_and(|last| last.step + FUNDING_STEPS >= step)
    }
}

/// Part of the additional retries of one step.
#[derive(Clone, Copy, Debug)]
struct StepShare {
    step: u64,
    /// Fraction of what all nodes earn in the step. At most 1.
    fraction: f64,
}

/// Retry budget of this run of a node for each pool.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    /// Shares of the additional retries, which hold for each pool. Oldest first, without duplicates.
    shares: VecDeque<StepShare>,
    /// Time at which this node was published last.
    published_at: Option<BootTime>,
    /// Sorted by pool, without duplicates.
    rows: Vec<PoolCounts>,
}

impl RetryBudget {
    /// Creates a budget that is not funded yet.
    #[must_use]
    pub fn new(limit: RetryLimit) -> Self {
        Self { limit, shares: VecDeque::new(), published_at: None, rows: Vec::new() }
    }

    /// Length of a step in milliseconds, at least 1. Rounded up, so that all steps together cover a window.
    fn step_ms(&self) -> u64 {
        let window = u64::try_from(self.limit.window.as_millis()).unwrap_or(u64::MAX);
        window.div_ceil(STEPS).max(1)
    }

    fn step_of(&self, at: BootTime) -> u64 {
        at.as_millis() / self.step_ms()
    }

    /// Time for which requests and memberships fund retries.
    #[must_use]
    pub fn funding_span(&self) -> Duration {
        Duration::from_millis(self.step_ms().saturating_mul(FUNDING_STEPS))
    }

    /// Funds the time from `since` to `until`, in which no node counted as a member yet, for one of the first nodes. The store
    /// has named `nodes` of them at `until`, this one among them.
    pub fn fund_first_start(&mut self, nodes: u32, since: BootTime, until: BootTime) {
        self.add_shares(since, until, first_start_shares(nodes));
    }

    /// Whether one of `nodes` first nodes gets a retry at all for the time before the first start.
    #[must_use]
    pub fn may_fund_first_start(&self, nodes: u32) -> bool {
        self.limit.extra >= f64::from(first_start_shares(nodes))
    }

    /// Whether no time has funded it yet.
    #[must_use]
    pub fn is_unfunded(&self) -> bool {
        self.shares.is_empty()
    }

    /// Records at `now` that this node was published, and counts as a member since `member_since`, of `nodes` in total. Funds the
    /// time since it was published last, but nothing if the others may have dropped it meanwhile.
    pub fn record_membership(&mut self, nodes: u32, member_since: BootTime, now: BootTime) {
        let last = self.published_at.replace(now).filter(|last| !is_lapsed(now.since(*last)));
        if let Some(last) = last {
            self.add_shares(last.max(member_since), now, nodes);
        }
    }

    /// Adds one of `shares` shares of the time from `since` to `until`.
    fn add_shares(&mut self, since: BootTime, until: BootTime, shares: u32) {
        let length = self.step_ms();
        let mut from = since;
        while from < until {
            let step = self.step_of(from);
            let to = BootTime::from_millis((step + 1).saturating_mul(length)).min(until);
            let part = to.since(from).div_duration_f64(Duration::from_millis(length));
            let fraction = part / f64::from(shares.max(1));
            match self.shares.binary_search_by(|share| share.step.cmp(&step)) {
                Ok(share_at) => self.shares[share_at].fraction += fraction,
                Err(share_at) => self.shares.insert(share_at, StepShare { step, fraction }),
            }
            from = to;
        }
        let oldest = self.step_of(until).saturating_sub(FUNDING_STEPS);
        while self.shares.front().is_some_and(|share| share.step < oldest) {
            self.shares.pop_front();
        }
    }

    /// Index of the row of `pool`. A new one replaces those whose counts don't matter in `step` any more.
    fn find_or_insert(&mut self, pool: &PoolName, step: u64) -> usize {
        if let Ok(row_at) = self.rows.binary_search_by(|row| row.pool.cmp(pool)) {
            return row_at;
        }
        self.rows.retain(|row| row.is_recent(step));
        let row_at = self.rows.partition_point(|row| row.pool < *pool);
        self.rows.insert(row_at, PoolCounts { pool: pool.clone(), steps: VecDeque::new() });
        row_at
    }

    /// The counts of `pool` in the step of `at`.
    fn counts_at(&mut self, pool: &PoolName, at: BootTime) -> &mut StepCount {
        let step = self.step_of(at);
        let row_at = self.find_or_insert(pool, step);
        let steps = &mut self.rows[row_at].steps;
        let newest = steps.back().map_or(step, |last| last.step.max(step));
        while steps.front().is_some_and(|first| first.step + FUNDING_STEPS < newest) {
            steps.pop_front();
        }
        let step_at = match steps.binary_search_by(|count| count.step.cmp(&step)) {
            Ok(step_at) => step_at,
            Err(step_at) => {
                steps.insert(step_at, StepCount { step, requests: 0.0, retries: 0.0 });
                step_at
            }
        };
        &mut steps[step_at]
    }

    /// Records a request for `pool` that arrived at `at`, whether or not it is sent.
    pub fn record_request(&mut self, pool: &PoolName, at: BootTime) {
        self.counts_at(pool, at).requests += 1.0;
    }

    /// What `row` and the shares earn in `steps`.
    fn earned(&self, row: &PoolCounts, steps: &Range<u64>) -> f64 {
        let counts = row.steps.iter().filter(|count| steps.contains(&count.step));
        let shares = self.shares.iter().filter(|share| steps.contains(&share.step));
        let requests: f64 = counts.map(|count| count.requests).sum();
        let fraction = shares.map(|share| share.fraction).sum::<f64>() / to_f64(STEPS);
        requests * self.limit.ratio + fraction * self.limit.extra
    }

    /// Whether a retry is available: it fits into each window that it may fall into.
    #[must_use]
    pub fn has_room(&self, pool: &PoolName, now: BootTime) -> bool {
        let step = self.step_of(now);
        let unused = PoolCounts { pool: pool.clone(), steps: VecDeque::new() };
        let found = self.rows.binary_search_by(|row| row.pool.cmp(pool));
        let row = found.map_or(&unused, |row_at| &self.rows[row_at]);
        (step.saturating_sub(RETRY_STEPS)..=step).all(|first| {
            let recent = row.steps.iter().filter(|count| count.step >= first);
            let retries: f64 = recent.map(|count| count.retries).sum();
            // Retries taken from `first` on may fall into a window that begins one step later. The first step of the window
            // before it may be over when that one begins.
            let begin = first + ARRIVAL_STEPS;
            let previous = (begin + 1).saturating_sub(STEPS)..begin;
            let funded = self.earned(row, &previous) * PREVIOUS_PART
                + self.earned(row, &(begin..step + 1)) * CURRENT_PART;
            retries + 1.0 <= funded
        })
    }

    /// Takes one retry from the budget. Returns whether one was available.
    pub fn take(&mut self, pool: &PoolName, now: BootTime) -> bool {
        let has_room = self.has_room(pool, now);
        if has_room {
            self.counts_at(pool, now).retries += 1.0;
        }
        has_room
    }
}

/// Number of shares of a moment of the first start, of which a node gets one that knows of `nodes` nodes. The `n`th node to be
/// published knows of at least `n`, and `1 / (n * (n + 1))` over all `n` adds up to one.
fn first_start_shares(nodes: u32) -> u32 {
    let nodes = nodes.max(1);
    nodes.saturating_mul(nodes.saturating_add(1))
}

fn to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
