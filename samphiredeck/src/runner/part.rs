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
    run::{HandoverTarget, RunSignal},
};

/// Time between two looks for readers and checkpoints.
const LOOK_PERIOD: Duration = Duration::from_millis(200);

/// How a part of a run at one upstream ended.
#[derive(Debug)]
pub(super) enum PartEnd {
    /// The answer is whole.
    Whole,
    /// The stream broke off or never began.
    Lost(EngineError),
    /// The upstream let go of the run.
    Evicted,
    /// The upstream leaves.
    Move(ReclaimAction),
    /// Another node goes on, or none does.
    HandOver(Option<HandoverTarget>),
    /// Nobody wants the answer any more.
    Cancelled,
    /// Another node owns the recorded work.
    Disowned,
}

/// Counts of a part of a run at one upstream.
#[derive(Debug)]
struct PartCount {
    began_at: Instant,
    tokens_before: u64,
    cached: u64,
    recomputed: u64,
}

impl RunTask {
    /// Runs at one upstream until something ends it, and accounts for it.
    pub(super) async fn run_part(&mut self, placement: &RunPlacement) -> PartEnd {
        let mut count = PartCount {
            began_at: Instant::now(),
            tokens_before: self.buffer.tokens(),
            cached: 0,
            recomputed: 0,
        };
        let end = match self.send(placement).await {
            Ok(stream) => {
                self.verdict = RunVerdict::MayHaveRun;
                self.follow(stream, placement, &mut count).await
            }
            Err(error) => {
                self.verdict = self.verdict.join(error.verdict);
                PartEnd::Lost(error)
            }
        };
        self.account(placement, &count);
        end
    }

    async fn send(&mut self, placement: &RunPlacement) -> Result<EventStream, EngineError> {
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
            fresh: resend,
        };
        self.tools.engines.generate(call).await
    }

    async fn follow(
        &mut self,
        mut stream: EventStream,
        placement: &RunPlacement,
        count: &mut PartCount,
    ) -> PartEnd {
        let idle = self.tools.stream_idle.to_duration();
        let mut look = interval(LOOK_PERIOD);
        // Kept over the rounds of the loop, which signals and looks go through as well.
        let mut silent_at = tokio::time::Instant::now() + idle;
        loop {
            tokio::select! {
                event = timeout_at(silent_at, stream.next()) => {
                    silent_at = tokio::time::Instant::now() + idle;
                    let event = match event {
                        Ok(Some(Ok(event))) => event,
                        Ok(Some(Err(error))) => return PartEnd::Lost(error),
                        Ok(None) => return lost("stream ended without its end mark"),
                        Err(_) => return lost("stream is silent"),
                    };
                    match self.buffer.push(&event) {
                        Ok(ResponseUpdate::Unchanged) => {}
                        Ok(ResponseUpdate::Accepted { cached, recomputed }) => {
                            count.cached = cached;
                            count.recomputed = recomputed;
                        }
                        Ok(ResponseUpdate::TokenAdded) => self.note_token(count),
                        Ok(ResponseUpdate::Complete) => return PartEnd::Whole,
                        Ok(ResponseUpdate::Evicted) => return PartEnd::Evicted,
                        Err(error) => return lost(error),
                    }
                }
                signal = self.signals.recv() => {
                    if let Some(end) = end_of(signal, placement) {
                        return end;
                    }
                }
                _ = look.tick() => {
                    if let Some(end) = self.look(placement) {
                        return end;
                    }
                }
            }
        }
    }

    fn note_token(&mut self, count: &PartCount) {
        let now = Instant::now();
        self.failures = 0;
        self.last_token_at = Some(now);
        if self.first_token_at.is_none() {
            self.first_token_at = Some(now);
            let after = now.duration_since(count.began_at);
            self.tools.control.tell(ControlEvent::FirstToken { ticket: self.ticket, ttft: after });
        }
    }

    /// Looks for readers that are gone and for a checkpoint that is due.
    fn look(&mut self, placement: &RunPlacement) -> Option<PartEnd> {
        let now = Instant::now();
        let Some(record) = &mut self.record else {
            let idle = self.tools.caller_idle.to_duration();
            let gone = self.buffer.unread_since();
            let deserted = gone.is_some_and(|at| now.saturating_duration_since(at) >= idle);
            return deserted.then_some(PartEnd::Cancelled);
        };
        let (text, tokens) = self.buffer.snapshot();
        let owned = record.checkpoint(&text, tokens, placement, &self.tools.control, now);
        (!owned).then_some(PartEnd::Disowned)
    }

    fn account(&mut self, placement: &RunPlacement, count: &PartCount) {
        let prompt = if self.prompt_counted || self.verdict == RunVerdict::NotRun {
            0
        } else {
            self.prompt_counted = true;
            count_tokens(&self.spec.prompt)
        };
        let busy = count.began_at.elapsed().as_millis();
        let work = AttemptUsage {
            prompt,
            cached: count.cached,
            generated: self.buffer.tokens() - count.tokens_before,
            recomputed: count.recomputed,
            busy_ms: u64::try_from(busy).unwrap_or(u64::MAX),
            price: placement.price,
            slots: placement.slots,
        };
        self.tools.control.tell(ControlEvent::AttemptEnded { ticket: self.ticket, usage: work });
    }
}

fn lost(reason: impl std::fmt::Display) -> PartEnd {
    PartEnd::Lost(EngineError::may_have_run(reason))
}

/// What a signal means for a run at `placement`.
fn end_of(signal: Option<RunSignal>, placement: &RunPlacement) -> Option<PartEnd> {
    match signal? {
        RunSignal::Move { action: ReclaimAction::Finish, .. } => None,
        // A signal about an upstream that the run has left already is late.
        RunSignal::Move { upstream, action: choice } => {
            (upstream == placement.upstream).then_some(PartEnd::Move(choice))
        }
        RunSignal::HandOver(target) => Some(PartEnd::HandOver(target)),
        RunSignal::Cancel => Some(PartEnd::Cancelled),
    }
}
