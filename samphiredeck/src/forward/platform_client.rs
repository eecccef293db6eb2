//! Client of the platform's services, with one persistent connection and one call at a time.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Full, Limited};
use samphiredeck_core::{
    forward::store_eras::{StoreEra, StoreEras},
    ids::RowVersion,
};
use samphiredeck_platform::{
    PlatformRequest, WireError,
    store::{
        StoreRow, StoreRows, StoreTransaction, TransactionOutcome, decode_era, decode_rows,
        decode_transaction, encode_read, encode_transaction,
    },
};
use thiserror::Error;
use tokio::time::timeout;

use crate::forward::{
    clock,
    http_connection::HttpConnection,
    metrics::{PlatformCallCounters, PlatformCallLabels},
    node::ForwardNode,
};

/// Connect timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum size of a response in bytes. The store limits its pages to 1 MB.
const RESPONSE_BYTES_MAX: usize = 4_194_304;

/// Reason why a call has no usable response.
#[derive(Debug, Error)]
pub enum PlatformCallError {
    /// No byte of the call was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The call may have taken effect, or may do so later.
    #[error("no response: {0}")]
    NoResponse(String),
    /// The platform reported that the call had no effect, or its response is invalid.
    #[error("{0}")]
    Wire(#[from] WireError),
}

impl PlatformCallError {
    /// Whether the call may have taken effect.
    pub fn is_outcome_unknown(&self) -> bool {
        matches!(self, Self::NoResponse(_) | Self::Wire(WireError::Json(_)))
    }
}

/// Client of one of the platform's services.
#[derive(Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    host: HeaderValue,
    connection: Option<HttpConnection>,
    /// Purpose of the calls, as a metrics label.
    purpose: &'static str,
    calls: PlatformCallCounters,
    eras: Rc<RefCell<StoreEras>>,
    /// Era that the last answer stated.
    stated_era: Result<Option<StoreEra>, WireError>,
}

impl PlatformClient {
    /// Creates a client of the store. It connects on the first call.
    pub fn store(node: &ForwardNode, purpose: &'static str) -> Self {
        Self::new(node, node.settings().platform.store, purpose)
    }

    /// Creates a client of the API for orders and reports, if it is configured.
    pub fn orders(node: &ForwardNode) -> Option<Self> {
        let address = node.settings().platform.orders?;
        Some(Self::new(node, address, "orders"))
    }

    fn new(node: &ForwardNode, address: SocketAddr, purpose: &'static str) -> Self {
        // Socket addresses consist of visible ASCII characters.
        let host = HeaderValue::from_str(&address.to_string());
        let host = host.unwrap_or_else(|_invalid| HeaderValue::from_static("platform"));
        Self {
            address,
            host,
            connection: None,
            purpose,
            calls: node.metrics.platform_calls.clone(),
            eras: Rc::clone(&node.store_eras),
            stated_era: Ok(None),
        }
    }

    /// Makes `call`. Sending it and receiving the complete response take at most `time_limit`.
    pub async fn call(
        &mut self,
        call: PlatformRequest,
        time_limit: Duration,
    ) -> Result<(StatusCode, Bytes), PlatformCallError> {
        let response = self.exchange(call, time_limit).await;
        let outcome = if response.is_ok() { "answered" } else { "failed" };
        self.calls.get_or_create(&PlatformCallLabels { purpose: self.purpose, outcome }).inc();
        response
    }

    async fn exchange(
        &mut self,
        call: PlatformRequest,
        time_limit: Duration,
    ) -> Result<(StatusCode, Bytes), PlatformCallError> {
        let mut request = Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        let path = call.path.parse();
        *request.uri_mut() =
            path.map_err(|error| PlatformCallError::NotSent(format!("{error}")))?;
        request.headers_mut().insert(HOST, self.host.clone());
        request.headers_mut().extend(call.headers);
        // The connection is taken out of `self`, so that it is closed unless the call succeeds.
        let mut connection = self.open().await?;
        let exchange = async {
            let response = connection.send(request).await.map_err(|error| {
                if error.unsent {
                    PlatformCallError::NotSent(error.reason)
                } else {
                    PlatformCallError::NoResponse(error.reason)
                }
            })?;
            let status = response.status();
            let era = decode_era(response.headers());
            let body = Limited::new(response.into_body(), RESPONSE_BYTES_MAX).collect().await;
            let body = body.map_err(|error| PlatformCallError::NoResponse(error.to_string()))?;
            Ok::<_, PlatformCallError>((status, body.to_bytes(), era))
        };
        let on_timeout =
            |_elapsed| PlatformCallError::NoResponse(format!("timed out after {time_limit:?}"));
        let (status, body, era) = timeout(time_limit, exchange).await.map_err(on_timeout)??;
        self.connection = Some(connection);
        self.stated_era = era;
        Ok((status, body))
    }

    async fn open(&mut self) -> Result<HttpConnection, PlatformCallError> {
        if let Some(mut connection) = self.connection.take()
            && connection.wait_ready().await
        {
            return Ok(connection);
        }
        let connection = HttpConnection::connect(self.address, CONNECT_TIMEOUT).await;
        connection.map_err(|error| PlatformCallError::NotSent(error.to_string()))
    }

    /// Reads all rows of `table`.
    pub async fn read_table(
        &mut self,
        table: &str,
        time_limit: Duration,
    ) -> Result<StoreRows, PlatformCallError> {
        let mut page = self.query_rows(encode_read(table, ""), time_limit).await?;
        let mut rows: Vec<StoreRow> = std::mem::take(&mut page.rows);
        while page.more {
            // The next page starts at the smallest key after the last one of this page.
            let from = rows.last().map(|row| format!("{}\0", row.key)).unwrap_or_default();
            let mut next = self.query_rows(encode_read(table, &from), time_limit).await?;
            rows.append(&mut next.rows);
            // Rows of later pages may be newer than the first page's version. A watch from that
            // version returns them again.
            page.more = next.more;
        }
        page.rows = rows;
        Ok(page)
    }

    /// Makes a call that reads rows.
    pub async fn query_rows(
        &mut self,
        call: PlatformRequest,
        time_limit: Duration,
    ) -> Result<StoreRows, PlatformCallError> {
        let (status, body) = self.call(call, time_limit).await?;
        let rows = decode_rows(status, &body)?;
        let era = self.observe_era(rows.newest)?;
        Ok(rows.in_era(era))
    }

    /// Era of the last answer, whose newest version is `newest`.
    fn observe_era(&mut self, newest: RowVersion) -> Result<StoreEra, PlatformCallError> {
        let stated = std::mem::replace(&mut self.stated_era, Ok(None))?;
        Ok(self.eras.borrow_mut().observe(stated, newest, clock::now()))
    }

    /// Commits `transaction`. One that expects a version of an earlier era is not sent: the store may have given
    /// its number to another write.
    pub async fn transact(
        &mut self,
        transaction: &StoreTransaction,
        time_limit: Duration,
    ) -> Result<TransactionOutcome, PlatformCallError> {
        let era = self.eras.borrow().current();
        let is_outdated = |version: RowVersion| version != RowVersion(0) && version.era() < era;
        if transaction.expected.iter().any(|(_, version)| is_outdated(*version)) {
            let reason = format!("expects a version before era {}", era.0);
            return Err(PlatformCallError::NotSent(reason));
        }
        let (status, body) = self.call(encode_transaction(transaction)?, time_limit).await?;
        let outcome = decode_transaction(status, &body)?;
        let era = match &outcome {
            TransactionOutcome::Committed(version) => self.observe_era(*version)?,
            TransactionOutcome::Conflict(_) => {
                let stated = std::mem::replace(&mut self.stated_era, Ok(None))?;
                self.eras.borrow_mut().observe_stated(stated)
            }
        };
        Ok(outcome.in_era(era))
    }
}
