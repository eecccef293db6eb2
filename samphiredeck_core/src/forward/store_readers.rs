//! Which nodes read the platform's store for the others, and what follows from what they tell.
//!
//! Answers a store that charges for each call, and many nodes that would ask it all for the same.
//! In each failure domain a few nodes read; the others ask them how old which version of the
//! configuration and of the upstreams' list is, and read for themselves only what they hold in
//! another version, or what nobody can prove. Small changes of the list come with the answer. Ages count from before the first question of a
//! chain, so what is told is never fresher than what the store said. Answers nodes that the store
//! alone turns away, too: any other node can prove that what they hold is still in force.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    forward::upstreams::ListDelta,
    ids::{DomainName, NodeName, RowVersion},
};

/// Nodes of a failure domain for each one that reads. A reader answers about 60 questions a second,
/// a hundredth of a core.
const NODES_PER_READER: usize = 32;

/// What a node can prove of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigNews {
    /// Version of the configuration's row.
    pub row: RowVersion,
    /// Milliseconds since it was known to be the newest.
    pub age_ms: u64,
}

/// What a node can prove of the upstreams' list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListNews {
    /// Identifies the content of the list.
    pub digest: u64,
    /// Milliseconds since the store showed it.
    pub age_ms: u64,
    /// What leads to it from the list that the asking node holds, if that is little.
    pub delta: Option<ListDelta>,
}

/// What a node can prove of the store's content.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreNews {
    /// Configuration, once known.
    pub config: Option<ConfigNews>,
    /// Upstreams' list, once known.
    pub list: Option<ListNews>,
}

/// Node that may read for others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReaderCandidate {
    /// Its name.
    pub node: NodeName,
    /// Its failure domain.
    pub domain: DomainName,
}

fn weight(node: &NodeName) -> u64 {
    xxh3_64(node.as_str().as_bytes())
}

/// Orders `candidates` as the node `own` of `domain` asks them: the readers of its domain, the
/// others of its domain, then the rest. Where its own name comes up, it reads for itself. Every
/// node of a domain has the same readers; their followers begin with different ones.
#[must_use]
pub fn order_readers(
    own: &NodeName,
    domain: &DomainName,
    mut candidates: Vec<ReaderCandidate>,
) -> Vec<NodeName> {
    candidates
        .sort_by_cached_key(|candidate| (candidate.domain != *domain, weight(&candidate.node)));
    let near = candidates.iter().filter(|candidate| candidate.domain == *domain).count();
    let readers = near.div_ceil(NODES_PER_READER);
    let mut order: Vec<NodeName> = candidates.into_iter().map(|candidate| candidate.node).collect();
    if readers > 0 {
        let first = match order[..readers].iter().position(|node| node == own) {
            Some(at) => at,
            None => usize::try_from(weight(own)).unwrap_or(0) % readers,
        };
        order[..readers].rotate_left(first);
    }
    order
}
