//! Adaptive concurrency limit of each upstream: additive increase, multiplicative decrease by the
//! observed time to the first token.

use std::time::{Duration, Instant};

use crate::{declaration::PriorityClass, ids::UpstreamId, upstream::UpstreamRow};

/// Minimum limit.
const LIMIT_MIN: f64 = 2.0;
/// Maximum limit as a multiple of the upstream's slots.
const LIMIT_SLOTS_RATIO: f64 = 1.5;
/// Factor applied to the limit after a missed latency target.
const DECREASE_FACTOR: f64 = 0.9;
/// Minimum time between two decreases.
const DECREASE_INTERVAL_MIN: Duration = Duration::from_millis(250);
/// Fraction of the limit that is available to requests other than urgent ones.
const NON_URGENT_SHARE: f64 = 0.85;

/// One row of a [`ConcurrencyLimitTable`].
#[derive(Clone, Debug)]
struct LimitRow {
    upstream: UpstreamId,
    /// At least [`LIMIT_MIN`].
    limit: f64,
    decreased_at: Option<Instant>,
}

/// Concurrency limits that this node applies, by upstream.
#[derive(Debug, Default)]
pub struct ConcurrencyLimitTable {
    /// Sorted by upstream, without duplicates.
    rows: Vec<LimitRow>,
}

impl ConcurrencyLimitTable {
    fn position(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.upstream.cmp(id))
    }

    /// Returns the limit of `row`, which is its number of slots until a latency has been observed.
    #[must_use]
    pub fn limit_of(&self, row: &UpstreamRow) -> f64 {
        let slots = f64::from(row.load.slots.max(1));
        match self.position(&row.listing.id) {
            Ok(at) => self.rows[at].limit.min(slots * LIMIT_SLOTS_RATIO),
            Err(_) => slots,
        }
    }

    /// Whether the limit of `row` permits one more request of `class`.
    #[must_use]
    pub fn has_room(&self, row: &UpstreamRow, class: PriorityClass) -> bool {
        let share = if class == PriorityClass::Urgent { 1.0 } else { NON_URGENT_SHARE };
        f64::from(row.in_flight) < (self.limit_of(row) * share).max(1.0)
    }

    /// Adapts the limit of `row` to the time to first token `first_token`, compared with `target`.
    pub fn observe_first_token(
        &mut self,
        row: &UpstreamRow,
        first_token: Duration,
        target: Duration,
        now: Instant,
    ) {
        let slots = f64::from(row.load.slots.max(1));
        let at = match self.position(&row.listing.id) {
            Ok(at) => at,
            Err(at) => {
                let upstream = row.listing.id.clone();
                self.rows.insert(at, LimitRow { upstream, limit: slots, decreased_at: None });
                at
            }
        };
        let limit = &mut self.rows[at];
        if first_token <= target {
            // Increase only while at least half of the limit is in use, since otherwise the limit
            // does not restrict the load.
            if f64::from(row.in_flight) * 2.0 >= limit.limit {
                limit.limit = (limit.limit + 1.0 / limit.limit).min(slots * LIMIT_SLOTS_RATIO);
            }
            return;
        }
        let paused = limit
            .decreased_at
            .is_some_and(|at| now.saturating_duration_since(at) < DECREASE_INTERVAL_MIN);
        if !paused {
            limit.limit = (limit.limit * DECREASE_FACTOR).max(LIMIT_MIN);
            limit.decreased_at = Some(now);
        }
    }

    /// Drops the rows of upstreams for which `known` is false.
    pub fn retain(&mut self, known: impl Fn(&UpstreamId) -> bool) {
        self.rows.retain(|row| known(&row.upstream));
    }
}
