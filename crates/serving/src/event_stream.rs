//! Splitting a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum size of a buffered event in bytes. Without it a target that never ends an event would
/// exhaust the memory.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Error for a stream that can't be split because an event exceeds [`MAX_EVENT_BYTES`].
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
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after the event `last_id`. Events with this id
    /// or a lower one are dropped.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
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

    /// Drops an incomplete event, before another target resumes the stream.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Adds bytes and returns the events that they complete, if any. Events whose id is not above
    /// the last one are dropped.
    ///
    /// # Errors
    ///
    /// Returns [`OversizedEvent`] if the bytes left after the last complete event exceed
    /// [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, OversizedEvent> {
        self.partial.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = event_end(&self.partial) {
            let event = self.partial.split_to(end);
            let id = event_id(&event);
            if let (Some(id), Some(last)) = (id, self.last_id)
                && id <= last
            {
                continue;
            }
            if id.is_some() {
                self.last_id = id;
            }
            out.extend_from_slice(&event);
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(OversizedEvent);
        }
        Ok((!out.is_empty()).then(|| out.freeze()))
    }
}

/// Returns the length of the first event, including the empty line that ends it.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
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
