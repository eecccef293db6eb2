//! Budget that keeps retries from multiplying load.

use crate::ids::WorkspaceName;

/// Retries that a workspace may make before it has sent anything.
const BUDGET_START: f64 = 10.0;
/// Most retries that a workspace can save up.
const BUDGET_MAX: f64 = 100.0;

/// One row of a [`RetryTable`].
#[derive(Clone, Debug)]
struct RetryRow {
    workspace: WorkspaceName,
    /// Between 0 and [`BUDGET_MAX`].
    budget: f64,
}

/// Retry budgets of this node by workspace.
#[derive(Debug, Default)]
pub struct RetryTable {
    /// Sorted by workspace, without duplicates.
    rows: Vec<RetryRow>,
}

impl RetryTable {
    fn row(&mut self, workspace: &WorkspaceName) -> &mut RetryRow {
        let at = match self.rows.binary_search_by(|row| row.workspace.cmp(workspace)) {
            Ok(at) => at,
            Err(at) => {
                let row = RetryRow { workspace: workspace.clone(), budget: BUDGET_START };
                self.rows.insert(at, row);
                at
            }
        };
        &mut self.rows[at]
    }

    /// Notes a first send, which earns `percent` of one retry.
    pub fn note_first(&mut self, workspace: &WorkspaceName, percent: u32) {
        let row = self.row(workspace);
        row.budget = (row.budget + f64::from(percent) / 100.0).min(BUDGET_MAX);
    }

    /// Takes one retry out of the budget. Returns whether there was one.
    pub fn take(&mut self, workspace: &WorkspaceName) -> bool {
        let row = self.row(workspace);
        if row.budget < 1.0 {
            return false;
        }
        row.budget -= 1.0;
        true
    }
}
