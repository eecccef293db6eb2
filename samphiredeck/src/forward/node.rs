//! Shared state of the tasks of a forwarding node.

use std::{
    cell::{Cell, RefCell, RefMut},
    future::pending,
    rc::Rc,
    time::Duration,
};

use rustix::process::{Resource, getrlimit};
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        byte_budget::ByteBudget, catalog::CallerLimits, descriptor_shares::DescriptorShares,
        stop_schedule::StopSchedule, store_eras::StoreEras,
    },
    ids::{Incarnation, UpstreamId},
};
use tokio::sync::{Notify, watch};

use crate::forward::{
    clock, connection_pool::ConnectionPool, decision_log::DecisionLog,
    http_connection::HttpConnection, limit_exchange::LimitOutbox, metrics::ForwardMetrics,
    peer_socket::PeerSocket, rollout::leader::LeaderRollouts, settings::ForwardSettings,
    state::ForwardState, suspect_exchange::SuspectOutbox, task_guard::PanicNotes,
};

/// Phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Normal operation.
    Serving,
    /// Requests are still served, but the node reports itself as not ready and asks callers to
    /// close their connections.
    Draining,
    /// Idle connections are closed.
    Closing,
    /// Requests without a response are answered, since the process is about to end.
    Ending,
}

/// Why a node reports itself as not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadyReason {
    /// It is stopping.
    Stopping,
    /// The newest configuration can't be read, and the one before may be revoked.
    UnreadableConfig,
    /// No configuration is known to be the newest.
    UnconfirmedConfig,
}

impl UnreadyReason {
    /// Text for operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stopping => "stopping",
            Self::UnreadableConfig => "the newest configuration can't be read",
            Self::UnconfirmedConfig => "no configuration is known to be the newest",
        }
    }
}

/// Forwarding node. All its tasks run on one thread.
#[derive(Debug)]
pub struct ForwardNode {
    /// Active settings. Replaced on reload.
    pub settings: RefCell<Rc<ForwardSettings>>,
    /// Identifies the run of this node: the newest version in the store when the shared rows were
    /// first read. Later runs get larger numbers, independent of the clocks.
    pub incarnation: Cell<Option<Incarnation>>,
    /// State that decisions are based on.
    state: RefCell<ForwardState>,
    pub log: DecisionLog,
    /// Panics of tasks that are not logged yet.
    pub panics: PanicNotes,
    pub metrics: ForwardMetrics,
    /// Idle connections to upstreams.
    pub connections: ConnectionPool,
    /// Eras of the store, for all its clients.
    pub store_eras: Rc<RefCell<StoreEras>>,
    /// Socket for datagrams to other nodes. `None` until the peer secret is known.
    pub peer_socket: RefCell<Option<Rc<PeerSocket>>>,
    /// What other nodes are to be told about suspects.
    pub suspect_outbox: SuspectOutbox,
    /// Limits of upstreams that other nodes are to be told of.
    pub limit_outbox: LimitOutbox,
    /// Rollouts, while this node is the leader.
    pub rollouts: LeaderRollouts,
    /// Notified when other nodes are to be told of brittle pools.
    pub brittle_changed: Notify,
    /// Notified when a request at an upstream has ended, which may free a slot.
    pub request_ended: Notify,
    /// Notified when a request has left the queue for upstreams with limits or slots.
    pub queue_moved: Notify,
    /// Notified when a path to an upstream was lost.
    pub path_lost: Notify,
    /// Cloned by each open tunnel of another node.
    pub tunnels: Rc<()>,
    /// Limits on callers by the configuration in force.
    pub caller_limits: watch::Sender<CallerLimits>,
    pub phase: watch::Sender<ShutdownPhase>,
    /// Moments of the stop, once the node is stopping.
    pub stop_schedule: Cell<Option<StopSchedule>>,
    pub started_at: BootTime,
    /// Cloned by each open connection of a caller.
    pub caller_connections: Rc<()>,
    /// Connections that others may open.
    pub descriptors: DescriptorShares,
    /// Bytes held for requests and responses.
    pub byte_budget: RefCell<ByteBudget>,
}

impl ForwardNode {
    /// Creates a node without any state.
    pub fn new(settings: ForwardSettings) -> Self {
        let state = ForwardState::new(&settings);
        let byte_budget = ByteBudget::of_instance(settings.memory);
        let log = DecisionLog::start(settings.name.to_string(), settings.log_rate);
        Self {
            settings: RefCell::new(Rc::new(settings)),
            incarnation: Cell::new(None),
            store_eras: Rc::default(),
            peer_socket: RefCell::new(None),
            state: RefCell::new(state),
            log,
            panics: PanicNotes::register(),
            metrics: ForwardMetrics::new(),
            connections: ConnectionPool::default(),
            suspect_outbox: SuspectOutbox::default(),
            limit_outbox: LimitOutbox::default(),
            rollouts: LeaderRollouts::default(),
            brittle_changed: Notify::new(),
            request_ended: Notify::new(),
            queue_moved: Notify::new(),
            path_lost: Notify::new(),
            tunnels: Rc::new(()),
            caller_limits: watch::Sender::new(CallerLimits::default()),
            phase: watch::Sender::new(ShutdownPhase::Serving),
            stop_schedule: Cell::new(None),
            started_at: clock::now(),
            caller_connections: Rc::new(()),
            descriptors: DescriptorShares::of(getrlimit(Resource::Nofile).current),
            byte_budget: RefCell::new(byte_budget),
        }
    }

    /// Active settings.
    pub fn settings(&self) -> Rc<ForwardSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Borrows the state. The borrow must not be held across an await point.
    pub fn state(&self) -> RefMut<'_, ForwardState> {
        self.state.borrow_mut()
    }

    /// Keeps `connection` for further requests, unless its upstream leaves or it is a tunnel. The node at
    /// its other end checks once whether the upstream takes requests.
    pub fn keep_connection(
        &self,
        upstream: &UpstreamId,
        connection: HttpConnection,
        keep_alive: Option<Duration>,
    ) {
        let has_left =
            self.state().upstreams.find(upstream).is_none_or(|row| row.state().has_left());
        if !has_left && connection.via().is_none() {
            self.connections.put_back(upstream, connection, keep_alive);
        }
    }

    /// Current phase of the shutdown.
    pub fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// Waits until requests without a response have to be answered, since the process is about to end.
    pub async fn wait_ending(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the node.
        if phase.wait_for(|phase| *phase == ShutdownPhase::Ending).await.is_err() {
            pending::<()>().await;
        }
    }

    /// Number of open connections of callers.
    pub fn open_connections(&self) -> usize {
        Rc::strong_count(&self.caller_connections) - 1
    }

    /// Number of open tunnels of other nodes.
    pub fn open_tunnels(&self) -> usize {
        Rc::strong_count(&self.tunnels) - 1
    }

    /// Why the load balancer should route no new connections to this node. `None` if it should.
    pub fn unready_reason(&self) -> Option<UnreadyReason> {
        let state = self.state();
        if self.phase() != ShutdownPhase::Serving {
            Some(UnreadyReason::Stopping)
        } else if state.catalog.is_some() && state.freshness.is_ready(clock::now()) {
            None
        } else if state.config_row.is_unreadable() {
            Some(UnreadyReason::UnreadableConfig)
        } else {
            Some(UnreadyReason::UnconfirmedConfig)
        }
    }
}
