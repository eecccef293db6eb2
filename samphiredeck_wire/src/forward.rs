//! Datagrams between forwarding nodes.

use samphiredeck_core::{forward::store_readers::StoreStatus, ids::WorkspaceName};
use serde::{Deserialize, Serialize};

/// Datagram between forwarding nodes.
///
/// The home of a workspace is the node that enforces the workspace's limit for all nodes. If it
/// does not answer, another node stands in for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ForwardDatagram {
    /// Asks the home of `workspace` for the quota of one request.
    #[serde(rename = "Ask")]
    AcquireUnits {
        /// Identifies the question in its reply. Unique while the asking node runs.
        #[serde(rename = "question")]
        query_id: u64,
        /// Workspace that the request belongs to.
        workspace: WorkspaceName,
        /// Quota units that the request needs.
        units: f64,
        /// Whether the receiver is asked in place of an earlier home that did not answer.
        #[serde(rename = "instead")]
        failover: bool,
    },
    /// The units are granted: the request may run.
    Granted {
        /// Identifies the question.
        #[serde(rename = "question")]
        query_id: u64,
    },
    /// The workspace is over its limit.
    #[serde(rename = "Over")]
    OverLimit {
        /// Identifies the question.
        #[serde(rename = "question")]
        query_id: u64,
        /// Milliseconds until the limit has room for the request.
        wait_ms: u64,
    },
    /// The receiver does not decide: an earlier home of the workspace is alive, or the receiver is
    /// cut off from other nodes, can't prove that its configuration is the newest or does not know
    /// the workspace.
    Declined {
        /// Identifies the question.
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
    /// Asks which content of the store the receiver knows, and how old that knowledge is.
    #[serde(rename = "AskNews")]
    QueryFreshness {
        /// Identifies the question in its reply. Unique while the asking node runs.
        #[serde(rename = "question")]
        query_id: u64,
        /// Digest of the sender's list of upstreams, against which the reply may give changes.
        #[serde(rename = "list")]
        list_digest: u64,
    },
    /// Answers [`QueryFreshness`](Self::QueryFreshness).
    #[serde(rename = "News")]
    Freshness {
        /// Identifies the question.
        #[serde(rename = "question")]
        query_id: u64,
        /// Versions of the store's content and their ages at the time of the answer.
        #[serde(rename = "news")]
        freshness: StoreStatus,
    },
    /// Asks whether the receiver is alive and can act as a home.
    Ping,
    /// Answers a ping: the sender can act as a home.
    Pong,
    /// The sender is alive but can't act as a home, since it can't prove that its configuration is
    /// the newest.
    #[serde(rename = "Unable")]
    NotEligible,
}
