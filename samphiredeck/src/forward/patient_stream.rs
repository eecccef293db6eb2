//! TCP stream for requests whose time is limited, so that it may wait for its peer.
//!
//! Answers upstreams that read a long body late. Once the receive window is full, the kernel closes the connection
//! after the user timeout, as it does if the path is lost, although each of its probes is answered.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::forward::http_connection::TCP_USER_TIMEOUT;

/// Number of bytes that fit into the receive window of a process which reads nothing.
const WINDOW_BYTES: usize = 60_000;

/// TCP stream without a user timeout while it sends more than a receive window holds. If it is dropped then without a
/// shutdown, what was not sent is discarded.
#[derive(Debug)]
pub struct PatientStream {
    stream: TcpStream,
    /// Bytes written since the last ones were read.
    written: usize,
    /// Whether bytes were read since the last ones were written.
    has_read: bool,
    /// Whether the user timeout is off. It is as long as `written` exceeds [`WINDOW_BYTES`].
    is_patient: bool,
    /// Whether all that was written is to be sent.
    is_shut: bool,
}

impl PatientStream {
    /// Sets the user timeout of `stream`.
    pub fn new(stream: TcpStream) -> Self {
        let stream =
            Self { stream, written: 0, has_read: false, is_patient: false, is_shut: false };
        stream.set_user_timeout(Some(TCP_USER_TIMEOUT));
        stream
    }

    /// On systems without this option, the request timeouts take its place.
    fn set_user_timeout(&self, time: Option<Duration>) {
        let unsupported = SockRef::from(&self.stream).set_tcp_user_timeout(time);
        drop(unsupported);
    }

    /// Records that `count` bytes are written.
    fn record_written(&mut self, count: usize) {
        if std::mem::take(&mut self.has_read) {
            self.written = 0;
        }
        self.written = self.written.saturating_add(count);
        let is_patient = self.written > WINDOW_BYTES;
        if is_patient != self.is_patient {
            self.is_patient = is_patient;
            self.set_user_timeout((!is_patient).then_some(TCP_USER_TIMEOUT));
        }
    }
}

impl Drop for PatientStream {
    fn drop(&mut self) {
        if self.is_patient && !self.has_read && !self.is_shut {
            let unsupported = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
            drop(unsupported);
        }
    }
}

impl AsyncRead for PatientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.has_read |= buf.filled().len() > before;
        polled
    }
}

impl AsyncWrite for PatientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = polled {
            self.record_written(count);
        }
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(count)) = polled {
            self.record_written(count);
        }
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.is_shut = true;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
