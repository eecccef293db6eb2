//! Authentication of messages between nodes.
//!
//! Each message carries a keyed BLAKE3 hash over header and body as its authentication tag. The
//! content is not encrypted.

use samphiredeck_core::ids::{Incarnation, NodeName};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Context string of the BLAKE3 key derivation.
const KEY_CONTEXT: &str = "samphiredeck 2026 peer traffic v1";
/// Length of the authentication tag: the first bytes of the keyed hash.
const TAG_BYTES: usize = 16;
/// Length of the replay window, which ends with the newest counter. Counters within it are accepted
/// once each, in any order, since datagrams may overtake each other.
const REPLAY_WINDOW: u64 = 64;
/// Most senders whose counters are kept. Messages of further senders are refused.
const SENDERS_MAX: usize = 16_384;

/// Reason why a message is refused.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AuthError {
    /// The message is too short to hold a tag.
    #[error("message is truncated")]
    Truncated,
    /// The tag does not match: the sender has another key, or the message was altered.
    #[error("message has a wrong authentication tag")]
    TagMismatch,
    /// The message can't be decoded or encoded.
    #[error("message can't be decoded or encoded")]
    Malformed,
    /// The counter was accepted before or is too old, the incarnation of the sender has ended, or
    /// too many senders are known.
    #[error("message was replayed")]
    Replayed,
    /// The message is for another node.
    #[error("message is for another node")]
    WrongReceiver,
}

impl AuthError {
    /// Name of the reason, as a subject of log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Truncated => "truncated",
            Self::TagMismatch => "tag",
            Self::Malformed => "malformed",
            Self::Replayed => "replayed",
            Self::WrongReceiver => "receiver",
        }
    }
}

/// Header of a message. Over TCP, a reply repeats incarnation and counter of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageHeader {
    /// Name of the sender.
    pub node: NodeName,
    /// Incarnation of the sender, which rises with each start of the node.
    pub incarnation: Incarnation,
    /// Counter of the message, which never repeats within an incarnation.
    pub counter: u64,
    /// Node that the message is addressed to.
    pub receiver: NodeName,
}

/// Authentication key shared by all nodes.
#[derive(Clone)]
pub struct PeerKey([u8; 32]);

impl std::fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

impl PeerKey {
    /// Derives the key from the shared secret.
    #[must_use]
    pub fn derive(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    fn tag(&self, body: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, body)
    }
}

/// Encodes a message with its header and appends the authentication tag.
///
/// # Errors
///
/// Returns [`AuthError::Malformed`] if the message can't be encoded.
pub fn sign_message<T: Serialize>(
    key: &PeerKey,
    header: &MessageHeader,
    message: &T,
) -> Result<Vec<u8>, AuthError> {
    let mut bytes =
        postcard::to_stdvec(&(header, message)).map_err(|_encode| AuthError::Malformed)?;
    let tag = key.tag(&bytes);
    bytes.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
    Ok(bytes)
}

/// Checks the tag of a message to `local_node` and decodes it. The counter is left to
/// [`ReplayGuard::accept`].
///
/// # Errors
///
/// Returns why the message is refused.
pub fn verify_message<T: DeserializeOwned>(
    key: &PeerKey,
    local_node: &NodeName,
    bytes: &[u8],
) -> Result<(MessageHeader, T), AuthError> {
    let Some(length) = bytes.len().checked_sub(TAG_BYTES) else {
        return Err(AuthError::Truncated);
    };
    let (body, tag) = bytes.split_at(length);
    if !constant_time_eq(&key.tag(body).as_bytes()[..TAG_BYTES], tag) {
        return Err(AuthError::TagMismatch);
    }
    let (header, message): (MessageHeader, T) =
        postcard::from_bytes(body).map_err(|_decode| AuthError::Malformed)?;
    if header.receiver != *local_node {
        return Err(AuthError::WrongReceiver);
    }
    Ok((header, message))
}

/// Compares in a time that does not depend on where the first difference is, so that the time taken
/// gives no hint at the right tag.
fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    left.len() == right.len()
        && left.iter().zip(right).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}

/// Counters accepted from one incarnation of a sender.
#[derive(Clone, Debug)]
struct SenderCounters {
    node: NodeName,
    incarnation: Incarnation,
    /// Newest counter that was accepted, which is the highest.
    newest: u64,
    /// Bit `n` is set if `newest - n` was accepted.
    accepted: u64,
}

/// Counters accepted so far by sender, so that no message is accepted twice.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    /// Sorted by sender, without duplicates. At most [`SENDERS_MAX`].
    senders: Vec<SenderCounters>,
}

impl ReplayGuard {
    /// Accepts the counter of `header` and records it.
    ///
    /// # Errors
    ///
    /// Returns [`AuthError::Replayed`] if it was accepted before, lies before the replay window,
    /// belongs to a former incarnation of the sender, or would add one sender too many.
    pub fn accept(&mut self, header: &MessageHeader) -> Result<(), AuthError> {
        let at = match self.senders.binary_search_by(|sender| sender.node.cmp(&header.node)) {
            Ok(at) => at,
            Err(_) if self.senders.len() >= SENDERS_MAX => return Err(AuthError::Replayed),
            Err(at) => {
                self.senders.insert(at, new_sender(header));
                return Ok(());
            }
        };
        let sender = &mut self.senders[at];
        if header.incarnation > sender.incarnation {
            *sender = new_sender(header);
            return Ok(());
        }
        if header.incarnation < sender.incarnation {
            return Err(AuthError::Replayed);
        }
        if header.counter > sender.newest {
            let step = header.counter - sender.newest;
            sender.accepted = if step < REPLAY_WINDOW { (sender.accepted << step) | 1 } else { 1 };
            sender.newest = header.counter;
            return Ok(());
        }
        let age = sender.newest - header.counter;
        if age >= REPLAY_WINDOW || sender.accepted & (1 << age) != 0 {
            return Err(AuthError::Replayed);
        }
        sender.accepted |= 1 << age;
        Ok(())
    }
}

fn new_sender(header: &MessageHeader) -> SenderCounters {
    SenderCounters {
        node: header.node.clone(),
        incarnation: header.incarnation,
        newest: header.counter,
        accepted: 1,
    }
}
