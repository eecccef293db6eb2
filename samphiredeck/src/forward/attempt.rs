//! Sends a request to upstreams until one responds or no further attempt is permitted.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::FutureExt;
use http::{Request, StatusCode, Uri, uri::PathAndQuery};
use http_body_util::Full;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        event_order::ResumePoint,
        outcome::{NextStep, SendOutcome, next_step, uses_attempt},
        placement::Placement,
        upstream_list::ListedUpstream,
    },
    ids::{KeyHash, UpstreamId},
    verdict::RunVerdict,
};
use samphiredeck_platform::headers::{ForwardMetadata, encode_forward_headers};
use serde_json::json;
use tokio::{select, time::sleep};

use crate::forward::{
    clock,
    http_connection::HttpConnection,
    in_flight::{InFlightRequest, VersionEvidence},
    limit_queue::wait_for_turn,
    node::ForwardNode,
    request::{AdmittedRequest, ErrorResponse, RequestTrace},
    request_progress::{ConnectionKind, RequestProgress, deadline_error, unanswered_error},
    rollout::{record_abandoned, take_version, version_evidence},
    send_permit::PermitLease,
    serve::unknown_key,
    silent_upstream::{ExchangeEnd, LeftUpstream, SendEnd, SentRequest, receive_or_replace},
    stop_checks::{check_placed, check_waiting},
    stream_versions::record_origin,
    suspect_checks::{barring_reason, check_suspects, handle_closed, record_proof},
    upstream_choice::{PlaceDecision, place, pool_retry_delay, record_misdirection},
    upstream_paths::connect_upstream,
    upstream_response::{
        CompleteResponse, ReceivedResponse, SendFailure, StreamingResponse, UpstreamResponse,
        UpstreamStream, receive_response,
    },
};

/// Minimum remaining time for an attempt. No upstream can respond in less.
const SEND_TIME_MIN: Duration = Duration::from_millis(20);
/// Reason for not sending a request to an upstream whose limit or slots leave none to this node.
const LIMIT_REASON: &str = "limit or slots of the upstream";
/// Poll interval for the upstream list of a node that was frozen.
const LIST_POLL_PERIOD: Duration = Duration::from_millis(10);
/// Maximum number of failed connection attempts per request.
const CONNECT_FAILURES_MAX: usize = 3;

/// Sends `admitted` to upstreams until one responds or no further attempt is permitted. With
/// `resume`, the upstream resumes the stream there, and any other response counts as a failure.
///
/// # Errors
///
/// Returns the error response for the caller.
pub async fn send_with_retries(
    admitted: &AdmittedRequest,
    progress: &mut RequestProgress,
    trace: &RequestTrace,
    resume: Option<ResumePoint>,
) -> Result<UpstreamResponse, ErrorResponse> {
    let node = &trace.node;
    let mut connect_failures = 0;
    loop {
        let now = clock::now();
        let time_left = admitted.deadline.since(now);
        if time_left < SEND_TIME_MIN {
            return Err(deadline_error(progress, time_left));
        }
        if !node.state().freshness.allows_admission(now) {
            return Err(unanswered_error(
                progress,
                "configuration not known to be the newest",
                time_left,
            ));
        }
        if node.state().upstreams.is_outdated(now) {
            sleep(LIST_POLL_PERIOD).await;
            continue;
        }
        if resume.is_none() && progress.verdict == RunVerdict::NotRun {
            check_key(admitted, node)?;
        }
        check_suspects(admitted, progress, trace).await?;
        let now = clock::now();
        let time_left = admitted.deadline.since(now);
        let placement = match place(admitted, progress, trace, now, time_left)? {
            PlaceDecision::Send(placement) => placement,
            PlaceDecision::Hold(until) => {
                check_waiting(admitted, progress, trace, until.since(now))?;
                select! {
                    () = node.request_ended.notified() => {}
                    () = sleep(until.since(now)) => {}
                }
                continue;
            }
            PlaceDecision::Wait { forecast, ahead } => {
                check_waiting(admitted, progress, trace, forecast.after(ahead).since(now))?;
                wait_for_turn(admitted, progress, trace, forecast, ahead).await?;
                continue;
            }
        };
        check_placed(admitted, progress, trace, &placement)?;
        if progress.attempts > 0 || !progress.misdirected.is_empty() {
            if !node.state().retry_budget.take(&admitted.pool, now) {
                if node.state().awaits_first_funding(now) {
                    sleep(LIST_POLL_PERIOD).await;
                    continue;
                }
                return Err(unanswered_error(progress, "no budget for another send", time_left));
            }
            node.metrics.retries.inc();
            node.metrics.budget.count_retry(&admitted.pool);
        }
        let failure = match send_once(admitted, progress, trace, &placement, resume).await {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        connect_failures += usize::from(failure.outcome == SendOutcome::Unsent);
        progress.verdict = progress.verdict.join(failure.outcome.verdict());
        progress.reservation.set_consumed(progress.verdict != RunVerdict::NotRun);
        if failure.outcome != SendOutcome::Withdrawn {
            progress.tried.push(placement.upstream.clone());
        }
        if !uses_attempt(failure.outcome, progress.misdirected.len()) {
            record_misdirection(progress, node, &placement.upstream);
        }
        let attempts_left = admitted.route.max_attempts.saturating_sub(progress.attempts);
        let attempts_left =
            if connect_failures >= CONNECT_FAILURES_MAX { 0 } else { attempts_left };
        let step = next_step(
            failure.outcome,
            progress.verdict,
            admitted.route.retry_policy,
            attempts_left,
        );
        log_failure(admitted, progress, trace, &placement, &failure, step);
        let time_left = admitted.deadline.since(clock::now());
        match (step, failure.response) {
            (NextStep::SendAgain, _) => {}
            (NextStep::Deliver, Some(response)) => return Ok(UpstreamResponse::Complete(response)),
            (NextStep::RefuseUnrun, _) => {
                let wait = pool_retry_delay(node, &admitted.pool, time_left);
                let reason = match failure.outcome {
                    SendOutcome::NoPath => "no path to the upstreams",
                    _ => "upstream did not take the request",
                };
                return Err(ErrorResponse::not_executed(reason, wait));
            }
            (NextStep::Deliver | NextStep::GiveUp, _) if time_left < SEND_TIME_MIN => {
                return Err(deadline_error(progress, time_left));
            }
            (NextStep::Deliver | NextStep::GiveUp, _) => {
                let status = StatusCode::BAD_GATEWAY;
                return Err(ErrorResponse::not_retryable(status, "upstream gave no whole answer"));
            }
        }
    }
}

fn log_failure(
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    trace: &RequestTrace,
    placement: &Placement,
    failure: &SendFailure,
    step: NextStep,
) {
    let node = &trace.node;
    let fields = json!({
        "request": trace.attempt_id, "upstream": placement.upstream.as_str(),
        "connected": progress.connected.map(|kind| format!("{kind:?}")), "pool": admitted.pool.as_str(),
        "heard_ms": node.state().upstream_heard_at.map(|at| clock::now().since(at).as_millis()),
        "outcome": format!("{:?}", failure.outcome), "reason": failure.reason,
        "closed": failure.closed, "parts": admitted.shared_part_ids(),
        "key": admitted.key.to_string(), "verdict": progress.verdict.to_string(), "next": format!("{step:?}"),
        "sent": progress.attempts, "age_ms": trace.age_ms(),
    });
    node.log.record("send-failed", fields);
}

/// Checks that the key of a request that has waited since its admission was not revoked meanwhile.
fn check_key(admitted: &AdmittedRequest, node: &ForwardNode) -> Result<(), ErrorResponse> {
    let catalog = node.state().catalog.clone();
    let changed = catalog.filter(|catalog| catalog.version().0 != admitted.config_version);
    let (Some(catalog), Some(workspace)) = (changed, &admitted.workspace) else { return Ok(()) };
    let Some(key) = admitted.metadata.api_key.as_deref().map(KeyHash::of) else { return Ok(()) };
    match catalog.find_workspace_by_key(key) {
        Some(row) if row.name == *workspace => Ok(()),
        Some(_) | None => Err(unknown_key(&catalog, key)),
    }
}

/// Builds the request for the upstream of `placement`.
fn build_request(
    admitted: &AdmittedRequest,
    placement: &Placement,
    time_left: Duration,
    resume: Option<ResumePoint>,
) -> Request<Full<Bytes>> {
    let fields = ForwardMetadata {
        upstream: &placement.upstream,
        remaining: time_left,
        workspace: admitted.workspace_text.as_deref(),
        priority: admitted.priority,
        last_event_id: resume.and_then(|point| point.last_id),
    };
    let mut request = Request::new(Full::new(admitted.body.clone()));
    *request.method_mut() = admitted.method.clone();
    let path = admitted.uri.path_and_query().cloned();
    *request.uri_mut() = Uri::from(path.unwrap_or_else(|| PathAndQuery::from_static("/")));
    *request.headers_mut() = encode_forward_headers(&admitted.headers, &fields);
    request
}

/// Sends `admitted` once, to the upstream of `placement`.
async fn send_once(
    admitted: &AdmittedRequest,
    progress: &mut RequestProgress,
    trace: &RequestTrace,
    placement: &Placement,
    resume: Option<ResumePoint>,
) -> Result<UpstreamResponse, SendFailure> {
    let node = &trace.node;
    let entry = node.state().upstreams.find(&placement.upstream).map(|row| row.entry.clone());
    let Some(ListedUpstream { address, software, .. }) = entry else {
        return Err(SendFailure::new(SendOutcome::Unsent, "no longer in the upstream list"));
    };
    let Some(mut permit) = PermitLease::take(node, &placement.upstream).await else {
        return Err(SendFailure::new(SendOutcome::Withdrawn, LIMIT_REASON));
    };
    // Until here the request keeps its place before others that wait.
    progress.ticket = None;
    let mut in_flight = InFlightRequest::start(node, placement, &admitted.metadata.prompt_parts);
    in_flight.evidence = Some(version_evidence(admitted, node, placement, &software));
    loop {
        progress.connected = None;
        let (connection, kind) = open_connection(admitted, node, &in_flight, address).await?;
        progress.connected = Some(kind);
        let sent_at = clock::now();
        in_flight.sent_at = sent_at;
        let late = check_placed(admitted, progress, trace, placement).err();
        if let Some(reason) = withdrawal_reason(admitted, node, &permit, &in_flight, late) {
            node.keep_connection(&placement.upstream, connection, None);
            return Err(SendFailure::new(SendOutcome::Withdrawn, reason));
        }
        let time_left = admitted.deadline.since(sent_at);
        let request = build_request(admitted, placement, time_left, resume);
        record_sent(progress, &mut permit, &placement.upstream);
        let exchange =
            exchange(admitted, trace, connection, request, in_flight, resume).boxed_local();
        let sent = SentRequest { admitted, trace, placement, resume, kind, sent_at };
        let end = match receive_or_replace(sent, progress, exchange).await {
            SendEnd::Received(end) => *end,
            SendEnd::Left(left) => {
                return record_left(admitted, progress, trace, placement, sent_at, *left).await;
            }
        };
        let ExchangeEnd { connection, received, .. } = end;
        in_flight = end.in_flight;
        if received.as_ref().is_err_and(|failure| failure.outcome == SendOutcome::Unsent) {
            record_unsent(progress, &mut permit, node, &in_flight);
        }
        return match received {
            Err(failure)
                if failure.outcome == SendOutcome::Unsent && kind == ConnectionKind::Reused =>
            {
                continue;
            }
            Err(failure) => {
                handle_failure(admitted, progress, trace, &in_flight, &failure, sent_at).await;
                Err(failure)
            }
            Ok(ReceivedResponse::Complete(response, metadata)) => {
                in_flight.record_outcome(false);
                if response.status.is_success() {
                    record_proof(admitted, progress, node);
                }
                record_service_time(admitted, node, &in_flight, &response, sent_at);
                count_usage(admitted, progress, node, sent_at);
                if !metadata.closes_connection {
                    node.keep_connection(&placement.upstream, connection, metadata.keep_alive);
                }
                progress.verdict = RunVerdict::Ran;
                Ok(UpstreamResponse::Complete(response))
            }
            Ok(ReceivedResponse::Streaming {
                status,
                headers,
                first_batch,
                ended,
                body,
                buffer,
                lease,
                metadata,
            }) => {
                count_usage(admitted, progress, node, clock::now());
                progress.verdict = RunVerdict::Ran;
                progress.tried.push(placement.upstream.clone());
                if first_batch.is_some() {
                    record_origin(admitted, node, &software).await;
                    progress.software = Some(software);
                }
                let first_event_at = clock::now();
                let elapsed = first_event_at.since(sent_at);
                record_first_token(admitted, node, &in_flight, placement, elapsed);
                let source = UpstreamStream {
                    body,
                    buffer,
                    lease,
                    held_events: 0,
                    connection,
                    in_flight,
                    metadata,
                    first_event_at,
                    later_events: (0, first_event_at),
                };
                let response = StreamingResponse { status, headers, first_batch, ended, source };
                Ok(UpstreamResponse::Streaming(Box::new(response)))
            }
        };
    }
}

/// Records that the request is being sent to `upstream`. The caller may disconnect at any point after
/// this, leaving it unknown whether the request ran.
fn record_sent(progress: &mut RequestProgress, permit: &mut PermitLease, upstream: &UpstreamId) {
    progress.reservation.set_consumed(true);
    permit.set_consumed(true);
    if let Some(trial) = &mut progress.trial {
        trial.record_sent();
    }
    progress.attempts += 1;
    progress.awaited = Some(upstream.clone());
    if let Some(on_sent) = progress.on_sent.take() {
        // The receiver is gone if the silence of the upstream before has ended.
        _ = on_sent.send(());
    }
}

/// Records that no byte of the request was sent.
fn record_unsent(
    progress: &mut RequestProgress,
    permit: &mut PermitLease,
    node: &ForwardNode,
    in_flight: &InFlightRequest,
) {
    progress.attempts -= 1;
    permit.set_consumed(false);
    if let Some(VersionEvidence { pool, software, .. }) = &in_flight.evidence {
        node.state().versions.give_back(pool, software);
    }
}

/// Takes an idle connection to the upstream of `in_flight`, or opens one to its `address`.
async fn open_connection(
    admitted: &AdmittedRequest,
    node: &Rc<ForwardNode>,
    in_flight: &InFlightRequest,
    address: SocketAddr,
) -> Result<(HttpConnection, ConnectionKind), SendFailure> {
    let idle = node.connections.checkout(&in_flight.upstream, admitted.runs_at_most_once());
    if let Some(connection) = idle {
        return Ok((connection, ConnectionKind::Reused));
    }
    let (upstream, started_ms) = (&in_flight.upstream, in_flight.started_ms);
    match connect_upstream(node, upstream, started_ms, address).await {
        Ok(connection) if connection.via().is_some() => Ok((connection, ConnectionKind::Tunnel)),
        Ok(connection) => Ok((connection, ConnectionKind::New)),
        Err(error) => {
            if error.blames_upstream {
                in_flight.record_outcome(true);
            }
            let is_cut_off = error.is_cut_off;
            let outcome = if is_cut_off { SendOutcome::NoPath } else { SendOutcome::Unsent };
            Err(SendFailure::new(outcome, error.reason))
        }
    }
}

/// Records that an attempt sent at `sent_at` has failed.
async fn handle_failure(
    admitted: &AdmittedRequest,
    progress: &mut RequestProgress,
    trace: &RequestTrace,
    in_flight: &InFlightRequest,
    failure: &SendFailure,
    sent_at: BootTime,
) {
    let may_have_run = failure.outcome.verdict() != RunVerdict::NotRun;
    if may_have_run && !admitted.route.streams {
        count_usage(admitted, progress, &trace.node, sent_at);
    }
    in_flight.record_outcome(true);
    in_flight.record_failure(failure.outcome, failure.closed);
    if failure.closed && failure.outcome == SendOutcome::Broken {
        handle_closed(admitted, progress, trace, in_flight).await;
    }
}

/// Records that the upstream of `placement`, to which the request was sent at `sent_at`, was left. Returns the response of
/// the other one that was asked meanwhile.
async fn record_left(
    admitted: &AdmittedRequest,
    progress: &mut RequestProgress,
    trace: &RequestTrace,
    placement: &Placement,
    sent_at: BootTime,
    left: LeftUpstream,
) -> Result<UpstreamResponse, SendFailure> {
    let LeftUpstream { failure, in_flight, response } = left;
    if let Some(in_flight) = in_flight {
        handle_failure(admitted, progress, trace, &in_flight, &failure, sent_at).await;
    } else {
        if !admitted.route.streams {
            count_usage(admitted, progress, &trace.node, sent_at);
        }
        let mut state = trace.node.state();
        state.upstreams.record_outcome(&placement.upstream, true, clock::now());
        record_abandoned(&mut state, admitted, &placement.upstream);
    }
    response.ok_or(failure)
}

/// Why the request must not be sent to the upstream of `in_flight` any more, as known after its
/// connection was opened: the upstream has left, asked for time or named a limit, the request or a part
/// of it has crashed upstreams, or the configuration may have changed meanwhile. `late` is the refusal of a node that stops.
fn withdrawal_reason(
    admitted: &AdmittedRequest,
    node: &ForwardNode,
    permit: &PermitLease,
    in_flight: &InFlightRequest,
    late: Option<ErrorResponse>,
) -> Option<&'static str> {
    if let Some(refusal) = late {
        return Some(refusal.reason);
    }
    let now = in_flight.sent_at;
    if !permit.permits_send() {
        return Some(LIMIT_REASON);
    }
    if !node.state().freshness.allows_admission(now) {
        return Some("configuration not known to be the newest");
    }
    if node.state().upstreams.is_outdated(now) {
        return Some("upstream list not read for too long");
    }
    if !node.state().upstreams.accepts(&in_flight.upstream, now) {
        return Some("takes no requests any more");
    }
    barring_reason(admitted, node).or_else(|| take_version(node, in_flight))
}

/// Sends `request` on `connection` and receives the response, or the first event of its stream.
async fn exchange(
    admitted: &AdmittedRequest,
    trace: &RequestTrace,
    mut connection: HttpConnection,
    request: Request<Full<Bytes>>,
    mut in_flight: InFlightRequest,
    resume: Option<ResumePoint>,
) -> ExchangeEnd {
    let received = match connection.send(request).await {
        Ok(response) => receive_response(admitted, trace, response, &mut in_flight, resume).await,
        Err(error) => {
            let outcome = if error.unsent { SendOutcome::Unsent } else { SendOutcome::Broken };
            Err(SendFailure { closed: error.closed, ..SendFailure::new(outcome, error.reason) })
        }
    };
    ExchangeEnd { connection, in_flight, received }
}

/// Records the whole `response` of an upstream, and the time that a plain one took for it.
fn record_service_time(
    admitted: &AdmittedRequest,
    node: &ForwardNode,
    in_flight: &InFlightRequest,
    response: &CompleteResponse,
    sent_at: BootTime,
) {
    let elapsed = clock::now().since(sent_at);
    in_flight.record_complete(response.status, elapsed);
    if !admitted.engine && response.status.is_success() {
        node.state().speeds.speed_mut(&admitted.pool).record_service(elapsed);
    }
}

/// Records the time that an upstream took for the first event of a stream. An engine's may measure the speed.
fn record_first_token(
    admitted: &AdmittedRequest,
    node: &ForwardNode,
    in_flight: &InFlightRequest,
    placement: &Placement,
    elapsed: Duration,
) {
    if admitted.engine {
        let mut state = node.state();
        state.speeds.speed_mut(&admitted.pool).record_wait(in_flight.expected(), elapsed);
    }
    in_flight.record_start_time(elapsed);
    if admitted.engine && in_flight.is_alone && placement.is_prefill_certain {
        let mut state = node.state();
        let speed = state.speeds.speed_mut(&admitted.pool);
        speed.record_first_token(placement.prefill_tokens, elapsed);
    }
}

fn count_usage(
    admitted: &AdmittedRequest,
    progress: &mut RequestProgress,
    node: &ForwardNode,
    started_at: BootTime,
) {
    let Some(name) = admitted.workspace.as_ref().filter(|_| !progress.counted) else { return };
    progress.counted = true;
    let counted = node.state().count_request(name, started_at, &node.settings());
    if !counted {
        let fields =
            json!({ "request": admitted.metadata.attempt_id, "reason": "time of day unknown" });
        node.log.record("uncounted", fields);
    }
}
