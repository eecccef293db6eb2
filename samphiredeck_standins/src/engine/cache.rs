//! Prefix cache of limited size. Its events are reported late and with gaps.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use samphiredeck_core::{engine_api::CacheEvent, prefix::BlockHash};

/// Maximum number of stored events.
const MAX_EVENTS: usize = 8_192;

/// Cached blocks with least-recently-used eviction.
#[derive(Debug)]
pub(super) struct BlockCache {
    capacity: usize,
    /// Cached blocks with the sequence number of their last use, sorted by block.
    blocks: Vec<(BlockHash, u64)>,
    use_counter: u64,
    /// Sequence number of the first event in `events`.
    first_event: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    /// Share of events in permille after which the older half of the events is lost.
    gap_permille: u32,
}

impl BlockCache {
    pub(super) fn new(capacity: usize, gap_permille: u32) -> Self {
        Self {
            capacity,
            blocks: Vec::new(),
            use_counter: 0,
            first_event: 0,
            events: VecDeque::new(),
            gap_permille,
        }
    }

    /// Counts the leading blocks that are cached, and marks them as used.
    pub(super) fn touch(&mut self, blocks: &[BlockHash]) -> usize {
        let is_cached = |block: &BlockHash| self.blocks.binary_search_by_key(block, |row| row.0);
        let depth = blocks.iter().take_while(|block| is_cached(block).is_ok()).count();
        self.mark_used(&blocks[..depth]);
        depth
    }

    /// Marks blocks as used, from the last to the first, so that the ends of prompts are evicted
    /// before their beginnings.
    fn mark_used(&mut self, blocks: &[BlockHash]) {
        for block in blocks.iter().rev() {
            self.use_counter += 1;
            if let Ok(at) = self.blocks.binary_search_by_key(block, |row| row.0) {
                self.blocks[at].1 = self.use_counter;
            }
        }
    }

    /// Caches `blocks` and evicts the least recently used ones beyond the capacity.
    pub(super) fn insert(&mut self, blocks: &[BlockHash], now: Instant) {
        for block in blocks {
            if let Err(at) = self.blocks.binary_search_by_key(block, |row| row.0) {
                self.blocks.insert(at, (*block, 0));
                self.record_event(CacheEvent::Stored { block: *block }, now);
            }
        }
        self.mark_used(blocks);
        let excess = self.blocks.len().saturating_sub(self.capacity);
        if excess == 0 {
            return;
        }
        let mut last_uses: Vec<u64> = self.blocks.iter().map(|row| row.1).collect();
        last_uses.sort_unstable();
        let oldest_kept = last_uses[excess];
        let (evicted, kept) = self.blocks.iter().partition(|row| row.1 < oldest_kept);
        self.blocks = kept;
        let evicted: Vec<(BlockHash, u64)> = evicted;
        for (block, _) in evicted {
            self.record_event(CacheEvent::Evicted { block }, now);
        }
    }

    fn record_event(&mut self, event: CacheEvent, now: Instant) {
        self.events.push_back((now, event));
        let loses_events = rand::random_range(0..1_000) < self.gap_permille;
        let retained = if loses_events { self.events.len() / 2 } else { MAX_EVENTS };
        while self.events.len() > retained {
            self.events.pop_front();
            self.first_event += 1;
        }
    }

    /// Returns the events from sequence number `from` that are at least `lag` old, with the number
    /// of the first one.
    pub(super) fn events(&self, from: u64, lag: Duration, now: Instant) -> (u64, Vec<CacheEvent>) {
        let skip = usize::try_from(from.saturating_sub(self.first_event)).unwrap_or(usize::MAX);
        let old = |row: &&(Instant, CacheEvent)| now.duration_since(row.0) >= lag;
        let rows = self.events.iter().skip(skip).take_while(old);
        (self.first_event.max(from), rows.map(|row| row.1.clone()).collect())
    }
}
