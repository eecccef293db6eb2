//! Upstreams known to a node, and the systems that stop new work to those which leave.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{
    declaration::PriorityClass,
    ids::{DomainName, MachineClass, ModelName, ServiceName, UpstreamId},
};

/// Time without an answered report after which an upstream gets no new work.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a leaving upstream that nobody lists any more is dropped.
const UNLISTED_RETENTION: Duration = Duration::from_secs(600);
/// Failures in a row that stop new work to an upstream until a probe succeeds.
const CONSECUTIVE_FAILURE_LIMIT: u32 = 3;
/// Length of the pause after [`CONSECUTIVE_FAILURE_LIMIT`] failures.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// What stands behind an upstream's address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service(ServiceName),
}

/// How the platform sells an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MarketKind {
    /// May be reclaimed on seconds of notice.
    Reclaimable,
    /// Stays until it is given back.
    OnDemand,
}

/// What the platform's list says of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamListing {
    /// Key of the row.
    pub id: UpstreamId,
    /// What stands there.
    pub kind: UpstreamKind,
    /// Host and port.
    pub address: String,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Class of the machine.
    pub class: MachineClass,
    /// How it is sold.
    pub market: MarketKind,
    /// Price in millionths an hour.
    pub price: u64,
    /// Whether the platform says that it leaves.
    pub leaving: bool,
}

/// Load that an upstream reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// Prompt tokens that the upstream computes a second.
    pub prefill_rate: u32,
    /// Tokens that one stream receives a second when the upstream is idle.
    pub decode_rate: u32,
    /// Models that are loaded. Sorted.
    pub models: Vec<ModelName>,
    /// Whether the upstream itself says that it leaves.
    pub leaving: bool,
}

/// Requests in flight at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlightCount {
    /// All of them.
    pub all: u32,
    /// Those that are patient. At most `all`.
    pub patient: u32,
}

/// One row of an [`UpstreamTable`].
#[derive(Clone, Debug)]
pub struct UpstreamRow {
    /// What the platform lists.
    pub listing: UpstreamListing,
    /// Last report.
    pub load: LoadReport,
    /// Time of the last answered report. `None` until the first.
    pub reported_at: Option<Instant>,
    /// Leaving mark. Once set, stays set for this incarnation.
    pub leaving_since: Option<Instant>,
    /// Whether the declaration drains it.
    pub drained: bool,
    /// Requests of this node that are in flight.
    pub in_flight: u32,
    /// Those of them that are patient, and make room for urgent ones. At most `in_flight`.
    pub patient_in_flight: u32,
    /// Requests of other nodes in flight, as they say themselves. `None` while too few say so.
    pub peer_in_flight: Option<InFlightCount>,
    /// Value of `in_flight` when the last report was asked for.
    pub in_flight_at_report: u32,
    /// Failures in a row.
    failures: u32,
    /// Time before which no new work is sent, after failures.
    paused_until: Option<Instant>,
    /// Time of the last listing.
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

    /// Whether the upstream is an engine that holds `model`.
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

    /// Finds the position of `id`.
    #[must_use]
    pub fn position(&self, id: &UpstreamId) -> Option<usize> {
        self.rows.binary_search_by(|row| row.listing.id.cmp(id)).ok()
    }

    /// Finds the row of `id`.
    #[must_use]
    pub fn find(&self, id: &UpstreamId) -> Option<&UpstreamRow> {
        self.position(id).map(|at| &self.rows[at])
    }

    fn find_mut(&mut self, id: &UpstreamId) -> Option<&mut UpstreamRow> {
        self.position(id).map(|at| &mut self.rows[at])
    }

    /// Takes in the platform's list. A row that was leaving stays leaving, whatever the list says.
    ///
    /// Returns the ids that the list newly marks as leaving.
    pub fn apply_listing(
        &mut self,
        listing: Vec<UpstreamListing>,
        now: Instant,
    ) -> Vec<UpstreamId> {
        let mut left = Vec::new();
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
                left.push(id);
            }
        }
        self.rows.retain(|row| {
            row.in_flight > 0 || now.saturating_duration_since(row.listed_at) < UNLISTED_RETENTION
        });
        left
    }

    /// Sets the leaving mark of `id`. Returns whether it was not set before.
    pub fn mark_leaving(&mut self, id: &UpstreamId, now: Instant) -> bool {
        let Some(row) = self.find_mut(id) else { return false };
        if row.leaving_since.is_some() {
            return false;
        }
        row.leaving_since = Some(now);
        true
    }

    /// Takes in the sorted list of upstreams that the declaration drains.
    pub fn set_drained(&mut self, drained: &[UpstreamId]) {
        for row in &mut self.rows {
            row.drained = drained.binary_search(&row.listing.id).is_ok();
        }
    }

    /// Takes in a report that was asked for at `asked_at`.
    ///
    /// Returns whether the upstream newly says that it leaves.
    pub fn apply_report(&mut self, id: &UpstreamId, load: LoadReport, asked_at: Instant) -> bool {
        let Some(row) = self.find_mut(id) else { return false };
        let leaving = load.leaving;
        row.load = load;
        row.load.models.sort();
        row.reported_at = Some(asked_at);
        row.in_flight_at_report = row.in_flight;
        leaving && self.mark_leaving(id, asked_at)
    }

    /// Notes that a request of `class` is sent to `id`.
    pub fn record_request_start(&mut self, id: &UpstreamId, class: PriorityClass) {
        if let Some(row) = self.find_mut(id) {
            row.in_flight += 1;
            row.patient_in_flight += u32::from(class == PriorityClass::Patient);
        }
    }

    /// Takes in what other nodes together say of their requests, or that too few say so.
    pub fn set_peer_in_flight(&mut self, count: impl Fn(&UpstreamId) -> Option<InFlightCount>) {
        for row in &mut self.rows {
            row.peer_in_flight = count(&row.listing.id);
        }
    }

    /// Notes that a request of `class` at `id` has ended, well or not.
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
