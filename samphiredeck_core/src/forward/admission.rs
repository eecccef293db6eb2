//! Decides whether a request is sent, waits at the node or is refused while its pool is short of slots.
//!
//! Answers seconds in which callers compete for too little room: upstreams were lost or many requests came at once. If all
//! are sent, they wait in long queues at the upstreams, all are late and callers leave, the most urgent ones too.
//!
//! A pool is short for a request that has to wait at its best upstream, for a slot or for the prompts of others. Then the most urgent requests may wait
//! as long as they still meet their latency target, and others for a part of that, a smaller one the less urgent they
//! are. A longer queue would not serve more requests, as the upstreams are busy with a short one. Beyond that a request is
//! refused with a time to return. The decision rests on the estimate for the best upstream alone, so the shortage is over
//! as soon as that has room, whatever was refused before.
//!
//! Nothing is refused while there is room, a caller that comes back goes before new ones, and a part of each kind is sent
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

/// Part of what the rest of the wait leaves of the latency target that a request may wait for a slot. The estimate is an
/// old one.
const PATIENCE_SHARE: f64 = 0.8;
/// The same for a caller that has come back, so that it precedes new requests of its kind. A part of the time to the
/// deadline instead let returning callers keep up a queue in which every request was late.
const RETURNED_PATIENCE_SHARE: f64 = 1.0;
/// Part of the latency target that the rest of the wait takes at most, so that long prompts are not refused for their
/// length.
const OWN_SHARE_MAX: f64 = 0.5;
/// Factor by which that part is smaller for each more urgent rank.
const RANK_FACTOR: f64 = 0.5;
/// Share of the requests of each kind that may wait as long as the most urgent ones.
const FLOOR_SHARE: f64 = 0.1;
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
    /// Least latency target among those of its pool that are as urgent or more urgent.
    pub pool_target: Duration,
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

    /// Time that it may wait for a slot at an upstream, if `rest` is the rest of its wait there. `draw` is uniform in 0 to 1.
    fn patience(&self, rest: Duration, draw: f64) -> Duration {
        let (rank, target) = match self.waiting_rank() {
            0 => (0, self.latency_target),
            _ if draw < FLOOR_SHARE => (0, self.latency_target),
            rank => (rank, self.latency_target.min(self.pool_target)),
        };
        let rest = rest.min(target.mul_f64(OWN_SHARE_MAX));
        let exponent = i32::try_from(rank).unwrap_or(i32::MAX);
        let left = target.saturating_sub(rest).saturating_sub(self.age);
        let share = if self.has_returned { RETURNED_PATIENCE_SHARE } else { PATIENCE_SHARE };
        left.mul_f64(share * RANK_FACTOR.powi(exponent))
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
    let patience = request.patience(total.saturating_sub(wait.queue()), draw);
    if wait.queue() <= patience || !request.is_refusable {
        return AdmissionDecision::Send;
    }
    let left = request.latency_target.mul_f64(NODE_WAIT_SHARE).saturating_sub(request.age);
    if !left.is_zero() {
        return AdmissionDecision::WaitUntil(now + LOOK_PERIOD.mul_f64(0.5 + jitter).min(left));
    }
    let excess = wait.queue().saturating_sub(patience) + RANK_DELAY * request.waiting_rank();
    let retry_after = retry_after(excess, request.time_left, jitter);
    AdmissionDecision::Refuse { retry_after, reason: request.refusal_reason() }
}
