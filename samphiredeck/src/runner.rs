//! Task of one run: places it, follows its parts at upstreams, and moves it when it must.

mod part;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use log::{debug, info, warn};
use samphiredeck_core::{
    admission::{Refusal, RefusalReason, TicketNumber},
    burn_rate::AnswerTiming,
    declaration::PriorityClass,
    ids::ConfigVersion,
    prefix::{count_tokens, hash_blocks},
    reclaim::ReclaimAction,
    rows::WorkRow,
    units::Millis,
    verdict::RunVerdict,
};
use tokio::sync::mpsc;

use self::part::PartEnd;
use crate::{
    caller::{reply::whole_seconds, request::parse_prompt},
    engine_client::{EngineClient, EngineError},
    event::{AdoptedWork, ControlEvent, RerouteCause, RunOutcome, RunPlacement, RunRequest},
    handle::ControlHandle,
    logging::RUN,
    peer_link::ask_peer,
    platform_client::PlatformClient,
    record::WorkRecord,
    run::{HandoverTarget, RunBuffer, RunFailure, RunSignal, RunSpec, RunState},
};

/// First pause after failures without progress.
const PAUSE_FIRST: Duration = Duration::from_millis(20);
/// Longest pause after failures without progress.
const PAUSE_LONGEST: Duration = Duration::from_millis(500);
/// Time for which resumed work waits for a place.
const RESUME_PATIENCE: Duration = Duration::from_secs(86_400);
/// Failures in a row without progress after which work that is not patient is given up.
const FAILURES_MAX: u32 = 40;

/// What all runs of a thread share.
#[derive(Clone)]
pub struct RunTools {
    /// The control thread.
    pub control: ControlHandle,
    /// The engines.
    pub engines: EngineClient,
    /// Key for traffic between nodes.
    pub key: samphiredeck_wire::auth::PeerKey,
    /// Time between two events of a stream after which the connection counts as dead.
    pub stream_idle: Millis,
    /// Time without a reader after which an answer that nobody recorded is cancelled.
    pub caller_idle: Millis,
}

/// Task of one run.
pub struct RunTask {
    tools: RunTools,
    spec: RunSpec,
    ticket: TicketNumber,
    buffer: Arc<RunBuffer>,
    signals: mpsc::UnboundedReceiver<RunSignal>,
    sender: mpsc::UnboundedSender<RunSignal>,
    record: Option<WorkRecord>,
    /// Whether any upstream may have received the request.
    verdict: RunVerdict,
    /// Whether prompt tokens were counted.
    prompt_counted: bool,
    /// Sends so far.
    sends: u32,
    /// Failures in a row without progress.
    failures: u32,
    first_token_at: Option<Instant>,
    last_token_at: Option<Instant>,
}

impl RunTask {
    /// Builds the task of `spec`, whose answer goes to `buffer`.
    pub fn new(
        tools: RunTools,
        spec: RunSpec,
        ticket: TicketNumber,
        buffer: Arc<RunBuffer>,
        record: Option<WorkRecord>,
    ) -> Self {
        let (sender, signals) = mpsc::unbounded_channel();
        // What an earlier run generated was sent to an upstream once already.
        let resumed = spec.accepted && buffer.tokens() > 0;
        Self {
            tools,
            spec,
            ticket,
            buffer,
            signals,
            sender,
            record,
            verdict: if resumed { RunVerdict::MayHaveRun } else { RunVerdict::NotRun },
            prompt_counted: resumed,
            sends: u32::from(resumed),
            failures: 0,
            first_token_at: None,
            last_token_at: None,
        }
    }

    /// Runs work that was recorded or handed over before.
    pub async fn resume(taken: AdoptedWork, tools: RunTools, platform: PlatformClient) {
        let AdoptedWork { row, version, buffer } = taken;
        let request = row.request.clone();
        let spec = match spec_of(&row) {
            Ok(spec) => spec,
            Err(reason) => {
                warn!(target: RUN, "Request {request} can't be resumed: {reason}.");
                return;
            }
        };
        let mut record = None;
        if version.0 > 0 {
            record = WorkRecord::adopt(row, version, &tools.control, platform).await;
            if record.is_none() {
                info!(target: RUN, "Request {request} has another owner.");
                return;
            }
        }
        let ticket = tools.control.next_ticket();
        Self::new(tools, spec, ticket, buffer, record).drive().await;
    }

    /// Runs to the end.
    pub async fn drive(mut self) {
        let placed = self.place_first().await;
        let mut placement = match placed {
            Ok(placement) => placement,
            Err(refusal) => return self.give_up(refusal, None),
        };
        self.buffer.accept();
        loop {
            let part = self.run_part(&placement).await;
            placement = match part {
                PartEnd::Whole => return self.complete().await,
                PartEnd::Cancelled => return self.cancel(&placement).await,
                PartEnd::Disowned => return self.end_moved(),
                PartEnd::HandOver(target) => {
                    if self.hand_over(target, &placement).await {
                        return;
                    }
                    placement
                }
                PartEnd::Move(choice) => match self.move_run(placement, choice).await {
                    Ok(placement) => placement,
                    Err(refusal) => return self.give_up(refusal, None),
                },
                PartEnd::Evicted => match self.place_again(RerouteCause::Preempted).await {
                    Ok(placement) => placement,
                    Err(refusal) => return self.give_up(refusal, None),
                },
                PartEnd::Lost(error) => match self.recover(placement, error).await {
                    Ok(placement) => placement,
                    Err(refusal) => return self.give_up(refusal, None),
                },
            };
        }
    }

    async fn place_first(&mut self) -> Result<RunPlacement, Refusal> {
        let ask = RunRequest {
            ticket: self.ticket,
            request_id: self.spec.request.clone(),
            version: self.spec.version,
            workspace: self.spec.workspace.clone(),
            class: self.spec.class,
            model: self.spec.model.clone(),
            blocks: hash_blocks(self.spec.model.as_str(), &self.spec.prompt),
            prompt_tokens: count_tokens(&self.spec.prompt),
            output_tokens: self.spec.max_tokens,
            place_by: self.spec.place_by,
            accepted: self.spec.accepted,
            preferred_upstream: self.spec.preferred_upstream.clone(),
            buffer: Arc::clone(&self.buffer),
            signals: self.sender.clone(),
        };
        let control = self.tools.control.clone();
        let reply = control.ask(|reply| ControlEvent::Admit(Box::new(ask), reply)).await;
        reply.unwrap_or_else(|| Err(ControlHandle::busy()))
    }

    async fn place_again(&mut self, cause: RerouteCause) -> Result<RunPlacement, Refusal> {
        let ticket = self.ticket;
        let ask = |reply| ControlEvent::Reroute { ticket, cause, reply };
        let reply = self.tools.control.ask(ask).await;
        reply.unwrap_or_else(|| Err(ControlHandle::busy()))
    }

    /// Goes on after a stream that broke off: on a fresh connection to the same upstream once,
    /// which costs nothing there, and elsewhere after that.
    async fn recover(
        &mut self,
        placement: RunPlacement,
        error: EngineError,
    ) -> Result<RunPlacement, Refusal> {
        debug!(
            target: RUN,
            "Request {} lost {}: {error}.", self.spec.request, placement.upstream
        );
        self.failures += 1;
        if self.failures >= FAILURES_MAX && self.spec.class != PriorityClass::Patient {
            return Err(Refusal::new(RefusalReason::RetryBudget, PAUSE_LONGEST));
        }
        let refused = error.verdict == RunVerdict::NotRun;
        if !refused && self.failures == 1 {
            return Ok(placement);
        }
        if self.failures > 2 {
            let doubled = PAUSE_FIRST.saturating_mul(1 << self.failures.min(10));
            let pause = doubled.min(PAUSE_LONGEST).mul_f64(rand::random_range(0.5..1.0));
            tokio::time::sleep(pause).await;
        }
        self.place_again(if refused { RerouteCause::Refused } else { RerouteCause::Failed }).await
    }

    /// Moves to another upstream, with the cache where that was chosen and works.
    async fn move_run(
        &mut self,
        placement: RunPlacement,
        choice: ReclaimAction,
    ) -> Result<RunPlacement, Refusal> {
        let engines = self.tools.engines.clone();
        let request = self.spec.request.clone();
        let cache = if choice == ReclaimAction::Export {
            engines.export_cache(&placement.address, &request).await.ok()
        } else {
            drop(engines.cancel(&placement.address, &request).await);
            None
        };
        let next = self.place_again(RerouteCause::Preempted).await?;
        let Some(cache) = cache else { return Ok(next) };
        match engines.import_cache(&next.address, &cache).await {
            Ok(()) => {
                debug!(target: RUN, "Request {request} moved to {}.", next.upstream);
                self.tools.control.tell(ControlEvent::CacheMigrated);
            }
            // The next part computes anew what could not be moved.
            Err(error) => warn!(target: RUN, "Cache of {request} not moved: {error}."),
        }
        Ok(next)
    }

    /// Lets another node go on. Returns whether this task is over.
    async fn hand_over(
        &mut self,
        target: Option<HandoverTarget>,
        placement: &RunPlacement,
    ) -> bool {
        let Some(target) = target else {
            let refusal = Refusal::new(RefusalReason::Stopping, PAUSE_LONGEST);
            self.give_up(refusal, Some(placement));
            return true;
        };
        if let Some(record) = &mut self.record {
            record.await_checkpoint().await;
        }
        let (text, tokens) = self.buffer.snapshot();
        let (row, version) = WorkRecord::handover_row(
            self.record.as_ref(),
            &self.spec,
            text,
            tokens,
            &placement.upstream,
        );
        let request = samphiredeck_wire::message::PeerRequest::Handover {
            work: samphiredeck_wire::message::JsonText::new(&row),
            version,
        };
        let stamp = self
            .tools
            .control
            .ask(|reply| ControlEvent::NextHeader { receiver: target.node.clone(), reply })
            .await;
        let Some(stamp) = stamp else { return false };
        let own = stamp.node.clone();
        let reply = ask_peer(&self.tools.key, &own, stamp, target.address, &request).await;
        if matches!(reply, Some(samphiredeck_wire::message::PeerReply::Taken { .. })) {
            info!(target: RUN, "Request {} goes on at {}.", self.spec.request, target.node);
            self.end_moved();
            return true;
        }
        warn!(target: RUN, "Node {} did not take {}.", target.node, self.spec.request);
        false
    }

    fn end(&self, timing: Option<AnswerTiming>, failed: bool) {
        let end = RunOutcome { timing, failed };
        self.tools.control.tell(ControlEvent::EndRun { ticket: self.ticket, outcome: end });
    }

    fn end_moved(&self) {
        self.buffer.finish(RunState::Moved);
        self.end(None, false);
    }

    async fn cancel(mut self, placement: &RunPlacement) {
        info!(target: RUN, "Request {} is cancelled.", self.spec.request);
        drop(self.tools.engines.cancel(&placement.address, &self.spec.request).await);
        if let Some(record) = &mut self.record {
            let (text, tokens) = self.buffer.snapshot();
            record.close_cancelled(text, tokens, &self.tools.control).await;
        }
        let verdict = self.verdict;
        let reason = "cancelled".to_owned();
        let failure = RunFailure { reason, verdict, retry_after_s: 1 };
        self.buffer.finish(RunState::Failed(failure));
        self.end(None, false);
    }

    fn give_up(&self, refusal: Refusal, placement: Option<&RunPlacement>) {
        if self.record.is_some() {
            // Recorded work stays open, and the next owner goes on with it.
            return self.end_moved();
        }
        let failure = RunFailure {
            reason: refusal.reason.as_str().to_owned(),
            verdict: self.verdict,
            retry_after_s: whole_seconds(refusal.retry_after),
        };
        debug!(target: RUN, "Request {} given up: {}.", self.spec.request, failure.reason);
        let was_accepted = self.buffer.is_accepted();
        self.buffer.finish(RunState::Failed(failure));
        let failed = was_accepted.then_some(AnswerTiming {
            first_token: Duration::MAX,
            between_tokens: Duration::MAX,
            complete: false,
        });
        self.end(failed, placement.is_none());
    }

    async fn complete(mut self) {
        self.buffer.finish(RunState::Complete);
        let first = self.first_token_at.unwrap_or(self.spec.arrived_at);
        let last = self.last_token_at.unwrap_or(first);
        let gaps = u32::try_from(self.buffer.tokens().saturating_sub(1)).unwrap_or(u32::MAX);
        let timing = AnswerTiming {
            first_token: first.saturating_duration_since(self.spec.arrived_at),
            between_tokens: last.saturating_duration_since(first) / gaps.max(1),
            complete: true,
        };
        if let Some(record) = &mut self.record {
            let (text, tokens) = self.buffer.snapshot();
            record.close_complete(text, tokens, &self.tools.control).await;
        }
        self.end(Some(timing), false);
    }
}

/// Rebuilds what is run from its record.
fn spec_of(row: &WorkRow) -> Result<RunSpec, String> {
    let asked = parse_prompt(&row.path, row.body.as_bytes()).map_err(|error| error.to_string())?;
    let now = Instant::now();
    Ok(RunSpec {
        request: row.request.clone(),
        workspace: row.workspace.clone(),
        version: ConfigVersion(0),
        class: row.class,
        model: asked.model,
        prompt: asked.prompt,
        max_tokens: asked.max_tokens,
        path: row.path.clone(),
        body: row.body.clone(),
        place_by: now + RESUME_PATIENCE,
        arrived_at: now,
        accepted: true,
        preferred_upstream: row.upstream.as_ref().and_then(|id| id.parse().ok()),
    })
}
