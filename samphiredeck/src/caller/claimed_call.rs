//! Calls with an idempotency key, which run at most once: claims and stored responses.

use std::time::{Duration, Instant};

use bytes::Bytes;
use log::info;
use samphiredeck_core::{
    claim::{ClaimDecision, ClaimedStage, NonIdempotentCall, decide_claim, digest_call},
    group_commit::OperationOutcome,
    ids::RowVersion,
    patient::INLINE_TEXT_MAX_BYTES,
    platform_api::{RowCondition, RowWrite, TableRead, VersionedRow},
    rows::{ClaimRow, ClaimState, claim_key},
};

use super::{
    CallerContext,
    error::CallerError,
    service::{CheckedCall, SendError, send_non_idempotent},
};
use crate::{
    event::{ControlEvent, WriteReply, WriteRequest, parse_row},
    logging::RUN,
    platform_client::PlatformError,
    service_client::ServiceResponse,
};

/// Time after which the write of a claim is abandoned if it was not sent to the table service.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between reads of the claim of a running call with the same key.
const WAIT_POLL_PERIOD: Duration = Duration::from_millis(250);
/// Maximum time a caller waits for a running call with the same key.
const WAIT_MAX: Duration = Duration::from_secs(10);
/// Delay between attempts to store a response or a claim.
const STORE_DELAY: Duration = Duration::from_millis(500);
/// Maximum attempts to store a response or a claim.
const STORE_ATTEMPTS_MAX: u32 = 600;

/// Claim held by this node, with the row version for a conditional update.
struct HeldClaim {
    key: String,
    row: ClaimRow,
    version: RowVersion,
}

/// Runs a call at most once per idempotency key. A repeated call gets the stored response.
pub(super) async fn call_with_key(
    context: &CallerContext,
    call: &CheckedCall,
    idempotency_key: &str,
    body: Bytes,
) -> Result<ServiceResponse, CallerError> {
    let key = claim_key(&call.workspace, idempotency_key);
    let digest = digest_call(call.method.as_str(), &call.path, &body);
    let (node, incarnation) = context
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
    let wait_start = Instant::now();
    let mut expected = RowVersion(0);
    loop {
        let existing = match context.claim_locks.try_lock(&key) {
            Ok(guard) => {
                let reply = write_claim(context, &key, &row, expected).await?;
                drop(guard);
                match reply.outcome {
                    OperationOutcome::Committed(version) => {
                        let lease_end = reply.lease_end.ok_or_else(CallerError::table_down)?;
                        let claimed_call =
                            NonIdempotentCall::receive(call.request.clone(), body.to_vec())
                                .claim(lease_end);
                        let claim = HeldClaim { key, row, version };
                        return run_claimed(context, call, claimed_call, claim).await;
                    }
                    OperationOutcome::NotCommitted => return Err(CallerError::table_down()),
                    OperationOutcome::Conflict(rows) => {
                        let stored = rows.into_iter().find(|stored| stored.key == key);
                        Some(stored.ok_or_else(CallerError::table_down)?)
                    }
                }
            }
            Err(mut released) => {
                // The channel carries no values and closes when the other call releases the lock.
                while released.changed().await.is_ok() {}
                read_claim(context, &key).await.map_err(|_error| CallerError::table_down())?
            }
        };
        expected = match existing {
            None => RowVersion(0),
            Some(row) => match await_existing_claim(context, &row, &digest, wait_start).await? {
                ExistingClaim::Answered(response) => return Ok(response),
                ExistingClaim::Released(version) => version,
            },
        };
    }
}

/// Reads the claim row of `key`.
async fn read_claim(
    context: &CallerContext,
    key: &str,
) -> Result<Option<VersionedRow>, PlatformError> {
    let read = TableRead { keys: vec![key.to_owned()], prefixes: Vec::new() };
    let rows = context.platform.read(&read).await?;
    Ok(rows.rows.into_iter().next())
}

async fn write_claim(
    context: &CallerContext,
    key: &str,
    row: &ClaimRow,
    expected: RowVersion,
) -> Result<WriteReply, CallerError> {
    let request = WriteRequest {
        conditions: vec![RowCondition { key: key.to_owned(), version: expected }],
        writes: vec![RowWrite { key: key.to_owned(), value: serde_json::to_string(row).ok() }],
        give_up_at: Instant::now() + CLAIM_TIMEOUT,
    };
    // The call itself has not been sent yet, so it has not run whatever the outcome of the write.
    let waited = tokio::time::timeout(
        CLAIM_TIMEOUT * 2,
        context.runs.control.ask(|reply| ControlEvent::Write(request, reply)),
    );
    match waited.await {
        Ok(Some(reply)) => Ok(reply),
        Ok(None) => Err(crate::handle::ControlHandle::busy().into()),
        Err(_elapsed) => Err(CallerError::table_down()),
    }
}

/// Settled state of an existing claim.
enum ExistingClaim {
    /// The call completed with this stored response.
    Answered(ServiceResponse),
    /// The claim was released or is unreadable, and can be replaced at this row version.
    Released(RowVersion),
}

/// Polls an existing claim until it is settled, for at most [`WAIT_MAX`].
async fn await_existing_claim(
    context: &CallerContext,
    stored: &VersionedRow,
    digest: &str,
    wait_start: Instant,
) -> Result<ExistingClaim, CallerError> {
    let mut stored = stored.clone();
    loop {
        let Some(row) = parse_row::<ClaimRow>(&stored) else {
            return Ok(ExistingClaim::Released(stored.version));
        };
        let (node, incarnation) = (row.node.clone(), row.incarnation);
        let event = |reply| ControlEvent::IsRegistered { node, incarnation, reply };
        let running = context.runs.control.ask(event).await.unwrap_or(true);
        match decide_claim(&row, digest, |_, _| running) {
            ClaimDecision::KeyReused => return Err(CallerError::key_reused()),
            ClaimDecision::ClaimAgain => return Ok(ExistingClaim::Released(stored.version)),
            ClaimDecision::Stored { status, content_type, body, object } => {
                let body = load_body(context, body, object).await?;
                let response = ServiceResponse { status, content_type, body };
                return Ok(ExistingClaim::Answered(response));
            }
            ClaimDecision::Unknown => return Err(outcome_unknown_error(&row)),
            ClaimDecision::MarkUnknown => mark_unknown(context, &stored, &row).await,
            ClaimDecision::Wait { request } => {
                if wait_start.elapsed() >= WAIT_MAX {
                    return Err(CallerError::still_running(&request));
                }
            }
        }
        tokio::time::sleep(WAIT_POLL_PERIOD).await;
        let Ok(found) = read_claim(context, &stored.key).await else {
            return Err(CallerError::still_running(&row.request));
        };
        match found {
            Some(fresh) => stored = fresh,
            None => return Ok(ExistingClaim::Released(RowVersion(0))),
        }
    }
}

fn outcome_unknown_error(row: &ClaimRow) -> CallerError {
    let message = "request: the node that ran it is gone, and nobody can tell the outcome";
    CallerError::may_have_run("outcome-unknown", message).with_request(&row.request)
}

async fn mark_unknown(context: &CallerContext, stored: &VersionedRow, row: &ClaimRow) {
    let row = ClaimRow { state: ClaimState::Unknown, ..row.clone() };
    // If another node won the race, the next read shows its row.
    drop(write_claim(context, &stored.key, &row, stored.version).await);
}

async fn load_body(
    context: &CallerContext,
    body: String,
    object: Option<String>,
) -> Result<Bytes, CallerError> {
    let Some(key) = object else { return Ok(Bytes::from(body)) };
    context.platform.get_object(&key).await.map_err(|_error| CallerError::table_down())
}

/// Sends a claimed call and stores its outcome in the claim in the background.
async fn run_claimed(
    context: &CallerContext,
    call: &CheckedCall,
    claimed_call: NonIdempotentCall<ClaimedStage>,
    claim: HeldClaim,
) -> Result<ServiceResponse, CallerError> {
    let result = send_non_idempotent(context, call, claimed_call).await;
    let context = context.clone();
    match result {
        Ok(response) => {
            let stored = response.clone();
            actix_web::rt::spawn(async move { store_response(&context, claim, stored).await });
            Ok(response)
        }
        Err(SendError::NotRun(error)) => {
            let release =
                async move { write_claim_state(&context, claim, ClaimState::Released).await };
            actix_web::rt::spawn(release);
            Err(error)
        }
        Err(SendError::MayHaveRun(error)) => {
            let mark_unknown =
                async move { write_claim_state(&context, claim, ClaimState::Unknown).await };
            actix_web::rt::spawn(mark_unknown);
            Err(error)
        }
    }
}

async fn store_response(context: &CallerContext, claim: HeldClaim, response: ServiceResponse) {
    let text = String::from_utf8(response.body.to_vec());
    let mut object = None;
    let body = match text {
        Ok(text) if text.len() <= INLINE_TEXT_MAX_BYTES => text,
        _ => {
            let key = format!("answer-{}", claim.row.request);
            if !store_object(context, &key, &response.body).await {
                return;
            }
            object = Some(key);
            String::new()
        }
    };
    let state = ClaimState::Done {
        status: response.status,
        content_type: response.content_type,
        body,
        object,
    };
    write_claim_state(context, claim, state).await;
}

async fn store_object(context: &CallerContext, key: &str, body: &Bytes) -> bool {
    for _ in 0..STORE_ATTEMPTS_MAX {
        let text = String::from_utf8_lossy(body).into_owned();
        if context.platform.put_object(key, text).await.is_ok() {
            return true;
        }
        tokio::time::sleep(STORE_DELAY).await;
    }
    false
}

/// Writes the final state of a claim, retrying up to [`STORE_ATTEMPTS_MAX`] times.
async fn write_claim_state(context: &CallerContext, claim: HeldClaim, state: ClaimState) {
    let row = ClaimRow { state, ..claim.row };
    for _ in 0..STORE_ATTEMPTS_MAX {
        let reply = write_claim(context, &claim.key, &row, claim.version).await;
        match reply.map(|reply| reply.outcome) {
            Ok(OperationOutcome::Committed(_)) => return,
            Ok(OperationOutcome::Conflict(_)) => {
                info!(target: RUN, "Claim of {} was settled by another writer.", row.request);
                return;
            }
            Ok(OperationOutcome::NotCommitted) | Err(_) => tokio::time::sleep(STORE_DELAY).await,
        }
    }
}
