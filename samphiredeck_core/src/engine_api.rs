//! Messages exchanged with model engines.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{FencingToken, ModelName, RequestId},
    prefix::BlockHash,
    upstream::LoadReport,
};

/// Header with the request id, echoed by every upstream.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the priority class.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header with the number of tokens that the node has already received.
pub const RESUME_OFFSET_HEADER: &str = "x-resume-offset";
/// Header of an upstream's refusal that states whether the request ran.
pub const RUN_VERDICT_HEADER: &str = "x-run-verdict";

/// Generation request, as sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Model to run.
    pub model: ModelName,
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Text generated so far, to resume generation on another engine.
    #[serde(default)]
    pub generated: String,
}

/// One event of an engine's response stream. An engine sends an event at least every 300 ms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum EngineEvent {
    /// The engine accepted the request. Precedes all tokens.
    Accepted {
        /// Request that the event belongs to.
        request: RequestId,
        /// Prompt tokens found in the prefix cache.
        cached: u64,
        /// Tokens computed again although they had been computed before.
        recomputed: u64,
    },
    /// Keep-alive while the request is queued or being computed.
    Waiting {
        /// Request that the event belongs to.
        request: RequestId,
    },
    /// One token.
    Token {
        /// Request that the event belongs to.
        request: RequestId,
        /// Number of tokens before this one.
        offset: u64,
        /// Text of the token.
        text: String,
    },
    /// End of a complete response.
    End {
        /// Request that the event belongs to.
        request: RequestId,
        /// Number of tokens in the complete response.
        tokens: u64,
        /// Finish reason: `stop` or `length`.
        reason: String,
    },
    /// The engine evicted the request, for example on shutdown or to free capacity.
    Evicted {
        /// Request that the event belongs to.
        request: RequestId,
    },
}

/// Change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum CacheEvent {
    /// The block was added to the cache.
    Stored {
        /// Hash of the block.
        block: BlockHash,
    },
    /// The block was removed from the cache.
    Evicted {
        /// Hash of the block.
        block: BlockHash,
    },
}

/// Report of an engine: its load and the changes of its prefix cache.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Load as last sampled, which may be out of date.
    pub load: LoadReport,
    /// Sequence number of the first event in `events`. Greater than requested if older events are
    /// no longer available.
    pub first_event: u64,
    /// Cache events in order.
    pub events: Vec<CacheEvent>,
}

/// Command to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCommand {
    /// Fencing token of the lease under which the command is sent.
    pub fence: FencingToken,
    /// Action to carry out.
    pub action: EngineAction,
}

/// Action of an [`EngineCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum EngineAction {
    /// Load a model.
    Load {
        /// Model to load.
        model: ModelName,
        /// Version of the model.
        version: String,
        /// Adapter to apply to the model.
        adapter: Option<String>,
    },
    /// Unload a model.
    Unload {
        /// Model to unload.
        model: ModelName,
    },
}

/// KV cache of one request, transferred from one engine to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Request that the cache belongs to.
    pub request: RequestId,
    /// Model that computed it.
    pub model: ModelName,
    /// Number of prompt and generated tokens that the cache covers.
    pub tokens: u64,
    /// Contents of the cache.
    pub data: String,
}
