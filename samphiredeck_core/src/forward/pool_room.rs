//! Room of a pool: how many requests it can take at once, as far as this node knows.
//!
//! Answers bursts and losses of upstreams, after which the requests in flight exceed the slots. What a node knows of one
//! upstream is from its last report and its own requests; the load of upstreams without a recent report is assumed to be
//! that of the others.

use std::time::Duration;

use crate::{
    boot_time::BootTime,
    forward::{
        even_load::{SlotLoad, fill_level},
        upstreams::{UpstreamRegistry, tracked::TrackedUpstream},
    },
    ids::PoolName,
};

/// Minimum time for which a request is taken to keep its slot, in seconds.
const HELD_MIN_S: f64 = 0.01;

/// Load that other nodes place on the upstreams of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Mean of the requests of other nodes per slot. Zero or above.
    per_slot: f64,
    /// Part of the requests of the views that have not ended since.
    kept: f64,
    /// Requests per slot up to which other nodes have filled the least loaded upstreams since the reports.
    level: f64,
}

impl PoolLoad {
    /// Load of `pool` at `now`, where a request keeps its slot for `held`.
    #[must_use]
    pub fn of(registry: &UpstreamRegistry, pool: &PoolName, held: Duration, now: BootTime) -> Self {
        let rows = registry.rows().iter();
        let rows = rows.filter(|row| row.entry.pool == *pool && row.is_accepting(now));
        let (mut weight, mut load) = (0.0, 0.0);
        let (mut age_s, mut shared) = (0.0, Vec::new());
        for row in rows {
            let Some((foreign, recency)) = row.reported_load(now) else { continue };
            let slots = f64::from(row.entry.slots.max(1));
            weight += recency * slots;
            load += recency * foreign;
            if let Some(age) = row.shared_load_age(now) {
                age_s += age.as_secs_f64();
                shared.push(SlotLoad { slots, requests: foreign });
            }
        }
        let per_slot = if weight > 0.0 { load / weight } else { 0.0 };
        if shared.is_empty() {
            return Self { per_slot, kept: 1.0, level: 0.0 };
        }
        #[expect(clippy::cast_precision_loss, reason = "a pool has far fewer upstreams")]
        let age_s = age_s / shared.len() as f64;
        // Some of the requests have ended since the view, and about as many have begun elsewhere.
        let kept = 1.0 - (age_s / held.as_secs_f64().max(HELD_MIN_S)).min(1.0);
        let in_flight: f64 = shared.iter().map(|load| load.requests).sum();
        for load in &mut shared {
            load.requests *= kept;
        }
        Self { per_slot, kept, level: fill_level(shared, in_flight * (1.0 - kept)) }
    }

    /// Number of requests of other nodes at the upstream of `row` at `now`: those of its last report as far as that is
    /// recent, and the mean of the pool for the rest.
    #[must_use]
    pub fn other_requests(&self, row: &TrackedUpstream, now: BootTime) -> f64 {
        let slots = f64::from(row.entry.slots.max(1));
        let usual = self.per_slot * slots;
        let Some((foreign, recency)) = row.reported_load(now) else {
            return usual * row.assumed_share(now);
        };
        let known = foreign * recency + usual * (1.0 - recency);
        if row.shared_load_age(now).is_some() {
            (known * self.kept).max(self.level * slots)
        } else {
            known
        }
    }
}

/// Room of a pool in the next moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolRoom {
    /// Slots of the upstreams that take requests.
    pub slots: f64,
    /// Slots that hold no request. Zero to `slots`.
    pub free_slots: f64,
    /// Requests beyond the slots of their upstreams.
    pub queued: f64,
    /// Mean age of the reports that this rests on.
    pub age: Duration,
}

impl PoolRoom {
    /// Room of `pool` at `now`, where a request keeps its slot for `held`.
    #[must_use]
    pub fn of(registry: &UpstreamRegistry, pool: &PoolName, held: Duration, now: BootTime) -> Self {
        let load = PoolLoad::of(registry, pool, held, now);
        let mut room = Self::default();
        let (mut age_s, mut reports) = (0.0, 0.0);
        let rows = registry.rows().iter();
        for row in rows.filter(|row| row.entry.pool == *pool && row.is_accepting(now)) {
            let slots = f64::from(row.entry.slots);
            let requests = f64::from(row.in_flight) + load.other_requests(row, now);
            room.slots += slots;
            room.free_slots += (slots - requests).max(0.0);
            room.queued += (requests - slots).max(0.0);
            if let Some(age) = row.report_age(now) {
                age_s += age.as_secs_f64();
                reports += 1.0;
            }
        }
        if reports > 0.0 {
            room.age = Duration::from_secs_f64(age_s / reports);
        }
        room
    }

    /// Requests per slot: below 1 if there is room on average.
    #[must_use]
    pub fn utilization(&self) -> f64 {
        if self.slots <= 0.0 {
            return f64::INFINITY;
        }
        (self.slots - self.free_slots + self.queued) / self.slots
    }
}
