//! Changes of the declaration that this node coordinates.

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

use super::{ControlState, table::Waiter, unix_seconds};
use crate::{
    event::{ChangeAsk, ChangeReply, ControlEffect, PeerCallKind, parse_row},
    logging::CONFIG,
};

/// Time after which an operator is told that the outcome is not known yet.
const ANSWER_WITHIN: Duration = Duration::from_secs(15);

/// How far the change under way has come.
#[derive(Debug)]
enum ChangeStage {
    /// The configuration rows are read once more before the stage is written.
    Reading { since: Instant },
    /// The stage is being written.
    Staging,
    /// The members are read after the stage was written at this time.
    Counting { since: Instant },
    /// The members acknowledge, or get to know the outcome.
    Round(ChangeRound),
    /// The stage is being dropped.
    Dropping,
}

/// Change that this node coordinates.
#[derive(Debug)]
pub(super) struct ChangeInFlight {
    stage: StagedConfigRow,
    stage_version: RowVersion,
    progress: ChangeStage,
    /// Dropped once the operator is answered.
    reply: Option<oneshot::Sender<ChangeReply>>,
    begun_at: Instant,
    /// Members that did not acknowledge a stage that is being dropped.
    missing: Vec<NodeName>,
}

impl ChangeInFlight {
    fn answer(&mut self, reply: ChangeReply) {
        if let Some(sender) = self.reply.take() {
            drop(sender.send(reply));
        }
    }
}

impl ControlState {
    pub(super) fn begin_change(
        &mut self,
        ask: ChangeAsk,
        reply: oneshot::Sender<ChangeReply>,
        now: Instant,
    ) {
        if let Err(answer) = self.check_change(&ask) {
            drop(reply.send(answer));
            return;
        }
        let version = self.holding.version().next();
        let change = format!("{}-{}-{version}", self.identity.name, self.identity.incarnation);
        let config = ConfigRow {
            version,
            change,
            author: ask.author,
            note: ask.note,
            accepted_at: unix_seconds(),
            declaration: ask.declaration,
        };
        let stage = StagedConfigRow {
            coordinator: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            config,
        };
        self.change = Some(ChangeInFlight {
            stage,
            stage_version: RowVersion(0),
            progress: ChangeStage::Reading { since: now },
            reply: Some(reply),
            begun_at: now,
            missing: Vec::new(),
        });
        self.read_table();
    }

    /// Whether the change may begin.
    fn check_change(&self, ask: &ChangeAsk) -> Result<(), ChangeReply> {
        if let Err(error) = Declaration::try_from(ask.declaration.clone()) {
            return Err(ChangeReply::Invalid { reason: error.to_string() });
        }
        if self.lane.is_down() || self.lane.needs_registration() {
            return Err(ChangeReply::TableDown);
        }
        let busy = self.change.as_ref().map(|change| &change.stage).or(self.holding.staged());
        if let Some(stage) = busy {
            return Err(ChangeReply::Busy { coordinator: stage.coordinator.clone() });
        }
        if ask.expect.is_some_and(|expect| expect != self.holding.version()) {
            return Err(self.conflict());
        }
        Ok(())
    }

    fn conflict(&self) -> ChangeReply {
        let row = self.holding.in_force().map(|config| config.row.as_ref().clone());
        row.map_or(ChangeReply::TableDown, |row| ChangeReply::Conflict {
            version: row.version,
            author: row.author,
            note: row.note,
        })
    }

    /// Goes on with a change that waits for a read of the table.
    pub(super) fn on_read_for_change(
        &mut self,
        rows: &TableReadResult,
        asked_at: Instant,
        now: Instant,
    ) {
        let Some(change) = &self.change else {
            self.drop_orphan_stage(rows, now);
            return;
        };
        match change.progress {
            ChangeStage::Reading { since } if asked_at >= since => self.write_stage(now),
            ChangeStage::Counting { since } if asked_at >= since => self.begin_round(now),
            _ => {}
        }
    }

    fn write_stage(&mut self, now: Instant) {
        let Some(mut change) = self.change.take() else { return };
        let Some((row, version)) = self.config_row else {
            change.answer(ChangeReply::TableDown);
            return;
        };
        if version.next() != change.stage.config.version {
            change.answer(self.conflict());
            return;
        }
        let ConditionalWrites { conditions, writes } = stage_writes(&change.stage, row);
        change.progress = ChangeStage::Staging;
        self.change = Some(change);
        self.offer_own(conditions, writes, Waiter::Stage, now);
    }

    pub(super) fn on_staged(&mut self, outcome: OperationOutcome, now: Instant) {
        let Some(mut change) = self.change.take() else { return };
        match outcome {
            OperationOutcome::Committed(version) => {
                change.stage_version = version;
                change.progress = ChangeStage::Counting { since: now };
                let stage = change.stage.clone();
                self.change = Some(change);
                if let Err(error) = self.holding.apply_stage(stage, version, now) {
                    warn!(target: CONFIG, "Own stage is refused: {error}.");
                }
                self.read_table();
            }
            OperationOutcome::Conflict(rows) => {
                change.answer(self.explain_conflict(&rows));
            }
            OperationOutcome::NotCommitted => change.answer(ChangeReply::TableDown),
        }
    }

    /// Tells the operator who was first.
    fn explain_conflict(&self, rows: &[VersionedRow]) -> ChangeReply {
        let staged = rows.iter().find(|row| row.key == STAGED_CONFIG_KEY);
        let stage: Option<StagedConfigRow> = staged.and_then(parse_row);
        if let Some(stage) = stage {
            return ChangeReply::Busy { coordinator: stage.coordinator };
        }
        let accepted = rows.iter().find(|row| row.key == CONFIG_KEY);
        let winner: Option<ConfigRow> = accepted.and_then(parse_row);
        winner.map_or_else(
            || self.conflict(),
            |row| ChangeReply::Conflict {
                version: row.version,
                author: row.author,
                note: row.note,
            },
        )
    }

    fn begin_round(&mut self, now: Instant) {
        let members = self.gate.members().to_vec();
        if let Some(change) = &mut self.change {
            let round = ChangeRound::new(&members, &self.identity.name, now);
            change.progress = ChangeStage::Round(round);
        }
        self.tick_change(now);
    }

    pub(super) fn tick_change(&mut self, now: Instant) {
        let Some(change) = &mut self.change else { return };
        if now.saturating_duration_since(change.begun_at) >= ANSWER_WITHIN {
            let id = change.stage.config.change.clone();
            change.answer(ChangeReply::Unknown { change: id });
        }
        let ChangeStage::Round(round) = &mut change.progress else {
            self.abandon_unread(now);
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
                info!(target: CONFIG, "Change to version {version} is through.");
                change.answer(ChangeReply::Accepted { version, unconfirmed });
                self.change = None;
            }
        }
    }

    /// Ends a change whose first read never came back. Nothing was written yet.
    fn abandon_unread(&mut self, now: Instant) {
        let Some(change) = &mut self.change else { return };
        let ChangeStage::Reading { since } = change.progress else { return };
        if now.saturating_duration_since(since) >= Duration::from_secs(3) {
            change.answer(ChangeReply::TableDown);
            self.change = None;
        }
    }

    fn push_stage(&mut self, members: &[NodeName]) {
        let Some(change) = &self.change else { return };
        let version = change.stage_version;
        let stage = JsonText::new(&change.stage);
        for member in members {
            let request = PeerRequest::Stage { stage: stage.clone(), version };
            self.ask_peer(member, PeerCallKind::Stage(version), request);
        }
    }

    fn push_accepted(&mut self, members: &[NodeName]) {
        let Some(change) = &self.change else { return };
        let version = change.stage.config.version;
        let config = JsonText::new(&change.stage.config);
        for member in members {
            let request = PeerRequest::Accepted { config: config.clone() };
            self.ask_peer(member, PeerCallKind::Accepted(version), request);
        }
    }

    fn write_acceptance(&mut self, now: Instant) {
        let Some(change) = &self.change else { return };
        let Some((row, _)) = self.config_row else { return };
        let ConditionalWrites { conditions, writes } =
            accept_writes(&change.stage, change.stage_version, row);
        self.offer_own(conditions, writes, Waiter::Accept, now);
    }

    pub(super) fn on_accepted(&mut self, outcome: &OperationOutcome, now: Instant) {
        let Some(mut change) = self.change.take() else { return };
        match outcome {
            OperationOutcome::Committed(row) => {
                let config = change.stage.config.clone();
                self.config_row = Some((*row, config.version));
                match self.holding.apply_accepted(config) {
                    Ok(true) => self.publish_config(),
                    Ok(false) => {}
                    Err(error) => warn!(target: CONFIG, "Own change is refused: {error}."),
                }
                if let ChangeStage::Round(round) = &mut change.progress {
                    round.record_accepted(now);
                    round.record_in_force(&self.identity.name);
                }
                self.change = Some(change);
                self.tick_change(now);
            }
            OperationOutcome::Conflict(_) => {
                // Another node dropped the stage, so this version was never accepted.
                change.answer(ChangeReply::Unacknowledged { missing: Vec::new() });
            }
            OperationOutcome::NotCommitted => {
                self.change = Some(change);
                self.write_drop(Vec::new(), now);
            }
        }
    }

    fn write_drop(&mut self, missing: Vec<NodeName>, now: Instant) {
        let Some(change) = &mut self.change else { return };
        change.progress = ChangeStage::Dropping;
        change.missing = missing;
        let version = change.stage_version;
        let ConditionalWrites { conditions, writes } = drop_writes(version);
        self.offer_own(conditions, writes, Waiter::DropStage(version), now);
    }

    /// Takes in that a stage was dropped, by this node's own change or for another's.
    pub(super) fn on_dropped(&mut self, version: RowVersion, outcome: &OperationOutcome) {
        let own = self.change.take_if(|change| change.stage_version == version);
        if !matches!(outcome, OperationOutcome::Committed(_)) {
            if let Some(mut change) = own {
                let change_id = change.stage.config.change.clone();
                change.answer(ChangeReply::Unknown { change: change_id });
            }
            return;
        }
        self.holding.apply_dropped(version);
        if let Some(mut change) = own {
            let missing = std::mem::take(&mut change.missing);
            warn!(target: CONFIG, "Change dropped, not acknowledged by {missing:?}.");
            change.answer(ChangeReply::Unacknowledged { missing });
        }
        let peers: Vec<NodeName> = self.gate.members().to_vec();
        for peer in peers {
            self.ask_peer(&peer, PeerCallKind::Dropped, PeerRequest::Dropped { version });
        }
    }

    /// Drops a stage whose coordinator is gone, or that this run itself has given up.
    fn drop_orphan_stage(&mut self, rows: &TableReadResult, now: Instant) {
        let Some(view) = rows.find(STAGED_CONFIG_KEY) else { return };
        let Some(stage) = parse_row::<StagedConfigRow>(view) else { return };
        let own = stage.coordinator == self.identity.name;
        if !own && self.is_registered(&stage.coordinator, stage.incarnation) {
            return;
        }
        let mut live = self.peers.alive(now);
        live.push(self.identity.name.clone());
        let taker = choose_successor(&stage.coordinator, &live);
        if !own && taker != Some(&self.identity.name) {
            return;
        }
        if self.lane.is_settled() {
            info!(target: CONFIG, "Dropping the stage of {}.", stage.coordinator);
            let ConditionalWrites { conditions, writes } = drop_writes(view.version);
            self.offer_own(conditions, writes, Waiter::DropStage(view.version), now);
        }
    }

    /// Notes that a member acknowledged a stage.
    pub(super) fn note_stage_answer(&mut self, node: &NodeName, version: RowVersion, now: Instant) {
        let Some(change) = &mut self.change else { return };
        if change.stage_version != version {
            return;
        }
        if let ChangeStage::Round(round) = &mut change.progress {
            round.record_acknowledged(node, now);
        }
        self.tick_change(now);
    }

    /// Notes that a member has the accepted version in force.
    pub(super) fn note_force_answer(
        &mut self,
        node: &NodeName,
        version: samphiredeck_core::ids::ConfigVersion,
        now: Instant,
    ) {
        let Some(change) = &mut self.change else { return };
        if version < change.stage.config.version {
            return;
        }
        if let ChangeStage::Round(round) = &mut change.progress {
            round.record_in_force(node);
        }
        self.tick_change(now);
    }

    /// Notes that a member left in order.
    pub(super) fn note_left_for_change(&mut self, node: &NodeName) {
        if let Some(change) = &mut self.change
            && let ChangeStage::Round(round) = &mut change.progress
        {
            round.record_left(node);
        }
    }

    /// Asks a peer over TCP, if its address is known.
    pub(super) fn ask_peer(&mut self, node: &NodeName, kind: PeerCallKind, request: PeerRequest) {
        let Some(row) = self.peers.find(node) else { return };
        let Ok(to) = row.peer_address.parse() else { return };
        self.effects.push(ControlEffect::AskPeer { node: node.clone(), to, kind, request });
    }
}
