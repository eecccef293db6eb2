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

use super::{ControlState, is_due, table::Waiter};
use crate::{
    event::{ControlEffect, parse_row},
    logging::PLACE,
};

/// Time between two rounds of placement.
const PLACEMENT_PERIOD: Duration = Duration::from_millis(500);
/// Time after which an instance that was asked for counts as missing again.
const START_PATIENCE: Duration = Duration::from_secs(30);

/// What the placing node keeps.
#[derive(Debug, Default)]
pub(super) struct PlacerState {
    prices: Vec<PriceRow>,
    /// Engines by failure domain, leaving ones left out. Sorted by domain.
    present: Vec<(DomainName, usize)>,
    planner: StartPlanner,
    /// Fencing number of the lease, and when it was taken.
    fence: Option<(FencingToken, Instant)>,
    /// Controller row as last read.
    seen: Option<(ControllerLeaseRow, samphiredeck_core::ids::RowVersion)>,
    last_load: Option<Instant>,
    /// Times at which instances were asked for that have not shown up.
    asked: Vec<Instant>,
    starts: u64,
}

impl PlacerState {
    pub(super) fn set_prices(&mut self, prices: Vec<PriceRow>) {
        self.prices = prices;
    }

    /// Counts the engines that the platform lists.
    pub(super) fn note_instances(&mut self, instances: &[InstanceRow]) {
        self.present.clear();
        let engines = instances
            .iter()
            .filter(|row| row.role == InstanceRole::Engine && row.state != InstanceState::Leaving);
        for row in engines {
            match self.present.binary_search_by(|(domain, _)| domain.cmp(&row.domain)) {
                Ok(at) => self.present[at].1 += 1,
                Err(at) => self.present.insert(at, (row.domain.clone(), 1)),
            }
        }
    }

    fn count(&self) -> usize {
        self.present.iter().map(|(_, count)| count).sum()
    }
}

impl ControlState {
    /// Takes in who holds the lease on placement.
    pub(super) fn learn_controller(&mut self, view: Option<&VersionedRow>, now: Instant) {
        self.placer.seen =
            view.and_then(|view| Some((parse_row::<ControllerLeaseRow>(view)?, view.version)));
        if !self.options.placement || self.placer.fence.is_some() {
            return;
        }
        let held = self.placer.seen.as_ref().is_some_and(|(row, _)| {
            row.holder != self.identity.name && self.is_registered(&row.holder, row.incarnation)
        });
        let mut live = self.peers.alive(now);
        live.push(self.identity.name.clone());
        let former = self.placer.seen.as_ref().map(|(row, _)| row.holder.clone());
        let former = former.unwrap_or_else(|| self.identity.name.clone());
        let mine = live.len() == 1
            || former == self.identity.name
            || choose_successor(&former, &live) == Some(&self.identity.name);
        if !held && mine {
            self.claim_controller(now);
        }
    }

    fn claim_controller(&mut self, now: Instant) {
        let seen = self.placer.seen.as_ref();
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
        self.offer_own(conditions, writes, Waiter::Controller(fence), now);
    }

    pub(super) fn on_controller(
        &mut self,
        fence: FencingToken,
        outcome: &OperationOutcome,
        now: Instant,
    ) {
        if matches!(outcome, OperationOutcome::Committed(_)) {
            info!(target: PLACE, "Placing under fencing number {fence}.");
            self.placer.fence = Some((fence, now));
        }
    }

    /// Fencing number under which orders may be given at `now`.
    ///
    /// The lease on placement lives and dies with the lease of the node. Where engines ignore
    /// the number, a new holder waits until the orders of the former one can't arrive any more.
    fn placing_fence(&mut self, now: Instant) -> Option<FencingToken> {
        if !self.lane.lease().is_valid(now) {
            self.placer.fence = None;
        }
        let (fence, since) = self.placer.fence?;
        let overtaken = self.placer.seen.as_ref().is_some_and(|(row, _)| row.fence > fence);
        if overtaken {
            self.placer.fence = None;
            return None;
        }
        let mode = self.holding.in_force()?.declaration.fencing();
        let waited = now.saturating_duration_since(since) >= COMMAND_TRANSIT_MAX;
        (mode == FencingMode::Checked || waited).then_some(fence)
    }

    pub(super) fn tick_placement(&mut self, now: Instant) {
        if !self.options.placement || !is_due(&mut self.times.placement, PLACEMENT_PERIOD, now) {
            return;
        }
        let Some(fence) = self.placing_fence(now) else { return };
        self.effects.push(ControlEffect::ReadPrices);
        self.order_load(fence, now);
        self.order_start(now);
    }

    fn order_load(&mut self, fence: FencingToken, now: Instant) {
        let paced = self
            .placer
            .last_load
            .is_some_and(|at| now.saturating_duration_since(at) < LOAD_ORDER_INTERVAL);
        let Some(config) = self.holding.in_force().filter(|_| !paced) else { return };
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
        let order = EngineCommand { fence, action };
        self.placer.last_load = Some(now);
        self.effects.push(ControlEffect::OrderLoad { plan, address, order });
    }

    pub(super) fn on_load_ordered(
        &mut self,
        plan: &LoadPlan,
        result: Result<(), String>,
        now: Instant,
    ) {
        // The next report tells what the engine holds, so nothing is assumed here.
        if let Err(reason) = result {
            warn!(target: PLACE, "{} did not load {}: {reason}.", plan.upstream, plan.model);
            self.placer.last_load = Some(now);
        }
    }

    /// Engines wanted, so that all models keep their runners when any one domain goes.
    fn engines_wanted(&self) -> usize {
        let Some(config) = self.holding.in_force() else { return 0 };
        let models = config.declaration.models();
        let needed = models.iter().map(|model| model.min_runners as usize).max().unwrap_or(0);
        let mut domains: Vec<&DomainName> =
            self.placer.prices.iter().map(|row| &row.domain).collect();
        domains.sort();
        domains.dedup();
        with_spare_domain(needed, domains.len())
    }

    fn order_start(&mut self, now: Instant) {
        self.placer.asked.retain(|at| now.saturating_duration_since(*at) < START_PATIENCE);
        let on_order = self.placer.asked.len();
        if self.placer.count() + on_order >= self.engines_wanted() {
            return;
        }
        let choice = self.placer.planner.choose(&self.placer.prices, &self.placer.present, now);
        let Some(choice) = choice else { return };
        self.placer.starts += 1;
        let token =
            format!("{}-{}-{}", self.identity.name, self.identity.incarnation, self.placer.starts);
        self.placer.asked.push(now);
        info!(target: PLACE, "Asking for {} in {}.", choice.class, choice.domain);
        self.effects.push(ControlEffect::OrderStart(choice, token));
    }

    pub(super) fn on_start_ordered(
        &mut self,
        choice: &StartSpec,
        outcome: Option<StartOutcome>,
        now: Instant,
    ) {
        match outcome {
            Some(StartOutcome::Started { id }) => {
                info!(target: PLACE, "Instance {id} starts.");
                self.placer.planner.record_started(choice);
            }
            Some(StartOutcome::Refused { reason }) => {
                warn!(target: PLACE, "Start in {} refused: {reason}.", choice.domain);
                let noise = self.draw();
                self.placer.planner.record_refusal(choice, noise, now);
                self.placer.asked.pop();
            }
            // An order whose answer is lost may have started an instance, so it stays counted.
            None => warn!(target: PLACE, "Start in {} not answered.", choice.domain),
        }
    }
}
