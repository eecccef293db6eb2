//! Membership table, built from the heartbeats that nodes publish in the platform's store.
//!
//! Heartbeats carry the time of the store's clock at which they were made, so that all nodes agree
//! on their age, whatever way they took. The counts that a node published stay in use for a while
//! after it is gone, since the counted requests have run.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    forward::{
        clock::ClockOffset,
        demand::{DemandRate, PoolDemand},
        member_list::{MemberDelta, MemberIdentity, MemberList},
        node_groups::merge_heartbeats,
        store_readers::ReaderCandidate,
        usage::{WindowCounts, WindowIndex, WorkspaceCount},
    },
    ids::{DomainName, Incarnation, NodeName, PoolName},
};

/// Age of its newest published heartbeat from which a node counts as gone, in milliseconds: a
/// publishing period, and the maximum delays of a heartbeat and of a read.
const MEMBER_LIFETIME_MS: i64 = 7_500;

/// Minimum age of a node that owns workspace quotas, in milliseconds. By then every node that
/// reaches the store has learned of it, so that all nodes start to treat it as an owner at the same
/// time.
const OWNER_AGE_MIN_MS: i64 = 8_000;

/// Age of the list of members, in milliseconds, from which a node does not act as a quota owner.
/// Below [`MEMBER_LIFETIME_MS`], and close to it: between the two, nobody decides for its workspaces.
const OWNER_VIEW_AGE_MAX_MS: i64 = 6_000;
/// Time without a published heartbeat after which a node joins anew. Just below
/// [`MEMBER_LIFETIME_MS`].
const REJOIN_AFTER: Duration = Duration::from_secs(7);

/// Whether other nodes may have dropped a node that has not published a heartbeat for `silence`. It
/// then joins as a new node, so that all nodes accept it as a quota owner at the same time.
#[must_use]
pub fn is_lapsed(silence: Duration) -> bool {
    silence >= REJOIN_AFTER
}

/// Whether a list of members that was current at `observed_ms` is recent enough when the store's
/// clock shows `store_ms`, to act as a quota owner by it, or to count as published through the node
/// that relayed it. Nodes that are cut off together still reach each other.
#[must_use]
pub fn is_view_recent(observed_ms: i64, store_ms: i64) -> bool {
    store_ms.saturating_sub(observed_ms) < OWNER_VIEW_AGE_MAX_MS
}

/// Whether a node that joined at `since_ms` is known, when the store's clock shows `store_ms`, to every node that reaches
/// the store.
#[must_use]
pub fn is_established(since_ms: i64, store_ms: i64) -> bool {
    store_ms >= established_ms(since_ms)
}

/// Time from which on [`is_established`] holds for a node that joined at `since_ms`.
#[must_use]
pub fn established_ms(since_ms: i64) -> i64 {
    since_ms.saturating_add(OWNER_AGE_MIN_MS)
}

/// Heartbeat that a node publishes to the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeHeartbeat {
    /// Distinguishes the runs of a node with the same name.
    pub incarnation: Incarnation,
    /// Time on the store's clock at which the heartbeat was made, in milliseconds.
    pub beat_ms: i64,
    /// Offset of its wall clock from the store's clock in milliseconds, if known.
    pub offset_ms: Option<i64>,
    /// Unix time in milliseconds up to which `windows` are complete, if known.
    pub counted_to_ms: Option<i64>,
    /// Counts of requests that began to run.
    pub windows: Vec<WindowCounts>,
    /// Address for datagrams from other nodes.
    pub peer: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Time on the store's clock, in milliseconds, at which the first run at this address started.
    pub since_ms: i64,
    /// Demand that arrived for each pool.
    #[serde(rename = "work")]
    pub demand: Vec<PoolDemand>,
}

impl NodeHeartbeat {
    /// Orders the heartbeats of one node.
    #[must_use]
    pub fn stamp(&self) -> (Incarnation, i64) {
        (self.incarnation, self.beat_ms)
    }

    /// Adds `count` to the counts of `window`, the last window or a new one after it.
    pub fn add_count(&mut self, window: WindowIndex, count: &WorkspaceCount) {
        if self.windows.last().is_none_or(|last| last.window != window) {
            self.windows.push(WindowCounts::new(window));
        }
        if let Some(last) = self.windows.last_mut() {
            last.add(&count.workspace, count.count);
        }
    }

    fn identity(&self, node: &NodeName) -> MemberIdentity {
        MemberIdentity {
            node: node.clone(),
            incarnation: self.incarnation,
            peer: self.peer,
            domain: self.domain.clone(),
            since_ms: self.since_ms,
        }
    }
}

/// Heartbeat of a node, as published by itself or by its reader.
pub type MemberHeartbeat = (NodeName, NodeHeartbeat);

/// Members known to this node.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    /// Newest heartbeat of each node, sorted by node, without duplicates. Empty on nodes that don't
    /// read the store.
    heartbeats: Vec<MemberHeartbeat>,
    /// Live nodes. Kept while the store does not respond.
    list: MemberList,
    /// Time on the store's clock, in milliseconds, up to which the list is known to be current.
    observed_ms: i64,
}

impl MemberTable {
    /// Replaces the heartbeats by those read when the store's clock showed `store_ms`. A node may
    /// appear several times.
    pub fn observe(&mut self, mut read: Vec<MemberHeartbeat>, store_ms: i64) {
        read.sort_by(|a, b| a.0.cmp(&b.0));
        self.heartbeats.clear();
        for (node, heartbeat) in read {
            match self.heartbeats.last_mut().filter(|(last, _)| *last == node) {
                Some((_, merged)) => *merged = merge_heartbeats(merged, heartbeat),
                None => self.heartbeats.push((node, heartbeat)),
            }
        }
        let is_alive = |heartbeat: &NodeHeartbeat| {
            store_ms.saturating_sub(heartbeat.beat_ms) < MEMBER_LIFETIME_MS
        };
        let alive = self.heartbeats.iter().filter(|(_, heartbeat)| is_alive(heartbeat));
        self.list.replace(alive.map(|(node, heartbeat)| heartbeat.identity(node)).collect());
        self.observed_ms = self.observed_ms.max(store_ms);
    }

    /// Applies what a reader relays: its list has `digest` and was current at `store_ms`, and
    /// `delta` leads to it. Returns whether this node holds that list now.
    pub fn apply_relayed(
        &mut self,
        digest: u64,
        delta: Option<&MemberDelta>,
        store_ms: i64,
    ) -> bool {
        let is_same = digest == self.list.digest()
            || delta.is_some_and(|delta| self.list.apply(delta, digest));
        if is_same {
            self.observed_ms = self.observed_ms.max(store_ms);
        }
        is_same
    }

    /// Drops the heartbeats, which are no longer read.
    pub fn forget_heartbeats(&mut self) {
        self.heartbeats = Vec::new();
    }

    /// Live nodes.
    #[must_use]
    pub fn list(&self) -> &MemberList {
        &self.list
    }

    /// Time on the store's clock, in milliseconds, up to which the list is known to be current.
    #[must_use]
    pub fn observed_ms(&self) -> i64 {
        self.observed_ms
    }

    /// Whether the list is recent enough, when the store's clock shows `store_ms`, for this node to
    /// act as a quota owner. Other nodes may have replaced it otherwise.
    #[must_use]
    pub fn is_recent(&self, store_ms: i64) -> bool {
        is_view_recent(self.observed_ms, store_ms)
    }

    /// Heartbeats of the live nodes.
    fn live_heartbeats(&self) -> impl Iterator<Item = &NodeHeartbeat> {
        let is_listed = |node: &NodeName| {
            self.list.entries().binary_search_by(|entry| entry.node.cmp(node)).is_ok()
        };
        let live = self.heartbeats.iter().filter(move |(node, _)| is_listed(node));
        live.map(|(_, heartbeat)| heartbeat)
    }

    /// Live nodes that may own workspace quotas when the store's clock shows `store_ms`. Returns
    /// all of them if none is old enough, as after a start of the whole cluster.
    #[must_use]
    pub fn quota_owner_candidates(&self, store_ms: Option<i64>) -> Vec<&NodeName> {
        let is_old =
            |entry: &&MemberIdentity| store_ms.is_some_and(|at| is_established(entry.since_ms, at));
        let entries = self.list.entries();
        let old: Vec<&NodeName> = entries.iter().filter(is_old).map(|entry| &entry.node).collect();
        if old.is_empty() { entries.iter().map(|entry| &entry.node).collect() } else { old }
    }

    /// Whether node `own`, whose current run joined at `own_since_ms`, may act as a quota owner when
    /// the store's clock shows `store_ms`. A node that joined anew knows so before the others, and
    /// must stop before they ask its successor.
    #[must_use]
    pub fn may_own_quotas(&self, own: &NodeName, own_since_ms: i64, store_ms: i64) -> bool {
        let is_old = |since_ms: i64| is_established(since_ms, store_ms);
        let mut others = self.list.entries().iter().filter(|entry| entry.node != *own);
        self.is_recent(store_ms)
            && (is_old(own_since_ms) || !others.any(|entry| is_old(entry.since_ms)))
    }

    /// Live nodes, which may read the store on behalf of others.
    #[must_use]
    pub fn reader_candidates(&self) -> Vec<ReaderCandidate> {
        let entries = self.list.entries().iter();
        entries
            .map(|entry| ReaderCandidate { node: entry.node.clone(), domain: entry.domain.clone() })
            .collect()
    }

    /// Number of live nodes, at least 1.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.list.entries().len()).unwrap_or(u32::MAX).max(1)
    }

    /// Clock offsets of the live nodes.
    #[must_use]
    pub fn offsets(&self) -> Vec<ClockOffset> {
        self.live_heartbeats()
            .filter_map(|heartbeat| heartbeat.offset_ms.map(ClockOffset))
            .collect()
    }

    /// Address for datagrams to `node`.
    #[must_use]
    pub fn peer_address(&self, node: &NodeName) -> Option<SocketAddr> {
        let entries = self.list.entries();
        let at = entries.binary_search_by(|entry| entry.node.cmp(node)).ok()?;
        Some(entries[at].peer)
    }

    /// Demand per second for `pool` over all live nodes.
    #[must_use]
    pub fn demand(&self, pool: &PoolName) -> DemandRate {
        let of = |heartbeat: &NodeHeartbeat| {
            let demand = heartbeat.demand.iter().find(|demand| demand.pool == *pool);
            demand.map_or(DemandRate::default(), |demand| demand.rate)
        };
        self.live_heartbeats().map(of).sum()
    }

    /// Sums the counts of all nodes for `window`, including nodes that are gone.
    #[must_use]
    pub fn sum_window(&self, window: WindowIndex) -> WindowCounts {
        let mut sum = WindowCounts::new(window);
        for (_, heartbeat) in &self.heartbeats {
            for counts in heartbeat.windows.iter().filter(|counts| counts.window == window) {
                sum.merge(counts);
            }
        }
        sum
    }

    /// Number of nodes with counts for `window`, including nodes that are gone.
    #[must_use]
    pub fn nodes_counted(&self, window: WindowIndex) -> usize {
        let has_counts = |heartbeat: &NodeHeartbeat| {
            heartbeat.windows.iter().any(|counts| counts.window == window)
        };
        self.heartbeats.iter().filter(|(_, heartbeat)| has_counts(heartbeat)).count()
    }

    /// Whether each live node has published all counts from before `end_ms`.
    #[must_use]
    pub fn is_usage_complete(&self, end_ms: i64) -> bool {
        let mut live = self.live_heartbeats();
        live.all(|heartbeat| heartbeat.counted_to_ms.is_some_and(|to| to >= end_ms))
    }
}
