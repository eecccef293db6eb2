//! Work that arrives for each pool, for the choice of how many upstreams are ordered.

use std::time::Duration;

use crate::{
    boot_time::BootTime,
    forward::{members::PoolWork, placing::PREFILL_TOKENS_PER_MS},
    ids::PoolName,
};

/// Time over which work is averaged: the time that an ordered upstream takes to start.
const WORK_TIME: Duration = Duration::from_secs(4);
/// Share of an engine's time that one output token takes, in milliseconds: a step of about 4 ms
/// on the users' sheets, shared by a batch of 12.
const OUTPUT_TOKEN_MS: f64 = 0.35;

/// Work of one request at an engine, in upstream-milliseconds.
#[must_use]
pub fn engine_work(unread: u64, output: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "requests have far fewer tokens")]
    let (unread, output) = (unread as f64, output as f64);
    unread / PREFILL_TOKENS_PER_MS + output * OUTPUT_TOKEN_MS
}

/// One row of a [`WorkMeter`].
#[derive(Clone, Debug)]
struct MeterRow {
    pool: PoolName,
    /// Mean upstream-milliseconds a second up to `at`.
    rate: f64,
    at: BootTime,
}

/// Work that this node was asked for.
#[derive(Clone, Debug, Default)]
pub struct WorkMeter {
    /// Sorted by pool, without duplicates.
    rows: Vec<MeterRow>,
}

impl WorkMeter {
    /// Notes a request for `pool` that means `work` upstream-milliseconds.
    pub fn note(&mut self, pool: &PoolName, work: f64, now: BootTime) {
        let at = match self.rows.binary_search_by(|row| row.pool.cmp(pool)) {
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(at, MeterRow { pool: pool.clone(), rate: 0.0, at: now });
                at
            }
        };
        let row = &mut self.rows[at];
        row.rate = row.rate * fade(now.since(row.at)) + work / WORK_TIME.as_secs_f64();
        row.at = now;
    }

    /// Work that arrives for each pool, at `now`.
    #[must_use]
    pub fn rates(&self, now: BootTime) -> Vec<PoolWork> {
        let rate = |row: &MeterRow| row.rate * fade(now.since(row.at));
        self.rows.iter().map(|row| PoolWork { pool: row.pool.clone(), rate: rate(row) }).collect()
    }
}

/// Weight of a mean after `passed`.
fn fade(passed: Duration) -> f64 {
    (-passed.as_secs_f64() / WORK_TIME.as_secs_f64()).exp()
}
