//! Applies decisions on admission to requests: what they rest on, and what the log and the metrics show of them.

use std::time::Duration;

use rand::random;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        admission::{AdmissionDecision, AdmissionRequest, RefusalReason, decide_admission},
        placement::Placement,
        pool_room::PoolRoom,
    },
    verdict::RunVerdict,
};
use serde_json::json;

use crate::forward::{
    metrics::AdmissionLabels,
    request::{AdmittedRequest, ErrorResponse, RequestTrace},
    request_progress::{RequestArrival, RequestProgress, unanswered_error},
    state::ForwardState,
};

/// Excess of the demand over the room of a pool that is short, if it is not known better.
const EXCESS_MIN: f64 = 1.05;

/// Whether a placed request is sent now.
pub enum AdmissionStep {
    /// It is sent.
    Send,
    /// It is looked at again then, or when a slot may be free.
    WaitUntil(BootTime),
}

/// Records a request that has arrived, and returns what its admission depends on.
pub fn record_arrival(
    state: &mut ForwardState,
    admitted: &AdmittedRequest,
    now: BootTime,
) -> RequestArrival {
    let urgency = (admitted.priority, admitted.route.latency_target);
    let (rank, pool_target) = state.urgencies.record(&admitted.pool, urgency, now);
    let stated = admitted.metadata.deadline;
    let is_late =
        stated.is_some_and(|stated| state.urgencies.record_deadline(&admitted.route.name, stated));
    if let (true, Some(workspace)) = (admitted.engine, &admitted.workspace) {
        let tokens = admitted.metadata.tokens.map_or(0, |(prompt, output)| prompt + output);
        state.uses.record(workspace, tokens, now);
    }
    let has_returned = is_late || admitted.metadata.last_event_id.is_some();
    RequestArrival { rank, pool_target, has_returned }
}

/// Decides whether `admitted` is sent to its `placement` at `now`.
///
/// # Errors
///
/// Returns the error response if it is refused.
pub fn admit_placed(
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    trace: &RequestTrace,
    placement: &Placement,
    (now, time_left): (BootTime, Duration),
) -> Result<AdmissionStep, ErrorResponse> {
    let node = &trace.node;
    let state = node.state();
    let Some(arrival) = progress.arrival else { return Ok(AdmissionStep::Send) };
    // Without the exchange of loads, a node knows too little of the slots to refuse by them.
    if !state.upstreams.is_exchanged() || placement.wait.queue().is_zero() {
        return Ok(AdmissionStep::Send);
    }
    let held = state.speeds.speed(&admitted.pool).held();
    let room = PoolRoom::of(&state.upstreams, &admitted.pool, held, now);
    let excess = room.utilization().max(EXCESS_MIN);
    let workspace = admitted.workspace.as_ref().filter(|_| admitted.engine);
    let request = AdmissionRequest {
        age: now.since(trace.arrived_at),
        time_left,
        latency_target: admitted.route.latency_target,
        pool_target: arrival.pool_target,
        rank: arrival.rank,
        is_over_share: workspace
            .is_some_and(|name| state.uses.is_over_share(name, (excess, progress.draw), now)),
        has_returned: arrival.has_returned,
        is_refusable: progress.verdict == RunVerdict::NotRun && progress.software.is_none(),
    };
    drop(state);
    let draws = (progress.draw, random());
    let decision = decide_admission(&request, &placement.wait, draws, now);
    let name = match decision {
        AdmissionDecision::Send => return Ok(AdmissionStep::Send),
        AdmissionDecision::WaitUntil(_) => "wait",
        AdmissionDecision::Refuse { reason, .. } => reason.as_str(),
    };
    let labels = AdmissionLabels { route: trace.route.clone(), decision: name };
    node.metrics.admissions.get_or_create(&labels).inc();
    let (retry_after, reason) = match decision {
        AdmissionDecision::Send => return Ok(AdmissionStep::Send),
        AdmissionDecision::WaitUntil(at) => return Ok(AdmissionStep::WaitUntil(at)),
        AdmissionDecision::Refuse { retry_after, reason } => (retry_after, reason),
    };
    let fields = json!({
        "request": trace.attempt_id, "route": trace.route, "workspace": trace.workspace,
        "pool": admitted.pool.as_str(), "reason": name, "rank": request.rank.0,
        "returned": request.has_returned, "slot_ms": placement.wait.slot.as_millis(), "backlog_ms": placement.wait.backlog.as_millis(),
        "wait_ms": placement.wait.total().as_millis(), "free_slots": room.free_slots.round(),
        "slots": room.slots, "queued": room.queued.round(), "room_age_ms": room.age.as_millis(),
        "retry_ms": retry_after.as_millis(), "age_ms": trace.age_ms(),
    });
    node.log.record("admission", fields);
    if progress.verdict != RunVerdict::NotRun {
        return Err(unanswered_error(progress, refusal_text(reason), time_left));
    }
    Err(ErrorResponse::not_executed(refusal_text(reason), retry_after))
}

/// What callers are told.
fn refusal_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::DeadlineUnreachable => "too long a wait",
        RefusalReason::TargetUnreachable => "no slot in time",
        RefusalReason::LessUrgent => "no slot beside more urgent requests",
        RefusalReason::OverFairShare => "over the workspace's share of the pool",
    }
}
