//! Limits of workspaces, shared by all nodes without asking each other for each request.
//!
//! Answers one workspace that sends many times its usual. Each node fills a bucket with a part of
//! the declared rate. The parts follow the demand that all nodes published last, so all nodes
//! compute the same parts and these add up to one.

use std::time::Duration;

use crate::{
    boot_time::BootTime,
    forward::catalog::WorkspaceRow,
    ids::{NodeName, WorkspaceName},
};

/// Share of the mean demand that each node counts as its own in addition, so that a node without
/// demand so far can serve what comes next.
const FLOOR_SHARE: f64 = 0.25;
/// Time over which demand is averaged. Short against the bursts that quotas are declared for.
const DEMAND_TIME: Duration = Duration::from_secs(3);
/// Part of the allowed excess that the buckets use.
const EXCESS_SHARE: f64 = 0.5;
/// Least time that a refused caller is told to wait.
const WAIT_MIN: Duration = Duration::from_millis(200);
/// Longest time that a refused caller is told to wait.
const WAIT_MAX: Duration = Duration::from_secs(5);

/// How far all nodes together may exceed a declared limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSlack {
    /// As a share of the limit.
    pub overage: f64,
    /// In tokens, for limits that count tokens.
    pub tokens: f64,
}

/// Units a second that one node was asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandRow {
    /// Workspace that asked.
    pub workspace: WorkspaceName,
    /// Units a second.
    pub rate: f64,
}

/// One row of a [`QuotaTable`].
#[derive(Clone, Debug)]
struct BucketRow {
    workspace: WorkspaceName,
    /// Part of the limit that this node may use, in 0 to 1.
    part: f64,
    /// Units left. At most the part of the burst.
    level: f64,
    /// Time up to which the bucket was filled.
    filled_at: BootTime,
    /// Mean units a second asked for, up to `filled_at`.
    demand: f64,
}

/// Buckets of this node by workspace.
#[derive(Clone, Debug)]
pub struct QuotaTable {
    slack: QuotaSlack,
    /// Part of workspaces that nobody published a demand for.
    even_part: f64,
    /// Sorted by workspace, without duplicates.
    rows: Vec<BucketRow>,
}

impl QuotaTable {
    /// Starts with the part `even_part` of each limit.
    #[must_use]
    pub fn new(slack: QuotaSlack, even_part: f64) -> Self {
        Self { slack, even_part, rows: Vec::new() }
    }

    /// Computes this node's parts from the demand that each node published, `own` among them.
    pub fn share(&mut self, own: &NodeName, published: &[(NodeName, Vec<DemandRow>)]) {
        #[expect(clippy::cast_precision_loss, reason = "nodes are counted in thousands")]
        let count = published.len().max(1) as f64;
        self.even_part = 1.0 / count;
        for row in &mut self.rows {
            let rate_of = |rows: &[DemandRow]| {
                rows.iter().find(|demand| demand.workspace == row.workspace).map_or(0.0, |d| d.rate)
            };
            let total: f64 = published.iter().map(|(_, rows)| rate_of(rows)).sum();
            let mine = published.iter().find(|(node, _)| node == own);
            let mine = mine.map_or(0.0, |(_, rows)| rate_of(rows));
            let floor = total / count * FLOOR_SHARE;
            row.part = if total > 0.0 {
                (mine + floor) / (total + floor * count)
            } else {
                self.even_part
            };
        }
    }

    /// Lists the demand that this node sees at `now`.
    #[must_use]
    pub fn demand(&self, now: BootTime) -> Vec<DemandRow> {
        let decay = |row: &BucketRow| row.demand * fade(now.since(row.filled_at));
        self.rows
            .iter()
            .map(|row| DemandRow { workspace: row.workspace.clone(), rate: decay(row) })
            .collect()
    }

    /// Units that a request counts for, given the tokens that it names.
    #[must_use]
    pub fn cost_of(workspace: &WorkspaceRow, tokens: Option<u64>) -> f64 {
        if !workspace.by_tokens {
            return 1.0;
        }
        #[expect(clippy::cast_precision_loss, reason = "requests have far fewer tokens")]
        let cost = tokens.unwrap_or(workspace.plain_tokens) as f64;
        cost
    }

    /// Takes `cost` units of `workspace`.
    ///
    /// # Errors
    ///
    /// Returns the time after which there will be enough.
    pub fn take(
        &mut self,
        workspace: &WorkspaceRow,
        cost: f64,
        now: BootTime,
    ) -> Result<(), Duration> {
        if workspace.rate <= 0.0 {
            return Ok(());
        }
        let scale = 1.0 + self.slack.overage * EXCESS_SHARE;
        let tokens = if workspace.by_tokens { self.slack.tokens * EXCESS_SHARE } else { 0.0 };
        let even_part = self.even_part;
        let at = match self.rows.binary_search_by(|row| row.workspace.cmp(&workspace.name)) {
            Ok(at) => at,
            Err(at) => {
                let row = BucketRow {
                    workspace: workspace.name.clone(),
                    part: even_part,
                    level: (workspace.burst * scale + tokens) * even_part,
                    filled_at: now,
                    demand: 0.0,
                };
                self.rows.insert(at, row);
                at
            }
        };
        let row = &mut self.rows[at];
        let rate = workspace.rate * scale * row.part;
        let most = (workspace.burst * scale + tokens) * row.part;
        let passed = now.since(row.filled_at);
        row.level = (row.level + rate * passed.as_secs_f64()).min(most);
        row.demand = row.demand * fade(passed) + cost / DEMAND_TIME.as_secs_f64();
        row.filled_at = now;
        if row.level >= cost {
            row.level -= cost;
            return Ok(());
        }
        let wait = if rate > 0.0 { (cost - row.level) / rate } else { f64::INFINITY };
        let wait = wait.clamp(WAIT_MIN.as_secs_f64(), WAIT_MAX.as_secs_f64());
        Err(Duration::from_secs_f64(wait))
    }

    /// Gives back `cost` units of a request that did not run.
    pub fn give_back(&mut self, workspace: &WorkspaceName, cost: f64) {
        if let Ok(at) = self.rows.binary_search_by(|row| row.workspace.cmp(workspace)) {
            self.rows[at].level += cost;
        }
    }
}

/// Weight of a mean after `passed`.
fn fade(passed: Duration) -> f64 {
    (-passed.as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp()
}
