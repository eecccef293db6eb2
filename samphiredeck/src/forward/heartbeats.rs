//! Exchanges heartbeats for the list of members with the reader of this node.

use std::rc::Rc;

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        members::{NodeHeartbeat, is_view_recent},
        node_groups::split_heartbeat,
    },
    ids::NodeName,
};
use samphiredeck_wire::forward::RelayedMembers;
use serde_json::json;

use crate::forward::{
    clock,
    node::ForwardNode,
    peer_messages::{query_members, send_heartbeat},
    peer_socket::PeerSocket,
    state::ForwardState,
};

/// Sends this node's heartbeat to its reader. Returns whether the reader has all of it.
pub async fn send_to_reader(node: &Rc<ForwardNode>, is_final: bool) -> bool {
    let reader = node.state().reader.clone();
    let Some(reader) = reader else { return false };
    send_to(node, &reader, is_final).await
}

/// Sends this node's heartbeat to `reader` and applies the members that it relays. Returns whether
/// the reader has all of it and reaches the store, so that it will be published.
async fn send_to(node: &Rc<ForwardNode>, reader: &NodeName, is_final: bool) -> bool {
    let socket = node.peer_socket.borrow().clone();
    let Some(socket) = socket else { return false };
    let Some(heartbeat) = own_heartbeat(node, is_final) else { return false };
    let mut newest = None;
    for part in split_heartbeat(&heartbeat) {
        let Some(reply) = send_heartbeat(node, &socket, reader, part).await else { return false };
        newest = Some(reply);
    }
    let Some((mut members, sent_at)) = newest else { return false };
    fetch_pages(node, &socket, reader, &mut members).await;
    apply_relayed(node, &members, sent_at);
    let store_ms = node.state().clock.store_ms(clock::now());
    store_ms.is_some_and(|store_ms| is_view_recent(members.observed_ms, store_ms))
}

/// Fetches the remaining pages of the changes in `members`. If the list changes meanwhile, the
/// delta is incomplete and does not apply.
async fn fetch_pages(
    node: &ForwardNode,
    socket: &PeerSocket,
    reader: &NodeName,
    members: &mut RelayedMembers,
) {
    let Some(delta) = members.delta.as_mut() else { return };
    let mut remaining = members.remaining;
    while remaining > 0 {
        let skip = u32::try_from(delta.len()).unwrap_or(u32::MAX);
        let Some(next) = query_members(node, socket, reader, skip).await else { return };
        let Some(page) = next.delta.filter(|page| page.from == delta.from) else { return };
        if next.digest != members.digest || page.is_empty() {
            return;
        }
        delta.append(page);
        remaining = next.remaining;
    }
}

/// Applies the members that the reader relayed in reply to a heartbeat sent at `sent_at`.
fn apply_relayed(node: &ForwardNode, members: &RelayedMembers, sent_at: BootTime) {
    let now = clock::now();
    let mut state = node.state();
    if let Some(store_ms) = members.store_ms.and_then(|ms| u64::try_from(ms).ok()) {
        state.clock.add_sample(sent_at, now, store_ms);
    }
    // The leader and nodes that read the store read the rows themselves.
    if state.reader.is_none() || state.leader_lease.fence(now).is_some() {
        return;
    }
    if let Some(offset) = members.offset {
        state.clock.update_offset(vec![offset]);
    }
    let count_before = state.members.count();
    let (digest, delta) = (members.digest, members.delta.as_ref());
    if state.members.apply_relayed(digest, delta, members.observed_ms) {
        state.members_differ = false;
        state.members_relayed_at = Some(now);
        state.members.forget_heartbeats();
        apply_member_count(node, &mut state, count_before);
    } else {
        state.members_differ = true;
    }
}

/// Applies the number of members to the limits that they share.
pub fn apply_member_count(node: &ForwardNode, state: &mut ForwardState, count_before: u32) {
    let count = state.members.count();
    if count != count_before {
        node.log.record("members", json!({ "count": count, "before": count_before }));
    }
    state.local_quota.set_nodes(count);
    node.metrics.nodes.set(i64::from(count));
}

/// Heartbeat of this node. With `is_final`, no further requests will be counted. `None` until the
/// store has been read.
pub fn own_heartbeat(node: &ForwardNode, is_final: bool) -> Option<NodeHeartbeat> {
    let settings = node.settings();
    let incarnation = node.incarnation.get()?;
    let (peer, domain) = (settings.listen.peer, settings.domain.clone());
    let now = clock::now();
    let mut state = node.state();
    state.rejoin_if_lapsed(now);
    state.heartbeat(incarnation, peer, domain, is_final, now)
}
