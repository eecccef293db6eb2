//! Readers of the platform's store: the configuration, the upstreams' list, the shared rows.

use std::{rc::Rc, time::Duration};

use rand::random;
use samphiredeck_core::{
    backoff::BackoffState,
    boot_time::BootTime,
    forward::{
        ledger::WindowNumber,
        roster::{ListedUpstream, RosterChange},
    },
    ids::{Incarnation, RowVersion},
};
use samphiredeck_platform::{
    catalog::decode_catalog,
    store::{
        CATALOG_KEY, OPERATOR_TABLE, StoreChange, StoreKey, StoreRow, StoreRows, UPSTREAM_TABLE,
        decode_rows, encode_watch, is_history_lost,
    },
    upstreams::decode_upstream,
};
use samphiredeck_wire::record::{
    DUTY_KEY, SECRET_KEY, SHARED_TABLE, SharedRecord, decode_record, encode_record, node_key,
};
use serde_json::json;
use tokio::time::sleep;

use crate::forward::{
    clock,
    node::ForwardNode,
    peers::PeerTalk,
    platform_link::{CallError, PlatformLink},
};

/// Time for which the store may hold back an answer about the configuration. Well below the
/// admission age, so that one lost answer does not stop the node.
const CONFIG_WAIT: Duration = Duration::from_millis(1_200);
/// Bound on an answer beyond the time for which it may be held back.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time between two reads of the upstreams' list: with the answer, well below the users' bound of
/// two seconds on new work for upstreams that leave.
const LIST_PERIOD: Duration = Duration::from_millis(700);
/// Time between two reads of the shared rows.
const SHARED_PERIOD: Duration = Duration::from_millis(1_500);
/// Longest time between two writes of this node's own row.
const BEAT_PERIOD: Duration = Duration::from_millis(2_800);
/// Time after the end of a window at which its counts are complete and published, in milliseconds.
/// Together with the delay of counts it keeps a kill from spoiling more than one window.
const COUNTS_DUE_MS: i64 = 1_050;
/// Time by which writes follow the moment at which counts are complete, since sleeps vary.
const BEAT_SPREAD: Duration = Duration::from_millis(100);
/// First and longest pause after a call that failed.
const PAUSE_FIRST: Duration = Duration::from_millis(150);
const PAUSE_LONGEST: Duration = Duration::from_millis(500);
/// Share of a period by which it varies, so that nodes don't call together.
const PERIOD_NOISE: f64 = 0.2;

/// A dependency as one reader sees it: logs when it is lost and when it is back.
struct Dependency<'a> {
    node: &'a ForwardNode,
    purpose: &'static str,
    pause: BackoffState,
    lost_at: Option<BootTime>,
}

impl<'a> Dependency<'a> {
    fn new(node: &'a ForwardNode, purpose: &'static str) -> Self {
        let pause = BackoffState::new(PAUSE_FIRST, PAUSE_LONGEST);
        Self { node, purpose, pause, lost_at: None }
    }

    fn answered(&mut self) {
        self.pause.reset();
        if let Some(lost_at) = self.lost_at.take() {
            let lost_ms = clock::now().since(lost_at).as_millis();
            let fields = json!({ "what": self.purpose, "after_ms": lost_ms });
            self.node.journal.note("dependency-back", fields);
        }
    }

    /// Notes a failure and waits before the next try.
    async fn failed(&mut self, error: &CallError) {
        if self.lost_at.is_none() {
            self.lost_at = Some(clock::now());
            let fields = json!({ "what": self.purpose, "reason": error.to_string() });
            self.node.journal.note("dependency-lost", fields);
        }
        sleep(self.pause.next_pause(random())).await;
    }
}

async fn sleep_about(period: Duration) {
    sleep(period.mul_f64(1.0 + (random::<f64>() - 0.5) * PERIOD_NOISE)).await;
}

/// Keeps the configuration up to date.
pub async fn watch_config(node: Rc<ForwardNode>) {
    let mut link = PlatformLink::store(&node, "configuration");
    let mut store = Dependency::new(&node, "configuration");
    let mut known: Option<RowVersion> = None;
    loop {
        let asked_at = clock::now();
        let answer = match known {
            None => link.read_table(OPERATOR_TABLE, ANSWER_TIMEOUT).await,
            Some(after) => ask_changes(&mut link, after).await,
        };
        match answer {
            Ok(answer) => {
                store.answered();
                known = Some(answer.newest);
                take_config(&node, &answer, asked_at);
            }
            Err(error) => {
                if matches!(&error, CallError::Wire(wire) if is_history_lost(wire)) {
                    known = None;
                }
                store.failed(&error).await;
            }
        }
    }
}

async fn ask_changes(link: &mut PlatformLink, after: RowVersion) -> Result<StoreRows, CallError> {
    let call = encode_watch(OPERATOR_TABLE, after, CONFIG_WAIT);
    let (status, body) = link.call(call, CONFIG_WAIT + ANSWER_TIMEOUT).await?;
    Ok(decode_rows(status, &body)?)
}

/// Takes in what the store said of the configuration when asked at `asked_at`.
fn take_config(node: &ForwardNode, answer: &StoreRows, asked_at: BootTime) {
    let mut beliefs = node.beliefs();
    let received_at = clock::now();
    for row in answer.rows.iter().filter(|row| row.key == CATALOG_KEY) {
        let decoded = row.value.as_deref().map(decode_catalog);
        let held = beliefs.catalog.as_ref().map(|catalog| catalog.version());
        match decoded {
            Some(Ok(catalog)) if Some(catalog.version()) > held => {
                let fields = json!({
                    "version": catalog.version().0, "row": row.version.0,
                    "before": held.map(|version| version.0),
                    "routes": catalog.routes().len(),
                    "answered_in_ms": received_at.since(asked_at).as_millis(),
                });
                node.journal.note("config", fields);
                node.gauges.config_version.set(i64::try_from(catalog.version().0).unwrap_or(0));
                beliefs.catalog = Some(Rc::new(catalog));
            }
            Some(Ok(_older)) => {}
            Some(Err(error)) => {
                let fields = json!({ "row": row.version.0, "reason": error.to_string() });
                node.journal.note("config-unreadable", fields);
            }
            None => {
                node.journal.note("config-unreadable", json!({ "row": row.version.0 }));
            }
        }
    }
    beliefs.proof.note(asked_at);
}

/// Keeps the list of upstreams up to date.
pub async fn watch_upstreams(node: Rc<ForwardNode>) {
    let mut link = PlatformLink::store(&node, "upstreams");
    let mut store = Dependency::new(&node, "upstreams");
    loop {
        let asked_at = clock::now();
        match link.read_table(UPSTREAM_TABLE, ANSWER_TIMEOUT).await {
            Ok(answer) => {
                store.answered();
                take_upstreams(&node, &answer, asked_at);
                sleep_about(LIST_PERIOD).await;
            }
            Err(error) => store.failed(&error).await,
        }
    }
}

/// Decodes the entries that name an upstream and logs the others.
fn decode_entries(node: &ForwardNode, rows: &[StoreRow]) -> Vec<ListedUpstream> {
    let mut list = Vec::with_capacity(rows.len());
    for row in rows {
        match row.value.as_deref().map(|value| decode_upstream(&row.key, value)) {
            Some(Ok(entry)) => list.push(entry),
            Some(Err(error)) => {
                let fields = json!({
                    "entry": row.key, "row": row.version.0, "reason": error.to_string()
                });
                node.journal.note("entry-unreadable", fields);
            }
            None => {
                let fields = json!({ "entry": row.key, "row": row.version.0 });
                node.journal.note("entry-unreadable", fields);
            }
        }
    }
    list
}

fn take_upstreams(node: &ForwardNode, answer: &StoreRows, asked_at: BootTime) {
    let list = decode_entries(node, &answer.rows);
    let now = clock::now();
    let mut beliefs = node.beliefs();
    beliefs.clock.sample(asked_at, now, answer.clock_ms);
    let changes = beliefs.roster.apply_list(list, answer.newest, asked_at, now);
    for change in changes {
        let (what, upstream) = match &change {
            RosterChange::Joined(id) => ("joined", id),
            RosterChange::Leaving(id) => ("leaving", id),
            RosterChange::Gone(id) => ("gone", id),
            RosterChange::Returned(id) => ("returned", id),
        };
        let entry = beliefs.roster.find(upstream).map(|row| &row.entry);
        let fields = json!({
            "upstream": upstream.as_str(), "change": what,
            "pool": entry.map(|entry| entry.pool.as_str()),
            "domain": entry.map(|entry| entry.domain.as_str()),
            "reclaimable": entry.map(|entry| entry.reclaimable),
            "born_ms": entry.and_then(|entry| entry.born_ms),
            "leaves_in_ms": entry.and_then(|entry| entry.leaves_in).map(|left| left.as_millis()),
            "list_age_ms": now.since(asked_at).as_millis(),
        });
        node.journal.note("upstream", fields);
    }
}

/// Reads the rows that the nodes share and writes this node's own.
pub async fn share_rows(node: Rc<ForwardNode>) {
    let mut link = PlatformLink::store(&node, "shared rows");
    let mut store = Dependency::new(&node, "shared rows");
    let mut beat = BeatPacer::default();
    loop {
        let asked_at = clock::now();
        match link.read_table(SHARED_TABLE, ANSWER_TIMEOUT).await {
            Ok(answer) => {
                store.answered();
                node.beliefs().clock.sample(asked_at, clock::now(), answer.clock_ms);
                if node.incarnation.get().is_none() {
                    identify(&node, &answer);
                }
                take_shared(&node, &answer.rows);
                if node.peers.borrow().is_none() {
                    open_peers(&node, &answer.rows, &mut link).await;
                }
                if beat.is_due(&node) {
                    match write_beat(&node, &mut link, false).await {
                        Ok(()) => beat.note_written(&node),
                        Err(error) => store.failed(&error).await,
                    }
                }
                sleep_about(SHARED_PERIOD.min(until_counts_due(&node))).await;
            }
            Err(error) => store.failed(&error).await,
        }
    }
}

/// Finds out which run of the node this is, and takes over what the one before published.
fn identify(node: &ForwardNode, answer: &StoreRows) {
    let incarnation = Incarnation(answer.newest.0);
    node.incarnation.set(Some(incarnation));
    let settings = node.settings();
    let own = node_key(&settings.name);
    let mut beliefs = node.beliefs();
    beliefs.duty.identify(incarnation);
    let started_ms = i64::try_from(answer.clock_ms).unwrap_or(i64::MAX);
    beliefs.since_ms = Some(started_ms);
    for row in answer.rows.iter().filter(|row| row.key == own) {
        let decoded = row.value.as_deref().map(|value| decode_record(&row.key, value));
        if let Some(Ok(Some(SharedRecord::Node(_, beat)))) = decoded {
            beliefs.ledger.adopt(&beat.windows);
            if beat.peer == settings.listen.peer {
                beliefs.since_ms = Some(beat.since_ms.min(started_ms));
            }
        }
    }
    node.journal.note("identified", json!({ "incarnation": incarnation.0 }));
}

/// Opens the datagrams to other nodes with the secret in the store. The first node puts it there.
async fn open_peers(node: &Rc<ForwardNode>, rows: &[StoreRow], link: &mut PlatformLink) {
    let found = rows.iter().find(|row| row.key == SECRET_KEY);
    let decoded = found.and_then(|row| decode_record(&row.key, row.value.as_deref()?).ok());
    if let Some(Some(SharedRecord::Secret(secret))) = decoded {
        PeerTalk::open(node, &secret);
        return;
    }
    let secret = format!("{:032x}{:032x}", random::<u128>(), random::<u128>());
    let Ok(value) = encode_record(&secret) else { return };
    let key = StoreKey { table: SHARED_TABLE.to_owned(), key: SECRET_KEY.to_owned() };
    let change = StoreChange {
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
    beliefs.clock.agree(offsets);
    node.gauges.nodes.set(i64::from(count));
}

/// When this node writes its row: soon after each window has ended, and at least once a period.
#[derive(Debug, Default)]
struct BeatPacer {
    written_at: Option<BootTime>,
    /// Newest window whose counts were complete in the last write.
    window: Option<WindowNumber>,
}

/// Newest window whose counts are complete now, and the milliseconds since they are.
fn newest_counted(node: &ForwardNode) -> Option<(WindowNumber, i64)> {
    let length = node.settings().bounds.usage_window.duration();
    let now_ms = node.beliefs().clock.true_ms(clock::now())? - COUNTS_DUE_MS;
    let window = WindowNumber(WindowNumber::of(now_ms, length).0 - 1);
    Some((window, now_ms - window.end_ms(length)))
}

impl BeatPacer {
    fn is_due(&self, node: &ForwardNode) -> bool {
        let now = clock::now();
        let old = self.written_at.is_none_or(|at| now.since(at) >= BEAT_PERIOD);
        old || newest_counted(node).map(|(window, _)| window) > self.window
    }

    fn note_written(&mut self, node: &ForwardNode) {
        self.written_at = Some(clock::now());
        self.window = newest_counted(node).map(|(window, _)| window);
    }
}

/// Time until the counts of the next window are complete.
fn until_counts_due(node: &ForwardNode) -> Duration {
    let length = node.settings().bounds.usage_window.duration();
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
    let beat = node.beliefs().beat(incarnation, settings.listen.peer, last, clock::now());
    let value = match encode_record(&beat) {
        Ok(value) => value,
        Err(error) => {
            node.journal.note("beat-unwritable", json!({ "reason": error.to_string() }));
            return Ok(());
        }
    };
    let key = StoreKey { table: SHARED_TABLE.to_owned(), key: node_key(&settings.name) };
    let change = StoreChange { writes: vec![(key, value)], ..StoreChange::default() };
    link.change(&change, ANSWER_TIMEOUT).await.map(drop)
}
