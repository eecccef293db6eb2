//! Kept connections to upstreams.
//!
//! Few connections are made, since upstreams accept a bounded number from all nodes together, and
//! none is used in the last part of the time for which its upstream keeps it.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use samphiredeck_core::{boot_time::BootTime, ids::UpstreamId};

use crate::forward::{
    clock,
    http_connection::{ConnectError, HttpLink},
};

/// Bound on making a connection: longer than a lost first packet would cost in one domain, shorter
/// than the users' tightest target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a connection is kept if its upstream does not say for how long it does.
const KEEP_DEFAULT: Duration = Duration::from_secs(2);
/// Part of the upstream's time that is left unused, for the way and for clocks that differ.
const KEEP_MARGIN: Duration = Duration::from_millis(600);
/// Age up to which a connection without a request is used for requests that may run only once. A
/// request that meets its close is lost to them.
const ONCE_IDLE_MAX: Duration = Duration::from_millis(2_500);

/// Connection without a request.
#[derive(Debug)]
struct IdleLink {
    link: HttpLink,
    since: BootTime,
    /// Time until which it may be used.
    until: BootTime,
}

/// Connections to one upstream.
#[derive(Debug)]
struct PoolRow {
    upstream: UpstreamId,
    /// The one used last stands last.
    idle: Vec<IdleLink>,
}

/// Kept connections of this node.
#[derive(Debug, Default)]
pub struct LinkPool {
    /// Sorted by upstream, without duplicates.
    rows: RefCell<Vec<PoolRow>>,
}

impl LinkPool {
    /// Takes a connection to `upstream` that can be used now. `once` asks for one that is not
    /// likely to be closed at this moment.
    pub fn take(&self, upstream: &UpstreamId, once: bool) -> Option<HttpLink> {
        let now = clock::now();
        let mut rows = self.rows.borrow_mut();
        let at = rows.binary_search_by(|row| row.upstream.cmp(upstream)).ok()?;
        let idle = &mut rows[at].idle;
        while let Some(link) = idle.pop() {
            let young = !once || now.since(link.since) < ONCE_IDLE_MAX;
            if now < link.until && young && link.link.is_open() {
                return Some(link.link);
            }
        }
        None
    }

    /// Connects to `upstream`.
    pub async fn connect(&self, address: SocketAddr) -> Result<HttpLink, ConnectError> {
        HttpLink::connect(address, CONNECT_TIMEOUT).await
    }

    /// Keeps `link` after a whole answer, for the time that the upstream named.
    pub fn keep(&self, upstream: &UpstreamId, link: HttpLink, keep_for: Option<Duration>) {
        let now = clock::now();
        let keep = keep_for.unwrap_or(KEEP_DEFAULT).saturating_sub(KEEP_MARGIN);
        let idle = IdleLink { link, since: now, until: now + keep };
        let mut rows = self.rows.borrow_mut();
        match rows.binary_search_by(|row| row.upstream.cmp(upstream)) {
            Ok(at) => rows[at].idle.push(idle),
            Err(at) => {
                rows.insert(at, PoolRow { upstream: upstream.clone(), idle: vec![idle] });
            }
        }
    }

    /// Closes connections that are closed by their upstream, or whose time has passed.
    pub fn sweep(&self) {
        let now = clock::now();
        let mut rows = self.rows.borrow_mut();
        for row in rows.iter_mut() {
            row.idle.retain(|idle| now < idle.until && idle.link.is_open());
        }
        rows.retain(|row| !row.idle.is_empty());
    }
}
