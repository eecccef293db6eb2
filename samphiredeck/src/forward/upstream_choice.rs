//! Chooses the upstream of an attempt from the state of the node, and refuses requests that none can
//! take in time.

use std::time::Duration;

use rand::random;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        catalog::RetryPolicy,
        deadline::{fits_deadline, retry_after_pause},
        demand::DemandRate,
        placement::{LimitForecast, Placement, PlacementRequest, choose_upstream, forecast_limits},
        rollout::version_share::AvoidedVersions,
        upstream_limit::NodeTurn,
    },
    ids::{NodeName, PoolName, SoftwareVersion, UpstreamId},
    verdict::RunVerdict,
};
use serde_json::json;

use crate::forward::{
    admission::{AdmissionStep, admit_placed, record_arrival},
    clock,
    limit_queue::QueueTicket,
    node::ForwardNode,
    request::{AdmittedRequest, ErrorResponse, RequestTrace, retry_delay},
    request_progress::{RequestProgress, unanswered_error},
    rollout::avoided_versions,
    state::ForwardState,
};

/// Retry delay of a caller that `pool` can't serve now: until the first upstream takes requests
/// again, if all of them have asked for time.
pub fn pool_retry_delay(node: &ForwardNode, pool: &PoolName, time_left: Duration) -> Duration {
    let now = clock::now();
    let pause_end = node.state().upstreams.pool_pause_end(pool, now);
    pause_end.map_or_else(
        || retry_delay(Duration::ZERO, time_left),
        |end| retry_after_pause(end.since(now), time_left, random()),
    )
}

/// Where a request goes.
pub enum PlaceDecision {
    /// To this upstream, now.
    Send(Placement),
    /// Nowhere before this time, since its pool is short of slots.
    Hold(BootTime),
    /// To an upstream with a limit, after `ahead` other requests of this node.
    Wait { forecast: LimitForecast, ahead: u32 },
}

/// Chooses the upstream of the next attempt.
///
/// # Errors
///
/// Returns the error response if no upstream can take the request in time.
pub fn place(
    admitted: &AdmittedRequest,
    progress: &mut RequestProgress,
    trace: &RequestTrace,
    now: BootTime,
    time_left: Duration,
) -> Result<PlaceDecision, ErrorResponse> {
    let node = &trace.node;
    let settings = node.settings();
    let mut state = node.state();
    let speed = state.speeds.speed(&admitted.pool);
    let number = progress.ticket.as_ref().map(QueueTicket::number);
    let ahead = state.limit_queue.count_ahead(&admitted.pool, admitted.priority, number);
    let turn = state.node_turn(&settings.name, now);
    let usable_turn = turn.filter(|_| ahead == 0);
    let avoided = avoided_versions(&mut state, admitted, progress, now);
    let choice = PlacementContext {
        node: &settings.name,
        progress,
        tried: &progress.tried,
        avoided: &avoided,
        turn: usable_turn,
    };
    let placement = find_placement(admitted, &choice, node, &state, now);
    let is_new = progress.arrival.is_none();
    if is_new {
        progress.arrival = Some(record_arrival(&mut state, admitted, now));
    }
    if admitted.engine && is_new {
        // Counts requests that are refused, too: capacity is ordered for them.
        let own_tokens = admitted.metadata.prompt_parts.last().map_or(0, |part| part.tokens);
        let tokens = placement.as_ref().map_or(own_tokens, |placement| placement.prefill_tokens);
        let demand = DemandRate::of(tokens, admitted.output_tokens(), &speed);
        state.demand.record(&admitted.pool, demand, now);
        state.speeds.speed_mut(&admitted.pool).record_prompt(tokens);
    }
    let list_age = state.upstreams.read_at().map(|at| now.since(at).as_millis());
    let software = placement.as_ref().and_then(|placement| {
        let row = state.upstreams.find(&placement.upstream)?;
        Some(row.entry.software.clone())
    });
    let pause_end = state.upstreams.pool_pause_end(&admitted.pool, now);
    let forecast = turn.filter(|_| placement.is_none()).and_then(|turn| {
        let choice = PlacementContext {
            node: &settings.name,
            progress,
            tried: &progress.tried,
            avoided: &avoided,
            turn: Some(turn),
        };
        let request = placement_request(admitted, &choice, &state);
        forecast_limits(&state.upstreams, &request, turn, now)
    });
    drop(state);
    if let Some(forecast) = forecast {
        return Ok(PlaceDecision::Wait { forecast, ahead });
    }
    let Some(placement) = placement else {
        let fields = json!({
            "request": trace.attempt_id, "pool": admitted.pool.as_str(), "list_age_ms": list_age,
            "tried": progress.tried.len(), "software": progress.software,
            "pause_ms": pause_end.map(|end| end.since(now).as_millis()),
        });
        node.log.record("no-upstream", fields);
        if progress.verdict == RunVerdict::NotRun {
            let wait = pool_retry_delay(node, &admitted.pool, time_left);
            return Err(ErrorResponse::not_executed("no upstream takes work", wait));
        }
        return Err(unanswered_error(progress, "no upstream takes work", time_left));
    };
    let fields = json!({
        "request": trace.attempt_id, "upstream": placement.upstream.as_str(),
        "software": software, "resumes": admitted.metadata.resumed_attempt,
        "expected_ms": placement.wait.total().as_millis(),
        "unread": placement.prefill_tokens, "home": placement.has_affinity,
        "left_ms": time_left.as_millis(), "version": admitted.config_version,
        "list_age_ms": list_age,
    });
    if !fits_deadline(placement.wait.total(), time_left) {
        node.log.record("overloaded", fields);
        let excess = placement.wait.total().saturating_sub(time_left / 2);
        if progress.verdict == RunVerdict::NotRun {
            return Err(ErrorResponse::not_executed(
                "too long a wait",
                retry_delay(excess, time_left),
            ));
        }
        return Err(unanswered_error(progress, "too long a wait", time_left));
    }
    match admit_placed(admitted, progress, trace, &placement, (now, time_left))? {
        AdmissionStep::Send => {}
        AdmissionStep::WaitUntil(at) => return Ok(PlaceDecision::Hold(at)),
    }
    node.log.record("place", fields);
    Ok(PlaceDecision::Send(placement))
}

/// What a choice depends on besides the request and the state of the node.
struct PlacementContext<'a> {
    node: &'a NodeName,
    progress: &'a RequestProgress,
    /// Upstreams that must not be chosen.
    tried: &'a [UpstreamId],
    /// Versions that must not be chosen.
    avoided: &'a AvoidedVersions,
    /// Turn of this node at upstreams with a limit, if the request may be sent to them.
    turn: Option<NodeTurn>,
}

/// Chooses an upstream.
fn find_placement(
    admitted: &AdmittedRequest,
    choice: &PlacementContext<'_>,
    node: &ForwardNode,
    state: &ForwardState,
    now: BootTime,
) -> Option<Placement> {
    let mut request = placement_request(admitted, choice, state);
    let domain = &node.settings().domain;
    // Another node may still infer an older version for a stream that begins at one that has just joined.
    let is_new_stream =
        admitted.route.retry_policy == RetryPolicy::Resumable && request.software.is_none();
    let joining = state.upstreams.versions.joining(&admitted.pool, now);
    let AvoidedVersions { preferably, always } = choice.avoided;
    let joined = |others: &[SoftwareVersion]| [always.as_slice(), others].concat();
    let mut avoided = Vec::new();
    if is_new_stream && !joining.is_empty() {
        avoided.push(joined(&joining));
    }
    if !preferably.is_empty() {
        avoided.push(joined(preferably));
    }
    for versions in &avoided {
        request.avoided_software = versions;
        let choice = choose_upstream(&state.upstreams, &request, domain, now, random::<f64>);
        if choice.is_some() {
            return choice;
        }
    }
    request.avoided_software = always;
    choose_upstream(&state.upstreams, &request, domain, now, random::<f64>)
}

fn placement_request<'a>(
    admitted: &'a AdmittedRequest,
    choice: &PlacementContext<'a>,
    state: &'a ForwardState,
) -> PlacementRequest<'a> {
    PlacementRequest {
        node: choice.node,
        pool: &admitted.pool,
        engine: admitted.engine,
        parts: &admitted.metadata.prompt_parts,
        tried: choice.tried,
        misdirected: &choice.progress.misdirected,
        only: choice.progress.only.as_ref(),
        software: choice.progress.software.as_ref(),
        avoided_software: &choice.avoided.always,
        max_connections: state.connection_share(admitted.max_connections),
        max_event_gap: admitted.route.max_event_gap,
        speed: state.speeds.speed(&admitted.pool),
        prompt_cache: &state.prompt_cache,
        nodes: state.members.count(),
        is_told: state.upstreams.is_exchanged(),
        turn: choice.turn,
    }
}

/// Whether the request that `silent` has received could be sent to another upstream now, which begins to respond
/// before `due_at`.
pub fn can_go_elsewhere(
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    node: &ForwardNode,
    silent: &UpstreamId,
    due_at: BootTime,
) -> bool {
    let now = clock::now();
    let settings = node.settings();
    let mut state = node.state();
    let is_permitted = progress.attempts < admitted.route.max_attempts
        && state.freshness.allows_admission(now)
        && state.retry_budget.has_room(&admitted.pool, now);
    let tried: Vec<UpstreamId> = progress.tried.iter().chain([silent]).cloned().collect();
    let turn = state.node_turn(&settings.name, now);
    let avoided = avoided_versions(&mut state, admitted, progress, now);
    let choice =
        PlacementContext { node: &settings.name, progress, tried: &tried, avoided: &avoided, turn };
    let placement = find_placement(admitted, &choice, node, &state, now);
    let time_left = due_at.since(now);
    is_permitted
        && placement.is_some_and(|placement| fits_deadline(placement.wait.total(), time_left))
}

/// Records that another upstream than `upstream` responded at its address.
pub fn record_misdirection(
    progress: &mut RequestProgress,
    node: &ForwardNode,
    upstream: &UpstreamId,
) {
    progress.attempts -= 1;
    let state = node.state();
    progress.misdirected.extend(state.upstreams.find(upstream).map(|row| row.entry.address));
}
