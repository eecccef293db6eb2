//! Spreads nodes that choose at the same moment, from the same old reports, over different upstreams.
//!
//! Answers upstreams that are overrun in turns while others idle: each of many nodes finds the same one least loaded.
//! Every node has its own order of preference over the upstreams of a pool, by rendezvous hashing, so that each upstream
//! comes first for about the same number of nodes, without any message. A node then also asks the same few upstreams more
//! often, knows their load from its own responses, and reuses its connections.
//!
//! What other nodes have sent since the report is not known, but where is: to the least loaded upstreams, as this node
//! would. Their requests are assumed to have filled those up to a common level. Upstreams below the level then look alike,
//! and the preferences decide between them, in place of a rush to the one that was least loaded.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{NodeName, UpstreamId};

/// Place of `upstream` in the order of `node`, from 0, the most preferred, to 1. Uniform over the upstreams.
#[must_use]
pub fn upstream_preference(node: &NodeName, upstream: &UpstreamId) -> f64 {
    let seed = xxh3_64(node.as_str().as_bytes());
    let hash = xxh3_64_with_seed(upstream.as_str().as_bytes(), seed);
    #[expect(clippy::cast_precision_loss, reason = "the lowest bits don't matter")]
    let place = hash as f64 / u64::MAX as f64;
    place
}

/// Load of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotLoad {
    /// Requests that it can run at once. Above 0.
    pub slots: f64,
    /// Requests there.
    pub requests: f64,
}

impl SlotLoad {
    fn per_slot(self) -> f64 {
        self.requests / self.slots
    }
}

/// Requests per slot up to which `arrivals` further requests fill the least loaded of `loads`. Zero without upstreams.
#[must_use]
pub fn fill_level(mut loads: Vec<SlotLoad>, arrivals: f64) -> f64 {
    loads.sort_by(|a, b| a.per_slot().total_cmp(&b.per_slot()));
    let (mut slots, mut requests) = (0.0, 0.0);
    let mut level = 0.0;
    for (index, load) in loads.iter().enumerate() {
        slots += load.slots;
        requests += load.requests;
        level = (requests + arrivals) / slots;
        if loads.get(index + 1).is_none_or(|next| level <= next.per_slot()) {
            break;
        }
    }
    level
}
