//! Fault-injecting proxy for TCP and UDP.

use std::{
    io,
    net::{SocketAddr, TcpListener as StdTcpListener, UdpSocket as StdUdpSocket},
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream, UdpSocket,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    runtime::Builder,
};

/// Size of the copy buffer of each direction.
const BUFFER_BYTES: usize = 16 * 1_024;
/// Interval at which open connections check whether they must be closed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How the proxy treats traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ProxyMode {
    /// Forwards everything.
    Pass = 0,
    /// Closes open connections, closes new ones at once, and drops datagrams.
    Disconnect = 1,
    /// Discards all traffic without closing connections. Connections that lost bytes stay silent.
    Blackhole = 2,
    /// Forwards requests and discards responses. Connections that lost bytes stay silent. Drops all
    /// datagrams.
    DropResponses = 3,
}

impl ProxyMode {
    fn from_u8(value: u8) -> Self {
        match value {
            1 => Self::Disconnect,
            2 => Self::Blackhole,
            3 => Self::DropResponses,
            _ => Self::Pass,
        }
    }
}

/// Shared fault settings of a proxy.
#[derive(Debug, Default)]
struct ProxyControls {
    mode: AtomicU8,
    delay_ms: AtomicU64,
    /// Share of dropped datagrams in permille.
    drop_permille: AtomicU64,
    /// Connections up to this number discard all traffic.
    frozen_up_to: AtomicU64,
    /// Number of connections opened so far. Also the number of the newest connection.
    connections: AtomicU64,
}

/// Proxy for one target address. Its thread runs until the process exits.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    controls: Arc<ProxyControls>,
}

impl FaultProxy {
    /// Starts a proxy for TCP and UDP on a free loopback port. The target may be set later with
    /// [`ProxyTarget::set`].
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start() -> io::Result<(Self, ProxyTarget)> {
        let (listener, datagrams) = bind_tcp_and_udp()?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        datagrams.set_nonblocking(true)?;
        let controls = Arc::new(ProxyControls::default());
        let target = ProxyTarget(Arc::new(AtomicU64::new(0)));
        let proxy = Self { address, controls: Arc::clone(&controls) };
        let shared = target.clone();
        thread::Builder::new().name("fault-proxy".to_owned()).spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            if let Ok(runtime) = runtime {
                runtime.block_on(run_proxy(listener, datagrams, shared, controls));
            }
        })?;
        Ok((proxy, target))
    }

    /// Listening address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how all traffic is treated from now on.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.controls.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// Sets the delay of each forwarded chunk of TCP data.
    pub fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.controls.delay_ms.store(millis, Ordering::SeqCst);
    }

    /// Sets the share of dropped datagrams in permille.
    pub fn set_datagram_loss_permille(&self, permille: u64) {
        self.controls.drop_permille.store(permille, Ordering::SeqCst);
    }

    /// Makes all connections opened so far discard traffic permanently. New connections work.
    pub fn freeze_open_connections(&self) {
        let opened = self.controls.connections.load(Ordering::SeqCst);
        self.controls.frozen_up_to.store(opened, Ordering::SeqCst);
    }

    /// Number of connections opened so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.controls.connections.load(Ordering::SeqCst)
    }
}

/// Target port of a proxy on the loopback address.
#[derive(Clone, Debug)]
pub struct ProxyTarget(Arc<AtomicU64>);

impl ProxyTarget {
    /// Sets the port to forward to. The IP address of `address` is ignored.
    pub fn set(&self, address: SocketAddr) {
        self.0.store(u64::from(address.port()), Ordering::SeqCst);
    }

    fn get(&self) -> SocketAddr {
        let port = u16::try_from(self.0.load(Ordering::SeqCst)).unwrap_or(0);
        SocketAddr::from(([127, 0, 0, 1], port))
    }
}

async fn run_proxy(
    listener: StdTcpListener,
    datagrams: StdUdpSocket,
    target: ProxyTarget,
    controls: Arc<ProxyControls>,
) {
    if let Ok(socket) = UdpSocket::from_std(datagrams) {
        tokio::spawn(forward_datagrams(socket, target.clone(), Arc::clone(&controls)));
    }
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    while let Ok((stream, _)) = listener.accept().await {
        if mode(&controls) == ProxyMode::Disconnect {
            continue;
        }
        let number = controls.connections.fetch_add(1, Ordering::SeqCst) + 1;
        let (controls, target) = (Arc::clone(&controls), target.get());
        tokio::spawn(async move {
            if let Ok(other) = TcpStream::connect(target).await {
                forward_connection(stream, other, number, controls).await;
            }
        });
    }
}

/// Binds one free port for both TCP and UDP. The port that the kernel picks for TCP may be in use
/// for UDP, so several ports are tried.
fn bind_tcp_and_udp() -> io::Result<(StdTcpListener, StdUdpSocket)> {
    /// Maximum number of retries.
    const MAX_ATTEMPTS: u32 = 20;
    let mut attempts = 0;
    loop {
        let listener = StdTcpListener::bind(("127.0.0.1", 0))?;
        match StdUdpSocket::bind(listener.local_addr()?) {
            Ok(datagrams) => return Ok((listener, datagrams)),
            Err(error) if error.kind() != io::ErrorKind::AddrInUse || attempts >= MAX_ATTEMPTS => {
                return Err(error);
            }
            Err(_in_use) => attempts += 1,
        }
    }
}

fn mode(controls: &ProxyControls) -> ProxyMode {
    ProxyMode::from_u8(controls.mode.load(Ordering::SeqCst))
}

async fn forward_datagrams(socket: UdpSocket, target: ProxyTarget, controls: Arc<ProxyControls>) {
    let mut buffer = vec![0; 65_536];
    // Nodes reply to the advertised address of the peer, so datagrams pass in one direction only.
    while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
        let sample = rand::random_range(0..1_000);
        let dropped = sample < controls.drop_permille.load(Ordering::SeqCst);
        if !dropped && mode(&controls) == ProxyMode::Pass {
            drop(socket.send_to(&buffer[..length], target.get()).await);
        }
    }
}

async fn forward_connection(
    caller: TcpStream,
    target: TcpStream,
    number: u64,
    controls: Arc<ProxyControls>,
) {
    let (caller_read, caller_write) = caller.into_split();
    let (target_read, target_write) = target.into_split();
    let to_target = forward_direction(caller_read, target_write, number, &controls, false);
    let to_caller = forward_direction(target_read, caller_write, number, &controls, true);
    let disconnected = async {
        while mode(&controls) != ProxyMode::Disconnect {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = async { tokio::join!(to_target, to_caller); } => {}
        () = disconnected => {}
    }
}

/// Whether traffic of connection `number` is discarded in the given direction.
fn discards(controls: &ProxyControls, number: u64, is_response: bool) -> bool {
    let frozen = number <= controls.frozen_up_to.load(Ordering::SeqCst);
    match mode(controls) {
        ProxyMode::Pass | ProxyMode::Disconnect => frozen,
        ProxyMode::Blackhole => true,
        ProxyMode::DropResponses => frozen || is_response,
    }
}

async fn forward_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    controls: &ProxyControls,
    is_response: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    // A byte stream can't continue after a gap, so a connection that lost bytes stays silent.
    let mut bytes_lost = false;
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        bytes_lost |= discards(controls, number, is_response);
        if bytes_lost {
            if length == 0 {
                // The close of a silent connection is not forwarded either.
                std::future::pending::<()>().await;
            }
            continue;
        }
        let delay = controls.delay_ms.load(Ordering::SeqCst);
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        if length == 0 {
            drop(to.shutdown().await);
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
