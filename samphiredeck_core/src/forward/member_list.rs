//! List of the live nodes, as relayed from a reader of the store to its followers.
//!
//! Hundreds of nodes would make thousands of store calls a minute to learn that nothing has
//! changed. A follower states the digest of the list that it holds; the reader confirms it, or
//! sends the few entries that changed.

use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::{
    forward::list_delta::ListDelta,
    ids::{DomainName, Incarnation, NodeName},
};

/// Number of recent changes kept for followers that hold an older list.
const RECENT_CHANGES_MAX: usize = 8;
/// Maximum number of entries in a page of a [`MemberDelta`], so that it fits into one datagram.
pub const MEMBER_PAGE_ENTRIES: usize = 10;

/// Entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberIdentity {
    /// Key of the entry.
    pub node: NodeName,
    /// Run of the node.
    pub incarnation: Incarnation,
    /// Address for datagrams from other nodes.
    pub peer: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Time on the store's clock, in milliseconds, at which the first run at this address started.
    pub since_ms: i64,
}

/// Difference between two versions of the list.
pub type MemberDelta = ListDelta<MemberIdentity, NodeName>;

/// List of live nodes with its recent changes.
#[derive(Clone, Debug, Default)]
pub struct MemberList {
    /// Sorted by node, without duplicates.
    entries: Vec<MemberIdentity>,
    /// Digest of `entries`.
    digest: u64,
    /// Nodes affected by each recent change, with the digest of the list before it. At most
    /// [`RECENT_CHANGES_MAX`], newest last.
    recent_changes: Vec<(u64, Vec<NodeName>)>,
}

impl MemberList {
    /// Entries, sorted by node.
    #[must_use]
    pub fn entries(&self) -> &[MemberIdentity] {
        &self.entries
    }

    /// Digest of the entries.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Replaces the list by `entries`, which are sorted by node and have no duplicates.
    pub fn replace(&mut self, entries: Vec<MemberIdentity>) {
        let digest = digest_entries(&entries);
        if digest == self.digest {
            return;
        }
        let changed = changed_nodes(&self.entries, &entries);
        self.recent_changes.push((self.digest, changed));
        let excess = self.recent_changes.len().saturating_sub(RECENT_CHANGES_MAX);
        self.recent_changes.drain(..excess);
        self.entries = entries;
        self.digest = digest;
    }

    /// Difference from the list with digest `from`, or the whole list if that one is not known.
    /// `None` if it is too large.
    #[must_use]
    pub fn delta_from(&self, from: u64) -> Option<MemberDelta> {
        let Some(first) = self.recent_changes.iter().rposition(|(before, _)| *before == from)
        else {
            return ListDelta::whole(&self.entries);
        };
        let nodes = self.recent_changes[first..].iter().flat_map(|(_, nodes)| nodes).collect();
        ListDelta::changed(from, nodes, |node| find_entry(&self.entries, node))
    }

    /// Applies `delta`. Returns whether the list has the digest `expected` now; otherwise it is
    /// unchanged.
    pub fn apply(&mut self, delta: &MemberDelta, expected: u64) -> bool {
        if !delta.applies_to(self.digest) {
            return false;
        }
        let entries = delta.apply_to(&self.entries, |entry| &entry.node);
        let is_expected = digest_entries(&entries) == expected;
        if is_expected {
            self.replace(entries);
        }
        is_expected
    }
}

fn find_entry<'a>(entries: &'a [MemberIdentity], node: &NodeName) -> Option<&'a MemberIdentity> {
    entries.binary_search_by(|entry| entry.node.cmp(node)).ok().map(|at| &entries[at])
}

/// Nodes whose entries differ between `old` and `new`, both sorted by node.
fn changed_nodes(old: &[MemberIdentity], new: &[MemberIdentity]) -> Vec<NodeName> {
    let changed = new.iter().filter(|entry| find_entry(old, &entry.node) != Some(entry));
    let removed = old.iter().filter(|entry| find_entry(new, &entry.node).is_none());
    changed.chain(removed).map(|entry| entry.node.clone()).collect()
}

/// Digest of `entries`. Zero for an empty list.
fn digest_entries(entries: &[MemberIdentity]) -> u64 {
    if entries.is_empty() {
        return 0;
    }
    let mut digest = Xxh3Default::new();
    entries.hash(&mut digest);
    digest.finish()
}
