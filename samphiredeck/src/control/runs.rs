//! Lookup, cancellation, handover and eviction of runs.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use log::info;
use samphiredeck_core::{
    admission::RefusalReason,
    ids::{RequestId, WorkspaceName},
};
use tokio::sync::oneshot;

use super::{
    ControlState,
    dispatch::REROUTE_TIMEOUT,
    run_row::{RunRow, RunStage},
};
use crate::{
    event::RunLocation,
    logging::RUN,
    run::{RunBuffer, RunSignal},
};

/// Time for which a finished response is kept for callers that reconnect.
const FINISHED_RUN_RETENTION: Duration = Duration::from_secs(60);

/// Maximum time between taking a run over and its task's request for admission. Covers the write
/// of its work record.
const ADOPTION_TIMEOUT: Duration = Duration::from_secs(10);

/// Run that was taken over. Callers may ask for it before its task has started.
#[derive(Debug)]
pub struct AdoptedRun {
    pub(super) request_id: RequestId,
    pub(super) workspace: WorkspaceName,
    pub(super) buffer: Arc<RunBuffer>,
    pub(super) adopted_at: Instant,
}

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
            None => self.find_adopted_run(request).unwrap_or_else(|| RunLocation::Remote {
                addresses: self.candidate_addresses(request, now),
            }),
        };
        drop(reply.send(location));
    }

    fn find_adopted_run(&self, request: &RequestId) -> Option<RunLocation> {
        let run = self.adopted_runs.iter().rev().find(|run| run.request_id == *request)?;
        let (buffer, workspace) = (Arc::clone(&run.buffer), run.workspace.clone());
        Some(RunLocation::Local { buffer, workspace })
    }

    /// Caller addresses of the peers heard from lately, the node that accepted the request first.
    fn candidate_addresses(&self, request: &RequestId, now: Instant) -> Vec<String> {
        let mut rows: Vec<_> =
            self.peers.rows().iter().filter(|row| row.idle_time(now) < REROUTE_TIMEOUT).collect();
        rows.sort_by_key(|row| row.node != *request.accepting_node());
        rows.into_iter().map(|row| row.caller_address.clone()).collect()
    }

    pub(super) fn cancel_run(&mut self, request: &RequestId) -> bool {
        let run = self.runs.iter().find(|run| run.request_id == *request && run.is_open());
        let Some(run) = run else { return false };
        info!(target: RUN, "Cancellation of request {request} requested.");
        run.signals.send(RunSignal::Cancel).is_ok()
    }

    /// Returns whether no run, call or write is open. Writes don't count while the table is down.
    pub(super) fn is_drained(&self) -> bool {
        let calls = self.upstreams.rows().iter().any(|row| row.in_flight > 0);
        !calls && !self.runs.iter().any(RunRow::is_open) && self.is_commit_lane_settled()
    }

    /// Refuses the waiting runs, and assigns the other open runs to the live peers in turn.
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
            info!(target: RUN, "Handing over request {}.", run.request_id);
            drop(run.signals.send(RunSignal::HandOver(target)));
        }
    }

    /// Evicts finished responses that are too old, then the oldest ones beyond the size limit.
    pub(super) fn sweep_runs(&mut self, now: Instant) {
        let adoption_pending =
            |run: &AdoptedRun| now.saturating_duration_since(run.adopted_at) < ADOPTION_TIMEOUT;
        self.adopted_runs.retain(adoption_pending);
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
