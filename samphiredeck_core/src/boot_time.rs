//! Monotonic time that keeps advancing while the instance is suspended.

use std::{
    fmt::{self, Display, Formatter},
    ops::{Add, Sub},
    time::Duration,
};

/// Point in time on a clock that starts at boot and includes time spent suspended.
///
/// Expiry times that a safety guarantee depends on use this clock. The usual monotonic clock
/// stops while an instance is suspended, so stale state would look fresh after it resumes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// Creates the point in time `since_boot` after the boot of the instance.
    #[must_use]
    pub const fn new(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// Creates the point in time `millis` milliseconds after the boot of the instance.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Point in time `span` earlier, or `None` if that is before the boot of the instance.
    #[must_use]
    pub fn checked_sub(self, span: Duration) -> Option<Self> {
        self.0.checked_sub(span).map(Self)
    }

    /// Milliseconds since the boot of the instance.
    #[must_use]
    pub fn as_millis(self) -> u64 {
        u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX)
    }
}

impl Add<Duration> for BootTime {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs))
    }
}

impl Sub<Duration> for BootTime {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(rhs))
    }
}

impl Display for BootTime {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.as_millis())
    }
}
