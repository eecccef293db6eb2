//! Sends of one request to upstreams, until one answers or none may have it any more.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, Uri, uri::PathAndQuery};
use http_body_util::Full;
use rand::random;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        catalog::RetryPolicy,
        deadline::fits_deadline,
        outcome::{NextStep, SendOutcome, next_step},
        placement::{Placement, PlacementRequest, choose_upstream},
    },
    ids::UpstreamId,
    verdict::RunVerdict,
};
use samphiredeck_platform::headers::{ForwardMetadata, encode_forward_headers};
use serde_json::json;
use tokio::time::timeout;

use crate::forward::{
    clock,
    in_flight::UpstreamFlight,
    node::ForwardNode,
    quota::TakenUnits,
    request::{AdmittedCall, CallRefusal, CallTrace, come_back},
    upstream_response::{
        SendFailure, StreamAnswer, StreamSource, TakenAnswer, UpstreamAnswer, take_answer,
    },
};

/// Time below which a request is no longer sent, since no upstream can answer in it.
const SEND_TIME_MIN: Duration = Duration::from_millis(20);
/// Share of the time left after which a request that may be repeated is tried elsewhere.
const TRY_SHARE: f64 = 0.5;
/// Times the target after which a stream that may be repeated and shows no event is tried
/// elsewhere.
const STREAM_TRY_TARGETS: f64 = 2.0;
/// Most upstreams to which a connection is tried for one request.
const CONNECTS_MAX: usize = 3;

/// Sends of one request so far.
#[derive(Debug)]
pub struct CallProgress {
    /// Upstreams that had the request, or that could not be reached.
    pub tried: Vec<UpstreamId>,
    /// Upstreams that the request was sent to.
    pub sent: u32,
    /// Whether it may have run.
    pub verdict: RunVerdict,
    /// Whether it was counted as begun.
    pub counted: bool,
    /// Units taken from the workspace's limit.
    taken: TakenUnits,
}

impl CallProgress {
    /// Starts without any send, for a request that `taken` was taken for.
    pub fn new(taken: TakenUnits) -> Self {
        let (tried, verdict) = (Vec::new(), RunVerdict::NotRun);
        Self { tried, sent: 0, verdict, counted: false, taken }
    }
}

/// Sends `call` until an upstream answers or the request has to be given up. With `resume`, the
/// upstream continues after that event.
///
/// # Errors
///
/// Returns the answer that the caller gets instead.
pub async fn attempt(
    call: &AdmittedCall,
    progress: &mut CallProgress,
    trace: &CallTrace,
    resume: Option<u64>,
) -> Result<UpstreamAnswer, CallRefusal> {
    let node = &trace.node;
    let mut connects = 0;
    loop {
        let now = clock::now();
        let left = call.ends_at.since(now);
        if left < SEND_TIME_MIN {
            return Err(give_up_late(progress, left));
        }
        if !node.beliefs().proof.allows_admission(now) {
            return Err(end_without_answer(
                progress,
                "configuration not known to be the newest",
                left,
            ));
        }
        let choice = place(call, progress, trace, now, left)?;
        if progress.sent > 0 {
            if !node.beliefs().repeats.take(&call.pool, now) {
                return Err(end_without_answer(progress, "no budget for another send", left));
            }
            node.gauges.repeats.inc();
        }
        let failure = match send(call, progress, trace, &choice, resume).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        let spent = failure.outcome != SendOutcome::Unsent;
        progress.sent += u32::from(spent);
        connects += usize::from(!spent);
        progress.verdict = progress.verdict.join(failure.outcome.verdict());
        progress.taken.set_spent(progress.verdict != RunVerdict::NotRun);
        progress.tried.push(choice.upstream.clone());
        let attempts = call.route.max_attempts.saturating_sub(progress.sent);
        let attempts = if connects >= CONNECTS_MAX { 0 } else { attempts };
        let step = next_step(failure.outcome, progress.verdict, call.route.retry, attempts);
        let fields = json!({
            "request": trace.request, "upstream": choice.upstream.as_str(),
            "outcome": format!("{:?}", failure.outcome), "reason": failure.reason,
            "verdict": progress.verdict.to_string(), "next": format!("{step:?}"),
            "sent": progress.sent, "age_ms": trace.age_ms(),
        });
        node.journal.note("send-failed", fields);
        let left = call.ends_at.since(clock::now());
        match (step, failure.answer) {
            (NextStep::SendAgain, _) => {}
            (NextStep::Deliver, Some(answer)) => return Ok(UpstreamAnswer::Whole(answer)),
            (NextStep::RefuseUnrun, _) => {
                let wait = come_back(Duration::ZERO, left);
                return Err(CallRefusal::unrun("upstream did not take the request", wait));
            }
            (NextStep::Deliver | NextStep::GiveUp, _) if left < SEND_TIME_MIN => {
                return Err(give_up_late(progress, left));
            }
            (NextStep::Deliver | NextStep::GiveUp, _) => {
                let status = StatusCode::BAD_GATEWAY;
                return Err(CallRefusal::last(status, "upstream gave no whole answer"));
            }
        }
    }
}

/// Answer for a request whose time is over.
fn give_up_late(progress: &CallProgress, left: Duration) -> CallRefusal {
    if progress.verdict == RunVerdict::NotRun {
        return CallRefusal::unrun("no time left to send the request", come_back(left, left));
    }
    CallRefusal::last(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
}

/// Answer for a request that is not sent again.
fn end_without_answer(
    progress: &CallProgress,
    reason: &'static str,
    left: Duration,
) -> CallRefusal {
    if progress.verdict == RunVerdict::NotRun {
        return CallRefusal::unrun(reason, come_back(Duration::ZERO, left));
    }
    CallRefusal::last(StatusCode::BAD_GATEWAY, reason)
}

fn place(
    call: &AdmittedCall,
    progress: &CallProgress,
    trace: &CallTrace,
    now: BootTime,
    left: Duration,
) -> Result<Placement, CallRefusal> {
    let node = &trace.node;
    let settings = node.settings();
    let beliefs = node.beliefs();
    let request = PlacementRequest {
        pool: &call.pool,
        engine: call.engine,
        parts: &call.fields.prompt_parts,
        tried: &progress.tried,
        max_connections: beliefs.connection_part(call.max_connections, now),
    };
    let choice = choose_upstream(&beliefs.roster, &request, &settings.domain, now, random::<f64>);
    let list_age = beliefs.roster.read_at().map(|at| now.since(at).as_millis());
    drop(beliefs);
    let Some(choice) = choice else {
        let fields = json!({
            "request": trace.request, "pool": call.pool.as_str(), "list_age_ms": list_age,
            "tried": progress.tried.len(),
        });
        node.journal.note("no-upstream", fields);
        return Err(end_without_answer(progress, "no upstream takes work", left));
    };
    let fields = json!({
        "request": trace.request, "upstream": choice.upstream.as_str(),
        "expected_ms": choice.expected_wait.as_millis(), "unread": choice.uncached_tokens, "home": choice.has_affinity,
        "left_ms": left.as_millis(), "version": call.version, "list_age_ms": list_age,
    });
    if !fits_deadline(choice.expected_wait, left) {
        node.journal.note("overloaded", fields);
        let excess = choice.expected_wait.saturating_sub(left / 2);
        if progress.verdict == RunVerdict::NotRun {
            return Err(CallRefusal::unrun("too long a wait", come_back(excess, left)));
        }
        return Err(end_without_answer(progress, "too long a wait", left));
    }
    node.journal.note("place", fields);
    Ok(choice)
}

/// Builds the request for the upstream of `choice`.
fn build_request(
    call: &AdmittedCall,
    choice: &Placement,
    left: Duration,
    resume: Option<u64>,
) -> Request<Full<Bytes>> {
    let fields = ForwardMetadata {
        upstream: &choice.upstream,
        remaining: left,
        workspace: call.workspace.as_ref(),
        priority: call.priority,
        last_event_id: resume,
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    let path = call.uri.path_and_query().cloned();
    *request.uri_mut() = Uri::from(path.unwrap_or_else(|| PathAndQuery::from_static("/")));
    *request.headers_mut() = encode_forward_headers(&call.headers, &fields);
    request
}

/// Sends `call` once, to the upstream of `choice`.
async fn send(
    call: &AdmittedCall,
    progress: &mut CallProgress,
    trace: &CallTrace,
    choice: &Placement,
    resume: Option<u64>,
) -> Result<UpstreamAnswer, SendFailure> {
    let node = &trace.node;
    let address = node.beliefs().roster.find(&choice.upstream).map(|row| row.entry.address);
    let Some(address) = address else {
        return Err(SendFailure::new(SendOutcome::Unsent, "no longer listed"));
    };
    let mut flight = UpstreamFlight::begin(node, choice);
    let again_possible = call.route.max_attempts > progress.sent + 1;
    loop {
        let kept = node.pool.take(&choice.upstream, call.runs_once());
        let fresh = kept.is_none();
        let mut link = match kept {
            Some(link) => link,
            None => match node.pool.connect(address).await {
                Ok(link) => {
                    node.gauges.connections.inc();
                    link
                }
                Err(error) => {
                    flight.note_outcome(true);
                    return Err(SendFailure::new(SendOutcome::Unsent, error.to_string()));
                }
            },
        };
        let sent_at = clock::now();
        let left = call.ends_at.since(sent_at);
        let bound = try_bound(call, left, again_possible);
        let request = build_request(call, choice, left, resume);
        // From here on the caller may leave without a sign whether the request has run.
        progress.taken.set_spent(true);
        let exchange = async {
            let response = link.send(request).await.map_err(|error| {
                let outcome = if error.unsent { SendOutcome::Unsent } else { SendOutcome::Broken };
                SendFailure::new(outcome, error.reason)
            })?;
            take_answer(call, trace, response, &mut flight).await
        };
        let taken = match timeout(bound, exchange).await {
            Ok(taken) => taken,
            Err(_late) => {
                let reason = format!("no answer within {bound:?}");
                Err(SendFailure::new(SendOutcome::Broken, reason))
            }
        };
        return match taken {
            Err(failure) if failure.outcome == SendOutcome::Unsent && !fresh => continue,
            Err(failure) => {
                let ran = failure.outcome != SendOutcome::Rejected
                    && failure.outcome != SendOutcome::Unsent;
                if ran && !call.route.streams {
                    count_start(call, progress, node, sent_at);
                }
                flight.note_outcome(true);
                Err(failure)
            }
            Ok(TakenAnswer::Whole(answer, marks)) => {
                flight.note_outcome(false);
                count_start(call, progress, node, sent_at);
                if !marks.closes_connection {
                    node.pool.keep(&choice.upstream, link, marks.keep_alive);
                }
                progress.sent += 1;
                progress.verdict = RunVerdict::Ran;
                Ok(UpstreamAnswer::Whole(answer))
            }
            Ok(TakenAnswer::Stream { status, headers, first, ended, body, buffer, marks }) => {
                count_start(call, progress, node, clock::now());
                progress.sent += 1;
                progress.verdict = RunVerdict::Ran;
                progress.tried.push(choice.upstream.clone());
                let source = StreamSource { body, buffer, link, flight, marks };
                let answer = StreamAnswer { status, headers, first, ended, source };
                Ok(UpstreamAnswer::Stream(Box::new(answer)))
            }
        };
    }
}

fn count_start(
    call: &AdmittedCall,
    progress: &mut CallProgress,
    node: &ForwardNode,
    began_at: BootTime,
) {
    let Some(workspace) = call.workspace.as_ref().filter(|_| !progress.counted) else { return };
    progress.counted = true;
    let counted = node.beliefs().count_start(workspace, began_at, &node.settings());
    if !counted {
        let fields = json!({ "request": call.fields.attempt_id, "reason": "time of day unknown" });
        node.journal.note("uncounted", fields);
    }
}

/// Time after which a send without an answer is given up.
fn try_bound(call: &AdmittedCall, left: Duration, again_possible: bool) -> Duration {
    if !again_possible {
        return left;
    }
    match call.route.retry {
        RetryPolicy::NonIdempotent => left,
        RetryPolicy::Idempotent => left.mul_f64(TRY_SHARE),
        RetryPolicy::Resumable => left.min(call.route.latency_target.mul_f64(STREAM_TRY_TARGETS)),
    }
}
