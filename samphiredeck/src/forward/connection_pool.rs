//! Pool of idle connections to upstreams.
//!
//! Connections are reused, since each upstream limits the total over all nodes. An idle connection
//! is not used shortly before its upstream closes it.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use samphiredeck_core::{boot_time::BootTime, ids::UpstreamId};

use crate::forward::{
    clock,
    http_connection::{ConnectError, HttpConnection},
};

/// Connect timeout. Covers the loss of one packet within a domain and is shorter than the users'
/// shortest latency target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Keep-alive time of an upstream that does not state one.
const KEEP_ALIVE_DEFAULT: Duration = Duration::from_secs(2);
/// Safety margin before the end of the keep-alive time, for network delay and clock differences.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(600);
/// Maximum idle time of a connection for requests that may run at most once. Such a request is lost
/// if the upstream closes the connection while it is being sent.
const AT_MOST_ONCE_IDLE_MAX: Duration = Duration::from_millis(2_500);

/// Idle connection.
#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    idle_since: BootTime,
    /// Time from which it must not be used.
    expires_at: BootTime,
}

/// Idle connections to one upstream.
#[derive(Debug)]
struct UpstreamConnections {
    upstream: UpstreamId,
    /// Most recently used last.
    idle: Vec<IdleConnection>,
}

/// Idle connections of this node.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    /// Sorted by upstream, without duplicates.
    rows: RefCell<Vec<UpstreamConnections>>,
}

impl ConnectionPool {
    /// Returns an idle connection to `upstream`, if there is one. With `at_most_once`, skips
    /// connections that the upstream may be about to close.
    pub fn checkout(&self, upstream: &UpstreamId, at_most_once: bool) -> Option<HttpConnection> {
        let now = clock::now();
        let mut rows = self.rows.borrow_mut();
        let at = rows.binary_search_by(|row| row.upstream.cmp(upstream)).ok()?;
        let idle = &mut rows[at].idle;
        while let Some(entry) = idle.pop() {
            let is_recent = !at_most_once || now.since(entry.idle_since) < AT_MOST_ONCE_IDLE_MAX;
            if now < entry.expires_at && is_recent && entry.connection.is_open() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Opens a connection to `address`.
    pub async fn connect(&self, address: SocketAddr) -> Result<HttpConnection, ConnectError> {
        HttpConnection::connect(address, CONNECT_TIMEOUT).await
    }

    /// Returns `connection` to the pool after a complete response, for the keep-alive time stated
    /// by the upstream.
    pub fn put_back(
        &self,
        upstream: &UpstreamId,
        connection: HttpConnection,
        keep_alive: Option<Duration>,
    ) {
        let now = clock::now();
        let usable_for = keep_alive.unwrap_or(KEEP_ALIVE_DEFAULT).saturating_sub(KEEP_ALIVE_MARGIN);
        let idle = IdleConnection { connection, idle_since: now, expires_at: now + usable_for };
        let mut rows = self.rows.borrow_mut();
        match rows.binary_search_by(|row| row.upstream.cmp(upstream)) {
            Ok(at) => rows[at].idle.push(idle),
            Err(at) => {
                rows.insert(
                    at,
                    UpstreamConnections { upstream: upstream.clone(), idle: vec![idle] },
                );
            }
        }
    }

    /// Closes the idle connections to `upstream`.
    pub fn close_idle(&self, upstream: &UpstreamId) {
        let mut rows = self.rows.borrow_mut();
        if let Ok(at) = rows.binary_search_by(|row| row.upstream.cmp(upstream)) {
            rows.remove(at);
        }
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.rows.borrow_mut().clear();
    }

    /// Closes connections that expired or that the upstream has closed.
    pub fn remove_expired(&self) {
        let now = clock::now();
        let mut rows = self.rows.borrow_mut();
        for row in rows.iter_mut() {
            row.idle.retain(|idle| now < idle.expires_at && idle.connection.is_open());
        }
        rows.retain(|row| !row.idle.is_empty());
    }
}
