//! Orders the requests of one node that wait until the limits of upstreams permit them.
//!
//! Answers the load pattern of a pool whose upstreams have named limits below the demand. A request
//! waits only if its turn comes in time; the others are refused at once, with times to return at that
//! are as far apart as the turns, so that they don't come back together.

use std::time::Duration;

use crate::{boot_time::BootTime, ids::PoolName};

/// Number of a waiting request. Later ones get larger numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketNumber(u64);

/// Request that waits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingRequest {
    pool: PoolName,
    /// 0 is the highest.
    priority: u8,
    number: TicketNumber,
}

/// Latest time at which a refused caller was asked to return.
#[derive(Clone, Debug)]
struct PlannedReturn {
    pool: PoolName,
    at: BootTime,
}

/// Waiting requests of a node.
#[derive(Clone, Debug, Default)]
pub struct LimitQueue {
    /// Sorted by pool, priority and number.
    waiting: Vec<WaitingRequest>,
    /// Sorted by pool, without duplicates.
    returns: Vec<PlannedReturn>,
    last_number: TicketNumber,
}

impl LimitQueue {
    /// Adds a request for `pool`.
    pub fn join(&mut self, pool: &PoolName, priority: u8) -> TicketNumber {
        self.last_number.0 += 1;
        let number = self.last_number;
        let request = WaitingRequest { pool: pool.clone(), priority, number };
        let at = self.waiting.partition_point(|other| *other < request);
        self.waiting.insert(at, request);
        number
    }

    /// Removes the request with the ticket `number`.
    pub fn leave(&mut self, number: TicketNumber) {
        self.waiting.retain(|request| request.number != number);
    }

    /// Number of requests for `pool` that come before the one with `priority` and the ticket
    /// `number`, or before a new one.
    #[must_use]
    pub fn count_ahead(&self, pool: &PoolName, priority: u8, number: Option<TicketNumber>) -> u32 {
        let from = self.waiting.partition_point(|other| other.pool < *pool);
        let is_ahead = |other: &&WaitingRequest| {
            other.pool == *pool
                && (other.priority < priority
                    || other.priority == priority
                        && number.is_none_or(|number| other.number < number))
        };
        let ahead = self.waiting[from..].iter().take_while(is_ahead).count();
        u32::try_from(ahead).unwrap_or(u32::MAX)
    }

    /// Plans the return of a caller that is refused at `now`. A turn for it comes at `earliest`, and
    /// one after each further `spacing`.
    pub fn plan_return(
        &mut self,
        pool: &PoolName,
        earliest: BootTime,
        spacing: Duration,
        now: BootTime,
    ) -> BootTime {
        self.returns.retain(|planned| now <= planned.at);
        match self.returns.binary_search_by(|planned| planned.pool.cmp(pool)) {
            Ok(row) => {
                let at = earliest.max(self.returns[row].at + spacing);
                self.returns[row].at = at;
                at
            }
            Err(row) => {
                self.returns.insert(row, PlannedReturn { pool: pool.clone(), at: earliest });
                earliest
            }
        }
    }
}
