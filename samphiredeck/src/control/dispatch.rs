//! Admission and placement of runs.

use std::time::{Duration, Instant};

use log::debug;
use samphiredeck_core::{
    account::AttemptUsage,
    admission::{AdmissionRequest, Refusal, RefusalReason, TicketNumber},
    concurrency_limit::ConcurrencyLimitTable,
    declaration::{LatencyTarget, OptimizationGoal, PriorityClass},
    hint::PlacementHintTable,
    ids::{ConfigVersion, ModelName, ServiceName, UpstreamId, WorkspaceName},
    prefix::PrefixTable,
    route::{RouteChoice, RouteInputs, RouteRequest, RouteState, choose},
    upstream::{UpstreamKind, UpstreamTable},
};
use tokio::sync::oneshot;

use super::{
    ControlState, StopPhase,
    run_row::{RunRow, RunStage},
};
use crate::{
    event::{LossCause, PlaceReply, RunAsk, RunEnd, RunPlacement},
    logging::ROUTE,
};

/// Time for which a run that lost its upstream waits for another.
pub(super) const PLACE_AGAIN_FOR: Duration = Duration::from_secs(60);
/// Advice to callers that are refused since the node is unsure.
const UNSURE_PAUSE: Duration = Duration::from_secs(1);

/// Retry that waits for its workspace's budget.
#[derive(Debug)]
pub(super) struct HeldBack {
    ticket: TicketNumber,
    /// Time until which it waits.
    until: Instant,
}

/// Tables that a placement reads and writes.
struct PlacingTables<'a> {
    runs: &'a [RunRow],
    route: &'a mut RouteState,
    upstreams: &'a mut UpstreamTable,
    prefixes: &'a mut PrefixTable,
    hints: &'a mut PlacementHintTable,
    limits: &'a ConcurrencyLimitTable,
}

impl PlacingTables<'_> {
    /// Places the run of `ticket`, or finds no room.
    fn place(&mut self, ticket: TicketNumber, noise: f64, now: Instant) -> Option<RouteChoice> {
        let at = self.runs.binary_search_by_key(&ticket, |row| row.ticket).ok()?;
        let run = &self.runs[at];
        if let Some(choice) = self.place_preferred(run, now) {
            return Some(choice);
        }
        let view = RouteInputs {
            upstreams: self.upstreams,
            prefixes: self.prefixes,
            hints: self.hints,
            limits: self.limits,
        };
        let mut ask = run.route_ask(now);
        let mut choice = choose(self.route, view, &ask, noise, now);
        if choice.is_none() && !ask.exclude.is_empty() && !self.has_other(&ask, now) {
            // The upstream that failed is the only one, so it is tried again.
            ask.exclude = &[];
            choice = choose(self.route, view, &ask, noise, now);
        }
        let choice = choice?;
        self.upstreams.record_request_start(&choice.upstream, run.class);
        self.prefixes.insert(&run.blocks, &choice.upstream, now);
        self.hints.record_placement(&run.blocks, &choice.upstream);
        Some(choice)
    }

    /// Places a run where its cache is, if that upstream still takes work.
    fn place_preferred(&mut self, run: &RunRow, now: Instant) -> Option<RouteChoice> {
        let row = self.upstreams.find(run.prefer.as_ref()?)?;
        if !row.has_model(&run.model) || !row.accepts_new_work(now) {
            return None;
        }
        let choice = RouteChoice {
            upstream: row.listing.id.clone(),
            address: row.listing.address.clone(),
            domain: row.listing.domain.clone(),
            cached_blocks: run.blocks.len(),
            expected_first: Duration::ZERO,
            price: row.listing.price,
            slots: row.load.slots.max(1),
        };
        self.upstreams.record_request_start(&choice.upstream, run.class);
        Some(choice)
    }

    fn has_other(&self, ask: &RouteRequest<'_>, now: Instant) -> bool {
        self.upstreams.rows().iter().any(|row| {
            row.has_model(ask.model)
                && row.accepts_new_work(now)
                && !ask.exclude.contains(&row.listing.id)
        })
    }
}

impl ControlState {
    pub(super) fn run_position(&self, ticket: TicketNumber) -> Option<usize> {
        self.runs.binary_search_by_key(&ticket, |row| row.ticket).ok()
    }

    /// Whether a request that was checked against `version` may be admitted.
    fn check_gate(
        &self,
        workspace: &WorkspaceName,
        version: ConfigVersion,
        now: Instant,
    ) -> Result<(), Refusal> {
        if self.phase == StopPhase::Refusing {
            return Err(Refusal::new(RefusalReason::Stopping, UNSURE_PAUSE));
        }
        if self.holding.in_force().is_some() && self.holding.version() != version {
            return Err(Refusal::new(RefusalReason::ConfigStale, UNSURE_PAUSE));
        }
        let fresh = self.gate.is_fresh(&self.identity.name, now);
        if !fresh || !self.holding.admits(workspace, now) {
            return Err(Refusal::new(RefusalReason::ConfigUnconfirmed, UNSURE_PAUSE));
        }
        Ok(())
    }

    /// Whether patient work of `workspace` may be recorded.
    pub(super) fn check_patient(
        &self,
        workspace: &WorkspaceName,
        version: ConfigVersion,
        now: Instant,
    ) -> Result<(), Refusal> {
        self.check_gate(workspace, version, now)?;
        if self.lane.is_down() || self.lane.needs_registration() {
            return Err(Refusal::new(RefusalReason::TableDown, UNSURE_PAUSE));
        }
        let config = self.holding.in_force();
        let row = config.and_then(|config| config.declaration.workspace(workspace));
        let most = row.map_or(usize::MAX, |row| row.max_in_flight as usize);
        let open = self.runs.iter().filter(|run| run.is_open() && run.workspace == *workspace);
        if open.count() >= most {
            let wait = self.queue.expected_wait(PriorityClass::Patient);
            return Err(Refusal::new(RefusalReason::WorkspaceFull, wait));
        }
        Ok(())
    }

    fn has_holder(&self, model: &ModelName, now: Instant) -> bool {
        self.upstreams.rows().iter().any(|row| row.has_model(model) && row.accepts_new_work(now))
    }

    pub(super) fn admit_run(
        &mut self,
        ask: RunAsk,
        reply: oneshot::Sender<PlaceReply>,
        now: Instant,
    ) {
        if !ask.accepted {
            let gate = self.check_gate(&ask.workspace, ask.version, now);
            let holder = self.has_holder(&ask.model, now);
            let missing = || Refusal::new(RefusalReason::NoUpstream, UNSURE_PAUSE);
            if let Err(refusal) = gate.and(if holder { Ok(()) } else { Err(missing()) }) {
                self.refuse(&ask, reply, refusal, now);
                return;
            }
        }
        let declared = self.holding.in_force().and_then(|config| {
            let row = config.declaration.workspace(&ask.workspace)?;
            Some((row.weight, row.max_in_flight, row.optimization_goal, row.retry_percent))
        });
        let (weight, most, favour, percent) =
            declared.unwrap_or((1, u32::MAX, OptimizationGoal::default(), 0));
        let waiting = AdmissionRequest {
            ticket: ask.ticket,
            workspace: ask.workspace.clone(),
            weight,
            max_in_flight: most,
            class: ask.class,
            model: ask.model.clone(),
            place_by: ask.place_by,
            tokens: ask.prompt_tokens + ask.output_tokens,
        };
        if ask.accepted {
            self.queue.requeue(waiting, now);
        } else if let Err(refusal) = self.queue.enqueue(waiting, now) {
            self.refuse(&ask, reply, refusal, now);
            return;
        }
        self.retries.record_first_attempt(&ask.workspace, percent, now);
        self.insert_run(ask, weight, favour, RunStage::Waiting(reply), now);
        self.place_waiting(now);
    }

    fn insert_run(
        &mut self,
        ask: RunAsk,
        weight: u32,
        favour: OptimizationGoal,
        stage: RunStage,
        now: Instant,
    ) {
        let row = RunRow {
            ticket: ask.ticket,
            request: ask.request,
            workspace: ask.workspace,
            class: ask.class,
            model: ask.model,
            blocks: ask.blocks,
            prompt_tokens: ask.prompt_tokens,
            output_tokens: ask.output_tokens,
            weight,
            favour,
            excluded: Vec::new(),
            prefer: ask.prefer,
            stage,
            buffer: ask.buffer,
            signals: ask.signals,
            admitted_at: now,
        };
        if let Err(at) = self.runs.binary_search_by_key(&row.ticket, |known| known.ticket) {
            self.runs.insert(at, row);
        }
    }

    fn refuse(
        &mut self,
        ask: &RunAsk,
        reply: oneshot::Sender<PlaceReply>,
        refusal: Refusal,
        now: Instant,
    ) {
        debug!(target: ROUTE, "Request {} refused: {}.", ask.request, refusal.reason.as_str());
        if refusal.reason != RefusalReason::ConfigStale {
            self.count_refusal(&ask.workspace, ask.class, now);
        }
        drop(reply.send(Err(refusal)));
    }

    pub(super) fn count_refusal(
        &mut self,
        workspace: &WorkspaceName,
        class: PriorityClass,
        now: Instant,
    ) {
        self.counters.refused += 1;
        self.burn.count(workspace, class, false, now);
    }

    /// Places what waits, in turn.
    pub(super) fn place_waiting(&mut self, now: Instant) {
        if self.queue.is_empty() {
            return;
        }
        let mut noise = self.draw();
        let mut tables = PlacingTables {
            runs: &self.runs,
            route: &mut self.route,
            upstreams: &mut self.upstreams,
            prefixes: &mut self.prefixes,
            hints: &mut self.hints,
            limits: &self.limits,
        };
        let placed = self.queue.place_waiting(now, |ask| {
            noise = (noise + 0.618_033_988).fract();
            tables.place(ask.ticket, noise, now)
        });
        for (ticket, choice) in placed {
            self.tell_place(ticket, choice, now);
        }
    }

    /// Tells a run its place. A run whose task is gone gives the place back.
    fn tell_place(&mut self, ticket: TicketNumber, choice: RouteChoice, now: Instant) {
        let Some(at) = self.run_position(ticket) else { return };
        let placed = RunStage::Placed { upstream: choice.upstream.clone(), since: now };
        let former = std::mem::replace(&mut self.runs[at].stage, placed);
        let RunStage::Waiting(reply) = former else { return };
        let placement = RunPlacement {
            upstream: choice.upstream,
            address: choice.address,
            price: choice.price,
            slots: choice.slots,
        };
        if reply.send(Ok(placement)).is_err() {
            self.release(at, false, now);
            self.runs[at].stage = RunStage::Ended { at: now };
        }
    }

    /// Gives back the place of the run at position `at`.
    fn release(&mut self, at: usize, failed: bool, now: Instant) {
        let RunStage::Placed { upstream, since } = &self.runs[at].stage else { return };
        let service = now.saturating_duration_since(*since);
        self.upstreams.record_request_end(upstream, self.runs[at].class, failed, now);
        self.queue.record_end(&self.runs[at].workspace, service);
    }

    pub(super) fn place_again(
        &mut self,
        ticket: TicketNumber,
        cause: LossCause,
        reply: oneshot::Sender<PlaceReply>,
        now: Instant,
    ) {
        let Some(at) = self.run_position(ticket) else { return };
        self.release(at, cause != LossCause::Announced, now);
        let class = self.runs[at].class;
        match cause {
            LossCause::Announced => self.counters.replaced += 1,
            LossCause::Refused | LossCause::Failed => self.counters.retried += 1,
        }
        let run = &mut self.runs[at];
        run.prefer = None;
        run.excluded = run.upstream().cloned().into_iter().collect();
        run.stage = RunStage::Waiting(reply);
        let until = again_until(class, now);
        // Only a request that may have run costs upstreams work once more.
        let workspace = self.runs[at].workspace.clone();
        if cause == LossCause::Failed && !self.retries.take(&workspace, now) {
            self.held_back.push(HeldBack { ticket, until });
            return;
        }
        let ask = self.runs[at].admission_ask(until);
        self.queue.requeue(ask, now);
        self.place_waiting(now);
    }

    /// Lets retries that wait for their workspace's budget go on, oldest first.
    pub(super) fn release_held_back(&mut self, now: Instant) {
        for held in std::mem::take(&mut self.held_back) {
            let Some(at) = self.run_position(held.ticket) else { continue };
            if !self.runs[at].is_open() {
                continue;
            }
            let workspace = self.runs[at].workspace.clone();
            // Past its time the request is refused by the queue at once.
            if now < held.until && !self.retries.take(&workspace, now) {
                self.held_back.push(held);
                continue;
            }
            let ask = self.runs[at].admission_ask(held.until);
            self.queue.requeue(ask, now);
        }
    }

    /// Refuses at once what can't be placed in time any more.
    pub(super) fn expire_waiting(&mut self, now: Instant) {
        for (ticket, refusal) in self.queue.expire(now) {
            let Some(at) = self.run_position(ticket) else { continue };
            let ended = RunStage::Ended { at: now };
            let former = std::mem::replace(&mut self.runs[at].stage, ended);
            let (workspace, class) = (self.runs[at].workspace.clone(), self.runs[at].class);
            self.count_refusal(&workspace, class, now);
            if let RunStage::Waiting(reply) = former {
                drop(reply.send(Err(refusal)));
            }
        }
    }

    pub(super) fn add_work(&mut self, ticket: TicketNumber, work: AttemptUsage) {
        let Some(at) = self.run_position(ticket) else { return };
        let run = &self.runs[at];
        self.accounts.add(&run.workspace, &run.model, work);
    }

    fn target_of(&self, workspace: &WorkspaceName, class: PriorityClass) -> LatencyTarget {
        let config = self.holding.in_force();
        let row = config.and_then(|config| config.declaration.workspace(workspace));
        row.map_or_else(|| LatencyTarget::default_for(class), |row| row.targets[class.index()])
    }

    pub(super) fn note_first(&mut self, ticket: TicketNumber, after: Duration, now: Instant) {
        let Some(at) = self.run_position(ticket) else { return };
        let run = &self.runs[at];
        // Patient answers are slow by choice and say nothing about the upstream's limit.
        if run.class == PriorityClass::Patient {
            return;
        }
        let target = self.target_of(&run.workspace, run.class);
        let row = run.upstream().and_then(|id| self.upstreams.find(id));
        if let Some(row) = row {
            self.limits.observe_first_token(row, after, target.first_token, now);
        }
    }

    pub(super) fn end_run(&mut self, ticket: TicketNumber, end: &RunEnd, now: Instant) {
        let Some(at) = self.run_position(ticket) else { return };
        if !self.runs[at].is_open() {
            return;
        }
        self.release(at, end.failed, now);
        self.queue.remove(ticket);
        self.runs[at].stage = RunStage::Ended { at: now };
        let run = &self.runs[at];
        if let Some(timing) = end.timing {
            let (workspace, class) = (run.workspace.clone(), run.class);
            let target = self.target_of(&workspace, class);
            self.burn.count(&workspace, class, timing.meets(&target), now);
            if timing.complete {
                self.counters.answered += 1;
                self.accounts.count_answer(&workspace, &self.runs[at].model);
            } else {
                self.counters.failed += 1;
            }
        }
        self.place_waiting(now);
    }

    /// Chooses the upstream for a call to a plain service: the least loaded one.
    pub(super) fn place_call(
        &mut self,
        workspace: &WorkspaceName,
        version: ConfigVersion,
        backend: &ServiceName,
        exclude: &[UpstreamId],
        now: Instant,
    ) -> PlaceReply {
        self.check_gate(workspace, version, now)?;
        let kind = UpstreamKind::Service(backend.clone());
        let best = self
            .upstreams
            .rows()
            .iter()
            .filter(|row| row.listing.kind == kind && row.accepts_new_work(now))
            .filter(|row| !exclude.contains(&row.listing.id))
            .min_by_key(|row| (row.in_flight + row.load.running, row.listing.id.clone()));
        let Some(row) = best else {
            return Err(Refusal::new(RefusalReason::NoUpstream, UNSURE_PAUSE));
        };
        let placement = RunPlacement {
            upstream: row.listing.id.clone(),
            address: row.listing.address.clone(),
            price: row.listing.price,
            slots: row.load.slots.max(1),
        };
        self.upstreams.record_request_start(&placement.upstream, PriorityClass::Prompt);
        Ok(placement)
    }
}

/// Time until which a run that lost its upstream waits for another.
fn again_until(class: PriorityClass, now: Instant) -> Instant {
    match class {
        // Patient work waits as long as it takes.
        PriorityClass::Patient => now + Duration::from_secs(86_400),
        PriorityClass::Urgent | PriorityClass::Prompt => now + PLACE_AGAIN_FOR,
    }
}
