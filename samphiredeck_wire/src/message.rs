//! Messages between nodes.

use samphiredeck_core::{
    ids::{ConfigVersion, Incarnation, NodeName, RequestId, RowVersion, UpstreamId},
    rows::{ConfigRow, MemberRow, StagedConfigRow, WorkRow},
};
use serde::{Deserialize, Serialize};

/// Largest datagram in bytes.
pub const DATAGRAM_MAX: usize = 1_400;
/// Largest frame in bytes.
pub const FRAME_MAX: usize = 8 * 1_024 * 1_024;

/// What each heartbeat and its answer say of the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatBody {
    /// Version of the declaration in force.
    pub version: ConfigVersion,
    /// Row version of the stage that the sender acknowledged, zero without one.
    pub stage: RowVersion,
    /// Requests that wait or run.
    pub load: u32,
    /// Requests in flight: short hash of the upstream, all, and those that are patient.
    pub flights: Vec<(u32, u32, u32)>,
    /// Prompts that were just placed: short hash of the last block, and of the upstream.
    pub hints: Vec<(u32, u32)>,
    /// Leaving marks.
    pub marks: Vec<UpstreamId>,
    /// Hash over all marks of the sender.
    pub marks_digest: u64,
}

/// Datagram between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// Asks whether the receiver is there.
    Ping {
        /// Number of the question.
        number: u64,
        /// The sender.
        body: HeartbeatBody,
    },
    /// Answers a ping.
    Ack {
        /// Number of the question.
        number: u64,
        /// The sender.
        body: HeartbeatBody,
    },
    /// Asks the receiver to ping another node.
    ProbeOrder {
        /// Whom to ping.
        target: NodeName,
    },
    /// Says that a node which the receiver asked about is there.
    ProbeResult {
        /// Who answered.
        target: NodeName,
        /// Run of that node.
        incarnation: Incarnation,
    },
}

/// Question of one node to another, over TCP.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// The sender has started.
    Greet {
        /// Its member row as JSON.
        member: JsonText<MemberRow>,
    },
    /// The sender has stopped admitting and leaves.
    Leave,
    /// Asks for declaration, stage and marks.
    FetchState,
    /// Pushes a stage.
    Stage {
        /// The stage.
        stage: JsonText<StagedConfigRow>,
        /// Its row version.
        version: RowVersion,
    },
    /// Pushes an accepted declaration.
    Accepted {
        /// The row.
        config: JsonText<ConfigRow>,
    },
    /// Says that a stage was dropped.
    Dropped {
        /// Its row version.
        version: RowVersion,
    },
    /// Hands over a request with what was generated so far.
    Handover {
        /// The request.
        work: JsonText<WorkRow>,
        /// Row version under which patient work is held, zero for work that is not recorded.
        version: RowVersion,
    },
}

/// Answer to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// Done.
    Done,
    /// The stage is acknowledged.
    Acknowledged,
    /// The version is in force.
    InForce {
        /// The version.
        version: ConfigVersion,
    },
    /// The receiver lacks the version before.
    Behind,
    /// State of the receiver.
    State {
        /// Declaration in force.
        config: Option<JsonText<ConfigRow>>,
        /// Stage and its row version.
        stage: Option<(JsonText<StagedConfigRow>, RowVersion)>,
        /// All leaving marks.
        marks: Vec<UpstreamId>,
        /// Member rows as last read.
        members: Vec<JsonText<MemberRow>>,
    },
    /// The receiver runs the request that was handed over.
    Taken {
        /// The request.
        request: RequestId,
    },
    /// The receiver refuses.
    Refused {
        /// Why.
        reason: String,
    },
}

/// Row in the JSON form in which the table keeps it.
///
/// Rows hold fields that `postcard` can't decode by itself, such as optional and tagged ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JsonText<T> {
    text: String,
    #[serde(skip)]
    row: std::marker::PhantomData<T>,
}

impl<T: Serialize> JsonText<T> {
    /// Writes a row as JSON.
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
    /// Reads the row.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the JSON text.
    pub fn parse(&self) -> Result<T, serde_json::Error> {
        serde_json::from_str(&self.text)
    }
}
