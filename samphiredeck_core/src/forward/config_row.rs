//! Tells which answers about the configuration's row confirm the configuration that is in force.
//!
//! A row that a node can't read may take keys or routes away. Its version says that the configuration has changed, but
//! nothing about what it is now, so no answer that shows it may extend the time for which the one before is served.

use xxhash_rust::xxh3::xxh3_128;

use crate::{boot_time::BootTime, ids::RowVersion};

/// Content of the configuration's row, as far as answers about it depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowContent {
    /// A configuration that could be read.
    Readable(u128),
    /// A value that is no configuration for this build.
    Unreadable(u128),
    /// The row has no value or was removed.
    Missing,
}

impl RowContent {
    /// Content of a row with `value`.
    #[must_use]
    pub fn of(value: Option<&[u8]>, is_readable: bool) -> Self {
        match value.map(xxh3_128) {
            Some(digest) if is_readable => Self::Readable(digest),
            Some(digest) => Self::Unreadable(digest),
            None => Self::Missing,
        }
    }

    fn digest(self) -> Option<u128> {
        match self {
            Self::Readable(digest) | Self::Unreadable(digest) => Some(digest),
            Self::Missing => None,
        }
    }
}

/// The configuration's row in the platform's store, as a node has last read it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigRow {
    /// Newest version of the row. Zero before the first read.
    version: RowVersion,
    /// Time by which the answer that showed it had been received.
    read_at: BootTime,
    /// Content of that version. `None` before the first read.
    content: Option<RowContent>,
}

impl ConfigRow {
    /// Newest version of the row.
    #[must_use]
    pub fn version(&self) -> RowVersion {
        self.version
    }

    /// Time by which the answer that showed it had been received.
    #[must_use]
    pub fn read_at(&self) -> BootTime {
        self.read_at
    }

    /// Applies a row that was read by `now`. Returns whether it is at least as new as the one that is known.
    pub fn apply(&mut self, version: RowVersion, content: RowContent, now: BootTime) -> bool {
        if version < self.version {
            return false;
        }
        *self = Self { version, read_at: now, content: Some(content) };
        true
    }

    /// Whether `version` with `value` is what was read last.
    #[must_use]
    pub fn is_known(&self, version: RowVersion, value: Option<&[u8]>) -> bool {
        version == self.version
            && self.content.is_some_and(|known| known.digest() == value.map(xxh3_128))
    }

    /// Whether a row of `version` holds another configuration than the one that was read in the same version, which only a
    /// store that has returned from an older copy shows.
    #[must_use]
    pub fn is_replaced(&self, version: RowVersion, content: RowContent) -> bool {
        match (self.content, content) {
            (Some(RowContent::Readable(known)), RowContent::Readable(read)) => {
                version == self.version && known != read
            }
            _ => false,
        }
    }

    /// Whether the newest row can't be read.
    #[must_use]
    pub fn is_unreadable(&self) -> bool {
        matches!(self.content, Some(RowContent::Unreadable(_) | RowContent::Missing))
    }

    /// Whether an answer by which `version` is the newest confirms the configuration in force. Before the operator's first
    /// write, both versions are zero.
    #[must_use]
    pub fn is_confirmed_by(&self, version: RowVersion) -> bool {
        version == self.version && !self.is_unreadable()
    }
}
