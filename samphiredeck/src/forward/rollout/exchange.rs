//! What a node does with a message of the leader, and the leader with a report.

use std::net::SocketAddr;

use samphiredeck_core::{
    forward::rollout::{RolloutDirective, RolloutReport},
    ids::NodeName,
};
use samphiredeck_wire::forward::{ForwardDatagram, RolloutMessage};
use serde_json::json;

use crate::forward::{clock, node::ForwardNode, peer_messages::send, peer_socket::PeerSocket};

/// Handles a message of `sender`.
pub async fn handle_rollout_message(
    node: &ForwardNode,
    socket: &PeerSocket,
    (sender, address): (&NodeName, SocketAddr),
    message: RolloutMessage,
) {
    match message {
        RolloutMessage::Direct { directive } => {
            let Some(incarnation) = node.incarnation.get() else { return };
            let Some(report) = apply_directive(node, directive) else { return };
            let message = RolloutMessage::Report { incarnation, report };
            send(node, socket, sender, address, &ForwardDatagram::Rollouts(message)).await;
        }
        RolloutMessage::Report { incarnation, report } => {
            node.rollouts.record_report((sender, incarnation), report);
        }
    }
}

/// Applies what the leader tells this node. Returns the report to reply with.
pub fn apply_directive(node: &ForwardNode, directive: RolloutDirective) -> Option<RolloutReport> {
    let now = clock::now();
    let mut guard = node.state();
    let state = &mut *guard;
    let pool = directive.pool.clone();
    let (phase, fence, order) = (directive.phase, directive.fence, directive.order);
    let (base, to) = (directive.base.clone(), directive.to.clone());
    let change = state.versions.apply_directive(directive, now);
    let upstreams = &state.upstreams;
    let in_flight = |software: &_| {
        let rows = upstreams.rows().iter();
        let of_version =
            rows.filter(|row| row.entry.pool == pool && row.entry.software == *software);
        of_version.map(|row| row.in_flight).sum()
    };
    let report = state.versions.report(&pool, now, in_flight);
    drop(guard);
    if let Some(before) = change {
        let fields = json!({
            "pool": pool.as_str(), "phase": format!("{phase:?}"),
            "before": before.map(|before| format!("{before:?}")), "base": base.as_str(), "to": to.as_str(),
            "fence": fence.0, "order": order.0,
            "arrivals": report.as_ref().map(|report| report.counts.arrivals),
            "exposed": report.as_ref().map(|report| report.counts.exposed),
        });
        node.log.record("rollout-known", fields);
    }
    report
}
