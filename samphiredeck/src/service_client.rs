//! HTTP client for plain services, used for all requests of the `run` subcommand to them.

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderMap, Method, Request, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use http_body_util::Full;
use samphiredeck_core::{
    engine_api::{REQUEST_ID_HEADER, RUN_VERDICT_HEADER},
    ids::RequestId,
    upstream::LoadReport,
    verdict::RunVerdict,
};
use thiserror::Error;

use crate::whole_response::{CallFailure, CallLimits, fetch_whole};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a load report request.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of a service response, in bytes.
const RESPONSE_MAX_BYTES: usize = 16 * 1_024 * 1_024;

/// Failure of a service call, with the verdict on whether it may have run.
#[derive(Clone, Debug, Error)]
#[error("{reason} ({verdict})")]
pub struct ServiceError {
    /// Description of the failure.
    pub reason: String,
    /// Whether the call may have run.
    pub verdict: RunVerdict,
}

/// Complete response of a service.
#[derive(Clone, Debug)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
}

/// Parameters of one attempt of a service call.
#[derive(Clone, Debug)]
pub struct ServiceCall<'a> {
    /// Host and port of the service.
    pub address: &'a str,
    /// Id of the request.
    pub request: &'a RequestId,
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query.
    pub path: &'a str,
    /// Media type of the body.
    pub content_type: &'a str,
    /// Body.
    pub body: Bytes,
    /// Timeout of the whole call.
    pub timeout: Duration,
}

/// Sends a call once and returns the complete response. Each call opens a new connection, because a call on a
/// dead pooled connection would have an unknown outcome.
pub async fn send_call(call: ServiceCall<'_>) -> Result<ServiceResponse, ServiceError> {
    let request = build_request(&call)
        .map_err(|error| ServiceError { reason: error.to_string(), verdict: RunVerdict::NotRun })?;
    let limits = CallLimits {
        connect: CONNECT_TIMEOUT,
        total: call.timeout,
        body_bytes: RESPONSE_MAX_BYTES,
    };
    let response = fetch_whole(call.address, request, limits).await.map_err(classify_failure)?;
    let (head, body) = response.into_parts();
    if header_text(&head.headers, REQUEST_ID_HEADER) != Some(call.request.to_string().as_str()) {
        return Err(may_have_run("answer belongs to another request"));
    }
    let reported = header_text(&head.headers, RUN_VERDICT_HEADER);
    if head.status == StatusCode::SERVICE_UNAVAILABLE
        && reported.and_then(|text| text.parse().ok()) == Some(RunVerdict::NotRun)
    {
        let reason = "service refused the call".to_owned();
        return Err(ServiceError { reason, verdict: RunVerdict::NotRun });
    }
    let content_type = header_text(&head.headers, CONTENT_TYPE.as_str());
    let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
    Ok(ServiceResponse { status: head.status.as_u16(), content_type, body })
}

fn build_request(call: &ServiceCall<'_>) -> Result<Request<Full<Bytes>>, http::Error> {
    Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(REQUEST_ID_HEADER, call.request.to_string())
        .header(CONTENT_TYPE, call.content_type)
        .body(Full::new(call.body.clone()))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).map(HeaderValue::to_str)?.ok()
}

fn may_have_run(reason: impl std::fmt::Display) -> ServiceError {
    ServiceError { reason: reason.to_string(), verdict: RunVerdict::MayHaveRun }
}

/// Maps a failure to a verdict. If nothing was sent, the call did not run.
fn classify_failure(failure: CallFailure) -> ServiceError {
    if failure.unsent {
        ServiceError { reason: failure.reason, verdict: RunVerdict::NotRun }
    } else {
        may_have_run(failure)
    }
}

/// Fetches the load report of a service.
pub async fn fetch_load(address: &str) -> Option<LoadReport> {
    let request = Request::get("/report").body(Full::default()).ok()?;
    let limits = CallLimits {
        connect: CONNECT_TIMEOUT,
        total: REPORT_TIMEOUT,
        body_bytes: RESPONSE_MAX_BYTES,
    };
    let response = fetch_whole(address, request, limits).await.ok()?;
    serde_json::from_slice(response.body()).ok()
}
