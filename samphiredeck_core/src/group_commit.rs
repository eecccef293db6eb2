//! Group commit to the table service, with outcomes that are never guessed.
//!
//! All writes of a node go through one lane, one transaction at a time. Each transaction is
//! conditional on the node's member row and writes it anew with the transaction's number, so it
//! renews the node's lease too, and a node whose row was taken can't write any more. When the
//! answer to a transaction is lost, the lane writes the member row once more under the same
//! condition. If that commits, the lost transaction never can; if it conflicts, the row tells
//! which transaction took effect.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{
    backoff::BackoffState,
    ids::RowVersion,
    lease::HeldLease,
    platform_api::{RowCondition, RowWrite, TableTransaction, TransactionOutcome, VersionedRow},
    rows::{MemberRow, member_key},
};

/// Most operations of one transaction.
const BATCH_MAX: usize = 128;
/// Most operations that wait.
const WAITING_MAX: usize = 8_192;
/// Shortest time between the starts of two transactions of one node.
const PACE: Duration = Duration::from_millis(25);
/// First pause after a failure.
const PAUSE_FIRST: Duration = Duration::from_millis(100);
/// Longest pause after failures.
const PAUSE_LONGEST: Duration = Duration::from_secs(2);
/// Failures in a row after which the table counts as down.
const DOWN_AFTER: u32 = 2;

/// Identifies an operation of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperationNumber(pub u64);

/// Conditional write that waits for a transaction.
#[derive(Clone, Debug)]
pub struct CommitOperation {
    /// Key of the operation.
    pub number: OperationNumber,
    /// Conditions on rows.
    pub conditions: Vec<RowCondition>,
    /// Writes to rows.
    pub writes: Vec<RowWrite>,
    /// Time at which the operation is given up if it was not sent.
    pub give_up_at: Instant,
}

impl CommitOperation {
    fn touches(&self, other: &Self) -> bool {
        let keys = |op: &Self| -> Vec<String> {
            let conditions = op.conditions.iter().map(|row| row.key.clone());
            conditions.chain(op.writes.iter().map(|row| row.key.clone())).collect()
        };
        let mine = keys(self);
        keys(other).iter().any(|key| mine.contains(key))
    }
}

/// What became of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationOutcome {
    /// It took effect.
    Committed(RowVersion),
    /// It did not take effect; the rows are those whose conditions failed.
    Conflict(Vec<VersionedRow>),
    /// It surely did not take effect and was given up.
    NotCommitted,
}

/// What the platform said of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LaneReply {
    /// It was decided.
    Decided(TransactionOutcome),
    /// It was surely not started.
    Refused,
    /// Nobody knows.
    Unknown,
}

/// Operations in flight.
#[derive(Debug)]
struct FlightBatch {
    operations: Vec<CommitOperation>,
    /// Number that the member row gets.
    transaction: u64,
    sent_at: Instant,
    /// Whether it deletes the member row.
    leaving: bool,
}

/// State of the lane's only transaction.
#[derive(Debug)]
enum LaneStage {
    /// The member row is not written yet by this run.
    Unregistered,
    /// Nothing is in flight.
    Idle,
    /// A batch is in flight.
    Flying(FlightBatch),
    /// The outcome of a batch is unknown. The flag tells whether the question is in flight.
    Resolving { batch: FlightBatch, asked: bool, question: u64 },
    /// The member row was taken. The node must register with a new incarnation.
    Expelled,
    /// The node gave back its member row and writes nothing more.
    Left,
}

/// The only way by which a node writes to the table.
#[derive(Debug)]
pub struct CommitLane {
    member: MemberRow,
    /// Version of the member row as last known.
    member_version: RowVersion,
    stage: LaneStage,
    /// In order of arrival. At most [`WAITING_MAX`].
    waiting: VecDeque<CommitOperation>,
    next_at: Option<Instant>,
    backoff: BackoffState,
    lease: HeldLease,
    last_transaction: u64,
    /// Whether the next transaction that takes all waiting operations deletes the member row.
    leaving: bool,
}

impl CommitLane {
    /// Builds the lane of the node that `member` describes.
    #[must_use]
    pub fn new(member: MemberRow) -> Self {
        Self {
            member,
            member_version: RowVersion(0),
            stage: LaneStage::Unregistered,
            waiting: VecDeque::new(),
            next_at: None,
            backoff: BackoffState::new(PAUSE_FIRST, PAUSE_LONGEST),
            lease: HeldLease::default(),
            last_transaction: 0,
            leaving: false,
        }
    }

    /// Borrows the node's member row as last written.
    #[must_use]
    pub fn member(&self) -> &MemberRow {
        &self.member
    }

    /// Borrows the node's lease.
    #[must_use]
    pub fn lease(&self) -> &HeldLease {
        &self.lease
    }

    /// Whether the member row must be read before anything can be written.
    #[must_use]
    pub fn needs_registration(&self) -> bool {
        matches!(self.stage, LaneStage::Unregistered)
    }

    /// Whether the row was taken from this run of the node.
    #[must_use]
    pub fn is_expelled(&self) -> bool {
        matches!(self.stage, LaneStage::Expelled)
    }

    /// Starts to write, over the member row that a read found at `version`.
    pub fn register(&mut self, version: RowVersion) {
        if self.needs_registration() {
            self.member_version = version;
            self.stage = LaneStage::Idle;
        }
    }

    /// Starts over as a new incarnation after the row was taken.
    pub fn renew_incarnation(&mut self, member: MemberRow) {
        self.member = member;
        self.stage = LaneStage::Unregistered;
        self.lease.release();
    }

    /// Gives back the member row with the last of the waiting operations.
    pub fn begin_leave(&mut self) {
        self.leaving = true;
    }

    /// Whether the member row was given back, or never written.
    #[must_use]
    pub fn has_left(&self) -> bool {
        matches!(self.stage, LaneStage::Left | LaneStage::Unregistered)
    }

    /// Whether the table counts as down.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.backoff.failures() >= DOWN_AFTER
    }

    /// Whether no operation waits or is in flight.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let busy = matches!(self.stage, LaneStage::Flying(_) | LaneStage::Resolving { .. });
        self.waiting.is_empty() && !busy
    }

    /// Counts the operations that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Lets an operation wait for the next transaction.
    ///
    /// # Errors
    ///
    /// Returns the operation when too many wait.
    pub fn offer(&mut self, operation: CommitOperation) -> Result<(), CommitOperation> {
        if self.waiting.len() >= WAITING_MAX {
            return Err(operation);
        }
        self.waiting.push_back(operation);
        Ok(())
    }

    /// Gives up operations that have waited too long. They surely did not take effect.
    pub fn expire(&mut self, now: Instant) -> Vec<(OperationNumber, OperationOutcome)> {
        let (late, kept) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|operation| now >= operation.give_up_at);
        self.waiting = kept;
        let late: VecDeque<CommitOperation> = late;
        late.into_iter().map(|op| (op.number, OperationOutcome::NotCommitted)).collect()
    }

    /// Returns the transaction to send now, if any.
    pub fn poll(&mut self, now: Instant) -> Option<TableTransaction> {
        if self.next_at.is_some_and(|at| now < at) {
            return None;
        }
        let has_work = self.has_work(now);
        let transaction = match &mut self.stage {
            LaneStage::Idle if has_work => self.next_batch(now),
            LaneStage::Resolving { asked, question, .. } if !*asked => {
                *asked = true;
                self.last_transaction += 1;
                *question = self.last_transaction;
                let number = *question;
                self.build(&[], number, false)
            }
            _ => return None,
        };
        self.next_at = Some(now + PACE);
        Some(transaction)
    }

    fn has_work(&self, now: Instant) -> bool {
        !self.waiting.is_empty() || self.lease.is_renewal_due(now) || self.leaving
    }

    fn next_batch(&mut self, now: Instant) -> TableTransaction {
        let mut operations: Vec<CommitOperation> = Vec::new();
        while operations.len() < BATCH_MAX {
            // Two operations on one row must see each other's outcome, so they never share a
            // transaction.
            let fits = |op: &CommitOperation| !operations.iter().any(|other| other.touches(op));
            if !self.waiting.front().is_some_and(fits) {
                break;
            }
            operations.extend(self.waiting.pop_front());
        }
        self.last_transaction += 1;
        let transaction = self.last_transaction;
        let leaving = self.leaving && self.waiting.is_empty();
        let built = self.build(&operations, transaction, leaving);
        let batch = FlightBatch { operations, transaction, sent_at: now, leaving };
        self.stage = LaneStage::Flying(batch);
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

    /// Takes in what the platform said of the transaction in flight.
    pub fn on_reply(
        &mut self,
        reply: LaneReply,
        now: Instant,
        noise: f64,
    ) -> Vec<(OperationNumber, OperationOutcome)> {
        match &reply {
            LaneReply::Decided(_) => self.backoff.reset(),
            LaneReply::Refused | LaneReply::Unknown => {
                self.next_at = Some(now + self.backoff.next_pause(noise));
            }
        }
        match std::mem::replace(&mut self.stage, LaneStage::Idle) {
            LaneStage::Flying(batch) => self.on_batch_reply(batch, reply),
            LaneStage::Resolving { batch, question, .. } => {
                self.on_question_reply(batch, question, reply)
            }
            other => {
                self.stage = other;
                Vec::new()
            }
        }
    }

    fn on_batch_reply(
        &mut self,
        batch: FlightBatch,
        reply: LaneReply,
    ) -> Vec<(OperationNumber, OperationOutcome)> {
        match reply {
            LaneReply::Decided(TransactionOutcome::Committed { version }) => {
                self.settle_committed(batch, version)
            }
            LaneReply::Decided(TransactionOutcome::Conflict { rows }) => {
                self.settle_conflict(batch, &rows)
            }
            LaneReply::Refused => {
                self.requeue(batch.operations);
                Vec::new()
            }
            LaneReply::Unknown => {
                self.stage = LaneStage::Resolving { batch, asked: false, question: 0 };
                Vec::new()
            }
        }
    }

    fn on_question_reply(
        &mut self,
        batch: FlightBatch,
        question: u64,
        reply: LaneReply,
    ) -> Vec<(OperationNumber, OperationOutcome)> {
        match reply {
            LaneReply::Decided(TransactionOutcome::Committed { version }) => {
                self.member.transaction = question;
                self.member_version = version;
                self.requeue(batch.operations);
                Vec::new()
            }
            LaneReply::Decided(TransactionOutcome::Conflict { rows }) => {
                self.settle_found(batch, &rows)
            }
            LaneReply::Refused | LaneReply::Unknown => {
                self.stage = LaneStage::Resolving { batch, asked: false, question };
                Vec::new()
            }
        }
    }

    fn settle_committed(
        &mut self,
        batch: FlightBatch,
        version: RowVersion,
    ) -> Vec<(OperationNumber, OperationOutcome)> {
        self.member.transaction = batch.transaction;
        self.member_version = version;
        self.lease.renew(batch.sent_at);
        if batch.leaving {
            self.lease.release();
            self.stage = LaneStage::Left;
        }
        let committed = OperationOutcome::Committed(version);
        batch.operations.into_iter().map(|op| (op.number, committed.clone())).collect()
    }

    fn settle_conflict(
        &mut self,
        batch: FlightBatch,
        rows: &[VersionedRow],
    ) -> Vec<(OperationNumber, OperationOutcome)> {
        if self.own_row(rows).is_some() {
            // The member row itself changed, so this transaction and all later ones are barred.
            return self.expel(batch);
        }
        let mut outcomes = Vec::new();
        let mut kept = Vec::new();
        for operation in batch.operations {
            let failed: Vec<VersionedRow> = rows
                .iter()
                .filter(|row| operation.conditions.iter().any(|cond| cond.key == row.key))
                .cloned()
                .collect();
            if failed.is_empty() {
                kept.push(operation);
            } else {
                outcomes.push((operation.number, OperationOutcome::Conflict(failed)));
            }
        }
        self.requeue(kept);
        outcomes
    }

    /// Settles a batch whose fate the member row in `rows` tells.
    fn settle_found(
        &mut self,
        batch: FlightBatch,
        rows: &[VersionedRow],
    ) -> Vec<(OperationNumber, OperationOutcome)> {
        let view = self.own_row(rows).cloned();
        if batch.leaving && view.as_ref().is_some_and(|view| view.value.is_none()) {
            return self.settle_committed(batch, RowVersion(0));
        }
        let found = view.as_ref().and_then(|view| parse_member(view.value.as_deref()));
        let (Some(view), Some(found)) = (view, found) else { return self.expel(batch) };
        if found.incarnation != self.member.incarnation {
            return self.expel(batch);
        }
        let committed = found.transaction == batch.transaction;
        let version = view.version;
        if committed {
            let outcomes = self.settle_committed(batch, version);
            if found.lapsed {
                self.stage = LaneStage::Expelled;
            }
            return outcomes;
        }
        if found.lapsed {
            return self.expel(batch);
        }
        // An earlier question took effect although its answer was lost.
        self.member.transaction = found.transaction;
        self.member_version = version;
        self.requeue(batch.operations);
        Vec::new()
    }

    fn own_row<'a>(&self, rows: &'a [VersionedRow]) -> Option<&'a VersionedRow> {
        let key = member_key(&self.member.node);
        rows.iter().find(|row| row.key == key)
    }

    fn expel(&mut self, batch: FlightBatch) -> Vec<(OperationNumber, OperationOutcome)> {
        self.stage = LaneStage::Expelled;
        self.lease.release();
        let barred = batch.operations.into_iter().chain(std::mem::take(&mut self.waiting));
        barred.map(|op| (op.number, OperationOutcome::NotCommitted)).collect()
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
