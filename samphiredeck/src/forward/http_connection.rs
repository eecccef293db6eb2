//! One HTTP/1.1 connection to an upstream or to the platform.
//!
//! The library reports a body that was cut off as an error and a request that never reached the
//! connection as unsent. Dropping the link closes its socket at once, which ends what runs for it.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use thiserror::Error;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

/// Time after which the system gives up a connection whose peer acknowledges nothing, so that no
/// request that was given up here arrives much later.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(1_500);
/// Largest head of an answer in bytes.
const HEAD_BYTES_MAX: usize = 65_536;

/// Reason why a connection could not be made. Nothing was sent.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The system refused it.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// Nobody answered in time.
    #[error("no answer within {0:?}")]
    Late(Duration),
    /// The library refused the socket.
    #[error("{0}")]
    Library(#[from] hyper::Error),
}

/// Reason why a request got no head of an answer.
#[derive(Debug, Error)]
#[error("{reason}")]
pub struct SendError {
    /// Whether no byte of the request left this node.
    pub unsent: bool,
    /// What happened.
    pub reason: String,
}

/// One connection. Carries one request at a time.
#[derive(Debug)]
pub struct HttpLink {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl HttpLink {
    /// Connects to `address` within `bound`.
    pub async fn connect(address: SocketAddr, bound: Duration) -> Result<Self, ConnectError> {
        let stream = timeout(bound, TcpStream::connect(address))
            .await
            .map_err(|_elapsed| ConnectError::Late(bound))??;
        stream.set_nodelay(true)?;
        // Where the system has no such option, time-outs of the calls take its place.
        let bounded = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX));
        drop(bounded);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(HEAD_BYTES_MAX);
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
        let driver = actix_web::rt::spawn(async move {
            // The sender learns of every error that concerns a request.
            drop(connection.await);
        });
        Ok(Self { sender, driver })
    }

    /// Whether a request can be sent now: the peer has neither closed nor sent anything unasked.
    pub fn is_open(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection has taken note of everything that arrived so far.
    pub async fn settle(&mut self) -> bool {
        tokio::task::yield_now().await;
        self.sender.ready().await.is_ok()
    }

    /// Sends `request` and waits for the head of the answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.try_send_request(request).await.map_err(|mut error| SendError {
            unsent: error.take_message().is_some(),
            reason: error.into_error().to_string(),
        })
    }
}

impl Drop for HttpLink {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
