//! Start of a whole system of processes on loopback ports that the machine picks.

use std::{
    fs::{self, File},
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Once,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use eyre::{WrapErr, bail, eyre};
use samphiredeck_core::{
    ids::KeyHash,
    platform_api::{InstanceRole, InstanceRow, InstanceState, PriceRow},
    upstream::MarketKind,
};
use serde_json::{Value, json};

use crate::{
    probe::{Probe, operator_key},
    proxy::{FaultProxy, ProxyTarget},
};

/// Secret that the nodes of a launched system share.
const PEER_SECRET: &str = "loopback-secret-of-the-launcher";
/// Bound on the start of one process.
const START_WITHIN: Duration = Duration::from_secs(20);

static BUILD: Once = Once::new();
static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

/// Folder with the programs of the build that this program is part of.
fn program_folder() -> eyre::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let mut folder = own.parent();
    while let Some(path) = folder {
        if path.join("deps").is_dir() && path.join("examples").is_dir() {
            return Ok(path.to_owned());
        }
        folder = path.parent();
    }
    bail!("{} is in no build folder", own.display())
}

/// Builds the programs that a system consists of, once.
fn build_programs() {
    BUILD.call_once(|| {
        let release = !cfg!(debug_assertions);
        let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
        let mut command = Command::new(cargo);
        command.args(["build", "--quiet", "--workspace", "--bins", "--examples"]);
        command.current_dir(env!("CARGO_MANIFEST_DIR"));
        if release {
            command.arg("--release");
        }
        let built = command.status();
        assert!(built.is_ok_and(|status| status.success()), "the programs can't be built");
    });
}

/// Process that is ended with its handle.
#[derive(Debug)]
pub struct Process {
    /// Name for messages.
    pub name: String,
    child: Child,
    /// Addresses that the process printed at its start.
    pub addresses: Vec<SocketAddr>,
    /// File with what it wrote to standard error.
    pub log: PathBuf,
}

impl Process {
    /// Starts `program` and waits for the line that tells its addresses.
    ///
    /// # Errors
    ///
    /// Returns why it did not start, with the end of its log.
    pub fn start(name: &str, program: &Path, args: &[String], folder: &Path) -> eyre::Result<Self> {
        let log = folder.join(format!("{name}.log"));
        let errors = File::options().create(true).append(true).open(&log)?;
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .wrap_err_with(|| format!("{}", program.display()))?;
        let output = child.stdout.take().ok_or_else(|| eyre!("no output of {name}"))?;
        let mut line = String::new();
        let began = Instant::now();
        BufReader::new(output).read_line(&mut line)?;
        let addresses: Vec<SocketAddr> =
            line.split_whitespace().filter_map(|word| word.parse().ok()).collect();
        if addresses.is_empty() || began.elapsed() > START_WITHIN {
            drop(child.kill());
            drop(child.wait());
            let told = fs::read_to_string(&log).unwrap_or_default();
            bail!("{name} did not start: {told}");
        }
        Ok(Self { name: name.to_owned(), child, addresses, log })
    }

    /// Starts `program` with both of its outputs going to its log, without waiting for a line.
    ///
    /// # Errors
    ///
    /// Returns why it can't be started.
    pub fn start_logged(
        name: &str,
        program: &Path,
        args: &[String],
        folder: &Path,
    ) -> eyre::Result<Self> {
        let log = folder.join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .wrap_err_with(|| format!("{}", program.display()))?;
        Ok(Self { name: name.to_owned(), child, addresses: Vec::new(), log })
    }

    /// First address that the process printed.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.addresses[0]
    }

    /// Sends a signal by name, such as `TERM`, `KILL`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Returns why the signal can't be sent.
    pub fn signal(&self, name: &str) -> eyre::Result<()> {
        let sent = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status()?;
        if sent.success() { Ok(()) } else { Err(eyre!("signal {name} not sent")) }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Waits until the process has ended. Returns whether it did with success within `bound`.
    pub fn wait_end(&mut self, bound: Duration) -> bool {
        let until = Instant::now() + bound;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Resident memory in bytes.
    #[must_use]
    pub fn resident_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        number.unwrap_or(0) * 1_024
    }

    /// Processor time used so far.
    #[must_use]
    pub fn processor_time(&self) -> Duration {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<u64>().ok());
        let sum = ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0);
        // The kernel counts in hundredths of a second on this platform.
        Duration::from_millis(sum * 10)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// What an engine of a launched system is like.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Name, and id of the instance.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Arguments of the stand-in.
    pub args: Vec<String>,
    /// How it is sold.
    pub market: MarketKind,
    /// Price in millionths an hour.
    pub price: u64,
    /// Models that it holds.
    pub models: String,
}

impl EngineSpec {
    /// Describes an engine with the defaults of the stand-in.
    #[must_use]
    pub fn new(name: &str, domain: &str) -> Self {
        Self {
            name: name.to_owned(),
            domain: domain.to_owned(),
            args: Vec::new(),
            market: MarketKind::Reclaimable,
            price: 1_000_000,
            models: "tala-8b".to_owned(),
        }
    }
}

/// What a node of a launched system is like.
#[derive(Clone, Debug)]
pub struct NodeSpec {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Whether other nodes and the platform are reached through proxies.
    pub proxied: bool,
    /// Settings that differ from the launcher's.
    pub settings: Value,
}

impl NodeSpec {
    /// Describes a node.
    #[must_use]
    pub fn new(name: &str, domain: &str) -> Self {
        Self {
            name: name.to_owned(),
            domain: domain.to_owned(),
            proxied: false,
            settings: json!({}),
        }
    }
}

/// Proxies around one node.
#[derive(Clone, Debug)]
pub struct NodeProxies {
    /// Before the node, for other nodes.
    pub peer: FaultProxy,
    /// Before the platform, for the node.
    pub platform: FaultProxy,
    peer_target: ProxyTarget,
}

/// Running node.
#[derive(Debug)]
pub struct RunningNode {
    /// The process.
    pub process: Process,
    /// What it was started as.
    pub spec: NodeSpec,
    /// Proxies, if it has some.
    pub proxies: Option<NodeProxies>,
}

/// Running system: platform, engines, services and nodes.
#[derive(Debug)]
pub struct LocalSystem {
    folder: PathBuf,
    programs: PathBuf,
    /// The platform.
    pub platform: Process,
    /// Engines in order of start.
    pub engines: Vec<Process>,
    /// Services in order of start.
    pub services: Vec<Process>,
    /// Nodes in order of start.
    pub nodes: Vec<RunningNode>,
    /// For calls to all of them.
    pub probe: Probe,
}

fn merge(into: &mut Value, from: &Value) {
    match (into, from) {
        (Value::Object(into), Value::Object(from)) => {
            for (key, value) in from {
                merge(into.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (into, from) => *into = from.clone(),
    }
}

/// Builds the programs and makes an empty folder for one system. Returns the folder of the
/// programs and the new one.
///
/// # Errors
///
/// Returns why there is no such folder.
pub fn prepare_folders() -> eyre::Result<(PathBuf, PathBuf)> {
    build_programs();
    let programs = program_folder()?;
    let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("samphiredeck-{}-{number}", std::process::id()));
    fs::create_dir_all(&folder)?;
    Ok((programs, folder))
}

impl LocalSystem {
    /// Starts a platform, with the arguments of its stand-in, and nothing else yet.
    ///
    /// # Errors
    ///
    /// Returns what did not start.
    pub fn start(platform_args: &[&str]) -> eyre::Result<Self> {
        let (programs, folder) = prepare_folders()?;
        let args: Vec<String> = platform_args.iter().map(|arg| (*arg).to_owned()).collect();
        let program = programs.join("examples").join("platform_standin");
        let platform = Process::start("platform", &program, &args, &folder)?;
        Ok(Self {
            folder,
            programs,
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            nodes: Vec::new(),
            probe: Probe::new(),
        })
    }

    /// Folder with logs and settings.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Path of the operators' program.
    #[must_use]
    pub fn operator_program(&self) -> PathBuf {
        self.programs.join("samphirectl")
    }

    /// Path of the node's program.
    #[must_use]
    pub fn node_program(&self) -> PathBuf {
        self.programs.join("samphiredeck")
    }

    /// Starts an engine and lists it at the platform, at its own address or at `listed`.
    ///
    /// # Errors
    ///
    /// Returns what did not start.
    pub async fn add_engine(
        &mut self,
        spec: &EngineSpec,
        listed: Option<SocketAddr>,
    ) -> eyre::Result<()> {
        let program = self.programs.join("examples").join("engine_standin");
        let mut args = vec!["--models".to_owned(), spec.models.clone()];
        args.extend(spec.args.iter().cloned());
        let process = Process::start(&spec.name, &program, &args, &self.folder)?;
        let address = listed.unwrap_or_else(|| process.address());
        let row = InstanceRow {
            id: spec.name.parse()?,
            role: InstanceRole::Engine,
            service: None,
            address: address.to_string(),
            domain: spec.domain.parse()?,
            class: "a-large".parse()?,
            market: spec.market,
            price: spec.price,
            state: InstanceState::Live,
        };
        self.list_instance(&row).await?;
        self.engines.push(process);
        Ok(())
    }

    /// Starts a service and lists it at the platform, at its own address or at `listed`.
    ///
    /// # Errors
    ///
    /// Returns what did not start.
    pub async fn add_service(
        &mut self,
        name: &str,
        service: &str,
        domain: &str,
        listed: Option<SocketAddr>,
    ) -> eyre::Result<()> {
        let program = self.programs.join("examples").join("service_standin");
        let process = Process::start(name, &program, &[], &self.folder)?;
        let address = listed.unwrap_or_else(|| process.address());
        let row = InstanceRow {
            id: name.parse()?,
            role: InstanceRole::Service,
            service: Some(service.parse()?),
            address: address.to_string(),
            domain: domain.parse()?,
            class: "c-small".parse()?,
            market: MarketKind::OnDemand,
            price: 50_000,
            state: InstanceState::Live,
        };
        self.list_instance(&row).await?;
        self.services.push(process);
        Ok(())
    }

    /// Lists an instance at the platform.
    ///
    /// # Errors
    ///
    /// Returns that the platform does not answer.
    pub async fn list_instance(&self, row: &InstanceRow) -> eyre::Result<()> {
        let platform = self.platform.address();
        self.probe.post_json(platform, "/control/instances", row).await?;
        Ok(())
    }

    /// Sets the price table of the platform.
    ///
    /// # Errors
    ///
    /// Returns that the platform does not answer.
    pub async fn set_prices(&self, prices: &[PriceRow]) -> eyre::Result<()> {
        self.probe.post_json(self.platform.address(), "/control/prices", &prices).await?;
        Ok(())
    }

    /// Starts a node.
    ///
    /// # Errors
    ///
    /// Returns what did not start.
    pub fn add_node(&mut self, spec: NodeSpec) -> eyre::Result<usize> {
        let proxies = if spec.proxied { Some(self.start_proxies()?) } else { None };
        let node = self.start_node(spec, proxies)?;
        self.nodes.push(node);
        Ok(self.nodes.len() - 1)
    }

    fn start_proxies(&self) -> eyre::Result<NodeProxies> {
        let (peer, peer_target) = FaultProxy::start()?;
        let (platform, platform_target) = FaultProxy::start()?;
        platform_target.set(self.platform.address());
        Ok(NodeProxies { peer, platform, peer_target })
    }

    fn start_node(
        &self,
        spec: NodeSpec,
        proxies: Option<NodeProxies>,
    ) -> eyre::Result<RunningNode> {
        let platform =
            proxies.as_ref().map_or(self.platform.address(), |proxies| proxies.platform.address());
        let mut settings = json!({
            "node": { "name": spec.name, "domain": spec.domain },
            "listen": { "caller": "127.0.0.1:0", "peer": "127.0.0.1:0" },
            "platform": { "address": platform.to_string() },
            "keys": {
                "peer_secret": PEER_SECRET,
                "operator_key_hash": KeyHash::of(operator_key()).to_string(),
            },
            "stop": { "balancer_notice": "200ms" },
            "log": { "level": "debug" },
        });
        if let Some(proxies) = &proxies {
            let advertised = json!({
                "listen": { "advertise_peer": proxies.peer.address().to_string() }
            });
            merge(&mut settings, &advertised);
        }
        merge(&mut settings, &spec.settings);
        let path = self.folder.join(format!("{}.json", spec.name));
        fs::write(&path, settings.to_string())?;
        let args = ["run".to_owned(), path.display().to_string()];
        let process = Process::start(&spec.name, &self.node_program(), &args, &self.folder)?;
        if let Some(proxies) = &proxies {
            let peer = process.addresses.get(1).copied();
            proxies.peer_target.set(peer.ok_or_else(|| eyre!("no peer address"))?);
        }
        Ok(RunningNode { process, spec, proxies })
    }

    /// Ends the node at `index` with SIGKILL and starts it again under the same name.
    ///
    /// # Errors
    ///
    /// Returns what did not start.
    pub fn restart_node(&mut self, index: usize) -> eyre::Result<()> {
        self.nodes[index].process.signal("KILL")?;
        self.replace_node(index)
    }

    /// Starts a new process under the name of the node at `index`, whose process has ended.
    ///
    /// # Errors
    ///
    /// Returns what did not start.
    pub fn replace_node(&mut self, index: usize) -> eyre::Result<()> {
        let spec = self.nodes[index].spec.clone();
        let proxies = self.nodes[index].proxies.clone();
        self.nodes[index] = self.start_node(spec, proxies)?;
        Ok(())
    }

    /// Callers' address of the node at `index`.
    #[must_use]
    pub fn node_address(&self, index: usize) -> SocketAddr {
        self.nodes[index].process.address()
    }

    /// Waits until all nodes say that they are ready.
    ///
    /// # Errors
    ///
    /// Returns the node that is not ready in time.
    pub async fn wait_ready(&self, bound: Duration) -> eyre::Result<()> {
        let until = Instant::now() + bound;
        for node in &self.nodes {
            while !self.probe.is_ready(node.process.address()).await {
                if Instant::now() > until {
                    bail!("{} is not ready, see {}", node.spec.name, node.process.log.display());
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Waits until every node sees `count` upstreams that accept work.
    ///
    /// # Errors
    ///
    /// Returns the node that does not see them in time.
    pub async fn wait_upstreams(&self, count: usize, bound: Duration) -> eyre::Result<()> {
        let until = Instant::now() + bound;
        for node in &self.nodes {
            loop {
                let view = self.probe.view(node.process.address()).await.unwrap_or_default();
                let rows = view["upstreams"].as_array().cloned().unwrap_or_default();
                if rows.iter().filter(|row| row["state"] == "accepting").count() >= count {
                    break;
                }
                if Instant::now() > until {
                    bail!("{} does not see the upstreams: {view}", node.spec.name);
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }
}
