//! Receives whole bodies within the bytes that a node may hold.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

use crate::forward::byte_lease::{BudgetExceeded, ByteLease};

/// What to do when the bytes held have reached their bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenFull {
    /// Waits until others hold less.
    Wait,
    /// Fails at once.
    Fail,
}

/// Why a body was not received.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It is longer than the limit.
    #[error("body exceeds the size limit")]
    TooLong,
    /// The node holds too many bytes.
    #[error("{0}")]
    Full(#[from] BudgetExceeded),
    /// The peer broke it off.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
}

/// Receives `body` of at most `limit` bytes, which `lease` holds.
pub async fn collect_body(
    mut body: Incoming,
    limit: usize,
    lease: &mut ByteLease,
    when_full: WhenFull,
) -> Result<Bytes, BodyError> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame?;
        let Some(chunk) = frame.data_ref() else { continue };
        let bytes = collected.len() + chunk.len();
        if bytes > limit {
            return Err(BodyError::TooLong);
        }
        if bytes > collected.capacity() {
            // Chunks are copied, as each would keep a whole receive buffer.
            let capacity = bytes.max(collected.capacity() * 2).min(limit);
            match when_full {
                WhenFull::Wait => lease.hold(capacity).await?,
                WhenFull::Fail => lease.try_hold(capacity)?,
            }
            collected.reserve(capacity - collected.len());
        }
        collected.extend_from_slice(chunk);
    }
    Ok(collected.freeze())
}
