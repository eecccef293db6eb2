//! Burn rate of the error budget by workspace and priority class.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{
    declaration::{LatencyTarget, PriorityClass},
    ids::WorkspaceName,
};

/// Duration that one bucket covers.
const BUCKET: Duration = Duration::from_secs(10);
/// Buckets of the short window, which covers five minutes.
const SHORT_BUCKETS: usize = 30;
/// Buckets of the long window, which covers one hour.
const LONG_BUCKETS: usize = 360;

/// Latency of one response, to be compared with the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTiming {
    /// Time to the first token.
    pub first_token: Duration,
    /// Mean time between tokens.
    pub between_tokens: Duration,
    /// Whether the response was completed.
    pub complete: bool,
}

impl ResponseTiming {
    /// Whether the response is within `target`.
    #[must_use]
    pub fn meets(&self, target: &LatencyTarget) -> bool {
        self.complete
            && self.first_token <= target.first_token
            && self.between_tokens <= target.between_tokens
    }
}

/// Responses counted in one bucket.
#[derive(Clone, Copy, Debug, Default)]
struct BucketRow {
    /// Index of the bucket, counted from the creation of the table.
    number: u64,
    good: u64,
    bad: u64,
}

/// Buckets of one workspace and class.
#[derive(Clone, Debug)]
struct SeriesRow {
    workspace: WorkspaceName,
    class: PriorityClass,
    /// Oldest first. At most [`LONG_BUCKETS`].
    buckets: Vec<BucketRow>,
}

/// Error budget of one workspace and class: counts and burn rates in both windows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRateRow {
    /// Workspace that the target belongs to.
    pub workspace: WorkspaceName,
    /// Priority class that the target applies to.
    pub class: PriorityClass,
    /// Fraction of responses that may miss the target, between 0 and 1.
    pub allowed: f64,
    /// Responses within the target in the long window.
    pub good: u64,
    /// Responses outside the target in the long window, refusals included.
    pub bad: u64,
    /// Responses within the target in the short window.
    pub short_good: u64,
    /// Responses outside the target in the short window, refusals included.
    pub short_bad: u64,
    /// Burn rate in the short window: the fraction of misses divided by the allowed fraction.
    pub short_burn: f64,
    /// Burn rate in the long window.
    pub long_burn: f64,
}

/// Counts of responses within and outside their latency targets.
#[derive(Debug)]
pub struct BurnRateTable {
    started: Instant,
    /// Sorted by workspace and class, without duplicates.
    rows: Vec<SeriesRow>,
}

impl BurnRateTable {
    /// Creates an empty table whose first bucket starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { started: now, rows: Vec::new() }
    }

    fn bucket_at(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started).as_secs() / BUCKET.as_secs()
    }

    /// Counts one response of `workspace`, which is `good` if it met its target.
    pub fn count(
        &mut self,
        workspace: &WorkspaceName,
        class: PriorityClass,
        good: bool,
        now: Instant,
    ) {
        let number = self.bucket_at(now);
        let key = (workspace, class);
        let at = match self.rows.binary_search_by(|row| (&row.workspace, row.class).cmp(&key)) {
            Ok(at) => at,
            Err(at) => {
                let row = SeriesRow { workspace: workspace.clone(), class, buckets: Vec::new() };
                self.rows.insert(at, row);
                at
            }
        };
        let buckets = &mut self.rows[at].buckets;
        if buckets.last().is_none_or(|last| last.number != number) {
            buckets.push(BucketRow { number, ..BucketRow::default() });
            if buckets.len() > LONG_BUCKETS {
                buckets.remove(0);
            }
        }
        if let Some(last) = buckets.last_mut() {
            if good {
                last.good += 1;
            } else {
                last.bad += 1;
            }
        }
    }

    /// Reports the burn rates of each workspace and class. `allowed` returns the fraction of
    /// responses that may miss the target, between 0 and 1.
    #[must_use]
    pub fn report(
        &self,
        now: Instant,
        allowed: impl Fn(&WorkspaceName, PriorityClass) -> f64,
    ) -> Vec<BurnRateRow> {
        let newest = self.bucket_at(now);
        let rows = self.rows.iter().map(|row| {
            let (short_good, short_bad) = sum_window(&row.buckets, newest, SHORT_BUCKETS);
            let (good, bad) = sum_window(&row.buckets, newest, LONG_BUCKETS);
            let allowed_fraction = allowed(&row.workspace, row.class);
            BurnRateRow {
                workspace: row.workspace.clone(),
                class: row.class,
                allowed: allowed_fraction,
                good,
                bad,
                short_good,
                short_bad,
                short_burn: burn_rate(short_good, short_bad, allowed_fraction),
                long_burn: burn_rate(good, bad, allowed_fraction),
            }
        });
        rows.collect()
    }
}

fn sum_window(buckets: &[BucketRow], newest: u64, length: usize) -> (u64, u64) {
    let recent = buckets.iter().filter(|bucket| bucket.number + length as u64 > newest);
    recent.fold((0, 0), |(good, bad), bucket| (good + bucket.good, bad + bucket.bad))
}

/// Returns the fraction of responses that missed the target, divided by the allowed fraction.
/// Without responses or without a budget it is zero.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub fn burn_rate(good: u64, bad: u64, allowed: f64) -> f64 {
    let all = good + bad;
    if all == 0 || allowed <= 0.0 { 0.0 } else { bad as f64 / all as f64 / allowed }
}

/// Adds up the rows of several nodes by workspace and class, and recomputes the burn rates.
#[must_use]
pub fn merge_burn_rates(nodes: &[Vec<BurnRateRow>]) -> Vec<BurnRateRow> {
    let mut merged: Vec<BurnRateRow> = Vec::new();
    for row in nodes.iter().flatten() {
        let key = (&row.workspace, row.class);
        match merged.binary_search_by(|known| (&known.workspace, known.class).cmp(&key)) {
            Ok(at) => {
                merged[at].good += row.good;
                merged[at].bad += row.bad;
                merged[at].short_good += row.short_good;
                merged[at].short_bad += row.short_bad;
            }
            Err(at) => merged.insert(at, row.clone()),
        }
    }
    for row in &mut merged {
        row.short_burn = burn_rate(row.short_good, row.short_bad, row.allowed);
        row.long_burn = burn_rate(row.good, row.bad, row.allowed);
    }
    merged
}
