//! Limits of workspaces over all nodes together.
//!
//! Answers one workspace that sends many times its usual, and large requests of small workspaces:
//! a part of the limit for each node would be smaller than one request. Each workspace has a home
//! among the nodes, the same one on every node, which keeps the only bucket and is asked for each
//! request that is not small. Small requests, and all requests while no home answers, take from a
//! purse: this node's part of the excess over the limit that is allowed.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    boot_time::BootTime,
    forward::catalog::WorkspaceRow,
    ids::{NodeName, WorkspaceName},
};

/// Part of the allowed excess by which a bucket is larger than the declared burst.
const BUCKET_EXCESS: f64 = 0.2;
/// Part of the allowed excess that a bucket is filled with in a window beyond the declared rate.
const RATE_EXCESS: f64 = 0.3;
/// Part of the allowed excess that a new bucket starts with, since its home may have changed. All
/// parts, those of the purses included, add up to less than 1.
const START_EXCESS: f64 = 0.15;
/// Part of the allowed excess that purses are filled with in a window, over all nodes.
const PURSE_RATE: f64 = 0.12;
/// Part of the allowed excess that purses hold, over all nodes.
const PURSE_EXCESS: f64 = 0.08;
/// Share of a purse's content up to which a request counts as small.
const SMALL_SHARE: f64 = 0.25;
/// Share of a bucket that a request larger than this needs. It goes into debt for the rest, since
/// it could wait for ever otherwise.
const LARGE_SHARE: f64 = 0.5;
/// Part of the allowed excess up to which a bucket goes into debt.
const DEBT_EXCESS: f64 = 0.12;
/// Least time that a refused caller is told to wait.
const WAIT_MIN: Duration = Duration::from_millis(100);
/// Longest time that a refused caller is told to wait.
const WAIT_MAX: Duration = Duration::from_secs(5);
/// Time for which a node that did not answer is not asked.
const SILENT_PAUSE: Duration = Duration::from_millis(400);
/// Age up to which a sign of life of an earlier home keeps a later one from taking its place
/// without asking.
const ALIVE_FOR: Duration = Duration::from_millis(150);
/// Time in which a node that lives answers a question for a sign of life.
pub const SIGN_TIME: Duration = Duration::from_millis(30);
/// Homes of a workspace that are asked one after the other. With three in ten nodes gone, one
/// workspace in four hundred has none of them left.
const HOMES_MAX: usize = 5;

/// How far all nodes together may exceed a declared limit within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSlack {
    /// As a share of the limit.
    pub overage: f64,
    /// In tokens, for limits that count tokens.
    pub tokens: f64,
    /// Length of the window.
    pub window: Duration,
}

impl QuotaSlack {
    /// Units by which `workspace` may exceed its limit in one window.
    fn excess(&self, workspace: &WorkspaceRow) -> f64 {
        let limit = workspace.rate * self.window.as_secs_f64() + workspace.burst;
        limit * self.overage + if workspace.by_tokens { self.tokens } else { 0.0 }
    }
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

/// Units that fill up with time.
#[derive(Clone, Debug)]
struct UnitBucket {
    workspace: WorkspaceName,
    /// Units left. Below 0 after a large request.
    level: f64,
    /// Time up to which it was filled.
    filled_at: BootTime,
}

/// Buckets by workspace.
#[derive(Clone, Debug, Default)]
struct BucketTable {
    /// Sorted by workspace, without duplicates.
    rows: Vec<UnitBucket>,
}

impl BucketTable {
    /// Fills the bucket of `workspace` up to `now`; a new one starts with `start` units.
    fn filled(
        &mut self,
        workspace: &WorkspaceName,
        start: f64,
        rate: f64,
        most: f64,
        now: BootTime,
    ) -> &mut UnitBucket {
        let at = match self.rows.binary_search_by(|row| row.workspace.cmp(workspace)) {
            Ok(at) => at,
            Err(at) => {
                let workspace = workspace.clone();
                self.rows.insert(at, UnitBucket { workspace, level: start, filled_at: now });
                at
            }
        };
        let row = &mut self.rows[at];
        let passed = now.since(row.filled_at).as_secs_f64();
        row.level = (row.level + rate * passed).min(most);
        row.filled_at = now;
        row
    }
}

/// Answer of a home.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaAnswer {
    /// The request may run.
    Granted,
    /// The workspace is over its limit. There is room again after this time.
    Over(Duration),
}

/// The buckets of the workspaces that have their home at this node.
#[derive(Clone, Debug)]
pub struct QuotaHome {
    slack: QuotaSlack,
    buckets: BucketTable,
}

impl QuotaHome {
    /// Starts without any bucket.
    #[must_use]
    pub fn new(slack: QuotaSlack) -> Self {
        Self { slack, buckets: BucketTable::default() }
    }

    /// Takes `cost` units of `workspace`, if there are enough.
    pub fn take(&mut self, workspace: &WorkspaceRow, cost: f64, now: BootTime) -> QuotaAnswer {
        let excess = self.slack.excess(workspace);
        let most = workspace.burst + excess * BUCKET_EXCESS;
        let start = (excess * START_EXCESS).min(most);
        let rate = workspace.rate + excess * RATE_EXCESS / self.slack.window.as_secs_f64();
        let bucket = self.buckets.filled(&workspace.name, start, rate, most, now);
        // A request that is larger than bucket and debt needs the whole bucket.
        let needed = (most * LARGE_SHARE).max(cost - excess * DEBT_EXCESS).min(cost).min(most);
        if bucket.level >= needed {
            bucket.level -= cost;
            return QuotaAnswer::Granted;
        }
        let wait = (needed - bucket.level) / rate.max(f64::MIN_POSITIVE);
        let wait = wait.clamp(WAIT_MIN.as_secs_f64(), WAIT_MAX.as_secs_f64());
        QuotaAnswer::Over(Duration::from_secs_f64(wait))
    }

    /// Gives back `cost` units of a request of `workspace` that did not run.
    pub fn give_back(&mut self, workspace: &WorkspaceName, cost: f64) {
        let rows = &mut self.buckets.rows;
        if let Ok(at) = rows.binary_search_by(|row| row.workspace.cmp(workspace)) {
            rows[at].level += cost;
        }
    }
}

/// This node's parts of what is allowed beyond the limits.
#[derive(Clone, Debug)]
pub struct QuotaPurse {
    slack: QuotaSlack,
    /// Nodes that share. At least 1.
    nodes: u32,
    buckets: BucketTable,
}

impl QuotaPurse {
    /// Starts with purses for one of `nodes` nodes.
    #[must_use]
    pub fn new(slack: QuotaSlack, nodes: u32) -> Self {
        Self { slack, nodes: nodes.max(1), buckets: BucketTable::default() }
    }

    /// Takes in how many nodes share.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes.max(1);
    }

    fn purse(&mut self, workspace: &WorkspaceRow, now: BootTime) -> &mut UnitBucket {
        let part = self.slack.excess(workspace) / f64::from(self.nodes);
        let rate = part * PURSE_RATE / self.slack.window.as_secs_f64();
        let most = part * PURSE_EXCESS;
        self.buckets.filled(&workspace.name, most, rate, most, now)
    }

    /// Takes `cost` units of `workspace` if that is a small part of what is there.
    pub fn take_small(&mut self, workspace: &WorkspaceRow, cost: f64, now: BootTime) -> bool {
        let purse = self.purse(workspace, now);
        let small = cost <= purse.level * SMALL_SHARE;
        if small {
            purse.level -= cost;
        }
        small
    }

    /// Takes `cost` units of `workspace`, if there are enough, while no home answers.
    pub fn take(&mut self, workspace: &WorkspaceRow, cost: f64, now: BootTime) -> bool {
        let purse = self.purse(workspace, now);
        let enough = cost <= purse.level;
        if enough {
            purse.level -= cost;
        }
        enough
    }
}

/// One row of a [`ContactTable`].
#[derive(Clone, Debug)]
struct ContactRow {
    node: NodeName,
    /// Time of the last sign of life.
    heard_at: Option<BootTime>,
    /// Time of the last question without an answer.
    asked_at: Option<BootTime>,
    /// Time of the last answer that did not come.
    silent_at: Option<BootTime>,
}

/// Signs of life between this node and others.
#[derive(Clone, Debug, Default)]
pub struct ContactTable {
    /// Sorted by node, without duplicates.
    rows: Vec<ContactRow>,
}

impl ContactTable {
    fn row(&mut self, node: &NodeName) -> &mut ContactRow {
        let at = match self.rows.binary_search_by(|row| row.node.cmp(node)) {
            Ok(at) => at,
            Err(at) => {
                let node = node.clone();
                let row = ContactRow { node, heard_at: None, asked_at: None, silent_at: None };
                self.rows.insert(at, row);
                at
            }
        };
        &mut self.rows[at]
    }

    /// Notes a sign of life of `node`.
    pub fn note_heard(&mut self, node: &NodeName, now: BootTime) {
        let row = self.row(node);
        row.heard_at = Some(now);
        row.asked_at = None;
        row.silent_at = None;
    }

    /// Notes that `node` did not answer.
    pub fn note_silent(&mut self, node: &NodeName, now: BootTime) {
        self.row(node).silent_at = Some(now);
    }

    /// Notes that `node` said that it can't act as a home.
    pub fn note_unable(&mut self, node: &NodeName, now: BootTime) {
        let row = self.row(node);
        row.heard_at = None;
        row.silent_at = Some(now);
    }

    /// Whether `node` is worth asking.
    #[must_use]
    pub fn is_worth_asking(&self, node: &NodeName, now: BootTime) -> bool {
        let found = self.rows.binary_search_by(|row| row.node.cmp(node));
        let silent_at = found.ok().and_then(|at| self.rows[at].silent_at);
        silent_at.is_none_or(|at| now.since(at) >= SILENT_PAUSE)
    }

    /// Whether any node was heard of within `span`.
    #[must_use]
    pub fn hears_any(&self, span: Duration, now: BootTime) -> bool {
        self.rows.iter().any(|row| row.heard_at.is_some_and(|at| now.since(at) < span))
    }

    /// Whether `node`, an earlier home, lives, as far as a later home can tell at `now`.
    pub fn judge(&mut self, node: &NodeName, now: BootTime) -> HomeSign {
        let row = self.row(node);
        if row.heard_at.is_some_and(|at| now.since(at) < ALIVE_FOR) {
            return HomeSign::Alive;
        }
        match row.asked_at {
            // Signs of life are asked for again from time to time, as the node may be back.
            Some(at) if now.since(at) >= SIGN_TIME && now.since(at) < SILENT_PAUSE => {
                HomeSign::Silent
            }
            Some(at) if now.since(at) < SIGN_TIME => HomeSign::Unknown,
            _ => {
                row.asked_at = Some(now);
                HomeSign::Unknown
            }
        }
    }
}

/// Whether an earlier home of a workspace lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeSign {
    /// It does.
    Alive,
    /// It has to be asked, or has been asked just now.
    Unknown,
    /// It does not answer.
    Silent,
}

/// The homes of `workspace` among `nodes`, in the order in which they are asked.
#[must_use]
pub fn find_homes<'a>(workspace: &WorkspaceName, nodes: &[&'a NodeName]) -> Vec<&'a NodeName> {
    let seed = xxh3_64_with_seed(workspace.as_str().as_bytes(), 0);
    let weight = |node: &&NodeName| xxh3_64_with_seed(node.as_str().as_bytes(), seed);
    let mut homes = nodes.to_vec();
    homes.sort_by_cached_key(|node| std::cmp::Reverse(weight(node)));
    homes.truncate(HOMES_MAX);
    homes
}
