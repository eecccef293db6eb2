//! Parsing and validation of callers' requests.

use std::time::Duration;

use actix_web::{HttpRequest, web};
use bytes::Bytes;
use samphiredeck_core::{declaration::PriorityClass, ids::ModelName, units::ByteSize};
use serde::Deserialize;

use super::error::CallerError;

/// Header that carries the priority class.
const CLASS_HEADER: &str = "x-priority";
/// Header that carries the deadline in milliseconds from arrival.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header that carries the idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Maximum deadline in milliseconds.
const DEADLINE_MAX_MS: u64 = 86_400_000;
/// Maximum length of an idempotency key in bytes.
const KEY_MAX_BYTES: usize = 256;
/// Default limit on the tokens of a response.
const MAX_TOKENS_DEFAULT: u64 = 256;
/// Maximum of `max_tokens` that a request may set.
const MAX_TOKENS_LIMIT: u64 = 1_000_000;

/// Validated headers of a request.
#[derive(Clone, Debug)]
pub struct CallerHeaders {
    /// Priority class.
    pub class: PriorityClass,
    /// Time after arrival by which the request must be placed.
    pub deadline: Option<Duration>,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> Result<Option<&'a str>, CallerError> {
    let Some(value) = request.headers().get(name) else { return Ok(None) };
    let text = value.to_str();
    text.map(Some).map_err(|_bytes| CallerError::bad_field(name, "is not printable text"))
}

fn parse_deadline(text: &str) -> Result<Duration, CallerError> {
    let invalid = |reason: String| CallerError::bad_field(DEADLINE_HEADER, reason);
    let millis: u64 =
        text.parse().map_err(|_parse| invalid(format!("{text:?} is not a whole number")))?;
    if !(1..=DEADLINE_MAX_MS).contains(&millis) {
        return Err(invalid(format!("{millis} is not within 1 to {DEADLINE_MAX_MS}")));
    }
    Ok(Duration::from_millis(millis))
}

fn check_key(text: &str) -> Result<String, CallerError> {
    if text.is_empty() || text.len() > KEY_MAX_BYTES {
        let reason = format!("must have 1 to {KEY_MAX_BYTES} bytes, has {}", text.len());
        return Err(CallerError::bad_field(KEY_HEADER, reason));
    }
    Ok(text.to_owned())
}

impl TryFrom<&HttpRequest> for CallerHeaders {
    type Error = CallerError;

    fn try_from(request: &HttpRequest) -> Result<Self, Self::Error> {
        let class = match header(request, CLASS_HEADER)? {
            None => PriorityClass::default(),
            Some(text) => {
                text.parse().map_err(|error| CallerError::bad_field(CLASS_HEADER, error))?
            }
        };
        let deadline = header(request, DEADLINE_HEADER)?.map(parse_deadline).transpose()?;
        let idempotency_key = header(request, KEY_HEADER)?.map(check_key).transpose()?;
        Ok(Self { class, deadline, idempotency_key })
    }
}

/// Body of a chat completion or text completion request. Unknown fields are ignored.
#[derive(Debug, Deserialize)]
struct RawCompletion {
    model: String,
    #[serde(default)]
    messages: Option<Vec<RawMessage>>,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// Message of a chat completion request.
#[derive(Debug, Deserialize)]
struct RawMessage {
    role: String,
    content: String,
}

/// Validated body of a chat completion or text completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Name of the model.
    pub model: ModelName,
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate, at least 1.
    pub max_tokens: u64,
    /// Whether the response is streamed.
    pub stream: bool,
}

/// Parses and validates the body of a request to `path`.
///
/// # Errors
///
/// Returns the invalid field and the reason.
pub fn parse_completion(path: &str, body: &[u8]) -> Result<CompletionRequest, CallerError> {
    let raw: RawCompletion =
        serde_json::from_slice(body).map_err(|error| CallerError::bad_field("body", error))?;
    let model = raw.model.parse().map_err(|error| CallerError::bad_field("model", error))?;
    let chat = path.contains("chat");
    let prompt = match (raw.messages, raw.prompt) {
        (Some(messages), None) if chat && !messages.is_empty() => join_messages(&messages),
        (None, Some(prompt)) if !chat && !prompt.is_empty() => prompt,
        _ if chat => {
            return Err(CallerError::bad_field("messages", "must be a list with one or more"));
        }
        _ => return Err(CallerError::bad_field("prompt", "must be a text that is not empty")),
    };
    let max_tokens = raw.max_completion_tokens.or(raw.max_tokens).unwrap_or(MAX_TOKENS_DEFAULT);
    if !(1..=MAX_TOKENS_LIMIT).contains(&max_tokens) {
        let reason = format!("{max_tokens} is not within 1 to {MAX_TOKENS_LIMIT}");
        return Err(CallerError::bad_field("max_tokens", reason));
    }
    Ok(CompletionRequest { model, prompt, max_tokens, stream: raw.stream })
}

fn join_messages(messages: &[RawMessage]) -> String {
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.role);
        text.push_str(": ");
        text.push_str(&message.content);
        text.push('\n');
    }
    text
}

/// Reads a request body of at most `limit`.
///
/// # Errors
///
/// Fails if the body is larger than `limit` or can't be read completely.
pub async fn read_body(payload: web::Payload, limit: ByteSize) -> Result<Bytes, CallerError> {
    let limit_bytes = usize::try_from(limit.0).unwrap_or(usize::MAX);
    match payload.to_bytes_limited(limit_bytes).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) => Err(CallerError::bad_field("body", error)),
        Err(_too_large) => Err(CallerError::too_large(limit)),
    }
}
