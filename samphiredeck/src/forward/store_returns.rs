//! Notices that a store which states no era has returned from an older copy.
//!
//! A row that is read with a lower version than in an earlier answer proves it, whatever versions the store has given out
//! since. Nodes adopt the latest era that any of them is in, so that all count alike.

use samphiredeck_core::{boot_time::BootTime, forward::store_eras::StoreEra, ids::RowVersion};
use samphiredeck_platform::store::StoreRows;
use samphiredeck_wire::record::{ERA_ROW_KEY, LEADER_ROW_KEY, SharedRecord, decode_record};
use serde_json::json;

use crate::forward::node::ForwardNode;

/// Begins an era after `content` was read with the version `read`, by a call that was made after an answer had shown the
/// `known` one. Returns whether it did.
pub fn begin_era(
    node: &ForwardNode,
    content: &'static str,
    read: RowVersion,
    known: RowVersion,
) -> bool {
    let has_begun = node.store_eras.borrow_mut().begin_unstated();
    if has_begun {
        let era = node.store_eras.borrow().current();
        let fields = json!({
            "content": content, "read": read.number(), "known": known.number(), "era": era.0,
        });
        node.log.record("era-inferred", fields);
    }
    has_begun
}

/// Adopts the `era` that `source` tells of, if it is later than this node's. Returns whether it did.
pub fn adopt_era(node: &ForwardNode, era: StoreEra, source: &str) -> bool {
    let before = node.store_eras.borrow().current();
    let is_adopted = node.store_eras.borrow_mut().adopt(era);
    if is_adopted {
        let fields = json!({ "era": era.0, "before": before.0, "from": source });
        node.log.record("era-adopted", fields);
    }
    is_adopted
}

/// Whether this node has begun or adopted an era by the shared rows in `response` to a read at `sent_at`, so that they have
/// to be read again.
pub fn notice_return(node: &ForwardNode, response: &StoreRows, sent_at: BootTime) -> bool {
    let find = |key: &str| response.rows.iter().find(|row| row.key == key);
    let record =
        find(ERA_ROW_KEY).and_then(|row| decode_record(&row.key, row.value.as_deref()?).ok());
    if let Some(Some(SharedRecord::Era(record))) = record
        && adopt_era(node, record.era, "shared rows")
    {
        return true;
    }
    let read = find(LEADER_ROW_KEY).map_or(RowVersion(0), |row| row.version);
    let (is_behind, known) = {
        let state = node.state();
        let lease = &state.leader_lease;
        (lease.proves_return((response.newest.era(), read), sent_at), lease.known_version())
    };
    is_behind && begin_era(node, "lease", read, known)
}
