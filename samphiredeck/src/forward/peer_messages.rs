//! Quota and store status queries between forwarding nodes, and liveness probes.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        members::NodeHeartbeat,
        quota::QuotaDecision,
        store_readers::StoreStatus,
        stream_origins::{OriginSource, StreamOrigin},
        suspects::exchange::PublishedSuspects,
    },
    ids::{AttemptKey, NodeName, PoolName, RowVersion, WorkspaceName},
};
use samphiredeck_wire::forward::{ForwardDatagram, RelayedMembers};
use serde_json::json;

use crate::forward::{
    clock,
    limit_exchange::handle_limit_message,
    load_exchange::handle_load_message,
    node::ForwardNode,
    peer_socket::{PeerSocket, QueryError, ReceivedDatagram},
    quota_decision::decide_quota,
    rollout::exchange::handle_rollout_message,
    slot_exchange::handle_slot_message,
    speed_exchange::handle_speed_message,
    suspect_exchange::{answer_comparison, handle_update},
};

/// Response timeout of a quota owner. Several times the users' longest latency between domains, so
/// that slow nodes can respond, and a tenth of their shortest latency target.
const OWNER_TIMEOUT: Duration = Duration::from_millis(40);
/// Response timeout of a failover owner, which first probes the higher-ranked owners.
const FAILOVER_TIMEOUT: Duration = Duration::from_millis(90);
/// Response timeout of a query for the origin of a stream, for which a caller waits.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(80);
/// Response timeout of a status query. Covers slow nodes, since no request waits for it.
const STATUS_TIMEOUT: Duration = Duration::from_millis(150);

/// Opens the socket for datagrams to other nodes, with a key derived from `secret`.
pub fn open_peer_socket(node: &Rc<ForwardNode>, secret: &str) {
    let settings = node.settings();
    let Some(incarnation) = node.incarnation.get() else { return };
    let address = settings.listen.peer;
    match PeerSocket::open(address, settings.name.clone(), incarnation, secret) {
        Ok(socket) => {
            let socket = Rc::new(socket);
            *node.peer_socket.borrow_mut() = Some(Rc::clone(&socket));
            node.log.record("peers-open", json!({ "address": address.to_string() }));
            actix_web::rt::spawn(receive_datagrams(Rc::clone(node), socket));
        }
        Err(error) => node.log.record("peers-closed", json!({ "reason": error.to_string() })),
    }
}

/// Sends `datagram`, which may be lost.
pub async fn send(
    node: &ForwardNode,
    socket: &PeerSocket,
    receiver: &NodeName,
    address: SocketAddr,
    datagram: &ForwardDatagram,
) {
    if let Err(error) = socket.send(receiver, address, datagram).await {
        node.log.record("talk-unsealed", json!({ "reason": error.to_string() }));
    }
}

/// Sends the query `datagram`. Returns the reply, if one arrives within `time_limit`.
pub async fn query(
    node: &ForwardNode,
    socket: &PeerSocket,
    (receiver, address): (&NodeName, SocketAddr),
    (id, datagram): (u64, &ForwardDatagram),
    time_limit: Duration,
) -> Option<ForwardDatagram> {
    match socket.query(receiver, address, id, datagram, time_limit).await {
        Ok(reply) => Some(reply),
        Err(QueryError::Timeout) => None,
        Err(error) => {
            node.log.record("talk-unsealed", json!({ "reason": error.to_string() }));
            None
        }
    }
}

/// Requests `units` of `workspace` from `owner`. Returns `None` if there is no decision.
pub async fn query_owner(
    node: &ForwardNode,
    socket: &PeerSocket,
    owner: &NodeName,
    workspace: &WorkspaceName,
    units: f64,
    is_failover: bool,
) -> Option<QuotaDecision> {
    let address = {
        let state = node.state();
        if !state.liveness.is_responsive(owner, clock::now()) {
            return None;
        }
        state.members.peer_address(owner)?
    };
    let id = socket.next_id();
    let workspace = workspace.clone();
    let datagram =
        ForwardDatagram::AcquireUnits { query_id: id, workspace, units, failover: is_failover };
    let time_limit = if is_failover { FAILOVER_TIMEOUT } else { OWNER_TIMEOUT };
    match query(node, socket, (owner, address), (id, &datagram), time_limit).await {
        Some(ForwardDatagram::Granted { .. }) => Some(QuotaDecision::Granted),
        Some(ForwardDatagram::OverLimit { wait_ms, .. }) => {
            Some(QuotaDecision::Over(Duration::from_millis(wait_ms)))
        }
        Some(_declined) => None,
        None => {
            node.state().liveness.record_no_response(owner, clock::now());
            None
        }
    }
}

/// Queries the store status known to `reader`. `skip` entries of the changes of the upstream list
/// were received already. Returns `None` if the reader does not respond.
pub async fn query_store_status(
    node: &ForwardNode,
    socket: &PeerSocket,
    reader: &NodeName,
    skip: u32,
) -> Option<StoreStatus> {
    let address = node.state().members.peer_address(reader)?;
    let id = socket.next_id();
    let digest = node.state().upstreams.digest();
    let datagram = ForwardDatagram::QueryStoreStatus { query_id: id, list_digest: digest, skip };
    match query(node, socket, (reader, address), (id, &datagram), STATUS_TIMEOUT).await {
        Some(ForwardDatagram::StoreStatus { store_status: status, .. }) => Some(status),
        _ => None,
    }
}

/// Sends a part of this node's heartbeat to `reader`. Returns the members that the reader relays
/// and the time at which the heartbeat was sent, or `None` if the reader does not respond.
pub async fn send_heartbeat(
    node: &ForwardNode,
    socket: &PeerSocket,
    reader: &NodeName,
    heartbeat: NodeHeartbeat,
) -> Option<(RelayedMembers, BootTime)> {
    let address = node.state().members.peer_address(reader)?;
    let id = socket.next_id();
    let members_digest = node.state().members.list().digest();
    let datagram = ForwardDatagram::Heartbeat { query_id: id, heartbeat, members_digest };
    let sent_at = clock::now();
    match query(node, socket, (reader, address), (id, &datagram), STATUS_TIMEOUT).await {
        Some(ForwardDatagram::MemberStatus { members, .. }) => Some((members, sent_at)),
        _ => None,
    }
}

/// Fetches the value of the configuration's row of version `row` from `reader`. Returns `None` if
/// the reader does not respond or does not relay it.
pub async fn fetch_config(
    node: &ForwardNode,
    socket: &PeerSocket,
    reader: &NodeName,
    row: RowVersion,
) -> Option<Vec<u8>> {
    let address = node.state().members.peer_address(reader)?;
    let mut value = Vec::new();
    loop {
        let id = socket.next_id();
        let skip = u32::try_from(value.len()).ok()?;
        let datagram = ForwardDatagram::QueryConfig { query_id: id, row, skip };
        let reply = query(node, socket, (reader, address), (id, &datagram), STATUS_TIMEOUT).await?;
        let ForwardDatagram::ConfigPart { size, mut bytes, .. } = reply else { return None };
        if bytes.is_empty() {
            return None;
        }
        value.append(&mut bytes);
        if value.len() >= usize::try_from(size).ok()? {
            return Some(value);
        }
    }
}

/// Queries the members known to `reader`, without the first `skip` changes. Returns `None` if it
/// does not respond.
pub async fn query_members(
    node: &ForwardNode,
    socket: &PeerSocket,
    reader: &NodeName,
    skip: u32,
) -> Option<RelayedMembers> {
    let address = node.state().members.peer_address(reader)?;
    let id = socket.next_id();
    let members_digest = node.state().members.list().digest();
    let datagram = ForwardDatagram::QueryMembers { query_id: id, members_digest, skip };
    match query(node, socket, (reader, address), (id, &datagram), STATUS_TIMEOUT).await {
        Some(ForwardDatagram::MemberStatus { members, .. }) => Some(members),
        _ => None,
    }
}

/// Returns unused units to `owner`.
pub async fn release_units(
    node: &ForwardNode,
    socket: &PeerSocket,
    owner: &NodeName,
    workspace: WorkspaceName,
    units: f64,
) {
    let Some(address) = node.state().members.peer_address(owner) else { return };
    send(node, socket, owner, address, &ForwardDatagram::ReleaseUnits { workspace, units }).await;
}

/// Tells the node at `address` where the stream of `attempt` began.
pub async fn announce_origin(
    node: &ForwardNode,
    socket: &PeerSocket,
    (keeper, address): (&NodeName, SocketAddr),
    (attempt, origin): (AttemptKey, StreamOrigin),
    lifetime: Duration,
) {
    let lifetime_ms = u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX);
    let datagram = ForwardDatagram::AnnounceOrigin { attempt, origin, lifetime_ms };
    send(node, socket, keeper, address, &datagram).await;
}

/// Asks the node at `address` where the stream of `attempt` began, which one of `pools` serves.
/// Returns `None` if it does not respond, and `Some(None)` if it does not know.
pub async fn query_origin(
    node: &ForwardNode,
    socket: &PeerSocket,
    (keeper, address): (&NodeName, SocketAddr),
    attempt: AttemptKey,
    pools: Vec<PoolName>,
) -> Option<Option<StreamOrigin>> {
    let id = socket.next_id();
    let datagram = ForwardDatagram::QueryOrigin { query_id: id, attempt, pools };
    match query(node, socket, (keeper, address), (id, &datagram), ORIGIN_TIMEOUT).await {
        Some(ForwardDatagram::OriginStatus { origin, .. }) => Some(origin),
        _ => None,
    }
}

/// Tells the node at `address` about suspects.
pub async fn send_suspects(
    node: &ForwardNode,
    socket: &PeerSocket,
    (peer, address): (&NodeName, SocketAddr),
    published: PublishedSuspects,
) {
    send(node, socket, peer, address, &ForwardDatagram::AnnounceSuspects { published }).await;
}

/// Receives datagrams until the process exits.
async fn receive_datagrams(node: Rc<ForwardNode>, socket: Rc<PeerSocket>) {
    loop {
        match socket.receive().await {
            Ok(received) => {
                update_liveness(&node, &received);
                handle_datagram(&node, &socket, received).await;
            }
            Err((from, error)) => {
                let fields = json!({ "from": from.to_string(), "reason": error.to_string() });
                // Nodes of a later build may send kinds that this one does not know, several times a second.
                node.log.record_once_a_minute("datagram-refused", error.name(), fields);
            }
        }
    }
}

/// Updates the liveness of the sender of a datagram, which includes whether it can act as an owner.
fn update_liveness(node: &ForwardNode, received: &ReceivedDatagram) {
    let now = clock::now();
    node.state().heard_at = Some(now);
    if matches!(received.datagram, ForwardDatagram::Pong | ForwardDatagram::NotEligible) {
        node.state().quota_reach.record_answer(&received.sender, now);
    }
    match received.datagram {
        ForwardDatagram::NotEligible => node.state().liveness.record_unable(&received.sender, now),
        // Nodes that can't act as owners exchange these messages too, so they say nothing about
        // eligibility.
        ForwardDatagram::QueryStoreStatus { .. }
        | ForwardDatagram::StoreStatus { .. }
        | ForwardDatagram::Heartbeat { .. }
        | ForwardDatagram::QueryMembers { .. }
        | ForwardDatagram::MemberStatus { .. }
        | ForwardDatagram::QueryConfig { .. }
        | ForwardDatagram::ConfigPart { .. }
        | ForwardDatagram::AnnounceOrigin { .. }
        | ForwardDatagram::QueryOrigin { .. }
        | ForwardDatagram::OriginStatus { .. }
        | ForwardDatagram::AnnounceSuspects { .. }
        | ForwardDatagram::QuerySuspects { .. }
        | ForwardDatagram::AcquireTrial { .. }
        | ForwardDatagram::ReleaseTrial { .. }
        | ForwardDatagram::TrialDecision { .. }
        | ForwardDatagram::Limits(_)
        | ForwardDatagram::Slots(_)
        | ForwardDatagram::Speeds(_)
        | ForwardDatagram::Loads(_)
        | ForwardDatagram::Rollouts(_) => {}
        _ => node.state().liveness.record_contact(&received.sender, now),
    }
}

async fn handle_datagram(
    node: &Rc<ForwardNode>,
    socket: &Rc<PeerSocket>,
    received: ReceivedDatagram,
) {
    let ReceivedDatagram { sender, from, datagram } = received;
    match datagram {
        ForwardDatagram::AcquireUnits { query_id: id, workspace, units, failover: is_failover } => {
            let (node, socket) = (Rc::clone(node), Rc::clone(socket));
            // A decision may have to wait for probe replies, which arrive in the calling task.
            actix_web::rt::spawn(async move {
                let decision = decide_quota(&node, &socket, &workspace, units, is_failover).await;
                let eligible = node.state().freshness.allows_admission(clock::now());
                send(&node, &socket, &sender, from, &encode_reply(id, decision)).await;
                if !eligible {
                    send(&node, &socket, &sender, from, &ForwardDatagram::NotEligible).await;
                }
            });
        }
        ForwardDatagram::QueryStoreStatus { query_id: id, list_digest: digest, skip } => {
            let status = node.state().store_status(digest, skip, clock::now());
            send(
                node,
                socket,
                &sender,
                from,
                &ForwardDatagram::StoreStatus { query_id: id, store_status: status },
            )
            .await;
        }
        ForwardDatagram::Granted { query_id: id }
        | ForwardDatagram::OverLimit { query_id: id, .. }
        | ForwardDatagram::Declined { query_id: id }
        | ForwardDatagram::StoreStatus { query_id: id, .. }
        | ForwardDatagram::ConfigPart { query_id: id, .. }
        | ForwardDatagram::OriginStatus { query_id: id, .. }
        | ForwardDatagram::TrialDecision { query_id: id, .. }
        | ForwardDatagram::MemberStatus { query_id: id, .. } => socket.complete(id, datagram),
        ForwardDatagram::QueryConfig { query_id: id, row, skip } => {
            let (size, bytes) = node.state().config_part(row, skip);
            let reply = ForwardDatagram::ConfigPart { query_id: id, size, bytes };
            send(node, socket, &sender, from, &reply).await;
        }
        ForwardDatagram::Heartbeat { query_id: id, heartbeat, members_digest: digest } => {
            let now = clock::now();
            let members = {
                let mut state = node.state();
                state.group.record(&sender, heartbeat, now);
                state.relayed_members(digest, 0, now)
            };
            let reply = ForwardDatagram::MemberStatus { query_id: id, members };
            send(node, socket, &sender, from, &reply).await;
        }
        ForwardDatagram::QueryMembers { query_id: id, members_digest: digest, skip } => {
            let members = node.state().relayed_members(digest, skip, clock::now());
            let reply = ForwardDatagram::MemberStatus { query_id: id, members };
            send(node, socket, &sender, from, &reply).await;
        }
        ForwardDatagram::AnnounceOrigin { attempt, origin, lifetime_ms } => {
            let lifetime = Duration::from_millis(lifetime_ms);
            let source = OriginSource::Announced;
            node.state().origins.record(attempt, origin, source, lifetime, clock::now());
        }
        ForwardDatagram::QueryOrigin { query_id: id, attempt, pools } => {
            let origin = node.state().find_origin(Some(attempt), &pools, clock::now());
            let reply = ForwardDatagram::OriginStatus { query_id: id, origin };
            send(node, socket, &sender, from, &reply).await;
        }
        ForwardDatagram::AnnounceSuspects { published } => {
            handle_update(node, socket, (&sender, from), published).await;
        }
        ForwardDatagram::QuerySuspects { digest } => {
            answer_comparison(node, socket, (&sender, from), digest).await;
        }
        ForwardDatagram::AcquireTrial { query_id: id, key, keys } => {
            let granted = node.state().suspects.grant_trial(key, &keys, clock::now());
            let reply = ForwardDatagram::TrialDecision { query_id: id, granted };
            send(node, socket, &sender, from, &reply).await;
        }
        ForwardDatagram::Limits(message) => {
            handle_limit_message(node, socket, (&sender, from), message).await;
        }
        ForwardDatagram::Slots(message) => {
            handle_slot_message(node, socket, (&sender, from), message).await;
        }
        ForwardDatagram::Loads(message) => handle_load_message(node, &sender, message),
        ForwardDatagram::Rollouts(message) => {
            handle_rollout_message(node, socket, (&sender, from), message).await;
        }
        ForwardDatagram::Speeds(message) => handle_speed_message(node, &sender, &message),
        ForwardDatagram::ReleaseTrial { key } => node.state().suspects.release_trial(key),
        ForwardDatagram::ReleaseUnits { workspace, units } => {
            // An owner that only asked another one has no bucket in use. What it granted itself comes back to it.
            node.state().quota_owner.refund(&workspace, units);
        }
        ForwardDatagram::Ping => {
            let eligible = node.state().freshness.allows_admission(clock::now());
            let reply = if eligible { ForwardDatagram::Pong } else { ForwardDatagram::NotEligible };
            send(node, socket, &sender, from, &reply).await;
        }
        ForwardDatagram::Pong | ForwardDatagram::NotEligible => {}
    }
}

fn encode_reply(id: u64, decision: Option<QuotaDecision>) -> ForwardDatagram {
    match decision {
        Some(QuotaDecision::Granted) => ForwardDatagram::Granted { query_id: id },
        Some(QuotaDecision::Over(wait)) => {
            let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            ForwardDatagram::OverLimit { query_id: id, wait_ms }
        }
        None => ForwardDatagram::Declined { query_id: id },
    }
}
