//! HTTP client for the platform: table service, object store and cloud API. The `run` subcommand
//! uses it for all platform calls.

use std::{net::SocketAddr, time::Duration};

use awc::{Client, ClientResponse, Connector, error::SendRequestError, http::StatusCode};
use bytes::Bytes;
use samphiredeck_core::{
    group_commit::CommitReply,
    platform_api::{
        CloudSnapshot, PriceRow, StartOutcome, StartRequest, TableRead, TableReadResult,
        TableTransaction,
    },
};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::transport::is_connect_failure;

/// Maximum size of a platform response, in bytes.
const RESPONSE_MAX_BYTES: usize = 64 * 1_024 * 1_024;

/// Failure of a platform call.
#[derive(Clone, Debug, Error)]
pub enum PlatformError {
    /// The call had no effect.
    #[error("platform call refused or not sent: {0}")]
    Refused(String),
    /// The call may have had an effect.
    #[error("outcome of platform call unknown: {0}")]
    OutcomeUnknown(String),
}

/// Client for the platform. Cheap to clone, but bound to its thread.
#[derive(Clone)]
pub struct PlatformClient {
    client: Client,
    base: String,
}

impl PlatformClient {
    /// Creates a client for the platform at `address`. `timeout` applies to each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        // Connections are not reused, because an idle connection may be dead without having been
        // closed.
        let connector = Connector::new().conn_keep_alive(Duration::ZERO).timeout(timeout);
        let client = Client::builder().connector(connector).timeout(timeout).finish();
        Self { client, base: format!("http://{address}") }
    }

    /// Commits a transaction.
    pub async fn commit(&self, transaction: &TableTransaction) -> CommitReply {
        match self.post("/table/transaction", transaction).await {
            Ok(outcome) => CommitReply::Decided(outcome),
            Err(PlatformError::Refused(_)) => CommitReply::Refused,
            Err(PlatformError::OutcomeUnknown(_)) => CommitReply::Unknown,
        }
    }

    /// Reads rows as a consistent snapshot.
    pub async fn read(&self, read: &TableRead) -> Result<TableReadResult, PlatformError> {
        self.post("/table/read", read).await
    }

    /// Reads the eventually consistent instance list and the pending reclaim notices.
    pub async fn read_cloud(&self) -> Result<CloudSnapshot, PlatformError> {
        self.get("/cloud/instances").await
    }

    /// Reads the price table.
    pub async fn read_prices(&self) -> Result<Vec<PriceRow>, PlatformError> {
        self.get("/cloud/prices").await
    }

    /// Requests a new instance.
    pub async fn start_instance(
        &self,
        request: &StartRequest,
    ) -> Result<StartOutcome, PlatformError> {
        self.post("/cloud/start", request).await
    }

    /// Stores an object.
    pub async fn put_object(&self, key: &str, body: String) -> Result<(), PlatformError> {
        let request = self.client.put(format!("{}/objects/{key}", self.base));
        let response = request.send_body(body).await.map_err(classify_send_error)?;
        check_status(response.status())
    }

    /// Reads an object.
    pub async fn get_object(&self, key: &str) -> Result<Bytes, PlatformError> {
        let request = self.client.get(format!("{}/objects/{key}", self.base));
        let mut response = request.send().await.map_err(classify_send_error)?;
        check_status(response.status())?;
        response.body().limit(RESPONSE_MAX_BYTES).await.map_err(outcome_unknown)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, PlatformError> {
        let request = self.client.get(format!("{}{path}", self.base));
        decode(request.send().await.map_err(classify_send_error)?).await
    }

    async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, PlatformError> {
        let request = self.client.post(format!("{}{path}", self.base));
        decode(request.send_json(body).await.map_err(classify_send_error)?).await
    }
}

fn outcome_unknown(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::OutcomeUnknown(error.to_string())
}

/// Maps a send error. If no connection was established, the call had no effect.
fn classify_send_error(error: SendRequestError) -> PlatformError {
    if is_connect_failure(&error) {
        PlatformError::Refused(error.to_string())
    } else {
        outcome_unknown(error)
    }
}

fn check_status(status: StatusCode) -> Result<(), PlatformError> {
    if status.is_success() {
        return Ok(());
    }
    // The platform applies its rate limit before it processes a call, so a 429 means no effect. Any
    // other error status leaves the outcome unknown.
    if status == StatusCode::TOO_MANY_REQUESTS {
        return Err(PlatformError::Refused(status.to_string()));
    }
    Err(outcome_unknown(status))
}

async fn decode<T: DeserializeOwned, S>(mut response: ClientResponse<S>) -> Result<T, PlatformError>
where
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    check_status(response.status())?;
    let body = response.body().limit(RESPONSE_MAX_BYTES).await.map_err(outcome_unknown)?;
    serde_json::from_slice(&body).map_err(outcome_unknown)
}
