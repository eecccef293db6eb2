//! Admission and placement of runs.

use std::time::{Duration, Instant};

use log::debug;
use samphiredeck_core::{
    account::AttemptUsage,
    admission::{AdmissionRequest, Refusal, RefusalReason, RequestTicket},
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
    event::{PlacementResult, RerouteCause, RunOutcome, RunPlacement, RunRequest},
    logging::ROUTE,
};

/// Time for which a run that lost its upstream may wait for another one.
pub(super) const REROUTE_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay after which a refused caller is advised to retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry deferred until the retry budget of its workspace allows it or no request waits.
#[derive(Debug)]
pub(super) struct DeferredRetry {
    ticket: RequestTicket,
    /// Time after which the retry is refused.
    deadline: Instant,
}

/// Tables that placing a run reads and updates.
struct PlacementTables<'a> {
    runs: &'a [RunRow],
    route: &'a mut RouteState,
    upstreams: &'a mut UpstreamTable,
    prefixes: &'a mut PrefixTable,
    hints: &'a mut PlacementHintTable,
    limits: &'a ConcurrencyLimitTable,
}

impl PlacementTables<'_> {
    /// Places the run of `ticket`. Returns `None` if no upstream can take it now.
    fn place(&mut self, ticket: RequestTicket, noise: f64, now: Instant) -> Option<RouteChoice> {
        let at = self.runs.binary_search_by_key(&ticket, |row| row.ticket).ok()?;
        let run = &self.runs[at];
        if let Some(choice) = self.place_preferred(run, now) {
            return Some(choice);
        }
        let inputs = RouteInputs {
            upstreams: self.upstreams,
            prefixes: self.prefixes,
            hints: self.hints,
            limits: self.limits,
        };
        let mut request = run.route_request(now);
        let mut choice = choose(self.route, inputs, &request, noise, now);
        if choice.is_none() && !request.exclude.is_empty() && !self.has_alternative(&request, now) {
            // Only the excluded upstream is left, so it is tried again.
            request.exclude = &[];
            choice = choose(self.route, inputs, &request, noise, now);
        }
        let choice = choice?;
        self.upstreams.record_request_start(&choice.upstream, run.class);
        self.prefixes.insert(&run.blocks, &choice.upstream, now);
        self.hints.record_placement(&run.blocks, &choice.upstream);
        Some(choice)
    }

    /// Places a run on the upstream that holds its cache, if that one still accepts work. The
    /// concurrency limit is not checked.
    fn place_preferred(&mut self, run: &RunRow, now: Instant) -> Option<RouteChoice> {
        let row = self.upstreams.find(run.preferred_upstream.as_ref()?)?;
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

    /// Returns whether any upstream that is not excluded can take the request.
    fn has_alternative(&self, request: &RouteRequest<'_>, now: Instant) -> bool {
        self.upstreams.rows().iter().any(|row| {
            row.has_model(request.model)
                && row.accepts_new_work(now)
                && !request.exclude.contains(&row.listing.id)
        })
    }
}

impl ControlState {
    pub(super) fn run_position(&self, ticket: RequestTicket) -> Option<usize> {
        self.runs.binary_search_by_key(&ticket, |row| row.ticket).ok()
    }

    /// Checks that a request validated against `version` may be admitted.
    fn check_admission(
        &self,
        workspace: &WorkspaceName,
        version: ConfigVersion,
        now: Instant,
    ) -> Result<(), Refusal> {
        if self.phase == StopPhase::Draining {
            return Err(Refusal::new(RefusalReason::Stopping, RETRY_AFTER));
        }
        if self.config.in_force().is_some() && self.config.version() != version {
            return Err(Refusal::new(RefusalReason::ConfigStale, RETRY_AFTER));
        }
        let fresh = self.freshness.is_fresh(&self.identity.name, now);
        if !fresh || !self.config.admits(workspace, now) {
            return Err(Refusal::new(RefusalReason::ConfigUnconfirmed, RETRY_AFTER));
        }
        Ok(())
    }

    /// Checks that patient work of `workspace` may be recorded.
    pub(super) fn check_patient(
        &self,
        workspace: &WorkspaceName,
        version: ConfigVersion,
        now: Instant,
    ) -> Result<(), Refusal> {
        self.check_admission(workspace, version, now)?;
        if self.commit_lane.is_down() || self.commit_lane.needs_registration() {
            return Err(Refusal::new(RefusalReason::TableDown, RETRY_AFTER));
        }
        let config = self.config.in_force();
        let row = config.and_then(|config| config.declaration.workspace(workspace));
        let limit = row.map_or(usize::MAX, |row| row.max_in_flight as usize);
        let open = self.runs.iter().filter(|run| run.is_open() && run.workspace == *workspace);
        if open.count() >= limit {
            let wait = self.queue.expected_wait(PriorityClass::Patient);
            return Err(Refusal::new(RefusalReason::WorkspaceFull, wait));
        }
        Ok(())
    }

    fn has_upstream_for(&self, model: &ModelName, now: Instant) -> bool {
        self.upstreams.rows().iter().any(|row| row.has_model(model) && row.accepts_new_work(now))
    }

    pub(super) fn admit_run(
        &mut self,
        request: RunRequest,
        reply: oneshot::Sender<PlacementResult>,
        now: Instant,
    ) {
        if !request.accepted {
            let admitted = self.check_admission(&request.workspace, request.version, now);
            let has_upstream = self.has_upstream_for(&request.model, now);
            let no_upstream = || Refusal::new(RefusalReason::NoUpstream, RETRY_AFTER);
            if let Err(refusal) =
                admitted.and(if has_upstream { Ok(()) } else { Err(no_upstream()) })
            {
                self.refuse(&request, reply, refusal, now);
                return;
            }
        }
        let declared = self.config.in_force().and_then(|config| {
            let row = config.declaration.workspace(&request.workspace)?;
            Some((row.weight, row.max_in_flight, row.optimization_goal, row.retry_percent))
        });
        let (weight, limit, optimization_goal, retry_percent) =
            declared.unwrap_or((1, u32::MAX, OptimizationGoal::default(), 0));
        let admission = AdmissionRequest {
            ticket: request.ticket,
            workspace: request.workspace.clone(),
            weight,
            max_in_flight: limit,
            class: request.class,
            model: request.model.clone(),
            place_by: request.place_by,
            tokens: request.prompt_tokens + request.output_tokens,
        };
        if request.accepted {
            self.queue.requeue(admission, now);
        } else if let Err(refusal) = self.queue.enqueue(admission, now) {
            self.refuse(&request, reply, refusal, now);
            return;
        }
        self.retries.record_first_attempt(&request.workspace, retry_percent, now);
        self.insert_run(request, weight, optimization_goal, RunStage::Waiting(reply), now);
        self.place_waiting(now);
    }

    fn insert_run(
        &mut self,
        request: RunRequest,
        weight: u32,
        optimization_goal: OptimizationGoal,
        stage: RunStage,
        now: Instant,
    ) {
        let row = RunRow {
            ticket: request.ticket,
            request_id: request.request_id,
            workspace: request.workspace,
            class: request.class,
            model: request.model,
            blocks: request.blocks,
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            weight,
            optimization_goal,
            excluded: Vec::new(),
            preferred_upstream: request.preferred_upstream,
            stage,
            buffer: request.buffer,
            signals: request.signals,
            admitted_at: now,
        };
        self.adopted_runs.retain(|run| run.request_id != row.request_id);
        if let Err(at) = self.runs.binary_search_by_key(&row.ticket, |known| known.ticket) {
            self.runs.insert(at, row);
        }
    }

    fn refuse(
        &mut self,
        request: &RunRequest,
        reply: oneshot::Sender<PlacementResult>,
        refusal: Refusal,
        now: Instant,
    ) {
        debug!(
            target: ROUTE,
            "Request {} refused: {}.", request.request_id, refusal.reason.as_str()
        );
        // The request handler checks again against the new declaration, so this is not counted.
        if refusal.reason != RefusalReason::ConfigStale {
            self.count_refusal(&request.workspace, request.class, now);
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
        self.burn_rates.count(workspace, class, false, now);
    }

    /// Places waiting runs in the order of the admission queue.
    pub(super) fn place_waiting(&mut self, now: Instant) {
        if self.queue.is_empty() {
            return;
        }
        let mut noise = self.random_unit();
        let mut tables = PlacementTables {
            runs: &self.runs,
            route: &mut self.route,
            upstreams: &mut self.upstreams,
            prefixes: &mut self.prefixes,
            hints: &mut self.hints,
            limits: &self.limits,
        };
        let placed = self.queue.place_waiting(now, |request| {
            // Steps of the golden ratio spread the numbers of the runs evenly over 0 to 1.
            noise = (noise + 0.618_033_988).fract();
            tables.place(request.ticket, noise, now)
        });
        for (ticket, choice) in placed {
            self.send_placement(ticket, choice, now);
        }
    }

    /// Sends a run its placement. If the task of the run is gone, the upstream is released.
    fn send_placement(&mut self, ticket: RequestTicket, choice: RouteChoice, now: Instant) {
        let Some(at) = self.run_position(ticket) else { return };
        let placed = RunStage::Placed { upstream: choice.upstream.clone(), since: now };
        let previous = std::mem::replace(&mut self.runs[at].stage, placed);
        let RunStage::Waiting(reply) = previous else { return };
        let placement = RunPlacement {
            upstream: choice.upstream,
            address: choice.address,
            price: choice.price,
            slots: choice.slots,
        };
        if reply.send(Ok(placement)).is_err() {
            self.release_upstream(at, false, now);
            self.runs[at].stage = RunStage::Ended { at: now };
        }
    }

    /// Releases the upstream slot of the run at position `at`.
    fn release_upstream(&mut self, at: usize, failed: bool, now: Instant) {
        let RunStage::Placed { upstream, since } = &self.runs[at].stage else { return };
        let service = now.saturating_duration_since(*since);
        self.upstreams.record_request_end(upstream, self.runs[at].class, failed, now);
        self.queue.record_end(&self.runs[at].workspace, service);
    }

    pub(super) fn reroute_run(
        &mut self,
        ticket: RequestTicket,
        cause: RerouteCause,
        reply: oneshot::Sender<PlacementResult>,
        now: Instant,
    ) {
        let Some(at) = self.run_position(ticket) else { return };
        self.release_upstream(at, cause != RerouteCause::Preempted, now);
        let class = self.runs[at].class;
        match cause {
            RerouteCause::Preempted => self.counters.replaced += 1,
            RerouteCause::Refused | RerouteCause::Failed => self.counters.retried += 1,
        }
        let run = &mut self.runs[at];
        run.preferred_upstream = None;
        run.excluded = run.upstream().cloned().into_iter().collect();
        run.stage = RunStage::Waiting(reply);
        let deadline = reroute_deadline(class, now);
        // Only a request that may have run repeats work at an upstream, so only that one is
        // charged to the retry budget.
        let workspace = self.runs[at].workspace.clone();
        if cause == RerouteCause::Failed && !self.permits_retry(&workspace, now) {
            self.deferred_retries.push(DeferredRetry { ticket, deadline });
            return;
        }
        let request = self.runs[at].admission_request(deadline);
        self.queue.requeue(request, now);
        self.place_waiting(now);
    }

    /// Whether a retry of `workspace` may be queued now. The budget protects the requests that wait for an
    /// upstream. While none does, a retry without budget displaces no other work, and its caller would wait
    /// for nothing.
    fn permits_retry(&mut self, workspace: &WorkspaceName, now: Instant) -> bool {
        self.retries.take(workspace, now) || self.queue.is_empty()
    }

    /// Requeues deferred retries that may be queued now, oldest first.
    pub(super) fn requeue_deferred_retries(&mut self, now: Instant) {
        for retry in std::mem::take(&mut self.deferred_retries) {
            let Some(at) = self.run_position(retry.ticket) else { continue };
            if !self.runs[at].is_open() {
                continue;
            }
            let workspace = self.runs[at].workspace.clone();
            // A retry past its deadline is requeued as well, and the queue refuses it at once.
            if now < retry.deadline && !self.permits_retry(&workspace, now) {
                self.deferred_retries.push(retry);
                continue;
            }
            let request = self.runs[at].admission_request(retry.deadline);
            self.queue.requeue(request, now);
        }
    }

    /// Refuses waiting runs that can no longer be placed before their deadline.
    pub(super) fn expire_waiting(&mut self, now: Instant) {
        for (ticket, refusal) in self.queue.expire(now) {
            let Some(at) = self.run_position(ticket) else { continue };
            let ended = RunStage::Ended { at: now };
            let previous = std::mem::replace(&mut self.runs[at].stage, ended);
            let (workspace, class) = (self.runs[at].workspace.clone(), self.runs[at].class);
            self.count_refusal(&workspace, class, now);
            if let RunStage::Waiting(reply) = previous {
                drop(reply.send(Err(refusal)));
            }
        }
    }

    pub(super) fn record_usage(&mut self, ticket: RequestTicket, usage: AttemptUsage) {
        let Some(at) = self.run_position(ticket) else { return };
        let run = &self.runs[at];
        self.accounts.add(&run.workspace, &run.model, usage);
    }

    fn latency_target(&self, workspace: &WorkspaceName, class: PriorityClass) -> LatencyTarget {
        let config = self.config.in_force();
        let row = config.and_then(|config| config.declaration.workspace(workspace));
        row.map_or_else(|| LatencyTarget::default_for(class), |row| row.targets[class.index()])
    }

    pub(super) fn record_ttft(&mut self, ticket: RequestTicket, ttft: Duration, now: Instant) {
        let Some(at) = self.run_position(ticket) else { return };
        let run = &self.runs[at];
        // Patient work is slow by design, so its latency says nothing about the upstream's limit.
        if run.class == PriorityClass::Patient {
            return;
        }
        let target = self.latency_target(&run.workspace, run.class);
        let row = run.upstream().and_then(|id| self.upstreams.find(id));
        if let Some(row) = row {
            self.limits.observe_first_token(row, ttft, target.first_token, now);
        }
    }

    pub(super) fn end_run(&mut self, ticket: RequestTicket, outcome: &RunOutcome, now: Instant) {
        let Some(at) = self.run_position(ticket) else { return };
        if !self.runs[at].is_open() {
            return;
        }
        self.release_upstream(at, outcome.failed, now);
        self.queue.remove(ticket);
        self.runs[at].stage = RunStage::Ended { at: now };
        let run = &self.runs[at];
        if let Some(timing) = outcome.timing {
            let (workspace, class) = (run.workspace.clone(), run.class);
            let target = self.latency_target(&workspace, class);
            self.burn_rates.count(&workspace, class, timing.meets(&target), now);
            if timing.complete {
                self.counters.answered += 1;
                self.accounts.count_response(&workspace, &self.runs[at].model);
            } else {
                self.counters.failed += 1;
            }
        }
        self.place_waiting(now);
    }

    /// Chooses the least loaded upstream for a call to a plain service.
    pub(super) fn place_call(
        &mut self,
        workspace: &WorkspaceName,
        version: ConfigVersion,
        service: &ServiceName,
        exclude: &[UpstreamId],
        now: Instant,
    ) -> PlacementResult {
        self.check_admission(workspace, version, now)?;
        let kind = UpstreamKind::Service(service.clone());
        let best = self
            .upstreams
            .rows()
            .iter()
            .filter(|row| row.listing.kind == kind && row.accepts_new_work(now))
            .filter(|row| !exclude.contains(&row.listing.id))
            .min_by_key(|row| (row.in_flight + row.load.running, row.listing.id.clone()));
        let Some(row) = best else {
            return Err(Refusal::new(RefusalReason::NoUpstream, RETRY_AFTER));
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

/// Returns the time until which a run that lost its upstream may wait for another one.
fn reroute_deadline(class: PriorityClass, now: Instant) -> Instant {
    match class {
        // Patient work waits as long as necessary. A day stands for no limit.
        PriorityClass::Patient => now + Duration::from_secs(86_400),
        PriorityClass::Urgent | PriorityClass::Prompt => now + REROUTE_TIMEOUT,
    }
}
