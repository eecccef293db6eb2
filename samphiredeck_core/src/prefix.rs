//! Prompt prefixes, split into hashed blocks, and the upstreams that hold them in cache.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::UpstreamId;

/// Bytes of prompt text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens of one cache block.
pub const BLOCK_TOKENS: usize = 32;
/// Maximum number of blocks of one prompt that are used for routing.
pub const BLOCKS_MAX: usize = 512;
/// Time after which blocks that were known before a gap in the cache events are dropped.
const UNCERTAIN_LIFETIME: Duration = Duration::from_secs(20);
/// Maximum number of known blocks of one upstream.
const BLOCKS_PER_UPSTREAM_MAX: usize = 16_384;
/// Time after which a block that neither a cache event nor a send has confirmed is dropped.
const UNCONFIRMED_LIFETIME: Duration = Duration::from_secs(120);

/// Hash of a prompt's prefix up to and including one block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BlockHash(pub u64);

/// Splits `prompt` into blocks and hashes them. Each hash covers the model name and all blocks
/// before it. A partial block at the end is left out.
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

/// Estimates the number of tokens of `prompt` from its length.
#[must_use]
pub fn count_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Cached blocks of one upstream.
#[derive(Clone, Debug)]
struct UpstreamBlocks {
    upstream: UpstreamId,
    /// Sorted by block, without duplicates, each with the time of its last confirmation.
    /// At most [`BLOCKS_PER_UPSTREAM_MAX`].
    blocks: Vec<(BlockHash, Instant)>,
}

/// Cached blocks by upstream, according to cache events and this node's own sends.
#[derive(Debug, Default)]
pub struct PrefixTable {
    /// Sorted by upstream, without duplicates.
    rows: Vec<UpstreamBlocks>,
}

impl PrefixTable {
    fn row(&self, upstream: &UpstreamId) -> Option<&UpstreamBlocks> {
        let at = self.rows.binary_search_by(|row| row.upstream.cmp(upstream)).ok()?;
        Some(&self.rows[at])
    }

    fn row_mut(&mut self, upstream: &UpstreamId) -> &mut UpstreamBlocks {
        let at = match self.rows.binary_search_by(|row| row.upstream.cmp(upstream)) {
            Ok(at) => at,
            Err(at) => {
                let row = UpstreamBlocks { upstream: upstream.clone(), blocks: Vec::new() };
                self.rows.insert(at, row);
                at
            }
        };
        &mut self.rows[at]
    }

    /// Records that `upstream` holds `blocks` as of `now`.
    pub fn insert(&mut self, blocks: &[BlockHash], upstream: &UpstreamId, now: Instant) {
        let held = &mut self.row_mut(upstream).blocks;
        let mut added = Vec::new();
        for block in blocks {
            match held.binary_search_by_key(block, |row| row.0) {
                Ok(at) => held[at].1 = now,
                Err(_) => added.push((*block, now)),
            }
        }
        if added.is_empty() || held.len() + added.len() > BLOCKS_PER_UPSTREAM_MAX {
            return;
        }
        // Appending and sorting once is cheaper than an insertion for each block.
        held.append(&mut added);
        held.sort_unstable_by_key(|row| row.0);
        held.dedup_by_key(|row| row.0);
    }

    /// Records that `upstream` has evicted `blocks`.
    pub fn remove(&mut self, blocks: &[BlockHash], upstream: &UpstreamId) {
        if blocks.is_empty() {
            return;
        }
        let mut evicted = blocks.to_vec();
        evicted.sort_unstable();
        let held = &mut self.row_mut(upstream).blocks;
        held.retain(|(block, _)| evicted.binary_search(block).is_err());
    }

    /// Shortens the remaining lifetime of all known blocks of `upstream` after a gap in its events.
    ///
    /// Most of the blocks are still cached. A wrong entry costs one prefill, whereas dropping all
    /// of them would cost many.
    pub fn mark_uncertain(&mut self, upstream: &UpstreamId, now: Instant) {
        let aged =
            now.checked_sub(UNCONFIRMED_LIFETIME.saturating_sub(UNCERTAIN_LIFETIME)).unwrap_or(now);
        for (_, at) in &mut self.row_mut(upstream).blocks {
            *at = aged.min(*at);
        }
    }

    /// Drops all blocks of `upstream`, for example when it leaves.
    pub fn remove_upstream(&mut self, upstream: &UpstreamId) {
        self.rows.retain(|row| row.upstream != *upstream);
    }

    /// Drops blocks that have not been confirmed within their lifetime.
    pub fn expire(&mut self, now: Instant) {
        for row in &mut self.rows {
            row.blocks.retain(|(_, at)| now.saturating_duration_since(*at) < UNCONFIRMED_LIFETIME);
        }
        self.rows.retain(|row| !row.blocks.is_empty());
    }

    /// Returns the number of leading blocks of `blocks` that `upstream` holds.
    ///
    /// Caches evict the ends of prompts first, so the depth is found by binary search.
    #[must_use]
    pub fn cached_depth(&self, blocks: &[BlockHash], upstream: &UpstreamId) -> usize {
        let Some(row) = self.row(upstream) else { return 0 };
        blocks
            .partition_point(|block| row.blocks.binary_search_by_key(block, |held| held.0).is_ok())
    }

    /// Returns the number of known blocks over all upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.iter().map(|row| row.blocks.len()).sum()
    }

    /// Whether no blocks are known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
