//! Keeps to the limit that an upstream names for the requests of all nodes together.
//!
//! Answers the load pattern of an upstream in need that takes a few requests per second while many
//! nodes have work for it. A limit may be smaller than one request per second and node.
//!
//! **Statements.** Each response says whether a limit applies. A response whose request was sent
//! before the current statement was read may be older than that, and changes nothing.
//!
//! **Turns.** Such a limit is divided in time. A turn is as long as the limit asks between two
//! requests, and nodes take turns in the order of the list of members, by the store's clock. They
//! derive them without messages, so nobody has to be reached or replaced: a node that is gone or has
//! nothing to send lets its turn pass. While nodes hold different lists, as within seconds of a
//! start, each list gives each turn to one node.
//!
//! **Shares.** A larger limit is divided among the nodes, as a token bucket on each.
//!
//! Nodes with the same list send at most `rate * time + 3` requests in any time by turns, and
//! `rate * (time + 1 s)` by shares.

pub mod exchange;

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::{boot_time::BootTime, ids::UpstreamId, units::RequestRate};

/// Number of turns for which the permit of a turn may be used, so that the node need not have a
/// request at its start.
const PERMIT_TURNS: f64 = 2.0;
/// Lowest rate that is kept, in requests per second. A request reaches an upstream that takes less,
/// or none, once a minute, since only a response tells that its limit has ended.
const RATE_MIN: f64 = 1.0 / 60.0;
/// Requests per second and node from which a limit is divided by shares.
const SHARE_MIN: f64 = 1.0;
/// Time over which the share of a node may accumulate.
const SHARE_BURST: Duration = Duration::from_secs(1);

/// What a response says about the limit of its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatement {
    /// The limit, or `None` if none applies.
    pub rate: Option<RequestRate>,
    /// Time at which the request was sent. The upstream made the statement after it.
    pub sent_at: BootTime,
    /// Time at which the head of the response was read. The upstream made the statement before it.
    pub read_at: BootTime,
}

/// Change of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// A limit applies that did not apply before.
    Named(RequestRate),
    /// Another limit applies.
    Changed(RequestRate),
    /// No limit applies any more.
    Lifted,
}

impl LimitChange {
    /// Name of the change, for the log.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Named(_) => "named",
            Self::Changed(_) => "changed",
            Self::Lifted => "lifted",
        }
    }

    /// The limit that applies now.
    #[must_use]
    pub fn rate(self) -> Option<RequestRate> {
        match self {
            Self::Named(rate) | Self::Changed(rate) => Some(rate),
            Self::Lifted => None,
        }
    }
}

/// Place of a node in the order in which nodes take turns, and the time by which they do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeTurn {
    /// Below `nodes`.
    position: u32,
    nodes: u32,
    /// The store's clock in milliseconds.
    store_ms: i64,
}

impl NodeTurn {
    /// Creates the place `position` among `nodes` at `store_ms` on the store's clock, in
    /// milliseconds. `None` if there is no such place.
    #[must_use]
    pub fn new(position: u32, nodes: u32, store_ms: i64) -> Option<Self> {
        (position < nodes).then_some(Self { position, nodes, store_ms })
    }

    fn store_seconds(self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "exact for 200,000 years")]
        let millis = self.store_ms as f64;
        millis / 1_000.0
    }
}

/// Permission to send one request to an upstream with a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendPermit {
    /// Turn that it belongs to. `None` if it is from the share of the node.
    turn: Option<i64>,
    /// Turn that was spent before it.
    spent_before: Option<i64>,
    /// Time at which it expires.
    expires_at: BootTime,
}

impl SendPermit {
    /// Whether the request may still be sent at `now`.
    #[must_use]
    pub fn is_valid(&self, now: BootTime) -> bool {
        now < self.expires_at
    }
}

/// How a limit is divided among the nodes.
#[derive(Clone, Copy, Debug)]
enum LimitDivision {
    /// By turns, `rate` of which begin per second.
    Turns { rate: f64 },
    /// By shares of `rate` requests per second.
    Shares { rate: f64 },
}

/// Limit of one run of an upstream, and what this node has sent of it.
#[derive(Clone, Debug)]
pub struct UpstreamLimit {
    /// Spreads the turns of different upstreams over the nodes.
    phase: u64,
    /// Newest statement.
    statement: LimitStatement,
    /// Latest turn whose permit was taken, counted at the current rate.
    spent_turn: Option<i64>,
    /// Requests that remain of this node's share. At least 0.
    share_level: f64,
    /// Time up to which `share_level` was refilled.
    share_filled_at: BootTime,
}

impl UpstreamLimit {
    /// Creates the limit of `upstream` from its first `statement`.
    #[must_use]
    pub fn new(upstream: &UpstreamId, statement: LimitStatement) -> Self {
        Self {
            phase: xxh3_64(upstream.as_str().as_bytes()),
            statement,
            spent_turn: None,
            share_level: 1.0,
            share_filled_at: statement.read_at,
        }
    }

    /// Newest statement.
    #[must_use]
    pub fn statement(&self) -> LimitStatement {
        self.statement
    }

    /// Limit in force.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.statement.rate
    }

    /// Applies `statement`, unless it may be older than the current one.
    pub fn apply(&mut self, statement: LimitStatement) -> Option<LimitChange> {
        let (old, new) = (self.statement.rate, statement.rate);
        if statement.sent_at < self.statement.read_at {
            return None;
        }
        let old_rate = self.effective_rate();
        self.statement = statement;
        if let (Some(old_rate), Some(new_rate)) = (old_rate, self.effective_rate()) {
            self.recount_spent(old_rate, new_rate);
        }
        match (old, new) {
            (None, Some(rate)) => Some(LimitChange::Named(rate)),
            (Some(old), Some(rate)) if old != rate => Some(LimitChange::Changed(rate)),
            (Some(_), None) => Some(LimitChange::Lifted),
            _ => None,
        }
    }

    /// Counts the spent turn at another rate. Turns that begin before its end are spent, too.
    fn recount_spent(&mut self, old_rate: f64, new_rate: f64) {
        if let Some(spent) = self.spent_turn.filter(|_| old_rate.to_bits() != new_rate.to_bits()) {
            let end = (to_float(spent) + 1.0) / old_rate;
            self.spent_turn = Some(to_turn((end * new_rate).ceil()) - 1);
        }
    }

    fn effective_rate(&self) -> Option<f64> {
        self.statement.rate.map(|rate| rate.per_second().max(RATE_MIN))
    }

    fn division(&self, nodes: u32) -> Option<LimitDivision> {
        let rate = self.effective_rate()?;
        let share = rate / f64::from(nodes.max(1));
        let by_shares = share >= SHARE_MIN;
        Some(if by_shares {
            LimitDivision::Shares { rate: share }
        } else {
            LimitDivision::Turns { rate }
        })
    }

    /// Whether a limit applies that leaves each of `nodes` nodes less than a request per second.
    #[must_use]
    pub fn is_tight(&self, nodes: u32) -> bool {
        matches!(self.division(nodes), Some(LimitDivision::Turns { .. }))
    }

    /// Requests per second that a node with `turn` may send.
    #[must_use]
    pub fn node_rate(&self, turn: NodeTurn) -> Option<f64> {
        Some(self.effective_rate()? / f64::from(turn.nodes))
    }

    /// Earliest time at which a node with `turn` may send a request, `now` or later. `None` without
    /// a place among the nodes.
    #[must_use]
    pub fn next_send(&self, turn: Option<NodeTurn>, now: BootTime) -> Option<BootTime> {
        let Some(turn) = turn else {
            return self.statement.rate.is_none().then_some(now);
        };
        match self.division(turn.nodes) {
            None => Some(now),
            Some(LimitDivision::Shares { rate }) => {
                let missing = 1.0 - self.share_at(rate, now);
                Some(now + Duration::from_secs_f64((missing / rate).max(0.0)))
            }
            Some(LimitDivision::Turns { rate }) => {
                let own = self.next_own_turn(rate, turn);
                let wait = to_float(own) / rate - turn.store_seconds();
                Some(now + Duration::from_secs_f64(wait.max(0.0)))
            }
        }
    }

    /// Takes a permit for one request at `now`, if the node with `turn` may send one.
    pub fn take(&mut self, turn: NodeTurn, now: BootTime) -> Option<SendPermit> {
        if self.next_send(Some(turn), now)? > now {
            return None;
        }
        let spent_before = self.spent_turn;
        match self.division(turn.nodes)? {
            LimitDivision::Shares { rate } => {
                self.share_level = self.share_at(rate, now) - 1.0;
                self.share_filled_at = now;
                Some(SendPermit { turn: None, spent_before, expires_at: now + SHARE_BURST })
            }
            LimitDivision::Turns { rate } => {
                let own = self.next_own_turn(rate, turn);
                let left = (to_float(own) + PERMIT_TURNS) / rate - turn.store_seconds();
                self.spent_turn = Some(own);
                let expires_at = now + Duration::from_secs_f64(left.max(0.0));
                Some(SendPermit { turn: Some(own), spent_before, expires_at })
            }
        }
    }

    /// Takes back a permit whose request was not sent.
    pub fn give_back(&mut self, permit: SendPermit) {
        match permit.turn {
            Some(turn) if self.spent_turn == Some(turn) => self.spent_turn = permit.spent_before,
            Some(_) => {}
            None => self.share_level += 1.0,
        }
    }

    /// Requests that remain of a share of `rate` requests per second at `now`.
    fn share_at(&self, rate: f64, now: BootTime) -> f64 {
        let filled = rate * now.since(self.share_filled_at).as_secs_f64();
        (self.share_level + filled).min(rate * SHARE_BURST.as_secs_f64())
    }

    /// First turn of the node whose permit is not spent and has not expired.
    fn next_own_turn(&self, rate: f64, turn: NodeTurn) -> i64 {
        let nodes = i64::from(turn.nodes);
        let phase = i64::try_from(self.phase % u64::from(turn.nodes)).unwrap_or(0);
        let first = to_turn((turn.store_seconds() * rate - PERMIT_TURNS).floor()) + 1;
        let first = self.spent_turn.map_or(first, |spent| first.max(spent.saturating_add(1)));
        first + (i64::from(turn.position) - phase - first).rem_euclid(nodes)
    }
}

#[expect(clippy::cast_precision_loss, reason = "turns are counted far below 2^52")]
fn to_float(turn: i64) -> f64 {
    turn as f64
}

#[expect(clippy::cast_possible_truncation, reason = "turns are counted far below 2^52")]
fn to_turn(number: f64) -> i64 {
    number as i64
}
