//! Work of the node that acts for all: reports of usage and orders for upstreams.

use std::{rc::Rc, time::Duration};

use rand::random_range;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        capacity::{CapacityOrder, CapacityPlanner, DomainCapacity},
        catalog::PoolRow,
        leader::{LEADER_CALL_TIMEOUT, LeaderRecord, LeaderStep},
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
    DUTY_KEY, SHARED_TABLE, SharedRecord, decode_record, encode_record, usage_key,
};
use serde_json::json;
use tokio::time::sleep;

use crate::forward::{
    clock,
    node::{ForwardNode, StopPhase},
    platform_client::{CallError, PlatformLink},
};

/// Time between two looks at what is to be done.
const TICK: Duration = Duration::from_millis(200);
/// Bound on a write to the store.
const WRITE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time between two rounds of orders.
const ORDER_PERIOD: Duration = Duration::from_millis(600);
/// Refusals of reclaimable upstreams after which the others of a round are left out: none are to
/// be had anywhere.
const REFUSALS_MAX: u32 = 2;
/// Time for which the list of upstreams has to stand before the first orders: several heartbeats
/// of upstreams that start together with the nodes.
const FIRST_LIST_TIME: Duration = Duration::from_secs(4);
/// Pause after a report or an order that got no answer or was turned away.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Time after the end of a window at which the counts of all nodes should have been published:
/// two of their periods.
const COUNTS_PUBLISHED_MS: i64 = 1_200;
/// Time after the end of a window from which no more counts are expected: they are published within
/// 1.2 s and read within two periods of 1.5 s.
const COUNTS_EXPECTED_MS: i64 = 4_400;
/// Time before a report is due at which it is sent with the counts there are.
const DUE_MARGIN_MS: i64 = 1_500;
/// Age of the list of upstreams from which no orders are made.
const LIST_AGE_MAX: Duration = Duration::from_secs(3);
/// Windows whose agreed usage is kept in the store.
const AGREED_KEPT: i64 = 12;
/// Windows before the newest for which this node looks for a missing report.
const WINDOWS_BACK: i64 = 4;

/// Duties of this node while it holds the lease.
struct DutyDesk {
    node: Rc<ForwardNode>,
    store: PlatformLink,
    orders: Option<PlatformLink>,
    /// Plans by pool, sorted.
    plans: Vec<(PoolName, CapacityPlanner)>,
    /// Windows that were reported under the current fence.
    reported: Vec<WindowIndex>,
    /// Fence under which this node may act.
    fence: Option<FencingToken>,
    /// Fence under which `plans` and `reported` were made.
    known: Option<FencingToken>,
    ordered_at: BootTime,
    /// Time until which nothing is sent to the platform's API.
    paused_until: BootTime,
}

/// Takes, renews and uses the duty until the node stops.
pub async fn hold_duty(node: Rc<ForwardNode>) {
    let mut desk = DutyDesk {
        store: PlatformLink::store(&node, "duty"),
        orders: PlatformLink::orders(&node),
        node,
        plans: Vec::new(),
        reported: Vec::new(),
        fence: None,
        known: None,
        ordered_at: BootTime::default(),
        paused_until: BootTime::default(),
    };
    while desk.node.phase() == StopPhase::Serving {
        desk.keep_lease().await;
        desk.note_fence();
        if desk.fence.is_some() && clock::now() >= desk.paused_until {
            desk.report_usage().await;
            desk.order_upstreams().await;
        }
        sleep(TICK).await;
    }
}

fn shared_key(key: &str) -> StoreKey {
    StoreKey { table: SHARED_TABLE.to_owned(), key: key.to_owned() }
}

impl DutyDesk {
    /// Number under which this node may act now.
    fn may_act(&self) -> Option<FencingToken> {
        self.node.beliefs().duty.fence(clock::now())
    }

    async fn keep_lease(&mut self) {
        let step = {
            let beliefs = self.node.beliefs();
            // A node that can't serve has no picture of the whole to act on.
            if beliefs.catalog.is_none() {
                return;
            }
            // Nodes that read for others see the row often enough to tell that a holder is gone.
            let follows = beliefs.reader.is_some();
            match beliefs.duty.next_step(clock::now()) {
                LeaderStep::Write(record, _) if record.renewals == 0 && follows => return,
                step => step,
            }
        };
        let LeaderStep::Write(record, version) = step else { return };
        let value = match encode_record(&record) {
            Ok(value) => value,
            Err(error) => {
                let fields = json!({ "reason": error.to_string() });
                self.node.journal.note("duty-unwritable", fields);
                return;
            }
        };
        let change = StoreTransaction {
            expected: vec![(shared_key(DUTY_KEY), version)],
            writes: vec![(shared_key(DUTY_KEY), value)],
            removals: Vec::new(),
        };
        let sent_at = clock::now();
        let outcome = self.store.change(&change, WRITE_TIMEOUT).await;
        self.take_lease_outcome(record, outcome, sent_at);
    }

    fn take_lease_outcome(
        &mut self,
        record: LeaderRecord,
        outcome: Result<TransactionOutcome, CallError>,
        sent_at: BootTime,
    ) {
        let mut beliefs = self.node.beliefs();
        match outcome {
            Ok(TransactionOutcome::Committed(version)) => {
                if record.renewals == 0 {
                    let fields = json!({ "fence": record.fence.0, "row": version.0 });
                    self.node.journal.note("duty-won", fields);
                }
                beliefs.duty.note_written(record, version, sent_at);
            }
            Ok(TransactionOutcome::Conflict(rows)) => {
                let (record, version) = read_duty(&rows);
                let holder = record.as_ref().map(|record| record.holder.to_string());
                let fields = json!({ "holder": holder, "row": version.0 });
                self.node.journal.note("duty-conflict", fields);
                beliefs.duty.observe(record, version, clock::now());
            }
            Err(error) => {
                if error.is_unknown() {
                    beliefs.duty.mark_uncertain();
                }
                let unknown = error.is_unknown();
                let fields = json!({ "reason": error.to_string(), "unknown": unknown });
                self.node.journal.note("duty-unrenewed", fields);
            }
        }
    }

    /// Notes a change of the fence. Under a new one nothing is known of what was ordered or reported;
    /// a lease that lapsed and was renewed under its fence goes on.
    fn note_fence(&mut self) {
        let fence = self.may_act();
        if fence == self.fence {
            return;
        }
        let shown = fence.map_or(0, |fence| i64::try_from(fence.0).unwrap_or(i64::MAX));
        self.node.gauges.duty_fence.set(shown);
        let kind = if fence.is_some() { "duty-held" } else { "duty-lost" };
        let fields = json!({
            "fence": fence.map(|fence| fence.0), "before": self.fence.map(|fence| fence.0),
        });
        self.node.journal.note(kind, fields);
        if fence.is_some() && fence != self.known {
            self.plans.clear();
            self.reported.clear();
            self.known = fence;
        }
        self.fence = fence;
    }

    /// Agrees on and reports the usage of the windows that are over.
    async fn report_usage(&mut self) {
        let settings = self.node.settings();
        let length = settings.bounds.usage_window.to_duration();
        let Some(now_ms) = self.node.beliefs().clock.unix_ms(clock::now()) else { return };
        let newest = WindowIndex::of(now_ms, length);
        for back in (1..=WINDOWS_BACK).rev() {
            let window = WindowIndex(newest.0 - back);
            if self.reported.contains(&window) {
                continue;
            }
            let end_ms = window.end_ms(length);
            let due = i64::try_from(settings.bounds.usage_due.0).unwrap_or(i64::MAX);
            let (complete, sum) = {
                let beliefs = self.node.beliefs();
                let complete = beliefs.members.is_usage_complete(end_ms, clock::now());
                (complete, beliefs.members.sum_window(window))
            };
            let settled = complete && now_ms >= end_ms + COUNTS_PUBLISHED_MS;
            if !settled && now_ms < end_ms + COUNTS_EXPECTED_MS.min(due - DUE_MARGIN_MS) {
                continue;
            }
            if sum.counts.is_empty() {
                // Nothing ran, or nobody has told yet.
                continue;
            }
            let Some(agreed) = self.agree_usage(sum, complete).await else { return };
            if !self.send_usage(&agreed, now_ms - end_ms).await {
                return;
            }
        }
    }

    /// Returns the counts of the window that all nodes stand by from now on.
    async fn agree_usage(&mut self, sum: WindowCounts, complete: bool) -> Option<WindowCounts> {
        self.may_act()?;
        let key = shared_key(&usage_key(sum.window));
        let old = WindowIndex(sum.window.0 - AGREED_KEPT);
        let value = match encode_record(&sum) {
            Ok(value) => value,
            Err(error) => {
                self.node.journal.note("usage-unwritable", json!({ "reason": error.to_string() }));
                return None;
            }
        };
        let change = StoreTransaction {
            expected: vec![(key.clone(), RowVersion(0))],
            writes: vec![(key, value)],
            removals: vec![shared_key(&usage_key(old))],
        };
        match self.store.change(&change, WRITE_TIMEOUT).await {
            Ok(TransactionOutcome::Committed(version)) => {
                let total: u64 = sum.counts.iter().map(|row| row.count).sum();
                let fields = json!({
                    "window": sum.window.0, "requests": total, "complete": complete,
                    "row": version.0,
                });
                self.node.journal.note("usage-agreed", fields);
                Some(sum)
            }
            Ok(TransactionOutcome::Conflict(rows)) => {
                let agreed = rows.iter().find_map(|row| {
                    match decode_record(&row.key, row.value.as_deref()?) {
                        Ok(Some(SharedRecord::Usage(counts))) => Some(counts),
                        _ => None,
                    }
                });
                if agreed.is_none() {
                    let fields =
                        json!({ "window": sum.window.0, "reason": "agreed row unreadable" });
                    self.node.journal.note("usage-unagreed", fields);
                }
                agreed
            }
            Err(error) => {
                // The next round finds the row if this one was written after all.
                let fields = json!({ "window": sum.window.0, "reason": error.to_string() });
                self.node.journal.note("usage-unagreed", fields);
                self.paused_until = clock::now() + RETRY_PAUSE;
                None
            }
        }
    }

    /// Sends agreed counts. Returns whether the platform took them.
    async fn send_usage(&mut self, counts: &WindowCounts, age_ms: i64) -> bool {
        let Some(fence) = self.may_act() else { return false };
        let settings = self.node.settings();
        let Some(link) = self.orders.as_mut() else { return false };
        let answer = match encode_usage_report(counts, &settings.name, fence) {
            Ok(call) => link.call(call, LEADER_CALL_TIMEOUT).await,
            Err(error) => Err(error.into()),
        };
        let outcome = answer.map(|(status, _)| decode_outcome(status));
        let accepted = matches!(outcome, Ok(OrderOutcome::Accepted));
        let fields = json!({
            "window": counts.window.0, "fence": fence.0, "age_ms": age_ms,
            "outcome": describe(&outcome),
        });
        self.node.journal.note("usage-reported", fields);
        if accepted {
            self.reported.push(counts.window);
            let kept = usize::try_from(AGREED_KEPT).unwrap_or(usize::MAX);
            let excess = self.reported.len().saturating_sub(kept);
            self.reported.drain(..excess);
        } else {
            self.paused_until = clock::now() + RETRY_PAUSE;
        }
        accepted
    }

    /// Orders upstreams for each pool whose number can be chosen.
    async fn order_upstreams(&mut self) {
        let now = clock::now();
        if now.since(self.ordered_at) < ORDER_PERIOD {
            return;
        }
        self.ordered_at = now;
        let Some(catalog) = self.node.beliefs().catalog.clone() else { return };
        for pool in catalog.pools() {
            let mut orders = self.plan_orders(pool, now);
            let reclaimable = orders.iter().take_while(|order| order.reclaimable).count();
            // Each round begins with another domain, as one that is refused says little of others.
            let turn = random_range(0..reclaimable.max(1));
            orders[..reclaimable].rotate_left(turn);
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

    fn plan(&mut self, pool: &PoolName) -> &mut CapacityPlanner {
        let at = match self.plans.binary_search_by(|(name, _)| name.cmp(pool)) {
            Ok(at) => at,
            Err(at) => {
                self.plans.insert(at, (pool.clone(), CapacityPlanner::default()));
                at
            }
        };
        &mut self.plans[at].1
    }

    fn plan_orders(&mut self, pool: &PoolRow, now: BootTime) -> Vec<CapacityOrder> {
        let Some(rule) = &pool.scaling else { return Vec::new() };
        let (stocks, need, slots) = {
            let beliefs = self.node.beliefs();
            // A list that was not read for long says nothing of what serves now.
            let listed = beliefs.roster.read_at().is_some_and(|at| now.since(at) < LIST_AGE_MAX);
            let known = beliefs.roster.first_listed_at();
            if !listed || known.is_none_or(|since| now.since(since) < FIRST_LIST_TIME) {
                return Vec::new();
            }
            let domains = rule.prices.iter().map(|(domain, _)| domain.clone());
            let stock = |domain: DomainName| {
                let here = |reclaimable: bool| {
                    let rows = beliefs.roster.rows().iter();
                    let count = rows
                        .filter(|row| {
                            row.entry.pool == pool.name
                                && row.entry.domain == domain
                                && row.is_accepting(now)
                                && row.entry.reclaimable == reclaimable
                        })
                        .count();
                    u32::try_from(count).unwrap_or(u32::MAX)
                };
                let (reclaimable, on_demand) = (here(true), here(false));
                DomainCapacity { domain, reclaimable, on_demand }
            };
            let stocks: Vec<DomainCapacity> = domains.map(stock).collect();
            let slots = pool_slots(&beliefs.roster, &pool.name);
            (stocks, beliefs.members.demand(&pool.name, now).engines_needed(slots), slots)
        };
        let orders = self.plan(&pool.name).next_orders(rule, &stocks, need, now);
        if !orders.is_empty() {
            let stock: Vec<_> = stocks
                .iter()
                .map(|row| json!([row.domain.as_str(), row.reclaimable, row.on_demand]))
                .collect();
            let fields =
                json!({ "pool": pool.name.as_str(), "need": need, "slots": slots, "stock": stock });
            self.node.journal.note("capacity", fields);
        }
        orders
    }

    /// Sends one order. Returns nothing if the platform did not decide on it.
    async fn send_order(&mut self, pool: &PoolRow, order: &CapacityOrder) -> Option<OrderOutcome> {
        let fence = self.may_act()?;
        let settings = self.node.settings();
        let link = self.orders.as_mut()?;
        let answer = match encode_capacity_order(&pool.name, order, &settings.name, fence) {
            Ok(call) => link.call(call, LEADER_CALL_TIMEOUT).await,
            Err(error) => Err(error.into()),
        };
        let outcome = answer.map(|(status, _)| decode_outcome(status));
        let fields = json!({
            "pool": pool.name.as_str(), "domain": order.domain.as_str(),
            "reclaimable": order.reclaimable, "count": order.count, "fence": fence.0,
            "outcome": describe(&outcome),
        });
        self.node.journal.note("order", fields);
        let now = clock::now();
        match outcome {
            Ok(OrderOutcome::Accepted) => self.plan(&pool.name).note_accepted(order, now),
            Ok(OrderOutcome::Unavailable) => self.plan(&pool.name).note_refused(order, now),
            Ok(OrderOutcome::Refused(_)) | Err(_) => {
                self.paused_until = now + RETRY_PAUSE;
                return None;
            }
        }
        outcome.ok()
    }
}

fn describe(outcome: &Result<OrderOutcome, CallError>) -> String {
    match outcome {
        Ok(OrderOutcome::Accepted) => "accepted".to_owned(),
        Ok(OrderOutcome::Unavailable) => "unavailable".to_owned(),
        Ok(OrderOutcome::Refused(status)) => format!("refused with {status}"),
        Err(error) => error.to_string(),
    }
}

/// Slots of the smallest upstream of `pool`.
fn pool_slots(roster: &UpstreamRegistry, pool: &PoolName) -> u32 {
    let rows = roster.rows().iter().filter(|row| row.entry.pool == *pool);
    rows.map(|row| row.entry.slots).min().unwrap_or(u32::MAX)
}

/// Duty row among the rows that a conflict returned.
fn read_duty(rows: &[StoreRow]) -> (Option<LeaderRecord>, RowVersion) {
    let row = rows.iter().find(|row| row.key == DUTY_KEY);
    let version = row.map_or(RowVersion(0), |row| row.version);
    let record = row.and_then(|row| row.value.as_deref()).and_then(|value| {
        match decode_record(DUTY_KEY, value) {
            Ok(Some(SharedRecord::Duty(record))) => Some(record),
            _ => None,
        }
    });
    (record, version)
}
