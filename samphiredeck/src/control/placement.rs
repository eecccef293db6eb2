//! Placement of models and instances, by the one node that holds the lease on it.

use std::time::{Duration, Instant};

use log::{info, warn};
use samphiredeck_core::{
    declaration::FencingMode,
    engine_api::{EngineAction, EngineCommand},
    group_commit::OperationOutcome,
    ids::{DomainName, FencingToken},
    lease::COMMAND_TRANSIT_MAX,
    patient::choose_successor,
    placement::{
        LOAD_ORDER_INTERVAL, LoadPlan, StartPlanner, StartSpec, plan_load, with_spare_domain,
    },
    platform_api::{
        InstanceRole, InstanceRow, InstanceState, PriceRow, RowCondition, RowWrite, StartOutcome,
        VersionedRow,
    },
    rows::{CONTROLLER_KEY, ControllerLeaseRow},
    upstream::UpstreamRow,
};

use super::{ControlState, is_due, table::Completion};
use crate::{
    event::{ControlEffect, parse_row},
    logging::PLACE,
};

/// Time between two rounds of placement.
const PLACEMENT_PERIOD: Duration = Duration::from_millis(500);
/// Time after which an instance that was asked for counts as missing again.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// What the placing node keeps.
#[derive(Debug, Default)]
pub(super) struct PlacementState {
    prices: Vec<PriceRow>,
    /// Engines by failure domain, leaving ones left out. Sorted by domain.
    engines_by_domain: Vec<(DomainName, usize)>,
    start_planner: StartPlanner,
    /// Fencing number of the lease, and when it was taken.
    fence: Option<(FencingToken, Instant)>,
    /// Controller row as last read.
    lease_row: Option<(ControllerLeaseRow, samphiredeck_core::ids::RowVersion)>,
    last_load_order: Option<Instant>,
    /// Times at which instances were asked for that have not shown up.
    pending_starts: Vec<Instant>,
    start_count: u64,
}

impl PlacementState {
    pub(super) fn set_prices(&mut self, prices: Vec<PriceRow>) {
        self.prices = prices;
    }

    /// Counts the engines that the platform lists.
    pub(super) fn set_instances(&mut self, instances: &[InstanceRow]) {
        self.engines_by_domain.clear();
        let engines = instances
            .iter()
            .filter(|row| row.role == InstanceRole::Engine && row.state != InstanceState::Leaving);
        for row in engines {
            match self.engines_by_domain.binary_search_by(|(domain, _)| domain.cmp(&row.domain)) {
                Ok(at) => self.engines_by_domain[at].1 += 1,
                Err(at) => self.engines_by_domain.insert(at, (row.domain.clone(), 1)),
            }
        }
    }

    fn engine_count(&self) -> usize {
        self.engines_by_domain.iter().map(|(_, count)| count).sum()
    }
}

impl ControlState {
    /// Takes in who holds the lease on placement.
    pub(super) fn apply_controller_lease(&mut self, view: Option<&VersionedRow>, now: Instant) {
        self.placement.lease_row =
            view.and_then(|view| Some((parse_row::<ControllerLeaseRow>(view)?, view.version)));
        if !self.options.placement || self.placement.fence.is_some() {
            return;
        }
        let held_by_other = self.placement.lease_row.as_ref().is_some_and(|(row, _)| {
            row.holder != self.identity.name && self.is_registered(&row.holder, row.incarnation)
        });
        let mut live = self.peers.alive(now);
        live.push(self.identity.name.clone());
        let last_holder = self.placement.lease_row.as_ref().map(|(row, _)| row.holder.clone());
        let last_holder = last_holder.unwrap_or_else(|| self.identity.name.clone());
        let is_successor = live.len() == 1
            || last_holder == self.identity.name
            || choose_successor(&last_holder, &live) == Some(&self.identity.name);
        if !held_by_other && is_successor {
            self.claim_controller_lease(now);
        }
    }

    fn claim_controller_lease(&mut self, now: Instant) {
        let seen = self.placement.lease_row.as_ref();
        let fence = seen.map_or(FencingToken(1), |(row, _)| row.fence.next());
        let version = seen.map(|(_, version)| *version).unwrap_or_default();
        let row = ControllerLeaseRow {
            holder: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            fence,
        };
        let key = CONTROLLER_KEY.to_owned();
        let conditions = vec![RowCondition { key: key.clone(), version }];
        let writes = vec![RowWrite { key, value: serde_json::to_string(&row).ok() }];
        self.submit_internal(conditions, writes, Completion::ControllerLease(fence), now);
    }

    pub(super) fn on_controller_claimed(
        &mut self,
        fence: FencingToken,
        outcome: &OperationOutcome,
        now: Instant,
    ) {
        if matches!(outcome, OperationOutcome::Committed(_)) {
            info!(target: PLACE, "Placing under fencing number {fence}.");
            self.placement.fence = Some((fence, now));
        }
    }

    /// Fencing number under which orders may be given at `now`.
    ///
    /// The lease on placement lives and dies with the lease of the node. Where engines ignore
    /// the number, a new holder waits until the orders of the former one can't arrive any more.
    fn active_fence(&mut self, now: Instant) -> Option<FencingToken> {
        if !self.commit_lane.lease().is_valid(now) {
            self.placement.fence = None;
        }
        let (fence, since) = self.placement.fence?;
        let superseded =
            self.placement.lease_row.as_ref().is_some_and(|(row, _)| row.fence > fence);
        if superseded {
            self.placement.fence = None;
            return None;
        }
        let mode = self.config.in_force()?.declaration.fencing();
        let waited = now.saturating_duration_since(since) >= COMMAND_TRANSIT_MAX;
        (mode == FencingMode::Checked || waited).then_some(fence)
    }

    pub(super) fn tick_placement(&mut self, now: Instant) {
        if !self.options.placement || !is_due(&mut self.timers.placement, PLACEMENT_PERIOD, now) {
            return;
        }
        let Some(fence) = self.active_fence(now) else { return };
        self.effects.push(ControlEffect::ReadPrices);
        self.order_model_load(fence, now);
        self.order_instance_start(now);
    }

    fn order_model_load(&mut self, fence: FencingToken, now: Instant) {
        let rate_limited = self
            .placement
            .last_load_order
            .is_some_and(|at| now.saturating_duration_since(at) < LOAD_ORDER_INTERVAL);
        let Some(config) = self.config.in_force().filter(|_| !rate_limited) else { return };
        let engines: Vec<&UpstreamRow> = self.upstreams.rows().iter().collect();
        let Some(plan) = plan_load(config.declaration.models(), &engines, now) else { return };
        let Some(model) = config.declaration.model(&plan.model) else { return };
        let Some(row) = self.upstreams.find(&plan.upstream) else { return };
        let action = EngineAction::Load {
            model: plan.model.clone(),
            version: model.version.clone(),
            adapter: model.adapter.clone(),
        };
        info!(target: PLACE, "Ordering {} to load {}.", plan.upstream, plan.model);
        let address = row.listing.address.clone();
        let command = EngineCommand { fence, action };
        self.placement.last_load_order = Some(now);
        self.effects.push(ControlEffect::LoadModel { plan, address, command });
    }

    pub(super) fn on_load_reply(
        &mut self,
        plan: &LoadPlan,
        result: Result<(), String>,
        now: Instant,
    ) {
        // The next report tells what the engine holds, so nothing is assumed here.
        if let Err(reason) = result {
            warn!(target: PLACE, "{} did not load {}: {reason}.", plan.upstream, plan.model);
            self.placement.last_load_order = Some(now);
        }
    }

    /// Engines wanted, so that all models keep their runners when any one domain goes.
    fn required_engines(&self) -> usize {
        let Some(config) = self.config.in_force() else { return 0 };
        let models = config.declaration.models();
        let needed = models.iter().map(|model| model.min_runners as usize).max().unwrap_or(0);
        let mut domains: Vec<&DomainName> =
            self.placement.prices.iter().map(|row| &row.domain).collect();
        domains.sort();
        domains.dedup();
        with_spare_domain(needed, domains.len())
    }

    fn order_instance_start(&mut self, now: Instant) {
        self.placement
            .pending_starts
            .retain(|at| now.saturating_duration_since(*at) < START_TIMEOUT);
        let pending = self.placement.pending_starts.len();
        if self.placement.engine_count() + pending >= self.required_engines() {
            return;
        }
        let spec = self.placement.start_planner.choose(
            &self.placement.prices,
            &self.placement.engines_by_domain,
            now,
        );
        let Some(spec) = spec else { return };
        self.placement.start_count += 1;
        let token = format!(
            "{}-{}-{}",
            self.identity.name, self.identity.incarnation, self.placement.start_count
        );
        self.placement.pending_starts.push(now);
        info!(target: PLACE, "Asking for {} in {}.", spec.class, spec.domain);
        self.effects.push(ControlEffect::StartInstance(spec, token));
    }

    pub(super) fn on_start_reply(
        &mut self,
        spec: &StartSpec,
        outcome: Option<StartOutcome>,
        now: Instant,
    ) {
        match outcome {
            Some(StartOutcome::Started { id }) => {
                info!(target: PLACE, "Instance {id} starts.");
                self.placement.start_planner.record_started(spec);
            }
            Some(StartOutcome::Refused { reason }) => {
                warn!(target: PLACE, "Start in {} refused: {reason}.", spec.domain);
                let jitter = self.random_unit();
                self.placement.start_planner.record_refusal(spec, jitter, now);
                self.placement.pending_starts.pop();
            }
            // An order whose answer is lost may have started an instance, so it stays counted.
            None => warn!(target: PLACE, "Start in {} not answered.", spec.domain),
        }
    }
}
