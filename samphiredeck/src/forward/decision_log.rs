//! Structured log on standard output, one JSON object per line for each decision.
//!
//! A separate thread writes the lines from a bounded queue, so a stalled reader of the output never
//! blocks the node. The lines are bounded by `log_bounds.rs`; those left out are counted and reported.

use std::{
    cell::{Cell, RefCell},
    io::{self, Stdout, Write},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use samphiredeck_core::{
    boot_time::BootTime,
    forward::log_bounds::{LineSubject, LogBounds},
};
use serde_json::{Map, Value};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};

use crate::forward::clock;

/// Maximum number of queued lines. Further lines are dropped.
const QUEUE_LINES_MAX: usize = 4_096;
/// Time between two lines that are written once a minute.
const MINUTE: Duration = Duration::from_secs(60);

/// Standard output that counts the lines taken from the queue.
#[derive(Debug)]
struct CountedOutput {
    output: Stdout,
    taken: Arc<AtomicUsize>,
}

impl Write for CountedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.output.write(buf)
    }

    fn write_all(&mut self, buf: &[u8]) -> io::Result<()> {
        let written = self.output.write_all(buf);
        // Counted after the write, as a line that the output does not take yet is still held. A line that could not be
        // written is gone too.
        self.taken.fetch_add(1, Ordering::Relaxed);
        written
    }

    fn flush(&mut self) -> io::Result<()> {
        self.output.flush()
    }
}

/// Rate-limited writer of decision log lines.
#[derive(Debug)]
pub struct DecisionLog {
    writer: RefCell<NonBlocking>,
    /// Flushes queued lines before the process exits.
    _guard: WorkerGuard,
    node: String,
    bounds: RefCell<LogBounds>,
    /// Lines given to the queue, and those that the output has taken from it.
    sent: Cell<usize>,
    taken: Arc<AtomicUsize>,
    /// Kinds and subjects of the lines that are written once a minute, with the time of the last
    /// one. Sorted by kind and subject, without duplicates.
    minute_lines: RefCell<Vec<(&'static str, &'static str, BootTime)>>,
}

impl DecisionLog {
    /// Starts the log of `node` with at most `rate` lines per kind and second.
    pub fn start(node: String, rate: u32) -> Self {
        let builder =
            NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUE_LINES_MAX);
        let taken = Arc::<AtomicUsize>::default();
        let output = CountedOutput { output: io::stdout(), taken: Arc::clone(&taken) };
        let (writer, guard) = builder.finish(output);
        Self {
            writer: RefCell::new(writer),
            _guard: guard,
            node,
            bounds: RefCell::new(LogBounds::new(rate, QUEUE_LINES_MAX)),
            sent: Cell::new(0),
            taken,
            minute_lines: RefCell::new(Vec::new()),
        }
    }

    /// Writes a line of kind `kind` with `fields`, a JSON object, if its bounds permit it. The line is about
    /// the request that it names.
    pub fn record(&self, kind: &'static str, fields: Value) {
        let now = clock::now();
        let subject = LineSubject::of(kind, fields.get("request").is_some());
        let admitted = self.bounds.borrow_mut().admit(kind, subject, self.queued_lines(), now);
        let Some(left_out) = admitted else { return };
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
        // Writing never fails: a full queue drops the line and counts it.
        drop(self.writer.borrow_mut().write_all(text.as_bytes()));
        self.sent.set(self.sent.get() + 1);
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

    /// Number of lines left out by their bounds.
    pub fn left_out_lines(&self) -> u64 {
        self.bounds.borrow().left_out()
    }

    /// Number of lines that wait to be written.
    fn queued_lines(&self) -> usize {
        let gone = self.taken.load(Ordering::Relaxed) + self.dropped_lines();
        self.sent.get().saturating_sub(gone)
    }
}
