//! Messages that open a tunnel: a connection through one node to an upstream that another one can't
//! connect to.
//!
//! A tunnel begins with a [`TunnelRequest`] and a [`TunnelReply`], signed like datagrams and each preceded
//! by its length as two bytes, most significant first. After [`TunnelReply::Connected`], both sides send
//! frames: a length in two bytes and as many bytes of the connection. A frame of length zero ends its
//! direction in order. A connection that ends without one has been broken off.

use samphiredeck_core::ids::UpstreamId;
use serde::{Deserialize, Serialize};

/// Maximum size of a signed message that opens a tunnel, in bytes.
pub const TUNNEL_MESSAGE_MAX: usize = 1_200;

/// Asks the receiver to connect to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelRequest {
    /// Upstream to connect to, at the address that the receiver knows.
    pub upstream: UpstreamId,
    /// Start of that upstream that is meant, in milliseconds on its own clock.
    pub started_ms: Option<u64>,
    /// What the connection is for.
    pub purpose: TunnelPurpose,
}

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelPurpose {
    /// One request.
    Request,
    /// Only the reply matters: whether the upstream still runs.
    Check,
}

/// Replies to a [`TunnelRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelReply {
    /// The upstream has accepted the connection.
    Connected,
    /// The upstream has not, though the sender reaches others.
    Down {
        /// Whether it refused the connection, as at the end of its process.
        refused: bool,
    },
    /// The sender can't connect to this upstream, and perhaps to none.
    NoPath,
    /// The upstream takes no requests any more.
    Leaving,
    /// The upstream has asked the sender for time.
    Paused {
        /// Milliseconds until it takes requests.
        wait_ms: u64,
    },
    /// The sender does not know the upstream, or knows another start of it.
    Unknown,
    /// The sender is stopping.
    Busy,
    /// The sender can't connect to this upstream, nor to others of its pool, though it reaches other pools. Earlier
    /// builds refuse this reply, and ask another node.
    NoPathToPool,
}
