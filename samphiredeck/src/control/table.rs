//! Group commit of writes to the table service, its periodic reads, and pending operations.

use std::time::{Duration, Instant};

use log::{error, info, warn};
use samphiredeck_core::{
    group_commit::{CommitOperation, CommitReply, OperationId, OperationOutcome},
    ids::{Incarnation, NodeName, RowVersion},
    platform_api::{RowCondition, RowWrite, TableReadResult},
    rows::{
        CONFIG_KEY, CONTROLLER_KEY, ConfigRow, MEMBER_PREFIX, MemberRow, STAGED_CONFIG_KEY,
        StagedConfigRow, UsageRow, WorkRow, member_key, usage_key,
    },
};
use tokio::sync::oneshot;

use super::{ControlState, TABLE_READ_PERIOD, is_due};
use crate::{
    event::{ControlEffect, VersionedMember, WriteReply, WriteRequest, parse_row},
    logging::{CONFIG, PLATFORM},
};

/// Interval between saves of the usage accounts.
const USAGE_PERIOD: Duration = Duration::from_secs(5);
/// Time after which a write of the node itself is abandoned.
const INTERNAL_WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Continuation of an operation once its outcome is known.
#[derive(Debug)]
pub(super) enum Completion {
    /// Replies to a request.
    Request(oneshot::Sender<WriteReply>),
    /// Continues the configuration change, whose stage was written.
    StageChange,
    /// Continues the configuration change, whose acceptance was written.
    AcceptChange,
    /// Finishes the removal of a stage that was not accepted.
    DropStage(RowVersion),
    /// Continues after marking the member row of a node whose lease has lapsed.
    MarkLapsed(NodeName),
    /// Resumes the recorded work that was taken over.
    TakeOver(Box<WorkRow>),
    /// Records the acquisition of the controller lease.
    ControllerLease(samphiredeck_core::ids::FencingToken),
    /// Records that usage accounts with this total were saved.
    SaveUsage(u64),
    /// Ignores the outcome.
    Ignore,
}

/// Operation whose outcome is not known yet.
#[derive(Debug)]
pub(super) struct PendingOperation {
    number: OperationId,
    completion: Completion,
}

impl ControlState {
    /// Queues a write of the node itself for the next transaction.
    pub(super) fn submit_internal(
        &mut self,
        conditions: Vec<RowCondition>,
        writes: Vec<RowWrite>,
        completion: Completion,
        now: Instant,
    ) {
        self.submit(conditions, writes, now + INTERNAL_WRITE_TIMEOUT, completion);
    }

    fn submit(
        &mut self,
        conditions: Vec<RowCondition>,
        writes: Vec<RowWrite>,
        give_up_at: Instant,
        completion: Completion,
    ) {
        self.last_operation += 1;
        let number = OperationId(self.last_operation);
        self.pending_operations.push(PendingOperation { number, completion });
        let operation = CommitOperation { id: number, conditions, writes, give_up_at };
        if self.commit_lane.enqueue(operation).is_err() {
            warn!(target: PLATFORM, "Write queue is full, refusing a write.");
            self.fail_newest(number);
        }
    }

    /// Removes operation `number`, the newest one. If it belongs to a request, replies that it was
    /// not committed.
    fn fail_newest(&mut self, number: OperationId) {
        if let Some(row) = self.pending_operations.pop_if(|row| row.number == number)
            && let Completion::Request(reply) = row.completion
        {
            let outcome = OperationOutcome::NotCommitted;
            drop(reply.send(WriteReply { outcome, lease_end: None }));
        }
    }

    /// Queues a write of a request. It fails at once while the table service is down.
    pub(super) fn submit_write(
        &mut self,
        request: WriteRequest,
        reply: oneshot::Sender<WriteReply>,
    ) {
        if self.commit_lane.is_down() {
            let outcome = OperationOutcome::NotCommitted;
            drop(reply.send(WriteReply { outcome, lease_end: None }));
            return;
        }
        self.submit(
            request.conditions,
            request.writes,
            request.give_up_at,
            Completion::Request(reply),
        );
    }

    /// Returns whether no write is queued or in flight apart from the periodic ones, or the table
    /// service is down.
    pub(super) fn is_commit_lane_settled(&self) -> bool {
        self.commit_lane.is_settled() || self.commit_lane.is_down()
    }

    pub(super) fn tick_table(&mut self, now: Instant) {
        let expired = self.commit_lane.expire(now);
        self.complete_operations(expired, now);
        if is_due(&mut self.timers.usage, USAGE_PERIOD, now) {
            self.save_usage(now);
        }
        if let Some(transaction) = self.commit_lane.poll(now) {
            self.counters.transactions += 1;
            self.effects.push(ControlEffect::Commit(transaction));
        }
        if is_due(&mut self.timers.table, TABLE_READ_PERIOD, now) {
            self.read_table();
        }
    }

    /// Requests a read of the configuration and member rows.
    pub(super) fn read_table(&mut self) {
        self.counters.table_reads += 1;
        self.effects.push(ControlEffect::ReadTable);
    }

    fn usage_total(&self) -> u64 {
        self.accounts.rows().iter().map(|row| row.prompt + row.generated + row.answers).sum()
    }

    fn save_usage(&mut self, now: Instant) {
        let usage_total = self.usage_total();
        if usage_total == self.saved_usage_total || self.commit_lane.is_down() {
            return;
        }
        let write = self.usage_row_write();
        self.submit_internal(Vec::new(), vec![write], Completion::SaveUsage(usage_total), now);
    }

    fn usage_row_write(&self) -> RowWrite {
        let row = UsageRow { accounts: self.accounts.rows().to_vec() };
        RowWrite {
            key: usage_key(&self.identity.name, self.identity.incarnation),
            value: serde_json::to_string(&row).ok(),
        }
    }

    /// Removes the member row and saves the usage accounts, as the last write of this
    /// incarnation.
    pub(super) fn deregister(&mut self, now: Instant) {
        let usage = self.usage_row_write();
        self.submit_internal(Vec::new(), vec![usage], Completion::Ignore, now);
        self.commit_lane.begin_leave();
        if let Some(transaction) = self.commit_lane.poll(now) {
            self.effects.push(ControlEffect::Commit(transaction));
        }
    }

    pub(super) fn on_commit_reply(&mut self, reply: CommitReply, now: Instant) {
        let was_down = self.commit_lane.is_down();
        let jitter = self.random_unit();
        let outcomes = self.commit_lane.on_reply(reply, now, jitter);
        if was_down != self.commit_lane.is_down() {
            let state = if was_down { "answers again" } else { "does not answer" };
            warn!(target: PLATFORM, "Table service {state}.");
        }
        if self.commit_lane.is_expelled() {
            self.reregister();
        }
        self.complete_operations(outcomes, now);
        // Writes queued during the last transaction are sent without waiting for the next tick.
        if let Some(transaction) = self.commit_lane.poll(now) {
            self.counters.transactions += 1;
            self.effects.push(ControlEffect::Commit(transaction));
        }
    }

    /// Registers under a new incarnation after another node took over the member row.
    fn reregister(&mut self) {
        self.identity.incarnation = self.identity.incarnation.next();
        warn!(
            target: PLATFORM,
            "Member row was taken over, registering as incarnation {}.", self.identity.incarnation
        );
        self.commit_lane.renew_incarnation(self.identity.member_row());
        self.read_table();
    }

    fn complete_operations(
        &mut self,
        outcomes: Vec<(OperationId, OperationOutcome)>,
        now: Instant,
    ) {
        for (number, outcome) in outcomes {
            let found = self.pending_operations.binary_search_by_key(&number, |row| row.number);
            let Ok(at) = found else { continue };
            let completion = self.pending_operations.remove(at).completion;
            self.complete_operation(completion, outcome, now);
        }
    }

    fn complete_operation(
        &mut self,
        completion: Completion,
        outcome: OperationOutcome,
        now: Instant,
    ) {
        match completion {
            Completion::Request(reply) => {
                let lease_end = self.commit_lane.lease().expires_at();
                drop(reply.send(WriteReply { outcome, lease_end }));
            }
            Completion::StageChange => self.on_staged(outcome, now),
            Completion::AcceptChange => self.on_accepted(&outcome, now),
            Completion::DropStage(version) => self.on_dropped(version, &outcome),
            Completion::MarkLapsed(node) => self.on_marked_lapsed(&node, &outcome),
            Completion::TakeOver(row) => self.on_taken_over(*row, &outcome, now),
            Completion::ControllerLease(fence) => self.on_controller_claimed(fence, &outcome, now),
            Completion::SaveUsage(usage_total) => {
                if matches!(outcome, OperationOutcome::Committed(_)) {
                    self.saved_usage_total = usage_total;
                }
            }
            Completion::Ignore => {}
        }
    }

    pub(super) fn on_table_read(
        &mut self,
        sent_at: Instant,
        rows: Option<TableReadResult>,
        now: Instant,
    ) {
        let Some(rows) = rows else { return };
        self.apply_members(&rows, now);
        self.apply_config_rows(&rows, sent_at, now);
        self.freshness.record_table_read(sent_at);
        if self.commit_lane.needs_registration() {
            let key = member_key(&self.identity.name);
            let version = rows.find(&key).map_or(RowVersion(0), |stored| stored.version);
            info!(target: PLATFORM, "Registering as incarnation {}.", self.identity.incarnation);
            self.commit_lane.register(version);
        }
        self.advance_change_on_read(&rows, sent_at, now);
        self.check_leases(now);
        self.apply_controller_lease(rows.find(CONTROLLER_KEY), now);
    }

    fn apply_config_rows(&mut self, rows: &TableReadResult, sent_at: Instant, now: Instant) {
        let accepted = rows.find(CONFIG_KEY);
        let config: Option<ConfigRow> = accepted.and_then(parse_row);
        if accepted.is_some() && config.is_none() {
            error!(target: CONFIG, "Stored declaration can't be parsed.");
            return;
        }
        let version = config.as_ref().map(|row| row.version).unwrap_or_default();
        if version >= self.config.version() {
            self.config_row =
                Some((accepted.map_or(RowVersion(0), |stored| stored.version), version));
        }
        let staged = rows.find(STAGED_CONFIG_KEY).and_then(|stored| {
            let stage: StagedConfigRow = parse_row(stored)?;
            Some((stage, stored.version))
        });
        match self.config.apply_table_read(config, staged, sent_at, now) {
            Ok(true) => self.publish_config(),
            Ok(false) => {}
            Err(error) => error!(target: CONFIG, "Stored declaration is invalid: {error}."),
        }
    }

    fn apply_members(&mut self, rows: &TableReadResult, now: Instant) {
        let members = rows.rows.iter().filter(|stored| stored.key.starts_with(MEMBER_PREFIX));
        self.members = members
            .filter_map(|stored| {
                let row: MemberRow = parse_row(stored)?;
                Some(VersionedMember { row, version: stored.version })
            })
            .collect();
        self.members.sort_by(|a, b| a.row.node.cmp(&b.row.node));
        let others: Vec<MemberRow> = self
            .members
            .iter()
            .map(|member| member.row.clone())
            .filter(|row| row.node != self.identity.name)
            .collect();
        for row in others {
            if self.peers.find(&row.node).is_none() {
                self.greet(&row);
            }
            self.peers.upsert(&row, now);
        }
        let left = |member: &&VersionedMember| {
            self.peers
                .find(&member.row.node)
                .is_some_and(|peer| peer.left && peer.incarnation == member.row.incarnation)
        };
        let mut names: Vec<NodeName> = self
            .members
            .iter()
            .filter(|member| !left(member))
            .map(|member| member.row.node.clone())
            .collect();
        names.push(self.identity.name.clone());
        names.sort();
        names.dedup();
        self.peers.retain_members(&names, now);
        self.route.set_node_count(self.peers.alive(now).len() + 1);
        self.freshness.set_members(names);
    }

    /// Returns whether that incarnation of a node is registered and its lease has not lapsed.
    pub(super) fn is_registered(&self, node: &NodeName, incarnation: Incarnation) -> bool {
        if *node == self.identity.name {
            return incarnation == self.identity.incarnation;
        }
        self.members.iter().any(|member| {
            member.row.node == *node && member.row.incarnation == incarnation && !member.row.lapsed
        })
    }
}
