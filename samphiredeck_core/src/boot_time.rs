//! Time that goes on while an instance is suspended.

use std::{
    fmt::{self, Display, Formatter},
    ops::{Add, Sub},
    time::Duration,
};

/// Moment on the clock that starts with the instance and counts its suspension too.
///
/// Ages that guard a promise are counted on this clock: the usual monotonic clock stands still
/// while an instance is suspended, and a belief would look fresh when it resumes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// Builds the moment `since_boot` after the start of the instance.
    #[must_use]
    pub const fn new(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// Builds the moment `millis` milliseconds after the start of the instance.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Time since `earlier`, zero if it is later than this.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The moment `span` earlier, if the instance had started by then.
    #[must_use]
    pub fn checked_sub(self, span: Duration) -> Option<Self> {
        self.0.checked_sub(span).map(Self)
    }

    /// Milliseconds since the start of the instance.
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
