//! One part of a run: what happens at one upstream.

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
    run::{PeerTarget, RunSignal},
};

/// Time between two looks for readers and checkpoints.
const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// How a part of a run at one upstream ended.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The answer is whole.
    Complete,
    /// The stream broke off or never began.
    Failed(EngineError),
    /// The upstream let go of the run.
    Evicted,
    /// The upstream leaves.
    Move(ReclaimAction),
    /// Another node goes on, or none does.
    HandOver(Option<PeerTarget>),
    /// Nobody wants the answer any more.
    Cancelled,
    /// Another node owns the recorded work.
    OwnershipLost,
}

/// Counts of a part of a run at one upstream.
#[derive(Debug)]
struct AttemptCounts {
    began_at: Instant,
    tokens_before: u64,
    cached: u64,
    recomputed: u64,
}

impl RunTask {
    /// Runs at one upstream until something ends it, and accounts for it.
    pub(super) async fn run_attempt(&mut self, placement: &RunPlacement) -> AttemptOutcome {
        let mut counts = AttemptCounts {
            began_at: Instant::now(),
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
        let resend = self.sends > 0;
        self.sends += 1;
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
        // Kept over the rounds of the loop, which signals and looks go through as well.
        let mut idle_deadline = tokio::time::Instant::now() + idle;
        loop {
            tokio::select! {
                event = timeout_at(idle_deadline, stream.next()) => {
                    idle_deadline = tokio::time::Instant::now() + idle;
                    let event = match event {
                        Ok(Some(Ok(event))) => event,
                        Ok(Some(Err(error))) => return AttemptOutcome::Failed(error),
                        Ok(None) => return failed_attempt("stream ended without its end mark"),
                        Err(_) => return failed_attempt("stream is silent"),
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
        self.last_token_at = Some(now);
        if self.first_token_at.is_none() {
            self.first_token_at = Some(now);
            let after = now.duration_since(counts.began_at);
            self.context.control.tell(ControlEvent::FirstToken { ticket: self.ticket, after });
        }
    }

    /// Looks for readers that are gone and for a checkpoint that is due.
    fn check_run(&mut self, placement: &RunPlacement) -> Option<AttemptOutcome> {
        let now = Instant::now();
        let Some(record) = &mut self.record else {
            let idle = self.context.caller_idle.to_duration();
            let deserted_at = self.buffer.deserted_at();
            let deserted = deserted_at.is_some_and(|at| now.saturating_duration_since(at) >= idle);
            return deserted.then_some(AttemptOutcome::Cancelled);
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
        let busy = counts.began_at.elapsed().as_millis();
        let work = AttemptUsage {
            prompt,
            cached: counts.cached,
            generated: self.buffer.tokens() - counts.tokens_before,
            recomputed: counts.recomputed,
            busy_ms: u64::try_from(busy).unwrap_or(u64::MAX),
            price: placement.price,
            slots: placement.slots,
        };
        self.context.control.tell(ControlEvent::WorkDone { ticket: self.ticket, work });
    }
}

fn failed_attempt(reason: impl std::fmt::Display) -> AttemptOutcome {
    AttemptOutcome::Failed(EngineError::may_have_run(reason))
}

/// What a signal means for a run at `placement`.
fn signal_outcome(signal: Option<RunSignal>, placement: &RunPlacement) -> Option<AttemptOutcome> {
    match signal? {
        RunSignal::Move { choice: ReclaimAction::Finish, .. } => None,
        // A signal about an upstream that the run has left already is late.
        RunSignal::Move { upstream, choice } => {
            (upstream == placement.upstream).then_some(AttemptOutcome::Move(choice))
        }
        RunSignal::HandOver(target) => Some(AttemptOutcome::HandOver(target)),
        RunSignal::Cancel => Some(AttemptOutcome::Cancelled),
    }
}
