//! The commit lane, the regular reads of the table service, and who waits for what.

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

use super::{ControlState, TABLE_PERIOD, is_due};
use crate::{
    event::{ControlEffect, MemberSeen, WriteAsk, WriteReply, parse_row},
    logging::{CONFIG, PLATFORM},
};

/// Time between two saves of the accounts.
const USAGE_PERIOD: Duration = Duration::from_secs(5);
/// Time after which an operation of the node itself is given up.
const OWN_GIVE_UP: Duration = Duration::from_secs(10);

/// Who waits for an operation.
#[derive(Debug)]
pub(super) enum Waiter {
    /// A request.
    Request(oneshot::Sender<WriteReply>),
    /// The stage of the change under way.
    Stage,
    /// The acceptance of the change under way.
    Accept,
    /// The end of a stage that is not accepted.
    DropStage(RowVersion),
    /// The mark on the row of a node whose lease has lapsed.
    MarkLapsed(NodeName),
    /// The takeover of recorded work.
    TakeOver(Box<WorkRow>),
    /// The lease on placement.
    Controller(samphiredeck_core::ids::FencingToken),
    /// The save of the accounts that sum up to this number of tokens.
    Usage(u64),
    /// Nobody.
    Nobody,
}

/// One operation that somebody waits for.
#[derive(Debug)]
pub(super) struct WaiterRow {
    number: OperationId,
    waiter: Waiter,
}

impl ControlState {
    /// Lets an operation of the node itself wait for the next transaction.
    pub(super) fn offer_own(
        &mut self,
        conditions: Vec<RowCondition>,
        writes: Vec<RowWrite>,
        waiter: Waiter,
        now: Instant,
    ) {
        self.offer(conditions, writes, now + OWN_GIVE_UP, waiter);
    }

    fn offer(
        &mut self,
        conditions: Vec<RowCondition>,
        writes: Vec<RowWrite>,
        give_up_at: Instant,
        waiter: Waiter,
    ) {
        self.last_operation += 1;
        let number = OperationId(self.last_operation);
        self.waiters.push(WaiterRow { number, waiter });
        let operation = CommitOperation { number, conditions, writes, give_up_at };
        if self.lane.enqueue(operation).is_err() {
            warn!(target: PLATFORM, "Too many writes wait, one is refused.");
            self.give_up_later(number);
        }
    }

    fn give_up_later(&mut self, number: OperationId) {
        // The row is the newest one.
        if let Some(row) = self.waiters.pop_if(|row| row.number == number)
            && let Waiter::Request(reply) = row.waiter
        {
            let outcome = OperationOutcome::NotCommitted;
            drop(reply.send(WriteReply { outcome, lease_end: None }));
        }
    }

    /// Takes a write on behalf of a request. While the table is down it is refused at once.
    pub(super) fn offer_write(&mut self, ask: WriteAsk, reply: oneshot::Sender<WriteReply>) {
        if self.lane.is_down() {
            let outcome = OperationOutcome::NotCommitted;
            drop(reply.send(WriteReply { outcome, lease_end: None }));
            return;
        }
        self.offer(ask.conditions, ask.writes, ask.give_up_at, Waiter::Request(reply));
    }

    /// Whether no write waits or is in flight, but for the regular ones.
    pub(super) fn lane_is_settled(&self) -> bool {
        self.lane.is_settled() || self.lane.is_down()
    }

    pub(super) fn tick_table(&mut self, now: Instant) {
        let expired = self.lane.expire(now);
        self.settle_operations(expired, now);
        if is_due(&mut self.times.usage, USAGE_PERIOD, now) {
            self.save_usage(now);
        }
        if let Some(transaction) = self.lane.poll(now) {
            self.counters.transactions += 1;
            self.effects.push(ControlEffect::Commit(transaction));
        }
        if is_due(&mut self.times.table, TABLE_PERIOD, now) {
            self.read_table();
        }
    }

    /// Reads the configuration and member rows.
    pub(super) fn read_table(&mut self) {
        self.counters.table_reads += 1;
        self.effects.push(ControlEffect::ReadTable);
    }

    fn usage_sum(&self) -> u64 {
        self.accounts.rows().iter().map(|row| row.prompt + row.generated + row.answers).sum()
    }

    fn save_usage(&mut self, now: Instant) {
        let sum = self.usage_sum();
        if sum == self.usage_saved || self.lane.is_down() {
            return;
        }
        let write = self.usage_write();
        self.offer_own(Vec::new(), vec![write], Waiter::Usage(sum), now);
    }

    fn usage_write(&self) -> RowWrite {
        let row = UsageRow { accounts: self.accounts.rows().to_vec() };
        RowWrite {
            key: usage_key(&self.identity.name, self.identity.incarnation),
            value: serde_json::to_string(&row).ok(),
        }
    }

    /// Gives back the member row, with the accounts, as the last write of this run.
    pub(super) fn deregister(&mut self, now: Instant) {
        let usage = self.usage_write();
        self.offer_own(Vec::new(), vec![usage], Waiter::Nobody, now);
        self.lane.begin_leave();
        if let Some(transaction) = self.lane.poll(now) {
            self.effects.push(ControlEffect::Commit(transaction));
        }
    }

    pub(super) fn on_lane_reply(&mut self, reply: CommitReply, now: Instant) {
        let was_down = self.lane.is_down();
        let noise = self.draw();
        let outcomes = self.lane.on_reply(reply, now, noise);
        if was_down != self.lane.is_down() {
            let state = if was_down { "answers again" } else { "does not answer" };
            warn!(target: PLATFORM, "The table service {state}.");
        }
        if self.lane.is_expelled() {
            self.start_over();
        }
        self.settle_operations(outcomes, now);
        // What waited during the flight goes out without waiting for the next tick.
        if let Some(transaction) = self.lane.poll(now) {
            self.counters.transactions += 1;
            self.effects.push(ControlEffect::Commit(transaction));
        }
    }

    /// Registers anew after the member row was taken from this run.
    fn start_over(&mut self) {
        self.identity.incarnation = self.identity.incarnation.next();
        warn!(
            target: PLATFORM,
            "The member row was taken, registering as run {}.", self.identity.incarnation
        );
        self.lane.renew_incarnation(self.identity.member_row());
        self.read_table();
    }

    fn settle_operations(&mut self, outcomes: Vec<(OperationId, OperationOutcome)>, now: Instant) {
        for (number, outcome) in outcomes {
            let found = self.waiters.binary_search_by_key(&number, |row| row.number);
            let Ok(at) = found else { continue };
            let waiter = self.waiters.remove(at).waiter;
            self.settle_one(waiter, outcome, now);
        }
    }

    fn settle_one(&mut self, waiter: Waiter, outcome: OperationOutcome, now: Instant) {
        match waiter {
            Waiter::Request(reply) => {
                let lease_end = self.lane.lease().expires_at();
                drop(reply.send(WriteReply { outcome, lease_end }));
            }
            Waiter::Stage => self.on_staged(outcome, now),
            Waiter::Accept => self.on_accepted(&outcome, now),
            Waiter::DropStage(version) => self.on_dropped(version, &outcome),
            Waiter::MarkLapsed(node) => self.on_marked_lapsed(&node, &outcome),
            Waiter::TakeOver(row) => self.on_taken_over(*row, &outcome),
            Waiter::Controller(fence) => self.on_controller(fence, &outcome, now),
            Waiter::Usage(sum) => {
                if matches!(outcome, OperationOutcome::Committed(_)) {
                    self.usage_saved = sum;
                }
            }
            Waiter::Nobody => {}
        }
    }

    pub(super) fn on_table_read(
        &mut self,
        asked_at: Instant,
        rows: Option<TableReadResult>,
        now: Instant,
    ) {
        let Some(rows) = rows else { return };
        self.learn_members(&rows, now);
        self.learn_config(&rows, asked_at, now);
        self.gate.record_table_read(asked_at);
        if self.lane.needs_registration() {
            let key = member_key(&self.identity.name);
            let version = rows.find(&key).map_or(RowVersion(0), |view| view.version);
            info!(target: PLATFORM, "Registering as run {}.", self.identity.incarnation);
            self.lane.register(version);
        }
        self.on_read_for_change(&rows, asked_at, now);
        self.watch_leases(now);
        self.learn_controller(rows.find(CONTROLLER_KEY), now);
    }

    fn learn_config(&mut self, rows: &TableReadResult, asked_at: Instant, now: Instant) {
        let accepted = rows.find(CONFIG_KEY);
        let config: Option<ConfigRow> = accepted.and_then(parse_row);
        if accepted.is_some() && config.is_none() {
            error!(target: CONFIG, "The accepted declaration can't be read.");
            return;
        }
        let version = config.as_ref().map(|row| row.version).unwrap_or_default();
        if version >= self.holding.version() {
            self.config_row = Some((accepted.map_or(RowVersion(0), |view| view.version), version));
        }
        let staged = rows.find(STAGED_CONFIG_KEY).and_then(|view| {
            let stage: StagedConfigRow = parse_row(view)?;
            Some((stage, view.version))
        });
        match self.holding.apply_table_read(config, staged, asked_at, now) {
            Ok(true) => self.publish_config(),
            Ok(false) => {}
            Err(error) => error!(target: CONFIG, "A declaration is refused: {error}."),
        }
    }

    fn learn_members(&mut self, rows: &TableReadResult, now: Instant) {
        let members = rows.rows.iter().filter(|view| view.key.starts_with(MEMBER_PREFIX));
        self.members = members
            .filter_map(|view| {
                let row: MemberRow = parse_row(view)?;
                Some(MemberSeen { row, version: view.version })
            })
            .collect();
        self.members.sort_by(|a, b| a.row.node.cmp(&b.row.node));
        let others: Vec<MemberRow> = self
            .members
            .iter()
            .map(|seen| seen.row.clone())
            .filter(|row| row.node != self.identity.name)
            .collect();
        for row in others {
            if self.peers.find(&row.node).is_none() {
                self.greet(&row);
            }
            self.peers.upsert(&row, now);
        }
        let left = |seen: &&MemberSeen| {
            self.peers
                .find(&seen.row.node)
                .is_some_and(|peer| peer.left && peer.incarnation == seen.row.incarnation)
        };
        let mut names: Vec<NodeName> = self
            .members
            .iter()
            .filter(|seen| !left(seen))
            .map(|seen| seen.row.node.clone())
            .collect();
        names.push(self.identity.name.clone());
        names.sort();
        names.dedup();
        self.peers.retain_members(&names, now);
        self.route.set_node_count(self.peers.alive(now).len() + 1);
        self.gate.set_members(names);
    }

    /// Whether that run of a node is registered and its lease was not taken.
    pub(super) fn is_registered(&self, node: &NodeName, incarnation: Incarnation) -> bool {
        if *node == self.identity.name {
            return incarnation == self.identity.incarnation;
        }
        self.members.iter().any(|seen| {
            seen.row.node == *node && seen.row.incarnation == incarnation && !seen.row.lapsed
        })
    }
}
