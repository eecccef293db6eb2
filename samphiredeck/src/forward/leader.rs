//! Tasks of the leader: usage reports and capacity orders.

use std::{rc::Rc, time::Duration};

use rand::{random, random_range};
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        capacity::{CapacityOrder, CapacityPlanner, DomainCapacity},
        catalog::PoolRow,
        demand::part_lost_to_limit,
        leader::{LEADER_CALL_TIMEOUT, LeaderRecord, LeaderStep},
        pool_speed::PoolSpeed,
        upstreams::UpstreamRegistry,
        usage::{WindowCounts, WindowIndex},
    },
    ids::{DomainName, FencingToken, PoolName, RowVersion},
};
use samphiredeck_platform::{
    orders::{OrderOutcome, decode_outcome, encode_capacity_order, encode_usage_report},
    store::{StoreKey, StoreRow, StoreTransaction, TransactionOutcome},
};
use samphiredeck_wire::record::{
    LEADER_ROW_KEY, SHARED_TABLE, SharedRecord, decode_record, encode_record, usage_key,
};
use serde_json::json;
use tokio::time::sleep;

use crate::forward::{
    clock,
    node::{ForwardNode, ShutdownPhase},
    platform_client::{PlatformCallError, PlatformClient},
};

/// Interval at which the leader checks its tasks.
const TICK_PERIOD: Duration = Duration::from_millis(200);
/// Minimum time after startup before a node contends for the leader lease, and range of the jitter
/// added to it.
const CONTENTION_DELAY: Duration = Duration::from_millis(1_500);
/// Timeout of a write to the store.
const WRITE_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval between rounds of capacity orders.
const ORDER_PERIOD: Duration = Duration::from_millis(600);
/// Number of refused reclaimable orders in a round after which the remaining ones are skipped,
/// since no domain has capacity.
const REFUSALS_MAX: u32 = 2;
/// Time for which the upstream list must have been known before the first orders. Covers several
/// heartbeats of upstreams that start together with the nodes.
const LIST_SETTLE_TIME: Duration = Duration::from_secs(4);
/// Delay after a report or an order that was refused or got no response.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time after the end of a window by which all nodes should have published their counts: two
/// publishing periods.
const COUNTS_PUBLISHED_MS: i64 = 1_200;
/// Time after the end of a window from which no more counts are expected. Counts are published
/// within 1.2 s and read within two periods of 1.5 s.
const COUNTS_DEADLINE_MS: i64 = 4_400;
/// Time before the due time of a report at which it is sent with incomplete counts.
const REPORT_MARGIN_MS: i64 = 1_500;
/// Age of the upstream list from which no orders are placed.
const LIST_AGE_MAX: Duration = Duration::from_secs(3);
/// Number of windows whose committed usage is kept in the store.
const COMMITTED_WINDOWS_KEPT: i64 = 12;
/// Number of past windows that are checked for a missing report.
const REPORT_LOOKBACK: i64 = 4;

/// Tasks of this node while it holds the leader lease.
struct LeaderTasks {
    node: Rc<ForwardNode>,
    store: PlatformClient,
    orders: Option<PlatformClient>,
    /// Capacity planners by pool, sorted.
    planners: Vec<(PoolName, CapacityPlanner)>,
    /// Windows reported under the current fencing token.
    reported: Vec<WindowIndex>,
    /// Fencing token while this node is the leader.
    fence: Option<FencingToken>,
    /// Fencing token under which `planners` and `reported` were built.
    state_fence: Option<FencingToken>,
    last_order_round: BootTime,
    /// Time until which nothing is sent to the platform's API.
    paused_until: BootTime,
}

/// Acquires and renews the leader lease and runs the leader's tasks until the node stops.
pub async fn run_leader(node: Rc<ForwardNode>) {
    let mut tasks = LeaderTasks {
        store: PlatformClient::store(&node, "duty"),
        orders: PlatformClient::orders(&node),
        node,
        planners: Vec::new(),
        reported: Vec::new(),
        fence: None,
        state_fence: None,
        last_order_round: BootTime::default(),
        paused_until: BootTime::default(),
    };
    // By then most nodes have found a reader, so that only a few contend for the lease.
    sleep(CONTENTION_DELAY.mul_f64(1.0 + random::<f64>())).await;
    while tasks.node.phase() == ShutdownPhase::Serving {
        tasks.renew_lease().await;
        tasks.update_fence();
        if tasks.fence.is_some() && clock::now() >= tasks.paused_until {
            tasks.report_usage().await;
            tasks.order_capacity().await;
        }
        sleep(TICK_PERIOD).await;
    }
}

fn shared_row_key(key: &str) -> StoreKey {
    StoreKey { table: SHARED_TABLE.to_owned(), key: key.to_owned() }
}

impl LeaderTasks {
    /// Fencing token, if this node is the leader now.
    fn current_fence(&self) -> Option<FencingToken> {
        self.node.state().leader_lease.fence(clock::now())
    }

    async fn renew_lease(&mut self) {
        let step = {
            let state = self.node.state();
            // A node without a configuration can't act as the leader.
            if state.catalog.is_none() {
                return;
            }
            // Nodes that read the store themselves see the row often enough to detect a missing
            // leader.
            let is_follower = state.reader.is_some();
            match state.leader_lease.next_step(clock::now()) {
                LeaderStep::Write(record, _) if record.renewals == 0 && is_follower => return,
                step => step,
            }
        };
        let LeaderStep::Write(record, version) = step else { return };
        let value = match encode_record(&record) {
            Ok(value) => value,
            Err(error) => {
                let fields = json!({ "reason": error.to_string() });
                self.node.log.record("duty-unwritable", fields);
                return;
            }
        };
        let transaction = StoreTransaction {
            expected: vec![(shared_row_key(LEADER_ROW_KEY), version)],
            writes: vec![(shared_row_key(LEADER_ROW_KEY), value)],
            removals: Vec::new(),
        };
        let sent_at = clock::now();
        let outcome = self.store.transact(&transaction, WRITE_TIMEOUT).await;
        self.apply_lease_outcome(record, outcome, sent_at);
    }

    fn apply_lease_outcome(
        &mut self,
        record: LeaderRecord,
        outcome: Result<TransactionOutcome, PlatformCallError>,
        sent_at: BootTime,
    ) {
        let mut state = self.node.state();
        match outcome {
            Ok(TransactionOutcome::Committed(version)) => {
                if record.renewals == 0 {
                    let fields = json!({ "fence": record.fence.0, "row": version.0 });
                    self.node.log.record("duty-won", fields);
                }
                state.leader_lease.record_written(record, version, sent_at);
            }
            Ok(TransactionOutcome::Conflict(rows)) => {
                let (record, version) = decode_leader_row(&rows);
                let holder = record.as_ref().map(|record| record.holder.to_string());
                let fields = json!({ "holder": holder, "row": version.0 });
                self.node.log.record("duty-conflict", fields);
                let era = self.node.store_eras.borrow().current();
                state.leader_lease.observe(record, (era, version), clock::now());
            }
            Err(error) => {
                if error.is_outcome_unknown() {
                    state.leader_lease.mark_uncertain();
                }
                let unknown = error.is_outcome_unknown();
                let fields = json!({ "reason": error.to_string(), "unknown": unknown });
                self.node.log.record("duty-unrenewed", fields);
            }
        }
    }

    /// Updates the fencing token. A new token discards the state of earlier orders and reports; a
    /// lease that expired and was renewed under the same token keeps it.
    fn update_fence(&mut self) {
        let fence = self.current_fence();
        if fence == self.fence {
            return;
        }
        let gauge_value = fence.map_or(0, |fence| i64::try_from(fence.0).unwrap_or(i64::MAX));
        self.node.metrics.leader_fence.set(gauge_value);
        let kind = if fence.is_some() { "duty-held" } else { "duty-lost" };
        let fields = json!({
            "fence": fence.map(|fence| fence.0), "before": self.fence.map(|fence| fence.0),
        });
        self.node.log.record(kind, fields);
        if fence.is_some() && fence != self.state_fence {
            self.planners.clear();
            self.reported.clear();
            self.state_fence = fence;
        }
        self.fence = fence;
    }

    /// Commits and reports the usage of completed windows.
    async fn report_usage(&mut self) {
        let settings = self.node.settings();
        let length = settings.bounds.usage_window.to_duration();
        let Some(now_ms) = self.node.state().clock.unix_ms(clock::now()) else { return };
        let newest = WindowIndex::of(now_ms, length);
        for windows_back in (1..=REPORT_LOOKBACK).rev() {
            let window = WindowIndex(newest.0 - windows_back);
            if self.reported.contains(&window) {
                continue;
            }
            let end_ms = window.end_ms(length);
            let due = i64::try_from(settings.bounds.usage_due.0).unwrap_or(i64::MAX);
            let (complete, sum) = {
                let state = self.node.state();
                let complete = state.members.is_usage_complete(end_ms);
                (complete, state.members.sum_window(window))
            };
            let is_settled = complete && now_ms >= end_ms + COUNTS_PUBLISHED_MS;
            if !is_settled && now_ms < end_ms + COUNTS_DEADLINE_MS.min(due - REPORT_MARGIN_MS) {
                continue;
            }
            if sum.counts.is_empty() {
                // No requests ran, or no node has published its counts yet.
                continue;
            }
            let Some(committed) = self.commit_usage(sum, complete).await else { return };
            if !self.send_usage_report(&committed, now_ms - end_ms).await {
                return;
            }
        }
    }

    /// Commits the counts of a window to the store. Returns the committed counts, which are final
    /// for all nodes.
    async fn commit_usage(&mut self, sum: WindowCounts, complete: bool) -> Option<WindowCounts> {
        self.current_fence()?;
        let key = shared_row_key(&usage_key(sum.window));
        let expired = WindowIndex(sum.window.0 - COMMITTED_WINDOWS_KEPT);
        let value = match encode_record(&sum) {
            Ok(value) => value,
            Err(error) => {
                self.node.log.record("usage-unwritable", json!({ "reason": error.to_string() }));
                return None;
            }
        };
        let transaction = StoreTransaction {
            expected: vec![(key.clone(), RowVersion(0))],
            writes: vec![(key, value)],
            removals: vec![shared_row_key(&usage_key(expired))],
        };
        match self.store.transact(&transaction, WRITE_TIMEOUT).await {
            Ok(TransactionOutcome::Committed(version)) => {
                let total: u64 = sum.counts.iter().map(|row| row.count).sum();
                let fields = json!({
                    "window": sum.window.0, "requests": total, "complete": complete,
                    "row": version.0,
                });
                self.node.log.record("usage-agreed", fields);
                Some(sum)
            }
            Ok(TransactionOutcome::Conflict(rows)) => {
                let committed = rows.iter().find_map(|row| {
                    match decode_record(&row.key, row.value.as_deref()?) {
                        Ok(Some(SharedRecord::Usage(counts))) => Some(counts),
                        _ => None,
                    }
                });
                if committed.is_none() {
                    let fields =
                        json!({ "window": sum.window.0, "reason": "committed row is unreadable" });
                    self.node.log.record("usage-unagreed", fields);
                }
                committed
            }
            Err(error) => {
                // If the write took effect after all, the next round finds the row.
                let fields = json!({ "window": sum.window.0, "reason": error.to_string() });
                self.node.log.record("usage-unagreed", fields);
                self.paused_until = clock::now() + RETRY_DELAY;
                None
            }
        }
    }

    /// Reports committed counts. Returns whether the platform accepted them.
    async fn send_usage_report(&mut self, counts: &WindowCounts, age_ms: i64) -> bool {
        let Some(fence) = self.current_fence() else { return false };
        let settings = self.node.settings();
        let Some(client) = self.orders.as_mut() else { return false };
        let result = match encode_usage_report(counts, &settings.name, fence) {
            Ok(call) => client.call(call, LEADER_CALL_TIMEOUT).await,
            Err(error) => Err(error.into()),
        };
        let outcome = result.map(|(status, _)| decode_outcome(status));
        let accepted = matches!(outcome, Ok(OrderOutcome::Accepted));
        let fields = json!({
            "window": counts.window.0, "fence": fence.0, "age_ms": age_ms,
            "outcome": describe_outcome(&outcome),
        });
        self.node.log.record("usage-reported", fields);
        if accepted {
            self.reported.push(counts.window);
            let kept = usize::try_from(COMMITTED_WINDOWS_KEPT).unwrap_or(usize::MAX);
            let excess = self.reported.len().saturating_sub(kept);
            self.reported.drain(..excess);
        } else {
            self.paused_until = clock::now() + RETRY_DELAY;
        }
        accepted
    }

    /// Orders capacity for each pool with a scaling rule.
    async fn order_capacity(&mut self) {
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
        let result = match encode_capacity_order(&pool.name, order, &settings.name, fence) {
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

fn describe_outcome(outcome: &Result<OrderOutcome, PlatformCallError>) -> String {
    match outcome {
        Ok(OrderOutcome::Accepted) => "accepted".to_owned(),
        Ok(OrderOutcome::Unavailable) => "unavailable".to_owned(),
        Ok(OrderOutcome::Refused(status)) => format!("refused with {status}"),
        Err(error) => error.to_string(),
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

/// Finds the leader record among the rows returned with a conflict.
fn decode_leader_row(rows: &[StoreRow]) -> (Option<LeaderRecord>, RowVersion) {
    let row = rows.iter().find(|row| row.key == LEADER_ROW_KEY);
    let version = row.map_or(RowVersion(0), |row| row.version);
    let record = row.and_then(|row| row.value.as_deref()).and_then(|value| {
        match decode_record(LEADER_ROW_KEY, value) {
            Ok(Some(SharedRecord::Duty(record))) => Some(record),
            _ => None,
        }
    });
    (record, version)
}
