//! Cluster-wide time of day that tolerates jumps of single nodes' clocks.
//!
//! Every node publishes the offset of its own wall clock from the monotonic clock of the platform's
//! store. The median over all nodes is unaffected by a minority of clocks that jumped.

use std::time::Duration;

use crate::boot_time::BootTime;

/// Offset of a Unix time from the store's monotonic clock, in milliseconds.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct ClockOffset(pub i64);

/// Reading of the store's monotonic clock, mapped to this node's boot time.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    /// Midpoint of the exchange.
    at: BootTime,
    /// The store's clock at that time, in milliseconds.
    store_ms: i64,
    /// Uncertainty: half the round-trip time of the exchange.
    error: Duration,
}

/// Growth of a sample's uncertainty with its age, so that newer samples eventually replace it.
const DRIFT_PER_SECOND: f64 = 0.0005;

/// This node's estimate of the cluster-wide time of day.
#[derive(Clone, Debug, Default)]
pub struct ClusterClock {
    sample: Option<ClockSample>,
    offset: Option<ClockOffset>,
}

impl ClusterClock {
    /// Adds a sample: the store's clock showed `store_ms` at some time between the two given times.
    pub fn add_sample(&mut self, sent_at: BootTime, received_at: BootTime, store_ms: u64) {
        let error = received_at.since(sent_at) / 2;
        let at = sent_at + error;
        let old = self.sample.map(|old| old.error + at.since(old.at).mul_f64(DRIFT_PER_SECOND));
        if old.is_none_or(|old| error <= old) {
            let store_ms = i64::try_from(store_ms).unwrap_or(i64::MAX);
            self.sample = Some(ClockSample { at, store_ms, error });
        }
    }

    /// The store's clock at `at`, in milliseconds. `None` before the first sample.
    #[must_use]
    pub fn store_ms(&self, at: BootTime) -> Option<i64> {
        let sample = self.sample?;
        let after = i64::try_from(at.since(sample.at).as_millis()).unwrap_or(i64::MAX);
        let before = i64::try_from(sample.at.since(at).as_millis()).unwrap_or(i64::MAX);
        Some(sample.store_ms.saturating_add(after).saturating_sub(before))
    }

    /// Offset of this node's wall clock, which shows the Unix time `wall_ms` at `at`.
    #[must_use]
    pub fn own_offset(&self, at: BootTime, wall_ms: i64) -> Option<ClockOffset> {
        Some(ClockOffset(wall_ms.saturating_sub(self.store_ms(at)?)))
    }

    /// Sets the cluster-wide offset to the median of the published `offsets`.
    pub fn update_offset(&mut self, mut offsets: Vec<ClockOffset>) {
        offsets.sort_unstable();
        if let Some(median) = offsets.get(offsets.len().saturating_sub(1) / 2) {
            self.offset = Some(*median);
        }
    }

    /// Cluster-wide offset, if known.
    #[must_use]
    pub fn offset(&self) -> Option<ClockOffset> {
        self.offset
    }

    /// Unix time at `at` in milliseconds. `None` until there is a sample and an offset.
    #[must_use]
    pub fn unix_ms(&self, at: BootTime) -> Option<i64> {
        Some(self.store_ms(at)?.saturating_add(self.offset?.0))
    }
}
