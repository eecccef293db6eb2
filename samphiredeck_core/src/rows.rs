//! Rows that the system keeps in the table service, as JSON, and their keys.

use serde::{Deserialize, Serialize};

use crate::{
    declaration::{PriorityClass, RawDeclaration},
    ids::{
        ConfigVersion, DomainName, FencingToken, Incarnation, NodeName, RequestId, WorkspaceName,
    },
    verdict::RunVerdict,
};

/// Time after which the row of a member whose lease was taken is removed, in seconds.
///
/// Until then the member counts for majorities, since it may be alive and cut off.
pub const EXPIRED_MEMBER_RETENTION_S: u64 = 86_400;
/// Prefix of the keys of [`MemberRow`]s.
pub const MEMBER_PREFIX: &str = "member/";
/// Key of the [`ConfigRow`] in force.
pub const CONFIG_KEY: &str = "config/accepted";
/// Key of the [`StagedConfigRow`].
pub const STAGED_CONFIG_KEY: &str = "config/staged";
/// Prefix of the keys of former [`ConfigRow`]s.
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

/// Key of a former declaration.
#[must_use]
pub fn history_key(version: ConfigVersion) -> String {
    format!("{HISTORY_PREFIX}{:012}", version.0)
}

/// Key of the claim on an idempotency key, which may hold any text.
#[must_use]
pub fn claim_key(workspace: &WorkspaceName, idempotency_key: &str) -> String {
    format!("claim/{workspace}/{}", blake3::hash(idempotency_key.as_bytes()).to_hex())
}

/// Key of recorded patient work.
#[must_use]
pub fn work_key(id: &RequestId) -> String {
    format!("{WORK_PREFIX}{id}")
}

/// Key of the counts of one run of a node.
#[must_use]
pub fn usage_key(node: &NodeName, incarnation: Incarnation) -> String {
    format!("{USAGE_PREFIX}{node}/{incarnation}")
}

/// Registered node. Each write of it renews the node's lease and marks one transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Name of the node.
    pub node: NodeName,
    /// Run of the node.
    pub incarnation: Incarnation,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Address for other nodes, IP and port.
    pub peer_address: String,
    /// Address for callers, IP and port.
    pub caller_address: String,
    /// Number of the transaction that wrote this row.
    pub transaction: u64,
    /// Whether the lease was taken from the node, which must register anew.
    pub lapsed: bool,
    /// Time at which it was taken, in seconds since 1970 by the taker's clock.
    #[serde(default)]
    pub lapsed_at: u64,
}

/// Accepted declaration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRow {
    /// Version. Only rises.
    pub version: ConfigVersion,
    /// Id of the change that made it.
    pub change: String,
    /// Who changed it.
    pub author: String,
    /// What the author said of it.
    pub note: String,
    /// Time of acceptance, in seconds since 1970, by the accepting node's clock.
    pub accepted_at: u64,
    /// The declaration itself.
    pub declaration: RawDeclaration,
}

/// Declaration that is staged and not yet accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StagedConfigRow {
    /// Node that coordinates the change.
    pub coordinator: NodeName,
    /// Run of that node.
    pub incarnation: Incarnation,
    /// The declaration as it would be accepted.
    pub config: ConfigRow,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ClaimState {
    /// Claimed, perhaps sent.
    Claimed,
    /// Surely not sent, so the key may be claimed again.
    Released,
    /// Answered in full.
    Done {
        /// HTTP status of the answer.
        status: u16,
        /// Media type of the answer.
        content_type: String,
        /// The answer, or nothing where `object` points at it.
        body: String,
        /// Key of the answer in the object store.
        object: Option<String>,
    },
    /// Given up with an unknown outcome.
    Unknown,
}

/// Claim on one idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Request that claimed first.
    pub request: RequestId,
    /// Node that claimed.
    pub node: NodeName,
    /// Run of that node.
    pub incarnation: Incarnation,
    /// Digest over method, path and body.
    pub digest: String,
    /// What became of it.
    pub state: ClaimState,
}

/// State of recorded patient work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkState {
    /// Accepted and not finished.
    Open,
    /// Answered in full.
    Done,
    /// Cancelled by its caller or an operator.
    Cancelled,
    /// Given up.
    Failed,
}

/// Patient work, recorded before it is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRow {
    /// Key of the row.
    pub request: RequestId,
    /// Who pays.
    pub workspace: WorkspaceName,
    /// Urgency.
    pub class: PriorityClass,
    /// Node that runs it.
    pub owner: NodeName,
    /// Run of that node.
    pub incarnation: Incarnation,
    /// Path that was called.
    pub path: String,
    /// Body as received.
    pub body: String,
    /// Text generated up to the last checkpoint.
    pub text: String,
    /// Tokens in `text`.
    pub tokens: u64,
    /// Upstream that ran it at the last checkpoint.
    pub upstream: Option<String>,
    /// What became of it.
    pub state: WorkState,
    /// Whether it may have run, for work that was given up.
    pub verdict: RunVerdict,
    /// Number of takeovers.
    pub takeovers: u32,
    /// Key of the text in the object store, where it is too large for the row.
    pub object: Option<String>,
}

/// Counts of one run of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// Sorted by workspace and model, without duplicates.
    pub accounts: Vec<crate::account::AccountRow>,
}

/// Lease on placing models and asking for instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerLeaseRow {
    /// Node that holds it.
    pub holder: NodeName,
    /// Run of that node.
    pub incarnation: Incarnation,
    /// Rises with each holder.
    pub fence: FencingToken,
}
