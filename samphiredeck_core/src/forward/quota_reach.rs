//! Tells an owner of limits which share of the nodes it decides for.
//!
//! The list of members comes from the store, which both sides of a cut between nodes read. Each side then has an owner, and
//! two owners at the full rate would exceed the limit. An owner therefore grants by the share of the listed nodes that it
//! reaches. The shares of two sides add up to one with nothing to agree on. Nodes that end leave it to the others: their
//! address refuses connections, which a cut doesn't.
//!
//! Only owners of limits under pressure probe, a few nodes at a time, so that bytes don't grow with the cluster.

use std::time::Duration;

use crate::{boot_time::BootTime, forward::quota::PROBE_TIMEOUT, ids::NodeName};

/// Interval between rounds of probes.
pub const PROBE_PERIOD: Duration = Duration::from_millis(150);
/// Number of nodes probed in a round. Those of larger clusters are drawn at random.
pub const PROBED_PER_ROUND: usize = 8;
/// Time without a response after which a probed node counts as out of reach. Three probes may be lost.
const REACH_LIFETIME: Duration = Duration::from_millis(500);
/// Time for which a node that was out of reach has to respond before it counts again. A path that fails every other second
/// would give both of its ends the node's share otherwise.
const RETURN_AFTER: Duration = Duration::from_millis(900);
/// Time for which a node whose address refused a connection counts as ended.
const END_LIFETIME: Duration = Duration::from_secs(1);
/// Time without a round after which what is known is outdated: the process was frozen, or nothing was under pressure.
const ROUND_LIFETIME: Duration = Duration::from_secs(1);

/// One probed node.
#[derive(Clone, Debug)]
struct ProbedNode {
    node: NodeName,
    /// Time of the first probe.
    first_at: BootTime,
    /// Time of the last probe.
    probed_at: BootTime,
    /// Time of the last response.
    answered_at: Option<BootTime>,
    /// Time of the last round at which it was out of reach.
    lost_at: Option<BootTime>,
    /// Time at which its address last refused a connection.
    ended_at: Option<BootTime>,
}

impl ProbedNode {
    fn is_reached(&self, now: BootTime) -> bool {
        let is_back = self.lost_at.is_none_or(|at| now.since(at) >= RETURN_AFTER);
        is_back && self.answers(now)
    }

    fn answers(&self, now: BootTime) -> bool {
        self.answered_at.is_some_and(|at| now.since(at) < REACH_LIFETIME)
    }

    /// Whether it counts as out of reach, and has not ended as far as is known.
    fn is_lost(&self, now: BootTime) -> bool {
        let is_awaited = now.since(self.first_at) < PROBE_TIMEOUT;
        let has_ended = self.ended_at.is_some_and(|at| now.since(at) < END_LIFETIME);
        !self.is_reached(now) && !is_awaited && (self.answers(now) || !has_ended)
    }
}

/// Nodes that this one reaches in both directions.
#[derive(Clone, Debug, Default)]
pub struct QuotaReach {
    /// Sorted by node, without duplicates. Probed in the last rounds.
    rows: Vec<ProbedNode>,
    /// Time of the last round of probes.
    round_at: Option<BootTime>,
}

impl QuotaReach {
    /// Begins a round of probes to `nodes`.
    pub fn begin_round(&mut self, nodes: &[NodeName], now: BootTime) {
        if !self.is_current(now) {
            self.rows.clear();
        }
        self.round_at = Some(now);
        for row in &mut self.rows {
            if row.is_lost(now) && !row.answers(now) {
                row.lost_at = Some(now);
            }
        }
        self.rows.retain(|row| now.since(row.probed_at) < REACH_LIFETIME);
        for node in nodes {
            match self.rows.binary_search_by(|row| row.node.cmp(node)) {
                Ok(at) => self.rows[at].probed_at = now,
                Err(at) => {
                    let row = ProbedNode {
                        node: node.clone(),
                        first_at: now,
                        probed_at: now,
                        answered_at: None,
                        lost_at: None,
                        ended_at: None,
                    };
                    self.rows.insert(at, row);
                }
            }
        }
    }

    /// Nodes that did not respond to their last probe. Their addresses tell whether they have ended.
    #[must_use]
    pub fn unanswered(&self) -> Vec<NodeName> {
        let is_silent = |row: &&ProbedNode| row.answered_at.is_none_or(|at| at < row.probed_at);
        self.rows.iter().filter(is_silent).map(|row| row.node.clone()).collect()
    }

    /// Records a response of `node`.
    pub fn record_answer(&mut self, node: &NodeName, now: BootTime) {
        if let Ok(at) = self.rows.binary_search_by(|row| row.node.cmp(node)) {
            self.rows[at].answered_at = Some(now);
        }
    }

    /// Records that the address of `node` refused a connection: its process has ended.
    pub fn record_end(&mut self, node: &NodeName, now: BootTime) {
        if let Ok(at) = self.rows.binary_search_by(|row| row.node.cmp(node)) {
            self.rows[at].ended_at = Some(now);
        }
    }

    /// Forgets what is known, since nothing is under pressure any more.
    pub fn clear(&mut self) {
        self.rows.clear();
        self.round_at = None;
    }

    fn is_current(&self, now: BootTime) -> bool {
        self.round_at.is_some_and(|at| now.since(at) < ROUND_LIFETIME)
    }

    /// Share of the nodes that this node decides for, itself included. `None` if it is not known.
    #[must_use]
    pub fn share(&self, now: BootTime) -> Option<f64> {
        let is_settled = self.rows.iter().any(|row| now.since(row.first_at) >= PROBE_TIMEOUT);
        if !self.is_current(now) || !is_settled {
            return None;
        }
        let count = |rows: usize| f64::from(u32::try_from(rows).unwrap_or(u32::MAX));
        let reached = count(self.rows.iter().filter(|row| row.is_reached(now)).count());
        let lost = count(self.rows.iter().filter(|row| row.is_lost(now)).count());
        (reached + lost > 0.0).then(|| (1.0 + reached) / (1.0 + reached + lost))
    }
}
