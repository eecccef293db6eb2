//! Publishes the origins of streams in the platform's store, and reads them at the start of a node.
//!
//! The nodes that read the store publish those that they and their followers have announced, a row at
//! a time: the store is written to only while several software versions serve.

use std::{rc::Rc, time::Duration};

use samphiredeck_core::forward::stream_origins::{OriginSource, PublishedOrigins};
use samphiredeck_platform::store::{StoreKey, StoreTransaction, TransactionOutcome};
use samphiredeck_wire::record::{ORIGINS_TABLE, decode_origins, encode_record, origins_key};
use serde_json::json;
use tokio::time::sleep;

use crate::forward::{
    clock,
    dependency::{STORE_TIMEOUT, sleep_with_jitter},
    node::ForwardNode,
    platform_client::{PlatformCallError, PlatformClient},
};

/// Interval between writes in a small cluster. Streams that began within it are unknown after a loss of
/// all nodes.
const PUBLISH_PERIOD: Duration = Duration::from_millis(100);
/// Number of nodes for each of which the interval grows by [`PUBLISH_PERIOD`], so that all readers
/// together stay below the number of writes that the store takes.
const PERIOD_NODES: u32 = 512;
/// Delay after a failed read at the start.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of streams in a row, so that it fits into the store's rows.
const ROW_STREAMS_MAX: usize = 1_500;
/// Number of expired rows that are removed at a time. Leaves room for what is written with them.
const REMOVED_AT_ONCE: usize = StoreTransaction::ENTRIES_MAX / 2;
/// Interval at which expired rows are removed while there is nothing to publish.
const REMOVAL_PERIOD: Duration = Duration::from_secs(5);

/// Row of the store that has to be removed when it has expired.
struct OriginRow {
    key: String,
    /// Time on the store's clock, in milliseconds.
    expires_ms: i64,
}

/// Reads the origins that were published before this run, then publishes new ones.
pub async fn sync_origins(node: Rc<ForwardNode>) {
    let mut client = PlatformClient::store(&node, "origins");
    let mut rows = loop {
        match load_origins(&node, &mut client).await {
            Ok(rows) => break rows,
            Err(error) => log_failure(&node, "read", &error),
        }
        sleep_with_jitter(LOAD_RETRY_DELAY).await;
    };
    let mut removed_at = clock::now();
    let mut has_backlog = false;
    loop {
        let nodes = node.state().members.count();
        sleep(PUBLISH_PERIOD * (1 + nodes / PERIOD_NODES)).await;
        let has_new = {
            let state = node.state();
            // The reader of a follower publishes what the follower announces.
            state.reader.is_none() && !state.origins.unpublished(1, clock::now()).is_empty()
        };
        let now = clock::now();
        if !has_new && !has_backlog && now.since(removed_at) < REMOVAL_PERIOD {
            continue;
        }
        removed_at = now;
        has_backlog = match publish_origins(&node, &mut client, &mut rows, has_new).await {
            Ok(has_backlog) => has_backlog,
            Err(error) => {
                log_failure(&node, "written", &error);
                false
            }
        };
    }
}

fn log_failure(node: &ForwardNode, what: &'static str, error: &PlatformCallError) {
    let fields = json!({ "what": what, "reason": error.to_string() });
    node.log.record_once_a_minute("origins-unsynced", what, fields);
}

/// Reads the rows of all nodes. Returns those that this node has to remove.
async fn load_origins(
    node: &ForwardNode,
    client: &mut PlatformClient,
) -> Result<Vec<OriginRow>, PlatformCallError> {
    let response = client.read_table(ORIGINS_TABLE, STORE_TIMEOUT).await?;
    let store_ms = i64::try_from(response.clock_ms).unwrap_or(i64::MAX);
    let (mut rows, mut count) = (Vec::new(), 0_u32);
    let prefix = format!("{}.", node.settings().name);
    let now = clock::now();
    for row in response.rows {
        let decoded = row.value.as_deref().map(decode_origins);
        let published: PublishedOrigins = match decoded {
            Some(Ok(published)) => published,
            Some(Err(error)) => {
                let fields = json!({ "key": row.key, "reason": error.to_string() });
                node.log.record("origins-unreadable", fields);
                continue;
            }
            None => continue,
        };
        for (attempt, origin, lifetime) in published.rows(store_ms) {
            count += 1;
            let source = OriginSource::Published;
            node.state().origins.record(attempt, origin.clone(), source, lifetime, now);
        }
        let expires_ms = published.expires_ms();
        if row.key.starts_with(&prefix) || expires_ms < store_ms {
            rows.push(OriginRow { key: row.key, expires_ms });
        }
    }
    node.log.record("origins-read", json!({ "streams": count }));
    Ok(rows)
}

/// Writes a row with new origins, if `has_new`, and removes some of the `rows` that have expired. Returns whether there are
/// more of them.
async fn publish_origins(
    node: &ForwardNode,
    client: &mut PlatformClient,
    rows: &mut Vec<OriginRow>,
    has_new: bool,
) -> Result<bool, PlatformCallError> {
    let now = clock::now();
    let Some(store_ms) = node.state().clock.store_ms(now) else { return Ok(false) };
    let key = |key: &str| StoreKey { table: ORIGINS_TABLE.to_owned(), key: key.to_owned() };
    let mut transaction = StoreTransaction::default();
    let is_expired = |row: &&OriginRow| row.expires_ms < store_ms;
    let removed: Vec<String> =
        rows.iter().filter(is_expired).map(|row| row.key.clone()).take(REMOVED_AT_ONCE).collect();
    transaction.removals = removed.iter().map(|name| key(name)).collect();
    let mut streams = Vec::new();
    if has_new {
        streams = node.state().origins.unpublished(ROW_STREAMS_MAX, now);
    }
    if !streams.is_empty() {
        let published = PublishedOrigins::collect(store_ms, &streams);
        let number = u64::try_from(store_ms).unwrap_or(0);
        let name = origins_key(&node.settings().name, number);
        match encode_record(&published) {
            Ok(value) => transaction.writes.push((key(&name), value)),
            Err(error) => {
                let fields = json!({ "reason": error.to_string() });
                node.log.record("origins-unwritable", fields);
                return Ok(false);
            }
        }
        // It is removed later even if the response is lost.
        rows.push(OriginRow { key: name, expires_ms: published.expires_ms() });
    }
    if transaction.writes.is_empty() && transaction.removals.is_empty() {
        return Ok(false);
    }
    let outcome = client.transact(&transaction, STORE_TIMEOUT).await?;
    if matches!(outcome, TransactionOutcome::Committed(_)) {
        rows.retain(|row| !removed.contains(&row.key));
        let attempts = streams.iter().map(|(attempt, _, _)| *attempt);
        node.state().origins.mark_published(attempts);
    }
    Ok(rows.iter().any(|row| row.expires_ms < store_ms))
}
