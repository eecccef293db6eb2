//! Estimates which shared prompt parts upstreams have cached.
//!
//! After a reclaim, the shared parts that the lost upstreams held are computed again elsewhere.
//! That work is several times the usual one and has to be expected, both when a request is placed
//! and when capacity is ordered. A node remembers where it sent each part. If it has not sent a
//! part to the part's affinity upstream yet, another node may have: of all nodes, one is the first.
//!
//! Where nodes tell each other which parts they send where ([`part_exchange`](crate::forward::part_exchange)), a part that
//! nobody has told of is taken to be missing.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{boot_time::BootTime, forward::placement::PromptPart, ids::UpstreamId};

/// Time after which a part that this node did not send again is assumed to be evicted.
const RETENTION: Duration = Duration::from_secs(40);
/// Time after which a part that is sent again is new to other nodes. Well below [`RETENTION`].
const TOLD_AGAIN_AFTER: Duration = Duration::from_secs(20);
/// Maximum number of remembered parts.
const ROWS_MAX: usize = 16_384;
/// Probability that the second upstream in the affinity order lacks a part that this node has not
/// sent there. Nodes that avoid a busy affinity upstream choose this one.
const SECOND_MISS: f64 = 0.5;

/// Probability that the first and the second upstream in the affinity order lack a part that nobody has told of. Below 1, so
/// that nodes which send it at the same moment choose the same one.
const UNTOLD_MISS: [f64; 2] = [0.9, 0.95];

/// Key of a prompt part at one run of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartKey(u32);

impl PartKey {
    fn of(upstream: &UpstreamId, started_ms: Option<u64>, part: &PromptPart) -> Self {
        let seed = xxh3_64(upstream.as_str().as_bytes()) ^ started_ms.unwrap_or(0);
        let hash = xxh3_64_with_seed(part.id.as_bytes(), seed);
        Self(u32::try_from(hash >> 32).unwrap_or(u32::MAX))
    }
}

/// Affinity of an upstream to a prompt, by its place in the rendezvous order of the last shared
/// part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheAffinity {
    /// First in the order: every node prefers it.
    First,
    /// Second in the order: every node avoids a busy first one this way.
    Second,
    /// Any other upstream.
    None,
}

/// Part that was sent to an upstream.
#[derive(Clone, Copy, Debug)]
struct SentPart {
    key: PartKey,
    sent_at: BootTime,
}

/// Shared parts that this node sent to upstreams.
#[derive(Clone, Debug, Default)]
pub struct PromptCacheTable {
    /// Sorted by key, without duplicates. At most [`ROWS_MAX`].
    rows: Vec<SentPart>,
}

impl PromptCacheTable {
    /// Records that a request with the shared `parts` was sent to `upstream` at `now`. Returns the keys of those that were
    /// not known to be there.
    pub fn record_sent(
        &mut self,
        upstream: &UpstreamId,
        started_ms: Option<u64>,
        parts: &[PromptPart],
        now: BootTime,
    ) -> Vec<PartKey> {
        let keys = parts.iter().map(|part| PartKey::of(upstream, started_ms, part));
        keys.filter(|key| self.record(*key, now)).collect()
    }

    /// Records that a part was sent to an upstream at `now`, by this node or another one. Returns whether that is new.
    pub fn record(&mut self, key: PartKey, now: BootTime) -> bool {
        if self.rows.len() >= ROWS_MAX {
            self.rows.retain(|row| now.since(row.sent_at) < RETENTION);
        }
        match self.rows.binary_search_by_key(&key, |row| row.key) {
            Ok(at) => {
                let is_new = now.since(self.rows[at].sent_at) >= TOLD_AGAIN_AFTER;
                self.rows[at].sent_at = now;
                is_new
            }
            Err(at) => {
                if self.rows.len() < ROWS_MAX {
                    self.rows.insert(at, SentPart { key, sent_at: now });
                }
                true
            }
        }
    }

    /// Expected number of tokens of the shared `parts` that `upstream` has not cached, with `nodes`
    /// nodes sending requests, which tell each other of the parts if `is_told`.
    #[must_use]
    pub fn expected_miss(
        &self,
        (upstream, started_ms): (&UpstreamId, Option<u64>),
        affinity: CacheAffinity,
        parts: &[PromptPart],
        (nodes, is_told): (u32, bool),
        now: BootTime,
    ) -> f64 {
        let unsent_miss = match (affinity, is_told) {
            (CacheAffinity::First, true) => UNTOLD_MISS[0],
            (CacheAffinity::Second, true) => UNTOLD_MISS[1],
            (CacheAffinity::First, false) => 1.0 / f64::from(nodes.max(1)),
            (CacheAffinity::Second, false) => SECOND_MISS,
            (CacheAffinity::None, _) => 1.0,
        };
        let miss = |part: &PromptPart| {
            let key = PartKey::of(upstream, started_ms, part);
            let found = self.rows.binary_search_by_key(&key, |row| row.key);
            let is_sent = found.is_ok_and(|at| now.since(self.rows[at].sent_at) < RETENTION);
            #[expect(clippy::cast_precision_loss, reason = "prompts have far fewer tokens")]
            let tokens = part.tokens as f64;
            if is_sent { 0.0 } else { tokens * unsent_miss }
        };
        parts.iter().map(miss).sum()
    }
}
