//! Exponential backoff with jitter.

use std::time::Duration;

/// Exponential backoff of one operation.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose delays grow from `initial` to `max`.
    #[must_use]
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self { initial, max, failures: 0 }
    }

    /// Resets the delay to its initial value, after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts one more failure and returns the delay before the next attempt, between half of the
    /// full delay and all of it. `jitter` is uniform in 0 to 1.
    pub fn next_delay(&mut self, jitter: f64) -> Duration {
        let full = self.initial.saturating_mul(1 << self.failures.min(16)).min(self.max);
        self.failures = self.failures.saturating_add(1);
        full.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0)
    }

    /// Number of failures since the last success.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
