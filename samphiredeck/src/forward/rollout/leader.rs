//! Rollouts at the node that holds the leader lease: reads orders, steps rollouts and tells the nodes.

mod orders;
mod rows;

use std::{cell::RefCell, rc::Rc, time::Duration};

use samphiredeck_core::{
    boot_time::BootTime,
    forward::rollout::{
        ExposureBounds, RolloutDirective, RolloutOrder, RolloutReport,
        control::{PoolView, RolloutControl},
    },
    ids::{FencingToken, Incarnation, NodeName, PoolName, RowVersion},
};
use samphiredeck_wire::forward::{ForwardDatagram, RolloutMessage};
use tokio::time::sleep;

use crate::forward::{
    clock,
    node::{ForwardNode, ShutdownPhase},
    peer_messages::send,
    platform_client::PlatformClient,
};

use super::exchange::apply_directive;

/// Interval at which the leader tells the nodes, in a small cluster. Several fit into a lease.
const DIRECT_PERIOD: Duration = Duration::from_millis(250);
/// Number of nodes for each of which the interval grows by [`DIRECT_PERIOD`], so that the leader takes at most 2,000
/// reports a second. Beyond 2,000 nodes a lease ends between two messages.
const PERIOD_NODES: u32 = 500;
const DIRECT_PERIOD_MAX: Duration = Duration::from_secs(1);
/// Interval at which the orders are read.
const ORDER_PERIOD: Duration = Duration::from_secs(1);

/// Rollout at the leader, with the version of its row.
#[derive(Debug)]
struct LedRollout {
    control: RolloutControl,
    version: RowVersion,
}

/// Rollouts of the leader. Empty at other nodes.
#[derive(Debug, Default)]
pub struct LeaderRollouts {
    /// Sorted by pool.
    led: RefCell<Vec<LedRollout>>,
}

impl LeaderRollouts {
    /// Applies a report of a node.
    pub fn record_report(
        &self,
        (node, incarnation): (&NodeName, Incarnation),
        report: RolloutReport,
    ) {
        let mut led = self.led.borrow_mut();
        if let Ok(at) = find(&led, &report.pool) {
            let now = clock::now();
            led[at].control.record_report((node, incarnation), report, now);
        }
    }
}

fn find(led: &[LedRollout], pool: &PoolName) -> Result<usize, usize> {
    led.binary_search_by(|rollout| rollout.control.pool().cmp(pool))
}

/// Tasks of the leader regarding rollouts.
struct RolloutTasks {
    node: Rc<ForwardNode>,
    store: PlatformClient,
    bounds: ExposureBounds,
    /// Fencing token under which the rows were read.
    fence: Option<FencingToken>,
    /// Whether a row has to be read again, since the outcome of a write to it is unknown.
    has_unknown_row: bool,
    /// Orders as last read, with the versions of their rows.
    orders: Vec<(RolloutOrder, RowVersion)>,
    orders_read_at: Option<BootTime>,
    /// Orders that were logged as not followed, with the reason.
    refused: Vec<(String, RowVersion, String)>,
}

/// Steps rollouts while this node is the leader, until the node stops. Does nothing unless the operator has set bounds.
pub async fn run_rollouts(node: Rc<ForwardNode>) {
    let Some(bounds) = node.settings().bounds.exposure else { return };
    let store = PlatformClient::store(&node, "rollouts");
    let mut tasks = RolloutTasks {
        store,
        bounds,
        fence: None,
        has_unknown_row: false,
        orders: Vec::new(),
        orders_read_at: None,
        refused: Vec::new(),
        node,
    };
    while tasks.node.phase() == ShutdownPhase::Serving {
        if let Some(fence) = tasks.current_fence() {
            tasks.step(fence).await;
        } else {
            tasks.fence = None;
            tasks.node.rollouts.led.borrow_mut().clear();
        }
        let nodes = tasks.node.state().members.count();
        let period = DIRECT_PERIOD * (1 + nodes / PERIOD_NODES);
        sleep(period.min(DIRECT_PERIOD_MAX)).await;
    }
    tasks.node.rollouts.led.borrow_mut().clear();
}

impl RolloutTasks {
    /// Fencing token, if this node is the leader now.
    fn current_fence(&self) -> Option<FencingToken> {
        self.node.state().leader_lease.fence(clock::now())
    }

    async fn step(&mut self, fence: FencingToken) {
        if self.fence != Some(fence) {
            self.node.rollouts.led.borrow_mut().clear();
            self.orders_read_at = None;
            self.refused.clear();
            if !self.read_rows().await {
                return;
            }
            self.fence = Some(fence);
            self.has_unknown_row = false;
        }
        if self.has_unknown_row {
            self.has_unknown_row = !self.read_rows().await;
        }
        let is_due = self.orders_read_at.is_none_or(|at| clock::now().since(at) >= ORDER_PERIOD);
        if is_due && self.read_orders().await {
            self.orders_read_at = Some(clock::now());
        }
        self.apply_orders().await;
        self.step_rollouts().await;
        // The lease may have ended during the calls.
        if self.current_fence() == Some(fence) {
            self.tell_nodes(fence).await;
        }
    }

    /// Nodes of the cluster, this one included.
    fn members(&self) -> Vec<NodeName> {
        let own = self.node.settings().name.clone();
        let state = self.node.state();
        let entries = state.members.list().entries().iter();
        let mut members: Vec<NodeName> = entries.map(|member| member.node.clone()).collect();
        if let Err(at) = members.binary_search(&own) {
            members.insert(at, own);
        }
        members
    }

    async fn step_rollouts(&mut self) {
        let members = self.members();
        let pools: Vec<PoolName> = {
            let led = self.node.rollouts.led.borrow();
            led.iter().map(|rollout| rollout.control.pool().clone()).collect()
        };
        for pool in pools {
            let now = clock::now();
            let next = {
                let state = self.node.state();
                let Some(now_ms) = state.clock.store_ms(now) else { return };
                let mut led = self.node.rollouts.led.borrow_mut();
                let Ok(at) = find(&led, &pool) else { continue };
                let rollout = &mut led[at];
                rollout.control.judge_period();
                let to = &rollout.control.row().to;
                let has_new = state.upstreams.rows().iter().any(|row| {
                    row.entry.pool == pool && row.entry.software == *to && row.is_accepting(now)
                });
                let view = PoolView { has_new, members: &members };
                rollout.control.next_row(view, now, now_ms)
            };
            if let Some(row) = next {
                self.write_row(&pool, row).await;
            }
        }
    }

    async fn tell_nodes(&self, fence: FencingToken) {
        let members = self.members();
        let now = clock::now();
        let Some(now_ms) = self.node.state().clock.store_ms(now) else { return };
        let directives: Vec<(NodeName, RolloutDirective)> = {
            let mut led = self.node.rollouts.led.borrow_mut();
            let rollouts = led.iter_mut();
            rollouts
                .flat_map(|rollout| rollout.control.directives(fence, &members, now, now_ms))
                .collect()
        };
        let own = self.node.settings().name.clone();
        let socket = self.node.peer_socket.borrow().clone();
        for (member, directive) in directives {
            if member == own {
                let Some(incarnation) = self.node.incarnation.get() else { continue };
                if let Some(report) = apply_directive(&self.node, directive) {
                    self.node.rollouts.record_report((&own, incarnation), report);
                }
                continue;
            }
            let address = self.node.state().members.peer_address(&member);
            let (Some(socket), Some(address)) = (&socket, address) else { continue };
            let message = ForwardDatagram::Rollouts(RolloutMessage::Direct { directive });
            send(&self.node, socket, &member, address, &message).await;
        }
    }
}
