//! Migration plan for the streams of an upstream that is reclaimed by the platform.

use std::time::Duration;

use crate::declaration::PriorityClass;

/// Fraction of the notice that is reserved for steps that take longer than estimated.
const NOTICE_MARGIN: f64 = 0.25;
/// Fixed part of the time to transfer one cache, in seconds.
const TRANSFER_OVERHEAD_SECS: f64 = 0.05;
/// Recompute time up to which a cache is not worth transferring, in seconds.
const EXPORT_MIN_RECOMPUTE_SECS: f64 = 0.02;

/// Stream at an upstream that is being reclaimed.
#[derive(Clone, Debug)]
pub struct AffectedStream<T> {
    /// Identifier of the stream.
    pub key: T,
    /// Priority class.
    pub class: PriorityClass,
    /// Prompt and generated tokens, all of which a recompute would process again.
    pub context_tokens: u64,
    /// Tokens that are still expected to be generated.
    pub remaining_tokens: u64,
    /// Current decode rate of the stream, in tokens per second.
    pub token_rate: f64,
}

/// Time and rates available for the migration.
#[derive(Clone, Copy, Debug)]
pub struct ReclaimBudget {
    /// Time until the upstream is terminated.
    pub notice: Duration,
    /// Cache transfer rate, in tokens per second, for all streams of the upstream together.
    pub transfer_rate: f64,
    /// Prefill rate of the remaining upstreams, in prompt tokens per second.
    pub prefill_rate: f64,
}

/// Action for one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReclaimAction {
    /// Let the stream finish, since it is expected to end within the notice.
    Finish,
    /// Export the cache and import it at another upstream.
    Export,
    /// Recompute the context at another upstream.
    Recompute,
}

/// Chooses the action for each stream of one upstream, in the order of migration.
///
/// Caches of streams that can't finish are transferred as long as the transfers fit into the
/// notice, urgent streams first, then those with the most tokens. The other streams are recomputed.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
pub fn plan_reclaim<T: Clone>(
    streams: &[AffectedStream<T>],
    budget: ReclaimBudget,
) -> Vec<(T, ReclaimAction)> {
    let usable = budget.notice.as_secs_f64() * (1.0 - NOTICE_MARGIN);
    let mut order: Vec<&AffectedStream<T>> = streams.iter().collect();
    order.sort_by(|a, b| {
        let urgent = |row: &AffectedStream<T>| row.class == PriorityClass::Urgent;
        urgent(b).cmp(&urgent(a)).then(b.context_tokens.cmp(&a.context_tokens))
    });
    let mut transfer_secs = 0.0;
    let mut plan = Vec::with_capacity(order.len());
    for stream in order {
        let finish = stream.remaining_tokens as f64 / stream.token_rate.max(0.1);
        let transfer =
            stream.context_tokens as f64 / budget.transfer_rate.max(1.0) + TRANSFER_OVERHEAD_SECS;
        let recompute = stream.context_tokens as f64 / budget.prefill_rate.max(1.0);
        let action = if finish <= usable {
            ReclaimAction::Finish
        } else if recompute > EXPORT_MIN_RECOMPUTE_SECS && transfer_secs + transfer <= usable {
            transfer_secs += transfer;
            ReclaimAction::Export
        } else {
            ReclaimAction::Recompute
        };
        plan.push((stream.key.clone(), action));
    }
    plan
}
