//! Requests in flight at upstreams.

use std::rc::Rc;

use samphiredeck_core::{forward::placement::Placement, ids::UpstreamId};

use crate::forward::{clock, node::ForwardNode};

/// Counts a request as in flight at its upstream until dropped.
#[derive(Debug)]
pub struct InFlightRequest {
    node: Rc<ForwardNode>,
    /// Upstream that the request was sent to.
    pub upstream: UpstreamId,
    pending_prefill_tokens: u64,
}

impl InFlightRequest {
    /// Counts a request sent according to `placement`.
    pub fn start(node: &Rc<ForwardNode>, placement: &Placement) -> Self {
        node.state().upstreams.record_request_start(&placement.upstream, placement.prefill_tokens);
        let upstream = placement.upstream.clone();
        Self { node: Rc::clone(node), upstream, pending_prefill_tokens: placement.prefill_tokens }
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
