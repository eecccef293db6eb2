//! Requests that wait until limits, or slots of brittle upstreams, permit them.

use std::{rc::Rc, time::Duration};

use rand::random;
use samphiredeck_core::{
    forward::{
        deadline::{fits_deadline, retry_after_pause},
        limit_queue::TicketNumber,
        placement::LimitForecast,
    },
    verdict::RunVerdict,
};
use serde_json::json;
use tokio::{select, time::sleep};

use crate::forward::{
    clock,
    node::ForwardNode,
    request::{AdmittedRequest, ErrorResponse, RequestTrace},
    request_progress::{RequestProgress, unanswered_error},
};

/// Reason of a refusal, as told to callers.
const REFUSAL_REASON: &str = "upstreams limit their requests";
/// Minimum time between two looks for an upstream.
const LOOK_PERIOD_MIN: Duration = Duration::from_millis(5);
/// Maximum time between two looks, as other upstreams may take the request meanwhile.
const LOOK_PERIOD_MAX: Duration = Duration::from_millis(200);

/// Place of a request in the queue. Dropping it leaves the queue.
#[derive(Debug)]
pub struct QueueTicket {
    node: Rc<ForwardNode>,
    number: TicketNumber,
}

impl QueueTicket {
    /// Number of the ticket.
    pub fn number(&self) -> TicketNumber {
        self.number
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        self.node.state().limit_queue.leave(self.number);
        self.node.queue_moved.notify_waiters();
    }
}

/// Waits for a turn at an upstream with a limit. `forecast` is what the limits permit this node, and
/// `ahead` the number of requests that come first.
///
/// # Errors
///
/// Returns the error response if the turn does not come in time.
pub async fn wait_for_turn(
    admitted: &AdmittedRequest,
    progress: &mut RequestProgress,
    trace: &RequestTrace,
    forecast: LimitForecast,
    ahead: u32,
) -> Result<(), ErrorResponse> {
    let node = &trace.node;
    let now = clock::now();
    let time_left = admitted.deadline.since(now);
    let turn_at = forecast.after(ahead);
    let wait = turn_at.since(now);
    let fields = json!({
        "request": trace.attempt_id, "pool": admitted.pool.as_str(), "ahead": ahead,
        "wait_ms": wait.as_millis(), "held_ms": forecast.held.as_millis(),
        "rate": forecast.rate, "left_ms": time_left.as_millis(),
    });
    if !fits_deadline(wait + forecast.held, time_left) {
        node.metrics.limits.refusals.inc();
        node.log.record("limit-refused", fields);
        if progress.verdict != RunVerdict::NotRun {
            return Err(unanswered_error(progress, REFUSAL_REASON, time_left));
        }
        let spacing = forecast.spacing();
        let return_at = node.state().limit_queue.plan_return(&admitted.pool, turn_at, spacing, now);
        let delay = retry_after_pause(return_at.since(now), time_left, random());
        return Err(ErrorResponse::not_executed(REFUSAL_REASON, delay));
    }
    if progress.ticket.is_none() {
        let number = node.state().limit_queue.join(&admitted.pool, admitted.priority);
        progress.ticket = Some(QueueTicket { node: Rc::clone(node), number });
        node.metrics.limits.waits.inc();
        node.log.record("limit-wait", fields);
    }
    let pause = wait.clamp(LOOK_PERIOD_MIN, LOOK_PERIOD_MAX);
    if ahead == 0 {
        select! {
            () = node.request_ended.notified() => {}
            () = sleep(pause) => {}
        }
    } else {
        select! {
            () = node.queue_moved.notified() => {}
            () = sleep(LOOK_PERIOD_MAX) => {}
        }
    }
    Ok(())
}
