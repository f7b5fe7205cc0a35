//! A stream of events from an engine, which stalls while its replica is incomplete.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Frame;

use super::groups::{Group, SiteGroups};

/// Interval between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// Size and pace of events.
#[derive(Debug, Clone, Copy)]
pub(super) struct EventShape {
    /// Bytes of an event beyond its number.
    pub padding: usize,
    pub interval: Duration,
}

impl Default for EventShape {
    fn default() -> Self {
        Self {
            padding: 0,
            interval: EVENT_INTERVAL,
        }
    }
}

/// Time after which a stream fails while a member of its replica is missing.
const STALL_TIMEOUT: Duration = Duration::from_secs(4);

/// How the end of a stream shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamEnding {
    /// By its chunks.
    Framed,
    /// By the end of its connection.
    WithConnection,
    /// It was cut off inside an event.
    CutOff,
}

/// A stream in progress; dropping it ends the request at the head.
pub(super) struct StreamRun {
    pub groups: SiteGroups,
    pub id: String,
    pub group: Group,
    pub next: usize,
    pub last: usize,
    /// Whether the request crashes the engine after the first event.
    pub crashes_engine: bool,
    /// Whether the first event has been written.
    pub started: bool,
    /// How its end shows.
    pub ending: StreamEnding,
}

impl StreamRun {
    /// Cuts the stream off: inside an event if only the end of the connection shows where it ends.
    fn cut(&mut self, reason: &str) -> Result<Frame<Bytes>, std::io::Error> {
        if self.ending == StreamEnding::WithConnection {
            self.ending = StreamEnding::CutOff;
            return Ok(Frame::data(Bytes::from_static(b"id: ")));
        }
        Err(std::io::Error::other(reason.to_owned()))
    }

    pub async fn event(&mut self) -> Option<Result<Frame<Bytes>, std::io::Error>> {
        if self.ending == StreamEnding::CutOff {
            // What was written before must have left.
            tokio::time::sleep(EVENT_INTERVAL).await;
            return Some(self.cut("the stream was cut off"));
        }
        if let Some(piece) = self.groups.endless(&self.id).filter(|_| self.started) {
            if piece.pause.is_zero() {
                tokio::task::yield_now().await;
            } else {
                tokio::time::sleep(piece.pause).await;
            }
            return Some(Ok(Frame::data(Bytes::from_static(piece.bytes))));
        }
        if self.next > self.last {
            return None;
        }
        let shape = self.groups.event_shape();
        tokio::time::sleep(shape.interval).await;
        let wait_started = Instant::now();
        // No event is produced while a member is missing; the head itself may have crashed too.
        while !self.groups.is_complete(&self.group) {
            let left_group = self.groups.group_name(&self.id).as_ref() != Some(&self.group.name);
            if left_group || wait_started.elapsed() > STALL_TIMEOUT {
                return Some(self.cut("the replica lost a member"));
            }
            tokio::time::sleep(EVENT_INTERVAL).await;
        }
        let cancelled = self
            .groups
            .with(&self.id, |engine| engine.cancelled.clone());
        if cancelled.flatten().as_ref() == Some(&self.group.name) {
            return Some(self.cut("the request was cancelled"));
        }
        if self.crashes_engine && self.started {
            self.groups.crash(&self.id);
            std::future::pending::<()>().await;
        }
        self.started = true;
        let id = self.next;
        self.next += 1;
        let padding = "x".repeat(shape.padding);
        let event = format!("id: {id}\ndata: piece {id}{padding}\n\n");
        Some(Ok(Frame::data(Bytes::from(event))))
    }
}

impl Drop for StreamRun {
    fn drop(&mut self) {
        self.groups.end_stream(&self.id);
    }
}
