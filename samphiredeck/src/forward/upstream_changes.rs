//! Handles changes of upstreams, as read from the list or from their responses: logs them, and
//! closes idle connections to those that leave.

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        brittle_pools::{BrittleStatement, RefusalLimit},
        upstream_limit::{LimitChange, LimitStatement},
        upstream_state::ResponseEvent,
        upstreams::UpstreamChange,
    },
    ids::{PoolName, UpstreamId},
    units::RequestRate,
};
use samphiredeck_platform::{
    WireError,
    headers::{BrittleNotice, LimitNotice, ResponseAnnouncements, RetryDelay},
};
use serde_json::json;

use crate::forward::{
    clock,
    metrics::{LimitLabels, StateLabels},
    node::ForwardNode,
    state::ForwardState,
};

/// Handles `changes` of the list.
pub fn handle_list_changes(
    node: &ForwardNode,
    state: &ForwardState,
    changes: &[UpstreamChange],
    now: BootTime,
) {
    let list_age = state.upstreams.read_at().map(|at| now.since(at).as_millis());
    for change in changes {
        let (what, upstream) = match change {
            UpstreamChange::Joined(id) => ("joined", id),
            UpstreamChange::Leaving(id) => ("leaving", id),
            UpstreamChange::Gone(id) => ("gone", id),
            UpstreamChange::Returned(id) => ("returned", id),
        };
        if matches!(change, UpstreamChange::Leaving(_) | UpstreamChange::Gone(_)) {
            node.connections.close_idle(upstream);
        }
        let row = state.upstreams.find(upstream);
        let entry = row.map(|row| &row.entry);
        let fields = json!({
            "upstream": upstream.as_str(), "change": what, "cause": "entry",
            "state": row.map(|row| row.state().labels(now).0),
            "pool": entry.map(|entry| entry.pool.as_str()),
            "software": entry.map(|entry| entry.software.as_str()),
            "domain": entry.map(|entry| entry.domain.as_str()),
            "reclaimable": entry.map(|entry| entry.reclaimable),
            "born_ms": entry.and_then(|entry| entry.started_ms),
            "leaves_in_ms": entry.and_then(|entry| entry.leaves_in).map(|left| left.as_millis()),
            "list_age_ms": list_age,
        });
        node.log.record("upstream", fields);
    }
}

/// Response that tells something about its upstream.
#[derive(Clone, Copy, Debug)]
pub struct ResponseSource<'a> {
    /// Attempt identifier of its request. Empty if it is not known.
    pub request: &'a str,
    pub upstream: &'a UpstreamId,
    /// Start time of the upstream that the request was sent to.
    pub started_ms: Option<u64>,
    /// Time at which the request was sent.
    pub sent_at: BootTime,
}

/// Handles what an upstream announced about itself in a response.
pub fn handle_announcements(
    node: &ForwardNode,
    source: &ResponseSource<'_>,
    announcements: &ResponseAnnouncements,
) {
    if announcements.leaving.is_some() {
        handle_response_event(node, source, ResponseEvent::Leaving);
    }
    if let Some(delay) = announcements.retry_delay.map(RetryDelay::to_duration) {
        handle_response_event(node, source, ResponseEvent::Pause(delay));
    }
    if let Some(limit) = announcements.limit {
        handle_limit(node, source, limit);
    }
    if let Some(brittle) = announcements.brittle {
        handle_brittle(node, source, brittle);
    }
    for error in &announcements.invalid {
        let WireError::InvalidField { field, reason } = error else { continue };
        let fields = json!({
            "upstream": source.upstream.as_str(), "request": source.request, "field": field,
            "reason": reason,
        });
        node.log.record_once_a_minute("announcement-unreadable", field, fields);
    }
}

/// Handles an event that a response revealed about its upstream.
pub fn handle_response_event(
    node: &ForwardNode,
    source: &ResponseSource<'_>,
    event: ResponseEvent,
) {
    let upstream = source.upstream;
    let now = clock::now();
    let mut state = node.state();
    let changed = state.upstreams.record_response_event(upstream, source.started_ms, event, now);
    drop(state);
    let Some(changed) = changed else { return };
    if changed.has_left() {
        node.connections.close_idle(upstream);
    }
    let (what, cause) = changed.labels(now);
    node.metrics.state_changes.get_or_create(&StateLabels { state: what, cause }).inc();
    let pause = changed.accepts_from(now).map(|until| until.since(now).as_millis());
    let until_ms = pause.and_then(|pause| i64::try_from(pause).ok());
    let fields = json!({
        "upstream": upstream.as_str(), "change": what, "cause": cause,
        "until_ms": until_ms.map(|pause| clock::wall_ms() + pause), "pause_ms": pause,
        "request": source.request,
    });
    node.log.record("upstream", fields);
}

/// Handles what a response says about the limit of its upstream.
fn handle_limit(node: &ForwardNode, source: &ResponseSource<'_>, limit: LimitNotice) {
    let statement =
        LimitStatement { rate: limit.rate(), sent_at: source.sent_at, read_at: clock::now() };
    let (upstream, started_ms) = (source.upstream, source.started_ms);
    let changed = node.state().upstreams.apply_limit(upstream, started_ms, statement);
    if let Some(change) = changed {
        log_limit_change(node, upstream, change, Some(source.request), "response");
        node.limit_outbox.add(upstream);
    }
}

/// Handles what a response says about the upstreams of its pool.
fn handle_brittle(node: &ForwardNode, source: &ResponseSource<'_>, brittle: BrittleNotice) {
    let statement = BrittleStatement {
        refusals: brittle.refusals(),
        sent_at: source.sent_at,
        read_at: clock::now(),
    };
    let pool = {
        let state = node.state();
        state.upstreams.find(source.upstream).map(|row| row.entry.pool.clone())
    };
    let Some(pool) = pool else { return };
    let changed = node.state().upstreams.apply_brittle(&pool, statement);
    if changed {
        log_brittle_change(node, &pool, statement.refusals, "response");
        node.brittle_changed.notify_one();
    }
}

/// Logs that the upstreams of `pool` are brittle, or not any more. `from` names the node that told of it, or
/// `response`.
pub fn log_brittle_change(
    node: &ForwardNode,
    pool: &PoolName,
    refusals: Option<RefusalLimit>,
    from: &str,
) {
    let fields = json!({
        "pool": pool.as_str(), "from": from, "refusals": refusals.map(|refusals| refusals.0),
    });
    node.log.record("pool-brittle", fields);
}

/// Logs the change of a limit. `from` names the node that told of it, or `response`.
pub fn log_limit_change(
    node: &ForwardNode,
    upstream: &UpstreamId,
    change: LimitChange,
    request: Option<&str>,
    from: &str,
) {
    node.metrics.limits.changes.get_or_create(&LimitLabels { change: change.label() }).inc();
    let fields = json!({
        "upstream": upstream.as_str(), "change": change.label(), "from": from, "request": request,
        "rate": change.rate().map(RequestRate::per_second),
    });
    node.log.record("upstream-limit", fields);
}
