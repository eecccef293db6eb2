//! List of the platform's upstreams and differences between two versions of it.
//!
//! The list of a large fleet changes with each reclaim of a failure domain. Nodes relay what changed
//! in pages of one datagram, and verify the resulting list by its digest.

use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::ids::{DomainName, PoolName, RowVersion, UpstreamId};

/// Maximum number of entries in a page of a delta, so that it fits into one datagram.
const PAGE_ENTRIES_MAX: usize = 8;

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
        (upstream, &self.domain, self.slots, self.leaving, self.reclaimable)
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
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListDelta {
    /// Digest of the list that the delta applies to. `None` if it is the whole list.
    pub from: Option<u64>,
    /// Version of the resulting list.
    pub version: RowVersion,
    /// New and changed entries.
    #[serde(rename = "put")]
    pub upserted: Vec<ListedUpstream>,
    /// Ids that are no longer listed.
    #[serde(rename = "gone")]
    pub removed: Vec<UpstreamId>,
}

impl ListDelta {
    /// Page of the delta without its first `skip` entries, and the number of entries after it.
    #[must_use]
    pub fn page(&self, skip: usize) -> (Self, usize) {
        let upserted = self.upserted.iter().skip(skip).take(PAGE_ENTRIES_MAX);
        let upserted: Vec<ListedUpstream> = upserted.cloned().collect();
        let skip_removed = skip.saturating_sub(self.upserted.len());
        let removed = self.removed.iter().skip(skip_removed);
        let removed = removed.take(PAGE_ENTRIES_MAX - upserted.len()).cloned().collect();
        let page = Self { from: self.from, version: self.version, upserted, removed };
        let left = self.len().saturating_sub(skip + page.len());
        (page, left)
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.upserted.len() + self.removed.len()
    }

    /// Whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends the entries of the next page.
    pub fn append(&mut self, mut next: Self) {
        self.upserted.append(&mut next.upserted);
        self.removed.append(&mut next.removed);
    }
}
