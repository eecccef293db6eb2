//! Counts of started requests, by time window and workspace, from which usage is billed.
//!
//! The report of a window must never be sent in two different versions. The counts of a window are
//! therefore agreed in the store before they are sent, and only the agreed counts are sent.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::WorkspaceName;

/// Number of windows for which counts are kept.
const KEPT_WINDOWS: usize = 6;
/// Number of past windows that are checked for a missing report: those of which all nodes still have the counts. Short windows
/// are past their due time by then; their usage is still billed.
pub const REPORT_LOOKBACK: i64 = 5;

/// Index of a time window, counted from the Unix epoch.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Default, Hash,
)]
#[serde(transparent)]
pub struct WindowIndex(pub i64);

impl WindowIndex {
    /// Window that contains the Unix time `unix_ms` in milliseconds.
    #[must_use]
    pub fn of(unix_ms: i64, length: Duration) -> Self {
        let window = (i128::from(unix_ms) * NANOS_PER_MS).div_euclid(nanos(length));
        Self(i64::try_from(window).unwrap_or(i64::MAX))
    }

    /// End of the window as Unix time in milliseconds.
    #[must_use]
    pub fn end_ms(self, length: Duration) -> i64 {
        let end = (i128::from(self.0) + 1).saturating_mul(nanos(length)) / NANOS_PER_MS;
        i64::try_from(end).unwrap_or(i64::MAX)
    }
}

const NANOS_PER_MS: i128 = 1_000_000;

/// Length of a window in nanoseconds, at least 1. Windows are numbered from the epoch, so a part of a millisecond counts.
fn nanos(length: Duration) -> i128 {
    i128::try_from(length.as_nanos()).unwrap_or(i128::MAX).max(1)
}

/// Count of one workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceCount {
    /// Workspace that the requests belong to.
    pub workspace: WorkspaceName,
    /// Number of requests that began to run.
    pub count: u64,
}

/// Counts of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Window that the counts belong to.
    pub window: WindowIndex,
    /// Sorted by workspace, without duplicates.
    pub counts: Vec<WorkspaceCount>,
}

impl WindowCounts {
    /// Creates an empty window.
    #[must_use]
    pub fn new(window: WindowIndex) -> Self {
        Self { window, counts: Vec::new() }
    }

    /// Adds `count` requests of `workspace`.
    pub fn add(&mut self, workspace: &WorkspaceName, count: u64) {
        match self.counts.binary_search_by(|row| row.workspace.cmp(workspace)) {
            Ok(at) => self.counts[at].count += count,
            Err(at) => {
                self.counts.insert(at, WorkspaceCount { workspace: workspace.clone(), count });
            }
        }
    }

    /// Raises the count of `workspace` to at least `count`.
    pub fn raise(&mut self, workspace: &WorkspaceName, count: u64) {
        match self.counts.binary_search_by(|row| row.workspace.cmp(workspace)) {
            Ok(at) => self.counts[at].count = self.counts[at].count.max(count),
            Err(at) => {
                self.counts.insert(at, WorkspaceCount { workspace: workspace.clone(), count });
            }
        }
    }

    /// Removes the workspaces that `is_kept` does not name. Returns the number of their requests.
    pub fn retain(&mut self, is_kept: impl Fn(&WorkspaceName) -> bool) -> u64 {
        let before = self.total();
        self.counts.retain(|row| is_kept(&row.workspace));
        before - self.total()
    }

    /// Sum over all workspaces.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.counts.iter().map(|row| row.count).sum()
    }

    /// Digest of the counts, which differs if any count does.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let seed_of = |digest, row: &WorkspaceCount| {
            xxh3_64_with_seed(row.workspace.as_str().as_bytes(), digest).wrapping_add(row.count)
        };
        self.counts.iter().fold(0, seed_of)
    }

    /// Adds all counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        for row in &other.counts {
            self.add(&row.workspace, row.count);
        }
    }
}

/// Combines two states of the counts of one node. Counts only grow, so the larger one is newer.
#[must_use]
pub fn merge_windows(a: &[WindowCounts], b: &[WindowCounts]) -> Vec<WindowCounts> {
    let mut merged = a.to_vec();
    for counts in b {
        let at = match merged.binary_search_by_key(&counts.window, |row| row.window) {
            Ok(at) => at,
            Err(at) => {
                merged.insert(at, WindowCounts::new(counts.window));
                at
            }
        };
        for row in &counts.counts {
            merged[at].raise(&row.workspace, row.count);
        }
    }
    let excess = merged.len().saturating_sub(KEPT_WINDOWS);
    merged.drain(..excess);
    merged
}

/// Counts of this node for the newest windows.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    /// Sorted by window, without duplicates, at most [`KEPT_WINDOWS`].
    windows: Vec<WindowCounts>,
}

impl UsageLedger {
    /// Counts a request of `workspace` that began to run in `window`.
    pub fn count(&mut self, window: WindowIndex, workspace: &WorkspaceName) {
        self.add(window, workspace, 1);
    }

    fn add(&mut self, window: WindowIndex, workspace: &WorkspaceName, count: u64) {
        let at = match self.windows.binary_search_by_key(&window, |row| row.window) {
            Ok(at) => at,
            Err(at) => {
                self.windows.insert(at, WindowCounts::new(window));
                at
            }
        };
        self.windows[at].add(workspace, count);
        if self.windows.len() > KEPT_WINDOWS {
            self.windows.remove(0);
        }
    }

    /// Adds the published counts of an earlier incarnation of this node.
    pub fn restore(&mut self, windows: &[WindowCounts]) {
        for counts in windows {
            for row in &counts.counts {
                self.add(counts.window, &row.workspace, row.count);
            }
        }
    }

    /// Counts by window, sorted.
    #[must_use]
    pub fn windows(&self) -> &[WindowCounts] {
        &self.windows
    }
}
