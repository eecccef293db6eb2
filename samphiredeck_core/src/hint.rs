//! Placement hints: nodes tell each other which upstreams they have just sent prompts to.
//!
//! The next request of a session often reaches another node before the cache events of the previous
//! one do. Therefore each node publishes in its heartbeats the last block of each prompt that it has
//! just placed.

use std::time::{Duration, Instant};

use crate::{ids::UpstreamId, prefix::BlockHash};

/// Maximum number of hints in one heartbeat.
pub const HINTS_PER_HEARTBEAT_MAX: usize = 16;
/// Number of heartbeats in which a hint is repeated.
const SENDS_PER_HINT: u32 = 12;
/// Time after which a received hint is discarded, since the cache events have arrived by then.
const HINT_LIFETIME: Duration = Duration::from_secs(5);
/// Maximum number of received hints that are kept.
const RECEIVED_MAX: usize = 4_096;
/// Number of blocks at the end of a prompt that are looked up: what one turn of a session adds.
const LOOKBACK_BLOCKS: usize = 64;

/// Short hashes of a block and of the upstream that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementHint {
    /// Low half of the block's hash.
    pub block: u32,
    /// Short hash of the upstream's id.
    pub upstream: u32,
}

/// Returns the low half of a block's hash.
#[must_use]
#[expect(clippy::cast_possible_truncation, reason = "the low half of the hash is what is wanted")]
pub fn truncate_block_hash(block: BlockHash) -> u32 {
    block.0 as u32
}

/// Hint of this node that has remaining sends.
#[derive(Clone, Copy, Debug)]
struct LocalHint {
    hint: PlacementHint,
    remaining_sends: u32,
}

/// Hint received from another node.
#[derive(Clone, Copy, Debug)]
struct ReceivedHint {
    hint: PlacementHint,
    received_at: Instant,
}

/// Placement hints of this node and of others.
#[derive(Debug, Default)]
pub struct PlacementHintTable {
    /// Oldest first. Each has at least one remaining send.
    local: Vec<LocalHint>,
    /// Sorted by block, without duplicates. At most [`RECEIVED_MAX`].
    received: Vec<ReceivedHint>,
}

impl PlacementHintTable {
    /// Records that this node sent a prompt of `blocks` to `upstream`.
    pub fn record_placement(&mut self, blocks: &[BlockHash], upstream: &UpstreamId) {
        if let Some(last) = blocks.last() {
            let hint = PlacementHint {
                block: truncate_block_hash(*last),
                upstream: crate::in_flight::upstream_hash(upstream),
            };
            self.local.push(LocalHint { hint, remaining_sends: SENDS_PER_HINT });
        }
    }

    /// Returns the hints for the next heartbeat, which are the newest ones.
    pub fn take_batch(&mut self) -> Vec<PlacementHint> {
        let newest = self.local.len().saturating_sub(HINTS_PER_HEARTBEAT_MAX);
        let mut batch = Vec::new();
        for row in &mut self.local[newest..] {
            row.remaining_sends -= 1;
            batch.push(row.hint);
        }
        // Hints that don't fit are dropped, since a later heartbeat would be too late.
        self.local.drain(..newest);
        self.local.retain(|row| row.remaining_sends > 0);
        batch
    }

    /// Stores hints received from another node.
    pub fn insert_received(&mut self, hints: &[PlacementHint], now: Instant) {
        for hint in hints {
            let row = ReceivedHint { hint: *hint, received_at: now };
            match self.received.binary_search_by_key(&hint.block, |known| known.hint.block) {
                Ok(at) => self.received[at] = row,
                Err(at) if self.received.len() < RECEIVED_MAX => self.received.insert(at, row),
                Err(_) => {}
            }
        }
    }

    /// Discards received hints that are too old.
    pub fn expire(&mut self, now: Instant) {
        self.received.retain(|row| now.saturating_duration_since(row.received_at) < HINT_LIFETIME);
    }

    /// Finds the deepest block of a prompt that another node has just sent. Returns the number of
    /// blocks up to it and the short hash of the upstream.
    #[must_use]
    pub fn find_deepest(&self, blocks: &[BlockHash]) -> Option<(usize, u32)> {
        if self.received.is_empty() {
            return None;
        }
        let tail = blocks.iter().enumerate().rev().take(LOOKBACK_BLOCKS);
        for (index, block) in tail {
            let truncated = truncate_block_hash(*block);
            let found = self.received.binary_search_by_key(&truncated, |row| row.hint.block);
            if let Ok(at) = found {
                return Some((index + 1, self.received[at].hint.upstream));
            }
        }
        None
    }
}
