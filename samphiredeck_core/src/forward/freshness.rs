//! Tracks how recently this node's configuration was known to be the newest version.
//!
//! A node that cannot reach the platform's store does not see revoked keys and other changes. It
//! stops admitting requests before the revocation bound has passed.

use std::time::Duration;

use crate::boot_time::BootTime;

/// Margin between the age at which admission stops and the revocation bound. Covers the time from a
/// request's last check until it reaches an upstream.
pub const ADMIT_MARGIN: Duration = Duration::from_millis(400);
/// Share of the admission age after which a node reports itself as not ready, so that callers are
/// routed to other nodes before it has to refuse them.
const READY_SHARE: f64 = 0.8;
/// Share of the admission age after which a node queries the store itself, if no other node has
/// confirmed the configuration more recently.
const REFRESH_SHARE: f64 = 0.5;
/// Maximum age before it does so. Ensures timely updates where revocation is unbounded.
const REFRESH_AGE_MAX: Duration = Duration::from_millis(1_800);
/// Extra age allowed for confirmations from a reader, beyond two long polls, for slow links and
/// nodes. With 200 ms, followers on a busy machine abandoned readers that still reached the store.
const RELAY_MARGIN: Duration = Duration::from_millis(600);
/// Maximum duration of a long poll at the store.
const LONG_POLL_MAX: Duration = Duration::from_millis(400);
/// Fraction of the admission age that a long poll may take. Including network delay, a confirmation
/// is up to two such fractions old at its reader, and three at a node that it is relayed to.
const LONG_POLL_DIVISOR: u32 = 6;

/// Freshness of a node's configuration.
#[derive(Clone, Copy, Debug)]
pub struct CatalogFreshness {
    /// Send time of the last answered query for the newest version.
    confirmed_at: Option<BootTime>,
    /// Age from which no request may be admitted.
    max_age: Duration,
}

impl CatalogFreshness {
    /// Creates a state without any confirmation. `revoke` is the revocation bound, if there is one.
    #[must_use]
    pub fn new(revoke: Option<Duration>) -> Self {
        let max_age = revoke.map_or(Duration::MAX, |bound| bound.saturating_sub(ADMIT_MARGIN));
        Self { confirmed_at: None, max_age }
    }

    /// Records an answered query that was sent at `confirmed_at`.
    pub fn record_confirmation(&mut self, confirmed_at: BootTime) {
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
    }

    /// Age at `now`. `None` before the first confirmation.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Whether requests may be admitted at `now`.
    #[must_use]
    pub fn allows_admission(&self, now: BootTime) -> bool {
        self.age(now).is_some_and(|age| age < self.max_age)
    }

    /// Whether the node has to query the store itself at `now`.
    #[must_use]
    pub fn needs_refresh(&self, now: BootTime) -> bool {
        let refresh_age = self.max_age.mul_f64(REFRESH_SHARE).min(REFRESH_AGE_MAX);
        self.age(now).is_none_or(|age| age >= refresh_age)
    }

    /// Maximum duration of a long poll at the store. Keeps the age well below the one from which
    /// [`Self::needs_refresh`] holds, also on nodes that receive the confirmation through a reader.
    #[must_use]
    pub fn long_poll_wait(&self) -> Duration {
        (self.max_age / LONG_POLL_DIVISOR).min(LONG_POLL_MAX)
    }

    /// Whether a peer whose confirmation is as old as `age` still reaches the store. A peer without
    /// an answer for longer than two long polls is not used as a reader, since it misses changes.
    #[must_use]
    pub fn is_peer_current(&self, age: Duration) -> bool {
        age < self.long_poll_wait() * 2 + RELAY_MARGIN
    }

    /// Whether the node should accept new connections at `now`.
    #[must_use]
    pub fn is_ready(&self, now: BootTime) -> bool {
        self.age(now).is_some_and(|age| age < self.max_age.mul_f64(READY_SHARE))
    }
}
