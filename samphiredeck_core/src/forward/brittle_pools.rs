//! Which pools have brittle upstreams: such that crash when they turn away more than a few requests in a second,
//! sent by all nodes together.
//!
//! Answers overload of such a pool, and the work that the neighbours of an upstream that crashed are left with.
//! Requests then wait at the nodes, not at the upstreams; `upstream_slots` says which are sent.
//!
//! All responses of a pool's upstreams say whether they are brittle. As with limits, a response whose request
//! was sent before the current statement was read changes nothing.

use std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    boot_time::BootTime,
    forward::{upstream_slots::NodeSlots, upstreams::UpstreamRegistry},
    ids::{PoolName, UpstreamId},
};

/// Time by which a statement that another node tells is taken to be older.
const DELAY_MAX: Duration = Duration::from_millis(250);
/// Number of slots in a row that were not granted after which a node pauses.
const DENIALS_MAX: u32 = 3;
/// Age from which statements are not told any more. Every node with traffic has had a response by then.
const TOLD_FOR: Duration = Duration::from_secs(60);

/// Number of requests that an upstream can turn away in a second without a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RefusalLimit(pub u32);

/// Text that is no [`RefusalLimit`].
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{0:?} is not a number of requests")]
pub struct RefusalLimitError(String);

impl FromStr for RefusalLimit {
    type Err = RefusalLimitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = |_invalid| RefusalLimitError(text.chars().take(40).collect());
        text.parse().map(Self).map_err(error)
    }
}

impl Display for RefusalLimit {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What a response says about the upstreams of its pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BrittleStatement {
    /// `None` if they are not brittle.
    pub refusals: Option<RefusalLimit>,
    /// Time at which the request was sent.
    pub sent_at: BootTime,
    /// Time at which the head of the response was read.
    pub read_at: BootTime,
}

/// Statement as sent to other nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SharedBrittle {
    /// The pool.
    pub pool: PoolName,
    /// `None` if its upstreams are not brittle any more.
    pub refusals: Option<RefusalLimit>,
    /// Milliseconds since the request was sent.
    pub sent_age_ms: u64,
    /// Milliseconds since the head of the response was read.
    pub read_age_ms: u64,
}

impl SharedBrittle {
    /// The statement as received at `now`.
    #[must_use]
    pub fn to_statement(&self, now: BootTime) -> BrittleStatement {
        BrittleStatement {
            refusals: self.refusals,
            sent_at: now - Duration::from_millis(self.sent_age_ms) - DELAY_MAX,
            read_at: now - Duration::from_millis(self.read_age_ms),
        }
    }
}

/// Pools whose upstreams have said whether they are brittle.
#[derive(Clone, Debug, Default)]
pub struct BrittlePools {
    /// Sorted by pool, without duplicates. Pools that were never brittle have none.
    rows: Vec<(PoolName, BrittleStatement)>,
    /// Slots in a row that keepers did not grant.
    denials: u32,
}

impl BrittlePools {
    /// Whether, and how, upstreams of `pool` are brittle.
    #[must_use]
    pub fn refusals(&self, pool: &PoolName) -> Option<RefusalLimit> {
        let at = self.rows.binary_search_by(|(known, _)| known.cmp(pool)).ok()?;
        self.rows[at].1.refusals
    }

    /// Applies `statement`, unless it may be older than the current one. Returns whether it differs.
    fn apply(&mut self, pool: &PoolName, statement: BrittleStatement) -> bool {
        match self.rows.binary_search_by(|(known, _)| known.cmp(pool)) {
            Ok(at) => {
                let known = &mut self.rows[at].1;
                if statement.sent_at < known.read_at {
                    return false;
                }
                let differs = known.refusals != statement.refusals;
                *known = statement;
                differs
            }
            Err(at) => {
                if statement.refusals.is_some() {
                    self.rows.insert(at, (pool.clone(), statement));
                }
                statement.refusals.is_some()
            }
        }
    }

    /// Statements for other nodes at `now`.
    #[must_use]
    pub fn share(&self, now: BootTime) -> Vec<SharedBrittle> {
        let millis = |at| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        let told = |statement: &BrittleStatement| {
            statement.refusals.is_some() || now.since(statement.read_at) < TOLD_FOR
        };
        let rows = self.rows.iter().filter(|(_, statement)| told(statement));
        rows.map(|(pool, statement)| SharedBrittle {
            pool: pool.clone(),
            refusals: statement.refusals,
            sent_age_ms: millis(statement.sent_at),
            read_age_ms: millis(statement.read_at),
        })
        .collect()
    }

    /// Whether any upstreams are brittle.
    #[must_use]
    pub fn has_any(&self) -> bool {
        self.rows.iter().any(|(_, statement)| statement.refusals.is_some())
    }
}

impl UpstreamRegistry {
    /// Applies what a response of an upstream in `pool`, or another node, says. Returns whether that is
    /// new.
    pub fn apply_brittle(&mut self, pool: &PoolName, statement: BrittleStatement) -> bool {
        let changed = self.brittle.apply(pool, statement);
        if changed {
            let is_brittle = self.brittle.refusals(pool).is_some();
            let rows = self.rows_mut().filter(|row| row.entry.pool == *pool);
            // Another number of refusals changes nothing about the slots that are held.
            for row in rows.filter(|row| row.slots.is_brittle() != is_brittle) {
                row.slots = NodeSlots::new(is_brittle, row.in_flight);
            }
        }
        changed
    }

    /// Slots at a new start of an upstream in `pool`.
    #[must_use]
    pub fn initial_slots(&self, pool: &PoolName) -> NodeSlots {
        NodeSlots::new(self.brittle.refusals(pool).is_some(), 0)
    }

    /// Slots of this node at `id`.
    pub fn slots_mut(&mut self, id: &UpstreamId) -> Option<&mut NodeSlots> {
        self.find_mut(id).map(|row| &mut row.slots)
    }

    /// Records the `reply` of the keeper that was asked for a slot of `id`, if there is one. `share` is what belongs to
    /// this node without a keeper. After several that were not granted, no others of the pool are asked for at once:
    /// all nodes look for slots then. Returns whether a request may be sent.
    pub fn record_slot_reply(
        &mut self,
        id: &UpstreamId,
        reply: Option<bool>,
        share: u32,
        now: BootTime,
    ) -> bool {
        let Some(row) = self.find_mut(id) else { return true };
        let granted = row.slots.record_reply(reply, share, now);
        let pool = row.entry.pool.clone();
        self.brittle.denials = if granted { 0 } else { self.brittle.denials + 1 };
        if self.brittle.denials >= DENIALS_MAX {
            self.brittle.denials = 0;
            for row in self.rows_mut().filter(|row| row.entry.pool == pool) {
                row.slots.record_full(now);
            }
        }
        granted
    }

    /// Slots that this node holds at brittle upstreams and that their keepers are to be told of at `now`.
    pub fn take_due_slots(&mut self, now: BootTime) -> Vec<(UpstreamId, u32)> {
        let due = self.rows_mut().filter_map(|row| {
            let held = row.slots.take_due(row.in_flight, now)?;
            Some((row.entry.id.clone(), held))
        });
        due.collect()
    }
}
