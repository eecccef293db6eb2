//! Configuration changes that this node coordinates.

use std::time::{Duration, Instant};

use log::{info, warn};
use samphiredeck_core::{
    config_change::{
        ChangeRound, ChangeStep, ConditionalWrites, accept_writes, drop_writes, stage_writes,
    },
    declaration::Declaration,
    group_commit::OperationOutcome,
    ids::{NodeName, RowVersion},
    patient::choose_successor,
    platform_api::{TableReadResult, VersionedRow},
    rows::{CONFIG_KEY, ConfigRow, STAGED_CONFIG_KEY, StagedConfigRow},
};
use samphiredeck_wire::message::{JsonText, PeerRequest};
use tokio::sync::oneshot;

use super::{ControlState, table::Completion, unix_seconds};
use crate::{
    event::{ChangeReply, ChangeRequest, ControlEffect, PeerRequestKind, parse_row},
    logging::CONFIG,
};

/// Time after which the operator is told that the outcome is still unknown.
const REPLY_TIMEOUT: Duration = Duration::from_secs(15);

/// Phase of the change in progress.
#[derive(Debug)]
enum ChangePhase {
    /// The configuration rows are read again before the stage is written.
    Reading { since: Instant },
    /// The stage is being written.
    Staging,
    /// The member rows are read again. `since` is the time at which the stage was committed.
    ReadingMembers { since: Instant },
    /// The members acknowledge the stage, or are told the outcome.
    Round(ChangeRound),
    /// The stage is being dropped.
    Dropping,
}

/// Change that this node coordinates.
#[derive(Debug)]
pub(super) struct ChangeInFlight {
    stage: StagedConfigRow,
    stage_version: RowVersion,
    phase: ChangePhase,
    /// Taken when the operator is answered.
    reply: Option<oneshot::Sender<ChangeReply>>,
    started_at: Instant,
    /// Members that did not acknowledge a stage that is being dropped.
    missing: Vec<NodeName>,
}

impl ChangeInFlight {
    fn send_reply(&mut self, reply: ChangeReply) {
        if let Some(sender) = self.reply.take() {
            drop(sender.send(reply));
        }
    }
}

impl ControlState {
    pub(super) fn start_change(
        &mut self,
        request: ChangeRequest,
        reply: oneshot::Sender<ChangeReply>,
        now: Instant,
    ) {
        if let Err(rejection) = self.validate_change(&request) {
            drop(reply.send(rejection));
            return;
        }
        let version = self.config.version().next();
        let change = format!("{}-{}-{version}", self.identity.name, self.identity.incarnation);
        let config = ConfigRow {
            version,
            change,
            author: request.author,
            note: request.note,
            accepted_at: unix_seconds(),
            declaration: request.declaration,
        };
        let stage = StagedConfigRow {
            coordinator: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            config,
        };
        self.change = Some(ChangeInFlight {
            stage,
            stage_version: RowVersion(0),
            phase: ChangePhase::Reading { since: now },
            reply: Some(reply),
            started_at: now,
            missing: Vec::new(),
        });
        self.read_table();
    }

    /// Checks whether the change may start. Returns the reply to the operator if it may not.
    fn validate_change(&self, request: &ChangeRequest) -> Result<(), ChangeReply> {
        if let Err(error) = Declaration::try_from(request.declaration.clone()) {
            return Err(ChangeReply::Invalid { reason: error.to_string() });
        }
        if self.commit_lane.is_down() || self.commit_lane.needs_registration() {
            return Err(ChangeReply::TableDown);
        }
        let pending = self.change.as_ref().map(|change| &change.stage).or(self.config.staged());
        if let Some(stage) = pending {
            return Err(ChangeReply::Busy { coordinator: stage.coordinator.clone() });
        }
        if request.expect.is_some_and(|expect| expect != self.config.version()) {
            return Err(self.conflict_with_in_force());
        }
        Ok(())
    }

    fn conflict_with_in_force(&self) -> ChangeReply {
        let row = self.config.in_force().map(|config| config.row.as_ref().clone());
        row.map_or(ChangeReply::TableDown, |row| ChangeReply::Conflict {
            version: row.version,
            author: row.author,
            note: row.note,
        })
    }

    /// Advances a change that waits for a read of the table sent after its phase began.
    pub(super) fn advance_change_on_read(
        &mut self,
        rows: &TableReadResult,
        sent_at: Instant,
        now: Instant,
    ) {
        let Some(change) = &self.change else {
            self.drop_orphan_stage(rows, now);
            return;
        };
        match change.phase {
            ChangePhase::Reading { since } if sent_at >= since => self.write_stage(now),
            ChangePhase::ReadingMembers { since } if sent_at >= since => self.start_round(now),
            _ => {}
        }
    }

    fn write_stage(&mut self, now: Instant) {
        let Some(mut change) = self.change.take() else { return };
        let Some((row, version)) = self.config_row else {
            change.send_reply(ChangeReply::TableDown);
            return;
        };
        if version.next() != change.stage.config.version {
            change.send_reply(self.conflict_with_in_force());
            return;
        }
        let ConditionalWrites { conditions, writes } = stage_writes(&change.stage, row);
        change.phase = ChangePhase::Staging;
        self.change = Some(change);
        self.submit_internal(conditions, writes, Completion::StageChange, now);
    }

    pub(super) fn on_staged(&mut self, outcome: OperationOutcome, now: Instant) {
        let Some(mut change) = self.change.take() else { return };
        match outcome {
            OperationOutcome::Committed(version) => {
                change.stage_version = version;
                change.phase = ChangePhase::ReadingMembers { since: now };
                let stage = change.stage.clone();
                self.change = Some(change);
                if let Err(error) = self.config.apply_stage(stage, version, now) {
                    warn!(target: CONFIG, "Own stage is invalid: {error}.");
                }
                self.read_table();
            }
            OperationOutcome::Conflict(rows) => {
                change.send_reply(self.conflict_with_rows(&rows));
            }
            OperationOutcome::NotCommitted => change.send_reply(ChangeReply::TableDown),
        }
    }

    /// Builds the reply for a change that lost to another one, from the rows that conflicted.
    fn conflict_with_rows(&self, rows: &[VersionedRow]) -> ChangeReply {
        let staged = rows.iter().find(|row| row.key == STAGED_CONFIG_KEY);
        let stage: Option<StagedConfigRow> = staged.and_then(parse_row);
        if let Some(stage) = stage {
            return ChangeReply::Busy { coordinator: stage.coordinator };
        }
        let accepted = rows.iter().find(|row| row.key == CONFIG_KEY);
        let winner: Option<ConfigRow> = accepted.and_then(parse_row);
        winner.map_or_else(
            || self.conflict_with_in_force(),
            |row| ChangeReply::Conflict {
                version: row.version,
                author: row.author,
                note: row.note,
            },
        )
    }

    fn start_round(&mut self, now: Instant) {
        let members = self.freshness.members().to_vec();
        if let Some(change) = &mut self.change {
            let round = ChangeRound::new(&members, &self.identity.name, now);
            change.phase = ChangePhase::Round(round);
        }
        self.tick_change(now);
    }

    pub(super) fn tick_change(&mut self, now: Instant) {
        let Some(change) = &mut self.change else { return };
        if now.saturating_duration_since(change.started_at) >= REPLY_TIMEOUT {
            let id = change.stage.config.change.clone();
            change.send_reply(ChangeReply::Unknown { change: id });
        }
        let ChangePhase::Round(round) = &mut change.phase else {
            self.expire_initial_read(now);
            return;
        };
        match round.step(now) {
            ChangeStep::Wait => {}
            ChangeStep::PushStage(members) => self.push_stage(&members),
            ChangeStep::PushAccepted(members) => self.push_accepted(&members),
            ChangeStep::Accept => self.write_acceptance(now),
            ChangeStep::Drop(missing) => self.write_drop(missing, now),
            ChangeStep::Finish(unconfirmed) => {
                let version = change.stage.config.version;
                info!(target: CONFIG, "Change to version {version} completed.");
                change.send_reply(ChangeReply::Accepted { version, unconfirmed });
                self.change = None;
            }
        }
    }

    /// Ends a change whose initial read got no reply in time. Nothing has been written by then.
    fn expire_initial_read(&mut self, now: Instant) {
        let Some(change) = &mut self.change else { return };
        let ChangePhase::Reading { since } = change.phase else { return };
        if now.saturating_duration_since(since) >= Duration::from_secs(3) {
            change.send_reply(ChangeReply::TableDown);
            self.change = None;
        }
    }

    fn push_stage(&mut self, members: &[NodeName]) {
        let Some(change) = &self.change else { return };
        let version = change.stage_version;
        let stage = JsonText::new(&change.stage);
        for member in members {
            let request = PeerRequest::Stage { stage: stage.clone(), version };
            self.call_peer(member, PeerRequestKind::Stage(version), request);
        }
    }

    fn push_accepted(&mut self, members: &[NodeName]) {
        let Some(change) = &self.change else { return };
        let version = change.stage.config.version;
        let config = JsonText::new(&change.stage.config);
        for member in members {
            let request = PeerRequest::Accepted { config: config.clone() };
            self.call_peer(member, PeerRequestKind::Accepted(version), request);
        }
    }

    fn write_acceptance(&mut self, now: Instant) {
        let Some(change) = &self.change else { return };
        let Some((row, _)) = self.config_row else { return };
        let ConditionalWrites { conditions, writes } =
            accept_writes(&change.stage, change.stage_version, row);
        self.submit_internal(conditions, writes, Completion::AcceptChange, now);
    }

    pub(super) fn on_accepted(&mut self, outcome: &OperationOutcome, now: Instant) {
        let Some(mut change) = self.change.take() else { return };
        match outcome {
            OperationOutcome::Committed(row) => {
                let config = change.stage.config.clone();
                self.config_row = Some((*row, config.version));
                match self.config.apply_accepted(config) {
                    Ok(true) => self.publish_config(),
                    Ok(false) => {}
                    Err(error) => warn!(target: CONFIG, "Own change is invalid: {error}."),
                }
                if let ChangePhase::Round(round) = &mut change.phase {
                    round.record_accepted(now);
                    round.record_in_force(&self.identity.name);
                }
                self.change = Some(change);
                self.tick_change(now);
            }
            OperationOutcome::Conflict(_) => {
                // Another node dropped the stage, so this version was never accepted.
                change.send_reply(ChangeReply::Unacknowledged { missing: Vec::new() });
            }
            OperationOutcome::NotCommitted => {
                self.change = Some(change);
                self.write_drop(Vec::new(), now);
            }
        }
    }

    fn write_drop(&mut self, missing: Vec<NodeName>, now: Instant) {
        let Some(change) = &mut self.change else { return };
        change.phase = ChangePhase::Dropping;
        change.missing = missing;
        let version = change.stage_version;
        let ConditionalWrites { conditions, writes } = drop_writes(version);
        self.submit_internal(conditions, writes, Completion::DropStage(version), now);
    }

    /// Handles the outcome of dropping a stage, of this node's own change or an orphaned one.
    pub(super) fn on_dropped(&mut self, version: RowVersion, outcome: &OperationOutcome) {
        let own = self.change.take_if(|change| change.stage_version == version);
        if !matches!(outcome, OperationOutcome::Committed(_)) {
            if let Some(mut change) = own {
                let change_id = change.stage.config.change.clone();
                change.send_reply(ChangeReply::Unknown { change: change_id });
            }
            return;
        }
        self.config.apply_dropped(version);
        if let Some(mut change) = own {
            let missing = std::mem::take(&mut change.missing);
            warn!(target: CONFIG, "Change dropped: not acknowledged by {missing:?}.");
            change.send_reply(ChangeReply::Unacknowledged { missing });
        }
        let peers: Vec<NodeName> = self.freshness.members().to_vec();
        for peer in peers {
            self.call_peer(&peer, PeerRequestKind::Dropped, PeerRequest::Dropped { version });
        }
    }

    /// Drops a stage whose coordinator is gone, or that this node has itself abandoned.
    fn drop_orphan_stage(&mut self, rows: &TableReadResult, now: Instant) {
        let Some(stored) = rows.find(STAGED_CONFIG_KEY) else { return };
        let Some(stage) = parse_row::<StagedConfigRow>(stored) else { return };
        let own = stage.coordinator == self.identity.name;
        if !own && self.is_registered(&stage.coordinator, stage.incarnation) {
            return;
        }
        let mut live = self.peers.alive(now);
        live.push(self.identity.name.clone());
        let successor = choose_successor(&stage.coordinator, &live);
        if !own && successor != Some(&self.identity.name) {
            return;
        }
        if self.commit_lane.is_settled() {
            info!(target: CONFIG, "Dropping the orphaned stage of node {}.", stage.coordinator);
            let ConditionalWrites { conditions, writes } = drop_writes(stored.version);
            self.submit_internal(conditions, writes, Completion::DropStage(stored.version), now);
        }
    }

    /// Records that a member acknowledged a stage.
    pub(super) fn record_stage_acknowledged(
        &mut self,
        node: &NodeName,
        version: RowVersion,
        now: Instant,
    ) {
        let Some(change) = &mut self.change else { return };
        if change.stage_version != version {
            return;
        }
        if let ChangePhase::Round(round) = &mut change.phase {
            round.record_acknowledged(node, now);
        }
        self.tick_change(now);
    }

    /// Records that a member has the accepted version in force.
    pub(super) fn record_in_force_reply(
        &mut self,
        node: &NodeName,
        version: samphiredeck_core::ids::ConfigVersion,
        now: Instant,
    ) {
        let Some(change) = &mut self.change else { return };
        if version < change.stage.config.version {
            return;
        }
        if let ChangePhase::Round(round) = &mut change.phase {
            round.record_in_force(node);
        }
        self.tick_change(now);
    }

    /// Records that a member left gracefully.
    pub(super) fn record_member_left(&mut self, node: &NodeName) {
        if let Some(change) = &mut self.change
            && let ChangePhase::Round(round) = &mut change.phase
        {
            round.record_left(node);
        }
    }

    /// Sends a request to a peer over TCP, if its address is known.
    pub(super) fn call_peer(
        &mut self,
        node: &NodeName,
        kind: PeerRequestKind,
        request: PeerRequest,
    ) {
        let Some(row) = self.peers.find(node) else { return };
        let Ok(to) = row.peer_address.parse() else { return };
        self.effects.push(ControlEffect::CallPeer { node: node.clone(), to, kind, request });
    }
}
