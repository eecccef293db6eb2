//! The client of the platform: one kept connection, one call at a time, bounded in time.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Full, Limited};
use samphiredeck_platform::{
    PlatformRequest, WireError,
    store::{
        StoreRow, StoreRows, StoreTransaction, TransactionOutcome, decode_rows, decode_transaction,
        encode_read, encode_transaction,
    },
};
use thiserror::Error;
use tokio::time::timeout;

use crate::forward::{
    http_connection::HttpLink,
    metrics::{CallFamily, CallLabels},
    node::ForwardNode,
};

/// Bound on making a connection to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest answer in bytes. The store ends its pages at 1 MB.
const ANSWER_BYTES_MAX: usize = 4_194_304;

/// Reason why a call has no usable answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No byte of the call left this node.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The call may have been carried out, or may be later.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The platform's answer says that nothing was done, or can't be read.
    #[error("{0}")]
    Wire(#[from] WireError),
}

impl CallError {
    /// Whether the call may have been carried out.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::NoAnswer(_) | Self::Wire(WireError::Json(_)))
    }
}

/// Client of one service of the platform.
#[derive(Debug)]
pub struct PlatformLink {
    address: SocketAddr,
    host: HeaderValue,
    link: Option<HttpLink>,
    /// What the calls are for, as the metrics show it.
    purpose: &'static str,
    calls: CallFamily,
}

impl PlatformLink {
    /// Makes a client of the store. Connects with the first call.
    pub fn store(node: &ForwardNode, purpose: &'static str) -> Self {
        Self::new(node, node.settings().platform.store, purpose)
    }

    /// Makes a client of the API for orders and reports, if there is one.
    pub fn orders(node: &ForwardNode) -> Option<Self> {
        let address = node.settings().platform.orders?;
        Some(Self::new(node, address, "orders"))
    }

    fn new(node: &ForwardNode, address: SocketAddr, purpose: &'static str) -> Self {
        // An address is made of visible ASCII characters.
        let host = HeaderValue::from_str(&address.to_string());
        let host = host.unwrap_or_else(|_never| HeaderValue::from_static("platform"));
        Self { address, host, link: None, purpose, calls: node.gauges.calls.clone() }
    }

    /// Carries out `call` within `bound`, from the connection to the last byte of the answer.
    pub async fn call(
        &mut self,
        call: PlatformRequest,
        bound: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let answer = self.exchange(call, bound).await;
        let outcome = if answer.is_ok() { "answered" } else { "failed" };
        self.calls.get_or_create(&CallLabels { purpose: self.purpose, outcome }).inc();
        answer
    }

    async fn exchange(
        &mut self,
        call: PlatformRequest,
        bound: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let mut request = Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        let path = call.path.parse();
        *request.uri_mut() = path.map_err(|error| CallError::NotSent(format!("{error}")))?;
        request.headers_mut().insert(HOST, self.host.clone());
        request.headers_mut().extend(call.headers);
        // The connection is taken out, so that any way out of here but the last closes it.
        let mut link = self.open().await?;
        let exchange = async {
            let response = link.send(request).await.map_err(|error| {
                if error.unsent {
                    CallError::NotSent(error.reason)
                } else {
                    CallError::NoAnswer(error.reason)
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), ANSWER_BYTES_MAX).collect().await;
            let body = body.map_err(|error| CallError::NoAnswer(error.to_string()))?;
            Ok::<_, CallError>((status, body.to_bytes()))
        };
        let late = |_elapsed| CallError::NoAnswer(format!("within {bound:?}"));
        let answer = timeout(bound, exchange).await.map_err(late)??;
        self.link = Some(link);
        Ok(answer)
    }

    async fn open(&mut self) -> Result<HttpLink, CallError> {
        if let Some(mut link) = self.link.take()
            && link.settle().await
        {
            return Ok(link);
        }
        let link = HttpLink::connect(self.address, CONNECT_TIMEOUT).await;
        link.map_err(|error| CallError::NotSent(error.to_string()))
    }

    /// Reads all rows of `table`.
    pub async fn read_table(
        &mut self,
        table: &str,
        bound: Duration,
    ) -> Result<StoreRows, CallError> {
        let (status, body) = self.call(encode_read(table, ""), bound).await?;
        let mut page = decode_rows(status, &body)?;
        let mut rows: Vec<StoreRow> = std::mem::take(&mut page.rows);
        while page.more {
            // The next page begins with the smallest key after the last one of this page.
            let from = rows.last().map(|row| format!("{}\0", row.key)).unwrap_or_default();
            let (status, body) = self.call(encode_read(table, &from), bound).await?;
            let mut next = decode_rows(status, &body)?;
            rows.append(&mut next.rows);
            // Rows of later pages may be newer, but a watch from the first page's version on
            // shows them again.
            page.more = next.more;
        }
        page.rows = rows;
        Ok(page)
    }

    /// Carries out `change`.
    pub async fn change(
        &mut self,
        change: &StoreTransaction,
        bound: Duration,
    ) -> Result<TransactionOutcome, CallError> {
        let (status, body) = self.call(encode_transaction(change)?, bound).await?;
        Ok(decode_transaction(status, &body)?)
    }
}
