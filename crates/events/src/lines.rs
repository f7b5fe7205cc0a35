//! Lines of JSON on standard output that never hold up a request.
//!
//! A reader that stops reading standard output blocks whoever writes to it. Lines therefore pass
//! through a bounded queue to a thread of their own, and what finds the queue full or its rate
//! used up is counted instead of written; the counts stand in the next summary line.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::code::{EventCode, EventLevel};

/// Lines that may wait for the writer: some seconds at the highest rate, within 1 MB.
const QUEUE_LINES: usize = 1024;

/// Lines a second that are written on average; more than a busy entry host has decisions.
const LINES_PER_SECOND: f64 = 120.0;

/// Lines that may come at once after a quiet time: each running request of a lost replica.
const LINES_AT_ONCE: f64 = 400.0;

/// Longest value of a field, in bytes.
const MAX_VALUE_BYTES: usize = 300;

/// One line in the making.
#[derive(Debug)]
pub struct LogLine {
    code: EventCode,
    fields: String,
}

impl LogLine {
    /// A line of a kind.
    #[must_use]
    pub fn new(code: EventCode) -> Self {
        Self {
            code,
            fields: String::new(),
        }
    }

    /// Adds a text.
    #[must_use]
    pub fn text(mut self, name: &str, value: &str) -> Self {
        let end = value
            .char_indices()
            .map(|(index, _)| index)
            .find(|index| *index >= MAX_VALUE_BYTES);
        let value = end.map_or(value, |end| &value[..end]);
        let quoted = serde_json::Value::from(value);
        // Writing to a text can't fail.
        let _ = write!(self.fields, ",\"{name}\":{quoted}");
        self
    }

    /// Adds a number.
    #[must_use]
    pub fn number(mut self, name: &str, value: u64) -> Self {
        let _ = write!(self.fields, ",\"{name}\":{value}");
        self
    }

    /// Adds a time in milliseconds; its name should end in `_ms`.
    #[must_use]
    pub fn millis(self, name: &str, value: Duration) -> Self {
        let millis = u64::try_from(value.as_millis()).unwrap_or(u64::MAX);
        self.number(name, millis)
    }
}

/// Where lines go.
#[derive(Debug)]
pub struct LogSink {
    node: String,
    least: EventLevel,
    sender: SyncSender<String>,
    dropped: Arc<AtomicU64>,
    rate: std::cell::Cell<(f64, Duration)>,
}

impl LogSink {
    /// Starts the writer's thread.
    #[must_use]
    pub fn to_stdout(node: &str, least: EventLevel) -> Self {
        let (sender, receiver) = sync_channel::<String>(QUEUE_LINES);
        std::thread::spawn(move || {
            while let Ok(line) = receiver.recv() {
                let mut out = std::io::stdout().lock();
                // Nobody reads the lines any more; the node serves on without them.
                if out.write_all(line.as_bytes()).is_err() {
                    return;
                }
            }
        });
        Self {
            node: node.to_owned(),
            least,
            sender,
            dropped: Arc::default(),
            rate: std::cell::Cell::new((LINES_AT_ONCE, Duration::ZERO)),
        }
    }

    /// Lines that were not written.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Writes a line, or counts it; `now` is the time since the start of the process.
    pub fn write(&self, line: &LogLine, now: Duration) {
        if !self.is_wanted(line.code.level()) {
            return;
        }
        if !self.take_one(now) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall = wall.map_or(0, |wall| wall.as_millis());
        let level = match line.code.level() {
            EventLevel::Debug => "debug",
            EventLevel::Info => "info",
            EventLevel::Warn => "warn",
            EventLevel::Error => "error",
        };
        let text = format!(
            "{{\"at_ms\":{wall},\"up_ms\":{},\"level\":\"{level}\",\"number\":{},\"event\":\"{}\",\
             \"node\":\"{}\"{}}}\n",
            now.as_millis(),
            line.code.number(),
            line.code.name(),
            self.node,
            line.fields,
        );
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.sender.try_send(text)
        {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn is_wanted(&self, level: EventLevel) -> bool {
        let rank = |level| match level {
            EventLevel::Debug => 0,
            EventLevel::Info => 1,
            EventLevel::Warn => 2,
            EventLevel::Error => 3,
        };
        rank(level) >= rank(self.least)
    }

    fn take_one(&self, now: Duration) -> bool {
        let (saved, at) = self.rate.get();
        let earned = now.saturating_sub(at).as_secs_f64() * LINES_PER_SECOND;
        let saved = (saved + earned).min(LINES_AT_ONCE);
        let taken = saved >= 1.0;
        let left = if taken { saved - 1.0 } else { saved };
        self.rate.set((left, now));
        taken
    }
}
