//! Start and stop of a node, in order.

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
    actor::{ControlActor, ControlAddress, ControlTools},
    admin,
    caller::{self, CallerContext, claim_lock::ClaimLocks},
    control::{ControlOptions, ControlState, NodeIdentity},
    engine_client::EngineClient,
    event::TakenWork,
    handle::ControlHandle,
    logging::NODE,
    metrics::MetricsReporter,
    peer_server::{receive_datagrams, serve_peer_requests},
    platform_client::PlatformClient,
    runner::{RunContext, RunTask},
    service_client::ServiceClient,
    settings::NodeSettings,
    stop::{stop_gracefully, wait_for_stop_signal},
};

/// Bound on writing the last answers after everything has ended.
const CLOSE_WITHIN_S: u64 = 3;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Bound on making a connection to another node.
const FORWARD_CONNECT: Duration = Duration::from_millis(500);

/// Sockets that the node listens on.
struct NodeSockets {
    caller: StdTcpListener,
    peer_tcp: StdTcpListener,
    peer_udp: StdUdpSocket,
}

/// Runs a node until it is told to stop.
pub fn run(settings: NodeSettings) -> eyre::Result<()> {
    let sockets = bind_sockets(&settings)?;
    System::new().block_on(serve(settings, sockets))
}

/// Binds all addresses, so that one in use is told before anything starts.
fn bind_sockets(settings: &NodeSettings) -> eyre::Result<NodeSockets> {
    let caller = bind_tcp("listen.caller", settings.caller_address)?;
    let peer_tcp = bind_tcp("listen.peer", settings.peer_address)?;
    // Both halves of the peer address must have the same port, also where the system picks it.
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
    let identity = identify(&settings, &sockets)?;
    let (works, taken) = mpsc::unbounded_channel();
    let (stops, mut notices) = mpsc::unbounded_channel();
    let control = start_control(&settings, identity, works, stops, sockets.peer_udp).await?;
    start_questions(&settings, control.clone(), sockets.peer_tcp);
    start_taken_work(&settings, control.clone(), taken);
    let server = start_server(&settings, control.clone(), sockets.caller)?;
    let server_handle = server.handle();
    actix_web::rt::spawn(server);
    info!(target: NODE, "Node {} serves.", settings.name);
    let bound = wait_for_stop_signal(&settings, &mut notices).await?;
    stop_gracefully(&control, &settings, bound).await;
    server_handle.stop(true).await;
    Ok(())
}

/// Finds out who this run of the node is.
fn identify(settings: &NodeSettings, sockets: &NodeSockets) -> eyre::Result<NodeIdentity> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let caller = sockets.caller.local_addr()?;
    let peer = sockets.peer_tcp.local_addr()?;
    info!(target: NODE, "Callers at {caller}, nodes at {peer}.");
    // Whoever started the node may have let the system pick the ports.
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

/// Starts the control thread with everything that speaks to the outside for it.
async fn start_control(
    settings: &NodeSettings,
    identity: NodeIdentity,
    works: mpsc::UnboundedSender<Box<TakenWork>>,
    stops: mpsc::UnboundedSender<u64>,
    peer_udp: StdUdpSocket,
) -> eyre::Result<ControlHandle> {
    let snapshot: Arc<ArcSwapOption<ConfigInForce>> = Arc::new(ArcSwapOption::empty());
    // Request numbers of two runs of one node never meet.
    let first_number = identity.incarnation.0 << 20;
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
        let tools = build_tools(&settings, works, stops);
        let metrics = MetricsReporter::new(settings.statsd);
        let address = ControlActor::new(state, tools, metrics).start();
        let started = UdpSocket::from_std(peer_udp).wrap_err("listen.peer").map(|socket| {
            actix::spawn(receive_datagrams(socket, address.clone()));
            address
        });
        drop(sender.send(started));
    });
    let address = receiver.await.map_err(|_gone| eyre!("control thread did not start"))??;
    Ok(ControlHandle::new(address, snapshot, name, first_number))
}

fn build_tools(
    settings: &NodeSettings,
    works: mpsc::UnboundedSender<Box<TakenWork>>,
    stops: mpsc::UnboundedSender<u64>,
) -> ControlTools {
    let timeout = settings.platform_timeout.to_duration();
    ControlTools {
        platform: PlatformClient::new(settings.platform_address, timeout),
        engines: EngineClient::new(),
        reports: forward_client(),
        key: settings.peer_key.clone(),
        local: settings.peer_address,
        works,
        stops,
    }
}

/// Client for calls to other nodes, each on a connection of its own.
fn forward_client() -> Client {
    let connector =
        Connector::new().timeout(FORWARD_CONNECT).conn_keep_alive(Duration::ZERO).limit(0);
    Client::builder().connector(connector).disable_timeout().finish()
}

/// Answers other nodes on a thread of their own.
fn start_questions(settings: &NodeSettings, control: ControlHandle, listener: StdTcpListener) {
    let (key, name) = (settings.peer_key.clone(), settings.name.clone());
    Arbiter::new().spawn_fn(move || {
        // The socket was bound and made non-blocking before, so this only registers it.
        if let Ok(listener) = TcpListener::from_std(listener) {
            actix::spawn(serve_peer_requests(listener, key, name, control));
        }
    });
}

/// Runs work of other nodes on a thread of its own.
fn start_taken_work(
    settings: &NodeSettings,
    control: ControlHandle,
    mut taken: mpsc::UnboundedReceiver<Box<TakenWork>>,
) {
    let settings = settings.clone();
    Arbiter::new().spawn_fn(move || {
        let tools = run_tools(&settings, control);
        let timeout = settings.platform_timeout.to_duration();
        let platform = PlatformClient::new(settings.platform_address, timeout);
        actix::spawn(async move {
            while let Some(work) = taken.recv().await {
                actix::spawn(RunTask::resume(*work, tools.clone(), platform.clone()));
            }
        });
    });
}

fn run_tools(settings: &NodeSettings, control: ControlHandle) -> RunContext {
    RunContext {
        control,
        engines: EngineClient::new(),
        key: settings.peer_key.clone(),
        stream_idle: settings.stream_idle,
        caller_idle: settings.caller_idle,
    }
}

/// Starts the HTTP server on its traffic threads.
fn start_server(
    settings: &NodeSettings,
    control: ControlHandle,
    listener: StdTcpListener,
) -> eyre::Result<Server> {
    let shared = settings.clone();
    let server = HttpServer::new(move || {
        // Clients are bound to their thread, so each thread builds its own.
        let timeout = shared.platform_timeout.to_duration();
        let tools = CallerContext {
            claim_locks: ClaimLocks::default(),
            runs: run_tools(&shared, control.clone()),
            platform: PlatformClient::new(shared.platform_address, timeout),
            services: ServiceClient::new(),
            peer_client: forward_client(),
            body_limit: shared.body_limit,
            operator_key: shared.operator_key,
        };
        App::new()
            .app_data(web::Data::new(tools))
            .configure(caller::register)
            .service(web::scope("/admin").configure(admin::register))
    });
    let server = server
        .workers(settings.workers)
        .backlog(BACKLOG)
        .disable_signals()
        // A token that waits for the acknowledgement of the one before it comes 40 ms late.
        .tcp_nodelay(true)
        .shutdown_timeout(CLOSE_WITHIN_S)
        .listen(listener)?
        .run();
    Ok(server)
}
