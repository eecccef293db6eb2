//! Limits of the registered upstreams.

use super::{UpstreamRegistry, tracked::TrackedUpstream};
use crate::{
    boot_time::BootTime,
    forward::{
        upstream_limit::{LimitChange, LimitStatement, NodeTurn, SendPermit, UpstreamLimit},
        upstream_slots::SlotDecision,
    },
    ids::UpstreamId,
};

/// Whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PermitDecision {
    /// No limit applies.
    Unlimited,
    /// This request may be sent.
    Granted(SendPermit),
    /// The limit leaves no request to this node now.
    Denied,
}

impl TrackedUpstream {
    /// Limit that the upstream has named since its start, whether it still applies or not.
    #[must_use]
    pub fn limit(&self) -> Option<&UpstreamLimit> {
        self.limit.as_ref()
    }

    /// Whether a limit applies.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.limit.as_ref().is_some_and(|limit| limit.rate().is_some())
    }

    /// Earliest time at which its limit lets a node with `turn` send a request, `now` or later.
    #[must_use]
    pub fn next_send(&self, turn: Option<NodeTurn>, now: BootTime) -> Option<BootTime> {
        self.limit.as_ref().map_or(Some(now), |limit| limit.next_send(turn, now))
    }

    /// Whether its limit, and its slots if it is brittle, may let a node with `turn` send a request at `now`.
    #[must_use]
    pub fn permits_send(&self, turn: Option<NodeTurn>, now: BootTime) -> bool {
        let has_slot = !self.slots.is_brittle()
            || (turn.is_some() && self.decide_slot(now) != SlotDecision::Full);
        has_slot && self.next_send(turn, now).is_some_and(|at| at <= now)
    }
}

impl UpstreamRegistry {
    /// Applies what a response of `id`, started at `started_ms`, or another node says about its
    /// limit. Returns the change, if there is one.
    pub fn apply_limit(
        &mut self,
        id: &UpstreamId,
        started_ms: Option<u64>,
        statement: LimitStatement,
    ) -> Option<LimitChange> {
        let row = self.find_mut(id).filter(|row| row.entry.started_ms == started_ms)?;
        if let Some(limit) = &mut row.limit {
            return limit.apply(statement);
        }
        let rate = statement.rate?;
        row.limit = Some(UpstreamLimit::new(id, statement));
        Some(LimitChange::Named(rate))
    }

    /// Takes a permit for one request to `id` at `now`.
    pub fn take_permit(
        &mut self,
        id: &UpstreamId,
        turn: Option<NodeTurn>,
        now: BootTime,
    ) -> PermitDecision {
        let limit = self.find_mut(id).and_then(|row| row.limit.as_mut());
        let Some(limit) = limit.filter(|limit| limit.rate().is_some()) else {
            return PermitDecision::Unlimited;
        };
        let permit = turn.and_then(|turn| limit.take(turn, now));
        permit.map_or(PermitDecision::Denied, PermitDecision::Granted)
    }

    /// Takes back a permit for `id` whose request was not sent.
    pub fn give_back(&mut self, id: &UpstreamId, permit: SendPermit) {
        if let Some(limit) = self.find_mut(id).and_then(|row| row.limit.as_mut()) {
            limit.give_back(permit);
        }
    }
}
