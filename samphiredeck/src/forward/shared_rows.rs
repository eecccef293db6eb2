//! Synchronizes the rows that the nodes share in the platform's store: members, the leader record
//! and committed usage.

use std::{rc::Rc, time::Duration};

use rand::random;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::usage::WindowIndex,
    ids::{Incarnation, RowVersion},
};
use samphiredeck_platform::store::{StoreKey, StoreRow, StoreRows, StoreTransaction};
use samphiredeck_wire::record::{
    LEADER_ROW_KEY, SECRET_ROW_KEY, SHARED_TABLE, SharedRecord, decode_record, encode_record,
    node_key,
};
use serde_json::json;

use crate::forward::{
    clock,
    dependency::{DependencyMonitor, STORE_TIMEOUT, sleep_with_jitter},
    node::ForwardNode,
    peer_messages,
    platform_client::{PlatformCallError, PlatformClient},
};

/// Interval between reads of the shared rows by readers and by the leader.
const SHARED_PERIOD: Duration = Duration::from_millis(1_500);
/// Interval between reads by all other nodes. They see a joining node within this time plus a
/// response time, before it may become a quota owner.
const FOLLOWER_PERIOD: Duration = Duration::from_millis(4_500);
/// Maximum interval between writes of this node's own row.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(2_800);
/// Time after the end of a window at which its counts are complete and due for publishing, in
/// milliseconds. Together with the counting delay, it ensures that a killed node leaves at most one
/// window incomplete.
const COUNTS_DUE_MS: i64 = 1_050;
/// Delay of a write after the counts are complete, since sleep times vary.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(100);

/// Reads the shared rows and writes this node's own row.
pub async fn sync_shared_rows(node: Rc<ForwardNode>) {
    let mut client = PlatformClient::store(&node, "shared rows");
    let mut monitor = DependencyMonitor::new(&node, "shared rows");
    let mut schedule = HeartbeatSchedule::default();
    let mut read_at: Option<BootTime> = None;
    loop {
        if time_until_read(&node, read_at).is_zero() {
            let sent_at = clock::now();
            match client.read_table(SHARED_TABLE, STORE_TIMEOUT).await {
                Ok(response) => {
                    monitor.record_success();
                    handle_response(&node, &response, &mut client, sent_at).await;
                    read_at = Some(sent_at);
                }
                Err(error) => {
                    monitor.record_failure(&error).await;
                    continue;
                }
            }
        }
        if schedule.is_due(&node) {
            match write_heartbeat(&node, &mut client, false).await {
                Ok(()) => schedule.record_write(&node),
                Err(error) => monitor.record_failure(&error).await,
            }
        }
        sleep_with_jitter(time_until_read(&node, read_at).min(schedule.time_until_due(&node)))
            .await;
    }
}

/// Time until the next read of the rows, if the last one was at `read_at`.
fn time_until_read(node: &ForwardNode, read_at: Option<BootTime>) -> Duration {
    let Some(read_at) = read_at else { return Duration::ZERO };
    let now = clock::now();
    let state = node.state();
    let is_frequent = state.reader.is_none()
        || state.leader_lease.fence(now).is_some()
        || state.leader_lease.needs_read()
        || node.peer_socket.borrow().is_none();
    let period = if is_frequent { SHARED_PERIOD } else { FOLLOWER_PERIOD };
    period.saturating_sub(now.since(read_at))
}

async fn handle_response(
    node: &Rc<ForwardNode>,
    response: &StoreRows,
    client: &mut PlatformClient,
    sent_at: BootTime,
) {
    node.state().clock.add_sample(sent_at, clock::now(), response.clock_ms);
    if node.incarnation.get().is_none() {
        init_incarnation(node, response);
    }
    apply_shared_rows(node, &response.rows);
    if node.peer_socket.borrow().is_none() {
        join_peers(node, &response.rows, client).await;
    }
}

/// Sets the incarnation of this node and restores what its previous run published.
fn init_incarnation(node: &ForwardNode, response: &StoreRows) {
    let incarnation = Incarnation(response.newest.0);
    node.incarnation.set(Some(incarnation));
    let settings = node.settings();
    let own_key = node_key(&settings.name);
    let mut state = node.state();
    state.leader_lease.set_incarnation(incarnation);
    let started_ms = i64::try_from(response.clock_ms).unwrap_or(i64::MAX);
    state.since_ms = Some(started_ms);
    for row in response.rows.iter().filter(|row| row.key == own_key) {
        let decoded = row.value.as_deref().map(|value| decode_record(&row.key, value));
        if let Some(Ok(Some(SharedRecord::Node(_, heartbeat)))) = decoded {
            state.usage_ledger.restore(&heartbeat.windows);
            if heartbeat.peer == settings.listen.peer {
                state.since_ms = Some(heartbeat.since_ms.min(started_ms));
            }
        }
    }
    node.log.record("identified", json!({ "incarnation": incarnation.0 }));
}

/// Opens the peer socket with the secret in the store. The first node creates the secret.
async fn join_peers(node: &Rc<ForwardNode>, rows: &[StoreRow], client: &mut PlatformClient) {
    let found = rows.iter().find(|row| row.key == SECRET_ROW_KEY);
    let decoded = found.and_then(|row| decode_record(&row.key, row.value.as_deref()?).ok());
    if let Some(Some(SharedRecord::Secret(secret))) = decoded {
        peer_messages::open_peer_socket(node, &secret);
        return;
    }
    let secret = format!("{:032x}{:032x}", random::<u128>(), random::<u128>());
    let Ok(value) = encode_record(&secret) else { return };
    let key = StoreKey { table: SHARED_TABLE.to_owned(), key: SECRET_ROW_KEY.to_owned() };
    let transaction = StoreTransaction {
        expected: vec![(key.clone(), RowVersion(0))],
        writes: vec![(key, value)],
        removals: Vec::new(),
    };
    // The next read returns the secret, whichever node wrote it.
    if let Err(error) = client.transact(&transaction, STORE_TIMEOUT).await {
        node.log.record("secret-unwritten", json!({ "reason": error.to_string() }));
    }
}

/// Applies the shared rows to the state.
fn apply_shared_rows(node: &ForwardNode, rows: &[StoreRow]) {
    let now = clock::now();
    let mut state = node.state();
    let mut members = Vec::new();
    let mut leader_row = (None, RowVersion(0));
    for row in rows {
        let decoded = row.value.as_deref().map(|value| decode_record(&row.key, value));
        match decoded {
            Some(Ok(Some(SharedRecord::Node(name, heartbeat)))) => {
                members.push((name, row.version, heartbeat));
            }
            Some(Ok(Some(SharedRecord::Duty(record)))) => leader_row = (Some(record), row.version),
            Some(Ok(Some(SharedRecord::Usage(_) | SharedRecord::Secret(_)) | None)) | None => {}
            Some(Err(error)) => {
                // Prevents nodes from overwriting a leader record that they cannot decode.
                if row.key == LEADER_ROW_KEY {
                    leader_row.1 = row.version;
                }
                let fields = json!({ "key": row.key, "reason": error.to_string() });
                node.log.record("shared-unreadable", fields);
            }
        }
    }
    let count_before = state.members.count(now);
    state.members.observe(members, now);
    let count = state.members.count(now);
    if count != count_before {
        node.log.record("members", json!({ "count": count, "before": count_before }));
    }
    if !(leader_row.0.is_none() && leader_row.1 != RowVersion(0)) {
        state.leader_lease.observe(leader_row.0, leader_row.1, now);
    }
    state.retry_budget.set_nodes(count);
    state.local_quota.set_nodes(count);
    let mut offsets = state.members.offsets(now);
    if offsets.is_empty() {
        // No node has published an offset yet, since the whole cluster has just started.
        offsets.extend(state.clock.own_offset(now, clock::wall_ms()));
    }
    state.clock.update_offset(offsets);
    node.metrics.nodes.set(i64::from(count));
}

/// Schedule of the writes of this node's row: soon after the end of each window, and at least once
/// per period.
#[derive(Debug, Default)]
struct HeartbeatSchedule {
    written_at: Option<BootTime>,
    /// Newest window whose counts were complete at the last write.
    window: Option<WindowIndex>,
}

/// Newest window whose counts are complete, and the milliseconds since then.
fn newest_complete_window(node: &ForwardNode) -> Option<(WindowIndex, i64)> {
    let length = node.settings().bounds.usage_window.to_duration();
    let now_ms = node.state().clock.unix_ms(clock::now())? - COUNTS_DUE_MS;
    let window = WindowIndex(WindowIndex::of(now_ms, length).0 - 1);
    Some((window, now_ms - window.end_ms(length)))
}

impl HeartbeatSchedule {
    fn is_due(&self, node: &ForwardNode) -> bool {
        let now = clock::now();
        let old = self.written_at.is_none_or(|at| now.since(at) >= HEARTBEAT_PERIOD);
        old || newest_complete_window(node).map(|(window, _)| window) > self.window
    }

    /// Time until the next write is due.
    fn time_until_due(&self, node: &ForwardNode) -> Duration {
        if self.is_due(node) {
            return Duration::ZERO;
        }
        let since = self.written_at.map_or(HEARTBEAT_PERIOD, |at| clock::now().since(at));
        HEARTBEAT_PERIOD.saturating_sub(since).min(time_until_counts_due(node))
    }

    fn record_write(&mut self, node: &ForwardNode) {
        self.written_at = Some(clock::now());
        self.window = newest_complete_window(node).map(|(window, _)| window);
    }
}

/// Time until the counts of the next window are complete.
fn time_until_counts_due(node: &ForwardNode) -> Duration {
    let length = node.settings().bounds.usage_window.to_duration();
    let since = newest_complete_window(node).map_or(Duration::ZERO, |(_, since_ms)| {
        Duration::from_millis(u64::try_from(since_ms).unwrap_or(0))
    });
    length.saturating_sub(since) + HEARTBEAT_DELAY
}

/// Publishes the remaining counts of this node before it exits.
pub async fn publish_final_counts(node: &ForwardNode) {
    let mut client = PlatformClient::store(node, "shared rows");
    if let Err(error) = write_heartbeat(node, &mut client, true).await {
        node.log.record("counts-unpublished", json!({ "reason": error.to_string() }));
    }
}

async fn write_heartbeat(
    node: &ForwardNode,
    client: &mut PlatformClient,
    is_final: bool,
) -> Result<(), PlatformCallError> {
    let settings = node.settings();
    let Some(incarnation) = node.incarnation.get() else { return Ok(()) };
    let heartbeat = node.state().heartbeat(
        incarnation,
        settings.listen.peer,
        settings.domain.clone(),
        is_final,
        clock::now(),
    );
    let value = match encode_record(&heartbeat) {
        Ok(value) => value,
        Err(error) => {
            node.log.record("beat-unwritable", json!({ "reason": error.to_string() }));
            return Ok(());
        }
    };
    let key = StoreKey { table: SHARED_TABLE.to_owned(), key: node_key(&settings.name) };
    let transaction =
        StoreTransaction { writes: vec![(key, value)], ..StoreTransaction::default() };
    client.transact(&transaction, STORE_TIMEOUT).await.map(drop)
}
