//! Deadline-based load shedding.
//!
//! When a pool is at capacity, requests that cannot be answered before their deadline are refused
//! at once, before they run. Refused callers get retry delays that spread their return.

use std::time::Duration;

/// Minimum retry delay reported to a refused caller. Upstreams are chosen anew by then.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(150);
/// Maximum retry delay as a share of the caller's remaining time, which leaves time for a second
/// attempt.
const RETRY_AFTER_SHARE: f64 = 0.25;
/// Share of the caller's remaining time that the expected wait may take. The rest is for the
/// response itself and for estimation errors.
const WAIT_SHARE: f64 = 0.7;

/// Whether a request with `remaining` until its deadline can be answered if the first sign of a
/// response is expected after `expected`.
#[must_use]
pub fn fits_deadline(expected: Duration, remaining: Duration) -> bool {
    expected <= remaining.mul_f64(WAIT_SHARE)
}

/// Retry delay for a refused caller: the wait that exceeded its deadline, limited to a share of its
/// remaining time that leaves time for a second attempt. `jitter` is uniform in 0 to 1 and spreads
/// callers that were refused at the same time.
#[must_use]
pub fn retry_after(excess: Duration, remaining: Duration, jitter: f64) -> Duration {
    let max_delay = remaining.mul_f64(RETRY_AFTER_SHARE).max(RETRY_AFTER_MIN);
    let delay = (RETRY_AFTER_MIN + excess).min(max_delay);
    delay.mul_f64(0.75 + jitter.clamp(0.0, 1.0) / 2.0).min(max_delay)
}

/// Retry delay for a caller that was refused because all upstreams asked for no requests until
/// `pause` is over. `jitter` is uniform in 0 to 1 and spreads callers, none of which returns early.
#[must_use]
pub fn retry_after_pause(pause: Duration, remaining: Duration, jitter: f64) -> Duration {
    (pause + RETRY_AFTER_MIN.mul_f64(jitter.clamp(0.0, 1.0))).min(remaining)
}
