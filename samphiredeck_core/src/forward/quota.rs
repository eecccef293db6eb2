//! Enforces rate limits of workspaces across all nodes.
//!
//! A limit cannot be divided among the nodes: the share of one node may be smaller than a single
//! request. Each workspace therefore has an owner, the same node for all others, which keeps the
//! only token bucket and decides on each request that is not small, so that a workspace that sends
//! a multiple of its usual load stays within its limit. Small requests, and all requests while no
//! owner responds, are charged to a local bucket: this node's share of the permitted overage.
//!
//! An owner grants by the share of the nodes that it reaches, see [`crate::forward::quota_reach`]. A node without any owner
//! within reach grants its own requests by its own share.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    boot_time::BootTime,
    forward::catalog::WorkspaceRow,
    ids::{NodeName, WorkspaceName},
};

/// Share of the permitted overage that is added to the declared burst size.
const BUCKET_EXCESS: f64 = 0.2;
/// Share of the permitted overage that is added to the declared rate, per window.
const RATE_EXCESS: f64 = 0.3;
/// Share of the permitted overage that a new bucket starts with. It is small because another owner
/// may have granted requests until now. All shares, including those of the local buckets, add up to
/// less than 1.
const INITIAL_EXCESS: f64 = 0.15;
/// Share of the permitted overage that refills the local buckets of all nodes, per window.
const LOCAL_RATE_EXCESS: f64 = 0.12;
/// Share of the permitted overage that the local buckets of all nodes hold.
const LOCAL_BURST_EXCESS: f64 = 0.08;
/// Share of a local bucket's level up to which a request counts as small.
const SMALL_SHARE: f64 = 0.25;
/// Share of a full bucket that suffices for a larger request. The bucket goes into debt for the
/// rest, since such a request might otherwise wait forever.
const LARGE_SHARE: f64 = 0.5;
/// Share of the permitted overage up to which a bucket may go into debt.
const DEBT_EXCESS: f64 = 0.12;
/// Share of the permitted overage that one request for each part of the nodes may take beyond their buckets.
const LARGE_EXCESS: f64 = 0.5;
/// Share of a full bucket below which it counts as under pressure.
const PRESSED_SHARE: f64 = 0.5;
/// Time for which it does.
const PRESSED_LIFETIME: Duration = Duration::from_secs(2);
/// Time without a decision after which a bucket that this node is not the first owner of is no longer in use.
const RELIEVED_AFTER: Duration = Duration::from_millis(500);
/// Minimum retry delay reported to a refused caller.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// Maximum retry delay reported to a refused caller.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);
/// Time for which a node that did not respond is not queried.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_millis(400);
/// Maximum age of the last contact with a higher-ranked owner at which a lower-ranked one still
/// defers to it without a probe.
const CONTACT_LIFETIME: Duration = Duration::from_millis(150);
/// Time within which a live node responds to a probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(30);
/// Maximum number of owners of a workspace that are queried in turn. With three in ten nodes down,
/// one workspace in four hundred has no live owner among them.
const OWNERS_MAX: usize = 5;

/// Permitted overage of a declared limit within a window, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSlack {
    /// As a fraction of the limit.
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

/// Units charged for a request, given the token count that it states.
#[must_use]
pub fn request_cost(workspace: &WorkspaceRow, tokens: Option<u64>) -> f64 {
    if !workspace.by_tokens {
        return 1.0;
    }
    #[expect(clippy::cast_precision_loss, reason = "requests have far fewer tokens")]
    let cost = tokens.unwrap_or(workspace.default_tokens) as f64;
    cost
}

/// Token bucket of one workspace.
#[derive(Clone, Debug)]
struct TokenBucket {
    workspace: WorkspaceName,
    /// Available units. Negative after a large request.
    level: f64,
    /// Time up to which the bucket was refilled.
    filled_at: BootTime,
    /// Whether another node may have granted units of the workspace since then.
    relieved: bool,
}

/// Size of a token bucket.
#[derive(Clone, Copy, Debug)]
struct BucketSize {
    /// Units of a new bucket, and the most that one holds after another node may have granted units.
    start: f64,
    /// Units a second.
    rate: f64,
    /// Units a second while another node may have granted units.
    idle_rate: f64,
    /// Units of a full bucket.
    capacity: f64,
}

/// Buckets by workspace.
#[derive(Clone, Debug, Default)]
struct BucketTable {
    /// Sorted by workspace, without duplicates.
    rows: Vec<TokenBucket>,
}

impl BucketTable {
    /// Refills the bucket of `workspace` up to `now`.
    fn refill(
        &mut self,
        workspace: &WorkspaceName,
        size: BucketSize,
        now: BootTime,
    ) -> &mut TokenBucket {
        let at = match self.rows.binary_search_by(|row| row.workspace.cmp(workspace)) {
            Ok(at) => at,
            Err(at) => {
                let workspace = workspace.clone();
                self.rows.insert(
                    at,
                    TokenBucket { workspace, level: size.start, filled_at: now, relieved: false },
                );
                at
            }
        };
        let row = &mut self.rows[at];
        let passed = now.since(row.filled_at).as_secs_f64();
        if row.relieved {
            // What came in meanwhile may have been granted elsewhere.
            row.level = (row.level + size.idle_rate * passed).min(size.start);
            row.relieved = false;
        } else {
            row.level = (row.level + size.rate * passed).min(size.capacity);
        }
        row.filled_at = now;
        row
    }
}

/// Decision of a quota owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// The request may run.
    Granted,
    /// The workspace is over its limit. The duration is the time until it has room again.
    Over(Duration),
}

/// Buckets of the workspaces that this node owns.
#[derive(Clone, Debug)]
pub struct QuotaOwner {
    slack: QuotaSlack,
    buckets: BucketTable,
    /// Time at which a bucket was last less than half full.
    pressed_at: Option<BootTime>,
}

impl QuotaOwner {
    /// Creates an owner without any buckets.
    #[must_use]
    pub fn new(slack: QuotaSlack) -> Self {
        Self { slack, buckets: BucketTable::default(), pressed_at: None }
    }

    /// Takes `cost` units of `workspace`, if available. `share` is that of the nodes that this one decides for.
    pub fn take(
        &mut self,
        workspace: &WorkspaceRow,
        cost: f64,
        share: f64,
        now: BootTime,
    ) -> QuotaDecision {
        let excess = self.slack.excess(workspace);
        let capacity = (workspace.burst + excess * BUCKET_EXCESS) * share;
        let start = (excess * INITIAL_EXCESS * share).min(capacity);
        // The overage is left to shares that overlap, as those of nodes in a chain do.
        let rate_excess = if share < 1.0 { 0.0 } else { excess * RATE_EXCESS };
        let rate = (workspace.rate + rate_excess / self.slack.window.as_secs_f64()) * share;
        let idle_rate = start / self.slack.window.as_secs_f64();
        let size = BucketSize { start, rate, idle_rate, capacity };
        let bucket = self.buckets.refill(&workspace.name, size, now);
        if bucket.level - cost < capacity * PRESSED_SHARE {
            self.pressed_at = Some(now);
        }
        // A request that exceeds the bucket and the permitted debt needs a full bucket. Where each part of the nodes may
        // grant one, all of them together have to fit into the permitted overage.
        let is_large = cost / share > excess * LARGE_EXCESS && share < 1.0;
        let limit = if is_large { f64::INFINITY } else { capacity };
        let debt = excess * DEBT_EXCESS * if is_large { share } else { 1.0 };
        let needed = (capacity * LARGE_SHARE).max(cost - debt).min(cost).min(limit);
        if bucket.level >= needed {
            bucket.level -= cost;
            return QuotaDecision::Granted;
        }
        let wait = (needed - bucket.level) / rate.max(f64::MIN_POSITIVE);
        let wait = wait.clamp(RETRY_AFTER_MIN.as_secs_f64(), RETRY_AFTER_MAX.as_secs_f64());
        QuotaDecision::Over(Duration::from_secs_f64(wait))
    }

    /// Whether a bucket was less than half full lately, so that it matters for how many nodes this one decides.
    #[must_use]
    pub fn is_pressed(&self, now: BootTime) -> bool {
        self.pressed_at.is_some_and(|at| now.since(at) < PRESSED_LIFETIME)
    }

    /// Notes that other nodes may have granted units of the workspaces for which `owns` is false. Their buckets were not
    /// used for a while: what they hold may have been granted elsewhere.
    pub fn relieve(&mut self, owns: impl Fn(&WorkspaceName) -> bool, now: BootTime) {
        for row in &mut self.buckets.rows {
            if now.since(row.filled_at) >= RELIEVED_AFTER && !row.relieved {
                row.relieved = !owns(&row.workspace);
            }
        }
    }

    /// Returns `cost` units of `workspace` for a request that did not run.
    pub fn refund(&mut self, workspace: &WorkspaceName, cost: f64) {
        let rows = &mut self.buckets.rows;
        if let Ok(at) = rows.binary_search_by(|row| row.workspace.cmp(workspace)) {
            rows[at].level += cost;
        }
    }
}

/// Local buckets of this node: its share of the permitted overage.
#[derive(Clone, Debug)]
pub struct LocalQuota {
    slack: QuotaSlack,
    /// Number of nodes that share the overage. At least 1.
    nodes: u32,
    buckets: BucketTable,
}

impl LocalQuota {
    /// Creates the local buckets for one of `nodes` nodes.
    #[must_use]
    pub fn new(slack: QuotaSlack, nodes: u32) -> Self {
        Self { slack, nodes: nodes.max(1), buckets: BucketTable::default() }
    }

    /// Sets the number of nodes that share the overage.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes.max(1);
    }

    fn bucket(&mut self, workspace: &WorkspaceRow, now: BootTime) -> &mut TokenBucket {
        let share = self.slack.excess(workspace) / f64::from(self.nodes);
        let rate = share * LOCAL_RATE_EXCESS / self.slack.window.as_secs_f64();
        let capacity = share * LOCAL_BURST_EXCESS;
        let size = BucketSize { start: capacity, rate, idle_rate: rate, capacity };
        self.buckets.refill(&workspace.name, size, now)
    }

    /// Takes `cost` units of `workspace` if they are a small part of the available ones.
    pub fn take_small(&mut self, workspace: &WorkspaceRow, cost: f64, now: BootTime) -> bool {
        let bucket = self.bucket(workspace, now);
        let small = cost <= bucket.level * SMALL_SHARE;
        if small {
            bucket.level -= cost;
        }
        small
    }

    /// Takes `cost` units of `workspace`, if available. Used while no owner responds.
    pub fn take(&mut self, workspace: &WorkspaceRow, cost: f64, now: BootTime) -> bool {
        let bucket = self.bucket(workspace, now);
        let enough = cost <= bucket.level;
        if enough {
            bucket.level -= cost;
        }
        enough
    }
}

/// Workspaces for which no owner decides.
#[derive(Clone, Debug, Default)]
pub struct UnownedTable {
    /// Workspace and time of the first query without a decision, sorted by workspace, without duplicates.
    rows: Vec<(WorkspaceName, BootTime)>,
}

impl UnownedTable {
    /// Records that an owner of `workspace` has decided.
    pub fn record_decision(&mut self, workspace: &WorkspaceName) {
        if let Ok(at) = self.rows.binary_search_by(|(known, _)| known.cmp(workspace)) {
            self.rows.remove(at);
        }
    }

    /// Records a query without a decision, and returns the time since the first one.
    pub fn silence(&mut self, workspace: &WorkspaceName, now: BootTime) -> Duration {
        match self.rows.binary_search_by(|(known, _)| known.cmp(workspace)) {
            Ok(at) => now.since(self.rows[at].1),
            Err(at) => {
                self.rows.insert(at, (workspace.clone(), now));
                Duration::ZERO
            }
        }
    }
}

/// One row of a [`PeerLiveness`].
#[derive(Clone, Debug)]
struct PeerContact {
    node: NodeName,
    /// Time of the last message from the node.
    contact_at: Option<BootTime>,
    /// Time of the last unanswered probe.
    probed_at: Option<BootTime>,
    /// Time of the last query that got no response.
    unresponsive_at: Option<BootTime>,
}

/// Tracks which peers respond to this node.
#[derive(Clone, Debug, Default)]
pub struct PeerLiveness {
    /// Sorted by node, without duplicates.
    rows: Vec<PeerContact>,
}

impl PeerLiveness {
    fn row(&mut self, node: &NodeName) -> &mut PeerContact {
        let at = match self.rows.binary_search_by(|row| row.node.cmp(node)) {
            Ok(at) => at,
            Err(at) => {
                let node = node.clone();
                let row =
                    PeerContact { node, contact_at: None, probed_at: None, unresponsive_at: None };
                self.rows.insert(at, row);
                at
            }
        };
        &mut self.rows[at]
    }

    /// Records a message from `node`.
    pub fn record_contact(&mut self, node: &NodeName, now: BootTime) {
        let row = self.row(node);
        row.contact_at = Some(now);
        row.probed_at = None;
        row.unresponsive_at = None;
    }

    /// Records that `node` did not respond to a query.
    pub fn record_no_response(&mut self, node: &NodeName, now: BootTime) {
        self.row(node).unresponsive_at = Some(now);
    }

    /// Records that `node` declared itself unable to act as an owner.
    pub fn record_unable(&mut self, node: &NodeName, now: BootTime) {
        let row = self.row(node);
        row.contact_at = None;
        row.unresponsive_at = Some(now);
    }

    /// Whether `node` should be queried.
    #[must_use]
    pub fn is_responsive(&self, node: &NodeName, now: BootTime) -> bool {
        let found = self.rows.binary_search_by(|row| row.node.cmp(node));
        let unresponsive_at = found.ok().and_then(|at| self.rows[at].unresponsive_at);
        unresponsive_at.is_none_or(|at| now.since(at) >= UNRESPONSIVE_PAUSE)
    }

    /// Whether any node was heard from within `span`.
    #[must_use]
    pub fn has_recent_contact(&self, span: Duration, now: BootTime) -> bool {
        self.rows.iter().any(|row| row.contact_at.is_some_and(|at| now.since(at) < span))
    }

    /// Status of `node`, a higher-ranked owner, as seen by a lower-ranked one at `now`. If it is
    /// unknown, records the time of the probe that the caller sends.
    pub fn owner_status(&mut self, node: &NodeName, now: BootTime) -> OwnerStatus {
        let row = self.row(node);
        if row.contact_at.is_some_and(|at| now.since(at) < CONTACT_LIFETIME) {
            return OwnerStatus::Alive;
        }
        match row.probed_at {
            // Probes are repeated periodically, as the node may have recovered.
            Some(at) if now.since(at) >= PROBE_TIMEOUT && now.since(at) < UNRESPONSIVE_PAUSE => {
                OwnerStatus::Unresponsive
            }
            Some(at) if now.since(at) < PROBE_TIMEOUT => OwnerStatus::Unknown,
            _ => {
                row.probed_at = Some(now);
                OwnerStatus::Unknown
            }
        }
    }
}

/// Liveness of a higher-ranked owner of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerStatus {
    /// It responds.
    Alive,
    /// It has to be probed, or a probe is pending.
    Unknown,
    /// It does not respond.
    Unresponsive,
}

/// Owners of `workspace` among `nodes`, ranked by rendezvous hashing, in the order in which they
/// are queried.
#[must_use]
pub fn rank_quota_owners<'a>(
    workspace: &WorkspaceName,
    nodes: &[&'a NodeName],
) -> Vec<&'a NodeName> {
    let mut owners = nodes.to_vec();
    owners.sort_by_cached_key(|node| std::cmp::Reverse(owner_weight(workspace, node)));
    owners.truncate(OWNERS_MAX);
    owners
}

/// First owner of `workspace` among `nodes`.
#[must_use]
pub fn first_quota_owner<'a>(
    workspace: &WorkspaceName,
    nodes: &[&'a NodeName],
) -> Option<&'a NodeName> {
    nodes.iter().copied().max_by_key(|node| owner_weight(workspace, node))
}

fn owner_weight(workspace: &WorkspaceName, node: &NodeName) -> u64 {
    let seed = xxh3_64_with_seed(workspace.as_str().as_bytes(), 0);
    xxh3_64_with_seed(node.as_str().as_bytes(), seed)
}
