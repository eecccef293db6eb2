//! Test fixture of a running system with common test operations. Fixtures run one at a time.

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

/// Maximum time until a system is ready.
pub const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Failure domains of the example deployment `vakatoka`.
pub const DOMAINS: [&str; 4] = ["suva-a", "suva-b", "nadi-a", "lautoka-a"];

/// Lock held by the running fixture. Systems run one at a time, so that they don't compete for CPU
/// time.
static SYSTEM_LOCK: Mutex<()> = Mutex::new(());

/// Configuration of a fixture.
#[derive(Clone, Debug)]
pub struct FixtureSpec {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of services.
    pub services: usize,
    /// Whether nodes reach each other and the platform through proxies.
    pub proxied: bool,
    /// Whether engines and services are reached through proxies.
    pub proxied_upstreams: bool,
    /// Command-line arguments of the simulated platform.
    pub platform_args: Vec<&'static str>,
    /// Command-line arguments of the simulated engines.
    pub engine_args: Vec<&'static str>,
    /// Models loaded on the engines, comma-separated.
    pub models: &'static str,
    /// Node settings merged over the defaults of the launcher.
    pub settings: Value,
}

impl Default for FixtureSpec {
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

/// Running system with the example declaration in force.
#[derive(Debug)]
pub struct Fixture {
    /// Running system.
    pub system: LocalSystem,
    /// Proxies in front of the engines, by engine index.
    pub engine_proxies: Vec<FaultProxy>,
    /// Proxies in front of the services, by service index.
    pub service_proxies: Vec<FaultProxy>,
    _guard: MutexGuard<'static, ()>,
}

/// Declaration of the example deployment `vakatoka`.
///
/// # Panics
///
/// Panics if the example file is missing or not valid JSON.
#[must_use]
pub fn example_declaration() -> Value {
    let path = format!("{}/../examples/vakatoka/declaration.json", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the example declaration is missing");
    serde_json::from_str(&text).expect("the example declaration is not valid JSON")
}

impl Fixture {
    /// Starts a system and applies the example declaration.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or does not become ready.
    pub async fn start(spec: &FixtureSpec) -> eyre::Result<Self> {
        let guard = SYSTEM_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let system = LocalSystem::start(&spec.platform_args)?;
        let mut fixture =
            Self { system, engine_proxies: Vec::new(), service_proxies: Vec::new(), _guard: guard };
        for number in 1..=spec.engines {
            fixture.add_engine(spec, number).await?;
        }
        for number in 1..=spec.services {
            fixture.add_service(spec, number).await?;
        }
        for number in 1..=spec.nodes {
            let domain = DOMAINS[(number - 1) % DOMAINS.len()];
            let node = NodeSpec {
                proxied: spec.proxied,
                settings: spec.settings.clone(),
                ..NodeSpec::new(&format!("entry-{number}"), domain)
            };
            fixture.system.add_node(node)?;
        }
        fixture.system.wait_ready(START_TIMEOUT).await?;
        fixture.system.wait_upstreams(spec.engines + spec.services, START_TIMEOUT).await?;
        fixture.apply(0, &example_declaration()).await?;
        Ok(fixture)
    }

    async fn add_engine(&mut self, spec: &FixtureSpec, number: usize) -> eyre::Result<()> {
        let domain = DOMAINS[(number - 1) % DOMAINS.len()];
        let engine = EngineSpec {
            models: spec.models.to_owned(),
            args: spec.engine_args.iter().map(|arg| (*arg).to_owned()).collect(),
            ..EngineSpec::new(&format!("engine-{number}"), domain)
        };
        let proxy = start_proxy(spec.proxied_upstreams)?;
        let registered_address = proxy.as_ref().map(|(proxy, _)| proxy.address());
        self.system.add_engine(&engine, registered_address).await?;
        if let Some((proxy, target)) = proxy {
            target.set(self.system.engines[number - 1].address());
            self.engine_proxies.push(proxy);
        }
        Ok(())
    }

    async fn add_service(&mut self, spec: &FixtureSpec, number: usize) -> eyre::Result<()> {
        let domain = DOMAINS[(number - 1) % DOMAINS.len()];
        let proxy = start_proxy(spec.proxied_upstreams)?;
        let registered_address = proxy.as_ref().map(|(proxy, _)| proxy.address());
        let name = format!("ledger-{number}");
        self.system.add_service(&name, "ledger", domain, registered_address).await?;
        if let Some((proxy, target)) = proxy {
            target.set(self.system.services[number - 1].address());
            self.service_proxies.push(proxy);
        }
        Ok(())
    }

    /// Address for callers of a node.
    #[must_use]
    pub fn node(&self, index: usize) -> SocketAddr {
        self.system.node_address(index)
    }

    /// Applies a declaration through a node. Returns its version.
    ///
    /// # Errors
    ///
    /// Returns an error if the declaration is refused.
    pub async fn apply(&self, node: usize, declaration: &Value) -> eyre::Result<u64> {
        let (status, body) =
            self.system.client.change_declaration(self.node(node), declaration, None).await?;
        ensure!(status == 200, "change refused with {status}: {body}");
        Ok(body["version"].as_u64().unwrap_or(0))
    }

    /// Sets the injected faults of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn set_platform_faults(&self, faults: PlatformFaults) -> eyre::Result<()> {
        let platform = self.system.platform.address();
        self.system.client.post_json(platform, "/control/faults", &faults).await?;
        Ok(())
    }

    /// Starts or ends an outage of the platform. Clears its other faults.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn set_outage(&self, outage: OutageMode) -> eyre::Result<()> {
        self.set_platform_faults(PlatformFaults { outage, ..PlatformFaults::default() }).await
    }

    /// Fetches the counters of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn platform_stats(&self) -> eyre::Result<PlatformStats> {
        self.system.client.get_json(self.system.platform.address(), "/control/stats").await
    }

    /// Reclaims engines. The platform announces the reclaim, and the processes exit after
    /// `left_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if an engine or the platform does not respond.
    pub async fn reclaim_engines(&self, indexes: &[usize], left_ms: u64) -> eyre::Result<()> {
        let mut ids: Vec<UpstreamId> = Vec::new();
        for index in indexes {
            let engine = &self.system.engines[*index];
            let faults = EngineFaults {
                leaving: true,
                die_after_ms: Some(left_ms),
                ..EngineFaults::default()
            };
            self.system.client.post_json(engine.address(), "/control/faults", &faults).await?;
            ids.push(engine.name.parse()?);
        }
        let order = ReclaimOrder { ids, left_ms };
        let platform = self.system.platform.address();
        self.system.client.post_json(platform, "/control/reclaim", &order).await?;
        Ok(())
    }

    /// Sets the injected faults of an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not respond.
    pub async fn set_engine_faults(&self, index: usize, faults: &EngineFaults) -> eyre::Result<()> {
        let address = self.system.engines[index].address();
        self.system.client.post_json(address, "/control/faults", faults).await?;
        Ok(())
    }

    /// Fetches the counters of an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not respond.
    pub async fn engine_stats(&self, index: usize) -> eyre::Result<EngineStats> {
        let address = self.system.engines[index].address();
        self.system.client.get_json(address, "/control/stats").await
    }

    /// Sets the injected faults of a service.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not respond.
    pub async fn set_service_faults(
        &self,
        index: usize,
        faults: &ServiceFaults,
    ) -> eyre::Result<()> {
        let address = self.system.services[index].address();
        self.system.client.post_json(address, "/control/faults", faults).await?;
        Ok(())
    }

    /// Number of runs of `reference`, summed over all services.
    ///
    /// # Errors
    ///
    /// Returns an error if a service does not respond.
    pub async fn service_runs(&self, reference: &str) -> eyre::Result<u32> {
        let mut runs = 0;
        for service in &self.system.services {
            let stats: ServiceStats =
                self.system.client.get_json(service.address(), "/control/stats").await?;
            let found = stats.runs.iter().find(|(known, _)| known == reference);
            runs += found.map_or(0, |(_, count)| *count);
        }
        Ok(runs)
    }

    /// Configuration version in force on a node.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not respond.
    pub async fn version(&self, index: usize) -> eyre::Result<u64> {
        let view = self.system.client.view(self.node(index)).await?;
        Ok(view["version"].as_u64().unwrap_or(0))
    }

    /// Waits until `predicate` holds for the operator view of a node. Returns the time that it
    /// took.
    ///
    /// # Errors
    ///
    /// Returns an error with the last view if it does not hold within `timeout`.
    pub async fn wait_view(
        &self,
        index: usize,
        timeout: Duration,
        predicate: impl Fn(&Value) -> bool,
    ) -> eyre::Result<Duration> {
        let started_at = Instant::now();
        loop {
            let view = self.system.client.view(self.node(index)).await.unwrap_or_default();
            if predicate(&view) {
                return Ok(started_at.elapsed());
            }
            if started_at.elapsed() > timeout {
                bail!("node {index} does not reach the expected state within {timeout:?}: {view}");
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn start_proxy(enabled: bool) -> eyre::Result<Option<(FaultProxy, ProxyTarget)>> {
    Ok(if enabled { Some(FaultProxy::start()?) } else { None })
}
