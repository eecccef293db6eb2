//! Placement of models and instances by the node that holds the controller lease.

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

/// Interval between rounds of placement.
const PLACEMENT_PERIOD: Duration = Duration::from_millis(500);
/// Time after which a requested instance that has not appeared is no longer expected.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// State of the placement controller.
#[derive(Debug, Default)]
pub(super) struct PlacementState {
    prices: Vec<PriceRow>,
    /// Number of engines in each failure domain, without those that leave. Sorted by domain.
    engines_by_domain: Vec<(DomainName, usize)>,
    start_planner: StartPlanner,
    /// Fencing token of the lease, and when it was acquired.
    fence: Option<(FencingToken, Instant)>,
    /// Controller lease row as last read.
    lease_row: Option<(ControllerLeaseRow, samphiredeck_core::ids::RowVersion)>,
    last_load_order: Option<Instant>,
    /// Request times of the instances that are still expected.
    pending_starts: Vec<Instant>,
    start_count: u64,
}

impl PlacementState {
    pub(super) fn set_prices(&mut self, prices: Vec<PriceRow>) {
        self.prices = prices;
    }

    /// Counts the engines in the platform's instance list.
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
    /// Applies the controller lease row, and claims the lease if its holder is gone and this node
    /// is the successor.
    pub(super) fn apply_controller_lease(&mut self, stored: Option<&VersionedRow>, now: Instant) {
        self.placement.lease_row = stored
            .and_then(|stored| Some((parse_row::<ControllerLeaseRow>(stored)?, stored.version)));
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
        let last = self.placement.lease_row.as_ref();
        let fence = last.map_or(FencingToken(1), |(row, _)| row.fence.next());
        let version = last.map(|(_, version)| *version).unwrap_or_default();
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
            info!(target: PLACE, "Acquired the controller lease with fencing token {fence}.");
            self.placement.fence = Some((fence, now));
        }
    }

    /// Returns the fencing token under which commands may be issued at `now`.
    ///
    /// The controller lease is valid only as long as the lease of the node. Where engines don't
    /// check the token, a new holder waits until commands of the previous one can no longer arrive.
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
        info!(target: PLACE, "Requesting upstream {} to load model {}.", plan.upstream, plan.model);
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
        // The next report tells which models the engine has loaded, so nothing is assumed here.
        if let Err(reason) = result {
            warn!(
                target: PLACE,
                "Upstream {} did not load model {}: {reason}.", plan.upstream, plan.model
            );
            self.placement.last_load_order = Some(now);
        }
    }

    /// Number of engines needed so that every model keeps its minimum of runners when any single
    /// failure domain is lost.
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
        info!(target: PLACE, "Requesting an instance of class {} in {}.", spec.class, spec.domain);
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
                info!(target: PLACE, "Instance {id} is starting.");
                self.placement.start_planner.record_started(spec);
            }
            Some(StartOutcome::Refused { reason }) => {
                warn!(target: PLACE, "Instance start in {} refused: {reason}.", spec.domain);
                let jitter = self.random_unit();
                self.placement.start_planner.record_refusal(spec, jitter, now);
                self.placement.pending_starts.pop();
            }
            // A request whose reply is lost may have started an instance, so it stays pending.
            None => warn!(target: PLACE, "Instance start in {} got no reply.", spec.domain),
        }
    }
}
