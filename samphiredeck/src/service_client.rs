//! HTTP client for plain services, used for all requests of the `run` subcommand to them.

use std::time::Duration;

use awc::{Client, Connector, error::SendRequestError, http::StatusCode};
use bytes::Bytes;
use samphiredeck_core::{
    engine_api::{REQUEST_ID_HEADER, RUN_VERDICT_HEADER},
    ids::RequestId,
    upstream::LoadReport,
    verdict::RunVerdict,
};
use thiserror::Error;

use crate::transport::is_connect_failure;

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
    pub method: &'a awc::http::Method,
    /// Path and query.
    pub path: &'a str,
    /// Media type of the body.
    pub content_type: &'a str,
    /// Body.
    pub body: Vec<u8>,
    /// Timeout of the whole call.
    pub timeout: Duration,
}

/// Client for services. Each call opens a new connection, because a call on a dead pooled
/// connection would have an unknown outcome.
#[derive(Clone)]
pub struct ServiceClient {
    client: Client,
}

impl ServiceClient {
    /// Creates a client.
    pub fn new() -> Self {
        let connector =
            Connector::new().timeout(CONNECT_TIMEOUT).conn_keep_alive(Duration::ZERO).limit(0);
        Self { client: Client::builder().connector(connector).finish() }
    }

    /// Sends a call once and returns the complete response.
    pub async fn call(&self, call: ServiceCall<'_>) -> Result<ServiceResponse, ServiceError> {
        let request = self
            .client
            .request(call.method.clone(), format!("http://{}{}", call.address, call.path))
            .timeout(call.timeout)
            .insert_header((REQUEST_ID_HEADER, call.request.to_string()))
            .insert_header(("content-type", call.content_type));
        let mut response = request.send_body(call.body).await.map_err(classify_send_error)?;
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        if header(REQUEST_ID_HEADER).as_deref() != Some(call.request.to_string().as_str()) {
            return Err(may_have_run("answer belongs to another request"));
        }
        let reported = header(RUN_VERDICT_HEADER).and_then(|text| text.parse().ok());
        if response.status() == StatusCode::SERVICE_UNAVAILABLE
            && reported == Some(RunVerdict::NotRun)
        {
            let reason = "service refused the call".to_owned();
            return Err(ServiceError { reason, verdict: RunVerdict::NotRun });
        }
        let content_type =
            header("content-type").unwrap_or_else(|| "application/octet-stream".to_owned());
        let status = response.status().as_u16();
        // Reading a truncated body fails, so a partial response is never returned as complete.
        let body = response.body().limit(RESPONSE_MAX_BYTES).await;
        let body = body.map_err(may_have_run)?;
        Ok(ServiceResponse { status, content_type, body })
    }
}

fn may_have_run(reason: impl std::fmt::Display) -> ServiceError {
    ServiceError { reason: reason.to_string(), verdict: RunVerdict::MayHaveRun }
}

/// Maps a send error to a verdict. If no connection was established, the call did not run.
fn classify_send_error(error: SendRequestError) -> ServiceError {
    if is_connect_failure(&error) {
        ServiceError { reason: error.to_string(), verdict: RunVerdict::NotRun }
    } else {
        may_have_run(error)
    }
}

/// Fetches the load report of a service.
pub async fn fetch_load(client: &Client, address: &str) -> Option<LoadReport> {
    let request = client.get(format!("http://{address}/report")).timeout(REPORT_TIMEOUT);
    let mut response = request.send().await.ok()?;
    let body = response.body().limit(RESPONSE_MAX_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}
