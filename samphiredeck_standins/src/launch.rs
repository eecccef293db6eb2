//! Start of a whole system of processes on loopback ports that the machine picks.

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
    probe::{Probe, operator_key},
    process::Process,
    proxy::{FaultProxy, ProxyTarget},
};

/// Secret that the nodes of a launched system share.
const PEER_SECRET: &str = "loopback-secret-of-the-launcher";

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
    pub market: PurchaseOption,
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
            market: PurchaseOption::Reclaimable,
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
            market: PurchaseOption::OnDemand,
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
