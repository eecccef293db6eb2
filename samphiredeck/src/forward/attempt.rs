//! Sends of one request to upstreams, until one answers or none may have it any more.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, Uri, uri::PathAndQuery};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use rand::random;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        catalog::RepeatRule,
        outcome::{NextStep, SendOutcome, next_step},
        placing::{PlaceChoice, PlaceRequest, choose_upstream},
        waiting::is_worth_sending,
    },
    ids::UpstreamId,
    verdict::RunVerdict,
};
use samphiredeck_platform::call::{
    AnswerMarks, SendFields, UnrunMark, decode_answer, encode_answer, encode_send,
};
use serde_json::json;
use tokio::time::timeout;

use crate::forward::{
    call::{AdmittedCall, CallRefusal, CallTrace, come_back},
    clock,
    events::{EventBatch, EventBuffer},
    http_link::HttpLink,
    node::ForwardNode,
};

/// Time below which a request is no longer sent, since no upstream can answer in it.
const SEND_TIME_MIN: Duration = Duration::from_millis(20);
/// Largest whole answer that is held to be checked before it is passed on.
const WHOLE_BYTES_MAX: usize = 8 * 1_024 * 1_024;
/// Share of the time left after which a request that may be repeated is tried elsewhere.
const TRY_SHARE: f64 = 0.5;
/// Times the target after which a stream that may be repeated and shows no event is tried
/// elsewhere.
const STREAM_TRY_TARGETS: f64 = 2.0;
/// Most upstreams to which a connection is tried for one request.
const CONNECTS_MAX: usize = 3;

/// Sends of one request so far.
#[derive(Debug)]
pub struct CallProgress {
    /// Upstreams that had the request, or that could not be reached.
    pub tried: Vec<UpstreamId>,
    /// Upstreams that the request was sent to.
    pub sent: u32,
    /// Whether it may have run.
    pub verdict: RunVerdict,
    /// Whether it was counted as begun.
    pub counted: bool,
}

impl Default for CallProgress {
    fn default() -> Self {
        Self { tried: Vec::new(), sent: 0, verdict: RunVerdict::NotRun, counted: false }
    }
}

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
    pub marks: AnswerMarks,
}

/// Answer of an upstream.
#[derive(Debug)]
pub enum UpstreamAnswer {
    /// A whole one.
    Whole(WholeAnswer),
    /// A stream that has begun.
    Stream(Box<StreamAnswer>),
}

/// Request that an upstream has, as long as it lives.
#[derive(Debug)]
pub struct UpstreamFlight {
    node: Rc<ForwardNode>,
    /// Upstream that has it.
    pub upstream: UpstreamId,
    unread: u64,
}

impl UpstreamFlight {
    fn begin(node: &Rc<ForwardNode>, choice: &PlaceChoice) -> Self {
        node.beliefs().roster.note_sent(&choice.upstream, choice.unread);
        let upstream = choice.upstream.clone();
        Self { node: Rc::clone(node), upstream, unread: choice.unread }
    }

    /// Notes that the prompt was read.
    pub fn note_read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.node.beliefs().roster.note_read(&self.upstream, unread);
    }

    /// Notes whether the upstream failed.
    pub fn note_outcome(&self, failed: bool) {
        self.node.beliefs().roster.note_outcome(&self.upstream, failed, clock::now());
    }
}

impl Drop for UpstreamFlight {
    fn drop(&mut self) {
        let mut beliefs = self.node.beliefs();
        beliefs.roster.note_read(&self.upstream, self.unread);
        beliefs.roster.note_ended(&self.upstream);
    }
}

/// Why one send brought no answer that can be passed on.
struct SendFailure {
    outcome: SendOutcome,
    reason: String,
    /// The upstream's own failure, if it can be passed on.
    answer: Option<WholeAnswer>,
}

impl SendFailure {
    fn new(outcome: SendOutcome, reason: impl Into<String>) -> Self {
        Self { outcome, reason: reason.into(), answer: None }
    }
}

/// Sends `call` until an upstream answers or the request has to be given up. With `resume`, the
/// upstream continues after that event.
///
/// # Errors
///
/// Returns the answer that the caller gets instead.
pub async fn attempt(
    call: &AdmittedCall,
    progress: &mut CallProgress,
    trace: &CallTrace,
    resume: Option<u64>,
) -> Result<UpstreamAnswer, CallRefusal> {
    let node = &trace.node;
    let mut connects = 0;
    loop {
        let now = clock::now();
        let left = call.ends_at.since(now);
        if left < SEND_TIME_MIN {
            return Err(give_up_late(progress, left));
        }
        if !node.beliefs().proof.permits(now) {
            return Err(end_without_answer(
                progress,
                "configuration not known to be the newest",
                left,
            ));
        }
        let choice = place(call, progress, trace, now, left)?;
        if progress.sent > 0 {
            if !node.beliefs().repeats.take(&call.pool, now) {
                return Err(end_without_answer(progress, "no budget for another send", left));
            }
            node.gauges.repeats.inc();
        }
        let failure = match send(call, progress, trace, &choice, resume).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        let spent = failure.outcome != SendOutcome::Unsent;
        progress.sent += u32::from(spent);
        connects += usize::from(!spent);
        progress.verdict = progress.verdict.join(failure.outcome.verdict());
        progress.tried.push(choice.upstream.clone());
        let attempts = call.route.max_attempts.saturating_sub(progress.sent);
        let attempts = if connects >= CONNECTS_MAX { 0 } else { attempts };
        let step = next_step(failure.outcome, progress.verdict, call.route.repeat, attempts);
        let fields = json!({
            "request": trace.request, "upstream": choice.upstream.as_str(),
            "outcome": format!("{:?}", failure.outcome), "reason": failure.reason,
            "verdict": progress.verdict.to_string(), "next": format!("{step:?}"),
            "sent": progress.sent, "age_ms": trace.age_ms(),
        });
        node.journal.note("send-failed", fields);
        let left = call.ends_at.since(clock::now());
        match (step, failure.answer) {
            (NextStep::SendAgain, _) => {}
            (NextStep::Deliver, Some(answer)) => return Ok(UpstreamAnswer::Whole(answer)),
            (NextStep::RefuseUnrun, _) => {
                let wait = come_back(Duration::ZERO, left);
                return Err(CallRefusal::unrun("upstream did not take the request", wait));
            }
            (NextStep::Deliver | NextStep::GiveUp, _) if left < SEND_TIME_MIN => {
                return Err(give_up_late(progress, left));
            }
            (NextStep::Deliver | NextStep::GiveUp, _) => {
                let status = StatusCode::BAD_GATEWAY;
                return Err(CallRefusal::unknown(status, "upstream gave no whole answer"));
            }
        }
    }
}

/// Answer for a request whose time is over.
fn give_up_late(progress: &CallProgress, left: Duration) -> CallRefusal {
    if progress.verdict == RunVerdict::NotRun {
        return CallRefusal::unrun("no time left to send the request", come_back(left, left));
    }
    CallRefusal::unknown(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
}

/// Answer for a request that is not sent again.
fn end_without_answer(
    progress: &CallProgress,
    reason: &'static str,
    left: Duration,
) -> CallRefusal {
    if progress.verdict == RunVerdict::NotRun {
        return CallRefusal::unrun(reason, come_back(Duration::ZERO, left));
    }
    CallRefusal::unknown(StatusCode::BAD_GATEWAY, reason)
}

fn place(
    call: &AdmittedCall,
    progress: &CallProgress,
    trace: &CallTrace,
    now: BootTime,
    left: Duration,
) -> Result<PlaceChoice, CallRefusal> {
    let node = &trace.node;
    let settings = node.settings();
    let beliefs = node.beliefs();
    let request = PlaceRequest {
        pool: &call.pool,
        engine: call.engine,
        parts: &call.fields.parts,
        tried: &progress.tried,
        connections: beliefs.connection_part(call.max_connections, now),
    };
    let choice = choose_upstream(&beliefs.roster, &request, &settings.domain, now, random::<f64>);
    let list_age = beliefs.roster.read_at().map(|at| now.since(at).as_millis());
    drop(beliefs);
    let Some(choice) = choice else {
        let fields = json!({
            "request": trace.request, "pool": call.pool.as_str(), "list_age_ms": list_age,
            "tried": progress.tried.len(),
        });
        node.journal.note("no-upstream", fields);
        return Err(end_without_answer(progress, "no upstream takes work", left));
    };
    let fields = json!({
        "request": trace.request, "upstream": choice.upstream.as_str(),
        "expected_ms": choice.expected.as_millis(), "unread": choice.unread, "home": choice.home,
        "left_ms": left.as_millis(), "version": call.version, "list_age_ms": list_age,
    });
    if !is_worth_sending(choice.expected, left) {
        node.journal.note("overloaded", fields);
        let excess = choice.expected.saturating_sub(left / 2);
        if progress.verdict == RunVerdict::NotRun {
            return Err(CallRefusal::unrun("too long a wait", come_back(excess, left)));
        }
        return Err(end_without_answer(progress, "too long a wait", left));
    }
    node.journal.note("place", fields);
    Ok(choice)
}

/// Builds the request for the upstream of `choice`.
fn build_request(
    call: &AdmittedCall,
    choice: &PlaceChoice,
    left: Duration,
    resume: Option<u64>,
) -> Request<Full<Bytes>> {
    let fields = SendFields {
        upstream: &choice.upstream,
        left,
        workspace: call.workspace.as_ref(),
        priority: call.priority,
        last_event: resume,
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    let path = call.uri.path_and_query().cloned();
    *request.uri_mut() = Uri::from(path.unwrap_or_else(|| PathAndQuery::from_static("/")));
    *request.headers_mut() = encode_send(&call.headers, &fields);
    request
}

/// Sends `call` once, to the upstream of `choice`.
async fn send(
    call: &AdmittedCall,
    progress: &mut CallProgress,
    trace: &CallTrace,
    choice: &PlaceChoice,
    resume: Option<u64>,
) -> Result<UpstreamAnswer, SendFailure> {
    let node = &trace.node;
    let address = node.beliefs().roster.find(&choice.upstream).map(|row| row.entry.address);
    let Some(address) = address else {
        return Err(SendFailure::new(SendOutcome::Unsent, "no longer listed"));
    };
    let mut flight = UpstreamFlight::begin(node, choice);
    let again_possible = call.route.max_attempts > progress.sent + 1;
    loop {
        let kept = node.pool.take(&choice.upstream, call.runs_once());
        let fresh = kept.is_none();
        let mut link = match kept {
            Some(link) => link,
            None => match node.pool.connect(address).await {
                Ok(link) => {
                    node.gauges.connections.inc();
                    link
                }
                Err(error) => {
                    flight.note_outcome(true);
                    return Err(SendFailure::new(SendOutcome::Unsent, error.to_string()));
                }
            },
        };
        let sent_at = clock::now();
        let left = call.ends_at.since(sent_at);
        let bound = try_bound(call, left, again_possible);
        let request = build_request(call, choice, left, resume);
        let exchange = async {
            let response = link.send(request).await.map_err(|error| {
                let outcome = if error.unsent { SendOutcome::Unsent } else { SendOutcome::Broken };
                SendFailure::new(outcome, error.reason)
            })?;
            take_answer(call, trace, response, &mut flight).await
        };
        let taken = match timeout(bound, exchange).await {
            Ok(taken) => taken,
            Err(_late) => {
                let reason = format!("no answer within {bound:?}");
                Err(SendFailure::new(SendOutcome::Broken, reason))
            }
        };
        return match taken {
            Err(failure) if failure.outcome == SendOutcome::Unsent && !fresh => continue,
            Err(failure) => {
                let ran = failure.outcome != SendOutcome::Rejected
                    && failure.outcome != SendOutcome::Unsent;
                if ran && !call.route.streams {
                    count_start(call, progress, node, sent_at);
                }
                flight.note_outcome(true);
                Err(failure)
            }
            Ok(Taken::Whole(answer, marks)) => {
                flight.note_outcome(false);
                count_start(call, progress, node, sent_at);
                if !marks.closes {
                    node.pool.keep(&choice.upstream, link, marks.keep_for);
                }
                progress.sent += 1;
                progress.verdict = RunVerdict::Ran;
                Ok(UpstreamAnswer::Whole(answer))
            }
            Ok(Taken::Stream { status, headers, first, ended, body, buffer, marks }) => {
                count_start(call, progress, node, clock::now());
                progress.sent += 1;
                progress.verdict = RunVerdict::Ran;
                progress.tried.push(choice.upstream.clone());
                let source = StreamSource { body, buffer, link, flight, marks };
                let answer = StreamAnswer { status, headers, first, ended, source };
                Ok(UpstreamAnswer::Stream(Box::new(answer)))
            }
        };
    }
}

fn count_start(
    call: &AdmittedCall,
    progress: &mut CallProgress,
    node: &ForwardNode,
    began_at: BootTime,
) {
    let Some(workspace) = call.workspace.as_ref().filter(|_| !progress.counted) else { return };
    progress.counted = true;
    let counted = node.beliefs().count_start(workspace, began_at, &node.settings());
    if !counted {
        let fields = json!({ "request": call.fields.request, "reason": "time of day unknown" });
        node.journal.note("uncounted", fields);
    }
}

/// Time after which a send without an answer is given up.
fn try_bound(call: &AdmittedCall, left: Duration, again_possible: bool) -> Duration {
    if !again_possible {
        return left;
    }
    match call.route.repeat {
        RepeatRule::Once => left,
        RepeatRule::Freely => left.mul_f64(TRY_SHARE),
        RepeatRule::Resumable => left.min(call.route.target.mul_f64(STREAM_TRY_TARGETS)),
    }
}

/// Answer that can be passed on.
enum Taken {
    Whole(WholeAnswer, AnswerMarks),
    Stream {
        status: StatusCode,
        headers: HeaderMap,
        first: Option<EventBatch>,
        ended: bool,
        body: Incoming,
        buffer: EventBuffer,
        marks: AnswerMarks,
    },
}

/// Checks the head of an answer and takes its body, or the first event of its stream.
async fn take_answer(
    call: &AdmittedCall,
    trace: &CallTrace,
    response: Response<Incoming>,
    flight: &mut UpstreamFlight,
) -> Result<Taken, SendFailure> {
    let (head, body) = response.into_parts();
    let marks = decode_answer(head.status, &head.headers);
    flight.note_read();
    note_marks(trace, flight, &marks);
    if marks.unrun.is_some() {
        let reason = format!("rejected with {}", head.status.as_u16());
        return Err(SendFailure::new(SendOutcome::Rejected, reason));
    }
    if marks.request.as_deref().is_some_and(|request| request != call.fields.request) {
        return Err(SendFailure::new(SendOutcome::Broken, "answer to another request"));
    }
    let headers = encode_answer(&head.headers);
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
    if head.status.is_success() || head.status.is_client_error() && !is_promise(head.status) {
        return Ok(Taken::Whole(answer, marks));
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
    marks: AnswerMarks,
) -> Result<Taken, SendFailure> {
    let mut buffer = EventBuffer::default();
    loop {
        let Some(frame) = body.frame().await else {
            if buffer.is_partial() {
                return Err(SendFailure::new(SendOutcome::Broken, "ended within an event"));
            }
            let (first, ended) = (None, true);
            return Ok(Taken::Stream { status, headers, first, ended, body, buffer, marks });
        };
        let frame =
            frame.map_err(|error| SendFailure::new(SendOutcome::Broken, error.to_string()))?;
        let Some(piece) = frame.data_ref() else { continue };
        if let Some(first) = buffer.push(piece) {
            let (first, ended) = (Some(first), false);
            return Ok(Taken::Stream { status, headers, first, ended, body, buffer, marks });
        }
        if buffer.is_overlong() {
            return Err(SendFailure::new(SendOutcome::Broken, "event without an end"));
        }
    }
}

/// Takes in what an answer says of its upstream.
fn note_marks(trace: &CallTrace, flight: &UpstreamFlight, marks: &AnswerMarks) {
    let mut beliefs = trace.node.beliefs();
    let now = clock::now();
    if let Some((running, waiting)) = marks.load {
        beliefs.roster.note_load(&flight.upstream, running, waiting, now);
    }
    if marks.unrun == Some(UnrunMark::Misdirected) && beliefs.roster.note_leaving(&flight.upstream)
    {
        let fields = json!({
            "upstream": flight.upstream.as_str(), "change": "leaving",
            "reason": "its address serves another", "request": trace.request,
        });
        trace.node.journal.note("upstream", fields);
    }
}
