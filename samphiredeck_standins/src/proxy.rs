//! Fault-injecting proxy for TCP and UDP.

use std::{
    io,
    net::{SocketAddr, TcpListener as StdTcpListener, UdpSocket as StdUdpSocket},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering},
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

/// Time from the last byte before a reset to it.
const RESET_DELAY: Duration = Duration::from_millis(2);

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

/// Cut of responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyCut {
    /// Beginning of the requests whose responses are cut.
    pub request: &'static str,
    /// Number of bytes of a response that are forwarded. The connection ends after them.
    pub bytes: usize,
    /// Whether it is reset and not closed.
    pub reset: bool,
}

/// Shared fault settings of a proxy.
#[derive(Debug, Default)]
struct ProxyControls {
    cut: Mutex<Option<ProxyCut>>,
    mode: AtomicU8,
    delay_ms: AtomicU64,
    /// Share of dropped datagrams in permille.
    drop_permille: AtomicU64,
    /// Connections up to this number discard all traffic.
    frozen_up_to: AtomicU64,
    /// Number of connections opened so far. Also the number of the newest connection.
    connections: AtomicU64,
}

impl ProxyControls {
    fn lock_cut(&self) -> MutexGuard<'_, Option<ProxyCut>> {
        self.cut.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Cut of the response that a connection waits for.
#[derive(Debug, Default)]
struct ConnectionCut {
    cut: Mutex<Option<ProxyCut>>,
    /// Number of bytes of the response that were forwarded.
    forwarded: AtomicUsize,
}

impl ConnectionCut {
    fn lock(&self) -> MutexGuard<'_, Option<ProxyCut>> {
        self.cut.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records `bytes` of a request, which may have begun before.
    fn record_request(&self, bytes: &[u8], controls: &ProxyControls) {
        let cut = *controls.lock_cut();
        if let Some(cut) = cut.filter(|cut| bytes.starts_with(cut.request.as_bytes())) {
            *self.lock() = Some(cut);
            self.forwarded.store(0, Ordering::SeqCst);
        }
    }

    /// Counts `length` further bytes of a response. Returns how many of them are to be forwarded, and the cut
    /// that follows them.
    fn record_response(&self, length: usize) -> (usize, Option<ProxyCut>) {
        let before = self.forwarded.fetch_add(length, Ordering::SeqCst);
        let cut = self.lock().filter(|cut| before + length >= cut.bytes);
        (cut.map_or(length, |cut| cut.bytes.saturating_sub(before)), cut)
    }
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

    /// Cuts responses of HTTP requests from now on. The head of a request has to arrive at once.
    pub fn set_cut(&self, cut: Option<ProxyCut>) {
        *self.controls.lock_cut() = cut;
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
    let cut = ConnectionCut::default();
    let ways = (number, &*controls, &cut);
    let to_target = forward_direction(caller_read, target_write, ways, false);
    let to_caller = forward_direction(target_read, caller_write, ways, true);
    let disconnected = async {
        while mode(&controls) != ProxyMode::Disconnect {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let both = async { tokio::try_join!(to_target, to_caller) };
    tokio::select! {
        _ = both => {}
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

/// The connection ends after this response.
struct ResponseEnded;

async fn forward_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    (number, controls, connection_cut): (u64, &ProxyControls, &ConnectionCut),
    is_response: bool,
) -> Result<(), ResponseEnded> {
    let mut buffer = vec![0; BUFFER_BYTES];
    // A byte stream can't continue after a gap, so a connection that lost bytes stays silent.
    let mut bytes_lost = false;
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return Ok(()) };
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
            return Ok(());
        }
        let (forwarded, cut) = if is_response {
            connection_cut.record_response(length)
        } else {
            connection_cut.record_request(&buffer[..length], controls);
            (length, None)
        };
        if to.write_all(&buffer[..forwarded]).await.is_err() {
            return Ok(());
        }
        if let Some(cut) = cut {
            if cut.reset {
                // What was forwarded arrives first.
                tokio::time::sleep(RESET_DELAY).await;
                drop(to.as_ref().set_zero_linger());
            }
            return Err(ResponseEnded);
        }
    }
}
