//! What the connection of a caller waits for, and how long it may.
//!
//! Callers keep connections for many requests, over changes of the configuration. So each limit is that of the moment at
//! which it is checked, and not that of the moment at which the connection was accepted.

use crate::{boot_time::BootTime, forward::catalog::CallerLimits};

/// Maximum size of a head in bytes, whatever the configuration permits.
pub const HEAD_BYTES_MAX: usize = 1_048_576;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitPhase {
    /// For the next request, of which nothing was received yet.
    Idle { since: BootTime },
    /// For the rest of a head.
    Head { since: BootTime, received: usize },
    /// For the end of a request and its response.
    Exchange,
}

/// Why a connection does not wait any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitEnd {
    /// No request arrived.
    Idle,
    /// The head of a request took too long.
    HeadTimeout,
    /// The head of a request is too long.
    HeadTooLong,
}

/// Wait of one connection.
#[derive(Clone, Copy, Debug)]
pub struct CallerWait {
    phase: WaitPhase,
}

impl CallerWait {
    /// Wait of a connection that was accepted at `now`.
    #[must_use]
    pub fn new(now: BootTime) -> Self {
        Self { phase: WaitPhase::Idle { since: now } }
    }

    /// Records that `count` bytes were received at `now`.
    pub fn record_received(&mut self, count: usize, now: BootTime) {
        match &mut self.phase {
            WaitPhase::Idle { .. } if count > 0 => {
                self.phase = WaitPhase::Head { since: now, received: count };
            }
            WaitPhase::Head { received, .. } => *received = received.saturating_add(count),
            WaitPhase::Idle { .. } | WaitPhase::Exchange => {}
        }
    }

    /// Records that bytes were sent at `now`: the caller may still be receiving a response that is complete here.
    pub fn record_sent(&mut self, now: BootTime) {
        if let WaitPhase::Idle { since } = &mut self.phase {
            *since = now;
        }
    }

    /// Records that a head is complete.
    pub fn begin_exchange(&mut self) {
        self.phase = WaitPhase::Exchange;
    }

    /// Records at `now` that the response is complete.
    pub fn end_exchange(&mut self, now: BootTime) {
        self.phase = WaitPhase::Idle { since: now };
    }

    /// Whether the bytes received so far, which are no complete head, exceed the limit.
    #[must_use]
    pub fn is_head_too_long(&self, limits: CallerLimits) -> bool {
        let WaitPhase::Head { received, .. } = self.phase else { return false };
        received >= head_bytes_max(limits)
    }

    /// When and why the wait ends, unless something is received before.
    #[must_use]
    pub fn due(&self, limits: CallerLimits) -> Option<(BootTime, WaitEnd)> {
        match self.phase {
            WaitPhase::Idle { since } => Some((since + limits.idle_timeout, WaitEnd::Idle)),
            WaitPhase::Head { since, .. } => {
                Some((since + limits.head_timeout, WaitEnd::HeadTimeout))
            }
            WaitPhase::Exchange => None,
        }
    }
}

/// Maximum size of a head in bytes.
#[must_use]
pub fn head_bytes_max(limits: CallerLimits) -> usize {
    limits.max_head_bytes.min(HEAD_BYTES_MAX)
}
