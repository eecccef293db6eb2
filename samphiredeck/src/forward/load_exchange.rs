//! Tells the collector of the failure domain how many requests this node has in flight, and returns the sums to nodes that
//! it collects for.

use std::{rc::Rc, time::Duration};

use rand::random;
use samphiredeck_core::{
    forward::load_view::{LoadSums, collector_order, paginate},
    ids::NodeName,
};
use samphiredeck_wire::forward::{ForwardDatagram, LoadMessage};
use tokio::time::sleep;

use crate::forward::{clock, node::ForwardNode, peer_messages::send, peer_socket::PeerSocket};

/// Interval between two messages: a small part of the time for which a response usually keeps its slot.
const TELL_PERIOD: Duration = Duration::from_millis(100);

/// Takes part in the exchange until the process exits. Does nothing unless upstreams state that their machines are shared.
pub async fn exchange_loads(node: Rc<ForwardNode>) {
    loop {
        sleep(TELL_PERIOD.mul_f64(0.9 + random::<f64>() / 5.0)).await;
        let socket = node.peer_socket.borrow().clone();
        let Some(socket) = socket else { continue };
        if node.state().upstreams.shares_machines() {
            tell_loads(&node, &socket).await;
        }
    }
}

async fn tell_loads(node: &Rc<ForwardNode>, socket: &PeerSocket) {
    let own_name = node.settings().name.clone();
    let (sums, collector, followers) = {
        let now = clock::now();
        let mut guard = node.state();
        let state = &mut *guard;
        let order = collector_order(state.members.list().entries(), &node.settings().domain);
        let collector = state.loads.choose_collector(&order, now);
        let sums = LoadSums { counts: state.upstreams.request_counts(), uses: state.uses.own(now) };
        (sums, collector, state.loads.followers(now))
    };
    let is_own = collector.as_ref() == Some(&own_name);
    if let Some(collector) = collector.filter(|_| !is_own) {
        node.state().loads.record_told(sums.counts.clone());
        send_to(node, socket, &collector, LoadMessage::Node { sums: sums.clone() }).await;
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
        for page in paginate(&total) {
            state.upstreams.apply_load_view(&page, &told, now);
        }
        state.uses.record_shared(total.uses.clone(), now);
    }
    for page in paginate(&domain_sum) {
        for peer in &peers {
            let message = LoadMessage::Domain { page: page.clone() };
            send_to(node, socket, peer, message).await;
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
        LoadMessage::Domain { page } => state.loads.record_collector(sender, page.sums, now),
        LoadMessage::View { page } => {
            let told = state.loads.record_view(now).to_vec();
            state.upstreams.apply_load_view(&page, &told, now);
            if page.page == 0 {
                state.uses.record_shared(page.sums.uses, now);
            }
        }
    }
}
