//! Rows stored in the table service as JSON, and their keys.

use serde::{Deserialize, Serialize};

use crate::{
    declaration::{PriorityClass, RawDeclaration},
    ids::{
        ConfigVersion, DomainName, FencingToken, Incarnation, NodeName, RequestId, WorkspaceName,
    },
    verdict::RunVerdict,
};

/// Time after which the row of a member whose lease was revoked is removed, in seconds.
///
/// Until then the member counts towards majorities, since it may be alive but partitioned.
pub const EXPIRED_MEMBER_RETENTION_S: u64 = 86_400;
/// Prefix of the keys of [`MemberRow`]s.
pub const MEMBER_PREFIX: &str = "member/";
/// Key of the accepted [`ConfigRow`].
pub const CONFIG_KEY: &str = "config/accepted";
/// Key of the [`StagedConfigRow`].
pub const STAGED_CONFIG_KEY: &str = "config/staged";
/// Prefix of the keys of earlier [`ConfigRow`]s.
pub const HISTORY_PREFIX: &str = "history/";
/// Prefix of the keys of [`WorkRow`]s.
pub const WORK_PREFIX: &str = "work/";
/// Prefix of the keys of [`UsageRow`]s.
pub const USAGE_PREFIX: &str = "usage/";
/// Key of the [`ControllerLeaseRow`].
pub const CONTROLLER_KEY: &str = "controller";

/// Key of a node's member row.
#[must_use]
pub fn member_key(node: &NodeName) -> String {
    format!("{MEMBER_PREFIX}{node}")
}

/// Key of an earlier declaration.
#[must_use]
pub fn history_key(version: ConfigVersion) -> String {
    format!("{HISTORY_PREFIX}{:012}", version.0)
}

/// Key of the claim on an idempotency key. The idempotency key is hashed, since it may be any
/// text.
#[must_use]
pub fn claim_key(workspace: &WorkspaceName, idempotency_key: &str) -> String {
    format!("claim/{workspace}/{}", blake3::hash(idempotency_key.as_bytes()).to_hex())
}

/// Key of durable work.
#[must_use]
pub fn work_key(id: &RequestId) -> String {
    format!("{WORK_PREFIX}{id}")
}

/// Key of the usage counters of one incarnation of a node.
#[must_use]
pub fn usage_key(node: &NodeName, incarnation: Incarnation) -> String {
    format!("{USAGE_PREFIX}{node}/{incarnation}")
}

/// Registered node. Each write renews the node's lease and identifies one transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Name of the node.
    pub node: NodeName,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Address that other nodes connect to, IP and port.
    pub peer_address: String,
    /// Address that callers connect to, IP and port.
    pub caller_address: String,
    /// Number of the transaction that wrote this row.
    pub transaction: u64,
    /// Whether another node revoked the expired lease. The node must then register again.
    pub lapsed: bool,
    /// Time of the revocation in Unix seconds, by the clock of the node that revoked the lease.
    #[serde(default)]
    pub lapsed_at: u64,
}

/// Accepted declaration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRow {
    /// Version. Increases monotonically.
    pub version: ConfigVersion,
    /// Id of the change that produced this version.
    pub change: String,
    /// Author of the change.
    pub author: String,
    /// Author's note on the change.
    pub note: String,
    /// Time of acceptance in Unix seconds, by the clock of the accepting node.
    pub accepted_at: u64,
    /// Accepted declaration.
    pub declaration: RawDeclaration,
}

/// Declaration that is staged but not accepted yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StagedConfigRow {
    /// Node that coordinates the change.
    pub coordinator: NodeName,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
    /// Row that is accepted if the change succeeds.
    pub config: ConfigRow,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ClaimState {
    /// Claimed. The call may have been sent.
    Claimed,
    /// Certainly not sent, so the key may be claimed again.
    Released,
    /// Completed with a response.
    Done {
        /// HTTP status of the response.
        status: u16,
        /// Media type of the response.
        content_type: String,
        /// Body of the response, or empty if it is stored under `object`.
        body: String,
        /// Key of the body in the object store.
        object: Option<String>,
    },
    /// Abandoned with an unknown outcome.
    Unknown,
}

/// Claim on one idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Request that made the first claim.
    pub request: RequestId,
    /// Node that made the claim.
    pub node: NodeName,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
    /// Digest of method, path and body.
    pub digest: String,
    /// State of the claim.
    pub state: ClaimState,
}

/// State of durable work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkState {
    /// Accepted and not completed.
    Open,
    /// Completed.
    Done,
    /// Cancelled by its caller or an operator.
    Cancelled,
    /// Abandoned.
    Failed,
}

/// Durable work of the patient class, recorded before it is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRow {
    /// Id of the request.
    pub request: RequestId,
    /// Workspace that is charged.
    pub workspace: WorkspaceName,
    /// Priority class.
    pub class: PriorityClass,
    /// Node that runs it.
    pub owner: NodeName,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
    /// Path of the request.
    pub path: String,
    /// Body as received.
    pub body: String,
    /// Text generated up to the last checkpoint.
    pub text: String,
    /// Tokens in `text`.
    pub tokens: u64,
    /// Upstream that was running the request at the last checkpoint.
    pub upstream: Option<String>,
    /// State of the work.
    pub state: WorkState,
    /// Whether the request may have run, for abandoned work.
    pub verdict: RunVerdict,
    /// Number of times that another node took over the work.
    pub takeovers: u32,
    /// Key of the text in the object store, if it is too large for the row.
    pub object: Option<String>,
}

/// Usage counters of one incarnation of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// Sorted by workspace and model, without duplicates.
    pub accounts: Vec<crate::account::AccountRow>,
}

/// Lease of the controller, the node that places models and requests instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerLeaseRow {
    /// Node that holds the lease.
    pub holder: NodeName,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
    /// Fencing token. Increases with each holder.
    pub fence: FencingToken,
}
