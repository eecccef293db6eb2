//! Rows that the nodes share in the platform's store: members, the duty, agreed usage.

use std::{rc::Rc, time::Duration};

use rand::random;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::usage::WindowIndex,
    ids::{Incarnation, RowVersion},
};
use samphiredeck_platform::store::{StoreKey, StoreRow, StoreRows, StoreTransaction};
use samphiredeck_wire::record::{
    DUTY_KEY, SECRET_KEY, SHARED_TABLE, SharedRecord, decode_record, encode_record, node_key,
};
use serde_json::json;

use crate::forward::{
    clock,
    dependency::{ANSWER_TIMEOUT, DependencyState, sleep_about},
    node::ForwardNode,
    peer_messages,
    platform_client::{CallError, PlatformLink},
};

/// Time between two reads of the shared rows by nodes that read for others or act for all.
const SHARED_PERIOD: Duration = Duration::from_millis(1_500);
/// Time between two reads by the others. A node that joins is read of within this time and that of
/// an answer, before it may be a home of limits.
const FOLLOWER_PERIOD: Duration = Duration::from_millis(4_500);
/// Longest time between two writes of this node's own row.
const BEAT_PERIOD: Duration = Duration::from_millis(2_800);
/// Time after the end of a window at which its counts are complete and published, in milliseconds.
/// Together with the delay of counts it keeps a kill from spoiling more than one window.
const COUNTS_DUE_MS: i64 = 1_050;
/// Time by which writes follow the moment at which counts are complete, since sleeps vary.
const BEAT_SPREAD: Duration = Duration::from_millis(100);

/// Reads the rows that the nodes share and writes this node's own.
pub async fn share_rows(node: Rc<ForwardNode>) {
    let mut link = PlatformLink::store(&node, "shared rows");
    let mut store = DependencyState::new(&node, "shared rows");
    let mut beat = BeatPacer::default();
    let mut read_at: Option<BootTime> = None;
    loop {
        if until_read(&node, read_at).is_zero() {
            let asked_at = clock::now();
            match link.read_table(SHARED_TABLE, ANSWER_TIMEOUT).await {
                Ok(answer) => {
                    store.answered();
                    take_answer(&node, &answer, &mut link, asked_at).await;
                    read_at = Some(asked_at);
                }
                Err(error) => {
                    store.failed(&error).await;
                    continue;
                }
            }
        }
        if beat.is_due(&node) {
            match write_beat(&node, &mut link, false).await {
                Ok(()) => beat.note_written(&node),
                Err(error) => store.failed(&error).await,
            }
        }
        sleep_about(until_read(&node, read_at).min(beat.until_due(&node))).await;
    }
}

/// Time until the rows have to be read, if they were read last at `read_at`.
fn until_read(node: &ForwardNode, read_at: Option<BootTime>) -> Duration {
    let Some(read_at) = read_at else { return Duration::ZERO };
    let now = clock::now();
    let beliefs = node.beliefs();
    let often = beliefs.reader.is_none()
        || beliefs.duty.fence(now).is_some()
        || beliefs.duty.needs_read()
        || node.peers.borrow().is_none();
    let period = if often { SHARED_PERIOD } else { FOLLOWER_PERIOD };
    period.saturating_sub(now.since(read_at))
}

async fn take_answer(
    node: &Rc<ForwardNode>,
    answer: &StoreRows,
    link: &mut PlatformLink,
    asked_at: BootTime,
) {
    node.beliefs().clock.add_sample(asked_at, clock::now(), answer.clock_ms);
    if node.incarnation.get().is_none() {
        identify(node, answer);
    }
    take_shared(node, &answer.rows);
    if node.peers.borrow().is_none() {
        join_peers(node, &answer.rows, link).await;
    }
}

/// Finds out which run of the node this is, and takes over what the one before published.
fn identify(node: &ForwardNode, answer: &StoreRows) {
    let incarnation = Incarnation(answer.newest.0);
    node.incarnation.set(Some(incarnation));
    let settings = node.settings();
    let own = node_key(&settings.name);
    let mut beliefs = node.beliefs();
    beliefs.duty.set_incarnation(incarnation);
    let started_ms = i64::try_from(answer.clock_ms).unwrap_or(i64::MAX);
    beliefs.since_ms = Some(started_ms);
    for row in answer.rows.iter().filter(|row| row.key == own) {
        let decoded = row.value.as_deref().map(|value| decode_record(&row.key, value));
        if let Some(Ok(Some(SharedRecord::Node(_, beat)))) = decoded {
            beliefs.ledger.restore(&beat.windows);
            if beat.peer == settings.listen.peer {
                beliefs.since_ms = Some(beat.since_ms.min(started_ms));
            }
        }
    }
    node.journal.note("identified", json!({ "incarnation": incarnation.0 }));
}

/// Opens the datagrams to other nodes with the secret in the store. The first node puts it there.
async fn join_peers(node: &Rc<ForwardNode>, rows: &[StoreRow], link: &mut PlatformLink) {
    let found = rows.iter().find(|row| row.key == SECRET_KEY);
    let decoded = found.and_then(|row| decode_record(&row.key, row.value.as_deref()?).ok());
    if let Some(Some(SharedRecord::Secret(secret))) = decoded {
        peer_messages::open_peers(node, &secret);
        return;
    }
    let secret = format!("{:032x}{:032x}", random::<u128>(), random::<u128>());
    let Ok(value) = encode_record(&secret) else { return };
    let key = StoreKey { table: SHARED_TABLE.to_owned(), key: SECRET_KEY.to_owned() };
    let change = StoreTransaction {
        expected: vec![(key.clone(), RowVersion(0))],
        writes: vec![(key, value)],
        removals: Vec::new(),
    };
    // Whoever wrote it, the next read shows it.
    if let Err(error) = link.change(&change, ANSWER_TIMEOUT).await {
        node.journal.note("secret-unwritten", json!({ "reason": error.to_string() }));
    }
}

/// Takes in the shared rows.
fn take_shared(node: &ForwardNode, rows: &[StoreRow]) {
    let now = clock::now();
    let mut beliefs = node.beliefs();
    let mut members = Vec::new();
    let mut duty = (None, RowVersion(0));
    for row in rows {
        let decoded = row.value.as_deref().map(|value| decode_record(&row.key, value));
        match decoded {
            Some(Ok(Some(SharedRecord::Node(name, beat)))) => {
                members.push((name, row.version, beat));
            }
            Some(Ok(Some(SharedRecord::Duty(record)))) => duty = (Some(record), row.version),
            Some(Ok(Some(SharedRecord::Usage(_) | SharedRecord::Secret(_)) | None)) | None => {}
            Some(Err(error)) => {
                // A duty row that can't be read is overwritten by nobody.
                if row.key == DUTY_KEY {
                    duty.1 = row.version;
                }
                let fields = json!({ "key": row.key, "reason": error.to_string() });
                node.journal.note("shared-unreadable", fields);
            }
        }
    }
    let count_before = beliefs.members.count(now);
    beliefs.members.observe(members, now);
    let count = beliefs.members.count(now);
    if count != count_before {
        node.journal.note("members", json!({ "count": count, "before": count_before }));
    }
    if !(duty.0.is_none() && duty.1 != RowVersion(0)) {
        beliefs.duty.observe(duty.0, duty.1, now);
    }
    beliefs.repeats.set_nodes(count);
    beliefs.purse.set_nodes(count);
    let mut offsets = beliefs.members.offsets(now);
    if offsets.is_empty() {
        // Nobody has published yet: the whole system has just started.
        offsets.extend(beliefs.clock.own_offset(now, clock::wall_ms()));
    }
    beliefs.clock.update_offset(offsets);
    node.gauges.nodes.set(i64::from(count));
}

/// When this node writes its row: soon after each window has ended, and at least once a period.
#[derive(Debug, Default)]
struct BeatPacer {
    written_at: Option<BootTime>,
    /// Newest window whose counts were complete in the last write.
    window: Option<WindowIndex>,
}

/// Newest window whose counts are complete now, and the milliseconds since they are.
fn newest_counted(node: &ForwardNode) -> Option<(WindowIndex, i64)> {
    let length = node.settings().bounds.usage_window.to_duration();
    let now_ms = node.beliefs().clock.unix_ms(clock::now())? - COUNTS_DUE_MS;
    let window = WindowIndex(WindowIndex::of(now_ms, length).0 - 1);
    Some((window, now_ms - window.end_ms(length)))
}

impl BeatPacer {
    fn is_due(&self, node: &ForwardNode) -> bool {
        let now = clock::now();
        let old = self.written_at.is_none_or(|at| now.since(at) >= BEAT_PERIOD);
        old || newest_counted(node).map(|(window, _)| window) > self.window
    }

    /// Time until the row has to be written.
    fn until_due(&self, node: &ForwardNode) -> Duration {
        if self.is_due(node) {
            return Duration::ZERO;
        }
        let since = self.written_at.map_or(BEAT_PERIOD, |at| clock::now().since(at));
        BEAT_PERIOD.saturating_sub(since).min(until_counts_due(node))
    }

    fn note_written(&mut self, node: &ForwardNode) {
        self.written_at = Some(clock::now());
        self.window = newest_counted(node).map(|(window, _)| window);
    }
}

/// Time until the counts of the next window are complete.
fn until_counts_due(node: &ForwardNode) -> Duration {
    let length = node.settings().bounds.usage_window.to_duration();
    let since = newest_counted(node).map_or(Duration::ZERO, |(_, since_ms)| {
        Duration::from_millis(u64::try_from(since_ms).unwrap_or(0))
    });
    length.saturating_sub(since) + BEAT_SPREAD
}

/// Publishes what this node has counted, before it ends.
pub async fn publish_last(node: &ForwardNode) {
    let mut link = PlatformLink::store(node, "shared rows");
    if let Err(error) = write_beat(node, &mut link, true).await {
        node.journal.note("counts-unpublished", json!({ "reason": error.to_string() }));
    }
}

async fn write_beat(
    node: &ForwardNode,
    link: &mut PlatformLink,
    last: bool,
) -> Result<(), CallError> {
    let settings = node.settings();
    let Some(incarnation) = node.incarnation.get() else { return Ok(()) };
    let beat = node.beliefs().beat(
        incarnation,
        settings.listen.peer,
        settings.domain.clone(),
        last,
        clock::now(),
    );
    let value = match encode_record(&beat) {
        Ok(value) => value,
        Err(error) => {
            node.journal.note("beat-unwritable", json!({ "reason": error.to_string() }));
            return Ok(());
        }
    };
    let key = StoreKey { table: SHARED_TABLE.to_owned(), key: node_key(&settings.name) };
    let change = StoreTransaction { writes: vec![(key, value)], ..StoreTransaction::default() };
    link.change(&change, ANSWER_TIMEOUT).await.map(drop)
}
