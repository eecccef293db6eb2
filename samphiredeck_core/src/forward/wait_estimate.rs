//! Expected time from the send of a request to the first sign of its response.
//!
//! Answers overload, in which upstreams hold more requests than slots: a request waits for a slot before its prompt is
//! computed, for as long as those ahead of it take. An estimate without that wait stays near zero while callers leave.

use std::time::Duration;

use crate::forward::pool_speed::PoolSpeed;

/// Share of the running requests of an engine whose prompt is assumed to be still in prefill.
const PREFILL_SHARE: f64 = 0.1;

/// Parts of the expected wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitEstimate {
    /// Until a slot is free.
    pub slot: Duration,
    /// For the prompts that are computed before or beside that of the request.
    pub backlog: Duration,
    /// For its own prompt.
    pub prefill: Duration,
    /// From the end of the prefill to the first token, or the service time of an upstream that is no engine.
    pub first_token: Duration,
    /// By which responses of the upstream were later than expected lately.
    pub lateness: Duration,
}

impl WaitEstimate {
    /// Sum of all parts.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.queue() + self.prefill + self.first_token + self.lateness
    }

    /// Wait for others: until a slot is free and the prompts before that of the request are computed.
    #[must_use]
    pub fn queue(&self) -> Duration {
        self.slot + self.backlog
    }
}

/// Load of an upstream as seen by a node that considers it.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamLoad {
    /// Requests that it can run at once. At least 1.
    pub slots: f64,
    /// Requests of all nodes there.
    pub requests: f64,
    /// Prompt tokens to compute for this node's requests without a sign of a response.
    pub own_pending: f64,
    /// The same for the requests of other nodes, if they have told.
    pub other_pending: Option<f64>,
    /// Prompt tokens to compute for the request itself.
    pub prompt_tokens: f64,
    /// Factor by which work takes longer there than at a usual upstream of the pool.
    pub time_factor: f64,
    /// Time by which its responses were later than expected lately, in milliseconds.
    pub lateness_ms: f64,
}

impl UpstreamLoad {
    /// Expected wait at an engine of a pool with `speed`.
    #[must_use]
    pub fn engine_wait(&self, speed: &PoolSpeed) -> WaitEstimate {
        let queued = (self.requests + 1.0 - self.slots).max(0.0);
        let running = self.requests.min(self.slots);
        let prompt_ms = speed.mean_prefill_ms();
        let run_ms = speed.first_token_ms() + prompt_ms + speed.response_ms();
        // Slots are freed as runs end. Prefills take turns, so a run can't begin sooner than the prompt before is computed.
        let turn_ms = (run_ms / self.slots).max(prompt_ms);
        let assumed = running * PREFILL_SHARE * speed.prompt_tokens();
        // Prompts that are told to wait may be none: the more requests run, the sooner the next ones fill the upstream.
        let others = self.other_pending.unwrap_or(0.0).max(assumed);
        let backlog_tokens = self.own_pending + others;
        let factor = self.time_factor;
        WaitEstimate {
            slot: millis(queued * turn_ms * factor),
            backlog: millis(speed.prefill_ms(backlog_tokens) * factor),
            prefill: millis(speed.prefill_ms(self.prompt_tokens) * factor),
            first_token: millis(speed.first_token_ms() * factor),
            lateness: millis(self.lateness_ms),
        }
    }

    /// Expected wait at an upstream of a pool with `speed` that is no engine.
    #[must_use]
    pub fn service_wait(&self, speed: &PoolSpeed) -> WaitEstimate {
        let turn_ms = speed.service_ms() / self.slots;
        let queued = (self.requests + 1.0 - self.slots).max(0.0);
        WaitEstimate {
            slot: millis(queued * turn_ms),
            first_token: millis((self.requests + 1.0 - queued) * turn_ms),
            lateness: millis(self.lateness_ms),
            ..WaitEstimate::default()
        }
    }
}

fn millis(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0) / 1_000.0)
}
