//! Routes, pools, workspaces, and API keys declared in one version of the configuration.

use std::time::Duration;

use crate::{
    ids::{ConfigVersion, DomainName, KeyHash, PoolName, WorkspaceName},
    name_text::NameTexts,
};

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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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

impl Default for CallerLimits {
    /// Limits while none are known.
    fn default() -> Self {
        Self {
            max_head_bytes: 16_384,
            max_body_bytes: 8 * 1_024 * 1_024,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// Part of a configuration that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatalogIssue {
    /// Where it is, as a path of fields.
    pub field: String,
    /// Why it can't be read.
    pub reason: String,
}

/// The route of a request can't be read.
#[derive(Clone, Copy, Debug)]
struct UnreadableRoute;

/// What a configuration declares that can't be read. Requests for it are refused, the others are served.
#[derive(Clone, Debug, Default)]
pub struct UnreadableEntries {
    /// Host and prefix of routes.
    pub routes: Vec<(String, String)>,
    /// Hashes of the API keys of workspaces.
    pub keys: Vec<KeyHash>,
    /// Whether there are API keys that can't be read themselves.
    pub any_key: bool,
    /// All that can't be read, also where a default stands in for it.
    pub issues: Vec<CatalogIssue>,
}

/// One accepted version of the configuration.
#[derive(Clone, Debug)]
pub struct ForwardCatalog {
    version: ConfigVersion,
    /// Sorted by host and prefix, without duplicates.
    routes: Vec<RouteRow>,
    /// Sorted by name, without duplicates.
    pools: Vec<PoolRow>,
    /// Sorted by name, without duplicates.
    workspaces: Vec<WorkspaceRow>,
    /// Whether callers need API keys.
    needs_keys: bool,
    /// Key hashes with the index of their workspace in `workspaces`, sorted by hash.
    keys: Vec<(KeyHash, usize)>,
    limits: CallerLimits,
    /// Its routes and keys are sorted.
    unreadable: UnreadableEntries,
    /// Names as the operator wrote them.
    names: NameTexts,
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
        let workspaces: Vec<WorkspaceRow> = workspaces.into_iter().map(|(row, _)| row).collect();
        Self {
            version,
            routes,
            pools,
            needs_keys: !workspaces.is_empty(),
            workspaces,
            keys,
            limits,
            unreadable: UnreadableEntries::default(),
            names: NameTexts::default(),
        }
    }

    /// Sets whether callers need API keys. A configuration that declares an empty list of workspaces lets nobody in.
    #[must_use]
    pub fn with_keys_needed(self, needs_keys: bool) -> Self {
        Self { needs_keys, ..self }
    }

    /// Sets the names as the operator wrote them.
    #[must_use]
    pub fn with_names(self, names: NameTexts) -> Self {
        Self { names, ..self }
    }

    /// Sets what can't be read.
    #[must_use]
    pub fn with_unreadable(self, mut unreadable: UnreadableEntries) -> Self {
        unreadable.routes.sort_unstable();
        unreadable.keys.sort_unstable();
        Self { unreadable, ..self }
    }

    /// What can't be read in the configuration.
    #[must_use]
    pub fn issues(&self) -> &[CatalogIssue] {
        &self.unreadable.issues
    }

    /// Names as the operator wrote them.
    #[must_use]
    pub fn names(&self) -> &NameTexts {
        &self.names
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

    /// Whether an API key is mandatory on non-public routes.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        self.needs_keys
    }

    /// Finds the route with the longest prefix of `path`. `host` is in lower case without the port. `None` if there is none
    /// or it can't be read.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteRow> {
        self.match_route(host, path).ok().flatten()
    }

    /// Whether the route with the longest prefix of `path` is one that can't be read.
    #[must_use]
    pub fn is_unreadable_route(&self, host: &str, path: &str) -> bool {
        self.match_route(host, path).is_err()
    }

    fn match_route(&self, host: &str, path: &str) -> Result<Option<&RouteRow>, UnreadableRoute> {
        for (at, _) in path.rmatch_indices('/') {
            let prefix = &path[..=at];
            let of = |(known_host, known_prefix): &(String, String)| {
                (known_host.as_str(), known_prefix.as_str()).cmp(&(host, prefix))
            };
            if self.unreadable.routes.binary_search_by(of).is_ok() {
                return Err(UnreadableRoute);
            }
            let found = self.routes.binary_search_by(|row| {
                (row.host.as_str(), row.prefix.as_str()).cmp(&(host, prefix))
            });
            if let Ok(index) = found {
                return Ok(Some(&self.routes[index]));
            }
        }
        Ok(None)
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

    /// Whether the API key with this hash may belong to a workspace that can't be read.
    #[must_use]
    pub fn is_unreadable_key(&self, key: KeyHash) -> bool {
        self.unreadable.any_key || self.unreadable.keys.binary_search(&key).is_ok()
    }

    /// Finds the workspace that owns the API key with this hash.
    #[must_use]
    pub fn find_workspace_by_key(&self, key: KeyHash) -> Option<&WorkspaceRow> {
        let index = self.keys.binary_search_by_key(&key, |(hash, _)| *hash).ok()?;
        Some(&self.workspaces[self.keys[index].1])
    }
}
