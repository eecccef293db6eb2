//! Heartbeat datagrams, and requests between nodes over TCP.

use samphiredeck_core::{
    ids::{ConfigVersion, Incarnation, NodeName, RequestId, RowVersion, UpstreamId},
    rows::{ConfigRow, MemberRow, StagedConfigRow, WorkRow},
};
use serde::{Deserialize, Serialize};

/// Maximum size of a datagram in bytes.
pub const DATAGRAM_MAX: usize = 1_400;
/// Maximum size of a message over TCP in bytes.
pub const FRAME_MAX: usize = 8 * 1_024 * 1_024;

/// State of the sender, carried by each heartbeat and its acknowledgement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatBody {
    /// Version of the configuration in force.
    #[serde(rename = "version")]
    pub config_version: ConfigVersion,
    /// Row version of the staged configuration that the sender acknowledged, zero without one.
    #[serde(rename = "stage")]
    pub stage_version: RowVersion,
    /// Requests that wait or run.
    pub load: u32,
    /// Requests in flight by upstream: short hash of its id, all requests, and those of the patient
    /// class.
    #[serde(rename = "flights")]
    pub in_flight: Vec<(u32, u32, u32)>,
    /// Prompts that were just sent to an upstream: short hash of the last block of the prompt, and
    /// of the upstream's id.
    #[serde(rename = "hints")]
    pub placement_hints: Vec<(u32, u32)>,
    /// Some of the upstreams that the sender knows to be leaving.
    #[serde(rename = "marks")]
    pub leaving_upstreams: Vec<UpstreamId>,
    /// Hash over all upstreams that the sender knows to be leaving. Receivers whose own hash
    /// differs fetch the sender's state.
    #[serde(rename = "marks_digest")]
    pub leaving_digest: u64,
}

/// Heartbeat or probe datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// Heartbeat. Asks the receiver for an [`Ack`](Self::Ack).
    Ping {
        /// Sequence number of the ping.
        #[serde(rename = "number")]
        sequence: u64,
        /// State of the sender.
        body: HeartbeatBody,
    },
    /// Acknowledges a ping.
    Ack {
        /// Sequence number of the ping.
        #[serde(rename = "number")]
        sequence: u64,
        /// State of the sender.
        body: HeartbeatBody,
    },
    /// Asks the receiver to ping another node, which does not answer the sender.
    #[serde(rename = "ProbeOrder")]
    ProbeRequest {
        /// Node to ping.
        target: NodeName,
    },
    /// Reports that the target of a [`ProbeRequest`](Self::ProbeRequest) answered.
    ProbeResult {
        /// Node that answered.
        target: NodeName,
        /// Incarnation of that node.
        incarnation: Incarnation,
    },
}

/// Request of one node to another, over TCP.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// The sender has started and joins.
    Greet {
        /// Member row of the sender.
        member: JsonText<MemberRow>,
    },
    /// The sender admits no more requests and leaves.
    Leave,
    /// Asks for a [`State`](PeerReply::State).
    FetchState,
    /// Pushes a staged configuration.
    Stage {
        /// Row of the staged configuration.
        stage: JsonText<StagedConfigRow>,
        /// Version of that row.
        version: RowVersion,
    },
    /// Pushes an accepted configuration.
    Accepted {
        /// Row of the accepted configuration.
        config: JsonText<ConfigRow>,
    },
    /// A staged configuration was dropped and will not come into force.
    Dropped {
        /// Row version of the staged configuration.
        version: RowVersion,
    },
    /// Hands over a request with its output so far.
    Handover {
        /// The request and its output.
        work: JsonText<WorkRow>,
        /// Version of the stored row of a patient request, zero for requests that are not stored.
        version: RowVersion,
    },
}

/// Reply to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// The request was carried out.
    Done,
    /// The staged configuration is acknowledged.
    Acknowledged,
    /// The replying node has this configuration in force.
    InForce {
        /// Version of the configuration.
        version: ConfigVersion,
    },
    /// The replying node lacks the version before the staged one.
    Behind,
    /// State of the replying node.
    State {
        /// Configuration in force.
        config: Option<JsonText<ConfigRow>>,
        /// Staged configuration and its row version.
        stage: Option<(JsonText<StagedConfigRow>, RowVersion)>,
        /// All upstreams that the node knows to be leaving.
        #[serde(rename = "marks")]
        leaving_upstreams: Vec<UpstreamId>,
        /// Member rows as last read.
        members: Vec<JsonText<MemberRow>>,
    },
    /// The replying node accepted the handover and runs the request.
    Taken {
        /// Request that was handed over.
        request: RequestId,
    },
    /// The replying node refuses the request.
    Refused {
        /// Reason of the refusal.
        reason: String,
    },
}

/// Row as JSON text, as the store keeps it.
///
/// Rows hold fields that `postcard` can't decode, such as optional and tagged ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JsonText<T> {
    text: String,
    #[serde(skip)]
    row: std::marker::PhantomData<T>,
}

impl<T: Serialize> JsonText<T> {
    /// Encodes a row as JSON.
    ///
    /// # Panics
    ///
    /// Never, since rows always serialize.
    #[must_use]
    pub fn new(row: &T) -> Self {
        let text = serde_json::to_string(row).expect("rows always serialize");
        Self { text, row: std::marker::PhantomData }
    }
}

impl<T: serde::de::DeserializeOwned> JsonText<T> {
    /// Decodes the row.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a row of type `T`.
    pub fn parse(&self) -> Result<T, serde_json::Error> {
        serde_json::from_str(&self.text)
    }
}
