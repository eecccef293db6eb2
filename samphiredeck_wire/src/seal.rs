//! Sealing of datagrams and frames between nodes.

use samphiredeck_core::ids::{Incarnation, NodeName};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Context string of the key derivation.
const KEY_CONTEXT: &str = "samphiredeck 2026 peer traffic v1";
/// Bytes of the keyed hash that are sent.
const TAG_BYTES: usize = 16;
/// Counters behind the newest that are still taken once.
const REPLAY_WINDOW: u64 = 64;
/// Most senders that are remembered.
const SENDERS_MAX: usize = 16_384;

/// Why a message was refused.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SealError {
    /// Too short to hold a tag.
    #[error("message is truncated")]
    Truncated,
    /// The tag does not match: another key, or altered.
    #[error("message has a wrong authentication tag")]
    Tag,
    /// The body can't be decoded.
    #[error("message can't be decoded")]
    Malformed,
    /// The counter was seen before or is too old.
    #[error("message was replayed")]
    Replayed,
    /// The message is for another node.
    #[error("message is for another node")]
    Misdirected,
}

/// Who sent a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SenderStamp {
    /// Name of the sender.
    pub node: NodeName,
    /// Run of the sender.
    pub incarnation: Incarnation,
    /// Counter of the sender, which never repeats within a run.
    pub counter: u64,
    /// Node that the message is for.
    pub receiver: NodeName,
}

/// Key shared by all nodes.
#[derive(Clone)]
pub struct PeerKey([u8; 32]);

impl std::fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

impl PeerKey {
    /// Derives the key from the secret of the settings.
    #[must_use]
    pub fn derive(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    fn tag(&self, body: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, body)
    }
}

/// Seals a message.
///
/// # Errors
///
/// Returns [`SealError::Malformed`] if the message can't be encoded.
pub fn seal<T: Serialize>(
    key: &PeerKey,
    stamp: &SenderStamp,
    message: &T,
) -> Result<Vec<u8>, SealError> {
    let mut bytes =
        postcard::to_stdvec(&(stamp, message)).map_err(|_encode| SealError::Malformed)?;
    let tag = key.tag(&bytes);
    bytes.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
    Ok(bytes)
}

/// Opens a message for `own`, without a look at its counter.
///
/// # Errors
///
/// Returns why the message is refused.
pub fn open<T: DeserializeOwned>(
    key: &PeerKey,
    own: &NodeName,
    bytes: &[u8],
) -> Result<(SenderStamp, T), SealError> {
    let Some(length) = bytes.len().checked_sub(TAG_BYTES) else {
        return Err(SealError::Truncated);
    };
    let (body, tag) = bytes.split_at(length);
    if !equal_in_constant_time(&key.tag(body).as_bytes()[..TAG_BYTES], tag) {
        return Err(SealError::Tag);
    }
    let (stamp, message): (SenderStamp, T) =
        postcard::from_bytes(body).map_err(|_decode| SealError::Malformed)?;
    if stamp.receiver != *own {
        return Err(SealError::Misdirected);
    }
    Ok((stamp, message))
}

/// Compares without telling by the time taken where the first difference is.
fn equal_in_constant_time(left: &[u8], right: &[u8]) -> bool {
    left.len() == right.len() && left.iter().zip(right).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0
}

/// Counters of one sender's run.
#[derive(Clone, Debug)]
struct CounterRow {
    node: NodeName,
    incarnation: Incarnation,
    newest: u64,
    /// Bit `n` is set when `newest - n` was taken.
    taken: u64,
}

/// Counters seen so far, so that no message is taken twice.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    /// Sorted by sender, without duplicates. At most [`SENDERS_MAX`].
    rows: Vec<CounterRow>,
}

impl ReplayGuard {
    /// Takes the counter of `stamp`.
    ///
    /// # Errors
    ///
    /// Returns [`SealError::Replayed`] if it was taken before, is too old to tell, or belongs to
    /// a former run of the sender.
    pub fn take(&mut self, stamp: &SenderStamp) -> Result<(), SealError> {
        let at = match self.rows.binary_search_by(|row| row.node.cmp(&stamp.node)) {
            Ok(at) => at,
            Err(_) if self.rows.len() >= SENDERS_MAX => return Err(SealError::Replayed),
            Err(at) => {
                self.rows.insert(at, fresh_row(stamp));
                return Ok(());
            }
        };
        let row = &mut self.rows[at];
        if stamp.incarnation > row.incarnation {
            *row = fresh_row(stamp);
            return Ok(());
        }
        if stamp.incarnation < row.incarnation {
            return Err(SealError::Replayed);
        }
        if stamp.counter > row.newest {
            let step = stamp.counter - row.newest;
            row.taken = if step < REPLAY_WINDOW { (row.taken << step) | 1 } else { 1 };
            row.newest = stamp.counter;
            return Ok(());
        }
        let age = row.newest - stamp.counter;
        if age >= REPLAY_WINDOW || row.taken & (1 << age) != 0 {
            return Err(SealError::Replayed);
        }
        row.taken |= 1 << age;
        Ok(())
    }
}

fn fresh_row(stamp: &SenderStamp) -> CounterRow {
    CounterRow {
        node: stamp.node.clone(),
        incarnation: stamp.incarnation,
        newest: stamp.counter,
        taken: 1,
    }
}
