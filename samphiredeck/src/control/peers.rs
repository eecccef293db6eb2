//! Heartbeats between nodes, indirect probes, and the state carried in heartbeats.

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

use super::{ControlState, is_due, upstreams::DEFAULT_NOTICE};
use crate::{
    event::{ControlEffect, PeerRequestKind},
    logging::PEER,
};

/// Time after which an unanswered ping or probe is discarded.
const PING_LIFETIME: Duration = Duration::from_secs(3);
/// Time without an answer from any node after which the socket is bound to another local port.
const REBIND_AFTER: Duration = Duration::from_secs(3);
/// Interval between state requests while the configuration is behind.
const FETCH_PERIOD: Duration = Duration::from_millis(200);
/// Limit on probes in progress.
const PROBES_MAX: usize = 256;
/// Number of nodes that probe a suspect on behalf of this one.
const INDIRECT_PROBERS: usize = 2;

/// Unanswered ping.
#[derive(Debug)]
pub(super) struct PingRow {
    seq: u64,
    node: NodeName,
    sent_at: Instant,
}

/// Ping sent on behalf of another node.
#[derive(Debug)]
pub(super) struct ProbeRow {
    seq: u64,
    requester: NodeName,
    sent_at: Instant,
}

impl ControlState {
    /// Returns the next message counter, which never repeats within an incarnation.
    fn next_message_counter(&mut self) -> u64 {
        self.last_message_counter += 1;
        self.last_message_counter
    }

    /// Builds the header of the next message to `receiver`.
    pub fn next_header(&mut self, receiver: &NodeName) -> MessageHeader {
        MessageHeader {
            node: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            counter: self.next_message_counter(),
            receiver: receiver.clone(),
        }
    }

    fn heartbeat_body(&mut self) -> HeartbeatBody {
        let open = self.queue.len() + self.queue.in_flight() as usize;
        HeartbeatBody {
            config_version: self.config.version(),
            stage_version: self.config.stage_version(),
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
            leaving_upstreams: self.leaving_marks.take_batch(),
            leaving_digest: self.leaving_marks.digest(),
        }
    }

    fn send_datagram(&mut self, node: &NodeName, address: &str, datagram: &PeerDatagram) {
        let Ok(to) = address.parse::<SocketAddr>() else { return };
        let header = self.next_header(node);
        match sign_message(&self.identity.key, &header, datagram) {
            Ok(bytes) if bytes.len() <= DATAGRAM_MAX => {
                self.counters.datagrams_sent += 1;
                self.counters.datagram_bytes += bytes.len() as u64;
                self.effects.push(ControlEffect::SendDatagram { to, bytes });
            }
            Ok(bytes) => warn!(target: PEER, "Datagram is too large: {} bytes.", bytes.len()),
            Err(error) => warn!(target: PEER, "Datagram can't be signed: {error}."),
        }
    }

    pub(super) fn tick_peers(&mut self, now: Instant) {
        self.fetch_from_seeds(now);
        if !is_due(&mut self.timers.heartbeat, HEARTBEAT_PERIOD, now) {
            return;
        }
        self.pings.retain(|ping| now.saturating_duration_since(ping.sent_at) < PING_LIFETIME);
        self.probes.retain(|row| now.saturating_duration_since(row.sent_at) < PING_LIFETIME);
        let targets = self.peers.next_heartbeat_targets();
        for target in &targets {
            self.ping(&target.node, &target.peer_address, now);
        }
        self.publish_peer_in_flight(now);
        self.hints.expire(now);
        self.probe_suspects(now);
        self.rebind_if_silent(now);
    }

    fn ping(&mut self, node: &NodeName, address: &str, now: Instant) -> u64 {
        let seq = self.next_message_counter();
        let body = self.heartbeat_body();
        self.send_datagram(node, address, &PeerDatagram::Ping { sequence: seq, body });
        self.pings.push(PingRow { seq, node: node.clone(), sent_at: now });
        seq
    }

    /// Asks other nodes to ping the suspects, which this node has not heard from.
    fn probe_suspects(&mut self, now: Instant) {
        let probers: Vec<_> = self
            .peers
            .rows()
            .iter()
            .filter(|row| row.is_alive(now) && row.idle_time(now) < HEARTBEAT_PERIOD * 10)
            .take(INDIRECT_PROBERS)
            .map(|row| (row.node.clone(), row.peer_address.clone()))
            .collect();
        for target in self.peers.suspects(now) {
            for (prober, address) in &probers {
                let request = PeerDatagram::ProbeRequest { target: target.clone() };
                self.send_datagram(prober, address, &request);
            }
        }
    }

    /// Binds another local port when no node answers, since the network may have dropped the flow.
    fn rebind_if_silent(&mut self, now: Instant) {
        let rows = self.peers.rows();
        let silent =
            rows.iter().filter(|row| !row.left).all(|row| row.idle_time(now) > REBIND_AFTER);
        if !rows.is_empty() && silent && is_due(&mut self.timers.rebind, REBIND_AFTER, now) {
            info!(target: PEER, "No node answers, binding another local port.");
            self.effects.push(ControlEffect::RebindSocket);
        }
    }

    /// Fetches the state from the configured seeds until a configuration is in force.
    fn fetch_from_seeds(&mut self, now: Instant) {
        let known = self.config.in_force().is_some();
        if known || self.options.seeds.is_empty() {
            return;
        }
        if !is_due(&mut self.timers.fetch, FETCH_PERIOD * 5, now) {
            return;
        }
        for (node, to) in self.options.seeds.clone() {
            let (kind, request) = (PeerRequestKind::FetchState, PeerRequest::FetchState);
            self.effects.push(ControlEffect::CallPeer { node, to, kind, request });
        }
    }

    /// Announces this node to another member.
    pub(super) fn greet(&mut self, member: &MemberRow) {
        let Ok(to) = member.peer_address.parse() else { return };
        let request = PeerRequest::Greet { member: JsonText::new(&self.identity.member_row()) };
        let (node, kind) = (member.node.clone(), PeerRequestKind::Greet);
        self.effects.push(ControlEffect::CallPeer { node, to, kind, request });
    }

    /// Announces to all nodes that this one is leaving.
    pub(super) fn announce_leave(&mut self) {
        let nodes: Vec<NodeName> = self.peers.rows().iter().map(|row| row.node.clone()).collect();
        for node in nodes {
            self.call_peer(&node, PeerRequestKind::Leave, PeerRequest::Leave);
        }
    }

    pub(super) fn on_datagram(&mut self, bytes: &[u8], now: Instant) {
        let verified =
            verify_message::<PeerDatagram>(&self.identity.key, &self.identity.name, bytes);
        let accepted = verified.and_then(|(header, message)| {
            self.replay_guard.accept(&header)?;
            Ok((header, message))
        });
        match accepted {
            Ok((header, message)) => self.on_message(&header, message, now),
            Err(error) => {
                self.counters.bad_messages += 1;
                warn!(target: PEER, "Datagram refused: {error}.");
            }
        }
    }

    fn on_message(&mut self, header: &MessageHeader, message: PeerDatagram, now: Instant) {
        let Some(peer) = self.peers.find(&header.node) else { return };
        let address = peer.peer_address.clone();
        match message {
            PeerDatagram::Ping { sequence: seq, body } => {
                self.on_heartbeat(header, body, now);
                let body = self.heartbeat_body();
                self.send_datagram(
                    &header.node,
                    &address,
                    &PeerDatagram::Ack { sequence: seq, body },
                );
            }
            PeerDatagram::Ack { sequence: seq, body } => {
                if self.on_heartbeat(header, body, now) {
                    self.on_ack(&header.node, seq, header.incarnation);
                }
            }
            PeerDatagram::ProbeRequest { target } => self.relay_probe(&header.node, &target, now),
            PeerDatagram::ProbeResult { target, incarnation } => {
                self.peers.record_message(&target, incarnation, None, now);
            }
        }
    }

    fn on_ack(&mut self, node: &NodeName, seq: u64, incarnation: Incarnation) {
        let found = self.pings.iter().position(|row| row.seq == seq && row.node == *node);
        if let Some(at) = found {
            let ping = self.pings.swap_remove(at);
            self.freshness.record_member_reply(node, ping.sent_at);
        }
        let Some(at) = self.probes.iter().position(|row| row.seq == seq) else { return };
        let probe = self.probes.swap_remove(at);
        let Some(requester) = self.peers.find(&probe.requester) else { return };
        let address = requester.peer_address.clone();
        let result = PeerDatagram::ProbeResult { target: node.clone(), incarnation };
        self.send_datagram(&probe.requester, &address, &result);
    }

    fn relay_probe(&mut self, requester: &NodeName, target: &NodeName, now: Instant) {
        if self.probes.len() >= PROBES_MAX {
            return;
        }
        let Some(row) = self.peers.find(target) else { return };
        let address = row.peer_address.clone();
        let seq = self.ping(target, &address, now);
        self.probes.push(ProbeRow { seq, requester: requester.clone(), sent_at: now });
    }

    /// Applies a heartbeat of a peer. Returns whether the message was accepted.
    fn on_heartbeat(&mut self, header: &MessageHeader, body: HeartbeatBody, now: Instant) -> bool {
        let status = PeerStatus { version: body.config_version, load: body.load };
        let node = &header.node;
        if !self.peers.record_message(node, header.incarnation, Some(status), now) {
            return false;
        }
        self.config.record_advertised(body.config_version, body.stage_version, now);
        self.apply_peer_in_flight(node, &body.in_flight, now);
        let hints = body.placement_hints.iter();
        let hints: Vec<PlacementHint> = hints
            .map(|(block, upstream)| PlacementHint { block: *block, upstream: *upstream })
            .collect();
        self.hints.insert_received(&hints, now);
        for id in body.leaving_upstreams {
            self.apply_leaving_mark(&id, now);
        }
        let marks_differ = body.leaving_digest != self.leaving_marks.digest();
        let wait = if self.config.is_behind() { FETCH_PERIOD } else { FETCH_PERIOD * 10 };
        if (self.config.is_behind() || marks_differ) && is_due(&mut self.timers.fetch, wait, now) {
            self.call_peer(node, PeerRequestKind::FetchState, PeerRequest::FetchState);
        }
        true
    }

    /// Applies the in-flight counts of another node.
    fn apply_peer_in_flight(
        &mut self,
        node: &NodeName,
        peer_in_flight: &[(u32, u32, u32)],
        now: Instant,
    ) {
        let entries = peer_in_flight
            .iter()
            .map(|(upstream, total, patient)| InFlightEntry {
                upstream: *upstream,
                count: InFlightCount { total: *total, patient: *patient },
            })
            .collect();
        self.peer_in_flight.update(node, entries, now);
        self.publish_peer_in_flight(now);
    }

    /// Publishes the in-flight counts of the other nodes to routing, as long as all live nodes
    /// report them.
    pub(super) fn publish_peer_in_flight(&mut self, now: Instant) {
        self.peer_in_flight.expire(now);
        let complete = self.peer_in_flight.is_complete(&self.peers.alive(now));
        let peer_in_flight = &self.peer_in_flight;
        self.upstreams.set_peer_in_flight(|id| complete.then(|| peer_in_flight.sum(id)));
    }

    /// Applies a leaving mark received from another node.
    pub(super) fn apply_leaving_mark(&mut self, id: &UpstreamId, now: Instant) {
        let nodes = self.peers.rows().len() + 1;
        if !self.leaving_marks.insert(id.clone(), nodes, now) {
            return;
        }
        if self.upstreams.mark_leaving(id, now) {
            self.on_upstream_leaving(id, DEFAULT_NOTICE, now);
        }
    }
}
