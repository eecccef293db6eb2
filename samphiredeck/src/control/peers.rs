//! Heartbeats, questions between nodes, and what they tell.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use log::{info, warn};
use samphiredeck_core::{
    hint::PlacementHint,
    ids::{Incarnation, NodeName, UpstreamId},
    in_flight::{InFlightEntry, local_in_flight},
    membership::{HEARTBEAT_PERIOD, PeerStatus},
    rows::MemberRow,
    upstream::InFlightCount,
};
use samphiredeck_wire::{
    auth::{MessageHeader, sign_message, verify_message},
    message::{DATAGRAM_MAX, HeartbeatBody, JsonText, PeerDatagram, PeerRequest},
};

use super::{ControlState, is_due, upstreams::UNTOLD_NOTICE};
use crate::{
    event::{ControlEffect, PeerCallKind},
    logging::PEER,
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
    pub fn stamp(&mut self, receiver: &NodeName) -> MessageHeader {
        MessageHeader {
            node: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            counter: self.next_counter(),
            receiver: receiver.clone(),
        }
    }

    fn heartbeat_body(&mut self) -> HeartbeatBody {
        let open = self.queue.len() + self.queue.in_flight() as usize;
        HeartbeatBody {
            config_version: self.holding.version(),
            stage_version: self.holding.stage_version(),
            load: u32::try_from(open).unwrap_or(u32::MAX),
            in_flight: local_in_flight(self.upstreams.rows())
                .into_iter()
                .map(|entry| (entry.upstream, entry.count.total, entry.count.patient))
                .collect(),
            placement_hints: self
                .hints
                .take_batch()
                .into_iter()
                .map(|hint| (hint.block, hint.upstream))
                .collect(),
            leaving_upstreams: self.marks.take_batch(),
            leaving_digest: self.marks.digest(),
        }
    }

    fn send_datagram(&mut self, node: &NodeName, address: &str, datagram: &PeerDatagram) {
        let Ok(to) = address.parse::<SocketAddr>() else { return };
        let stamp = self.stamp(node);
        match sign_message(&self.identity.key, &stamp, datagram) {
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
        let targets = self.peers.next_heartbeat_targets();
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
        self.send_datagram(node, address, &PeerDatagram::Ping { sequence: number, body });
        self.pings.push(PingRow { number, node: node.clone(), asked_at: now });
        number
    }

    /// Asks others to ping the nodes that are silent towards this one.
    fn probe_suspects(&mut self, now: Instant) {
        let helpers: Vec<_> = self
            .peers
            .rows()
            .iter()
            .filter(|row| row.is_alive(now) && row.idle_time(now) < HEARTBEAT_PERIOD * 10)
            .take(PROBE_HELPERS)
            .map(|row| (row.node.clone(), row.peer_address.clone()))
            .collect();
        for target in self.peers.suspects(now) {
            for (helper, address) in &helpers {
                let order = PeerDatagram::ProbeRequest { target: target.clone() };
                self.send_datagram(helper, address, &order);
            }
        }
    }

    /// Uses another local port when nobody answers, since the flow may have been lost.
    fn rebind_if_silent(&mut self, now: Instant) {
        let rows = self.peers.rows();
        let silent =
            rows.iter().filter(|row| !row.left).all(|row| row.idle_time(now) > REBIND_AFTER);
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
        let opened = verify_message::<PeerDatagram>(&self.identity.key, &self.identity.name, bytes);
        let taken = opened.and_then(|(stamp, message)| {
            self.guard.accept(&stamp)?;
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

    fn on_message(&mut self, stamp: &MessageHeader, message: PeerDatagram, now: Instant) {
        let Some(peer) = self.peers.find(&stamp.node) else { return };
        let address = peer.peer_address.clone();
        match message {
            PeerDatagram::Ping { sequence: number, body } => {
                self.on_heartbeat(stamp, body, now);
                let body = self.heartbeat_body();
                self.send_datagram(
                    &stamp.node,
                    &address,
                    &PeerDatagram::Ack { sequence: number, body },
                );
            }
            PeerDatagram::Ack { sequence: number, body } => {
                if self.on_heartbeat(stamp, body, now) {
                    self.on_ack(&stamp.node, number, stamp.incarnation);
                }
            }
            PeerDatagram::ProbeRequest { target } => self.on_probe_order(&stamp.node, &target, now),
            PeerDatagram::ProbeResult { target, incarnation } => {
                self.peers.record_message(&target, incarnation, None, now);
            }
        }
    }

    fn on_ack(&mut self, node: &NodeName, number: u64, incarnation: Incarnation) {
        let found = self.pings.iter().position(|row| row.number == number && row.node == *node);
        if let Some(at) = found {
            let ping = self.pings.swap_remove(at);
            self.gate.record_member_reply(node, ping.asked_at);
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
    fn on_heartbeat(&mut self, stamp: &MessageHeader, body: HeartbeatBody, now: Instant) -> bool {
        let digest = PeerStatus { version: body.config_version, load: body.load };
        let node = &stamp.node;
        if !self.peers.record_message(node, stamp.incarnation, Some(digest), now) {
            return false;
        }
        self.holding.record_advertised(body.config_version, body.stage_version, now);
        self.learn_flights(node, &body.in_flight, now);
        let hints = body.placement_hints.iter();
        let hints: Vec<PlacementHint> = hints
            .map(|(block, upstream)| PlacementHint { block: *block, upstream: *upstream })
            .collect();
        self.hints.insert_received(&hints, now);
        for id in body.leaving_upstreams {
            self.learn_mark(&id, now);
        }
        let apart = body.leaving_digest != self.marks.digest();
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
            .map(|(upstream, all, patient)| InFlightEntry {
                upstream: *upstream,
                count: InFlightCount { total: *all, patient: *patient },
            })
            .collect();
        self.flights.update(node, entries, now);
        self.spread_flights(now);
    }

    /// Lets routing see what all other nodes have in flight, as long as all of them say so.
    pub(super) fn spread_flights(&mut self, now: Instant) {
        self.flights.expire(now);
        let complete = self.flights.is_complete(&self.peers.alive(now));
        let flights = &self.flights;
        self.upstreams.set_peer_in_flight(|id| complete.then(|| flights.sum(id)));
    }

    /// Takes in a leaving mark that another node has set.
    pub(super) fn learn_mark(&mut self, id: &UpstreamId, now: Instant) {
        let nodes = self.peers.rows().len() + 1;
        if !self.marks.insert(id.clone(), nodes, now) {
            return;
        }
        if self.upstreams.mark_leaving(id, now) {
            self.on_new_mark(id, UNTOLD_NOTICE, now);
        }
    }
}
