//! Retry budget that keeps retries from multiplying load.
//!
//! When a pool fails or rejects many requests, a node may retry a fraction of the requests that
//! callers sent to the pool, plus its share of a fixed number, within a sliding window.

use std::{collections::VecDeque, time::Duration};

use crate::{boot_time::BootTime, ids::PoolName};

/// Number of steps that the window is divided into.
const STEPS: u32 = 20;
/// Share of the declared budget that is used. The rest is a reserve, since the windows of nodes are
/// not aligned.
const USABLE_SHARE: f64 = 0.8;

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

/// Requests and retries within one step of the window.
#[derive(Clone, Copy, Debug)]
struct StepCount {
    step: u64,
    requests: f64,
    retries: f64,
}

/// One row of a [`RetryBudget`].
#[derive(Clone, Debug)]
struct PoolWindow {
    pool: PoolName,
    /// Oldest first, at most [`STEPS`] + 1.
    steps: VecDeque<StepCount>,
}

/// Retry budget of this node for each pool.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    /// Number of nodes that share the additional retries. At least 1.
    nodes: u32,
    /// Sorted by pool, without duplicates.
    rows: Vec<PoolWindow>,
}

impl RetryBudget {
    /// Creates an unused budget, with `nodes` nodes sharing the limit.
    #[must_use]
    pub fn new(limit: RetryLimit, nodes: u32) -> Self {
        Self { limit, nodes: nodes.max(1), rows: Vec::new() }
    }

    /// Sets the number of nodes that share the limit.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes.max(1);
    }

    fn step_of(&self, now: BootTime) -> u64 {
        let length = self.limit.window.as_millis() / u128::from(STEPS);
        now.as_millis() / u64::try_from(length.max(1)).unwrap_or(1)
    }

    fn current_window(&mut self, pool: &PoolName, now: BootTime) -> &mut PoolWindow {
        let step = self.step_of(now);
        let at = match self.rows.binary_search_by(|row| row.pool.cmp(pool)) {
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(at, PoolWindow { pool: pool.clone(), steps: VecDeque::new() });
                at
            }
        };
        let row = &mut self.rows[at];
        while row.steps.front().is_some_and(|old| old.step + u64::from(STEPS) < step) {
            row.steps.pop_front();
        }
        if row.steps.back().is_none_or(|last| last.step < step) {
            row.steps.push_back(StepCount { step, requests: 0.0, retries: 0.0 });
        }
        row
    }

    /// Records a request for `pool`, whether or not it is sent.
    pub fn record_request(&mut self, pool: &PoolName, now: BootTime) {
        if let Some(last) = self.current_window(pool, now).steps.back_mut() {
            last.requests += 1.0;
        }
    }

    /// Whether a retry is available.
    pub fn has_room(&mut self, pool: &PoolName, now: BootTime) -> bool {
        let limit = self.limit;
        let share = limit.extra / f64::from(self.nodes);
        let row = self.current_window(pool, now);
        let requests: f64 = row.steps.iter().map(|step| step.requests).sum();
        let retries: f64 = row.steps.iter().map(|step| step.retries).sum();
        retries + 1.0 <= (requests * limit.ratio + share) * USABLE_SHARE
    }

    /// Takes one retry from the budget. Returns whether one was available.
    pub fn take(&mut self, pool: &PoolName, now: BootTime) -> bool {
        let has_room = self.has_room(pool, now);
        if has_room && let Some(last) = self.current_window(pool, now).steps.back_mut() {
            last.retries += 1.0;
        }
        has_room
    }
}
