//! Shares of workspaces in a pool that is short of room.
//!
//! Answers one workspace that sends many times its usual and takes the room of all others, on every node a little. Shares
//! are max-min fair by the tokens that workspaces ask for, over all nodes: each gets what it asks for up to a common level.
//!
//! Nodes tell what they were asked for with their counts of requests, and learn the sums from the same views. A node
//! without a recent view decides by what it was asked for itself.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{boot_time::BootTime, ids::WorkspaceName};

/// Time constant of the moving average of what a workspace asks for.
const AVERAGING_TIME: Duration = Duration::from_secs(1);
/// Age up to which sums of all nodes are used.
const SHARED_LIFETIME: Duration = Duration::from_millis(1_500);
/// Share above the fair level from which a workspace counts as over it, since the sums are old and averaged.
const TOLERANCE: f64 = 1.1;
/// Tokens per second below which a workspace is forgotten.
const RATE_MIN: f64 = 1.0;

/// Short name of a workspace in sums.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkspaceKey(u32);

impl WorkspaceKey {
    /// Key of `workspace`.
    #[must_use]
    pub fn of(workspace: &WorkspaceName) -> Self {
        let hash = xxh3_64(workspace.as_str().as_bytes());
        Self(u32::try_from(hash >> 32).unwrap_or(u32::MAX))
    }
}

/// What a workspace asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceUse {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Tokens per second.
    pub rate: u32,
}

#[derive(Clone, Copy, Debug)]
struct UseMean {
    workspace: WorkspaceKey,
    /// Tokens per second up to `at`.
    rate: f64,
    at: BootTime,
}

/// What workspaces ask for, at this node and at all.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceUses {
    /// Sorted by workspace, without duplicates.
    own: Vec<UseMean>,
    /// Sums over all nodes, and the time at which they were told. Sorted by workspace.
    shared: Option<(Vec<WorkspaceUse>, BootTime)>,
}

impl WorkspaceUses {
    /// Records that `workspace` asked for `tokens` at `now`.
    pub fn record(&mut self, workspace: &WorkspaceName, tokens: u64, now: BootTime) {
        #[expect(clippy::cast_precision_loss, reason = "requests have far fewer tokens")]
        let added = tokens as f64 / AVERAGING_TIME.as_secs_f64();
        let workspace = WorkspaceKey::of(workspace);
        match self.own.binary_search_by_key(&workspace, |row| row.workspace) {
            Ok(at) => {
                let row = &mut self.own[at];
                *row = UseMean { workspace, rate: row.rate_at(now) + added, at: now };
            }
            Err(at) => self.own.insert(at, UseMean { workspace, rate: added, at: now }),
        }
    }

    /// What this node was asked for, to be told to others.
    pub fn own(&mut self, now: BootTime) -> Vec<WorkspaceUse> {
        self.own.retain(|row| row.rate_at(now) >= RATE_MIN);
        self.own.iter().map(|row| row.share(now)).collect()
    }

    /// Records the sums over all nodes.
    pub fn record_shared(&mut self, mut uses: Vec<WorkspaceUse>, now: BootTime) {
        uses.sort_by_key(|row| row.workspace);
        uses.dedup_by_key(|row| row.workspace);
        self.shared = Some((uses, now));
    }

    /// Whether a request of `workspace` at `now` is beyond its fair share, where demand exceeds the room by the factor
    /// `excess`. Of the requests of a workspace, that is the part by which it asks for more than its share, chosen by
    /// `draw`, which is uniform in 0 to 1: if all of them counted, workspaces that are a little over their share would
    /// be treated like one that is far over it. A single workspace is never over its share.
    #[must_use]
    pub fn is_over_share(
        &self,
        workspace: &WorkspaceName,
        (excess, draw): (f64, f64),
        now: BootTime,
    ) -> bool {
        let key = WorkspaceKey::of(workspace);
        let shared = self.shared.as_ref().filter(|(_, at)| now.since(*at) < SHARED_LIFETIME);
        let uses = match shared {
            Some((uses, _)) => uses.clone(),
            None => self.own.iter().map(|row| row.share(now)).collect(),
        };
        if uses.len() < 2 || excess <= 1.0 {
            return false;
        }
        let Ok(at) = uses.binary_search_by_key(&key, |row| row.workspace) else { return false };
        let rate = f64::from(uses[at].rate);
        let rates: Vec<f64> = uses.iter().map(|row| f64::from(row.rate)).collect();
        let room = rates.iter().sum::<f64>() / excess;
        draw * rate >= fair_level(rates, room) * TOLERANCE
    }
}

impl UseMean {
    fn rate_at(&self, now: BootTime) -> f64 {
        let passed = now.since(self.at).as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        self.rate * (-passed).exp()
    }

    fn share(&self, now: BootTime) -> WorkspaceUse {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "not negative, and saturates"
        )]
        let rate = self.rate_at(now) as u32;
        WorkspaceUse { workspace: self.workspace, rate }
    }
}

/// Adds `uses` to `sum`, which is sorted by workspace.
pub fn add_uses(sum: &mut Vec<WorkspaceUse>, uses: &[WorkspaceUse]) {
    for row in uses {
        match sum.binary_search_by_key(&row.workspace, |other| other.workspace) {
            Ok(at) => sum[at].rate = sum[at].rate.saturating_add(row.rate),
            Err(at) => sum.insert(at, *row),
        }
    }
}

/// Max-min fair level: what each of `rates` may use at most, so that all together use `room`. Infinite if there is room
/// for all.
#[must_use]
pub fn fair_level(mut rates: Vec<f64>, room: f64) -> f64 {
    rates.sort_by(f64::total_cmp);
    let mut left = room;
    let count = rates.len();
    for (index, rate) in rates.into_iter().enumerate() {
        #[expect(clippy::cast_precision_loss, reason = "workspaces are few")]
        let level = left / (count - index) as f64;
        if rate > level {
            return level;
        }
        left -= rate;
    }
    f64::INFINITY
}
