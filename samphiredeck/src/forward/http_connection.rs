//! HTTP/1.1 connection to an upstream or to the platform.
//!
//! `hyper` reports a truncated body as an error and returns a request that was never written to the
//! connection. Dropping [`HttpConnection`] closes the socket immediately, which cancels the request
//! at the peer.

use std::{
    error::Error as _,
    io::{self, ErrorKind},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use rustix::io::Errno;
use samphiredeck_core::ids::NodeName;
use thiserror::Error;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    task::JoinHandle,
    time::timeout,
};

use crate::forward::{
    head_stream::{HeadBytes, HeadStream},
    patient_stream::PatientStream,
    tunnel_stream::TunnelStream,
};

/// Time after which the kernel closes a connection with unacknowledged data. Prevents a request
/// that has timed out here from arriving much later.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum size of a response head in bytes.
const HEAD_BYTES_MAX: usize = 65_536;

/// Connection failure. Nothing was sent.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// Socket error.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The peer did not accept the connection in time.
    #[error("no connection within {0:?}")]
    Timeout(Duration),
    /// The HTTP handshake failed.
    #[error("{0}")]
    Http(#[from] hyper::Error),
}

impl ConnectError {
    /// Whether this node has no descriptor for a connection, which says nothing about its peer.
    pub fn lacks_descriptors(&self) -> bool {
        let Self::Io(error) = self else { return false };
        let errno = error.raw_os_error().map(Errno::from_raw_os_error);
        errno.is_some_and(|errno| [Errno::MFILE, Errno::NFILE].contains(&errno))
    }
}

/// Failure to receive a response head.
#[derive(Debug, Error)]
#[error("{reason}")]
pub struct SendError {
    /// Whether no byte of the request was sent.
    pub unsent: bool,
    /// Whether the peer closed the connection.
    pub closed: bool,
    /// Description of the error.
    pub reason: String,
}

/// HTTP connection for one request at a time.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    /// Bytes received while the head of a response is awaited.
    head: HeadBytes,
    driver: JoinHandle<()>,
    /// Node through which the upstream is reached, if not directly.
    via: Option<NodeName>,
}

impl HttpConnection {
    /// Connects to `address` within `time_limit`.
    pub async fn connect(address: SocketAddr, time_limit: Duration) -> Result<Self, ConnectError> {
        let stream = timeout(time_limit, TcpStream::connect(address))
            .await
            .map_err(|_elapsed| ConnectError::Timeout(time_limit))??;
        stream.set_nodelay(true)?;
        Ok(Self::start(PatientStream::new(stream), None).await?)
    }

    /// Uses a tunnel through the node `via`, for one request.
    pub async fn through(tunnel: TunnelStream, via: NodeName) -> Result<Self, ConnectError> {
        Ok(Self::start(tunnel, Some(via)).await?)
    }

    async fn start(
        stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
        via: Option<NodeName>,
    ) -> Result<Self, hyper::Error> {
        let mut builder = http1::Builder::new();
        builder.max_buf_size(HEAD_BYTES_MAX);
        let head = HeadBytes::default();
        let stream = HeadStream::new(stream, head.clone());
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
        let driver = actix_web::rt::spawn(async move {
            // Errors that affect a request are returned by `sender`.
            drop(connection.await);
        });
        Ok(Self { sender, head, driver, via })
    }

    /// Node through which the upstream is reached, if not directly.
    pub fn via(&self) -> Option<&NodeName> {
        self.via.as_ref()
    }

    /// Whether a request can be sent now: the peer has neither closed the connection nor sent
    /// unsolicited data.
    pub fn is_open(&self) -> bool {
        self.sender.is_ready()
    }

    /// Processes the data received so far. Returns whether the connection is still usable.
    pub async fn wait_ready(&mut self) -> bool {
        tokio::task::yield_now().await;
        self.sender.ready().await.is_ok()
    }

    /// Sends `request` and waits for the response head.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.head.begin();
        let sent = self.sender.try_send_request(request).await;
        self.head.end();
        let response = sent.map_err(|mut error| {
            let unsent = error.take_message().is_some();
            let error = error.into_error();
            SendError { unsent, closed: is_closed_by_peer(&error), reason: error.to_string() }
        })?;
        if !is_final(response.status()) {
            let reason = format!("{} is not the status of a response", response.status().as_u16());
            return Err(SendError { unsent: false, closed: false, reason });
        }
        Ok(response)
    }
}

/// Whether `status` may be that of a response: `hyper` returns 101, after which another protocol would follow, and statuses
/// that HTTP doesn't have.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether `error` means that the peer closed the connection, as the end of its process does. Invalid
/// bytes and timeouts don't.
pub fn is_closed_by_peer(error: &hyper::Error) -> bool {
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(io) = cause.downcast_ref::<io::Error>() {
            return matches!(
                io.kind(),
                ErrorKind::ConnectionReset
                    | ErrorKind::ConnectionAborted
                    | ErrorKind::BrokenPipe
                    | ErrorKind::UnexpectedEof
            );
        }
        source = cause.source();
    }
    error.is_incomplete_message()
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
