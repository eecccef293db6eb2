//! Entries of one pool that share an address, of which at most one names the upstream that serves there.
//!
//! An address is used again after the end of its upstream, and an entry may be wrong in any field. The one whose
//! upstream responded last is trusted until a response tells otherwise: what an entry says about itself, such as a
//! later start, proves nothing. While none has responded, all are tried.

use std::net::SocketAddr;

use super::{UpstreamRegistry, tracked::TrackedUpstream};
use crate::{boot_time::BootTime, ids::PoolName};

impl UpstreamRegistry {
    /// Whether another upstream, which takes requests at `now`, was the last to respond at the address of `row`.
    #[must_use]
    pub fn is_displaced(&self, row: &TrackedUpstream, now: BootTime) -> bool {
        row.shares_address
            && self.rows.iter().any(|other| {
                other.answered_at > row.answered_at
                    && other.entry.address == row.entry.address
                    && other.entry.pool == row.entry.pool
                    && other.is_accepting(now)
            })
    }

    /// Finds the entries of the current list that share an address.
    pub(super) fn mark_shared_addresses(&mut self) {
        let mut places: Vec<(SocketAddr, &PoolName)> =
            self.list.iter().map(|entry| (entry.address, &entry.pool)).collect();
        places.sort_unstable();
        let is_shared = |row: &TrackedUpstream| {
            let place = (row.entry.address, &row.entry.pool);
            let first = places.partition_point(|known| *known < place);
            places.get(first + 1).is_some_and(|next| *next == place)
        };
        for row in &mut self.rows {
            row.shares_address = is_shared(row);
        }
    }
}
