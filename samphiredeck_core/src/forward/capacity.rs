//! How many upstreams of which kind are ordered in each failure domain.
//!
//! Answers reclaims of all reclaimable upstreams of one failure domain, several in a row, with no
//! others to be had for a while: reclaimable ones are ordered so that the loss of two domains leaves
//! enough, and ones on demand fill up a part of what the next loss would leave missing.

use std::time::Duration;

use crate::{boot_time::BootTime, forward::catalog::ScalingRule, ids::DomainName};

/// Failure domains whose loss the reclaimable upstreams bear without others.
const LOST_DOMAINS: usize = 2;
/// Reclaimable upstreams in each domain beyond those: they cost a fifth of those on demand.
const SPARE_EACH: f64 = 1.0;
/// Share of the largest domain's reclaimable upstreams that ones on demand make up for before it is
/// reclaimed. The rest is ordered then.
const INSURED_SHARE: f64 = 0.5;
/// Fewest upstreams that are needed, whatever the work.
const NEEDED_MIN: f64 = 2.0;
/// Share of the upstreams found at the start that is taken for needed until the work is known.
const FOUND_SHARE: f64 = 0.5;
/// Time for which what was found at the start counts.
const FOUND_KEPT: Duration = Duration::from_secs(25);
/// Time for which the highest need is kept, so that a short lull orders nothing down.
const NEED_KEPT: Duration = Duration::from_secs(8);
/// Time after which a refused order for reclaimable upstreams is repeated. Reclaims follow each
/// other closely, and reclaimable upstreams may be had for a second only in between.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);
/// Time beyond the declared start-up after which ordered upstreams that never served are ordered
/// again.
const BOOT_MARGIN: Duration = Duration::from_secs(2);
/// Time between two orders of the same number.
const REORDER_PAUSE: Duration = Duration::from_secs(1);

/// Upstreams of one failure domain that serve and do not leave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainStock {
    /// Failure domain.
    pub domain: DomainName,
    /// Reclaimable ones.
    pub reclaimable: u32,
    /// Those on demand.
    pub on_demand: u32,
}

/// Number of upstreams of one kind that a failure domain should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityOrder {
    /// Failure domain.
    pub domain: DomainName,
    /// Kind.
    pub reclaimable: bool,
    /// Number.
    pub count: u32,
}

/// Order that the platform accepted.
#[derive(Clone, Copy, Debug)]
struct AcceptedOrder {
    count: u32,
    at: BootTime,
    /// Whether all of them have served since.
    served: bool,
}

/// One row of a [`CapacityPlan`]: what is in force for one kind in one domain.
#[derive(Clone, Debug)]
struct OrderRow {
    domain: DomainName,
    reclaimable: bool,
    /// Last order that the platform accepted under this plan.
    accepted: Option<AcceptedOrder>,
    /// Time of the last refusal, if nothing was accepted since.
    refused_at: Option<BootTime>,
}

impl OrderRow {
    /// Whether `count` has to be ordered at `now`, when `present` upstreams serve.
    fn is_due(&mut self, count: u32, present: u32, boot: Duration, now: BootTime) -> bool {
        if self.refused_at.is_some_and(|at| now.since(at) < REFUSED_PAUSE) {
            return false;
        }
        let Some(accepted) = self.accepted.as_mut().filter(|order| order.count == count) else {
            return true;
        };
        accepted.served |= present >= count;
        let patience = if accepted.served { REORDER_PAUSE } else { boot + BOOT_MARGIN };
        present < count && now.since(accepted.at) >= patience
    }
}

/// Orders for one pool, kept by the node that holds the duty.
#[derive(Clone, Debug, Default)]
pub struct CapacityPlan {
    /// Sorted by domain and kind, without duplicates.
    rows: Vec<OrderRow>,
    /// Needs of the last [`NEED_KEPT`], the newest last.
    needs: Vec<(BootTime, f64)>,
    /// Need by what was found at the start, and when.
    found: Option<(BootTime, f64)>,
}

impl CapacityPlan {
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

    /// Notes that the platform accepted `order` at `now`.
    pub fn note_accepted(&mut self, order: &CapacityOrder, now: BootTime) {
        let row = self.row(&order.domain, order.reclaimable);
        let served = row.accepted.is_some_and(|old| old.served && old.count >= order.count);
        row.accepted = Some(AcceptedOrder { count: order.count, at: now, served });
        row.refused_at = None;
    }

    /// Notes that the platform refused `order` at `now`, as none are to be had.
    pub fn note_refused(&mut self, order: &CapacityOrder, now: BootTime) {
        self.row(&order.domain, order.reclaimable).refused_at = Some(now);
    }

    /// Upstreams needed, by the highest need of late, when the work that arrives needs `need`.
    fn needed(&mut self, stocks: &[DomainStock], need: f64, now: BootTime) -> f64 {
        let stock: u32 = stocks.iter().map(|stock| stock.on_demand + stock.reclaimable).sum();
        let found = self.found.get_or_insert((now, f64::from(stock) * FOUND_SHARE));
        let found = if now.since(found.0) < FOUND_KEPT { found.1 } else { 0.0 };
        self.needs.retain(|(at, _)| now.since(*at) < NEED_KEPT);
        self.needs.push((now, need.max(NEEDED_MIN)));
        self.needs.iter().map(|(_, need)| *need).fold(found, f64::max)
    }

    /// Lists the orders to send at `now`, given the stock of each domain and the upstreams that
    /// the work that arrives needs. Those for reclaimable upstreams come first.
    #[must_use]
    pub fn next_orders(
        &mut self,
        rule: &ScalingRule,
        stocks: &[DomainStock],
        need: f64,
        now: BootTime,
    ) -> Vec<CapacityOrder> {
        let needed = self.needed(stocks, need, now);
        let reclaimable = want_reclaimable(rule, stocks.len(), needed);
        let on_demand = want_on_demand(rule, stocks, needed);
        let mut orders = Vec::new();
        for (stock, on_demand) in stocks.iter().zip(on_demand) {
            let reclaimable = reclaimable.min(rule.max - on_demand);
            let kinds =
                [(true, reclaimable, stock.reclaimable), (false, on_demand, stock.on_demand)];
            for (kind, count, present) in kinds {
                let row = self.row(&stock.domain, kind);
                if row.is_due(count, present, rule.boot, now) {
                    let domain = stock.domain.clone();
                    orders.push(CapacityOrder { domain, reclaimable: kind, count });
                }
            }
        }
        orders.sort_by_key(|order| !order.reclaimable);
        orders
    }
}

/// Reclaimable upstreams for each domain.
fn want_reclaimable(rule: &ScalingRule, domains: usize, needed: f64) -> u32 {
    #[expect(clippy::cast_precision_loss, reason = "failure domains are few")]
    let others = domains.saturating_sub(LOST_DOMAINS).max(1) as f64;
    let each = (needed / others).ceil() + SPARE_EACH;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "bounded by the rule on both sides"
    )]
    let each = each.clamp(f64::from(rule.min), f64::from(rule.max)) as u32;
    each
}

/// Upstreams on demand for each domain, in the order of `stocks`: what the reclaimable ones that
/// serve now would leave missing after the loss of a part of their largest domain, cheapest domains
/// first.
fn want_on_demand(rule: &ScalingRule, stocks: &[DomainStock], needed: f64) -> Vec<u32> {
    let serving: u32 = stocks.iter().map(|stock| stock.reclaimable).sum();
    let largest = stocks.iter().map(|stock| stock.reclaimable).max().unwrap_or(0);
    let mut missing = needed - (f64::from(serving) - f64::from(largest) * INSURED_SHARE);
    let mut counts = vec![0; stocks.len()];
    let price = |index: usize| {
        let found = rule.prices.binary_search_by(|(domain, _)| domain.cmp(&stocks[index].domain));
        found.map_or(1.0, |at| rule.prices[at].1)
    };
    let mut cheapest: Vec<usize> = (0..stocks.len()).collect();
    cheapest.sort_by(|a, b| price(*a).total_cmp(&price(*b)));
    // One a domain in turn, so that no domain holds all of them.
    while missing > 0.0 {
        let before = missing;
        for index in &cheapest {
            let room = rule.max.saturating_sub(stocks[*index].reclaimable);
            if missing > 0.0 && counts[*index] < room {
                counts[*index] += 1;
                missing -= 1.0;
            }
        }
        if missing >= before {
            break;
        }
    }
    counts
}
