//! What nodes tell each other of the limits of upstreams.
//!
//! Times are sent as ages, since the clocks of nodes have different origins.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::LimitStatement;
use crate::{
    boot_time::BootTime,
    forward::upstreams::{UpstreamRegistry, tracked::TrackedUpstream},
    ids::UpstreamId,
    units::RequestRate,
};

/// Time by which a statement that another node tells is taken to be older. Covers the network delay
/// of the message.
const DELAY_MAX: Duration = Duration::from_millis(250);
/// Time for which nodes are told of a limit that was lifted.
const LIFTED_TOLD_FOR: Duration = Duration::from_secs(60);

/// Statement about the limit of an upstream, as sent to other nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SharedLimit {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its start time, in milliseconds, if known.
    pub started_ms: Option<u64>,
    /// The limit, or `None` if none applies any more.
    pub rate: Option<RequestRate>,
    /// Milliseconds since the request was sent.
    pub sent_age_ms: u64,
    /// Milliseconds since the head of the response was read.
    pub read_age_ms: u64,
}

impl SharedLimit {
    /// The statement as received at `now`.
    #[must_use]
    pub fn to_statement(&self, now: BootTime) -> LimitStatement {
        LimitStatement {
            rate: self.rate,
            sent_at: now - Duration::from_millis(self.sent_age_ms) - DELAY_MAX,
            read_at: now - Duration::from_millis(self.read_age_ms),
        }
    }
}

impl UpstreamRegistry {
    /// Statement about the limit of `id`, as sent to other nodes at `now`. `None` if it never named
    /// one.
    #[must_use]
    pub fn share_limit(&self, id: &UpstreamId, now: BootTime) -> Option<SharedLimit> {
        share(self.find(id)?, now)
    }

    /// Statements about limits in force, and about those that were lifted lately, as sent to other
    /// nodes at `now`.
    #[must_use]
    pub fn share_limits(&self, now: BootTime) -> Vec<SharedLimit> {
        let is_told = |limit: &SharedLimit| {
            limit.rate.is_some() || Duration::from_millis(limit.read_age_ms) < LIFTED_TOLD_FOR
        };
        let rows = self.rows().iter().filter(|row| !row.state().is_gone());
        rows.filter_map(|row| share(row, now)).filter(is_told).collect()
    }

    /// Digest of the limits in force. Zero if there are none.
    #[must_use]
    pub fn digest_limits(&self) -> u64 {
        let rows = self.rows().iter().filter(|row| !row.state().is_gone());
        let digests = rows.filter_map(|row| {
            let rate = row.limit()?.rate()?;
            let seed = row.entry.started_ms.unwrap_or(0) ^ rate.per_second().to_bits();
            Some(xxh3_64_with_seed(row.entry.id.as_str().as_bytes(), seed))
        });
        digests.fold(0, u64::wrapping_add)
    }
}

fn share(row: &TrackedUpstream, now: BootTime) -> Option<SharedLimit> {
    let statement = row.limit()?.statement();
    Some(SharedLimit {
        upstream: row.entry.id.clone(),
        started_ms: row.entry.started_ms,
        rate: statement.rate,
        // Rounded away from what it supersedes.
        sent_age_ms: age_ms(statement.sent_at, now).saturating_add(1),
        read_age_ms: age_ms(statement.read_at, now),
    })
}

fn age_ms(at: BootTime, now: BootTime) -> u64 {
    u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX)
}
