//! Rows of the run table.

use std::{sync::Arc, time::Instant};

use samphiredeck_core::{
    admission::{AdmissionRequest, RequestTicket},
    declaration::{OptimizationGoal, PriorityClass},
    ids::{ModelName, RequestId, UpstreamId, WorkspaceName},
    prefix::BlockHash,
    route::RouteRequest,
};
use tokio::sync::{mpsc, oneshot};

use crate::{
    event::PlacementResult,
    run::{RunBuffer, RunSignal},
};

/// Stage of a run.
#[derive(Debug)]
pub(super) enum RunStage {
    /// It waits for an upstream. The placement goes to the sender.
    Waiting(oneshot::Sender<PlacementResult>),
    /// It runs at an upstream.
    Placed { upstream: UpstreamId, since: Instant },
    /// It has ended.
    Ended { at: Instant },
}

/// Row of the run table.
#[derive(Debug)]
pub struct RunRow {
    pub(super) ticket: RequestTicket,
    pub(super) request_id: RequestId,
    pub(super) workspace: WorkspaceName,
    pub(super) class: PriorityClass,
    pub(super) model: ModelName,
    pub(super) blocks: Vec<BlockHash>,
    pub(super) prompt_tokens: u64,
    pub(super) output_tokens: u64,
    pub(super) weight: u32,
    pub(super) optimization_goal: OptimizationGoal,
    /// Upstream that the run lost last, which is avoided while there is another.
    pub(super) excluded: Vec<UpstreamId>,
    /// Upstream that already holds the cache. Cleared once the run is rerouted.
    pub(super) preferred_upstream: Option<UpstreamId>,
    pub(super) stage: RunStage,
    pub(super) buffer: Arc<RunBuffer>,
    pub(super) signals: mpsc::UnboundedSender<RunSignal>,
    pub(super) admitted_at: Instant,
}

impl RunRow {
    /// Returns whether the run has not ended.
    pub(super) fn is_open(&self) -> bool {
        !matches!(self.stage, RunStage::Ended { .. })
    }

    /// Returns the upstream that the run is placed on.
    pub(super) fn upstream(&self) -> Option<&UpstreamId> {
        match &self.stage {
            RunStage::Placed { upstream, .. } => Some(upstream),
            RunStage::Waiting(_) | RunStage::Ended { .. } => None,
        }
    }

    /// Builds the routing request of the run at `now`.
    pub(super) fn route_request(&self, now: Instant) -> RouteRequest<'_> {
        RouteRequest {
            model: &self.model,
            blocks: &self.blocks,
            prompt_tokens: self.prompt_tokens + self.buffer.tokens(),
            output_tokens: self.output_tokens,
            class: self.class,
            optimization_goal: self.optimization_goal,
            waited: now.saturating_duration_since(self.admitted_at),
            exclude: &self.excluded,
        }
    }

    /// Builds the entry that puts the run back into the admission queue, to be placed by
    /// `place_by`. The run is already admitted, so the limit of its workspace does not apply.
    pub(super) fn admission_request(&self, place_by: Instant) -> AdmissionRequest {
        AdmissionRequest {
            ticket: self.ticket,
            workspace: self.workspace.clone(),
            weight: self.weight,
            max_in_flight: u32::MAX,
            class: self.class,
            model: self.model.clone(),
            place_by,
            tokens: self.prompt_tokens + self.output_tokens,
        }
    }
}
