//! Answers to callers, streamed or whole.

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

use super::reply::CallerError;
use crate::run::{BufferRead, RunBuffer, RunState};

/// Time without news after which a comment keeps the caller's connection alive.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// How an answer is written.
#[derive(Clone, Debug)]
pub struct StreamFormat {
    /// Id of the request.
    pub request: RequestId,
    /// Model as the caller named it.
    pub model: String,
    /// Whether it is a chat.
    pub chat: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
}

impl StreamFormat {
    fn object(&self, streamed: bool) -> &'static str {
        match (self.chat, streamed) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        }
    }

    /// Writes one choice.
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

    /// Writes one chunk. The event id is the offset that a caller resumes from.
    fn chunk(&self, read: &BufferRead, end: usize) -> String {
        let body = json!({
            "id": self.request,
            "object": self.object(true),
            "model": self.model,
            "choices": [self.choice(&read.text, None, true)],
        });
        format!("id: {end}\ndata: {body}\n\n")
    }

    fn last_chunk(&self, read: &BufferRead, end: usize) -> String {
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

/// Reader of an answer, which counts as a caller until it is dropped.
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

/// State of a streamed answer.
struct StreamState {
    reader: ReaderGuard,
    format: StreamFormat,
    offset: usize,
    ended: bool,
}

impl StreamState {
    /// Waits for the next piece of the stream.
    async fn next_piece(&mut self) -> Option<Bytes> {
        loop {
            if self.ended {
                return None;
            }
            self.reader.changes.mark_unchanged();
            let read = self.reader.buffer.read(self.offset);
            if let Some(piece) = self.write(&read) {
                return Some(Bytes::from(piece));
            }
            match timeout(KEEP_ALIVE, self.reader.changes.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => self.ended = true,
                Err(_) => return Some(Bytes::from_static(b": keep-alive\n\n")),
            }
        }
    }

    /// Writes what there is to write of `read`.
    fn write(&mut self, read: &BufferRead) -> Option<String> {
        self.offset += read.text.len();
        let mut piece = String::new();
        if !read.text.is_empty() {
            piece = self.format.chunk(read, self.offset);
        }
        match &read.state {
            RunState::Open => {}
            RunState::Complete => {
                piece.push_str(&self.format.last_chunk(read, self.offset));
                self.ended = true;
            }
            state => {
                piece.push_str(&self.format.failure_chunk(state, self.offset));
                self.ended = true;
            }
        }
        (!piece.is_empty()).then_some(piece)
    }
}

/// Stream of an answer as bytes.
struct AnswerStream(Pin<Box<dyn Stream<Item = Result<Bytes, actix_web::Error>>>>);

impl Stream for AnswerStream {
    type Item = Result<Bytes, actix_web::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.as_mut().poll_next(cx)
    }
}

/// Streams an answer from byte `offset` on.
pub fn answer_stream(buffer: Arc<RunBuffer>, format: StreamFormat, offset: usize) -> HttpResponse {
    let request = format.request.to_string();
    let state = StreamState { reader: ReaderGuard::new(buffer), format, offset, ended: false };
    let stream = unfold(state, |mut state| async move {
        let piece = state.next_piece().await?;
        Some((Ok(piece), state))
    });
    HttpResponse::Ok()
        .insert_header((REQUEST_ID_HEADER, request))
        .insert_header(("content-type", "text/event-stream"))
        .insert_header(("cache-control", "no-store"))
        .streaming(AnswerStream(Box::pin(stream)))
}

/// Waits for an answer and returns it whole.
///
/// # Errors
///
/// Returns why the request was given up.
pub async fn answer_whole(
    buffer: Arc<RunBuffer>,
    format: StreamFormat,
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
            RunState::Complete => return Ok(write_whole(&buffer.read(0), &format)),
            RunState::Failed(failure) => {
                return Err(CallerError::from(failure).about(&format.request));
            }
            // Another node goes on: the caller follows to any node of the system.
            RunState::Moved => {
                return Ok(HttpResponse::SeeOther()
                    .insert_header(("location", format!("/v1/requests/{}", format.request)))
                    .insert_header((REQUEST_ID_HEADER, format.request.to_string()))
                    .json(json!({ "id": format.request })));
            }
        }
    }
}

fn write_whole(read: &BufferRead, format: &StreamFormat) -> HttpResponse {
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
