//! Rows of suspects in the platform's store.

use samphiredeck_core::{
    boot_time::BootTime,
    forward::suspects::exchange::{PublishedSuspects, SuspectUpdate},
};
use samphiredeck_platform::store::StoreKey;
use samphiredeck_wire::record::{encode_record, suspects_key};
use serde_json::json;

use crate::forward::{clock, node::ForwardNode, shared_rows::shared_key, state::ForwardState};

/// Adds the suspects that another node, or an earlier run, has published.
pub fn merge_suspects(
    node: &ForwardNode,
    state: &mut ForwardState,
    published: PublishedSuspects,
    now: BootTime,
) {
    let Some(store_ms) = state.clock.store_ms(now) else { return };
    let applied = state.suspects.apply_update(published.into_update(store_ms), now);
    if !applied.reports.is_empty() {
        let fields = json!({
            "from": "store", "reports": state.suspects.reports().len(),
            "new_reports": applied.reports.len(), "cleared": applied.proofs.len(),
        });
        node.log.record("suspects", fields);
    }
    // Followers don't read the store.
    node.suspect_outbox.add(applied);
}

/// Row with the suspects, or its removal, if it has to change.
pub fn encode_suspects(node: &ForwardNode) -> Option<(StoreKey, Option<Vec<u8>>)> {
    let mut state = node.state();
    let now = clock::now();
    if !state.has_unpublished_suspects(now) {
        return None;
    }
    let written_ms = state.clock.store_ms(now)?;
    let reports = state.reports_to_publish(now);
    let mut update = SuspectUpdate::default();
    for report in &reports {
        let (shared, proofs) = state.suspects.share(report, now);
        update.reports.push(shared);
        update.proofs.extend(proofs);
    }
    state.published_suspects = Some(reports);
    let key = shared_key(suspects_key(&node.settings().name));
    if update.is_empty() {
        return Some((key, None));
    }
    match encode_record(&PublishedSuspects { written_ms, update }) {
        Ok(value) => Some((key, Some(value))),
        Err(error) => {
            node.log.record("suspects-unwritable", json!({ "reason": error.to_string() }));
            None
        }
    }
}
