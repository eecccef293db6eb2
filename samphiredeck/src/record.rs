//! Records of patient work in the table service, kept by the run that owns the work.

use std::time::{Duration, Instant};

use log::{info, warn};
use samphiredeck_core::{
    group_commit::OperationOutcome,
    ids::{Incarnation, NodeName, RequestId, RowVersion, UpstreamId},
    patient::{INLINE_TEXT_MAX_BYTES, is_checkpoint_due},
    platform_api::{RowCondition, RowWrite, VersionedRow},
    rows::{ClaimRow, ClaimState, WorkRow, WorkState, claim_key, work_key},
    verdict::RunVerdict,
};
use tokio::sync::oneshot::{self, error::TryRecvError};

use crate::{
    event::{ControlEvent, RunPlacement, WriteReply, WriteRequest, parse_row},
    handle::ControlHandle,
    logging::WORK,
    platform_client::PlatformClient,
    run::RunSpec,
};

/// Timeout of the first write of a work record.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a checkpoint write.
const CHECKPOINT_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay between attempts to record the end of work.
const CLOSE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum attempts to record the end of work.
const CLOSE_ATTEMPTS_MAX: u32 = 600;

/// Outcome of creating a work record.
#[derive(Debug)]
pub enum RecordOutcome {
    /// The work is recorded, so the request is accepted.
    Recorded(Box<WorkRecord>),
    /// The idempotency key belongs to this earlier request with the same body.
    Duplicate(RequestId),
    /// The idempotency key belongs to a request with a different body.
    KeyReused,
    /// The work was not recorded.
    NotRecorded,
}

/// Record of work that this node owns.
pub struct WorkRecord {
    row: WorkRow,
    /// Row version that the next write is conditional on.
    version: RowVersion,
    saved_at: Instant,
    pending_checkpoint: Option<oneshot::Receiver<WriteReply>>,
    platform: PlatformClient,
}

impl std::fmt::Debug for WorkRecord {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("WorkRecord").field("request", &self.row.request).finish_non_exhaustive()
    }
}

/// Builds the row of `spec` with `owner` and `incarnation` as its owner.
fn build_row(
    spec: &RunSpec,
    owner: NodeName,
    incarnation: Incarnation,
    text: String,
    tokens: u64,
    upstream: Option<&UpstreamId>,
) -> WorkRow {
    WorkRow {
        request: spec.request.clone(),
        workspace: spec.workspace.clone(),
        class: spec.class,
        owner,
        incarnation,
        path: spec.path.clone(),
        body: spec.body.clone(),
        text,
        tokens,
        upstream: upstream.map(ToString::to_string),
        state: WorkState::Open,
        verdict: RunVerdict::NotRun,
        takeovers: 0,
        object: None,
    }
}

impl WorkRecord {
    /// Records `spec` before it is accepted, and claims its idempotency key if it has one.
    pub async fn create(
        spec: &RunSpec,
        idempotency: Option<(&str, String)>,
        control: &ControlHandle,
        platform: PlatformClient,
    ) -> RecordOutcome {
        let Some((owner, incarnation)) = control.ask(ControlEvent::Identity).await else {
            return RecordOutcome::NotRecorded;
        };
        let row = build_row(spec, owner.clone(), incarnation, String::new(), 0, None);
        let key = work_key(&spec.request);
        let mut request = WriteRequest {
            conditions: vec![RowCondition { key: key.clone(), version: RowVersion(0) }],
            writes: vec![row_write(key, &row)],
            give_up_at: Instant::now() + RECORD_TIMEOUT,
        };
        if let Some((text, digest)) = &idempotency {
            let claim = ClaimRow {
                request: spec.request.clone(),
                node: owner,
                incarnation,
                digest: digest.clone(),
                state: ClaimState::Claimed,
            };
            let key = claim_key(&spec.workspace, text);
            request.conditions.push(RowCondition { key: key.clone(), version: RowVersion(0) });
            request.writes.push(row_write(key, &claim));
        }
        let reply = control.ask(|reply| ControlEvent::Write(request, reply)).await;
        let digest = idempotency.map(|(_, digest)| digest);
        match reply.map(|reply| reply.outcome) {
            Some(OperationOutcome::Committed(version)) => {
                RecordOutcome::Recorded(Box::new(Self::from_row(row, version, platform)))
            }
            Some(OperationOutcome::Conflict(rows)) => conflict_outcome(&rows, digest.as_deref()),
            Some(OperationOutcome::NotCommitted) | None => RecordOutcome::NotRecorded,
        }
    }

    /// Creates the record of work whose row is stored with `version`.
    pub fn from_row(row: WorkRow, version: RowVersion, platform: PlatformClient) -> Self {
        Self { row, version, saved_at: Instant::now(), pending_checkpoint: None, platform }
    }

    /// Builds the row to hand over, and returns the version that it is stored with. The version
    /// is zero for work that is not recorded.
    pub fn handover_row(
        record: Option<&Self>,
        spec: &RunSpec,
        text: String,
        tokens: u64,
        upstream: &UpstreamId,
    ) -> (WorkRow, RowVersion) {
        if let Some(record) = record {
            let row = WorkRow {
                text,
                tokens,
                upstream: Some(upstream.to_string()),
                ..record.row.clone()
            };
            return (row, record.version);
        }
        let owner = spec.request.accepting_node().clone();
        let row = build_row(spec, owner, Incarnation(0), text, tokens, Some(upstream));
        (row, RowVersion(0))
    }

    /// Waits for a checkpoint in flight, which would otherwise change the row version after the
    /// next owner has received it.
    pub async fn await_checkpoint(&mut self) {
        if let Some(pending_checkpoint) = self.pending_checkpoint.take()
            && let Ok(reply) = pending_checkpoint.await
        {
            self.apply_outcome(&reply.outcome);
        }
    }

    /// Takes over a row of another node as its new owner. Returns `None` if the write failed, for
    /// example because another node took it over first.
    pub async fn adopt(
        row: WorkRow,
        version: RowVersion,
        control: &ControlHandle,
        platform: PlatformClient,
    ) -> Option<Self> {
        let (owner, incarnation) = control.ask(ControlEvent::Identity).await?;
        if row.owner == owner && row.incarnation == incarnation {
            return Some(Self::from_row(row, version, platform));
        }
        let row = WorkRow { owner, incarnation, ..row };
        let mut record = Self::from_row(row, version, platform);
        let request = record.write_request(RECORD_TIMEOUT);
        let reply = control.ask(|reply| ControlEvent::Write(request, reply)).await?;
        match reply.outcome {
            OperationOutcome::Committed(version) => {
                record.version = version;
                Some(record)
            }
            OperationOutcome::Conflict(_) | OperationOutcome::NotCommitted => None,
        }
    }

    /// Saves the text generated so far if a checkpoint is due. Returns whether this node still
    /// owns the work.
    pub fn checkpoint(
        &mut self,
        text: &str,
        tokens: u64,
        placement: &RunPlacement,
        control: &ControlHandle,
        now: Instant,
    ) -> bool {
        if let Some(pending_checkpoint) = &mut self.pending_checkpoint {
            match pending_checkpoint.try_recv() {
                Ok(reply) => {
                    self.pending_checkpoint = None;
                    if !self.apply_outcome(&reply.outcome) {
                        return false;
                    }
                }
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Closed) => self.pending_checkpoint = None,
            }
        }
        let fits_inline = text.len() <= INLINE_TEXT_MAX_BYTES;
        if fits_inline && is_checkpoint_due(tokens, self.row.tokens, self.saved_at, now) {
            self.row.text.clear();
            self.row.text.push_str(text);
            self.row.tokens = tokens;
            self.row.upstream = Some(placement.upstream.to_string());
            self.row.verdict = RunVerdict::MayHaveRun;
            self.saved_at = now;
            let (sender, receiver) = oneshot::channel();
            control.tell(ControlEvent::Write(self.write_request(CHECKPOINT_TIMEOUT), sender));
            self.pending_checkpoint = Some(receiver);
        }
        true
    }

    fn write_request(&self, give_up_after: Duration) -> WriteRequest {
        let key = work_key(&self.row.request);
        WriteRequest {
            conditions: vec![RowCondition { key: key.clone(), version: self.version }],
            writes: vec![row_write(key, &self.row)],
            give_up_at: Instant::now() + give_up_after,
        }
    }

    /// Applies the outcome of a write. Returns whether this node still owns the work.
    fn apply_outcome(&mut self, outcome: &OperationOutcome) -> bool {
        match outcome {
            OperationOutcome::Committed(version) => {
                self.version = *version;
                true
            }
            OperationOutcome::NotCommitted => true,
            OperationOutcome::Conflict(_) => {
                warn!(target: WORK, "Work of request {} has another owner.", self.row.request);
                false
            }
        }
    }

    /// Records the complete response, and retries until the attempts are used up.
    pub async fn close_complete(&mut self, text: String, tokens: u64, control: &ControlHandle) {
        self.row.verdict = RunVerdict::Ran;
        self.close(WorkState::Done, text, tokens, control).await;
    }

    /// Records that the work was cancelled.
    pub async fn close_cancelled(&mut self, text: String, tokens: u64, control: &ControlHandle) {
        self.close(WorkState::Cancelled, text, tokens, control).await;
    }

    /// Records that the work was abandoned. `verdict` tells whether it may have run.
    pub async fn close_failed(
        &mut self,
        text: String,
        tokens: u64,
        verdict: RunVerdict,
        control: &ControlHandle,
    ) {
        self.row.verdict = verdict;
        self.close(WorkState::Failed, text, tokens, control).await;
    }

    async fn close(
        &mut self,
        state: WorkState,
        text: String,
        tokens: u64,
        control: &ControlHandle,
    ) {
        self.await_checkpoint().await;
        self.row.state = state;
        self.row.tokens = tokens;
        self.store_text(text).await;
        for _ in 0..CLOSE_ATTEMPTS_MAX {
            let request = self.write_request(CHECKPOINT_TIMEOUT);
            let reply = control.ask(|reply| ControlEvent::Write(request, reply)).await;
            match reply.map(|reply| reply.outcome) {
                Some(OperationOutcome::Committed(_)) => {
                    info!(target: WORK, "Recorded the end of request {}.", self.row.request);
                    return;
                }
                Some(OperationOutcome::Conflict(_)) => return,
                Some(OperationOutcome::NotCommitted) | None => {
                    tokio::time::sleep(CLOSE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Stores `text` in the row, or in the object store if it is too large for the row.
    async fn store_text(&mut self, text: String) {
        if text.len() <= INLINE_TEXT_MAX_BYTES {
            self.row.text = text;
            return;
        }
        let key = format!("work-{}", self.row.request);
        for _ in 0..CLOSE_ATTEMPTS_MAX {
            if self.platform.put_object(&key, text.clone()).await.is_ok() {
                self.row.text.clear();
                self.row.object = Some(key);
                return;
            }
            tokio::time::sleep(CLOSE_RETRY_DELAY).await;
        }
        self.row.text = text;
    }
}

fn row_write<T: serde::Serialize>(key: String, row: &T) -> RowWrite {
    RowWrite { key, value: serde_json::to_string(row).ok() }
}

/// Finds out from the conflicting rows which request the idempotency key belongs to.
fn conflict_outcome(rows: &[VersionedRow], digest: Option<&str>) -> RecordOutcome {
    let claim = rows.iter().find_map(parse_row::<ClaimRow>);
    match (claim, digest) {
        (Some(claim), Some(digest)) if claim.digest == digest => {
            RecordOutcome::Duplicate(claim.request)
        }
        (Some(_), _) => RecordOutcome::KeyReused,
        (None, _) => RecordOutcome::NotRecorded,
    }
}
