//! Parameters and counters of the simulated engine.

use std::time::Duration;

use samphiredeck_core::ids::{FencingToken, RequestId};
use serde::{Deserialize, Serialize};

/// Parameters of a simulated engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineOptions {
    /// Number of streams that run concurrently.
    pub slots: u32,
    /// Prompt tokens computed per second, over all streams.
    pub prefill_rate: u32,
    /// Tokens per second of a stream that runs alone.
    pub decode_rate: u32,
    /// Slowdown of decoding when all slots are taken. A value of 1.0 means half the rate.
    pub batch_slowdown: f64,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Age of the load and the cache events in a report.
    pub report_lag: Duration,
    /// Share of cache events in permille after which older events are lost.
    pub gap_permille: u32,
    /// Whether orders with an outdated fencing token are refused.
    pub check_fence: bool,
    /// Time that each order takes, such as loading a model.
    pub load_time: Duration,
    /// Tokens of KV cache transferred per second.
    pub move_rate: u64,
    /// Network round trip to the nodes, added before each answer.
    pub delay: Duration,
    /// Whether answers are sent without simulated computing time, for benchmarks of the node.
    pub instant: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            slots: 16,
            prefill_rate: 8_000,
            decode_rate: 60,
            batch_slowdown: 0.5,
            cache_blocks: 4_096,
            report_lag: Duration::from_millis(300),
            gap_permille: 1,
            check_fence: true,
            load_time: Duration::from_millis(500),
            move_rate: 40_000,
            delay: Duration::ZERO,
            instant: false,
        }
    }
}

/// Counters of an engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EngineStats {
    /// Requests received, with the number of times each was sent.
    pub seen: Vec<(RequestId, u32)>,
    /// Prompt tokens computed.
    pub computed: u64,
    /// Prompt tokens found in cache.
    pub cached: u64,
    /// Tokens computed again for streams that were started on another engine.
    pub recomputed: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Streams resumed without recomputation.
    pub resumed: u64,
    /// Streams whose KV cache was imported.
    pub imported: u64,
    /// Milliseconds from the start of leaving to the last new request.
    pub last_new_after_leaving_ms: Option<u64>,
    /// Orders refused because of an outdated fencing token.
    pub refused_orders: u64,
    /// Fencing token of the newest order.
    pub newest_fence: FencingToken,
}
