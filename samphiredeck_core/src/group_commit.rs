//! Group commit to the table service, with a definite outcome for every operation.
//!
//! All writes of a node go through one lane, which has at most one transaction in flight. Each
//! transaction is conditional on the node's member row and rewrites it with the transaction's
//! number. This also renews the node's lease, and it fences a node whose row was changed by others.
//! When the reply to a transaction is lost, the lane sends a probe: it writes the member row again
//! under the same condition. If the probe commits, the lost transaction can no longer commit. If it
//! conflicts, the row shows which transaction took effect.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{
    backoff::Backoff,
    ids::RowVersion,
    lease::HeldLease,
    platform_api::{RowCondition, RowWrite, TableTransaction, TransactionOutcome, VersionedRow},
    rows::{MemberRow, member_key},
};

/// Maximum number of operations in one transaction.
const BATCH_MAX: usize = 128;
/// Maximum number of queued operations.
const QUEUE_MAX: usize = 8_192;
/// Minimum time between the starts of two transactions of one node.
const TRANSACTION_INTERVAL_MIN: Duration = Duration::from_millis(25);
/// Initial backoff after a failure.
const BACKOFF_INITIAL: Duration = Duration::from_millis(100);
/// Maximum backoff after repeated failures.
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Consecutive failures after which the table service counts as down.
const DOWN_AFTER_FAILURES: u32 = 2;

/// Identifier of an operation, unique on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperationId(pub u64);

/// Conditional write to be committed as part of a transaction.
#[derive(Clone, Debug)]
pub struct CommitOperation {
    /// Identifier of the operation.
    pub id: OperationId,
    /// Conditions on rows.
    pub conditions: Vec<RowCondition>,
    /// Writes to rows.
    pub writes: Vec<RowWrite>,
    /// Time after which the operation is dropped if it was not sent.
    pub give_up_at: Instant,
}

impl CommitOperation {
    fn shares_rows_with(&self, other: &Self) -> bool {
        let keys = |operation: &Self| -> Vec<String> {
            let conditions = operation.conditions.iter().map(|row| row.key.clone());
            conditions.chain(operation.writes.iter().map(|row| row.key.clone())).collect()
        };
        let mine = keys(self);
        keys(other).iter().any(|key| mine.contains(key))
    }
}

/// Outcome of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationOutcome {
    /// The operation took effect.
    Committed(RowVersion),
    /// The operation did not take effect. Holds the rows whose conditions failed.
    Conflict(Vec<VersionedRow>),
    /// The operation was dropped and is known not to have taken effect.
    NotCommitted,
}

/// Reply of the platform to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitReply {
    /// The transaction was committed or conflicted.
    Decided(TransactionOutcome),
    /// The transaction is known not to have started.
    Refused,
    /// It is unknown whether the transaction took effect.
    Unknown,
}

/// Operations of the transaction in flight.
#[derive(Debug)]
struct InFlightBatch {
    operations: Vec<CommitOperation>,
    /// Transaction number that the batch writes to the member row.
    transaction: u64,
    sent_at: Instant,
    /// Whether the transaction deletes the member row.
    leaving: bool,
}

/// State of the lane and of its only transaction.
#[derive(Debug)]
enum LaneState {
    /// The member row has not been read by this incarnation of the node.
    Unregistered,
    /// No transaction is in flight.
    Idle,
    /// A batch is in flight.
    InFlight(InFlightBatch),
    /// The outcome of a batch is unknown. The probe, which has a transaction number of its own, may
    /// be in flight.
    Resolving { batch: InFlightBatch, probe_sent: bool, probe_number: u64 },
    /// The member row was taken over or marked as lapsed by another node. This node must register
    /// again with a new incarnation.
    Expelled,
    /// The node deleted its member row and writes nothing more.
    Left,
}

/// Queue and transaction state through which all writes of a node to the table go.
#[derive(Debug)]
pub struct CommitLane {
    member: MemberRow,
    /// Last known version of the member row.
    member_version: RowVersion,
    state: LaneState,
    /// In order of arrival. At most [`QUEUE_MAX`].
    waiting: VecDeque<CommitOperation>,
    next_send_at: Option<Instant>,
    backoff: Backoff,
    lease: HeldLease,
    last_transaction: u64,
    /// Whether the transaction that takes the last queued operations deletes the member row.
    leaving: bool,
}

impl CommitLane {
    /// Creates the lane of the node that `member` describes.
    #[must_use]
    pub fn new(member: MemberRow) -> Self {
        Self {
            member,
            member_version: RowVersion(0),
            state: LaneState::Unregistered,
            waiting: VecDeque::new(),
            next_send_at: None,
            backoff: Backoff::new(BACKOFF_INITIAL, BACKOFF_MAX),
            lease: HeldLease::default(),
            last_transaction: 0,
            leaving: false,
        }
    }

    /// Returns the node's member row as last written.
    #[must_use]
    pub fn member(&self) -> &MemberRow {
        &self.member
    }

    /// Returns the node's lease.
    #[must_use]
    pub fn lease(&self) -> &HeldLease {
        &self.lease
    }

    /// Whether the member row must be read before the lane can write.
    #[must_use]
    pub fn needs_registration(&self) -> bool {
        matches!(self.state, LaneState::Unregistered)
    }

    /// Whether another node took over the member row or marked it as lapsed.
    #[must_use]
    pub fn is_expelled(&self) -> bool {
        matches!(self.state, LaneState::Expelled)
    }

    /// Enables writes, on top of the member row that a read found at `version`.
    pub fn register(&mut self, version: RowVersion) {
        if self.needs_registration() {
            self.member_version = version;
            self.state = LaneState::Idle;
        }
    }

    /// Restarts as a new incarnation after the node was expelled.
    pub fn renew_incarnation(&mut self, member: MemberRow) {
        self.member = member;
        self.state = LaneState::Unregistered;
        self.lease.release();
    }

    /// Requests the deletion of the member row together with the last queued operations.
    pub fn begin_leave(&mut self) {
        self.leaving = true;
    }

    /// Whether the member row was deleted, or the lane is not registered.
    #[must_use]
    pub fn has_left(&self) -> bool {
        matches!(self.state, LaneState::Left | LaneState::Unregistered)
    }

    /// Whether the table service counts as down.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.backoff.failures() >= DOWN_AFTER_FAILURES
    }

    /// Whether no operation is queued or in flight.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let busy = matches!(self.state, LaneState::InFlight(_) | LaneState::Resolving { .. });
        self.waiting.is_empty() && !busy
    }

    /// Returns the number of queued operations.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Queues an operation for the next transaction.
    ///
    /// # Errors
    ///
    /// Returns the operation when the queue is full.
    pub fn enqueue(&mut self, operation: CommitOperation) -> Result<(), CommitOperation> {
        if self.waiting.len() >= QUEUE_MAX {
            return Err(operation);
        }
        self.waiting.push_back(operation);
        Ok(())
    }

    /// Drops queued operations that were not sent in time. They did not take effect.
    pub fn expire(&mut self, now: Instant) -> Vec<(OperationId, OperationOutcome)> {
        let (late, kept) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|operation| now >= operation.give_up_at);
        self.waiting = kept;
        let late: VecDeque<CommitOperation> = late;
        late.into_iter().map(|operation| (operation.id, OperationOutcome::NotCommitted)).collect()
    }

    /// Returns the transaction to send now, if any.
    pub fn poll(&mut self, now: Instant) -> Option<TableTransaction> {
        if self.next_send_at.is_some_and(|at| now < at) {
            return None;
        }
        let has_work = self.has_work(now);
        let transaction = match &mut self.state {
            LaneState::Idle if has_work => self.next_batch(now),
            LaneState::Resolving { probe_sent, probe_number, .. } if !*probe_sent => {
                *probe_sent = true;
                self.last_transaction += 1;
                *probe_number = self.last_transaction;
                let number = *probe_number;
                self.build(&[], number, false)
            }
            _ => return None,
        };
        self.next_send_at = Some(now + TRANSACTION_INTERVAL_MIN);
        Some(transaction)
    }

    fn has_work(&self, now: Instant) -> bool {
        !self.waiting.is_empty() || self.lease.is_renewal_due(now) || self.leaving
    }

    fn next_batch(&mut self, now: Instant) -> TableTransaction {
        let mut operations: Vec<CommitOperation> = Vec::new();
        while operations.len() < BATCH_MAX {
            // An operation must see the effect of an earlier one on the same row, so the two never
            // share a transaction.
            let fits =
                |op: &CommitOperation| !operations.iter().any(|other| other.shares_rows_with(op));
            if !self.waiting.front().is_some_and(fits) {
                break;
            }
            operations.extend(self.waiting.pop_front());
        }
        self.last_transaction += 1;
        let transaction = self.last_transaction;
        let leaving = self.leaving && self.waiting.is_empty();
        let built = self.build(&operations, transaction, leaving);
        let batch = InFlightBatch { operations, transaction, sent_at: now, leaving };
        self.state = LaneState::InFlight(batch);
        built
    }

    fn build(
        &self,
        operations: &[CommitOperation],
        number: u64,
        leaving: bool,
    ) -> TableTransaction {
        let key = member_key(&self.member.node);
        let mut row = self.member.clone();
        row.transaction = number;
        let mut transaction = TableTransaction::default();
        for operation in operations {
            transaction.conditions.extend(operation.conditions.iter().cloned());
            transaction.writes.extend(operation.writes.iter().cloned());
        }
        let condition = RowCondition { key: key.clone(), version: self.member_version };
        transaction.conditions.push(condition);
        let value = if leaving { None } else { serde_json::to_string(&row).ok() };
        transaction.writes.push(RowWrite { key, value });
        transaction
    }

    /// Processes the reply to the transaction in flight and returns the outcomes that it settles.
    pub fn on_reply(
        &mut self,
        reply: CommitReply,
        now: Instant,
        jitter: f64,
    ) -> Vec<(OperationId, OperationOutcome)> {
        match &reply {
            CommitReply::Decided(_) => self.backoff.reset(),
            CommitReply::Refused | CommitReply::Unknown => {
                self.next_send_at = Some(now + self.backoff.next_delay(jitter));
            }
        }
        match std::mem::replace(&mut self.state, LaneState::Idle) {
            LaneState::InFlight(batch) => self.on_batch_reply(batch, reply),
            LaneState::Resolving { batch, probe_number, .. } => {
                self.on_probe_reply(batch, probe_number, reply)
            }
            other => {
                self.state = other;
                Vec::new()
            }
        }
    }

    fn on_batch_reply(
        &mut self,
        batch: InFlightBatch,
        reply: CommitReply,
    ) -> Vec<(OperationId, OperationOutcome)> {
        match reply {
            CommitReply::Decided(TransactionOutcome::Committed { version }) => {
                self.settle_committed(batch, version)
            }
            CommitReply::Decided(TransactionOutcome::Conflict { rows }) => {
                self.settle_conflict(batch, &rows)
            }
            CommitReply::Refused => {
                self.requeue(batch.operations);
                Vec::new()
            }
            CommitReply::Unknown => {
                self.state = LaneState::Resolving { batch, probe_sent: false, probe_number: 0 };
                Vec::new()
            }
        }
    }

    fn on_probe_reply(
        &mut self,
        batch: InFlightBatch,
        probe_number: u64,
        reply: CommitReply,
    ) -> Vec<(OperationId, OperationOutcome)> {
        match reply {
            CommitReply::Decided(TransactionOutcome::Committed { version }) => {
                self.member.transaction = probe_number;
                self.member_version = version;
                self.requeue(batch.operations);
                Vec::new()
            }
            CommitReply::Decided(TransactionOutcome::Conflict { rows }) => {
                self.settle_by_member_row(batch, &rows)
            }
            CommitReply::Refused | CommitReply::Unknown => {
                self.state = LaneState::Resolving { batch, probe_sent: false, probe_number };
                Vec::new()
            }
        }
    }

    fn settle_committed(
        &mut self,
        batch: InFlightBatch,
        version: RowVersion,
    ) -> Vec<(OperationId, OperationOutcome)> {
        self.member.transaction = batch.transaction;
        self.member_version = version;
        self.lease.renew(batch.sent_at);
        if batch.leaving {
            self.lease.release();
            self.state = LaneState::Left;
        }
        let committed = OperationOutcome::Committed(version);
        batch.operations.into_iter().map(|operation| (operation.id, committed.clone())).collect()
    }

    fn settle_conflict(
        &mut self,
        batch: InFlightBatch,
        rows: &[VersionedRow],
    ) -> Vec<(OperationId, OperationOutcome)> {
        if self.own_row(rows).is_some() {
            // The member row was changed by others, which fences this transaction and all later
            // ones.
            return self.expel(batch);
        }
        let mut outcomes = Vec::new();
        let mut kept = Vec::new();
        for operation in batch.operations {
            let failed: Vec<VersionedRow> = rows
                .iter()
                .filter(|row| operation.conditions.iter().any(|condition| condition.key == row.key))
                .cloned()
                .collect();
            if failed.is_empty() {
                kept.push(operation);
            } else {
                outcomes.push((operation.id, OperationOutcome::Conflict(failed)));
            }
        }
        self.requeue(kept);
        outcomes
    }

    /// Settles a batch by the member row in `rows`, which shows whether it was committed.
    fn settle_by_member_row(
        &mut self,
        batch: InFlightBatch,
        rows: &[VersionedRow],
    ) -> Vec<(OperationId, OperationOutcome)> {
        let row = self.own_row(rows).cloned();
        if batch.leaving && row.as_ref().is_some_and(|row| row.value.is_none()) {
            return self.settle_committed(batch, RowVersion(0));
        }
        let member = row.as_ref().and_then(|row| parse_member(row.value.as_deref()));
        let (Some(row), Some(member)) = (row, member) else { return self.expel(batch) };
        if member.incarnation != self.member.incarnation {
            return self.expel(batch);
        }
        let committed = member.transaction == batch.transaction;
        let version = row.version;
        if committed {
            let outcomes = self.settle_committed(batch, version);
            if member.lapsed {
                self.state = LaneState::Expelled;
            }
            return outcomes;
        }
        if member.lapsed {
            return self.expel(batch);
        }
        // An earlier probe took effect although its reply was lost, so the batch can't.
        self.member.transaction = member.transaction;
        self.member_version = version;
        self.requeue(batch.operations);
        Vec::new()
    }

    fn own_row<'a>(&self, rows: &'a [VersionedRow]) -> Option<&'a VersionedRow> {
        let key = member_key(&self.member.node);
        rows.iter().find(|row| row.key == key)
    }

    fn expel(&mut self, batch: InFlightBatch) -> Vec<(OperationId, OperationOutcome)> {
        self.state = LaneState::Expelled;
        self.lease.release();
        let dropped = batch.operations.into_iter().chain(std::mem::take(&mut self.waiting));
        dropped.map(|operation| (operation.id, OperationOutcome::NotCommitted)).collect()
    }

    fn requeue(&mut self, operations: Vec<CommitOperation>) {
        for operation in operations.into_iter().rev() {
            self.waiting.push_front(operation);
        }
    }
}

fn parse_member(value: Option<&str>) -> Option<MemberRow> {
    serde_json::from_str(value?).ok()
}
