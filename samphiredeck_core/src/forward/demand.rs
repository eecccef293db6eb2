//! Measures the demand for each pool and estimates the number of engines that it needs.
//!
//! Engines with few slots are limited by their slots, which responses in progress occupy. Engines
//! with many slots are limited by the time spent on prefill. Shared prompt parts that no engine has
//! cached, as after a reclaim, count as prefill too.

use std::{iter::Sum, ops::Add, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    boot_time::BootTime, forward::pool_speed::PoolSpeed, ids::PoolName, units::RequestRate,
};

/// Maximum number of tokens that one request adds to the demand. Above the context of common models;
/// callers state their numbers themselves, and an absurd one must not order capacity.
const REQUEST_TOKENS_MAX: u64 = 1_000_000;
/// Time constant of the moving average. Half of the time that an ordered upstream takes to start,
/// so that capacity follows a jump of the load without following single requests.
const AVERAGING_TIME: Duration = Duration::from_secs(2);
/// Share of an engine's slots among which it divides a decoding step, where slots are not the limit.
const DECODE_BATCH_SHARE: f64 = 0.25;
/// Minimum number of responses among which it divides a step.
const DECODE_BATCH_MIN: f64 = 12.0;
/// Maximum utilization of an engine where slots are not the limit. The spare upstreams that are
/// ordered against reclaims keep the real one lower while there is none.
const ENGINE_SHARE_MAX: f64 = 1.0;
/// Maximum share of an engine's slots that responses in progress may occupy. Many nodes place
/// requests without knowing each other's latest ones: above this share, some engines are full while
/// others have room.
const SLOT_SHARE_MAX: f64 = 0.5;

/// Demand per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandRate {
    /// Engine time for prefill, in milliseconds.
    #[serde(rename = "reading_ms")]
    pub prefill_ms: f64,
    /// Output tokens.
    pub output_tokens: f64,
}

impl DemandRate {
    /// Demand of one request per second with `prefill_tokens` prompt tokens to compute and `output`
    /// tokens of response, for engines with `speed`.
    #[must_use]
    pub fn of(prefill_tokens: u64, output: u64, speed: &PoolSpeed) -> Self {
        let (prefill_tokens, output) =
            (prefill_tokens.min(REQUEST_TOKENS_MAX), output.min(REQUEST_TOKENS_MAX));
        #[expect(clippy::cast_precision_loss, reason = "the numbers are bounded")]
        let (prefill_tokens, output) = (prefill_tokens as f64, output as f64);
        Self { prefill_ms: speed.prefill_ms(prefill_tokens), output_tokens: output }
    }

    /// Demand of one usual request per second, for engines with `speed`.
    #[must_use]
    pub fn of_usual(speed: &PoolSpeed) -> Self {
        let prefill_ms = speed.prefill_ms(speed.prompt_tokens());
        Self { prefill_ms, output_tokens: speed.output_tokens() }
    }

    fn scaled(self, factor: f64) -> Self {
        Self { prefill_ms: self.prefill_ms * factor, output_tokens: self.output_tokens * factor }
    }

    /// Number of engines with `slots` slots and `speed` that this demand needs.
    #[must_use]
    pub fn engines_needed(self, slots: u32, speed: &PoolSpeed) -> f64 {
        let interval_ms = speed.token_interval_ms();
        let batch = (f64::from(slots) * DECODE_BATCH_SHARE).max(DECODE_BATCH_MIN);
        let decode_ms = self.output_tokens * interval_ms / batch;
        let by_time = (self.prefill_ms + decode_ms) / ENGINE_SHARE_MAX;
        let token_ms = interval_ms / (f64::from(slots.max(1)) * SLOT_SHARE_MAX);
        let by_slots = self.prefill_ms + self.output_tokens * token_ms;
        by_time.max(by_slots) / 1_000.0
    }
}

/// Part of an engine with `slots` slots and `speed` that is lost while it takes `rate` requests per
/// second at most, from 0 to 1.
#[must_use]
pub fn part_lost_to_limit(rate: RequestRate, slots: u32, speed: &PoolSpeed) -> f64 {
    let worth = rate.per_second() * DemandRate::of_usual(speed).engines_needed(slots, speed);
    1.0 - worth.clamp(0.0, 1.0)
}

impl Add for DemandRate {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self {
            prefill_ms: self.prefill_ms + rhs.prefill_ms,
            output_tokens: self.output_tokens + rhs.output_tokens,
        }
    }
}

impl Sum for DemandRate {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::default(), Add::add)
    }
}

/// Demand for a pool that arrived at one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolDemand {
    /// Pool that serves the demand.
    pub pool: PoolName,
    /// Demand per second.
    pub rate: DemandRate,
}

/// One row of a [`DemandMeter`].
#[derive(Clone, Debug)]
struct PoolMean {
    pool: PoolName,
    /// Moving average up to `at`.
    rate: DemandRate,
    at: BootTime,
}

/// Demand that arrived at this node.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    /// Sorted by pool, without duplicates.
    rows: Vec<PoolMean>,
}

impl DemandMeter {
    /// Records a request for `pool` that adds `demand`.
    pub fn record(&mut self, pool: &PoolName, demand: DemandRate, now: BootTime) {
        let at = match self.rows.binary_search_by(|row| row.pool.cmp(pool)) {
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(
                    at,
                    PoolMean { pool: pool.clone(), rate: DemandRate::default(), at: now },
                );
                at
            }
        };
        let row = &mut self.rows[at];
        let old = row.rate.scaled(decay(now.since(row.at)));
        row.rate = old + demand.scaled(1.0 / AVERAGING_TIME.as_secs_f64());
        row.at = now;
    }

    /// Demand for each pool at `now`.
    #[must_use]
    pub fn rates(&self, now: BootTime) -> Vec<PoolDemand> {
        let rate = |row: &PoolMean| row.rate.scaled(decay(now.since(row.at)));
        self.rows.iter().map(|row| PoolDemand { pool: row.pool.clone(), rate: rate(row) }).collect()
    }
}

/// Weight of a moving average after `passed`.
fn decay(passed: Duration) -> f64 {
    (-passed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp()
}
