//! Rows of rollouts and the status that operators read.

use std::time::Duration;

use samphiredeck_core::{
    forward::rollout::{
        control::RolloutControl,
        phases::{RolloutPhase, RolloutRow},
    },
    ids::{PoolName, RowVersion},
};
use samphiredeck_platform::{
    rollouts::{OrderState, OrderStatus, encode_status, status_key},
    store::{StoreKey, StoreTransaction, TransactionOutcome},
};
use samphiredeck_wire::record::{
    LEADER_ROW_KEY, ROLLOUTS_TABLE, SHARED_TABLE, decode_rollout, encode_record,
};
use serde_json::json;

use crate::forward::{clock, dependency::STORE_TIMEOUT, platform_client::PlatformCallError};

use super::{LedRollout, RolloutTasks, find};

/// Timeout of a write to the store.
const WRITE_TIMEOUT: Duration = Duration::from_millis(700);

fn row_key(pool: &PoolName) -> StoreKey {
    StoreKey { table: ROLLOUTS_TABLE.to_owned(), key: pool.to_string() }
}

impl RolloutTasks {
    pub(super) fn log_unread(&self, what: &'static str, error: &PlatformCallError) {
        let fields = json!({ "what": what, "reason": error.to_string() });
        self.node.log.record_once_a_minute("rollouts-unread", what, fields);
    }

    /// Reads the rows of all rollouts. Returns whether they could be read.
    pub(super) async fn read_rows(&mut self) -> bool {
        let rows = match self.store.read_table(ROLLOUTS_TABLE, STORE_TIMEOUT).await {
            Ok(response) => response.rows,
            Err(error) => {
                self.log_unread("rollouts", &error);
                return false;
            }
        };
        for row in rows {
            let pool: Result<PoolName, _> = row.key.parse();
            let decoded = row.value.as_deref().map(decode_rollout);
            let (Ok(pool), Some(Ok(content))) = (pool, decoded) else {
                let fields = json!({ "key": row.key, "row": row.version.0 });
                self.node.log.record("rollout-unreadable", fields);
                continue;
            };
            let now = clock::now();
            let is_known = {
                let mut led = self.node.rollouts.led.borrow_mut();
                let found = find(&led, &pool).ok();
                // Only this node writes while it is the leader, so that the row holds its last write or the one before.
                let known = found.map(|at| &mut led[at]);
                let known = known.filter(|known| known.control.row().order == content.order);
                if let Some(known) = known {
                    if known.control.row() != &content {
                        known.control.record_written(content.clone(), now);
                    }
                    known.version = row.version;
                    true
                } else {
                    false
                }
            };
            if !is_known {
                let phase = content.phase;
                let fields = json!({
                    "pool": pool.as_str(), "phase": format!("{phase:?}"), "to": content.to.as_str(),
                    "reserved": content.reserved, "arrivals": content.arrivals, "row": row.version.0,
                });
                self.node.log.record("rollout-continued", fields);
                let control = RolloutControl::new(pool, self.bounds, content, now);
                self.lead(LedRollout { control, version: row.version });
            }
        }
        true
    }

    /// Writes `row` of a rollout of this leader.
    pub(super) async fn write_row(&mut self, pool: &PoolName, row: RolloutRow) {
        let known = {
            let led = self.node.rollouts.led.borrow();
            find(&led, pool).ok().map(|at| (led[at].control.row().phase, led[at].version))
        };
        let Some((before, version)) = known else { return };
        let Some(version) = self.commit_row(pool, &row, Some(before), version).await else {
            return;
        };
        if row.phase != before {
            self.log_phase(pool, Some(before), &row);
        }
        let mut led = self.node.rollouts.led.borrow_mut();
        if let Ok(at) = find(&led, pool) {
            led[at].control.record_written(row, clock::now());
            led[at].version = version;
        }
    }

    /// Commits `row`, and the status if it changes with the phase. Returns the new version of the row. Fails if the row
    /// has another version than `expected`, or another node may be the leader.
    pub(super) async fn commit_row(
        &mut self,
        pool: &PoolName,
        row: &RolloutRow,
        before: Option<RolloutPhase>,
        expected: RowVersion,
    ) -> Option<RowVersion> {
        let fence = self.current_fence()?;
        let (lease_version, status_key) = {
            let state = self.node.state();
            (state.leader_lease.known_version(), status_key(pool, &state.names))
        };
        let mut writes = match encode_record(row) {
            Ok(value) => vec![(row_key(pool), value)],
            Err(error) => {
                self.node.log.record("rollout-unwritable", json!({ "reason": error.to_string() }));
                return None;
            }
        };
        let state = OrderState::of(row.phase);
        let changed = state.filter(|state| before.and_then(OrderState::of) != Some(*state));
        // The status of a service is not written under another name.
        if let (Some(state), Some(key)) = (changed, status_key) {
            let status = OrderStatus { state, to: row.to.clone() };
            writes.push((key, encode_status(&status).ok()?));
        }
        let lease_key = StoreKey { table: SHARED_TABLE.to_owned(), key: LEADER_ROW_KEY.to_owned() };
        let transaction = StoreTransaction {
            expected: vec![(row_key(pool), expected), (lease_key, lease_version)],
            writes,
            removals: Vec::new(),
        };
        let reason = match self.store.transact(&transaction, WRITE_TIMEOUT).await {
            Ok(TransactionOutcome::Committed(version)) if version.era() == fence.era() => {
                return Some(version);
            }
            Ok(TransactionOutcome::Committed(_)) => "the store has begun another era".to_owned(),
            Ok(TransactionOutcome::Conflict(rows)) => {
                let is_own = |row: &&_| {
                    let row: &samphiredeck_platform::store::StoreRow = row;
                    row.table == ROLLOUTS_TABLE && row.key == pool.as_str()
                };
                let found = rows.iter().find(is_own).map_or(RowVersion(0), |row| row.version);
                if found == expected {
                    // The lease was renewed meanwhile. The next look writes again.
                    return None;
                }
                format!("the row has version {}, not {}", found.0, expected.0)
            }
            Err(error) => error.to_string(),
        };
        let fields = json!({
            "pool": pool.as_str(), "phase": format!("{:?}", row.phase), "reason": reason,
        });
        self.node.log.record("rollout-unwritten", fields);
        self.has_unknown_row = true;
        None
    }

    /// Logs a step with its evidence.
    pub(super) fn log_phase(
        &self,
        pool: &PoolName,
        before: Option<RolloutPhase>,
        row: &RolloutRow,
    ) {
        let led = self.node.rollouts.led.borrow();
        let control = find(&led, pool).ok().map(|at| &led[at].control);
        let counts = control.map(RolloutControl::counts);
        let fields = json!({
            "pool": pool.as_str(), "base": row.base.as_str(), "to": row.to.as_str(),
            "phase": format!("{:?}", row.phase), "before": before.map(|before| format!("{before:?}")),
            "reason": row.reason, "elapsed_ms": row.since_ms - row.ordered_ms,
            "arrivals": counts.map(|counts| counts.arrivals), "exposed": counts.map(|counts| counts.exposed),
            "judged": control.map(|control| control.judge().judged()), "order": row.order.0,
        });
        self.node.log.record("rollout-step", fields);
        let labels = crate::forward::metrics::RolloutLabels { phase: format!("{:?}", row.phase) };
        self.node.metrics.rollouts.steps.get_or_create(&labels).inc();
    }
}
