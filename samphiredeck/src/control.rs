//! Control state of a node.
//!
//! A single owner holds all mutable tables. It consumes [`ControlEvent`]s and returns
//! [`ControlEffect`]s, and does no I/O itself.

mod config_change;
mod dispatch;
mod peer_requests;
mod peers;
mod placement;
mod run_row;
mod runs;
mod table;
mod takeover;
mod upstreams;
mod view;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use arc_swap::ArcSwapOption;
use log::{debug, info};
use samphiredeck_core::{
    account::AccountTable,
    admission::AdmissionQueue,
    burn_rate::BurnRateTable,
    concurrency_limit::ConcurrencyLimitTable,
    config_change::{ConfigInForce, ConfigState},
    declaration::PriorityClass,
    freshness::ConfigFreshness,
    group_commit::CommitLane,
    hint::PlacementHintTable,
    ids::{DomainName, Incarnation, NodeName, RowVersion},
    in_flight::InFlightTable,
    lease::LeaseObserver,
    membership::{LeavingMarkTable, PeerTable},
    prefix::PrefixTable,
    retry_budget::RetryBudgetTable,
    route::{RoutePolicy, RouteState},
    rows::MemberRow,
    units::ByteSize,
    upstream::UpstreamTable,
};
use samphiredeck_wire::auth::{PeerKey, ReplayGuard};
use tokio::sync::oneshot;

use crate::{
    event::{ControlEffect, ControlEvent, VersionedMember},
    logging::{CONFIG, NODE},
    view::NodeCounters,
};

pub use self::run_row::RunRow;

/// Interval between ticks of the control loop.
pub const TICK_PERIOD: Duration = Duration::from_millis(20);
/// Interval between reads of the configuration and member rows.
const TABLE_READ_PERIOD: Duration = Duration::from_secs(1);
/// Interval between reads of the instance list.
const INSTANCE_LIST_PERIOD: Duration = Duration::from_millis(500);
/// Interval between load reports requested from one upstream.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Interval between sweeps that remove expired entries from the long-lived tables.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// Returns the Unix time in seconds by the local clock.
fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

/// Sends `value` to the requester. A dropped receiver is only logged.
fn send_reply<T>(reply: oneshot::Sender<T>, value: T) {
    if reply.send(value).is_err() {
        debug!(target: NODE, "Reply dropped: the requester has gone.");
    }
}

/// Identity of this node.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Name of the node.
    pub name: NodeName,
    /// Incarnation, which differs for each start of the node.
    pub incarnation: Incarnation,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Address that other nodes connect to.
    pub peer_address: SocketAddr,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Id that the platform gave to this node's instance.
    pub instance: Option<String>,
    /// Key that authenticates traffic between nodes.
    pub key: PeerKey,
}

impl NodeIdentity {
    /// Builds the member row of this incarnation.
    fn member_row(&self) -> MemberRow {
        MemberRow {
            node: self.name.clone(),
            incarnation: self.incarnation,
            domain: self.domain.clone(),
            peer_address: self.peer_address.to_string(),
            caller_address: self.caller_address.to_string(),
            transaction: 0,
            lapsed: false,
            lapsed_at: 0,
        }
    }
}

/// Settings of the control state.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// Routing policy.
    pub policy: RoutePolicy,
    /// Whether this node may place models and start instances.
    pub placement: bool,
    /// Limit on the bytes of finished responses kept in memory.
    pub kept_answers: ByteSize,
    /// Nodes to fetch the state from until a configuration is in force, so that the node can start
    /// while the table service is unavailable.
    pub seeds: Vec<(NodeName, SocketAddr)>,
}

/// Phase of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopPhase {
    /// The node serves normally.
    Serving,
    /// The readiness check fails, while requests are still admitted.
    NotReady,
    /// No request is admitted.
    Draining,
}

/// Time of the last run of each periodic task.
#[derive(Debug, Default)]
struct PeriodicTimers {
    table: Option<Instant>,
    instances: Option<Instant>,
    heartbeat: Option<Instant>,
    sweep: Option<Instant>,
    fetch: Option<Instant>,
    usage: Option<Instant>,
    work_scan: Option<Instant>,
    placement: Option<Instant>,
    rebind: Option<Instant>,
}

/// Returns whether `period` has passed since `last`, and if so sets `last` to `now`.
fn is_due(last: &mut Option<Instant>, period: Duration, now: Instant) -> bool {
    if last.is_some_and(|at| now.saturating_duration_since(at) < period) {
        return false;
    }
    *last = Some(now);
    true
}

/// All mutable tables of a node.
#[derive(Debug)]
pub struct ControlState {
    identity: NodeIdentity,
    options: ControlOptions,
    /// Configuration in force as the traffic threads read it, published from `config`.
    snapshot: Arc<ArcSwapOption<ConfigInForce>>,
    phase: StopPhase,
    upstreams: UpstreamTable,
    /// Set once an instance list was read that is empty or has an upstream accepting work, and
    /// never cleared.
    warmed_up: bool,
    prefixes: PrefixTable,
    limits: ConcurrencyLimitTable,
    retries: RetryBudgetTable,
    queue: AdmissionQueue,
    route: RouteState,
    /// Sorted by ticket, without duplicates.
    runs: Vec<RunRow>,
    /// Runs taken over whose task has not asked for admission yet, in order of arrival.
    adopted_runs: Vec<runs::AdoptedRun>,
    cursors: Vec<upstreams::ReportCursor>,
    /// In order of arrival.
    deferred_retries: Vec<dispatch::DeferredRetry>,
    commit_lane: CommitLane,
    pending_operations: Vec<table::PendingOperation>,
    last_operation: u64,
    freshness: ConfigFreshness,
    config: ConfigState,
    /// Row version of the accepted declaration, and the configuration version in it.
    config_row: Option<(RowVersion, samphiredeck_core::ids::ConfigVersion)>,
    /// Sorted by node, without duplicates.
    members: Vec<VersionedMember>,
    lease_observer: LeaseObserver,
    change: Option<config_change::ChangeInFlight>,
    peers: PeerTable,
    peer_in_flight: InFlightTable,
    hints: PlacementHintTable,
    leaving_marks: LeavingMarkTable,
    replay_guard: ReplayGuard,
    last_message_counter: u64,
    pings: Vec<peers::PingRow>,
    probes: Vec<peers::ProbeRow>,
    placement: placement::PlacementState,
    accounts: AccountTable,
    saved_usage_total: u64,
    burn_rates: BurnRateTable,
    counters: NodeCounters,
    timers: PeriodicTimers,
    /// Source of the jitter and of random routing choices.
    rng: rand::rngs::SmallRng,
    effects: Vec<ControlEffect>,
}

impl ControlState {
    /// Builds the state of a node that starts at `now`.
    pub fn new(
        identity: NodeIdentity,
        options: ControlOptions,
        snapshot: Arc<ArcSwapOption<ConfigInForce>>,
        now: Instant,
    ) -> Self {
        let commit_lane = CommitLane::new(identity.member_row());
        let route = RouteState::new(options.policy);
        Self {
            identity,
            options,
            snapshot,
            phase: StopPhase::Serving,
            upstreams: UpstreamTable::default(),
            warmed_up: false,
            prefixes: PrefixTable::default(),
            limits: ConcurrencyLimitTable::default(),
            retries: RetryBudgetTable::default(),
            queue: AdmissionQueue::default(),
            route,
            runs: Vec::new(),
            adopted_runs: Vec::new(),
            cursors: Vec::new(),
            deferred_retries: Vec::new(),
            commit_lane,
            pending_operations: Vec::new(),
            last_operation: 0,
            freshness: ConfigFreshness::default(),
            config: ConfigState::default(),
            config_row: None,
            members: Vec::new(),
            lease_observer: LeaseObserver::default(),
            change: None,
            peers: PeerTable::default(),
            peer_in_flight: InFlightTable::default(),
            hints: PlacementHintTable::default(),
            leaving_marks: LeavingMarkTable::default(),
            replay_guard: ReplayGuard::default(),
            last_message_counter: 0,
            pings: Vec::new(),
            probes: Vec::new(),
            placement: placement::PlacementState::default(),
            accounts: AccountTable::default(),
            saved_usage_total: 0,
            burn_rates: BurnRateTable::new(now),
            counters: NodeCounters::default(),
            timers: PeriodicTimers::default(),
            rng: rand::SeedableRng::from_os_rng(),
            effects: Vec::new(),
        }
    }

    /// Handles one event and returns the effects to carry out.
    pub fn handle(&mut self, event: ControlEvent, now: Instant) -> Vec<ControlEffect> {
        match event {
            ControlEvent::Admit(request, reply) => self.admit_run(*request, reply, now),
            ControlEvent::CheckPatient { workspace, version, reply } => {
                send_reply(reply, self.check_patient(&workspace, version, now));
            }
            ControlEvent::Reroute { ticket, cause, reply } => {
                self.reroute_run(ticket, cause, reply, now);
            }
            ControlEvent::AttemptEnded { ticket, usage } => self.record_usage(ticket, usage),
            ControlEvent::FirstToken { ticket, ttft } => self.record_ttft(ticket, ttft, now),
            ControlEvent::CacheMigrated => self.counters.moved += 1,
            ControlEvent::EndRun { ticket, outcome } => self.end_run(ticket, &outcome, now),
            ControlEvent::FindRun { request, reply } => self.find_run(&request, reply, now),
            ControlEvent::PlaceCall { workspace, version, service, exclude, reply } => {
                let placed = self.place_call(&workspace, version, &service, &exclude, now);
                send_reply(reply, placed);
            }
            ControlEvent::EndCall { upstream, failed } => {
                self.upstreams.record_request_end(&upstream, PriorityClass::Prompt, failed, now);
            }
            ControlEvent::Write(request, reply) => self.submit_write(request, reply),
            ControlEvent::IsRegistered { node, incarnation, reply } => {
                send_reply(reply, self.is_registered(&node, incarnation));
            }
            ControlEvent::Identity(reply) => {
                let identity = &self.identity;
                send_reply(reply, (identity.name.clone(), identity.incarnation));
            }
            ControlEvent::NextHeader { receiver, reply } => {
                send_reply(reply, self.next_header(&receiver));
            }
            ControlEvent::ChangeConfig(request, reply) => self.start_change(*request, reply, now),
            ControlEvent::Cancel { request, reply } => {
                send_reply(reply, self.cancel_run(&request));
            }
            ControlEvent::View(reply) => send_reply(reply, Box::new(self.build_view(now))),
            ControlEvent::CommitReply(reply) => self.on_commit_reply(reply, now),
            ControlEvent::TableRead(sent_at, rows) => self.on_table_read(sent_at, rows, now),
            ControlEvent::WorkRead(rows) => self.on_work_read(rows, now),
            ControlEvent::CloudRead(snapshot) => self.on_cloud_read(snapshot, now),
            ControlEvent::Prices(prices) => self.placement.set_prices(prices),
            ControlEvent::EngineReport(id, requested_at, report) => {
                self.on_engine_report(&id, requested_at, *report, now);
            }
            ControlEvent::ServiceReport(id, requested_at, load) => {
                self.apply_load_report(&id, load, requested_at, now);
            }
            ControlEvent::LoadModelReply(plan, result) => self.on_load_reply(&plan, result, now),
            ControlEvent::StartInstanceReply(spec, outcome) => {
                self.on_start_reply(&spec, outcome, now);
            }
            ControlEvent::Datagram(bytes) => self.on_datagram(&bytes, now),
            ControlEvent::PeerRequest(header, request, reply) => {
                self.on_peer_request(&header, request, reply, now);
            }
            ControlEvent::PeerReply { node, request_kind, reply } => {
                self.on_peer_reply(&node, &request_kind, reply, now);
            }
            ControlEvent::Stop => self.advance_stop(),
            ControlEvent::IsReady(reply) => send_reply(reply, self.is_ready(now)),
            ControlEvent::IsDrained(reply) => drop(reply.send(self.is_drained())),
            ControlEvent::HasLeft(reply) => drop(reply.send(self.commit_lane.has_left())),
            ControlEvent::Members(reply) => drop(reply.send(self.other_members())),
            ControlEvent::HandOverRuns => self.hand_over_runs(now),
            ControlEvent::Deregister => self.deregister(now),
        }
        std::mem::take(&mut self.effects)
    }

    /// Runs the periodic tasks that are due and returns the effects to carry out.
    pub fn tick(&mut self, now: Instant) -> Vec<ControlEffect> {
        self.requeue_deferred_retries(now);
        self.expire_waiting(now);
        self.place_waiting(now);
        self.tick_table(now);
        self.tick_change(now);
        self.tick_upstreams(now);
        self.tick_peers(now);
        self.tick_placement(now);
        if is_due(&mut self.timers.sweep, SWEEP_PERIOD, now) {
            self.sweep(now);
        }
        std::mem::take(&mut self.effects)
    }

    fn sweep(&mut self, now: Instant) {
        self.prefixes.expire(now);
        self.leaving_marks.expire(now);
        let upstreams = &self.upstreams;
        self.limits.retain(|id| upstreams.position(id).is_some());
        self.sweep_runs(now);
    }

    /// Advances the stop by one phase: first not ready, then draining.
    fn advance_stop(&mut self) {
        match self.phase {
            StopPhase::Serving => {
                info!(target: NODE, "Stopping: the readiness check fails from now on.");
                self.phase = StopPhase::NotReady;
            }
            StopPhase::NotReady => {
                info!(target: NODE, "Stopping: new requests are refused from now on.");
                self.phase = StopPhase::Draining;
                self.announce_leave();
            }
            StopPhase::Draining => {}
        }
    }

    /// Returns whether the load balancer may send new callers to this node.
    fn is_ready(&self, now: Instant) -> bool {
        self.phase == StopPhase::Serving
            && self.warmed_up
            && self.config.in_force().is_some()
            && !self.config.is_behind()
            && self.freshness.is_fresh(&self.identity.name, now)
    }

    /// Publishes the declaration in force to the traffic threads.
    fn publish_config(&mut self) {
        let Some(config) = self.config.in_force() else { return };
        info!(target: CONFIG, "Configuration version {} is in force.", config.row.version);
        self.upstreams.set_drained(config.declaration.drained());
        self.snapshot.store(Some(Arc::new(config.clone())));
    }

    /// Returns a random number, uniform in 0 to 1.
    fn random_unit(&mut self) -> f64 {
        rand::Rng::random(&mut self.rng)
    }
}
