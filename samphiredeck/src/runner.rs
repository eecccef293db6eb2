//! Task of one run: places it, follows its parts at upstreams, and moves it when it must.

mod attempt;

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

use self::attempt::AttemptOutcome;
use crate::{
    caller::{error::round_up_seconds, request::parse_completion},
    engine_client::{EngineClient, EngineError},
    event::{ControlEvent, LossCause, RunAsk, RunEnd, RunPlacement, TakenWork},
    handle::ControlHandle,
    logging::RUN,
    peer_link::call_peer,
    platform_client::PlatformClient,
    record::WorkRecord,
    run::{PeerTarget, RunBuffer, RunFailure, RunSignal, RunSpec, RunState},
};

/// First backoff after failures without progress.
const BACKOFF_MIN: Duration = Duration::from_millis(20);
/// Longest backoff after failures without progress.
const BACKOFF_MAX: Duration = Duration::from_millis(500);
/// Time for which resumed work waits for a place.
const RESUME_PLACE_WITHIN: Duration = Duration::from_secs(86_400);
/// Failures in a row without progress after which work that is not patient is given up.
const CONSECUTIVE_FAILURES_MAX: u32 = 40;

/// What all runs of a thread share.
#[derive(Clone)]
pub struct RunContext {
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
    context: RunContext,
    spec: RunSpec,
    ticket: TicketNumber,
    buffer: Arc<RunBuffer>,
    signals: mpsc::UnboundedReceiver<RunSignal>,
    signal_sender: mpsc::UnboundedSender<RunSignal>,
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
        context: RunContext,
        spec: RunSpec,
        ticket: TicketNumber,
        buffer: Arc<RunBuffer>,
        record: Option<WorkRecord>,
    ) -> Self {
        let (signal_sender, signals) = mpsc::unbounded_channel();
        // What an earlier run generated was sent to an upstream once already.
        let resumed = spec.accepted && buffer.tokens() > 0;
        Self {
            context,
            spec,
            ticket,
            buffer,
            signals,
            signal_sender,
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
    pub async fn resume(taken: TakenWork, context: RunContext, platform: PlatformClient) {
        let TakenWork { row, version, buffer } = taken;
        let request = row.request.clone();
        let spec = match spec_from_row(&row) {
            Ok(spec) => spec,
            Err(reason) => {
                warn!(target: RUN, "Request {request} can't be resumed: {reason}.");
                return;
            }
        };
        let mut record = None;
        if version.0 > 0 {
            record = WorkRecord::adopt(row, version, &context.control, platform).await;
            if record.is_none() {
                info!(target: RUN, "Request {request} has another owner.");
                return;
            }
        }
        let ticket = context.control.next_ticket();
        Self::new(context, spec, ticket, buffer, record).run().await;
    }

    /// Runs to the end.
    pub async fn run(mut self) {
        let placed = self.admit().await;
        let mut placement = match placed {
            Ok(placement) => placement,
            Err(refusal) => return self.give_up(refusal, None),
        };
        self.buffer.accept();
        loop {
            let outcome = self.run_attempt(&placement).await;
            placement = match outcome {
                AttemptOutcome::Complete => return self.complete().await,
                AttemptOutcome::Cancelled => return self.cancel(&placement).await,
                AttemptOutcome::OwnershipLost => return self.finish_moved(),
                AttemptOutcome::HandOver(target) => {
                    if self.hand_over(target, &placement).await {
                        return;
                    }
                    placement
                }
                AttemptOutcome::Move(choice) => match self.migrate(placement, choice).await {
                    Ok(placement) => placement,
                    Err(refusal) => return self.give_up(refusal, None),
                },
                AttemptOutcome::Evicted => match self.place_again(LossCause::Announced).await {
                    Ok(placement) => placement,
                    Err(refusal) => return self.give_up(refusal, None),
                },
                AttemptOutcome::Failed(error) => match self.recover(placement, error).await {
                    Ok(placement) => placement,
                    Err(refusal) => return self.give_up(refusal, None),
                },
            };
        }
    }

    async fn admit(&mut self) -> Result<RunPlacement, Refusal> {
        let ask = RunAsk {
            ticket: self.ticket,
            request: self.spec.request.clone(),
            version: self.spec.version,
            workspace: self.spec.workspace.clone(),
            class: self.spec.class,
            model: self.spec.model.clone(),
            blocks: hash_blocks(self.spec.model.as_str(), &self.spec.prompt),
            prompt_tokens: count_tokens(&self.spec.prompt),
            output_tokens: self.spec.max_tokens,
            place_by: self.spec.place_by,
            accepted: self.spec.accepted,
            prefer: self.spec.prefer.clone(),
            buffer: Arc::clone(&self.buffer),
            signals: self.signal_sender.clone(),
        };
        let control = self.context.control.clone();
        let reply = control.ask(|reply| ControlEvent::Admit(Box::new(ask), reply)).await;
        reply.unwrap_or_else(|| Err(ControlHandle::busy()))
    }

    async fn place_again(&mut self, cause: LossCause) -> Result<RunPlacement, Refusal> {
        let ticket = self.ticket;
        let event = |reply| ControlEvent::PlaceAgain { ticket, cause, reply };
        let reply = self.context.control.ask(event).await;
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
        if self.failures >= CONSECUTIVE_FAILURES_MAX && self.spec.class != PriorityClass::Patient {
            return Err(Refusal::new(RefusalReason::RetryBudget, BACKOFF_MAX));
        }
        let refused = error.verdict == RunVerdict::NotRun;
        if !refused && self.failures == 1 {
            return Ok(placement);
        }
        if self.failures > 2 {
            let doubled = BACKOFF_MIN.saturating_mul(1 << self.failures.min(10));
            let backoff = doubled.min(BACKOFF_MAX).mul_f64(rand::random_range(0.5..1.0));
            tokio::time::sleep(backoff).await;
        }
        self.place_again(if refused { LossCause::Refused } else { LossCause::Failed }).await
    }

    /// Moves to another upstream, with the cache where that was chosen and works.
    async fn migrate(
        &mut self,
        placement: RunPlacement,
        choice: ReclaimAction,
    ) -> Result<RunPlacement, Refusal> {
        let engines = self.context.engines.clone();
        let request = self.spec.request.clone();
        let cache = if choice == ReclaimAction::Export {
            engines.export_cache(&placement.address, &request).await.ok()
        } else {
            drop(engines.cancel(&placement.address, &request).await);
            None
        };
        let next = self.place_again(LossCause::Announced).await?;
        let Some(cache) = cache else { return Ok(next) };
        match engines.import_cache(&next.address, &cache).await {
            Ok(()) => {
                debug!(target: RUN, "Request {request} moved to {}.", next.upstream);
                self.context.control.tell(ControlEvent::CountMoved);
            }
            // The next part computes anew what could not be moved.
            Err(error) => warn!(target: RUN, "Cache of {request} not moved: {error}."),
        }
        Ok(next)
    }

    /// Lets another node go on. Returns whether this task is over.
    async fn hand_over(&mut self, target: Option<PeerTarget>, placement: &RunPlacement) -> bool {
        let Some(target) = target else {
            let refusal = Refusal::new(RefusalReason::Stopping, BACKOFF_MAX);
            self.give_up(refusal, Some(placement));
            return true;
        };
        if let Some(record) = &mut self.record {
            record.settle().await;
        }
        let (text, tokens) = self.buffer.snapshot();
        let (row, version) = WorkRecord::for_handover(
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
        let header = self
            .context
            .control
            .ask(|reply| ControlEvent::Stamp { receiver: target.node.clone(), reply })
            .await;
        let Some(header) = header else { return false };
        let own = header.node.clone();
        let reply = call_peer(&self.context.key, &own, header, target.address, &request).await;
        if matches!(reply, Some(samphiredeck_wire::message::PeerReply::Taken { .. })) {
            info!(target: RUN, "Request {} goes on at {}.", self.spec.request, target.node);
            self.finish_moved();
            return true;
        }
        warn!(target: RUN, "Node {} did not take {}.", target.node, self.spec.request);
        false
    }

    fn report_end(&self, timing: Option<AnswerTiming>, failed: bool) {
        let end = RunEnd { timing, failed };
        self.context.control.tell(ControlEvent::EndRun { ticket: self.ticket, end });
    }

    fn finish_moved(&self) {
        self.buffer.finish(RunState::Moved);
        self.report_end(None, false);
    }

    async fn cancel(mut self, placement: &RunPlacement) {
        info!(target: RUN, "Request {} is cancelled.", self.spec.request);
        drop(self.context.engines.cancel(&placement.address, &self.spec.request).await);
        if let Some(record) = &mut self.record {
            let (text, tokens) = self.buffer.snapshot();
            record.close_cancelled(text, tokens, &self.context.control).await;
        }
        let verdict = self.verdict;
        let reason = "cancelled".to_owned();
        let failure = RunFailure { reason, verdict, retry_after_s: 1 };
        self.buffer.finish(RunState::Failed(failure));
        self.report_end(None, false);
    }

    fn give_up(&self, refusal: Refusal, placement: Option<&RunPlacement>) {
        if self.record.is_some() {
            // Recorded work stays open, and the next owner goes on with it.
            return self.finish_moved();
        }
        let failure = RunFailure {
            reason: refusal.reason.as_str().to_owned(),
            verdict: self.verdict,
            retry_after_s: round_up_seconds(refusal.retry_after),
        };
        debug!(target: RUN, "Request {} given up: {}.", self.spec.request, failure.reason);
        let was_accepted = self.buffer.is_accepted();
        self.buffer.finish(RunState::Failed(failure));
        let failed = was_accepted.then_some(AnswerTiming {
            first_token: Duration::MAX,
            between_tokens: Duration::MAX,
            complete: false,
        });
        self.report_end(failed, placement.is_none());
    }

    async fn complete(mut self) {
        self.buffer.finish(RunState::Whole);
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
            record.close_whole(text, tokens, &self.context.control).await;
        }
        self.report_end(Some(timing), false);
    }
}

/// Rebuilds what is run from its record.
fn spec_from_row(row: &WorkRow) -> Result<RunSpec, String> {
    let completion =
        parse_completion(&row.path, row.body.as_bytes()).map_err(|error| error.to_string())?;
    let now = Instant::now();
    Ok(RunSpec {
        request: row.request.clone(),
        workspace: row.workspace.clone(),
        version: ConfigVersion(0),
        class: row.class,
        model: completion.model,
        prompt: completion.prompt,
        max_tokens: completion.max_tokens,
        path: row.path.clone(),
        body: row.body.clone(),
        place_by: now + RESUME_PLACE_WITHIN,
        arrived_at: now,
        accepted: true,
        prefer: row.upstream.as_ref().and_then(|id| id.parse().ok()),
    })
}
