//! Tells other nodes which limits upstreams have named, and applies what they tell.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use rand::seq::SliceRandom;
use samphiredeck_core::{
    forward::upstream_limit::exchange::SharedLimit,
    ids::{NodeName, UpstreamId},
};
use samphiredeck_wire::forward::{ForwardDatagram, LimitMessage};
use tokio::{sync::Notify, time::sleep};

use crate::forward::{
    clock,
    node::ForwardNode,
    peer_choice::{PEERS_AT_START, PEERS_TOLD, choose_peers},
    peer_messages::send,
    peer_socket::PeerSocket,
    upstream_changes::log_limit_change,
};

/// Minimum time between two messages about changes.
const ANNOUNCE_SPACING: Duration = Duration::from_millis(200);
/// Interval at which a node compares its limits with those of another one.
const COMPARE_PERIOD: Duration = Duration::from_secs(1);
/// Interval at which a starting node looks for others.
const START_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Maximum number of limits in a datagram, so that it fits.
const DATAGRAM_LIMITS: usize = 8;
/// Maximum number of datagrams in response to a comparison.
const RESPONSE_DATAGRAMS: usize = 16;

/// Upstreams about whose limits other nodes are to be told.
#[derive(Debug, Default)]
pub struct LimitOutbox {
    /// Sorted, without duplicates.
    upstreams: RefCell<Vec<UpstreamId>>,
    changed: Notify,
}

impl LimitOutbox {
    /// Adds `upstream`, whose limit has changed.
    pub fn add(&self, upstream: &UpstreamId) {
        let mut upstreams = self.upstreams.borrow_mut();
        if let Err(at) = upstreams.binary_search(upstream) {
            upstreams.insert(at, upstream.clone());
        }
        self.changed.notify_one();
    }

    /// Takes as many as fit into a datagram.
    fn take(&self) -> Vec<UpstreamId> {
        let mut upstreams = self.upstreams.borrow_mut();
        let count = upstreams.len().min(DATAGRAM_LIMITS);
        let taken = upstreams.drain(..count).collect();
        if !upstreams.is_empty() {
            self.changed.notify_one();
        }
        taken
    }
}

/// Tells other nodes of changed limits.
pub async fn announce_limits(node: Rc<ForwardNode>) {
    loop {
        node.limit_outbox.changed.notified().await;
        let upstreams = node.limit_outbox.take();
        let limits: Vec<SharedLimit> = {
            let state = node.state();
            let now = clock::now();
            upstreams.iter().filter_map(|id| state.upstreams.share_limit(id, now)).collect()
        };
        let socket = node.peer_socket.borrow().clone();
        if let Some(socket) = socket.filter(|_| !limits.is_empty()) {
            let datagram = ForwardDatagram::Limits(LimitMessage::Announce { limits });
            for (peer, address) in choose_peers(&node, PEERS_TOLD) {
                send(&node, &socket, &peer, address, &datagram).await;
            }
        }
        sleep(ANNOUNCE_SPACING).await;
    }
}

/// Compares the limits known to this node with those of random other ones, again and again, so that
/// nodes that start or return from a cut learn what the others know.
pub async fn compare_limits(node: Rc<ForwardNode>) {
    while !knows_upstreams(&node) || compare_with(&node, PEERS_AT_START).await == 0 {
        sleep(START_POLL_PERIOD).await;
    }
    loop {
        sleep(COMPARE_PERIOD).await;
        compare_with(&node, 1).await;
    }
}

/// Whether this node has read the list of upstreams. Before, it can't apply what it is told.
fn knows_upstreams(node: &ForwardNode) -> bool {
    node.state().upstreams.read_at().is_some()
}

/// Sends the digest of the limits to `count` other nodes at most. Returns to how many.
async fn compare_with(node: &ForwardNode, count: usize) -> usize {
    let Some(socket) = node.peer_socket.borrow().clone() else { return 0 };
    let digest = node.state().upstreams.digest_limits();
    let datagram = ForwardDatagram::Limits(LimitMessage::Compare { digest });
    let peers = choose_peers(node, count);
    for (peer, address) in &peers {
        send(node, &socket, peer, *address, &datagram).await;
    }
    peers.len()
}

/// Handles a message of another node.
pub async fn handle_limit_message(
    node: &ForwardNode,
    socket: &PeerSocket,
    (peer, address): (&NodeName, SocketAddr),
    message: LimitMessage,
) {
    match message {
        LimitMessage::Announce { limits } => apply_limits(node, peer, &limits),
        LimitMessage::Compare { digest } => {
            let mut limits = {
                let state = node.state();
                if state.upstreams.digest_limits() == digest {
                    return;
                }
                state.upstreams.share_limits(clock::now())
            };
            // Of more than fit, the other node gets different ones each time.
            limits.shuffle(&mut rand::rng());
            for page in limits.chunks(DATAGRAM_LIMITS).take(RESPONSE_DATAGRAMS) {
                let message = LimitMessage::Announce { limits: page.to_vec() };
                send(node, socket, peer, address, &ForwardDatagram::Limits(message)).await;
            }
        }
    }
}

fn apply_limits(node: &ForwardNode, peer: &NodeName, limits: &[SharedLimit]) {
    for limit in limits {
        let statement = limit.to_statement(clock::now());
        let (upstream, started_ms) = (&limit.upstream, limit.started_ms);
        let changed = node.state().upstreams.apply_limit(upstream, started_ms, statement);
        if let Some(change) = changed {
            log_limit_change(node, upstream, change, None, peer.as_str());
            node.limit_outbox.add(upstream);
        }
    }
}
