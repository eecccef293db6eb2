//! Decides how many reclaimable and on-demand upstreams to order in each failure domain.
//!
//! The platform may reclaim all reclaimable upstreams of a failure domain at once, in several
//! domains in a row, and may have no replacements for a while. Reclaimable upstreams are therefore
//! ordered so that enough remain after the loss of two domains, and on-demand upstreams cover part
//! of the shortfall that the next loss would cause. While the platform refuses replacements,
//! further losses are likely before any can be made up for, and on-demand upstreams take as long to
//! start as the next two losses may take to come: these are covered in advance.

use std::time::Duration;

use crate::{boot_time::BootTime, forward::catalog::ScalingRule, ids::DomainName};

/// Number of failure domains whose loss the reclaimable upstreams can absorb without on-demand
/// ones.
const TOLERATED_DOMAIN_LOSSES: usize = 2;
/// Reclaimable upstreams in each domain beyond those. They cost a fifth of the on-demand price.
const SPARE_PER_DOMAIN: f64 = 1.0;
/// Share of the largest domain's reclaimable upstreams that on-demand ones replace in advance. The
/// rest is ordered once the domain is reclaimed.
const COVERED_SHARE: f64 = 0.5;
/// The same while the platform refuses replacements: one domain, and half of another.
const COVERED_SHARE_REFUSED: f64 = 1.5;
/// Time since the last refusal of reclaimable upstreams for which further refusals are expected.
const REFUSAL_LIFETIME: Duration = Duration::from_secs(3);
/// Minimum number of upstreams, whatever the demand.
const MIN_NEEDED: f64 = 2.0;
/// Share of the upstreams present at startup that is assumed to be needed until demand is known.
const INITIAL_SHARE: f64 = 0.5;
/// Time after startup for which that assumption is used.
const INITIAL_LIFETIME: Duration = Duration::from_secs(25);
/// Time for which the peak need is kept, so that a short lull does not reduce the orders.
const NEED_LIFETIME: Duration = Duration::from_secs(8);
/// Retry interval for refused orders of reclaimable upstreams. Reclaims follow each other closely,
/// and between them reclaimable upstreams may be available for only a second.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);
/// Time beyond the declared boot time after which ordered upstreams that never served are ordered
/// again.
const BOOT_MARGIN: Duration = Duration::from_secs(2);
/// Minimum time between two orders of the same count.
const REORDER_PAUSE: Duration = Duration::from_secs(1);

/// Upstreams of one failure domain that are serving and not leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainCapacity {
    /// Failure domain.
    pub domain: DomainName,
    /// Number of reclaimable upstreams.
    pub reclaimable: u32,
    /// Number of on-demand upstreams.
    pub on_demand: u32,
}

/// Desired number of upstreams of one kind in a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityOrder {
    /// Failure domain.
    pub domain: DomainName,
    /// Whether the order is for reclaimable upstreams rather than on-demand ones.
    pub reclaimable: bool,
    /// Desired number of upstreams.
    pub count: u32,
}

/// Order accepted by the platform.
#[derive(Clone, Copy, Debug)]
struct AcceptedOrder {
    count: u32,
    at: BootTime,
    /// Whether all ordered upstreams were serving together at some time since.
    served: bool,
}

/// One row of a [`CapacityPlanner`]: the order state of one kind of upstream in one domain.
#[derive(Clone, Debug)]
struct OrderRow {
    domain: DomainName,
    reclaimable: bool,
    /// Last order that the platform accepted from this planner.
    accepted: Option<AcceptedOrder>,
    /// Time of the last refusal, unless an order was accepted since.
    refused_at: Option<BootTime>,
}

impl OrderRow {
    /// Whether `count` has to be ordered at `now`, given that `present` upstreams are serving. Also
    /// records whether all ordered upstreams have served.
    fn is_due(&mut self, count: u32, present: u32, boot_time: Duration, now: BootTime) -> bool {
        if self.refused_at.is_some_and(|at| now.since(at) < REFUSED_PAUSE) {
            return false;
        }
        let Some(accepted) = self.accepted.as_mut().filter(|order| order.count == count) else {
            return true;
        };
        accepted.served |= present >= count;
        let reorder_after = if accepted.served { REORDER_PAUSE } else { boot_time + BOOT_MARGIN };
        present < count && now.since(accepted.at) >= reorder_after
    }
}

/// Plans the orders of one pool, on the node that holds the leader lease.
#[derive(Clone, Debug, Default)]
pub struct CapacityPlanner {
    /// Sorted by domain and kind, without duplicates.
    rows: Vec<OrderRow>,
    /// Needs over the last [`NEED_LIFETIME`], newest last.
    needs: Vec<(BootTime, f64)>,
    /// Time of startup and the need estimated from the upstreams present then.
    initial_need: Option<(BootTime, f64)>,
}

impl CapacityPlanner {
    fn row(&mut self, domain: &DomainName, reclaimable: bool) -> &mut OrderRow {
        let found = self
            .rows
            .binary_search_by(|row| (&row.domain, row.reclaimable).cmp(&(domain, reclaimable)));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let domain = domain.clone();
                let row = OrderRow { domain, reclaimable, accepted: None, refused_at: None };
                self.rows.insert(at, row);
                at
            }
        };
        &mut self.rows[at]
    }

    /// Records that the platform accepted `order` at `now`.
    pub fn record_accepted(&mut self, order: &CapacityOrder, now: BootTime) {
        let row = self.row(&order.domain, order.reclaimable);
        let served = row.accepted.is_some_and(|old| old.served && old.count >= order.count);
        row.accepted = Some(AcceptedOrder { count: order.count, at: now, served });
        row.refused_at = None;
    }

    /// Records that the platform refused `order` at `now` because no upstreams are available.
    pub fn record_refused(&mut self, order: &CapacityOrder, now: BootTime) {
        self.row(&order.domain, order.reclaimable).refused_at = Some(now);
    }

    /// Number of upstreams needed: the recent peak, given that the current demand needs `need`.
    fn needed(&mut self, capacities: &[DomainCapacity], need: f64, now: BootTime) -> f64 {
        let capacity: u32 =
            capacities.iter().map(|capacity| capacity.on_demand + capacity.reclaimable).sum();
        let initial = self.initial_need.get_or_insert((now, f64::from(capacity) * INITIAL_SHARE));
        let initial = if now.since(initial.0) < INITIAL_LIFETIME { initial.1 } else { 0.0 };
        self.needs.retain(|(at, _)| now.since(*at) < NEED_LIFETIME);
        self.needs.push((now, need.max(MIN_NEEDED)));
        self.needs.iter().map(|(_, need)| *need).fold(initial, f64::max)
    }

    /// Whether the platform has refused reclaimable upstreams lately.
    fn lacks_replacements(&self, now: BootTime) -> bool {
        let mut refusals = self.rows.iter().filter(|row| row.reclaimable);
        refusals.any(|row| row.refused_at.is_some_and(|at| now.since(at) < REFUSAL_LIFETIME))
    }

    /// Returns the orders to send at `now`, given the capacity of each domain and the number of
    /// upstreams that the current demand needs. Orders for reclaimable upstreams come first.
    #[must_use]
    pub fn next_orders(
        &mut self,
        rule: &ScalingRule,
        capacities: &[DomainCapacity],
        need: f64,
        now: BootTime,
    ) -> Vec<CapacityOrder> {
        let needed = self.needed(capacities, need, now);
        let reclaimable = reclaimable_per_domain(rule, capacities.len(), needed);
        let covered =
            if self.lacks_replacements(now) { COVERED_SHARE_REFUSED } else { COVERED_SHARE };
        let on_demand = on_demand_per_domain(rule, capacities, needed, covered);
        let mut orders = Vec::new();
        for (capacity, on_demand) in capacities.iter().zip(on_demand) {
            let reclaimable = reclaimable.min(rule.max - on_demand);
            let kinds =
                [(true, reclaimable, capacity.reclaimable), (false, on_demand, capacity.on_demand)];
            for (kind, count, present) in kinds {
                let row = self.row(&capacity.domain, kind);
                if row.is_due(count, present, rule.boot_time, now) {
                    let domain = capacity.domain.clone();
                    orders.push(CapacityOrder { domain, reclaimable: kind, count });
                }
            }
        }
        orders.sort_by_key(|order| !order.reclaimable);
        orders
    }
}

/// Number of reclaimable upstreams to order in each domain.
fn reclaimable_per_domain(rule: &ScalingRule, domains: usize, needed: f64) -> u32 {
    #[expect(clippy::cast_precision_loss, reason = "failure domains are few")]
    let remaining = domains.saturating_sub(TOLERATED_DOMAIN_LOSSES).max(1) as f64;
    let per_domain = (needed / remaining).ceil() + SPARE_PER_DOMAIN;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "bounded by the rule on both sides"
    )]
    let per_domain = per_domain.clamp(f64::from(rule.min), f64::from(rule.max)) as u32;
    per_domain
}

/// Number of on-demand upstreams to order in each domain, in the order of `capacities`. Covers the
/// shortfall that the loss of `covered` times the largest domain's reclaimable upstreams would
/// leave, starting with the cheapest domains.
fn on_demand_per_domain(
    rule: &ScalingRule,
    capacities: &[DomainCapacity],
    needed: f64,
    covered: f64,
) -> Vec<u32> {
    let serving: u32 = capacities.iter().map(|capacity| capacity.reclaimable).sum();
    let largest = capacities.iter().map(|capacity| capacity.reclaimable).max().unwrap_or(0);
    let remaining = (f64::from(serving) - f64::from(largest) * covered).max(0.0);
    let mut shortfall = needed - remaining;
    let mut counts = vec![0; capacities.len()];
    let price = |index: usize| {
        let found =
            rule.prices.binary_search_by(|(domain, _)| domain.cmp(&capacities[index].domain));
        found.map_or(1.0, |at| rule.prices[at].1)
    };
    let mut cheapest: Vec<usize> = (0..capacities.len()).collect();
    cheapest.sort_by(|a, b| price(*a).total_cmp(&price(*b)));
    // Assigns one upstream per domain in turn, so that no domain holds all of them.
    while shortfall > 0.0 {
        let before = shortfall;
        for index in &cheapest {
            let room = rule.max.saturating_sub(capacities[*index].reclaimable);
            if shortfall > 0.0 && counts[*index] < room {
                counts[*index] += 1;
                shortfall -= 1.0;
            }
        }
        if shortfall >= before {
            break;
        }
    }
    counts
}
