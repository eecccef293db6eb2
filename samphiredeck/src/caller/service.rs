//! Calls to plain services, idempotent or not.

use std::time::{Duration, Instant};

use actix_web::{HttpRequest, HttpResponse, http::StatusCode, web};
use bytes::Bytes;
use http::Method;
use log::warn;
use samphiredeck_core::{
    claim::{ClaimedStage, NonIdempotentCall},
    engine_api::{REQUEST_ID_HEADER, RUN_VERDICT_HEADER},
    ids::{ConfigVersion, RequestId, ServiceName, UpstreamId, WorkspaceName},
    verdict::RunVerdict,
};

use super::{
    CallerContext, authenticate,
    claimed_call::call_with_key,
    error::CallerError,
    request::{CallerHeaders, read_body},
};
use crate::{
    event::{ControlEvent, RunPlacement},
    logging::RUN,
    service_client::{ServiceCall, ServiceError, ServiceResponse, send_call},
};

/// Default and maximum timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum attempts to send a call that is idempotent or is known not to have run.
const SEND_ATTEMPTS_MAX: usize = 4;

/// Validated service call.
#[derive(Clone, Debug)]
pub(super) struct CheckedCall {
    pub(super) request: RequestId,
    pub(super) workspace: WorkspaceName,
    version: ConfigVersion,
    service: ServiceName,
    repeatable: bool,
    pub(super) method: Method,
    pub(super) path: String,
    content_type: String,
    timeout: Duration,
}

/// Routes a call to the service that is declared for its path.
pub async fn call_service(
    request: HttpRequest,
    payload: web::Payload,
    context: web::Data<CallerContext>,
) -> Result<HttpResponse, CallerError> {
    let headers = CallerHeaders::try_from(&request)?;
    let call = check_call(&request, &context, &headers)?;
    let body = read_body(payload, context.body_limit).await?;
    let id = call.request.clone();
    let response = match (&headers.idempotency_key, call.repeatable) {
        (Some(key), _) => call_with_key(&context, &call, key, body).await,
        (None, true) => call_idempotent(&context, &call, &body).await,
        (None, false) => {
            let claimed_call = NonIdempotentCall::receive(id.clone(), body.to_vec()).without_key();
            send_non_idempotent(&context, &call, claimed_call)
                .await
                .map_err(SendError::into_caller_error)
        }
    };
    let response = response.map_err(|error| error.with_request(&id))?;
    Ok(to_http_response(&id, &response))
}

fn check_call(
    request: &HttpRequest,
    context: &CallerContext,
    headers: &CallerHeaders,
) -> Result<CheckedCall, CallerError> {
    let config = context.config()?;
    let workspace = authenticate(request, &config)?;
    let service = config
        .declaration
        .service_for_path(request.path())
        .filter(|service| workspace.may_call_service(&service.name))
        .ok_or_else(|| CallerError::unknown_path(request.path()))?;
    let content_type = request.headers().get("content-type");
    let method = Method::from_bytes(request.method().as_str().as_bytes());
    let path = request.uri().path_and_query().map_or(request.path(), |path| path.as_str());
    let ticket = context.runs.control.next_ticket();
    Ok(CheckedCall {
        request: context.runs.control.request_id(ticket),
        workspace: workspace.name.clone(),
        version: config.row.version,
        service: service.name.clone(),
        repeatable: service.repeatable,
        method: method.map_err(|error| CallerError::bad_field("method", error))?,
        path: path.to_owned(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned(),
        timeout: headers.deadline.unwrap_or(CALL_TIMEOUT).min(CALL_TIMEOUT),
    })
}

fn to_http_response(id: &RequestId, response: &ServiceResponse) -> HttpResponse {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    HttpResponse::build(status)
        .insert_header((REQUEST_ID_HEADER, id.to_string()))
        .insert_header((RUN_VERDICT_HEADER, RunVerdict::Ran.to_string()))
        .insert_header(("content-type", response.content_type.clone()))
        .body(response.body.clone())
}

/// Failure of a call that is not idempotent.
#[derive(Debug)]
pub(super) enum SendError {
    /// The call was refused before it was sent, or no upstream ran it.
    NotRun(CallerError),
    /// The call may have run.
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
    context: &CallerContext,
    call: &CheckedCall,
    exclude: &[UpstreamId],
) -> Result<RunPlacement, CallerError> {
    let event = |reply| ControlEvent::PlaceCall {
        workspace: call.workspace.clone(),
        version: call.version,
        service: call.service.clone(),
        exclude: exclude.to_vec(),
        reply,
    };
    match context.runs.control.ask(event).await {
        Some(Ok(placement)) => Ok(placement),
        Some(Err(refusal)) => Err(refusal.into()),
        None => Err(crate::handle::ControlHandle::busy().into()),
    }
}

/// Sends a call to one upstream.
async fn send_to(
    context: &CallerContext,
    call: &CheckedCall,
    placement: &RunPlacement,
    body: Bytes,
) -> Result<ServiceResponse, ServiceError> {
    let result = send_call(ServiceCall {
        address: &placement.address,
        request: &call.request,
        method: &call.method,
        path: &call.path,
        content_type: &call.content_type,
        body,
        timeout: call.timeout,
    })
    .await;
    let (upstream, failed) = (placement.upstream.clone(), result.is_err());
    context.runs.control.tell(ControlEvent::EndCall { upstream, failed });
    result
}

/// Sends an idempotent call, retrying on other upstreams.
async fn call_idempotent(
    context: &CallerContext,
    call: &CheckedCall,
    body: &Bytes,
) -> Result<ServiceResponse, CallerError> {
    let mut exclude = Vec::new();
    let mut verdict = RunVerdict::NotRun;
    let mut last_error = CallerError::config_unconfirmed();
    for _ in 0..SEND_ATTEMPTS_MAX {
        let placement = match place_call(context, call, &exclude).await {
            Ok(placement) => placement,
            Err(error) if verdict == RunVerdict::NotRun => return Err(error),
            Err(_) => return Err(last_error),
        };
        match send_to(context, call, &placement, body.clone()).await {
            Ok(response) => return Ok(response),
            Err(error) => {
                verdict = verdict.join(error.verdict);
                last_error = send_failure(verdict, &error);
            }
        }
        exclude.push(placement.upstream);
    }
    Err(last_error)
}

fn send_failure(verdict: RunVerdict, error: &ServiceError) -> CallerError {
    match verdict {
        RunVerdict::NotRun => CallerError::from(crate::run::RunFailure {
            reason: "no-upstream".to_owned(),
            verdict,
            retry_after_s: Some(1),
        }),
        RunVerdict::MayHaveRun | RunVerdict::Ran => {
            CallerError::may_have_run("upstream-lost", format!("request: {}", error.reason))
        }
    }
}

/// Sends a call that is not idempotent. It is retried on another upstream only if it is known
/// not to have run.
pub(super) async fn send_non_idempotent(
    context: &CallerContext,
    call: &CheckedCall,
    claimed_call: NonIdempotentCall<ClaimedStage>,
) -> Result<ServiceResponse, SendError> {
    let mut exclude = Vec::new();
    let body = match claimed_call.into_body(Instant::now()) {
        Ok(body) => Bytes::from(body),
        Err(_unsent) => return Err(SendError::NotRun(CallerError::table_down())),
    };
    let mut last_error = CallerError::config_unconfirmed();
    for _ in 0..SEND_ATTEMPTS_MAX {
        let placement = place_call(context, call, &exclude).await.map_err(SendError::NotRun)?;
        match send_to(context, call, &placement, body.clone()).await {
            Ok(response) => return Ok(response),
            Err(error) if error.verdict == RunVerdict::NotRun => {
                last_error = send_failure(error.verdict, &error);
            }
            Err(error) => {
                warn!(target: RUN, "Request {} may have run: {error}.", call.request);
                return Err(SendError::MayHaveRun(send_failure(error.verdict, &error)));
            }
        }
        exclude.push(placement.upstream);
    }
    Err(SendError::NotRun(last_error))
}
