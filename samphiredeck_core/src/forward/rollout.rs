//! Moves the traffic of a pool to another software version, and leaves a version that is bad.
//!
//! Load pattern: hundreds of requests a second reach a pool through many nodes, each of which sees a few. Upstreams of
//! the new version appear beside the old ones. Some versions fail in part of their responses or are several times
//! slower, at once or later, under load only or on one route only. Such a version must get a bounded part of all
//! requests, whichever nodes are cut off or killed meanwhile.

pub mod control;
pub mod exposure;
pub mod phases;
pub mod tally;
pub mod verdict;
pub mod version_share;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{FencingToken, PoolName, RowVersion, SoftwareVersion};

use self::{phases::RolloutPhase, tally::RouteReport};

/// Part of the rollback bound for which a lease is valid. The rest is left for the verdict, which reaches no node that
/// is cut off.
const LEASE_PART: u32 = 4;
/// Maximum validity of a lease. Longer ones would leave more of the budget with nodes that ended.
const LEASE_MAX: Duration = Duration::from_millis(1_500);

/// Order of the operator to move a pool to another software version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Pool to move.
    pub pool: PoolName,
    /// Version to move it to.
    pub to: SoftwareVersion,
    /// Time from the order to its deadline.
    pub duration: Duration,
}

/// Bounds on what a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBounds {
    /// Share of the pool's requests.
    pub share: f64,
    /// Number of requests beyond that share.
    pub slack: f64,
    /// Time after the 50th bad response from which the version gets no requests.
    pub rollback: Duration,
}

impl ExposureBounds {
    /// Time for which a lease is valid, from the question of the node on.
    #[must_use]
    pub fn lease_time(&self) -> Duration {
        (self.rollback / LEASE_PART).min(LEASE_MAX)
    }
}

/// Permission for a node to send requests to the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExposureLease {
    /// Time of the report that the lease answers, in milliseconds on the node's own clock. The lease counts from then
    /// on, so that a message that was delayed grants nothing.
    pub asked_ms: u64,
    /// Validity in milliseconds.
    pub valid_ms: u64,
    /// Number of requests that the node may have sent to the new version since it learned of the order.
    pub limit: u64,
}

/// What the leader tells a node about a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutDirective {
    /// Fencing token of the leader.
    pub fence: FencingToken,
    /// Pool of the rollout.
    pub pool: PoolName,
    /// Version of the order's row.
    pub order: RowVersion,
    /// Version that serves the pool.
    pub base: SoftwareVersion,
    /// Version that the pool moves to.
    pub to: SoftwareVersion,
    /// Phase of the rollout.
    pub phase: RolloutPhase,
    /// Share of the requests that go to the new version as far as the lease permits, in thousandths.
    pub share_permille: u16,
    /// Lease of the node. `None` if it may send nothing to the new version.
    pub lease: Option<ExposureLease>,
}

/// What a node has sent to a pool since it learned of an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExposureCounts {
    /// Requests sent to any version.
    pub arrivals: u64,
    /// Requests sent to the new version.
    pub exposed: u64,
}

/// What a node tells the leader about a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Pool of the rollout.
    pub pool: PoolName,
    /// Version of the order's row.
    pub order: RowVersion,
    /// Time of the report, in milliseconds on the node's own clock.
    pub asked_ms: u64,
    /// Newest phase that the node knows.
    pub phase: RolloutPhase,
    /// Requests sent.
    pub counts: ExposureCounts,
    /// Requests in flight at upstreams of the old version.
    pub base_in_flight: u32,
    /// Outcomes by route, since the node learned of the order. Part of the routes if they don't fit.
    pub routes: Vec<RouteReport>,
}
