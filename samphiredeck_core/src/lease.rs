//! Leases stored in rows of the table service, timed by monotonic clocks alone.
//!
//! The holder counts its lease from the time before it sent the renewal. A node that takes over
//! counts from its first read of the row's current version, and waits longer than the lease.
//! Clocks of different nodes are never compared.

use std::time::{Duration, Instant};

use crate::ids::{NodeName, RowVersion};

/// Length of a node's lease.
pub const LEASE_DURATION: Duration = Duration::from_secs(6);
/// Time between renewals.
pub const RENEW_PERIOD: Duration = Duration::from_secs(2);
/// Time beyond the lease duration that a node waits before it takes over.
pub const TAKEOVER_MARGIN: Duration = Duration::from_secs(2);
/// Longest time between two reads for which an unchanged row counts towards expiry.
const READ_INTERVAL_MAX: Duration = Duration::from_secs(3);
/// Longest time that a command to an engine may be in transit.
pub const COMMAND_TRANSIT_MAX: Duration = Duration::from_secs(5);

/// Lease from its holder's point of view.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldLease {
    /// Time at which the last confirmed renewal was sent.
    renewed_at: Option<Instant>,
}

impl HeldLease {
    /// Records that a renewal sent at `sent_at` was committed.
    pub fn renew(&mut self, sent_at: Instant) {
        self.renewed_at = self.renewed_at.max(Some(sent_at));
    }

    /// Releases the lease.
    pub fn release(&mut self) {
        self.renewed_at = None;
    }

    /// Time at which the lease expires, or `None` if it was released or never acquired.
    #[must_use]
    pub fn expires_at(&self) -> Option<Instant> {
        self.renewed_at.map(|at| at + LEASE_DURATION)
    }

    /// Whether the lease is held at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        self.expires_at().is_some_and(|end| now < end)
    }

    /// Whether the next renewal is due.
    #[must_use]
    pub fn is_renewal_due(&self, now: Instant) -> bool {
        self.renewed_at.is_none_or(|at| now.saturating_duration_since(at) >= RENEW_PERIOD)
    }
}

/// Observed state of one node's lease.
#[derive(Clone, Debug)]
struct ObservedLease {
    holder: NodeName,
    version: RowVersion,
    /// Time of the first read that returned `version`.
    seen_at: Instant,
}

/// Leases of other nodes, observed through reads of their rows.
#[derive(Debug, Default)]
pub struct LeaseObserver {
    /// Time of the last read.
    observed_at: Option<Instant>,
    /// Sorted by holder, without duplicates.
    rows: Vec<ObservedLease>,
}

impl LeaseObserver {
    /// Updates the leases from the rows of one read at `now`. Holders without a row are removed.
    pub fn observe(&mut self, mut seen: Vec<(NodeName, RowVersion)>, now: Instant) {
        seen.sort();
        let mut old = std::mem::take(&mut self.rows);
        // No holder can renew while the table is unavailable, so expiry restarts after a gap in
        // reads.
        let gap =
            self.observed_at.is_none_or(|at| now.saturating_duration_since(at) > READ_INTERVAL_MAX);
        if gap {
            old.clear();
        }
        self.observed_at = Some(now);
        let since = |holder: &NodeName, version: RowVersion| {
            let known = old.binary_search_by(|row| row.holder.cmp(holder));
            let known = known.ok().filter(|at| old[*at].version == version);
            known.map_or(now, |at| old[at].seen_at)
        };
        self.rows = seen
            .into_iter()
            .map(|(holder, version)| {
                let seen_at = since(&holder, version);
                ObservedLease { holder, version, seen_at }
            })
            .collect();
    }

    /// Lists the holders whose lease is certain to have expired, with the version of their row.
    #[must_use]
    pub fn expired(&self, now: Instant) -> Vec<(NodeName, RowVersion)> {
        let is_expired = |row: &&ObservedLease| {
            now.saturating_duration_since(row.seen_at) >= LEASE_DURATION + TAKEOVER_MARGIN
        };
        self.rows.iter().filter(is_expired).map(|row| (row.holder.clone(), row.version)).collect()
    }

    /// Whether the lease of `holder` is known and has not expired.
    #[must_use]
    pub fn is_held(&self, holder: &NodeName, now: Instant) -> bool {
        self.rows.iter().any(|row| row.holder == *holder)
            && !self.expired(now).iter().any(|(name, _)| name == holder)
    }
}
