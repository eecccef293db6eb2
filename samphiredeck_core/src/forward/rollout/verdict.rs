//! Judges a version by comparing it, route by route, with the one that serves the pool in the same seconds.
//!
//! A bad version fails in a tenth to all of its responses or is several times slower, from some moment on. So cumulative
//! sums are used that don't fall below zero: good responses of before don't outweigh bad ones of now. Several assumed
//! rates of failure run side by side. By Wald's inequality a sum of a good version passes `T` with a probability of at most
//! `exp(-T)` for each response at which it may begin; with `T = 12`, once in 160,000 responses on average. A version that
//! fails in 5% of its responses against none of the old one is missed for 300 responses on average, which are 15 bad ones.
//!
//! The rate of the old version is that of the last seconds, so that trouble of both raises what the new one may do.

use super::tally::{RouteReport, TIME_BUCKETS, TimeCounts, VersionTally};

/// Value of a sum at which the version is bad.
const THRESHOLD: f64 = 12.0;
/// The same for connections that ended. The crash of one upstream ends as many requests as it has slots, up to 16 in
/// the known deployments, and says little about its version: within [`CLOSED_PERIOD_MAX`] they add up to 55 at most.
const CLOSED_THRESHOLD: f64 = 60.0;
/// Maximum number of ended connections that count in one report period.
const CLOSED_PERIOD_MAX: f64 = 4.0;
/// Amounts by which a bad version may fail more often than the old one.
const FAILURE_EXCESS: [f64; 3] = [0.03, 0.1, 0.3];
/// Minimum rate of failures of a good version. Below, one failure would weigh too much.
const FAILURE_RATE_MIN: f64 = 0.01;
/// Weight that is left of the old version's counts after a report period.
const DECAY: f64 = 0.95;
/// The same for counts that show trouble as it begins. With the slower ones alone, a good version was left after half
/// a second in which both failed.
const FAST_DECAY: f64 = 0.5;
/// Number of responses as which the long-term rates of the old version count among the recent ones.
const LONG_TERM_WEIGHT: f64 = 20.0;
/// Part of the old version's responses that are as fast as the limit of slowness, before it is raised.
const FAST_PART: f64 = 0.8;
/// Buckets by which the limit of slowness is above those: a factor of 1.4 to 2.
const SLOW_BUCKETS: usize = 2;
/// Part of the responses by which a good version may be slow more often than the old one. Caches that are cold or
/// upstreams that are few cost that much.
const SLOW_TOLERANCE: f64 = 0.1;
/// Amount by which a bad version is slow more often than that.
const SLOW_EXCESS: f64 = 0.3;
/// Minimum number of responses of the old version for a limit of slowness.
const TIMES_MIN: f64 = 20.0;

/// What a version is worse in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadAspect {
    /// Errors and missing responses.
    Failures,
    /// Connections that ended before the response.
    Closed,
    /// Time to the first event, or to the whole response.
    Start,
    /// Time between events.
    Gaps,
}

/// Evidence against a version.
#[derive(Clone, Debug, PartialEq)]
pub struct BadVerdict {
    /// Route on which it is worse.
    pub route: String,
    /// What it is worse in.
    pub aspect: BadAspect,
    /// Value of the sum.
    pub sum: f64,
    /// Rate that a good version was assumed to have.
    pub expected: f64,
}

/// Counts of the old version, weighted by age.
#[derive(Clone, Debug, Default)]
struct RecentTimes {
    recent: [f64; TIME_BUCKETS],
    all: [f64; TIME_BUCKETS],
}

impl RecentTimes {
    fn record(&mut self, times: &TimeCounts) {
        for bucket in 0..TIME_BUCKETS {
            let count = f64::from(times.count(bucket));
            self.recent[bucket] = self.recent[bucket] * DECAY + count;
            self.all[bucket] += count;
        }
    }

    /// First bucket that is slow, and the part of the old version's responses that are.
    fn limit(&self) -> Option<(usize, f64)> {
        let all: f64 = self.all.iter().sum();
        if all < TIMES_MIN {
            return None;
        }
        let weight = LONG_TERM_WEIGHT / all;
        let blended = |at: usize| self.recent[at] + self.all[at] * weight;
        let total: f64 = (0..TIME_BUCKETS).map(blended).sum();
        let mut sum = 0.0;
        let mut fast = 0;
        while fast < TIME_BUCKETS - 1 {
            sum += blended(fast);
            if sum >= total * FAST_PART {
                break;
            }
            fast += 1;
        }
        let limit = fast + SLOW_BUCKETS;
        let slow: f64 = (limit.min(TIME_BUCKETS)..TIME_BUCKETS).map(blended).sum();
        Some((limit, slow / total))
    }
}

/// Sequential test of the rate of one kind of event.
#[derive(Clone, Copy, Debug, Default)]
struct RateTest {
    sum: f64,
}

impl RateTest {
    /// Adds `bad` of `count` responses. A good version has at most the rate `good_rate`, a bad one `bad_rate`.
    fn record(&mut self, bad: f64, count: f64, good_rate: f64, bad_rate: f64) {
        let gain = bad * (bad_rate / good_rate).ln()
            + (count - bad) * ((1.0 - bad_rate) / (1.0 - good_rate)).ln();
        self.sum = (self.sum + gain).max(0.0);
    }
}

/// Rate of an event, over the last seconds and since the begin.
#[derive(Clone, Copy, Debug, Default)]
struct RecentRate {
    recent: (f64, f64),
    newest: (f64, f64),
    all: (f64, f64),
}

impl RecentRate {
    fn record(&mut self, bad: f64, count: f64) {
        self.recent = (self.recent.0 * DECAY + bad, self.recent.1 * DECAY + count);
        self.newest = (self.newest.0 * FAST_DECAY + bad, self.newest.1 * FAST_DECAY + count);
        self.all = (self.all.0 + bad, self.all.1 + count);
    }

    /// Rate that the version probably does not exceed: one standard deviation above the estimate.
    fn upper(&self) -> f64 {
        let long_term = (self.all.0 + 0.5) / (self.all.1 + 50.0);
        let upper_of = |(bad, responses): (f64, f64)| {
            let count = responses + LONG_TERM_WEIGHT;
            let rate = (bad + LONG_TERM_WEIGHT * long_term) / count;
            // Without any failure, the deviation is that of the assumed long-term rate, and says nothing.
            if bad < 0.5 { rate } else { rate + (rate * (1.0 - rate) / count).sqrt() }
        };
        upper_of(self.recent).max(upper_of(self.newest)).clamp(FAILURE_RATE_MIN, 0.9)
    }
}

#[derive(Clone, Debug, Default)]
struct RouteJudge {
    route: String,
    failures: RecentRate,
    closed: RecentRate,
    starts: RecentTimes,
    gaps: RecentTimes,
    failure_tests: [RateTest; FAILURE_EXCESS.len()],
    closed_tests: [RateTest; FAILURE_EXCESS.len()],
    start_test: RateTest,
    gap_test: RateTest,
}

fn test_failures(tests: &mut [RateTest], rate: &RecentRate, bad: f64, count: f64) {
    let good_rate = rate.upper();
    for (test, excess) in tests.iter_mut().zip(FAILURE_EXCESS) {
        test.record(bad, count, good_rate, (good_rate + excess).min(0.95));
    }
}

fn test_times(test: &mut RateTest, base: &RecentTimes, times: &TimeCounts) -> f64 {
    let Some((limit, slow)) = base.limit() else { return 0.0 };
    let good_rate = (slow + SLOW_TOLERANCE).min(0.6);
    let count: f64 = (0..TIME_BUCKETS).map(|at| f64::from(times.count(at))).sum();
    let bad: f64 =
        (limit.min(TIME_BUCKETS)..TIME_BUCKETS).map(|at| f64::from(times.count(at))).sum();
    test.record(bad, count, good_rate, good_rate + SLOW_EXCESS);
    good_rate
}

impl RouteJudge {
    /// Applies the outcomes of one period.
    fn record(&mut self, base: &VersionTally, new: &VersionTally) -> Option<BadVerdict> {
        let ended = f64::from(base.ended());
        self.failures.record(f64::from(base.failed), ended);
        self.closed.record(f64::from(base.closed), ended);
        self.starts.record(&base.starts);
        self.gaps.record(&base.gaps);
        let count = f64::from(new.ended());
        test_failures(&mut self.failure_tests, &self.failures, f64::from(new.failed), count);
        let closed = f64::from(new.closed).min(CLOSED_PERIOD_MAX);
        test_failures(&mut self.closed_tests, &self.closed, closed, count);
        let start_rate = test_times(&mut self.start_test, &self.starts, &new.starts);
        let gap_rate = test_times(&mut self.gap_test, &self.gaps, &new.gaps);
        let highest = |tests: &[RateTest]| tests.iter().map(|test| test.sum).fold(0.0, f64::max);
        let sums = [
            (BadAspect::Failures, highest(&self.failure_tests), THRESHOLD, self.failures.upper()),
            (BadAspect::Closed, highest(&self.closed_tests), CLOSED_THRESHOLD, self.closed.upper()),
            (BadAspect::Start, self.start_test.sum, THRESHOLD, start_rate),
            (BadAspect::Gaps, self.gap_test.sum, THRESHOLD, gap_rate),
        ];
        let (aspect, sum, _, expected) = sums.into_iter().find(|(_, sum, at, _)| sum >= at)?;
        Some(BadVerdict { route: self.route.clone(), aspect, sum, expected })
    }
}

/// Judge of a version, over all routes of its pool.
#[derive(Clone, Debug, Default)]
pub struct VersionJudge {
    /// Sorted by name.
    routes: Vec<RouteJudge>,
    verdict: Option<BadVerdict>,
    judged: u64,
}

impl VersionJudge {
    /// Applies the outcomes of one period at all nodes together.
    pub fn record(&mut self, period: &[RouteReport]) {
        for report in period {
            let found = self.routes.binary_search_by(|judge| judge.route.cmp(&report.route));
            let at = found.unwrap_or_else(|at| {
                let route = report.route.clone();
                self.routes.insert(at, RouteJudge { route, ..RouteJudge::default() });
                at
            });
            self.judged += u64::from(report.new.ended());
            let verdict = self.routes[at].record(&report.base, &report.new);
            self.verdict = self.verdict.take().or(verdict);
        }
    }

    /// Evidence against the version, if it is bad.
    #[must_use]
    pub fn verdict(&self) -> Option<&BadVerdict> {
        self.verdict.as_ref()
    }

    /// Number of responses of the new version that were judged.
    #[must_use]
    pub fn judged(&self) -> u64 {
        self.judged
    }
}
