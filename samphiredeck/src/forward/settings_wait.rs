//! Start of a node whose settings can't be read.
//!
//! The node does not serve by bounds that it does not know, and does not end either: the platform would start it again with
//! the same settings, without end. It says that it is not ready and why, and starts as soon as the settings can be read.

use std::{net::SocketAddr, path::Path};

use bytes::Bytes;
use http::StatusCode;
use serde_json::{Value, json};
use tokio::{
    select,
    task::{AbortHandle, JoinHandle},
    time::sleep,
};

use super::{
    NodeSignals, SETTINGS_POLL_PERIOD,
    ingress::{bind, serve_plain},
    metrics::ForwardMetrics,
    settings::{FieldErrors, ForwardSettings, load_forward_settings},
};

/// Number of connections of probes.
const PROBES_MAX: usize = 16;

/// Reads the settings in `path`, as soon as all their fields can be read. `None` if a termination signal comes first.
///
/// # Errors
///
/// Fails if the file can't be opened: no settings are in effect there.
pub async fn wait_for_settings(
    path: &Path,
    signals: &mut NodeSignals,
) -> eyre::Result<Option<ForwardSettings>> {
    let mut reported = String::new();
    let mut responder = UnreadyResponder::default();
    loop {
        let text = std::fs::read_to_string(path);
        let error = match load_forward_settings(path) {
            Ok(settings) => {
                responder.stop().await;
                return Ok(Some(settings));
            }
            Err(error) => error,
        };
        let Ok(text) = text else { return Err(error.into()) };
        if error.to_string() != reported {
            reported = error.to_string();
            responder.stop().await;
            responder = UnreadyResponder::start(&text, &error);
            log_refusal(&error);
        }
        select! {
            _ = signals.terminate.recv() => return Ok(None),
            _ = signals.interrupt.recv() => return Ok(None),
            _ = signals.hangup.recv() => {}
            () = sleep(SETTINGS_POLL_PERIOD) => {}
        }
    }
}

/// Writes a line before there is a log, whose rate the settings tell.
fn log_refusal(error: &FieldErrors) {
    let line = json!({ "kind": "settings-refused", "reason": error.to_string() });
    println!("{line}");
    eprintln!("the settings can't be read, waiting until they can: {error}");
}

/// Answers probes and readers of metrics meanwhile, at those addresses that can be read.
#[derive(Default)]
struct UnreadyResponder {
    tasks: Vec<JoinHandle<()>>,
}

impl UnreadyResponder {
    fn start(text: &str, error: &FieldErrors) -> Self {
        let settings: Value = serde_json::from_str(text).unwrap_or_default();
        let address = |field: &str| settings["listen"][field].as_str()?.parse::<SocketAddr>().ok();
        let reason = Bytes::from(format!("the settings can't be read: {error}"));
        let metrics = ForwardMetrics::new();
        metrics.config.settings_refused.set(1);
        let metrics = Bytes::from(metrics.render());
        let responses = [
            ("ready", StatusCode::SERVICE_UNAVAILABLE, reason),
            ("metrics", StatusCode::OK, metrics),
        ];
        let mut tasks = Vec::new();
        for (field, status, body) in responses {
            let Some(address) = address(field) else { continue };
            match bind(address) {
                Ok(listener) => tasks.push(actix_web::rt::spawn(async move {
                    let served = serve_plain(listener, PROBES_MAX, move |_| (status, body.clone()));
                    if let Err(error) = served.await {
                        eprintln!("listen.{field}: {error}");
                    }
                })),
                Err(error) => eprintln!("listen.{field}: {address}: {error}"),
            }
        }
        Self { tasks }
    }

    /// Closes the listeners, since the node binds the same addresses.
    async fn stop(&mut self) {
        self.tasks.iter().map(JoinHandle::abort_handle).for_each(|task: AbortHandle| task.abort());
        for task in self.tasks.drain(..) {
            // It was cancelled.
            drop(task.await);
        }
    }
}
