//! Declarations as deserialized from files, before validation.

use serde::{Deserialize, Serialize};

use super::PriorityClass;
use crate::units::{Millis, TokenCount};

/// Declaration as read from a file, before validation.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct RawDeclaration {
    /// Workspaces.
    #[serde(default)]
    pub workspaces: Vec<RawWorkspace>,
    /// Models that workspaces may call.
    #[serde(default)]
    pub models: Vec<RawModel>,
    /// HTTP services, other than model engines, that requests are routed to.
    #[serde(default)]
    pub services: Vec<RawService>,
    /// Whether engines check fencing tokens.
    #[serde(default)]
    pub fencing: FencingMode,
    /// Upstreams that receive no new requests while they are in this list.
    #[serde(default)]
    pub drained: Vec<String>,
}

/// Workspace as read from a file.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct RawWorkspace {
    /// Name of the workspace, see [`crate::ids::WorkspaceName`].
    pub name: String,
    /// Hashes of the bearer keys, 64 hex digits each.
    pub keys: Vec<String>,
    /// Weight for sharing capacity among workspaces, 1 to 1000.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of requests in flight on one node.
    #[serde(default = "default_in_flight")]
    pub max_in_flight: u32,
    /// Retry budget, in percent of first attempts.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u32,
    /// Models that may be called.
    #[serde(default)]
    pub models: Vec<String>,
    /// Services that may be called.
    #[serde(default)]
    pub services: Vec<String>,
    /// Latency targets.
    #[serde(default)]
    pub targets: Vec<RawTarget>,
    /// What routing optimizes for when lower cost means more recomputed tokens.
    #[serde(default, rename = "favour")]
    pub optimization_goal: OptimizationGoal,
}

fn default_weight() -> u32 {
    1
}
fn default_in_flight() -> u32 {
    256
}
fn default_retry_percent() -> u32 {
    10
}

/// Latency target as read from a file.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct RawTarget {
    /// Priority class that the target applies to.
    pub class: PriorityClass,
    /// Maximum time to the first token.
    pub first_token: Millis,
    /// Maximum time between tokens.
    pub between_tokens: Millis,
    /// Share of responses that must meet the target, in tenths of a percent.
    pub share_permille: u32,
}

/// Model as read from a file.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct RawModel {
    /// Name that callers use.
    pub name: String,
    /// Version to serve.
    pub version: String,
    /// Adapter applied to the model, if any.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Maximum number of tokens in one response.
    pub max_output: TokenCount,
    /// Minimum number of engines that have the model loaded.
    #[serde(default = "default_runners")]
    pub min_runners: u32,
}

fn default_runners() -> u32 {
    1
}

/// Service as read from a file.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Name of the service.
    pub name: String,
    /// Prefix of the paths that are routed to it.
    pub path_prefix: String,
    /// Whether a call may safely be sent more than once.
    pub repeatable: bool,
}

/// Whether engines refuse commands that carry an outdated fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FencingMode {
    /// Engines refuse an outdated token.
    #[default]
    Checked,
    /// Engines accept any command, so a new lease holder waits until commands of earlier holders
    /// can no longer arrive.
    Ignored,
}

/// What routing optimizes for in a workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OptimizationGoal {
    /// Lowest cost that meets the latency target.
    #[default]
    Cost,
    /// Fewest recomputed tokens.
    Recompute,
}
