//! Random choice of the nodes that are told of something new.

use std::net::SocketAddr;

use rand::seq::IndexedRandom;
use samphiredeck_core::ids::NodeName;

use crate::forward::node::ForwardNode;

/// Number of nodes that a node tells of what is new to it. Five leave out one in 150, which learns by
/// comparison.
pub const PEERS_TOLD: usize = 5;

/// Number of nodes that a starting node compares with first.
pub const PEERS_AT_START: usize = 3;

/// Chooses random nodes other than this one, `count` at most.
pub fn choose_peers(node: &ForwardNode, count: usize) -> Vec<(NodeName, SocketAddr)> {
    let own_name = node.settings().name.clone();
    let state = node.state();
    let others: Vec<_> = state
        .members
        .list()
        .entries()
        .iter()
        .filter(|entry| entry.node != own_name)
        .map(|entry| (entry.node.clone(), entry.peer))
        .collect();
    others.choose_multiple(&mut rand::rng(), count).cloned().collect()
}
