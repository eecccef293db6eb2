//! Estimates how fast the upstreams of a pool work, from their responses.
//!
//! Pools differ in hardware, model and batch size, and the configuration does not describe them.
//! Decisions about placement, refusal and capacity need the time that a prompt, an output token or
//! a plain request takes. Each node measures these for itself.
//!
//! Quantiles are tracked by small multiplicative steps, so that a single absurd sample, or an
//! upstream that reports nonsense, moves an estimate by no more than one step. The first steps are
//! larger, so that a few samples suffice to correct a wrong start value.

use std::time::Duration;

use crate::ids::PoolName;

/// Start value of the prefill speed, in prompt tokens per millisecond. Within a factor of three of
/// common accelerators and model sizes.
const PREFILL_START: f64 = 40.0;
/// Start value of the time between two output tokens, in milliseconds.
const TOKEN_INTERVAL_START_MS: f64 = 5.0;
/// Start value of the time from a short prompt to its first token, in milliseconds.
const FIRST_TOKEN_START_MS: f64 = 20.0;
/// Start value of the service time of a plain request, in milliseconds.
const SERVICE_START_MS: f64 = 40.0;
/// Start value of the time for which a request occupies its upstream, in milliseconds.
const HELD_START_MS: f64 = 200.0;
/// Quantile of it that is tracked: near the mean, as a few responses are much longer than most.
const HELD_QUANTILE: f64 = 0.6;
/// Start value of the prompt tokens that a request leaves to compute.
const PROMPT_START: f64 = 2_000.0;
/// Start value of the output tokens of a response.
const OUTPUT_START: f64 = 64.0;
/// Maximum factor between an estimate and its start value, in both directions.
const RANGE: f64 = 50.0;
/// Relative step per sample once the estimate has settled.
const STEP_SETTLED: f64 = 0.03;
/// Additional relative step of the first sample. Falls with the number of samples.
const STEP_FIRST: f64 = 0.4;
/// Prompts with fewer tokens to compute than this measure the time to the first token, longer ones
/// the prefill speed.
const SHORT_PROMPT_TOKENS: u64 = 500;
/// Quantile of the prefill speed that is tracked. Far above the median, since requests of other
/// nodes that an upstream processes at the same time make samples too slow, the more the higher the
/// load is. Nothing makes them too fast but the cache, and only requests that hardly depend on it
/// are measured.
const PREFILL_QUANTILE: f64 = 0.85;
/// Weight of the newest sample in a mean once it has settled.
const MEAN_WEIGHT_MIN: f64 = 0.02;
/// Maximum factor between a sample and the mean before it.
const MEAN_EXCESS_MAX: f64 = 10.0;
/// Minimum wait whose error is recorded.
const WAIT_MIN: Duration = Duration::from_millis(5);
/// Maximum error of one wait that counts, as a natural logarithm: a factor of 2.7.
const WAIT_ERROR_MAX: f64 = 1.0;
/// Part of the error of one wait by which the factor moves.
const WAIT_STEP: f64 = 0.08;
/// Range of the factor.
const WAIT_FACTOR_RANGE: (f64, f64) = (0.5, 5.0);
/// Minimum number of output tokens of a response that measures the time between tokens.
const OUTPUT_TOKENS_MIN: u64 = 8;

/// Running quantile of a positive quantity.
#[derive(Clone, Copy, Debug)]
struct TrackedQuantile {
    /// Within [`RANGE`] of `start`.
    value: f64,
    start: f64,
    quantile: f64,
    samples: u32,
}

impl TrackedQuantile {
    fn new(start: f64, quantile: f64) -> Self {
        Self { value: start, start, quantile, samples: 0 }
    }

    /// Moves the estimate towards `sample` by one step. Ignores samples that are not positive and
    /// finite.
    fn record(&mut self, sample: f64) {
        if !sample.is_finite() || sample <= 0.0 {
            return;
        }
        let step = STEP_SETTLED + STEP_FIRST / (1.0 + f64::from(self.samples));
        let exponent =
            if sample > self.value { step * self.quantile } else { -step * (1.0 - self.quantile) };
        // Both directions move by `step` at the median.
        let moved = self.value * (exponent * 2.0).exp();
        let passes_sample = (moved - sample) * (self.value - sample) < 0.0;
        let moved = if passes_sample { sample } else { moved };
        self.value = moved.clamp(self.start / RANGE, self.start * RANGE);
        self.samples = self.samples.saturating_add(1);
    }
}

/// Running mean of a positive quantity. What upstreams do in a time follows from means: few long requests take most of it,
/// and the median does not show them.
#[derive(Clone, Copy, Debug)]
struct TrackedMean {
    /// Above zero.
    value: f64,
    samples: u32,
}

impl TrackedMean {
    fn new(start: f64) -> Self {
        Self { value: start, samples: 0 }
    }

    /// Moves the mean towards `sample`. An absurd one counts as the largest plausible.
    fn record(&mut self, sample: f64) {
        if !sample.is_finite() || sample <= 0.0 {
            return;
        }
        let weight = MEAN_WEIGHT_MIN.max(1.0 / (f64::from(self.samples) + 2.0));
        let bounded = sample.min(self.value * MEAN_EXCESS_MAX);
        self.value += (bounded - self.value) * weight;
        self.samples = self.samples.saturating_add(1);
    }
}

/// Speed of the upstreams of one pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolSpeed {
    prefill_tokens_per_ms: TrackedQuantile,
    token_interval_ms: TrackedQuantile,
    first_token_ms: TrackedQuantile,
    service_ms: TrackedQuantile,
    held_ms: TrackedQuantile,
    prompt_tokens: TrackedQuantile,
    output_tokens: TrackedQuantile,
    prompt_mean: TrackedMean,
    output_mean: TrackedMean,
    /// Factor by which waits turn out longer than what the speeds tell. Within [`WAIT_FACTOR_RANGE`].
    wait_factor: f64,
}

impl Default for PoolSpeed {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: TrackedQuantile::new(PREFILL_START, PREFILL_QUANTILE),
            token_interval_ms: TrackedQuantile::new(TOKEN_INTERVAL_START_MS, 0.5),
            first_token_ms: TrackedQuantile::new(FIRST_TOKEN_START_MS, 0.5),
            service_ms: TrackedQuantile::new(SERVICE_START_MS, 0.5),
            held_ms: TrackedQuantile::new(HELD_START_MS, HELD_QUANTILE),
            prompt_tokens: TrackedQuantile::new(PROMPT_START, 0.5),
            output_tokens: TrackedQuantile::new(OUTPUT_START, 0.5),
            prompt_mean: TrackedMean::new(PROMPT_START),
            output_mean: TrackedMean::new(OUTPUT_START),
            wait_factor: 1.0,
        }
    }
}

impl PoolSpeed {
    /// Prompt tokens that an engine processes per millisecond.
    #[must_use]
    pub fn prefill_tokens_per_ms(&self) -> f64 {
        self.prefill_tokens_per_ms.value
    }

    /// Time that an engine takes to process `tokens` prompt tokens, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.prefill_tokens_per_ms.value
    }

    /// Time between two output tokens of one response, in milliseconds.
    #[must_use]
    pub fn token_interval_ms(&self) -> f64 {
        self.token_interval_ms.value
    }

    /// Time from a short prompt to its first token on an idle engine, in milliseconds.
    #[must_use]
    pub fn first_token_ms(&self) -> f64 {
        self.first_token_ms.value
    }

    /// Time that an upstream other than an engine takes for a request, in milliseconds.
    #[must_use]
    pub fn service_ms(&self) -> f64 {
        self.service_ms.value
    }

    /// Time for which a request occupies its upstream, to the end of the response.
    #[must_use]
    pub fn held(&self) -> Duration {
        Duration::from_secs_f64(self.held_ms.value / 1_000.0)
    }

    /// Median number of prompt tokens that a request leaves an engine to compute.
    #[must_use]
    pub fn prompt_tokens(&self) -> f64 {
        self.prompt_tokens.value
    }

    /// Median number of output tokens of a response.
    #[must_use]
    pub fn output_tokens(&self) -> f64 {
        self.output_tokens.value
    }

    /// Mean time from the first token of a response to its last, in milliseconds.
    #[must_use]
    pub fn response_ms(&self) -> f64 {
        self.output_mean.value * self.token_interval_ms.value
    }

    /// Factor by which waits turn out longer than what the speeds tell, as engines compute prompts between the tokens of other
    /// requests.
    #[must_use]
    pub fn wait_factor(&self) -> f64 {
        self.wait_factor
    }

    /// Records that the first event of a response came after `actual`, where `expected`, with the factor, was expected.
    pub fn record_wait(&mut self, expected: Duration, actual: Duration) {
        if expected < WAIT_MIN {
            return;
        }
        let ratio = actual.max(WAIT_MIN).as_secs_f64() / expected.as_secs_f64();
        let error = ratio.ln().clamp(-WAIT_ERROR_MAX, WAIT_ERROR_MAX);
        let (min, max) = WAIT_FACTOR_RANGE;
        self.wait_factor = (self.wait_factor * (error * WAIT_STEP).exp()).clamp(min, max);
    }

    /// Mean time that an engine spends on the prompt of a request, in milliseconds.
    #[must_use]
    pub fn mean_prefill_ms(&self) -> f64 {
        self.prefill_ms(self.prompt_mean.value)
    }

    /// Records that a request whose prompt left about `tokens` tokens to compute was placed.
    pub fn record_prompt(&mut self, tokens: u64) {
        self.prompt_tokens.record(to_f64(tokens));
        self.prompt_mean.record(to_f64(tokens));
    }

    /// Records the first token of a response `elapsed` after its request was sent to an engine
    /// that had no other prompt of this node to process and computed about `tokens` tokens.
    pub fn record_first_token(&mut self, tokens: u64, elapsed: Duration) {
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        if tokens < SHORT_PROMPT_TOKENS {
            self.first_token_ms.record(elapsed_ms);
        } else {
            let prefill_ms = elapsed_ms - self.first_token_ms.value;
            self.prefill_tokens_per_ms.record(to_f64(tokens) / prefill_ms);
        }
    }

    /// Records a response with about `tokens` output tokens that took `elapsed` from its first
    /// event to its last.
    pub fn record_output(&mut self, tokens: u64, elapsed: Duration) {
        self.output_tokens.record(to_f64(tokens));
        self.output_mean.record(to_f64(tokens));
        if tokens >= OUTPUT_TOKENS_MIN {
            self.token_interval_ms.record(elapsed.as_secs_f64() * 1_000.0 / to_f64(tokens));
        }
    }

    /// Records that a request occupied its upstream for `elapsed`.
    pub fn record_held(&mut self, elapsed: Duration) {
        self.held_ms.record(elapsed.as_secs_f64() * 1_000.0);
    }

    /// Records a complete response of an upstream that is no engine, `elapsed` after its request
    /// was sent.
    pub fn record_service(&mut self, elapsed: Duration) {
        self.service_ms.record(elapsed.as_secs_f64() * 1_000.0);
    }
}

/// Speeds of all pools that this node uses.
#[derive(Clone, Debug, Default)]
pub struct PoolSpeedTable {
    /// Sorted by pool, without duplicates.
    rows: Vec<(PoolName, PoolSpeed)>,
}

impl PoolSpeedTable {
    /// Speed of the upstreams of `pool`.
    #[must_use]
    pub fn speed(&self, pool: &PoolName) -> PoolSpeed {
        let found = self.rows.binary_search_by(|(name, _)| name.cmp(pool));
        found.map_or_else(|_| PoolSpeed::default(), |at| self.rows[at].1)
    }

    /// Speed of the upstreams of `pool`, for recording samples.
    pub fn speed_mut(&mut self, pool: &PoolName) -> &mut PoolSpeed {
        let at = match self.rows.binary_search_by(|(name, _)| name.cmp(pool)) {
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(at, (pool.clone(), PoolSpeed::default()));
                at
            }
        };
        &mut self.rows[at].1
    }
}

#[expect(clippy::cast_precision_loss, reason = "requests have far fewer tokens")]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
