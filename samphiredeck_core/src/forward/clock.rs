//! Time of day that the nodes agree on, although single clocks jump.
//!
//! Every node publishes how far its own time of day is from the steady clock of the platform's
//! store. The median over all nodes is not moved by a minority of clocks that jumped.

use std::time::Duration;

use crate::boot_time::BootTime;

/// Difference between a time of day since 1970 and the store's steady clock, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClockOffset(pub i64);

/// Where the store's steady clock stands on this node's own.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    /// Middle of the exchange.
    at: BootTime,
    /// The store's clock then, in milliseconds.
    store_ms: i64,
    /// Half of the exchange's length.
    error: Duration,
}

/// Growth of an old sample's error, so that newer ones take its place in the end.
const DRIFT_PER_SECOND: f64 = 0.0005;

/// The agreed time of day on this node.
#[derive(Clone, Debug, Default)]
pub struct AgreedClock {
    sample: Option<ClockSample>,
    offset: Option<ClockOffset>,
}

impl AgreedClock {
    /// Takes in that the store's clock showed `store_ms` at some moment between the two times.
    pub fn sample(&mut self, sent_at: BootTime, received_at: BootTime, store_ms: u64) {
        let error = received_at.since(sent_at) / 2;
        let at = sent_at + error;
        let old = self.sample.map(|old| old.error + at.since(old.at).mul_f64(DRIFT_PER_SECOND));
        if old.is_none_or(|old| error <= old) {
            let store_ms = i64::try_from(store_ms).unwrap_or(i64::MAX);
            self.sample = Some(ClockSample { at, store_ms, error });
        }
    }

    /// The store's clock at `at`, in milliseconds, once there was a sample.
    #[must_use]
    pub fn store_ms(&self, at: BootTime) -> Option<i64> {
        let sample = self.sample?;
        let after = i64::try_from(at.since(sample.at).as_millis()).unwrap_or(i64::MAX);
        let before = i64::try_from(sample.at.since(at).as_millis()).unwrap_or(i64::MAX);
        Some(sample.store_ms.saturating_add(after).saturating_sub(before))
    }

    /// Offset of this node's time of day, which shows `wall_ms` milliseconds since 1970 at `at`.
    #[must_use]
    pub fn own_offset(&self, at: BootTime, wall_ms: i64) -> Option<ClockOffset> {
        Some(ClockOffset(wall_ms.saturating_sub(self.store_ms(at)?)))
    }

    /// Takes in the offsets that all nodes published.
    pub fn agree(&mut self, mut offsets: Vec<ClockOffset>) {
        offsets.sort_unstable();
        if let Some(median) = offsets.get(offsets.len().saturating_sub(1) / 2) {
            self.offset = Some(*median);
        }
    }

    /// Milliseconds since 1970 at `at`, once there was a sample and an agreement.
    #[must_use]
    pub fn true_ms(&self, at: BootTime) -> Option<i64> {
        Some(self.store_ms(at)?.saturating_add(self.offset?.0))
    }
}
