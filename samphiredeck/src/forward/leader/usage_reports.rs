//! Usage reports, which only the leader sends.

use std::time::Duration;

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        agreed_windows::{WindowStep, WithholdReason},
        leader::LEADER_CALL_TIMEOUT,
        usage::{REPORT_LOOKBACK, WindowCounts, WindowIndex},
    },
    ids::{RowVersion, WorkspaceName},
};
use samphiredeck_platform::{
    orders::{OrderOutcome, OrderSender, decode_outcome, encode_usage_report},
    store::{StoreRow, StoreTransaction, TransactionOutcome},
};
use samphiredeck_wire::record::{
    LEADER_ROW_KEY, SharedRecord, decode_record, encode_usage, usage_key,
};
use serde_json::json;

use crate::forward::{clock, name_rows::read_names, node::ForwardNode};

use super::{LeaderTasks, RETRY_DELAY, WRITE_TIMEOUT, describe_outcome, shared_row_key};

/// Time after the end of a window by which all nodes should have published their counts: two
/// publishing periods.
const COUNTS_PUBLISHED_MS: i64 = 1_200;
/// Time after the end of a window from which no more counts are expected. Counts are published
/// within 1.2 s and read within two periods of 1.5 s.
const COUNTS_DEADLINE_MS: i64 = 4_400;
/// Time before the due time of a report at which it is sent with incomplete counts.
const REPORT_MARGIN_MS: i64 = 1_500;
/// Minimum time between two reads of the names in the store.
const NAMES_READ_PERIOD: Duration = Duration::from_secs(1);
/// Number of windows whose committed usage is kept in the store.
const COMMITTED_WINDOWS_KEPT: i64 = 12;

impl LeaderTasks {
    /// Commits and reports the usage of completed windows.
    pub(super) async fn report_usage(&mut self) {
        let settings = self.node.settings();
        let length = settings.bounds.usage_window.to_duration();
        let Some(now_ms) = self.node.state().clock.unix_ms(clock::now()) else { return };
        let newest = WindowIndex::of(now_ms, length);
        for windows_back in (1..=REPORT_LOOKBACK).rev() {
            let window = WindowIndex(newest.0 - windows_back);
            if self.reported.contains(&window) {
                continue;
            }
            let end_ms = window.end_ms(length);
            let step = self.window_step(window, end_ms);
            let (counts, complete) = match step {
                WindowStep::Repeat(counts) => (counts, true),
                WindowStep::Withhold(reason) => {
                    self.log_withheld(window, reason);
                    continue;
                }
                WindowStep::Sum => {
                    let Some((counts, complete)) = self.sum_settled(window, now_ms - end_ms) else {
                        continue;
                    };
                    let counts = self.keep_named(counts, now_ms - end_ms).await;
                    let Some(counts) = counts else { continue };
                    (counts, complete)
                }
            };
            let Some(committed) = self.commit_usage(counts, complete).await else { return };
            if !self.send_usage_report(&committed, now_ms - end_ms).await {
                return;
            }
        }
    }

    /// What this node may do about `window`, which ended at `end_ms`.
    fn window_step(&self, window: WindowIndex, end_ms: i64) -> WindowStep {
        let era = self.node.store_eras.borrow().current();
        let state = self.node.state();
        let tenure_since = state.leader_lease.tenure_since();
        let tenure_ms = tenure_since.and_then(|since| state.clock.unix_ms(since));
        state.agreed_windows.next_step(window, end_ms, era, tenure_ms)
    }

    /// Sum of the counts of `window`, which ended `age_ms` ago, and whether it is complete. `None` if more counts are
    /// expected, or no requests ran.
    fn sum_settled(&self, window: WindowIndex, age_ms: i64) -> Option<(WindowCounts, bool)> {
        let settings = self.node.settings();
        let due =
            i64::try_from(settings.bounds.usage_due.to_duration().as_millis()).unwrap_or(i64::MAX);
        let end_ms = window.end_ms(settings.bounds.usage_window.to_duration());
        let state = self.node.state();
        let complete = state.members.is_usage_complete(end_ms);
        let is_settled = complete && age_ms >= COUNTS_PUBLISHED_MS;
        if !is_settled && age_ms < COUNTS_DEADLINE_MS.min(due - REPORT_MARGIN_MS) {
            return None;
        }
        let sum = state.members.sum_window(window);
        // Without any, no requests ran, or no node has published its counts yet.
        (!sum.counts.is_empty()).then_some((sum, complete))
    }

    /// The part of `counts`, of a window that ended `age_ms` ago, that can be reported: of workspaces whose names are known.
    /// `None` if that is nothing, or the other names may still be read in time.
    async fn keep_named(&mut self, mut counts: WindowCounts, age_ms: i64) -> Option<WindowCounts> {
        let is_named = |node: &ForwardNode, workspace: &WorkspaceName| {
            node.state().names.text_of(workspace.as_str()).is_some()
        };
        let has_all =
            |node: &ForwardNode| counts.counts.iter().all(|row| is_named(node, &row.workspace));
        if has_all(&self.node) {
            return Some(counts);
        }
        if clock::now().since(self.names_read_at) >= NAMES_READ_PERIOD {
            self.names_read_at = clock::now();
            if let Err(error) = read_names(&self.node, &mut self.store).await {
                let fields = json!({ "window": counts.window.0, "reason": error.to_string() });
                self.node.log.record("names-unread", fields);
            }
        }
        if has_all(&self.node) {
            return Some(counts);
        }
        let settings = self.node.settings();
        let due =
            i64::try_from(settings.bounds.usage_due.to_duration().as_millis()).unwrap_or(i64::MAX);
        if age_ms < due - REPORT_MARGIN_MS {
            return None;
        }
        let left_out = counts.retain(|workspace| is_named(&self.node, workspace));
        self.node.metrics.leader.unnamed_requests.inc_by(left_out);
        let fields = json!({ "window": counts.window.0, "requests": left_out });
        self.node.log.record("usage-unnamed", fields);
        (!counts.counts.is_empty()).then_some(counts)
    }

    fn log_withheld(&mut self, window: WindowIndex, reason: WithholdReason) {
        let has_requests = !self.node.state().members.sum_window(window).counts.is_empty();
        if !has_requests || self.withheld.contains(&(window, reason)) {
            return;
        }
        self.withheld.push((window, reason));
        let kept = usize::try_from(COMMITTED_WINDOWS_KEPT).unwrap_or(usize::MAX);
        let excess = self.withheld.len().saturating_sub(kept);
        self.withheld.drain(..excess);
        if reason != WithholdReason::UnknownEra {
            self.node.metrics.leader.windows_withheld.inc();
        }
        let fields = json!({
            "window": window.0, "reason": format!("{reason:?}"),
            "era": self.node.store_eras.borrow().current().0,
        });
        self.node.log.record("usage-withheld", fields);
    }

    /// Commits the counts of a window to the store, if this node is still the leader there. Returns the committed counts,
    /// which are final for all nodes.
    async fn commit_usage(&mut self, counts: WindowCounts, complete: bool) -> Option<WindowCounts> {
        let fence = self.current_fence()?;
        let key = shared_row_key(&usage_key(counts.window));
        let expired = WindowIndex(counts.window.0 - COMMITTED_WINDOWS_KEPT);
        let value = match encode_usage(&counts, &self.node.state().names) {
            Ok(value) => value,
            Err(error) => {
                self.node.log.record("usage-unwritable", json!({ "reason": error.to_string() }));
                return None;
            }
        };
        // The lease's row is another one if the store has returned from an older copy meanwhile.
        let lease_version = self.node.state().leader_lease.known_version();
        let transaction = StoreTransaction {
            expected: vec![
                (key.clone(), RowVersion(0)),
                (shared_row_key(LEADER_ROW_KEY), lease_version),
            ],
            writes: vec![(key, value)],
            removals: vec![shared_row_key(&usage_key(expired))],
        };
        let sent_at = clock::now();
        match self.store.transact(&transaction, WRITE_TIMEOUT).await {
            Ok(TransactionOutcome::Committed(version)) if version.era() != fence.era() => {
                let fields = json!({
                    "window": counts.window.0, "reason": "the store has begun another era",
                });
                self.node.log.record("usage-unagreed", fields);
                None
            }
            Ok(TransactionOutcome::Committed(version)) => {
                let nodes = self.node.state().members.nodes_counted(counts.window);
                let fields = json!({
                    "window": counts.window.0, "requests": counts.total(),
                    "digest": counts.digest(), "complete": complete, "nodes": nodes,
                    "row": version.number(), "era": version.era().0,
                });
                self.node.log.record("usage-agreed", fields);
                self.node.state().agreed_windows.record(&counts, true);
                Some(counts)
            }
            Ok(TransactionOutcome::Conflict(rows)) => self.find_committed(&counts, &rows, sent_at),
            Err(error) => {
                // If the write took effect after all, the next round finds the row.
                let fields = json!({ "window": counts.window.0, "reason": error.to_string() });
                self.node.log.record("usage-unagreed", fields);
                self.paused_until = clock::now() + RETRY_DELAY;
                None
            }
        }
    }

    /// Finds the committed counts in `rows`, which the store returned with the conflict of a commit of `counts`.
    fn find_committed(
        &mut self,
        counts: &WindowCounts,
        rows: &[StoreRow],
        sent_at: BootTime,
    ) -> Option<WindowCounts> {
        let window = counts.window;
        let committed =
            rows.iter().find_map(|row| match decode_record(&row.key, row.value.as_deref()?) {
                Ok(Some(SharedRecord::Usage(usage))) => Some((usage, row.version)),
                _ => None,
            });
        let Some((usage, version)) = committed else {
            let is_missing = rows.iter().all(|row| row.key == LEADER_ROW_KEY);
            let reason =
                if is_missing { "the lease has changed" } else { "committed row is unreadable" };
            let fields = json!({ "window": window.0, "reason": reason });
            self.node.log.record("usage-unagreed", fields);
            if is_missing {
                self.observe_lease(rows, sent_at);
            }
            return None;
        };
        let is_named = usage.is_named();
        let committed = usage.counts;
        let is_agreed = {
            let mut state = self.node.state();
            state.names.merge(&usage.names);
            state.agreed_windows.record(&committed, is_named)
        };
        let fields = json!({
            "window": window.0, "requests": committed.total(), "digest": committed.digest(),
            "own": counts.total(), "own_digest": counts.digest(), "row": version.number(),
            "era": version.era().0, "disputed": !is_agreed, "named": is_named,
        });
        self.node.log.record("usage-found", fields);
        (is_agreed && is_named).then_some(committed)
    }

    /// Reports committed counts. Returns whether the platform accepted them.
    async fn send_usage_report(&mut self, counts: &WindowCounts, age_ms: i64) -> bool {
        let Some(fence) = self.current_fence() else { return false };
        let settings = self.node.settings();
        let Some(client) = self.orders.as_mut() else { return false };
        let names = self.node.state().names.clone();
        let sender = OrderSender { holder: &settings.name, fence, names: &names };
        let result = match encode_usage_report(counts, &sender) {
            Ok(call) => client.call(call, LEADER_CALL_TIMEOUT).await,
            Err(error) => Err(error.into()),
        };
        let outcome = result.map(|(status, _)| decode_outcome(status));
        let accepted = matches!(outcome, Ok(OrderOutcome::Accepted));
        let fields = json!({
            "window": counts.window.0, "requests": counts.total(), "digest": counts.digest(),
            "fence": fence.0, "age_ms": age_ms,
            "outcome": describe_outcome(&outcome),
        });
        self.node.log.record("usage-reported", fields);
        if accepted {
            self.reported.push(counts.window);
            let kept = usize::try_from(COMMITTED_WINDOWS_KEPT).unwrap_or(usize::MAX);
            let excess = self.reported.len().saturating_sub(kept);
            self.reported.drain(..excess);
        } else {
            self.paused_until = clock::now() + RETRY_DELAY;
        }
        accepted
    }
}
