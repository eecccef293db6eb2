//! Fault-injecting proxy for TCP connections and datagrams.

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

/// Bytes that are passed on at once.
const BUFFER: usize = 16 * 1_024;
/// Time between two looks of a connection that passes nothing on.
const LOOK: Duration = Duration::from_millis(10);

/// What the proxy does to traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ProxyMode {
    /// Everything passes.
    Pass = 0,
    /// Open connections are closed and new ones refused; datagrams are dropped.
    Cut = 1,
    /// Nothing passes, and nothing is closed. Connections that lost bytes stay silent.
    Hold = 2,
    /// Only answers are lost: what callers send passes. Connections that lost some stay silent.
    LoseAnswers = 3,
}

impl ProxyMode {
    fn of(value: u8) -> Self {
        match value {
            1 => Self::Cut,
            2 => Self::Hold,
            3 => Self::LoseAnswers,
            _ => Self::Pass,
        }
    }
}

/// Knobs of a proxy.
#[derive(Debug, Default)]
struct ProxyKnobs {
    mode: AtomicU8,
    delay_ms: AtomicU64,
    /// Datagrams out of 1000 that are dropped.
    drop_permille: AtomicU64,
    /// Connections that were opened before this generation pass nothing on any more.
    frozen_before: AtomicU64,
    connections: AtomicU64,
}

/// Proxy before one address. Its thread lives as long as the process.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    knobs: Arc<ProxyKnobs>,
}

impl FaultProxy {
    /// Starts a proxy for TCP and datagrams on one port that it picks itself. The target may be
    /// told later with [`ProxyTarget::set`].
    ///
    /// # Errors
    ///
    /// Returns why no port can be bound.
    pub fn start() -> io::Result<(Self, ProxyTarget)> {
        let (listener, datagrams) = bind_pair()?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        datagrams.set_nonblocking(true)?;
        let knobs = Arc::new(ProxyKnobs::default());
        let target = ProxyTarget(Arc::new(AtomicU64::new(0)));
        let proxy = Self { address, knobs: Arc::clone(&knobs) };
        let shared = target.clone();
        thread::Builder::new().name("fault-proxy".to_owned()).spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            if let Ok(runtime) = runtime {
                runtime.block_on(run(listener, datagrams, shared, knobs));
            }
        })?;
        Ok((proxy, target))
    }

    /// Address to connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what happens to all traffic from now on.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.knobs.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// Delays what passes.
    pub fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.knobs.delay_ms.store(millis, Ordering::SeqCst);
    }

    /// Drops this share of datagrams.
    pub fn set_drop_permille(&self, permille: u64) {
        self.knobs.drop_permille.store(permille, Ordering::SeqCst);
    }

    /// Lets the connections that are open now go silent for good, while new ones work.
    pub fn freeze_open(&self) {
        let opened = self.knobs.connections.load(Ordering::SeqCst);
        self.knobs.frozen_before.store(opened, Ordering::SeqCst);
    }

    /// Connections opened so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.knobs.connections.load(Ordering::SeqCst)
    }
}

/// Where a proxy sends what it takes: a port on the loopback address.
#[derive(Clone, Debug)]
pub struct ProxyTarget(Arc<AtomicU64>);

impl ProxyTarget {
    /// Sets the target.
    pub fn set(&self, address: SocketAddr) {
        self.0.store(u64::from(address.port()), Ordering::SeqCst);
    }

    fn get(&self) -> SocketAddr {
        let port = u16::try_from(self.0.load(Ordering::SeqCst)).unwrap_or(0);
        SocketAddr::from(([127, 0, 0, 1], port))
    }
}

async fn run(
    listener: StdTcpListener,
    datagrams: StdUdpSocket,
    target: ProxyTarget,
    knobs: Arc<ProxyKnobs>,
) {
    if let Ok(socket) = UdpSocket::from_std(datagrams) {
        tokio::spawn(pass_datagrams(socket, target.clone(), Arc::clone(&knobs)));
    }
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    while let Ok((stream, _)) = listener.accept().await {
        if mode(&knobs) == ProxyMode::Cut {
            continue;
        }
        let number = knobs.connections.fetch_add(1, Ordering::SeqCst) + 1;
        let (knobs, target) = (Arc::clone(&knobs), target.get());
        tokio::spawn(async move {
            if let Ok(other) = TcpStream::connect(target).await {
                pass_connection(stream, other, number, knobs).await;
            }
        });
    }
}

/// Binds one free port for connections and datagrams. The port that the machine picks for the one
/// may be in use for the other.
fn bind_pair() -> io::Result<(StdTcpListener, StdUdpSocket)> {
    /// Ports that are tried.
    const TRIES: u32 = 20;
    let mut tries = 0;
    loop {
        let listener = StdTcpListener::bind(("127.0.0.1", 0))?;
        match StdUdpSocket::bind(listener.local_addr()?) {
            Ok(datagrams) => return Ok((listener, datagrams)),
            Err(error) if error.kind() != io::ErrorKind::AddrInUse || tries >= TRIES => {
                return Err(error);
            }
            Err(_in_use) => tries += 1,
        }
    }
}

fn mode(knobs: &ProxyKnobs) -> ProxyMode {
    ProxyMode::of(knobs.mode.load(Ordering::SeqCst))
}

async fn pass_datagrams(socket: UdpSocket, target: ProxyTarget, knobs: Arc<ProxyKnobs>) {
    let mut buffer = vec![0; 65_536];
    // Nodes answer to each other's own address, so datagrams pass one way only.
    while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
        let drawn = rand::random_range(0..1_000);
        let dropped = drawn < knobs.drop_permille.load(Ordering::SeqCst);
        if !dropped && mode(&knobs) == ProxyMode::Pass {
            drop(socket.send_to(&buffer[..length], target.get()).await);
        }
    }
}

async fn pass_connection(
    caller: TcpStream,
    target: TcpStream,
    number: u64,
    knobs: Arc<ProxyKnobs>,
) {
    let (caller_read, caller_write) = caller.into_split();
    let (target_read, target_write) = target.into_split();
    let there = pass_half(caller_read, target_write, number, &knobs, false);
    let back = pass_half(target_read, caller_write, number, &knobs, true);
    let cut = async {
        while mode(&knobs) != ProxyMode::Cut {
            tokio::time::sleep(LOOK).await;
        }
    };
    tokio::select! {
        () = async { tokio::join!(there, back); } => {}
        () = cut => {}
    }
}

/// Whether traffic of connection `number` is swallowed.
fn swallows(knobs: &ProxyKnobs, number: u64, answers: bool) -> bool {
    let frozen = number <= knobs.frozen_before.load(Ordering::SeqCst);
    match mode(knobs) {
        ProxyMode::Pass | ProxyMode::Cut => frozen,
        ProxyMode::Hold => true,
        ProxyMode::LoseAnswers => frozen || answers,
    }
}

async fn pass_half(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    knobs: &ProxyKnobs,
    answers: bool,
) {
    let mut buffer = vec![0; BUFFER];
    // No byte stream goes on after a gap, so a connection that lost bytes stays silent for good.
    let mut lost = false;
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        lost |= swallows(knobs, number, answers);
        if lost {
            if length == 0 {
                // The end of a silent connection is swallowed too.
                std::future::pending::<()>().await;
            }
            continue;
        }
        let delay = knobs.delay_ms.load(Ordering::SeqCst);
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
