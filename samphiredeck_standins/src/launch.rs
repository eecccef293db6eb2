//! Starts a complete local system. Each process listens on a loopback port that the kernel picks.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Command,
    sync::{
        Once,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use eyre::{bail, eyre};
use samphiredeck_core::{
    ids::KeyHash,
    platform_api::{InstanceRole, InstanceRow, InstanceState, PriceRow},
    upstream::PurchaseOption,
};
use serde_json::{Value, json};

use crate::{
    client::{TestClient, operator_key},
    process::Process,
    proxy::{FaultProxy, ProxyTarget},
};

/// Peer secret shared by the nodes of a launched system.
const PEER_SECRET: &str = "loopback-secret-of-the-launcher";

static BUILD_ONCE: Once = Once::new();
static NEXT_DIR: AtomicU32 = AtomicU32::new(0);

/// Directory with the binaries of the build that the running program belongs to.
fn program_dir() -> eyre::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let mut dir = executable.parent();
    while let Some(path) = dir {
        if path.join("deps").is_dir() && path.join("examples").is_dir() {
            return Ok(path.to_owned());
        }
        dir = path.parent();
    }
    bail!("{} is not in a cargo build directory", executable.display())
}

/// Builds the binaries and examples of the workspace once per process.
fn build_programs() {
    BUILD_ONCE.call_once(|| {
        let release = !cfg!(debug_assertions);
        let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
        let mut command = Command::new(cargo);
        command.args(["build", "--quiet", "--workspace", "--bins", "--examples"]);
        command.current_dir(env!("CARGO_MANIFEST_DIR"));
        if release {
            command.arg("--release");
        }
        let built = command.status();
        assert!(
            built.is_ok_and(|status| status.success()),
            "cargo build of the system's programs failed"
        );
    });
}

/// Configuration of an engine in a launched system.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Name, also used as instance id.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Command-line arguments of the simulated engine.
    pub args: Vec<String>,
    /// Market in which the instance is bought.
    pub market: PurchaseOption,
    /// Price per hour in millionths of the currency unit.
    pub price: u64,
    /// Loaded models, comma-separated.
    pub models: String,
}

impl EngineSpec {
    /// Creates a configuration with the defaults of the simulated engine.
    #[must_use]
    pub fn new(name: &str, domain: &str) -> Self {
        Self {
            name: name.to_owned(),
            domain: domain.to_owned(),
            args: Vec::new(),
            market: PurchaseOption::Reclaimable,
            price: 1_000_000,
            models: "tala-8b".to_owned(),
        }
    }
}

/// Configuration of a node in a launched system.
#[derive(Clone, Debug)]
pub struct NodeSpec {
    /// Node name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Whether traffic from other nodes and to the platform passes through proxies.
    pub proxied: bool,
    /// Settings merged over the defaults of the launcher.
    pub settings: Value,
}

impl NodeSpec {
    /// Creates a configuration without proxies or additional settings.
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

/// Fault-injecting proxies of one node.
#[derive(Clone, Debug)]
pub struct NodeProxies {
    /// Proxy for traffic from other nodes to this node.
    pub peer: FaultProxy,
    /// Proxy for traffic from this node to the platform.
    pub platform: FaultProxy,
    peer_target: ProxyTarget,
}

/// Running node.
#[derive(Debug)]
pub struct RunningNode {
    /// Process of the node.
    pub process: Process,
    /// Configuration that the node was started with.
    pub spec: NodeSpec,
    /// Proxies of the node, if it is proxied.
    pub proxies: Option<NodeProxies>,
}

/// Running local system of a platform, engines, services and nodes.
#[derive(Debug)]
pub struct LocalSystem {
    work_dir: PathBuf,
    bin_dir: PathBuf,
    /// Simulated platform.
    pub platform: Process,
    /// Engines in order of start.
    pub engines: Vec<Process>,
    /// Services in order of start.
    pub services: Vec<Process>,
    /// Nodes in order of start.
    pub nodes: Vec<RunningNode>,
    /// Client for calls to all processes.
    pub client: TestClient,
}

fn merge_json(target: &mut Value, overrides: &Value) {
    match (target, overrides) {
        (Value::Object(target), Value::Object(overrides)) => {
            for (key, value) in overrides {
                merge_json(target.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (target, overrides) => *target = overrides.clone(),
    }
}

/// Builds the programs and creates an empty working directory for one system. Returns the
/// directory of the binaries and the working directory.
///
/// # Errors
///
/// Returns an error if either directory is not available.
pub fn prepare_dirs() -> eyre::Result<(PathBuf, PathBuf)> {
    build_programs();
    let bin_dir = program_dir()?;
    let number = NEXT_DIR.fetch_add(1, Ordering::Relaxed);
    let work_dir =
        std::env::temp_dir().join(format!("samphiredeck-{}-{number}", std::process::id()));
    fs::create_dir_all(&work_dir)?;
    Ok((bin_dir, work_dir))
}

impl LocalSystem {
    /// Starts the simulated platform with the given arguments. Engines, services and nodes are
    /// added later.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub fn start(platform_args: &[&str]) -> eyre::Result<Self> {
        let (bin_dir, work_dir) = prepare_dirs()?;
        let args: Vec<String> = platform_args.iter().map(|arg| (*arg).to_owned()).collect();
        let program = bin_dir.join("examples").join("platform_standin");
        let platform = Process::start("platform", &program, &args, &work_dir)?;
        Ok(Self {
            work_dir,
            bin_dir,
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            nodes: Vec::new(),
            client: TestClient::new(),
        })
    }

    /// Directory with the logs and settings of the processes.
    #[must_use]
    pub fn work_dir(&self) -> &Path {
        &self.work_dir
    }

    /// Path of the `samphirectl` binary.
    #[must_use]
    pub fn samphirectl_path(&self) -> PathBuf {
        self.bin_dir.join("samphirectl")
    }

    /// Path of the `samphiredeck` binary.
    #[must_use]
    pub fn samphiredeck_path(&self) -> PathBuf {
        self.bin_dir.join("samphiredeck")
    }

    /// Starts an engine and registers it with the platform, under `registered_address` if given and
    /// else under its own address.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub async fn add_engine(
        &mut self,
        spec: &EngineSpec,
        registered_address: Option<SocketAddr>,
    ) -> eyre::Result<()> {
        let program = self.bin_dir.join("examples").join("engine_standin");
        let mut args = vec!["--models".to_owned(), spec.models.clone()];
        args.extend(spec.args.iter().cloned());
        let process = Process::start(&spec.name, &program, &args, &self.work_dir)?;
        let address = registered_address.unwrap_or_else(|| process.address());
        let row = InstanceRow {
            id: spec.name.parse()?,
            role: InstanceRole::Engine,
            service: None,
            address: address.to_string(),
            domain: spec.domain.parse()?,
            class: "a-large".parse()?,
            purchase_option: spec.market,
            price: spec.price,
            state: InstanceState::Live,
        };
        self.register_instance(&row).await?;
        self.engines.push(process);
        Ok(())
    }

    /// Starts a service and registers it with the platform, under `registered_address` if given and
    /// else under its own address.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub async fn add_service(
        &mut self,
        name: &str,
        service: &str,
        domain: &str,
        registered_address: Option<SocketAddr>,
    ) -> eyre::Result<()> {
        let program = self.bin_dir.join("examples").join("service_standin");
        let process = Process::start(name, &program, &[], &self.work_dir)?;
        let address = registered_address.unwrap_or_else(|| process.address());
        let row = InstanceRow {
            id: name.parse()?,
            role: InstanceRole::Service,
            service: Some(service.parse()?),
            address: address.to_string(),
            domain: domain.parse()?,
            class: "c-small".parse()?,
            purchase_option: PurchaseOption::OnDemand,
            price: 50_000,
            state: InstanceState::Live,
        };
        self.register_instance(&row).await?;
        self.services.push(process);
        Ok(())
    }

    /// Adds an instance to the list of the platform, or replaces its entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn register_instance(&self, row: &InstanceRow) -> eyre::Result<()> {
        let platform = self.platform.address();
        self.client.post_json(platform, "/control/instances", row).await?;
        Ok(())
    }

    /// Sets the price table of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn set_prices(&self, prices: &[PriceRow]) -> eyre::Result<()> {
        self.client.post_json(self.platform.address(), "/control/prices", &prices).await?;
        Ok(())
    }

    /// Starts a node. Returns its index.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
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
            merge_json(&mut settings, &advertised);
        }
        merge_json(&mut settings, &spec.settings);
        let path = self.work_dir.join(format!("{}.json", spec.name));
        fs::write(&path, settings.to_string())?;
        let args = ["run".to_owned(), path.display().to_string()];
        let process = Process::start(&spec.name, &self.samphiredeck_path(), &args, &self.work_dir)?;
        if let Some(proxies) = &proxies {
            let peer = process.addresses.get(1).copied();
            proxies.peer_target.set(peer.ok_or_else(|| eyre!("the node printed no peer address"))?);
        }
        Ok(RunningNode { process, spec, proxies })
    }

    /// Kills the node at `index` with SIGKILL and restarts it under the same name.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub fn restart_node(&mut self, index: usize) -> eyre::Result<()> {
        self.nodes[index].process.signal("KILL")?;
        self.replace_node(index)
    }

    /// Starts a new process for the node at `index`, whose previous process has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub fn replace_node(&mut self, index: usize) -> eyre::Result<()> {
        let spec = self.nodes[index].spec.clone();
        let proxies = self.nodes[index].proxies.clone();
        self.nodes[index] = self.start_node(spec, proxies)?;
        Ok(())
    }

    /// Address for callers of the node at `index`.
    #[must_use]
    pub fn node_address(&self, index: usize) -> SocketAddr {
        self.nodes[index].process.address()
    }

    /// Waits until all nodes report that they are ready.
    ///
    /// # Errors
    ///
    /// Returns an error that names a node that is not ready within `timeout`.
    pub async fn wait_ready(&self, timeout: Duration) -> eyre::Result<()> {
        let deadline = Instant::now() + timeout;
        for node in &self.nodes {
            while !self.client.is_ready(node.process.address()).await {
                if Instant::now() > deadline {
                    bail!(
                        "{} is not ready, see the log {}",
                        node.spec.name,
                        node.process.log.display()
                    );
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Waits until every node sees at least `count` upstreams that accept work.
    ///
    /// # Errors
    ///
    /// Returns an error that names a node that does not see them within `timeout`.
    pub async fn wait_upstreams(&self, count: usize, timeout: Duration) -> eyre::Result<()> {
        let deadline = Instant::now() + timeout;
        for node in &self.nodes {
            loop {
                let view = self.client.view(node.process.address()).await.unwrap_or_default();
                let rows = view["upstreams"].as_array().cloned().unwrap_or_default();
                if rows.iter().filter(|row| row["state"] == "accepting").count() >= count {
                    break;
                }
                if Instant::now() > deadline {
                    bail!("{} does not see enough accepting upstreams: {view}", node.spec.name);
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }
}
