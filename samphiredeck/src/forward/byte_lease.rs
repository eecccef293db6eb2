//! Leases of the bytes that are held for a request or a response.

use std::{rc::Rc, time::Duration};

use samphiredeck_core::forward::byte_budget::{BudgetDecision, ByteSource, LeaseNumber};
use serde_json::json;
use thiserror::Error;
use tokio::time::sleep;

use crate::forward::node::ForwardNode;

/// Bytes that are held without a lease, as most requests and responses are small.
const UNCOUNTED_BYTES: usize = 16 * 1_024;
/// Interval between attempts to hold more.
const WAIT_PERIOD: Duration = Duration::from_millis(10);

/// The bytes held for all, or for one upstream, have reached their bound.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("too many bytes held")]
pub struct BudgetExceeded;

/// Bytes held for one request or response. Dropping it gives them back.
#[derive(Debug)]
pub struct ByteLease {
    node: Rc<ForwardNode>,
    source: ByteSource,
    /// `None` while it holds few.
    number: Option<LeaseNumber>,
}

impl ByteLease {
    /// Creates a lease that holds nothing.
    pub fn new(node: &Rc<ForwardNode>, source: ByteSource) -> Self {
        Self { node: Rc::clone(node), source, number: None }
    }

    fn resize(&mut self, bytes: usize) -> BudgetDecision {
        if self.number.is_none() && bytes <= UNCOUNTED_BYTES {
            return BudgetDecision::Granted;
        }
        let mut budget = self.node.byte_budget.borrow_mut();
        let number = *self.number.get_or_insert_with(|| budget.open(self.source.clone()));
        budget.resize(number, bytes)
    }

    /// Holds `bytes`, without waiting.
    pub fn try_hold(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        match self.resize(bytes) {
            BudgetDecision::Granted => Ok(()),
            BudgetDecision::Wait | BudgetDecision::Exceeded => Err(self.exceeded(bytes)),
        }
    }

    /// Holds `bytes`. Waits while others hold too many, and fails if it is this lease that holds most of them.
    pub async fn hold(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        loop {
            match self.resize(bytes) {
                BudgetDecision::Granted => return Ok(()),
                BudgetDecision::Wait => sleep(WAIT_PERIOD).await,
                BudgetDecision::Exceeded => return Err(self.exceeded(bytes)),
            }
        }
    }

    /// Counts what it holds for the caller of a whole response.
    pub fn deliver(&mut self) {
        if let Some(number) = self.number {
            self.node.byte_budget.borrow_mut().deliver(number);
        }
    }

    fn exceeded(&self, bytes: usize) -> BudgetExceeded {
        let source = match &self.source {
            ByteSource::Caller | ByteSource::Delivery => "",
            ByteSource::Upstream(upstream) => upstream.as_str(),
        };
        let held = self.node.byte_budget.borrow().held();
        let fields = json!({ "upstream": source, "bytes": bytes, "held": held });
        self.node.log.record("bytes-exceeded", fields);
        self.node.metrics.bytes_exceeded.inc();
        BudgetExceeded
    }
}

impl Drop for ByteLease {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            self.node.byte_budget.borrow_mut().close(number);
        }
    }
}
