//! Counts of requests that began to run, by window of the time of day and workspace.
//!
//! Answers usage that is billed from reports of which each may be sent only once in one form:
//! the counts of a window are agreed in the store before they are sent, and only those are sent.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::WorkspaceName;

/// Windows for which counts are kept. Reports are due two windows after the end.
const KEPT_WINDOWS: usize = 6;

/// Number of a window of the time of day.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Default, Hash,
)]
#[serde(transparent)]
pub struct WindowNumber(pub i64);

impl WindowNumber {
    /// Window that holds the moment `true_ms` milliseconds after 1970.
    #[must_use]
    pub fn of(true_ms: i64, length: Duration) -> Self {
        let length = i64::try_from(length.as_millis()).unwrap_or(i64::MAX).max(1);
        Self(true_ms.div_euclid(length))
    }

    /// End of the window in milliseconds after 1970.
    #[must_use]
    pub fn end_ms(self, length: Duration) -> i64 {
        let length = i64::try_from(length.as_millis()).unwrap_or(i64::MAX).max(1);
        (self.0 + 1).saturating_mul(length)
    }
}

/// Count of one workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartCount {
    /// Workspace that the requests belong to.
    pub workspace: WorkspaceName,
    /// Requests that began to run.
    pub count: u64,
}

/// Counts of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Key.
    pub window: WindowNumber,
    /// Sorted by workspace, without duplicates.
    pub counts: Vec<StartCount>,
}

impl WindowCounts {
    /// Starts without any count.
    #[must_use]
    pub fn new(window: WindowNumber) -> Self {
        Self { window, counts: Vec::new() }
    }

    /// Adds `count` requests of `workspace`.
    pub fn add(&mut self, workspace: &WorkspaceName, count: u64) {
        match self.counts.binary_search_by(|row| row.workspace.cmp(workspace)) {
            Ok(at) => self.counts[at].count += count,
            Err(at) => {
                self.counts.insert(at, StartCount { workspace: workspace.clone(), count });
            }
        }
    }

    /// Adds all counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        for row in &other.counts {
            self.add(&row.workspace, row.count);
        }
    }
}

/// Counts of this node for the newest windows.
#[derive(Clone, Debug, Default)]
pub struct StartLedger {
    /// Sorted by window, without duplicates, at most [`KEPT_WINDOWS`].
    windows: Vec<WindowCounts>,
}

impl StartLedger {
    /// Counts a request of `workspace` that began to run in `window`.
    pub fn count(&mut self, window: WindowNumber, workspace: &WorkspaceName) {
        self.add(window, workspace, 1);
    }

    fn add(&mut self, window: WindowNumber, workspace: &WorkspaceName, count: u64) {
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

    /// Adds the counts of an earlier run of this node, as it published them.
    pub fn adopt(&mut self, windows: &[WindowCounts]) {
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
