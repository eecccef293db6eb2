//! Datagrams between forwarding nodes.

use samphiredeck_core::{forward::store_readers::StoreStatus, ids::WorkspaceName};
use serde::{Deserialize, Serialize};

/// What one node says to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum NodeTalk {
    /// Asks the home of `workspace` for `units`.
    Ask {
        /// Number of the question at its sender.
        question: u64,
        /// Workspace.
        workspace: WorkspaceName,
        /// Units of one request.
        units: f64,
        /// Whether an earlier home did not answer, so that a later one is asked.
        instead: bool,
    },
    /// The request may run.
    Granted {
        /// Number of the question.
        question: u64,
    },
    /// The workspace is over its limit.
    Over {
        /// Number of the question.
        question: u64,
        /// Milliseconds after which there is room again.
        wait_ms: u64,
    },
    /// An earlier home of the workspace lives.
    Declined {
        /// Number of the question.
        question: u64,
    },
    /// Units of a granted request that did not run.
    GiveBack {
        /// Workspace.
        workspace: WorkspaceName,
        /// Units.
        units: f64,
    },
    /// Asks what the node can prove of the store's content.
    AskNews {
        /// Number of the question at its sender.
        question: u64,
        /// Identifies the upstreams' list that the sender holds.
        list: u64,
    },
    /// What the node can prove of the store's content.
    News {
        /// Number of the question.
        question: u64,
        /// Versions and their ages at the time of the answer.
        news: StoreStatus,
    },
    /// Asks for a sign of life.
    Ping,
    /// A sign of life of a node that can act as a home.
    Pong,
    /// The node can't act as a home: it does not know the newest configuration.
    Unable,
}
