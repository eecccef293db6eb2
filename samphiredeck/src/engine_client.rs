//! HTTP client for model engines, used for all requests of the `run` subcommand to engines.

use std::{io::ErrorKind, pin::Pin, time::Duration};

use awc::{Client, Connector, error::SendRequestError, http::StatusCode};
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use samphiredeck_core::{
    declaration::PriorityClass,
    engine_api::{
        EngineCommand, EngineEvent, EngineReport, GenerateRequest, KvExport, PRIORITY_HEADER,
        REQUEST_ID_HEADER, RESUME_OFFSET_HEADER, RUN_VERDICT_HEADER,
    },
    ids::RequestId,
    verdict::RunVerdict,
};
use thiserror::Error;
use tokio::{net::TcpStream, time::timeout};

use crate::transport::is_connect_failure;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for the head of a generate response.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a report or cancel request.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout for exporting or importing one KV cache, and for a command.
const CACHE_TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);
/// Keep-alive time of idle connections. Short, because an idle connection may be dead without
/// having been closed.
const KEEP_ALIVE: Duration = Duration::from_millis(500);
/// Maximum size of a report or an exported KV cache, in bytes.
const RESPONSE_MAX_BYTES: usize = 64 * 1_024 * 1_024;

/// Failure of an engine call, with the verdict on whether the request may have run.
#[derive(Clone, Debug, Error)]
#[error("{reason} ({verdict})")]
pub struct EngineError {
    /// Description of the failure.
    pub reason: String,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
}

impl EngineError {
    /// Creates an error after which the request may have run.
    pub fn may_have_run(reason: impl std::fmt::Display) -> Self {
        Self { reason: reason.to_string(), verdict: RunVerdict::MayHaveRun }
    }

    fn not_run(reason: impl std::fmt::Display) -> Self {
        Self { reason: reason.to_string(), verdict: RunVerdict::NotRun }
    }
}

/// Event stream of one generate call.
pub type EventStream = Pin<Box<dyn Stream<Item = Result<EngineEvent, EngineError>>>>;

/// Parameters of one generate call.
#[derive(Clone, Debug)]
pub struct GenerateCall<'a> {
    /// Host and port of the engine.
    pub address: &'a str,
    /// Id of the request.
    pub request: &'a RequestId,
    /// Priority class.
    pub class: PriorityClass,
    /// Request body.
    pub body: &'a GenerateRequest,
    /// Number of tokens generated so far; `None` for the first attempt.
    pub resume_offset: Option<u64>,
    /// Whether to use a new connection instead of a pooled one.
    pub fresh_connection: bool,
}

/// Client for engines. Cheap to clone, but bound to its thread.
#[derive(Clone)]
pub struct EngineClient {
    pooled: Client,
    unpooled: Client,
}

impl EngineClient {
    /// Creates a client.
    pub fn new() -> Self {
        Self { pooled: build_client(KEEP_ALIVE), unpooled: build_client(Duration::ZERO) }
    }

    /// Whether the engine at `address` has ended: it refuses new connections.
    pub async fn has_ended(&self, address: &str) -> bool {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
    }

    /// Starts or resumes generation and returns its event stream.
    pub async fn generate(&self, call: GenerateCall<'_>) -> Result<EventStream, EngineError> {
        let client = if call.fresh_connection { &self.unpooled } else { &self.pooled };
        let mut request = client
            .post(format!("http://{}/generate", call.address))
            .insert_header((REQUEST_ID_HEADER, call.request.to_string()))
            .insert_header((PRIORITY_HEADER, call.class.as_str()));
        if let Some(offset) = call.resume_offset {
            request = request.insert_header((RESUME_OFFSET_HEADER, offset.to_string()));
        }
        // The timeout covers only the response head. The caller limits the time between events.
        let response = timeout(RESPONSE_HEAD_TIMEOUT, request.send_json(call.body))
            .await
            .map_err(|_elapsed| EngineError::may_have_run("no response head in time"))?
            .map_err(classify_send_error)?;
        // A refusal that does not name its request may be a repeated one of an earlier request.
        let echoed_id =
            response.headers().get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
        if echoed_id != Some(call.request.to_string().as_str()) {
            return Err(EngineError::may_have_run("response belongs to another request"));
        }
        if response.status() != StatusCode::OK {
            return Err(refusal_error(&response));
        }
        let events = response.eventsource().map(|event| match event {
            Ok(event) => serde_json::from_str(&event.data).map_err(EngineError::may_have_run),
            Err(error) => Err(EngineError::may_have_run(error)),
        });
        Ok(Box::pin(events))
    }

    /// Fetches the load and the cache events from sequence number `from` on.
    pub async fn report(&self, address: &str, from: u64) -> Result<EngineReport, EngineError> {
        let request = self
            .unpooled
            .get(format!("http://{address}/report?from={from}"))
            .timeout(REPORT_TIMEOUT);
        let mut response = request.send().await.map_err(classify_send_error)?;
        if response.status() != StatusCode::OK {
            return Err(refusal_error(&response));
        }
        let body =
            response.body().limit(RESPONSE_MAX_BYTES).await.map_err(EngineError::may_have_run)?;
        serde_json::from_slice(&body).map_err(EngineError::may_have_run)
    }

    /// Cancels a request. Engines ignore unknown requests.
    pub async fn cancel(&self, address: &str, request: &RequestId) -> Result<(), EngineError> {
        let call = self
            .unpooled
            .post(format!("http://{address}/requests/{request}/cancel"))
            .timeout(REPORT_TIMEOUT);
        call.send().await.map_err(classify_send_error)?;
        Ok(())
    }

    /// Exports the KV cache of a request, which ends its stream on this engine.
    pub async fn export_cache(
        &self,
        address: &str,
        request: &RequestId,
    ) -> Result<KvExport, EngineError> {
        let call = self
            .unpooled
            .post(format!("http://{address}/kv/{request}/export"))
            .timeout(CACHE_TRANSFER_TIMEOUT);
        let mut response = call.send().await.map_err(classify_send_error)?;
        if response.status() != StatusCode::OK {
            return Err(refusal_error(&response));
        }
        let body =
            response.body().limit(RESPONSE_MAX_BYTES).await.map_err(EngineError::may_have_run)?;
        serde_json::from_slice(&body).map_err(EngineError::may_have_run)
    }

    /// Imports the KV cache of a request into an engine.
    pub async fn import_cache(&self, address: &str, cache: &KvExport) -> Result<(), EngineError> {
        let call =
            self.unpooled.post(format!("http://{address}/kv")).timeout(CACHE_TRANSFER_TIMEOUT);
        let response = call.send_json(cache).await.map_err(classify_send_error)?;
        if response.status() == StatusCode::OK { Ok(()) } else { Err(refusal_error(&response)) }
    }

    /// Sends a command to an engine.
    pub async fn send_command(
        &self,
        address: &str,
        command: &EngineCommand,
    ) -> Result<(), EngineError> {
        let call =
            self.unpooled.post(format!("http://{address}/orders")).timeout(CACHE_TRANSFER_TIMEOUT);
        let response = call.send_json(command).await.map_err(classify_send_error)?;
        if response.status() == StatusCode::OK { Ok(()) } else { Err(refusal_error(&response)) }
    }
}

fn build_client(keep_alive: Duration) -> Client {
    let connector = Connector::new().timeout(CONNECT_TIMEOUT).conn_keep_alive(keep_alive).limit(0);
    Client::builder().connector(connector).disable_timeout().finish()
}

/// Maps a send error to a verdict. If no connection was established, the request did not run.
fn classify_send_error(error: SendRequestError) -> EngineError {
    if is_connect_failure(&error) {
        EngineError::not_run(error)
    } else {
        EngineError::may_have_run(error)
    }
}

/// Builds the error for a refusal. The engine reports in a header whether the request ran; without
/// the header, it may have run.
fn refusal_error<S>(response: &awc::ClientResponse<S>) -> EngineError {
    let reported = response.headers().get(RUN_VERDICT_HEADER).and_then(|value| value.to_str().ok());
    let verdict = reported.and_then(|text| text.parse().ok()).unwrap_or(RunVerdict::MayHaveRun);
    EngineError { reason: format!("upstream answered {}", response.status()), verdict }
}
