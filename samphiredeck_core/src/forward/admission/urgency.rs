//! Urgency of requests among those of the same pool, and callers that come back.
//!
//! Answers configurations that use any of the priorities: what counts in a shortage is how many more urgent kinds compete.

use std::time::Duration;

use crate::{boot_time::BootTime, ids::PoolName};

/// Number of priorities.
const PRIORITIES: usize = 10;
/// Time after its last request for which a priority counts.
const LIFETIME: Duration = Duration::from_secs(5);
/// Part of the longest time to a deadline that requests of a route state, below which a request comes from a caller that
/// has spent time on an earlier attempt.
const RETURNED_BELOW: f64 = 0.97;

/// Number of more urgent priorities that compete for the same pool. 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct UrgencyRank(pub u32);

#[derive(Clone, Debug)]
struct PoolUrgencies {
    pool: PoolName,
    /// Time and latency target of the last request, by priority.
    seen: [Option<(BootTime, Duration)>; PRIORITIES],
}

#[derive(Clone, Debug)]
struct RouteDeadline {
    route: String,
    longest: Duration,
}

/// Priorities and deadlines of the requests that arrived at this node.
#[derive(Clone, Debug, Default)]
pub struct UrgencyTable {
    /// Sorted by pool, without duplicates.
    pools: Vec<PoolUrgencies>,
    /// Sorted by route, without duplicates.
    routes: Vec<RouteDeadline>,
}

impl UrgencyTable {
    /// Records a request for `pool` at `now`. Returns its rank, and the least latency target of those that are as urgent or
    /// more urgent.
    pub fn record(
        &mut self,
        pool: &PoolName,
        (priority, latency_target): (u8, Duration),
        now: BootTime,
    ) -> (UrgencyRank, Duration) {
        let at = match self.pools.binary_search_by(|row| row.pool.cmp(pool)) {
            Ok(at) => at,
            Err(at) => {
                let row = PoolUrgencies { pool: pool.clone(), seen: [None; PRIORITIES] };
                self.pools.insert(at, row);
                at
            }
        };
        let priority = usize::from(priority).min(PRIORITIES - 1);
        let seen = &mut self.pools[at].seen;
        seen[priority] = Some((now, latency_target));
        let recent = seen[..priority].iter().flatten();
        let recent = recent.filter(|(at, _)| now.since(*at) < LIFETIME);
        let (rank, least) = recent
            .fold((0, latency_target), |(rank, least), (_, target)| (rank + 1, least.min(*target)));
        (UrgencyRank(rank), least)
    }

    /// Records the time to the deadline that a request of `route` states. Returns whether its caller has come back.
    pub fn record_deadline(&mut self, route: &str, stated: Duration) -> bool {
        match self.routes.binary_search_by(|row| row.route.as_str().cmp(route)) {
            Ok(at) => {
                let longest = &mut self.routes[at].longest;
                *longest = (*longest).max(stated);
                stated < longest.mul_f64(RETURNED_BELOW)
            }
            Err(at) => {
                self.routes.insert(at, RouteDeadline { route: route.to_owned(), longest: stated });
                false
            }
        }
    }

    /// Keeps the routes for which `is_declared` holds.
    pub fn retain_routes(&mut self, is_declared: impl Fn(&str) -> bool) {
        self.routes.retain(|row| is_declared(&row.route));
    }
}
