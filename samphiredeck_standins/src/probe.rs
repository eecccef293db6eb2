//! Client for tests, the demo and the experiments: asks, times and checks answers.

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

/// Bound on making a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Bound on a call that is not streamed.
const CALL_TIMEOUT: Duration = Duration::from_secs(90);
/// Largest answer in bytes.
const ANSWER_MAX: usize = 64 * 1_024 * 1_024;

/// Key of the operators of a launched system.
#[must_use]
pub fn operator_key() -> &'static str {
    "operator-key"
}

/// Client. Cheap to clone, bound to its thread.
#[derive(Clone)]
pub struct Probe {
    client: Client,
}

impl std::fmt::Debug for Probe {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Probe")
    }
}

impl Default for Probe {
    fn default() -> Self {
        Self::new()
    }
}

/// Chat as a test asks it.
#[derive(Clone, Debug)]
pub struct ChatAsk {
    /// Bearer key.
    pub key: String,
    /// Model.
    pub model: String,
    /// Priority class.
    pub class: &'static str,
    /// Text of the only message.
    pub content: String,
    /// Tokens of the answer.
    pub max_tokens: u64,
    /// Idempotency key.
    pub idempotency: Option<String>,
}

impl ChatAsk {
    /// Describes an urgent chat with the key of the first workspace.
    #[must_use]
    pub fn new(content: &str, max_tokens: u64) -> Self {
        Self {
            key: "wharf-key".to_owned(),
            model: "tala-8b".to_owned(),
            class: "urgent",
            content: content.to_owned(),
            max_tokens,
            idempotency: None,
        }
    }

    /// Text of the whole answer.
    #[must_use]
    pub fn expected(&self) -> String {
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

/// How a chat ended.
#[derive(Clone, Debug, Default)]
pub struct ChatEnd {
    /// HTTP status, zero where none came.
    pub status: u16,
    /// Id of the request.
    pub request: String,
    /// Text that came.
    pub text: String,
    /// Whether the end mark came.
    pub complete: bool,
    /// Whether the stream said that another node goes on.
    pub moved: bool,
    /// Verdict, for a request that was refused or given up.
    pub verdict: String,
    /// Reason, for a request that was refused or given up.
    pub reason: String,
    /// `Retry-After` in seconds.
    pub retry_after: Option<u64>,
    /// Prompt tokens that the engine found in cache.
    pub cached: u64,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Time from the first token to the last.
    pub tail: Duration,
    /// Time from the question to the end.
    pub total: Duration,
}

impl ChatEnd {
    /// Whether the answer to `ask` came whole and right.
    #[must_use]
    pub fn is_right(&self, ask: &ChatAsk) -> bool {
        self.complete && self.text == ask.expected()
    }
}

impl Probe {
    /// Builds a client whose every call uses a connection of its own.
    #[must_use]
    pub fn new() -> Self {
        Self::with_keep(Duration::ZERO)
    }

    /// Builds a client that keeps idle connections.
    #[must_use]
    pub fn with_keep(keep: Duration) -> Self {
        let connector = Connector::new().timeout(CONNECT_TIMEOUT).conn_keep_alive(keep).limit(0);
        let client = Client::builder().connector(connector).disable_timeout().finish();
        Self { client }
    }

    /// Posts a JSON body and returns status and answer.
    ///
    /// # Errors
    ///
    /// Returns that no answer came.
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
        let bytes = response.body().limit(ANSWER_MAX).await?;
        Ok((status, serde_json::from_slice(&bytes).unwrap_or_default()))
    }

    /// Gets a JSON answer with the operators' key.
    ///
    /// # Errors
    ///
    /// Returns that no answer came or that it is an error.
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
        Ok(serde_json::from_slice(&response.body().limit(ANSWER_MAX).await?)?)
    }

    /// Whether a node says that it is ready.
    pub async fn is_ready(&self, to: SocketAddr) -> bool {
        self.get_json::<Value>(to, "/ready").await.is_ok()
    }

    /// Looks at a node.
    ///
    /// # Errors
    ///
    /// Returns that no answer came.
    pub async fn view(&self, to: SocketAddr) -> eyre::Result<Value> {
        self.get_json(to, "/admin/view").await
    }

    /// Changes the declaration through a node.
    ///
    /// # Errors
    ///
    /// Returns that no answer came.
    pub async fn change(
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

    /// Asks a chat and streams the answer.
    pub async fn chat(&self, to: SocketAddr, ask: &ChatAsk) -> ChatEnd {
        let mut end = ChatEnd::default();
        let began = Instant::now();
        // What went wrong shows in the fields that stayed empty.
        if let Err(error) = self.stream_chat(to, ask, &mut end, began).await {
            end.reason = error.to_string();
        }
        end.total = began.elapsed();
        end
    }

    async fn stream_chat(
        &self,
        to: SocketAddr,
        ask: &ChatAsk,
        end: &mut ChatEnd,
        began: Instant,
    ) -> eyre::Result<()> {
        let mut call = self
            .client
            .post(format!("http://{to}/v1/chat/completions"))
            .insert_header(("authorization", format!("Bearer {}", ask.key)))
            .insert_header(("x-priority", ask.class));
        if let Some(key) = &ask.idempotency {
            call = call.insert_header(("idempotency-key", key.as_str()));
        }
        let response = call.send_json(&ask.body(true)).await.map_err(|error| eyre!("{error}"))?;
        read_answer(response, end, began).await
    }

    /// Comes back to a request and streams its answer from byte `offset` on.
    pub async fn attach(&self, to: SocketAddr, key: &str, request: &str, offset: usize) -> ChatEnd {
        let mut end = ChatEnd::default();
        let began = Instant::now();
        let call = self
            .client
            .get(format!("http://{to}/v1/requests/{request}?offset={offset}&stream=true"))
            .insert_header(("authorization", format!("Bearer {key}")));
        match call.send().await {
            Ok(response) => {
                if let Err(error) = read_answer(response, &mut end, began).await {
                    end.reason = error.to_string();
                }
            }
            Err(error) => end.reason = error.to_string(),
        }
        end.total = began.elapsed();
        end
    }

    /// Calls a plain service. Returns status, verdict and body.
    pub async fn call_service(
        &self,
        to: SocketAddr,
        path: &str,
        idempotency: Option<&str>,
        body: &Value,
    ) -> (u16, String, Value) {
        let mut call = self
            .client
            .post(format!("http://{to}{path}"))
            .timeout(CALL_TIMEOUT)
            .insert_header(("authorization", "Bearer wharf-key"));
        if let Some(key) = idempotency {
            call = call.insert_header(("idempotency-key", key));
        }
        let Ok(mut response) = call.send_json(body).await else {
            return (0, String::new(), Value::Null);
        };
        let verdict = header(&response, "x-run-verdict").unwrap_or_default();
        let bytes = response.body().limit(ANSWER_MAX).await.unwrap_or_default();
        let value = serde_json::from_slice(&bytes).unwrap_or_default();
        (response.status().as_u16(), verdict, value)
    }
}

fn header<S>(response: &awc::ClientResponse<S>, name: &str) -> Option<String> {
    response.headers().get(name)?.to_str().ok().map(str::to_owned)
}

async fn read_answer<S>(
    mut response: awc::ClientResponse<S>,
    end: &mut ChatEnd,
    began: Instant,
) -> eyre::Result<()>
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    end.status = response.status().as_u16();
    end.request = header(&response, "x-request-id").unwrap_or_default();
    end.verdict = header(&response, "x-run-verdict").unwrap_or_default();
    end.retry_after = header(&response, "retry-after").and_then(|text| text.parse().ok());
    if end.status != 200 {
        let bytes = response.body().limit(ANSWER_MAX).await?;
        let body: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        body["error"]["reason"].as_str().unwrap_or_default().clone_into(&mut end.reason);
        return Ok(());
    }
    let mut events = response.eventsource();
    let mut last = began;
    while let Some(event) = events.next().await {
        let event = event.map_err(|error| eyre!("{error}"))?;
        if event.data == "[DONE]" {
            end.complete = true;
            break;
        }
        let body: Value = serde_json::from_str(&event.data)?;
        match event.event.as_str() {
            "error" => {
                body["verdict"].as_str().unwrap_or_default().clone_into(&mut end.verdict);
                body["error"]["reason"].as_str().unwrap_or_default().clone_into(&mut end.reason);
            }
            "moved" => end.moved = true,
            _ => {
                let details = &body["usage"]["prompt_tokens_details"];
                end.cached = details["cached_tokens"].as_u64().unwrap_or(end.cached);
                let text = body["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
                if !text.is_empty() {
                    last = Instant::now();
                    end.first_token.get_or_insert_with(|| began.elapsed());
                    end.text.push_str(text);
                }
            }
        }
    }
    let first = end.first_token.unwrap_or_default();
    end.tail = last.duration_since(began).saturating_sub(first);
    Ok(())
}
