//! Readers of the platform's store: the configuration and the upstreams' list.

use std::{rc::Rc, time::Duration};

use samphiredeck_core::{boot_time::BootTime, forward::upstreams::ListedUpstream, ids::RowVersion};
use samphiredeck_platform::{
    catalog::decode_catalog,
    store::{
        CATALOG_KEY, OPERATOR_TABLE, StoreRow, StoreRows, UPSTREAM_TABLE, decode_rows,
        encode_watch, is_history_lost,
    },
    upstreams::decode_upstream,
};
use serde_json::json;
use tokio::time::sleep;

use crate::forward::{
    clock,
    dependency::{ANSWER_TIMEOUT, DependencyState, sleep_about},
    node::ForwardNode,
    platform_client::{CallError, PlatformLink},
    store_status::{ask_others, ask_readers},
    upstream_log::note_changes,
};

/// Time between two reads of the upstreams' list by a node that reads for others: together with
/// [`NEWS_PERIOD`], half of the users' bound of two seconds on new work for upstreams that leave.
const LIST_PERIOD: Duration = Duration::from_millis(400);
/// Time between two questions to a reader.
const NEWS_PERIOD: Duration = Duration::from_millis(500);
/// Time between two looks of a node that is told of the configuration by others.
const CONFIG_LOOK: Duration = Duration::from_millis(100);

/// Keeps the configuration up to date.
pub async fn watch_config(node: Rc<ForwardNode>) {
    let mut link = PlatformLink::store(&node, "configuration");
    let mut store = DependencyState::new(&node, "configuration");
    let mut known: Option<RowVersion> = None;
    loop {
        if !asks_itself(&node) {
            // By the next question the store may have forgotten what followed the last answer.
            known = None;
            sleep(CONFIG_LOOK).await;
            continue;
        }
        let asked_at = clock::now();
        let answer = match known {
            None => link.read_table(OPERATOR_TABLE, ANSWER_TIMEOUT).await,
            Some(after) => {
                let hold = node.beliefs().proof.long_poll_wait();
                ask_changes(&mut link, after, hold).await
            }
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

/// Whether this node has to ask the store for the configuration: it reads for others, holds an older
/// version than another node, or what others can prove of it is getting old.
fn asks_itself(node: &ForwardNode) -> bool {
    let beliefs = node.beliefs();
    beliefs.reader.is_none() || beliefs.config_told || beliefs.proof.needs_refresh(clock::now())
}

/// Asks for changes after `after`, for which the store may wait as long as `hold`.
async fn ask_changes(
    link: &mut PlatformLink,
    after: RowVersion,
    hold: Duration,
) -> Result<StoreRows, CallError> {
    let call = encode_watch(OPERATOR_TABLE, after, hold);
    let (status, body) = link.call(call, hold + ANSWER_TIMEOUT).await?;
    Ok(decode_rows(status, &body)?)
}

/// Takes in what the store said of the configuration when asked at `asked_at`.
fn take_config(node: &ForwardNode, answer: &StoreRows, asked_at: BootTime) {
    let mut beliefs = node.beliefs();
    let received_at = clock::now();
    for row in answer.rows.iter().filter(|row| row.key == CATALOG_KEY) {
        beliefs.config_row = beliefs.config_row.max(row.version);
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
    beliefs.proof.confirm(asked_at);
    beliefs.config_told = false;
}

/// Keeps the list of upstreams up to date.
pub async fn watch_upstreams(node: Rc<ForwardNode>) {
    let mut link = PlatformLink::store(&node, "upstreams");
    let mut store = DependencyState::new(&node, "upstreams");
    loop {
        if ask_readers(&node).await {
            sleep_about(NEWS_PERIOD).await;
            continue;
        }
        let asked_at = clock::now();
        match link.read_table(UPSTREAM_TABLE, ANSWER_TIMEOUT).await {
            Ok(answer) => {
                store.answered();
                take_upstreams(&node, &answer, asked_at);
                sleep_about(LIST_PERIOD).await;
            }
            Err(error) => {
                ask_others(&node).await;
                store.failed(&error).await;
            }
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
    beliefs.clock.add_sample(asked_at, now, answer.clock_ms);
    let changes = beliefs.roster.apply_list(list, answer.newest, asked_at, now);
    note_changes(node, &beliefs, &changes, now);
}
