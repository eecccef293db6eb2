//! Graceful shutdown: reports not ready, stops accepting requests, then drains or hands over runs.

use std::time::{Duration, Instant};

use log::{info, warn};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::mpsc,
    time::sleep,
};

use crate::{event::ControlEvent, handle::ControlHandle, logging::NODE, settings::NodeSettings};

/// Interval between polls of the control thread during shutdown.
const POLL_PERIOD: Duration = Duration::from_millis(50);
/// Consecutive polls that must find the node drained.
const IDLE_POLLS_MIN: u32 = 4;
/// Timeout for handing runs over to other nodes.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for deleting the member row, which can fail while the table service is unavailable.
const DEREGISTER_TIMEOUT: Duration = Duration::from_secs(2);
/// Fraction of the reclaim notice after which the remaining runs are handed over.
const NOTICE_FRACTION: f64 = 0.6;

/// Waits for SIGTERM, SIGINT or a reclaim notice. Returns the time left to drain.
pub async fn wait_for_stop_signal(
    settings: &NodeSettings,
    notices: &mut mpsc::UnboundedReceiver<u64>,
) -> std::io::Result<Duration> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let timeout = settings.stop_timeout.to_duration();
    tokio::select! {
        _ = terminate.recv() => Ok(timeout),
        _ = interrupt.recv() => Ok(timeout),
        Some(left_ms) = notices.recv() => {
            warn!(target: NODE, "The platform reclaims this instance in {left_ms} ms.");
            Ok(timeout.min(Duration::from_millis(left_ms).mul_f64(NOTICE_FRACTION)))
        }
    }
}

/// Drains the node within `timeout`, hands over the remaining runs, and deregisters the node.
pub async fn stop_gracefully(control: &ControlHandle, settings: &NodeSettings, timeout: Duration) {
    let started_at = Instant::now();
    control.tell(ControlEvent::Stop);
    sleep(settings.balancer_notice.to_duration().min(timeout / 2)).await;
    control.tell(ControlEvent::Stop);
    if !wait_until_drained(control, timeout.saturating_sub(started_at.elapsed())).await {
        control.tell(ControlEvent::HandOverRuns);
        if !wait_until_drained(control, HANDOVER_TIMEOUT).await {
            warn!(target: NODE, "Some runs were neither completed nor handed over.");
        }
    }
    control.tell(ControlEvent::Deregister);
    let deregistered =
        wait_until(DEREGISTER_TIMEOUT, || async { control.ask(ControlEvent::HasLeft).await });
    if !deregistered.await {
        warn!(target: NODE, "Failed to delete the member row before shutdown.");
    }
    info!(target: NODE, "Stopped after {} ms.", started_at.elapsed().as_millis());
}

async fn wait_until_drained(control: &ControlHandle, timeout: Duration) -> bool {
    let idle_polls = std::cell::Cell::new(0);
    wait_until(timeout, || async {
        let drained = control.ask(ControlEvent::IsDrained).await?;
        idle_polls.set(if drained { idle_polls.get() + 1 } else { 0 });
        Some(idle_polls.get() >= IDLE_POLLS_MIN)
    })
    .await
}

async fn wait_until<F>(timeout: Duration, mut poll: impl FnMut() -> F) -> bool
where
    F: Future<Output = Option<bool>>,
{
    let deadline = Instant::now() + timeout;
    loop {
        if poll().await == Some(true) {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        sleep(POLL_PERIOD).await;
    }
}
