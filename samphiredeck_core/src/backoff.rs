//! Pauses that grow with each failure.

use std::time::Duration;

/// Growing pause with jitter.
#[derive(Clone, Debug)]
pub struct BackoffState {
    first: Duration,
    longest: Duration,
    failures: u32,
}

impl BackoffState {
    /// Starts with pauses from `first` up to `longest`.
    #[must_use]
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self { first, longest, failures: 0 }
    }

    /// Returns to the first pause.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the pause after one more failure. `noise` is uniform in 0 to 1.
    pub fn next_pause(&mut self, noise: f64) -> Duration {
        let full = self.first.saturating_mul(1 << self.failures.min(16)).min(self.longest);
        self.failures = self.failures.saturating_add(1);
        full.mul_f64(0.5 + noise.clamp(0.0, 1.0) / 2.0)
    }

    /// Number of failures since the last success.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
