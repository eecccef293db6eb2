//! Records for the retry budget when the other nodes count this one as a member.

use samphiredeck_core::{
    boot_time::BootTime,
    forward::members::{JoinKind, MemberHeartbeat, count_if_vacant, is_established},
    ids::NodeName,
};

use crate::forward::state::ForwardState;

impl ForwardState {
    /// Records which nodes had run when this one, called `own`, read their `heartbeats` first, and the store's clock showed
    /// `store_ms`.
    pub fn record_first_read(
        &mut self,
        heartbeats: &[MemberHeartbeat],
        own: &NodeName,
        store_ms: i64,
        now: BootTime,
    ) {
        let span = self.retry_budget.funding_span();
        if let Some(nodes) = count_if_vacant(heartbeats, own, span, store_ms) {
            self.joined = JoinKind::First { nodes };
            self.retry_budget.fund_vacancy(nodes, now);
        }
    }

    /// Records that the heartbeat of this node was published at `now`.
    pub fn record_published(&mut self, now: BootTime) {
        self.published_at = Some(now);
        let (since_ms, store_ms) = (self.since_ms, self.clock.store_ms(now));
        let is_established =
            since_ms.zip(store_ms).is_some_and(|(since, store)| is_established(since, store));
        let listed = self.members.count();
        match self.joined {
            _ if is_established => self.retry_budget.record_membership(listed, now),
            JoinKind::First { nodes } => {
                self.retry_budget.record_membership(nodes.max(listed), now);
            }
            JoinKind::BesideOthers => self.retry_budget.record_absence(),
        }
    }
}
