//! Requests in flight at upstreams.

use std::rc::Rc;

use samphiredeck_core::{
    forward::placement::{Placement, PromptPart},
    ids::UpstreamId,
};

use crate::forward::{clock, node::ForwardNode};

/// Counts a request as in flight at its upstream until dropped.
#[derive(Debug)]
pub struct InFlightRequest {
    node: Rc<ForwardNode>,
    /// Upstream that the request was sent to.
    pub upstream: UpstreamId,
    pending_prefill_tokens: u64,
    /// Whether the upstream had no other prompt to process when the request was sent, as far as
    /// known. The time to the first event then measures the upstream's speed.
    pub is_alone: bool,
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
        if let Some(row) = row {
            let started_ms = row.entry.started_ms;
            state.prompt_cache.record_sent(&placement.upstream, started_ms, shared, now);
        }
        state.upstreams.record_request_start(&placement.upstream, placement.prefill_tokens);
        drop(guard);
        let upstream = placement.upstream.clone();
        let pending_prefill_tokens = placement.prefill_tokens;
        Self { node: Rc::clone(node), upstream, pending_prefill_tokens, is_alone }
    }

    /// Records that the upstream has processed the prompt.
    pub fn record_prompt_processed(&mut self) {
        let pending_prefill_tokens = std::mem::take(&mut self.pending_prefill_tokens);
        self.node.state().upstreams.record_prompt_processed(&self.upstream, pending_prefill_tokens);
    }

    /// Records whether the upstream failed.
    pub fn record_outcome(&self, failed: bool) {
        self.node.state().upstreams.record_outcome(&self.upstream, failed, clock::now());
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let mut state = self.node.state();
        state.upstreams.record_prompt_processed(&self.upstream, self.pending_prefill_tokens);
        state.upstreams.record_request_end(&self.upstream);
    }
}
