//! Budget that keeps repeated sends from multiplying load.
//!
//! Answers a pool that fails or rejects much of its work: nodes repeat a share of what callers
//! asked of the pool, plus this node's part of a fixed number, within a sliding window.

use std::{collections::VecDeque, time::Duration};

use crate::{boot_time::BootTime, ids::PoolName};

/// Steps into which the window is divided.
const STEPS: u32 = 20;
/// Share of the declared budget that is used, since the windows of nodes are not aligned.
const USED_SHARE: f64 = 0.8;

/// Declared bound on repeated sends, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBound {
    /// Repeats for each first send.
    pub ratio: f64,
    /// Repeats beyond those, over all nodes.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Sends within one step of the window.
#[derive(Clone, Copy, Debug)]
struct StepCount {
    step: u64,
    firsts: f64,
    repeats: f64,
}

/// One row of a [`RepeatTable`].
#[derive(Clone, Debug)]
struct PoolWindow {
    pool: PoolName,
    /// Oldest first, at most [`STEPS`] + 1.
    steps: VecDeque<StepCount>,
}

/// Sends of this node by pool.
#[derive(Clone, Debug)]
pub struct RepeatTable {
    bound: RepeatBound,
    /// Nodes that share the fixed number. At least 1.
    nodes: u32,
    /// Sorted by pool, without duplicates.
    rows: Vec<PoolWindow>,
}

impl RepeatTable {
    /// Starts without any sends; `nodes` share the bound.
    #[must_use]
    pub fn new(bound: RepeatBound, nodes: u32) -> Self {
        Self { bound, nodes: nodes.max(1), rows: Vec::new() }
    }

    /// Takes in how many nodes share the bound.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes.max(1);
    }

    fn step_of(&self, now: BootTime) -> u64 {
        let length = self.bound.window.as_millis() / u128::from(STEPS);
        now.as_millis() / u64::try_from(length.max(1)).unwrap_or(1)
    }

    fn current(&mut self, pool: &PoolName, now: BootTime) -> &mut PoolWindow {
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
            row.steps.push_back(StepCount { step, firsts: 0.0, repeats: 0.0 });
        }
        row
    }

    /// Notes a request for `pool`, whether or not it is sent.
    pub fn note_first(&mut self, pool: &PoolName, now: BootTime) {
        if let Some(last) = self.current(pool, now).steps.back_mut() {
            last.firsts += 1.0;
        }
    }

    /// Takes one repeat out of the budget. Returns whether there was one.
    pub fn take(&mut self, pool: &PoolName, now: BootTime) -> bool {
        let bound = self.bound;
        let part = bound.extra / f64::from(self.nodes);
        let row = self.current(pool, now);
        let firsts: f64 = row.steps.iter().map(|step| step.firsts).sum();
        let repeats: f64 = row.steps.iter().map(|step| step.repeats).sum();
        if repeats + 1.0 > (firsts * bound.ratio + part) * USED_SHARE {
            return false;
        }
        if let Some(last) = row.steps.back_mut() {
            last.repeats += 1.0;
        }
        true
    }
}
