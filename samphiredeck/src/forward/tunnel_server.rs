//! Connects to upstreams on behalf of nodes that can't, and passes the bytes of their connections on.
//!
//! What an upstream announces in its response binds this node as if the request were its own.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use samphiredeck_core::{
    forward::{
        upstream_paths::{PathFailure, PathRoute},
        upstreams::tracked::TrackedUpstream,
    },
    ids::{NodeName, RunKey, UpstreamId},
};
use samphiredeck_platform::headers::decode_announcements;
use samphiredeck_wire::{
    auth::ReplayGuard,
    tunnel::{TunnelPurpose, TunnelReply, TunnelRequest},
};
use serde_json::json;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, WriteHalf, copy},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf},
    select,
    time::{sleep, timeout},
};

use crate::forward::{
    clock,
    http_connection::TCP_USER_TIMEOUT,
    node::{ForwardNode, ShutdownPhase},
    peer_socket::PeerSocket,
    response_scan::ResponseScan,
    tunnel_messages::{TunnelError, read_message, write_message},
    tunnel_stream::TunnelStream,
    upstream_changes::{ResponseSource, handle_announcements},
    upstream_paths::{note_unreached, record_connected, record_failure},
};

/// Maximum time for a node to send its request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time until an upstream has accepted a connection. Below the time that the asking node waits.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of other upstreams that tell whether this node reaches any.
const OTHERS_TRIED: usize = 2;
/// Interval at which a starting node tries to listen.
const LISTEN_RETRY_PERIOD: Duration = Duration::from_millis(200);
/// Size of the copy buffer in bytes.
const BUFFER_BYTES: usize = 8 * 1_024;

/// Accepts tunnels of other nodes until the process exits.
pub async fn accept_tunnels(node: Rc<ForwardNode>) {
    let address = node.settings().listen.peer;
    let (listener, socket) = loop {
        let socket = node.peer_socket.borrow().clone();
        if let Some(socket) = socket {
            match TcpListener::bind(address).await {
                Ok(listener) => break (listener, socket),
                Err(error) => {
                    let fields = json!({ "reason": error.to_string() });
                    node.log.record_once_a_minute("tunnels-closed", "listen.peer", fields);
                }
            }
        }
        sleep(LISTEN_RETRY_PERIOD).await;
    };
    let replay_guard = Rc::new(RefCell::new(ReplayGuard::default()));
    loop {
        match listener.accept().await {
            // Closing the connection tells the other node to ask another one.
            Ok((stream, _)) if node.open_tunnels() >= node.descriptors.tunnels => drop(stream),
            Ok((stream, from)) => {
                let open_tunnel = Rc::clone(&node.tunnels);
                let (node, socket) = (Rc::clone(&node), Rc::clone(&socket));
                let replay_guard = Rc::clone(&replay_guard);
                actix_web::rt::spawn(async move {
                    if let Err(error) = serve_tunnel(&node, &socket, &replay_guard, stream).await {
                        let fields =
                            json!({ "from": from.to_string(), "reason": error.to_string() });
                        node.log.record("tunnel-refused", fields);
                    }
                    drop(open_tunnel);
                });
            }
            Err(error) => {
                node.log.record("accept-failed", json!({ "reason": error.to_string() }));
                sleep(LISTEN_RETRY_PERIOD).await;
            }
        }
    }
}

/// Serves the connection `stream` of another node.
async fn serve_tunnel(
    node: &Rc<ForwardNode>,
    socket: &PeerSocket,
    replay_guard: &RefCell<ReplayGuard>,
    mut stream: TcpStream,
) -> Result<(), TunnelError> {
    stream.set_nodelay(true)?;
    let unsupported = SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    drop(unsupported);
    let opening = read_message::<TunnelRequest>(&mut stream, socket);
    let Ok(opening) = timeout(REQUEST_TIMEOUT, opening).await else { return Ok(()) };
    let (header, request) = opening?;
    replay_guard.borrow_mut().accept(&header)?;
    let (reply, upstream) = connect_for(node, &request).await;
    let receiver = (&header.node, header.counter);
    write_message(&mut stream, socket, receiver, &reply).await?;
    if let Some(upstream) = upstream.filter(|_| request.purpose == TunnelPurpose::Request) {
        node.metrics.paths.tunnels_served.inc();
        let ended = splice(node, &request, TunnelStream::new(stream), upstream).await;
        log_end(node, &header.node, &request, &ended);
    }
    Ok(())
}

fn log_end(node: &ForwardNode, from: &NodeName, request: &TunnelRequest, ended: &io::Result<()>) {
    let reason = ended.as_ref().err().map(ToString::to_string);
    let fields = json!({
        "from": from.as_str(), "upstream": request.upstream.as_str(), "reason": reason,
    });
    node.log.record("tunnel-served", fields);
}

/// Connects to the upstream of `request`, if it takes requests of this node.
async fn connect_for(
    node: &Rc<ForwardNode>,
    request: &TunnelRequest,
) -> (TunnelReply, Option<TcpStream>) {
    let upstream = &request.upstream;
    let address = match check_request(node, request) {
        Ok(address) => address,
        Err(reply) => return (reply, None),
    };
    let failure = match connect_raw(address).await {
        Ok(stream) => {
            record_connected(node, upstream);
            return (TunnelReply::Connected, Some(stream));
        }
        Err(failure) => failure,
    };
    record_failure(node, upstream, failure);
    let reply = match find_reached(node, upstream).await {
        ReachedOthers::SamePool => TunnelReply::Down { refused: failure == PathFailure::Refused },
        ReachedOthers::OtherPools => TunnelReply::NoPathToPool,
        ReachedOthers::None => TunnelReply::NoPath,
    };
    (reply, None)
}

/// Address of the upstream of `request`, or why this node does not connect to it.
fn check_request(node: &ForwardNode, request: &TunnelRequest) -> Result<SocketAddr, TunnelReply> {
    let now = clock::now();
    if node.phase() >= ShutdownPhase::Draining {
        return Err(TunnelReply::Busy);
    }
    let state = node.state();
    let row = state.upstreams.find(&request.upstream);
    let row = row.filter(|row| row.entry.started_ms == request.started_ms);
    let Some(row) = row else { return Err(TunnelReply::Unknown) };
    if request.purpose == TunnelPurpose::Request {
        if row.state().has_left() {
            return Err(TunnelReply::Leaving);
        }
        if let Some(until) = row.state().accepts_from(now) {
            let wait_ms = u64::try_from(until.since(now).as_millis()).unwrap_or(u64::MAX);
            return Err(TunnelReply::Paused { wait_ms });
        }
    }
    if state.paths.route(&request.upstream) == PathRoute::OtherNode {
        return Err(TunnelReply::NoPath);
    }
    Ok(row.entry.address)
}

/// Which upstreams a node reaches besides one that it can't connect to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachedOthers {
    /// Another one of the same pool, or of any if all others of the pool have crashed.
    SamePool,
    /// Only those of other pools: the paths to one pool may be lost alone.
    OtherPools,
    /// None.
    None,
}

/// Finds out which upstreams this node reaches besides `failed`. If there are no others, it is assumed to reach
/// its pool.
pub async fn find_reached(node: &Rc<ForwardNode>, failed: &UpstreamId) -> ReachedOthers {
    let now = clock::now();
    let (same_pool, other_pools): (Vec<_>, Vec<_>) = {
        let state = node.state();
        let pool = state.upstreams.find(failed).map(|row| row.entry.pool.clone());
        let others = state.upstreams.rows().iter().filter(|row| {
            let run = RunKey::of(&row.entry.id, row.entry.started_ms);
            row.entry.id != *failed
                && row.is_accepting(now)
                && !state.suspects.has_crashed(run, now)
        });
        let is_same_pool = |row: &&TrackedUpstream| Some(&row.entry.pool) == pool.as_ref();
        let (same, others): (Vec<_>, Vec<_>) = others.partition(is_same_pool);
        let choose = |rows: Vec<&TrackedUpstream>| {
            let rows = rows.into_iter().map(|row| (row.entry.id.clone(), row.entry.address));
            let (failing, sound): (Vec<_>, Vec<_>) =
                rows.partition(|(id, _)| state.paths.has_failed(id, now));
            let rows = if sound.is_empty() { failing } else { sound };
            rows.choose_multiple(&mut rand::rng(), OTHERS_TRIED).cloned().collect()
        };
        (choose(same), choose(others))
    };
    if same_pool.is_empty() && other_pools.is_empty() {
        return ReachedOthers::SamePool;
    }
    let is_only_pool = same_pool.is_empty();
    let (same, others) = tokio::join!(try_all(node, same_pool), try_all(node, other_pools));
    match (same, others) {
        (true, _) => ReachedOthers::SamePool,
        (false, true) if is_only_pool => ReachedOthers::SamePool,
        (false, true) => ReachedOthers::OtherPools,
        (false, false) => {
            note_unreached(node, failed);
            ReachedOthers::None
        }
    }
}

/// Whether this node can connect to any of `others`.
async fn try_all(node: &ForwardNode, others: Vec<(UpstreamId, SocketAddr)>) -> bool {
    join_all(others.iter().map(|other| try_connect(node, other))).await.contains(&true)
}

/// Whether this node can connect to `upstream` at `address`.
async fn try_connect(node: &ForwardNode, (upstream, address): &(UpstreamId, SocketAddr)) -> bool {
    match connect_raw(*address).await {
        Ok(_stream) => {
            record_connected(node, upstream);
            true
        }
        Err(failure) => {
            record_failure(node, upstream, failure);
            false
        }
    }
}

async fn connect_raw(address: SocketAddr) -> Result<TcpStream, PathFailure> {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            Err(PathFailure::Refused)
        }
        Ok(Err(_)) | Err(_) => Err(PathFailure::Silent),
    }
}

/// Passes bytes on until the response has ended, or either side breaks off.
async fn splice(
    node: &Rc<ForwardNode>,
    request: &TunnelRequest,
    tunnel: TunnelStream,
    upstream: TcpStream,
) -> io::Result<()> {
    upstream.set_nodelay(true)?;
    let unsupported = SockRef::from(&upstream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    drop(unsupported);
    let (mut tunnel_read, mut tunnel_write) = tokio::io::split(tunnel);
    let (upstream_read, mut upstream_write) = upstream.into_split();
    let to_upstream = async {
        copy(&mut tunnel_read, &mut upstream_write).await?;
        upstream_write.shutdown().await?;
        std::future::pending().await
    };
    select! {
        ended = pass_response(node, request, upstream_read, &mut tunnel_write) => ended,
        ended = to_upstream => ended,
    }
}

/// Passes the bytes of a response on to the other node, and applies what its head announces.
async fn pass_response(
    node: &Rc<ForwardNode>,
    request: &TunnelRequest,
    mut from: OwnedReadHalf,
    to: &mut WriteHalf<TunnelStream>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut scan = ResponseScan::default();
    let sent_at = clock::now();
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return to.shutdown().await;
        }
        if let Some((status, headers)) = scan.push(&buffer[..length]) {
            let mut announcements = decode_announcements(status, &headers);
            // The other node tells all of these.
            (announcements.limit, announcements.brittle) = (None, None);
            let source = ResponseSource {
                request: "",
                upstream: &request.upstream,
                started_ms: request.started_ms,
                sent_at,
            };
            handle_announcements(node, &source, &announcements);
        }
        to.write_all(&buffer[..length]).await?;
        to.flush().await?;
    }
}
