//! Opens tunnels: connections through other nodes to upstreams that this one can't connect to.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use rand::random;
use samphiredeck_core::{
    forward::upstream_state::ResponseEvent,
    ids::{NodeName, UpstreamId},
};
use samphiredeck_wire::tunnel::{TunnelPurpose, TunnelReply, TunnelRequest};
use serde_json::json;
use socket2::SockRef;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout, timeout_at},
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
/// Number of nodes that can't reach an upstream, though they reach others, after which it is down. A
/// single one may have lost just this path.
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
    /// No node that was asked reaches any upstream.
    NoPath,
}

/// Asks other nodes, one after the other, to connect to the start `started_ms` of `upstream`.
pub async fn open_tunnel(
    node: &Rc<ForwardNode>,
    upstream: &UpstreamId,
    started_ms: Option<u64>,
    purpose: TunnelPurpose,
) -> TunnelOutcome {
    let Some(socket) = node.peer_socket.borrow().clone() else { return TunnelOutcome::NoPath };
    let request = TunnelRequest { upstream: upstream.clone(), started_ms, purpose };
    let until = Instant::now() + OPEN_TIMEOUT;
    let candidates = {
        let (state, settings) = (node.state(), node.settings());
        let members = state.members.list().entries();
        let own = (&settings.name, &settings.domain);
        state.tunnel_nodes.rank(members, own, ASKED_MAX, clock::now(), random)
    };
    let down_min = DOWN_REPLIES.min(candidates.len());
    let asked = candidates.len();
    let mut refusals = Vec::new();
    for (name, address) in candidates {
        let asked_at = clock::now();
        let exchange = timeout(REPLY_TIMEOUT, ask_node(&socket, (&name, address), &request));
        let Ok(replied) = timeout_at(until, exchange).await else { break };
        let (reply, stream) = match replied {
            Ok(Ok(replied)) => replied,
            failed => {
                let reason = match failed {
                    Ok(Err(error)) => error.to_string(),
                    _ => "no reply in time".to_owned(),
                };
                let fields = json!({ "via": name.as_str(), "reason": reason });
                node.log.record("tunnel-failed", fields);
                node.state().tunnel_nodes.record(&name, false, clock::now());
                continue;
            }
        };
        let fields = json!({
            "upstream": upstream.as_str(), "via": name.as_str(), "purpose": format!("{purpose:?}"),
            "reply": format!("{reply:?}"), "took_ms": clock::now().since(asked_at).as_millis(),
        });
        node.log.record("tunnel", fields);
        let reached = matches!(reply, TunnelReply::Connected | TunnelReply::Down { .. });
        node.state().tunnel_nodes.record(&name, reached, clock::now());
        match reply {
            TunnelReply::Connected => {
                node.metrics.paths.tunnels_opened.inc();
                return TunnelOutcome::Connected(TunnelStream::new(stream), name);
            }
            TunnelReply::Down { refused } => {
                refusals.push(refused);
                if refusals.len() >= down_min {
                    break;
                }
            }
            TunnelReply::Leaving => return TunnelOutcome::Closed(ResponseEvent::Leaving),
            TunnelReply::Paused { wait_ms } => {
                let pause = Duration::from_millis(wait_ms);
                return TunnelOutcome::Closed(ResponseEvent::Pause(pause));
            }
            TunnelReply::NoPath | TunnelReply::Unknown | TunnelReply::Busy => {}
        }
    }
    if refusals.is_empty() {
        log_no_path(node, upstream, asked);
        return TunnelOutcome::NoPath;
    }
    TunnelOutcome::Down { refused: refusals.iter().all(|refused| *refused) }
}

/// Logs that none of the nodes that were to be asked has connected to `upstream`, and what is known of all.
fn log_no_path(node: &ForwardNode, upstream: &UpstreamId, asked: usize) {
    let (reached, failed) = node.state().tunnel_nodes.count(clock::now());
    let fields = json!({
        "upstream": upstream.as_str(), "asked": asked, "reached": reached, "failed": failed,
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
