//! Startup and graceful stop of a node.

use std::{
    net::{SocketAddr, TcpListener as StdTcpListener, UdpSocket as StdUdpSocket},
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use actix::{Actor, Arbiter, System};
use actix_web::{App, HttpServer, dev::Server, web};
use arc_swap::ArcSwapOption;
use awc::{Client, Connector};
use eyre::{WrapErr, eyre};
use log::info;
use samphiredeck_core::{config_change::ConfigInForce, ids::Incarnation};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{mpsc, oneshot},
};

use crate::{
    actor::{ControlActor, ControlAddress, ControlIo},
    admin,
    caller::{self, CallerContext, claim_lock::ClaimLocks},
    control::{ControlOptions, ControlState, NodeIdentity},
    engine_client::EngineClient,
    event::AdoptedWork,
    handle::ControlHandle,
    logging::NODE,
    metrics::MetricsReporter,
    peer_server::{receive_datagrams, serve_peer_requests},
    platform_client::PlatformClient,
    runner::{RunContext, RunTask},
    settings::NodeSettings,
    stop::{stop_gracefully, wait_for_stop_signal},
};

/// Time limit, in seconds, for open connections to finish once all runs have ended.
const SHUTDOWN_TIMEOUT_S: u64 = 3;
/// Backlog of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Connect timeout for HTTP calls to other nodes and for load reports of services.
const HTTP_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Sockets that the node listens on.
struct NodeSockets {
    caller: StdTcpListener,
    peer_tcp: StdTcpListener,
    peer_udp: StdUdpSocket,
}

/// Runs a node until it is stopped by a signal or a reclaim notice.
pub fn run(settings: NodeSettings) -> eyre::Result<()> {
    let sockets = bind_sockets(&settings)?;
    System::new().block_on(serve(settings, sockets))
}

/// Binds all addresses, so that an address in use is reported before anything starts.
fn bind_sockets(settings: &NodeSettings) -> eyre::Result<NodeSockets> {
    let caller = bind_tcp("listen.caller", settings.caller_address)?;
    let peer_tcp = bind_tcp("listen.peer", settings.peer_address)?;
    // The TCP and UDP sockets for peers must have the same port, also where the system picks it.
    let address = peer_tcp.local_addr()?;
    let peer_udp =
        StdUdpSocket::bind(address).wrap_err_with(|| format!("listen.peer: {address}"))?;
    peer_udp.set_nonblocking(true)?;
    Ok(NodeSockets { caller, peer_tcp, peer_udp })
}

fn bind_tcp(field: &str, address: SocketAddr) -> eyre::Result<StdTcpListener> {
    let listener = StdTcpListener::bind(address).wrap_err_with(|| format!("{field}: {address}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

async fn serve(settings: NodeSettings, sockets: NodeSockets) -> eyre::Result<()> {
    let identity = build_identity(&settings, &sockets)?;
    let (adopted_work, adopted_work_receiver) = mpsc::unbounded_channel();
    let (stop_notices, mut stop_notices_receiver) = mpsc::unbounded_channel();
    let control =
        start_control(&settings, identity, adopted_work, stop_notices, sockets.peer_udp).await?;
    start_peer_server(&settings, control.clone(), sockets.peer_tcp);
    start_adopted_work_runner(&settings, control.clone(), adopted_work_receiver);
    let server = start_server(&settings, control.clone(), sockets.caller)?;
    let server_handle = server.handle();
    actix_web::rt::spawn(server);
    info!(target: NODE, "Node {} is serving.", settings.name);
    let timeout = wait_for_stop_signal(&settings, &mut stop_notices_receiver).await?;
    stop_gracefully(&control, &settings, timeout).await;
    server_handle.stop(true).await;
    Ok(())
}

/// Builds the identity of this node. The incarnation is the start time in milliseconds.
fn build_identity(settings: &NodeSettings, sockets: &NodeSockets) -> eyre::Result<NodeIdentity> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let caller = sockets.caller.local_addr()?;
    let peer = sockets.peer_tcp.local_addr()?;
    info!(target: NODE, "Listening for callers at {caller} and for nodes at {peer}.");
    // The system may have picked the ports, so the process that started the node reads them here.
    println!("callers {caller} nodes {peer}");
    Ok(NodeIdentity {
        name: settings.name.clone(),
        incarnation: Incarnation(u64::try_from(since.as_millis())?),
        domain: settings.domain.clone(),
        peer_address: settings.advertise_peer.unwrap_or(peer),
        caller_address: settings.advertise_caller.unwrap_or(caller),
        instance: settings.instance.clone(),
        key: settings.peer_key.clone(),
    })
}

/// Starts the control thread with its clients, metrics and datagram receiver.
async fn start_control(
    settings: &NodeSettings,
    identity: NodeIdentity,
    adopted_work: mpsc::UnboundedSender<Box<AdoptedWork>>,
    stop_notices: mpsc::UnboundedSender<u64>,
    peer_udp: StdUdpSocket,
) -> eyre::Result<ControlHandle> {
    let snapshot: Arc<ArcSwapOption<ConfigInForce>> = Arc::new(ArcSwapOption::empty());
    // Numbers start at a value derived from the incarnation, so that request ids of different
    // incarnations never collide.
    let first_request_number = identity.incarnation.0 << 20;
    let options = ControlOptions {
        policy: settings.policy,
        placement: settings.placement,
        kept_answers: settings.kept_answers,
        seeds: settings.seeds.iter().map(|seed| (seed.name.clone(), seed.address)).collect(),
    };
    let (sender, receiver) = oneshot::channel::<eyre::Result<ControlAddress>>();
    let (settings, shared) = (settings.clone(), Arc::clone(&snapshot));
    let name = settings.name.clone();
    let arbiter = Arbiter::new();
    arbiter.spawn_fn(move || {
        let state = ControlState::new(identity, options, shared, Instant::now());
        let io = build_control_io(&settings, adopted_work, stop_notices);
        let metrics = MetricsReporter::new(settings.statsd);
        let address = ControlActor::new(state, io, metrics).start();
        let started = UdpSocket::from_std(peer_udp).wrap_err("listen.peer").map(|socket| {
            actix::spawn(receive_datagrams(socket, address.clone()));
            address
        });
        drop(sender.send(started));
    });
    let address = receiver.await.map_err(|_gone| eyre!("control thread did not start"))??;
    Ok(ControlHandle::new(address, snapshot, name, first_request_number))
}

fn build_control_io(
    settings: &NodeSettings,
    adopted_work: mpsc::UnboundedSender<Box<AdoptedWork>>,
    stop_notices: mpsc::UnboundedSender<u64>,
) -> ControlIo {
    let timeout = settings.platform_timeout.to_duration();
    ControlIo {
        platform: PlatformClient::new(settings.platform_address, timeout),
        engines: EngineClient::new(),
        key: settings.peer_key.clone(),
        local_address: settings.peer_address,
        adopted_work,
        stop_notices,
    }
}

/// Builds a client that opens a new connection for each call. Used for calls to other nodes.
fn build_unpooled_client() -> Client {
    let connector =
        Connector::new().timeout(HTTP_CONNECT_TIMEOUT).conn_keep_alive(Duration::ZERO).limit(0);
    Client::builder().connector(connector).disable_timeout().finish()
}

/// Starts the server for requests of other nodes on a separate thread.
fn start_peer_server(settings: &NodeSettings, control: ControlHandle, listener: StdTcpListener) {
    let (key, name) = (settings.peer_key.clone(), settings.name.clone());
    Arbiter::new().spawn_fn(move || {
        // The socket is already bound and non-blocking, so this only registers it.
        if let Ok(listener) = TcpListener::from_std(listener) {
            actix::spawn(serve_peer_requests(listener, key, name, control));
        }
    });
}

/// Starts a separate thread that runs work adopted from other nodes.
fn start_adopted_work_runner(
    settings: &NodeSettings,
    control: ControlHandle,
    mut adopted_work: mpsc::UnboundedReceiver<Box<AdoptedWork>>,
) {
    let settings = settings.clone();
    Arbiter::new().spawn_fn(move || {
        let context = build_run_context(&settings, control);
        let timeout = settings.platform_timeout.to_duration();
        let platform = PlatformClient::new(settings.platform_address, timeout);
        actix::spawn(async move {
            while let Some(work) = adopted_work.recv().await {
                actix::spawn(RunTask::resume(*work, context.clone(), platform.clone()));
            }
        });
    });
}

fn build_run_context(settings: &NodeSettings, control: ControlHandle) -> RunContext {
    RunContext {
        control,
        engines: EngineClient::new(),
        key: settings.peer_key.clone(),
        stream_idle: settings.stream_idle,
        caller_idle: settings.caller_idle,
    }
}

/// Starts the HTTP server and its worker threads.
fn start_server(
    settings: &NodeSettings,
    control: ControlHandle,
    listener: StdTcpListener,
) -> eyre::Result<Server> {
    let shared = settings.clone();
    let server = HttpServer::new(move || {
        // HTTP clients can't be shared between threads, so each worker builds its own.
        let timeout = shared.platform_timeout.to_duration();
        let context = CallerContext {
            claim_locks: ClaimLocks::default(),
            runs: build_run_context(&shared, control.clone()),
            platform: PlatformClient::new(shared.platform_address, timeout),
            peer_client: build_unpooled_client(),
            body_limit: shared.body_limit,
            operator_key: shared.operator_key,
        };
        App::new()
            .app_data(web::Data::new(context))
            .configure(caller::register)
            .service(web::scope("/admin").configure(admin::register))
    });
    let server = server
        .workers(settings.workers)
        .backlog(BACKLOG)
        .disable_signals()
        // With Nagle's algorithm a token that waits for the acknowledgement of the previous one
        // is delayed by 40 ms.
        .tcp_nodelay(true)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
        .listen(listener)?
        .run();
    Ok(server)
}
