//! HTTP calls whose responses are taken as a whole or not at all.
//!
//! `awc` takes the end of a connection for the end of a body, whatever its length, and a body without a length
//! for an empty one.

use std::{fmt, time::Duration};

use bytes::Bytes;
use http::{Request, Response, header::HOST};
use http_body_util::{BodyExt, Full, Limited};
use thiserror::Error;
use tokio::{
    net::lookup_host,
    time::{Instant, timeout_at},
};

use crate::forward::http_connection::HttpConnection;

/// Failure of a call.
#[derive(Debug, Error)]
#[error("{reason}")]
pub struct CallFailure {
    /// Whether no byte of the request was sent.
    pub unsent: bool,
    /// Description of the failure.
    pub reason: String,
}

impl CallFailure {
    fn unsent(reason: impl fmt::Display) -> Self {
        Self { unsent: true, reason: reason.to_string() }
    }

    fn sent(reason: impl fmt::Display) -> Self {
        Self { unsent: false, reason: reason.to_string() }
    }
}

/// Limits of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Time until a connection is established.
    pub connect: Duration,
    /// Time until the response is complete.
    pub total: Duration,
    /// Size of the body of the response in bytes.
    pub body_bytes: usize,
}

/// Sends `request` to the host and port `address` over a connection of its own, and receives the whole response.
pub async fn fetch_whole(
    address: &str,
    mut request: Request<Full<Bytes>>,
    limits: CallLimits,
) -> Result<Response<Bytes>, CallFailure> {
    let started_at = Instant::now();
    let host = address.parse().map_err(CallFailure::unsent)?;
    request.headers_mut().insert(HOST, host);
    let connect_until = started_at + limits.connect.min(limits.total);
    let connection = timeout_at(connect_until, connect(address, limits.connect)).await;
    let mut connection = connection.map_err(CallFailure::unsent)??;
    let exchange = async {
        let response = connection.send(request).await;
        let response =
            response.map_err(|error| CallFailure { unsent: error.unsent, reason: error.reason })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, limits.body_bytes).collect().await;
        Ok(Response::from_parts(head, body.map_err(CallFailure::sent)?.to_bytes()))
    };
    timeout_at(started_at + limits.total, exchange).await.map_err(CallFailure::sent)?
}

/// Connects to the first of the addresses of `address` that accepts.
async fn connect(address: &str, time_limit: Duration) -> Result<HttpConnection, CallFailure> {
    let mut failure = CallFailure::unsent("no address");
    for address in lookup_host(address).await.map_err(CallFailure::unsent)? {
        match HttpConnection::connect(address, time_limit).await {
            Ok(connection) => return Ok(connection),
            Err(error) => failure = CallFailure::unsent(error),
        }
    }
    Err(failure)
}
