//! Structured log on standard output, one JSON object per line for each decision.
//!
//! A separate thread writes the lines from a bounded queue, so a stalled reader of the output never
//! blocks the node. Each kind of line is rate-limited; suppressed lines are counted and reported.

use std::{cell::RefCell, time::Duration};

use samphiredeck_core::boot_time::BootTime;
use serde_json::{Map, Value};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};

use crate::forward::clock;

/// Maximum number of queued lines. Further lines are dropped.
const QUEUE_LINES_MAX: usize = 4_096;
/// Length of a rate-limiting period in milliseconds.
const PERIOD_MS: u64 = 1_000;
/// Time between two lines that are written once a minute.
const MINUTE: Duration = Duration::from_secs(60);

/// Number of lines of one kind in the current period.
#[derive(Debug)]
struct KindCounter {
    kind: &'static str,
    period: u64,
    lines: u32,
    suppressed: u64,
}

/// Rate-limited writer of decision log lines.
#[derive(Debug)]
pub struct DecisionLog {
    writer: RefCell<NonBlocking>,
    /// Flushes queued lines before the process exits.
    _guard: WorkerGuard,
    node: String,
    rate: u32,
    /// Sorted by kind, without duplicates.
    kinds: RefCell<Vec<KindCounter>>,
    /// Kinds and subjects of the lines that are written once a minute, with the time of the last
    /// one. Sorted by kind and subject, without duplicates.
    minute_lines: RefCell<Vec<(&'static str, &'static str, BootTime)>>,
}

impl DecisionLog {
    /// Starts the log of `node` with at most `rate` lines per kind and second.
    pub fn start(node: String, rate: u32) -> Self {
        let builder =
            NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUE_LINES_MAX);
        let (writer, guard) = builder.finish(std::io::stdout());
        Self {
            writer: RefCell::new(writer),
            _guard: guard,
            node,
            rate,
            kinds: RefCell::new(Vec::new()),
            minute_lines: RefCell::new(Vec::new()),
        }
    }

    /// Writes a line of kind `kind` with `fields`, a JSON object, unless the rate limit is
    /// exceeded.
    pub fn record(&self, kind: &'static str, fields: Value) {
        let now = clock::now();
        let Some(suppressed) = self.check_rate(kind, now) else { return };
        let mut line = Map::new();
        line.insert("at_ms".to_owned(), clock::wall_ms().into());
        line.insert("boot_ms".to_owned(), now.as_millis().into());
        line.insert("node".to_owned(), self.node.as_str().into());
        line.insert("kind".to_owned(), kind.into());
        if suppressed > 0 {
            line.insert("left_out".to_owned(), suppressed.into());
        }
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        let text = format!("{}\n", Value::Object(line));
        // Writing never fails: a full queue drops the line and counts it.
        drop(std::io::Write::write_all(&mut *self.writer.borrow_mut(), text.as_bytes()));
    }

    /// Writes a line of kind `kind` with `fields`, unless one of the same kind and subject was written
    /// within the last minute.
    pub fn record_once_a_minute(&self, kind: &'static str, subject: &'static str, fields: Value) {
        let now = clock::now();
        let mut lines = self.minute_lines.borrow_mut();
        match lines.binary_search_by_key(&(kind, subject), |(kind, subject, _)| (*kind, *subject)) {
            Ok(at) if now.since(lines[at].2) < MINUTE => return,
            Ok(at) => lines[at].2 = now,
            Err(at) => lines.insert(at, (kind, subject, now)),
        }
        drop(lines);
        self.record(kind, fields);
    }

    /// Number of lines dropped because the queue was full.
    pub fn dropped_lines(&self) -> usize {
        self.writer.borrow().error_counter().dropped_lines()
    }

    /// Counts a line against the rate limit. Returns the number of lines of its kind suppressed
    /// before it, or `None` if this line exceeds the limit too.
    fn check_rate(&self, kind: &'static str, now: BootTime) -> Option<u64> {
        let mut kinds = self.kinds.borrow_mut();
        let at = match kinds.binary_search_by_key(&kind, |counter| counter.kind) {
            Ok(at) => at,
            Err(at) => {
                kinds.insert(at, KindCounter { kind, period: 0, lines: 0, suppressed: 0 });
                at
            }
        };
        let counter = &mut kinds[at];
        let period = now.as_millis() / PERIOD_MS;
        if counter.period != period {
            counter.period = period;
            counter.lines = 0;
        }
        if counter.lines >= self.rate {
            counter.suppressed += 1;
            return None;
        }
        counter.lines += 1;
        Some(std::mem::take(&mut counter.suppressed))
    }
}
