//! Prefix cache of limited memory, with events that come late and with gaps.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use samphiredeck_core::{engine_api::CacheChange, prefix::BlockHash};

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
    events: VecDeque<(Instant, CacheChange)>,
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
        let mut depth = 0;
        for block in blocks {
            let Ok(at) = self.blocks.binary_search_by_key(block, |row| row.0) else { break };
            self.uses += 1;
            self.blocks[at].1 = self.uses;
            depth += 1;
        }
        depth
    }

    /// Holds `blocks`, and lets go of others where there is no room.
    pub(super) fn insert(&mut self, blocks: &[BlockHash], now: Instant) {
        for block in blocks {
            self.uses += 1;
            match self.blocks.binary_search_by_key(block, |row| row.0) {
                Ok(at) => self.blocks[at].1 = self.uses,
                Err(at) => {
                    self.blocks.insert(at, (*block, self.uses));
                    self.note(CacheChange::Stored { block: *block }, now);
                }
            }
        }
        while self.blocks.len() > self.capacity {
            let oldest = self.blocks.iter().enumerate().min_by_key(|(_, row)| row.1);
            let Some((at, _)) = oldest else { break };
            let (block, _) = self.blocks.remove(at);
            self.note(CacheChange::Evicted { block }, now);
        }
    }

    fn note(&mut self, change: CacheChange, now: Instant) {
        self.events.push_back((now, change));
        let gap = rand::random_range(0..1_000) < self.gap_permille;
        let keep = if gap { self.events.len() / 2 } else { EVENTS_MAX };
        while self.events.len() > keep {
            self.events.pop_front();
            self.first_event += 1;
        }
    }

    /// Lists the events from number `from` on that are at least `lag` old.
    pub(super) fn events(&self, from: u64, lag: Duration, now: Instant) -> (u64, Vec<CacheChange>) {
        let skip = usize::try_from(from.saturating_sub(self.first_event)).unwrap_or(usize::MAX);
        let old = |row: &&(Instant, CacheChange)| now.duration_since(row.0) >= lag;
        let rows = self.events.iter().skip(skip).take_while(old);
        (self.first_event.max(from), rows.map(|row| row.1.clone()).collect())
    }
}
