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
pub const BLOCKS_MAX: usize = 512;
/// Time after which what was known before a gap in the events is dropped.
const DOUBT_LIFETIME: Duration = Duration::from_secs(20);
/// Most blocks that are known of one upstream.
const BLOCKS_PER_UPSTREAM: usize = 16_384;
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

/// Blocks that one upstream holds.
#[derive(Clone, Debug)]
struct HolderRow {
    upstream: UpstreamId,
    /// Sorted by block, without duplicates, each with the time at which it was last confirmed.
    /// At most [`BLOCKS_PER_UPSTREAM`].
    blocks: Vec<(BlockHash, Instant)>,
}

/// Which upstreams hold which blocks, as far as events and own sends tell.
#[derive(Debug, Default)]
pub struct PrefixTable {
    /// Sorted by upstream, without duplicates.
    rows: Vec<HolderRow>,
}

impl PrefixTable {
    fn row(&self, upstream: &UpstreamId) -> Option<&HolderRow> {
        let at = self.rows.binary_search_by(|row| row.upstream.cmp(upstream)).ok()?;
        Some(&self.rows[at])
    }

    fn row_mut(&mut self, upstream: &UpstreamId) -> &mut HolderRow {
        let at = match self.rows.binary_search_by(|row| row.upstream.cmp(upstream)) {
            Ok(at) => at,
            Err(at) => {
                let row = HolderRow { upstream: upstream.clone(), blocks: Vec::new() };
                self.rows.insert(at, row);
                at
            }
        };
        &mut self.rows[at]
    }

    /// Notes that `upstream` holds `blocks` as of `now`.
    pub fn insert(&mut self, blocks: &[BlockHash], upstream: &UpstreamId, now: Instant) {
        let held = &mut self.row_mut(upstream).blocks;
        let mut fresh = Vec::new();
        for block in blocks {
            match held.binary_search_by_key(block, |row| row.0) {
                Ok(at) => held[at].1 = now,
                Err(_) => fresh.push((*block, now)),
            }
        }
        if fresh.is_empty() || held.len() + fresh.len() > BLOCKS_PER_UPSTREAM {
            return;
        }
        // One sort for all is cheaper than moving the tail for each.
        held.append(&mut fresh);
        held.sort_unstable_by_key(|row| row.0);
        held.dedup_by_key(|row| row.0);
    }

    /// Notes that `upstream` has dropped `blocks`.
    pub fn remove(&mut self, blocks: &[BlockHash], upstream: &UpstreamId) {
        if blocks.is_empty() {
            return;
        }
        let mut gone = blocks.to_vec();
        gone.sort_unstable();
        let held = &mut self.row_mut(upstream).blocks;
        held.retain(|(block, _)| gone.binary_search(block).is_err());
    }

    /// Lets what is known of `upstream` grow old after a gap in its events.
    ///
    /// Most of it is still there, and a wrong guess costs one prompt; knowing nothing costs many.
    pub fn doubt(&mut self, upstream: &UpstreamId, now: Instant) {
        let aged = now.checked_sub(GUESS_LIFETIME.saturating_sub(DOUBT_LIFETIME)).unwrap_or(now);
        for (_, at) in &mut self.row_mut(upstream).blocks {
            *at = aged.min(*at);
        }
    }

    /// Drops all that is known of `upstream`, as when it leaves.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.rows.retain(|row| row.upstream != *upstream);
    }

    /// Drops blocks that nothing has confirmed for long.
    pub fn expire(&mut self, now: Instant) {
        for row in &mut self.rows {
            row.blocks.retain(|(_, at)| now.saturating_duration_since(*at) < GUESS_LIFETIME);
        }
        self.rows.retain(|row| !row.blocks.is_empty());
    }

    /// Counts the leading blocks of `blocks` that `upstream` holds.
    ///
    /// A cache lets go of the ends of prompts first, so the depth is found by halving.
    #[must_use]
    pub fn depth(&self, blocks: &[BlockHash], upstream: &UpstreamId) -> usize {
        let Some(row) = self.row(upstream) else { return 0 };
        blocks
            .partition_point(|block| row.blocks.binary_search_by_key(block, |held| held.0).is_ok())
    }

    /// Counts the blocks over all upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.iter().map(|row| row.blocks.len()).sum()
    }

    /// Whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
