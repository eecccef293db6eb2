//! Decides on quota as an owner of a workspace, by the share of the nodes that this one reaches.

use std::{io::ErrorKind, rc::Rc, time::Duration};

use actix_web::rt::spawn;
use rand::seq::IndexedRandom;
use samphiredeck_core::{
    forward::{
        quota::{OwnerStatus, PROBE_TIMEOUT, QuotaDecision},
        quota_reach::{PROBE_PERIOD, PROBED_PER_ROUND},
    },
    ids::{NodeName, WorkspaceName},
};
use samphiredeck_wire::forward::ForwardDatagram;
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::forward::{
    clock,
    node::ForwardNode,
    peer_messages::{query_owner, send},
    peer_socket::PeerSocket,
};

/// Time within which the address of a node whose process has ended refuses a connection.
const END_TIMEOUT: Duration = Duration::from_millis(100);

/// Decides a quota query as an owner of `workspace`. Asks a higher-ranked owner that this node reaches, for nodes that don't.
/// Returns `None` if there is no decision: a higher-ranked owner may be alive, or this node must not grant units because it
/// can't prove that its configuration is the newest or does not know the workspace.
pub async fn decide_quota(
    node: &Rc<ForwardNode>,
    socket: &PeerSocket,
    workspace: &WorkspaceName,
    units: f64,
    is_failover: bool,
) -> Option<QuotaDecision> {
    let now = clock::now();
    if !node.state().may_own_quotas(&socket.own_name, now) {
        return None;
    }
    let owners = node.state().quota_owners(workspace, now);
    // A node that does not know a new owner yet must not obtain units from two owners.
    if !is_failover && owners.first() != Some(&socket.own_name) {
        return None;
    }
    if is_failover {
        let is_known = node.state().quota_reach.share(now).is_some();
        let probes = async {
            if !is_known {
                probe_reach(node, socket).await;
            }
        };
        let (rank, ()) = tokio::join!(find_rank(node, socket, &owners), probes);
        match rank {
            OwnerRank::Highest => {}
            OwnerRank::Below(owner) => {
                let is_failover = owners.first() != Some(&owner);
                return query_owner(node, socket, &owner, workspace, units, is_failover).await;
            }
            OwnerRank::Unknown => return None,
        }
    }
    let now = clock::now();
    let mut state = node.state();
    state.notice_pause(now);
    let catalog = state.catalog.clone()?;
    if !state.freshness.allows_admission(now) {
        return None;
    }
    let row = catalog.find_workspace(workspace)?;
    // Until it is known whom they reach, the first owner decides for all, and another one for itself.
    let unknown = if is_failover { 1.0 / f64::from(state.members.count()) } else { 1.0 };
    let share = state.quota_reach.share(now).unwrap_or(unknown);
    Some(state.quota_owner.take(row, units, share, now))
}

/// Rank of this node among the owners that it reaches.
enum OwnerRank {
    /// None that ranks higher is within reach.
    Highest,
    /// This higher-ranked one responds.
    Below(NodeName),
    /// A higher-ranked one may respond.
    Unknown,
}

/// Finds the rank of this node among `owners`. Probes those of unknown status.
async fn find_rank(node: &ForwardNode, socket: &PeerSocket, owners: &[NodeName]) -> OwnerRank {
    if !owners.contains(&socket.own_name) {
        return OwnerRank::Unknown;
    }
    let higher_ranked: Vec<&NodeName> =
        owners.iter().take_while(|owner| **owner != socket.own_name).collect();
    let status_of = |owner: &NodeName| node.state().liveness.owner_status(owner, clock::now());
    let mut is_probed = false;
    for owner in &higher_ranked {
        if status_of(owner) == OwnerStatus::Unknown {
            ping(node, socket, owner).await;
            is_probed = true;
        }
    }
    if is_probed {
        sleep(PROBE_TIMEOUT).await;
    }
    for owner in higher_ranked {
        match status_of(owner) {
            OwnerStatus::Unresponsive => {}
            OwnerStatus::Alive => return OwnerRank::Below(owner.clone()),
            OwnerStatus::Unknown => return OwnerRank::Unknown,
        }
    }
    OwnerRank::Highest
}

async fn ping(node: &ForwardNode, socket: &PeerSocket, other: &NodeName) {
    let address = node.state().members.peer_address(other);
    if let Some(address) = address {
        send(node, socket, other, address, &ForwardDatagram::Ping).await;
    }
}

/// Keeps the share of the nodes that this one reaches up to date, while any of its limits is under pressure.
pub async fn watch_reach(node: Rc<ForwardNode>) {
    loop {
        sleep(PROBE_PERIOD).await;
        let now = clock::now();
        let socket = node.peer_socket.borrow().clone();
        let is_pressed = {
            let mut state = node.state();
            state.notice_pause(now);
            state.relieve_buckets(&node.settings().name, now);
            state.quota_owner.is_pressed(now)
        };
        match socket {
            Some(socket) if is_pressed => probe_reach(&node, &socket).await,
            Some(_) | None => node.state().quota_reach.clear(),
        }
    }
}

/// Probes other nodes and waits for the time in which a live one responds. Of nodes that don't, it is found out after that
/// whether they have ended.
async fn probe_reach(node: &Rc<ForwardNode>, socket: &PeerSocket) {
    let others: Vec<NodeName> = {
        let state = node.state();
        let entries = state.members.list().entries().iter();
        entries.map(|entry| entry.node.clone()).filter(|name| *name != socket.own_name).collect()
    };
    let mut probed: Vec<NodeName> =
        others.choose_multiple(&mut rand::rng(), PROBED_PER_ROUND).cloned().collect();
    probed.sort_unstable();
    node.state().quota_reach.begin_round(&probed, clock::now());
    for other in &probed {
        ping(node, socket, other).await;
    }
    sleep(PROBE_TIMEOUT).await;
    let unanswered = node.state().quota_reach.unanswered();
    for other in unanswered.into_iter().take(PROBED_PER_ROUND) {
        // A query waits for the probes, but for no connection.
        spawn(find_end(Rc::clone(node), other));
    }
}

/// Notes whether the process of `other` has ended: its address refuses connections then.
async fn find_end(node: Rc<ForwardNode>, other: NodeName) {
    let address = node.state().members.peer_address(&other);
    let Some(address) = address else { return };
    let connected = timeout(END_TIMEOUT, TcpStream::connect(address)).await;
    if let Ok(Err(error)) = connected
        && error.kind() == ErrorKind::ConnectionRefused
    {
        node.state().quota_reach.record_end(&other, clock::now());
    }
}
