//! Structured log on standard output: one line of JSON a decision.
//!
//! Lines go through a bounded queue to a thread of their own, so a reader that stops reading
//! delays nothing. Each kind of line has a rate; what is beyond it is counted and told.

use std::cell::RefCell;

use samphiredeck_core::boot_time::BootTime;
use serde_json::{Map, Value};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};

use crate::forward::clock;

/// Most lines that wait to be written. Further ones are dropped.
const QUEUE_LINES: usize = 4_096;
/// Length of the periods for which lines of a kind are counted, in milliseconds.
const PERIOD_MS: u64 = 1_000;

/// Lines of one kind in the current period.
#[derive(Debug)]
struct KindCount {
    kind: &'static str,
    period: u64,
    lines: u32,
    left_out: u64,
}

/// The log.
#[derive(Debug)]
pub struct DecisionLog {
    writer: RefCell<NonBlocking>,
    /// Writes what waits before the process ends.
    _guard: WorkerGuard,
    node: String,
    rate: u32,
    /// Sorted by kind, without duplicates.
    kinds: RefCell<Vec<KindCount>>,
}

impl DecisionLog {
    /// Starts the log of `node` with at most `rate` lines of a kind in a second.
    pub fn start(node: String, rate: u32) -> Self {
        let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUE_LINES);
        let (writer, guard) = builder.finish(std::io::stdout());
        Self {
            writer: RefCell::new(writer),
            _guard: guard,
            node,
            rate,
            kinds: RefCell::new(Vec::new()),
        }
    }

    /// Writes one line of kind `kind` with `fields`, an object, unless its rate is used up.
    pub fn note(&self, kind: &'static str, fields: Value) {
        let now = clock::now();
        let Some(left_out) = self.admit(kind, now) else { return };
        let mut line = Map::new();
        line.insert("at_ms".to_owned(), clock::wall_ms().into());
        line.insert("boot_ms".to_owned(), now.as_millis().into());
        line.insert("node".to_owned(), self.node.as_str().into());
        line.insert("kind".to_owned(), kind.into());
        if left_out > 0 {
            line.insert("left_out".to_owned(), left_out.into());
        }
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        let text = format!("{}\n", Value::Object(line));
        // The queue never refuses: it drops lines and counts them itself.
        drop(std::io::Write::write_all(&mut *self.writer.borrow_mut(), text.as_bytes()));
    }

    /// Lines that were dropped since the queue was full.
    pub fn dropped(&self) -> usize {
        self.writer.borrow().error_counter().dropped_lines()
    }

    /// Counts a line. Returns how many of its kind were left out before it, or nothing if it has to
    /// be left out too.
    fn admit(&self, kind: &'static str, now: BootTime) -> Option<u64> {
        let mut kinds = self.kinds.borrow_mut();
        let at = match kinds.binary_search_by_key(&kind, |count| count.kind) {
            Ok(at) => at,
            Err(at) => {
                kinds.insert(at, KindCount { kind, period: 0, lines: 0, left_out: 0 });
                at
            }
        };
        let count = &mut kinds[at];
        let period = now.as_millis() / PERIOD_MS;
        if count.period != period {
            count.period = period;
            count.lines = 0;
        }
        if count.lines >= self.rate {
            count.left_out += 1;
            return None;
        }
        count.lines += 1;
        Some(std::mem::take(&mut count.left_out))
    }
}
