//! What nodes tell each other of where they have just sent prompts.
//!
//! Cache events come late, and callers come back sooner: the next request of a session often reaches
//! another node before the events do. So each node tells the others the last block of the prompts
//! it has placed, with the heartbeats.

use std::time::{Duration, Instant};

use crate::{ids::UpstreamId, prefix::BlockHash};

/// Hints that one heartbeat carries.
pub const HINTS_MAX: usize = 16;
/// Heartbeats that carry a hint.
const HINT_SENDS: u32 = 12;
/// Time after which a hint is dropped, since the events have told by then.
const HINT_LIFETIME: Duration = Duration::from_secs(5);
/// Most hints that are kept.
const ROWS_MAX: usize = 4_096;
/// Blocks from the end of a prompt that are looked up: what one visit of a session adds.
const LOOK_BACK: usize = 64;

/// Short form of a block and of the upstream that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacedHint {
    /// Low half of the block's hash.
    pub block: u32,
    /// Short hash of the upstream's id.
    pub upstream: u32,
}

/// Low half of a block's hash.
#[must_use]
#[expect(clippy::cast_possible_truncation, reason = "the low half of the hash is what is wanted")]
pub fn short_block(block: BlockHash) -> u32 {
    block.0 as u32
}

/// Hint of this node that is still to be told.
#[derive(Clone, Copy, Debug)]
struct OwnRow {
    hint: PlacedHint,
    sends_left: u32,
}

/// Hint of another node.
#[derive(Clone, Copy, Debug)]
struct HeardRow {
    hint: PlacedHint,
    heard_at: Instant,
}

/// Hints of this node and of others.
#[derive(Debug, Default)]
pub struct HintTable {
    /// Oldest first. Each has sends left.
    own: Vec<OwnRow>,
    /// Sorted by block, without duplicates. At most [`ROWS_MAX`].
    heard: Vec<HeardRow>,
}

impl HintTable {
    /// Notes that this node has sent a prompt of `blocks` to `upstream`.
    pub fn note_placed(&mut self, blocks: &[BlockHash], upstream: &UpstreamId) {
        if let Some(last) = blocks.last() {
            let hint = PlacedHint {
                block: short_block(*last),
                upstream: crate::flight::short_hash(upstream),
            };
            self.own.push(OwnRow { hint, sends_left: HINT_SENDS });
        }
    }

    /// Takes the hints for one heartbeat, newest first.
    pub fn take_batch(&mut self) -> Vec<PlacedHint> {
        let newest = self.own.len().saturating_sub(HINTS_MAX);
        let mut batch = Vec::new();
        for row in &mut self.own[newest..] {
            row.sends_left -= 1;
            batch.push(row.hint);
        }
        // Older ones than fit are told too late to help.
        self.own.drain(..newest);
        self.own.retain(|row| row.sends_left > 0);
        batch
    }

    /// Takes in hints of another node.
    pub fn note_heard(&mut self, hints: &[PlacedHint], now: Instant) {
        for hint in hints {
            let row = HeardRow { hint: *hint, heard_at: now };
            match self.heard.binary_search_by_key(&hint.block, |known| known.hint.block) {
                Ok(at) => self.heard[at] = row,
                Err(at) if self.heard.len() < ROWS_MAX => self.heard.insert(at, row),
                Err(_) => {}
            }
        }
    }

    /// Drops hints that are too old to help.
    pub fn expire(&mut self, now: Instant) {
        self.heard.retain(|row| now.saturating_duration_since(row.heard_at) < HINT_LIFETIME);
    }

    /// Finds the deepest block of a prompt that another node has just sent, and where to.
    #[must_use]
    pub fn find(&self, blocks: &[BlockHash]) -> Option<(usize, u32)> {
        if self.heard.is_empty() {
            return None;
        }
        let tail = blocks.iter().enumerate().rev().take(LOOK_BACK);
        for (index, block) in tail {
            let short = short_block(*block);
            let found = self.heard.binary_search_by_key(&short, |row| row.hint.block);
            if let Ok(at) = found {
                return Some((index + 1, self.heard[at].hint.upstream));
            }
        }
        None
    }
}
