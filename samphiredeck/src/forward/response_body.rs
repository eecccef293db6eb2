//! Response bodies sent to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc;

/// Maximum number of stream chunks queued for a slow caller.
const QUEUED_CHUNKS_MAX: usize = 16;

/// The stream ended before its last event. The caller's connection is aborted, so that the response
/// does not appear complete.
#[derive(Debug, Error)]
#[error("stream aborted before its last event")]
pub struct StreamAborted;

/// Chunk of a stream.
#[derive(Debug)]
enum StreamChunk {
    Data(Bytes),
    End,
}

/// Response body.
#[derive(Debug)]
pub enum ResponseBody {
    /// Complete body. `None` if it is empty or has been sent.
    Full(Option<Bytes>),
    /// Body sent in chunks.
    Stream(StreamBody),
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
}

impl ResponseBody {
    /// Creates a body of `bytes`.
    pub fn full(bytes: Bytes) -> Self {
        Self::Full(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }

    /// Creates a streaming body and its sender.
    pub fn stream() -> (StreamSender, Self) {
        let (sender, chunks) = mpsc::channel(QUEUED_CHUNKS_MAX);
        let body = StreamBody { chunks, ended: false };
        (StreamSender { chunks: sender }, Self::Stream(body))
    }
}

impl StreamSender {
    /// Sends complete events. Returns whether the caller is still connected.
    pub async fn send(&self, bytes: Bytes) -> bool {
        self.chunks.send(StreamChunk::Data(bytes)).await.is_ok()
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
            Self::Full(bytes) => return Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(stream) => stream,
        };
        if stream.ended {
            return Poll::Ready(None);
        }
        stream.chunks.poll_recv(cx).map(|chunk| match chunk {
            Some(StreamChunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(StreamChunk::End) => {
                stream.ended = true;
                None
            }
            None => Some(Err(StreamAborted)),
        })
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Stream(stream) => stream.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
