//! Events that the control thread handles, and the answers to them.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use actix::Message;
use samphiredeck_core::{
    account::AttemptUsage,
    admission::{Refusal, TicketNumber},
    burn_rate::AnswerTiming,
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
    /// Key of the run.
    pub ticket: TicketNumber,
    /// Id of the request.
    pub request_id: RequestId,
    /// Version of the declaration that the request was checked against.
    pub version: ConfigVersion,
    /// Who pays.
    pub workspace: WorkspaceName,
    /// Urgency.
    pub class: PriorityClass,
    /// Model to run.
    pub model: ModelName,
    /// Leading blocks of the prompt.
    pub blocks: Vec<BlockHash>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that the answer may have.
    pub output_tokens: u64,
    /// Time by which the request must have been placed.
    pub place_by: Instant,
    /// Whether the request was accepted before, by this node or another.
    pub accepted: bool,
    /// Upstream that holds the request's cache already.
    pub preferred_upstream: Option<UpstreamId>,
    /// Where the answer goes.
    pub buffer: Arc<RunBuffer>,
    /// How the run is told to move.
    pub signals: mpsc::UnboundedSender<RunSignal>,
}

/// Where a run goes.
#[derive(Clone, Debug)]
pub struct RunPlacement {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Host and port.
    pub address: String,
    /// Price in millionths an hour.
    pub price: u64,
    /// Requests that share the upstream.
    pub slots: u32,
}

/// Why a run loses its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RerouteCause {
    /// The upstream leaves as announced, or makes room.
    Preempted,
    /// The upstream refused it, or can't be reached, so that nothing ran.
    Refused,
    /// The upstream failed after the request may have run.
    Failed,
}

/// End of a run.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// Timing of the answer, or `None` for a run that its caller gave up.
    pub timing: Option<AnswerTiming>,
    /// Whether the upstream failed.
    pub failed: bool,
}

/// What was found of a request.
#[derive(Clone, Debug)]
pub enum RunLocation {
    /// It runs or ran here.
    Local {
        /// The answer.
        buffer: Arc<RunBuffer>,
        /// Who may read it.
        workspace: WorkspaceName,
    },
    /// It may be at another node.
    Remote {
        /// Callers' addresses of the nodes to ask, likeliest first.
        addresses: Vec<String>,
    },
}

/// Answer to a run that asks for a place.
pub type PlacementResult = Result<RunPlacement, Refusal>;

/// Change of the declaration that an operator asks for.
#[derive(Debug)]
pub struct ChangeRequest {
    /// The new declaration.
    pub declaration: RawDeclaration,
    /// Version that it must follow.
    pub expect: Option<ConfigVersion>,
    /// Who asks.
    pub author: String,
    /// What the operator said of it.
    pub note: String,
}

/// How a change ended.
#[derive(Clone, Debug, serde::Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum ChangeReply {
    /// Accepted.
    Accepted {
        /// Its version.
        version: ConfigVersion,
        /// Members that did not confirm it and admit nothing that it treats otherwise.
        unconfirmed: Vec<NodeName>,
    },
    /// Another change came first.
    Conflict {
        /// Version in force.
        version: ConfigVersion,
        /// Who made it.
        author: String,
        /// What its author said of it.
        note: String,
    },
    /// Another change is under way.
    Busy {
        /// Node that coordinates it.
        coordinator: NodeName,
    },
    /// The declaration is refused.
    Invalid {
        /// Field and reason.
        reason: String,
    },
    /// The change was dropped, since these members did not acknowledge it.
    Unacknowledged {
        /// The members.
        missing: Vec<NodeName>,
    },
    /// The table service can't be reached. Nothing has changed.
    TableDown,
    /// The outcome is not known yet.
    Unknown {
        /// Id of the change, to look for in the history.
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
    /// Time at which it is given up if it was not sent.
    pub give_up_at: Instant,
}

/// Outcome of a [`WriteAsk`] with the end of the lease under which it was made.
#[derive(Clone, Debug)]
pub struct WriteReply {
    /// What became of it.
    pub outcome: OperationOutcome,
    /// End of the node's lease, if it is held.
    pub lease_end: Option<Instant>,
}

/// Everything that the control thread reacts to.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub enum ControlEvent {
    /// A caller's request asks to be admitted and placed.
    Admit(Box<RunRequest>, oneshot::Sender<PlacementResult>),
    /// Asks whether patient work of a workspace may be recorded.
    CheckPatient {
        workspace: WorkspaceName,
        version: ConfigVersion,
        reply: oneshot::Sender<Result<(), Refusal>>,
    },
    /// A run lost its upstream and asks for another.
    Reroute { ticket: TicketNumber, cause: RerouteCause, reply: oneshot::Sender<PlacementResult> },
    /// A part of a run at one upstream has ended.
    AttemptEnded { ticket: TicketNumber, usage: AttemptUsage },
    /// The first token came, this long after the request was sent.
    FirstToken { ticket: TicketNumber, ttft: std::time::Duration },
    /// A run was moved with its cache.
    CacheMigrated,
    /// A run has ended.
    EndRun { ticket: TicketNumber, outcome: RunOutcome },
    /// A caller asks for a request by its id.
    FindRun { request: RequestId, reply: oneshot::Sender<RunLocation> },
    /// A call to a plain service asks for a place.
    PlaceCall {
        workspace: WorkspaceName,
        version: ConfigVersion,
        service: ServiceName,
        exclude: Vec<UpstreamId>,
        reply: oneshot::Sender<PlacementResult>,
    },
    /// A call to a plain service has ended.
    EndCall { upstream: UpstreamId, failed: bool },
    /// A request needs rows written.
    Write(WriteRequest, oneshot::Sender<WriteReply>),
    /// Asks whether that run of a node may still be at work.
    IsRegistered { node: NodeName, incarnation: Incarnation, reply: oneshot::Sender<bool> },
    /// Asks for the name and the run of this node.
    Identity(oneshot::Sender<(NodeName, Incarnation)>),
    /// Asks for the stamp of a message to another node.
    NextHeader { receiver: NodeName, reply: oneshot::Sender<MessageHeader> },
    /// An operator changes the declaration.
    ChangeConfig(Box<ChangeRequest>, oneshot::Sender<ChangeReply>),
    /// An operator cancels a request. Answers whether it runs here.
    Cancel { request: RequestId, reply: oneshot::Sender<bool> },
    /// An operator looks at the node.
    View(oneshot::Sender<Box<NodeView>>),
    /// The table service answered a commit.
    CommitReply(CommitReply),
    /// The table service answered the regular read sent at this time, or did not.
    TableRead(Instant, Option<TableReadResult>),
    /// Rows of recorded work were read for a takeover.
    WorkRead(Option<TableReadResult>),
    /// The cloud API answered, or did not.
    CloudRead(Option<CloudSnapshot>),
    /// The price table was read.
    Prices(Vec<PriceRow>),
    /// An engine answered the report asked for at this time.
    EngineReport(UpstreamId, Instant, Box<EngineReport>),
    /// A service answered the report asked for at this time.
    ServiceReport(UpstreamId, Instant, LoadReport),
    /// An engine took or refused an order to load a model.
    LoadModelReply(LoadPlan, Result<(), String>),
    /// The cloud API answered an order for an instance.
    StartInstanceReply(StartSpec, Option<StartOutcome>),
    /// A datagram came.
    Datagram(Vec<u8>),
    /// A peer's question came over TCP.
    PeerRequest(MessageHeader, PeerRequest, oneshot::Sender<PeerReply>),
    /// A peer answered a question, or did not.
    PeerReply { node: NodeName, request: PeerRequestKind, reply: Option<PeerReply> },
    /// The node is told to stop.
    Stop,
    /// Asks whether the node may be sent new callers.
    IsReady(oneshot::Sender<bool>),
    /// Asks whether everything has ended, after a stop.
    IsDrained(oneshot::Sender<bool>),
    /// Asks whether the member row was given back.
    HasLeft(oneshot::Sender<bool>),
    /// Asks for the names and callers' addresses of the other members.
    Members(oneshot::Sender<Vec<(String, String)>>),
    /// The stop is over its bound: hand over what still runs.
    HandOverRuns,
    /// The node leaves: give back the member row.
    Deregister,
}

/// Which question a peer answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerRequestKind {
    /// Greeting at start.
    Greet,
    /// Farewell.
    Leave,
    /// Declaration, stage and marks.
    FetchState,
    /// Stage of this row version.
    Stage(RowVersion),
    /// Accepted version.
    Accepted(ConfigVersion),
    /// Dropped stage.
    Dropped,
}

/// What the control thread wants done outside of it.
#[derive(Debug)]
pub enum ControlEffect {
    /// Commit a transaction.
    Commit(samphiredeck_core::platform_api::TableTransaction),
    /// Read the configuration and member rows.
    ReadTable,
    /// Read the rows of recorded work.
    ReadWork,
    /// Read the list of instances and the notices.
    ReadCloud,
    /// Read the price table.
    ReadPrices,
    /// Ask an engine for its report.
    FetchEngineReport { upstream: UpstreamId, address: String, from: u64 },
    /// Ask a service for its report.
    FetchServiceReport { upstream: UpstreamId, address: String },
    /// Order an engine to load a model.
    LoadModel {
        plan: LoadPlan,
        address: String,
        command: samphiredeck_core::engine_api::EngineCommand,
    },
    /// Ask the cloud API for an instance.
    StartInstance(StartSpec, String),
    /// Send a datagram.
    SendDatagram { to: SocketAddr, bytes: Vec<u8> },
    /// Ask a peer over TCP.
    CallPeer { node: NodeName, to: SocketAddr, kind: PeerRequestKind, request: PeerRequest },
    /// Use another local port for datagrams.
    RebindSocket,
    /// Run work that was taken over or handed over.
    ResumeWork(Box<AdoptedWork>),
    /// Stop the node, since the platform reclaims its instance.
    BeginStop { left_ms: u64 },
}

/// Work that this node takes from another.
#[derive(Debug)]
pub struct AdoptedWork {
    /// The work with what was generated so far.
    pub row: WorkRow,
    /// Version of the row, zero for work that is not recorded.
    pub version: RowVersion,
    /// Where the answer goes.
    pub buffer: Arc<RunBuffer>,
}

/// Finds the member that a row view describes.
pub fn parse_row<T: serde::de::DeserializeOwned>(view: &VersionedRow) -> Option<T> {
    serde_json::from_str(view.value.as_deref()?).ok()
}

/// Member row with its version.
#[derive(Clone, Debug)]
pub struct VersionedMember {
    /// The row.
    pub row: MemberRow,
    /// Its version.
    pub version: RowVersion,
}
