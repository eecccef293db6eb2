//! HTTP client for tests, the demo and the experiments. Sends requests, and times and checks their
//! answers.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use awc::{Client, Connector};
use eventsource_stream::Eventsource;
use eyre::{bail, eyre};
use futures_util::StreamExt;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};

use crate::tokens::{chat_prompt, expected_answer};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for a call without streaming.
const CALL_TIMEOUT: Duration = Duration::from_secs(90);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1_024 * 1_024;

/// Operator key of a launched system.
#[must_use]
pub fn operator_key() -> &'static str {
    "operator-key"
}

/// HTTP client. It is cheap to clone, but can't leave its thread.
#[derive(Clone)]
pub struct TestClient {
    client: Client,
}

impl std::fmt::Debug for TestClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TestClient")
    }
}

impl Default for TestClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Chat completion request with one user message.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// API key, sent as a bearer token.
    pub key: String,
    /// Model name.
    pub model: String,
    /// Priority class.
    pub class: &'static str,
    /// Content of the message.
    pub content: String,
    /// Number of tokens of the answer.
    pub max_tokens: u64,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
}

impl ChatRequest {
    /// Creates an urgent request with the key of the first workspace.
    #[must_use]
    pub fn new(content: &str, max_tokens: u64) -> Self {
        Self {
            key: "wharf-key".to_owned(),
            model: "tala-8b".to_owned(),
            class: "urgent",
            content: content.to_owned(),
            max_tokens,
            idempotency_key: None,
        }
    }

    /// Text of the complete answer.
    #[must_use]
    pub fn expected_text(&self) -> String {
        expected_answer(&chat_prompt(&self.content), self.max_tokens)
    }

    fn body(&self, stream: bool) -> Value {
        json!({
            "model": self.model,
            "messages": [{ "role": "user", "content": self.content }],
            "max_tokens": self.max_tokens,
            "stream": stream,
        })
    }
}

/// Result of a chat completion request.
#[derive(Clone, Debug, Default)]
pub struct ChatResult {
    /// HTTP status, or zero if no response arrived.
    pub status: u16,
    /// Request id.
    pub request_id: String,
    /// Text received.
    pub text: String,
    /// Whether the end event `[DONE]` arrived.
    pub complete: bool,
    /// Whether the node announced that another node continues the stream.
    pub moved: bool,
    /// Run verdict of a request that was refused or given up.
    pub verdict: String,
    /// Reason why a request was refused or given up, or why the call failed.
    pub reason: String,
    /// `Retry-After` in seconds.
    pub retry_after: Option<u64>,
    /// Prompt tokens that the engine found in its cache.
    pub cached_tokens: u64,
    /// Time to the first token.
    pub time_to_first_token: Option<Duration>,
    /// Time from the first token to the last.
    pub decode_time: Duration,
    /// Time from sending the request to the end of the answer.
    pub total_time: Duration,
}

impl ChatResult {
    /// Whether the complete and correct answer to `request` arrived.
    #[must_use]
    pub fn is_correct(&self, request: &ChatRequest) -> bool {
        self.complete && self.text == request.expected_text()
    }
}

impl TestClient {
    /// Creates a client that opens a new connection for each call.
    #[must_use]
    pub fn new() -> Self {
        Self::with_keep_alive(Duration::ZERO)
    }

    /// Creates a client that keeps idle connections open for `keep_alive`.
    #[must_use]
    pub fn with_keep_alive(keep_alive: Duration) -> Self {
        let connector =
            Connector::new().timeout(CONNECT_TIMEOUT).conn_keep_alive(keep_alive).limit(0);
        let client = Client::builder().connector(connector).disable_timeout().finish();
        Self { client }
    }

    /// Sends a JSON body with the operator key. Returns the status and the JSON response.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives.
    pub async fn post_json<T: Serialize>(
        &self,
        to: SocketAddr,
        path: &str,
        body: &T,
    ) -> eyre::Result<(u16, Value)> {
        let call = self
            .client
            .post(format!("http://{to}{path}"))
            .timeout(CALL_TIMEOUT)
            .insert_header(("authorization", format!("Bearer {}", operator_key())));
        let mut response = call.send_json(body).await.map_err(|error| eyre!("{error}"))?;
        let status = response.status().as_u16();
        let bytes = response.body().limit(MAX_RESPONSE_BYTES).await?;
        Ok((status, serde_json::from_slice(&bytes).unwrap_or_default()))
    }

    /// Fetches a JSON response with the operator key.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives or its status is not a success.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
    ) -> eyre::Result<T> {
        let call = self
            .client
            .get(format!("http://{to}{path}"))
            .timeout(Duration::from_secs(5))
            .insert_header(("authorization", format!("Bearer {}", operator_key())));
        let mut response = call.send().await.map_err(|error| eyre!("{error}"))?;
        if !response.status().is_success() {
            bail!("{path} answered {}", response.status());
        }
        Ok(serde_json::from_slice(&response.body().limit(MAX_RESPONSE_BYTES).await?)?)
    }

    /// Whether a node reports that it is ready.
    pub async fn is_ready(&self, to: SocketAddr) -> bool {
        self.get_json::<Value>(to, "/ready").await.is_ok()
    }

    /// Fetches the operator view of a node.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives.
    pub async fn view(&self, to: SocketAddr) -> eyre::Result<Value> {
        self.get_json(to, "/admin/view").await
    }

    /// Submits a new declaration through a node. Returns the status and the response.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives.
    pub async fn change_declaration(
        &self,
        to: SocketAddr,
        declaration: &Value,
        expect: Option<u64>,
    ) -> eyre::Result<(u16, Value)> {
        let body = json!({
            "declaration": declaration, "expect": expect, "author": "test", "note": ""
        });
        self.post_json(to, "/admin/change", &body).await
    }

    /// Sends a chat request and streams the answer.
    pub async fn chat(&self, to: SocketAddr, request: &ChatRequest) -> ChatResult {
        let mut result = ChatResult::default();
        let started_at = Instant::now();
        // The result keeps what arrived before the error.
        if let Err(error) = self.stream_chat(to, request, &mut result, started_at).await {
            result.reason = error.to_string();
        }
        result.total_time = started_at.elapsed();
        result
    }

    async fn stream_chat(
        &self,
        to: SocketAddr,
        request: &ChatRequest,
        result: &mut ChatResult,
        started_at: Instant,
    ) -> eyre::Result<()> {
        let mut call = self
            .client
            .post(format!("http://{to}/v1/chat/completions"))
            .insert_header(("authorization", format!("Bearer {}", request.key)))
            .insert_header(("x-priority", request.class));
        if let Some(key) = &request.idempotency_key {
            call = call.insert_header(("idempotency-key", key.as_str()));
        }
        let response =
            call.send_json(&request.body(true)).await.map_err(|error| eyre!("{error}"))?;
        read_response(response, result, started_at).await
    }

    /// Reattaches to a request and streams its answer from byte `offset`.
    pub async fn attach(
        &self,
        to: SocketAddr,
        key: &str,
        request_id: &str,
        offset: usize,
    ) -> ChatResult {
        let mut result = ChatResult::default();
        let started_at = Instant::now();
        let call = self
            .client
            .get(format!("http://{to}/v1/requests/{request_id}?offset={offset}&stream=true"))
            .insert_header(("authorization", format!("Bearer {key}")));
        match call.send().await {
            Ok(response) => {
                if let Err(error) = read_response(response, &mut result, started_at).await {
                    result.reason = error.to_string();
                }
            }
            Err(error) => result.reason = error.to_string(),
        }
        result.total_time = started_at.elapsed();
        result
    }

    /// Calls a plain service. Returns the status, the run verdict and the body.
    pub async fn call_service(
        &self,
        to: SocketAddr,
        path: &str,
        idempotency_key: Option<&str>,
        body: &Value,
    ) -> (u16, String, Value) {
        let mut call = self
            .client
            .post(format!("http://{to}{path}"))
            .timeout(CALL_TIMEOUT)
            .insert_header(("authorization", "Bearer wharf-key"));
        if let Some(key) = idempotency_key {
            call = call.insert_header(("idempotency-key", key));
        }
        let Ok(mut response) = call.send_json(body).await else {
            return (0, String::new(), Value::Null);
        };
        let verdict = header(&response, "x-run-verdict").unwrap_or_default();
        let bytes = response.body().limit(MAX_RESPONSE_BYTES).await.unwrap_or_default();
        let value = serde_json::from_slice(&bytes).unwrap_or_default();
        (response.status().as_u16(), verdict, value)
    }
}

fn header<S>(response: &awc::ClientResponse<S>, name: &str) -> Option<String> {
    response.headers().get(name)?.to_str().ok().map(str::to_owned)
}

async fn read_response<S>(
    mut response: awc::ClientResponse<S>,
    result: &mut ChatResult,
    started_at: Instant,
) -> eyre::Result<()>
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    result.status = response.status().as_u16();
    result.request_id = header(&response, "x-request-id").unwrap_or_default();
    result.verdict = header(&response, "x-run-verdict").unwrap_or_default();
    result.retry_after = header(&response, "retry-after").and_then(|text| text.parse().ok());
    if result.status != 200 {
        let bytes = response.body().limit(MAX_RESPONSE_BYTES).await?;
        let body: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        body["error"]["reason"].as_str().unwrap_or_default().clone_into(&mut result.reason);
        return Ok(());
    }
    let mut events = response.eventsource();
    let mut last_token_at = started_at;
    while let Some(event) = events.next().await {
        let event = event.map_err(|error| eyre!("{error}"))?;
        if event.data == "[DONE]" {
            result.complete = true;
            break;
        }
        let body: Value = serde_json::from_str(&event.data)?;
        match event.event.as_str() {
            "error" => {
                body["verdict"].as_str().unwrap_or_default().clone_into(&mut result.verdict);
                body["error"]["reason"].as_str().unwrap_or_default().clone_into(&mut result.reason);
            }
            "moved" => result.moved = true,
            _ => {
                let details = &body["usage"]["prompt_tokens_details"];
                result.cached_tokens =
                    details["cached_tokens"].as_u64().unwrap_or(result.cached_tokens);
                let text = body["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
                if !text.is_empty() {
                    last_token_at = Instant::now();
                    result.time_to_first_token.get_or_insert_with(|| started_at.elapsed());
                    result.text.push_str(text);
                }
            }
        }
    }
    let first_token = result.time_to_first_token.unwrap_or_default();
    result.decode_time = last_token_at.duration_since(started_at).saturating_sub(first_token);
    Ok(())
}
