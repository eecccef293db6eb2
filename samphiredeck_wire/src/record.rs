//! Rows that the nodes share in the platform's store.

use samphiredeck_core::{
    forward::{
        agreed_windows::EraRecord,
        leader::LeaderRecord,
        members::MemberHeartbeat,
        rollout::phases::RolloutRow,
        stream_origins::PublishedOrigins,
        suspects::exchange::PublishedSuspects,
        usage::{WindowCounts, WindowIndex},
        version_history::PublishedHistory,
    },
    ids::{IdError, NodeName, WorkspaceName},
    name_text::{NameTexts, is_hashed},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Table of the store that holds the rows.
pub const SHARED_TABLE: &str = "samphiredeck";
/// Table of the store that holds the origins of streams.
pub const ORIGINS_TABLE: &str = "samphiredeck-origins";
/// Table of the store that holds the rows of rollouts, by pool.
pub const ROLLOUTS_TABLE: &str = "samphiredeck-rollouts";
/// Table of the store that holds the names that can't be read back from their identifiers, by identifier.
pub const NAMES_TABLE: &str = "samphiredeck-names";
/// Key of the row that names the leader: the one node that acts on behalf of the whole system.
pub const LEADER_ROW_KEY: &str = "duty";
/// Key of the row that holds the secret from which the key of the nodes' datagrams is derived.
pub const SECRET_ROW_KEY: &str = "secret";
/// Key of the row that tells when the store returned from an older copy. Absent if it never did.
pub const ERA_ROW_KEY: &str = "era";
/// Key prefix of the rows in which nodes publish the heartbeats of their groups.
const GROUP_PREFIX: &str = "group.";
/// Key prefix of the rows in which nodes publish the software versions that they observed.
const VERSIONS_PREFIX: &str = "versions.";
/// Key prefix of the rows in which nodes publish suspected prompt parts.
const SUSPECTS_PREFIX: &str = "suspects.";
/// Key prefix of the rows of agreed usage. The window number follows, padded with zeros, so that
/// the rows sort by window.
const USAGE_PREFIX: &str = "usage.";
/// Version of the row format, written as the first byte of every row.
const FORMAT_VERSION: u8 = 3;
/// First byte of the rows of agreed usage that hold names in place of identifiers. Builds that don't know it report no such
/// window: they may not know the names under which it was reported.
const NAMED_FORMAT: u8 = 4;

/// Reason why a row can't be encoded or decoded.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The row has a format version that this release does not know.
    #[error("unsupported row format version {0}")]
    UnsupportedFormat(u8),
    /// The row has no bytes, not even a format version.
    #[error("row is empty")]
    Empty,
    /// The content can't be encoded, or is not of the type that belongs to the key.
    #[error("row can't be encoded or decoded: {0}")]
    Codec(#[from] postcard::Error),
    /// The name of a workspace can't be carried by any header.
    #[error("name can't be used: {0}")]
    Name(#[from] IdError),
}

/// Agreed usage of one window.
#[derive(Clone, Debug, PartialEq)]
pub struct AgreedUsage {
    /// Counts, which are final.
    pub counts: WindowCounts,
    /// Names that can't be read back from the identifiers in `counts`, if they were agreed with them.
    pub names: NameTexts,
}

impl AgreedUsage {
    /// Whether the names of all workspaces are known.
    #[must_use]
    pub fn is_named(&self) -> bool {
        self.counts.counts.iter().all(|row| self.names.text_of(row.workspace.as_str()).is_some())
    }
}

/// Content of a row of agreed usage with names.
#[derive(Serialize, Deserialize)]
struct NamedUsage {
    window: WindowIndex,
    /// Names of workspaces and their counts.
    counts: Vec<(String, u64)>,
}

/// Content of a shared row.
#[derive(Clone, Debug, PartialEq)]
pub enum SharedRecord {
    /// Leader, whose role the store calls the duty.
    Duty(LeaderRecord),
    /// Heartbeats of the nodes that publish through the given one.
    Group(NodeName, Vec<MemberHeartbeat>),
    /// Software versions that a node observed.
    Versions(PublishedHistory),
    /// Suspected prompt parts known to a node.
    Suspects(PublishedSuspects),
    /// Agreed usage of one time window.
    Usage(AgreedUsage),
    /// Begin of the newest era of the store.
    Era(EraRecord),
    /// Secret from which the key of the nodes' datagrams is derived.
    Secret(String),
}

/// Key of the row in which `node` publishes the heartbeats of its group.
#[must_use]
pub fn group_key(node: &NodeName) -> String {
    format!("{GROUP_PREFIX}{node}")
}

/// Whether `key` is that of a row in which a node publishes the heartbeats of its group.
#[must_use]
pub fn is_group_key(key: &str) -> bool {
    key.starts_with(GROUP_PREFIX)
}

/// Key of the row in which `node` publishes the software versions that it observed.
#[must_use]
pub fn versions_key(node: &NodeName) -> String {
    format!("{VERSIONS_PREFIX}{node}")
}

/// Key of the row in which `node` publishes suspected prompt parts.
#[must_use]
pub fn suspects_key(node: &NodeName) -> String {
    format!("{SUSPECTS_PREFIX}{node}")
}

/// Key of the row of agreed usage of `window`.
#[must_use]
pub fn usage_key(window: WindowIndex) -> String {
    format!("{USAGE_PREFIX}{:020}", window.0)
}

/// Key of the row number `number` in which `node` publishes origins of streams.
#[must_use]
pub fn origins_key(node: &NodeName, number: u64) -> String {
    format!("{node}.{number:020}")
}

/// Decodes a row of [`ORIGINS_TABLE`].
///
/// # Errors
///
/// Returns why the content can't be decoded.
pub fn decode_origins(value: &[u8]) -> Result<PublishedOrigins, RecordError> {
    decode_content(value)
}

/// Decodes a row of [`ROLLOUTS_TABLE`].
///
/// # Errors
///
/// Returns why the content can't be decoded.
pub fn decode_rollout(value: &[u8]) -> Result<RolloutRow, RecordError> {
    decode_content(value)
}

/// Encodes the content of a row.
///
/// # Errors
///
/// Returns [`RecordError::Codec`] if the content can't be encoded.
pub fn encode_record<T: Serialize>(record: &T) -> Result<Vec<u8>, RecordError> {
    Ok(postcard::to_extend(record, vec![FORMAT_VERSION])?)
}

/// Encodes agreed `counts`. Where identifiers of workspaces can't be read back, the row holds the names of all, as far as
/// `names` has them.
///
/// # Errors
///
/// Returns [`RecordError::Codec`] if the content can't be encoded.
pub fn encode_usage(counts: &WindowCounts, names: &NameTexts) -> Result<Vec<u8>, RecordError> {
    let text_of = |id: &WorkspaceName| names.text_of(id.as_str()).map(std::borrow::Cow::into_owned);
    let is_plain = counts.counts.iter().all(|row| !is_hashed(row.workspace.as_str()));
    let rows: Option<Vec<(String, u64)>> =
        counts.counts.iter().map(|row| Some((text_of(&row.workspace)?, row.count))).collect();
    match rows {
        Some(rows) if !is_plain => {
            let content = NamedUsage { window: counts.window, counts: rows };
            Ok(postcard::to_extend(&content, vec![NAMED_FORMAT])?)
        }
        _ => encode_record(counts),
    }
}

fn decode_usage(value: &[u8]) -> Result<AgreedUsage, RecordError> {
    let Some((&NAMED_FORMAT, content)) = value.split_first() else {
        return Ok(AgreedUsage { counts: decode_content(value)?, names: NameTexts::default() });
    };
    let NamedUsage { window, counts: rows } = postcard::from_bytes(content)?;
    let (mut counts, mut names) = (WindowCounts::new(window), NameTexts::default());
    for (text, count) in rows {
        let workspace = WorkspaceName::of_text(&text)?;
        names.record(workspace.as_str(), &text);
        counts.add(&workspace, count);
    }
    Ok(AgreedUsage { counts, names })
}

/// Decodes a row of [`NAMES_TABLE`].
///
/// # Errors
///
/// Returns why the content can't be decoded.
pub fn decode_name_row(value: &[u8]) -> Result<String, RecordError> {
    decode_content(value)
}

fn decode_content<T: DeserializeOwned>(value: &[u8]) -> Result<T, RecordError> {
    match value.split_first() {
        Some((&FORMAT_VERSION, content)) => Ok(postcard::from_bytes(content)?),
        Some((&version, _)) => Err(RecordError::UnsupportedFormat(version)),
        None => Err(RecordError::Empty),
    }
}

/// Decodes the row at `key`. Returns nothing for keys that this release does not know.
///
/// # Errors
///
/// Returns why the content can't be decoded.
pub fn decode_record(key: &str, value: &[u8]) -> Result<Option<SharedRecord>, RecordError> {
    if key == LEADER_ROW_KEY {
        return Ok(Some(SharedRecord::Duty(decode_content(value)?)));
    }
    if key == ERA_ROW_KEY {
        return Ok(Some(SharedRecord::Era(decode_content(value)?)));
    }
    if key == SECRET_ROW_KEY {
        return Ok(Some(SharedRecord::Secret(decode_content(value)?)));
    }
    if let Some(name) = key.strip_prefix(GROUP_PREFIX) {
        let Ok(node) = name.parse() else { return Ok(None) };
        return Ok(Some(SharedRecord::Group(node, decode_content(value)?)));
    }
    if key.starts_with(VERSIONS_PREFIX) {
        return Ok(Some(SharedRecord::Versions(decode_content(value)?)));
    }
    if key.starts_with(SUSPECTS_PREFIX) {
        return Ok(Some(SharedRecord::Suspects(decode_content(value)?)));
    }
    if key.starts_with(USAGE_PREFIX) {
        return Ok(Some(SharedRecord::Usage(decode_usage(value)?)));
    }
    Ok(None)
}
