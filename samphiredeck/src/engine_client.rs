//! Client of the model engines.
//!
//! This is the only module that speaks to engines.

use std::{pin::Pin, time::Duration};

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
use tokio::time::timeout;

use crate::transport::is_connect_failure;

/// Bound on making a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Bound on the head of an engine's answer.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Bound on a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Bound on moving one cache.
const CACHE_TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which an idle connection is kept. Short, since it may have gone silent.
const KEEP_ALIVE: Duration = Duration::from_millis(500);
/// Largest report or cache, in bytes.
const RESPONSE_MAX_BYTES: usize = 64 * 1_024 * 1_024;

/// Why a call to an engine failed, and whether the request may have run.
#[derive(Clone, Debug, Error)]
#[error("{reason} ({verdict})")]
pub struct EngineError {
    /// What happened.
    pub reason: String,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
}

impl EngineError {
    /// Builds an error after which the request may have run.
    pub fn may_have_run(reason: impl std::fmt::Display) -> Self {
        Self { reason: reason.to_string(), verdict: RunVerdict::MayHaveRun }
    }

    fn not_run(reason: impl std::fmt::Display) -> Self {
        Self { reason: reason.to_string(), verdict: RunVerdict::NotRun }
    }
}

/// Events of one engine stream.
pub type EventStream = Pin<Box<dyn Stream<Item = Result<EngineEvent, EngineError>>>>;

/// One send of a request to an engine.
#[derive(Clone, Debug)]
pub struct GenerateCall<'a> {
    /// Host and port of the engine.
    pub address: &'a str,
    /// Request that is run.
    pub request: &'a RequestId,
    /// Urgency.
    pub class: PriorityClass,
    /// What to generate.
    pub body: &'a GenerateRequest,
    /// Tokens that are there already, for any send but the first.
    pub resume_offset: Option<u64>,
    /// Whether the connection must be a new one.
    pub fresh_connection: bool,
}

/// Client of the engines. Cheap to clone, bound to its thread.
#[derive(Clone)]
pub struct EngineClient {
    pooled: Client,
    unpooled: Client,
}

impl EngineClient {
    /// Builds a client.
    pub fn new() -> Self {
        Self { pooled: build_client(KEEP_ALIVE), unpooled: build_client(Duration::ZERO) }
    }

    /// Starts or resumes a stream.
    pub async fn generate(&self, call: GenerateCall<'_>) -> Result<EventStream, EngineError> {
        let client = if call.fresh_connection { &self.unpooled } else { &self.pooled };
        let mut request = client
            .post(format!("http://{}/generate", call.address))
            .insert_header((REQUEST_ID_HEADER, call.request.to_string()))
            .insert_header((PRIORITY_HEADER, call.class.as_str()));
        if let Some(offset) = call.resume_offset {
            request = request.insert_header((RESUME_OFFSET_HEADER, offset.to_string()));
        }
        // The bound is on the head alone. The stream has its own bound between events.
        let response = timeout(RESPONSE_HEAD_TIMEOUT, request.send_json(call.body))
            .await
            .map_err(|_elapsed| EngineError::may_have_run("no answer head in time"))?
            .map_err(classify_send_error)?;
        if response.status() != StatusCode::OK {
            return Err(refusal_error(&response));
        }
        let echo = response.headers().get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
        if echo != Some(call.request.to_string().as_str()) {
            return Err(EngineError::may_have_run("answer belongs to another request"));
        }
        let events = response.eventsource().map(|event| match event {
            Ok(event) => serde_json::from_str(&event.data).map_err(EngineError::may_have_run),
            Err(error) => Err(EngineError::may_have_run(error)),
        });
        Ok(Box::pin(events))
    }

    /// Asks for load and cache events from number `from` on.
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

    /// Cancels a request. An engine that does not know it does nothing.
    pub async fn cancel(&self, address: &str, request: &RequestId) -> Result<(), EngineError> {
        let call = self
            .unpooled
            .post(format!("http://{address}/requests/{request}/cancel"))
            .timeout(REPORT_TIMEOUT);
        call.send().await.map_err(classify_send_error)?;
        Ok(())
    }

    /// Takes the cache of a stream out of an engine, which ends the stream there.
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

    /// Puts the cache of a stream into an engine.
    pub async fn import_cache(&self, address: &str, cache: &KvExport) -> Result<(), EngineError> {
        let call =
            self.unpooled.post(format!("http://{address}/kv")).timeout(CACHE_TRANSFER_TIMEOUT);
        let response = call.send_json(cache).await.map_err(classify_send_error)?;
        if response.status() == StatusCode::OK { Ok(()) } else { Err(refusal_error(&response)) }
    }

    /// Gives an order.
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

/// A connection that was never made carried nothing.
fn classify_send_error(error: SendRequestError) -> EngineError {
    if is_connect_failure(&error) {
        EngineError::not_run(error)
    } else {
        EngineError::may_have_run(error)
    }
}

/// An engine that refuses says itself whether the request ran.
fn refusal_error<S>(response: &awc::ClientResponse<S>) -> EngineError {
    let reported = response.headers().get(RUN_VERDICT_HEADER).and_then(|value| value.to_str().ok());
    let verdict = reported.and_then(|text| text.parse().ok()).unwrap_or(RunVerdict::MayHaveRun);
    EngineError { reason: format!("upstream answered {}", response.status()), verdict }
}
