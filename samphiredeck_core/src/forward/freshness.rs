//! Whether the configuration may still be the newest one.
//!
//! Answers revoked keys and changes that a node can't see: a node that the platform's store turns
//! away stops to admit before the bound on revocation has passed.

use std::time::Duration;

use crate::boot_time::BootTime;

/// Margin between the age at which nothing is admitted any more and the bound on revocation.
/// Covers the way of a request to an upstream after its last check.
pub const ADMIT_MARGIN: Duration = Duration::from_millis(400);
/// Share of the admission age after which a node reports itself not ready, so that callers reach
/// other nodes before it has to refuse.
const READY_SHARE: f64 = 0.8;
/// Share of the admission age after which a node asks the store itself if others prove nothing newer.
const ASK_SHARE: f64 = 0.5;
/// Age after which it does so at the latest, so that changes arrive in time where revocation is not
/// bounded.
const ASK_AGE_MAX: Duration = Duration::from_millis(1_800);
/// Time by which a reader's proof may be older than two answers held back, with slow links and
/// nodes. 200 ms was too short on a busy machine: followers left readers that heard from the store.
const TOLD_MARGIN: Duration = Duration::from_millis(600);
/// Longest time for which the store may hold back an answer.
const HOLD_MAX: Duration = Duration::from_millis(400);
/// Part of the admission age for which it may do so. With the answer on its way, a proof is up to
/// two parts old at its reader, and three where it is told on.
const HOLD_PART: u32 = 6;

/// Age of a node's knowledge of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct ProofAge {
    /// Time at which the last answered question about the newest version was sent.
    asked_at: Option<BootTime>,
    /// Age from which nothing may be admitted.
    bound: Duration,
}

impl ProofAge {
    /// Starts without any knowledge. `revoke` is the bound on revocation, if there is one.
    #[must_use]
    pub fn new(revoke: Option<Duration>) -> Self {
        let bound = revoke.map_or(Duration::MAX, |bound| bound.saturating_sub(ADMIT_MARGIN));
        Self { asked_at: None, bound }
    }

    /// Notes the answer to a question that was sent at `asked_at`.
    pub fn note(&mut self, asked_at: BootTime) {
        self.asked_at = self.asked_at.max(Some(asked_at));
    }

    /// Age at `now`, or nothing if there was no answer yet.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.asked_at.map(|at| now.since(at))
    }

    /// Whether requests may be admitted at `now`.
    #[must_use]
    pub fn permits(&self, now: BootTime) -> bool {
        self.age(now).is_some_and(|age| age < self.bound)
    }

    /// Whether the node has to ask the store itself at `now`.
    #[must_use]
    pub fn is_aging(&self, now: BootTime) -> bool {
        let bound = self.bound.mul_f64(ASK_SHARE).min(ASK_AGE_MAX);
        self.age(now).is_none_or(|age| age >= bound)
    }

    /// Time for which the store may hold back an answer, so that the proof stays well below the age
    /// from which [`Self::is_aging`] holds, also where it is told on.
    #[must_use]
    pub fn hold_time(&self) -> Duration {
        (self.bound / HOLD_PART).min(HOLD_MAX)
    }

    /// Whether a node that tells a proof as old as `age` still hears from the store. One that has
    /// not heard from it for longer than two answers may be held back is no reader to go by: it
    /// knows of no change.
    #[must_use]
    pub fn is_current(&self, age: Duration) -> bool {
        age < self.hold_time() * 2 + TOLD_MARGIN
    }

    /// Whether the node should take new connections at `now`.
    #[must_use]
    pub fn is_ready(&self, now: BootTime) -> bool {
        self.age(now).is_some_and(|age| age < self.bound.mul_f64(READY_SHARE))
    }
}
