//! Datagrams between forwarding nodes.

use samphiredeck_core::{
    forward::{
        brittle_pools::SharedBrittle,
        clock::ClockOffset,
        load_view::{LoadSums, ViewPage},
        member_list::MemberDelta,
        members::NodeHeartbeat,
        prompt_cache::PartKey,
        rollout::{RolloutDirective, RolloutReport},
        store_readers::StoreStatus,
        stream_origins::StreamOrigin,
        suspects::exchange::PublishedSuspects,
        upstream_limit::exchange::SharedLimit,
        upstream_speed::SharedSpeed,
    },
    ids::{AttemptKey, Incarnation, PoolName, RowVersion, SuspectKey, UpstreamId, WorkspaceName},
};
use serde::{Deserialize, Serialize};

/// Members known to a node that reads the store, for its followers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedMembers {
    /// Digest of the list of live nodes.
    pub digest: u64,
    /// Page of the difference from the list that the follower holds. `None` if that one is the
    /// same, or too different.
    pub delta: Option<MemberDelta>,
    /// Number of entries after the page.
    pub remaining: u32,
    /// Time on the store's clock, in milliseconds, up to which the list is known to be current.
    pub observed_ms: i64,
    /// The store's clock at the time of the reply, in milliseconds.
    pub store_ms: Option<i64>,
    /// Offset of the time of day that the nodes agree on.
    pub offset: Option<ClockOffset>,
}

/// Datagram between forwarding nodes.
///
/// The quota owner of a workspace is the node that enforces the workspace's limit for all nodes. If
/// it does not respond, a failover owner replaces it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ForwardDatagram {
    /// Requests quota units for one request from a quota owner of `workspace`.
    #[serde(rename = "Ask")]
    AcquireUnits {
        /// Identifies the query in its reply. Unique while the querying node runs.
        #[serde(rename = "question")]
        query_id: u64,
        /// Workspace that the request belongs to.
        workspace: WorkspaceName,
        /// Quota units that the request needs.
        units: f64,
        /// Whether the receiver is queried as a failover owner: no higher-ranked owner decided.
        #[serde(rename = "instead")]
        failover: bool,
    },
    /// The units are granted: the request may run.
    Granted {
        /// Identifies the query.
        #[serde(rename = "question")]
        query_id: u64,
    },
    /// The workspace is over its limit.
    #[serde(rename = "Over")]
    OverLimit {
        /// Identifies the query.
        #[serde(rename = "question")]
        query_id: u64,
        /// Milliseconds until the limit has room for the request.
        wait_ms: u64,
    },
    /// The sender does not decide: a higher-ranked owner of the workspace may be alive, or the
    /// sender is isolated, can't prove that its configuration is the newest or does not know the
    /// workspace.
    Declined {
        /// Identifies the query.
        #[serde(rename = "question")]
        query_id: u64,
    },
    /// Returns the units of a granted request that did not run.
    #[serde(rename = "GiveBack")]
    ReleaseUnits {
        /// Workspace that the request belongs to.
        workspace: WorkspaceName,
        /// Quota units that are returned.
        units: f64,
    },
    /// Queries which content of the store the receiver knows, and how old that knowledge is.
    #[serde(rename = "AskNews")]
    QueryStoreStatus {
        /// Identifies the query in its reply. Unique while the querying node runs.
        #[serde(rename = "question")]
        query_id: u64,
        /// Digest of the sender's list of upstreams, against which the reply may give changes.
        #[serde(rename = "list")]
        list_digest: u64,
        /// Number of changes that the sender has received already.
        skip: u32,
    },
    /// Replies to [`QueryStoreStatus`](Self::QueryStoreStatus).
    #[serde(rename = "News")]
    StoreStatus {
        /// Identifies the query.
        #[serde(rename = "question")]
        query_id: u64,
        /// Versions of the store's content and their ages at the time of the reply.
        #[serde(rename = "news")]
        store_status: StoreStatus,
    },
    /// Queries a part of the configuration's row.
    QueryConfig {
        /// Identifies the query in its reply. Unique while the querying node runs.
        query_id: u64,
        /// Version of the row.
        row: RowVersion,
        /// Number of bytes that the sender has received already.
        skip: u32,
    },
    /// Replies to [`QueryConfig`](Self::QueryConfig).
    ConfigPart {
        /// Identifies the query.
        query_id: u64,
        /// Size of the row in bytes. Zero if the sender does not hold that version.
        size: u32,
        /// The next bytes of the row.
        bytes: Vec<u8>,
    },
    /// Publishes the sender's heartbeat, or a part of it, through the receiver.
    Heartbeat {
        /// Identifies the query in its reply. Unique while the querying node runs.
        query_id: u64,
        /// Heartbeat to publish.
        heartbeat: NodeHeartbeat,
        /// Digest of the sender's list of members, against which the reply may give changes.
        members_digest: u64,
    },
    /// Queries the next page of the changes of the list of members.
    QueryMembers {
        /// Identifies the query in its reply. Unique while the querying node runs.
        query_id: u64,
        /// Digest of the sender's list of members.
        members_digest: u64,
        /// Number of changes that the sender has received already.
        skip: u32,
    },
    /// Replies to [`Heartbeat`](Self::Heartbeat), which will be published, and to
    /// [`QueryMembers`](Self::QueryMembers).
    MemberStatus {
        /// Identifies the query.
        query_id: u64,
        /// Members known to the sender.
        members: RelayedMembers,
    },
    /// Tells where the stream of `attempt` began, for nodes at which its caller may resume it.
    AnnounceOrigin {
        /// Attempt that brought the first event.
        attempt: AttemptKey,
        /// Where the stream began.
        origin: StreamOrigin,
        /// Milliseconds for which the stream may be resumed.
        lifetime_ms: u64,
    },
    /// Queries where the stream of `attempt` began.
    QueryOrigin {
        /// Identifies the query in its reply. Unique while the querying node runs.
        query_id: u64,
        /// Attempt that brought the first event.
        attempt: AttemptKey,
        /// Pools that may have served it.
        pools: Vec<PoolName>,
    },
    /// Replies to [`QueryOrigin`](Self::QueryOrigin).
    OriginStatus {
        /// Identifies the query.
        query_id: u64,
        /// Where the stream began, if the sender knows it for certain.
        origin: Option<StreamOrigin>,
    },
    /// Asks whether the receiver is alive and can act as an owner.
    Ping,
    /// Replies to a ping: the sender can act as an owner.
    Pong,
    /// The sender is alive but can't act as an owner, since it can't prove that its configuration
    /// is the newest.
    #[serde(rename = "Unable")]
    NotEligible,
    /// Tells about requests and prompt parts that may crash upstreams.
    AnnounceSuspects {
        /// Reports and proofs, as far as they fit.
        published: PublishedSuspects,
    },
    /// Asks for the receiver's reports, unless they have this digest.
    QuerySuspects {
        /// Digest of the sender's reports.
        digest: u64,
    },
    /// Asks the keeper of `key` whether a request with it may be sent as a trial.
    AcquireTrial {
        /// Identifies the query in its reply. Unique while the querying node runs.
        query_id: u64,
        /// Suspected request or part.
        key: SuspectKey,
        /// Keys of the request, `key` among them.
        keys: Vec<SuspectKey>,
    },
    /// Replies to [`AcquireTrial`](Self::AcquireTrial).
    TrialDecision {
        /// Identifies the query.
        query_id: u64,
        /// Whether the request may be sent.
        granted: bool,
    },
    /// Ends a trial of `key` without a result.
    ReleaseTrial {
        /// Suspected request or part.
        key: SuspectKey,
    },
    /// Message about the limits of upstreams.
    Limits(LimitMessage),
    /// Message about brittle upstreams. Unknown to earlier builds, which refuse it.
    Slots(SlotMessage),
    /// Message about the speed of upstreams. Unknown to earlier builds, which refuse it.
    Speeds(SpeedMessage),
    /// Message about requests in flight at upstreams. Unknown to earlier builds, which refuse it.
    Loads(LoadMessage),
    /// Message about a rollout. Unknown to earlier builds, which refuse it.
    Rollouts(RolloutMessage),
}

/// Message about the limits that upstreams have named.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LimitMessage {
    /// Tells about limits.
    Announce {
        /// Statements, as far as they fit.
        limits: Vec<SharedLimit>,
    },
    /// Asks for the receiver's limits, unless they have this digest.
    Compare {
        /// Digest of the sender's limits.
        digest: u64,
    },
}

/// Message about brittle upstreams and their slots, which one node counts for all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SlotMessage {
    /// Tells about pools whose upstreams are brittle, or were.
    Announce {
        /// Statements about all of them.
        pools: Vec<SharedBrittle>,
    },
    /// Asks the receiver, which counts the slots of `upstream`, for one more.
    Acquire {
        /// Identifies the query in its reply. Unique while the querying node runs.
        query_id: u64,
        /// The upstream.
        upstream: UpstreamId,
        /// Slots that the sender holds.
        held: u32,
    },
    /// Replies to [`Acquire`](Self::Acquire).
    Decision {
        /// Identifies the query.
        query_id: u64,
        /// Whether the sender may use one more slot.
        granted: bool,
    },
    /// Tells the receiver, which counts them, how many slots the sender holds.
    Report {
        /// Slots, as far as they fit.
        slots: Vec<HeldSlots>,
    },
}

/// Message about how fast upstreams work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SpeedMessage {
    /// Tells about speeds.
    Announce {
        /// Speeds, as far as they fit.
        speeds: Vec<SharedSpeed>,
    },
}

/// Message about the requests that nodes have in flight at upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LoadMessage {
    /// Tells the receiver, the collector of the sender's failure domain, the sums of the sender alone.
    Node {
        /// Sums of the sender.
        sums: LoadSums,
    },
    /// Tells the collector of another failure domain the sums of the sender's domain.
    Domain {
        /// Sums, as far as they fit.
        page: ViewPage,
    },
    /// Tells a node the sums over all nodes.
    View {
        /// Sums, as far as they fit.
        page: ViewPage,
    },
    /// Tells of shared prompt parts that were sent to upstreams.
    Parts {
        /// Keys of the parts and their upstreams.
        keys: Vec<PartKey>,
    },
}

/// Message about the move of a pool to another software version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RolloutMessage {
    /// Tells the receiver what it may send to the new version, and asks for a report.
    Direct {
        /// What the leader tells.
        directive: RolloutDirective,
    },
    /// Replies to [`Direct`](Self::Direct).
    Report {
        /// Run of the sender, since counts are those of one run.
        incarnation: Incarnation,
        /// Counts of the sender.
        report: RolloutReport,
    },
}

/// Slots of one upstream that a node holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSlots {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Slots that the node holds.
    pub held: u32,
    /// Whether the upstream has just turned a request of the node away.
    pub refused: bool,
}
