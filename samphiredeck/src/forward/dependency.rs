//! Readers' view of what they depend on, and the pace of their calls.

use std::time::Duration;

use rand::random;
use samphiredeck_core::{backoff::Backoff, boot_time::BootTime};
use serde_json::json;
use tokio::time::sleep;

use crate::forward::{clock, node::ForwardNode, platform_client::CallError};

/// Bound on an answer of the store, beyond the time for which it may be held back.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// First and longest pause after a call that failed.
const PAUSE_FIRST: Duration = Duration::from_millis(150);
const PAUSE_LONGEST: Duration = Duration::from_millis(500);
/// Share of a period by which it varies, so that nodes don't call together.
const PERIOD_NOISE: f64 = 0.2;

/// A dependency as one reader sees it: logs when it is lost and when it is back.
pub struct DependencyState<'a> {
    node: &'a ForwardNode,
    purpose: &'static str,
    pause: Backoff,
    lost_at: Option<BootTime>,
}

impl<'a> DependencyState<'a> {
    /// Starts with the dependency in use.
    pub fn new(node: &'a ForwardNode, purpose: &'static str) -> Self {
        let pause = Backoff::new(PAUSE_FIRST, PAUSE_LONGEST);
        Self { node, purpose, pause, lost_at: None }
    }

    /// Notes an answer.
    pub fn answered(&mut self) {
        self.pause.reset();
        if let Some(lost_at) = self.lost_at.take() {
            let lost_ms = clock::now().since(lost_at).as_millis();
            let fields = json!({ "what": self.purpose, "after_ms": lost_ms });
            self.node.journal.note("dependency-back", fields);
        }
    }

    /// Notes a failure and waits before the next try.
    pub async fn failed(&mut self, error: &CallError) {
        if self.lost_at.is_none() {
            self.lost_at = Some(clock::now());
            let fields = json!({ "what": self.purpose, "reason": error.to_string() });
            self.node.journal.note("dependency-lost", fields);
        }
        sleep(self.pause.next_delay(random())).await;
    }
}

/// Sleeps for about `period`.
pub async fn sleep_about(period: Duration) {
    sleep(period.mul_f64(1.0 + (random::<f64>() - 0.5) * PERIOD_NOISE)).await;
}
