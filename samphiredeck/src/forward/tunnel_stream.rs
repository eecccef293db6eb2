//! Byte stream of a tunnel. Unlike a plain connection, its end tells whether all bytes have arrived, also
//! if the node in between ends.

use std::{
    io::{self, ErrorKind},
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Length of the header of a frame in bytes.
const HEADER_BYTES: usize = 2;
/// Maximum number of bytes in a frame that is sent.
const FRAME_BYTES_MAX: usize = 16 * 1_024;

/// Tunnel after its reply.
#[derive(Debug)]
pub struct TunnelStream {
    stream: TcpStream,
    header: [u8; HEADER_BYTES],
    /// Number of bytes of `header` that were read.
    header_read: usize,
    /// Number of bytes of the current frame that were not read yet.
    frame_left: usize,
    /// Whether the frame that ends the incoming direction was read.
    has_ended: bool,
    /// Frame that is being sent, and the number of its bytes that were.
    outgoing: Vec<u8>,
    sent: usize,
    /// Whether the frame that ends the outgoing direction was added.
    is_closing: bool,
}

impl TunnelStream {
    /// Creates the stream of a tunnel over `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            header: [0; HEADER_BYTES],
            header_read: 0,
            frame_left: 0,
            has_ended: false,
            outgoing: Vec::new(),
            sent: 0,
            is_closing: false,
        }
    }

    /// Reads some bytes into `bytes`. The end of the connection is an error.
    fn poll_read_some(
        &mut self,
        cx: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut buffer = ReadBuf::new(bytes);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer))?;
        let length = buffer.filled().len();
        if length == 0 {
            let reason = "tunnel broken off";
            return Poll::Ready(Err(io::Error::new(ErrorKind::ConnectionReset, reason)));
        }
        Poll::Ready(Ok(length))
    }

    fn poll_read_header(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.header_read < HEADER_BYTES {
            let mut rest = [0; HEADER_BYTES];
            let rest = &mut rest[self.header_read..];
            let length = ready!(self.poll_read_some(cx, rest))?;
            self.header[self.header_read..][..length].copy_from_slice(&rest[..length]);
            self.header_read += length;
        }
        self.header_read = 0;
        self.frame_left = usize::from(u16::from_be_bytes(self.header));
        self.has_ended = self.frame_left == 0;
        Poll::Ready(Ok(()))
    }

    fn poll_send(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.sent < self.outgoing.len() {
            let rest = &self.outgoing[self.sent..];
            let length = ready!(Pin::new(&mut self.stream).poll_write(cx, rest))?;
            if length == 0 {
                return Poll::Ready(Err(ErrorKind::WriteZero.into()));
            }
            self.sent += length;
        }
        self.outgoing.clear();
        self.sent = 0;
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let tunnel = self.get_mut();
        while tunnel.frame_left == 0 && !tunnel.has_ended {
            ready!(tunnel.poll_read_header(cx))?;
        }
        if tunnel.has_ended || buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        let limit = tunnel.frame_left.min(buf.remaining());
        let bytes = &mut buf.initialize_unfilled()[..limit];
        let length = ready!(tunnel.poll_read_some(cx, bytes))?;
        buf.advance(length);
        tunnel.frame_left -= length;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let tunnel = self.get_mut();
        ready!(tunnel.poll_send(cx))?;
        let part = &buf[..buf.len().min(FRAME_BYTES_MAX)];
        if part.is_empty() {
            return Poll::Ready(Ok(0));
        }
        let header = u16::try_from(part.len()).unwrap_or(u16::MAX).to_be_bytes();
        tunnel.outgoing.extend_from_slice(&header);
        tunnel.outgoing.extend_from_slice(part);
        // What can't be sent now is sent before the next frame, or by a flush.
        if let Poll::Ready(Err(error)) = tunnel.poll_send(cx) {
            return Poll::Ready(Err(error));
        }
        Poll::Ready(Ok(part.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.get_mut().poll_send(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let tunnel = self.get_mut();
        if !tunnel.is_closing {
            ready!(tunnel.poll_send(cx))?;
            tunnel.outgoing.extend_from_slice(&[0; HEADER_BYTES]);
            tunnel.is_closing = true;
        }
        ready!(tunnel.poll_send(cx))?;
        Pin::new(&mut tunnel.stream).poll_shutdown(cx)
    }
}
