//! Connection that ends if the head of a response does not.
//!
//! `hyper` bounds a head, but not how many informational responses come before it. A hundred upstreams that send nothing else
//! keep the thread busy.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that may arrive from the begin of a request to the end of the head of its response. More than a head and a receive
/// buffer together.
const HEAD_BYTES_MAX: usize = 262_144;

/// Bytes that are received at once. `hyper` doubles its buffer when a read fills it: with 64 KB for each, a hundred responses
/// took over 20 MB beside the budget.
const READ_BYTES_MAX: usize = 16 * 1_024;

/// Bytes received since the begin of a request, until the head of its response is complete.
#[derive(Clone, Debug, Default)]
pub struct HeadBytes {
    /// `None` while no head is awaited.
    count: Rc<Cell<Option<usize>>>,
}

impl HeadBytes {
    /// Begins to count.
    pub fn begin(&self) {
        self.count.set(Some(0));
    }

    /// The head is complete.
    pub fn end(&self) {
        self.count.set(None);
    }

    /// Adds `received` bytes. Fails if they are too many.
    fn add(&self, received: usize) -> io::Result<()> {
        let Some(count) = self.count.get() else { return Ok(()) };
        self.count.set(Some(count + received));
        if count + received > HEAD_BYTES_MAX {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "head of the response has no end",
            ));
        }
        Ok(())
    }
}

/// Stream that counts what it receives into [`HeadBytes`].
#[derive(Debug)]
pub struct HeadStream<S> {
    stream: S,
    head: HeadBytes,
}

impl<S> HeadStream<S> {
    /// Counts what `stream` receives into `head`.
    pub fn new(stream: S, head: HeadBytes) -> Self {
        Self { stream, head }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let most = buf.remaining().min(READ_BYTES_MAX);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
        match Pin::new(&mut this.stream).poll_read(cx, &mut part) {
            Poll::Ready(Ok(())) => {
                let received = part.filled().len();
                buf.advance(received);
                Poll::Ready(this.head.add(received))
            }
            other => other,
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
