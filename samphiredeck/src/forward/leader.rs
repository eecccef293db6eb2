//! Tasks of the leader: usage reports and capacity orders.

mod capacity_orders;
mod usage_reports;

use std::{rc::Rc, time::Duration};

use rand::random;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        agreed_windows::WithholdReason,
        capacity::CapacityPlanner,
        leader::{LeaderRecord, LeaderStep},
        usage::WindowIndex,
    },
    ids::{FencingToken, PoolName, RowVersion},
};
use samphiredeck_platform::{
    orders::OrderOutcome,
    store::{StoreKey, StoreRow, StoreTransaction, TransactionOutcome},
};
use samphiredeck_wire::record::{
    LEADER_ROW_KEY, SHARED_TABLE, SharedRecord, decode_record, encode_record,
};
use serde_json::json;
use tokio::time::sleep;

use crate::forward::{
    clock,
    node::{ForwardNode, ShutdownPhase},
    platform_client::{PlatformCallError, PlatformClient},
    store_returns::begin_era,
    store_watch::log_behind,
};

/// Interval at which the leader checks its tasks.
const TICK_PERIOD: Duration = Duration::from_millis(200);
/// Minimum time after startup before a node contends for the leader lease, and range of the jitter
/// added to it.
const CONTENTION_DELAY: Duration = Duration::from_millis(1_500);
/// Timeout of a write to the store.
const WRITE_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after a report or an order that was refused or got no response.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Tasks of this node while it holds the leader lease.
struct LeaderTasks {
    node: Rc<ForwardNode>,
    store: PlatformClient,
    orders: Option<PlatformClient>,
    /// Capacity planners by pool, sorted.
    planners: Vec<(PoolName, CapacityPlanner)>,
    /// Windows reported under the current fencing token.
    reported: Vec<WindowIndex>,
    /// Windows that were not reported, and of which a log line tells.
    withheld: Vec<(WindowIndex, WithholdReason)>,
    /// Fencing token while this node is the leader.
    fence: Option<FencingToken>,
    /// Fencing token under which `planners` and `reported` were built.
    state_fence: Option<FencingToken>,
    last_order_round: BootTime,
    /// Time of the last read of the names in the store.
    names_read_at: BootTime,
    /// Time until which nothing is sent to the platform's API.
    paused_until: BootTime,
}

/// Acquires and renews the leader lease and runs the leader's tasks until the node stops.
pub async fn run_leader(node: Rc<ForwardNode>) {
    let mut tasks = LeaderTasks {
        store: PlatformClient::store(&node, "duty"),
        orders: PlatformClient::orders(&node),
        node,
        planners: Vec::new(),
        reported: Vec::new(),
        withheld: Vec::new(),
        fence: None,
        state_fence: None,
        last_order_round: BootTime::default(),
        names_read_at: BootTime::default(),
        paused_until: BootTime::default(),
    };
    // By then most nodes have found a reader, so that only a few contend for the lease.
    sleep(CONTENTION_DELAY.mul_f64(1.0 + random::<f64>())).await;
    while tasks.node.phase() == ShutdownPhase::Serving {
        tasks.renew_lease().await;
        tasks.update_fence();
        if tasks.fence.is_some() && clock::now() >= tasks.paused_until {
            tasks.report_usage().await;
            tasks.order_capacity().await;
        }
        sleep(TICK_PERIOD).await;
    }
}

fn shared_row_key(key: &str) -> StoreKey {
    StoreKey { table: SHARED_TABLE.to_owned(), key: key.to_owned() }
}

impl LeaderTasks {
    /// Fencing token, if this node is the leader now.
    fn current_fence(&self) -> Option<FencingToken> {
        self.node.state().leader_lease.fence(clock::now())
    }

    async fn renew_lease(&mut self) {
        let step = {
            let state = self.node.state();
            // A node without a configuration can't act as the leader.
            if state.catalog.is_none() {
                return;
            }
            // Nodes that read the store themselves see the row often enough to detect a missing
            // leader.
            let is_follower = state.reader.is_some();
            match state.leader_lease.next_step(clock::now()) {
                LeaderStep::Write(record, _) if record.renewals == 0 && is_follower => return,
                step => step,
            }
        };
        let LeaderStep::Write(record, version) = step else { return };
        let value = match encode_record(&record) {
            Ok(value) => value,
            Err(error) => {
                let fields = json!({ "reason": error.to_string() });
                self.node.log.record("duty-unwritable", fields);
                return;
            }
        };
        let transaction = StoreTransaction {
            expected: vec![(shared_row_key(LEADER_ROW_KEY), version)],
            writes: vec![(shared_row_key(LEADER_ROW_KEY), value)],
            removals: Vec::new(),
        };
        let sent_at = clock::now();
        let outcome = self.store.transact(&transaction, WRITE_TIMEOUT).await;
        self.apply_lease_outcome(record, outcome, sent_at);
    }

    fn apply_lease_outcome(
        &mut self,
        record: LeaderRecord,
        outcome: Result<TransactionOutcome, PlatformCallError>,
        sent_at: BootTime,
    ) {
        let mut state = self.node.state();
        match outcome {
            Ok(TransactionOutcome::Committed(version)) => {
                if record.renewals == 0 {
                    let fields = json!({
                        "fence": record.fence.0, "row": version.number(), "era": version.era().0,
                    });
                    self.node.log.record("duty-won", fields);
                }
                state.leader_lease.record_written(record, version, sent_at);
            }
            Ok(TransactionOutcome::Conflict(rows)) => {
                drop(state);
                self.observe_lease(&rows, sent_at);
            }
            Err(error) => {
                if error.is_outcome_unknown() {
                    state.leader_lease.mark_uncertain();
                }
                let unknown = error.is_outcome_unknown();
                let fields = json!({ "reason": error.to_string(), "unknown": unknown });
                self.node.log.record("duty-unrenewed", fields);
            }
        }
    }

    /// Applies the lease's row in `rows`, which the store returned with the conflict of a renewal or of a commit that expects
    /// the row, asked for at `sent_at`. Begins an era if the row's version went down.
    fn observe_lease(&self, rows: &[StoreRow], sent_at: BootTime) {
        let (record, version) = decode_leader_row(rows);
        let era = self.node.store_eras.borrow().current();
        let (is_behind, known) = {
            let lease = &self.node.state().leader_lease;
            (lease.proves_return((era, version), sent_at), lease.known_version())
        };
        let fields = json!({
            "holder": record.as_ref().map(|record| record.holder.to_string()),
            "row": version.number(), "era": era.0, "known_row": known.number(),
            "known_era": known.era().0,
        });
        self.node.log.record("duty-conflict", fields);
        if record.is_none() && version.number() != 0 {
            // Somebody may hold a lease that this node can't read. Its reads of the shared rows leave it alone too.
            self.node.state().leader_lease.mark_uncertain();
            return;
        }
        if version.number() != 0 && version.era() < era {
            // The answer is older than what another call has learned.
            return;
        }
        if is_behind {
            log_behind(&self.node, "lease", version, known);
            begin_era(&self.node, "lease", version, known);
        }
        let era = self.node.store_eras.borrow().current();
        let version = version.in_era(era);
        self.node.state().leader_lease.observe(record, (era, version), clock::now());
    }

    /// Updates the fencing token. A new token discards the state of earlier orders and reports; a
    /// lease that expired and was renewed under the same token keeps it.
    fn update_fence(&mut self) {
        let fence = self.current_fence();
        if fence == self.fence {
            return;
        }
        let gauge_value = fence.map_or(0, |fence| i64::try_from(fence.0).unwrap_or(i64::MAX));
        self.node.metrics.leader.fence.set(gauge_value);
        let kind = if fence.is_some() { "duty-held" } else { "duty-lost" };
        let fields = json!({
            "fence": fence.map(|fence| fence.0), "before": self.fence.map(|fence| fence.0),
        });
        self.node.log.record(kind, fields);
        if fence.is_some() && fence != self.state_fence {
            self.planners.clear();
            self.reported.clear();
            self.state_fence = fence;
        }
        self.fence = fence;
    }
}

fn describe_outcome(outcome: &Result<OrderOutcome, PlatformCallError>) -> String {
    match outcome {
        Ok(OrderOutcome::Accepted) => "accepted".to_owned(),
        Ok(OrderOutcome::Unavailable) => "unavailable".to_owned(),
        Ok(OrderOutcome::Refused(status)) => format!("refused with {status}"),
        Err(error) => error.to_string(),
    }
}

/// Finds the leader record among the rows returned with a conflict.
fn decode_leader_row(rows: &[StoreRow]) -> (Option<LeaderRecord>, RowVersion) {
    let row = rows.iter().find(|row| row.key == LEADER_ROW_KEY);
    let version = row.map_or(RowVersion(0), |row| row.version);
    let record = row.and_then(|row| row.value.as_deref()).and_then(|value| {
        match decode_record(LEADER_ROW_KEY, value) {
            Ok(Some(SharedRecord::Duty(record))) => Some(record),
            _ => None,
        }
    });
    (record, version)
}
