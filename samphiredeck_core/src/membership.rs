//! Other nodes: who is there, who left, and the marks that spread among them.

use std::time::{Duration, Instant};

use crate::{
    ids::{ConfigVersion, DomainName, Incarnation, NodeName, UpstreamId},
    rows::MemberRow,
};

/// Time between two rounds of heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(100);
/// Nodes that one round goes to.
pub const HEARTBEAT_FANOUT: usize = 3;
/// Time without an answer after which a node is suspected and probed through others.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(2);
/// Time without an answer after which nothing is handed to a node.
pub const DEAD_AFTER: Duration = Duration::from_secs(5);
/// Most marks in one datagram.
pub const MARKS_PER_DATAGRAM_MAX: usize = 16;
/// Least number of datagrams that carry a mark.
const MARK_SENDS_MIN: u32 = 6;
/// Time for which a mark is kept.
const MARK_LIFETIME: Duration = Duration::from_secs(900);
/// Most marks kept.
const MARKS_KEPT_MAX: usize = 16_384;

/// What a node says of itself in each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Version in force.
    pub version: ConfigVersion,
    /// Requests that wait or run.
    pub load: u32,
}

/// One row of a [`PeerTable`].
#[derive(Clone, Debug)]
pub struct PeerRow {
    /// Key of the row.
    pub node: NodeName,
    /// Newest known run.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: DomainName,
    /// Address for other nodes.
    pub peer_address: String,
    /// Address for callers.
    pub caller_address: String,
    /// Time of the last message, of any kind.
    pub last_message_at: Option<Instant>,
    /// Time at which this node learnt of the peer.
    pub discovered_at: Instant,
    /// Last status.
    pub status: Option<PeerStatus>,
    /// Whether this run left in order. Stays set for the incarnation.
    pub left: bool,
}

impl PeerRow {
    /// Time since the peer was heard of, or since it became known.
    #[must_use]
    pub fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_message_at.unwrap_or(self.discovered_at))
    }

    /// Whether work may be handed to the peer.
    #[must_use]
    pub fn is_alive(&self, now: Instant) -> bool {
        !self.left && self.last_message_at.is_some() && self.idle_time(now) < DEAD_AFTER
    }
}

/// Other nodes known to this one.
#[derive(Debug, Default)]
pub struct PeerTable {
    /// Sorted by node, without duplicates. Never holds this node.
    rows: Vec<PeerRow>,
    next_index: usize,
}

impl PeerTable {
    /// Lists the rows, sorted by node.
    #[must_use]
    pub fn rows(&self) -> &[PeerRow] {
        &self.rows
    }

    /// Finds the row of `node`.
    #[must_use]
    pub fn find(&self, node: &NodeName) -> Option<&PeerRow> {
        let at = self.rows.binary_search_by(|row| row.node.cmp(node)).ok()?;
        Some(&self.rows[at])
    }

    /// Takes in a node as its member row or its own greeting describes it.
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

    /// Notes a message of run `incarnation` of `node`. Returns whether the run is the newest.
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

    /// Marks a run of `node` as left.
    pub fn mark_left(&mut self, node: &NodeName, incarnation: Incarnation) -> bool {
        let Ok(at) = self.rows.binary_search_by(|row| row.node.cmp(node)) else { return false };
        let row = &mut self.rows[at];
        if row.incarnation > incarnation || row.left {
            return false;
        }
        row.left = true;
        true
    }

    /// Drops the rows of nodes that are no members any more and silent for long.
    pub fn retain_members(&mut self, members: &[NodeName], now: Instant) {
        self.rows.retain(|row| {
            members.binary_search(&row.node).is_ok() || row.idle_time(now) < DEAD_AFTER
        });
    }

    /// Lists the nodes that work may be handed to.
    #[must_use]
    pub fn alive(&self, now: Instant) -> Vec<NodeName> {
        let alive = self.rows.iter().filter(|row| row.is_alive(now));
        alive.map(|row| row.node.clone()).collect()
    }

    /// Chooses whom this round of heartbeats goes to: a constant number, each node in turn.
    pub fn next_heartbeat_targets(&mut self) -> Vec<PeerRow> {
        let present: Vec<&PeerRow> = self.rows.iter().filter(|row| !row.left).collect();
        let count = present.len().min(HEARTBEAT_FANOUT);
        let start = self.next_index;
        self.next_index = self.next_index.wrapping_add(count);
        (0..count).map(|step| present[(start + step) % present.len()].clone()).collect()
    }

    /// Lists the nodes that are silent long enough to be probed through others.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<NodeName> {
        let silent = |row: &&PeerRow| {
            let silence = row.idle_time(now);
            !row.left && (SUSPECT_AFTER..DEAD_AFTER).contains(&silence)
        };
        self.rows.iter().filter(silent).map(|row| row.node.clone()).collect()
    }
}

/// One row of a [`LeavingMarkTable`].
#[derive(Clone, Debug)]
struct LeavingMark {
    upstream: UpstreamId,
    /// Datagrams that will still carry the mark.
    remaining_sends: u32,
    marked_at: Instant,
}

/// Leaving marks of upstreams, spread with the heartbeats.
#[derive(Debug, Default)]
pub struct LeavingMarkTable {
    /// Sorted by upstream, without duplicates. At most [`MARKS_KEPT_MAX`].
    rows: Vec<LeavingMark>,
}

impl LeavingMarkTable {
    /// Adds a mark among `nodes` nodes. Returns whether it is new.
    pub fn insert(&mut self, upstream: UpstreamId, nodes: usize, now: Instant) -> bool {
        let Err(at) = self.rows.binary_search_by(|row| row.upstream.cmp(&upstream)) else {
            return false;
        };
        if self.rows.len() >= MARKS_KEPT_MAX {
            return true;
        }
        // Each round goes to a few nodes, so the number of sends grows with the logarithm.
        let remaining_sends = MARK_SENDS_MIN + 3 * (nodes.max(1).ilog2() + 1);
        self.rows.insert(at, LeavingMark { upstream, remaining_sends, marked_at: now });
        true
    }

    /// Takes the marks for one datagram, those sent least so far first.
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

    /// Lists all marks, for a node that has just joined or missed some.
    #[must_use]
    pub fn all(&self) -> Vec<UpstreamId> {
        self.rows.iter().map(|row| row.upstream.clone()).collect()
    }

    /// Hash over all marks, alike on nodes that hold the same ones.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.rows
            .iter()
            .fold(0, |sum, row| sum ^ xxhash_rust::xxh3::xxh3_64(row.upstream.as_str().as_bytes()))
    }

    /// Drops marks that are too old to matter.
    pub fn expire(&mut self, now: Instant) {
        self.rows.retain(|row| now.saturating_duration_since(row.marked_at) < MARK_LIFETIME);
    }
}
