//! Tracks which software versions have served a pool.
//!
//! Answers the load pattern of a release or a loss of nodes: callers resume streams at nodes that
//! did not begin them. Where a pool had one version for longer than any stream lasts, a stream can
//! only have begun at that one, whichever node relayed it and whether or not that node is alive.
//!
//! Nodes learn of a version at different times. New streams avoid one until every node whose list counts as
//! current knows of it, so that none infers another version for them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    boot_time::BootTime,
    ids::{PoolName, SoftwareVersion},
};

/// Maximum gap between two observations within which no version can have joined and left unseen:
/// less than the time for which the platform lists an upstream that fell silent.
const UNOBSERVED_MAX: Duration = Duration::from_millis(2_500);
/// Maximum time from the query for a list to its response.
const QUERY_TIME_MAX: Duration = Duration::from_secs(1);
/// Maximum gap between the last observation that other nodes have published and the first one of a
/// node that has just started. Nodes that were alive in between have published since.
const BRIDGED_MAX: Duration = Duration::from_secs(10);
/// Maximum time from the first event of a stream to its last resumption. Callers that wait longer
/// are refused if nobody has kept the origin of their stream.
const SPAN_MAX: Duration = Duration::from_secs(300);
/// Minimum of that time, since a node that has just started does not know how long the callers of
/// earlier nodes wait.
const SPAN_MIN: Duration = Duration::from_secs(15);
/// Allowance for the time that a request of a caller is under way.
const SPAN_MARGIN: Duration = Duration::from_secs(1);

/// Version of a pool.
#[derive(Clone, Debug)]
struct ObservedVersion {
    pool: PoolName,
    software: SoftwareVersion,
    /// Time of the last query that listed it.
    seen_at: BootTime,
    /// Earliest time at which it is known to have been listed. Lists that are queried later hold it.
    joined_by: BootTime,
}

/// Versions that a node has observed, for nodes that start later. Times are those of the store's
/// clock in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedHistory {
    /// Time since which `versions` holds every version that served.
    pub complete_since_ms: i64,
    /// Time of the last observation.
    pub observed_ms: i64,
    /// Longest time for which a stream may be resumed, in milliseconds.
    pub span_ms: u64,
    /// Versions with the time at which each was last listed.
    pub versions: Vec<(PoolName, SoftwareVersion, i64)>,
}

/// Span of time in which a node has observed every version that served.
#[derive(Clone, Copy, Debug)]
struct ObservedSpan {
    since: BootTime,
    until: BootTime,
}

/// Versions of the upstreams that were listed.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Sorted by pool and version, without duplicates.
    rows: Vec<ObservedVersion>,
    /// Time since which `rows` holds every version that served.
    complete_since: Option<BootTime>,
    observed_at: Option<BootTime>,
    /// Spans that other nodes have observed completely, until this node has observed the list itself.
    inherited: Vec<ObservedSpan>,
    /// Longest time that callers of resumable streams wait. At most [`SPAN_MAX`].
    span: Duration,
}

impl VersionHistory {
    /// Records a resumable stream whose caller waits for `time_limit`.
    pub fn record_stream(&mut self, time_limit: Duration) {
        self.span = self.span.max(time_limit + SPAN_MARGIN).min(SPAN_MAX);
    }

    /// Records the upstreams that were listed by a query which was sent at `at` and answered at `now`.
    pub fn observe<'a>(
        &mut self,
        listed: impl Iterator<Item = (&'a PoolName, &'a SoftwareVersion)>,
        at: BootTime,
        now: BootTime,
    ) {
        match self.observed_at {
            None => self.complete_since = self.complete_since.or(Some(at)),
            Some(before) if at.since(before) > UNOBSERVED_MAX => self.complete_since = Some(at),
            Some(_) => {}
        }
        self.observed_at = self.observed_at.max(Some(at));
        for span in std::mem::take(&mut self.inherited) {
            self.extend_back(span);
        }
        for (pool, software) in listed {
            self.record(pool, software, at, now);
        }
        self.rows.retain(|row| at.since(row.seen_at) <= SPAN_MAX);
    }

    fn record(
        &mut self,
        pool: &PoolName,
        software: &SoftwareVersion,
        seen_at: BootTime,
        joined_by: BootTime,
    ) {
        let key = (pool, software);
        match self.rows.binary_search_by(|row| (&row.pool, &row.software).cmp(&key)) {
            Ok(at) => {
                let row = &mut self.rows[at];
                row.seen_at = row.seen_at.max(seen_at);
                row.joined_by = row.joined_by.min(joined_by);
            }
            Err(at) => {
                let (pool, software) = (pool.clone(), software.clone());
                self.rows.insert(at, ObservedVersion { pool, software, seen_at, joined_by });
            }
        }
    }

    /// Records that no node has served before `now`, as at the start of the whole system.
    pub fn record_first_start(&mut self) {
        self.complete_since = Some(BootTime::default());
    }

    /// Adds what another node has published. `to_boot` converts times of the store's clock.
    pub fn merge(&mut self, published: &PublishedHistory, to_boot: impl Fn(i64) -> BootTime) {
        for (pool, software, seen_ms) in &published.versions {
            let seen_at = to_boot(*seen_ms);
            self.record(pool, software, seen_at, seen_at + QUERY_TIME_MAX);
        }
        self.span = self.span.max(Duration::from_millis(published.span_ms)).min(SPAN_MAX);
        let (since, until) = (to_boot(published.complete_since_ms), to_boot(published.observed_ms));
        let span = ObservedSpan { since, until };
        if self.observed_at.is_none() {
            self.inherited.push(span);
        } else {
            self.extend_back(span);
        }
    }

    /// Extends the complete time of this node by `span`, if the two are not too far apart.
    fn extend_back(&mut self, span: ObservedSpan) {
        if let Some(own_since) = self.complete_since
            && own_since.since(span.until) <= BRIDGED_MAX
        {
            self.complete_since = Some(own_since.min(span.since));
        }
    }

    /// History for other nodes, if there is any. `to_store` converts to the store's clock.
    #[must_use]
    pub fn publish(&self, to_store: impl Fn(BootTime) -> Option<i64>) -> Option<PublishedHistory> {
        let version = |row: &ObservedVersion| {
            Some((row.pool.clone(), row.software.clone(), to_store(row.seen_at)?))
        };
        Some(PublishedHistory {
            complete_since_ms: to_store(self.complete_since?)?,
            observed_ms: to_store(self.observed_at?)?,
            span_ms: u64::try_from(self.span.as_millis()).unwrap_or(u64::MAX),
            versions: self.rows.iter().filter_map(version).collect(),
        })
    }

    /// Time of the query that returned the current list, if there is one.
    #[must_use]
    pub fn observed_at(&self) -> Option<BootTime> {
        self.observed_at
    }

    /// Versions of `pool` of which nodes with a list that counts as current at `now` may not know yet.
    #[must_use]
    pub fn joining(&self, pool: &PoolName, now: BootTime) -> Vec<SoftwareVersion> {
        let is_joining = |row: &&ObservedVersion| {
            row.pool == *pool && now.since(row.joined_by) <= UNOBSERVED_MAX
        };
        self.rows.iter().filter(is_joining).map(|row| row.software.clone()).collect()
    }

    /// Time from the first event of a stream to its last resumption. `timeout` is the longest one of a
    /// resumable route.
    fn stream_span(&self, timeout: Duration) -> Duration {
        self.span.max(timeout + SPAN_MARGIN).clamp(SPAN_MIN, SPAN_MAX)
    }

    /// Versions at which streams may have begun that may be resumed at `now`, as far as this node knows, with
    /// duplicates if several of `pools` have the same one.
    pub fn known_versions(
        &self,
        pools: &[PoolName],
        timeout: Duration,
        now: BootTime,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let span = self.stream_span(timeout);
        let recent = move |row: &&ObservedVersion| {
            now.since(row.seen_at) <= span && pools.contains(&row.pool)
        };
        self.rows.iter().filter(recent).map(|row| &row.software)
    }

    /// The version at which every stream that may be resumed at `now` began, if it is the same one
    /// in all `pools` and known for certain. `timeout` is the longest one of a resumable route.
    #[must_use]
    pub fn only_version(
        &self,
        pools: &[PoolName],
        timeout: Duration,
        now: BootTime,
    ) -> Option<&SoftwareVersion> {
        let span = self.stream_span(timeout);
        let is_current = self.observed_at.is_some_and(|at| now.since(at) <= UNOBSERVED_MAX);
        let is_complete = self.complete_since.is_some_and(|since| since <= now - span);
        if !is_current || !is_complete {
            return None;
        }
        let mut versions = self.known_versions(pools, timeout, now);
        let first = versions.next()?;
        versions.all(|software| software == first).then_some(first)
    }
}
