//! Orders of capacity, which only the leader sends.

use std::time::Duration;

use rand::random_range;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        capacity::{CapacityOrder, CapacityPlanner, DomainCapacity},
        catalog::PoolRow,
        demand::part_lost_to_limit,
        leader::LEADER_CALL_TIMEOUT,
        pool_speed::PoolSpeed,
        upstreams::UpstreamRegistry,
    },
    ids::{DomainName, PoolName},
};
use samphiredeck_platform::orders::{
    OrderOutcome, OrderSender, decode_outcome, encode_capacity_order,
};
use serde_json::json;

use crate::forward::clock;

use super::{LeaderTasks, RETRY_DELAY, describe_outcome};

/// Interval between rounds of capacity orders.
const ORDER_PERIOD: Duration = Duration::from_millis(600);
/// Number of refused reclaimable orders in a round after which the remaining ones are skipped,
/// since no domain has capacity.
const REFUSALS_MAX: u32 = 2;
/// Time for which the upstream list must have been known before the first orders. Covers several
/// heartbeats of upstreams that start together with the nodes.
const LIST_SETTLE_TIME: Duration = Duration::from_secs(4);
/// Age of the upstream list from which no orders are placed.
const LIST_AGE_MAX: Duration = Duration::from_secs(3);

impl LeaderTasks {
    /// Orders capacity for each pool with a scaling rule.
    pub(super) async fn order_capacity(&mut self) {
        let now = clock::now();
        if now.since(self.last_order_round) < ORDER_PERIOD {
            return;
        }
        self.last_order_round = now;
        let Some(catalog) = self.node.state().catalog.clone() else { return };
        for pool in catalog.pools() {
            let mut orders = self.plan_orders(pool, now);
            let reclaimable = orders.iter().take_while(|order| order.reclaimable).count();
            // Each round starts with a random domain, since a refusal in one says little about the
            // others.
            let offset = random_range(0..reclaimable.max(1));
            orders[..reclaimable].rotate_left(offset);
            let mut refusals = 0;
            for order in orders {
                if order.reclaimable && refusals >= REFUSALS_MAX {
                    continue;
                }
                match self.send_order(pool, &order).await {
                    Some(OrderOutcome::Accepted) => {}
                    Some(_) => refusals += 1,
                    None => return,
                }
            }
        }
    }

    fn planner(&mut self, pool: &PoolName) -> &mut CapacityPlanner {
        let at = match self.planners.binary_search_by(|(name, _)| name.cmp(pool)) {
            Ok(at) => at,
            Err(at) => {
                self.planners.insert(at, (pool.clone(), CapacityPlanner::default()));
                at
            }
        };
        &mut self.planners[at].1
    }

    fn plan_orders(&mut self, pool: &PoolRow, now: BootTime) -> Vec<CapacityOrder> {
        let Some(rule) = &pool.scaling else { return Vec::new() };
        let (capacities, engines_needed, slots) = {
            let state = self.node.state();
            // An outdated list does not show which upstreams are serving now.
            let is_list_recent =
                state.upstreams.read_at().is_some_and(|at| now.since(at) < LIST_AGE_MAX);
            let first_listed_at = state.upstreams.first_listed_at();
            if !is_list_recent || first_listed_at.is_none_or(|at| now.since(at) < LIST_SETTLE_TIME)
            {
                return Vec::new();
            }
            let domains = rule.prices.iter().map(|(domain, _)| domain.clone());
            let capacity_of = |domain: DomainName| {
                let count_serving = |reclaimable: bool| {
                    let rows = state.upstreams.rows().iter();
                    let count = rows
                        .filter(|row| {
                            row.entry.pool == pool.name
                                && row.entry.domain == domain
                                && row.state().serves(now)
                                && row.entry.reclaimable == reclaimable
                        })
                        .count();
                    u32::try_from(count).unwrap_or(u32::MAX)
                };
                let (reclaimable, on_demand) = (count_serving(true), count_serving(false));
                DomainCapacity { domain, reclaimable, on_demand }
            };
            let capacities: Vec<DomainCapacity> = domains.map(capacity_of).collect();
            let slots = pool_slots(&state.upstreams, &pool.name);
            let speed = state.speeds.speed(&pool.name);
            let demand = state.members.demand(&pool.name);
            let lost = parts_lost_to_limits(&state.upstreams, &pool.name, slots, &speed, now);
            (capacities, demand.engines_needed(slots, &speed) + lost, slots)
        };
        let orders = self.planner(&pool.name).next_orders(rule, &capacities, engines_needed, now);
        if !orders.is_empty() {
            let capacity_fields: Vec<_> = capacities
                .iter()
                .map(|row| json!([row.domain.as_str(), row.reclaimable, row.on_demand]))
                .collect();
            let fields = json!({
                "pool": pool.name.as_str(), "need": engines_needed, "slots": slots,
                "stock": capacity_fields,
            });
            self.node.log.record("capacity", fields);
        }
        orders
    }

    /// Sends an order. Returns `None` if the platform made no decision on it.
    async fn send_order(&mut self, pool: &PoolRow, order: &CapacityOrder) -> Option<OrderOutcome> {
        let fence = self.current_fence()?;
        let settings = self.node.settings();
        let client = self.orders.as_mut()?;
        let names = self.node.state().names.clone();
        let sender = OrderSender { holder: &settings.name, fence, names: &names };
        let result = match encode_capacity_order(&pool.name, order, &sender) {
            Ok(call) => client.call(call, LEADER_CALL_TIMEOUT).await,
            Err(error) => Err(error.into()),
        };
        let outcome = result.map(|(status, _)| decode_outcome(status));
        let fields = json!({
            "pool": pool.name.as_str(), "domain": order.domain.as_str(),
            "reclaimable": order.reclaimable, "count": order.count, "fence": fence.0,
            "outcome": describe_outcome(&outcome),
        });
        self.node.log.record("order", fields);
        let now = clock::now();
        match outcome {
            Ok(OrderOutcome::Accepted) => self.planner(&pool.name).record_accepted(order, now),
            Ok(OrderOutcome::Unavailable) => self.planner(&pool.name).record_refused(order, now),
            Ok(OrderOutcome::Refused(_)) | Err(_) => {
                self.paused_until = now + RETRY_DELAY;
                return None;
            }
        }
        outcome.ok()
    }
}

/// Number of slots of the smallest upstream in `pool`.
fn pool_slots(upstreams: &UpstreamRegistry, pool: &PoolName) -> u32 {
    let rows =
        upstreams.rows().iter().filter(|row| row.entry.pool == *pool && !row.state().is_gone());
    rows.map(|row| row.entry.slots).min().unwrap_or(u32::MAX)
}

/// Number of engines of `pool` that are lost to limits, as the sum of the parts that are.
fn parts_lost_to_limits(
    upstreams: &UpstreamRegistry,
    pool: &PoolName,
    slots: u32,
    speed: &PoolSpeed,
    now: BootTime,
) -> f64 {
    let serving = upstreams.rows().iter();
    let serving = serving.filter(|row| row.entry.pool == *pool && row.state().serves(now));
    let rates = serving.filter_map(|row| row.limit()?.rate());
    rates.map(|rate| part_lost_to_limit(rate, slots, speed)).sum()
}
