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
    /// It was read from the store.
    Published,
}

#[derive(Clone, Debug)]
struct OriginRow {
    attempt: AttemptKey,
    origin: StreamOrigin,
    source: OriginSource,
    /// Whether it is in the store.
    is_published: bool,
    expires_at: BootTime,
}

/// Origins that a node has published in the store, for nodes that start after a loss of all others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublishedOrigins {
    /// Time on the store's clock at which they were published, in milliseconds.
    pub written_ms: i64,
    /// Origins without duplicates.
    origins: Vec<StreamOrigin>,
    /// Streams, each with the index of its origin and the time in milliseconds after `written_ms` until
    /// which it may be resumed.
    streams: Vec<(AttemptKey, u16, u32)>,
}

impl PublishedOrigins {
    /// Collects `rows` for publishing, with the time for which each stream may be resumed.
    #[must_use]
    pub fn collect(written_ms: i64, rows: &[(AttemptKey, StreamOrigin, Duration)]) -> Self {
        let mut published = Self { written_ms, origins: Vec::new(), streams: Vec::new() };
        for (attempt, origin, lifetime) in rows {
            let known = published.origins.iter().position(|other| other == origin);
            let index = known.unwrap_or(published.origins.len());
            if known.is_none() {
                published.origins.push(origin.clone());
            }
            let Ok(index) = u16::try_from(index) else { continue };
            let lifetime_ms = u32::try_from(lifetime.as_millis()).unwrap_or(u32::MAX);
            published.streams.push((*attempt, index, lifetime_ms));
        }
        published
    }

    /// Streams that may still be resumed when the store's clock shows `store_ms`, with the time left.
    pub fn rows(
        &self,
        store_ms: i64,
    ) -> impl Iterator<Item = (AttemptKey, &StreamOrigin, Duration)> {
        self.streams.iter().filter_map(move |(attempt, index, lifetime_ms)| {
            let origin = self.origins.get(usize::from(*index))?;
            let left_ms = self.written_ms + i64::from(*lifetime_ms) - store_ms;
            let left = u64::try_from(left_ms).ok().filter(|left| *left > 0)?;
            Some((*attempt, origin, Duration::from_millis(left)))
        })
    }

    /// Time on the store's clock, in milliseconds, from which none of the streams may be resumed.
    #[must_use]
    pub fn expires_ms(&self) -> i64 {
        let longest = self.streams.iter().map(|(_, _, lifetime_ms)| *lifetime_ms).max();
        self.written_ms + i64::from(longest.unwrap_or(0))
    }
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
        let is_published = source == OriginSource::Published;
        let row = OriginRow { attempt, origin, source, is_published, expires_at };
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

    /// Up to `count` origins that were announced and are not in the store, with their remaining lifetime.
    #[must_use]
    pub fn unpublished(
        &self,
        count: usize,
        now: BootTime,
    ) -> Vec<(AttemptKey, StreamOrigin, Duration)> {
        let due = self.rows.iter().filter(|row| {
            !row.is_published && row.source != OriginSource::Own && now < row.expires_at
        });
        due.take(count)
            .map(|row| (row.attempt, row.origin.clone(), row.expires_at.since(now)))
            .collect()
    }

    /// Records that the origins of `attempts` are in the store.
    pub fn mark_published(&mut self, attempts: impl Iterator<Item = AttemptKey>) {
        for attempt in attempts {
            if let Ok(at) = self.rows.binary_search_by_key(&attempt, |row| row.attempt) {
                self.rows[at].is_published = true;
            }
        }
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
