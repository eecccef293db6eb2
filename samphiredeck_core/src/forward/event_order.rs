//! Checks that the events of a stream follow each other without a gap.
//!
//! Answers the load pattern of streams that break and are resumed, at upstreams or over networks that may
//! lose or repeat events. A caller must not get a stream with a piece missing.
//!
//! The ids of events increase, in most streams by one, in others by another step. If the first two are further
//! apart, the second may follow a lost one, so it is held until the next event shows that the stream has this
//! step.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

use super::events::EventBatch;

/// Maximum size of the events that are held, in bytes.
const HELD_BYTES_MAX: usize = 1_048_576;

/// Events can't be passed on.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum OrderError {
    /// An event was lost, repeated or reordered.
    #[error("event {next} follows event {last}")]
    Gap {
        /// Id of the event that does not follow.
        next: u64,
        /// Id of the event before it.
        last: u64,
    },
    /// Too many events came before one that shows the step of the ids.
    #[error("too many events whose order is not known")]
    Overlong,
}

/// Difference between the ids of two events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventStep {
    /// One, as no two events have been seen.
    Assumed,
    /// Another one, seen once.
    Suspected(u64),
    /// One, or seen twice.
    Confirmed(u64),
}

/// Point after which another upstream may go on with a stream that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// Id of the last event before it. `None` if the stream goes on with its first one.
    pub last_id: Option<u64>,
}

/// Ids of a stream up to some event.
#[derive(Clone, Copy, Debug)]
struct EventSequence {
    /// Id of the last event that had one.
    last: Option<u64>,
    /// Whether events without an id follow it.
    is_past_last: bool,
    step: EventStep,
}

impl EventSequence {
    fn push(&mut self, next: Option<u64>) -> Result<(), OrderError> {
        self.is_past_last = next.is_none();
        let Some(next) = next else { return Ok(()) };
        let Some(last) = self.last.replace(next) else { return Ok(()) };
        let error = OrderError::Gap { next, last };
        let step = next.checked_sub(last).filter(|step| *step > 0).ok_or(error)?;
        self.step = match self.step {
            EventStep::Assumed if step == 1 => EventStep::Confirmed(1),
            EventStep::Assumed => EventStep::Suspected(step),
            EventStep::Suspected(known) | EventStep::Confirmed(known) if known == step => {
                EventStep::Confirmed(step)
            }
            EventStep::Suspected(_) | EventStep::Confirmed(_) => return Err(error),
        };
        Ok(())
    }
}

/// Releases the events of a stream in order, and holds those that may follow a lost one.
#[derive(Clone, Debug)]
pub struct EventGate {
    /// Up to the last event released.
    released: EventSequence,
    /// Up to the last event received.
    received: EventSequence,
    /// Events received and not released.
    held: BytesMut,
}

impl EventGate {
    /// Creates the gate of a stream that begins, or goes on after the event `last`.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        let sequence = EventSequence { last, is_past_last: false, step: EventStep::Assumed };
        Self { released: sequence, received: sequence, held: BytesMut::new() }
    }

    /// Point after the last event released. `None` if that event has no id, so that another upstream can't
    /// tell where to go on.
    #[must_use]
    pub fn resume_point(&self) -> Option<ResumePoint> {
        let EventSequence { last: last_id, is_past_last, .. } = self.released;
        (!is_past_last).then_some(ResumePoint { last_id })
    }

    /// Number of bytes held.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held.len()
    }

    /// Whether events are held. A stream that ends so has lost one.
    #[must_use]
    pub fn is_holding(&self) -> bool {
        !self.held.is_empty()
    }

    /// Adds the next events. Returns those that may be passed on, which may be none.
    ///
    /// # Errors
    ///
    /// Returns an error if an event was lost, repeated or reordered, or too many are held. None of `batch` is released then.
    pub fn push(&mut self, batch: EventBatch) -> Result<Bytes, OrderError> {
        for id in batch.ids {
            self.received.push(id)?;
        }
        if matches!(self.received.step, EventStep::Suspected(_)) {
            if self.held.len() + batch.bytes.len() > HELD_BYTES_MAX {
                return Err(OrderError::Overlong);
            }
            self.held.extend_from_slice(&batch.bytes);
            return Ok(Bytes::new());
        }
        self.released = self.received;
        if self.held.is_empty() {
            return Ok(batch.bytes);
        }
        self.held.extend_from_slice(&batch.bytes);
        Ok(self.held.split().freeze())
    }

    /// Drops what is held, since another upstream goes on after the last event released.
    pub fn rewind(&mut self) {
        self.received = self.released;
        self.held.clear();
    }
}
