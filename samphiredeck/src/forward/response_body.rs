//! Bodies of answers to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc;

/// Pieces of a stream that may wait for a slow caller.
const PIECES_MAX: usize = 16;

/// The stream ended before its last event. The caller's connection is broken off, so that the
/// answer does not look whole.
#[derive(Debug, Error)]
#[error("the stream was broken off")]
pub struct BrokenOff;

/// Piece of a stream.
#[derive(Debug)]
enum StreamPiece {
    Data(Bytes),
    End,
}

/// Body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// Known in whole; nothing once it was given out.
    Whole(Option<Bytes>),
    /// Comes piece by piece.
    Stream(StreamBody),
}

/// Receiving end of a stream.
#[derive(Debug)]
pub struct StreamBody {
    pieces: mpsc::Receiver<StreamPiece>,
    ended: bool,
}

/// Sending end of a stream. Dropped without [`StreamSender::finish`], it breaks the answer off.
#[derive(Debug)]
pub struct StreamSender {
    pieces: mpsc::Sender<StreamPiece>,
}

impl AnswerBody {
    /// Makes a body of `bytes`.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }

    /// Makes a body whose pieces are sent by the other value.
    pub fn stream() -> (StreamSender, Self) {
        let (sender, pieces) = mpsc::channel(PIECES_MAX);
        let body = StreamBody { pieces, ended: false };
        (StreamSender { pieces: sender }, Self::Stream(body))
    }
}

impl StreamSender {
    /// Sends whole events. Returns whether the caller is still there.
    pub async fn send(&self, bytes: Bytes) -> bool {
        self.pieces.send(StreamPiece::Data(bytes)).await.is_ok()
    }

    /// Ends the answer as whole. Returns whether the caller is still there.
    pub async fn finish(self) -> bool {
        self.pieces.send(StreamPiece::End).await.is_ok()
    }

    /// Waits until the caller has left.
    pub async fn left(&self) {
        self.pieces.closed().await;
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let stream = match self.get_mut() {
            Self::Whole(bytes) => return Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(stream) => stream,
        };
        if stream.ended {
            return Poll::Ready(None);
        }
        stream.pieces.poll_recv(cx).map(|piece| match piece {
            Some(StreamPiece::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(StreamPiece::End) => {
                stream.ended = true;
                None
            }
            None => Some(Err(BrokenOff)),
        })
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Stream(stream) => stream.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
