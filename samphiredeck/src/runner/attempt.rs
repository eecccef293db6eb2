//! One attempt of a run at one upstream.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use samphiredeck_core::{
    account::AttemptUsage, engine_api::GenerateRequest, prefix::count_tokens,
    reclaim::ReclaimAction, response::ResponseUpdate, verdict::RunVerdict,
};
use tokio::time::{interval, timeout_at};

use super::RunTask;
use crate::{
    engine_client::{EngineError, EventStream, GenerateCall},
    event::{ControlEvent, RunPlacement},
    run::{HandoverTarget, RunSignal},
};

/// Interval between checks for readers and checkpoints.
const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Outcome of an attempt.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The response is complete.
    Complete,
    /// The stream failed or could not be opened.
    Failed(EngineError),
    /// The upstream evicted the run.
    Evicted,
    /// The upstream is leaving.
    Move(ReclaimAction),
    /// This node is stopping; the run is handed over to the given node, if any.
    HandOver(Option<HandoverTarget>),
    /// The run was cancelled, or nobody reads its response any more.
    Cancelled,
    /// Another node has taken over the work record.
    OwnershipLost,
}

/// Counts for the usage of an attempt.
#[derive(Debug)]
struct AttemptCounts {
    started_at: Instant,
    tokens_before: u64,
    cached: u64,
    recomputed: u64,
}

impl RunTask {
    /// Runs at one upstream until the attempt ends, and reports its usage.
    pub(super) async fn run_attempt(&mut self, placement: &RunPlacement) -> AttemptOutcome {
        let mut counts = AttemptCounts {
            started_at: Instant::now(),
            tokens_before: self.buffer.tokens(),
            cached: 0,
            recomputed: 0,
        };
        let outcome = match self.open_stream(placement).await {
            Ok(stream) => {
                self.verdict = RunVerdict::MayHaveRun;
                self.process_events(stream, placement, &mut counts).await
            }
            Err(error) => {
                self.verdict = self.verdict.join(error.verdict);
                AttemptOutcome::Failed(error)
            }
        };
        self.report_usage(placement, &counts);
        outcome
    }

    async fn open_stream(&mut self, placement: &RunPlacement) -> Result<EventStream, EngineError> {
        let (generated, tokens) = self.buffer.snapshot();
        let body = GenerateRequest {
            model: self.spec.model.clone(),
            prompt: self.spec.prompt.clone(),
            max_tokens: self.spec.max_tokens,
            generated,
        };
        let resend = self.attempts > 0;
        self.attempts += 1;
        let call = GenerateCall {
            address: &placement.address,
            request: &self.spec.request,
            class: self.spec.class,
            body: &body,
            resume_offset: resend.then_some(tokens),
            fresh_connection: resend,
        };
        self.context.engines.generate(call).await
    }

    async fn process_events(
        &mut self,
        mut stream: EventStream,
        placement: &RunPlacement,
        counts: &mut AttemptCounts,
    ) -> AttemptOutcome {
        let idle = self.context.stream_idle.to_duration();
        let mut check = interval(CHECK_PERIOD);
        // Kept outside the loop, so that signals and checks do not extend the deadline.
        let mut idle_deadline = tokio::time::Instant::now() + idle;
        loop {
            tokio::select! {
                event = timeout_at(idle_deadline, stream.next()) => {
                    idle_deadline = tokio::time::Instant::now() + idle;
                    let event = match event {
                        Ok(Some(Ok(event))) => event,
                        Ok(Some(Err(error))) => return AttemptOutcome::Failed(error),
                        Ok(None) => return failed_attempt("stream ended without a final event"),
                        Err(_) => return failed_attempt("no event received in time"),
                    };
                    match self.buffer.push(&event) {
                        Ok(ResponseUpdate::Unchanged) => {}
                        Ok(ResponseUpdate::Accepted { cached, recomputed }) => {
                            counts.cached = cached;
                            counts.recomputed = recomputed;
                        }
                        Ok(ResponseUpdate::TokenAdded) => self.record_token(counts),
                        Ok(ResponseUpdate::Complete) => return AttemptOutcome::Complete,
                        Ok(ResponseUpdate::Evicted) => return AttemptOutcome::Evicted,
                        Err(error) => return failed_attempt(error),
                    }
                }
                signal = self.signals.recv() => {
                    if let Some(outcome) = signal_outcome(signal, placement) {
                        return outcome;
                    }
                }
                _ = check.tick() => {
                    if let Some(outcome) = self.check_run(placement) {
                        return outcome;
                    }
                }
            }
        }
    }

    fn record_token(&mut self, counts: &AttemptCounts) {
        let now = Instant::now();
        self.failures = 0;
        self.broken_attempts = 0;
        self.broken_since = None;
        self.crashes = 0;
        self.broken_at.clear();
        self.last_token_at = Some(now);
        if self.first_token_at.is_none() {
            self.first_token_at = Some(now);
            let elapsed = now.duration_since(counts.started_at);
            self.context
                .control
                .tell(ControlEvent::FirstToken { ticket: self.ticket, ttft: elapsed });
        }
    }

    /// Cancels a run that nobody reads, and writes a checkpoint of recorded work when it is due.
    fn check_run(&mut self, placement: &RunPlacement) -> Option<AttemptOutcome> {
        let now = Instant::now();
        let Some(record) = &mut self.record else {
            let idle = self.context.caller_idle.to_duration();
            let unread_since = self.buffer.unread_since();
            let abandoned =
                unread_since.is_some_and(|at| now.saturating_duration_since(at) >= idle);
            return abandoned.then_some(AttemptOutcome::Cancelled);
        };
        let (text, tokens) = self.buffer.snapshot();
        let owned = record.checkpoint(&text, tokens, placement, &self.context.control, now);
        (!owned).then_some(AttemptOutcome::OwnershipLost)
    }

    fn report_usage(&mut self, placement: &RunPlacement, counts: &AttemptCounts) {
        let prompt = if self.prompt_counted || self.verdict == RunVerdict::NotRun {
            0
        } else {
            self.prompt_counted = true;
            count_tokens(&self.spec.prompt)
        };
        let busy = counts.started_at.elapsed().as_millis();
        let attempt_usage = AttemptUsage {
            prompt,
            cached: counts.cached,
            generated: self.buffer.tokens() - counts.tokens_before,
            recomputed: counts.recomputed,
            busy_ms: u64::try_from(busy).unwrap_or(u64::MAX),
            price: placement.price,
            slots: placement.slots,
        };
        self.context
            .control
            .tell(ControlEvent::AttemptEnded { ticket: self.ticket, usage: attempt_usage });
    }
}

fn failed_attempt(reason: impl std::fmt::Display) -> AttemptOutcome {
    AttemptOutcome::Failed(EngineError::may_have_run(reason))
}

/// Returns the outcome that a signal causes for an attempt at `placement`.
fn signal_outcome(signal: Option<RunSignal>, placement: &RunPlacement) -> Option<AttemptOutcome> {
    match signal? {
        RunSignal::Move { action: ReclaimAction::Finish, .. } => None,
        // Ignores a late signal about an upstream that the run has already left.
        RunSignal::Move { upstream, action: reclaim_action } => {
            (upstream == placement.upstream).then_some(AttemptOutcome::Move(reclaim_action))
        }
        RunSignal::HandOver(target) => Some(AttemptOutcome::HandOver(target)),
        RunSignal::Cancel => Some(AttemptOutcome::Cancelled),
    }
}
