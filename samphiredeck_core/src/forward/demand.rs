//! Work that arrives for each pool, and how many engines it needs.
//!
//! Answers engines of any size: few slots are all taken by answers that are being written, while
//! many are held up by the reading of prompts.

use std::{iter::Sum, ops::Add, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{boot_time::BootTime, forward::placement::PREFILL_TOKENS_PER_MS, ids::PoolName};

/// Time over which work is averaged: the time that an ordered upstream takes to start.
const WORK_TIME: Duration = Duration::from_secs(4);
/// Share of an engine's time that one output token takes, in milliseconds, where slots abound: a
/// step of about 4 ms on the users' sheets, shared by the usual batch of 12.
const OUTPUT_TOKEN_MS: f64 = 0.35;
/// Share of an engine's time that the work may take where slots abound. In runs with reclaims,
/// engines of 64 slots kept the users' targets at 0.97 and missed them for a third of the requests
/// at 1.3.
const WORK_SHARE: f64 = 1.1;
/// Time between two output tokens of one answer, in milliseconds, from the users' sheets (3.8 to
/// 4.3).
const STEP_MS: f64 = 4.1;
/// Share of an engine's slots that the answers being written may take.
const SLOT_SHARE: f64 = 0.6;

/// Work that arrives in a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkRate {
    /// Engine-milliseconds that reading the prompts takes.
    pub reading_ms: f64,
    /// Output tokens.
    pub output_tokens: f64,
}

impl WorkRate {
    /// Work of one request with `unread` prompt tokens and `output` tokens of answer, as if it came
    /// once a second.
    #[must_use]
    pub fn of(unread: u64, output: u64) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "requests have far fewer tokens")]
        let (unread, output) = (unread as f64, output as f64);
        Self { reading_ms: unread / PREFILL_TOKENS_PER_MS, output_tokens: output }
    }

    fn scaled(self, by: f64) -> Self {
        Self { reading_ms: self.reading_ms * by, output_tokens: self.output_tokens * by }
    }

    /// Engines of `slots` slots that this work needs.
    #[must_use]
    pub fn engines(self, slots: u32) -> f64 {
        let by_time = (self.reading_ms + self.output_tokens * OUTPUT_TOKEN_MS) / WORK_SHARE;
        let token_ms = STEP_MS / (f64::from(slots.max(1)) * SLOT_SHARE);
        let by_slots = self.reading_ms + self.output_tokens * token_ms;
        by_time.max(by_slots) / 1_000.0
    }
}

impl Add for WorkRate {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self {
            reading_ms: self.reading_ms + rhs.reading_ms,
            output_tokens: self.output_tokens + rhs.output_tokens,
        }
    }
}

impl Sum for WorkRate {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::default(), Add::add)
    }
}

/// Work that arrived at one node for a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolWork {
    /// Pool that does the work.
    pub pool: PoolName,
    /// Its rate.
    pub rate: WorkRate,
}

/// One row of a [`WorkMeter`].
#[derive(Clone, Debug)]
struct MeterRow {
    pool: PoolName,
    /// Mean up to `at`.
    rate: WorkRate,
    at: BootTime,
}

/// Work that this node was asked for.
#[derive(Clone, Debug, Default)]
pub struct WorkMeter {
    /// Sorted by pool, without duplicates.
    rows: Vec<MeterRow>,
}

impl WorkMeter {
    /// Notes a request for `pool` that means `work`.
    pub fn note(&mut self, pool: &PoolName, work: WorkRate, now: BootTime) {
        let at = match self.rows.binary_search_by(|row| row.pool.cmp(pool)) {
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(
                    at,
                    MeterRow { pool: pool.clone(), rate: WorkRate::default(), at: now },
                );
                at
            }
        };
        let row = &mut self.rows[at];
        let old = row.rate.scaled(fade(now.since(row.at)));
        row.rate = old + work.scaled(1.0 / WORK_TIME.as_secs_f64());
        row.at = now;
    }

    /// Work that arrives for each pool, at `now`.
    #[must_use]
    pub fn rates(&self, now: BootTime) -> Vec<PoolWork> {
        let rate = |row: &MeterRow| row.rate.scaled(fade(now.since(row.at)));
        self.rows.iter().map(|row| PoolWork { pool: row.pool.clone(), rate: rate(row) }).collect()
    }
}

/// Weight of a mean after `passed`.
fn fade(passed: Duration) -> f64 {
    (-passed.as_secs_f64() / WORK_TIME.as_secs_f64()).exp()
}
