//! Rows that the nodes share in the platform's store.

use samphiredeck_core::{
    forward::{
        leader::LeaderRecord,
        members::NodeHeartbeat,
        usage::{WindowCounts, WindowIndex},
    },
    ids::NodeName,
};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Table that holds the rows.
pub const SHARED_TABLE: &str = "samphiredeck";
/// Key of the row that names the node that acts for all.
pub const DUTY_KEY: &str = "duty";
/// Key of the row that holds the secret of the nodes' datagrams.
pub const SECRET_KEY: &str = "secret";
/// Beginning of the keys of nodes' rows.
const NODE_PREFIX: &str = "node.";
/// Beginning of the keys of agreed usage. The window follows with all digits, so that rows are in
/// the order of their windows.
const USAGE_PREFIX: &str = "usage.";
/// First byte of every row: the version of its form.
const FORM: u8 = 2;

/// Reason why a row can't be read.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The row has another form than this version writes.
    #[error("row of form {0}")]
    Form(u8),
    /// The row has no content.
    #[error("row without content")]
    Empty,
    /// The content is not what the key says.
    #[error("row can't be read: {0}")]
    Content(#[from] postcard::Error),
}

/// One shared row.
#[derive(Clone, Debug, PartialEq)]
pub enum SharedRecord {
    /// Node that acts for all.
    Duty(LeaderRecord),
    /// What a node published.
    Node(NodeName, NodeHeartbeat),
    /// Agreed usage of one window.
    Usage(WindowCounts),
    /// Secret from which the key of the nodes' datagrams is derived.
    Secret(String),
}

/// Key of the row of `node`.
#[must_use]
pub fn node_key(node: &NodeName) -> String {
    format!("{NODE_PREFIX}{node}")
}

/// Key of the agreed usage of window `window`.
#[must_use]
pub fn usage_key(window: WindowIndex) -> String {
    format!("{USAGE_PREFIX}{:020}", window.0)
}

/// Encodes the content of a row.
///
/// # Errors
///
/// Returns why the content can't be built.
pub fn encode_record<T: Serialize>(record: &T) -> Result<Vec<u8>, RecordError> {
    Ok(postcard::to_extend(record, vec![FORM])?)
}

fn decode_content<T: DeserializeOwned>(value: &[u8]) -> Result<T, RecordError> {
    match value.split_first() {
        Some((&FORM, content)) => Ok(postcard::from_bytes(content)?),
        Some((&form, _)) => Err(RecordError::Form(form)),
        None => Err(RecordError::Empty),
    }
}

/// Decodes the row `key`. Returns nothing for keys that this version doesn't know.
///
/// # Errors
///
/// Returns why the content can't be read.
pub fn decode_record(key: &str, value: &[u8]) -> Result<Option<SharedRecord>, RecordError> {
    if key == DUTY_KEY {
        return Ok(Some(SharedRecord::Duty(decode_content(value)?)));
    }
    if key == SECRET_KEY {
        return Ok(Some(SharedRecord::Secret(decode_content(value)?)));
    }
    if let Some(name) = key.strip_prefix(NODE_PREFIX) {
        let Ok(node) = name.parse() else { return Ok(None) };
        return Ok(Some(SharedRecord::Node(node, decode_content(value)?)));
    }
    if key.starts_with(USAGE_PREFIX) {
        return Ok(Some(SharedRecord::Usage(decode_content(value)?)));
    }
    Ok(None)
}
