//! Counters, gauges and latency histograms, served as text on the metrics address.

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

/// Labels of a finished request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Route.
    pub route: String,
    /// Workspace, empty on public routes.
    pub workspace: String,
    /// Pool.
    pub pool: String,
    /// How it ended.
    pub outcome: String,
}

/// Labels of a latency.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct LatencyLabels {
    /// Route.
    pub route: String,
    /// Pool.
    pub pool: String,
}

/// Labels of a call to the platform.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct CallLabels {
    /// What the call was for.
    pub purpose: &'static str,
    /// Whether it was answered.
    pub outcome: &'static str,
}

/// Counts of calls to the platform.
pub type CallFamily = Family<CallLabels, Counter>;

fn new_latency() -> Histogram {
    // 2 ms to 65 s.
    Histogram::new(exponential_buckets(0.002, 2.0, 16))
}

/// All metrics of a forwarding node.
#[derive(Debug)]
pub struct ForwardGauges {
    registry: Registry,
    /// Requests by how they ended.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Time to the answer, or to the first event of a stream, in seconds.
    pub first_sign: Family<LatencyLabels, Histogram, fn() -> Histogram>,
    /// Time to the end of the answer in seconds.
    pub whole: Family<LatencyLabels, Histogram, fn() -> Histogram>,
    /// Sends beyond the first of a request.
    pub repeats: Counter,
    /// Connections made to upstreams.
    pub connections: Counter,
    /// Calls to the platform.
    pub calls: CallFamily,
    /// Requests that are being served.
    pub in_flight: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Age of the proof that it is the newest, in seconds.
    pub config_age: Gauge<f64, AtomicU64>,
    /// Age of the list of upstreams in seconds.
    pub list_age: Gauge<f64, AtomicU64>,
    /// Upstreams that take new work.
    pub accepting: Gauge,
    /// Nodes alive.
    pub nodes: Gauge,
    /// Number under which this node acts for all, 0 if it does not.
    pub duty_fence: Gauge,
    /// Log lines that were dropped.
    pub dropped_lines: Gauge,
}

impl ForwardGauges {
    /// Registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("samphiredeck");
        let this = Self {
            requests: Family::default(),
            first_sign: Family::new_with_constructor(new_latency),
            whole: Family::new_with_constructor(new_latency),
            repeats: Counter::default(),
            connections: Counter::default(),
            calls: Family::default(),
            in_flight: Gauge::default(),
            config_version: Gauge::default(),
            config_age: Gauge::default(),
            list_age: Gauge::default(),
            accepting: Gauge::default(),
            nodes: Gauge::default(),
            duty_fence: Gauge::default(),
            dropped_lines: Gauge::default(),
            registry: Registry::default(),
        };
        registry.register("requests", "Requests by how they ended", this.requests.clone());
        registry.register(
            "first_sign_seconds",
            "Time to the answer, or to the first event of a stream",
            this.first_sign.clone(),
        );
        registry.register("whole_seconds", "Time to the end of the answer", this.whole.clone());
        registry.register("repeats", "Sends beyond the first of a request", this.repeats.clone());
        registry.register("connections", "Connections to upstreams", this.connections.clone());
        registry.register("platform_calls", "Calls to the platform", this.calls.clone());
        registry.register("in_flight", "Requests being served", this.in_flight.clone());
        registry.register("config_version", "Configuration in force", this.config_version.clone());
        registry.register("config_age_seconds", "Age of its proof", this.config_age.clone());
        registry.register("list_age_seconds", "Age of the upstreams' list", this.list_age.clone());
        registry.register("accepting", "Upstreams that take new work", this.accepting.clone());
        registry.register("nodes", "Nodes alive", this.nodes.clone());
        registry.register("duty_fence", "Number of the duty held here", this.duty_fence.clone());
        registry.register("dropped_lines", "Log lines dropped", this.dropped_lines.clone());
        Self { registry, ..this }
    }

    /// All metrics as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# the metrics can't be written: {error}\n"),
        }
    }
}
