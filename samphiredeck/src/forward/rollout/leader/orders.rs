//! Orders of the operator.

use samphiredeck_core::{
    forward::rollout::{
        RolloutOrder,
        control::RolloutControl,
        phases::{OpenRollout, RolloutRow},
    },
    ids::{PoolName, RowVersion},
};
use samphiredeck_platform::{
    rollouts::{decode_order, order_range, ordered_service},
    store::encode_read,
};
use serde_json::json;

use crate::forward::{clock, dependency::STORE_TIMEOUT};

use super::{LedRollout, ORDER_PERIOD, RolloutTasks, find};

impl RolloutTasks {
    /// Reads the orders. Returns whether they could be read.
    pub(super) async fn read_orders(&mut self) -> bool {
        let (table, first_key) = order_range();
        let response =
            match self.store.query_rows(encode_read(table, first_key), STORE_TIMEOUT).await {
                Ok(response) => response,
                Err(error) => {
                    self.log_unread("orders", &error);
                    return false;
                }
            };
        let before = std::mem::take(&mut self.orders);
        for row in response.rows {
            let Some(service) = ordered_service(&row.key) else { continue };
            // The store gives versions anew in each of its eras, and the row of the rollout outlasts them.
            let version = RowVersion(row.version.number());
            let decoded = match row.value.as_deref().map(|value| decode_order(&row.key, value)) {
                Some(Ok(order)) => Ok(order),
                Some(Err(error)) => Err(error.to_string()),
                None => Err("the value is not valid base64".to_owned()),
            };
            match decoded {
                Ok(order) => {
                    self.node.state().names.record(order.pool.as_str(), service);
                    self.orders.push((order, version));
                }
                Err(reason) => {
                    self.refuse(service, version, reason);
                    // An order that can't be read changes nothing: the one before stays in force.
                    let pool = PoolName::of_text(service).ok();
                    let known = before.iter().find(|(order, _)| Some(&order.pool) == pool.as_ref());
                    self.orders.extend(known.cloned());
                    self.keep_led(pool);
                }
            }
        }
        true
    }

    /// Keeps the rollout of `pool`, whose order can't be read, in force.
    fn keep_led(&mut self, pool: Option<PoolName>) {
        let Some(pool) = pool else { return };
        if self.orders.iter().any(|(order, _)| order.pool == pool) {
            return;
        }
        let led = self.node.rollouts.led.borrow();
        let Ok(at) = find(&led, &pool) else { return };
        let row = led[at].control.row();
        let duration = std::time::Duration::from_millis(row.duration_ms);
        self.orders.push((RolloutOrder { pool, to: row.to.clone(), duration }, row.order));
    }

    /// Logs once why the order for `service` is not followed.
    fn refuse(&mut self, service: &str, version: RowVersion, reason: String) {
        let entry = (service.to_owned(), version, reason);
        if self.refused.contains(&entry) {
            return;
        }
        let fields = json!({ "service": service, "row": version.0, "reason": entry.2 });
        self.node.log.record("rollout-refused", fields);
        self.node.metrics.rollouts.refused.inc();
        self.refused.push(entry);
    }

    /// Begins rollouts of new orders, and ends those whose orders were withdrawn.
    pub(super) async fn apply_orders(&mut self) {
        if self.orders_read_at.is_none() {
            return;
        }
        for (order, version) in self.orders.clone() {
            let known = {
                let led = self.node.rollouts.led.borrow();
                find(&led, &order.pool).ok().map(|at| led[at].control.row().clone())
            };
            if known.is_some_and(|row| row.order == version && row.to == order.to) {
                continue;
            }
            self.begin_rollout(order, version).await;
        }
        let withdrawn: Vec<(PoolName, RolloutRow)> = {
            let led = self.node.rollouts.led.borrow();
            let is_ordered =
                |pool: &PoolName| self.orders.iter().any(|(order, _)| order.pool == *pool);
            let gone = led.iter().filter(|rollout| !is_ordered(rollout.control.pool()));
            gone.map(|rollout| (rollout.control.pool().clone(), rollout.control.row().clone()))
                .collect()
        };
        for (pool, row) in withdrawn {
            let Some(now_ms) = self.node.state().clock.store_ms(clock::now()) else { return };
            if let Some(open) = OpenRollout::of(row) {
                let row = open.supersede(now_ms, "the order was withdrawn");
                self.write_row(&pool, row).await;
            }
        }
    }

    /// Writes the row of a new order. One of an earlier order is replaced.
    async fn begin_rollout(&mut self, order: RolloutOrder, version: RowVersion) {
        let now = clock::now();
        let (base, is_listed, now_ms) = {
            let state = self.node.state();
            let of_pool = state.upstreams.rows().iter().filter(|row| row.entry.pool == order.pool);
            let mut versions = of_pool.map(|row| &row.entry.software);
            let is_listed = versions.any(|software| *software == order.to);
            let Some(now_ms) = state.clock.store_ms(now) else { return };
            (state.versions.base(&order.pool).cloned(), is_listed, now_ms)
        };
        let service = order.pool.to_text().map(std::borrow::Cow::into_owned);
        let service = service.unwrap_or_else(|| order.pool.to_string());
        let Some(base) = base else {
            return self.refuse(&service, version, "no upstream of the service".to_owned());
        };
        if base == order.to {
            return self.refuse(&service, version, format!("{base} serves already"));
        }
        if !is_listed {
            // The rollout begins all the same, as the upstreams may be starting. Nothing changes until one is listed.
            self.refuse(&service, version, format!("no upstream of {} yet", order.to));
        }
        // The deadline counts from the order, which may have been written right after the last look at the orders.
        let look_ms = i64::try_from(ORDER_PERIOD.as_millis()).unwrap_or(i64::MAX);
        let ordered_ms = now_ms.saturating_sub(look_ms);
        let row = RolloutRow::new(version, (base, order.to), order.duration, ordered_ms);
        let known = {
            let led = self.node.rollouts.led.borrow();
            find(&led, &order.pool).ok().map(|at| led[at].version)
        };
        let expected = known.unwrap_or(RowVersion(0));
        if let Some(version) = self.commit_row(&order.pool, &row, None, expected).await {
            self.log_phase(&order.pool, None, &row);
            let control = RolloutControl::new(order.pool, self.bounds, row, now);
            self.lead(LedRollout { control, version });
        }
    }

    /// Adds or replaces a rollout.
    pub(super) fn lead(&self, rollout: LedRollout) {
        let mut led = self.node.rollouts.led.borrow_mut();
        match find(&led, rollout.control.pool()) {
            Ok(at) => led[at] = rollout,
            Err(at) => led.insert(at, rollout),
        }
    }
}
