//! Estimates which shared prompt parts upstreams have cached.
//!
//! After a reclaim, the shared parts that the lost upstreams held are computed again elsewhere.
//! That work is several times the usual one and has to be expected, both when a request is placed
//! and when capacity is ordered. A node remembers where it sent each part. If it has not sent a
//! part to the part's affinity upstream yet, another node may have: of all nodes, one is the first.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::{boot_time::BootTime, forward::placement::PromptPart, ids::UpstreamId};

/// Time after which a part that this node did not send again is assumed to be evicted.
const RETENTION: Duration = Duration::from_secs(40);
/// Maximum number of remembered parts.
const ROWS_MAX: usize = 8_192;
/// Probability that the second upstream in the affinity order lacks a part that this node has not
/// sent there. Nodes that avoid a busy affinity upstream choose this one.
const SECOND_MISS: f64 = 0.5;

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
    /// Hash of the upstream, its start time and the part.
    key: u64,
    sent_at: BootTime,
}

/// Shared parts that this node sent to upstreams.
#[derive(Clone, Debug, Default)]
pub struct PromptCacheTable {
    /// Sorted by key, without duplicates. At most [`ROWS_MAX`].
    rows: Vec<SentPart>,
}

/// Key of `part` at the run of an upstream that started at `started_ms`.
fn key(upstream: &UpstreamId, started_ms: Option<u64>, part: &PromptPart) -> u64 {
    let upstream = xxh3_64(upstream.as_str().as_bytes()) ^ started_ms.unwrap_or(0);
    xxh3_64(part.id.as_bytes()) ^ upstream.rotate_left(1)
}

impl PromptCacheTable {
    /// Records that a request with the shared `parts` was sent to `upstream` at `now`.
    pub fn record_sent(
        &mut self,
        upstream: &UpstreamId,
        started_ms: Option<u64>,
        parts: &[PromptPart],
        now: BootTime,
    ) {
        if self.rows.len() + parts.len() > ROWS_MAX {
            self.rows.retain(|row| now.since(row.sent_at) < RETENTION);
        }
        for part in parts {
            let key = key(upstream, started_ms, part);
            match self.rows.binary_search_by_key(&key, |row| row.key) {
                Ok(at) => self.rows[at].sent_at = now,
                Err(at) if self.rows.len() < ROWS_MAX => {
                    self.rows.insert(at, SentPart { key, sent_at: now });
                }
                Err(_full) => {}
            }
        }
    }

    /// Expected number of tokens of the shared `parts` that `upstream` has not cached, with `nodes`
    /// nodes sending requests.
    #[must_use]
    pub fn expected_miss(
        &self,
        (upstream, started_ms): (&UpstreamId, Option<u64>),
        affinity: CacheAffinity,
        parts: &[PromptPart],
        nodes: u32,
        now: BootTime,
    ) -> f64 {
        let unsent_miss = match affinity {
            CacheAffinity::First => 1.0 / f64::from(nodes.max(1)),
            CacheAffinity::Second => SECOND_MISS,
            CacheAffinity::None => 1.0,
        };
        let miss = |part: &PromptPart| {
            let found =
                self.rows.binary_search_by_key(&key(upstream, started_ms, part), |row| row.key);
            let is_sent = found.is_ok_and(|at| now.since(self.rows[at].sent_at) < RETENTION);
            #[expect(clippy::cast_precision_loss, reason = "prompts have far fewer tokens")]
            let tokens = part.tokens as f64;
            if is_sent { 0.0 } else { tokens * unsent_miss }
        };
        parts.iter().map(miss).sum()
    }
}
