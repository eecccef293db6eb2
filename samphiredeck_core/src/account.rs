//! Work done for each workspace, in tokens and money.

use serde::{Deserialize, Serialize};

use crate::ids::{ModelName, WorkspaceName};

/// Milliseconds of an hour.
const HOUR_MS: u128 = 3_600_000;

/// Work of one answer or part of an answer at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkDone {
    /// Prompt tokens of the request. Counted once for each request.
    pub prompt: u64,
    /// Prompt tokens found in cache.
    pub cached: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Tokens computed a second time, after work was lost.
    pub recomputed: u64,
    /// Time at the upstream in milliseconds.
    pub busy_ms: u64,
    /// Price of the instance in millionths an hour.
    pub price: u64,
    /// Requests that share the instance at once, at least 1.
    pub slots: u32,
}

impl WorkDone {
    /// Cost in billionths of the platform's currency.
    #[must_use]
    pub fn cost(&self) -> u64 {
        let price = u128::from(self.price) * 1_000;
        let share = u128::from(self.slots.max(1));
        u64::try_from(price * u128::from(self.busy_ms) / HOUR_MS / share).unwrap_or(u64::MAX)
    }
}

/// One row of an [`AccountTable`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRow {
    /// Who pays.
    pub workspace: WorkspaceName,
    /// What was called.
    pub model: ModelName,
    /// Answers given in full.
    pub answers: u64,
    /// Prompt tokens.
    pub prompt: u64,
    /// Prompt tokens found in cache.
    pub cached: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Tokens computed a second time.
    pub recomputed: u64,
    /// Cost in billionths of the platform's currency.
    pub cost: u64,
}

/// Work done by this run of a node.
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    /// Sorted by workspace and model, without duplicates.
    rows: Vec<AccountRow>,
}

impl AccountTable {
    /// Lists the rows, sorted by workspace and model.
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

    /// Adds work to the account of `workspace`.
    pub fn add(&mut self, workspace: &WorkspaceName, model: &ModelName, work: WorkDone) {
        let row = self.row(workspace, model);
        row.prompt += work.prompt;
        row.cached += work.cached;
        row.generated += work.generated;
        row.recomputed += work.recomputed;
        row.cost += work.cost();
    }

    /// Counts one answer given in full.
    pub fn count_answer(&mut self, workspace: &WorkspaceName, model: &ModelName) {
        self.row(workspace, model).answers += 1;
    }

    /// Adds all rows of another run.
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
