//! Remembers which software version began each resumable stream.
//!
//! Answers the load pattern of a release during which streams break: upstreams of two versions
//! serve side by side, and what they write does not fit together. A caller may resume its stream at
//! any node, also when the one that began it is gone. The node that relays the first event of a
//! stream therefore announces its origin to a few others, the same ones for all nodes.

use std::{cmp::Reverse, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    boot_time::BootTime,
    forward::member_list::MemberIdentity,
    ids::{AttemptKey, NodeName, PoolName, SoftwareVersion},
};

/// Number of nodes to which an origin is announced. Enough that a loss of half of the nodes leaves
/// seven in eight origins known.
pub const KEEPERS: usize = 3;
/// Number of nodes that are queried for an origin. More than [`KEEPERS`], since nodes that joined
/// or left meanwhile displace others.
pub const KEEPERS_QUERIED: usize = 5;
/// Maximum number of remembered origins. The ones that expire first are dropped.
const ROWS_MAX: usize = 32_768;
/// Maximum lifetime of an origin.
const LIFETIME_MAX: Duration = Duration::from_secs(3_600);

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Software version of the upstream that sent its first event.
    pub software: SoftwareVersion,
    /// Pool of that upstream. `None` if only the version is certain.
    pub pool: Option<PoolName>,
}

/// Whether other nodes know an origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// This node relayed the first event and has not announced it.
    Own,
    /// This node has announced it.
    OwnAnnounced,
    /// Another node has announced it to this one.
    Announced,
}

#[derive(Clone, Debug)]
struct OriginRow {
    attempt: AttemptKey,
    origin: StreamOrigin,
    source: OriginSource,
    expires_at: BootTime,
}

/// Origins of streams that may still be resumed.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    /// Sorted by attempt, without duplicates. At most [`ROWS_MAX`].
    rows: Vec<OriginRow>,
}

impl OriginTable {
    /// Records that the stream of `attempt` began at `origin`. It may be resumed within `lifetime`.
    pub fn record(
        &mut self,
        attempt: AttemptKey,
        origin: StreamOrigin,
        source: OriginSource,
        lifetime: Duration,
        now: BootTime,
    ) {
        let expires_at = now + lifetime.min(LIFETIME_MAX);
        let row = OriginRow { attempt, origin, source, expires_at };
        match self.rows.binary_search_by_key(&attempt, |row| row.attempt) {
            // The first origin holds: later attempts of the caller only resume the stream.
            Ok(at) => self.rows[at].expires_at = self.rows[at].expires_at.max(expires_at),
            Err(at) => self.rows.insert(at, row),
        }
        if self.rows.len() > ROWS_MAX {
            self.remove_expired(now);
        }
        if self.rows.len() > ROWS_MAX {
            let first = self.rows.iter().enumerate().min_by_key(|(_, row)| row.expires_at);
            if let Some((at, _)) = first {
                self.rows.remove(at);
            }
        }
    }

    /// Origin of the stream of `attempt`.
    #[must_use]
    pub fn find(&self, attempt: AttemptKey) -> Option<&StreamOrigin> {
        let at = self.rows.binary_search_by_key(&attempt, |row| row.attempt).ok()?;
        Some(&self.rows[at].origin)
    }

    /// Takes up to `count` origins that this node has not announced and for which `is_due` holds,
    /// with their remaining lifetime.
    pub fn take_unannounced(
        &mut self,
        count: usize,
        is_due: impl Fn(&StreamOrigin) -> bool,
        now: BootTime,
    ) -> Vec<(AttemptKey, StreamOrigin, Duration)> {
        let due = self.rows.iter_mut().filter(|row| {
            row.source == OriginSource::Own && now < row.expires_at && is_due(&row.origin)
        });
        let take = |row: &mut OriginRow| {
            row.source = OriginSource::OwnAnnounced;
            (row.attempt, row.origin.clone(), row.expires_at.since(now))
        };
        due.take(count).map(take).collect()
    }

    /// Removes origins that have expired at `now`.
    pub fn remove_expired(&mut self, now: BootTime) {
        self.rows.retain(|row| now < row.expires_at);
    }

    /// Number of remembered origins.
    #[must_use]
    pub fn count(&self) -> usize {
        self.rows.len()
    }
}

/// Nodes other than `own` that keep the origin of `attempt`, the best ones first. All nodes with the
/// same list of `members` find the same order.
#[must_use]
pub fn rank_keepers<'a>(
    attempt: AttemptKey,
    members: &'a [MemberIdentity],
    own: &NodeName,
) -> Vec<&'a MemberIdentity> {
    let key = attempt.to_bytes();
    let weight = |entry: &&MemberIdentity| {
        xxh3_64_with_seed(&key, xxh3_64_with_seed(entry.node.as_str().as_bytes(), 0))
    };
    let mut keepers: Vec<&MemberIdentity> =
        members.iter().filter(|entry| entry.node != *own).collect();
    keepers.sort_by_cached_key(|entry| Reverse(weight(entry)));
    keepers.truncate(KEEPERS_QUERIED);
    keepers
}
