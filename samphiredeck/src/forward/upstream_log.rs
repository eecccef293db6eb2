//! Log lines for changes of the upstream list.

use samphiredeck_core::{boot_time::BootTime, forward::upstreams::UpstreamChange};
use serde_json::json;

use crate::forward::{node::ForwardNode, state::ForwardState};

pub fn log_upstream_changes(
    node: &ForwardNode,
    state: &ForwardState,
    changes: &[UpstreamChange],
    now: BootTime,
) {
    let list_age = state.upstreams.read_at().map(|at| now.since(at).as_millis());
    for change in changes {
        let (what, upstream) = match change {
            UpstreamChange::Joined(id) => ("joined", id),
            UpstreamChange::Leaving(id) => ("leaving", id),
            UpstreamChange::Gone(id) => ("gone", id),
            UpstreamChange::Returned(id) => ("returned", id),
        };
        let entry = state.upstreams.find(upstream).map(|row| &row.entry);
        let fields = json!({
            "upstream": upstream.as_str(), "change": what,
            "pool": entry.map(|entry| entry.pool.as_str()),
            "software": entry.map(|entry| entry.software.as_str()),
            "domain": entry.map(|entry| entry.domain.as_str()),
            "reclaimable": entry.map(|entry| entry.reclaimable),
            "born_ms": entry.and_then(|entry| entry.started_ms),
            "leaves_in_ms": entry.and_then(|entry| entry.leaves_in).map(|left| left.as_millis()),
            "list_age_ms": list_age,
        });
        node.log.record("upstream", fields);
    }
}
