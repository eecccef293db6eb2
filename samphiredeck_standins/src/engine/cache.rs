//! Prefix cache of limited memory, with events that come late and with gaps.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use samphiredeck_core::{engine_api::CacheEvent, prefix::BlockHash};

/// Most events that are kept.
const EVENTS_MAX: usize = 8_192;

/// Blocks that are held, least recently used first to go.
#[derive(Debug)]
pub(super) struct BlockCache {
    capacity: usize,
    /// Sorted by block, with the number of the last use.
    blocks: Vec<(BlockHash, u64)>,
    uses: u64,
    /// Number of the first event in `events`.
    first_event: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    gap_permille: u32,
}

impl BlockCache {
    pub(super) fn new(capacity: usize, gap_permille: u32) -> Self {
        Self {
            capacity,
            blocks: Vec::new(),
            uses: 0,
            first_event: 0,
            events: VecDeque::new(),
            gap_permille,
        }
    }

    /// Counts the leading blocks that are held, and marks them as used.
    pub(super) fn touch(&mut self, blocks: &[BlockHash]) -> usize {
        let held = |block: &BlockHash| self.blocks.binary_search_by_key(block, |row| row.0);
        let depth = blocks.iter().take_while(|block| held(block).is_ok()).count();
        self.mark_used(&blocks[..depth]);
        depth
    }

    /// Marks blocks as used, the first one as the last, so that ends of prompts go first.
    fn mark_used(&mut self, blocks: &[BlockHash]) {
        for block in blocks.iter().rev() {
            self.uses += 1;
            if let Ok(at) = self.blocks.binary_search_by_key(block, |row| row.0) {
                self.blocks[at].1 = self.uses;
            }
        }
    }

    /// Holds `blocks`, and lets go of others where there is no room.
    pub(super) fn insert(&mut self, blocks: &[BlockHash], now: Instant) {
        for block in blocks {
            if let Err(at) = self.blocks.binary_search_by_key(block, |row| row.0) {
                self.blocks.insert(at, (*block, 0));
                self.note(CacheEvent::Stored { block: *block }, now);
            }
        }
        self.mark_used(blocks);
        let excess = self.blocks.len().saturating_sub(self.capacity);
        if excess == 0 {
            return;
        }
        let mut by_use: Vec<u64> = self.blocks.iter().map(|row| row.1).collect();
        by_use.sort_unstable();
        let oldest_kept = by_use[excess];
        let (gone, kept) = self.blocks.iter().partition(|row| row.1 < oldest_kept);
        self.blocks = kept;
        let gone: Vec<(BlockHash, u64)> = gone;
        for (block, _) in gone {
            self.note(CacheEvent::Evicted { block }, now);
        }
    }

    fn note(&mut self, change: CacheEvent, now: Instant) {
        self.events.push_back((now, change));
        let gap = rand::random_range(0..1_000) < self.gap_permille;
        let keep = if gap { self.events.len() / 2 } else { EVENTS_MAX };
        while self.events.len() > keep {
            self.events.pop_front();
            self.first_event += 1;
        }
    }

    /// Lists the events from number `from` on that are at least `lag` old.
    pub(super) fn events(&self, from: u64, lag: Duration, now: Instant) -> (u64, Vec<CacheEvent>) {
        let skip = usize::try_from(from.saturating_sub(self.first_event)).unwrap_or(usize::MAX);
        let old = |row: &&(Instant, CacheEvent)| now.duration_since(row.0) >= lag;
        let rows = self.events.iter().skip(skip).take_while(old);
        (self.first_event.max(from), rows.map(|row| row.1.clone()).collect())
    }
}
