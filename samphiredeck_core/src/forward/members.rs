//! Nodes of the system, as their rows in the platform's store show them.
//!
//! A node counts as alive while its row changes. What it published stays in use for a while after
//! its end, since the requests that it counted have run.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    boot_time::BootTime,
    forward::{
        clock::ClockOffset,
        demand::{PoolWork, WorkRate},
        store_readers::ReaderCandidate,
        usage::{WindowCounts, WindowNumber},
    },
    ids::{DomainName, Incarnation, NodeName, PoolName, RowVersion},
};

/// Time without a change of its row after which a node counts as gone: three times the period of
/// its writes, with the time that a read may be behind.
const MEMBER_LIFETIME: Duration = Duration::from_millis(7_500);

/// Age from which a node may be the home of limits, in milliseconds. By then every node that reaches
/// the store has read its row, so that all of them take it for a home from the same moment on.
const HOME_AGE_MS: i64 = 8_000;

/// What a node publishes about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeBeat {
    /// Tells apart the runs of one node name.
    pub incarnation: Incarnation,
    /// Difference of its time of day to the store's clock, in milliseconds, if it knows the latter.
    pub offset_ms: Option<i64>,
    /// Time up to which `windows` are complete, in milliseconds after 1970, if it knows that time.
    pub counted_to_ms: Option<i64>,
    /// Requests that began to run.
    pub windows: Vec<WindowCounts>,
    /// Address for datagrams of other nodes.
    pub peer: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Time on the store's clock, in milliseconds, at which the first run at this address started.
    pub since_ms: i64,
    /// Work that arrived for each pool.
    pub work: Vec<PoolWork>,
}

/// One row of a [`MemberTable`].
#[derive(Clone, Debug)]
pub struct MemberRow {
    /// Key of the row.
    pub node: NodeName,
    /// Version of the row that holds `beat`.
    pub version: RowVersion,
    /// Time of the first read that showed `version`.
    pub seen_at: BootTime,
    /// What the node published last.
    pub beat: NodeBeat,
}

/// Nodes known to this node.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    /// Sorted by node, without duplicates.
    rows: Vec<MemberRow>,
}

impl MemberTable {
    /// Takes in the rows that one read showed at `now`.
    pub fn observe(&mut self, seen: Vec<(NodeName, RowVersion, NodeBeat)>, now: BootTime) {
        let old = std::mem::take(&mut self.rows);
        self.rows = seen
            .into_iter()
            .map(|(node, version, beat)| {
                let known = old.binary_search_by(|row| row.node.cmp(&node)).ok();
                let known = known.map(|at| &old[at]).filter(|row| row.version == version);
                let seen_at = known.map_or(now, |row| row.seen_at);
                MemberRow { node, version, seen_at, beat }
            })
            .collect();
        self.rows.sort_by(|a, b| a.node.cmp(&b.node));
        self.rows.dedup_by(|a, b| a.node == b.node);
    }

    /// Rows of nodes that are alive at `now`.
    pub fn alive(&self, now: BootTime) -> impl Iterator<Item = &MemberRow> {
        self.rows.iter().filter(move |row| now.since(row.seen_at) < MEMBER_LIFETIME)
    }

    /// Nodes alive at `now` that may be homes of limits when the store's clock shows `store_ms`. All
    /// of them if none is old enough, as when the whole system has just started.
    #[must_use]
    pub fn home_candidates(&self, store_ms: Option<i64>, now: BootTime) -> Vec<&NodeName> {
        let is_old = |row: &&MemberRow| {
            store_ms.is_some_and(|at| at >= row.beat.since_ms.saturating_add(HOME_AGE_MS))
        };
        let old: Vec<&NodeName> = self.alive(now).filter(is_old).map(|row| &row.node).collect();
        if old.is_empty() { self.alive(now).map(|row| &row.node).collect() } else { old }
    }

    /// Nodes alive at `now` that may read the store for others.
    #[must_use]
    pub fn reader_candidates(&self, now: BootTime) -> Vec<ReaderCandidate> {
        let rows = self.alive(now);
        rows.map(|row| ReaderCandidate { node: row.node.clone(), domain: row.beat.domain.clone() })
            .collect()
    }

    /// Nodes whose row has not changed for `silence` at `now`, with the version of their row.
    #[must_use]
    pub fn silent(&self, silence: Duration, now: BootTime) -> Vec<(NodeName, RowVersion)> {
        let old = self.rows.iter().filter(|row| now.since(row.seen_at) >= silence);
        old.map(|row| (row.node.clone(), row.version)).collect()
    }

    /// Number of nodes that are alive at `now`, at least 1.
    #[must_use]
    pub fn count(&self, now: BootTime) -> u32 {
        u32::try_from(self.alive(now).count()).unwrap_or(u32::MAX).max(1)
    }

    /// Clock offsets of the nodes that are alive at `now`.
    #[must_use]
    pub fn offsets(&self, now: BootTime) -> Vec<ClockOffset> {
        self.alive(now).filter_map(|row| row.beat.offset_ms.map(ClockOffset)).collect()
    }

    /// Address for datagrams of `node`.
    #[must_use]
    pub fn peer(&self, node: &NodeName) -> Option<SocketAddr> {
        let at = self.rows.binary_search_by(|row| row.node.cmp(node)).ok()?;
        Some(self.rows[at].beat.peer)
    }

    /// Work that arrives for `pool` a second over all nodes alive at `now`.
    #[must_use]
    pub fn work(&self, pool: &PoolName, now: BootTime) -> WorkRate {
        let of = |row: &MemberRow| {
            let work = row.beat.work.iter().find(|work| work.pool == *pool);
            work.map_or(WorkRate::default(), |work| work.rate)
        };
        self.alive(now).map(of).sum()
    }

    /// Sums what all nodes, also those that are gone, counted for `window`.
    #[must_use]
    pub fn sum_window(&self, window: WindowNumber) -> WindowCounts {
        let mut sum = WindowCounts::new(window);
        for row in &self.rows {
            for counts in row.beat.windows.iter().filter(|counts| counts.window == window) {
                sum.merge(counts);
            }
        }
        sum
    }

    /// Whether each node alive at `now` has published all that it counted before `end_ms`.
    #[must_use]
    pub fn is_counted(&self, end_ms: i64, now: BootTime) -> bool {
        self.alive(now).all(|row| row.beat.counted_to_ms.is_some_and(|to| to >= end_ms))
    }
}
