//! A node that forwards callers' requests to the platform's upstreams as they are.

mod attempt;
mod clock;
mod connection_pool;
mod decision_log;
mod dependency;
mod http_connection;
mod in_flight;
mod ingress;
mod leader;
mod metrics;
mod node;
mod peer_messages;
mod peer_socket;
mod platform_client;
mod quota;
mod relay;
mod request;
mod response_body;
mod serve;
pub mod settings;
mod shared_rows;
mod state;
mod store_status;
mod store_watch;
mod upstream_log;
mod upstream_response;

use std::{
    net::TcpListener,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

use actix_web::rt::{System, spawn};
use eyre::WrapErr;
use serde_json::json;
use tokio::{
    select,
    signal::unix::{SignalKind, signal},
    time::{sleep, timeout},
};

use crate::forward::{
    node::{ForwardNode, StopPhase},
    settings::{ForwardSettings, load_forward},
};

/// Time for which a stopping node goes on to accept: the balancer asks once a second and takes a
/// node out after two misses.
const BALANCER_NOTICE: Duration = Duration::from_millis(2_600);
/// Part of the grace that is left unused, so that the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(1_200);
/// Time between two looks at what is left.
const LOOK_PERIOD: Duration = Duration::from_millis(40);
/// Time between two rounds over connections and gauges.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(2);

/// Listeners of a node.
struct NodeListeners {
    caller: TcpListener,
    ready: TcpListener,
    metrics: TcpListener,
}

/// Runs a node with the settings in `path` until it is told to stop.
pub fn run_forward(path: &Path) -> eyre::Result<()> {
    let settings = load_forward(path)?;
    let listeners = bind_listeners(&settings)?;
    System::new().block_on(serve(settings, listeners, path.to_owned()))
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
) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let node = Rc::new(ForwardNode::new(settings));
    note_start(&node);
    start_parts(&node, listeners);
    loop {
        select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&node, &path, "signal"),
            () = sleep(SETTINGS_PERIOD) => reload(&node, &path, "file"),
        }
    }
    stop(&node).await;
    Ok(())
}

fn note_start(node: &ForwardNode) {
    let settings = node.settings();
    let fields = json!({
        "domain": settings.domain.as_str(),
        "caller": settings.listen.caller.to_string(), "store": settings.platform.store.to_string(),
        "program": env!("CARGO_PKG_VERSION"),
    });
    node.journal.note("start", fields);
}

/// Starts every part. Each runs until the process ends.
fn start_parts(node: &Rc<ForwardNode>, listeners: NodeListeners) {
    spawn(store_watch::watch_config(Rc::clone(node)));
    spawn(store_watch::watch_upstreams(Rc::clone(node)));
    spawn(shared_rows::share_rows(Rc::clone(node)));
    spawn(leader::hold_duty(Rc::clone(node)));
    spawn(sweep(Rc::clone(node)));
    spawn(ingress::accept_callers(Rc::clone(node), listeners.caller));
    spawn(ingress::answer_ready(Rc::clone(node), listeners.ready));
    spawn(ingress::answer_metrics(Rc::clone(node), listeners.metrics));
}

/// Closes old connections and brings the gauges up to date.
async fn sweep(node: Rc<ForwardNode>) {
    loop {
        node.pool.sweep();
        show_beliefs(&node);
        sleep(SWEEP_PERIOD).await;
    }
}

fn show_beliefs(node: &ForwardNode) {
    let beliefs = node.beliefs();
    let now = clock::now();
    let gauges = &node.gauges;
    gauges.config_age.set(beliefs.proof.age(now).unwrap_or_default().as_secs_f64());
    let read_at = beliefs.roster.read_at();
    gauges.list_age.set(read_at.map(|at| now.since(at)).unwrap_or_default().as_secs_f64());
    let accepting = beliefs.roster.rows().iter().filter(|row| row.is_accepting(now)).count();
    gauges.accepting.set(i64::try_from(accepting).unwrap_or(i64::MAX));
    gauges.dropped_lines.set(i64::try_from(node.journal.dropped()).unwrap_or(i64::MAX));
}

/// Reads the settings again. Settings that are refused change nothing.
fn reload(node: &ForwardNode, path: &Path, cause: &str) {
    match load_forward(path) {
        Ok(settings) if settings == *node.settings() => {
            if cause == "signal" {
                node.journal.note("reload", json!({ "cause": cause, "changed": false }));
            }
        }
        Ok(settings) => {
            *node.settings.borrow_mut() = Rc::new(settings);
            node.journal.note("reload", json!({ "cause": cause, "changed": true }));
        }
        Err(error) => {
            let fields = json!({ "cause": cause, "reason": error.to_string() });
            node.journal.note("reload-refused", fields);
        }
    }
}

/// Ends in order: not ready, then nothing new, then what runs ends.
async fn stop(node: &ForwardNode) {
    let grace = node.settings().bounds.grace.to_duration().saturating_sub(GRACE_MARGIN);
    let begun = clock::now();
    let running = || node.gauges.in_flight.get();
    node.journal.note("stop", json!({ "running": running(), "grace_ms": grace.as_millis() }));
    node.phase.send_replace(StopPhase::Leaving);
    sleep(BALANCER_NOTICE.min(grace / 2)).await;
    node.phase.send_replace(StopPhase::Closing);
    let left = grace.saturating_sub(clock::now().since(begun));
    let quiet = async {
        while running() > 0 {
            sleep(LOOK_PERIOD).await;
        }
        // Last bytes of answers leave their connections.
        sleep(LOOK_PERIOD).await;
    };
    let ended = timeout(left, quiet).await.is_ok();
    shared_rows::publish_last(node).await;
    let fields = json!({
        "running": running(), "in_order": ended, "after_ms": clock::now().since(begun).as_millis(),
    });
    node.journal.note("stopped", fields);
}
