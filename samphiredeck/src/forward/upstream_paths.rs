//! Connects to upstreams, directly or through other nodes, and tries lost paths again.

use std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

use rand::random;
use samphiredeck_core::{
    forward::{
        upstream_paths::{PathFailure, PathRoute},
        upstream_state::ResponseEvent,
    },
    ids::UpstreamId,
};
use samphiredeck_wire::tunnel::TunnelPurpose;
use serde_json::json;
use tokio::{
    select,
    sync::oneshot,
    time::{sleep, timeout},
};

use crate::forward::{
    clock,
    http_connection::{ConnectError, HttpConnection},
    node::ForwardNode,
    tunnel_client::{TunnelOutcome, open_tunnel},
    upstream_changes::{ResponseSource, handle_response_event},
};

/// Time without a direct connection after which other nodes are asked as well. Several times the usual.
const TUNNEL_DELAY: Duration = Duration::from_millis(120);
/// Interval at which a node with lost paths looks whether a probe is due.
const PROBE_CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Time after which a connection is tried again that found no free file descriptor. The idle connections that were closed for
/// it end when the tasks that drive them run.
const DESCRIPTOR_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Why there is no connection to an upstream.
#[derive(Debug)]
pub struct PathError {
    /// Description of the failure.
    pub reason: String,
    /// Whether the upstream is at fault, as far as known, and not the path to it.
    pub blames_upstream: bool,
    /// Whether no upstream can be reached.
    pub is_cut_off: bool,
}

impl PathError {
    /// Failure of this node to open any connection.
    fn of_lack(error: &ConnectError) -> Self {
        Self { reason: error.to_string(), blames_upstream: false, is_cut_off: false }
    }
}

/// Connects to the start `started_ms` of `upstream` at `address`.
///
/// # Errors
///
/// Returns an error if neither this node nor any other that was asked could connect to it.
pub async fn connect_upstream(
    node: &Rc<ForwardNode>,
    upstream: &UpstreamId,
    started_ms: Option<u64>,
    address: SocketAddr,
) -> Result<HttpConnection, PathError> {
    let is_alone = node.state().members.count() <= 1;
    let mut direct = None;
    let mut reason = "no path".to_owned();
    if is_alone || node.state().paths.route(upstream) == PathRoute::Direct {
        let mut attempt = start_direct(node, upstream, address);
        let delay = if is_alone { Duration::MAX } else { TUNNEL_DELAY };
        match timeout(delay, &mut attempt).await {
            Ok(Ok(Ok(connection))) => return Ok(connection),
            Ok(Ok(Err(error))) if error.lacks_descriptors() => {
                return Err(PathError::of_lack(&error));
            }
            Ok(Ok(Err(error))) => reason = error.to_string(),
            Ok(Err(_dropped)) => {}
            Err(_elapsed) => direct = Some(attempt),
        }
    }
    let outcome = {
        let tunnel = open_tunnel(node, upstream, started_ms, TunnelPurpose::Request);
        tokio::pin!(tunnel);
        match &mut direct {
            Some(attempt) => select! {
                outcome = &mut tunnel => outcome,
                connected = attempt => {
                    direct = None;
                    match connected {
                        Ok(Ok(connection)) => return Ok(connection),
                        Ok(Err(error)) => reason = error.to_string(),
                        Err(_dropped) => {}
                    }
                    tunnel.await
                }
            },
            None => tunnel.await,
        }
    };
    if let TunnelOutcome::Connected(tunnel, via) = outcome {
        record_reached(node, upstream);
        return HttpConnection::through(tunnel, via).await.map_err(|error| PathError {
            reason: error.to_string(),
            blames_upstream: false,
            is_cut_off: false,
        });
    }
    // A slow connection is better than none.
    if let Some(attempt) = direct {
        match attempt.await {
            Ok(Ok(connection)) => return Ok(connection),
            Ok(Err(error)) if error.lacks_descriptors() => return Err(PathError::of_lack(&error)),
            Ok(Err(error)) => reason = error.to_string(),
            Err(_dropped) => {}
        }
    }
    Err(explain_failure(node, upstream, started_ms, &outcome, reason))
}

fn explain_failure(
    node: &ForwardNode,
    upstream: &UpstreamId,
    started_ms: Option<u64>,
    outcome: &TunnelOutcome,
    reason: String,
) -> PathError {
    match *outcome {
        TunnelOutcome::Closed(event) => {
            let source =
                ResponseSource { request: "", upstream, started_ms, sent_at: clock::now() };
            handle_response_event(node, &source, event);
            let reason = match event {
                ResponseEvent::Pause(_) => "asked another node for time",
                ResponseEvent::Leaving | ResponseEvent::AddressReused => {
                    "takes no requests any more"
                }
            };
            PathError { reason: reason.to_owned(), blames_upstream: false, is_cut_off: false }
        }
        TunnelOutcome::Down { refused } => {
            let elsewhere = if refused { "refused" } else { "no connection" };
            let reason = format!("{reason}; {elsewhere} at other nodes");
            PathError { reason, blames_upstream: true, is_cut_off: false }
        }
        TunnelOutcome::Unconfirmed => {
            let blames_upstream = node.state().paths.route(upstream) == PathRoute::Direct;
            PathError { reason, blames_upstream, is_cut_off: false }
        }
        TunnelOutcome::NoPath | TunnelOutcome::Connected(..) => {
            note_unreached(node, upstream);
            let is_cut_off = node.state().paths.is_cut_off();
            let is_lost = node.state().paths.is_lost(upstream);
            PathError { reason, blames_upstream: !is_cut_off && !is_lost, is_cut_off }
        }
    }
}

/// Starts a direct connection. It is recorded, and kept if nobody waits for it any more.
fn start_direct(
    node: &Rc<ForwardNode>,
    upstream: &UpstreamId,
    address: SocketAddr,
) -> oneshot::Receiver<Result<HttpConnection, ConnectError>> {
    let (sender, receiver) = oneshot::channel();
    let (node, upstream) = (Rc::clone(node), upstream.clone());
    actix_web::rt::spawn(async move {
        let connected = connect_directly(&node, &upstream, address).await;
        if let Err(Ok(connection)) = sender.send(connected) {
            node.keep_connection(&upstream, connection, None);
        }
    });
    receiver
}

/// Connects to `upstream` directly, and records whether that was possible.
pub async fn connect_directly(
    node: &ForwardNode,
    upstream: &UpstreamId,
    address: SocketAddr,
) -> Result<HttpConnection, ConnectError> {
    let mut connected = node.connections.connect(address).await;
    if connected.as_ref().is_err_and(ConnectError::lacks_descriptors) {
        node.connections.close_all_idle();
        sleep(DESCRIPTOR_RETRY_DELAY).await;
        connected = node.connections.connect(address).await;
    }
    match &connected {
        Err(error) if error.lacks_descriptors() => {
            node.log.record("descriptors-full", json!({ "upstream": upstream.as_str() }));
        }
        Ok(_) => {
            node.metrics.connections.inc();
            record_connected(node, upstream);
        }
        Err(error) => record_failure(node, upstream, failure_of(error)),
    }
    connected
}

fn failure_of(error: &ConnectError) -> PathFailure {
    let refused = [ErrorKind::ConnectionRefused, ErrorKind::ConnectionReset];
    match error {
        ConnectError::Io(error) if refused.contains(&error.kind()) => PathFailure::Refused,
        ConnectError::Io(_) | ConnectError::Timeout(_) | ConnectError::Http(_) => {
            PathFailure::Silent
        }
    }
}

/// Records a connection of this node to `upstream`.
pub fn record_connected(node: &ForwardNode, upstream: &UpstreamId) {
    let returned = node.state().paths.record_connected(upstream, clock::now());
    if returned {
        let fields = json!({ "upstream": upstream.as_str(), "change": "returned" });
        node.log.record("path", fields);
    }
}

/// Records that a connection of this node to `upstream` failed.
pub fn record_failure(node: &ForwardNode, upstream: &UpstreamId, failure: PathFailure) {
    let lost = node.state().paths.record_failure(upstream, failure, clock::now());
    if lost {
        handle_loss(node, upstream);
    }
}

/// Records that another node has connected to `upstream`.
pub fn record_reached(node: &ForwardNode, upstream: &UpstreamId) {
    let lost = node.state().paths.record_reached(upstream, clock::now());
    if lost {
        handle_loss(node, upstream);
    }
}

/// Records that neither this node nor another one reaches any upstream, as seen when `upstream` was
/// tried.
pub fn note_unreached(node: &ForwardNode, upstream: &UpstreamId) {
    let lost = node.state().paths.record_unreached(clock::now());
    if lost {
        handle_loss(node, upstream);
    }
}

/// Logs that the path to `upstream` was lost, and closes idle connections that are probably silent.
fn handle_loss(node: &ForwardNode, upstream: &UpstreamId) {
    let (is_cut_off, is_silent, lost) = {
        let paths = &node.state().paths;
        (paths.is_cut_off(), paths.is_silent(upstream), paths.count_lost())
    };
    if is_silent && is_cut_off {
        node.connections.close_all_idle();
    } else if is_silent {
        node.connections.close_idle(upstream);
    }
    let fields = json!({
        "upstream": upstream.as_str(), "change": "lost", "silent": is_silent, "lost": lost,
        "cut_off": is_cut_off,
    });
    node.log.record("path", fields);
    node.path_lost.notify_waiters();
}

/// Tries lost paths again until the process exits.
pub async fn probe_paths(node: Rc<ForwardNode>) {
    loop {
        let has_lost = {
            let paths = &node.state().paths;
            paths.is_cut_off() || paths.count_lost() > 0
        };
        if !has_lost {
            node.path_lost.notified().await;
        }
        let probed = {
            let mut state = node.state();
            let state = &mut *state;
            let now = clock::now();
            let upstreams = &state.upstreams;
            state.paths.retain(|id| upstreams.find(id).is_some_and(|row| !row.state().has_left()));
            let listed = upstreams.rows().iter().filter(|row| row.is_accepting(now));
            let listed = listed.map(|row| &row.entry.id);
            let probed = state.paths.take_probe(listed, now, random());
            probed.and_then(|id| upstreams.find(&id).map(|row| (id.clone(), row.entry.address)))
        };
        if let Some((upstream, address)) = probed {
            drop(start_direct(&node, &upstream, address));
        }
        sleep(PROBE_CHECK_PERIOD).await;
    }
}
