//! Rows that outlast a return of the store from an older copy: committed usage, and when the era began.

use samphiredeck_core::{
    forward::{
        agreed_windows::EraRecord,
        usage::{WindowCounts, WindowIndex},
    },
    ids::RowVersion,
};
use samphiredeck_platform::store::{StoreRows, StoreTransaction, TransactionOutcome};
use samphiredeck_wire::record::{
    AgreedUsage, ERA_ROW_KEY, RecordError, SharedRecord, decode_record, encode_record,
    encode_usage, usage_key,
};
use serde_json::json;

use crate::forward::{
    clock,
    dependency::STORE_TIMEOUT,
    node::ForwardNode,
    platform_client::{PlatformCallError, PlatformClient},
    shared_rows::shared_key,
};

/// Records the committed usage in the shared rows and writes what the store has lost of it, so that the next leader finds
/// it. Only counts of the windows `known`, sorted, can be lost, which were known before the rows were read. In an era that
/// no row tells of, writes when it began.
pub async fn sync_agreed_rows(
    node: &ForwardNode,
    response: &StoreRows,
    known: &[WindowIndex],
    client: &mut PlatformClient,
) -> Result<(), PlatformCallError> {
    let era_version = record_rows(node, response);
    let era = response.newest.era();
    if era.0 == 0 {
        return Ok(());
    }
    if let Some(version) = era_version {
        let Some(start_ms) = node.state().clock.unix_ms(clock::now()) else { return Ok(()) };
        let record = EraRecord { era, start_ms };
        let key = (ERA_ROW_KEY.to_owned(), version);
        if write_row(node, client, key, encode_record(&record)).await? {
            node.log.record("era-begun", json!({ "era": era.0, "start_ms": start_ms }));
        }
    }
    let stored: Vec<WindowIndex> =
        decode_usage(response).map(|usage| usage.counts.window).collect();
    let lost: Vec<WindowCounts> = {
        let state = node.state();
        let lost = state.agreed_windows.find_lost(&stored).into_iter();
        lost.filter(|counts| known.binary_search(&counts.window).is_ok()).cloned().collect()
    };
    for counts in lost {
        let key = (usage_key(counts.window), RowVersion(0));
        let value = encode_usage(&counts, &node.state().names);
        if write_row(node, client, key, value).await? {
            let fields = json!({
                "window": counts.window.0, "requests": counts.total(), "digest": counts.digest(),
                "era": era.0,
            });
            node.log.record("usage-restored", fields);
        }
    }
    Ok(())
}

/// Records the rows of committed usage and of the era. Returns the version of the latter if it tells of an earlier one than
/// the store's.
fn record_rows(node: &ForwardNode, response: &StoreRows) -> Option<RowVersion> {
    let mut state = node.state();
    for usage in decode_usage(response) {
        let counts = &usage.counts;
        state.names.merge(&usage.names);
        if !state.agreed_windows.record(counts, usage.is_named()) {
            let fields = json!({ "window": counts.window.0, "digest": counts.digest() });
            node.log.record_once_a_minute("usage-disputed", "usage", fields);
        }
    }
    let row = response.rows.iter().find(|row| row.key == ERA_ROW_KEY);
    let decoded = row.and_then(|row| decode_record(&row.key, row.value.as_deref()?).ok());
    let record = match decoded.flatten() {
        Some(SharedRecord::Era(record)) => Some(record),
        _ => None,
    };
    state.agreed_windows.record_era(record);
    let is_outdated = record.is_none_or(|record| record.era < response.newest.era());
    if !is_outdated {
        node.store_eras.borrow_mut().record_told();
    }
    is_outdated.then(|| row.map_or(RowVersion(0), |row| row.version))
}

/// Committed usage in the rows. Rows that can't be decoded are logged with the other shared rows.
fn decode_usage(response: &StoreRows) -> impl Iterator<Item = AgreedUsage> {
    response.rows.iter().filter_map(|row| match decode_record(&row.key, row.value.as_deref()?) {
        Ok(Some(SharedRecord::Usage(usage))) => Some(usage),
        _ => None,
    })
}

/// Writes a row unless another node has written it since it was read. Returns whether it did.
async fn write_row(
    node: &ForwardNode,
    client: &mut PlatformClient,
    (key, version): (String, RowVersion),
    value: Result<Vec<u8>, RecordError>,
) -> Result<bool, PlatformCallError> {
    let value = match value {
        Ok(value) => value,
        Err(error) => {
            let fields = json!({ "key": key, "reason": error.to_string() });
            node.log.record("shared-unwritable", fields);
            return Ok(false);
        }
    };
    let key = shared_key(key);
    let transaction = StoreTransaction {
        expected: vec![(key.clone(), version)],
        writes: vec![(key, value)],
        removals: Vec::new(),
    };
    let outcome = client.transact(&transaction, STORE_TIMEOUT).await?;
    Ok(matches!(outcome, TransactionOutcome::Committed(_)))
}
