//! What a forwarding node believes: the only mutable state that decisions are made from.

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

/// Nodes that are assumed to share budgets and quotas until the members are known. Above the size
/// of small deployments, so that a node alone with an unread table takes little.
const NODES_ASSUMED: u32 = 16;
/// Time for which a request may have run before it is counted. Counts of a window are complete
/// this long after its end.
const COUNT_DELAY_MS: i64 = 1_000;

/// Beliefs of this run of the node.
#[derive(Debug)]
pub struct ForwardBeliefs {
    /// Newest configuration that was read.
    pub catalog: Option<Rc<ForwardCatalog>>,
    /// Age of the knowledge that `catalog` is the newest.
    pub proof: CatalogFreshness,
    /// Newest version of the configuration's row that the store showed, readable or not.
    pub config_row: RowVersion,
    /// Whether another node knows a newer one.
    pub config_told: bool,
    /// Node that reads the store for this one. Nothing if this node reads it.
    pub reader: Option<NodeName>,
    /// Upstreams.
    pub roster: UpstreamRegistry,
    /// Nodes.
    pub members: MemberTable,
    /// Buckets of the workspaces that have their home here.
    pub home: QuotaOwner,
    /// This node's parts of what is allowed beyond the limits.
    pub purse: LocalQuota,
    /// Signs of life of other nodes.
    pub contacts: PeerLiveness,
    /// Budget of repeated sends.
    pub repeats: RetryBudget,
    /// Requests that began to run here.
    pub ledger: UsageLedger,
    /// Work that arrived here.
    pub work: DemandMeter,
    /// Time of day that the nodes agree on.
    pub clock: ClusterClock,
    /// Which node acts for all.
    pub duty: LeaderLease,
    /// Time on the store's clock at which the first run at this address started.
    pub since_ms: Option<i64>,
}

impl ForwardBeliefs {
    /// Starts without any knowledge.
    pub fn new(settings: &ForwardSettings) -> Self {
        let bounds = settings.bounds;
        Self {
            catalog: None,
            config_row: RowVersion::default(),
            config_told: false,
            reader: None,
            proof: CatalogFreshness::new(bounds.revoke.map(Millis::to_duration)),
            roster: UpstreamRegistry::default(),
            members: MemberTable::default(),
            home: QuotaOwner::new(bounds.quota),
            purse: LocalQuota::new(bounds.quota, NODES_ASSUMED),
            contacts: PeerLiveness::default(),
            repeats: RetryBudget::new(bounds.repeat, NODES_ASSUMED),
            ledger: UsageLedger::default(),
            work: DemandMeter::default(),
            clock: ClusterClock::default(),
            since_ms: None,
            duty: LeaderLease::new(
                settings.name.clone(),
                settings.listen.peer,
                bounds.lease.to_duration(),
            ),
        }
    }

    /// Counts a request of `workspace` that began to run at `began_at`.
    pub fn count_start(
        &mut self,
        workspace: &WorkspaceName,
        began_at: BootTime,
        settings: &ForwardSettings,
    ) -> bool {
        let Some(true_ms) = self.clock.unix_ms(began_at) else { return false };
        let window = WindowIndex::of(true_ms, settings.bounds.usage_window.to_duration());
        self.ledger.count(window, workspace);
        true
    }

    /// What this node publishes at `now`. With `last`, nothing will be counted any more.
    pub fn beat(
        &self,
        incarnation: Incarnation,
        peer: SocketAddr,
        domain: DomainName,
        last: bool,
        now: BootTime,
    ) -> NodeHeartbeat {
        let since_ms = self.since_ms.unwrap_or(i64::MAX);
        NodeHeartbeat {
            incarnation,
            offset_ms: self.clock.own_offset(now, clock::wall_ms()).map(|offset| offset.0),
            counted_to_ms: if last {
                Some(i64::MAX)
            } else {
                self.clock.unix_ms(now).map(|at| at - COUNT_DELAY_MS)
            },
            windows: self.ledger.windows().to_vec(),
            peer,
            domain,
            since_ms,
            demand: self.work.rates(now),
        }
    }

    /// What this node can prove of the store's content at `now`, for a node that holds the list of
    /// upstreams that `held` identifies. Ages are rounded up.
    pub fn news(&self, held: u64, now: BootTime) -> StoreStatus {
        let millis = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX - 1) + 1;
        let proof_age = self.proof.age(now).filter(|_| self.catalog.is_some());
        let config =
            proof_age.map(|age| ConfigStatus { row: self.config_row, age_ms: millis(age) });
        let list = self.roster.read_at().map(|at| ListStatus {
            digest: self.roster.digest(),
            age_ms: millis(now.since(at)),
            delta: self.roster.delta_from(held),
        });
        StoreStatus { config, list }
    }

    /// Homes of the limit of `workspace` at `now`, in the order in which they are asked.
    pub fn homes_of(&self, workspace: &WorkspaceName, now: BootTime) -> Vec<NodeName> {
        let candidates = self.members.quota_owner_candidates(self.clock.store_ms(now), now);
        rank_quota_owners(workspace, &candidates).into_iter().cloned().collect()
    }

    /// Most connections that this node may have to one upstream out of `all`.
    pub fn connection_part(&self, all: u32, now: BootTime) -> u32 {
        /// Share of the connections that nodes use, since their counts of each other lag.
        const USED_PERCENT: u32 = 85;
        let nodes = self.members.count(now);
        (all.saturating_mul(USED_PERCENT) / 100 / nodes).max(2)
    }
}
