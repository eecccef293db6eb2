//! Requests that upstreams have.

use std::rc::Rc;

use samphiredeck_core::{forward::placement::Placement, ids::UpstreamId};

use crate::forward::{clock, node::ForwardNode};

/// Request that an upstream has, as long as it lives.
#[derive(Debug)]
pub struct UpstreamFlight {
    node: Rc<ForwardNode>,
    /// Upstream that has it.
    pub upstream: UpstreamId,
    unread: u64,
}

impl UpstreamFlight {
    /// Begins with the send that `choice` is for.
    pub fn begin(node: &Rc<ForwardNode>, choice: &Placement) -> Self {
        node.beliefs().roster.note_sent(&choice.upstream, choice.uncached_tokens);
        let upstream = choice.upstream.clone();
        Self { node: Rc::clone(node), upstream, unread: choice.uncached_tokens }
    }

    /// Notes that the prompt was read.
    pub fn note_read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.node.beliefs().roster.note_prompt_read(&self.upstream, unread);
    }

    /// Notes whether the upstream failed.
    pub fn note_outcome(&self, failed: bool) {
        self.node.beliefs().roster.note_outcome(&self.upstream, failed, clock::now());
    }
}

impl Drop for UpstreamFlight {
    fn drop(&mut self) {
        let mut beliefs = self.node.beliefs();
        beliefs.roster.note_prompt_read(&self.upstream, self.unread);
        beliefs.roster.note_ended(&self.upstream);
    }
}
