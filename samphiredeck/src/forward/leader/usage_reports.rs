//! Usage reports, which only the leader sends.

use samphiredeck_core::{
    forward::{
        leader::LEADER_CALL_TIMEOUT,
        usage::{WindowCounts, WindowIndex},
    },
    ids::RowVersion,
};
use samphiredeck_platform::{
    orders::{OrderOutcome, decode_outcome, encode_usage_report},
    store::{StoreTransaction, TransactionOutcome},
};
use samphiredeck_wire::record::{SharedRecord, decode_record, encode_record, usage_key};
use serde_json::json;

use crate::forward::clock;

use super::{LeaderTasks, RETRY_DELAY, WRITE_TIMEOUT, describe_outcome, shared_row_key};

/// Time after the end of a window by which all nodes should have published their counts: two
/// publishing periods.
const COUNTS_PUBLISHED_MS: i64 = 1_200;
/// Time after the end of a window from which no more counts are expected. Counts are published
/// within 1.2 s and read within two periods of 1.5 s.
const COUNTS_DEADLINE_MS: i64 = 4_400;
/// Time before the due time of a report at which it is sent with incomplete counts.
const REPORT_MARGIN_MS: i64 = 1_500;
/// Number of windows whose committed usage is kept in the store.
const COMMITTED_WINDOWS_KEPT: i64 = 12;
/// Number of past windows that are checked for a missing report.
const REPORT_LOOKBACK: i64 = 4;

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
            let due = i64::try_from(settings.bounds.usage_due.0).unwrap_or(i64::MAX);
            let (complete, sum) = {
                let state = self.node.state();
                let complete = state.members.is_usage_complete(end_ms);
                (complete, state.members.sum_window(window))
            };
            let is_settled = complete && now_ms >= end_ms + COUNTS_PUBLISHED_MS;
            if !is_settled && now_ms < end_ms + COUNTS_DEADLINE_MS.min(due - REPORT_MARGIN_MS) {
                continue;
            }
            if sum.counts.is_empty() {
                // No requests ran, or no node has published its counts yet.
                continue;
            }
            let Some(committed) = self.commit_usage(sum, complete).await else { return };
            if !self.send_usage_report(&committed, now_ms - end_ms).await {
                return;
            }
        }
    }

    /// Commits the counts of a window to the store. Returns the committed counts, which are final
    /// for all nodes.
    async fn commit_usage(&mut self, sum: WindowCounts, complete: bool) -> Option<WindowCounts> {
        self.current_fence()?;
        let key = shared_row_key(&usage_key(sum.window));
        let expired = WindowIndex(sum.window.0 - COMMITTED_WINDOWS_KEPT);
        let value = match encode_record(&sum) {
            Ok(value) => value,
            Err(error) => {
                self.node.log.record("usage-unwritable", json!({ "reason": error.to_string() }));
                return None;
            }
        };
        let transaction = StoreTransaction {
            expected: vec![(key.clone(), RowVersion(0))],
            writes: vec![(key, value)],
            removals: vec![shared_row_key(&usage_key(expired))],
        };
        match self.store.transact(&transaction, WRITE_TIMEOUT).await {
            Ok(TransactionOutcome::Committed(version)) => {
                let nodes = self.node.state().members.nodes_counted(sum.window);
                let fields = json!({
                    "window": sum.window.0, "requests": sum.total(), "digest": sum.digest(),
                    "complete": complete, "nodes": nodes, "row": version.number(),
                    "era": version.era().0,
                });
                self.node.log.record("usage-agreed", fields);
                Some(sum)
            }
            Ok(TransactionOutcome::Conflict(rows)) => {
                let committed = rows.iter().find_map(|row| {
                    match decode_record(&row.key, row.value.as_deref()?) {
                        Ok(Some(SharedRecord::Usage(counts))) => Some((counts, row.version)),
                        _ => None,
                    }
                });
                let Some((committed, version)) = committed else {
                    let fields =
                        json!({ "window": sum.window.0, "reason": "committed row is unreadable" });
                    self.node.log.record("usage-unagreed", fields);
                    return None;
                };
                let fields = json!({
                    "window": sum.window.0, "requests": committed.total(),
                    "digest": committed.digest(), "sum": sum.total(), "row": version.number(),
                    "era": version.era().0,
                });
                self.node.log.record("usage-found", fields);
                Some(committed)
            }
            Err(error) => {
                // If the write took effect after all, the next round finds the row.
                let fields = json!({ "window": sum.window.0, "reason": error.to_string() });
                self.node.log.record("usage-unagreed", fields);
                self.paused_until = clock::now() + RETRY_DELAY;
                None
            }
        }
    }

    /// Reports committed counts. Returns whether the platform accepted them.
    async fn send_usage_report(&mut self, counts: &WindowCounts, age_ms: i64) -> bool {
        let Some(fence) = self.current_fence() else { return false };
        let settings = self.node.settings();
        let Some(client) = self.orders.as_mut() else { return false };
        let result = match encode_usage_report(counts, &settings.name, fence) {
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
