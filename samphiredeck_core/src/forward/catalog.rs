//! Declared routes, pools, workspaces and keys of one version of the configuration.

use std::time::Duration;

use crate::ids::{ConfigVersion, DomainName, KeyHash, PoolName, WorkspaceName};

/// What may be repeated for requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// At most one upstream may run the request.
    Once,
    /// The request may run any number of times.
    Freely,
    /// A stream that another upstream can continue after a given event.
    Resumable,
}

impl RepeatRule {
    /// Whether a request that may have run may be sent again.
    #[must_use]
    pub fn permits_repeat(self) -> bool {
        self != Self::Once
    }
}

/// One route.
#[derive(Clone, Debug)]
pub struct RouteRow {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that callers name, in lower case and without a port.
    pub host: String,
    /// Beginning of the paths, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: RepeatRule,
    /// Whether answers are streams of events.
    pub streams: bool,
    /// Longest time from arrival to the end of the answer.
    pub timeout: Duration,
    /// Time to the answer, or to the first event of a stream, that callers are promised.
    pub target: Duration,
    /// Longest pause between two events that is still on time. Zero where answers are no streams.
    pub pause: Duration,
    /// Rank, 0 first.
    pub priority: u8,
    /// Pools with their weights. Never empty; the weights add up to more than 0.
    pub split: Vec<(PoolName, u32)>,
    /// Most upstreams that one request may be sent to. At least 1.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

impl RouteRow {
    /// Picks a pool by weight. `noise` is uniform in 0 to 1.
    #[must_use]
    pub fn pick_pool(&self, noise: f64) -> &PoolName {
        let total: u32 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut left = noise.clamp(0.0, 1.0) * f64::from(total);
        for (pool, weight) in &self.split {
            left -= f64::from(*weight);
            if left < 0.0 {
                return pool;
            }
        }
        &self.split[self.split.len() - 1].0
    }
}

/// Bounds between which the number of a pool's upstreams may be chosen.
#[derive(Clone, Debug)]
pub struct ScalingRule {
    /// Fewest in a failure domain.
    pub min: u32,
    /// Most in a failure domain.
    pub max: u32,
    /// Time from an order to a serving upstream.
    pub boot: Duration,
    /// Price of a reclaimable upstream as a share of that of one on demand.
    pub reclaimable_price: f64,
    /// Relative price by failure domain, sorted by domain.
    pub prices: Vec<(DomainName, f64)>,
}

/// One pool of upstreams.
#[derive(Clone, Debug)]
pub struct PoolRow {
    /// Key of the row.
    pub name: PoolName,
    /// Connections that an upstream accepts from all nodes together.
    pub max_connections: u32,
    /// Whether the upstreams are model engines, which batch requests and cache prompts.
    pub engine: bool,
    /// How many upstreams may be ordered, if the number can be chosen.
    pub scaling: Option<ScalingRule>,
}

/// One workspace.
#[derive(Clone, Debug)]
pub struct WorkspaceRow {
    /// Key of the row.
    pub name: WorkspaceName,
    /// Rank that goes before that of the route.
    pub priority: Option<u8>,
    /// Units a second over all nodes. Zero for no limit.
    pub rate: f64,
    /// Units that may be saved up.
    pub burst: f64,
    /// Whether units are tokens; they are requests otherwise.
    pub by_tokens: bool,
    /// Units of a request that does not say how many tokens it takes.
    pub plain_tokens: u64,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time that a request's head may take.
    pub head_time: Duration,
    /// Longest time that a connection may stay without a request.
    pub idle_time: Duration,
}

/// One accepted version of the configuration.
#[derive(Clone, Debug)]
pub struct ForwardCatalog {
    version: ConfigVersion,
    /// Sorted by host and prefix, without duplicates.
    routes: Vec<RouteRow>,
    /// Sorted by name, without duplicates.
    pools: Vec<PoolRow>,
    /// Sorted by name, without duplicates. Empty if callers need no keys.
    workspaces: Vec<WorkspaceRow>,
    /// Sorted by hash. Each points at a row of `workspaces`.
    keys: Vec<(KeyHash, usize)>,
    limits: CallerLimits,
}

impl ForwardCatalog {
    /// Builds version `version`. Each workspace comes with the hashes of its keys.
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

    /// Version.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Bounds on what callers may send.
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

    /// Whether any workspace is declared, so that callers need a key on routes that are not public.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Finds the route with the longest prefix of `path`. `host` is in lower case without a port.
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

    /// Finds the workspace `name`.
    #[must_use]
    pub fn find_workspace_row(&self, name: &WorkspaceName) -> Option<&WorkspaceRow> {
        let index = self.workspaces.binary_search_by(|row| row.name.cmp(name)).ok()?;
        Some(&self.workspaces[index])
    }

    /// Finds the workspace that holds the key with this hash.
    #[must_use]
    pub fn find_workspace(&self, key: KeyHash) -> Option<&WorkspaceRow> {
        let index = self.keys.binary_search_by_key(&key, |(hash, _)| *hash).ok()?;
        Some(&self.workspaces[self.keys[index].1])
    }
}
