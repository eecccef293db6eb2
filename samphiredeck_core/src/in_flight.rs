//! In-flight request counts that nodes exchange with heartbeats, so that they don't all pick the
//! same upstream (herding).
//!
//! The load report of an upstream is older than a heartbeat. While all alive nodes publish their
//! counts, the sum is the load of an upstream, except for requests of the last fraction of a
//! second.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ids::{NodeName, UpstreamId},
    upstream::{InFlightCount, UpstreamRow},
};

/// Maximum number of upstreams listed in one heartbeat.
pub const IN_FLIGHT_ENTRIES_MAX: usize = 48;
/// Age after which the counts of a node are discarded.
const ENTRY_LIFETIME: Duration = Duration::from_millis(1_500);

/// Requests in flight at one upstream, as sent in a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightEntry {
    /// Short hash of the upstream's id.
    pub upstream: u32,
    /// Requests in flight.
    pub count: InFlightCount,
}

/// Returns the short hash of an upstream's id.
#[must_use]
#[expect(clippy::cast_possible_truncation, reason = "the low half of the hash is what is wanted")]
pub fn upstream_hash(id: &UpstreamId) -> u32 {
    xxh3_64(id.as_str().as_bytes()) as u32
}

/// Lists the in-flight counts of this node, busiest upstreams first.
#[must_use]
pub fn local_in_flight(rows: &[UpstreamRow]) -> Vec<InFlightEntry> {
    let busy = rows.iter().filter(|row| row.in_flight > 0);
    let mut entries: Vec<InFlightEntry> = busy
        .map(|row| InFlightEntry {
            upstream: upstream_hash(&row.listing.id),
            count: InFlightCount { total: row.in_flight, patient: row.patient_in_flight },
        })
        .collect();
    entries.sort_by_key(|entry| std::cmp::Reverse(entry.count.total));
    entries.truncate(IN_FLIGHT_ENTRIES_MAX);
    entries
}

/// Latest counts of one node.
#[derive(Clone, Debug)]
struct NodeEntries {
    node: NodeName,
    /// Sorted by upstream.
    entries: Vec<InFlightEntry>,
    received_at: Instant,
}

/// In-flight counts of other nodes.
#[derive(Debug, Default)]
pub struct InFlightTable {
    /// Sorted by node, without duplicates.
    rows: Vec<NodeEntries>,
}

impl InFlightTable {
    /// Replaces the counts of `node` by those received at `now`.
    pub fn update(&mut self, node: &NodeName, mut entries: Vec<InFlightEntry>, now: Instant) {
        entries.sort_by_key(|entry| entry.upstream);
        let row = NodeEntries { node: node.clone(), entries, received_at: now };
        match self.rows.binary_search_by(|known| known.node.cmp(node)) {
            Ok(at) => self.rows[at] = row,
            Err(at) => self.rows.insert(at, row),
        }
    }

    /// Discards counts that are too old.
    pub fn expire(&mut self, now: Instant) {
        self.rows.retain(|row| now.saturating_duration_since(row.received_at) < ENTRY_LIFETIME);
    }

    /// Whether there are current counts of each of the `alive` nodes.
    #[must_use]
    pub fn is_complete(&self, alive: &[NodeName]) -> bool {
        let known = |node: &NodeName| self.rows.binary_search_by(|row| row.node.cmp(node)).is_ok();
        alive.iter().all(known)
    }

    /// Sums the requests that the other nodes have in flight at `upstream`.
    #[must_use]
    pub fn sum(&self, upstream: &UpstreamId) -> InFlightCount {
        let hash = upstream_hash(upstream);
        let entries = self.rows.iter().filter_map(|row| {
            let at = row.entries.binary_search_by_key(&hash, |entry| entry.upstream).ok()?;
            Some(row.entries[at].count)
        });
        entries.fold(InFlightCount::default(), |sum, count| InFlightCount {
            total: sum.total + count.total,
            patient: sum.patient + count.patient,
        })
    }
}
