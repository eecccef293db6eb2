//! Whole events out of the pieces of a stream.

use bytes::{Bytes, BytesMut};

/// Most bytes of one event. An upstream that sends more without an end is broken.
const EVENT_BYTES_MAX: usize = 1_048_576;

/// Whole events that arrived together.
#[derive(Debug, PartialEq, Eq)]
pub struct EventBatch {
    /// Their bytes, as they arrived.
    pub bytes: Bytes,
    /// Number of the last one, if it has one.
    pub last: Option<u64>,
    /// Number of the first one, if it has one.
    pub first: Option<u64>,
    /// Whether each numbered event follows the one before it.
    pub in_order: bool,
}

/// Bytes of a stream up to the end of the last whole event are given out, the rest is kept.
#[derive(Debug, Default)]
pub struct EventBuffer {
    /// Begins at the start of an event.
    pending: BytesMut,
    /// Length of the start of `pending` that holds no end of an event.
    searched: usize,
}

impl EventBuffer {
    /// Adds `piece` and returns the events that are whole now.
    #[must_use]
    pub fn push(&mut self, piece: &[u8]) -> Option<EventBatch> {
        self.pending.extend_from_slice(piece);
        let end = self.find_end()?;
        let bytes = self.pending.split_to(end).freeze();
        self.searched = 0;
        Some(read_batch(&bytes))
    }

    /// End of the last whole event.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let window = &self.pending[from..];
        let plain = rfind(window, b"\n\n").map(|at| at + 2);
        let returned = rfind(window, b"\r\n\r\n").map(|at| at + 4);
        self.searched = self.pending.len();
        plain.max(returned).map(|at| from + at)
    }

    /// Whether a part of an event is left.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether an event is longer than any that is taken.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.pending.len() > EVENT_BYTES_MAX
    }
}

fn rfind(window: &[u8], end: &[u8]) -> Option<usize> {
    window.windows(end.len()).rposition(|found| found == end)
}

fn read_batch(bytes: &Bytes) -> EventBatch {
    let mut batch = EventBatch { bytes: bytes.clone(), last: None, first: None, in_order: true };
    for line in bytes.split(|byte| *byte == b'\n') {
        let Some(number) = line.strip_prefix(b"id:") else { continue };
        let number = std::str::from_utf8(number).ok().and_then(|text| text.trim().parse().ok());
        let Some(number) = number else { continue };
        batch.in_order &= batch.last.is_none_or(|last| last.checked_add(1) == Some(number));
        batch.first = batch.first.or(Some(number));
        batch.last = Some(number);
    }
    batch
}
