//! How many upstreams of which kind are ordered in each failure domain.
//!
//! Answers reclaims of all reclaimable upstreams of one failure domain with no others to be had for
//! a while: reclaimable ones are ordered so that the loss of any one domain leaves enough, and ones
//! on demand fill up what is missing as long as reclaimable ones are refused or still start.

use std::time::Duration;

use crate::{boot_time::BootTime, forward::catalog::ScalingRule, ids::DomainName};

/// Share of an upstream's time that the expected work may take. Engines that batch stay within the
/// users' targets up to about this load.
const WORK_SHARE: f64 = 0.55;
/// Reclaimable upstreams beyond the loss of one domain, as a share of what is needed. Reclaims of
/// two domains overlap at times, and reclaimable upstreams cost a fifth.
const SPARE_SHARE: f64 = 0.3;
/// Fewest upstreams that are needed, whatever the work.
const NEEDED_MIN: f64 = 3.0;
/// Time for which the highest need is kept, so that a short lull orders nothing down.
const NEED_KEPT: Duration = Duration::from_secs(12);
/// Time after which a refused order for reclaimable upstreams is repeated.
const REFUSED_PAUSE: Duration = Duration::from_millis(1_500);

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

/// One row of a [`CapacityPlan`]: what is in force for one kind in one domain.
#[derive(Clone, Debug)]
struct OrderRow {
    domain: DomainName,
    reclaimable: bool,
    /// Number that the platform accepted last under this plan.
    accepted: Option<u32>,
    /// Time of the last refusal, if nothing was accepted since.
    refused_at: Option<BootTime>,
}

/// Orders for one pool, kept by the node that holds the duty.
#[derive(Clone, Debug, Default)]
pub struct CapacityPlan {
    /// Sorted by domain and kind, without duplicates.
    rows: Vec<OrderRow>,
    /// Needs of the last [`NEED_KEPT`], the newest last.
    needs: Vec<(BootTime, f64)>,
}

impl CapacityPlan {
    fn row(&mut self, domain: &DomainName, reclaimable: bool) -> &mut OrderRow {
        let key = |row: &OrderRow| (row.domain.clone(), row.reclaimable);
        let at = match self.rows.binary_search_by_key(&(domain.clone(), reclaimable), key) {
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

    /// Notes that the platform accepted `order`.
    pub fn note_accepted(&mut self, order: &CapacityOrder) {
        let row = self.row(&order.domain, order.reclaimable);
        row.accepted = Some(order.count);
        row.refused_at = None;
    }

    /// Notes that the platform refused `order` at `now`, as none are to be had.
    pub fn note_refused(&mut self, order: &CapacityOrder, now: BootTime) {
        let row = self.row(&order.domain, order.reclaimable);
        row.accepted = None;
        row.refused_at = Some(now);
    }

    /// Forgets what was accepted, as another node may have ordered since.
    pub fn forget(&mut self) {
        self.rows.clear();
    }

    /// Upstreams needed for `work` upstream-milliseconds a second, by the highest need of late.
    fn needed(&mut self, work: f64, now: BootTime) -> f64 {
        self.needs.retain(|(at, _)| now.since(*at) < NEED_KEPT);
        self.needs.push((now, (work / 1_000.0 / WORK_SHARE).max(NEEDED_MIN)));
        self.needs.iter().map(|(_, need)| *need).fold(NEEDED_MIN, f64::max)
    }

    /// Lists the orders to send at `now`, given the stock of each domain and the work that arrives
    /// in upstream-milliseconds a second.
    #[must_use]
    pub fn next_orders(
        &mut self,
        rule: &ScalingRule,
        stocks: &[DomainStock],
        work: f64,
        now: BootTime,
    ) -> Vec<CapacityOrder> {
        let needed = self.needed(work, now);
        let wanted = want_reclaimable(rule, stocks.len(), needed);
        let on_demand = want_on_demand(rule, stocks, wanted, needed);
        let mut orders = Vec::new();
        for (stock, on_demand) in stocks.iter().zip(on_demand) {
            for (reclaimable, count, present) in
                [(true, wanted, stock.reclaimable), (false, on_demand, stock.on_demand)]
            {
                let row = self.row(&stock.domain, reclaimable);
                let paused = row.refused_at.is_some_and(|at| now.since(at) < REFUSED_PAUSE);
                // A count in force whose upstreams were reclaimed is ordered again.
                let lost = row.accepted == Some(count) && present < count && row.lost(now);
                if !paused && (row.accepted != Some(count) || lost) {
                    orders.push(CapacityOrder {
                        domain: stock.domain.clone(),
                        reclaimable,
                        count,
                    });
                }
            }
        }
        // Ones on demand that go are ordered down last, after what replaces them was ordered.
        orders.sort_by_key(|order| !order.reclaimable);
        orders
    }
}

impl OrderRow {
    /// Whether upstreams of an accepted order are missing for so long that it has to be repeated.
    fn lost(&mut self, now: BootTime) -> bool {
        match self.refused_at {
            Some(since) => now.since(since) >= REFUSED_PAUSE,
            None => {
                self.refused_at = Some(now);
                false
            }
        }
    }
}

/// Reclaimable upstreams for each domain: the loss of one domain leaves what is needed.
fn want_reclaimable(rule: &ScalingRule, domains: usize, needed: f64) -> u32 {
    #[expect(clippy::cast_precision_loss, reason = "failure domains are few")]
    let others = domains.saturating_sub(1).max(1) as f64;
    let each = (needed * (1.0 + SPARE_SHARE) / others).ceil();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "bounded by the rule on both sides"
    )]
    let each = each.clamp(f64::from(rule.min), f64::from(rule.max)) as u32;
    each
}

/// Upstreams on demand for each domain, in the order of `stocks`: what the reclaimable ones that
/// serve now would leave missing after the loss of their largest domain, cheapest domains first.
fn want_on_demand(
    rule: &ScalingRule,
    stocks: &[DomainStock],
    reclaimable: u32,
    needed: f64,
) -> Vec<u32> {
    let serving: u32 = stocks.iter().map(|stock| stock.reclaimable).sum();
    let largest = stocks.iter().map(|stock| stock.reclaimable).max().unwrap_or(0);
    let mut missing = needed - f64::from(serving - largest);
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
            let room = rule.max.saturating_sub(reclaimable.max(stocks[*index].reclaimable));
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
