//! Budget that keeps retries from multiplying load.
//!
//! A request that was accepted is not given up for the budget: its retry waits until there is one.

use std::time::Instant;

use crate::ids::WorkspaceName;

/// Retries that a workspace may make before it has sent anything.
const BUDGET_START: f64 = 10.0;
/// Retries that a workspace earns each second, whatever it sends.
const EARNED_PER_SECOND: f64 = 1.0;
/// Most retries that a workspace can save up.
const BUDGET_MAX: f64 = 100.0;

/// One row of a [`RetryTable`].
#[derive(Clone, Debug)]
struct RetryRow {
    workspace: WorkspaceName,
    /// Between 0 and [`BUDGET_MAX`].
    budget: f64,
    /// Time up to which the budget was earned.
    earned_at: Instant,
}

/// Retry budgets of this node by workspace.
#[derive(Debug, Default)]
pub struct RetryTable {
    /// Sorted by workspace, without duplicates.
    rows: Vec<RetryRow>,
}

impl RetryTable {
    fn row(&mut self, workspace: &WorkspaceName, now: Instant) -> &mut RetryRow {
        let at = match self.rows.binary_search_by(|row| row.workspace.cmp(workspace)) {
            Ok(at) => at,
            Err(at) => {
                let row =
                    RetryRow { workspace: workspace.clone(), budget: BUDGET_START, earned_at: now };
                self.rows.insert(at, row);
                at
            }
        };
        let row = &mut self.rows[at];
        let passed = now.saturating_duration_since(row.earned_at).as_secs_f64();
        row.budget = (row.budget + passed * EARNED_PER_SECOND).min(BUDGET_MAX);
        row.earned_at = row.earned_at.max(now);
        row
    }

    /// Notes a first send, which earns `percent` of one retry.
    pub fn note_first(&mut self, workspace: &WorkspaceName, percent: u32, now: Instant) {
        let row = self.row(workspace, now);
        row.budget = (row.budget + f64::from(percent) / 100.0).min(BUDGET_MAX);
    }

    /// Takes one retry out of the budget. Returns whether there was one.
    pub fn take(&mut self, workspace: &WorkspaceName, now: Instant) -> bool {
        let row = self.row(workspace, now);
        if row.budget < 1.0 {
            return false;
        }
        row.budget -= 1.0;
        true
    }
}
