//! Relays streams from upstreams to callers, in complete events.

use std::future::pending;

use http_body_util::BodyExt;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        catalog::RetryPolicy,
        event_order::{EventGate, OrderError, ResumePoint},
        events::EventBatch,
        rollout::tally::ResponseEnd,
        upstream_speed::EVENTS_MIN,
    },
    verdict::RunVerdict,
};
use serde_json::json;
use tokio::{
    select,
    sync::oneshot,
    time::{Duration, sleep, timeout},
};

use crate::forward::{
    attempt::send_with_retries,
    clock,
    http_connection::is_closed_by_peer,
    request::{AdmittedRequest, RequestTrace},
    request_progress::RequestProgress,
    response_body::StreamSender,
    silent_upstream::OVERLAP_MAX,
    suspect_checks::{handle_closed, record_proof},
    upstream_response::{StreamingResponse, UpstreamResponse, UpstreamStream},
};

/// Time between two events of a resumable stream after which its upstream counts as silent, as a
/// multiple of the route's event gap. Callers wait longer than this.
const SILENT_GAPS: f64 = 3.0;
/// The same for routes that declare no event gap.
const SILENCE_DEFAULT: Duration = Duration::from_millis(1_500);
/// Number of event batches of one upstream that prove the prompt sound. An engine that crashes as it
/// begins a response may have written its first event.
const BATCHES_PROVING: u32 = 2;

/// Next step of a stream.
enum StreamStep {
    Events(EventBatch),
    /// The upstream completed the stream.
    Ended,
    /// The stream failed.
    Broken(StreamBreak),
    /// The upstream has been silent for too long, but may go on.
    Silent,
    /// The deadline has passed.
    TimedOut,
    /// The caller has disconnected.
    CallerLeft,
}

/// Failure of a stream.
struct StreamBreak {
    reason: String,
    /// Whether the upstream closed the connection.
    closed: bool,
}

impl StreamBreak {
    fn new(reason: impl Into<String>) -> Self {
        Self { reason: reason.into(), closed: false }
    }
}

/// Relays a stream to its end. Resumes it at another upstream if the route permits.
pub async fn relay_stream(
    admitted: AdmittedRequest,
    mut progress: RequestProgress,
    mut trace: RequestTrace,
    stream: Box<StreamingResponse>,
    sender: StreamSender,
) {
    let StreamingResponse { first_batch: mut pending, mut ended, mut source, .. } = *stream;
    let mut gate = EventGate::after(admitted.metadata.last_event_id);
    let mut next_step = None;
    let mut batches = 0;
    let mut silence = SilenceClock::start();
    loop {
        let step = match (next_step.take(), pending.take()) {
            (Some(step), _) => step,
            (None, Some(batch)) => StreamStep::Events(batch),
            (None, None) if ended => StreamStep::Ended,
            (None, None) => {
                let silent_in = silence.time_left(max_silence(&admitted, &progress));
                read_step(&admitted, &mut source, &sender, silent_in).await
            }
        };
        let stream_break = match step {
            StreamStep::Events(batch) => {
                let has_event = !batch.ids.is_empty();
                if batches > 0 {
                    source.record_events(batch.ids.len());
                }
                match send_batch(&sender, batch, &mut gate).await {
                    Ok(true) => {
                        source.held_events = gate.held_bytes();
                        batches += 1;
                        silence.record(has_event);
                        progress.caller_heard_at = Some(clock::now());
                        if batches >= BATCHES_PROVING {
                            record_proof(&admitted, &mut progress, &trace.node);
                        }
                        continue;
                    }
                    Ok(false) => return trace.finish("caller-left", 0, ""),
                    Err(error) => StreamBreak::new(error.to_string()),
                }
            }
            StreamStep::Ended if gate.is_holding() => {
                StreamBreak::new("the last event may follow a lost one")
            }
            StreamStep::Ended => {
                record_proof(&admitted, &mut progress, &trace.node);
                complete_stream(&admitted, trace, source, sender).await;
                return;
            }
            StreamStep::Broken(stream_break) => stream_break,
            StreamStep::Silent => {
                let point = gate.resume_point();
                match end_silence(&admitted, &mut progress, &trace, source, &sender, point).await {
                    SilenceEnd::GoesOn(kept, step) => {
                        (source, next_step) = (*kept, step);
                        silence.restart();
                    }
                    SilenceEnd::Resumed(resumed) => {
                        StreamingResponse { first_batch: pending, ended, source, .. } = *resumed;
                        gate.rewind();
                        batches = 0;
                    }
                    SilenceEnd::Lost => {
                        return trace.finish(
                            "broken-off",
                            200,
                            "no upstream goes on after a silence",
                        );
                    }
                    SilenceEnd::CallerLeft => return trace.finish("caller-left", 0, ""),
                }
                continue;
            }
            StreamStep::TimedOut => {
                source.in_flight.record_end(ResponseEnd::Failed);
                return trace.finish("broken-off", 200, "no time left");
            }
            StreamStep::CallerLeft => return trace.finish("caller-left", 0, ""),
        };
        gate.rewind();
        let point = gate.resume_point();
        record_break(&admitted, &mut progress, &trace, (&source, batches), &stream_break).await;
        log_break(&admitted, &progress, &trace, &source, &stream_break, point);
        // Closes the connection to cancel the old run before another upstream resumes it.
        drop(source);
        let resumed = select! {
            resumed = resume(&admitted, &mut progress, &trace, point) => resumed,
            () = sender.closed() => return trace.finish("caller-left", 0, ""),
        };
        let Some(resumed) = resumed else {
            trace.finish("broken-off", 200, "upstream broke the stream");
            return;
        };
        StreamingResponse { first_batch: pending, ended, source, .. } = *resumed;
        batches = 0;
        silence.restart();
    }
}

/// Time since the last event of a stream.
struct SilenceClock {
    since: BootTime,
    has_events: bool,
}

impl SilenceClock {
    fn start() -> Self {
        Self { since: clock::now(), has_events: false }
    }

    fn restart(&mut self) {
        self.since = clock::now();
    }

    /// Records that events or comments were passed on. Comments keep a stream alive only until its first event.
    fn record(&mut self, has_event: bool) {
        self.has_events |= has_event;
        if has_event || !self.has_events {
            self.restart();
        }
    }

    /// Time until a stream that may be silent for `max_silence` counts as silent.
    fn time_left(&self, max_silence: Duration) -> Duration {
        max_silence.saturating_sub(clock::now().since(self.since))
    }
}

/// Records that the upstream of `source` has failed after `batches` batches of events.
async fn record_break(
    admitted: &AdmittedRequest,
    progress: &mut RequestProgress,
    trace: &RequestTrace,
    (source, batches): (&UpstreamStream, u32),
    stream_break: &StreamBreak,
) {
    source.in_flight.record_outcome(true);
    let end = if stream_break.closed { ResponseEnd::Closed } else { ResponseEnd::Failed };
    source.in_flight.record_end(end);
    if stream_break.closed && batches < BATCHES_PROVING {
        handle_closed(admitted, progress, trace, &source.in_flight).await;
    }
}

/// Completes the response to the caller after the last event of `source`.
async fn complete_stream(
    admitted: &AdmittedRequest,
    mut trace: RequestTrace,
    source: UpstreamStream,
    sender: StreamSender,
) {
    source.in_flight.record_outcome(false);
    source.in_flight.record_end(ResponseEnd::Complete);
    record_speed(admitted, &trace, &source);
    if !source.metadata.closes_connection {
        let upstream = source.in_flight.upstream.clone();
        trace.node.keep_connection(&upstream, source.connection, source.metadata.keep_alive);
    }
    let delivered = sender.finish().await;
    trace.finish(if delivered { "served" } else { "caller-left" }, 200, "");
}

fn log_break(
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    trace: &RequestTrace,
    source: &UpstreamStream,
    stream_break: &StreamBreak,
    point: Option<ResumePoint>,
) {
    let upstream = source.in_flight.upstream.as_str();
    let fields = json!({
        "request": trace.attempt_id, "upstream": upstream, "reason": stream_break.reason,
        "closed": stream_break.closed, "last_event": point.and_then(|point| point.last_id), "age_ms": trace.age_ms(),
        "sent": progress.attempts, "version": admitted.config_version,
        "parts": admitted.shared_part_ids(), "key": admitted.key.to_string(),
    });
    trace.node.log.record("stream-broken", fields);
}

/// Time after which the upstream of a stream counts as silent. Another one may only take over
/// resumable streams with attempts left.
fn max_silence(admitted: &AdmittedRequest, progress: &RequestProgress) -> Duration {
    let route = &admitted.route;
    if route.retry_policy != RetryPolicy::Resumable || progress.attempts >= route.max_attempts {
        return Duration::MAX;
    }
    if route.max_event_gap.is_zero() {
        return SILENCE_DEFAULT;
    }
    route.max_event_gap.mul_f64(SILENT_GAPS)
}

/// How the silence of an upstream ended.
enum SilenceEnd {
    /// The upstream is still awaited, or has gone on with this step.
    GoesOn(Box<UpstreamStream>, Option<StreamStep>),
    /// Another upstream has taken over.
    Resumed(Box<StreamingResponse>),
    /// Neither goes on.
    Lost,
    /// The caller has disconnected.
    CallerLeft,
}

/// Ends the silence of the upstream of `source`: it goes on, or another one takes over.
async fn end_silence(
    admitted: &AdmittedRequest,
    progress: &mut RequestProgress,
    trace: &RequestTrace,
    source: UpstreamStream,
    sender: &StreamSender,
    point: Option<ResumePoint>,
) -> SilenceEnd {
    let fields = json!({
        "request": trace.attempt_id, "upstream": source.in_flight.upstream.as_str(),
        "last_event": point.and_then(|point| point.last_id), "age_ms": trace.age_ms(), "sent": progress.attempts,
    });
    trace.node.log.record("stream-silent", fields);
    let (on_sent, sent) = oneshot::channel();
    progress.on_sent = Some(on_sent);
    let resumption = resume(admitted, progress, trace, point);
    let silence_end = read_beside(admitted, source, sender, resumption, sent).await;
    if let SilenceEnd::GoesOn(kept, Some(StreamStep::Events(_) | StreamStep::Ended)) = &silence_end
    {
        let upstream = kept.in_flight.upstream.as_str();
        let fields = json!({
            "request": trace.attempt_id, "upstream": upstream, "age_ms": trace.age_ms(),
        });
        trace.node.log.record("stream-went-on", fields);
    }
    silence_end
}

/// Awaits the `resumption` of a stream at another upstream, while its silent one may still go on.
/// `sent` tells when the other one has received the request. The first event decides between them, or
/// the end of the overlap: one that refuses the request at once costs no caller its stream.
async fn read_beside(
    admitted: &AdmittedRequest,
    mut source: UpstreamStream,
    sender: &StreamSender,
    resumption: impl Future<Output = Option<Box<StreamingResponse>>>,
    sent: oneshot::Receiver<()>,
) -> SilenceEnd {
    tokio::pin!(resumption);
    let overlap = async {
        if sent.await.is_err() {
            // The request was not sent, so the end of the resumption decides.
            pending::<()>().await;
        }
        sleep(OVERLAP_MAX).await;
    };
    let step = select! {
        resumed = resumption.as_mut() => {
            let Some(resumed) = resumed else { return SilenceEnd::GoesOn(Box::new(source), None) };
            source.in_flight.record_outcome(true);
            source.in_flight.record_end(ResponseEnd::Failed);
            return SilenceEnd::Resumed(resumed);
        }
        step = read_event(admitted, &mut source, sender) => step,
        () = overlap => StreamStep::Silent,
    };
    if !matches!(step, StreamStep::Broken(_) | StreamStep::Silent) {
        return SilenceEnd::GoesOn(Box::new(source), Some(step));
    }
    source.in_flight.record_outcome(true);
    source.in_flight.record_end(ResponseEnd::Failed);
    drop(source);
    select! {
        resumed = resumption => resumed.map_or(SilenceEnd::Lost, SilenceEnd::Resumed),
        () = sender.closed() => SilenceEnd::CallerLeft,
    }
}

/// Records the speed at which the response of `source`, which is complete, was generated.
fn record_speed(admitted: &AdmittedRequest, trace: &RequestTrace, source: &UpstreamStream) {
    if !admitted.engine {
        return;
    }
    let elapsed = clock::now().since(source.first_event_at);
    let (events, last_at) = source.later_events;
    let interval = (events >= EVENTS_MIN).then(|| last_at.since(source.first_event_at) / events);
    if let Some(interval) = interval {
        source.in_flight.record_gap_time(interval);
    }
    let mut state = trace.node.state();
    state.speeds.speed_mut(&admitted.pool).record_output(admitted.output_tokens(), elapsed);
    if let Some(interval) = interval {
        let (id, started_ms) = (&source.in_flight.upstream, source.in_flight.started_ms);
        state.upstreams.record_event_interval(id, started_ms, interval, clock::now());
    }
}

/// Sends those of the complete events that are surely in order to the caller. Returns whether the caller is still connected.
async fn send_batch(
    sender: &StreamSender,
    batch: EventBatch,
    gate: &mut EventGate,
) -> Result<bool, OrderError> {
    let released = gate.push(batch)?;
    Ok(released.is_empty() || sender.send(released).await)
}

/// Reads up to the next event. Comments between are left out: they don't show that a silent upstream goes on.
async fn read_event(
    admitted: &AdmittedRequest,
    source: &mut UpstreamStream,
    sender: &StreamSender,
) -> StreamStep {
    loop {
        match read_step(admitted, source, sender, Duration::MAX).await {
            StreamStep::Events(batch) if batch.ids.is_empty() => {}
            step => return step,
        }
    }
}

/// Reads up to the end of the next event or comment, for at most `max_silence`. Bytes that complete none don't
/// extend that time, since callers wait for whole events.
async fn read_step(
    admitted: &AdmittedRequest,
    source: &mut UpstreamStream,
    sender: &StreamSender,
    max_silence: Duration,
) -> StreamStep {
    let begun_at = clock::now();
    loop {
        let now = clock::now();
        let time_left = admitted.deadline.since(now);
        let silent_in = max_silence.saturating_sub(now.since(begun_at));
        let frame = select! {
            frame = source.body.frame() => frame,
            () = sender.closed() => return StreamStep::CallerLeft,
            () = sleep(time_left.min(silent_in)) => {
                if time_left <= silent_in {
                    return StreamStep::TimedOut;
                }
                return StreamStep::Silent;
            }
        };
        match frame {
            Some(Ok(frame)) => {
                source.in_flight.record_heard();
                let Some(chunk) = frame.data_ref() else { continue };
                let batch = source.buffer.push(chunk);
                let held = source.lease.hold(source.buffer.pending_bytes() + source.held_events);
                match timeout(time_left, held).await {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => {
                        return StreamStep::Broken(StreamBreak::new(error.to_string()));
                    }
                    Err(_elapsed) => return StreamStep::TimedOut,
                }
                if let Some(batch) = batch {
                    return StreamStep::Events(batch);
                }
                if source.buffer.is_overlong() {
                    return StreamStep::Broken(StreamBreak::new("event exceeds the size limit"));
                }
            }
            Some(Err(error)) => {
                let closed = is_closed_by_peer(&error);
                return StreamStep::Broken(StreamBreak { reason: error.to_string(), closed });
            }
            None if source.buffer.is_partial() => {
                let reason = "stream ended within an event".to_owned();
                return StreamStep::Broken(StreamBreak { reason, closed: true });
            }
            None => return StreamStep::Ended,
        }
    }
}

/// Resumes the stream at `point` at another upstream, if there is one and the route permits.
async fn resume(
    admitted: &AdmittedRequest,
    progress: &mut RequestProgress,
    trace: &RequestTrace,
    point: Option<ResumePoint>,
) -> Option<Box<StreamingResponse>> {
    let forbidden = match admitted.route.retry_policy {
        RetryPolicy::NonIdempotent | RetryPolicy::Idempotent => Some("route does not permit it"),
        RetryPolicy::Resumable if point.is_none() => Some("the last event has no id"),
        // An upstream whose response was not awaited counts already and may be sent to once more.
        RetryPolicy::Resumable if progress.attempts >= admitted.route.max_attempts => {
            progress.only = progress.awaited.take();
            progress.attempts -= u32::from(progress.only.is_some());
            progress.only.is_none().then_some("no attempts left")
        }
        RetryPolicy::Resumable => None,
    };
    if let Some(reason) = forbidden {
        let fields = json!({ "request": trace.attempt_id, "reason": reason });
        trace.node.log.record("stream-unresumed", fields);
        return None;
    }
    progress.verdict = progress.verdict.join(RunVerdict::MayHaveRun);
    match send_with_retries(admitted, progress, trace, point).await {
        Ok(UpstreamResponse::Streaming(stream)) => {
            let fields = json!({
                "request": trace.attempt_id, "upstream": stream.source.in_flight.upstream.as_str(),
                "after_event": point.and_then(|point| point.last_id),
            });
            trace.node.log.record("stream-resumed", fields);
            Some(stream)
        }
        Ok(UpstreamResponse::Complete(response)) => {
            let fields = json!({
                "request": trace.attempt_id, "status": response.status.as_u16(),
            });
            trace.node.log.record("stream-unresumed", fields);
            None
        }
        Err(error_response) => {
            let fields = json!({ "request": trace.attempt_id, "reason": error_response.reason });
            trace.node.log.record("stream-unresumed", fields);
            None
        }
    }
}
