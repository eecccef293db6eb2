//! Synchronizes what the nodes share: members, the leader record and committed usage.
//!
//! The nodes that read the store publish the heartbeats of their followers in one row each, and
//! relay the list of members to them. A follower writes to the store only if no reader responds.

use std::{rc::Rc, time::Duration};

use rand::random;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        member_list::MemberIdentity,
        members::{NodeHeartbeat, is_lapsed},
        usage::WindowIndex,
    },
    ids::{Incarnation, NodeName, RowVersion},
};
use samphiredeck_platform::store::{StoreKey, StoreRow, StoreRows, StoreTransaction};
use samphiredeck_wire::record::{
    LEADER_ROW_KEY, SECRET_ROW_KEY, SHARED_TABLE, SharedRecord, decode_record, encode_record,
    group_key, is_group_key, suspects_key, versions_key,
};
use serde_json::json;
use tokio::time::sleep;

use crate::forward::{
    agreed_rows::sync_agreed_rows,
    clock,
    dependency::{DependencyMonitor, STORE_TIMEOUT, sleep_with_jitter},
    heartbeats::{apply_member_count, own_heartbeat, send_to_reader},
    name_rows::{NameRows, publish_names},
    node::ForwardNode,
    peer_messages,
    platform_client::{PlatformCallError, PlatformClient},
    state::ForwardState,
    store_returns::notice_return,
    suspect_rows::{encode_suspects, merge_suspects},
    version_rows::{encode_versions, merge_versions},
};

/// Interval between reads of the shared rows by the leader, which orders capacity for the demand in
/// them.
const LEADER_PERIOD: Duration = Duration::from_secs(1);
/// Interval between reads of the shared rows by other readers.
const SHARED_PERIOD: Duration = Duration::from_millis(1_500);
/// Minimum interval between reads by a follower whose reader holds another list.
const REFETCH_PERIOD: Duration = Duration::from_millis(1_500);
/// Time without a relayed list after which a follower reads the rows itself.
const RELAY_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Interval between the heartbeats of a follower to its reader.
const FOLLOWER_PERIOD: Duration = Duration::from_millis(900);
/// Time without a reply to a heartbeat after which a follower publishes a row of its own.
const UNPUBLISHED_MAX: Duration = Duration::from_millis(2_800);
/// Maximum interval between writes of a group's row.
const PUBLISH_PERIOD: Duration = Duration::from_millis(2_200);
/// Minimum interval between writes because of changes of the group, so that several are published
/// together.
const CHANGE_PERIOD: Duration = Duration::from_millis(400);
/// Time after the end of a window at which its counts are complete and due for publishing, in
/// milliseconds: the counting delay and one heartbeat of each follower.
const COUNTS_DUE_MS: i64 = 2_050;
/// Delay of a write after the counts are complete, since sleep times vary.
const PUBLISH_DELAY: Duration = Duration::from_millis(100);
/// Time after its last write for which a node that no longer publishes leaves its row in place. By
/// then its followers have sent their counts elsewhere.
const ABANDONED_AFTER: Duration = Duration::from_secs(6);
/// Maximum delay of the first write when no other node of the failure domain is alive, as at the
/// start of the whole system. Most nodes then find one that publishes already.
const BOOTSTRAP_SPREAD: Duration = Duration::from_secs(1);
/// Time that a node which finds others alive takes to choose its reader. Until then it does not
/// publish a row of its own.
const READER_CHOICE_TIME: Duration = Duration::from_millis(800);
/// Longest sleep of the loop, so that changes are noticed.
const WAKE_PERIOD: Duration = Duration::from_millis(300);

/// Schedule of the reads and writes of the shared rows.
#[derive(Debug, Default)]
struct SyncSchedule {
    read_at: Option<BootTime>,
    /// Whether this node has looked for live nodes before it joins them.
    has_looked_for_others: bool,
    /// Time until which this node waits for a reader instead of publishing a row of its own.
    waits_until: BootTime,
    /// Time of the last attempt to publish this node's heartbeat.
    sent_at: Option<BootTime>,
    /// Time of the last write of this node's own row, if it may still exist.
    written_at: Option<BootTime>,
    /// Newest window whose counts were complete at that write.
    window: Option<WindowIndex>,
}

/// Reads the shared rows and publishes this node's heartbeat.
pub async fn sync_shared_rows(node: Rc<ForwardNode>) {
    let mut client = PlatformClient::store(&node, "shared rows");
    let mut monitor = DependencyMonitor::new(&node, "shared rows");
    let mut schedule = SyncSchedule::default();
    let mut names = NameRows::default();
    loop {
        if schedule.time_until_read(&node).is_zero() {
            match read_rows(&node, &mut client, &mut schedule).await {
                Ok(ReadStep::Applied) => monitor.record_success(),
                Ok(ReadStep::LookAgain) => {
                    sleep(BOOTSTRAP_SPREAD.mul_f64(random())).await;
                    continue;
                }
                Err(error) => {
                    monitor.record_failure(&error).await;
                    continue;
                }
            }
        }
        if let Err(error) = publish(&node, &mut client, &mut schedule).await {
            monitor.record_failure(&error).await;
        }
        if let Err(error) = publish_names(&node, &mut client, &mut names).await {
            monitor.record_failure(&error).await;
        }
        let wait = schedule.time_until_read(&node).min(schedule.time_until_publish(&node));
        sleep_with_jitter(wait.clamp(Duration::from_millis(20), WAKE_PERIOD)).await;
    }
}

/// Result of a read of the shared rows.
enum ReadStep {
    /// The rows were applied.
    Applied,
    /// No other node of the failure domain is alive yet, and others may be starting.
    LookAgain,
}

/// Reads the shared rows and applies them.
async fn read_rows(
    node: &Rc<ForwardNode>,
    client: &mut PlatformClient,
    schedule: &mut SyncSchedule,
) -> Result<ReadStep, PlatformCallError> {
    let sent_at = clock::now();
    let known_windows = node.state().agreed_windows.known();
    let response = client.read_table(SHARED_TABLE, STORE_TIMEOUT).await?;
    if !std::mem::replace(&mut schedule.has_looked_for_others, true) {
        if !response.rows.iter().any(|row| is_group_key(&row.key)) {
            node.state().record_vacancy(clock::now());
        }
        if !has_live_neighbours(node, &response, sent_at) {
            return Ok(ReadStep::LookAgain);
        }
    }
    if notice_return(node, &response, sent_at) {
        return Ok(ReadStep::Applied);
    }
    if node.state().vacant_from.is_some() {
        let heartbeats = decode_groups(&response.rows);
        let funded = node.state().fund_first_start(&heartbeats, &node.settings().name, sent_at);
        if let Some(nodes) = funded {
            node.log.record("first-start", json!({ "nodes": nodes }));
        }
    }
    let is_first = schedule.read_at.is_none();
    schedule.read_at = Some(sent_at);
    if is_first && decode_groups(&response.rows).is_empty() {
        node.state().upstreams.versions.record_first_start();
    }
    if is_first && response.rows.iter().any(|row| row.key == own_key(node)) {
        schedule.written_at = Some(sent_at);
    }
    handle_response(node, &response, client, sent_at).await;
    sync_agreed_rows(node, &response, &known_windows, client).await?;
    if is_first && has_neighbours(node, &node.state()) {
        schedule.waits_until = sent_at + READER_CHOICE_TIME;
    }
    Ok(ReadStep::Applied)
}

/// Whether other nodes of this failure domain are alive, or this node itself was until recently.
fn has_live_neighbours(node: &ForwardNode, response: &StoreRows, sent_at: BootTime) -> bool {
    let mut state = node.state();
    state.clock.add_sample(sent_at, clock::now(), response.clock_ms);
    observe_members(&mut state, &response.rows, response.clock_ms);
    let is_restart = state.members.peer_address(&node.settings().name).is_some();
    is_restart || has_neighbours(node, &state)
}

/// Whether other nodes of this failure domain are alive, as far as known.
fn has_neighbours(node: &ForwardNode, state: &ForwardState) -> bool {
    let settings = node.settings();
    let is_neighbour =
        |entry: &MemberIdentity| entry.domain == settings.domain && entry.node != settings.name;
    state.members.list().entries().iter().any(is_neighbour)
}

fn own_key(node: &ForwardNode) -> String {
    group_key(&node.settings().name)
}

impl SyncSchedule {
    /// Time until the next read of the rows.
    fn time_until_read(&self, node: &ForwardNode) -> Duration {
        let Some(read_at) = self.read_at else { return Duration::ZERO };
        let now = clock::now();
        let state = node.state();
        if state.awaits_first_funding(now) && self.sent_at > self.read_at {
            return Duration::ZERO;
        }
        let is_leader = state.leader_lease.fence(now).is_some();
        let is_frequent = state.reader.is_none()
            || is_leader
            || state.leader_lease.needs_read()
            || node.store_eras.borrow().is_untold()
            || node.peer_socket.borrow().is_none();
        let is_unrelayed = state.members_relayed_at.is_none_or(|at| now.since(at) >= RELAY_TIMEOUT);
        // A node that has just begun to follow another and that one may relay their old lists to each other.
        let was_reader = self.written_at.is_some();
        let period = if is_leader {
            LEADER_PERIOD
        } else if is_frequent {
            SHARED_PERIOD
        } else if state.members_differ || is_unrelayed || was_reader {
            REFETCH_PERIOD
        } else {
            Duration::MAX
        };
        period.saturating_sub(now.since(read_at))
    }

    /// Whether this node publishes a row of its own.
    fn publishes(&self, node: &ForwardNode) -> bool {
        let now = clock::now();
        let state = node.state();
        if now < self.waits_until {
            return false;
        }
        state.reader.is_none()
            || state.group.has_followers(&node.settings().name, now)
            || state.published_at.unwrap_or(self.waits_until) + UNPUBLISHED_MAX <= now
    }

    /// Time until the heartbeat has to be published again.
    fn time_until_publish(&self, node: &ForwardNode) -> Duration {
        let now = clock::now();
        let Some(sent_at) = self.sent_at else { return Duration::ZERO };
        let since = now.since(sent_at);
        if !self.publishes(node) {
            return FOLLOWER_PERIOD.saturating_sub(since);
        }
        let window = newest_complete_window(node).map(|(window, _)| window);
        if self.written_at.is_none() || window > self.window {
            return Duration::ZERO;
        }
        let has_changed = {
            let state = node.state();
            state.group.has_changed() || state.has_unpublished_suspects(now)
        };
        let period = if has_changed { CHANGE_PERIOD } else { PUBLISH_PERIOD };
        period.saturating_sub(since).min(time_until_counts_due(node))
    }
}

/// Publishes this node's heartbeat if it is due, through its reader or in a row of its own.
async fn publish(
    node: &Rc<ForwardNode>,
    client: &mut PlatformClient,
    schedule: &mut SyncSchedule,
) -> Result<(), PlatformCallError> {
    let now = clock::now();
    if schedule.publishes(node) {
        if schedule.time_until_publish(node).is_zero() {
            schedule.sent_at = Some(now);
            let window = newest_complete_window(node).map(|(window, _)| window);
            write_group(node, client, false).await?;
            node.state().record_published(now);
            schedule.written_at = Some(now);
            schedule.window = window;
        }
        return Ok(());
    }
    if schedule.time_until_publish(node).is_zero() {
        schedule.sent_at = Some(now);
        if send_to_reader(node, false).await {
            node.state().record_published(now);
        }
    }
    if schedule.written_at.is_some_and(|at| now.since(at) >= ABANDONED_AFTER) {
        schedule.written_at = None;
        let name = node.settings().name.clone();
        let keys = [own_key(node), versions_key(&name), suspects_key(&name)];
        let removals = keys.into_iter().map(shared_key).collect();
        node.state().published_suspects = Some(Vec::new());
        let removal = StoreTransaction { removals, ..StoreTransaction::default() };
        client.transact(&removal, STORE_TIMEOUT).await?;
    }
    Ok(())
}

/// Key of a row that the nodes share.
pub fn shared_key(key: String) -> StoreKey {
    StoreKey { table: SHARED_TABLE.to_owned(), key }
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
    apply_shared_rows(node, response);
    if node.peer_socket.borrow().is_none() {
        join_peers(node, &response.rows, client).await;
    }
}

/// Sets the incarnation of this node and restores what its previous run published.
fn init_incarnation(node: &ForwardNode, response: &StoreRows) {
    let incarnation = Incarnation(response.newest.0);
    node.incarnation.set(Some(incarnation));
    let settings = node.settings();
    let mut state = node.state();
    state.leader_lease.set_incarnation(incarnation);
    let started_ms = i64::try_from(response.clock_ms).unwrap_or(i64::MAX);
    state.since_ms = Some(started_ms);
    // The row of an earlier run may be the only place that holds the counts of its followers.
    let own_key = group_key(&settings.name);
    let own_rows: Vec<StoreRow> =
        response.rows.iter().filter(|row| row.key == own_key).cloned().collect();
    for (follower, heartbeat) in decode_groups(&own_rows) {
        state.group.record(&follower, heartbeat, clock::now());
    }
    let suspects_key = suspects_key(&settings.name);
    if response.rows.iter().any(|row| row.key == suspects_key) {
        state.published_suspects = None;
    }
    for (_, heartbeat) in
        decode_groups(&response.rows).iter().filter(|(name, _)| *name == settings.name)
    {
        state.usage_ledger.restore(&heartbeat.windows);
        let age_ms = u64::try_from(started_ms.saturating_sub(heartbeat.beat_ms)).unwrap_or(0);
        let lapsed = is_lapsed(Duration::from_millis(age_ms));
        if heartbeat.peer == settings.listen.peer && !lapsed {
            state.since_ms = Some(heartbeat.since_ms.min(started_ms));
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
    let key = shared_key(SECRET_ROW_KEY.to_owned());
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

/// Heartbeats of all groups in `rows`, with one entry for each node and group.
fn decode_groups(rows: &[StoreRow]) -> Vec<(NodeName, NodeHeartbeat)> {
    let mut heartbeats = Vec::new();
    for row in rows {
        let decoded = row.value.as_deref().map(|value| decode_record(&row.key, value));
        if let Some(Ok(Some(SharedRecord::Group(_, members)))) = decoded {
            heartbeats.extend(members);
        }
    }
    heartbeats
}

/// Updates the members from the groups in `rows`, read when the store's clock showed `clock_ms`.
fn observe_members(state: &mut ForwardState, rows: &[StoreRow], clock_ms: u64) {
    let mut heartbeats = decode_groups(rows);
    heartbeats.extend(state.group.heartbeats());
    state.members.observe(heartbeats, i64::try_from(clock_ms).unwrap_or(i64::MAX));
}

/// Applies the shared rows to the state.
fn apply_shared_rows(node: &ForwardNode, response: &StoreRows) {
    let now = clock::now();
    let own = own_heartbeat(node, false);
    let mut state = node.state();
    let mut leader_row = (None, RowVersion(0));
    for row in &response.rows {
        let decoded = row.value.as_deref().map(|value| decode_record(&row.key, value));
        match decoded {
            Some(Ok(Some(SharedRecord::Duty(record)))) => leader_row = (Some(record), row.version),
            Some(Ok(Some(SharedRecord::Versions(published)))) => {
                merge_versions(&mut state, &published, now);
            }
            Some(Ok(Some(SharedRecord::Suspects(published)))) => {
                merge_suspects(node, &mut state, published, now);
            }
            Some(Ok(_)) | None => {}
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
    let count_before = state.members.count();
    if let Some(heartbeat) = own {
        state.group.record(&node.settings().name, heartbeat, now);
    }
    observe_members(&mut state, &response.rows, response.clock_ms);
    state.members_differ = false;
    state.members_relayed_at = Some(now);
    apply_member_count(node, &mut state, count_before);
    if !(leader_row.0.is_none() && leader_row.1 != RowVersion(0)) {
        let era = response.newest.era();
        state.leader_lease.observe(leader_row.0, (era, leader_row.1), now);
    }
    let mut offsets = state.members.offsets();
    if offsets.is_empty() {
        // No node has published an offset yet, since the whole cluster has just started.
        offsets.extend(state.clock.own_offset(now, clock::wall_ms()));
    }
    state.clock.update_offset(offsets);
}

/// Newest window whose counts are complete, and the milliseconds since then.
fn newest_complete_window(node: &ForwardNode) -> Option<(WindowIndex, i64)> {
    let length = node.settings().bounds.usage_window.to_duration();
    let now_ms = node.state().clock.unix_ms(clock::now())? - COUNTS_DUE_MS;
    let window = WindowIndex(WindowIndex::of(now_ms, length).0 - 1);
    Some((window, now_ms - window.end_ms(length)))
}

/// Time until the counts of the next window are complete.
fn time_until_counts_due(node: &ForwardNode) -> Duration {
    let length = node.settings().bounds.usage_window.to_duration();
    let since = newest_complete_window(node).map_or(Duration::ZERO, |(_, since_ms)| {
        Duration::from_millis(u64::try_from(since_ms).unwrap_or(0))
    });
    length.saturating_sub(since) + PUBLISH_DELAY
}

/// Publishes the remaining counts of this node, and those of its followers, before it exits.
pub async fn publish_final_counts(node: &Rc<ForwardNode>) {
    let has_followers = node.state().group.has_followers(&node.settings().name, clock::now());
    if !has_followers && send_to_reader(node, true).await {
        return;
    }
    let mut client = PlatformClient::store(node, "shared rows");
    if let Err(error) = write_group(node, &mut client, true).await {
        node.log.record("counts-unpublished", json!({ "reason": error.to_string() }));
    }
}

/// Writes the row with the heartbeats of this node's group.
async fn write_group(
    node: &ForwardNode,
    client: &mut PlatformClient,
    is_final: bool,
) -> Result<(), PlatformCallError> {
    let Some(heartbeat) = own_heartbeat(node, is_final) else { return Ok(()) };
    let heartbeats = {
        let mut state = node.state();
        state.group.record(&node.settings().name, heartbeat, clock::now());
        state.group.record_published();
        state.group.heartbeats()
    };
    let value = match encode_record(&heartbeats) {
        Ok(value) => value,
        Err(error) => {
            node.log.record("beat-unwritable", json!({ "reason": error.to_string() }));
            return Ok(());
        }
    };
    let mut writes = vec![(shared_key(own_key(node)), value)];
    writes.extend(encode_versions(node));
    let mut removals = Vec::new();
    match encode_suspects(node) {
        Some((key, Some(value))) => writes.push((key, value)),
        Some((key, None)) => removals.push(key),
        None => {}
    }
    let transaction = StoreTransaction { writes, removals, ..StoreTransaction::default() };
    let written = client.transact(&transaction, STORE_TIMEOUT).await;
    if written.is_err() {
        // Whether the row has been written is not known.
        node.state().published_suspects = None;
    }
    written.map(drop)
}
