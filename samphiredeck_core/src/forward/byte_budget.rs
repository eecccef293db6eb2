//! Bounds the bytes that a node holds for requests and responses together.
//!
//! Answers upstreams that respond without end, many at a time, and callers that upload many bodies at once: each is bounded,
//! their sum would not be. The budget follows from the memory of the instance. An upstream meets its own share first, so that
//! others go on. When a share is full, its largest response ends, which is the one that is least likely to be sound; the
//! others wait.

use crate::ids::UpstreamId;

/// Part of the instance's memory that the budget is.
const MEMORY_PARTS: usize = 3;
/// Parts of three quarters of a small instance's memory that the process needs besides, in bytes: tables, connections and
/// buffers of a node that serves. With 32 MB, a node with 64 MB held 49 MB during a hundred uploads.
const PROCESS_BYTES: usize = 40 * 1_024 * 1_024;
/// Minimum budget in bytes, whatever the memory.
const BUDGET_MIN: usize = 4 * 1_024 * 1_024;
/// Part of the budget that uploads may take.
const UPLOAD_PARTS: usize = 2;
/// Part of the budget that whole responses may take until their callers have read them.
const DELIVERY_PARTS: usize = 2;
/// Part of the budget that the responses of one upstream may take.
const UPSTREAM_PARTS: usize = 4;

/// Who the bytes come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ByteSource {
    /// Caller that sends a request.
    Caller,
    /// Upstream that responds.
    Upstream(UpstreamId),
    /// Upstreams that have responded: the caller has still to read the response.
    Delivery,
}

/// Number of a lease. Never used twice in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseNumber(u64);

/// Answer to a lease that grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetDecision {
    /// It may hold so many bytes.
    Granted,
    /// It has to wait until others hold less.
    Wait,
    /// It has to end.
    Exceeded,
}

/// Bytes held for one request or response.
#[derive(Clone, Debug)]
struct LeaseRow {
    number: LeaseNumber,
    source: ByteSource,
    bytes: usize,
}

/// Bytes that a node holds.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    total: usize,
    /// Sorted by number, without duplicates.
    rows: Vec<LeaseRow>,
    next: u64,
}

impl ByteBudget {
    /// Creates the budget of an instance with `memory` bytes.
    #[must_use]
    pub fn new(memory: usize) -> Self {
        Self { total: memory / MEMORY_PARTS, rows: Vec::new(), next: 0 }
    }

    /// Creates the budget of an instance with `memory` bytes, of which the process itself needs some. Small instances get
    /// a smaller part.
    #[must_use]
    pub fn of_instance(memory: usize) -> Self {
        let spare = (memory / 4 * 3).saturating_sub(PROCESS_BYTES).max(BUDGET_MIN);
        Self { total: (memory / MEMORY_PARTS).min(spare), rows: Vec::new(), next: 0 }
    }

    /// Bytes that may be held in all.
    #[must_use]
    pub fn total(&self) -> usize {
        self.total
    }

    /// Bytes that the responses of one upstream may take.
    #[must_use]
    pub fn upstream_share(&self) -> usize {
        self.total / UPSTREAM_PARTS
    }

    /// Opens a lease that holds nothing.
    pub fn open(&mut self, source: ByteSource) -> LeaseNumber {
        let number = LeaseNumber(self.next);
        self.next += 1;
        self.rows.push(LeaseRow { number, source, bytes: 0 });
        number
    }

    /// Ends the lease `number`.
    pub fn close(&mut self, number: LeaseNumber) {
        if let Ok(at) = self.find(number) {
            self.rows.remove(at);
        }
    }

    fn find(&self, number: LeaseNumber) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&number, |row| row.number)
    }

    /// Counts the whole response of the lease `number` for its caller, who may read slowly, and no longer for its upstream.
    /// Callers that read too much too slowly hold up the upstream's share.
    pub fn deliver(&mut self, number: LeaseNumber) {
        let Ok(at) = self.find(number) else { return };
        let delivered = self.held_by(&ByteSource::Delivery) + self.rows[at].bytes;
        if delivered <= self.total / DELIVERY_PARTS {
            self.rows[at].source = ByteSource::Delivery;
        }
    }

    fn held_by(&self, source: &ByteSource) -> usize {
        self.rows.iter().filter(|row| row.source == *source).map(|row| row.bytes).sum()
    }

    /// Bytes held in all.
    #[must_use]
    pub fn held(&self) -> usize {
        self.rows.iter().map(|row| row.bytes).sum()
    }

    /// Sets the bytes that the lease `number` holds, if they fit into the budget and into the share of its source.
    pub fn resize(&mut self, number: LeaseNumber, bytes: usize) -> BudgetDecision {
        let Ok(at) = self.find(number) else { return BudgetDecision::Exceeded };
        let LeaseRow { source, bytes: known, .. } = self.rows[at].clone();
        let grown = bytes.saturating_sub(known);
        if grown == 0 {
            self.rows[at].bytes = bytes;
            return BudgetDecision::Granted;
        }
        let parts = match source {
            ByteSource::Caller => UPLOAD_PARTS,
            ByteSource::Upstream(_) => UPSTREAM_PARTS,
            ByteSource::Delivery => DELIVERY_PARTS,
        };
        let is_share_full = self.held_by(&source) + grown > self.total / parts;
        if !is_share_full && self.held() + grown <= self.total {
            self.rows[at].bytes = bytes;
            return BudgetDecision::Granted;
        }
        // What a caller sends has not run, and can be sent elsewhere at once.
        if source == ByteSource::Caller || bytes > self.total / parts {
            return BudgetDecision::Exceeded;
        }
        let competes = |row: &&LeaseRow| match &row.source {
            ByteSource::Caller | ByteSource::Delivery => false,
            ByteSource::Upstream(_) => !is_share_full || row.source == source,
        };
        let largest = self.rows.iter().filter(competes).max_by_key(|row| (row.bytes, row.number));
        match largest {
            Some(row) if row.number != number => BudgetDecision::Wait,
            Some(_) | None => BudgetDecision::Exceeded,
        }
    }
}
