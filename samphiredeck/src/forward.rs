//! Node that forwards client requests to the platform's upstreams unmodified.

mod admission;
mod agreed_rows;
mod attempt;
mod bounded_body;
mod byte_lease;
mod caller_connection;
mod caller_stream;
mod clock;
mod connection_pool;
mod decision_log;
mod dependency;
mod head_stream;
mod heartbeats;
pub mod http_connection;
mod in_flight;
mod ingress;
mod leader;
mod limit_exchange;
mod limit_queue;
mod load_exchange;
mod metrics;
mod name_rows;
mod node;
mod operator;
mod origin_rows;
mod patient_stream;
mod peer_choice;
mod peer_messages;
mod peer_socket;
mod platform_client;
mod quota;
mod quota_decision;
mod relay;
mod request;
mod request_progress;
mod response_body;
mod response_scan;
mod retry_funding;
mod rollout;
mod send_permit;
mod serve;
pub mod settings;
mod settings_wait;
mod shared_rows;
mod silent_upstream;
mod slot_exchange;
mod speed_exchange;
mod state;
mod stop_checks;
mod store_returns;
mod store_status;
mod store_watch;
mod stream_versions;
mod suspect_checks;
mod suspect_exchange;
mod suspect_rows;
mod task_guard;
mod tunnel_client;
mod tunnel_messages;
mod tunnel_server;
mod tunnel_stream;
mod upstream_changes;
mod upstream_choice;
mod upstream_paths;
mod upstream_response;
mod version_rows;

use std::{
    net::TcpListener,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

use actix_web::rt::{System, spawn};
use eyre::WrapErr;
use samphiredeck_core::{boot_time::BootTime, forward::stop_schedule::StopSchedule};
use serde_json::json;
use tokio::{
    select,
    signal::unix::{Signal, SignalKind, signal},
    time::{sleep, timeout},
};

use crate::forward::{
    metrics::StateLabels,
    node::{ForwardNode, ShutdownPhase},
    settings::{ForwardSettings, load_forward_settings},
    settings_wait::wait_for_settings,
    task_guard::spawn_guarded,
    upstream_response::RESPONSE_BYTES_MAX,
};

/// Poll interval while draining.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(40);
/// Interval of connection cleanup and gauge updates.
const MAINTENANCE_PERIOD: Duration = Duration::from_millis(500);
/// Poll interval for the settings file, which may change without a signal.
const SETTINGS_POLL_PERIOD: Duration = Duration::from_secs(2);

/// Listening sockets of a node.
struct NodeListeners {
    caller: TcpListener,
    ready: TcpListener,
    metrics: TcpListener,
}

/// Runs a node with the settings in `path` until it receives a termination signal. Waits for settings that can be read.
pub fn run_forward(path: &Path) -> eyre::Result<()> {
    System::new().block_on(async {
        // Until a signal is handled, it ends the process.
        let mut signals = NodeSignals::register()?;
        let Some(settings) = wait_for_settings(path, &mut signals).await? else { return Ok(()) };
        let listeners = bind_listeners(&settings)?;
        serve(settings, listeners, path.to_owned(), signals).await
    })
}

/// Signals that a node handles.
struct NodeSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl NodeSignals {
    fn register() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

fn bind_listeners(settings: &ForwardSettings) -> eyre::Result<NodeListeners> {
    let bind = |field: &str, address| {
        ingress::bind(address).wrap_err_with(|| format!("listen.{field}: {address}"))
    };
    Ok(NodeListeners {
        caller: bind("caller", settings.listen.caller)?,
        ready: bind("ready", settings.listen.ready)?,
        metrics: bind("metrics", settings.listen.metrics)?,
    })
}

async fn serve(
    settings: ForwardSettings,
    listeners: NodeListeners,
    path: PathBuf,
    mut signals: NodeSignals,
) -> eyre::Result<()> {
    let node = Rc::new(ForwardNode::new(settings));
    log_start(&node);
    start_tasks(&node, listeners);
    loop {
        select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => reload(&node, &path, "signal"),
            () = sleep(SETTINGS_POLL_PERIOD) => reload(&node, &path, "file"),
        }
    }
    stop(&node).await;
    Ok(())
}

fn log_start(node: &ForwardNode) {
    let settings = node.settings();
    let fields = json!({
        "domain": settings.domain.as_str(),
        "caller": settings.listen.caller.to_string(), "store": settings.platform.store.to_string(),
        "program": env!("CARGO_PKG_VERSION"),
    });
    node.log.record("start", fields);
    let budget = node.byte_budget.borrow();
    node.metrics.byte_budget.set(i64::try_from(budget.total()).unwrap_or(i64::MAX));
    if budget.upstream_share() < RESPONSE_BYTES_MAX {
        let fields = json!({
            "memory": settings.memory, "budget": budget.total(),
            "response_max": budget.upstream_share(),
        });
        node.log.record("memory-small", fields);
    }
}

/// Spawns the background tasks and listeners. Each runs until the process exits, also after a panic.
fn start_tasks(node: &Rc<ForwardNode>, listeners: NodeListeners) {
    macro_rules! guard {
        ($($task:path),* $(,)?) => {
            $(
                let guarded = Rc::clone(node);
                spawn_guarded(move || $task(Rc::clone(&guarded)));
            )*
        };
    }
    guard!(
        store_watch::watch_config,
        store_watch::watch_upstreams,
        shared_rows::sync_shared_rows,
        leader::run_leader,
        rollout::leader::run_rollouts,
        rollout::watch_versions,
        stream_versions::announce_origins,
        origin_rows::sync_origins,
        suspect_exchange::announce_suspects,
        suspect_exchange::compare_suspects,
        limit_exchange::announce_limits,
        limit_exchange::compare_limits,
        speed_exchange::announce_speeds,
        load_exchange::exchange_loads,
        slot_exchange::announce_brittle,
        slot_exchange::return_slots,
        quota_decision::watch_reach,
        upstream_paths::probe_paths,
        tunnel_server::accept_tunnels,
        maintain,
    );
    spawn(ingress::accept_callers(Rc::clone(node), listeners.caller));
    spawn(ingress::serve_readiness(Rc::clone(node), listeners.ready));
    spawn(ingress::serve_metrics(Rc::clone(node), listeners.metrics));
}

/// Closes expired connections and updates the gauges periodically.
async fn maintain(node: Rc<ForwardNode>) {
    loop {
        node.connections.remove_expired();
        update_gauges(&node);
        for reason in node.panics.take() {
            node.log.record("panic", json!({ "reason": reason }));
        }
        sleep(MAINTENANCE_PERIOD).await;
    }
}

fn update_gauges(node: &ForwardNode) {
    let state = node.state();
    let now = clock::now();
    let metrics = &node.metrics;
    metrics.store.era.set(node.store_eras.borrow().current().0.into());
    metrics.config.age.set(state.freshness.age(now).unwrap_or_default().as_secs_f64());
    let read_at = state.upstreams.read_at();
    metrics.list_age.set(read_at.map(|at| now.since(at)).unwrap_or_default().as_secs_f64());
    let accepting = state.upstreams.rows().iter().filter(|row| row.is_accepting(now)).count();
    metrics.upstreams.clear();
    for row in state.upstreams.rows() {
        let (state, cause) = row.state().labels(now);
        metrics.upstreams.get_or_create(&StateLabels { state, cause }).inc();
    }
    metrics.suspect_reports.set(i64::try_from(state.suspects.reports().len()).unwrap_or(i64::MAX));
    let limited = state.upstreams.rows().iter().filter(|row| row.is_limited()).count();
    metrics.limits.limited.set(i64::try_from(limited).unwrap_or(i64::MAX));
    metrics.paths.lost.set(i64::try_from(state.paths.count_lost()).unwrap_or(i64::MAX));
    metrics.accepting.set(i64::try_from(accepting).unwrap_or(i64::MAX));
    metrics.dropped_lines.set(i64::try_from(node.log.dropped_lines()).unwrap_or(i64::MAX));
    metrics.left_out_lines.set(i64::try_from(node.log.left_out_lines()).unwrap_or(i64::MAX));
}

/// Reloads the settings. Invalid settings leave the current ones in place.
fn reload(node: &ForwardNode, path: &Path, cause: &str) {
    let loaded = load_forward_settings(path);
    node.metrics.config.settings_refused.set(loaded.is_err().into());
    match loaded {
        Ok(settings) if settings == *node.settings() => {
            if cause == "signal" {
                node.log.record("reload", json!({ "cause": cause, "changed": false }));
            }
        }
        Ok(settings) => {
            *node.settings.borrow_mut() = Rc::new(settings);
            node.log.record("reload", json!({ "cause": cause, "changed": true }));
        }
        Err(error) => {
            let fields = json!({ "cause": cause, "reason": error.to_string() });
            node.log.record("reload-refused", fields);
        }
    }
}

/// Shuts down in order: reports not ready, stops accepting, then waits for running requests.
async fn stop(node: &Rc<ForwardNode>) {
    let schedule = StopSchedule::new(clock::now(), node.settings().bounds.grace.to_duration());
    let running = || node.metrics.in_flight.get();
    let after = |at: BootTime| at.since(schedule.signalled_at).as_millis();
    let fields = json!({
        "running": running(), "admits_ms": after(schedule.admits_until),
        "answers_ms": after(schedule.answers_at), "ends_ms": after(schedule.ends_at),
    });
    node.log.record("stop", fields);
    node.stop_schedule.set(Some(schedule));
    node.phase.send_replace(ShutdownPhase::Draining);
    wait_until(schedule.closes_at, || false).await;
    node.phase.send_replace(ShutdownPhase::Closing);
    // A connection stays open until its caller has received the last response.
    let is_drained = || running() == 0 && node.open_connections() == 0 && node.open_tunnels() == 0;
    let in_order = wait_until(schedule.answers_at, is_drained).await;
    let unanswered = running();
    if !in_order {
        node.phase.send_replace(ShutdownPhase::Ending);
        wait_until(schedule.ends_at, is_drained).await;
    }
    let time_left = schedule.killed_at.since(clock::now()) / 2;
    if timeout(time_left, shared_rows::publish_final_counts(node)).await.is_err() {
        node.log.record("counts-unpublished", json!({ "reason": "no time left" }));
    }
    let fields = json!({
        "running": running(), "in_order": in_order, "unanswered": unanswered,
        "after_ms": after(clock::now()),
    });
    node.log.record("stopped", fields);
}

/// Waits until `is_done`, or until `at` on the clock that includes time spent suspended. Returns the last result of `is_done`.
async fn wait_until(at: BootTime, is_done: impl Fn() -> bool) -> bool {
    loop {
        let left = at.since(clock::now());
        if is_done() || left.is_zero() {
            return is_done();
        }
        sleep(left.min(DRAIN_POLL_PERIOD)).await;
    }
}
