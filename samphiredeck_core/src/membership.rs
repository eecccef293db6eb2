//! Membership of other nodes: liveness, departures, and gossip of leaving upstreams.

use std::time::{Duration, Instant};

use crate::{
    ids::{ConfigVersion, DomainName, Incarnation, NodeName, UpstreamId},
    rows::MemberRow,
};

/// Interval between two rounds of heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(100);
/// Number of nodes that receive a heartbeat in each round.
pub const HEARTBEAT_FANOUT: usize = 3;
/// Time without a message after which a node is suspected and probed through other nodes.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(2);
/// Time without a message after which a node is considered dead and receives no work.
pub const DEAD_AFTER: Duration = Duration::from_secs(5);
/// Maximum number of leaving marks in one datagram.
pub const MARKS_PER_DATAGRAM_MAX: usize = 16;
/// Minimum number of datagrams that carry a leaving mark.
const MARK_SENDS_MIN: u32 = 6;
/// Time for which a leaving mark is kept.
const MARK_LIFETIME: Duration = Duration::from_secs(900);
/// Maximum number of leaving marks kept.
const MARKS_KEPT_MAX: usize = 16_384;

/// Status that a node reports about itself in each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Version of the declaration in force.
    pub version: ConfigVersion,
    /// Number of requests that are queued or running.
    pub load: u32,
}

/// One row of a [`PeerTable`].
#[derive(Clone, Debug)]
pub struct PeerRow {
    /// Name of the peer.
    pub node: NodeName,
    /// Newest known incarnation.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: DomainName,
    /// Address that other nodes connect to.
    pub peer_address: String,
    /// Address that callers connect to.
    pub caller_address: String,
    /// Time at which the last message of any kind was received.
    pub last_message_at: Option<Instant>,
    /// Time at which this node discovered the peer.
    pub discovered_at: Instant,
    /// Last reported status.
    pub status: Option<PeerStatus>,
    /// Whether this incarnation left gracefully. Never reset for the incarnation.
    pub left: bool,
}

impl PeerRow {
    /// Time since the last message of the peer, or since its discovery if there was none.
    #[must_use]
    pub fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_message_at.unwrap_or(self.discovered_at))
    }

    /// Whether work may be sent to the peer.
    #[must_use]
    pub fn is_alive(&self, now: Instant) -> bool {
        !self.left && self.last_message_at.is_some() && self.idle_time(now) < DEAD_AFTER
    }
}

/// Other nodes known to this one.
#[derive(Debug, Default)]
pub struct PeerTable {
    /// Sorted by node, without duplicates. Never includes this node.
    rows: Vec<PeerRow>,
    /// Position of the next heartbeat target. Wraps around.
    next_index: usize,
}

impl PeerTable {
    /// Lists the rows, sorted by node.
    #[must_use]
    pub fn rows(&self) -> &[PeerRow] {
        &self.rows
    }

    /// Returns the row of `node`.
    #[must_use]
    pub fn find(&self, node: &NodeName) -> Option<&PeerRow> {
        let at = self.rows.binary_search_by(|row| row.node.cmp(node)).ok()?;
        Some(&self.rows[at])
    }

    /// Adds the peer that `member` describes, or replaces its row if `member` is of a newer
    /// incarnation. `member` comes from the table service or from a message of a peer.
    pub fn upsert(&mut self, member: &MemberRow, now: Instant) {
        let row = PeerRow {
            node: member.node.clone(),
            incarnation: member.incarnation,
            domain: member.domain.clone(),
            peer_address: member.peer_address.clone(),
            caller_address: member.caller_address.clone(),
            last_message_at: None,
            discovered_at: now,
            status: None,
            left: false,
        };
        match self.rows.binary_search_by(|known| known.node.cmp(&member.node)) {
            Ok(at) if self.rows[at].incarnation < member.incarnation => self.rows[at] = row,
            Ok(_) => {}
            Err(at) => self.rows.insert(at, row),
        }
    }

    /// Records a message from `incarnation` of `node`.
    ///
    /// Returns whether the peer is known and the incarnation is not outdated.
    pub fn record_message(
        &mut self,
        node: &NodeName,
        incarnation: Incarnation,
        status: Option<PeerStatus>,
        now: Instant,
    ) -> bool {
        let Ok(at) = self.rows.binary_search_by(|row| row.node.cmp(node)) else { return false };
        let row = &mut self.rows[at];
        if incarnation < row.incarnation {
            return false;
        }
        if incarnation > row.incarnation {
            row.incarnation = incarnation;
            row.left = false;
        }
        row.last_message_at = Some(now);
        if status.is_some() {
            row.status = status;
        }
        true
    }

    /// Marks `incarnation` of `node` as having left. Returns whether this is new.
    pub fn mark_left(&mut self, node: &NodeName, incarnation: Incarnation) -> bool {
        let Ok(at) = self.rows.binary_search_by(|row| row.node.cmp(node)) else { return false };
        let row = &mut self.rows[at];
        if row.incarnation > incarnation || row.left {
            return false;
        }
        row.left = true;
        true
    }

    /// Removes peers that are no longer members and have been silent for [`DEAD_AFTER`].
    pub fn retain_members(&mut self, members: &[NodeName], now: Instant) {
        self.rows.retain(|row| {
            members.binary_search(&row.node).is_ok() || row.idle_time(now) < DEAD_AFTER
        });
    }

    /// Lists the nodes that work may be sent to.
    #[must_use]
    pub fn alive(&self, now: Instant) -> Vec<NodeName> {
        let alive = self.rows.iter().filter(|row| row.is_alive(now));
        alive.map(|row| row.node.clone()).collect()
    }

    /// Chooses the targets of the next heartbeat round: at most [`HEARTBEAT_FANOUT`] nodes, in
    /// round-robin order.
    pub fn next_heartbeat_targets(&mut self) -> Vec<PeerRow> {
        let present: Vec<&PeerRow> = self.rows.iter().filter(|row| !row.left).collect();
        let count = present.len().min(HEARTBEAT_FANOUT);
        let start = self.next_index;
        self.next_index = self.next_index.wrapping_add(count);
        (0..count).map(|step| present[(start + step) % present.len()].clone()).collect()
    }

    /// Lists the nodes that have been silent long enough to be probed through other nodes.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<NodeName> {
        let is_suspect = |row: &&PeerRow| {
            let idle_time = row.idle_time(now);
            !row.left && (SUSPECT_AFTER..DEAD_AFTER).contains(&idle_time)
        };
        self.rows.iter().filter(is_suspect).map(|row| row.node.clone()).collect()
    }
}

/// Mark that an upstream is leaving.
#[derive(Clone, Debug)]
struct LeavingMark {
    upstream: UpstreamId,
    /// Number of datagrams that will still carry the mark.
    remaining_sends: u32,
    marked_at: Instant,
}

/// Marks of leaving upstreams, gossiped in the heartbeats.
#[derive(Debug, Default)]
pub struct LeavingMarkTable {
    /// Sorted by upstream, without duplicates. At most [`MARKS_KEPT_MAX`].
    rows: Vec<LeavingMark>,
}

impl LeavingMarkTable {
    /// Adds a mark to be gossiped among `nodes` nodes. Returns whether it is new.
    pub fn insert(&mut self, upstream: UpstreamId, nodes: usize, now: Instant) -> bool {
        let Err(at) = self.rows.binary_search_by(|row| row.upstream.cmp(&upstream)) else {
            return false;
        };
        if self.rows.len() >= MARKS_KEPT_MAX {
            return true;
        }
        // Each round reaches a fixed number of nodes, so the number of sends needed to reach all
        // nodes grows logarithmically with the number of nodes.
        let remaining_sends = MARK_SENDS_MIN + 3 * (nodes.max(1).ilog2() + 1);
        self.rows.insert(at, LeavingMark { upstream, remaining_sends, marked_at: now });
        true
    }

    /// Returns the marks for the next datagram, those with the most remaining sends first.
    pub fn take_batch(&mut self) -> Vec<UpstreamId> {
        let mut order: Vec<usize> =
            (0..self.rows.len()).filter(|at| self.rows[*at].remaining_sends > 0).collect();
        order.sort_by_key(|at| std::cmp::Reverse(self.rows[*at].remaining_sends));
        order.truncate(MARKS_PER_DATAGRAM_MAX);
        for at in &order {
            self.rows[*at].remaining_sends -= 1;
        }
        order.into_iter().map(|at| self.rows[at].upstream.clone()).collect()
    }

    /// Lists all marks, for a node that has just joined or has missed some.
    #[must_use]
    pub fn all(&self) -> Vec<UpstreamId> {
        self.rows.iter().map(|row| row.upstream.clone()).collect()
    }

    /// Order-independent hash of all marks, equal on nodes that hold the same marks.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.rows
            .iter()
            .fold(0, |sum, row| sum ^ xxhash_rust::xxh3::xxh3_64(row.upstream.as_str().as_bytes()))
    }

    /// Removes marks that have been kept for their whole lifetime.
    pub fn expire(&mut self, now: Instant) {
        self.rows.retain(|row| now.saturating_duration_since(row.marked_at) < MARK_LIFETIME);
    }
}
