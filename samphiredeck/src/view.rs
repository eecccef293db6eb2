//! State of a node as shown to operators.

use samphiredeck_core::{
    account::AccountRow,
    burn_rate::BurnRateRow,
    declaration::PriorityClass,
    ids::{ConfigVersion, DomainName, Incarnation, NodeName, RequestId, UpstreamId, WorkspaceName},
};
use serde::Serialize;

/// State of one node.
#[derive(Clone, Debug, Serialize)]
pub struct NodeView {
    /// Name of the node.
    pub node: NodeName,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Configuration version in force.
    pub version: ConfigVersion,
    /// Whether the node admits requests.
    pub admitting: bool,
    /// Whether the node is stopping.
    pub stopping: bool,
    /// Whether the table service answers.
    pub table_up: bool,
    /// Requests that wait for an upstream.
    pub waiting: usize,
    /// Requests that are placed on an upstream.
    pub running: usize,
    /// Known members, including this node.
    pub members: Vec<NodeName>,
    /// Members that it has heard from recently.
    pub alive: Vec<NodeName>,
    /// Upstreams that the node knows.
    pub upstreams: Vec<UpstreamView>,
    /// Runs that have not ended.
    pub runs: Vec<RunView>,
    /// Usage accounts of this incarnation.
    pub accounts: Vec<AccountRow>,
    /// Burn rates of the error budgets.
    pub burn: Vec<BurnRateRow>,
    /// Counters.
    pub counters: NodeCounters,
}

/// Upstream as a node sees it.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamView {
    /// Incarnation of the upstream.
    pub id: UpstreamId,
    /// `engine`, or the name of the service.
    pub kind: String,
    /// Failure domain.
    pub domain: DomainName,
    /// `accepting`, `leaving`, `drained` or `silent`.
    pub state: &'static str,
    /// Requests of this node in flight at the upstream.
    pub in_flight: u32,
    /// Requests that it reports as running.
    pub running: u32,
    /// Requests that it reports as queued.
    pub queued: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Price per hour, in millionths of the platform's currency.
    pub price: u64,
    /// Models that it has loaded.
    pub models: Vec<String>,
}

/// Run as a node sees it.
#[derive(Clone, Debug, Serialize)]
pub struct RunView {
    /// Id of the request.
    pub request: RequestId,
    /// Workspace that the run is charged to.
    pub workspace: WorkspaceName,
    /// Priority class.
    pub class: PriorityClass,
    /// Model.
    pub model: String,
    /// Upstream, or `None` while the run waits.
    pub upstream: Option<UpstreamId>,
    /// Tokens generated.
    pub tokens: u64,
    /// Milliseconds since the admission.
    pub age_ms: u64,
}

/// Counters of a node.
#[derive(Clone, Debug, Default, Serialize)]
pub struct NodeCounters {
    /// Requests answered in full.
    pub answered: u64,
    /// Requests refused at admission, or because no upstream could take them in time.
    pub refused: u64,
    /// Requests given up after they were accepted.
    pub failed: u64,
    /// Runs rerouted after their upstream refused the request or failed.
    pub retried: u64,
    /// Runs moved by export and import of their cache.
    pub moved: u64,
    /// Runs rerouted because their upstream announced that it leaves, or evicted them.
    pub replaced: u64,
    /// Recorded work taken over from nodes that are gone.
    pub taken_over: u64,
    /// Runs handed over to this node by nodes that stopped.
    pub handed_in: u64,
    /// Messages from other nodes that were refused.
    pub bad_messages: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes sent in datagrams.
    pub datagram_bytes: u64,
    /// Transactions sent to the table service.
    pub transactions: u64,
    /// Reads sent to the table service.
    pub table_reads: u64,
}

impl NodeCounters {
    /// Returns metric names and values, always in the same order.
    pub fn named_values(&self) -> [(&'static str, u64); 13] {
        [
            ("requests.answered", self.answered),
            ("requests.refused", self.refused),
            ("requests.failed", self.failed),
            ("requests.retried", self.retried),
            ("runs.moved", self.moved),
            ("runs.replaced", self.replaced),
            ("runs.taken_over", self.taken_over),
            ("runs.handed_in", self.handed_in),
            ("peers.bad_messages", self.bad_messages),
            ("peers.datagrams", self.datagrams_sent),
            ("peers.datagram_bytes", self.datagram_bytes),
            ("table.transactions", self.transactions),
            ("table.reads", self.table_reads),
        ]
    }
}
