//! Counters, gauges and latency histograms, exposed in the Prometheus text format.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use samphiredeck_core::ids::PoolName;

/// Labels of a finished request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct OutcomeLabels {
    pub route: String,
    /// Workspace, empty on public routes.
    pub workspace: String,
    pub pool: String,
    /// How the request ended.
    pub outcome: String,
}

/// Labels of a latency histogram.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct LatencyLabels {
    pub route: String,
    pub pool: String,
}

/// Labels of a state of upstreams.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct StateLabels {
    pub state: &'static str,
    /// How this node learned of the state, empty for upstreams that take requests.
    pub cause: &'static str,
}

/// Labels of requests that were not sent at once.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct AdmissionLabels {
    pub route: String,
    /// Whether they waited, or why they were refused.
    pub decision: &'static str,
}

/// Label of what counts against the retry budget of a pool.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct BudgetLabels {
    pub pool: String,
}

/// Label of a change of an upstream's limit.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct LimitLabels {
    pub change: &'static str,
}

/// Labels of a call to the platform.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct PlatformCallLabels {
    /// Purpose of the call.
    pub purpose: &'static str,
    /// Whether the call got a response.
    pub outcome: &'static str,
}

/// Counters of platform calls.
pub type PlatformCallCounters = Family<PlatformCallLabels, Counter>;

fn latency_histogram() -> Histogram {
    // Buckets from 2 ms to 65 s.
    Histogram::new(exponential_buckets(0.002, 2.0, 16))
}

/// Label of a step of a rollout.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RolloutLabels {
    pub phase: String,
}

/// Metrics of rollouts.
#[derive(Debug, Default)]
pub struct RolloutMetrics {
    /// Steps that this node took as the leader, by the phase that they began.
    pub steps: Family<RolloutLabels, Counter>,
    /// Orders that were not followed.
    pub refused: Counter,
}

impl RolloutMetrics {
    fn register(&self, registry: &mut Registry) {
        let steps = "Steps of rollouts taken as the leader";
        registry.register("rollout_steps", steps, self.steps.clone());
        let refused = "Orders for rollouts that were not followed";
        registry.register("rollout_orders_refused", refused, self.refused.clone());
    }
}

/// Metrics of the slots of brittle upstreams.
#[derive(Debug, Default)]
pub struct SlotMetrics {
    /// Number of slots that keepers granted.
    pub granted: Counter,
    /// Number of slots that they did not.
    pub denied: Counter,
    /// Number of queries that no keeper answered.
    pub unanswered: Counter,
}

impl SlotMetrics {
    fn register(&self, registry: &mut Registry) {
        let metrics = [
            ("slots_granted", "Slots of brittle upstreams that were granted", &self.granted),
            ("slots_denied", "Slots of brittle upstreams that were not granted", &self.denied),
            ("slots_unanswered", "Queries for slots without an answer", &self.unanswered),
        ];
        for (name, help, counter) in metrics {
            registry.register(name, help, counter.clone());
        }
    }
}

/// Metrics of the configuration.
#[derive(Debug, Default)]
pub struct ConfigMetrics {
    /// Version that is in force.
    pub version: Gauge,
    /// Time in seconds since it was known to be the newest.
    pub age: Gauge<f64, AtomicU64>,
    /// 1 while the newest configuration can't be read.
    pub unreadable: Gauge,
    /// Whether the settings file can't be read, 0 or 1.
    pub settings_refused: Gauge,
    /// Number of fields of the one in force that can't be read.
    pub issues: Gauge,
}

impl ConfigMetrics {
    fn register(&self, registry: &mut Registry) {
        registry.register("config_version", "Configuration in force", self.version.clone());
        registry.register("config_age_seconds", "Age of its proof", self.age.clone());
        let unreadable = "Whether the newest configuration can't be read";
        registry.register("config_unreadable", unreadable, self.unreadable.clone());
        let refused =
            "Whether the settings file can't be read, so that those of before are in force";
        registry.register("settings_refused", refused, self.settings_refused.clone());
        let issues = "Fields of the active configuration that can't be read";
        registry.register("config_unreadable_fields", issues, self.issues.clone());
    }
}

/// Metrics of the limits that upstreams named.
#[derive(Debug, Default)]
pub struct LimitMetrics {
    /// Number of upstreams with a limit in force.
    pub limited: Gauge,
    /// Number of changes that responses or other nodes told of.
    pub changes: Family<LimitLabels, Counter>,
    /// Number of requests that waited until a limit permitted them.
    pub waits: Counter,
    /// Number of requests refused because limits permit none in time.
    pub refusals: Counter,
}

impl LimitMetrics {
    fn register(&self, registry: &mut Registry) {
        registry.register(
            "limited_upstreams",
            "Upstreams with a limit in force",
            self.limited.clone(),
        );
        registry.register(
            "limit_changes",
            "Changes of the limits of upstreams",
            self.changes.clone(),
        );
        registry.register(
            "limit_waits",
            "Requests that waited for the limit of an upstream",
            self.waits.clone(),
        );
        registry.register(
            "limit_refusals",
            "Requests refused for the limits of upstreams",
            self.refusals.clone(),
        );
    }
}

/// Metrics of the paths to upstreams.
#[derive(Debug, Default)]
pub struct PathMetrics {
    /// Number of upstreams that only other nodes reach.
    pub lost: Gauge,
    /// Number of connections to upstreams through other nodes.
    pub tunnels_opened: Counter,
    /// Number of connections to upstreams for other nodes.
    pub tunnels_served: Counter,
}

impl PathMetrics {
    fn register(&self, registry: &mut Registry) {
        registry.register("lost_paths", "Upstreams that only other nodes reach", self.lost.clone());
        registry.register(
            "tunnels_opened",
            "Connections to upstreams through other nodes",
            self.tunnels_opened.clone(),
        );
        registry.register(
            "tunnels_served",
            "Connections to upstreams for other nodes",
            self.tunnels_served.clone(),
        );
    }
}

/// Metrics of the versions that the store returns.
#[derive(Clone, Debug, Default)]
pub struct StoreMetrics {
    /// Number of times that the store has returned from an older copy.
    pub era: Gauge,
    /// Number of reads in which it returned an older version than the known one.
    pub reads_behind: Counter,
}

impl StoreMetrics {
    fn register(&self, registry: &mut Registry) {
        registry.register(
            "store_era",
            "Times that the store has returned from an older copy",
            self.era.clone(),
        );
        registry.register(
            "reads_behind",
            "Reads in which the store returned an older version than the known one",
            self.reads_behind.clone(),
        );
    }
}

/// Metrics of the leader.
#[derive(Debug, Default)]
pub struct LeaderMetrics {
    /// Fencing token of this node, 0 if it is not the leader.
    pub fence: Gauge,
    /// Number of usage windows that were not reported, since they may have been reported before.
    pub windows_withheld: Counter,
    /// Number of requests that were not reported, since the name of their workspace is not known.
    pub unnamed_requests: Counter,
}

impl LeaderMetrics {
    fn register(&self, registry: &mut Registry) {
        registry.register("duty_fence", "Number of the duty held here", self.fence.clone());
        registry.register(
            "windows_withheld",
            "Windows of usage that may have been reported before the store returned",
            self.windows_withheld.clone(),
        );
        registry.register(
            "usage_unnamed_requests",
            "Requests that were not reported, since the name of their workspace is not known",
            self.unnamed_requests.clone(),
        );
    }
}

/// Metrics of a forwarding node.
#[derive(Debug)]
pub struct ForwardMetrics {
    registry: Registry,
    /// Number of requests by outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Time to the response, or to the first event of a stream, in seconds.
    pub first_response_time: Family<LatencyLabels, Histogram, fn() -> Histogram>,
    /// Time to the end of the response in seconds.
    pub total_time: Family<LatencyLabels, Histogram, fn() -> Histogram>,
    /// Number of retries.
    pub retries: Counter,
    /// Retry budget.
    pub budget: BudgetMetrics,
    /// Number of connections opened to upstreams.
    pub connections: Counter,
    /// Paths to upstreams.
    pub paths: PathMetrics,
    /// Number of calls to the platform.
    pub platform_calls: PlatformCallCounters,
    /// Requests in progress.
    pub in_flight: Gauge,
    /// Requests and responses that ended because too many bytes were held.
    pub bytes_exceeded: Counter,
    /// Bytes that may be held for requests and responses.
    pub byte_budget: Gauge,
    /// Configuration.
    pub config: ConfigMetrics,
    /// Versions of the store.
    pub store: StoreMetrics,
    /// Age of the upstream list in seconds.
    pub list_age: Gauge<f64, AtomicU64>,
    /// Number of upstreams that accept requests.
    pub accepting: Gauge,
    /// Number of upstreams by state and its cause.
    pub upstreams: Family<StateLabels, Gauge>,
    /// Number of state changes that responses caused.
    pub state_changes: Family<StateLabels, Counter>,
    /// Requests that waited or were refused since their pool was short of slots.
    pub admissions: Family<AdmissionLabels, Counter>,
    /// Limits that upstreams named.
    pub limits: LimitMetrics,
    pub slots: SlotMetrics,
    pub rollouts: RolloutMetrics,
    /// Number of engine crashes at which requests of this node waited for their first event.
    pub engine_crashes: Counter,
    /// Number of requests refused for a prompt part that crashes engines.
    pub part_refusals: Counter,
    /// Number of requests sent as a trial of a suspected prompt part.
    pub part_trials: Counter,
    /// Number of reports that cast suspicion on a prompt part.
    pub suspect_reports: Gauge,
    /// Number of live nodes.
    pub nodes: Gauge,
    /// This node as the leader.
    pub leader: LeaderMetrics,
    /// Number of dropped log lines.
    pub dropped_lines: Gauge,
    /// Log lines left out by their bounds.
    pub left_out_lines: Gauge,
}

/// Metrics of the retry budget.
#[derive(Debug, Default)]
pub struct BudgetMetrics {
    /// Requests that fund retries, by pool.
    pub requests: Family<BudgetLabels, Counter>,
    /// Retries that were taken from the budget, by pool.
    pub retries: Family<BudgetLabels, Counter>,
}

impl BudgetMetrics {
    fn register(&self, registry: &mut Registry) {
        let requests = "Requests that fund repeats";
        registry.register("budget_requests", requests, self.requests.clone());
        let retries = "Repeats taken from the budget";
        registry.register("budget_repeats", retries, self.retries.clone());
    }

    /// Counts a request for `pool`.
    pub fn count_request(&self, pool: &PoolName) {
        self.requests.get_or_create(&BudgetLabels { pool: pool.to_string() }).inc();
    }

    /// Counts a retry in `pool`.
    pub fn count_retry(&self, pool: &PoolName) {
        self.retries.get_or_create(&BudgetLabels { pool: pool.to_string() }).inc();
    }
}

impl ForwardMetrics {
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("samphiredeck");
        let metrics = Self {
            requests: Family::default(),
            first_response_time: Family::new_with_constructor(latency_histogram),
            total_time: Family::new_with_constructor(latency_histogram),
            retries: Counter::default(),
            budget: BudgetMetrics::default(),
            connections: Counter::default(),
            paths: PathMetrics::default(),
            platform_calls: Family::default(),
            in_flight: Gauge::default(),
            bytes_exceeded: Counter::default(),
            byte_budget: Gauge::default(),
            config: ConfigMetrics::default(),
            store: StoreMetrics::default(),
            list_age: Gauge::default(),
            accepting: Gauge::default(),
            upstreams: Family::default(),
            state_changes: Family::default(),
            admissions: Family::default(),
            limits: LimitMetrics::default(),
            slots: SlotMetrics::default(),
            rollouts: RolloutMetrics::default(),
            engine_crashes: Counter::default(),
            part_refusals: Counter::default(),
            part_trials: Counter::default(),
            suspect_reports: Gauge::default(),
            nodes: Gauge::default(),
            leader: LeaderMetrics::default(),
            dropped_lines: Gauge::default(),
            left_out_lines: Gauge::default(),
            registry: Registry::default(),
        };
        registry.register("requests", "Requests by how they ended", metrics.requests.clone());
        registry.register(
            "first_sign_seconds",
            "Time to the answer, or to the first event of a stream",
            metrics.first_response_time.clone(),
        );
        registry.register(
            "whole_seconds",
            "Time to the end of the answer",
            metrics.total_time.clone(),
        );
        registry.register(
            "repeats",
            "Sends beyond the first of a request",
            metrics.retries.clone(),
        );
        metrics.budget.register(&mut registry);
        registry.register("connections", "Connections to upstreams", metrics.connections.clone());
        metrics.paths.register(&mut registry);
        registry.register(
            "platform_calls",
            "Calls to the platform",
            metrics.platform_calls.clone(),
        );
        registry.register("in_flight", "Requests being served", metrics.in_flight.clone());
        metrics.store.register(&mut registry);
        metrics.register_bytes(&mut registry);
        metrics.config.register(&mut registry);
        registry.register("list_age_seconds", "Age of the list", metrics.list_age.clone());
        registry.register("accepting", "Upstreams that take new work", metrics.accepting.clone());
        registry.register("upstreams", "Upstreams by state", metrics.upstreams.clone());
        registry.register(
            "upstream_changes",
            "Changes of state that answers told of",
            metrics.state_changes.clone(),
        );
        let admissions = "Requests that waited or were refused, as their pool was short of slots";
        registry.register("admissions", admissions, metrics.admissions.clone());
        metrics.limits.register(&mut registry);
        metrics.slots.register(&mut registry);
        metrics.rollouts.register(&mut registry);
        registry.register(
            "engine_crashes",
            "Requests that waited at an engine when it crashed",
            metrics.engine_crashes.clone(),
        );
        registry.register(
            "part_refusals",
            "Requests refused for a prompt part that crashes engines",
            metrics.part_refusals.clone(),
        );
        registry.register(
            "part_trials",
            "Requests sent as a trial of a suspected prompt part",
            metrics.part_trials.clone(),
        );
        registry.register(
            "suspect_reports",
            "Reports that cast suspicion on a prompt part",
            metrics.suspect_reports.clone(),
        );
        registry.register("nodes", "Nodes alive", metrics.nodes.clone());
        metrics.leader.register(&mut registry);
        registry.register("dropped_lines", "Log lines dropped", metrics.dropped_lines.clone());
        let left_out = metrics.left_out_lines.clone();
        registry.register("left_out_lines", "Log lines left out by their bounds", left_out);
        Self { registry, ..metrics }
    }

    fn register_bytes(&self, registry: &mut Registry) {
        let exceeded = "Requests and responses that ended as too many bytes were held";
        registry.register("bytes_exceeded", exceeded, self.bytes_exceeded.clone());
        let budget = "Bytes that may be held for requests and responses";
        registry.register("byte_budget", budget, self.byte_budget.clone());
    }

    /// Encodes all metrics as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# the metrics can't be written: {error}\n"),
        }
    }
}
