//! Phases of a rollout, and the row that keeps them.
//!
//! A leader may be killed, frozen or cut off at any step. The row holds all that the next one needs, and is written
//! before a step takes effect.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{RowVersion, SoftwareVersion};

/// Phase of a rollout. Later ones are higher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// The new version has no upstreams that take requests yet.
    Ordered,
    /// The new version gets the permitted share.
    Probing,
    /// Its share rises, within what the rest of the order's time permits.
    Widening,
    /// All new requests go to it.
    Moving,
    /// It serves the pool.
    Completed,
    /// It was bad, or not known to be good by the deadline.
    RolledBack,
    /// The order was withdrawn, or another one took its place.
    Superseded,
}

impl RolloutPhase {
    /// Whether no other phase follows.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack | Self::Superseded)
    }
}

/// Content of the store's row of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutRow {
    /// Version of the order's row.
    pub order: RowVersion,
    /// Version that served the pool at the order.
    pub base: SoftwareVersion,
    /// Version to move to.
    pub to: SoftwareVersion,
    /// Time at which the order was first read, in milliseconds on the store's clock.
    pub ordered_ms: i64,
    /// Time from the order to its deadline, in milliseconds.
    pub duration_ms: u64,
    /// Phase.
    pub phase: RolloutPhase,
    /// Time at which the phase began, in milliseconds on the store's clock.
    pub since_ms: i64,
    /// Number of requests that may have been sent to the new version. Leases are dealt from it, so that it includes
    /// those that nodes hold when a leader is lost.
    pub reserved: u64,
    /// Number of requests that at least were sent to the pool.
    pub arrivals: u64,
    /// Why the rollout ended without being completed. Empty otherwise.
    pub reason: String,
}

impl RolloutRow {
    /// Row of an order that was first read at `now_ms`.
    #[must_use]
    pub fn new(
        order: RowVersion,
        (base, to): (SoftwareVersion, SoftwareVersion),
        duration: Duration,
        now_ms: i64,
    ) -> Self {
        Self {
            order,
            base,
            to,
            ordered_ms: now_ms,
            duration_ms: u64::try_from(duration.as_millis()).unwrap_or(u64::MAX),
            phase: RolloutPhase::Ordered,
            since_ms: now_ms,
            reserved: 0,
            arrivals: 0,
            reason: String::new(),
        }
    }

    /// Elapsed part of the time between `from_ms` and `now_ms`, of that between the order and its deadline.
    #[expect(clippy::cast_precision_loss, reason = "durations are far smaller")]
    fn part_since(&self, from_ms: i64, now_ms: i64) -> f64 {
        (now_ms - from_ms).max(0) as f64 / self.duration_ms.max(1) as f64
    }

    /// Elapsed part of the time to the deadline.
    #[must_use]
    pub fn elapsed(&self, now_ms: i64) -> f64 {
        self.part_since(self.ordered_ms, now_ms)
    }

    /// Part of the time to the deadline for which the phase has lasted.
    #[must_use]
    pub fn elapsed_in_phase(&self, now_ms: i64) -> f64 {
        self.part_since(self.since_ms, now_ms)
    }
}

/// Rollout in the phase `P`.
#[derive(Clone, Debug)]
pub struct Rollout<P> {
    row: RolloutRow,
    _phase: P,
}

/// [`RolloutPhase::Ordered`].
#[derive(Clone, Copy, Debug)]
pub struct Ordered;
/// [`RolloutPhase::Probing`].
#[derive(Clone, Copy, Debug)]
pub struct Probing;
/// [`RolloutPhase::Widening`].
#[derive(Clone, Copy, Debug)]
pub struct Widening;
/// [`RolloutPhase::Moving`].
#[derive(Clone, Copy, Debug)]
pub struct Moving;

/// Rollout that has not ended.
#[derive(Clone, Debug)]
pub enum OpenRollout {
    /// [`RolloutPhase::Ordered`].
    Ordered(Rollout<Ordered>),
    /// [`RolloutPhase::Probing`].
    Probing(Rollout<Probing>),
    /// [`RolloutPhase::Widening`].
    Widening(Rollout<Widening>),
    /// [`RolloutPhase::Moving`].
    Moving(Rollout<Moving>),
}

impl OpenRollout {
    /// Rollout of `row`. `None` if it has ended.
    #[must_use]
    pub fn of(row: RolloutRow) -> Option<Self> {
        match row.phase {
            RolloutPhase::Ordered => Some(Self::Ordered(Rollout { row, _phase: Ordered })),
            RolloutPhase::Probing => Some(Self::Probing(Rollout { row, _phase: Probing })),
            RolloutPhase::Widening => Some(Self::Widening(Rollout { row, _phase: Widening })),
            RolloutPhase::Moving => Some(Self::Moving(Rollout { row, _phase: Moving })),
            RolloutPhase::Completed | RolloutPhase::RolledBack | RolloutPhase::Superseded => None,
        }
    }

    fn into_row(self) -> RolloutRow {
        match self {
            Self::Ordered(rollout) => rollout.row,
            Self::Probing(rollout) => rollout.row,
            Self::Widening(rollout) => rollout.row,
            Self::Moving(rollout) => rollout.row,
        }
    }

    /// Ends the rollout, since its order was withdrawn or replaced.
    #[must_use]
    pub fn supersede(self, now_ms: i64, reason: &str) -> RolloutRow {
        let mut row = self.into_row();
        reason.clone_into(&mut row.reason);
        enter(row, RolloutPhase::Superseded, now_ms)
    }

    /// Ends the rollout with `phase`, as nodes know it: the store has lost that row.
    #[must_use]
    pub fn adopt_end(self, phase: RolloutPhase, now_ms: i64) -> RolloutRow {
        let mut row = self.into_row();
        "known to nodes".clone_into(&mut row.reason);
        enter(row, phase, now_ms)
    }
}

fn enter(row: RolloutRow, phase: RolloutPhase, now_ms: i64) -> RolloutRow {
    RolloutRow { phase, since_ms: now_ms, ..row }
}

fn roll_back(mut row: RolloutRow, now_ms: i64, reason: String) -> RolloutRow {
    row.reason = reason;
    enter(row, RolloutPhase::RolledBack, now_ms)
}

impl Rollout<Ordered> {
    /// Begins to send requests to the new version.
    #[must_use]
    pub fn probe(self, now_ms: i64) -> RolloutRow {
        enter(self.row, RolloutPhase::Probing, now_ms)
    }
}

impl Rollout<Probing> {
    /// Raises the share of the new version.
    #[must_use]
    pub fn widen(self, now_ms: i64) -> RolloutRow {
        enter(self.row, RolloutPhase::Widening, now_ms)
    }

    /// Leaves the new version.
    #[must_use]
    pub fn roll_back(self, now_ms: i64, reason: String) -> RolloutRow {
        roll_back(self.row, now_ms, reason)
    }
}

impl Rollout<Widening> {
    /// Sends all new requests to the new version.
    #[must_use]
    pub fn move_all(self, now_ms: i64) -> RolloutRow {
        enter(self.row, RolloutPhase::Moving, now_ms)
    }

    /// Leaves the new version.
    #[must_use]
    pub fn roll_back(self, now_ms: i64, reason: String) -> RolloutRow {
        roll_back(self.row, now_ms, reason)
    }
}

impl Rollout<Moving> {
    /// Ends the rollout with the new version serving the pool.
    #[must_use]
    pub fn complete(self, now_ms: i64) -> RolloutRow {
        enter(self.row, RolloutPhase::Completed, now_ms)
    }

    /// Leaves the new version.
    #[must_use]
    pub fn roll_back(self, now_ms: i64, reason: String) -> RolloutRow {
        roll_back(self.row, now_ms, reason)
    }
}
