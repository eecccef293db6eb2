//! Reads the configuration and the upstream list from the platform's store.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        catalog::{CatalogIssue, ForwardCatalog},
        config_row::RowContent,
        upstream_list::ListedUpstream,
    },
    ids::RowVersion,
};
use samphiredeck_platform::{
    catalog::decode_catalog,
    store::{
        CATALOG_KEY, OPERATOR_TABLE, StoreRow, StoreRows, UPSTREAM_TABLE, encode_watch,
        is_history_lost,
    },
    upstreams::decode_upstream,
};
use serde_json::json;
use tokio::time::sleep;

use crate::forward::{
    clock,
    dependency::{DependencyMonitor, STORE_TIMEOUT, sleep_with_jitter},
    node::ForwardNode,
    platform_client::{PlatformCallError, PlatformClient},
    store_returns::begin_era,
    store_status::{query_random_peers, query_readers},
    upstream_changes::handle_list_changes,
};

/// Interval between reads of the upstream list by a reader. Together with [`STATUS_PERIOD`], half
/// of the users' bound of two seconds on new requests to leaving upstreams.
const LIST_PERIOD: Duration = Duration::from_millis(400);
/// Interval between status queries to a reader.
const STATUS_PERIOD: Duration = Duration::from_millis(500);
/// Interval at which a reader reads the whole configuration of a store that states no era. After a return from an older
/// copy, a change may have been given a version that the feed has passed.
const REREAD_PERIOD: Duration = Duration::from_secs(8);
/// Poll interval of a node that follows the configuration through other nodes.
const CONFIG_POLL_PERIOD: Duration = Duration::from_millis(100);

/// Maximum size of a configuration that is relayed to followers, in bytes. They read a larger one
/// from the store, so that its reader is not kept busy.
const RELAYED_CONFIG_MAX: usize = 65_536;
/// Maximum time for which a starting node waits until it knows the others.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Poll interval while it waits.
const JOIN_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Waits at the start until `is_ready`, so that this node can ask a reader instead of the store.
async fn wait_started(is_ready: impl Fn() -> bool) {
    let until = clock::now() + JOIN_TIMEOUT;
    while clock::now() < until && !is_ready() {
        sleep(JOIN_POLL_PERIOD).await;
    }
}

/// Keeps the configuration up to date.
pub async fn watch_config(node: Rc<ForwardNode>) {
    let mut client = PlatformClient::store(&node, "configuration");
    let mut monitor = DependencyMonitor::new(&node, "configuration");
    let mut last_version: Option<RowVersion> = None;
    let mut reread_at = clock::now();
    wait_started(|| node.state().has_chosen_reader).await;
    loop {
        let is_stated = node.store_eras.borrow().is_stated();
        if !is_stated && clock::now() >= reread_at {
            last_version = None;
        }
        if !queries_store(&node) {
            // By the next query, the store may have dropped the history since the last response.
            last_version = None;
            sleep(CONFIG_POLL_PERIOD).await;
            continue;
        }
        let sent_at = clock::now();
        let is_whole = last_version.is_none();
        let response = match last_version {
            None => {
                reread_at = sent_at + REREAD_PERIOD;
                client.read_table(OPERATOR_TABLE, STORE_TIMEOUT).await
            }
            Some(after) => {
                let max_wait = node.state().freshness.long_poll_wait();
                poll_changes(&mut client, after, max_wait).await
            }
        };
        match response {
            Ok(response) => {
                monitor.record_success();
                // A feed that continues at a version of before may lack changes.
                let newest = response.newest;
                let went_back =
                    last_version.is_some_and(|known| newest < known || newest.era() != known.era());
                last_version = Some(response.newest).filter(|_| !went_back);
                if !went_back {
                    apply_config(&node, &response, is_whole, sent_at);
                }
                if node.state().config_row.is_unreadable() {
                    // The feed brings no version twice, and the answer may have been garbled.
                    last_version = None;
                    sleep(LIST_PERIOD).await;
                }
            }
            Err(error) => {
                if matches!(&error, PlatformCallError::Wire(wire) if is_history_lost(wire)) {
                    last_version = None;
                }
                monitor.record_failure(&error).await;
            }
        }
    }
}

/// Whether this node has to query the store for the configuration: it is a reader, another node has
/// a newer version, or the last confirmation is getting old.
fn queries_store(node: &ForwardNode) -> bool {
    let state = node.state();
    state.reader.is_none()
        || state.newer_config_reported
        || state.freshness.needs_refresh(clock::now())
}

/// Long-polls for changes after `after`, for at most `max_wait`.
async fn poll_changes(
    client: &mut PlatformClient,
    after: RowVersion,
    max_wait: Duration,
) -> Result<StoreRows, PlatformCallError> {
    let call = encode_watch(OPERATOR_TABLE, after, max_wait);
    client.query_rows(call, max_wait + STORE_TIMEOUT).await
}

/// Applies the store's response to a query for the configuration sent at `sent_at`. With `is_whole`, it was a query for all
/// rows and not for changes.
fn apply_config(node: &ForwardNode, response: &StoreRows, is_whole: bool, sent_at: BootTime) {
    let mut is_missing = is_whole;
    for row in response.rows.iter().filter(|row| row.key == CATALOG_KEY) {
        is_missing = false;
        let config_row = node.state().config_row;
        if config_row.is_known(row.version, row.value.as_deref()) {
            continue;
        }
        let known = config_row.version();
        let is_earlier = row.version < known && row.version.era() == known.era();
        let value = row.value.as_deref();
        let content =
            RowContent::of(value, value.is_some_and(|value| decode_catalog(value).is_ok()));
        let is_behind = is_earlier || config_row.is_replaced(row.version, content);
        if is_behind
            && config_row.read_at() < sent_at
            && begin_era(node, "configuration", row.version, known)
        {
            // The next read is of the new era.
            return;
        }
        apply_config_row(node, row.version, row.value.as_deref(), sent_at);
    }
    let mut state = node.state();
    let version = state.config_row.version();
    if is_missing && version > RowVersion::default() {
        node.log.record_once_a_minute("config-missing", "", json!({ "row": version.0 }));
        return;
    }
    if state.config_row.is_confirmed_by(version) {
        state.freshness.record_confirmation(sent_at);
    }
    state.newer_config_reported = false;
}

/// Applies version `row` of the configuration's row, which was queried at `sent_at`.
pub fn apply_config_row(
    node: &ForwardNode,
    row: RowVersion,
    value: Option<&[u8]>,
    sent_at: BootTime,
) {
    let mut state = node.state();
    log_behind(node, "configuration", row, state.config_row.version());
    let decoded = value.map(decode_catalog);
    let content = RowContent::of(value, matches!(decoded, Some(Ok(_))));
    if !state.config_row.apply(row, content, clock::now()) {
        return;
    }
    let is_unreadable = state.config_row.is_unreadable();
    node.metrics.config.unreadable.set(i64::from(is_unreadable));
    let relayed = value.filter(|value| !is_unreadable && value.len() <= RELAYED_CONFIG_MAX);
    state.config_value = relayed.map(Bytes::copy_from_slice);
    let current = state.catalog.as_ref().map(|catalog| catalog.version());
    match decoded {
        Some(Ok(catalog)) if Some(catalog.version()) > current => {
            let fields = json!({
                "version": catalog.version().0, "row": row.0,
                "before": current.map(|version| version.0),
                "routes": catalog.routes().len(),
                "answered_in_ms": clock::now().since(sent_at).as_millis(),
            });
            node.log.record("config", fields);
            log_issues(node, &catalog);
            state.names.merge(catalog.names());
            let is_declared = |name: &str| catalog.routes().iter().any(|row| row.name == name);
            state.durations.retain(is_declared);
            state.urgencies.retain_routes(is_declared);
            node.metrics.config.version.set(i64::try_from(catalog.version().0).unwrap_or(0));
            let limits = catalog.limits();
            node.caller_limits.send_if_modified(|known| std::mem::replace(known, limits) != limits);
            state.catalog = Some(Rc::new(catalog));
        }
        Some(Ok(_older)) => {}
        Some(Err(error)) => {
            let fields = json!({ "row": row.0, "reason": error.to_string() });
            node.log.record("config-unreadable", fields);
        }
        None => node.log.record("config-unreadable", json!({ "row": row.0 })),
    }
}

/// Logs what could not be read in `catalog`.
fn log_issues(node: &ForwardNode, catalog: &ForwardCatalog) {
    for CatalogIssue { field, reason } in catalog.issues() {
        let fields = json!({ "version": catalog.version().0, "field": field, "reason": reason });
        node.log.record("config-entry-unreadable", fields);
    }
    let count = i64::try_from(catalog.issues().len()).unwrap_or(i64::MAX);
    node.metrics.config.issues.set(count);
}

/// Logs that the store has returned an older version `read` of `content` than the one that is `known`. It is
/// ignored.
pub fn log_behind(node: &ForwardNode, content: &'static str, read: RowVersion, known: RowVersion) {
    if read < known {
        let fields = json!({ "content": content, "read": read.0, "known": known.0 });
        node.log.record_once_a_minute("read-behind", content, fields);
        node.metrics.store.reads_behind.inc();
    }
}

/// Keeps the upstream list up to date.
pub async fn watch_upstreams(node: Rc<ForwardNode>) {
    let mut client = PlatformClient::store(&node, "upstreams");
    let mut monitor = DependencyMonitor::new(&node, "upstreams");
    let mut invalid_rows = InvalidRows::default();
    wait_started(|| node.peer_socket.borrow().is_some()).await;
    loop {
        if query_readers(&node).await {
            sleep_with_jitter(STATUS_PERIOD).await;
            continue;
        }
        let sent_at = clock::now();
        match client.read_table(UPSTREAM_TABLE, STORE_TIMEOUT).await {
            Ok(response) => {
                monitor.record_success();
                apply_upstreams(&node, &mut invalid_rows, &response, sent_at);
                sleep_with_jitter(LIST_PERIOD).await;
            }
            Err(error) => {
                node.state().upstreams.record_read_failure(clock::now());
                query_random_peers(&node).await;
                monitor.record_failure(&error).await;
            }
        }
    }
}

/// Invalid rows of the upstream list that were logged, as long as they stay in the list.
#[derive(Debug, Default)]
struct InvalidRows {
    /// Key and version, sorted.
    logged: Vec<(String, RowVersion)>,
}

impl InvalidRows {
    /// Decodes `rows`. Logs each version of an invalid one once.
    fn decode(&mut self, node: &ForwardNode, rows: &[StoreRow]) -> Vec<ListedUpstream> {
        let mut list = Vec::with_capacity(rows.len());
        let mut invalid = Vec::new();
        for row in rows {
            let reason = match row.value.as_deref().map(|value| decode_upstream(&row.key, value)) {
                Some(Ok(entry)) => {
                    list.push(entry);
                    continue;
                }
                Some(Err(error)) => Some(error.to_string()),
                None => None,
            };
            let id = (row.key.clone(), row.version);
            if self.logged.binary_search(&id).is_err() {
                let fields = json!({ "entry": row.key, "row": row.version.0, "reason": reason });
                node.log.record("entry-unreadable", fields);
            }
            invalid.push(id);
        }
        invalid.sort_unstable();
        self.logged = invalid;
        list
    }
}

fn apply_upstreams(
    node: &ForwardNode,
    invalid_rows: &mut InvalidRows,
    response: &StoreRows,
    sent_at: BootTime,
) {
    let list = invalid_rows.decode(node, &response.rows);
    let now = clock::now();
    let mut state = node.state();
    state.clock.add_sample(sent_at, now, response.clock_ms);
    log_behind(node, "upstreams", response.newest, state.upstreams.version());
    let changes = state.upstreams.apply_list(list, response.newest, sent_at, now);
    handle_list_changes(node, &state, &changes, now);
}
