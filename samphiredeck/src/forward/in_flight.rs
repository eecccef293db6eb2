//! Requests in flight at upstreams.

use std::{rc::Rc, time::Duration};

use http::StatusCode;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        outcome::SendOutcome,
        part_exchange::PartSource,
        placement::{Placement, PromptPart},
        rollout::tally::ResponseEnd,
        upstreams::PendingResponse,
    },
    ids::{PoolName, SoftwareVersion, UpstreamId},
};

use crate::forward::{clock, node::ForwardNode, upstream_changes::ResponseSource};

/// What the outcome of a request tells of.
#[derive(Debug)]
pub struct VersionEvidence {
    pub pool: PoolName,
    pub software: SoftwareVersion,
    pub route: String,
    /// Whether the time to the first event measures the version: the prompt's shared parts are probably cached, and the
    /// upstream is not warming up.
    pub is_timed: bool,
}

/// Counts a request as in flight at its upstream until dropped.
#[derive(Debug)]
pub struct InFlightRequest {
    node: Rc<ForwardNode>,
    /// Upstream that the request was sent to.
    pub upstream: UpstreamId,
    /// Start time of that upstream when the request was sent. Its responses concern no later start.
    pub started_ms: Option<u64>,
    /// Time at which the request was sent, or the count began if it was not.
    pub sent_at: BootTime,
    /// Until the response starts.
    pending: Option<PendingResponse>,
    /// Expected time until then.
    expected: Duration,
    /// Whether the upstream had no other prompt to process when the request was sent, as far as
    /// known. The time to the first event then measures the upstream's speed.
    pub is_alone: bool,
    /// `None` until the version of the upstream is known.
    pub evidence: Option<VersionEvidence>,
}

impl InFlightRequest {
    /// Counts a request with the prompt `parts`, sent according to `placement`.
    pub fn start(node: &Rc<ForwardNode>, placement: &Placement, parts: &[PromptPart]) -> Self {
        let now = clock::now();
        let mut guard = node.state();
        let state = &mut *guard;
        let row = state.upstreams.find(&placement.upstream);
        let is_alone = row
            .is_some_and(|row| row.pending_prefill_tokens == 0 && row.reported_waiting(now) == 0);
        let shared = &parts[..parts.len().saturating_sub(1)];
        let started_ms = row.and_then(|row| row.entry.started_ms);
        if row.is_some() {
            let new = state.prompt_cache.record_sent(&placement.upstream, started_ms, shared, now);
            if state.upstreams.is_exchanged() {
                state.parts.add(&new, PartSource::Own);
            }
        }
        let pending = PendingResponse {
            prefill_tokens: placement.prefill_tokens,
            due_at: now + placement.wait.total(),
        };
        state.upstreams.record_request_start(&placement.upstream, &pending);
        drop(guard);
        let upstream = placement.upstream.clone();
        let node = Rc::clone(node);
        Self {
            node,
            upstream,
            started_ms,
            sent_at: now,
            pending: Some(pending),
            expected: placement.wait.total(),
            is_alone,
            evidence: None,
        }
    }

    /// Source of a response to the request with the attempt identifier `request`.
    pub fn source<'a>(&'a self, request: &'a str) -> ResponseSource<'a> {
        let (started_ms, sent_at) = (self.started_ms, self.sent_at);
        ResponseSource { request, upstream: &self.upstream, started_ms, sent_at }
    }

    /// Records that a part of the response was received.
    pub fn record_heard(&self) {
        self.node.state().upstreams.record_heard(&self.upstream, clock::now());
    }

    /// Records that the response has started.
    pub fn record_response_start(&mut self) {
        self.record_heard();
        if let Some(pending) = self.pending.take() {
            let mut state = self.node.state();
            state.upstreams.record_no_longer_pending(&self.upstream, &pending);
            state.upstreams.record_response_start(&self.upstream, &pending, clock::now());
        }
    }

    /// Time in which the response was expected to start.
    pub fn expected(&self) -> Duration {
        self.expected
    }

    /// Records how the request ended, for the judgement of the upstream's version.
    pub fn record_end(&self, end: ResponseEnd) {
        let Some(VersionEvidence { pool, software, route, .. }) = &self.evidence else { return };
        self.node.state().versions.record_end(pool, software, route, end);
    }

    /// Records a complete response that took `time`, for the judgement of the upstream's version.
    pub fn record_complete(&self, status: StatusCode, time: Duration) {
        let is_error = status.is_server_error();
        self.record_end(if is_error { ResponseEnd::Failed } else { ResponseEnd::Complete });
        self.record_start_time(time);
    }

    /// Records that there was no response of use, for the judgement of the upstream's version. Refusals tell of load.
    pub fn record_failure(&self, outcome: SendOutcome, closed: bool) {
        match outcome {
            SendOutcome::Broken if closed => self.record_end(ResponseEnd::Closed),
            SendOutcome::Broken | SendOutcome::Failed => self.record_end(ResponseEnd::Failed),
            SendOutcome::Unsent
            | SendOutcome::NoPath
            | SendOutcome::Withdrawn
            | SendOutcome::Rejected
            | SendOutcome::Misdirected => {}
        }
    }

    /// Records the time to the first event, or to the whole response.
    pub fn record_start_time(&self, time: Duration) {
        let Some(evidence) = self.evidence.as_ref().filter(|evidence| evidence.is_timed) else {
            return;
        };
        let VersionEvidence { pool, software, route, .. } = evidence;
        self.node.state().versions.record_start(pool, software, route, time);
    }

    /// Records the mean time between events.
    pub fn record_gap_time(&self, time: Duration) {
        let Some(VersionEvidence { pool, software, route, .. }) = &self.evidence else { return };
        self.node.state().versions.record_gap(pool, software, route, time);
    }

    /// Records whether the upstream failed.
    pub fn record_outcome(&self, failed: bool) {
        self.node.state().upstreams.record_outcome(&self.upstream, failed, clock::now());
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let mut guard = self.node.state();
        let state = &mut *guard;
        match &self.pending {
            Some(pending) => state.upstreams.record_no_longer_pending(&self.upstream, pending),
            None => {
                if let Some(row) = state.upstreams.find(&self.upstream) {
                    let held = clock::now().since(self.sent_at);
                    state.speeds.speed_mut(&row.entry.pool).record_held(held);
                }
            }
        }
        state.upstreams.record_request_end(&self.upstream);
        drop(guard);
        self.node.request_ended.notify_waiters();
    }
}
