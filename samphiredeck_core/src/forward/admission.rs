//! Decides whether a request is sent, waits at the node or is refused while its pool is short of slots.
//!
//! Answers seconds in which callers compete for too little room: upstreams were lost or many requests came at once. If all
//! are sent, they wait in long queues at the upstreams, all are late and callers leave, the most urgent ones too.
//!
//! A pool is short for a request if the best upstream has no slot free for it. Then the request may wait for a part of its
//! latency target, a smaller one the less urgent it is, so that the queues stay shorter than what the most urgent requests
//! can bear. Beyond that it is refused with a time to return. The decision rests on the estimate for the best upstream
//! alone, so the shortage is over as soon as that has a free slot, whatever was refused before.
//!
//! Nothing is refused while a slot is free, a caller that comes back goes before new ones, and a part of each kind is sent
//! in any case, so that none starves. What a request itself has to compute does not count, or long prompts would.

pub mod fair_share;
pub mod urgency;

use std::time::Duration;

use crate::{
    boot_time::BootTime,
    forward::{
        deadline::{fits_deadline, retry_after},
        wait_estimate::WaitEstimate,
    },
};

use self::urgency::UrgencyRank;

/// Part of the latency target that the most urgent requests may wait for a slot. The rest is for the prompt and the first
/// token.
const PATIENCE_SHARE: f64 = 0.6;
/// Factor by which that part is smaller for each more urgent rank.
const RANK_FACTOR: f64 = 0.5;
/// Share of the requests of each kind that may wait as long as the most urgent ones.
const FLOOR_SHARE: f64 = 0.1;
/// Part of its remaining time that a caller which has come back may wait for a slot.
const RETURNED_SHARE: f64 = 0.3;
/// Part of the latency target for which a request may wait at the node until a slot is free elsewhere.
const NODE_WAIT_SHARE: f64 = 0.125;
/// Interval between two looks for a slot.
const LOOK_PERIOD: Duration = Duration::from_millis(20);
/// Additional time after which less urgent callers return, for each more urgent rank.
const RANK_DELAY: Duration = Duration::from_millis(400);

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// No response can begin before its deadline.
    DeadlineUnreachable,
    /// No slot is free early enough for its latency target.
    TargetUnreachable,
    /// More urgent requests need the slots.
    LessUrgent,
    /// Its workspace uses more than its share of the pool.
    OverFairShare,
}

impl RefusalReason {
    /// Name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::DeadlineUnreachable => "deadline unreachable",
            Self::TargetUnreachable => "target unreachable",
            Self::LessUrgent => "less urgent",
            Self::OverFairShare => "over fair share",
        }
    }
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It is sent now.
    Send,
    /// It is looked at again at this time.
    WaitUntil(BootTime),
    /// It is refused, and its caller may return after a time.
    Refuse {
        /// Time to return after.
        retry_after: Duration,
        /// Why.
        reason: RefusalReason,
    },
}

/// Request to decide on.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Time since it arrived at the node.
    pub age: Duration,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Latency target of its route.
    pub latency_target: Duration,
    /// Urgency among the requests of its pool.
    pub rank: UrgencyRank,
    /// Whether its workspace uses more than its share of the pool.
    pub is_over_share: bool,
    /// Whether its caller was refused before and has come back.
    pub has_returned: bool,
    /// Whether it may be refused: it has not been sent to any upstream, or not run there.
    pub is_refusable: bool,
}

impl AdmissionRequest {
    /// Rank by which it waits: one lower if its workspace uses more than its share.
    fn waiting_rank(&self) -> u32 {
        self.rank.0 + u32::from(self.is_over_share)
    }

    /// Time that it may wait for a slot at an upstream. `draw` is uniform in 0 to 1.
    fn patience(&self, draw: f64) -> Duration {
        let target = self.latency_target.mul_f64(PATIENCE_SHARE);
        if self.has_returned {
            return target.max(self.time_left.mul_f64(RETURNED_SHARE));
        }
        let rank = if draw < FLOOR_SHARE { 0 } else { self.waiting_rank() };
        let exponent = i32::try_from(rank).unwrap_or(i32::MAX);
        target.saturating_sub(self.age).mul_f64(RANK_FACTOR.powi(exponent))
    }

    fn refusal_reason(&self) -> RefusalReason {
        if self.is_over_share {
            RefusalReason::OverFairShare
        } else if self.rank.0 > 0 {
            RefusalReason::LessUrgent
        } else {
            RefusalReason::TargetUnreachable
        }
    }
}

/// Decides on `request` at `now`, which expects `wait` at its best upstream. `draw` and `jitter` are uniform in 0 to 1; the
/// first is the same each time the request is looked at.
#[must_use]
pub fn decide_admission(
    request: &AdmissionRequest,
    wait: &WaitEstimate,
    (draw, jitter): (f64, f64),
    now: BootTime,
) -> AdmissionDecision {
    let total = wait.total();
    if !fits_deadline(total, request.time_left) {
        let excess = total.saturating_sub(request.time_left / 2);
        let retry_after = retry_after(excess, request.time_left, jitter);
        return AdmissionDecision::Refuse {
            retry_after,
            reason: RefusalReason::DeadlineUnreachable,
        };
    }
    let patience = request.patience(draw);
    if wait.slot <= patience || !request.is_refusable {
        return AdmissionDecision::Send;
    }
    if request.age < request.latency_target.mul_f64(NODE_WAIT_SHARE) {
        return AdmissionDecision::WaitUntil(now + LOOK_PERIOD.mul_f64(0.5 + jitter));
    }
    let excess = wait.slot.saturating_sub(patience) + RANK_DELAY * request.waiting_rank();
    let retry_after = retry_after(excess, request.time_left, jitter);
    AdmissionDecision::Refuse { retry_after, reason: request.refusal_reason() }
}
