//! Nodes as processes, started with the command of the deploy file.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

/// Node of the system.
pub struct Node {
    pub name: String,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Bounds of a node, as in the template of the settings.
pub const BOUNDS: &str = r#"{ "revoke": "5000ms", "grace": "8s", "lease": "3000ms", "usage_window": "5s",
  "usage_due": "10s", "repeat_window": "10s", "repeat_ratio": 0.2, "repeat_extra": 58, "quota_overage": 0.1,
  "quota_slack": 140000, "quota_window": "8s" }"#;

/// Address that nothing listens on, below the ports that the kernel gives to connections, so that none of these takes it before
/// the node does.
fn free_address() -> SocketAddr {
    const FIRST: u32 = 10_000;
    const COUNT: u32 = 20_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let offset =
            std::process::id().wrapping_mul(97).wrapping_add(NEXT.fetch_add(1, Ordering::SeqCst));
        let port = u16::try_from(FIRST + offset % COUNT).expect("a port");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Node {
    /// Prepares the settings of a node. Files go to `dir`.
    pub fn prepare(name: &str, zone: &str, store: SocketAddr, dir: &Path) -> Self {
        let [caller, ready, metrics, peer] = [(); 4].map(|()| free_address());
        let settings = dir.join(format!("{name}.json"));
        let text = format!(
            "{{ \"node\": {{ \"name\": \"{name}\", \"domain\": \"{zone}\" }},\n\
             \"listen\": {{ \"caller\": \"{caller}\", \"ready\": \"{ready}\", \"metrics\": \"{metrics}\", \"peer\": \"{peer}\" }},\n\
             \"platform\": {{ \"store\": \"{store}\", \"orders\": \"{store}\" }},\n\
             \"limits\": {{ \"memory_mb\": 260 }},\n\"bounds\": {BOUNDS} }}\n"
        );
        fs::write(&settings, text).expect("a writable folder");
        let program =
            std::env::var_os("SAMPHIREDECK_ROOT").map_or_else(PathBuf::new, PathBuf::from);
        Self {
            name: name.to_owned(),
            caller,
            ready,
            program: program.join("target/release/samphiredeck"),
            settings,
            log: dir.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Starts the process.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let errors = log.try_clone()?;
        let child = Command::new(&self.program)
            .arg("forward")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500)) else {
            return false;
        };
        drop(stream.set_read_timeout(Some(Duration::from_millis(500))));
        let mut wire = crate::http::Wire::new(stream);
        let asked = wire.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        asked.is_ok() && wire.read_head().ok().flatten().is_some_and(|head| head.word(1) == "200")
    }

    /// Waits until the node is ready.
    pub fn wait_ready(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
