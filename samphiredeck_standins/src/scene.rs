//! Systems that tests start from, one at a time, and what tests ask of them again and again.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use eyre::{bail, ensure};
use samphiredeck_core::ids::UpstreamId;
use serde_json::{Value, json};

use crate::{
    engine::{EngineFaults, EngineStats},
    launch::{EngineSpec, LocalSystem, NodeSpec},
    platform::{OutageMode, PlatformFaults, PlatformStats, ReclaimOrder},
    proxy::{FaultProxy, ProxyTarget},
    service::{ServiceFaults, ServiceStats},
};

/// Bound on the start of a system.
pub const START: Duration = Duration::from_secs(30);
/// Failure domains of the first user.
pub const DOMAINS: [&str; 4] = ["suva-a", "suva-b", "nadi-a", "lautoka-a"];

/// Systems are started one at a time, so that they don't take each other's processor time.
static TURN: Mutex<()> = Mutex::new(());

/// What a scene consists of.
#[derive(Clone, Debug)]
pub struct SceneSpec {
    /// Nodes.
    pub nodes: usize,
    /// Engines.
    pub engines: usize,
    /// Services.
    pub services: usize,
    /// Whether nodes reach each other and the platform through proxies.
    pub proxied: bool,
    /// Whether engines and services are reached through proxies.
    pub proxied_upstreams: bool,
    /// Arguments of the platform's stand-in.
    pub platform_args: Vec<&'static str>,
    /// Arguments of the engines' stand-ins.
    pub engine_args: Vec<&'static str>,
    /// Models that the engines hold, with commas between.
    pub models: &'static str,
    /// Settings of the nodes that differ from the launcher's.
    pub settings: Value,
}

impl Default for SceneSpec {
    fn default() -> Self {
        Self {
            nodes: 3,
            engines: 3,
            services: 0,
            proxied: false,
            proxied_upstreams: false,
            platform_args: Vec::new(),
            engine_args: Vec::new(),
            models: "tala-8b",
            settings: json!({}),
        }
    }
}

/// Running system with the declaration of the first user in force.
#[derive(Debug)]
pub struct Scene {
    /// The system.
    pub system: LocalSystem,
    /// Proxies before the engines, in order.
    pub engine_proxies: Vec<FaultProxy>,
    /// Proxies before the services, in order.
    pub service_proxies: Vec<FaultProxy>,
    _turn: MutexGuard<'static, ()>,
}

/// Declaration of the first user.
///
/// # Panics
///
/// Panics if the example file is not there or not JSON.
#[must_use]
pub fn example_declaration() -> Value {
    let path = format!("{}/../examples/vakatoka/declaration.json", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the example is there");
    serde_json::from_str(&text).expect("the example is JSON")
}

impl Scene {
    /// Starts a scene.
    ///
    /// # Errors
    ///
    /// Returns what did not start.
    pub async fn start(spec: &SceneSpec) -> eyre::Result<Self> {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let system = LocalSystem::start(&spec.platform_args)?;
        let mut scene =
            Self { system, engine_proxies: Vec::new(), service_proxies: Vec::new(), _turn: turn };
        for number in 1..=spec.engines {
            scene.add_engine(spec, number).await?;
        }
        for number in 1..=spec.services {
            scene.add_service(spec, number).await?;
        }
        for number in 1..=spec.nodes {
            let domain = DOMAINS[(number - 1) % DOMAINS.len()];
            let node = NodeSpec {
                proxied: spec.proxied,
                settings: spec.settings.clone(),
                ..NodeSpec::new(&format!("entry-{number}"), domain)
            };
            scene.system.add_node(node)?;
        }
        scene.system.wait_ready(START).await?;
        scene.system.wait_upstreams(spec.engines + spec.services, START).await?;
        scene.apply(0, &example_declaration()).await?;
        Ok(scene)
    }

    async fn add_engine(&mut self, spec: &SceneSpec, number: usize) -> eyre::Result<()> {
        let domain = DOMAINS[(number - 1) % DOMAINS.len()];
        let engine = EngineSpec {
            models: spec.models.to_owned(),
            args: spec.engine_args.iter().map(|arg| (*arg).to_owned()).collect(),
            ..EngineSpec::new(&format!("engine-{number}"), domain)
        };
        let proxy = start_proxy(spec.proxied_upstreams)?;
        let listed = proxy.as_ref().map(|(proxy, _)| proxy.address());
        self.system.add_engine(&engine, listed).await?;
        if let Some((proxy, target)) = proxy {
            target.set(self.system.engines[number - 1].address());
            self.engine_proxies.push(proxy);
        }
        Ok(())
    }

    async fn add_service(&mut self, spec: &SceneSpec, number: usize) -> eyre::Result<()> {
        let domain = DOMAINS[(number - 1) % DOMAINS.len()];
        let proxy = start_proxy(spec.proxied_upstreams)?;
        let listed = proxy.as_ref().map(|(proxy, _)| proxy.address());
        let name = format!("ledger-{number}");
        self.system.add_service(&name, "ledger", domain, listed).await?;
        if let Some((proxy, target)) = proxy {
            target.set(self.system.services[number - 1].address());
            self.service_proxies.push(proxy);
        }
        Ok(())
    }

    /// Callers' address of a node.
    #[must_use]
    pub fn node(&self, index: usize) -> SocketAddr {
        self.system.node_address(index)
    }

    /// Applies a declaration through a node. Returns its version.
    ///
    /// # Errors
    ///
    /// Returns how it was refused.
    pub async fn apply(&self, node: usize, declaration: &Value) -> eyre::Result<u64> {
        let (status, body) = self.system.probe.change(self.node(node), declaration, None).await?;
        ensure!(status == 200, "change refused with {status}: {body}");
        Ok(body["version"].as_u64().unwrap_or(0))
    }

    /// Sets the faults of the platform.
    ///
    /// # Errors
    ///
    /// Returns that the platform does not answer.
    pub async fn set_platform(&self, faults: PlatformFaults) -> eyre::Result<()> {
        let platform = self.system.platform.address();
        self.system.probe.post_json(platform, "/control/faults", &faults).await?;
        Ok(())
    }

    /// Begins or ends an outage of the platform.
    ///
    /// # Errors
    ///
    /// Returns that the platform does not answer.
    pub async fn set_outage(&self, outage: OutageMode) -> eyre::Result<()> {
        self.set_platform(PlatformFaults { outage, ..PlatformFaults::default() }).await
    }

    /// Counts of the platform.
    ///
    /// # Errors
    ///
    /// Returns that the platform does not answer.
    pub async fn platform_stats(&self) -> eyre::Result<PlatformStats> {
        self.system.probe.get_json(self.system.platform.address(), "/control/stats").await
    }

    /// Reclaims engines: the platform's notice, and the end of their processes after it.
    ///
    /// # Errors
    ///
    /// Returns what does not answer.
    pub async fn reclaim_engines(&self, indexes: &[usize], left_ms: u64) -> eyre::Result<()> {
        let mut ids: Vec<UpstreamId> = Vec::new();
        for index in indexes {
            let engine = &self.system.engines[*index];
            let faults = EngineFaults {
                leaving: true,
                die_after_ms: Some(left_ms),
                ..EngineFaults::default()
            };
            self.system.probe.post_json(engine.address(), "/control/faults", &faults).await?;
            ids.push(engine.name.parse()?);
        }
        let order = ReclaimOrder { ids, left_ms };
        let platform = self.system.platform.address();
        self.system.probe.post_json(platform, "/control/reclaim", &order).await?;
        Ok(())
    }

    /// Sets the faults of an engine.
    ///
    /// # Errors
    ///
    /// Returns that it does not answer.
    pub async fn set_engine(&self, index: usize, faults: &EngineFaults) -> eyre::Result<()> {
        let address = self.system.engines[index].address();
        self.system.probe.post_json(address, "/control/faults", faults).await?;
        Ok(())
    }

    /// Counts of an engine.
    ///
    /// # Errors
    ///
    /// Returns that it does not answer.
    pub async fn engine_stats(&self, index: usize) -> eyre::Result<EngineStats> {
        let address = self.system.engines[index].address();
        self.system.probe.get_json(address, "/control/stats").await
    }

    /// Sets the faults of a service.
    ///
    /// # Errors
    ///
    /// Returns that it does not answer.
    pub async fn set_service(&self, index: usize, faults: &ServiceFaults) -> eyre::Result<()> {
        let address = self.system.services[index].address();
        self.system.probe.post_json(address, "/control/faults", faults).await?;
        Ok(())
    }

    /// Runs of `reference` at all services together.
    ///
    /// # Errors
    ///
    /// Returns that a service does not answer.
    pub async fn service_runs(&self, reference: &str) -> eyre::Result<u32> {
        let mut runs = 0;
        for service in &self.system.services {
            let stats: ServiceStats =
                self.system.probe.get_json(service.address(), "/control/stats").await?;
            let found = stats.runs.iter().find(|(known, _)| known == reference);
            runs += found.map_or(0, |(_, count)| *count);
        }
        Ok(runs)
    }

    /// Version in force at a node.
    ///
    /// # Errors
    ///
    /// Returns that it does not answer.
    pub async fn version(&self, index: usize) -> eyre::Result<u64> {
        let view = self.system.probe.view(self.node(index)).await?;
        Ok(view["version"].as_u64().unwrap_or(0))
    }

    /// Waits until `wanted` holds for the view of a node.
    ///
    /// # Errors
    ///
    /// Returns the last view if it does not hold in time.
    pub async fn wait_view(
        &self,
        index: usize,
        bound: Duration,
        wanted: impl Fn(&Value) -> bool,
    ) -> eyre::Result<Duration> {
        let began = Instant::now();
        loop {
            let view = self.system.probe.view(self.node(index)).await.unwrap_or_default();
            if wanted(&view) {
                return Ok(began.elapsed());
            }
            if began.elapsed() > bound {
                bail!("node {index} is not as wanted after {bound:?}: {view}");
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn start_proxy(wanted: bool) -> eyre::Result<Option<(FaultProxy, ProxyTarget)>> {
    Ok(if wanted { Some(FaultProxy::start()?) } else { None })
}
