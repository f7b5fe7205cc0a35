//! Splitting a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum size of a buffered event in bytes. Without it a target that never ends an event would
/// exhaust the memory. Events without an id may have as many bytes in a row.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Error for a stream that has no event with a new id within [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OversizedEvent;

/// Splits a stream into complete events and keeps the last event id.
///
/// A target that crashes leaves a partial event behind. If it were forwarded, it would merge with
/// the first event of the target that resumes the stream, and the client would read an event that
/// no target sent.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    scan: LineScan,
    /// Bytes of the events since the last one with a new id.
    without_id: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after the event `last_id`. Events with this id
    /// or a lower one are dropped.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Returns the id of the last complete event that had one.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether bytes of an incomplete event are buffered.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns the number of bytes since the last event with a new id.
    #[must_use]
    pub fn bytes_without_id(&self) -> usize {
        self.without_id + self.partial.len()
    }

    /// Drops an incomplete event, before another target resumes the stream.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
        self.scan = LineScan::default();
        self.without_id = 0;
    }

    /// Adds bytes and returns the events that they complete, if any. Events whose id is not above
    /// the last one are dropped.
    ///
    /// # Errors
    ///
    /// Returns [`OversizedEvent`] if the bytes since the last complete event with a new id exceed
    /// [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, OversizedEvent> {
        self.partial.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = self.scan.event_end(&self.partial) {
            let event = self.partial.split_to(end);
            let id = event_id(&event);
            if let (Some(id), Some(last)) = (id, self.last_id)
                && id <= last
            {
                self.without_id += event.len();
                continue;
            }
            if id.is_some() {
                self.last_id = id;
                self.without_id = 0;
            } else {
                self.without_id += event.len();
            }
            out.extend_from_slice(&event);
        }
        if self.bytes_without_id() > MAX_EVENT_BYTES {
            return Err(OversizedEvent);
        }
        Ok((!out.is_empty()).then(|| out.freeze()))
    }
}

/// How far the buffered bytes have been searched for the end of an event. A search from their start at each
/// piece would take time that grows with the square of an event that comes in small pieces.
#[derive(Debug, Clone, Copy, Default)]
struct LineScan {
    searched: usize,
    line_start: usize,
}

impl LineScan {
    /// Returns the length of the first event, including the empty line that ends it; the search begins
    /// anew then.
    fn event_end(&mut self, bytes: &[u8]) -> Option<usize> {
        while let Some(offset) = bytes[self.searched..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let index = self.searched + offset;
            let line = &bytes[self.line_start..index];
            if line.is_empty() || line == b"\r" {
                *self = Self::default();
                return Some(index + 1);
            }
            self.searched = index + 1;
            self.line_start = index + 1;
        }
        self.searched = bytes.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    for line in event.split(|byte| *byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        return std::str::from_utf8(value).ok()?.trim().parse().ok();
    }
    None
}
