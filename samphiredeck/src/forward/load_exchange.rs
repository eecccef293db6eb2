//! Tells the collector of the failure domain how many requests this node has in flight, and returns the sums to nodes that
//! it collects for.

use std::{rc::Rc, time::Duration};

use rand::random;
use samphiredeck_core::{
    forward::{
        load_view::{LoadSums, collector_order, paginate},
        part_exchange::PartSource,
        prompt_cache::PartKey,
    },
    ids::NodeName,
};
use samphiredeck_wire::forward::{ForwardDatagram, LoadMessage};
use serde_json::json;
use tokio::time::sleep;

use crate::forward::{clock, node::ForwardNode, peer_messages::send, peer_socket::PeerSocket};

/// Interval between two messages: a small part of the time for which a response usually keeps its slot.
const TELL_PERIOD: Duration = Duration::from_millis(100);

/// Takes part in the exchange until the process exits. Does nothing while nodes know the load of the upstreams well
/// enough from their own responses.
pub async fn exchange_loads(node: Rc<ForwardNode>) {
    loop {
        sleep(TELL_PERIOD.mul_f64(0.9 + random::<f64>() / 5.0)).await;
        let socket = node.peer_socket.borrow().clone();
        let Some(socket) = socket else { continue };
        if is_needed(&node) {
            tell_loads(&node, &socket).await;
        }
    }
}

/// Whether this node takes part now, as it needs to know more or others told it.
fn is_needed(node: &ForwardNode) -> bool {
    let now = clock::now();
    let mut guard = node.state();
    let state = &mut *guard;
    let is_needed = state.loads.is_needed(&state.upstreams, now);
    if is_needed != state.upstreams.is_exchanged() {
        state.upstreams.set_exchanged(is_needed);
        state.parts.clear();
        node.log.record("load-exchange", json!({ "active": is_needed }));
    }
    is_needed
}

async fn tell_loads(node: &Rc<ForwardNode>, socket: &PeerSocket) {
    let own_name = node.settings().name.clone();
    let (sums, collector, followers) = {
        let now = clock::now();
        let mut guard = node.state();
        let state = &mut *guard;
        let order = collector_order(state.members.list().entries(), &node.settings().domain);
        let collector = state.loads.choose_collector(&order, now);
        let sums = LoadSums {
            nodes: 1,
            counts: state.upstreams.request_counts(),
            uses: state.uses.own(now),
        };
        (sums, collector, state.loads.followers(now))
    };
    let is_own = collector.as_ref() == Some(&own_name);
    if let Some(collector) = collector.filter(|_| !is_own) {
        node.state().loads.record_told(sums.counts.clone());
        send_to(node, socket, &collector, LoadMessage::Node { sums: sums.clone() }).await;
        let keys = if followers.is_empty() { node.state().parts.take_own() } else { Vec::new() };
        if !keys.is_empty() {
            send_to(node, socket, &collector, LoadMessage::Parts { keys }).await;
        }
    }
    if is_own || !followers.is_empty() {
        share_sums(node, socket, sums, &followers, is_own).await;
    }
}

/// Sends the sum of this domain to the collectors of others, and the total to `followers`.
async fn share_sums(
    node: &Rc<ForwardNode>,
    socket: &PeerSocket,
    own: LoadSums,
    followers: &[NodeName],
    is_own: bool,
) {
    let now = clock::now();
    // A node that follows another collector has told it its own counts.
    let included = if is_own { own } else { LoadSums::default() };
    let (domain_sum, total, peers) = {
        let state = node.state();
        let domain_sum = state.loads.domain_sum(&included, now);
        let total = state.loads.total(&domain_sum, now);
        let members = state.members.list().entries();
        let mut domains: Vec<_> = members.iter().map(|member| &member.domain).collect();
        domains.sort();
        domains.dedup();
        let settings = node.settings();
        let others = domains.into_iter().filter(|domain| **domain != settings.domain);
        let peers: Vec<NodeName> = others
            .flat_map(|domain| {
                let order = collector_order(members, domain);
                let heard = order.iter().position(|peer| state.loads.hears_collector(peer, now));
                // The first is told until another one is heard, and both then: it may be back.
                let second = heard.filter(|at| *at > 0).map(|at| order[at].clone());
                let first = order.into_iter().next();
                first.into_iter().chain(second).collect::<Vec<_>>()
            })
            .collect();
        (domain_sum, total, peers)
    };
    if is_own {
        let mut state = node.state();
        let state = &mut *state;
        state.loads.record_told(included.counts);
        let told = state.loads.record_view(now).to_vec();
        let members = state.members.count();
        for page in paginate(&total) {
            state.upstreams.apply_load_view(&page, &told, members, now);
        }
        state.uses.record_shared(total.uses.clone(), now);
    }
    for page in paginate(&domain_sum) {
        for peer in &peers {
            let message = LoadMessage::Domain { page: page.clone() };
            send_to(node, socket, peer, message).await;
        }
    }
    let (near, all) = node.state().parts.take_collected();
    for (keys, receivers) in [(near, peers.as_slice()), (all, followers)] {
        for receiver in receivers.iter().filter(|_| !keys.is_empty()) {
            send_to(node, socket, receiver, LoadMessage::Parts { keys: keys.clone() }).await;
        }
    }
    for page in paginate(&total) {
        for follower in followers {
            send_to(node, socket, follower, LoadMessage::View { page: page.clone() }).await;
        }
    }
}

async fn send_to(node: &ForwardNode, socket: &PeerSocket, peer: &NodeName, message: LoadMessage) {
    let address = node.state().members.peer_address(peer);
    if let Some(address) = address {
        send(node, socket, peer, address, &ForwardDatagram::Loads(message)).await;
    }
}

/// Handles a message of `sender`.
pub fn handle_load_message(node: &ForwardNode, sender: &NodeName, message: LoadMessage) {
    let now = clock::now();
    let mut guard = node.state();
    let state = &mut *guard;
    match message {
        LoadMessage::Node { sums } => state.loads.record_node(sender, sums, now),
        LoadMessage::Domain { page } => state.loads.record_collector(sender, page, now),
        LoadMessage::Parts { keys } => {
            let followers = state.loads.followers(now);
            let keys = keys.into_iter().filter(|key| state.prompt_cache.record(*key, now));
            let new: Vec<PartKey> = keys.collect();
            // Only a collector tells further.
            if followers.contains(sender) {
                state.parts.add(&new, PartSource::Follower);
            } else if !followers.is_empty() {
                state.parts.add(&new, PartSource::Collector);
            }
        }
        LoadMessage::View { page } => {
            let told = state.loads.record_view(now).to_vec();
            state.upstreams.apply_load_view(&page, &told, state.members.count(), now);
            if page.page == 0 {
                state.uses.record_shared(page.sums.uses, now);
            }
        }
    }
}
