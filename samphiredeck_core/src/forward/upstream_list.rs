//! List of the platform's upstreams, which nodes relay to each other by its differences.

use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::{
    forward::list_delta::ListDelta,
    ids::{DomainName, PoolName, SoftwareVersion, UpstreamId},
};

/// Maximum number of entries in a page of an [`UpstreamDelta`], so that it fits into one datagram.
pub const UPSTREAM_PAGE_ENTRIES: usize = 8;

/// One entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Start time of the upstream in Unix milliseconds, if reported. An upstream that restarts
    /// under the same id has lost all its state.
    #[serde(rename = "born_ms")]
    pub started_ms: Option<u64>,
    /// Pool that the upstream belongs to.
    pub pool: PoolName,
    /// Software that the upstream runs. Upstreams of several versions may serve side by side.
    pub software: SoftwareVersion,
    /// Address that the upstream serves on.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream has announced that it is leaving.
    pub leaving: bool,
    /// Time until the upstream is gone, if reported.
    pub leaves_in: Option<Duration>,
    /// Whether the platform may reclaim the upstream at any time.
    pub reclaimable: bool,
    /// Remaining time for which the upstream is slow after its start.
    #[serde(rename = "cold")]
    pub warm_up: Duration,
}

impl ListedUpstream {
    /// Fields that are compared and hashed. Excludes values that only count down.
    fn identity(&self) -> impl Hash + PartialEq + '_ {
        let upstream = (&self.id, self.started_ms, &self.pool, self.address);
        (upstream, &self.software, &self.domain, self.slots, self.leaving, self.reclaimable)
    }
}

/// Digest of the content of `list`.
pub(super) fn digest_list(list: &[ListedUpstream]) -> u64 {
    let mut digest = Xxh3Default::new();
    for entry in list {
        entry.identity().hash(&mut digest);
    }
    digest.finish()
}

/// Finds the entry of `id` in `list`, which is sorted by id.
pub(super) fn find_entry<'a>(
    list: &'a [ListedUpstream],
    id: &UpstreamId,
) -> Option<&'a ListedUpstream> {
    list.binary_search_by(|entry| entry.id.cmp(id)).ok().map(|at| &list[at])
}

/// Ids whose entries differ between `old` and `new`, both sorted by id.
pub(super) fn changed_ids(old: &[ListedUpstream], new: &[ListedUpstream]) -> Vec<UpstreamId> {
    let changed = new.iter().filter(|entry| {
        find_entry(old, &entry.id).is_none_or(|before| before.identity() != entry.identity())
    });
    let removed = old.iter().filter(|entry| find_entry(new, &entry.id).is_none());
    changed.chain(removed).map(|entry| entry.id.clone()).collect()
}

/// Difference between two versions of the list.
pub type UpstreamDelta = ListDelta<ListedUpstream, UpstreamId>;
