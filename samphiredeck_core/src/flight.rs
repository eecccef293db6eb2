//! What nodes tell each other of their requests in flight, so that they don't herd.
//!
//! A report of an upstream is older than a heartbeat. As long as all nodes that are alive say what
//! they have in flight, their sum is what an upstream has to do, but for the last fraction of a
//! second.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ids::{NodeName, UpstreamId},
    upstream::{InFlightCount, UpstreamRow},
};

/// Upstreams that one heartbeat names.
pub const FLIGHTS_MAX: usize = 48;
/// Age up to which a node's word counts.
const FLIGHT_LIFETIME: Duration = Duration::from_millis(1_500);

/// Requests in flight at one upstream, as a heartbeat carries them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlightEntry {
    /// Short hash of the upstream's id.
    pub upstream: u32,
    /// Requests in flight.
    pub count: InFlightCount,
}

/// Short hash of an upstream's id.
#[must_use]
#[expect(clippy::cast_possible_truncation, reason = "the low half of the hash is what is wanted")]
pub fn short_hash(id: &UpstreamId) -> u32 {
    xxh3_64(id.as_str().as_bytes()) as u32
}

/// Lists what this node has in flight, the busiest upstreams first.
#[must_use]
pub fn own_flights(rows: &[UpstreamRow]) -> Vec<FlightEntry> {
    let busy = rows.iter().filter(|row| row.in_flight > 0);
    let mut entries: Vec<FlightEntry> = busy
        .map(|row| FlightEntry {
            upstream: short_hash(&row.listing.id),
            count: InFlightCount { total: row.in_flight, patient: row.patient_in_flight },
        })
        .collect();
    entries.sort_by_key(|entry| std::cmp::Reverse(entry.count.total));
    entries.truncate(FLIGHTS_MAX);
    entries
}

/// What one node said last.
#[derive(Clone, Debug)]
struct FlightRow {
    node: NodeName,
    /// Sorted by upstream.
    entries: Vec<FlightEntry>,
    heard_at: Instant,
}

/// Requests in flight of other nodes.
#[derive(Debug, Default)]
pub struct FlightTable {
    /// Sorted by node, without duplicates.
    rows: Vec<FlightRow>,
}

impl FlightTable {
    /// Takes in what `node` said at `now`.
    pub fn note(&mut self, node: &NodeName, mut entries: Vec<FlightEntry>, now: Instant) {
        entries.sort_by_key(|entry| entry.upstream);
        let row = FlightRow { node: node.clone(), entries, heard_at: now };
        match self.rows.binary_search_by(|known| known.node.cmp(node)) {
            Ok(at) => self.rows[at] = row,
            Err(at) => self.rows.insert(at, row),
        }
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now: Instant) {
        self.rows.retain(|row| now.saturating_duration_since(row.heard_at) < FLIGHT_LIFETIME);
    }

    /// Whether each of the `alive` nodes has said something that still counts.
    #[must_use]
    pub fn is_complete(&self, alive: &[NodeName]) -> bool {
        let known = |node: &NodeName| self.rows.binary_search_by(|row| row.node.cmp(node)).is_ok();
        alive.iter().all(known)
    }

    /// Adds up what all nodes have in flight at `upstream`.
    #[must_use]
    pub fn sum(&self, upstream: &UpstreamId) -> InFlightCount {
        let hash = short_hash(upstream);
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
