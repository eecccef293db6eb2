//! Membership table, built from the heartbeat rows of the nodes in the platform's store.
//!
//! A node counts as alive while its row keeps changing. The counts it published stay in use for a
//! while after it is gone, since the counted requests have run.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    boot_time::BootTime,
    forward::{
        clock::ClockOffset,
        demand::{DemandRate, PoolDemand},
        store_readers::ReaderCandidate,
        usage::{WindowCounts, WindowIndex},
    },
    ids::{DomainName, Incarnation, NodeName, PoolName, RowVersion},
};

/// Time without a change of its row after which a node counts as gone: three write periods plus the
/// maximum delay of reads.
const MEMBER_LIFETIME: Duration = Duration::from_millis(7_500);

/// Minimum age of a node that owns workspace quotas, in milliseconds. By then every node that
/// reaches the store has read its row, so that all nodes start to treat it as an owner at the same
/// time.
const OWNER_AGE_MIN_MS: i64 = 8_000;

/// Heartbeat that a node publishes to the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeHeartbeat {
    /// Distinguishes the runs of a node with the same name.
    pub incarnation: Incarnation,
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

/// One row of a [`MemberTable`].
#[derive(Clone, Debug)]
pub struct MemberRow {
    /// Key of the row.
    pub node: NodeName,
    /// Version of the row that holds `heartbeat`.
    pub version: RowVersion,
    /// Time of the first read that showed `version`.
    pub seen_at: BootTime,
    /// Last published heartbeat.
    pub heartbeat: NodeHeartbeat,
}

/// Members known to this node.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    /// Sorted by node, without duplicates.
    rows: Vec<MemberRow>,
}

impl MemberTable {
    /// Replaces the rows with those read at `now`.
    pub fn observe(
        &mut self,
        rows_read: Vec<(NodeName, RowVersion, NodeHeartbeat)>,
        now: BootTime,
    ) {
        let old = std::mem::take(&mut self.rows);
        self.rows = rows_read
            .into_iter()
            .map(|(node, version, heartbeat)| {
                let known = old.binary_search_by(|row| row.node.cmp(&node)).ok();
                let known = known.map(|at| &old[at]).filter(|row| row.version == version);
                let seen_at = known.map_or(now, |row| row.seen_at);
                MemberRow { node, version, seen_at, heartbeat }
            })
            .collect();
        self.rows.sort_by(|a, b| a.node.cmp(&b.node));
        self.rows.dedup_by(|a, b| a.node == b.node);
    }

    /// Members that are alive at `now`.
    pub fn alive(&self, now: BootTime) -> impl Iterator<Item = &MemberRow> {
        self.rows.iter().filter(move |row| now.since(row.seen_at) < MEMBER_LIFETIME)
    }

    /// Nodes alive at `now` that may own workspace quotas when the store's clock shows `store_ms`.
    /// Returns all of them if none is old enough, as after a start of the whole cluster.
    #[must_use]
    pub fn quota_owner_candidates(&self, store_ms: Option<i64>, now: BootTime) -> Vec<&NodeName> {
        let is_old = |row: &&MemberRow| {
            store_ms.is_some_and(|at| at >= row.heartbeat.since_ms.saturating_add(OWNER_AGE_MIN_MS))
        };
        let old: Vec<&NodeName> = self.alive(now).filter(is_old).map(|row| &row.node).collect();
        if old.is_empty() { self.alive(now).map(|row| &row.node).collect() } else { old }
    }

    /// Nodes alive at `now` that may read the store on behalf of others.
    #[must_use]
    pub fn reader_candidates(&self, now: BootTime) -> Vec<ReaderCandidate> {
        let rows = self.alive(now);
        rows.map(|row| ReaderCandidate {
            node: row.node.clone(),
            domain: row.heartbeat.domain.clone(),
        })
        .collect()
    }

    /// Nodes whose row has not changed for `duration` at `now`, with the version of their row.
    #[must_use]
    pub fn unchanged_for(&self, duration: Duration, now: BootTime) -> Vec<(NodeName, RowVersion)> {
        let old = self.rows.iter().filter(|row| now.since(row.seen_at) >= duration);
        old.map(|row| (row.node.clone(), row.version)).collect()
    }

    /// Number of nodes alive at `now`, at least 1.
    #[must_use]
    pub fn count(&self, now: BootTime) -> u32 {
        u32::try_from(self.alive(now).count()).unwrap_or(u32::MAX).max(1)
    }

    /// Clock offsets of the nodes alive at `now`.
    #[must_use]
    pub fn offsets(&self, now: BootTime) -> Vec<ClockOffset> {
        self.alive(now).filter_map(|row| row.heartbeat.offset_ms.map(ClockOffset)).collect()
    }

    /// Address for datagrams to `node`.
    #[must_use]
    pub fn peer_address(&self, node: &NodeName) -> Option<SocketAddr> {
        let at = self.rows.binary_search_by(|row| row.node.cmp(node)).ok()?;
        Some(self.rows[at].heartbeat.peer)
    }

    /// Demand per second for `pool` over all nodes alive at `now`.
    #[must_use]
    pub fn demand(&self, pool: &PoolName, now: BootTime) -> DemandRate {
        let of = |row: &MemberRow| {
            let demand = row.heartbeat.demand.iter().find(|demand| demand.pool == *pool);
            demand.map_or(DemandRate::default(), |demand| demand.rate)
        };
        self.alive(now).map(of).sum()
    }

    /// Sums the counts of all nodes for `window`, including nodes that are gone.
    #[must_use]
    pub fn sum_window(&self, window: WindowIndex) -> WindowCounts {
        let mut sum = WindowCounts::new(window);
        for row in &self.rows {
            for counts in row.heartbeat.windows.iter().filter(|counts| counts.window == window) {
                sum.merge(counts);
            }
        }
        sum
    }

    /// Whether each node alive at `now` has published all counts from before `end_ms`.
    #[must_use]
    pub fn is_usage_complete(&self, end_ms: i64, now: BootTime) -> bool {
        self.alive(now).all(|row| row.heartbeat.counted_to_ms.is_some_and(|to| to >= end_ms))
    }
}
