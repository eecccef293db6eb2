//! Permits to send requests to upstreams with limits.

use std::rc::Rc;

use samphiredeck_core::{
    forward::{
        upstream_limit::SendPermit,
        upstreams::{limits::PermitDecision, tracked::TrackedUpstream},
    },
    ids::UpstreamId,
};

use crate::forward::{clock, node::ForwardNode, slot_exchange::acquire_slot};

/// Permission to send one request to an upstream. Dropping it gives it back, unless the request was
/// sent.
#[derive(Debug)]
pub struct PermitLease {
    node: Rc<ForwardNode>,
    upstream: UpstreamId,
    /// `None` if no limit applied.
    permit: Option<SendPermit>,
    /// Whether the request may have been sent.
    consumed: bool,
}

impl PermitLease {
    /// Takes a permit for a request to `upstream`, and a slot if that is brittle. `None` if its limit leaves none to this
    /// node now, or all slots are taken. The caller has to count the request as in flight before it waits for anything.
    pub async fn take(node: &Rc<ForwardNode>, upstream: &UpstreamId) -> Option<Self> {
        if !acquire_slot(node, upstream).await {
            return None;
        }
        let now = clock::now();
        let own_name = node.settings().name.clone();
        let mut state = node.state();
        let turn = state.node_turn(&own_name, now);
        let permit = match state.upstreams.take_permit(upstream, turn, now) {
            PermitDecision::Unlimited => None,
            PermitDecision::Granted(permit) => Some(permit),
            PermitDecision::Denied => return None,
        };
        drop(state);
        let (node, upstream) = (Rc::clone(node), upstream.clone());
        Some(Self { node, upstream, permit, consumed: false })
    }

    /// Whether the request may be sent now. A limit may have been named since the lease was taken.
    pub fn permits_send(&self) -> bool {
        if let Some(permit) = self.permit {
            return permit.is_valid(clock::now());
        }
        let state = self.node.state();
        !state.upstreams.find(&self.upstream).is_some_and(TrackedUpstream::is_limited)
    }

    /// Sets whether the request may have been sent.
    pub fn set_consumed(&mut self, consumed: bool) {
        self.consumed = consumed;
    }
}

impl Drop for PermitLease {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.filter(|_| !self.consumed) {
            self.node.state().upstreams.give_back(&self.upstream, permit);
        }
    }
}
