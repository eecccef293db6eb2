//! Refuses requests that a stopping node can't serve to their end.

use std::time::Duration;

use samphiredeck_core::{boot_time::BootTime, forward::stop_schedule::LateRequest};
use serde_json::json;

use crate::forward::{
    clock,
    request::{ErrorResponse, RequestTrace},
    request_progress::{ENDING_REASON, ENDING_RETRY_DELAY},
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
    let node = &trace.node;
    let Some(schedule) = node.stop_schedule.get() else { return Ok(()) };
    let now = clock::now();
    let expected = node.state().durations.expected(&trace.route);
    if schedule.admits(&LateRequest { received_at, deadline, expected }, now) {
        return Ok(());
    }
    let millis = |span: Duration| span.as_millis();
    let fields = json!({
        "request": trace.attempt_id, "since_stop_ms": millis(now.since(schedule.signalled_at)),
        "received_ms": millis(received_at.since(schedule.signalled_at)),
        "left_ms": millis(deadline.since(now)), "expected_ms": expected.map(millis),
    });
    node.log.record("stop-refused", fields);
    Err(ErrorResponse::not_executed(ENDING_REASON, ENDING_RETRY_DELAY))
}
