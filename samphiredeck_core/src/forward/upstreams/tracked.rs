//! One upstream as this node sees it: its entry, its state, and what requests there have shown.

use std::time::Duration;

use crate::{
    boot_time::BootTime,
    forward::{
        upstream_limit::UpstreamLimit,
        upstream_list::ListedUpstream,
        upstream_slots::{NodeSlots, SlotDecision},
        upstream_speed::UpstreamSpeed,
        upstream_state::UpstreamState,
    },
};

/// Half-life of recorded failures and successes.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Half-life of the lateness of an upstream without responses, so that it is tried again.
const LATENESS_HALF_LIFE: Duration = Duration::from_secs(1);
/// Age up to which what the collector told is used. It tells several times a second.
const SHARED_LIFETIME: Duration = Duration::from_millis(600);
/// Time over which a load report loses its weight, since other nodes send requests in the meantime.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);

/// Load that an upstream reported with a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// This node's requests in flight at the time of the report.
    pub own_in_flight: u32,
    /// Time of the report.
    pub at: BootTime,
}

/// Load that other nodes place on an upstream, as the collector tells it.
#[derive(Clone, Copy, Debug)]
pub struct SharedLoad {
    /// Their requests in flight.
    pub requests: u32,
    /// Prompt tokens to compute for those without a sign of a response.
    pub pending_tokens: u64,
    /// Time at which it was told.
    pub at: BootTime,
}

/// One row of an [`UpstreamRegistry`](super::UpstreamRegistry).
#[derive(Clone, Debug)]
pub struct TrackedUpstream {
    /// Entry as last read. Its id and start time identify the row.
    pub entry: ListedUpstream,
    /// Whether the upstream takes new requests.
    pub(super) state: UpstreamState,
    /// Limit that it has named. `None` if it never named one.
    pub(super) limit: Option<UpstreamLimit>,
    /// Whether the list has another entry of the pool with the same address.
    pub(super) shares_address: bool,
    /// Time at which anything was received from it last.
    pub(super) heard_at: Option<BootTime>,
    /// Time of its last complete response.
    pub(super) answered_at: Option<BootTime>,
    /// Slots of this node while the upstream is brittle.
    pub slots: NodeSlots,
    /// Time until which the upstream is slow after its start.
    pub warm_up_until: BootTime,
    /// Requests of this node that have not completed.
    pub in_flight: u32,
    /// Prompt tokens to compute for this node's requests that have shown no sign of a response yet.
    pub pending_prefill_tokens: u64,
    /// Last reported load.
    pub(super) report: Option<LoadReport>,
    /// Load of other nodes as the collector told it last.
    pub(super) shared_load: Option<SharedLoad>,
    /// How fast it works, as far as known.
    pub speed: UpstreamSpeed,
    /// Time at which this start of the upstream became known.
    pub(super) known_at: BootTime,
    /// Times at which this node's requests without a sign of a response were expected to have one.
    /// In the order in which the requests were sent.
    pub(super) due_times: Vec<BootTime>,
    /// Moving average of the time by which responses were later than expected, in milliseconds.
    /// Decays with [`LATENESS_HALF_LIFE`] from `late_at` on.
    pub(super) lateness_ms: f64,
    pub(super) late_at: BootTime,
    /// Failures and successes, both decaying with [`FAILURE_HALF_LIFE`].
    pub(super) failures: f64,
    pub(super) successes: f64,
    pub(super) decayed_at: BootTime,
}

impl TrackedUpstream {
    pub(super) fn new(entry: ListedUpstream, slots: NodeSlots, now: BootTime) -> Self {
        let warm_up_until = now + entry.warm_up;
        Self {
            state: UpstreamState::started(entry.leaving),
            limit: None,
            shares_address: false,
            heard_at: None,
            answered_at: None,
            slots,
            warm_up_until,
            in_flight: 0,
            pending_prefill_tokens: 0,
            report: None,
            shared_load: None,
            speed: UpstreamSpeed::default(),
            known_at: now,
            due_times: Vec::new(),
            lateness_ms: 0.0,
            late_at: now,
            failures: 0.0,
            successes: 0.0,
            decayed_at: now,
            entry,
        }
    }

    /// State of the upstream, as known to this node.
    #[must_use]
    pub fn state(&self) -> UpstreamState {
        self.state
    }

    /// Time at which anything was received from the upstream last.
    #[must_use]
    pub fn heard_at(&self) -> Option<BootTime> {
        self.heard_at
    }

    /// Whether new requests may be sent at `now`.
    #[must_use]
    pub fn is_accepting(&self, now: BootTime) -> bool {
        self.state.accepts(now)
    }

    /// Whether the row is kept although it is missing from the list.
    #[must_use]
    pub fn is_missing(&self) -> bool {
        matches!(self.state, UpstreamState::Missing { .. })
    }

    /// Whether `entry` belongs to a later start than this row. Entries without a start time belong
    /// to the same one, unless the address or the software differs.
    pub(super) fn is_restarted(&self, entry: &ListedUpstream) -> bool {
        let (known, listed) = (self.entry.started_ms, entry.started_ms);
        let is_same_run =
            entry.address == self.entry.address && entry.software == self.entry.software;
        listed > known || (listed == known && !is_same_run)
    }

    /// Whether a request of this node may be sent at `now` if the upstream is brittle.
    #[must_use]
    pub fn decide_slot(&self, now: BootTime) -> SlotDecision {
        let queued = self.report.map(|report| (report.waiting, now.since(report.at)));
        self.slots.decide(self.in_flight, queued, now)
    }

    /// Sets the load of other nodes.
    pub(in crate::forward) fn set_shared_load(&mut self, load: SharedLoad) {
        self.shared_load = Some(load);
    }

    /// Load of other nodes as the collector told it, if that is recent enough to be used at `now`.
    #[must_use]
    pub fn shared_load(&self, now: BootTime) -> Option<SharedLoad> {
        self.shared_load.filter(|load| now.since(load.at) < SHARED_LIFETIME)
    }

    /// Requests of other nodes as far as known, and how recent that is at `now`, from 0 to 1: what the collector told, or
    /// else the last report. `None` if there is neither.
    #[must_use]
    pub fn reported_load(&self, now: BootTime) -> Option<(f64, f64)> {
        if let Some(load) = self.shared_load(now) {
            return Some((f64::from(load.requests), 1.0));
        }
        let report = self.report?;
        let requests = report.running.saturating_add(report.waiting);
        let foreign = requests.saturating_sub(report.own_in_flight);
        let age = now.since(report.at).as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
        Some((f64::from(foreign), (1.0 - age).clamp(0.0, 1.0)))
    }

    /// Age at `now` of the last report in a response to this node.
    #[must_use]
    pub fn own_report_age(&self, now: BootTime) -> Option<Duration> {
        self.report.map(|report| now.since(report.at))
    }

    /// Age at `now` of what the collector told, if that is recent enough to be used.
    #[must_use]
    pub fn shared_load_age(&self, now: BootTime) -> Option<Duration> {
        self.shared_load(now).map(|load| now.since(load.at))
    }

    /// Age at `now` of what is known of the load of other nodes.
    #[must_use]
    pub fn report_age(&self, now: BootTime) -> Option<Duration> {
        self.shared_load_age(now).or(self.report.map(|report| now.since(report.at)))
    }

    /// Share of the pool's usual load that an upstream without a report is assumed to have at `now`: it grows from 0 for
    /// one that has just become known.
    #[must_use]
    pub fn assumed_share(&self, now: BootTime) -> f64 {
        let known = now.since(self.known_at).as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
        known.clamp(0.0, 1.0)
    }

    /// Number of queued requests in the last report, if it is recent enough at `now`.
    #[must_use]
    pub fn reported_waiting(&self, now: BootTime) -> u32 {
        let report = self.report.filter(|report| now.since(report.at) < REPORT_LIFETIME);
        report.map_or(0, |report| report.waiting)
    }

    /// Time by which this upstream's responses are later than expected, in milliseconds: recent ones,
    /// or the longest overdue one. Work of other nodes and a slow upstream show in it.
    #[must_use]
    pub fn lateness_ms(&self, now: BootTime) -> f64 {
        let first_due = self.due_times.iter().min();
        let overdue_ms = first_due.map_or(0.0, |due| now.since(*due).as_secs_f64() * 1_000.0);
        self.decayed_lateness_ms(now).max(overdue_ms)
    }

    pub(super) fn decayed_lateness_ms(&self, now: BootTime) -> f64 {
        let passed = now.since(self.late_at).as_secs_f64();
        self.lateness_ms * 0.5_f64.powf(passed / LATENESS_HALF_LIFE.as_secs_f64())
    }

    /// Recent failure rate, biased towards 0 when there are few samples.
    #[must_use]
    pub fn failure_rate(&self, now: BootTime) -> f64 {
        let factor = self.decay_factor(now);
        let failures = self.failures * factor;
        failures / (failures + self.successes * factor + 1.0)
    }

    fn decay_factor(&self, now: BootTime) -> f64 {
        let half_lives = now.since(self.decayed_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        0.5_f64.powf(half_lives)
    }

    pub(super) fn decay(&mut self, now: BootTime) {
        let factor = self.decay_factor(now);
        self.failures *= factor;
        self.successes *= factor;
        self.decayed_at = now;
    }
}
