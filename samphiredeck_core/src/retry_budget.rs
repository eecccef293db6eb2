//! Retry budget, which keeps retries from multiplying the load.
//!
//! An admitted request is not dropped when the budget is exhausted. Its retry waits until the
//! budget permits it, or until no request waits that it could delay.

use std::time::Instant;

use crate::ids::WorkspaceName;

/// Initial budget of a workspace, in retries.
const BUDGET_START: f64 = 10.0;
/// Retries added to the budget each second, independent of the number of requests.
const REFILL_PER_SECOND: f64 = 1.0;
/// Maximum budget of a workspace, in retries.
const BUDGET_MAX: f64 = 100.0;

/// One row of a [`RetryBudgetTable`].
#[derive(Clone, Debug)]
struct RetryBudget {
    workspace: WorkspaceName,
    /// Between 0 and [`BUDGET_MAX`].
    budget: f64,
    /// Time of the last refill.
    refilled_at: Instant,
}

/// Retry budgets of this node by workspace.
#[derive(Debug, Default)]
pub struct RetryBudgetTable {
    /// Sorted by workspace, without duplicates.
    rows: Vec<RetryBudget>,
}

impl RetryBudgetTable {
    fn row(&mut self, workspace: &WorkspaceName, now: Instant) -> &mut RetryBudget {
        let at = match self.rows.binary_search_by(|row| row.workspace.cmp(workspace)) {
            Ok(at) => at,
            Err(at) => {
                let row = RetryBudget {
                    workspace: workspace.clone(),
                    budget: BUDGET_START,
                    refilled_at: now,
                };
                self.rows.insert(at, row);
                at
            }
        };
        let row = &mut self.rows[at];
        let passed = now.saturating_duration_since(row.refilled_at).as_secs_f64();
        row.budget = (row.budget + passed * REFILL_PER_SECOND).min(BUDGET_MAX);
        row.refilled_at = row.refilled_at.max(now);
        row
    }

    /// Records the first attempt of a request, which adds `percent` of one retry to the budget.
    pub fn record_first_attempt(&mut self, workspace: &WorkspaceName, percent: u32, now: Instant) {
        let row = self.row(workspace, now);
        row.budget = (row.budget + f64::from(percent) / 100.0).min(BUDGET_MAX);
    }

    /// Takes one retry out of the budget. Returns whether the budget held one.
    pub fn take(&mut self, workspace: &WorkspaceName, now: Instant) -> bool {
        let row = self.row(workspace, now);
        if row.budget < 1.0 {
            return false;
        }
        row.budget -= 1.0;
        true
    }
}
