//! Client of the platform: table service, object store and cloud API.
//!
//! This is the only module that speaks to the platform.

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

/// Largest answer of the platform, in bytes.
const RESPONSE_MAX_BYTES: usize = 64 * 1_024 * 1_024;

/// Why a call to the platform failed.
#[derive(Clone, Debug, Error)]
pub enum PlatformError {
    /// The call surely had no effect.
    #[error("platform refused the call: {0}")]
    Refused(String),
    /// The call may have had an effect.
    #[error("platform did not answer: {0}")]
    OutcomeUnknown(String),
}

/// Client of the platform. Cheap to clone, bound to its thread.
#[derive(Clone)]
pub struct PlatformClient {
    client: Client,
    base: String,
}

impl PlatformClient {
    /// Builds a client of the platform at `address`. Each call is bounded by `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        // Each call uses a connection of its own, since pooled ones may have gone silent.
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

    /// Reads rows as of one moment.
    pub async fn read(&self, read: &TableRead) -> Result<TableReadResult, PlatformError> {
        self.post("/table/read", read).await
    }

    /// Reads the lagging list of instances and the notices that run.
    pub async fn read_cloud(&self) -> Result<CloudSnapshot, PlatformError> {
        self.get("/cloud/instances").await
    }

    /// Reads the price table.
    pub async fn read_prices(&self) -> Result<Vec<PriceRow>, PlatformError> {
        self.get("/cloud/prices").await
    }

    /// Asks for an instance.
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

/// A connection that was never made carried nothing.
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
    // The rate limit is checked before a call is looked at. Any other failure tells nothing.
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
