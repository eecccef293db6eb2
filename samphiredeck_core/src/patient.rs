//! Durable work of the patient class, which survives the failure of the node that accepted it.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ids::{Incarnation, NodeName, RowVersion},
    rows::{WorkRow, WorkState},
};

/// Maximum time between two checkpoints of a growing response.
pub const CHECKPOINT_PERIOD: Duration = Duration::from_secs(4);
/// Number of new tokens that makes a checkpoint due.
pub const CHECKPOINT_TOKENS: u64 = 256;
/// Time for which a completed response is kept.
pub const RESULT_RETENTION: Duration = Duration::from_secs(900);
/// Maximum size of a text stored in a row, in bytes. Larger texts go to the object store.
pub const INLINE_TEXT_MAX_BYTES: usize = 65_536;

/// Whether a checkpoint of a response with `tokens` tokens is due.
#[must_use]
pub fn is_checkpoint_due(tokens: u64, saved_tokens: u64, saved_at: Instant, now: Instant) -> bool {
    let new_tokens = tokens.saturating_sub(saved_tokens);
    let elapsed = now.saturating_duration_since(saved_at);
    new_tokens >= CHECKPOINT_TOKENS || (new_tokens > 0 && elapsed >= CHECKPOINT_PERIOD)
}

/// Chooses the node among `live` that takes over from `gone`, by rendezvous hashing.
///
/// Nodes with the same view of the members make the same choice. If views differ, the version check
/// on the row lets only one of them succeed.
#[must_use]
pub fn choose_successor<'a>(gone: &NodeName, live: &'a [NodeName]) -> Option<&'a NodeName> {
    live.iter()
        .filter(|name| *name != gone)
        .max_by_key(|name| xxh3_64(format!("{gone}/{name}").as_bytes()))
}

/// Whether `row` is open and the incarnation of its owner is no longer registered.
#[must_use]
pub fn is_orphaned(row: &WorkRow, is_registered: impl Fn(&NodeName, Incarnation) -> bool) -> bool {
    row.state == WorkState::Open && !is_registered(&row.owner, row.incarnation)
}

/// Returns `row` with its new owner.
#[must_use]
pub fn take_over(mut row: WorkRow, owner: NodeName, incarnation: Incarnation) -> WorkRow {
    row.owner = owner;
    row.incarnation = incarnation;
    row.takeovers += 1;
    row
}

/// Row of durable work together with the version that its owner last wrote.
#[derive(Clone, Debug)]
pub struct OwnedWork {
    /// Row as last written.
    pub row: WorkRow,
    /// Version of the row.
    pub version: RowVersion,
    /// Time of the last checkpoint.
    pub saved_at: Instant,
}
