//! A caller's request as the node sees it: its story, what admitted it, why it is refused.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use rand::random;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        catalog::{RetryPolicy, RouteRow},
        deadline::retry_after,
    },
    ids::{PoolName, WorkspaceName},
};
use samphiredeck_platform::headers::RequestMetadata;
use serde_json::json;

use crate::forward::{
    clock,
    metrics::{LatencyLabels, OutcomeLabels},
    node::ForwardNode,
};

/// Tokens of output that a request without an estimate is counted for.
const OUTPUT_DEFAULT: u64 = 64;

/// Why a request gets an answer of the node's own.
#[derive(Clone, Debug)]
pub struct CallRefusal {
    /// Status.
    pub status: StatusCode,
    /// Short name of the reason, for the log and for people.
    pub reason: &'static str,
    /// When to come back, if the request has not run.
    pub retry_after: Option<Duration>,
}

impl CallRefusal {
    /// Ends a request that can't be served whoever asks again, or that may have run.
    pub fn last(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// Refuses a request that has not run, for now.
    pub fn unrun(reason: &'static str, retry_after: Duration) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, reason, retry_after: Some(retry_after) }
    }
}

/// Story of one request, for the log and the metrics. Its drop without an end means that the
/// caller has left.
#[derive(Debug)]
pub struct CallTrace {
    /// Node that serves it.
    pub node: Rc<ForwardNode>,
    /// Identity of this try of the caller.
    pub request: String,
    /// Time of arrival.
    pub arrived: BootTime,
    /// Route, once known.
    pub route: String,
    /// Workspace, once known.
    pub workspace: String,
    /// Pool, once known.
    pub pool: String,
    first_ms: Option<u128>,
    ended: bool,
}

impl CallTrace {
    /// Begins with the arrival of a request.
    pub fn begin(node: Rc<ForwardNode>, request: String, arrived: BootTime) -> Self {
        node.gauges.in_flight.inc();
        let (route, workspace, pool) = (String::new(), String::new(), String::new());
        Self { node, request, arrived, route, workspace, pool, first_ms: None, ended: false }
    }

    /// Milliseconds since the arrival.
    pub fn age_ms(&self) -> u128 {
        clock::now().since(self.arrived).as_millis()
    }

    fn latency_labels(&self) -> LatencyLabels {
        LatencyLabels { route: self.route.clone(), pool: self.pool.clone() }
    }

    /// Notes the first sign of an answer.
    pub fn note_first_sign(&mut self) {
        self.first_ms = Some(self.age_ms());
        let seconds = clock::now().since(self.arrived).as_secs_f64();
        self.node.gauges.first_sign.get_or_create(&self.latency_labels()).observe(seconds);
    }

    /// Notes the end.
    pub fn end(&mut self, outcome: &str, status: u16, reason: &str) {
        self.ended = true;
        let labels = OutcomeLabels {
            route: self.route.clone(),
            workspace: self.workspace.clone(),
            pool: self.pool.clone(),
            outcome: outcome.to_owned(),
        };
        let gauges = &self.node.gauges;
        gauges.requests.get_or_create(&labels).inc();
        let seconds = clock::now().since(self.arrived).as_secs_f64();
        gauges.whole.get_or_create(&self.latency_labels()).observe(seconds);
        let fields = json!({
            "request": self.request, "outcome": outcome, "status": status, "reason": reason,
            "route": self.route, "workspace": self.workspace, "pool": self.pool,
            "age_ms": self.age_ms(), "first_ms": self.first_ms,
        });
        self.node.journal.note("end", fields);
    }
}

impl Drop for CallTrace {
    fn drop(&mut self) {
        if !self.ended {
            self.end("caller-left", 0, "");
        }
        self.node.gauges.in_flight.dec();
    }
}

/// Request that may be sent to an upstream.
#[derive(Debug)]
pub struct AdmittedCall {
    /// What the caller said.
    pub fields: RequestMetadata,
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub uri: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Route.
    pub route: RouteRow,
    /// Pool that serves it.
    pub pool: PoolName,
    /// Whether the pool's upstreams are engines.
    pub engine: bool,
    /// Connections that the pool's upstreams accept from all nodes.
    pub max_connections: u32,
    /// Workspace, if the route is not public.
    pub workspace: Option<WorkspaceName>,
    /// Rank, 0 first.
    pub priority: u8,
    /// Time at which the final answer is given.
    pub ends_at: BootTime,
    /// Version of the configuration that admitted it.
    pub version: u64,
}

impl AdmittedCall {
    /// Whether the request may run at most once.
    pub fn runs_once(&self) -> bool {
        self.route.retry == RetryPolicy::NonIdempotent
    }

    /// Tokens of the answer, as far as the caller knows.
    pub fn output_tokens(&self) -> u64 {
        let most = self.fields.tokens.map_or(OUTPUT_DEFAULT, |(_, output)| output);
        self.fields.output_hint.map_or(most, |hint| hint.min(most))
    }
}

/// Spreads callers that are told to wait for `wait`, so that they don't come back together.
pub fn spread(wait: Duration) -> Duration {
    wait.mul_f64(0.75 + random::<f64>() / 2.0)
}

/// Time after which a caller with `left` should come back when the wait is `excess` too long.
pub fn come_back(excess: Duration, left: Duration) -> Duration {
    retry_after(excess, left, random())
}
