//! Deals the requests that a new version may get to nodes, in advance.
//!
//! Hundreds of nodes send requests to one pool, and messages between them and the leader are lost, delayed and
//! reordered; nodes are killed and frozen. The budget counts a request from the moment at which a node may send it, and
//! gets it back only from a later report of that node. A limit is the total that a node may have sent, so that a
//! repeated or late message grants nothing twice.

use std::time::Duration;

use crate::{
    boot_time::BootTime,
    ids::{Incarnation, NodeName},
};

use super::{ExposureCounts, ExposureLease};

/// Part of the validity of leases for which a node's lease has to last at its usual rate of requests. Above 1, since
/// requests come in bursts.
const LEASE_RESERVE: f64 = 1.5;
/// Time without a report after which a node gets no lease.
const REPORT_MAX: Duration = Duration::from_millis(1_500);
/// Weight of the newest rate of requests of a node.
const RATE_WEIGHT: f64 = 0.3;

/// Node as its reports show it.
#[derive(Clone, Debug)]
struct NodeExposure {
    node: NodeName,
    incarnation: Incarnation,
    first: ExposureCounts,
    last: ExposureCounts,
    /// Time of the last report on the node's clock, in milliseconds.
    asked_ms: u64,
    reported_at: BootTime,
    /// Requests a second that the node sends to the pool.
    rate: f64,
    /// Leases that may still be valid at the node.
    leases: Vec<ExposureLease>,
}

impl NodeExposure {
    /// Highest number of requests that the node may have sent to the new version, or may send still.
    fn bound(&self) -> u64 {
        let limits = self.leases.iter().map(|lease| lease.limit);
        limits.max().unwrap_or(0).max(self.last.exposed)
    }

    fn cost(&self) -> u64 {
        self.bound().saturating_sub(self.first.exposed)
    }
}

/// Budget of requests to a new version, as the leader keeps it.
#[derive(Clone, Debug)]
pub struct ExposureBudget {
    /// Requests that earlier leaders have dealt, and the arrivals that they knew of.
    prior: ExposureCounts,
    /// Sorted by node and incarnation.
    nodes: Vec<NodeExposure>,
    valid: Duration,
    /// Position of the node that is dealt to first.
    next: usize,
}

impl ExposureBudget {
    /// Creates the budget of a leader that follows others. Leases are valid for `valid`.
    #[must_use]
    pub fn new(prior: ExposureCounts, valid: Duration) -> Self {
        Self { prior, nodes: Vec::new(), valid, next: 0 }
    }

    fn find(&self, node: &NodeName, incarnation: Incarnation) -> Result<usize, usize> {
        let key = (node, incarnation);
        self.nodes.binary_search_by(|known| (&known.node, known.incarnation).cmp(&key))
    }

    /// Applies the counts of a report that `node` made at `asked_ms` on its own clock. Returns whether it is newer than
    /// those before.
    pub fn record_report(
        &mut self,
        (node, incarnation): (&NodeName, Incarnation),
        asked_ms: u64,
        counts: ExposureCounts,
        now: BootTime,
    ) -> bool {
        let at = match self.find(node, incarnation) {
            Ok(at) => at,
            Err(at) => {
                let exposure = NodeExposure {
                    node: node.clone(),
                    incarnation,
                    first: counts,
                    last: counts,
                    asked_ms,
                    reported_at: now,
                    rate: 0.0,
                    leases: Vec::new(),
                };
                self.nodes.insert(at, exposure);
                return true;
            }
        };
        let known = &mut self.nodes[at];
        if asked_ms <= known.asked_ms {
            return false;
        }
        #[expect(clippy::cast_precision_loss, reason = "counts of a second are small")]
        let rate = counts.arrivals.saturating_sub(known.last.arrivals) as f64 * 1_000.0
            / (asked_ms - known.asked_ms) as f64;
        known.rate += (rate - known.rate) * RATE_WEIGHT;
        known.last = counts;
        known.asked_ms = asked_ms;
        known.reported_at = now;
        // The node sends nothing by a lease that had expired when it reported.
        known.leases.retain(|lease| lease.asked_ms + lease.valid_ms > asked_ms);
        true
    }

    /// Number of requests that were or may still be sent to the new version, and a number of requests that surely were
    /// sent to the pool.
    #[must_use]
    pub fn counts(&self) -> ExposureCounts {
        let arrived = |known: &NodeExposure| {
            known.last.arrivals - known.first.arrivals.min(known.last.arrivals)
        };
        ExposureCounts {
            arrivals: self.prior.arrivals + self.nodes.iter().map(arrived).sum::<u64>(),
            exposed: self.prior.exposed + self.nodes.iter().map(NodeExposure::cost).sum::<u64>(),
        }
    }

    /// Deals leases for `share` of the requests of each node, as long as all requests stay within `allowance`.
    pub fn deal(
        &mut self,
        allowance: u64,
        share: f64,
        now: BootTime,
    ) -> Vec<(NodeName, ExposureLease)> {
        let mut left = allowance.saturating_sub(self.counts().exposed);
        let count = self.nodes.len();
        let valid_ms = u64::try_from(self.valid.as_millis()).unwrap_or(u64::MAX);
        let mut dealt = Vec::new();
        let first = self.next;
        for offset in 0..count {
            let at = (first + offset) % count;
            let known = &mut self.nodes[at];
            if now.since(known.reported_at) > REPORT_MAX {
                continue;
            }
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a number of requests is small and not negative"
            )]
            let wanted =
                (known.rate * share * self.valid.as_secs_f64() * LEASE_RESERVE).ceil() as u64;
            let target = known.last.exposed + wanted.max(1);
            let bound = known.bound();
            let limit = target.min(bound + left);
            if limit < target {
                // Those that got nothing are first next time.
                self.next = at;
            }
            if limit <= known.last.exposed {
                continue;
            }
            left -= limit.saturating_sub(bound);
            let lease = ExposureLease { asked_ms: known.asked_ms, valid_ms, limit };
            known.leases.push(lease);
            dealt.push((known.node.clone(), lease));
        }
        dealt
    }
}
