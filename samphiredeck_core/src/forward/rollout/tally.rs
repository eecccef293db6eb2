//! Outcomes of requests by route and version, as counts.
//!
//! Each node sees a few requests a second, too few to judge a version. Counts of all nodes add up whatever the order in
//! which messages arrive, and one message replaces those that were lost before it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of buckets of times: half octaves from 1 ms to 33 s.
pub const TIME_BUCKETS: usize = 30;

/// How a request at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// With its complete response.
    Complete,
    /// With an error of the upstream, or without a response in time.
    Failed,
    /// With the end of the connection. The crash of one upstream ends many requests at once.
    Closed,
}

/// Times, counted by half octaves. Trailing empty buckets are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeCounts(Vec<u32>);

impl TimeCounts {
    /// Counts `time`.
    pub fn record(&mut self, time: Duration) {
        let octaves = (time.as_secs_f64() * 1_000.0).max(1.0).log2();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the logarithm of a time from 1 ms on is small and not negative"
        )]
        let bucket = ((octaves * 2.0) as usize).min(TIME_BUCKETS - 1);
        if self.0.len() <= bucket {
            self.0.resize(bucket + 1, 0);
        }
        self.0[bucket] = self.0[bucket].saturating_add(1);
    }

    /// Count of `bucket`.
    #[must_use]
    pub fn count(&self, bucket: usize) -> u32 {
        self.0.get(bucket).copied().unwrap_or(0)
    }

    fn since(&self, before: &Self) -> Self {
        let counts = self.0.iter().enumerate().take(TIME_BUCKETS);
        Self(counts.map(|(at, count)| count.saturating_sub(before.count(at))).collect())
    }

    fn add(&mut self, other: &Self) {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        for (sum, count) in self.0.iter_mut().zip(&other.0) {
            *sum = sum.saturating_add(*count);
        }
    }
}

/// Outcomes of requests of one route at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionTally {
    /// Complete responses.
    pub complete: u32,
    /// Requests that ended with [`ResponseEnd::Failed`].
    pub failed: u32,
    /// Requests that ended with [`ResponseEnd::Closed`].
    pub closed: u32,
    /// Times to the first event of streams, and to the whole of other responses.
    pub starts: TimeCounts,
    /// Mean times between the events of streams.
    pub gaps: TimeCounts,
}

impl VersionTally {
    /// Counts the end of a request.
    pub fn record_end(&mut self, end: ResponseEnd) {
        let count = match end {
            ResponseEnd::Complete => &mut self.complete,
            ResponseEnd::Failed => &mut self.failed,
            ResponseEnd::Closed => &mut self.closed,
        };
        *count = count.saturating_add(1);
    }

    /// What was counted since `before`.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        Self {
            complete: self.complete.saturating_sub(before.complete),
            failed: self.failed.saturating_sub(before.failed),
            closed: self.closed.saturating_sub(before.closed),
            starts: self.starts.since(&before.starts),
            gaps: self.gaps.since(&before.gaps),
        }
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        self.complete = self.complete.saturating_add(other.complete);
        self.failed = self.failed.saturating_add(other.failed);
        self.closed = self.closed.saturating_add(other.closed);
        self.starts.add(&other.starts);
        self.gaps.add(&other.gaps);
    }

    /// Number of requests that ended.
    #[must_use]
    pub fn ended(&self) -> u32 {
        self.complete.saturating_add(self.failed).saturating_add(self.closed)
    }
}

/// Outcomes of the requests of one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteReport {
    /// Name of the route.
    pub route: String,
    /// At the version that serves the pool.
    pub base: VersionTally,
    /// At the new version.
    pub new: VersionTally,
}

impl RouteReport {
    /// What was counted since `before`.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        let route = self.route.clone();
        Self { route, base: self.base.since(&before.base), new: self.new.since(&before.new) }
    }
}
