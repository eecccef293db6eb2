//! Responses to callers, as an event stream or as one JSON body.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use actix_web::HttpResponse;
use bytes::Bytes;
use futures_util::{Stream, stream::unfold};
use samphiredeck_core::{
    engine_api::{REQUEST_ID_HEADER, RUN_VERDICT_HEADER},
    ids::RequestId,
    verdict::RunVerdict,
};
use serde_json::{Value, json};
use tokio::{sync::watch, time::timeout};

use super::error::CallerError;
use crate::run::{BufferRead, RunBuffer, RunState};

/// Time without data after which a comment is sent to keep the connection alive.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Fields and format of a response.
#[derive(Clone, Debug)]
pub struct ResponseFormat {
    /// Id of the request.
    pub request: RequestId,
    /// Name of the model.
    pub model: String,
    /// Whether the request is a chat completion.
    pub chat: bool,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
}

impl ResponseFormat {
    fn object(&self, streamed: bool) -> &'static str {
        match (self.chat, streamed) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        }
    }

    /// Builds an entry of `choices`.
    fn choice(&self, text: &str, finish: Option<&str>, streamed: bool) -> Value {
        let message = json!({ "role": "assistant", "content": text });
        match (self.chat, streamed) {
            (true, true) => json!({ "index": 0, "delta": message, "finish_reason": finish }),
            (true, false) => json!({ "index": 0, "message": message, "finish_reason": finish }),
            (false, _) => json!({ "index": 0, "text": text, "finish_reason": finish }),
        }
    }

    fn usage(&self, read: &BufferRead) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": read.tokens,
            "total_tokens": self.prompt_tokens + read.tokens,
            "prompt_tokens_details": { "cached_tokens": read.cached_tokens },
        })
    }

    /// Encodes a chunk. Its event id is the byte offset from which a caller can resume.
    fn chunk(&self, read: &BufferRead, end: usize) -> String {
        let body = json!({
            "id": self.request,
            "object": self.object(true),
            "model": self.model,
            "choices": [self.choice(&read.text, None, true)],
        });
        format!("id: {end}\ndata: {body}\n\n")
    }

    fn final_chunk(&self, read: &BufferRead, end: usize) -> String {
        let body = json!({
            "id": self.request,
            "object": self.object(true),
            "model": self.model,
            "choices": [self.choice("", read.finish_reason.as_deref(), true)],
            "usage": self.usage(read),
        });
        format!("id: {end}\ndata: {body}\n\ndata: [DONE]\n\n")
    }

    fn failure_chunk(&self, state: &RunState, end: usize) -> String {
        let (event, body) = match state {
            RunState::Failed(failure) => (
                "error",
                json!({
                    "error": { "reason": failure.reason, "message": "request given up" },
                    "verdict": failure.verdict,
                    "retry_after_s": failure.retry_after_s,
                    "request": self.request,
                    "offset": end,
                }),
            ),
            _ => ("moved", json!({ "request": self.request, "offset": end })),
        };
        format!("id: {end}\nevent: {event}\ndata: {body}\n\n")
    }
}

/// Reader of a run's buffer, detached on drop.
struct ReaderGuard {
    buffer: Arc<RunBuffer>,
    changes: watch::Receiver<u64>,
}

impl ReaderGuard {
    fn new(buffer: Arc<RunBuffer>) -> Self {
        let changes = buffer.attach();
        Self { buffer, changes }
    }
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        self.buffer.detach(Instant::now());
    }
}

/// State of a streamed response.
struct StreamState {
    reader: ReaderGuard,
    format: ResponseFormat,
    offset: usize,
    ended: bool,
}

impl StreamState {
    /// Waits for the next bytes of the stream, or returns a keep-alive comment.
    async fn next_chunk(&mut self) -> Option<Bytes> {
        loop {
            if self.ended {
                return None;
            }
            self.reader.changes.mark_unchanged();
            let read = self.reader.buffer.read(self.offset);
            if let Some(chunk) = self.encode(&read) {
                return Some(Bytes::from(chunk));
            }
            match timeout(KEEP_ALIVE, self.reader.changes.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => self.ended = true,
                Err(_) => return Some(Bytes::from_static(b": keep-alive\n\n")),
            }
        }
    }

    /// Encodes what was read, with the final event if the run has ended. Returns `None` if there is
    /// nothing to send.
    fn encode(&mut self, read: &BufferRead) -> Option<String> {
        self.offset += read.text.len();
        let mut chunk = String::new();
        if !read.text.is_empty() {
            chunk = self.format.chunk(read, self.offset);
        }
        match &read.state {
            RunState::Open => {}
            RunState::Complete => {
                chunk.push_str(&self.format.final_chunk(read, self.offset));
                self.ended = true;
            }
            state => {
                chunk.push_str(&self.format.failure_chunk(state, self.offset));
                self.ended = true;
            }
        }
        (!chunk.is_empty()).then_some(chunk)
    }
}

/// Body stream of a response.
struct ResponseStream(Pin<Box<dyn Stream<Item = Result<Bytes, actix_web::Error>>>>);

impl Stream for ResponseStream {
    type Item = Result<Bytes, actix_web::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.as_mut().poll_next(cx)
    }
}

/// Streams a response from byte `offset` of its text on.
pub fn stream_response(
    buffer: Arc<RunBuffer>,
    format: ResponseFormat,
    offset: usize,
) -> HttpResponse {
    let request = format.request.to_string();
    let state = StreamState { reader: ReaderGuard::new(buffer), format, offset, ended: false };
    let stream = unfold(state, |mut state| async move {
        let chunk = state.next_chunk().await?;
        Some((Ok(chunk), state))
    });
    HttpResponse::Ok()
        .insert_header((REQUEST_ID_HEADER, request))
        .insert_header(("content-type", "text/event-stream"))
        .insert_header(("cache-control", "no-store"))
        .streaming(ResponseStream(Box::pin(stream)))
}

/// Waits until the run ends and returns the complete response.
///
/// # Errors
///
/// Returns the failure of the run.
pub async fn await_response(
    buffer: Arc<RunBuffer>,
    format: ResponseFormat,
) -> Result<HttpResponse, CallerError> {
    let mut reader = ReaderGuard::new(Arc::clone(&buffer));
    loop {
        reader.changes.mark_unchanged();
        match buffer.state() {
            RunState::Open => {
                if reader.changes.changed().await.is_err() {
                    let message = "the run has gone without an end";
                    return Err(CallerError::may_have_run("run-lost", message));
                }
            }
            RunState::Complete => return Ok(complete_response(&buffer.read(0), &format)),
            RunState::Failed(failure) => {
                return Err(CallerError::from(failure).with_request(&format.request));
            }
            // Another node continues the run. Any node can serve the redirected request.
            RunState::Moved => {
                return Ok(HttpResponse::SeeOther()
                    .insert_header(("location", format!("/v1/requests/{}", format.request)))
                    .insert_header((REQUEST_ID_HEADER, format.request.to_string()))
                    .json(json!({ "id": format.request })));
            }
        }
    }
}

fn complete_response(read: &BufferRead, format: &ResponseFormat) -> HttpResponse {
    HttpResponse::Ok()
        .insert_header((REQUEST_ID_HEADER, format.request.to_string()))
        .insert_header((RUN_VERDICT_HEADER, RunVerdict::Ran.to_string()))
        .json(json!({
            "id": format.request,
            "object": format.object(false),
            "model": format.model,
            "choices": [format.choice(&read.text, read.finish_reason.as_deref(), false)],
            "usage": format.usage(read),
        }))
}
