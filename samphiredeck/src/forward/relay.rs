//! Streams from upstreams to callers, by whole events.

use bytes::Bytes;
use http_body_util::BodyExt;
use samphiredeck_core::{
    forward::{catalog::RetryPolicy, events::EventBatch},
    verdict::RunVerdict,
};
use serde_json::json;
use tokio::{
    select,
    time::{Duration, sleep},
};

use crate::forward::{
    attempt::{CallProgress, attempt},
    clock,
    request::{AdmittedCall, CallTrace},
    response_body::StreamSender,
    upstream_response::{StreamAnswer, StreamSource, UpstreamAnswer},
};

/// Longest pause between two events of a stream that can be continued elsewhere, in times the
/// declared pause. Callers give up later.
const SILENT_PAUSES: f64 = 2.0;

/// What came next on a stream.
enum StreamStep {
    Events(EventBatch),
    /// The upstream ended the stream as whole.
    Ended,
    /// The stream broke.
    Broken(String),
    /// The time for the whole answer is over.
    Late,
    /// The caller has left.
    Left,
}

/// Passes a stream on to its end. Continues it at another upstream where that is allowed.
pub async fn relay_stream(
    call: AdmittedCall,
    mut progress: CallProgress,
    mut trace: CallTrace,
    stream: Box<StreamAnswer>,
    sender: StreamSender,
) {
    let StreamAnswer { first, ended, mut source, .. } = *stream;
    let mut last = call.fields.last_event_id;
    let mut pending = first;
    let mut ended = ended;
    loop {
        let step = match pending.take() {
            Some(batch) => StreamStep::Events(batch),
            None if ended => StreamStep::Ended,
            None => next_step(&call, &mut source, &sender).await,
        };
        let reason = match step {
            StreamStep::Events(batch) => match pass_on(&sender, batch, &mut last).await {
                Ok(true) => continue,
                Ok(false) => {
                    trace.end("caller-left", 0, "");
                    return;
                }
                Err(reason) => reason,
            },
            StreamStep::Ended => {
                source.flight.note_outcome(false);
                if !source.marks.closes_connection {
                    let upstream = source.flight.upstream.clone();
                    trace.node.pool.keep(&upstream, source.link, source.marks.keep_alive);
                }
                let here = sender.finish().await;
                trace.end(if here { "served" } else { "caller-left" }, 200, "");
                return;
            }
            StreamStep::Broken(reason) => reason,
            StreamStep::Late => {
                trace.end("broken-off", 200, "no time left");
                return;
            }
            StreamStep::Left => {
                trace.end("caller-left", 0, "");
                return;
            }
        };
        source.flight.note_outcome(true);
        let upstream = source.flight.upstream.clone();
        // The old run ends with its connection before another one continues it.
        drop(source);
        let fields = json!({
            "request": trace.request, "upstream": upstream.as_str(), "reason": reason,
            "last_event": last, "age_ms": trace.age_ms(),
        });
        trace.node.journal.note("stream-broken", fields);
        let Some(resumed) = resume(&call, &mut progress, &trace, last).await else {
            trace.end("broken-off", 200, "upstream broke the stream");
            return;
        };
        pending = resumed.first;
        ended = resumed.ended;
        source = resumed.source;
    }
}

/// Passes whole events on. Returns whether the caller is still there.
async fn pass_on(
    sender: &StreamSender,
    batch: EventBatch,
    last: &mut Option<u64>,
) -> Result<bool, String> {
    let follows = match (*last, batch.first) {
        (Some(last), Some(first)) => last.checked_add(1) == Some(first),
        _ => true,
    };
    if !follows || !batch.in_order {
        return Err(format!("event {:?} after {last:?}", batch.first));
    }
    *last = batch.last.or(*last);
    let bytes: Bytes = batch.bytes;
    Ok(sender.send(bytes).await)
}

async fn next_step(
    call: &AdmittedCall,
    source: &mut StreamSource,
    sender: &StreamSender,
) -> StreamStep {
    let left = call.ends_at.since(clock::now());
    let pause = match call.route.retry {
        RetryPolicy::Resumable => call.route.max_event_gap.mul_f64(SILENT_PAUSES),
        RetryPolicy::NonIdempotent | RetryPolicy::Idempotent => Duration::MAX,
    };
    loop {
        let frame = select! {
            frame = source.body.frame() => frame,
            () = sender.left() => return StreamStep::Left,
            () = sleep(left.min(pause)) => {
                if left <= pause {
                    return StreamStep::Late;
                }
                return StreamStep::Broken(format!("silent for {pause:?}"));
            }
        };
        match frame {
            Some(Ok(frame)) => {
                let Some(piece) = frame.data_ref() else { continue };
                if let Some(batch) = source.buffer.push(piece) {
                    return StreamStep::Events(batch);
                }
                if source.buffer.is_overlong() {
                    return StreamStep::Broken("event without an end".to_owned());
                }
            }
            Some(Err(error)) => return StreamStep::Broken(error.to_string()),
            None if source.buffer.is_partial() => {
                return StreamStep::Broken("ended within an event".to_owned());
            }
            None => return StreamStep::Ended,
        }
    }
}

/// Continues the stream after `last` at another upstream, where the route allows it.
async fn resume(
    call: &AdmittedCall,
    progress: &mut CallProgress,
    trace: &CallTrace,
    last: Option<u64>,
) -> Option<Box<StreamAnswer>> {
    if call.route.retry != RetryPolicy::Resumable || progress.sent >= call.route.max_attempts {
        return None;
    }
    progress.verdict = progress.verdict.join(RunVerdict::MayHaveRun);
    match attempt(call, progress, trace, last).await {
        Ok(UpstreamAnswer::Stream(stream)) => {
            let fields = json!({
                "request": trace.request, "upstream": stream.source.flight.upstream.as_str(),
                "after_event": last,
            });
            trace.node.journal.note("stream-resumed", fields);
            Some(stream)
        }
        Ok(UpstreamAnswer::Whole(answer)) => {
            let fields = json!({
                "request": trace.request, "status": answer.status.as_u16(),
            });
            trace.node.journal.note("stream-unresumed", fields);
            None
        }
        Err(refusal) => {
            let fields = json!({ "request": trace.request, "reason": refusal.reason });
            trace.node.journal.note("stream-unresumed", fields);
            None
        }
    }
}
