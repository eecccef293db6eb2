//! Bounds the lines that a node logs.
//!
//! Answers a cluster of 88 nodes that wrote 2,500 to 3,000 lines a second about suspects while engines crashed: each node
//! reported what each other one told it. Each kind of line has its own rate. Lines that are not about a request share a
//! tenth of that rate, half of which is kept for kinds without a line in the current second, so that a rare line is found
//! among frequent ones. While the output is read too slowly, the queue takes only lines about requests beyond its first half.

use crate::boot_time::BootTime;

/// Length of a period in milliseconds.
const PERIOD_MS: u64 = 1_000;
/// Divisor of the rate of a kind that gives the rate of all kinds together that are not about a request.
const OTHER_PARTS: u32 = 10;
/// Kinds about suspects that name the request which decided on them. Sorted.
const SUSPECT_KINDS: [&str; 1] = ["part-cleared"];

/// What a line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineSubject {
    /// A request.
    Request,
    /// Anything else: suspects, tunnels, upstreams, other nodes.
    Other,
}

impl LineSubject {
    /// Subject of a line of kind `kind`, which names a request or does not.
    #[must_use]
    pub fn of(kind: &str, names_request: bool) -> Self {
        let is_other = !names_request || SUSPECT_KINDS.binary_search(&kind).is_ok();
        if is_other { Self::Other } else { Self::Request }
    }
}

/// Lines of one kind.
#[derive(Clone, Debug)]
struct KindRow {
    kind: &'static str,
    /// Lines written in the current period.
    lines: u32,
    /// Lines left out since the last one that was written.
    left_out: u64,
}

/// Lines that a node logs.
#[derive(Clone, Debug)]
pub struct LogBounds {
    rate: u32,
    queue_max: usize,
    period: u64,
    /// Lines in the current period that are not about a request.
    others: u32,
    left_out: u64,
    /// Sorted by kind, without duplicates.
    rows: Vec<KindRow>,
}

impl LogBounds {
    /// Permits `rate` lines of each kind in a second, over a queue of `queue_max` lines.
    #[must_use]
    pub fn new(rate: u32, queue_max: usize) -> Self {
        Self { rate, queue_max, period: 0, others: 0, left_out: 0, rows: Vec::new() }
    }

    /// Lines a second that are not about a request. At least 2.
    #[must_use]
    pub fn other_rate(&self) -> u32 {
        (self.rate / OTHER_PARTS).max(2)
    }

    /// Number of lines left out so far.
    #[must_use]
    pub fn left_out(&self) -> u64 {
        self.left_out
    }

    /// Counts a line of kind `kind` about `subject`, while `queued` lines wait to be written. Returns the number of lines of
    /// its kind that were left out since the last one, or `None` if this one is left out too.
    pub fn admit(
        &mut self,
        kind: &'static str,
        subject: LineSubject,
        queued: usize,
        now: BootTime,
    ) -> Option<u64> {
        let period = now.as_millis() / PERIOD_MS;
        if self.period != period {
            self.period = period;
            self.others = 0;
            self.rows.iter_mut().for_each(|row| row.lines = 0);
        }
        let at = match self.rows.binary_search_by_key(&kind, |row| row.kind) {
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(at, KindRow { kind, lines: 0, left_out: 0 });
                at
            }
        };
        let other_rate = self.other_rate();
        let row = &mut self.rows[at];
        let (rate, queue_max) = match subject {
            LineSubject::Request => (self.rate, self.queue_max),
            LineSubject::Other => (self.rate.min(other_rate), self.queue_max / 2),
        };
        let open_to_kind = if row.lines == 0 { other_rate } else { other_rate / 2 };
        let is_bounded = subject == LineSubject::Other && self.others >= open_to_kind;
        if is_bounded || row.lines >= rate || queued >= queue_max {
            row.left_out += 1;
            self.left_out += 1;
            return None;
        }
        row.lines += 1;
        if subject == LineSubject::Other {
            self.others += 1;
        }
        Some(std::mem::take(&mut row.left_out))
    }
}
