//! What becomes of the streams of an upstream that is reclaimed.

use std::time::Duration;

use crate::declaration::PriorityClass;

/// Part of the notice that is kept back for what goes slower than expected.
const NOTICE_MARGIN: f64 = 0.25;
/// Fixed time to move one cache, in seconds.
const MOVE_OVERHEAD: f64 = 0.05;
/// Time to recompute below which a move of the cache is not worth its transfer, in seconds.
const RECOMPUTE_TRIVIAL: f64 = 0.02;

/// Stream at an upstream that leaves.
#[derive(Clone, Debug)]
pub struct StreamAtRisk<T> {
    /// Key of the stream.
    pub key: T,
    /// Urgency.
    pub class: PriorityClass,
    /// Tokens that a recompute would cost: prompt and generated.
    pub tokens_held: u64,
    /// Tokens still expected.
    pub tokens_left: u64,
    /// Tokens a second that the stream gets now.
    pub token_rate: f64,
}

/// What the move has to work with.
#[derive(Clone, Copy, Debug)]
pub struct ReclaimMeans {
    /// Time until the upstream is gone.
    pub notice: Duration,
    /// Tokens of cache that can be moved a second, for all streams of the upstream together.
    pub move_rate: f64,
    /// Prompt tokens that a survivor computes a second.
    pub prefill_rate: f64,
}

/// What to do with one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReclaimChoice {
    /// Let it finish: it will within the notice.
    Finish,
    /// Export its cache and import it at a survivor.
    Export,
    /// Compute it anew at a survivor.
    Recompute,
}

/// Chooses for each stream of one upstream, in the order in which they are to be moved.
///
/// Streams that can't finish are moved by urgency first and by tokens at stake second, as long
/// as the transfers fit the notice. The rest is recomputed.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
pub fn plan_reclaim<T: Clone>(
    streams: &[StreamAtRisk<T>],
    means: ReclaimMeans,
) -> Vec<(T, ReclaimChoice)> {
    let usable = means.notice.as_secs_f64() * (1.0 - NOTICE_MARGIN);
    let mut order: Vec<&StreamAtRisk<T>> = streams.iter().collect();
    order.sort_by(|a, b| {
        let urgent = |row: &StreamAtRisk<T>| row.class == PriorityClass::Urgent;
        urgent(b).cmp(&urgent(a)).then(b.tokens_held.cmp(&a.tokens_held))
    });
    let mut spent = 0.0;
    let mut plan = Vec::with_capacity(order.len());
    for stream in order {
        let finish = stream.tokens_left as f64 / stream.token_rate.max(0.1);
        let transfer = stream.tokens_held as f64 / means.move_rate.max(1.0) + MOVE_OVERHEAD;
        let recompute = stream.tokens_held as f64 / means.prefill_rate.max(1.0);
        let choice = if finish <= usable {
            ReclaimChoice::Finish
        } else if recompute > RECOMPUTE_TRIVIAL && spent + transfer <= usable {
            spent += transfer;
            ReclaimChoice::Export
        } else {
            ReclaimChoice::Recompute
        };
        plan.push((stream.key.clone(), choice));
    }
    plan
}
