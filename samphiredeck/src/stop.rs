//! Start of a stop, and its steps: not ready, nothing new, what runs ends or is handed over.

use std::time::{Duration, Instant};

use log::{info, warn};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::mpsc,
    time::sleep,
};

use crate::{event::ControlEvent, handle::ControlHandle, logging::NODE, settings::NodeSettings};

/// Time between two looks at what still runs.
const LOOK_PERIOD: Duration = Duration::from_millis(50);
/// Looks in a row that must find nothing.
const QUIET_LOOKS: u32 = 4;
/// Bound on handing over.
const HAND_OVER_FOR: Duration = Duration::from_secs(3);
/// Bound on giving back the member row, which may fail while the table is down.
const LEAVE_FOR: Duration = Duration::from_secs(2);
/// Share of a reclaim notice after which what still runs is handed over.
const NOTICE_SHARE: f64 = 0.6;

/// Waits for a signal or a reclaim notice. Returns the bound on the stop.
pub async fn wait_for_stop(
    settings: &NodeSettings,
    notices: &mut mpsc::UnboundedReceiver<u64>,
) -> std::io::Result<Duration> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let bound = settings.stop_bound.to_duration();
    tokio::select! {
        _ = terminate.recv() => Ok(bound),
        _ = interrupt.recv() => Ok(bound),
        Some(left_ms) = notices.recv() => {
            warn!(target: NODE, "The platform reclaims this instance in {left_ms} ms.");
            Ok(bound.min(Duration::from_millis(left_ms).mul_f64(NOTICE_SHARE)))
        }
    }
}

/// Ends everything within `bound` or hands it over, and leaves.
pub async fn stop_gracefully(control: &ControlHandle, settings: &NodeSettings, bound: Duration) {
    let begun = Instant::now();
    control.tell(ControlEvent::Stop);
    sleep(settings.balancer_notice.to_duration().min(bound / 2)).await;
    control.tell(ControlEvent::Stop);
    if !drained_within(control, bound.saturating_sub(begun.elapsed())).await {
        control.tell(ControlEvent::HandOverRuns);
        if !drained_within(control, HAND_OVER_FOR).await {
            warn!(target: NODE, "Not everything could be ended or handed over.");
        }
    }
    control.tell(ControlEvent::Deregister);
    let left = wait_until(LEAVE_FOR, || async { control.ask(ControlEvent::HasLeft).await });
    if !left.await {
        warn!(target: NODE, "The member row could not be given back.");
    }
    info!(target: NODE, "Stopped after {} ms.", begun.elapsed().as_millis());
}

async fn drained_within(control: &ControlHandle, bound: Duration) -> bool {
    let quiet = std::cell::Cell::new(0);
    wait_until(bound, || async {
        let drained = control.ask(ControlEvent::IsDrained).await?;
        quiet.set(if drained { quiet.get() + 1 } else { 0 });
        Some(quiet.get() >= QUIET_LOOKS)
    })
    .await
}

async fn wait_until<F>(bound: Duration, mut look: impl FnMut() -> F) -> bool
where
    F: Future<Output = Option<bool>>,
{
    let until = Instant::now() + bound;
    loop {
        if look().await == Some(true) {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        sleep(LOOK_PERIOD).await;
    }
}
