//! Answers of upstreams, checked before anything of them is passed on.

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use samphiredeck_core::forward::{
    events::{EventBatch, EventBuffer},
    outcome::SendOutcome,
};
use samphiredeck_platform::headers::{
    NotExecutedReason, ResponseMetadata, decode_response_headers, encode_response_headers,
};
use serde_json::json;

use crate::forward::{
    clock,
    http_connection::HttpLink,
    in_flight::UpstreamFlight,
    request::{AdmittedCall, CallTrace},
};

/// Largest whole answer that is held to be checked before it is passed on.
const WHOLE_BYTES_MAX: usize = 8 * 1_024 * 1_024;

/// Whole answer of an upstream.
#[derive(Debug)]
pub struct WholeAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Stream of an upstream, from its first event on.
#[derive(Debug)]
pub struct StreamAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Events that have arrived.
    pub first: Option<EventBatch>,
    /// Whether the stream has ended with `first`.
    pub ended: bool,
    /// Where the rest comes from.
    pub source: StreamSource,
}

/// Open stream of an upstream.
#[derive(Debug)]
pub struct StreamSource {
    /// Rest of the body.
    pub body: Incoming,
    /// Part of an event that has arrived.
    pub buffer: EventBuffer,
    /// Its connection. Its drop ends the run.
    pub link: HttpLink,
    /// Place that the request takes at the upstream.
    pub flight: UpstreamFlight,
    /// What the head of the answer said.
    pub marks: ResponseMetadata,
}

/// Answer of an upstream.
#[derive(Debug)]
pub enum UpstreamAnswer {
    /// A whole one.
    Whole(WholeAnswer),
    /// A stream that has begun.
    Stream(Box<StreamAnswer>),
}

/// Why one send brought no answer that can be passed on.
pub struct SendFailure {
    /// What follows from it.
    pub outcome: SendOutcome,
    /// What happened.
    pub reason: String,
    /// The upstream's own failure, if it can be passed on.
    pub answer: Option<WholeAnswer>,
}

impl SendFailure {
    /// A failure without an answer.
    pub fn new(outcome: SendOutcome, reason: impl Into<String>) -> Self {
        Self { outcome, reason: reason.into(), answer: None }
    }
}

/// Answer that can be passed on.
pub enum TakenAnswer {
    /// A whole one.
    Whole(WholeAnswer, ResponseMetadata),
    /// A stream up to its first event.
    Stream {
        status: StatusCode,
        headers: HeaderMap,
        first: Option<EventBatch>,
        ended: bool,
        body: Incoming,
        buffer: EventBuffer,
        marks: ResponseMetadata,
    },
}

/// Checks the head of an answer and takes its body, or the first event of its stream.
pub async fn take_answer(
    call: &AdmittedCall,
    trace: &CallTrace,
    response: Response<Incoming>,
    flight: &mut UpstreamFlight,
) -> Result<TakenAnswer, SendFailure> {
    let (head, body) = response.into_parts();
    let marks = decode_response_headers(head.status, &head.headers);
    flight.note_read();
    note_marks(trace, flight, &marks);
    if marks.not_executed.is_some() {
        let reason = format!("rejected with {}", head.status.as_u16());
        return Err(SendFailure::new(SendOutcome::Rejected, reason));
    }
    if marks.attempt_id.as_deref().is_some_and(|request| request != call.fields.attempt_id) {
        return Err(SendFailure::new(SendOutcome::Broken, "answer to another request"));
    }
    let headers = encode_response_headers(&head.headers);
    if head.status.is_success() {
        if !marks.signed || marks.encoded {
            return Err(SendFailure::new(SendOutcome::Broken, "success without a sound signature"));
        }
        if call.route.streams {
            return take_stream(head.status, headers, body, marks).await;
        }
    }
    let body = Limited::new(body, WHOLE_BYTES_MAX).collect().await;
    let body =
        body.map_err(|error| SendFailure::new(SendOutcome::Broken, error.to_string()))?.to_bytes();
    let answer = WholeAnswer { status: head.status, headers, body };
    let refused = head.status.is_client_error() && marks.signed && !is_promise(head.status);
    if head.status.is_success() || refused {
        return Ok(TakenAnswer::Whole(answer, marks));
    }
    let reason = format!("failed with {}", head.status.as_u16());
    // A status that promises that nothing ran can't be passed on without the upstream's mark.
    let answer = Some(answer).filter(|answer| !is_promise(answer.status) && marks.signed);
    Err(SendFailure { outcome: SendOutcome::Failed, reason, answer })
}

/// Whether the status tells a caller that its request has not run and will not run.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

async fn take_stream(
    status: StatusCode,
    headers: HeaderMap,
    mut body: Incoming,
    marks: ResponseMetadata,
) -> Result<TakenAnswer, SendFailure> {
    let mut buffer = EventBuffer::default();
    loop {
        let Some(frame) = body.frame().await else {
            if buffer.is_partial() {
                return Err(SendFailure::new(SendOutcome::Broken, "ended within an event"));
            }
            let (first, ended) = (None, true);
            return Ok(TakenAnswer::Stream { status, headers, first, ended, body, buffer, marks });
        };
        let frame =
            frame.map_err(|error| SendFailure::new(SendOutcome::Broken, error.to_string()))?;
        let Some(piece) = frame.data_ref() else { continue };
        if let Some(first) = buffer.push(piece) {
            let (first, ended) = (Some(first), false);
            return Ok(TakenAnswer::Stream { status, headers, first, ended, body, buffer, marks });
        }
        if buffer.is_overlong() {
            return Err(SendFailure::new(SendOutcome::Broken, "event without an end"));
        }
    }
}

/// Takes in what an answer says of its upstream.
fn note_marks(trace: &CallTrace, flight: &UpstreamFlight, marks: &ResponseMetadata) {
    let mut beliefs = trace.node.beliefs();
    let now = clock::now();
    if let Some((running, waiting)) = marks.load {
        beliefs.roster.note_load(&flight.upstream, running, waiting, now);
    }
    if marks.not_executed == Some(NotExecutedReason::Misdirected)
        && beliefs.roster.note_leaving(&flight.upstream)
    {
        let fields = json!({
            "upstream": flight.upstream.as_str(), "change": "leaving",
            "reason": "its address serves another", "request": trace.request,
        });
        trace.node.journal.note("upstream", fields);
    }
}
