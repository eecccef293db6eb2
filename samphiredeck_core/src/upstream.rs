//! Upstreams known to a node, and the checks that stop new work to upstreams that are leaving or
//! failing.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{
    declaration::PriorityClass,
    ids::{DomainName, MachineClass, ModelName, ServiceName, UpstreamId},
};

/// Time without a load report after which an upstream receives no new work.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which an upstream that is no longer listed is removed.
const UNLISTED_RETENTION: Duration = Duration::from_secs(600);
/// Number of consecutive failures after which new work to an upstream is paused.
const CONSECUTIVE_FAILURE_LIMIT: u32 = 3;
/// Duration of the pause after each failure from the [`CONSECUTIVE_FAILURE_LIMIT`]th on.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Kind of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// An HTTP service other than a model engine.
    Service(ServiceName),
}

/// Purchase option of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PurchaseOption {
    /// May be reclaimed with a few seconds of notice.
    Reclaimable,
    /// Stays until it is released.
    OnDemand,
}

/// Upstream as described by the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamListing {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Kind of the upstream.
    pub kind: UpstreamKind,
    /// Host and port.
    pub address: String,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Machine class.
    pub class: MachineClass,
    /// Purchase option of the instance.
    pub purchase_option: PurchaseOption,
    /// Price per hour, in millionths of the platform's currency.
    pub price: u64,
    /// Whether the platform reports the instance as leaving.
    pub leaving: bool,
}

/// Load that an upstream reports about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Number of requests that can run concurrently.
    pub slots: u32,
    /// Prompt tokens that the upstream processes per second.
    pub prefill_rate: u32,
    /// Tokens per second that one stream receives when the upstream is otherwise idle.
    pub decode_rate: u32,
    /// Loaded models. Sorted.
    pub models: Vec<ModelName>,
    /// Whether the upstream reports that it is leaving.
    pub leaving: bool,
}

/// Number of requests in flight at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlightCount {
    /// Requests of all classes.
    pub total: u32,
    /// Requests of the patient class. At most `total`.
    pub patient: u32,
}

/// One row of an [`UpstreamTable`].
#[derive(Clone, Debug)]
pub struct UpstreamRow {
    /// Description from the platform's list.
    pub listing: UpstreamListing,
    /// Last load report.
    pub load: LoadReport,
    /// Time at which the last answered report was requested. `None` until the first.
    pub reported_at: Option<Instant>,
    /// Time at which the upstream was marked as leaving. Never reset for this incarnation.
    pub leaving_since: Option<Instant>,
    /// Whether the declaration drains the upstream.
    pub drained: bool,
    /// Number of requests of this node in flight.
    pub in_flight: u32,
    /// Number of those requests in the patient class, which yield to urgent ones. At most
    /// `in_flight`.
    pub patient_in_flight: u32,
    /// Requests of other nodes in flight, as they report them. `None` while too few nodes report.
    pub peer_in_flight: Option<InFlightCount>,
    /// Value of `in_flight` when the last report was applied.
    pub in_flight_at_report: u32,
    /// Number of consecutive failures.
    failures: u32,
    /// Time until which no new work is sent after failures.
    paused_until: Option<Instant>,
    /// Time at which the platform last listed the upstream.
    listed_at: Instant,
}

impl UpstreamRow {
    /// Whether new work may be sent at `now`.
    #[must_use]
    pub fn accepts_new_work(&self, now: Instant) -> bool {
        let fresh =
            self.reported_at.is_some_and(|at| now.saturating_duration_since(at) <= REPORT_TIMEOUT);
        let paused = self.paused_until.is_some_and(|until| now < until);
        self.leaving_since.is_none() && !self.drained && fresh && !paused
    }

    /// Whether the upstream is an engine that has `model` loaded.
    #[must_use]
    pub fn has_model(&self, model: &ModelName) -> bool {
        self.listing.kind == UpstreamKind::Engine && self.load.models.binary_search(model).is_ok()
    }
}

/// Upstreams known to this node.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    /// Sorted by id, without duplicates.
    rows: Vec<UpstreamRow>,
}

impl UpstreamTable {
    /// Lists all rows, sorted by id.
    #[must_use]
    pub fn rows(&self) -> &[UpstreamRow] {
        &self.rows
    }

    /// Returns the index of the row of `id`.
    #[must_use]
    pub fn position(&self, id: &UpstreamId) -> Option<usize> {
        self.rows.binary_search_by(|row| row.listing.id.cmp(id)).ok()
    }

    /// Returns the row of `id`.
    #[must_use]
    pub fn find(&self, id: &UpstreamId) -> Option<&UpstreamRow> {
        self.position(id).map(|at| &self.rows[at])
    }

    fn find_mut(&mut self, id: &UpstreamId) -> Option<&mut UpstreamRow> {
        self.position(id).map(|at| &mut self.rows[at])
    }

    /// Applies the platform's list. An upstream that was marked as leaving stays marked, whatever
    /// the list says.
    ///
    /// Returns the ids of upstreams that the list newly reports as leaving.
    pub fn apply_listing(
        &mut self,
        listing: Vec<UpstreamListing>,
        now: Instant,
    ) -> Vec<UpstreamId> {
        let mut newly_leaving = Vec::new();
        for listed in listing {
            let leaving = listed.leaving;
            let id = listed.id.clone();
            match self.rows.binary_search_by(|row| row.listing.id.cmp(&id)) {
                Ok(at) => {
                    self.rows[at].listing = listed;
                    self.rows[at].listed_at = now;
                }
                Err(at) => self.rows.insert(at, new_row(listed, now)),
            }
            if leaving && self.mark_leaving(&id, now) {
                newly_leaving.push(id);
            }
        }
        self.rows.retain(|row| {
            row.in_flight > 0 || now.saturating_duration_since(row.listed_at) < UNLISTED_RETENTION
        });
        newly_leaving
    }

    /// Marks `id` as leaving. Returns whether it was not marked before.
    pub fn mark_leaving(&mut self, id: &UpstreamId, now: Instant) -> bool {
        let Some(row) = self.find_mut(id) else { return false };
        if row.leaving_since.is_some() {
            return false;
        }
        row.leaving_since = Some(now);
        true
    }

    /// Sets which upstreams the declaration drains. `drained` must be sorted.
    pub fn set_drained(&mut self, drained: &[UpstreamId]) {
        for row in &mut self.rows {
            row.drained = drained.binary_search(&row.listing.id).is_ok();
        }
    }

    /// Applies a load report that was requested at `requested_at`.
    ///
    /// Returns whether the upstream newly reports that it is leaving.
    pub fn apply_report(
        &mut self,
        id: &UpstreamId,
        load: LoadReport,
        requested_at: Instant,
    ) -> bool {
        let Some(row) = self.find_mut(id) else { return false };
        let leaving = load.leaving;
        row.load = load;
        row.load.models.sort();
        row.reported_at = Some(requested_at);
        row.in_flight_at_report = row.in_flight;
        leaving && self.mark_leaving(id, requested_at)
    }

    /// Records that a request of `class` is sent to `id`.
    pub fn record_request_start(&mut self, id: &UpstreamId, class: PriorityClass) {
        if let Some(row) = self.find_mut(id) {
            row.in_flight += 1;
            row.patient_in_flight += u32::from(class == PriorityClass::Patient);
        }
    }

    /// Sets the requests of other nodes in flight at each upstream, or `None` where too few nodes
    /// report them.
    pub fn set_peer_in_flight(&mut self, count: impl Fn(&UpstreamId) -> Option<InFlightCount>) {
        for row in &mut self.rows {
            row.peer_in_flight = count(&row.listing.id);
        }
    }

    /// Records that a request of `class` at `id` has ended, successfully or not.
    pub fn record_request_end(
        &mut self,
        id: &UpstreamId,
        class: PriorityClass,
        failed: bool,
        now: Instant,
    ) {
        let Some(row) = self.find_mut(id) else { return };
        row.in_flight = row.in_flight.saturating_sub(1);
        row.patient_in_flight =
            row.patient_in_flight.saturating_sub(u32::from(class == PriorityClass::Patient));
        if !failed {
            row.failures = 0;
            row.paused_until = None;
            return;
        }
        row.failures += 1;
        if row.failures >= CONSECUTIVE_FAILURE_LIMIT {
            row.paused_until = Some(now + FAILURE_PAUSE);
        }
    }
}

fn new_row(listing: UpstreamListing, now: Instant) -> UpstreamRow {
    UpstreamRow {
        listing,
        load: LoadReport::default(),
        reported_at: None,
        leaving_since: None,
        drained: false,
        in_flight: 0,
        patient_in_flight: 0,
        peer_in_flight: None,
        in_flight_at_report: 0,
        failures: 0,
        paused_until: None,
        listed_at: now,
    }
}
