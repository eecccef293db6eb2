//! How fast each upstream of a pool works compared with the others, as nodes learn it together.
//!
//! Answers pools whose upstreams run on unequal or shared hardware. A node sees few responses of one upstream, so nodes
//! tell each other what they measured. They tell absolute times: a ratio to a node's own mean would depend on which
//! upstreams that node uses.
//!
//! The time between two events of a stream is measured, since neither the queue nor the prompt is part of it. It is
//! averaged over logarithms, so that one absurd value moves the mean by no more than a bounded step.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    boot_time::BootTime,
    forward::upstreams::{UpstreamRegistry, tracked::TrackedUpstream},
    ids::{PoolName, UpstreamId},
};

/// Minimum number of events of a response that measures its upstream.
pub const EVENTS_MIN: u32 = 4;
/// Samples for which the mean of the pool counts as long as an upstream has few of its own.
const PRIOR_SAMPLES: f64 = 3.0;
/// Maximum number of samples that the mean of an upstream stands for. Later ones replace the oldest.
const SAMPLES_MAX: f64 = 24.0;
/// Maximum distance of a sample from the mean, as a natural logarithm: a factor of 3.
const DEVIATION_MAX: f64 = 1.1;
/// Range of plausible times between two events, in milliseconds.
const INTERVAL_RANGE_MS: (f64, f64) = (0.1, 60_000.0);
/// Range of the factor by which an upstream is taken to be slower or faster than its pool.
const FACTOR_RANGE: (f64, f64) = (0.25, 4.0);
/// Minimum number of upstreams with samples for comparing them.
const MEASURED_MIN: usize = 3;
/// Share of the weight that a mean keeps when another node tells it.
const SHARED_WEIGHT: f64 = 0.5;
/// Time over which a statement about the pace of a machine loses its weight. It changes many times in a second.
const PACE_LIFETIME: Duration = Duration::from_millis(400);
/// Time after which what was measured has lost half of its weight.
const WEIGHT_HALF_LIFE: Duration = Duration::from_secs(20);

/// Mean time between two events of the streams of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamSpeed {
    /// Mean of the natural logarithms of the times in milliseconds.
    log_interval: f64,
    /// Number of samples that the mean stands for at `at`. Zero to [`SAMPLES_MAX`].
    samples: f64,
    at: BootTime,
    /// Factor that the upstream stated last, and when.
    pace: Option<(f64, BootTime)>,
}

impl UpstreamSpeed {
    /// Records that the upstream has stated at `now` that work takes `factor` times as long as usual.
    pub fn record_pace(&mut self, factor: f64, now: BootTime) {
        self.pace = Some((factor, now));
    }

    /// Factor by which work takes longer at `now` than usually on this machine, as far as its statement still holds.
    fn current_pace(&self, now: BootTime) -> f64 {
        let Some((factor, at)) = self.pace else { return 1.0 };
        let age = now.since(at).as_secs_f64() / PACE_LIFETIME.as_secs_f64();
        1.0 + (factor - 1.0) * (1.0 - age).clamp(0.0, 1.0)
    }

    /// Records the mean time between the events of one response at `now`, given that of the pool.
    pub fn record(&mut self, interval: Duration, pool: &PoolPace, now: BootTime) {
        let interval_ms = interval.as_secs_f64() * 1_000.0;
        let (min, max) = INTERVAL_RANGE_MS;
        if !(min..=max).contains(&interval_ms) {
            return;
        }
        self.add((interval_ms.ln(), 1.0), pool, now);
    }

    /// Adds a mean that stands for `samples` samples. Values far from the known mean, or from that of the pool as long as
    /// there is none, are moved towards it: one absurd first sample would take dozens of others to make up for.
    fn add(&mut self, (log_interval, samples): (f64, f64), pool: &PoolPace, now: BootTime) {
        let known = self.weight(now);
        let mean = if known < 1.0 { pool.log_interval } else { Some(self.log_interval) };
        let range = DEVIATION_MAX;
        let value =
            mean.map_or(log_interval, |mean| log_interval.clamp(mean - range, mean + range));
        let total = known + samples;
        self.log_interval = (self.log_interval * known + value * samples) / total;
        self.samples = total.min(SAMPLES_MAX);
        self.at = now;
    }

    /// Number of samples that the mean stands for at `now`.
    fn weight(&self, now: BootTime) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / WEIGHT_HALF_LIFE.as_secs_f64();
        self.samples * 0.5_f64.powf(half_lives)
    }
}

/// What a node tells others about the speed of an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SharedSpeed {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Start time of the upstream in Unix milliseconds, if known.
    pub started_ms: Option<u64>,
    /// Mean time between two events in microseconds.
    pub interval_us: u32,
    /// Number of samples that the mean stands for.
    pub samples: u16,
}

/// Speeds of the upstreams of one pool, compared with each other.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolPace {
    /// Mean of the logarithms over the upstreams with samples. `None` if they are too few.
    log_interval: Option<f64>,
}

impl PoolPace {
    /// Pace of `pool` at `now`.
    #[must_use]
    pub fn of(registry: &UpstreamRegistry, pool: &PoolName, now: BootTime) -> Self {
        if !registry.is_exchanged() {
            return Self::default();
        }
        let rows = registry.rows().iter().filter(|row| row.entry.pool == *pool);
        let known = rows.filter(|row| row.speed.weight(now) >= 1.0 && row.is_accepting(now));
        let (count, sum) = known
            .fold((0_usize, 0.0), |(count, sum), row| (count + 1, sum + row.speed.log_interval));
        #[expect(clippy::cast_precision_loss, reason = "a pool has far fewer upstreams")]
        let mean = (count >= MEASURED_MIN).then(|| sum / count as f64);
        Self { log_interval: mean }
    }

    /// Factor by which work takes longer at the upstream of `row` than at a usual one of the pool. 1 if nothing is known.
    #[must_use]
    pub fn time_factor(&self, row: &TrackedUpstream, now: BootTime) -> f64 {
        let weight = row.speed.weight(now);
        let (min, max) = FACTOR_RANGE;
        let deviation = self.log_interval.map_or(0.0, |mean| row.speed.log_interval - mean);
        // The first samples of a pool are compared with nothing when they are recorded.
        let deviation = deviation.clamp(min.ln(), max.ln());
        let learned = (deviation * weight / (weight + PRIOR_SAMPLES)).exp();
        (learned * row.speed.current_pace(now)).clamp(min, max)
    }
}

impl UpstreamRegistry {
    /// Records the mean time between the events of a complete response of `id`, started at `started_ms`.
    pub fn record_event_interval(
        &mut self,
        id: &UpstreamId,
        started_ms: Option<u64>,
        interval: Duration,
        now: BootTime,
    ) {
        let Some(pace) = self.pace_of(id, now) else { return };
        let row = self.find_mut(id).filter(|row| row.entry.started_ms == started_ms);
        if let Some(row) = row {
            row.speed.record(interval, &pace, now);
        }
    }

    /// Pace of the pool of `id`.
    fn pace_of(&self, id: &UpstreamId, now: BootTime) -> Option<PoolPace> {
        self.find(id).map(|row| PoolPace::of(self, &row.entry.pool, now))
    }

    /// Upstreams whose speed is known, with what to tell others about it, best known first.
    #[must_use]
    pub fn share_speeds(&self, now: BootTime) -> Vec<SharedSpeed> {
        let known = self.rows().iter().filter(|row| row.speed.weight(now) >= 1.0);
        let mut known: Vec<&TrackedUpstream> = known.collect();
        known.sort_by(|a, b| b.speed.weight(now).total_cmp(&a.speed.weight(now)));
        let share = |row: &TrackedUpstream| {
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "both are positive and bounded"
            )]
            let (interval_us, samples) = (
                (row.speed.log_interval.exp() * 1_000.0) as u32,
                (row.speed.weight(now) * SHARED_WEIGHT).ceil() as u16,
            );
            let (upstream, started_ms) = (row.entry.id.clone(), row.entry.started_ms);
            SharedSpeed { upstream, started_ms, interval_us, samples }
        };
        known.into_iter().map(share).collect()
    }

    /// Applies what another node tells. Ignores absurd values and other starts of the upstream. Returns whether it was
    /// applied.
    pub fn apply_speed(&mut self, shared: &SharedSpeed, now: BootTime) -> bool {
        let interval_ms = f64::from(shared.interval_us) / 1_000.0;
        let (min, max) = INTERVAL_RANGE_MS;
        let samples = f64::from(shared.samples).min(SAMPLES_MAX * SHARED_WEIGHT);
        if !(min..=max).contains(&interval_ms) || samples < 1.0 {
            return false;
        }
        let Some(pace) = self.pace_of(&shared.upstream, now) else { return false };
        let row = self.find_mut(&shared.upstream);
        let Some(row) = row.filter(|row| row.entry.started_ms == shared.started_ms) else {
            return false;
        };
        row.speed.add((interval_ms.ln(), samples), &pace, now);
        true
    }
}
