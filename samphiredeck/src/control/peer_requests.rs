//! Requests between nodes over TCP and the handling of their replies.

use std::{sync::Arc, time::Instant};

use log::{info, warn};
use samphiredeck_core::{
    config_change::StageResponse,
    ids::{NodeName, UpstreamId},
    rows::{ConfigRow, MemberRow, StagedConfigRow},
};
use samphiredeck_wire::{
    auth::MessageHeader,
    message::{JsonText, PeerReply, PeerRequest},
};
use tokio::sync::oneshot;

use super::{ControlState, runs::AdoptedRun};
use crate::{
    event::{AdoptedWork, ControlEffect, PeerRequestKind},
    logging::{CONFIG, PEER},
    run::{HandoverTarget, RunBuffer},
};

impl ControlState {
    pub(super) fn on_peer_request(
        &mut self,
        header: &MessageHeader,
        request: PeerRequest,
        reply: oneshot::Sender<PeerReply>,
        now: Instant,
    ) {
        let peer_reply = match self.replay_guard.accept(header) {
            Ok(()) => self.handle_peer_request(header, request, now),
            Err(error) => {
                self.counters.bad_messages += 1;
                PeerReply::Refused { reason: error.to_string() }
            }
        };
        drop(reply.send(peer_reply));
    }

    fn handle_peer_request(
        &mut self,
        header: &MessageHeader,
        request: PeerRequest,
        now: Instant,
    ) -> PeerReply {
        self.peers.record_message(&header.node, header.incarnation, None, now);
        match request {
            PeerRequest::Greet { member } => match member.parse() {
                Ok(row) => {
                    self.peers.upsert(&row, now);
                    PeerReply::Done
                }
                Err(error) => refused(&error),
            },
            PeerRequest::Leave => {
                if self.peers.mark_left(&header.node, header.incarnation) {
                    info!(target: PEER, "Node {} is leaving.", header.node);
                    self.freshness.remove_member(&header.node);
                    self.record_member_left(&header.node);
                }
                PeerReply::Done
            }
            PeerRequest::FetchState => self.state_reply(),
            PeerRequest::Stage { stage, version } => self.handle_stage(&stage, version, now),
            PeerRequest::Accepted { config } => self.handle_accepted(&config),
            PeerRequest::Dropped { version } => {
                self.config.apply_dropped(version);
                PeerReply::Done
            }
            PeerRequest::Handover { work, version } => match work.parse() {
                Ok(row) => self.accept_handover(row, version, now),
                Err(error) => refused(&error),
            },
        }
    }

    fn state_reply(&self) -> PeerReply {
        let stage = self.config.staged();
        PeerReply::State {
            config: self.config.in_force().map(|config| JsonText::new(config.row.as_ref())),
            stage: stage.map(|stage| (JsonText::new(stage), self.config.stage_version())),
            leaving_upstreams: self.leaving_marks.all(),
            members: self.members.iter().map(|member| JsonText::new(&member.row)).collect(),
        }
    }

    fn handle_stage(
        &mut self,
        stage: &JsonText<StagedConfigRow>,
        version: samphiredeck_core::ids::RowVersion,
        now: Instant,
    ) -> PeerReply {
        let stage = match stage.parse() {
            Ok(stage) => stage,
            Err(error) => return refused(&error),
        };
        match self.config.apply_stage(stage, version, now) {
            Ok(StageResponse::Acknowledged) => PeerReply::Acknowledged,
            Ok(StageResponse::Behind) => PeerReply::Behind,
            Ok(StageResponse::Superseded) => PeerReply::InForce { version: self.config.version() },
            Err(error) => PeerReply::Refused { reason: error.to_string() },
        }
    }

    fn handle_accepted(&mut self, config: &JsonText<ConfigRow>) -> PeerReply {
        match config.parse() {
            Ok(row) => self.apply_accepted_config(row),
            Err(error) => warn!(target: CONFIG, "Accepted declaration can't be parsed: {error}."),
        }
        PeerReply::InForce { version: self.config.version() }
    }

    fn apply_accepted_config(&mut self, row: ConfigRow) {
        match self.config.apply_accepted(row) {
            Ok(true) => self.publish_config(),
            Ok(false) => {}
            Err(error) => warn!(target: CONFIG, "Accepted declaration is invalid: {error}."),
        }
    }

    /// Accepts work that another node hands over.
    fn accept_handover(
        &mut self,
        row: samphiredeck_core::rows::WorkRow,
        version: samphiredeck_core::ids::RowVersion,
        now: Instant,
    ) -> PeerReply {
        if self.phase != super::StopPhase::Serving {
            return PeerReply::Refused { reason: "stopping".to_owned() };
        }
        self.counters.handed_in += 1;
        let request = row.request.clone();
        self.resume_work(row, version, now);
        PeerReply::Taken { request }
    }

    /// Resumes work that another node owned.
    pub(super) fn resume_work(
        &mut self,
        row: samphiredeck_core::rows::WorkRow,
        version: samphiredeck_core::ids::RowVersion,
        now: Instant,
    ) {
        let buffer = Arc::new(RunBuffer::new(row.request.clone(), row.text.clone(), row.tokens));
        self.adopted_runs.push(AdoptedRun {
            request_id: row.request.clone(),
            workspace: row.workspace.clone(),
            buffer: Arc::clone(&buffer),
            adopted_at: now,
        });
        let work = AdoptedWork { row, version, buffer };
        self.effects.push(ControlEffect::ResumeWork(Box::new(work)));
    }

    pub(super) fn on_peer_reply(
        &mut self,
        node: &NodeName,
        kind: &PeerRequestKind,
        reply: Option<PeerReply>,
        now: Instant,
    ) {
        let Some(reply) = reply else { return };
        match (kind, reply) {
            (PeerRequestKind::Stage(version), PeerReply::Acknowledged) => {
                self.record_stage_acknowledged(node, *version, now);
            }
            (_, PeerReply::InForce { version }) => self.record_in_force_reply(node, version, now),
            (_, PeerReply::State { config, stage, leaving_upstreams: marks, members }) => {
                self.apply_peer_state(config, stage, marks, &members, now);
            }
            (kind, PeerReply::Refused { reason }) => {
                warn!(target: PEER, "Node {node} refused {kind:?}: {reason}.");
            }
            _ => {}
        }
    }

    fn apply_peer_state(
        &mut self,
        config: Option<JsonText<ConfigRow>>,
        stage: Option<(JsonText<StagedConfigRow>, samphiredeck_core::ids::RowVersion)>,
        marks: Vec<UpstreamId>,
        members: &[JsonText<MemberRow>],
        now: Instant,
    ) {
        if let Some(Ok(row)) = config.map(|text| text.parse()) {
            self.apply_accepted_config(row);
        }
        if let Some((text, version)) = stage
            && let Ok(stage) = text.parse()
            && let Err(error) = self.config.apply_stage(stage, version, now)
        {
            warn!(target: CONFIG, "Stage from a peer is invalid: {error}.");
        }
        for id in marks {
            self.apply_leaving_mark(&id, now);
        }
        if self.members.is_empty() {
            self.apply_peer_members(members, now);
        }
    }

    /// Takes the member list from a peer. Used only while no member row has been read from the
    /// table.
    fn apply_peer_members(&mut self, members: &[JsonText<MemberRow>], now: Instant) {
        let mut names = vec![self.identity.name.clone()];
        for row in members.iter().filter_map(|text| text.parse().ok()) {
            let row: MemberRow = row;
            if row.node == self.identity.name {
                continue;
            }
            names.push(row.node.clone());
            if self.peers.find(&row.node).is_none() {
                self.greet(&row);
            }
            self.peers.upsert(&row, now);
        }
        self.freshness.set_members(names);
    }

    /// Lists the live nodes that open runs can be handed over to.
    pub(super) fn handover_targets(&self, now: Instant) -> Vec<HandoverTarget> {
        let rows = self.peers.rows().iter().filter(|row| row.is_alive(now));
        rows.filter_map(|row| {
            let address = row.peer_address.parse().ok()?;
            Some(HandoverTarget { node: row.node.clone(), address })
        })
        .collect()
    }
}

fn refused(error: &serde_json::Error) -> PeerReply {
    PeerReply::Refused { reason: error.to_string() }
}
