//! Splits a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum size of one event. An upstream that exceeds it without ending the event is treated as
/// broken.
const EVENT_BYTES_MAX: usize = 1_048_576;

/// Complete events that arrived together.
#[derive(Debug, PartialEq, Eq)]
pub struct EventBatch {
    /// Raw bytes of the events.
    pub bytes: Bytes,
    /// Numeric ids of the events, in their order. `None` for one without. Comments are no events.
    pub ids: Vec<Option<u64>>,
}

/// Buffers a stream and releases it up to the end of the last complete event.
#[derive(Debug, Default)]
pub struct EventBuffer {
    /// Starts at an event boundary.
    pending: BytesMut,
    /// Length of the prefix of `pending` that is known to contain no event boundary.
    searched: usize,
}

impl EventBuffer {
    /// Appends `chunk` and returns the events that are now complete.
    #[must_use]
    pub fn push(&mut self, chunk: &[u8]) -> Option<EventBatch> {
        self.pending.extend_from_slice(chunk);
        let end = self.find_end()?;
        let bytes = self.pending.split_to(end).freeze();
        self.searched = 0;
        Some(parse_batch(&bytes))
    }

    /// Offset of the end of the last complete event.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let window = &self.pending[from..];
        let lf = rfind(window, b"\n\n").map(|at| at + 2);
        let crlf = rfind(window, b"\r\n\r\n").map(|at| at + 4);
        self.searched = self.pending.len();
        lf.max(crlf).map(|at| from + at)
    }

    /// Number of bytes of the incomplete event.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Whether an incomplete event is buffered.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether the buffered event exceeds the maximum size.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.pending.len() > EVENT_BYTES_MAX
    }
}

fn rfind(window: &[u8], end: &[u8]) -> Option<usize> {
    window.windows(end.len()).rposition(|found| found == end)
}

fn parse_batch(bytes: &Bytes) -> EventBatch {
    let mut ids = Vec::new();
    // Id of the event that the lines belong to, once there is one.
    let mut current = None;
    for line in bytes.split(|byte| *byte == b'\n') {
        match line.strip_suffix(b"\r").unwrap_or(line) {
            b"" => ids.extend(current.take()),
            [b':', ..] => {}
            line => {
                let id = line.strip_prefix(b"id:").map(parse_id);
                current = Some(id.unwrap_or(current.flatten()));
            }
        }
    }
    EventBatch { bytes: bytes.clone(), ids }
}

fn parse_id(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
