//! Splitting a stream into whole events.

use bytes::{Bytes, BytesMut};

/// Largest event that is buffered, in bytes; a target that never ends one would fill the memory.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// The stream can't be split: an event exceeds [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OversizedEvent;

/// Cuts a stream of events at their ends and remembers the last id.
///
/// A target that dies leaves half an event behind. Passed on, it would join with the first event
/// of the target that goes on, and the caller would read a piece that nobody made.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a stream that goes on after `last_id`.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
        }
    }

    /// Id of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether bytes of an unfinished event wait.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Forgets an unfinished event, before another target goes on.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Takes bytes and returns the whole events that they end, without those whose id came
    /// before.
    ///
    /// # Errors
    ///
    /// [`OversizedEvent`].
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

/// Length of the first event with the empty line that ends it.
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
