//! Selects the nodes that read the platform's store on behalf of others, and defines what they
//! relay.
//!
//! The store charges for each call, and without readers every node would poll it for the same data.
//! In each failure domain a few nodes read the store. The others ask them for the versions and ages
//! of the configuration and the upstream list, and read for themselves only if their version
//! differs or no node can confirm it. Small changes of the list are included in the response.
//!
//! Ages are measured from before the first query of a chain, so that relayed data is never reported
//! as fresher than the store's response. A node that only the store rejects benefits, too: any
//! other node can confirm that its data is current.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    forward::upstream_list::UpstreamDelta,
    ids::{DomainName, NodeName, RowVersion},
};

/// Number of nodes in a failure domain per reader. A reader answers about 200 queries per second,
/// which takes a few hundredths of a core.
const NODES_PER_READER: usize = 64;

/// Configuration version known to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Version of the configuration's row.
    pub row: RowVersion,
    /// Milliseconds since this version was known to be the newest.
    pub age_ms: u64,
}

/// Upstream list known to a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListStatus {
    /// Digest of the list.
    pub digest: u64,
    /// Version of the list in the store.
    pub version: RowVersion,
    /// Milliseconds since the store returned the list.
    pub age_ms: u64,
    /// Page of the difference from the list that the asking node holds. `None` if that one is the
    /// same, or too different.
    pub delta: Option<UpstreamDelta>,
    /// Number of entries after the page.
    pub remaining: u32,
}

/// State of the store as known to a node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// Configuration, if known.
    pub config: Option<ConfigStatus>,
    /// Upstream list, if known.
    pub list: Option<ListStatus>,
}

/// Node that may read the store on behalf of others.
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

/// Orders `candidates` as node `own` of `domain` queries them: the readers of its domain, the other
/// nodes of its domain, then the rest. At its own name, a node reads the store itself. All nodes of
/// a domain have the same readers, but followers start with different ones.
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
