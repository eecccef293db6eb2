//! Availability of a dependency, with retry delays and jitter for its callers.

use std::time::Duration;

use rand::random;
use samphiredeck_core::{backoff::Backoff, boot_time::BootTime};
use serde_json::json;
use tokio::time::sleep;

use crate::forward::{clock, node::ForwardNode, platform_client::PlatformCallError};

/// Timeout of store requests, in addition to the time of a long poll.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Minimum and maximum delay after a failed call.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(150);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);
/// Relative jitter of a period, so that nodes don't send requests at the same time.
const PERIOD_JITTER: f64 = 0.2;

/// Tracks the availability of a dependency for one of its users. Logs when it fails and recovers.
pub struct DependencyMonitor<'a> {
    node: &'a ForwardNode,
    purpose: &'static str,
    backoff: Backoff,
    failing_since: Option<BootTime>,
}

impl<'a> DependencyMonitor<'a> {
    /// Creates a monitor of an available dependency.
    pub fn new(node: &'a ForwardNode, purpose: &'static str) -> Self {
        let backoff = Backoff::new(RETRY_DELAY_MIN, RETRY_DELAY_MAX);
        Self { node, purpose, backoff, failing_since: None }
    }

    /// Records a successful call.
    pub fn record_success(&mut self) {
        self.backoff.reset();
        if let Some(failing_since) = self.failing_since.take() {
            let outage_ms = clock::now().since(failing_since).as_millis();
            let fields = json!({ "what": self.purpose, "after_ms": outage_ms });
            self.node.log.record("dependency-back", fields);
        }
    }

    /// Records a failed call and waits before the next attempt.
    pub async fn record_failure(&mut self, error: &PlatformCallError) {
        if self.failing_since.is_none() {
            self.failing_since = Some(clock::now());
            let fields = json!({ "what": self.purpose, "reason": error.to_string() });
            self.node.log.record("dependency-lost", fields);
        }
        sleep(self.backoff.next_delay(random())).await;
    }
}

/// Sleeps for `period` with jitter.
pub async fn sleep_with_jitter(period: Duration) {
    sleep(period.mul_f64(1.0 + (random::<f64>() - 0.5) * PERIOD_JITTER)).await;
}
