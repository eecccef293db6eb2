//! Runs that are looked up, cancelled, handed over and forgotten.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use log::info;
use samphiredeck_core::{admission::RefusalReason, ids::RequestId};
use tokio::sync::oneshot;

use super::{
    ControlState,
    dispatch::REROUTE_TIMEOUT,
    run_row::{RunRow, RunStage},
};
use crate::{event::RunLocation, logging::RUN, run::RunSignal};

/// Time for which a finished answer is kept for callers that come back.
const FINISHED_RUN_RETENTION: Duration = Duration::from_secs(60);

impl ControlState {
    pub(super) fn find_run(
        &self,
        request: &RequestId,
        reply: oneshot::Sender<RunLocation>,
        now: Instant,
    ) {
        let moved = |run: &&RunRow| run.buffer.state() == crate::run::RunState::Moved;
        let local = self.runs.iter().rev().find(|run| run.request_id == *request);
        let location = match local.filter(|run| !moved(run)) {
            Some(run) => RunLocation::Local {
                buffer: Arc::clone(&run.buffer),
                workspace: run.workspace.clone(),
            },
            None => RunLocation::Remote { addresses: self.candidate_addresses(request, now) },
        };
        drop(reply.send(location));
    }

    fn candidate_addresses(&self, request: &RequestId, now: Instant) -> Vec<String> {
        let mut rows: Vec<_> =
            self.peers.rows().iter().filter(|row| row.idle_time(now) < REROUTE_TIMEOUT).collect();
        rows.sort_by_key(|row| row.node != *request.accepting_node());
        rows.into_iter().map(|row| row.caller_address.clone()).collect()
    }

    pub(super) fn cancel_run(&mut self, request: &RequestId) -> bool {
        let run = self.runs.iter().find(|run| run.request_id == *request && run.is_open());
        let Some(run) = run else { return false };
        info!(target: RUN, "Request {request} cancelled by an operator.");
        run.signals.send(RunSignal::Cancel).is_ok()
    }

    /// Whether no run or call is open and no write waits.
    pub(super) fn is_drained(&self) -> bool {
        let calls = self.upstreams.rows().iter().any(|row| row.in_flight > 0);
        !calls && !self.runs.iter().any(RunRow::is_open) && self.is_commit_lane_settled()
    }

    /// Tells each open run who goes on with it.
    pub(super) fn hand_over_runs(&mut self, now: Instant) {
        for (ticket, refusal) in self.queue.drain(RefusalReason::Stopping) {
            let Some(at) = self.run_position(ticket) else { continue };
            let ended = RunStage::Ended { at: now };
            if let RunStage::Waiting(reply) = std::mem::replace(&mut self.runs[at].stage, ended) {
                drop(reply.send(Err(refusal)));
            }
        }
        let targets = self.handover_targets(now);
        let open = self.runs.iter().filter(|run| run.is_open());
        for (index, run) in open.enumerate() {
            let target = targets.get(index % targets.len().max(1)).cloned();
            info!(target: RUN, "Request {} is handed over.", run.request_id);
            drop(run.signals.send(RunSignal::HandOver(target)));
        }
    }

    /// Drops finished answers that are old or too many, oldest first.
    pub(super) fn sweep_runs(&mut self, now: Instant) {
        self.runs.retain(|run| match run.stage {
            RunStage::Ended { at } => now.saturating_duration_since(at) < FINISHED_RUN_RETENTION,
            RunStage::Waiting(_) | RunStage::Placed { .. } => true,
        });
        let limit = usize::try_from(self.options.kept_answers.0).unwrap_or(usize::MAX);
        let mut retained_bytes = 0;
        let mut evict_before = 0;
        for (at, run) in self.runs.iter().enumerate().rev() {
            retained_bytes += if run.is_open() { 0 } else { run.buffer.size() };
            if retained_bytes > limit {
                evict_before = at + 1;
                break;
            }
        }
        let mut position = 0;
        self.runs.retain(|run| {
            position += 1;
            run.is_open() || position > evict_before
        });
    }
}
