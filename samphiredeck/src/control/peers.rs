//! Heartbeats, questions between nodes, and what they tell.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use log::{info, warn};
use samphiredeck_core::{
    config_change::StageAnswer,
    flight::{FlightEntry, own_flights},
    hint::PlacedHint,
    ids::{Incarnation, NodeName, UpstreamId},
    membership::{HEARTBEAT_PERIOD, PeerDigest},
    rows::{ConfigRow, MemberRow, StageRow},
    upstream::FlightCount,
};
use samphiredeck_wire::{
    message::{DATAGRAM_MAX, HeartbeatBody, JsonText, PeerDatagram, PeerReply, PeerRequest},
    seal::{SenderStamp, open, seal},
};
use tokio::sync::oneshot;

use super::{ControlState, fleet::UNTOLD_NOTICE, is_due};
use crate::{
    event::{ControlEffect, PeerCallKind, TakenWork},
    logging::{CONFIG, PEER},
    run::{PeerTarget, RunBuffer},
};

/// Time after which an unanswered ping is forgotten.
const PING_LIFETIME: Duration = Duration::from_secs(3);
/// Time without any answer after which another local port is used.
const REBIND_AFTER: Duration = Duration::from_secs(3);
/// Time between two questions for a state that is behind.
const FETCH_PERIOD: Duration = Duration::from_millis(200);
/// Most probes that are remembered.
const PROBES_MAX: usize = 256;
/// Nodes that a suspect is probed through.
const PROBE_HELPERS: usize = 2;

/// Unanswered ping.
#[derive(Debug)]
pub(super) struct PingRow {
    number: u64,
    node: NodeName,
    asked_at: Instant,
}

/// Ping on behalf of another node.
#[derive(Debug)]
pub(super) struct ProbeRow {
    number: u64,
    asker: NodeName,
    asked_at: Instant,
}

impl ControlState {
    /// Next counter of this run, which never repeats.
    fn next_counter(&mut self) -> u64 {
        self.last_counter += 1;
        self.last_counter
    }

    /// Stamp of a message to `receiver`.
    pub fn stamp(&mut self, receiver: &NodeName) -> SenderStamp {
        SenderStamp {
            node: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            counter: self.next_counter(),
            receiver: receiver.clone(),
        }
    }

    fn heartbeat_body(&mut self) -> HeartbeatBody {
        let open = self.queue.len() + self.queue.in_flight() as usize;
        HeartbeatBody {
            version: self.holding.version(),
            stage: self.holding.stage_version(),
            load: u32::try_from(open).unwrap_or(u32::MAX),
            flights: own_flights(self.upstreams.rows())
                .into_iter()
                .map(|entry| (entry.upstream, entry.count.all, entry.count.patient))
                .collect(),
            hints: self
                .hints
                .take_batch()
                .into_iter()
                .map(|hint| (hint.block, hint.upstream))
                .collect(),
            marks: self.marks.take_batch(),
            marks_digest: self.marks.digest(),
        }
    }

    fn send_datagram(&mut self, node: &NodeName, address: &str, datagram: &PeerDatagram) {
        let Ok(to) = address.parse::<SocketAddr>() else { return };
        let stamp = self.stamp(node);
        match seal(&self.identity.key, &stamp, datagram) {
            Ok(bytes) if bytes.len() <= DATAGRAM_MAX => {
                self.counters.datagrams_sent += 1;
                self.counters.datagram_bytes += bytes.len() as u64;
                self.effects.push(ControlEffect::Send { to, bytes });
            }
            Ok(bytes) => warn!(target: PEER, "A datagram of {} bytes is too large.", bytes.len()),
            Err(error) => warn!(target: PEER, "A datagram can't be sealed: {error}."),
        }
    }

    pub(super) fn tick_peers(&mut self, now: Instant) {
        self.ask_seeds(now);
        if !is_due(&mut self.times.heartbeat, HEARTBEAT_PERIOD, now) {
            return;
        }
        self.pings.retain(|ping| now.saturating_duration_since(ping.asked_at) < PING_LIFETIME);
        self.probes.retain(|row| now.saturating_duration_since(row.asked_at) < PING_LIFETIME);
        let targets = self.peers.next_targets();
        for target in &targets {
            self.ping(&target.node, &target.peer_address, now);
        }
        self.spread_flights(now);
        self.hints.expire(now);
        self.probe_suspects(now);
        self.rebind_if_silent(now);
    }

    fn ping(&mut self, node: &NodeName, address: &str, now: Instant) -> u64 {
        let number = self.next_counter();
        let body = self.heartbeat_body();
        self.send_datagram(node, address, &PeerDatagram::Ping { number, body });
        self.pings.push(PingRow { number, node: node.clone(), asked_at: now });
        number
    }

    /// Asks others to ping the nodes that are silent towards this one.
    fn probe_suspects(&mut self, now: Instant) {
        let helpers: Vec<_> = self
            .peers
            .rows()
            .iter()
            .filter(|row| row.is_alive(now) && row.silence(now) < HEARTBEAT_PERIOD * 10)
            .take(PROBE_HELPERS)
            .map(|row| (row.node.clone(), row.peer_address.clone()))
            .collect();
        for target in self.peers.suspects(now) {
            for (helper, address) in &helpers {
                let order = PeerDatagram::ProbeOrder { target: target.clone() };
                self.send_datagram(helper, address, &order);
            }
        }
    }

    /// Uses another local port when nobody answers, since the flow may have been lost.
    fn rebind_if_silent(&mut self, now: Instant) {
        let rows = self.peers.rows();
        let silent = rows.iter().filter(|row| !row.left).all(|row| row.silence(now) > REBIND_AFTER);
        if !rows.is_empty() && silent && is_due(&mut self.times.rebind, REBIND_AFTER, now) {
            info!(target: PEER, "No node answers, using another local port.");
            self.effects.push(ControlEffect::RebindSocket);
        }
    }

    /// Asks the seeds of the settings for their state until something is known.
    fn ask_seeds(&mut self, now: Instant) {
        let known = self.holding.in_force().is_some();
        if known || self.options.seeds.is_empty() {
            return;
        }
        if !is_due(&mut self.times.fetch, FETCH_PERIOD * 5, now) {
            return;
        }
        for (node, to) in self.options.seeds.clone() {
            let (kind, request) = (PeerCallKind::FetchState, PeerRequest::FetchState);
            self.effects.push(ControlEffect::AskPeer { node, to, kind, request });
        }
    }

    /// Tells a node that this one is there.
    pub(super) fn greet(&mut self, member: &MemberRow) {
        let Ok(to) = member.peer_address.parse() else { return };
        let request = PeerRequest::Greet { member: JsonText::new(&self.identity.member_row()) };
        let (node, kind) = (member.node.clone(), PeerCallKind::Greet);
        self.effects.push(ControlEffect::AskPeer { node, to, kind, request });
    }

    /// Tells all nodes that this one admits nothing any more.
    pub(super) fn tell_leaving(&mut self) {
        let nodes: Vec<NodeName> = self.peers.rows().iter().map(|row| row.node.clone()).collect();
        for node in nodes {
            self.ask_peer(&node, PeerCallKind::Leave, PeerRequest::Leave);
        }
    }

    pub(super) fn on_datagram(&mut self, bytes: &[u8], now: Instant) {
        let opened = open::<PeerDatagram>(&self.identity.key, &self.identity.name, bytes);
        let taken = opened.and_then(|(stamp, message)| {
            self.guard.take(&stamp)?;
            Ok((stamp, message))
        });
        match taken {
            Ok((stamp, message)) => self.on_message(&stamp, message, now),
            Err(error) => {
                self.counters.bad_messages += 1;
                warn!(target: PEER, "A datagram is refused: {error}.");
            }
        }
    }

    fn on_message(&mut self, stamp: &SenderStamp, message: PeerDatagram, now: Instant) {
        let Some(peer) = self.peers.find(&stamp.node) else { return };
        let address = peer.peer_address.clone();
        match message {
            PeerDatagram::Ping { number, body } => {
                self.on_heartbeat(stamp, body, now);
                let body = self.heartbeat_body();
                self.send_datagram(&stamp.node, &address, &PeerDatagram::Ack { number, body });
            }
            PeerDatagram::Ack { number, body } => {
                if self.on_heartbeat(stamp, body, now) {
                    self.on_ack(&stamp.node, number, stamp.incarnation);
                }
            }
            PeerDatagram::ProbeOrder { target } => self.on_probe_order(&stamp.node, &target, now),
            PeerDatagram::ProbeResult { target, incarnation } => {
                self.peers.note_heard(&target, incarnation, None, now);
            }
        }
    }

    fn on_ack(&mut self, node: &NodeName, number: u64, incarnation: Incarnation) {
        let found = self.pings.iter().position(|row| row.number == number && row.node == *node);
        if let Some(at) = found {
            let ping = self.pings.swap_remove(at);
            self.gate.note_member(node, ping.asked_at);
        }
        let Some(at) = self.probes.iter().position(|row| row.number == number) else { return };
        let probe = self.probes.swap_remove(at);
        let Some(asker) = self.peers.find(&probe.asker) else { return };
        let address = asker.peer_address.clone();
        let result = PeerDatagram::ProbeResult { target: node.clone(), incarnation };
        self.send_datagram(&probe.asker, &address, &result);
    }

    fn on_probe_order(&mut self, asker: &NodeName, target: &NodeName, now: Instant) {
        if self.probes.len() >= PROBES_MAX {
            return;
        }
        let Some(row) = self.peers.find(target) else { return };
        let address = row.peer_address.clone();
        let number = self.ping(target, &address, now);
        self.probes.push(ProbeRow { number, asker: asker.clone(), asked_at: now });
    }

    /// Takes in what a peer says of itself. Returns whether the message counts.
    fn on_heartbeat(&mut self, stamp: &SenderStamp, body: HeartbeatBody, now: Instant) -> bool {
        let digest = PeerDigest { version: body.version, load: body.load };
        let node = &stamp.node;
        if !self.peers.note_heard(node, stamp.incarnation, Some(digest), now) {
            return false;
        }
        self.holding.note_rumour(body.version, body.stage, now);
        self.learn_flights(node, &body.flights, now);
        let hints = body.hints.iter();
        let hints: Vec<PlacedHint> = hints
            .map(|(block, upstream)| PlacedHint { block: *block, upstream: *upstream })
            .collect();
        self.hints.note_heard(&hints, now);
        for id in body.marks {
            self.learn_mark(&id, now);
        }
        let apart = body.marks_digest != self.marks.digest();
        let wait = if self.holding.is_behind() { FETCH_PERIOD } else { FETCH_PERIOD * 10 };
        if (self.holding.is_behind() || apart) && is_due(&mut self.times.fetch, wait, now) {
            self.ask_peer(node, PeerCallKind::FetchState, PeerRequest::FetchState);
        }
        true
    }

    /// Takes in what another node has in flight.
    fn learn_flights(&mut self, node: &NodeName, flights: &[(u32, u32, u32)], now: Instant) {
        let entries = flights
            .iter()
            .map(|(upstream, all, patient)| FlightEntry {
                upstream: *upstream,
                count: FlightCount { all: *all, patient: *patient },
            })
            .collect();
        self.flights.note(node, entries, now);
        self.spread_flights(now);
    }

    /// Lets routing see what all other nodes have in flight, as long as all of them say so.
    pub(super) fn spread_flights(&mut self, now: Instant) {
        self.flights.expire(now);
        let complete = self.flights.is_complete(&self.peers.alive(now));
        let flights = &self.flights;
        self.upstreams.set_peer_flight(|id| complete.then(|| flights.sum(id)));
    }

    /// Takes in a leaving mark that another node has set.
    fn learn_mark(&mut self, id: &UpstreamId, now: Instant) {
        let nodes = self.peers.rows().len() + 1;
        if !self.marks.insert(id.clone(), nodes, now) {
            return;
        }
        if self.upstreams.mark_leaving(id, now) {
            self.on_new_mark(id, UNTOLD_NOTICE, now);
        }
    }

    pub(super) fn on_peer_call(
        &mut self,
        stamp: &SenderStamp,
        request: PeerRequest,
        reply: oneshot::Sender<PeerReply>,
        now: Instant,
    ) {
        let answer = match self.guard.take(stamp) {
            Ok(()) => self.answer_peer(stamp, request, now),
            Err(error) => {
                self.counters.bad_messages += 1;
                PeerReply::Refused { reason: error.to_string() }
            }
        };
        drop(reply.send(answer));
    }

    fn answer_peer(
        &mut self,
        stamp: &SenderStamp,
        request: PeerRequest,
        now: Instant,
    ) -> PeerReply {
        self.peers.note_heard(&stamp.node, stamp.incarnation, None, now);
        match request {
            PeerRequest::Greet { member } => match member.parse() {
                Ok(row) => {
                    self.peers.upsert(&row, now);
                    PeerReply::Done
                }
                Err(error) => refused(&error),
            },
            PeerRequest::Leave => {
                if self.peers.note_left(&stamp.node, stamp.incarnation) {
                    info!(target: PEER, "Node {} leaves.", stamp.node);
                    self.gate.remove_member(&stamp.node);
                    self.note_left_for_change(&stamp.node);
                }
                PeerReply::Done
            }
            PeerRequest::FetchState => self.state_reply(),
            PeerRequest::Stage { stage, version } => self.answer_stage(&stage, version, now),
            PeerRequest::Accepted { config } => self.answer_accepted(&config),
            PeerRequest::Dropped { version } => {
                self.holding.learn_dropped(version);
                PeerReply::Done
            }
            PeerRequest::Handover { work, version } => match work.parse() {
                Ok(row) => self.take_handover(row, version),
                Err(error) => refused(&error),
            },
        }
    }

    fn state_reply(&self) -> PeerReply {
        let stage = self.holding.staged();
        PeerReply::State {
            config: self.holding.in_force().map(|config| JsonText::new(config.row.as_ref())),
            stage: stage.map(|stage| (JsonText::new(stage), self.holding.stage_version())),
            marks: self.marks.all(),
            members: self.members.iter().map(|seen| JsonText::new(&seen.row)).collect(),
        }
    }

    fn answer_stage(
        &mut self,
        stage: &JsonText<StageRow>,
        version: samphiredeck_core::ids::RowVersion,
        now: Instant,
    ) -> PeerReply {
        let stage = match stage.parse() {
            Ok(stage) => stage,
            Err(error) => return refused(&error),
        };
        match self.holding.learn_stage(stage, version, now) {
            Ok(StageAnswer::Acknowledged) => PeerReply::Acknowledged,
            Ok(StageAnswer::Behind) => PeerReply::Behind,
            Ok(StageAnswer::Passed) => PeerReply::InForce { version: self.holding.version() },
            Err(error) => PeerReply::Refused { reason: error.to_string() },
        }
    }

    fn answer_accepted(&mut self, config: &JsonText<ConfigRow>) -> PeerReply {
        match config.parse() {
            Ok(row) => self.force_config(row),
            Err(error) => warn!(target: CONFIG, "A declaration can't be read: {error}."),
        }
        PeerReply::InForce { version: self.holding.version() }
    }

    fn force_config(&mut self, row: ConfigRow) {
        match self.holding.learn_accepted(row) {
            Ok(true) => self.publish_config(),
            Ok(false) => {}
            Err(error) => warn!(target: CONFIG, "A declaration is refused: {error}."),
        }
    }

    /// Runs what another node hands over.
    fn take_handover(
        &mut self,
        row: samphiredeck_core::rows::WorkRow,
        version: samphiredeck_core::ids::RowVersion,
    ) -> PeerReply {
        if self.phase != super::StopPhase::Serving {
            return PeerReply::Refused { reason: "stopping".to_owned() };
        }
        self.counters.handed_in += 1;
        let request = row.request.clone();
        self.start_work(row, version);
        PeerReply::Taken { request }
    }

    /// Starts to run work that another node had.
    pub(super) fn start_work(
        &mut self,
        row: samphiredeck_core::rows::WorkRow,
        version: samphiredeck_core::ids::RowVersion,
    ) {
        let buffer = Arc::new(RunBuffer::new(row.request.clone(), row.text.clone(), row.tokens));
        let taken = TakenWork { row, version, buffer };
        self.effects.push(ControlEffect::StartWork(Box::new(taken)));
    }

    pub(super) fn on_peer_answer(
        &mut self,
        node: &NodeName,
        kind: &PeerCallKind,
        reply: Option<PeerReply>,
        now: Instant,
    ) {
        let Some(reply) = reply else { return };
        match (kind, reply) {
            (PeerCallKind::Stage(version), PeerReply::Acknowledged) => {
                self.note_stage_answer(node, *version, now);
            }
            (_, PeerReply::InForce { version }) => self.note_force_answer(node, version, now),
            (_, PeerReply::State { config, stage, marks, members }) => {
                self.learn_state(config, stage, marks, &members, now);
            }
            (kind, PeerReply::Refused { reason }) => {
                warn!(target: PEER, "Node {node} refuses {kind:?}: {reason}.");
            }
            _ => {}
        }
    }

    fn learn_state(
        &mut self,
        config: Option<JsonText<ConfigRow>>,
        stage: Option<(JsonText<StageRow>, samphiredeck_core::ids::RowVersion)>,
        marks: Vec<UpstreamId>,
        members: &[JsonText<MemberRow>],
        now: Instant,
    ) {
        if let Some(Ok(row)) = config.map(|text| text.parse()) {
            self.force_config(row);
        }
        if let Some((text, version)) = stage
            && let Ok(stage) = text.parse()
            && let Err(error) = self.holding.learn_stage(stage, version, now)
        {
            warn!(target: CONFIG, "A stage is refused: {error}.");
        }
        for id in marks {
            self.learn_mark(&id, now);
        }
        if self.members.is_empty() {
            self.learn_members_from_peer(members, now);
        }
    }

    /// Takes the members from a peer, as long as the table has never answered.
    fn learn_members_from_peer(&mut self, members: &[JsonText<MemberRow>], now: Instant) {
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
        self.gate.set_members(names);
    }

    /// Lists the nodes that open runs can be handed to.
    pub(super) fn handover_targets(&self, now: Instant) -> Vec<PeerTarget> {
        let rows = self.peers.rows().iter().filter(|row| row.is_alive(now));
        rows.filter_map(|row| {
            let address = row.peer_address.parse().ok()?;
            Some(PeerTarget { node: row.node.clone(), address })
        })
        .collect()
    }
}

fn refused(error: &serde_json::Error) -> PeerReply {
    PeerReply::Refused { reason: error.to_string() }
}
