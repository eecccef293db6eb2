//! Patient work that outlives the node that accepted it.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ids::{Incarnation, NodeName, RowVersion},
    rows::{WorkRow, WorkState},
};

/// Time between two checkpoints of one answer.
pub const CHECKPOINT_PERIOD: Duration = Duration::from_secs(4);
/// Tokens between two checkpoints of one answer.
pub const CHECKPOINT_TOKENS: u64 = 256;
/// Time for which a finished answer is kept.
pub const RESULT_RETENTION: Duration = Duration::from_secs(900);
/// Largest text kept in a row, in bytes. Larger ones go to the object store.
pub const INLINE_TEXT_MAX_BYTES: usize = 65_536;

/// Whether an answer with `tokens` is due for a checkpoint.
#[must_use]
pub fn is_checkpoint_due(tokens: u64, saved_tokens: u64, saved_at: Instant, now: Instant) -> bool {
    let grown = tokens.saturating_sub(saved_tokens);
    let waited = now.saturating_duration_since(saved_at);
    grown >= CHECKPOINT_TOKENS || (grown > 0 && waited >= CHECKPOINT_PERIOD)
}

/// Chooses who takes over from `gone` among the `live` nodes, by rendezvous.
///
/// All nodes that see the same members choose alike; where they don't, the row's version decides.
#[must_use]
pub fn choose_successor<'a>(gone: &NodeName, live: &'a [NodeName]) -> Option<&'a NodeName> {
    live.iter()
        .filter(|name| *name != gone)
        .max_by_key(|name| xxh3_64(format!("{gone}/{name}").as_bytes()))
}

/// Whether `row` waits for another owner, given whether its owner's run is still registered.
#[must_use]
pub fn is_orphaned(row: &WorkRow, is_registered: impl Fn(&NodeName, Incarnation) -> bool) -> bool {
    row.state == WorkState::Open && !is_registered(&row.owner, row.incarnation)
}

/// Returns `row` as the new owner writes it.
#[must_use]
pub fn take_over(mut row: WorkRow, owner: NodeName, incarnation: Incarnation) -> WorkRow {
    row.owner = owner;
    row.incarnation = incarnation;
    row.takeovers += 1;
    row
}

/// Row of patient work with the version under which its owner holds it.
#[derive(Clone, Debug)]
pub struct OwnedWork {
    /// The row as last written.
    pub row: WorkRow,
    /// Its version.
    pub version: RowVersion,
    /// Time of the last checkpoint.
    pub saved_at: Instant,
}
