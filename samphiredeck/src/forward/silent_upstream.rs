//! Receives the response of an upstream, and asks another one beside it if it is silent.
//!
//! A silent upstream may still respond, and the other one may refuse the request. So the first one is kept until the other
//! has had the request for a while, as with streams that have begun.

use std::{cell::Cell, future::pending, ops::ControlFlow, pin::pin, time::Duration};

use futures_util::{
    FutureExt,
    future::{FusedFuture, LocalBoxFuture},
};
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        awaited_response::{AwaitedResponse, abandon_gap},
        event_order::ResumePoint,
        outcome::SendOutcome,
        placement::Placement,
        upstreams::tracked::TrackedUpstream,
    },
    ids::UpstreamId,
};
use serde_json::json;
use tokio::{select, sync::oneshot, time::sleep};

use crate::forward::{
    attempt::send_with_retries,
    clock,
    http_connection::HttpConnection,
    in_flight::InFlightRequest,
    node::ForwardNode,
    request::{AdmittedRequest, RequestTrace},
    request_progress::{ConnectionKind, RequestProgress},
    upstream_choice::can_go_elsewhere,
    upstream_response::{ReceivedResponse, SendFailure, UpstreamResponse},
};

/// Time for which a silent upstream is kept after another one has received the request. Engines must
/// not both work on a stream for more than 400 ms.
pub const OVERLAP_MAX: Duration = Duration::from_millis(300);
/// Interval at which the node checks whether another upstream can take a request whose upstream has
/// not responded in time.
const LOST_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Request that was sent to an upstream.
pub struct SentRequest<'a> {
    pub admitted: &'a AdmittedRequest,
    pub trace: &'a RequestTrace,
    pub placement: &'a Placement,
    /// Point at which the upstream resumes the stream.
    pub resume: Option<ResumePoint>,
    pub kind: ConnectionKind,
    pub sent_at: BootTime,
}

/// End of the exchange with one upstream.
pub struct ExchangeEnd {
    pub connection: HttpConnection,
    pub in_flight: InFlightRequest,
    pub received: Result<ReceivedResponse, SendFailure>,
}

/// How the wait for the response of an upstream ended.
pub enum SendEnd {
    /// The upstream has responded, or failed.
    Received(Box<ExchangeEnd>),
    /// The upstream was left.
    Left(Box<LeftUpstream>),
}

/// Upstream that was left without a response, or has failed while another one was asked.
pub struct LeftUpstream {
    pub failure: SendFailure,
    /// `None` if the upstream had not failed when it was left.
    pub in_flight: Option<InFlightRequest>,
    /// Response of the other upstream. `None` if it did not respond either.
    pub response: Option<UpstreamResponse>,
}

impl SentRequest<'_> {
    fn upstream(&self) -> &UpstreamId {
        &self.placement.upstream
    }

    fn awaited(&self, progress: &RequestProgress) -> AwaitedResponse {
        let route = &self.admitted.route;
        let heard_at = progress.caller_heard_at.unwrap_or(self.trace.arrived_at);
        AwaitedResponse {
            sent_at: self.sent_at,
            deadline: self.admitted.deadline,
            abandoned_at: route.streams.then(|| heard_at + abandon_gap(route)),
            expected_wait: self.placement.wait.total(),
        }
    }

    /// The end of a request whose upstream has not responded, with the `response` of another one.
    fn left(&self, response: Option<UpstreamResponse>) -> SendEnd {
        let reason = format!("no response within {:?}", clock::now().since(self.sent_at));
        let failure = SendFailure::new(SendOutcome::Broken, reason);
        SendEnd::Left(Box::new(LeftUpstream { failure, in_flight: None, response }))
    }
}

/// Waits for the response of an upstream, which is the end of `exchange`. If the upstream is silent, or its
/// connections probably are, another one that can take the request is asked beside it.
pub async fn receive_or_replace(
    sent: SentRequest<'_>,
    progress: &mut RequestProgress,
    mut exchange: LocalBoxFuture<'_, ExchangeEnd>,
) -> SendEnd {
    let SentRequest { admitted, trace, .. } = sent;
    let awaited = sent.awaited(progress);
    let can_retry = admitted.route.retry_policy.permits_retry()
        && progress.attempts < admitted.route.max_attempts;
    let first_check = if can_retry { awaited.first_check() } else { admitted.deadline };
    let mut wait = first_check.since(clock::now());
    let mut silence =
        pin!(wait_for_silence(admitted, &trace.node, sent.upstream(), sent.kind).fuse());
    loop {
        select! {
            end = exchange.as_mut() => {
                progress.awaited = None;
                return SendEnd::Received(Box::new(end));
            }
            () = sleep(wait) => {}
            () = silence.as_mut(), if !silence.is_terminated() => {}
        }
        let now = clock::now();
        let time_left = admitted.deadline.since(now);
        if time_left.is_zero() {
            progress.awaited = None;
            return sent.left(None);
        }
        wait = LOST_CHECK_PERIOD.min(time_left);
        let heard_at = {
            let state = trace.node.state();
            state.upstreams.find(sent.upstream()).and_then(TrackedUpstream::heard_at)
        };
        let due_at = if silence.is_terminated() {
            Some(admitted.deadline)
        } else {
            awaited.other_due_at(heard_at, now)
        };
        let can_go =
            |due_at| can_go_elsewhere(admitted, progress, &trace.node, sent.upstream(), due_at);
        if due_at.is_some_and(can_go) {
            exchange = match ask_beside(&sent, progress, exchange).await {
                ControlFlow::Continue(exchange) => exchange,
                ControlFlow::Break(end) => return end,
            };
        }
    }
}

/// Sends the request to another upstream beside a silent one. The first response decides between them, or the end of the
/// overlap. Continues with the silent one if the other does not take the request.
async fn ask_beside<'a>(
    sent: &SentRequest<'_>,
    progress: &mut RequestProgress,
    mut exchange: LocalBoxFuture<'a, ExchangeEnd>,
) -> ControlFlow<SendEnd, LocalBoxFuture<'a, ExchangeEnd>> {
    let upstream = sent.upstream();
    let fields = json!({
        "request": sent.trace.attempt_id, "upstream": upstream.as_str(),
        "age_ms": sent.trace.age_ms(), "sent": progress.attempts,
    });
    sent.trace.node.log.record("send-silent", fields);
    if !progress.tried.contains(upstream) {
        progress.tried.push(upstream.clone());
    }
    let (on_sent, other_sent) = oneshot::channel();
    progress.on_sent = Some(on_sent);
    let mut other =
        send_with_retries(sent.admitted, progress, sent.trace, sent.resume).boxed_local();
    let was_sent = Cell::new(false);
    let overlap = async {
        if other_sent.await.is_err() {
            // The request was not sent, so the end of the other send decides.
            pending::<()>().await;
        }
        was_sent.set(true);
        sleep(OVERLAP_MAX).await;
    };
    select! {
        result = other.as_mut() => {
            drop(other);
            if let Some(response) = result.ok().filter(|response| !is_server_error(response)) {
                return ControlFlow::Break(sent.left(Some(response)));
            }
            progress.awaited = Some(upstream.clone());
            return ControlFlow::Continue(exchange);
        }
        end = exchange.as_mut() => {
            if let (true, Err(_)) = (was_sent.get(), &end.received) {
                let ExchangeEnd { in_flight, received, connection } = end;
                return ControlFlow::Break(match (other.await, received) {
                    (Ok(response), Err(failure)) => SendEnd::Left(Box::new(LeftUpstream {
                        failure,
                        in_flight: Some(in_flight),
                        response: Some(response),
                    })),
                    (_, received) => {
                        SendEnd::Received(Box::new(ExchangeEnd { connection, in_flight, received }))
                    }
                });
            }
            // An upstream that has received the request stays noted as the awaited one.
            drop(other);
            progress.ticket = None;
            progress.awaited.take_if(|awaited| awaited == upstream);
            return ControlFlow::Break(SendEnd::Received(Box::new(end)));
        }
        () = overlap => {}
    }
    // Closes the connection to cancel the first run.
    drop(exchange);
    ControlFlow::Break(sent.left(other.await.ok()))
}

fn is_server_error(response: &UpstreamResponse) -> bool {
    matches!(response, UpstreamResponse::Complete(complete) if complete.status.is_server_error())
}

/// Waits until open connections to `upstream` are probably silent, if the request may go elsewhere then.
async fn wait_for_silence(
    admitted: &AdmittedRequest,
    node: &ForwardNode,
    upstream: &UpstreamId,
    kind: ConnectionKind,
) {
    if kind == ConnectionKind::Tunnel || admitted.runs_at_most_once() {
        return pending().await;
    }
    loop {
        let changed = node.path_lost.notified();
        if node.state().paths.is_silent(upstream) {
            return;
        }
        changed.await;
    }
}
