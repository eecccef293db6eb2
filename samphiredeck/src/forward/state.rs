//! State of a forwarding node. Decisions are based on this mutable state only.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        admission::{fair_share::WorkspaceUses, urgency::UrgencyTable},
        agreed_windows::AgreedWindows,
        catalog::{ForwardCatalog, WorkspaceRow},
        clock::ClusterClock,
        config_row::ConfigRow,
        demand::DemandMeter,
        freshness::CatalogFreshness,
        leader::LeaderLease,
        limit_queue::LimitQueue,
        load_view::LoadExchange,
        member_list::MEMBER_PAGE_ENTRIES,
        members::{MemberTable, NodeHeartbeat, is_lapsed},
        node_groups::NodeGroup,
        origin_query::VersionView,
        part_exchange::PartExchange,
        pool_speed::PoolSpeedTable,
        prompt_cache::PromptCacheTable,
        quota::{
            LocalQuota, PeerLiveness, QuotaDecision, QuotaOwner, UnownedTable, first_quota_owner,
            rank_quota_owners,
        },
        quota_reach::QuotaReach,
        retry_budget::RetryBudget,
        rollout::version_share::VersionShare,
        route_durations::RouteDurations,
        store_readers::{ConfigStatus, ListStatus, StoreStatus},
        stream_origins::{OriginTable, StreamOrigin},
        suspects::{CrashReport, SuspectTable},
        tunnel_nodes::TunnelNodes,
        upstream_limit::NodeTurn,
        upstream_list::UPSTREAM_PAGE_ENTRIES,
        upstream_paths::PathTable,
        upstream_slots::SlotKeeper,
        upstreams::UpstreamRegistry,
        usage::{UsageLedger, WindowIndex},
    },
    ids::{
        AttemptKey, DomainName, Incarnation, NodeName, PoolName, RowVersion, SoftwareVersion,
        WorkspaceName,
    },
    name_text::NameTexts,
    units::Span,
};
use samphiredeck_wire::forward::RelayedMembers;

use crate::forward::{clock, settings::ForwardSettings};

/// Number of nodes assumed to share budgets and quotas until the members are known. Larger than
/// small deployments, so that a single node that has not read the store takes only a small share.
const NODES_ASSUMED: u32 = 16;
/// Maximum time between the start of a request and its counting. The counts of a window are
/// complete this long after its end.
const COUNT_DELAY_MS: i64 = 1_000;

/// Time between two looks at the buckets after which the process was frozen, and others may have granted units meanwhile.
const PAUSE_MIN: Duration = Duration::from_secs(1);
/// Time without a decision of any owner after which a node grants by its own share.
const UNOWNED_AFTER: Duration = Duration::from_millis(500);

/// Time without any datagram of another node after which this one tells others through the store. Nodes
/// send comparisons to random others each second.
const SILENCE_MAX: Duration = Duration::from_secs(3);
/// Size of a part of the configuration in bytes, so that it fits into a datagram.
const CONFIG_PART_BYTES: usize = 1_000;

/// State of this run of the node.
#[derive(Debug)]
pub struct ForwardState {
    /// Newest configuration that was read.
    pub catalog: Option<Rc<ForwardCatalog>>,
    /// Names as the operator wrote them, in this and earlier configurations of this run.
    pub names: NameTexts,
    /// Time since `catalog` was known to be the newest configuration.
    pub freshness: CatalogFreshness,
    /// Newest row of the configuration in the store. An older configuration than `catalog` may have returned.
    pub config_row: ConfigRow,
    /// Value of that row, for followers. `None` if this node can't read it or it is too large to be relayed.
    pub config_value: Option<Bytes>,
    /// Whether another node has reported a newer version.
    pub newer_config_reported: bool,
    /// Node that this one queries instead of the store. `None` if it reads the store itself.
    pub reader: Option<NodeName>,
    /// Whether `reader` was chosen since the start.
    pub has_chosen_reader: bool,
    /// Known upstreams and their load.
    pub upstreams: UpstreamRegistry,
    /// Time of the last response of any upstream to this node.
    pub upstream_heard_at: Option<BootTime>,
    /// Paths to upstreams that failed.
    pub paths: PathTable,
    /// Other nodes that reach upstreams, or don't.
    pub tunnel_nodes: TunnelNodes,
    /// Requests that wait for upstreams with limits.
    pub limit_queue: LimitQueue,
    /// Slots of brittle upstreams that this node counts for all.
    pub slot_keeper: SlotKeeper,
    /// Where streams began that may be resumed.
    pub origins: OriginTable,
    /// Requests and prompt parts that may crash upstreams.
    pub suspects: SuspectTable,
    /// Reports of crashes in this node's row in the store. `None` if it is not known what the row
    /// holds.
    pub published_suspects: Option<Vec<CrashReport>>,
    /// Nodes of the cluster.
    pub members: MemberTable,
    /// Nodes that publish through this one, and itself.
    pub group: NodeGroup,
    /// Whether the reader holds another list of members than this node.
    pub members_differ: bool,
    /// Time at which the list of members was last confirmed by the reader or read from the store.
    pub members_relayed_at: Option<BootTime>,
    /// Time at which a heartbeat was last published, or received by a reader.
    pub published_at: Option<BootTime>,
    /// Token buckets of the workspaces that this node owns.
    pub quota_owner: QuotaOwner,
    /// Nodes that this one decides for as an owner.
    pub quota_reach: QuotaReach,
    /// Time of the last look at the buckets of `quota_owner`.
    pub quota_seen_at: Option<BootTime>,
    /// Workspaces for which no owner decides.
    pub unowned: UnownedTable,
    /// This node's share of the quota that may be granted beyond the limits.
    pub local_quota: LocalQuota,
    /// Liveness of other nodes.
    pub liveness: PeerLiveness,
    /// Time of the last datagram of another node.
    pub heard_at: Option<BootTime>,
    /// Budget for retries.
    pub retry_budget: RetryBudget,
    /// Counts of requests that started to run through this node.
    pub usage_ledger: UsageLedger,
    /// Committed counts of usage that this node has read.
    pub agreed_windows: AgreedWindows,
    /// Demand received by this node.
    pub demand: DemandMeter,
    /// Urgencies and deadlines of the requests that arrived at this node.
    pub urgencies: UrgencyTable,
    /// What workspaces ask for.
    pub uses: WorkspaceUses,
    /// Shared prompt parts that other nodes are to be told of.
    pub parts: PartExchange,
    /// Requests of all nodes at the upstreams.
    pub loads: LoadExchange,
    /// Speeds of the pools, as measured by this node.
    pub speeds: PoolSpeedTable,
    /// Software versions that may be chosen.
    pub versions: VersionShare,
    /// Times that requests took, by route.
    pub durations: RouteDurations,
    /// Shared prompt parts that this node sent to upstreams.
    pub prompt_cache: PromptCacheTable,
    /// Clock that the nodes agree on.
    pub clock: ClusterClock,
    /// Leader lease as known to this node.
    pub leader_lease: LeaderLease,
    /// Store time at which the first run at this address started.
    pub since_ms: Option<i64>,
    /// Time from which on the retry budget is still to be funded for the first start of the cluster.
    pub vacant_from: Option<BootTime>,
}

impl ForwardState {
    /// Creates the initial state, before anything is known.
    pub fn new(settings: &ForwardSettings) -> Self {
        let bounds = settings.bounds;
        let mut names = NameTexts::default();
        names.record(settings.name.as_str(), &settings.name_text);
        Self {
            catalog: None,
            names,
            config_row: ConfigRow::default(),
            config_value: None,
            newer_config_reported: false,
            reader: None,
            has_chosen_reader: false,
            freshness: CatalogFreshness::new(bounds.revoke.map(Span::to_duration)),
            upstreams: UpstreamRegistry::default(),
            upstream_heard_at: None,
            paths: PathTable::default(),
            tunnel_nodes: TunnelNodes::default(),
            limit_queue: LimitQueue::default(),
            slot_keeper: SlotKeeper::default(),
            origins: OriginTable::default(),
            suspects: SuspectTable::default(),
            published_suspects: Some(Vec::new()),
            members: MemberTable::default(),
            group: NodeGroup::default(),
            members_differ: false,
            members_relayed_at: None,
            published_at: None,
            quota_owner: QuotaOwner::new(bounds.quota_slack),
            quota_reach: QuotaReach::default(),
            quota_seen_at: None,
            unowned: UnownedTable::default(),
            local_quota: LocalQuota::new(bounds.quota_slack, NODES_ASSUMED),
            liveness: PeerLiveness::default(),
            heard_at: None,
            retry_budget: RetryBudget::new(bounds.retry_limit),
            usage_ledger: UsageLedger::default(),
            agreed_windows: AgreedWindows::default(),
            demand: DemandMeter::default(),
            urgencies: UrgencyTable::default(),
            uses: WorkspaceUses::default(),
            parts: PartExchange::default(),
            loads: LoadExchange::default(),
            speeds: PoolSpeedTable::default(),
            versions: VersionShare::new(bounds.exposure.is_some()),
            durations: RouteDurations::default(),
            prompt_cache: PromptCacheTable::default(),
            clock: ClusterClock::default(),
            since_ms: None,
            vacant_from: None,
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
    /// `None` until the store's clock is known.
    pub fn heartbeat(
        &self,
        incarnation: Incarnation,
        peer: SocketAddr,
        domain: DomainName,
        is_final: bool,
        now: BootTime,
    ) -> Option<NodeHeartbeat> {
        let since_ms = self.since_ms.unwrap_or(i64::MAX);
        Some(NodeHeartbeat {
            incarnation,
            beat_ms: self.clock.store_ms(now)?,
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
        })
    }

    /// Store status known to this node at `now`, for a node whose upstream list has the digest
    /// `known_digest` and that has received `skip` entries of the difference. Ages are rounded up.
    pub fn store_status(&self, known_digest: u64, skip: u32, now: BootTime) -> StoreStatus {
        let millis = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX - 1) + 1;
        let config = self
            .freshness
            .age(now)
            .map(|age| ConfigStatus { row: self.config_row.version(), age_ms: millis(age) });
        let list = self.upstreams.read_at().map(|at| {
            let digest = self.upstreams.digest();
            let delta = Some(known_digest).filter(|known| *known != digest);
            let delta = delta.and_then(|known| self.upstreams.delta_from(known));
            let page = delta.map(|delta| delta.page(to_usize(skip), UPSTREAM_PAGE_ENTRIES));
            let remaining = page.as_ref().map_or(0, |(_, left)| *left);
            ListStatus {
                digest,
                version: self.upstreams.version(),
                age_ms: millis(now.since(at)),
                delta: page.map(|(page, _)| page),
                remaining: u32::try_from(remaining).unwrap_or(u32::MAX),
            }
        });
        StoreStatus { config, list }
    }

    /// Size of the configuration's row of version `row`, and its next bytes after `skip`. Empty if
    /// this node does not hold that version or can't relay it.
    pub fn config_part(&self, row: RowVersion, skip: u32) -> (u32, Vec<u8>) {
        let value = self.config_value.as_ref().filter(|_| row == self.config_row.version());
        let Some(value) = value else { return (0, Vec::new()) };
        let start = to_usize(skip).min(value.len());
        let end = (start + CONFIG_PART_BYTES).min(value.len());
        (u32::try_from(value.len()).unwrap_or(0), value[start..end].to_vec())
    }

    /// Members as relayed to a follower whose list has the digest `known_digest` and that has
    /// received `skip` entries of the difference.
    pub fn relayed_members(&self, known_digest: u64, skip: u32, now: BootTime) -> RelayedMembers {
        let list = self.members.list();
        let delta = Some(known_digest).filter(|known| *known != list.digest());
        let delta = delta.and_then(|known| list.delta_from(known));
        let page = delta.map(|delta| delta.page(to_usize(skip), MEMBER_PAGE_ENTRIES));
        let remaining = page.as_ref().map_or(0, |(_, left)| *left);
        RelayedMembers {
            digest: list.digest(),
            delta: page.map(|(page, _)| page),
            remaining: u32::try_from(remaining).unwrap_or(u32::MAX),
            observed_ms: self.members.observed_ms(),
            store_ms: self.clock.store_ms(now),
            offset: self.clock.offset(),
        }
    }

    /// Reports of crashes that belong into this node's row in the store: those that have to outlast a
    /// loss of all nodes, or all of them while other nodes can't be told otherwise.
    pub fn reports_to_publish(&self, now: BootTime) -> Vec<CrashReport> {
        let hears_others = self.heard_at.is_some_and(|at| now.since(at) < SILENCE_MAX);
        if self.members.count() > 1 && !hears_others {
            return self.suspects.reports().to_vec();
        }
        self.suspects.lasting_reports().into_iter().cloned().collect()
    }

    /// Whether the suspects in this node's row in the store are out of date.
    pub fn has_unpublished_suspects(&self, now: BootTime) -> bool {
        self.published_suspects.as_ref() != Some(&self.reports_to_publish(now))
    }

    /// Where the stream of `attempt` began, as far as this node can tell without others. `pools` may
    /// have served it.
    pub fn find_origin(
        &self,
        attempt: Option<AttemptKey>,
        pools: &[PoolName],
        now: BootTime,
    ) -> Option<StreamOrigin> {
        let announced = attempt.and_then(|attempt| self.origins.find(attempt));
        announced.cloned().or_else(|| {
            let software = self.only_version(pools, now)?.clone();
            Some(StreamOrigin { software, pool: None })
        })
    }

    /// The version at which all streams began that `pools` serve and that may be resumed, if there
    /// is certainly just one.
    pub fn only_version(&self, pools: &[PoolName], now: BootTime) -> Option<&SoftwareVersion> {
        let timeout = self.catalog.as_ref()?.longest_resumable();
        self.upstreams.versions.only_version(pools, timeout, now)
    }

    /// What this node knows of the versions of `pools`, for a request that arrived at `arrived_at`.
    pub fn version_view(
        &self,
        pools: &[PoolName],
        arrived_at: BootTime,
        now: BootTime,
    ) -> VersionView {
        let Some(catalog) = &self.catalog else { return VersionView::default() };
        let versions = &self.upstreams.versions;
        let known = versions.known_versions(pools, catalog.longest_resumable(), now);
        VersionView {
            only: self.only_version(pools, now).cloned(),
            known: known.cloned().collect(),
            is_later: versions.observed_at().is_some_and(|at| at >= arrived_at),
        }
    }

    /// Takes up to `count` origins of own streams that other nodes can't tell from the versions that
    /// served, with the time for which the streams may be resumed.
    pub fn take_unannounced(
        &mut self,
        count: usize,
        now: BootTime,
    ) -> Vec<(AttemptKey, StreamOrigin, Duration)> {
        let Some(catalog) = &self.catalog else { return Vec::new() };
        let routes = catalog.resumable_pools().into_iter();
        let uncertain = routes.filter(|pools| self.only_version(pools, now).is_none()).flatten();
        let uncertain: Vec<PoolName> = uncertain.collect();
        if uncertain.is_empty() {
            return Vec::new();
        }
        let is_due = |origin: &StreamOrigin| {
            origin.pool.as_ref().is_some_and(|pool| uncertain.contains(pool))
        };
        self.origins.take_unannounced(count, is_due, now)
    }

    /// Whether this node, called `own`, may act as a quota owner at `now`. Other nodes may have
    /// replaced it otherwise.
    pub fn may_own_quotas(&self, own: &NodeName, now: BootTime) -> bool {
        let since_ms = self.since_ms.unwrap_or(i64::MAX);
        let store_ms = self.clock.store_ms(now);
        store_ms.is_some_and(|store_ms| self.members.may_own_quotas(own, since_ms, store_ms))
    }

    /// Treats this node as new if other nodes may have considered it gone at `now`, so that all
    /// nodes accept it as a quota owner at the same time.
    pub fn rejoin_if_lapsed(&mut self, now: BootTime) {
        let lapsed = self.published_at.is_some_and(|at| is_lapsed(now.since(at)));
        if lapsed && let Some(store_ms) = self.clock.store_ms(now) {
            self.since_ms = Some(store_ms);
            self.vacant_from = None;
        }
    }

    /// Quota owners of `workspace` at `now`, in the order in which they are queried.
    pub fn quota_owners(&self, workspace: &WorkspaceName, now: BootTime) -> Vec<NodeName> {
        let candidates = self.members.quota_owner_candidates(self.clock.store_ms(now));
        rank_quota_owners(workspace, &candidates).into_iter().cloned().collect()
    }

    /// Notes at `now` whether the process was frozen since the last look at its buckets. Others have decided meanwhile.
    pub fn notice_pause(&mut self, now: BootTime) {
        if self.quota_seen_at.is_some_and(|at| now.since(at) >= PAUSE_MIN) {
            self.quota_owner.relieve(|_| false, now);
        }
        self.quota_seen_at = Some(now);
    }

    /// Notes which buckets are not those of the first owner, called `own`.
    pub fn relieve_buckets(&mut self, own: &NodeName, now: BootTime) {
        let candidates = self.members.quota_owner_candidates(self.clock.store_ms(now));
        let is_first =
            |workspace: &WorkspaceName| first_quota_owner(workspace, &candidates) == Some(own);
        self.quota_owner.relieve(is_first, now);
    }

    /// Takes `units` of `workspace` from this node's own share of the limit, if no owner has decided for a while.
    pub fn take_own_share(&mut self, workspace: &WorkspaceRow, units: f64, now: BootTime) -> bool {
        let nodes = self.members.count();
        if nodes == 1 || self.unowned.silence(&workspace.name, now) < UNOWNED_AFTER {
            return false;
        }
        let share = 1.0 / f64::from(nodes);
        self.quota_owner.take(workspace, units, share, now) == QuotaDecision::Granted
    }

    /// Turn of this node, called `own`, at upstreams with a limit. `None` while it is not in its own
    /// list of members, or does not know the store's clock.
    pub fn node_turn(&self, own: &NodeName, now: BootTime) -> Option<NodeTurn> {
        let entries = self.members.list().entries();
        let position = entries.binary_search_by(|entry| entry.node.cmp(own)).ok()?;
        let position = u32::try_from(position).ok()?;
        NodeTurn::new(position, self.members.count(), self.clock.store_ms(now)?)
    }

    /// Maximum number of this node's connections to an upstream that accepts `max_connections` in
    /// total.
    pub fn connection_share(&self, max_connections: u32) -> u32 {
        /// Percentage of the connections that nodes use. The rest is a margin, since their counts
        /// of live nodes lag.
        const USED_PERCENT: u32 = 85;
        let nodes = self.members.count();
        (max_connections.saturating_mul(USED_PERCENT) / 100 / nodes).max(2)
    }
}

fn to_usize(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
