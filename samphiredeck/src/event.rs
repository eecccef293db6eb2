//! Events that the control thread handles, their replies, and the effects that it requests.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use actix::Message;
use samphiredeck_core::{
    account::AttemptUsage,
    admission::{Refusal, RequestTicket},
    burn_rate::ResponseTiming,
    declaration::{PriorityClass, RawDeclaration},
    engine_api::EngineReport,
    group_commit::{CommitReply, OperationOutcome},
    ids::{
        ConfigVersion, Incarnation, ModelName, NodeName, RequestId, RowVersion, ServiceName,
        UpstreamId, WorkspaceName,
    },
    placement::{LoadPlan, StartSpec},
    platform_api::{
        CloudSnapshot, PriceRow, RowCondition, RowWrite, StartOutcome, TableReadResult,
        VersionedRow,
    },
    prefix::BlockHash,
    rows::{MemberRow, WorkRow},
    upstream::LoadReport,
};
use samphiredeck_wire::{
    auth::MessageHeader,
    message::{PeerReply, PeerRequest},
};
use tokio::sync::{mpsc, oneshot};

use crate::{
    run::{RunBuffer, RunSignal},
    view::NodeView,
};

/// Request to admit and place a run.
#[derive(Debug)]
pub struct RunRequest {
    /// Ticket that identifies the run in the control state.
    pub ticket: RequestTicket,
    /// Id of the request.
    pub request_id: RequestId,
    /// Version of the declaration that the request was validated against.
    pub version: ConfigVersion,
    /// Workspace that the run is charged to.
    pub workspace: WorkspaceName,
    /// Priority class.
    pub class: PriorityClass,
    /// Model that the request names.
    pub model: ModelName,
    /// Hashes of the prompt's leading blocks.
    pub blocks: Vec<BlockHash>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Limit on the tokens of the response.
    pub output_tokens: u64,
    /// Deadline for the placement.
    pub place_by: Instant,
    /// Whether the request was already accepted, by this node or another.
    pub accepted: bool,
    /// Upstream that already holds the request's cache.
    pub preferred_upstream: Option<UpstreamId>,
    /// Buffer that receives the response.
    pub buffer: Arc<RunBuffer>,
    /// Channel for signals to the run's task.
    pub signals: mpsc::UnboundedSender<RunSignal>,
}

/// Upstream that a run is placed on.
#[derive(Clone, Debug)]
pub struct RunPlacement {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Address, as host and port.
    pub address: String,
    /// Price per hour, in millionths of the platform's currency.
    pub price: u64,
    /// Number of requests that the upstream runs at once.
    pub slots: u32,
}

/// Reason why a run needs another upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RerouteCause {
    /// The upstream announced that it leaves, or evicted the run to make room.
    Preempted,
    /// The upstream refused the request or can't be reached, so nothing ran.
    Refused,
    /// The upstream failed after the request may have run.
    Failed,
}

/// Outcome of a run.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// Timing of the response. `None` for runs that count neither as answered nor as failed, such
    /// as those that were cancelled or moved.
    pub timing: Option<ResponseTiming>,
    /// Whether the upstream failed.
    pub failed: bool,
}

/// Location of a request's run.
#[derive(Clone, Debug)]
pub enum RunLocation {
    /// It runs or ran on this node.
    Local {
        /// Buffer of the response.
        buffer: Arc<RunBuffer>,
        /// Workspace that may read it.
        workspace: WorkspaceName,
    },
    /// It is not on this node and may be on another.
    Remote {
        /// Caller addresses of the nodes to ask, most likely first.
        addresses: Vec<String>,
    },
}

/// Result of placing a run or call.
pub type PlacementResult = Result<RunPlacement, Refusal>;

/// Change of the declaration requested by an operator.
#[derive(Debug)]
pub struct ChangeRequest {
    /// The new declaration.
    pub declaration: RawDeclaration,
    /// Version that must be in force for the change to start.
    pub expect: Option<ConfigVersion>,
    /// Author of the change.
    pub author: String,
    /// Note of the author.
    pub note: String,
}

/// Outcome of a change.
#[derive(Clone, Debug, serde::Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum ChangeReply {
    /// The change is accepted.
    Accepted {
        /// Version that it created.
        version: ConfigVersion,
        /// Members that did not confirm the version. They admit no request that it affects.
        unconfirmed: Vec<NodeName>,
    },
    /// Another change was accepted first.
    Conflict {
        /// Version in force.
        version: ConfigVersion,
        /// Author of that version.
        author: String,
        /// Note of that author.
        note: String,
    },
    /// Another change is in progress.
    Busy {
        /// Node that coordinates it.
        coordinator: NodeName,
    },
    /// The declaration is invalid.
    Invalid {
        /// Field path and reason.
        reason: String,
    },
    /// The change was dropped because members did not acknowledge it.
    Unacknowledged {
        /// Members that did not acknowledge.
        missing: Vec<NodeName>,
    },
    /// The table service can't be reached. Nothing has changed.
    TableDown,
    /// The outcome is not known yet.
    Unknown {
        /// Id under which the history lists the change.
        change: String,
    },
}

/// Conditional write on behalf of a request.
#[derive(Debug)]
pub struct WriteRequest {
    /// Conditions on rows.
    pub conditions: Vec<RowCondition>,
    /// Writes to rows.
    pub writes: Vec<RowWrite>,
    /// Time after which the write is abandoned if it has not been sent.
    pub give_up_at: Instant,
}

/// Reply to a [`WriteRequest`].
#[derive(Clone, Debug)]
pub struct WriteReply {
    /// Outcome of the write.
    pub outcome: OperationOutcome,
    /// Expiry of the node's lease, if it is held.
    pub lease_end: Option<Instant>,
}

/// Events that the control thread handles.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub enum ControlEvent {
    /// Admits and places a run.
    Admit(Box<RunRequest>, oneshot::Sender<PlacementResult>),
    /// Checks whether patient work of a workspace may be recorded.
    CheckPatient {
        workspace: WorkspaceName,
        version: ConfigVersion,
        reply: oneshot::Sender<Result<(), Refusal>>,
    },
    /// A run lost its upstream and needs another.
    Reroute { ticket: RequestTicket, cause: RerouteCause, reply: oneshot::Sender<PlacementResult> },
    /// An attempt of a run at one upstream has ended.
    AttemptEnded { ticket: RequestTicket, usage: AttemptUsage },
    /// The first token arrived, `ttft` after the request was sent.
    FirstToken { ticket: RequestTicket, ttft: std::time::Duration },
    /// A run was moved to another upstream together with its cache.
    CacheMigrated,
    /// A run has ended.
    EndRun { ticket: RequestTicket, outcome: RunOutcome },
    /// Looks up a request by its id.
    FindRun { request: RequestId, reply: oneshot::Sender<RunLocation> },
    /// Places a call to a plain service.
    PlaceCall {
        workspace: WorkspaceName,
        version: ConfigVersion,
        service: ServiceName,
        exclude: Vec<UpstreamId>,
        reply: oneshot::Sender<PlacementResult>,
    },
    /// A call to a plain service has ended.
    EndCall { upstream: UpstreamId, failed: bool },
    /// Writes rows on behalf of a request.
    Write(WriteRequest, oneshot::Sender<WriteReply>),
    /// Checks whether an incarnation of a node is still registered.
    IsRegistered { node: NodeName, incarnation: Incarnation, reply: oneshot::Sender<bool> },
    /// Returns the name and incarnation of this node.
    Identity(oneshot::Sender<(NodeName, Incarnation)>),
    /// Builds the header of the next message to another node.
    NextHeader { receiver: NodeName, reply: oneshot::Sender<MessageHeader> },
    /// Changes the declaration for an operator.
    ChangeConfig(Box<ChangeRequest>, oneshot::Sender<ChangeReply>),
    /// Cancels a request. The reply tells whether it runs on this node.
    Cancel { request: RequestId, reply: oneshot::Sender<bool> },
    /// Returns the view of the node for operators.
    View(oneshot::Sender<Box<NodeView>>),
    /// The commit of a transaction got a reply or failed.
    CommitReply(CommitReply),
    /// The periodic table read sent at this time finished. `None` if it failed.
    TableRead(Instant, Option<TableReadResult>),
    /// The read of recorded work for takeovers finished. `None` if it failed.
    WorkRead(Option<TableReadResult>),
    /// The read of the instance list finished. `None` if it failed.
    CloudRead(Option<CloudSnapshot>),
    /// The price table was read.
    Prices(Vec<PriceRow>),
    /// An engine returned the report requested at this time.
    EngineReport(UpstreamId, Instant, Box<EngineReport>),
    /// A service returned the report requested at this time.
    ServiceReport(UpstreamId, Instant, LoadReport),
    /// The command to load a model finished, with the reason if it failed.
    LoadModelReply(LoadPlan, Result<(), String>),
    /// The request to start an instance finished. `None` if its outcome is unknown.
    StartInstanceReply(StartSpec, Option<StartOutcome>),
    /// A datagram arrived from a peer.
    Datagram(Vec<u8>),
    /// A request of a peer arrived over TCP, with its verified header.
    PeerRequest(MessageHeader, PeerRequest, oneshot::Sender<PeerReply>),
    /// A request to a peer finished. `None` if the peer gave no valid reply.
    PeerReply { node: NodeName, request_kind: PeerRequestKind, reply: Option<PeerReply> },
    /// Advances the graceful stop by one phase.
    Stop,
    /// Checks whether the load balancer may send new callers to the node.
    IsReady(oneshot::Sender<bool>),
    /// Checks whether all runs, calls and writes have ended.
    IsDrained(oneshot::Sender<bool>),
    /// Checks whether the member row was removed.
    HasLeft(oneshot::Sender<bool>),
    /// Returns the names and caller addresses of the other members.
    Members(oneshot::Sender<Vec<(String, String)>>),
    /// Hands over the open runs, since the stop exceeded its time limit.
    HandOverRuns,
    /// Removes the member row, since the node leaves.
    Deregister,
}

/// Kind of a request to a peer, kept to match its reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerRequestKind {
    /// Announcement of this node.
    Greet,
    /// Announcement that this node leaves.
    Leave,
    /// Request for the configuration, stage, leaving marks and members.
    FetchState,
    /// Push of the stage with this row version.
    Stage(RowVersion),
    /// Push of the accepted version.
    Accepted(ConfigVersion),
    /// Notice that a stage was dropped.
    Dropped,
}

/// Effects that the control state requests.
#[derive(Debug)]
pub enum ControlEffect {
    /// Commit a transaction.
    Commit(samphiredeck_core::platform_api::TableTransaction),
    /// Read the configuration and member rows.
    ReadTable,
    /// Read the rows of recorded work.
    ReadWork,
    /// Read the instance list and the reclaim notices.
    ReadCloud,
    /// Read the price table.
    ReadPrices,
    /// Fetch the report of an engine, with cache events starting at `from`.
    FetchEngineReport { upstream: UpstreamId, address: String, from: u64 },
    /// Fetch the load report of a service.
    FetchServiceReport { upstream: UpstreamId, address: String },
    /// Command an engine to load a model.
    LoadModel {
        plan: LoadPlan,
        address: String,
        command: samphiredeck_core::engine_api::EngineCommand,
    },
    /// Start an instance through the cloud API, with this idempotency token.
    StartInstance(StartSpec, String),
    /// Send a datagram.
    SendDatagram { to: SocketAddr, bytes: Vec<u8> },
    /// Send a request to a peer over TCP.
    CallPeer { node: NodeName, to: SocketAddr, kind: PeerRequestKind, request: PeerRequest },
    /// Bind another local port for outgoing datagrams.
    RebindSocket,
    /// Resume work that was taken over or handed over.
    ResumeWork(Box<AdoptedWork>),
    /// Stop the node, since the platform reclaims its instance in `left_ms`.
    BeginStop { left_ms: u64 },
}

/// Work that this node adopts from another.
#[derive(Debug)]
pub struct AdoptedWork {
    /// Row of the work, with the text generated so far.
    pub row: WorkRow,
    /// Version of the row. Zero for work that is not recorded.
    pub version: RowVersion,
    /// Buffer that receives the response.
    pub buffer: Arc<RunBuffer>,
}

/// Parses the JSON value of a row. Returns `None` if the value is missing or malformed.
pub fn parse_row<T: serde::de::DeserializeOwned>(row: &VersionedRow) -> Option<T> {
    serde_json::from_str(row.value.as_deref()?).ok()
}

/// Member row with its version.
#[derive(Clone, Debug)]
pub struct VersionedMember {
    /// Member row.
    pub row: MemberRow,
    /// Version of the row.
    pub version: RowVersion,
}
