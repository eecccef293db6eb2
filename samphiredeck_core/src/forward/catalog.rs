//! Routes, pools, workspaces, and API keys declared in one version of the configuration.

use std::time::Duration;

use crate::ids::{ConfigVersion, DomainName, KeyHash, PoolName, WorkspaceName};

/// Retry policy of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// At most one upstream may run the request.
    NonIdempotent,
    /// The request may run any number of times.
    Idempotent,
    /// The response is a stream that another upstream can resume after a given event.
    Resumable,
}

impl RetryPolicy {
    /// Whether a request that may have run may be sent again.
    #[must_use]
    pub fn permits_retry(self) -> bool {
        self != Self::NonIdempotent
    }
}

/// One declared route.
#[derive(Clone, Debug)]
pub struct RouteRow {
    /// Name used in logs and metrics.
    pub name: String,
    /// Host that callers name, in lower case and without the port.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Retry policy.
    pub retry_policy: RetryPolicy,
    /// Whether responses are event streams.
    pub streams: bool,
    /// Maximum time from the arrival of a request to the end of its response.
    pub timeout: Duration,
    /// Latency target promised to callers: time to the response, or to the first event of a stream.
    pub latency_target: Duration,
    /// Maximum gap between two events that still counts as on time. Zero if responses are not
    /// streams.
    pub max_event_gap: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Pools and their weights. Never empty; the weights add up to more than 0.
    pub split: Vec<(PoolName, u32)>,
    /// Maximum number of upstreams that one request may be sent to. At least 1.
    pub max_attempts: u32,
    /// Whether callers need no API key.
    pub public: bool,
}

impl RouteRow {
    /// Pools that serve the route.
    #[must_use]
    pub fn pools(&self) -> Vec<PoolName> {
        self.split.iter().map(|(pool, _)| pool.clone()).collect()
    }

    /// Picks a pool at random by weight. `random` is uniform in 0 to 1.
    #[must_use]
    pub fn pick_pool(&self, random: f64) -> &PoolName {
        let total: u32 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut left = random.clamp(0.0, 1.0) * f64::from(total);
        for (pool, weight) in &self.split {
            left -= f64::from(*weight);
            if left < 0.0 {
                return pool;
            }
        }
        &self.split[self.split.len() - 1].0
    }
}

/// Bounds for scaling a pool.
#[derive(Clone, Debug)]
pub struct ScalingRule {
    /// Minimum number of upstreams in a failure domain.
    pub min: u32,
    /// Maximum number of upstreams in a failure domain.
    pub max: u32,
    /// Time from an order until the upstream serves.
    pub boot_time: Duration,
    /// Price of a reclaimable upstream as a fraction of the on-demand price.
    pub reclaimable_price: f64,
    /// Relative price by failure domain, sorted by domain.
    pub prices: Vec<(DomainName, f64)>,
}

/// One declared pool of upstreams.
#[derive(Clone, Debug)]
pub struct PoolRow {
    /// Key of the row.
    pub name: PoolName,
    /// Connections that an upstream accepts from all nodes together.
    pub max_connections: u32,
    /// Whether the upstreams are model engines, which batch requests and cache prompts.
    pub engine: bool,
    /// Scaling bounds, if the number of upstreams can be chosen.
    pub scaling: Option<ScalingRule>,
}

/// One declared workspace.
#[derive(Clone, Debug)]
pub struct WorkspaceRow {
    /// Key of the row.
    pub name: WorkspaceName,
    /// Priority that overrides that of the route.
    pub priority: Option<u8>,
    /// Rate limit in units per second over all nodes. Zero for no limit.
    pub rate: f64,
    /// Burst size in units.
    pub burst: f64,
    /// Whether units are tokens rather than requests.
    pub by_tokens: bool,
    /// Units charged for a request that does not state its token count.
    pub default_tokens: u64,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for receiving a request's head.
    pub head_timeout: Duration,
    /// Maximum time that a connection may stay idle between requests.
    pub idle_timeout: Duration,
}

/// One accepted version of the configuration.
#[derive(Clone, Debug)]
pub struct ForwardCatalog {
    version: ConfigVersion,
    /// Sorted by host and prefix, without duplicates.
    routes: Vec<RouteRow>,
    /// Sorted by name, without duplicates.
    pools: Vec<PoolRow>,
    /// Sorted by name, without duplicates. Empty if callers need no API keys.
    workspaces: Vec<WorkspaceRow>,
    /// Key hashes with the index of their workspace in `workspaces`, sorted by hash.
    keys: Vec<(KeyHash, usize)>,
    limits: CallerLimits,
}

impl ForwardCatalog {
    /// Builds the catalog of `version`. Each workspace comes with the hashes of its API keys.
    #[must_use]
    pub fn new(
        version: ConfigVersion,
        mut routes: Vec<RouteRow>,
        mut pools: Vec<PoolRow>,
        mut workspaces: Vec<(WorkspaceRow, Vec<KeyHash>)>,
        limits: CallerLimits,
    ) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        routes.dedup_by(|a, b| a.host == b.host && a.prefix == b.prefix);
        pools.sort_by(|a, b| a.name.cmp(&b.name));
        pools.dedup_by(|a, b| a.name == b.name);
        workspaces.sort_by(|a, b| a.0.name.cmp(&b.0.name));
        let mut keys: Vec<(KeyHash, usize)> = workspaces
            .iter()
            .enumerate()
            .flat_map(|(index, (_, hashes))| hashes.iter().map(move |hash| (*hash, index)))
            .collect();
        keys.sort_unstable();
        let workspaces = workspaces.into_iter().map(|(row, _)| row).collect();
        Self { version, routes, pools, workspaces, keys, limits }
    }

    /// Configuration version.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Limits on requests and connections of callers.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Pools, sorted by name.
    #[must_use]
    pub fn pools(&self) -> &[PoolRow] {
        &self.pools
    }

    /// Routes, sorted by host and prefix.
    #[must_use]
    pub fn routes(&self) -> &[RouteRow] {
        &self.routes
    }

    /// Workspaces, sorted by name.
    #[must_use]
    pub fn workspaces(&self) -> &[WorkspaceRow] {
        &self.workspaces
    }

    /// Whether any workspace is declared, which makes an API key mandatory on non-public routes.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Finds the route with the longest prefix of `path`. `host` is in lower case without the port.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteRow> {
        let mut slashes = path.rmatch_indices('/');
        slashes.find_map(|(at, _)| {
            let prefix = &path[..=at];
            let found = self.routes.binary_search_by(|row| {
                (row.host.as_str(), row.prefix.as_str()).cmp(&(host, prefix))
            });
            found.ok().map(|index| &self.routes[index])
        })
    }

    /// Finds the pool `name`.
    #[must_use]
    pub fn find_pool(&self, name: &PoolName) -> Option<&PoolRow> {
        let index = self.pools.binary_search_by(|row| row.name.cmp(name)).ok()?;
        Some(&self.pools[index])
    }

    /// Longest timeout of a resumable route. Zero if there is none.
    #[must_use]
    pub fn longest_resumable(&self) -> Duration {
        let timeouts = self.resumable_routes().map(|row| row.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Pools of each resumable route, without duplicates.
    #[must_use]
    pub fn resumable_pools(&self) -> Vec<Vec<PoolName>> {
        let mut pools: Vec<Vec<PoolName>> = self.resumable_routes().map(RouteRow::pools).collect();
        pools.sort_unstable();
        pools.dedup();
        pools
    }

    fn resumable_routes(&self) -> impl Iterator<Item = &RouteRow> {
        self.routes.iter().filter(|row| row.retry_policy == RetryPolicy::Resumable)
    }

    /// Finds the workspace `name`.
    #[must_use]
    pub fn find_workspace(&self, name: &WorkspaceName) -> Option<&WorkspaceRow> {
        let index = self.workspaces.binary_search_by(|row| row.name.cmp(name)).ok()?;
        Some(&self.workspaces[index])
    }

    /// Finds the workspace that owns the API key with this hash.
    #[must_use]
    pub fn find_workspace_by_key(&self, key: KeyHash) -> Option<&WorkspaceRow> {
        let index = self.keys.binary_search_by_key(&key, |(hash, _)| *hash).ok()?;
        Some(&self.workspaces[self.keys[index].1])
    }
}
