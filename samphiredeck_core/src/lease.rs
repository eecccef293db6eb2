//! Leases kept in rows of the table service, by monotonic time alone.
//!
//! The holder counts from before it sent its renewal. The taker counts from when it saw the row
//! change last, and waits longer. Neither compares clocks with the other.

use std::time::{Duration, Instant};

use crate::ids::{NodeName, RowVersion};

/// Length of a node's lease.
pub const LEASE_DURATION: Duration = Duration::from_secs(6);
/// Time between renewals.
pub const RENEW_PERIOD: Duration = Duration::from_secs(2);
/// Time that a taker waits beyond the lease.
pub const TAKEOVER_MARGIN: Duration = Duration::from_secs(2);
/// Time between two reads after which nothing is concluded from rows that did not change.
const READ_INTERVAL_MAX: Duration = Duration::from_secs(3);
/// Longest time that an order to an engine may be in flight.
pub const COMMAND_TRANSIT_MAX: Duration = Duration::from_secs(5);

/// Lease as its holder knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldLease {
    /// Time at which the last confirmed renewal was sent.
    renewed_at: Option<Instant>,
}

impl HeldLease {
    /// Notes that a renewal sent at `sent_at` took effect.
    pub fn renew(&mut self, sent_at: Instant) {
        self.renewed_at = self.renewed_at.max(Some(sent_at));
    }

    /// Gives up the lease.
    pub fn release(&mut self) {
        self.renewed_at = None;
    }

    /// Time at which the lease ends, if it is held at all.
    #[must_use]
    pub fn expires_at(&self) -> Option<Instant> {
        self.renewed_at.map(|at| at + LEASE_DURATION)
    }

    /// Whether the lease is held at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        self.expires_at().is_some_and(|end| now < end)
    }

    /// Whether it is time to renew.
    #[must_use]
    pub fn is_renewal_due(&self, now: Instant) -> bool {
        self.renewed_at.is_none_or(|at| now.saturating_duration_since(at) >= RENEW_PERIOD)
    }
}

/// One row of a [`LeaseObserver`].
#[derive(Clone, Debug)]
struct ObservedLease {
    holder: NodeName,
    version: RowVersion,
    /// Time of the first read that showed `version`.
    seen_at: Instant,
}

/// Leases of others, as seen through reads of their rows.
#[derive(Debug, Default)]
pub struct LeaseObserver {
    /// Time of the last read.
    observed_at: Option<Instant>,
    /// Sorted by holder, without duplicates.
    rows: Vec<ObservedLease>,
}

impl LeaseObserver {
    /// Takes in the rows that one read showed, read at `now`. Holders without a row are dropped.
    pub fn observe(&mut self, mut seen: Vec<(NodeName, RowVersion)>, now: Instant) {
        seen.sort();
        let mut old = std::mem::take(&mut self.rows);
        // While the table is down no holder can renew, so the wait starts over after a gap.
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

    /// Lists the holders whose lease has surely lapsed, with the version of their row.
    #[must_use]
    pub fn expired(&self, now: Instant) -> Vec<(NodeName, RowVersion)> {
        let over = |row: &&ObservedLease| {
            now.saturating_duration_since(row.seen_at) >= LEASE_DURATION + TAKEOVER_MARGIN
        };
        self.rows.iter().filter(over).map(|row| (row.holder.clone(), row.version)).collect()
    }

    /// Whether the lease of `holder` is known and has not lapsed.
    #[must_use]
    pub fn is_held(&self, holder: &NodeName, now: Instant) -> bool {
        self.rows.iter().any(|row| row.holder == *holder)
            && !self.expired(now).iter().any(|(name, _)| name == holder)
    }
}
