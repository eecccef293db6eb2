//! Token usage and cost per workspace and model.

use serde::{Deserialize, Serialize};

use crate::ids::{ModelName, WorkspaceName};

const MS_PER_HOUR: u128 = 3_600_000;

/// Usage of one attempt at one upstream, which yields a whole response or a part of one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptUsage {
    /// Prompt tokens of the request, counted once per request and not per attempt.
    pub prompt: u64,
    /// Prompt tokens served from the prefix cache.
    pub cached: u64,
    /// Generated tokens.
    pub generated: u64,
    /// Tokens computed again because earlier work on the request was lost.
    pub recomputed: u64,
    /// Time that the request occupied the upstream, in milliseconds.
    pub busy_ms: u64,
    /// Price of the instance per hour, in millionths of the platform's currency.
    pub price: u64,
    /// Requests that the instance runs concurrently and that share its price, at least 1.
    pub slots: u32,
}

impl AttemptUsage {
    /// Cost in billionths of the platform's currency.
    #[must_use]
    pub fn cost(&self) -> u64 {
        let price = u128::from(self.price) * 1_000;
        let share = u128::from(self.slots.max(1));
        u64::try_from(price * u128::from(self.busy_ms) / MS_PER_HOUR / share).unwrap_or(u64::MAX)
    }
}

/// One row of an [`AccountTable`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRow {
    /// Workspace that is charged.
    pub workspace: WorkspaceName,
    /// Model that was called.
    pub model: ModelName,
    /// Completed responses.
    pub answers: u64,
    /// Prompt tokens, each request counted once.
    pub prompt: u64,
    /// Prompt tokens served from the prefix cache.
    pub cached: u64,
    /// Generated tokens.
    pub generated: u64,
    /// Tokens computed again because earlier work was lost.
    pub recomputed: u64,
    /// Cost in billionths of the platform's currency.
    pub cost: u64,
}

/// Usage that a node has recorded since it started.
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    /// Sorted by workspace and model, without duplicates.
    rows: Vec<AccountRow>,
}

impl AccountTable {
    /// Returns the rows, sorted by workspace and model.
    #[must_use]
    pub fn rows(&self) -> &[AccountRow] {
        &self.rows
    }

    fn row(&mut self, workspace: &WorkspaceName, model: &ModelName) -> &mut AccountRow {
        let key = (workspace, model);
        let at = match self.rows.binary_search_by(|row| (&row.workspace, &row.model).cmp(&key)) {
            Ok(at) => at,
            Err(at) => {
                let row = AccountRow {
                    workspace: workspace.clone(),
                    model: model.clone(),
                    answers: 0,
                    prompt: 0,
                    cached: 0,
                    generated: 0,
                    recomputed: 0,
                    cost: 0,
                };
                self.rows.insert(at, row);
                at
            }
        };
        &mut self.rows[at]
    }

    /// Adds the usage of one attempt to the account of `workspace` and `model`.
    pub fn add(&mut self, workspace: &WorkspaceName, model: &ModelName, usage: AttemptUsage) {
        let row = self.row(workspace, model);
        row.prompt += usage.prompt;
        row.cached += usage.cached;
        row.generated += usage.generated;
        row.recomputed += usage.recomputed;
        row.cost += usage.cost();
    }

    /// Counts one completed response.
    pub fn count_response(&mut self, workspace: &WorkspaceName, model: &ModelName) {
        self.row(workspace, model).answers += 1;
    }

    /// Adds the rows of another table, such as that of an earlier run of the node.
    pub fn merge(&mut self, rows: &[AccountRow]) {
        for other in rows {
            let row = self.row(&other.workspace, &other.model);
            row.answers += other.answers;
            row.prompt += other.prompt;
            row.cached += other.cached;
            row.generated += other.generated;
            row.recomputed += other.recomputed;
            row.cost += other.cost;
        }
    }
}
