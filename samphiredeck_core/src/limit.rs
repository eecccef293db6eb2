//! Concurrency limit of each upstream, adapted to observed latency.

use std::time::{Duration, Instant};

use crate::{declaration::PriorityClass, ids::UpstreamId, upstream::UpstreamRow};

/// Lowest limit.
const LIMIT_MIN: f64 = 2.0;
/// Highest limit as a multiple of the upstream's slots.
const LIMIT_SLOTS_RATIO: f64 = 1.5;
/// Factor applied to a limit after a miss of the target.
const DECREASE_FACTOR: f64 = 0.9;
/// Shortest time between two decreases.
const DECREASE_PAUSE: Duration = Duration::from_millis(250);
/// Share of the limit that requests which are not urgent may use.
const NORMAL_SHARE: f64 = 0.85;

/// One row of a [`LimitTable`].
#[derive(Clone, Debug)]
struct LimitRow {
    upstream: UpstreamId,
    /// At least [`LIMIT_MIN`].
    limit: f64,
    decreased_at: Option<Instant>,
}

/// Concurrency limits of this node by upstream.
#[derive(Debug, Default)]
pub struct LimitTable {
    /// Sorted by upstream, without duplicates.
    rows: Vec<LimitRow>,
}

impl LimitTable {
    fn position(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.upstream.cmp(id))
    }

    /// Returns the limit of `row`: its slots until latency has been observed.
    #[must_use]
    pub fn limit_of(&self, row: &UpstreamRow) -> f64 {
        let slots = f64::from(row.load.slots.max(1));
        match self.position(&row.listing.id) {
            Ok(at) => self.rows[at].limit.min(slots * LIMIT_SLOTS_RATIO),
            Err(_) => slots,
        }
    }

    /// Whether one more request of `class` fits at `row`.
    #[must_use]
    pub fn has_room(&self, row: &UpstreamRow, class: PriorityClass) -> bool {
        let share = if class == PriorityClass::Urgent { 1.0 } else { NORMAL_SHARE };
        f64::from(row.in_flight) < (self.limit_of(row) * share).max(1.0)
    }

    /// Adapts the limit of `row` to a first token that took `first` against `target`.
    pub fn observe(&mut self, row: &UpstreamRow, first: Duration, target: Duration, now: Instant) {
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
        if first <= target {
            // Grow only while the limit is what holds requests back.
            if f64::from(row.in_flight) * 2.0 >= limit.limit {
                limit.limit = (limit.limit + 1.0 / limit.limit).min(slots * LIMIT_SLOTS_RATIO);
            }
            return;
        }
        let paused =
            limit.decreased_at.is_some_and(|at| now.saturating_duration_since(at) < DECREASE_PAUSE);
        if !paused {
            limit.limit = (limit.limit * DECREASE_FACTOR).max(LIMIT_MIN);
            limit.decreased_at = Some(now);
        }
    }

    /// Drops the rows of upstreams that `known` does not hold.
    pub fn retain(&mut self, known: impl Fn(&UpstreamId) -> bool) {
        self.rows.retain(|row| known(&row.upstream));
    }
}
