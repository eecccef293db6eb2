//! Records for the retry budget when the other nodes count this one as a member.

use std::time::Duration;

use samphiredeck_core::{
    boot_time::BootTime,
    forward::members::{MemberHeartbeat, established_ms},
    ids::NodeName,
};

use crate::forward::state::ForwardState;

/// Time from the first read, at the first start of the cluster, until a read shows this node: with the delay of its first row,
/// and another for a reader that publishes it.
const FIRST_FUNDING_MAX: Duration = Duration::from_secs(3);

impl ForwardState {
    /// Records that this node has read at `now` that no node has run yet.
    pub fn record_vacancy(&mut self, now: BootTime) {
        let since = now.checked_sub(self.retry_budget.funding_span());
        self.vacant_from = Some(since.unwrap_or_default());
    }

    /// Whether the retry budget is not funded yet and soon will be.
    pub fn awaits_first_funding(&self, now: BootTime) -> bool {
        let span = self.retry_budget.funding_span() + FIRST_FUNDING_MAX;
        self.retry_budget.is_unfunded()
            && self.vacant_from.is_some_and(|from| now.since(from) < span)
    }

    /// Funds the retry budget for the first start of the cluster, until one of its nodes counts as a member. The `heartbeats`
    /// were read at `sent_at`. Nothing is funded until they show this node, called `own`, as the others see it then, too. Returns
    /// the number of nodes that it was funded for.
    pub fn fund_first_start(
        &mut self,
        heartbeats: &[MemberHeartbeat],
        own: &NodeName,
        sent_at: BootTime,
    ) -> Option<u32> {
        let (from, store_ms) = (self.vacant_from?, self.clock.store_ms(sent_at)?);
        let mut names: Vec<&NodeName> = heartbeats.iter().map(|(name, _)| name).collect();
        names.sort_unstable();
        names.dedup();
        let nodes = u32::try_from(names.len()).unwrap_or(u32::MAX);
        if !self.retry_budget.may_fund_first_start(nodes) {
            self.vacant_from = None;
            return None;
        }
        if !names.contains(&own) {
            return None;
        }
        let members = heartbeats.iter().map(|(_, heartbeat)| established_ms(heartbeat.since_ms));
        let until = before(sent_at, store_ms, members.min().unwrap_or(store_ms));
        self.retry_budget.fund_first_start(nodes, from, until);
        self.vacant_from = (until == sent_at).then_some(sent_at);
        Some(nodes)
    }

    /// Records that the heartbeat of this node was published at `now`.
    pub fn record_published(&mut self, now: BootTime) {
        self.published_at = Some(now);
        let (Some(since_ms), Some(store_ms)) = (self.since_ms, self.clock.store_ms(now)) else {
            return;
        };
        let member_since = before(now, store_ms, established_ms(since_ms));
        self.retry_budget.record_membership(self.members.count(), member_since, now);
    }
}

/// The time of `event_ms` if it was before `now`, at which the store's clock shows `store_ms`. `now` otherwise.
fn before(now: BootTime, store_ms: i64, event_ms: i64) -> BootTime {
    let since = u64::try_from(store_ms.saturating_sub(event_ms)).unwrap_or(0);
    now.checked_sub(Duration::from_millis(since)).unwrap_or_default()
}
