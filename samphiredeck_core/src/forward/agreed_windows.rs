//! Decides which counts of a usage window the leader may report.
//!
//! Answers a store that returned from an older copy: it may have lost the committed counts of a window that was reported, and a new
//! sum may differ from them. Each node that reads the store remembers the counts that it has seen, and only those are committed again.
//! A window that ended before the store returned is summed by a node that has been the leader since its end, and by nobody else:
//! others can't know whether it was reported.
//!
//! Counts that a build agreed on without the names of its workspaces are not reported again: which names it sent is not known.

use serde::{Deserialize, Serialize};

use crate::forward::{
    store_eras::StoreEra,
    usage::{WindowCounts, WindowIndex},
};

/// Number of windows whose committed counts are remembered. More than the leader looks back.
const REMEMBERED_WINDOWS: usize = 16;
/// Number of windows before the newest one whose rows are surely still in the store, unless it lost them.
const STORED_WINDOWS: i64 = 8;

/// Row that tells when an era of the store began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EraRecord {
    /// The era. Nodes that are told of none by the store take it from here.
    pub era: StoreEra,
    /// Unix time in milliseconds at which a node first read the store in this era. The store returned before that.
    pub start_ms: i64,
}

/// What the leader may do about a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WindowStep {
    /// Sum the counts of all nodes and commit them.
    Sum,
    /// Commit these counts, unless they are still there, and report them.
    Repeat(WindowCounts),
    /// Report nothing for now.
    Withhold(WithholdReason),
}

/// Why a window is not reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithholdReason {
    /// It is not known yet when the era of the store began.
    UnknownEra,
    /// The window ended before the store returned, and may have been reported with counts that were lost.
    PerhapsReported,
    /// Two different counts were committed for the window.
    Disputed,
    /// The counts were committed without the names under which they were reported.
    UnknownNames,
}

/// Committed counts of one window.
#[derive(Clone, Debug)]
struct AgreedWindow {
    counts: WindowCounts,
    /// Whether other counts were read since.
    disputed: bool,
    /// Whether the names of all workspaces were committed with the counts.
    named: bool,
}

/// Committed counts of the newest windows, as far as this node has read them in any era of the store.
#[derive(Clone, Debug, Default)]
pub struct AgreedWindows {
    /// Sorted by window, without duplicates, at most [`REMEMBERED_WINDOWS`].
    windows: Vec<AgreedWindow>,
    era_record: Option<EraRecord>,
}

impl AgreedWindows {
    /// Records counts that were read from the store or committed. Counts that differ from those known before leave
    /// the window disputed. `named` tells whether the names of all workspaces were committed with them. Returns whether
    /// they are the same, or the first ones.
    pub fn record(&mut self, counts: &WindowCounts, named: bool) -> bool {
        match self.windows.binary_search_by_key(&counts.window, |row| row.counts.window) {
            Ok(at) => {
                let row = &mut self.windows[at];
                row.disputed |= row.counts != *counts;
                row.counts == *counts
            }
            Err(at) => {
                let row = AgreedWindow { counts: counts.clone(), disputed: false, named };
                self.windows.insert(at, row);
                if self.windows.len() > REMEMBERED_WINDOWS {
                    self.windows.remove(0);
                }
                true
            }
        }
    }

    /// Records when an era of the store began.
    pub fn record_era(&mut self, record: Option<EraRecord>) {
        self.era_record = record;
    }

    /// Windows whose counts are known, sorted.
    #[must_use]
    pub fn known(&self) -> Vec<WindowIndex> {
        self.windows.iter().map(|row| row.counts.window).collect()
    }

    /// Known counts whose rows are missing from the store, which has those of the windows `stored`, in any order.
    #[must_use]
    pub fn find_lost(&self, stored: &[WindowIndex]) -> Vec<&WindowCounts> {
        let Some(newest) = self.windows.last() else { return Vec::new() };
        let oldest = newest.counts.window.0 - STORED_WINDOWS;
        let is_lost = |row: &&AgreedWindow| {
            row.counts.window.0 > oldest && !row.disputed && !stored.contains(&row.counts.window)
        };
        self.windows.iter().filter(is_lost).map(|row| &row.counts).collect()
    }

    /// What the leader may do about `window`, which ended at the Unix time `end_ms` in milliseconds. The store is in
    /// `era`, and no other node can have acted as the leader since `tenure_ms`, if that is known.
    #[must_use]
    pub fn next_step(
        &self,
        window: WindowIndex,
        end_ms: i64,
        era: StoreEra,
        tenure_ms: Option<i64>,
    ) -> WindowStep {
        if let Ok(at) = self.windows.binary_search_by_key(&window, |row| row.counts.window) {
            let row = &self.windows[at];
            if row.disputed {
                return WindowStep::Withhold(WithholdReason::Disputed);
            }
            if !row.named {
                return WindowStep::Withhold(WithholdReason::UnknownNames);
            }
            return WindowStep::Repeat(row.counts.clone());
        }
        // Nobody commits the counts of a window before its end.
        let is_witnessed = tenure_ms.is_some_and(|since_ms| since_ms <= end_ms);
        if era == StoreEra::default() || is_witnessed {
            return WindowStep::Sum;
        }
        match self.era_record.filter(|record| record.era == era) {
            None => WindowStep::Withhold(WithholdReason::UnknownEra),
            Some(record) if end_ms <= record.start_ms => {
                WindowStep::Withhold(WithholdReason::PerhapsReported)
            }
            Some(_) => WindowStep::Sum,
        }
    }
}
