//! State of a request over all its attempts, and the errors that follow from it.

use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use rand::random;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::admission::urgency::UrgencyRank,
    ids::{SoftwareVersion, UpstreamId},
    verdict::RunVerdict,
};
use tokio::sync::oneshot;

use crate::forward::{
    limit_queue::QueueTicket,
    quota::QuotaReservation,
    request::{ErrorResponse, retry_delay},
    suspect_checks::TrialLease,
};

/// Reason for refusing or ending requests of a node that stops.
pub const ENDING_REASON: &str = "the node is stopping";
/// Retry delay for callers of a node that stops. Others serve them at once, and new connections reach those.
pub const ENDING_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How an upstream was connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// Over an idle connection.
    Reused,
    /// Over a new connection.
    New,
    /// Through another node.
    Tunnel,
}

/// What admission depends on, as known when a request is placed first.
#[derive(Clone, Copy, Debug)]
pub struct RequestArrival {
    /// Urgency among the requests of its pool.
    pub rank: UrgencyRank,
    /// Least latency target among those of its pool that are as urgent or more urgent.
    pub pool_target: Duration,
    /// Whether its caller was refused before and has come back.
    pub has_returned: bool,
}

/// State of a request over all its attempts.
#[derive(Debug)]
pub struct RequestProgress {
    /// Upstreams that received the request or could not be reached.
    pub tried: Vec<UpstreamId>,
    /// Number of upstreams that the request was sent to, including one whose response is awaited.
    pub attempts: u32,
    /// Addresses at which the request reached another upstream than the listed one. These count as no attempts.
    pub misdirected: Vec<SocketAddr>,
    /// Upstream whose response is awaited. It stays set if the wait is abandoned.
    pub awaited: Option<UpstreamId>,
    /// The only upstream that may still receive the request, since it counts among `attempts`.
    pub only: Option<UpstreamId>,
    /// How the upstream of the last attempt was connected.
    pub connected: Option<ConnectionKind>,
    /// Notified once when the request has been sent.
    pub on_sent: Option<oneshot::Sender<()>>,
    /// Time at which the caller received the last events of its stream.
    pub caller_heard_at: Option<BootTime>,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Software version of the upstream at which the stream began. Only upstreams of this version
    /// can continue it.
    pub software: Option<SoftwareVersion>,
    /// Place in the queue for upstreams with limits, while the request waits.
    pub ticket: Option<QueueTicket>,
    /// What admission depends on. `None` until the request was added to the demand.
    pub arrival: Option<RequestArrival>,
    /// Uniform in 0 to 1. Decides whether the request belongs to those of its kind that are sent in any case.
    pub draw: f64,
    /// Number of engines that crashed while the request waited there for its first event.
    pub crashes_met: u32,
    /// Trial of a suspected prompt part that this request is.
    pub trial: Option<TrialLease>,
    /// Whether its prompt parts have been proven sound by its response.
    pub proven: bool,
    /// Whether the request was added to the usage counts.
    pub counted: bool,
    /// Quota reserved from the workspace's limit.
    pub reservation: QuotaReservation,
}

impl RequestProgress {
    /// Creates the state before the first attempt. `software` is the version at which the stream
    /// began that the caller resumes.
    pub fn new(reservation: QuotaReservation, software: Option<SoftwareVersion>) -> Self {
        Self {
            tried: Vec::new(),
            attempts: 0,
            misdirected: Vec::new(),
            awaited: None,
            only: None,
            connected: None,
            on_sent: None,
            caller_heard_at: None,
            verdict: RunVerdict::NotRun,
            software,
            ticket: None,
            arrival: None,
            draw: random(),
            crashes_met: 0,
            trial: None,
            proven: false,
            counted: false,
            reservation,
        }
    }
}

/// Error response for a request whose deadline has passed.
pub fn deadline_error(progress: &RequestProgress, time_left: Duration) -> ErrorResponse {
    if progress.verdict == RunVerdict::NotRun {
        return ErrorResponse::not_executed(
            "no time left to send the request",
            retry_delay(time_left, time_left),
        );
    }
    ErrorResponse::not_retryable(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
}

/// Error response for a request whose node ends before the upstream has responded.
pub fn ending_error(progress: &RequestProgress) -> ErrorResponse {
    // It is set before the first byte is sent, and taken back only if the upstream surely did not run the request.
    if progress.reservation.is_consumed() {
        return ErrorResponse::not_retryable(StatusCode::BAD_GATEWAY, ENDING_REASON);
    }
    ErrorResponse::not_executed(ENDING_REASON, ENDING_RETRY_DELAY)
}

/// Error response for a request that is not retried.
pub fn unanswered_error(
    progress: &RequestProgress,
    reason: &'static str,
    time_left: Duration,
) -> ErrorResponse {
    if progress.verdict == RunVerdict::NotRun {
        return ErrorResponse::not_executed(reason, retry_delay(Duration::ZERO, time_left));
    }
    ErrorResponse::not_retryable(StatusCode::BAD_GATEWAY, reason)
}
