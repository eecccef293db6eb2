//! Receives whole bodies within the bytes that a node may hold.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

use crate::forward::byte_lease::{BudgetExceeded, ByteLease};

/// Size of the parts in which a long body is received.
const PART_BYTES_MAX: usize = 65_536;

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

/// Receives `body`, which `lease` holds. `limit` returns the maximum number of its bytes at the moment.
pub async fn collect_body(
    mut body: Incoming,
    limit: &dyn Fn() -> usize,
    lease: &mut ByteLease,
    when_full: WhenFull,
) -> Result<Bytes, BodyError> {
    let mut parts: Vec<BytesMut> = Vec::new();
    let (mut length, mut held) = (0, 0);
    while let Some(frame) = body.frame().await {
        let frame = frame?;
        let Some(mut chunk) = frame.data_ref().map(AsRef::as_ref) else { continue };
        length += chunk.len();
        if length > limit() {
            return Err(BodyError::TooLong);
        }
        // Chunks are copied, as each would keep a whole receive buffer. The parts don't move, so that no memory is left over.
        while !chunk.is_empty() {
            let room = parts.last().map_or(0, |part| part.capacity() - part.len());
            if room == 0 {
                let size = chunk.len().max(held).min(PART_BYTES_MAX);
                held += size;
                match when_full {
                    WhenFull::Wait => lease.hold(held).await?,
                    WhenFull::Fail => lease.try_hold(held)?,
                }
                parts.push(BytesMut::with_capacity(size));
                continue;
            }
            let (now, later) = chunk.split_at(chunk.len().min(room));
            if let Some(part) = parts.last_mut() {
                part.extend_from_slice(now);
            }
            chunk = later;
        }
    }
    if parts.len() <= 1 {
        return Ok(parts.pop().unwrap_or_default().freeze());
    }
    let mut whole = BytesMut::with_capacity(length);
    for part in parts {
        whole.extend_from_slice(&part);
    }
    Ok(whole.freeze())
}
