//! Rows with the names that can't be read back from their identifiers.
//!
//! Counts of requests hold identifiers, and outlive both the configuration that names the workspace and the processes that
//! have read it. So the nodes that read the store keep these names there, a row each, and a leader that has to report
//! counts of a workspace that it does not know reads them.

use std::time::Duration;

use samphiredeck_core::{boot_time::BootTime, forward::store_eras::StoreEra};
use samphiredeck_platform::store::{StoreKey, StoreTransaction};
use samphiredeck_wire::record::{NAMES_TABLE, decode_name_row, encode_record};
use serde_json::json;

use crate::forward::{
    clock,
    dependency::STORE_TIMEOUT,
    node::ForwardNode,
    platform_client::{PlatformCallError, PlatformClient},
};

/// Number of names in a transaction. With the longest ones it stays below the size that the store takes.
const WRITTEN_AT_ONCE: usize = 32;
/// Longest name that is written, in bytes.
const NAME_BYTES_MAX: usize = 16_384;
/// Time for which the row of a name stays after the name has left the configuration. Counts are reported sooner.
const KEPT_AFTER_USE: Duration = Duration::from_secs(600);

/// Names in the store, as far as this node knows.
#[derive(Debug, Default)]
pub struct NameRows {
    /// Identifiers, sorted, and since when the configuration doesn't have them.
    stored: Vec<(String, Option<BootTime>)>,
    /// Era of the store in which they were read or written. `None` before the first read.
    era: Option<StoreEra>,
}

impl NameRows {
    fn add(&mut self, id: &str) {
        if let Err(at) = self.find(id) {
            self.stored.insert(at, (id.to_owned(), None));
        }
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.stored.binary_search_by(|(known, _)| known.as_str().cmp(id))
    }

    /// Identifiers of names that have left the configuration long ago.
    fn find_expired(&mut self, is_declared: impl Fn(&str) -> bool, now: BootTime) -> Vec<String> {
        for (id, unused_since) in &mut self.stored {
            *unused_since = if is_declared(id) { None } else { unused_since.or(Some(now)) };
        }
        let is_expired = |since: &BootTime| now.since(*since) >= KEPT_AFTER_USE;
        let expired =
            self.stored.iter().filter(|(_, since)| since.as_ref().is_some_and(is_expired));
        expired.map(|(id, _)| id.clone()).take(WRITTEN_AT_ONCE).collect()
    }
}

fn row_key(id: &str) -> StoreKey {
    StoreKey { table: NAMES_TABLE.to_owned(), key: id.to_owned() }
}

/// Reads the names in the store.
pub async fn read_names(
    node: &ForwardNode,
    client: &mut PlatformClient,
) -> Result<NameRows, PlatformCallError> {
    let response = client.read_table(NAMES_TABLE, STORE_TIMEOUT).await?;
    let mut rows = NameRows { stored: Vec::new(), era: Some(response.newest.era()) };
    let mut state = node.state();
    for row in &response.rows {
        match row.value.as_deref().map(decode_name_row) {
            Some(Ok(text)) => {
                state.names.record(&row.key, &text);
                rows.add(&row.key);
            }
            Some(Err(error)) => {
                let fields = json!({ "key": row.key, "reason": error.to_string() });
                node.log.record_once_a_minute("name-unreadable", "names", fields);
            }
            None => {}
        }
    }
    Ok(rows)
}

/// Writes the names of the configuration that the store does not have. The leader removes those that are no longer used.
pub async fn publish_names(
    node: &ForwardNode,
    client: &mut PlatformClient,
    rows: &mut NameRows,
) -> Result<(), PlatformCallError> {
    let catalog = node.state().catalog.clone();
    let Some(catalog) = catalog else { return Ok(()) };
    let declared = catalog.names().rows();
    let is_leader = node.state().leader_lease.fence(clock::now()).is_some();
    let is_writer = is_leader || node.state().reader.is_none();
    // A leader looks once for names of earlier configurations.
    let has_nothing = declared.is_empty() && rows.stored.is_empty();
    if !is_writer || (has_nothing && !(is_leader && rows.era.is_none())) {
        return Ok(());
    }
    // A store that has returned from an older copy may have lost them.
    if rows.era != Some(node.store_eras.borrow().current()) {
        *rows = read_names(node, client).await?;
    }
    let is_written = |text: &str| text.len() <= NAME_BYTES_MAX;
    let missing = declared.iter().filter(|(id, text)| rows.find(id).is_err() && is_written(text));
    let missing: Vec<_> = missing.take(WRITTEN_AT_ONCE).cloned().collect();
    let is_declared = |id: &str| declared.binary_search_by(|row| row.0.as_str().cmp(id)).is_ok();
    let expired = rows.find_expired(is_declared, clock::now());
    let removals: Vec<_> = expired.iter().filter(|_| is_leader).map(|id| row_key(id)).collect();
    if missing.is_empty() && removals.is_empty() {
        return Ok(());
    }
    let mut transaction = StoreTransaction { removals, ..StoreTransaction::default() };
    for (id, text) in &missing {
        match encode_record(text) {
            Ok(value) => transaction.writes.push((row_key(id), value)),
            Err(error) => {
                let fields = json!({ "key": id, "reason": error.to_string() });
                node.log.record("name-unwritable", fields);
            }
        }
    }
    client.transact(&transaction, STORE_TIMEOUT).await?;
    for (id, _) in &missing {
        rows.add(id);
    }
    if is_leader {
        rows.stored.retain(|(id, _)| !expired.contains(id));
    }
    Ok(())
}
