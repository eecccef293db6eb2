//! Calls to plain services, some of which may not be repeated.

use std::time::{Duration, Instant};

use actix_web::{HttpRequest, HttpResponse, http::StatusCode, web};
use bytes::Bytes;
use log::{info, warn};
use samphiredeck_core::{
    claim::{ClaimDecision, ClaimedStage, NonIdempotentCall, decide_claim, digest_call},
    engine_api::{REQUEST_ID_HEADER, RUN_VERDICT_HEADER},
    group_commit::OperationOutcome,
    ids::{ConfigVersion, RequestId, RowVersion, ServiceName, UpstreamId, WorkspaceName},
    patient::INLINE_TEXT_MAX_BYTES,
    platform_api::{RowCondition, RowWrite, TableRead, VersionedRow},
    rows::{ClaimRow, ClaimState, claim_key},
    verdict::RunVerdict,
};

use super::{
    CallerTools, authenticate,
    reply::CallerError,
    request::{CallerHeaders, read_body},
};
use crate::{
    event::{ControlEvent, RunPlacement, WriteReply, WriteRequest, parse_row},
    logging::RUN,
    platform_client::PlatformError,
    service_client::{CallAnswer, CallError, ServiceCall},
};

/// Bound on a call where the caller names none.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a claim may wait for the table service.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Sends of a call that may be repeated, or of one that surely did not run.
const SENDS_MAX: usize = 4;
/// Pause between two looks at a call that runs under the same key.
const WAIT_PAUSE: Duration = Duration::from_millis(250);
/// Time for which a caller waits for a call that runs under the same key.
const WAIT_MAX: Duration = Duration::from_secs(10);
/// Pause between two tries to store an answer.
const STORE_PAUSE: Duration = Duration::from_millis(500);
/// Tries to store an answer.
const STORE_TRIES: u32 = 600;

/// Call of a caller to a service, as checked.
#[derive(Clone, Debug)]
struct CheckedCall {
    request: RequestId,
    workspace: WorkspaceName,
    version: ConfigVersion,
    backend: ServiceName,
    repeatable: bool,
    method: awc::http::Method,
    path: String,
    content_type: String,
    timeout: Duration,
}

/// Routes a call to the service that is declared for its path.
pub async fn call_service(
    request: HttpRequest,
    payload: web::Payload,
    tools: web::Data<CallerTools>,
) -> Result<HttpResponse, CallerError> {
    let headers = CallerHeaders::try_from(&request)?;
    let call = check_call(&request, &tools, &headers)?;
    let body = read_body(payload, tools.body_limit).await?;
    let id = call.request.clone();
    let answer = match (&headers.idempotency_key, call.repeatable) {
        (Some(key), _) => call_once_by_key(&tools, &call, key, body).await,
        (None, true) => call_repeatable(&tools, &call, &body).await,
        (None, false) => {
            let guarded = NonIdempotentCall::receive(id.clone(), body.to_vec()).without_key();
            send_guarded(&tools, &call, guarded).await.map_err(SendError::into_caller_error)
        }
    };
    let answer = answer.map_err(|error| error.about(&id))?;
    Ok(write_answer(&id, &answer))
}

fn check_call(
    request: &HttpRequest,
    tools: &CallerTools,
    headers: &CallerHeaders,
) -> Result<CheckedCall, CallerError> {
    let config = tools.config()?;
    let workspace = authenticate(request, &config)?;
    let backend = config
        .declaration
        .service_for_path(request.path())
        .filter(|backend| workspace.may_call_service(&backend.name))
        .ok_or_else(|| CallerError::unknown_path(request.path()))?;
    let content_type = request.headers().get("content-type");
    let method = awc::http::Method::from_bytes(request.method().as_str().as_bytes());
    let path = request.uri().path_and_query().map_or(request.path(), |path| path.as_str());
    let ticket = tools.runs.control.next_ticket();
    Ok(CheckedCall {
        request: tools.runs.control.request_id(ticket),
        workspace: workspace.name.clone(),
        version: config.row.version,
        backend: backend.name.clone(),
        repeatable: backend.repeatable,
        method: method.map_err(|error| CallerError::bad_field("method", error))?,
        path: path.to_owned(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned(),
        timeout: headers.deadline.unwrap_or(CALL_TIMEOUT).min(CALL_TIMEOUT),
    })
}

fn write_answer(id: &RequestId, answer: &CallAnswer) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    HttpResponse::build(status)
        .insert_header((REQUEST_ID_HEADER, id.to_string()))
        .insert_header((RUN_VERDICT_HEADER, RunVerdict::Ran.to_string()))
        .insert_header(("content-type", answer.content_type.clone()))
        .body(answer.body.clone())
}

/// Why a call has no answer.
#[derive(Debug)]
enum SendError {
    /// It was refused before it was sent anywhere, or never reached an upstream.
    NotRun(CallerError),
    /// It may have run.
    MayHaveRun(CallerError),
}

impl SendError {
    fn into_caller_error(self) -> CallerError {
        match self {
            Self::NotRun(error) | Self::MayHaveRun(error) => error,
        }
    }
}

async fn place_call(
    tools: &CallerTools,
    call: &CheckedCall,
    exclude: &[UpstreamId],
) -> Result<RunPlacement, CallerError> {
    let ask = |reply| ControlEvent::PlaceCall {
        workspace: call.workspace.clone(),
        version: call.version,
        service: call.backend.clone(),
        exclude: exclude.to_vec(),
        reply,
    };
    match tools.runs.control.ask(ask).await {
        Some(Ok(placement)) => Ok(placement),
        Some(Err(refusal)) => Err(refusal.into()),
        None => Err(crate::handle::ControlHandle::busy().into()),
    }
}

/// Sends a call to one upstream.
async fn send_to(
    tools: &CallerTools,
    call: &CheckedCall,
    placement: &RunPlacement,
    body: Vec<u8>,
) -> Result<CallAnswer, CallError> {
    let sent = tools
        .services
        .call(ServiceCall {
            address: &placement.address,
            request: &call.request,
            method: &call.method,
            path: &call.path,
            content_type: &call.content_type,
            body,
            timeout: call.timeout,
        })
        .await;
    let (upstream, failed) = (placement.upstream.clone(), sent.is_err());
    tools.runs.control.tell(ControlEvent::EndCall { upstream, failed });
    sent
}

/// Sends a call that may be repeated, to one upstream after the other.
async fn call_repeatable(
    tools: &CallerTools,
    call: &CheckedCall,
    body: &Bytes,
) -> Result<CallAnswer, CallerError> {
    let mut exclude = Vec::new();
    let mut verdict = RunVerdict::NotRun;
    let mut last = CallerError::unsure();
    for _ in 0..SENDS_MAX {
        let placement = match place_call(tools, call, &exclude).await {
            Ok(placement) => placement,
            Err(error) if verdict == RunVerdict::NotRun => return Err(error),
            Err(_) => return Err(last),
        };
        match send_to(tools, call, &placement, body.to_vec()).await {
            Ok(answer) => return Ok(answer),
            Err(error) => {
                verdict = verdict.join(error.verdict);
                last = failure(verdict, &error);
            }
        }
        exclude.push(placement.upstream);
    }
    Err(last)
}

fn failure(verdict: RunVerdict, error: &CallError) -> CallerError {
    match verdict {
        RunVerdict::NotRun => CallerError::from(crate::run::RunFailure {
            reason: "no-upstream".to_owned(),
            verdict,
            retry_after_s: 1,
        }),
        RunVerdict::MayHaveRun | RunVerdict::Ran => {
            CallerError::may_have_run("upstream-lost", format!("request: {}", error.reason))
        }
    }
}

/// Sends a call that may not be repeated. Only what surely did not run goes elsewhere.
async fn send_guarded(
    tools: &CallerTools,
    call: &CheckedCall,
    guarded: NonIdempotentCall<ClaimedStage>,
) -> Result<CallAnswer, SendError> {
    let mut exclude = Vec::new();
    let body = match guarded.into_body(Instant::now()) {
        Ok(body) => body,
        Err(_unsent) => return Err(SendError::NotRun(CallerError::table_down())),
    };
    let mut last = CallerError::unsure();
    for _ in 0..SENDS_MAX {
        let placement = place_call(tools, call, &exclude).await.map_err(SendError::NotRun)?;
        match send_to(tools, call, &placement, body.clone()).await {
            Ok(answer) => return Ok(answer),
            Err(error) if error.verdict == RunVerdict::NotRun => {
                last = failure(error.verdict, &error);
            }
            Err(error) => {
                warn!(target: RUN, "Request {} may have run: {error}.", call.request);
                return Err(SendError::MayHaveRun(failure(error.verdict, &error)));
            }
        }
        exclude.push(placement.upstream);
    }
    Err(SendError::NotRun(last))
}

/// Claim of this node, with what is needed to change it.
struct HeldClaim {
    key: String,
    row: ClaimRow,
    version: RowVersion,
}

/// Runs a call at most once for its key, and returns the stored answer to a repeated one.
async fn call_once_by_key(
    tools: &CallerTools,
    call: &CheckedCall,
    idempotency_key: &str,
    body: Bytes,
) -> Result<CallAnswer, CallerError> {
    let key = claim_key(&call.workspace, idempotency_key);
    let digest = digest_call(call.method.as_str(), &call.path, &body);
    let (node, incarnation) = tools
        .runs
        .control
        .ask(ControlEvent::Identity)
        .await
        .ok_or_else(|| CallerError::from(crate::handle::ControlHandle::busy()))?;
    let row = ClaimRow {
        request: call.request.clone(),
        node,
        incarnation,
        digest: digest.clone(),
        state: ClaimState::Claimed,
    };
    let waited_from = Instant::now();
    let mut over = RowVersion(0);
    loop {
        let known = match tools.turns.take(&key) {
            Ok(turn) => {
                let reply = write_claim(tools, &key, &row, over).await?;
                drop(turn);
                match reply.outcome {
                    OperationOutcome::Committed(version) => {
                        let lease_end = reply.lease_end.ok_or_else(CallerError::table_down)?;
                        let guarded =
                            NonIdempotentCall::receive(call.request.clone(), body.to_vec())
                                .claim(lease_end);
                        let claim = HeldClaim { key, row, version };
                        return run_claimed(tools, call, guarded, claim).await;
                    }
                    OperationOutcome::NotCommitted => return Err(CallerError::table_down()),
                    OperationOutcome::Conflict(rows) => {
                        let view = rows.into_iter().find(|view| view.key == key);
                        Some(view.ok_or_else(CallerError::table_down)?)
                    }
                }
            }
            Err(mut other) => {
                // Closed by the end of the other call's turn, which changes nothing else.
                while other.changed().await.is_ok() {}
                read_claim(tools, &key).await.map_err(|_error| CallerError::table_down())?
            }
        };
        over = match known {
            None => RowVersion(0),
            Some(view) => match settle_known(tools, &view, &digest, waited_from).await? {
                KnownCall::Answer(answer) => return Ok(answer),
                KnownCall::ClaimOver(version) => version,
            },
        };
    }
}

/// Reads the claim of `key`, if there is one.
async fn read_claim(tools: &CallerTools, key: &str) -> Result<Option<VersionedRow>, PlatformError> {
    let read = TableRead { keys: vec![key.to_owned()], prefixes: Vec::new() };
    let rows = tools.platform.read(&read).await?;
    Ok(rows.rows.into_iter().next())
}

async fn write_claim(
    tools: &CallerTools,
    key: &str,
    row: &ClaimRow,
    over: RowVersion,
) -> Result<WriteReply, CallerError> {
    let ask = WriteRequest {
        conditions: vec![RowCondition { key: key.to_owned(), version: over }],
        writes: vec![RowWrite { key: key.to_owned(), value: serde_json::to_string(row).ok() }],
        give_up_at: Instant::now() + CLAIM_TIMEOUT,
    };
    // The call was not sent, so it did not run, whatever becomes of the claim.
    let waited = tokio::time::timeout(
        CLAIM_TIMEOUT * 2,
        tools.runs.control.ask(|reply| ControlEvent::Write(ask, reply)),
    );
    match waited.await {
        Ok(Some(reply)) => Ok(reply),
        Ok(None) => Err(crate::handle::ControlHandle::busy().into()),
        Err(_elapsed) => Err(CallerError::table_down()),
    }
}

/// What is known of a key that was claimed before.
enum KnownCall {
    /// The stored answer.
    Answer(CallAnswer),
    /// The claim was released, at this version of its row.
    ClaimOver(RowVersion),
}

/// Follows a claim until it is settled, for as long as a caller is kept waiting.
async fn settle_known(
    tools: &CallerTools,
    view: &VersionedRow,
    digest: &str,
    waited_from: Instant,
) -> Result<KnownCall, CallerError> {
    let mut view = view.clone();
    loop {
        let Some(row) = parse_row::<ClaimRow>(&view) else {
            return Ok(KnownCall::ClaimOver(view.version));
        };
        let (node, incarnation) = (row.node.clone(), row.incarnation);
        let ask = |reply| ControlEvent::IsRegistered { node, incarnation, reply };
        let running = tools.runs.control.ask(ask).await.unwrap_or(true);
        match decide_claim(&row, digest, |_, _| running) {
            ClaimDecision::KeyReused => return Err(CallerError::other_call()),
            ClaimDecision::ClaimAgain => return Ok(KnownCall::ClaimOver(view.version)),
            ClaimDecision::Stored { status, content_type, body, object } => {
                let body = load_body(tools, body, object).await?;
                let answer = CallAnswer { status, content_type, body };
                return Ok(KnownCall::Answer(answer));
            }
            ClaimDecision::Unknown => return Err(unknown_outcome(&row)),
            ClaimDecision::MarkUnknown => mark_unknown(tools, &view, &row).await,
            ClaimDecision::Wait { request } => {
                if waited_from.elapsed() >= WAIT_MAX {
                    return Err(CallerError::still_running(&request));
                }
            }
        }
        tokio::time::sleep(WAIT_PAUSE).await;
        let Ok(found) = read_claim(tools, &view.key).await else {
            return Err(CallerError::still_running(&row.request));
        };
        match found {
            Some(fresh) => view = fresh,
            None => return Ok(KnownCall::ClaimOver(RowVersion(0))),
        }
    }
}

fn unknown_outcome(row: &ClaimRow) -> CallerError {
    let message = "request: the node that ran it is gone, and nobody can tell the outcome";
    CallerError::may_have_run("outcome-unknown", message).about(&row.request)
}

async fn mark_unknown(tools: &CallerTools, view: &VersionedRow, row: &ClaimRow) {
    let row = ClaimRow { state: ClaimState::Unknown, ..row.clone() };
    // A lost race is seen by the next read.
    drop(write_claim(tools, &view.key, &row, view.version).await);
}

async fn load_body(
    tools: &CallerTools,
    body: String,
    object: Option<String>,
) -> Result<Bytes, CallerError> {
    let Some(key) = object else { return Ok(Bytes::from(body)) };
    tools.platform.get_object(&key).await.map_err(|_error| CallerError::table_down())
}

/// Sends a claimed call and records what became of it.
async fn run_claimed(
    tools: &CallerTools,
    call: &CheckedCall,
    guarded: NonIdempotentCall<ClaimedStage>,
    claim: HeldClaim,
) -> Result<CallAnswer, CallerError> {
    let sent = send_guarded(tools, call, guarded).await;
    let tools = tools.clone();
    match sent {
        Ok(answer) => {
            let kept = answer.clone();
            actix_web::rt::spawn(async move { store_answer(&tools, claim, kept).await });
            Ok(answer)
        }
        Err(SendError::NotRun(error)) => {
            let released = async move { store_state(&tools, claim, ClaimState::Released).await };
            actix_web::rt::spawn(released);
            Err(error)
        }
        Err(SendError::MayHaveRun(error)) => {
            let unknown = async move { store_state(&tools, claim, ClaimState::Unknown).await };
            actix_web::rt::spawn(unknown);
            Err(error)
        }
    }
}

async fn store_answer(tools: &CallerTools, claim: HeldClaim, answer: CallAnswer) {
    let text = String::from_utf8(answer.body.to_vec());
    let mut object = None;
    let body = match text {
        Ok(text) if text.len() <= INLINE_TEXT_MAX_BYTES => text,
        _ => {
            let key = format!("answer-{}", claim.row.request);
            if !store_object(tools, &key, &answer.body).await {
                return;
            }
            object = Some(key);
            String::new()
        }
    };
    let state =
        ClaimState::Done { status: answer.status, content_type: answer.content_type, body, object };
    store_state(tools, claim, state).await;
}

async fn store_object(tools: &CallerTools, key: &str, body: &Bytes) -> bool {
    for _ in 0..STORE_TRIES {
        let text = String::from_utf8_lossy(body).into_owned();
        if tools.platform.put_object(key, text).await.is_ok() {
            return true;
        }
        tokio::time::sleep(STORE_PAUSE).await;
    }
    false
}

/// Writes the end of a claim, as long as it takes.
async fn store_state(tools: &CallerTools, claim: HeldClaim, state: ClaimState) {
    let row = ClaimRow { state, ..claim.row };
    for _ in 0..STORE_TRIES {
        let reply = write_claim(tools, &claim.key, &row, claim.version).await;
        match reply.map(|reply| reply.outcome) {
            Ok(OperationOutcome::Committed(_)) => return,
            Ok(OperationOutcome::Conflict(_)) => {
                info!(target: RUN, "The claim of {} was settled by another.", row.request);
                return;
            }
            Ok(OperationOutcome::NotCommitted) | Err(_) => tokio::time::sleep(STORE_PAUSE).await,
        }
    }
}
