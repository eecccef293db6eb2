//! Opens tunnels: connections through other nodes to upstreams that this one can't connect to.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use rand::random;
use samphiredeck_core::{
    forward::{
        tunnel_nodes::{TunnelCandidate, TunnelResult},
        upstream_state::ResponseEvent,
    },
    ids::{DomainName, NodeName, UpstreamId},
};
use samphiredeck_wire::tunnel::{TunnelPurpose, TunnelReply, TunnelRequest};
use serde_json::json;
use socket2::SockRef;
use tokio::{
    net::TcpStream,
    select,
    time::{Instant, sleep_until, timeout},
};

use crate::forward::{
    clock,
    http_connection::TCP_USER_TIMEOUT,
    node::ForwardNode,
    peer_socket::PeerSocket,
    tunnel_messages::{TunnelError, read_message, write_message},
    tunnel_stream::TunnelStream,
};

/// Maximum time until one node has replied. Covers its own attempt to connect.
const REPLY_TIMEOUT: Duration = Duration::from_millis(450);
/// Maximum time over all nodes that are asked.
const OPEN_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of nodes that are asked.
const ASKED_MAX: usize = 4;
/// Time without a reply after which another node is asked as well. A node that has lost its paths without
/// knowing replies after several hundred milliseconds.
const HEDGE_DELAY: Duration = Duration::from_millis(80);
/// That time for a node that has reached upstreams lately, which may be busy.
const HEDGE_DELAY_PROVEN: Duration = Duration::from_millis(200);
/// Number of failure domains, or of nodes in a single one, with nodes that can't reach an upstream, though they
/// reach others, from which it is down. One that has lost just this path has often lost it as a whole.
const DOWN_REPLIES: usize = 2;

/// Result of opening a tunnel.
#[derive(Debug)]
pub enum TunnelOutcome {
    /// Connected through this node.
    Connected(TunnelStream, NodeName),
    /// Other nodes can't connect to the upstream either, though they reach others.
    Down {
        /// Whether it refused connections.
        refused: bool,
    },
    /// The upstream has told another node that it takes no requests.
    Closed(ResponseEvent),
    /// Some nodes reach others, but too few say that this one is down.
    Unconfirmed,
    /// No node that was asked reaches any upstream.
    NoPath,
}

/// Asks other nodes to connect to the start `started_ms` of `upstream`: one after the other, and the next one as
/// well while there is no reply.
pub async fn open_tunnel(
    node: &Rc<ForwardNode>,
    upstream: &UpstreamId,
    started_ms: Option<u64>,
    purpose: TunnelPurpose,
) -> TunnelOutcome {
    let Some(socket) = node.peer_socket.borrow().clone() else { return TunnelOutcome::NoPath };
    let request = TunnelRequest { upstream: upstream.clone(), started_ms, purpose };
    let candidates = {
        let (state, settings) = (node.state(), node.settings());
        let members = state.members.list().entries();
        let own = (&settings.name, &settings.domain);
        state.tunnel_nodes.rank(members, own, ASKED_MAX, clock::now(), random)
    };
    let asked = candidates.len();
    let mut witnesses = DownWitnesses::new(&candidates);
    let mut candidates = candidates.into_iter();
    let mut exchanges = FuturesUnordered::new();
    let mut waiting: Vec<(NodeName, Instant)> = Vec::new();
    let mut others_reached = false;
    let until = Instant::now() + OPEN_TIMEOUT;
    let mut ask_at = Instant::now();
    loop {
        if ask_at <= Instant::now() || exchanges.is_empty() {
            if let Some(candidate) = candidates.next() {
                let is_proven = candidate.is_proven;
                let delay = if is_proven { HEDGE_DELAY_PROVEN } else { HEDGE_DELAY };
                ask_at = Instant::now() + delay;
                waiting.push((candidate.node.clone(), Instant::now()));
                exchanges.push(ask_candidate(node, &socket, candidate, &request));
            } else if exchanges.is_empty() {
                break;
            } else {
                ask_at = until;
            }
        }
        let replied = select! {
            Some(replied) = exchanges.next() => replied,
            () = sleep_until(ask_at.min(until)) => {
                if until <= Instant::now() {
                    break;
                }
                continue;
            }
        };
        let (candidate, replied) = replied;
        waiting.retain(|(name, _)| *name != candidate.node);
        let Some((reply, stream)) = replied else {
            ask_at = Instant::now();
            continue;
        };
        match reply {
            TunnelReply::Connected => {
                node.metrics.paths.tunnels_opened.inc();
                record_unavailable(node, &waiting);
                return TunnelOutcome::Connected(TunnelStream::new(stream), candidate.node);
            }
            TunnelReply::Down { refused } => {
                others_reached = true;
                witnesses.add(candidate.domain, refused);
                if witnesses.are_enough() {
                    break;
                }
            }
            TunnelReply::Leaving => return TunnelOutcome::Closed(ResponseEvent::Leaving),
            TunnelReply::Paused { wait_ms } => {
                let pause = Duration::from_millis(wait_ms);
                return TunnelOutcome::Closed(ResponseEvent::Pause(pause));
            }
            TunnelReply::NoPathToPool => others_reached = true,
            TunnelReply::NoPath | TunnelReply::Unknown | TunnelReply::Busy => {}
        }
        ask_at = Instant::now();
    }
    record_unavailable(node, &waiting);
    if witnesses.are_enough() {
        return TunnelOutcome::Down { refused: witnesses.were_all_refused };
    }
    log_no_path(node, upstream, asked);
    if others_reached { TunnelOutcome::Unconfirmed } else { TunnelOutcome::NoPath }
}

/// Nodes that can't connect to an upstream, though they reach others.
#[derive(Debug)]
struct DownWitnesses {
    /// Their domains.
    domains: Vec<DomainName>,
    /// Whether nodes of several domains are asked. Then two of one domain count once.
    spans_domains: bool,
    /// Number from which the upstream is down. At least 1.
    min: usize,
    were_all_refused: bool,
}

impl DownWitnesses {
    /// Witnesses among `candidates`.
    fn new(candidates: &[TunnelCandidate]) -> Self {
        let first = candidates.first();
        let spans_domains = candidates
            .iter()
            .any(|candidate| first.is_some_and(|first| first.domain != candidate.domain));
        Self {
            domains: Vec::new(),
            spans_domains,
            min: DOWN_REPLIES.min(candidates.len()).max(1),
            were_all_refused: true,
        }
    }

    fn add(&mut self, domain: DomainName, refused: bool) {
        self.were_all_refused &= refused;
        if !self.spans_domains || !self.domains.contains(&domain) {
            self.domains.push(domain);
        }
    }

    fn are_enough(&self) -> bool {
        self.domains.len() >= self.min
    }
}

/// Records which of the nodes `waiting`, with the times at which they were asked, have not replied in time.
fn record_unavailable(node: &ForwardNode, waiting: &[(NodeName, Instant)]) {
    for (name, _) in waiting.iter().filter(|(_, asked_at)| asked_at.elapsed() >= HEDGE_DELAY) {
        node.state().tunnel_nodes.record(name, TunnelResult::Unavailable, clock::now());
    }
}

/// Asks `candidate`, and records what it shows. Returns its reply with the connection, if there is one.
async fn ask_candidate(
    node: &ForwardNode,
    socket: &PeerSocket,
    candidate: TunnelCandidate,
    request: &TunnelRequest,
) -> (TunnelCandidate, Option<(TunnelReply, TcpStream)>) {
    let asked_at = clock::now();
    let name = &candidate.node;
    let exchange = timeout(REPLY_TIMEOUT, ask_node(socket, (name, candidate.address), request));
    let replied = match exchange.await {
        Ok(Ok(replied)) => Ok(replied),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_elapsed) => Err("no reply in time".to_owned()),
    };
    let (result, replied) = match replied {
        Ok((reply, stream)) => {
            let fields = json!({
                "upstream": request.upstream.as_str(), "via": name.as_str(),
                "purpose": format!("{:?}", request.purpose), "reply": format!("{reply:?}"),
                "took_ms": clock::now().since(asked_at).as_millis(),
            });
            node.log.record("tunnel", fields);
            (result_of(&reply), Some((reply, stream)))
        }
        Err(reason) => {
            let fields = json!({ "via": name.as_str(), "reason": reason });
            node.log.record("tunnel-failed", fields);
            (Some(TunnelResult::Unavailable), None)
        }
    };
    if let Some(result) = result {
        node.state().tunnel_nodes.record(name, result, clock::now());
    }
    (candidate, replied)
}

/// What `reply` tells of the paths of the node that sent it.
fn result_of(reply: &TunnelReply) -> Option<TunnelResult> {
    match reply {
        TunnelReply::Connected | TunnelReply::Down { .. } => Some(TunnelResult::Reached),
        TunnelReply::NoPath => Some(TunnelResult::NoPath),
        TunnelReply::Busy => Some(TunnelResult::Unavailable),
        TunnelReply::Leaving
        | TunnelReply::Paused { .. }
        | TunnelReply::NoPathToPool
        | TunnelReply::Unknown => None,
    }
}

/// Logs that none of the nodes that were to be asked has connected to `upstream`, and what is known of all.
fn log_no_path(node: &ForwardNode, upstream: &UpstreamId, asked: usize) {
    let counts = node.state().tunnel_nodes.count(clock::now());
    let fields = json!({
        "upstream": upstream.as_str(), "asked": asked, "reached": counts.reached,
        "failed": counts.no_path, "unavailable": counts.unavailable,
        "members": node.state().members.count(),
    });
    node.log.record("no-tunnel", fields);
}

/// Sends `request` to the node at `address`. Returns its reply with the connection.
async fn ask_node(
    socket: &PeerSocket,
    (name, address): (&NodeName, SocketAddr),
    request: &TunnelRequest,
) -> Result<(TunnelReply, TcpStream), TunnelError> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    // On systems without this option, the request timeouts take its place.
    let unsupported = SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    drop(unsupported);
    let counter = socket.next_tunnel_id();
    write_message(&mut stream, socket, (name, counter), request).await?;
    let (header, reply) = read_message::<TunnelReply>(&mut stream, socket).await?;
    if header.node != *name || header.counter != counter {
        return Err(TunnelError::Mismatch);
    }
    Ok((reply, stream))
}
