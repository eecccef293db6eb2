//! State of a forwarding node. Decisions are based on this mutable state only.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        catalog::ForwardCatalog,
        clock::ClusterClock,
        demand::DemandMeter,
        freshness::CatalogFreshness,
        leader::LeaderLease,
        members::{MemberTable, NodeHeartbeat},
        pool_speed::PoolSpeedTable,
        prompt_cache::PromptCacheTable,
        quota::{LocalQuota, PeerLiveness, QuotaOwner, rank_quota_owners},
        retry_budget::RetryBudget,
        store_readers::{ConfigStatus, ListStatus, StoreStatus},
        upstreams::UpstreamRegistry,
        usage::{UsageLedger, WindowIndex},
    },
    ids::{DomainName, Incarnation, NodeName, RowVersion, WorkspaceName},
    units::Millis,
};

use crate::forward::{clock, settings::ForwardSettings};

/// Number of nodes assumed to share budgets and quotas until the members are known. Larger than
/// small deployments, so that a single node that has not read the store takes only a small share.
const NODES_ASSUMED: u32 = 16;
/// Maximum time between the start of a request and its counting. The counts of a window are
/// complete this long after its end.
const COUNT_DELAY_MS: i64 = 1_000;

/// State of this run of the node.
#[derive(Debug)]
pub struct ForwardState {
    /// Newest configuration that was read.
    pub catalog: Option<Rc<ForwardCatalog>>,
    /// Time since `catalog` was known to be the newest configuration.
    pub freshness: CatalogFreshness,
    /// Newest version of the configuration's row in the store, whether it could be decoded or not.
    pub config_row_version: RowVersion,
    /// Whether another node has reported a newer version.
    pub newer_config_reported: bool,
    /// Node that this one queries instead of the store. `None` if it reads the store itself.
    pub reader: Option<NodeName>,
    /// Known upstreams and their load.
    pub upstreams: UpstreamRegistry,
    /// Nodes of the cluster.
    pub members: MemberTable,
    /// Token buckets of the workspaces that this node owns.
    pub quota_owner: QuotaOwner,
    /// This node's share of the quota that may be granted beyond the limits.
    pub local_quota: LocalQuota,
    /// Liveness of other nodes.
    pub liveness: PeerLiveness,
    /// Budget for retries.
    pub retry_budget: RetryBudget,
    /// Counts of requests that started to run through this node.
    pub usage_ledger: UsageLedger,
    /// Demand received by this node.
    pub demand: DemandMeter,
    /// Speeds of the pools, as measured by this node.
    pub speeds: PoolSpeedTable,
    /// Shared prompt parts that this node sent to upstreams.
    pub prompt_cache: PromptCacheTable,
    /// Clock that the nodes agree on.
    pub clock: ClusterClock,
    /// Leader lease as known to this node.
    pub leader_lease: LeaderLease,
    /// Store time at which the first run at this address started.
    pub since_ms: Option<i64>,
}

impl ForwardState {
    /// Creates the initial state, before anything is known.
    pub fn new(settings: &ForwardSettings) -> Self {
        let bounds = settings.bounds;
        Self {
            catalog: None,
            config_row_version: RowVersion::default(),
            newer_config_reported: false,
            reader: None,
            freshness: CatalogFreshness::new(bounds.revoke.map(Millis::to_duration)),
            upstreams: UpstreamRegistry::default(),
            members: MemberTable::default(),
            quota_owner: QuotaOwner::new(bounds.quota_slack),
            local_quota: LocalQuota::new(bounds.quota_slack, NODES_ASSUMED),
            liveness: PeerLiveness::default(),
            retry_budget: RetryBudget::new(bounds.retry_limit, NODES_ASSUMED),
            usage_ledger: UsageLedger::default(),
            demand: DemandMeter::default(),
            speeds: PoolSpeedTable::default(),
            prompt_cache: PromptCacheTable::default(),
            clock: ClusterClock::default(),
            since_ms: None,
            leader_lease: LeaderLease::new(
                settings.name.clone(),
                settings.listen.peer,
                bounds.lease.to_duration(),
            ),
        }
    }

    /// Counts a request of `workspace` that started to run at `started_at`. Returns `false` if the
    /// time of day is unknown.
    pub fn count_request(
        &mut self,
        workspace: &WorkspaceName,
        started_at: BootTime,
        settings: &ForwardSettings,
    ) -> bool {
        let Some(unix_ms) = self.clock.unix_ms(started_at) else { return false };
        let window = WindowIndex::of(unix_ms, settings.bounds.usage_window.to_duration());
        self.usage_ledger.count(window, workspace);
        true
    }

    /// Heartbeat of this node at `now`. With `is_final`, no further requests will be counted.
    pub fn heartbeat(
        &self,
        incarnation: Incarnation,
        peer: SocketAddr,
        domain: DomainName,
        is_final: bool,
        now: BootTime,
    ) -> NodeHeartbeat {
        let since_ms = self.since_ms.unwrap_or(i64::MAX);
        NodeHeartbeat {
            incarnation,
            offset_ms: self.clock.own_offset(now, clock::wall_ms()).map(|offset| offset.0),
            counted_to_ms: if is_final {
                Some(i64::MAX)
            } else {
                self.clock.unix_ms(now).map(|at| at - COUNT_DELAY_MS)
            },
            windows: self.usage_ledger.windows().to_vec(),
            peer,
            domain,
            since_ms,
            demand: self.demand.rates(now),
        }
    }

    /// Store status known to this node at `now`, for a node whose upstream list has the digest
    /// `known_digest`. Ages are rounded up.
    pub fn store_status(&self, known_digest: u64, now: BootTime) -> StoreStatus {
        let millis = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX - 1) + 1;
        let config_age = self.freshness.age(now).filter(|_| self.catalog.is_some());
        let config = config_age
            .map(|age| ConfigStatus { row: self.config_row_version, age_ms: millis(age) });
        let list = self.upstreams.read_at().map(|at| ListStatus {
            digest: self.upstreams.digest(),
            age_ms: millis(now.since(at)),
            delta: self.upstreams.delta_from(known_digest),
        });
        StoreStatus { config, list }
    }

    /// Quota owners of `workspace` at `now`, in the order in which they are queried.
    pub fn quota_owners(&self, workspace: &WorkspaceName, now: BootTime) -> Vec<NodeName> {
        let candidates = self.members.quota_owner_candidates(self.clock.store_ms(now), now);
        rank_quota_owners(workspace, &candidates).into_iter().cloned().collect()
    }

    /// Maximum number of this node's connections to an upstream that accepts `max_connections` in
    /// total.
    pub fn connection_share(&self, max_connections: u32, now: BootTime) -> u32 {
        /// Percentage of the connections that nodes use. The rest is a margin, since their counts
        /// of live nodes lag.
        const USED_PERCENT: u32 = 85;
        let nodes = self.members.count(now);
        (max_connections.saturating_mul(USED_PERCENT) / 100 / nodes).max(2)
    }
}
