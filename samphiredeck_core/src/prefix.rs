//! Leading blocks of prompts and which upstreams hold them in cache.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::UpstreamId;

/// Bytes of prompt text that one token stands for.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens of one cache block.
pub const BLOCK_TOKENS: usize = 32;
/// Most blocks of one prompt that take part in routing.
pub const BLOCKS_MAX: usize = 64;
/// Most rows of a [`PrefixTable`].
const ROWS_MAX: usize = 65_536;
/// Time after which a guess that no cache event has confirmed is dropped.
const GUESS_LIFETIME: Duration = Duration::from_secs(120);

/// Hash over a prompt's leading blocks up to and including one block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BlockHash(pub u64);

/// Splits `prompt` of a model into blocks, each hash covering all blocks before it.
#[must_use]
pub fn hash_blocks(model: &str, prompt: &str) -> Vec<BlockHash> {
    let mut seed = xxh3_64_with_seed(model.as_bytes(), 0);
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_TOKENS * BYTES_PER_TOKEN).take(BLOCKS_MAX);
    blocks
        .map(|block| {
            seed = xxh3_64_with_seed(block, seed);
            BlockHash(seed)
        })
        .collect()
}

/// Counts the tokens of `prompt`.
#[must_use]
pub fn count_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// One block at one upstream.
#[derive(Clone, Debug)]
struct PrefixRow {
    block: BlockHash,
    upstream: UpstreamId,
    seen_at: Instant,
}

/// Which upstreams hold which blocks, as far as events and own sends tell.
#[derive(Debug, Default)]
pub struct PrefixTable {
    /// Sorted by block and upstream, without duplicates. At most [`ROWS_MAX`] rows.
    rows: Vec<PrefixRow>,
}

impl PrefixTable {
    /// Notes that `upstream` holds `blocks` as of `now`.
    pub fn insert(&mut self, blocks: &[BlockHash], upstream: &UpstreamId, now: Instant) {
        for block in blocks {
            match self.position(*block, upstream) {
                Ok(at) => self.rows[at].seen_at = now,
                Err(at) if self.rows.len() < ROWS_MAX => {
                    let row = PrefixRow { block: *block, upstream: upstream.clone(), seen_at: now };
                    self.rows.insert(at, row);
                }
                Err(_) => return,
            }
        }
    }

    /// Notes that `upstream` has dropped `block`.
    pub fn remove(&mut self, block: BlockHash, upstream: &UpstreamId) {
        if let Ok(at) = self.position(block, upstream) {
            self.rows.remove(at);
        }
    }

    /// Drops all that is known of `upstream`, as after a gap in its events.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.rows.retain(|row| row.upstream != *upstream);
    }

    /// Drops rows that nothing has confirmed for long.
    pub fn expire(&mut self, now: Instant) {
        self.rows.retain(|row| now.saturating_duration_since(row.seen_at) < GUESS_LIFETIME);
    }

    /// Counts the leading blocks of `blocks` that `upstream` holds.
    #[must_use]
    pub fn depth(&self, blocks: &[BlockHash], upstream: &UpstreamId) -> usize {
        // The hash of a block covers all blocks before it, so a binary search over depth would
        // do, but evictions leave holes; the deepest block present counts.
        blocks
            .iter()
            .rposition(|block| self.position(*block, upstream).is_ok())
            .map_or(0, |at| at + 1)
    }

    /// Counts the rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn position(&self, block: BlockHash, upstream: &UpstreamId) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.block.cmp(&block).then_with(|| row.upstream.cmp(upstream)))
    }
}
