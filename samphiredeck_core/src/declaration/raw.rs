//! Declarations as read from files, before any check.

use serde::{Deserialize, Serialize};

use super::PriorityClass;
use crate::units::{Millis, TokenCount};

/// Declaration as read from a file, before any check.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct RawDeclaration {
    /// Workspaces.
    #[serde(default)]
    pub workspaces: Vec<RawWorkspace>,
    /// Models that workspaces may call.
    #[serde(default)]
    pub models: Vec<RawModel>,
    /// Plain services that requests are routed to.
    #[serde(default)]
    pub services: Vec<RawService>,
    /// Whether engines check fencing numbers.
    #[serde(default)]
    pub fencing: FencingMode,
    /// Upstreams that get no new work until they are taken out of the list.
    #[serde(default)]
    pub drained: Vec<String>,
}

/// Workspace as read from a file.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct RawWorkspace {
    /// Name, see [`WorkspaceName`].
    pub name: String,
    /// Hashes of the bearer keys, 64 hex digits each.
    pub keys: Vec<String>,
    /// Share of the capacity against other workspaces, 1 to 1000.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Most requests in flight on one node.
    #[serde(default = "default_in_flight")]
    pub max_in_flight: u32,
    /// Retries in percent of first sends.
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
    /// What counts most when cost and recomputed tokens pull apart.
    #[serde(default)]
    pub favour: OptimizationGoal,
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
    /// Class that the target is for.
    pub class: PriorityClass,
    /// Bound on the first token.
    pub first_token: Millis,
    /// Bound between tokens.
    pub between_tokens: Millis,
    /// Share of answers within the target, in tenths of a percent.
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
    /// Adapter over the model, if any.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Most tokens of one answer.
    pub max_output: TokenCount,
    /// Fewest runners that hold the model.
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
    /// Prefix of the paths that go to it.
    pub path_prefix: String,
    /// Whether a call may be repeated.
    pub repeatable: bool,
}

/// Whether engines refuse orders that carry an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FencingMode {
    /// They refuse an old number.
    #[default]
    Checked,
    /// They take any order, so a new holder waits until old ones can't arrive any more.
    Ignored,
}

/// What a workspace weighs most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OptimizationGoal {
    /// Cost at the latency target.
    #[default]
    Cost,
    /// Few recomputed tokens.
    Recompute,
}
