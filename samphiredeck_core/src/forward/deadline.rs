//! Whether a request is worth sending, and when a refused caller should come back.
//!
//! Answers a pool at its limit: what cannot be answered in the time that its caller has is refused
//! at once, unrun, and callers are told times that spread their return.

use std::time::Duration;

/// Least time that a refused caller is told to wait: upstreams are chosen anew by then.
const RETRY_MIN: Duration = Duration::from_millis(150);
/// Share of the caller's time within which it should come back, so that the second try has time.
const RETRY_SHARE: f64 = 0.25;
/// Share of the caller's time that the expected wait may take. The rest is for the answer itself
/// and for errors of the estimate.
const WAIT_SHARE: f64 = 0.7;

/// Whether a request with `left` to its deadline can be answered when the first sign of an answer
/// is expected after `expected`.
#[must_use]
pub fn is_worth_sending(expected: Duration, left: Duration) -> bool {
    expected <= left.mul_f64(WAIT_SHARE)
}

/// Time after which a refused caller should come back: when the wait that it was refused for has
/// passed, within the share of its time that leaves a second try worthwhile. `noise` is uniform in
/// 0 to 1 and spreads callers that were refused together.
#[must_use]
pub fn retry_after(excess: Duration, left: Duration, noise: f64) -> Duration {
    let most = left.mul_f64(RETRY_SHARE).max(RETRY_MIN);
    let wait = (RETRY_MIN + excess).min(most);
    wait.mul_f64(0.75 + noise.clamp(0.0, 1.0) / 2.0).min(most)
}
