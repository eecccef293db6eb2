//! Whether an upstream takes new requests, as one state with one function for each kind of event.
//!
//! A state is closed until the event that ends it: a leaving upstream takes requests again only
//! when it is restarted, which starts a new state, and a paused one when its time is over. No list
//! entry reopens either, since entries may be older than what the upstream itself announced.

use std::time::Duration;

use crate::boot_time::BootTime;

/// Maximum time for which one response pauses its upstream. Longer than any overload lasts. Nothing
/// but a restart ends a pause earlier, so a mistaken time would cost the pool the upstream.
const PAUSE_MAX: Duration = Duration::from_secs(3_600);
/// Time after a gap between reads within which live upstreams are listed again: about two seconds,
/// as documented by the platform.
const RELIST_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Time for which it is remembered that an upstream was leaving when it disappeared from the list.
/// Leaving upstreams exit much sooner.
const LEAVING_MEMORY: Duration = Duration::from_secs(600);

/// How this node learned that an upstream is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingCause {
    /// Its list entry says so.
    ListEntry,
    /// It announced it in a response.
    Response,
    /// Its address serves another upstream.
    AddressReused,
}

/// Event that a response reveals about its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEvent {
    /// The upstream announced that it is leaving.
    Leaving,
    /// The upstream turned the request away and asked for no requests for this time.
    Pause(Duration),
    /// Another upstream responded at its address.
    AddressReused,
}

/// State of an upstream. Of several reasons not to send requests, the one that lasts longest
/// determines it: gone, leaving, missing, paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Takes requests.
    Accepting,
    /// Takes no requests for some time, as it asked.
    Paused {
        /// Time from which it takes requests.
        until: BootTime,
    },
    /// Was not in the first list after a gap between reads. Takes requests as a last resort.
    Missing {
        /// Time from which it is considered gone.
        until: BootTime,
        /// Time before which it takes no requests, if it asked for one.
        pause_end: Option<BootTime>,
    },
    /// Takes no requests.
    Leaving {
        /// How this became known first.
        cause: LeavingCause,
    },
    /// Is not listed any more.
    Gone {
        /// Time of the first list without it.
        since: BootTime,
        /// Why it takes no requests if its entry returns without a restart.
        cause: Option<LeavingCause>,
        /// Time before which it takes none in that case.
        pause_end: Option<BootTime>,
    },
}

impl UpstreamState {
    /// State after the start of an upstream. `leaving` is the mark in its list entry.
    #[must_use]
    pub fn started(leaving: bool) -> Self {
        Self::Accepting.on_listed(leaving)
    }

    /// Whether requests may be sent at `now`.
    #[must_use]
    pub fn accepts(self, now: BootTime) -> bool {
        match self {
            Self::Accepting => true,
            Self::Paused { until } => until <= now,
            Self::Missing { until, pause_end } => {
                now < until && pause_end.is_none_or(|end| end <= now)
            }
            Self::Leaving { .. } | Self::Gone { .. } => false,
        }
    }

    /// Time from which the upstream takes requests again, if it only has to be waited for.
    #[must_use]
    pub fn accepts_from(self, now: BootTime) -> Option<BootTime> {
        let end = match self {
            Self::Paused { until } => Some(until),
            Self::Missing { until, pause_end } => pause_end.filter(|end| *end < until),
            Self::Accepting | Self::Leaving { .. } | Self::Gone { .. } => None,
        };
        end.filter(|end| now < *end)
    }

    /// Whether the upstream takes requests at `now`, or will when its pause is over.
    #[must_use]
    pub fn serves(self, now: BootTime) -> bool {
        self.accepts(now) || self.accepts_from(now).is_some()
    }

    /// Whether the upstream is no longer listed.
    #[must_use]
    pub fn is_gone(self) -> bool {
        matches!(self, Self::Gone { .. })
    }

    /// Whether the upstream is leaving or has left.
    #[must_use]
    pub fn has_left(self) -> bool {
        matches!(self, Self::Leaving { .. } | Self::Gone { .. })
    }

    /// Whether a row in this state must be kept although nothing else refers to it. `named_limit` is
    /// whether its upstream has named a limit, which still applies if its entry returns.
    #[must_use]
    pub fn must_be_kept(self, named_limit: bool, now: BootTime) -> bool {
        match self {
            Self::Gone { since, cause, pause_end } => {
                (cause.is_some() || named_limit) && now.since(since) < LEAVING_MEMORY
                    || pause_end.is_some_and(|end| now < end)
            }
            _ => true,
        }
    }

    /// State and its cause at `now`, for logs and metrics.
    #[must_use]
    pub fn labels(self, now: BootTime) -> (&'static str, &'static str) {
        if self.accepts_from(now).is_some() {
            return ("paused", "response");
        }
        match self {
            Self::Leaving { cause: LeavingCause::ListEntry } => ("leaving", "entry"),
            Self::Leaving { cause: LeavingCause::Response } => ("leaving", "response"),
            Self::Leaving { cause: LeavingCause::AddressReused } => ("leaving", "address"),
            Self::Gone { .. } => ("gone", "entry"),
            Self::Missing { until, .. } if until <= now => ("gone", "entry"),
            Self::Missing { .. } => ("missing", "entry"),
            Self::Accepting | Self::Paused { .. } => ("accepting", ""),
        }
    }

    /// State after a list with an entry of the same start. `leaving` is the mark in the entry.
    #[must_use]
    pub fn on_listed(self, leaving: bool) -> Self {
        let cause = self.leaving_cause().or(leaving.then_some(LeavingCause::ListEntry));
        match (cause, self.pause_end()) {
            (Some(cause), _) => Self::Leaving { cause },
            (None, Some(until)) => Self::Paused { until },
            (None, None) => Self::Accepting,
        }
    }

    /// State after a list without an entry. Entries of live upstreams may have expired during a gap
    /// between reads, so with `after_gap`, they have some time to be listed again. Entries that
    /// disappear otherwise have left.
    #[must_use]
    pub fn on_unlisted(self, after_gap: bool, now: BootTime) -> Self {
        let pause_end = self.pause_end();
        match self {
            Self::Gone { .. } => self,
            Self::Missing { until, .. } if now < until => self,
            Self::Accepting | Self::Paused { .. } if after_gap => {
                Self::Missing { until: now + RELIST_TIMEOUT, pause_end }
            }
            Self::Accepting | Self::Paused { .. } | Self::Missing { .. } | Self::Leaving { .. } => {
                Self::Gone { since: now, cause: self.leaving_cause(), pause_end }
            }
        }
    }

    /// State after a response, of the same start of the upstream, that was read at `now`.
    #[must_use]
    pub fn on_response(self, event: ResponseEvent, now: BootTime) -> Self {
        match event {
            ResponseEvent::Leaving => self.on_leaving(LeavingCause::Response),
            ResponseEvent::AddressReused => self.on_leaving(LeavingCause::AddressReused),
            ResponseEvent::Pause(time) => self.on_pause(now + time.min(PAUSE_MAX)),
        }
    }

    fn on_leaving(self, cause: LeavingCause) -> Self {
        let cause = self.leaving_cause().unwrap_or(cause);
        match self {
            Self::Gone { since, pause_end, .. } => {
                Self::Gone { since, cause: Some(cause), pause_end }
            }
            _ => Self::Leaving { cause },
        }
    }

    /// Each response asks for its own time, so a shorter one does not replace a longer one.
    fn on_pause(self, end: BootTime) -> Self {
        let end = self.pause_end().map_or(end, |known| known.max(end));
        match self {
            Self::Accepting | Self::Paused { .. } => Self::Paused { until: end },
            Self::Missing { until, .. } => Self::Missing { until, pause_end: Some(end) },
            Self::Leaving { .. } => self,
            Self::Gone { since, cause, .. } => Self::Gone { since, cause, pause_end: Some(end) },
        }
    }

    fn leaving_cause(self) -> Option<LeavingCause> {
        match self {
            Self::Leaving { cause } => Some(cause),
            Self::Gone { cause, .. } => cause,
            Self::Accepting | Self::Paused { .. } | Self::Missing { .. } => None,
        }
    }

    fn pause_end(self) -> Option<BootTime> {
        match self {
            Self::Paused { until } => Some(until),
            Self::Missing { pause_end, .. } | Self::Gone { pause_end, .. } => pause_end,
            Self::Accepting | Self::Leaving { .. } => None,
        }
    }
}
