//! Refuses requests that a stopping node can't serve to their end.
//!
//! A request may be received slowly, wait for a limit or a slot, or be refused by an upstream, so the time that is left is
//! checked at each of these steps, up to the send.

use std::time::Duration;

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{placement::Placement, stop_schedule::LateRequest},
    verdict::RunVerdict,
};
use serde_json::json;

use crate::forward::{
    clock,
    request::{AdmittedRequest, ErrorResponse, RequestTrace},
    request_progress::{ENDING_REASON, ENDING_RETRY_DELAY, RequestProgress},
};

/// Checks that this node still takes a request whose last byte was received at `received_at`, and whose response must be
/// complete by `deadline`.
///
/// # Errors
///
/// Returns the refusal if the node is stopping and may end before the response. The request must not have been sent.
pub fn check_stop(
    trace: &RequestTrace,
    received_at: BootTime,
    deadline: BootTime,
) -> Result<(), ErrorResponse> {
    let expected = trace.node.state().durations.expected(&trace.route);
    check_expected(trace, received_at, deadline, expected)
}

/// Checks that `admitted` may still be sent after a wait of `wait`. A request that may have run is not checked: it can't be
/// refused any more.
///
/// # Errors
///
/// Returns the refusal, as [`check_stop`] does.
pub fn check_waiting(
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    trace: &RequestTrace,
    wait: Duration,
) -> Result<(), ErrorResponse> {
    if progress.verdict != RunVerdict::NotRun {
        return Ok(());
    }
    let expected = trace.node.state().durations.expected(&trace.route);
    let expected = expected.map_or(wait, |time| time + wait);
    check_expected(trace, admitted.received_at, admitted.deadline, Some(expected))
}

/// Checks that `admitted` may be sent to its `placement` now.
///
/// # Errors
///
/// Returns the refusal, as [`check_stop`] does.
pub fn check_placed(
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    trace: &RequestTrace,
    placement: &Placement,
) -> Result<(), ErrorResponse> {
    if progress.verdict != RunVerdict::NotRun || trace.node.stop_schedule.get().is_none() {
        return Ok(());
    }
    let expected = trace.node.state().durations.expected(&trace.route);
    let expected = expected.max(generation_time(admitted, trace, placement));
    check_expected(trace, admitted.received_at, admitted.deadline, expected)
}

/// Time that an engine is expected to take for `admitted`, by the number of its tokens. `None` if the request does not state it.
fn generation_time(
    admitted: &AdmittedRequest,
    trace: &RequestTrace,
    placement: &Placement,
) -> Option<Duration> {
    admitted.metadata.tokens.filter(|_| admitted.engine)?;
    // The interval is measured against the same estimate.
    let output_tokens = admitted.output_tokens();
    let interval_ms = trace.node.state().speeds.speed(&admitted.pool).token_interval_ms();
    #[expect(clippy::cast_precision_loss, reason = "responses have far fewer tokens")]
    let millis = output_tokens as f64 * interval_ms;
    let generation = Duration::try_from_secs_f64(millis / 1_000.0).unwrap_or(Duration::MAX);
    Some(placement.wait.total().saturating_add(generation))
}

fn check_expected(
    trace: &RequestTrace,
    received_at: BootTime,
    deadline: BootTime,
    expected: Option<Duration>,
) -> Result<(), ErrorResponse> {
    let Some(schedule) = trace.node.stop_schedule.get() else { return Ok(()) };
    let now = clock::now();
    if schedule.admits(&LateRequest { received_at, deadline, expected }, now) {
        return Ok(());
    }
    let millis = |span: Duration| span.as_millis();
    let fields = json!({
        "request": trace.attempt_id, "since_stop_ms": millis(now.since(schedule.signalled_at)),
        "received_ms": millis(received_at.since(schedule.signalled_at)),
        "left_ms": millis(deadline.since(now)), "expected_ms": expected.map(millis),
    });
    trace.node.log.record("stop-refused", fields);
    Err(ErrorResponse::not_executed(ENDING_REASON, ENDING_RETRY_DELAY))
}
