//! Moments of a graceful stop, on one clock that starts with the signal.
//!
//! Answers streams that came 3.0 to 3.15 s after the signal, since a chain of sleeps had slid on a busy node, and were cut
//! off at the end of the grace period. Each moment is compared with the clock when a request is admitted, so that a late
//! wake-up moves none of them.
//!
//! A refusal costs a caller one round trip to another node, and a stream that is cut off costs all of it. So a request
//! is refused if it is not expected to end in time.

use std::time::Duration;

use crate::boot_time::BootTime;

/// Time for which a stopping node takes new work. The load balancer probes once a second and removes a node after two
/// failed probes. Callers may be cut off only if they sent within 3 s after the signal, which a busy node may handle late.
const BALANCER_NOTICE: Duration = Duration::from_millis(2_600);
/// Maximum part of the grace period left unused, so that the process exits before it is killed.
const GRACE_MARGIN_MAX: Duration = Duration::from_millis(1_200);
/// Share of the grace period left unused. Callers may be cut off only in the last sixth of it.
const GRACE_MARGIN_SHARE: f64 = 0.15;
/// Maximum time for which a stopping node answers the requests that its upstreams have not responded to.
const ANSWER_TIME_MAX: Duration = Duration::from_millis(400);
/// Share of the used part of the grace period for it.
const ANSWER_SHARE: f64 = 0.08;
/// Share of the used part of the grace period for which new work is taken, if that is less than the notice.
const ADMITTING_SHARE: f64 = 0.5;
/// Share of the used part of the grace period for which connections are accepted, if that is less than the notice.
const ACCEPTING_SHARE: f64 = 0.75;

/// Request at a stopping node that has not been sent to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct LateRequest {
    /// Time at which the last byte of the request was received.
    pub received_at: BootTime,
    /// Time by which its response must be complete.
    pub deadline: BootTime,
    /// Time from now to the end of the response, as far as known.
    pub expected: Option<Duration>,
}

/// Moments of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// Time at which the node handled the signal.
    pub signalled_at: BootTime,
    /// Requests that are received later are served only if they have ended by `answers_at` in any case.
    pub admits_until: BootTime,
    /// Time at which the listener and idle connections are closed. Not before `admits_until`.
    pub closes_at: BootTime,
    /// Time at which requests without a response are answered. Not before `closes_at`.
    pub answers_at: BootTime,
    /// Time at which the responses that have not ended are cut off. Not before `answers_at`.
    pub ends_at: BootTime,
    /// Time at which the process is killed. After `ends_at`.
    pub killed_at: BootTime,
}

impl StopSchedule {
    /// Schedule of a node that has received the signal at `signalled_at` and is killed after `grace`.
    #[must_use]
    pub fn new(signalled_at: BootTime, grace: Duration) -> Self {
        let used = grace.saturating_sub(GRACE_MARGIN_MAX.min(grace.mul_f64(GRACE_MARGIN_SHARE)));
        let answer_time = ANSWER_TIME_MAX.min(used.mul_f64(ANSWER_SHARE));
        Self {
            signalled_at,
            admits_until: signalled_at + BALANCER_NOTICE.min(used.mul_f64(ADMITTING_SHARE)),
            closes_at: signalled_at + BALANCER_NOTICE.min(used.mul_f64(ACCEPTING_SHARE)),
            answers_at: signalled_at + used.saturating_sub(answer_time),
            ends_at: signalled_at + used,
            killed_at: signalled_at + grace,
        }
    }

    /// Whether the node still sends `request` to an upstream at `now`.
    #[must_use]
    pub fn admits(&self, request: &LateRequest, now: BootTime) -> bool {
        if request.deadline <= self.answers_at {
            return true;
        }
        let may_take_long = request.received_at > self.admits_until;
        let is_too_long = request.expected.is_some_and(|time| now + time >= self.answers_at);
        now < self.answers_at && !may_take_long && !is_too_long
    }
}
