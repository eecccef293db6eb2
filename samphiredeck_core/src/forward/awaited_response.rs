//! Decides when another upstream is asked for a response that has not begun.
//!
//! A busy engine may take long to begin, and its work must not be done twice. One whose connections stay open may also
//! have fallen silent, for a second or for good, and callers abandon a stream before its deadline. What tells the two
//! apart is whether anything was received from the upstream, on any connection.

use std::time::Duration;

use crate::{boot_time::BootTime, forward::catalog::RouteRow};

/// Share of the time left after which another upstream is asked, so that it has as much.
const WAIT_SHARE: f64 = 0.5;
/// Minimum gap after which callers abandon a stream.
const ABANDON_GAP_MIN: Duration = Duration::from_secs(2);
/// The gap as a multiple of the route's latency target, and of its maximum event gap.
const ABANDON_LATENCY_TARGETS: u32 = 4;
const ABANDON_EVENT_GAPS: u32 = 8;

/// Gap after which callers of `route` abandon a stream, also before its first event.
#[must_use]
pub fn abandon_gap(route: &RouteRow) -> Duration {
    let by_target = route.latency_target.saturating_mul(ABANDON_LATENCY_TARGETS);
    let by_gap = route.max_event_gap.saturating_mul(ABANDON_EVENT_GAPS);
    ABANDON_GAP_MIN.max(by_target).max(by_gap)
}

/// Response that is awaited from an upstream.
#[derive(Clone, Copy, Debug)]
pub struct AwaitedResponse {
    /// Time at which the request was sent.
    pub sent_at: BootTime,
    /// Deadline of the request.
    pub deadline: BootTime,
    /// Time at which the caller leaves if nothing arrives. `None` if the response is no stream.
    pub abandoned_at: Option<BootTime>,
    /// Time after which the response was expected to begin.
    pub expected_wait: Duration,
}

impl AwaitedResponse {
    /// Earliest time at which another upstream may be asked.
    #[must_use]
    pub fn first_check(&self) -> BootTime {
        let late = self.sent_at + self.busy_limit();
        self.silence_limit().map_or(late, |limit| late.min(self.sent_at + limit))
    }

    /// Time before which another upstream would have to begin to respond, if one is to be asked at `now`. `heard_at` is
    /// the time at which anything was received from the upstream, on any connection.
    #[must_use]
    pub fn other_due_at(&self, heard_at: Option<BootTime>, now: BootTime) -> Option<BootTime> {
        if now.since(self.sent_at) >= self.busy_limit() {
            return Some(self.deadline);
        }
        let silent_since = heard_at.map_or(self.sent_at, |at| at.max(self.sent_at));
        let is_silent = now.since(silent_since) >= self.silence_limit()?;
        self.abandoned_at.filter(|_| is_silent)
    }

    /// Time limit of an upstream that may be busy.
    fn busy_limit(&self) -> Duration {
        self.deadline.since(self.sent_at).mul_f64(WAIT_SHARE)
    }

    /// Time limit of an upstream from which nothing is received.
    fn silence_limit(&self) -> Option<Duration> {
        let patience = self.abandoned_at?.since(self.sent_at);
        Some(patience.mul_f64(WAIT_SHARE).max(self.expected_wait))
    }
}
