//! Tracks which upstreams this node can connect to.
//!
//! Answers the loss of paths: a node that callers and other nodes still reach can't connect to some
//! upstreams, or to any. Connections hang or are refused, as they are when upstreams end. What tells
//! them apart is that another node connects to the same upstream at the same time.

use std::time::Duration;

use crate::{boot_time::BootTime, ids::UpstreamId};

/// Maximum time between a failure here and a success at another node that concern the same run of an
/// upstream.
const SAME_STATE_MAX: Duration = Duration::from_secs(1);
/// Time after which a failure that no other node has contradicted is forgotten.
const FAILURE_LIFETIME: Duration = Duration::from_secs(3);
/// Number of upstreams without any success in between after which none is expected to be reached.
const FAILED_MIN: usize = 2;
/// Interval between probes of lost paths.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// How a connection to an upstream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathFailure {
    /// It was refused or reset. Open connections may live on.
    Refused,
    /// There was no response in time. Open connections are probably silent, too.
    Silent,
}

/// How to connect to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathRoute {
    /// Directly.
    Direct,
    /// Through another node.
    OtherNode,
}

/// Path to one upstream that failed.
#[derive(Clone, Debug)]
struct FailedPath {
    upstream: UpstreamId,
    /// Newest failure. `None` if only another node's success is known.
    failed: Option<(PathFailure, BootTime)>,
    /// First failure since the path last worked. Present with `failed`.
    failing_since: Option<BootTime>,
    /// Newest success of another node.
    reached_at: Option<BootTime>,
    /// Whether another node has reached the upstream while this one could not. Stays until a success.
    is_lost: bool,
}

/// Paths from this node to upstreams.
#[derive(Clone, Debug, Default)]
pub struct PathTable {
    /// Sorted by upstream, without duplicates. Paths without a recent failure have none.
    rows: Vec<FailedPath>,
    /// Time of the last connection to any upstream.
    connected_at: Option<BootTime>,
    /// Whether no upstream is expected to be reached. Stays until a success.
    is_cut_off: bool,
    probed_at: Option<BootTime>,
}

impl PathTable {
    /// Records a connection to `upstream`. Returns whether it was considered lost.
    pub fn record_connected(&mut self, upstream: &UpstreamId, now: BootTime) -> bool {
        self.connected_at = Some(now);
        let was_cut_off = std::mem::take(&mut self.is_cut_off);
        let Ok(at) = self.rows.binary_search_by(|row| row.upstream.cmp(upstream)) else {
            return was_cut_off;
        };
        let was_lost = self.rows.remove(at).is_lost;
        if was_lost {
            // The other paths have probably returned as well, and are tried again at their next use.
            self.rows.clear();
        }
        was_lost || was_cut_off
    }

    /// Records that a connection to `upstream` failed. Returns whether its path was lost by that.
    pub fn record_failure(
        &mut self,
        upstream: &UpstreamId,
        failure: PathFailure,
        now: BootTime,
    ) -> bool {
        self.rows.retain(|row| row.is_lost || row.is_recent(now));
        let row = self.row(upstream);
        row.failed = Some((failure, now));
        row.failing_since.get_or_insert(now);
        self.update(upstream)
    }

    /// Records that another node has connected to `upstream`. Returns whether its path was lost by that.
    pub fn record_reached(&mut self, upstream: &UpstreamId, now: BootTime) -> bool {
        self.row(upstream).reached_at = Some(now);
        self.update(upstream)
    }

    /// Records that another node can't reach any upstream either. Returns whether none is expected to be
    /// reached because of that.
    pub fn record_unreached(&mut self, now: BootTime) -> bool {
        self.rows.retain(|row| row.is_lost || row.is_recent(now));
        let before = self.is_cut_off;
        self.is_cut_off |= self.has_only_failures();
        !before && self.is_cut_off
    }

    /// How to connect to `upstream`.
    #[must_use]
    pub fn route(&self, upstream: &UpstreamId) -> PathRoute {
        if self.is_cut_off || self.is_lost(upstream) {
            PathRoute::OtherNode
        } else {
            PathRoute::Direct
        }
    }

    /// Whether the path to `upstream` is lost: another node has reached it while this one could not.
    #[must_use]
    pub fn is_lost(&self, upstream: &UpstreamId) -> bool {
        self.find(upstream).is_some_and(|row| row.is_lost)
    }

    /// Whether a connection to `upstream` has failed lately.
    #[must_use]
    pub fn has_failed(&self, upstream: &UpstreamId, now: BootTime) -> bool {
        let row = self.find(upstream).filter(|row| row.is_lost || row.is_recent(now));
        row.is_some_and(|row| row.failed.is_some())
    }

    /// Whether open connections to `upstream` are probably silent.
    #[must_use]
    pub fn is_silent(&self, upstream: &UpstreamId) -> bool {
        let silent = |row: &FailedPath| matches!(row.failed, Some((PathFailure::Silent, _)));
        let row = self.find(upstream);
        if self.is_cut_off && row.is_none_or(|row| row.failed.is_none()) {
            return self.rows.iter().any(silent);
        }
        row.is_some_and(|row| (row.is_lost || self.is_cut_off) && silent(row))
    }

    /// Whether no upstream is expected to be reached.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Number of lost paths.
    #[must_use]
    pub fn count_lost(&self) -> usize {
        self.rows.iter().filter(|row| row.is_lost).count()
    }

    /// The next of the `listed` upstreams to which a connection should be tried, if one is due. An upstream
    /// that has not failed comes first, since it tells whether all are lost. `random` is uniform.
    pub fn take_probe<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a UpstreamId>,
        now: BootTime,
        random: f64,
    ) -> Option<UpstreamId> {
        let is_due = self.probed_at.is_none_or(|at| now.since(at) >= PROBE_PERIOD);
        if !is_due || (!self.is_cut_off && self.count_lost() == 0) {
            return None;
        }
        let listed: Vec<&UpstreamId> = listed.collect();
        let untried = |id: &&&UpstreamId| self.find(id).is_none_or(|row| row.failed.is_none());
        let untried: Vec<_> = listed.iter().filter(untried).collect();
        let has_lost = self.count_lost() > 0;
        let is_candidate = |row: &FailedPath| row.is_lost || (!has_lost && row.failed.is_some());
        let failed = listed.iter().filter(|id| self.find(id).is_some_and(is_candidate));
        let failed: Vec<_> = failed.collect();
        let candidates = if self.is_cut_off && !untried.is_empty() { untried } else { failed };
        let at = pick_index(candidates.len(), random)?;
        let probed = (**candidates[at]).clone();
        self.probed_at = Some(now);
        Some(probed)
    }

    /// Forgets upstreams for which `is_listed` does not hold.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.rows.retain(|row| is_listed(&row.upstream));
    }

    /// Updates what follows from the row of `upstream`. Returns whether its path was lost by that.
    fn update(&mut self, upstream: &UpstreamId) -> bool {
        let row = self.row(upstream);
        let before = row.is_lost;
        if let (Some((_, failed_at)), Some(reached_at)) = (row.failed, row.reached_at) {
            let apart = failed_at.since(reached_at).max(reached_at.since(failed_at));
            row.is_lost |= apart <= SAME_STATE_MAX;
        }
        let is_lost = row.is_lost;
        self.is_cut_off |= is_lost && self.has_only_failures();
        is_lost && !before
    }

    /// Whether several upstreams have begun to fail since one was last reached. Further failures of those
    /// that failed before it tell nothing of the others.
    fn has_only_failures(&self) -> bool {
        let begun = self.rows.iter().filter(|row| row.failing_since > self.connected_at);
        begun.count() >= FAILED_MIN
    }

    fn find(&self, upstream: &UpstreamId) -> Option<&FailedPath> {
        let at = self.rows.binary_search_by(|row| row.upstream.cmp(upstream)).ok()?;
        Some(&self.rows[at])
    }

    fn row(&mut self, upstream: &UpstreamId) -> &mut FailedPath {
        let at = match self.rows.binary_search_by(|row| row.upstream.cmp(upstream)) {
            Ok(at) => at,
            Err(at) => {
                let upstream = upstream.clone();
                let row = FailedPath {
                    upstream,
                    failed: None,
                    failing_since: None,
                    reached_at: None,
                    is_lost: false,
                };
                self.rows.insert(at, row);
                at
            }
        };
        &mut self.rows[at]
    }
}

impl FailedPath {
    fn is_recent(&self, now: BootTime) -> bool {
        let failed_at = self.failed.map(|(_, at)| at);
        failed_at.max(self.reached_at).is_some_and(|at| now.since(at) < FAILURE_LIFETIME)
    }
}

/// Index below `count` for the uniform number `random`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the product is below `count`"
)]
fn pick_index(count: usize, random: f64) -> Option<usize> {
    (count > 0).then(|| ((random * count as f64) as usize).min(count - 1))
}
