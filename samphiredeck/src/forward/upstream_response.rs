//! Receives and validates upstream responses before they are relayed.

use bytes::Bytes;
use http::{
    HeaderMap, Response, StatusCode,
    header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        byte_budget::ByteSource,
        event_order::ResumePoint,
        events::{EventBatch, EventBuffer},
        outcome::SendOutcome,
        upstream_state::ResponseEvent,
    },
};
use samphiredeck_platform::headers::{
    BrittleNotice, LimitNotice, NotExecutedReason, ResponseMetadata, decode_announcements,
    decode_response_headers, encode_response_headers,
};

use crate::forward::{
    bounded_body::{BodyError, WhenFull, collect_body},
    byte_lease::ByteLease,
    clock,
    http_connection::{HttpConnection, is_closed_by_peer},
    in_flight::InFlightRequest,
    request::{AdmittedRequest, RequestTrace},
    slot_exchange::record_refusal,
    upstream_changes::{handle_announcements, handle_response_event},
};

/// Maximum size of a complete response, which is buffered and validated before it is relayed.
pub const RESPONSE_BYTES_MAX: usize = 8 * 1_024 * 1_024;
/// Content type of streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Complete response of an upstream.
#[derive(Debug)]
pub struct CompleteResponse {
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Holds the body.
    pub lease: Option<ByteLease>,
}

/// Streaming response of an upstream, from its first event on.
#[derive(Debug)]
pub struct StreamingResponse {
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Events received so far.
    pub first_batch: Option<EventBatch>,
    /// Whether the stream has ended, so that no events follow `first_batch`.
    pub ended: bool,
    /// Source of the remaining events.
    pub source: UpstreamStream,
}

/// Open response stream of an upstream.
#[derive(Debug)]
pub struct UpstreamStream {
    /// Remaining body.
    pub body: Incoming,
    /// Buffer for a partial event.
    pub buffer: EventBuffer,
    /// Holds the buffer, and the events whose order is not known yet.
    pub lease: ByteLease,
    /// Bytes of those events.
    pub held_events: usize,
    /// Connection of the stream. Dropping it cancels the run.
    pub connection: HttpConnection,
    /// Keeps the request counted as in flight.
    pub in_flight: InFlightRequest,
    /// Metadata from the response head.
    pub metadata: ResponseMetadata,
    /// Time at which the first event arrived.
    pub first_event_at: BootTime,
    /// Number of events after those that arrived then, and the time at which the last of them arrived.
    pub later_events: (u32, BootTime),
}

impl UpstreamStream {
    /// Records that `count` events after the first ones arrived.
    pub fn record_events(&mut self, count: usize) {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.later_events = (self.later_events.0.saturating_add(count), clock::now());
    }
}

/// Response of an upstream.
#[derive(Debug)]
pub enum UpstreamResponse {
    /// Complete response.
    Complete(CompleteResponse),
    /// Stream that has started.
    Streaming(Box<StreamingResponse>),
}

/// Failed attempt without a response that can be relayed, except possibly an error response.
pub struct SendFailure {
    /// Outcome that determines the next step.
    pub outcome: SendOutcome,
    /// Description of the failure.
    pub reason: String,
    /// Error response of the upstream, if it may be relayed.
    pub response: Option<CompleteResponse>,
    /// Whether the upstream closed the connection before the response was complete.
    pub closed: bool,
}

impl SendFailure {
    /// Creates a failure without a response.
    pub fn new(outcome: SendOutcome, reason: impl Into<String>) -> Self {
        Self { outcome, reason: reason.into(), response: None, closed: false }
    }

    /// Creates the failure of a response whose body could not be read.
    fn unread(error: &hyper::Error) -> Self {
        let closed = is_closed_by_peer(error);
        Self { closed, ..Self::new(SendOutcome::Broken, error.to_string()) }
    }
}

/// Response that can be relayed.
pub enum ReceivedResponse {
    /// Complete response.
    Complete(CompleteResponse, ResponseMetadata),
    /// Stream up to its first event.
    Streaming {
        status: StatusCode,
        headers: HeaderMap,
        first_batch: Option<EventBatch>,
        ended: bool,
        body: Incoming,
        buffer: EventBuffer,
        lease: ByteLease,
        metadata: ResponseMetadata,
    },
}

/// Validates the head of a response and receives its body, or the first event of its stream. With `resume`, the
/// caller has the beginning of the stream, so that nothing but the rest of it is of use.
pub async fn receive_response(
    admitted: &AdmittedRequest,
    trace: &RequestTrace,
    response: Response<Incoming>,
    in_flight: &mut InFlightRequest,
    resume: Option<ResumePoint>,
) -> Result<ReceivedResponse, SendFailure> {
    let (head, body) = response.into_parts();
    let metadata = decode_response_headers(head.status, &head.headers);
    in_flight.record_response_start();
    trace.node.state().upstream_heard_at = Some(clock::now());
    // A late response to an earlier request, whatever it says, does not tell what became of this one.
    if metadata.attempt_id.as_deref().is_some_and(|id| id != admitted.metadata.attempt_id) {
        return Err(SendFailure::new(
            SendOutcome::Broken,
            "response carries the attempt id of another request",
        ));
    }
    apply_metadata(trace, in_flight, &metadata);
    let mut announcements = decode_announcements(head.status, &head.headers);
    // What does not name its request may not be from the upstream, so the absence of a limit says nothing.
    if metadata.attempt_id.is_none() && announcements.limit == Some(LimitNotice::Absent) {
        announcements.limit = None;
    }
    if metadata.attempt_id.is_none() && announcements.brittle == Some(BrittleNotice::Absent) {
        announcements.brittle = None;
    }
    let source = in_flight.source(&trace.attempt_id);
    handle_announcements(&trace.node, &source, &announcements);
    // Upstreams name the request that they refuse. What does not may be a repeated refusal of an earlier one.
    if metadata.attempt_id.is_none() && metadata.not_executed.is_some() {
        let reason = format!("refusal of an unknown request with {}", head.status.as_u16());
        return Err(SendFailure::new(SendOutcome::Broken, reason));
    }
    if metadata.not_executed == Some(NotExecutedReason::Refused) {
        record_refusal(&trace.node, &in_flight.upstream);
    }
    if let Some(cause) = metadata.not_executed {
        let outcome = match cause {
            NotExecutedReason::Misdirected => SendOutcome::Misdirected,
            NotExecutedReason::Refused => SendOutcome::Rejected,
        };
        let reason = format!("rejected with {}", head.status.as_u16());
        return Err(SendFailure::new(outcome, reason));
    }
    if resume.is_some() && !head.status.is_success() {
        let reason = format!("failed with {}", head.status.as_u16());
        return Err(SendFailure::new(SendOutcome::Failed, reason));
    }
    let headers = encode_response_headers(&head.headers);
    let source = ByteSource::Upstream(in_flight.upstream.clone());
    let mut lease = ByteLease::new(&trace.node, source);
    if head.status.is_success() {
        if !metadata.signed || metadata.encoded {
            return Err(SendFailure::new(
                SendOutcome::Broken,
                "successful response without a valid signature",
            ));
        }
        if resume.is_some() && (head.status != StatusCode::OK || !is_event_stream(&head.headers)) {
            let reason = "response is not the rest of a stream";
            return Err(SendFailure::new(SendOutcome::Broken, reason));
        }
        if admitted.route.streams {
            let is_unframed = !head.headers.contains_key(CONTENT_LENGTH)
                && !head.headers.contains_key(TRANSFER_ENCODING);
            let is_rest = resume.is_some();
            return receive_stream(
                head.status,
                headers,
                (body, lease),
                metadata,
                is_unframed,
                is_rest,
            )
            .await;
        }
    }
    let body = collect_body(body, &|| RESPONSE_BYTES_MAX, &mut lease, WhenFull::Wait).await;
    let body = body.map_err(|error| match error {
        BodyError::Broken(error) => SendFailure::unread(&error),
        error => SendFailure::new(SendOutcome::Broken, error.to_string()),
    })?;
    lease.deliver();
    let lease = Some(lease);
    let complete = CompleteResponse { status: head.status, headers, body, lease };
    let client_error =
        head.status.is_client_error() && metadata.signed && !implies_not_executed(head.status);
    if head.status.is_success() || client_error {
        return Ok(ReceivedResponse::Complete(complete, metadata));
    }
    let reason = format!("failed with {}", head.status.as_u16());
    // A status that implies that nothing ran must not be relayed without the upstream's own
    // statement.
    let response =
        Some(complete).filter(|complete| !implies_not_executed(complete.status) && metadata.signed);
    Err(SendFailure { response, ..SendFailure::new(SendOutcome::Failed, reason) })
}

/// Whether the status tells a caller that its request has not run and will not run.
fn implies_not_executed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let essence = content_type.and_then(|text| text.split(';').next());
    essence.is_some_and(|essence| essence.trim().eq_ignore_ascii_case(EVENT_STREAM))
}

/// Receives a stream up to its first event. The rest of a stream has to begin with an event that has an id: one
/// without may be an error, and an end does not show that the stream was complete.
async fn receive_stream(
    status: StatusCode,
    headers: HeaderMap,
    (mut body, mut lease): (Incoming, ByteLease),
    metadata: ResponseMetadata,
    is_unframed: bool,
    is_rest: bool,
) -> Result<ReceivedResponse, SendFailure> {
    let mut buffer = EventBuffer::default();
    loop {
        let Some(frame) = body.frame().await else {
            // Without a length and chunks, only the end of the connection ends a stream. One without any
            // event is none.
            if buffer.is_partial() || is_unframed {
                let reason = "stream ended within or before its first event";
                let failure = SendFailure::new(SendOutcome::Broken, reason);
                return Err(SendFailure { closed: true, ..failure });
            }
            if is_rest {
                let reason = "rest of a stream ended before its first event";
                return Err(SendFailure::new(SendOutcome::Broken, reason));
            }
            let (first_batch, ended) = (None, true);
            return Ok(ReceivedResponse::Streaming {
                status,
                headers,
                first_batch,
                ended,
                body,
                buffer,
                lease,
                metadata,
            });
        };
        let frame = frame.map_err(|error| SendFailure::unread(&error))?;
        let Some(chunk) = frame.data_ref() else { continue };
        if let Some(first_batch) = buffer.push(chunk) {
            match first_batch.ids.first() {
                None if is_rest => continue,
                Some(None) if is_rest => {
                    let reason = "rest of a stream begins with an event without an id";
                    return Err(SendFailure::new(SendOutcome::Broken, reason));
                }
                _ => {}
            }
            let (first_batch, ended) = (Some(first_batch), false);
            return Ok(ReceivedResponse::Streaming {
                status,
                headers,
                first_batch,
                ended,
                body,
                buffer,
                lease,
                metadata,
            });
        }
        if let Err(error) = lease.hold(buffer.pending_bytes()).await {
            return Err(SendFailure::new(SendOutcome::Broken, error.to_string()));
        }
        if buffer.is_overlong() {
            return Err(SendFailure::new(SendOutcome::Broken, "event exceeds the size limit"));
        }
    }
}

/// Applies the load and state of the upstream that a response reports.
fn apply_metadata(trace: &RequestTrace, in_flight: &InFlightRequest, metadata: &ResponseMetadata) {
    if let Some((running, waiting)) = metadata.load {
        let mut state = trace.node.state();
        state.upstreams.record_load(&in_flight.upstream, running, waiting, clock::now());
    }
    if let Some(pace) = metadata.pace {
        let mut state = trace.node.state();
        state.upstreams.record_pace(&in_flight.upstream, pace.factor(), clock::now());
    }
    if metadata.not_executed == Some(NotExecutedReason::Misdirected) {
        let source = in_flight.source(&trace.attempt_id);
        handle_response_event(&trace.node, &source, ResponseEvent::AddressReused);
    }
}
