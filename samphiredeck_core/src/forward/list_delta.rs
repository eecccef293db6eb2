//! Difference between two versions of a list that nodes relay to each other.
//!
//! A list of hundreds of entries does not fit into a datagram, and neither does a change that
//! affects a whole failure domain. Differences are sent in pages; the receiver appends them and
//! verifies the digest of the result.

use serde::{Deserialize, Serialize};

/// Maximum number of entries in a delta. A node that lacks more reads the store.
const ENTRIES_MAX: usize = 1_000;

/// Difference between two versions of a list of `Entry`, which `Key` identifies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDelta<Entry, Key> {
    /// Digest of the list that the delta applies to. `None` if it is the whole list.
    pub from: Option<u64>,
    /// New and changed entries.
    pub upserted: Vec<Entry>,
    /// Keys of the entries that are gone.
    pub removed: Vec<Key>,
}

impl<Entry: Clone, Key: Clone + Ord> ListDelta<Entry, Key> {
    /// The whole list as a delta. `None` if it is too large to be relayed.
    #[must_use]
    pub fn whole(entries: &[Entry]) -> Option<Self> {
        let is_small = entries.len() <= ENTRIES_MAX;
        is_small.then(|| Self { from: None, upserted: entries.to_vec(), removed: Vec::new() })
    }

    /// Difference from the list with digest `from`, given the keys of the entries that may have
    /// changed since and a function that finds the current entry of a key. `None` if it is too
    /// large to be relayed.
    #[must_use]
    pub fn changed<'a>(
        from: u64,
        mut keys: Vec<&Key>,
        find: impl Fn(&Key) -> Option<&'a Entry>,
    ) -> Option<Self>
    where
        Entry: 'a,
    {
        keys.sort();
        keys.dedup();
        if keys.len() > ENTRIES_MAX {
            return None;
        }
        let mut delta = Self { from: Some(from), upserted: Vec::new(), removed: Vec::new() };
        for key in keys {
            match find(key) {
                Some(entry) => delta.upserted.push(entry.clone()),
                None => delta.removed.push(key.clone()),
            }
        }
        Some(delta)
    }

    /// Page of at most `entries_max` entries after the first `skip`, and the number of entries
    /// after it.
    #[must_use]
    pub fn page(&self, skip: usize, entries_max: usize) -> (Self, usize) {
        let upserted: Vec<Entry> =
            self.upserted.iter().skip(skip).take(entries_max).cloned().collect();
        let skip_removed = skip.saturating_sub(self.upserted.len());
        let removed = self.removed.iter().skip(skip_removed);
        let removed = removed.take(entries_max - upserted.len()).cloned().collect();
        let page = Self { from: self.from, upserted, removed };
        let left = self.len().saturating_sub(skip + page.len());
        (page, left)
    }

    /// Appends the entries of the next page.
    pub fn append(&mut self, mut next: Self) {
        self.upserted.append(&mut next.upserted);
        self.removed.append(&mut next.removed);
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

    /// Whether the delta applies to the list with digest `digest`.
    #[must_use]
    pub fn applies_to(&self, digest: u64) -> bool {
        self.from.is_none_or(|from| from == digest)
    }

    /// Applies the delta to `entries`, whose keys `key` returns. The result is sorted by key.
    #[must_use]
    pub fn apply_to(&self, entries: &[Entry], key: impl Fn(&Entry) -> &Key) -> Vec<Entry> {
        let is_replaced = |entry: &&Entry| {
            self.from.is_none()
                || self.removed.contains(key(entry))
                || self.upserted.iter().any(|upserted| key(upserted) == key(entry))
        };
        let kept = entries.iter().filter(|entry| !is_replaced(entry)).cloned();
        let mut result: Vec<Entry> = kept.chain(self.upserted.iter().cloned()).collect();
        result.sort_by(|a, b| key(a).cmp(key(b)));
        result
    }
}
