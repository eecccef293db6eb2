//! Response bodies sent to callers.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::{
    select,
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
};

use crate::forward::byte_lease::ByteLease;

/// Size of the parts of a complete body.
const PART_BYTES_MAX: usize = 65_536;
/// Maximum number of stream chunks queued for a slow caller.
const QUEUED_CHUNKS_MAX: usize = 16;
/// Maximum number of their bytes. A longer chunk is queued alone.
const QUEUED_BYTES_MAX: usize = 65_536;

/// The stream ended before its last event. The caller's connection is aborted, so that the response
/// does not appear complete.
#[derive(Debug, Error)]
#[error("stream aborted before its last event")]
pub struct StreamAborted;

/// Chunk of a stream.
#[derive(Debug)]
enum StreamChunk {
    /// Bytes and their room in the queue.
    Data(Bytes, OwnedSemaphorePermit),
    End,
}

/// Response body.
#[derive(Debug)]
pub enum ResponseBody {
    /// Complete body.
    Full(FullBody),
    /// Body sent in chunks.
    Stream(StreamBody),
}

/// Complete body that is sent in parts, so that it is held until its caller has received nearly all.
#[derive(Debug)]
pub struct FullBody {
    /// What is still to be sent.
    bytes: Bytes,
    /// Holds the whole body.
    _lease: Option<ByteLease>,
}

/// Receiving half of a stream.
#[derive(Debug)]
pub struct StreamBody {
    chunks: mpsc::Receiver<StreamChunk>,
    ended: bool,
}

/// Sending half of a stream. Dropping it without [`StreamSender::finish`] aborts the response.
#[derive(Debug)]
pub struct StreamSender {
    chunks: mpsc::Sender<StreamChunk>,
    /// Bytes that may still be queued.
    room: Arc<Semaphore>,
}

impl ResponseBody {
    /// Creates a body of `bytes`.
    pub fn full(bytes: Bytes) -> Self {
        Self::held(bytes, None)
    }

    /// Creates a body of `bytes`, for which `lease` holds them.
    pub fn held(bytes: Bytes, lease: Option<ByteLease>) -> Self {
        Self::Full(FullBody { bytes, _lease: lease })
    }

    /// Creates a streaming body and its sender.
    pub fn stream() -> (StreamSender, Self) {
        let (sender, chunks) = mpsc::channel(QUEUED_CHUNKS_MAX);
        let body = StreamBody { chunks, ended: false };
        let room = Arc::new(Semaphore::new(QUEUED_BYTES_MAX));
        (StreamSender { chunks: sender, room }, Self::Stream(body))
    }
}

impl StreamSender {
    /// Sends complete events. Returns whether the caller is still connected.
    pub async fn send(&self, bytes: Bytes) -> bool {
        let taken = u32::try_from(bytes.len().min(QUEUED_BYTES_MAX)).unwrap_or(u32::MAX);
        let room = select! {
            room = Arc::clone(&self.room).acquire_many_owned(taken) => room,
            () = self.chunks.closed() => return false,
        };
        // The room is never closed.
        let Ok(room) = room else { return false };
        self.chunks.send(StreamChunk::Data(bytes, room)).await.is_ok()
    }

    /// Completes the response. Returns whether the caller is still connected.
    pub async fn finish(self) -> bool {
        self.chunks.send(StreamChunk::End).await.is_ok()
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        let stream = match self.get_mut() {
            Self::Full(FullBody { bytes, .. }) => {
                let part = bytes.split_to(bytes.len().min(PART_BYTES_MAX));
                return Poll::Ready((!part.is_empty()).then(|| Ok(Frame::data(part))));
            }
            Self::Stream(stream) => stream,
        };
        if stream.ended {
            return Poll::Ready(None);
        }
        stream.chunks.poll_recv(cx).map(|chunk| match chunk {
            Some(StreamChunk::Data(bytes, _room)) => Some(Ok(Frame::data(bytes))),
            Some(StreamChunk::End) => {
                stream.ended = true;
                None
            }
            None => Some(Err(StreamAborted)),
        })
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(body) => body.bytes.is_empty(),
            Self::Stream(stream) => stream.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(body) => SizeHint::with_exact(body.bytes.len() as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
