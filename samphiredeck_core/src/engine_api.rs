//! Messages of the model engines.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{FencingToken, ModelName, RequestId},
    prefix::BlockHash,
    upstream::LoadReport,
};

/// Header that carries the request id, echoed by every upstream.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that carries the priority class.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header that carries the number of tokens the node already has.
pub const RESUME_OFFSET_HEADER: &str = "x-resume-offset";
/// Header of an upstream's refusal that says whether the request ran.
pub const RUN_VERDICT_HEADER: &str = "x-run-verdict";

/// Request to generate, as sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Model to run.
    pub model: ModelName,
    /// Text of the prompt.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// Text that was generated so far, for a resume elsewhere.
    #[serde(default)]
    pub generated: String,
}

/// One event of an engine's stream. Some event comes at least every 300 ms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum EngineEvent {
    /// The request is taken in. Comes before any token.
    Accepted {
        /// Request that it belongs to.
        request: RequestId,
        /// Prompt tokens found in cache.
        cached: u64,
        /// Tokens computed although they had been computed before.
        recomputed: u64,
    },
    /// The request waits or is being computed. Keeps the stream from seeming dead.
    Waiting {
        /// Request that it belongs to.
        request: RequestId,
    },
    /// One token.
    Token {
        /// Request that it belongs to.
        request: RequestId,
        /// Number of tokens before it.
        offset: u64,
        /// Its text.
        text: String,
    },
    /// The end mark of a whole answer.
    End {
        /// Request that it belongs to.
        request: RequestId,
        /// Tokens of the whole answer.
        tokens: u64,
        /// Why it ended: `stop` or `length`.
        reason: String,
    },
    /// The engine lets go of the request, as when it leaves or makes room.
    Evicted {
        /// Request that it belongs to.
        request: RequestId,
    },
}

/// Change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum CacheEvent {
    /// The block is held.
    Stored {
        /// Which block.
        block: BlockHash,
    },
    /// The block is dropped.
    Evicted {
        /// Which block.
        block: BlockHash,
    },
}

/// Report of an engine: load and cache events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Load, some time ago.
    pub load: LoadReport,
    /// Number of the first event below. Larger than asked for after a gap.
    pub first_event: u64,
    /// Cache events in order.
    pub events: Vec<CacheEvent>,
}

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCommand {
    /// Number of the lease under which it is given.
    pub fence: FencingToken,
    /// What to do.
    pub action: EngineAction,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum EngineAction {
    /// Load a model.
    Load {
        /// Which.
        model: ModelName,
        /// Version of the model.
        version: String,
        /// Adapter over it.
        adapter: Option<String>,
    },
    /// Unload a model.
    Unload {
        /// Which.
        model: ModelName,
    },
}

/// KV cache of one stream, moved from engine to engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Request that it belongs to.
    pub request: RequestId,
    /// Model that computed it.
    pub model: ModelName,
    /// Tokens that it covers: prompt and generated.
    pub tokens: u64,
    /// The cache itself.
    pub data: String,
}
