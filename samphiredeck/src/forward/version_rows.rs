//! Rows in which readers of the store publish the software versions that they observed.

use std::time::Duration;

use samphiredeck_core::{boot_time::BootTime, forward::version_history::PublishedHistory};
use samphiredeck_platform::store::StoreKey;
use samphiredeck_wire::record::{encode_record, versions_key};
use serde_json::json;

use crate::forward::{node::ForwardNode, shared_rows::shared_key, state::ForwardState};

/// Adds the software versions that another node has published.
pub fn merge_versions(state: &mut ForwardState, published: &PublishedHistory, now: BootTime) {
    let Some(store_ms) = state.clock.store_ms(now) else { return };
    let to_boot = |at_ms: i64| {
        let age_ms = u64::try_from(store_ms.saturating_sub(at_ms)).unwrap_or(0);
        now - Duration::from_millis(age_ms)
    };
    state.upstreams.versions.merge(published, to_boot);
}

/// Row with the software versions that this node has observed.
pub fn encode_versions(node: &ForwardNode) -> Option<(StoreKey, Vec<u8>)> {
    let state = node.state();
    let published = state.upstreams.versions.publish(|at| state.clock.store_ms(at))?;
    match encode_record(&published) {
        Ok(value) => Some((shared_key(versions_key(&node.settings().name)), value)),
        Err(error) => {
            node.log.record("versions-unwritable", json!({ "reason": error.to_string() }));
            None
        }
    }
}
