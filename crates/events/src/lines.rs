//! Log lines in JSON on standard output, written without blocking requests.
//!
//! If the reader of standard output stalls, writes to it block. A separate thread therefore writes
//! the lines, which it receives through a bounded queue. Lines that exceed the rate limit or find the
//! queue full are dropped and counted by kind. News is dropped before warnings, and both before lines
//! that tell why a client's request was refused for good, or from when a change of the operators was in force.

use std::cell::Cell;
use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::code::{EventCode, EventLevel};

/// Capacity of the queue in lines: several seconds at the maximum rate, in less than 1 MB.
const QUEUE_CAPACITY: usize = 1024;

/// Sustained rate limit in lines per second, which is more than a busy entry node needs.
const LINES_PER_SECOND: f64 = 120.0;

/// Burst size of the rate limit in lines, enough for one line per running request of a lost replica.
const BURST_LINES: f64 = 400.0;

/// Lines of the burst that are left to warnings and errors.
const WARNING_RESERVE: f64 = 200.0;

/// Lines of the burst that are left to lines that must be kept.
const KEPT_RESERVE: f64 = 100.0;

/// Maximum length of a text field in bytes; longer values are truncated.
const MAX_VALUE_BYTES: usize = 300;

/// Builder for a log line, whose fields are written in the order in which they were added.
#[derive(Debug)]
pub struct LogLine {
    code: EventCode,
    fields: String,
    is_kept: bool,
}

impl LogLine {
    /// Creates a line without fields; the kind determines its level.
    #[must_use]
    pub fn new(code: EventCode) -> Self {
        Self {
            code,
            fields: String::new(),
            is_kept: false,
        }
    }

    /// Marks a line that is written before all others, such as the only one that tells why a client was
    /// refused. What writes such lines must be rare, or bounded by clients' refusals.
    #[must_use]
    pub fn kept(mut self) -> Self {
        self.is_kept = true;
        self
    }

    /// Adds a text field; a value longer than `MAX_VALUE_BYTES` is truncated.
    #[must_use]
    pub fn text(mut self, name: &str, value: &str) -> Self {
        let end = value
            .char_indices()
            .map(|(index, _)| index)
            .find(|index| *index >= MAX_VALUE_BYTES);
        let value = end.map_or(value, |end| &value[..end]);
        let quoted = serde_json::Value::from(value);
        // Writing to a string can't fail.
        let _ = write!(self.fields, ",\"{name}\":{quoted}");
        self
    }

    /// Adds a field that is written as a JSON number.
    #[must_use]
    pub fn number(mut self, name: &str, value: u64) -> Self {
        let _ = write!(self.fields, ",\"{name}\":{value}");
        self
    }

    /// Adds a duration in milliseconds. The field name should end in `_ms`.
    #[must_use]
    pub fn millis(self, name: &str, value: Duration) -> Self {
        let millis = u64::try_from(value.as_millis()).unwrap_or(u64::MAX);
        self.number(name, millis)
    }
}

/// Rate-limited writer for log lines.
#[derive(Debug)]
pub struct LogSink {
    node: String,
    min_level: EventLevel,
    sender: SyncSender<String>,
    /// Dropped lines of each kind, in the order of [`EventCode::ALL`].
    dropped: [Cell<u64>; EventCode::ALL.len()],
    token_bucket: Cell<(f64, Duration)>,
}

impl LogSink {
    /// Starts the thread that writes to standard output. Events below `min_level` are discarded.
    #[must_use]
    pub fn to_stdout(node: &str, min_level: EventLevel) -> Self {
        let (sender, receiver) = sync_channel::<String>(QUEUE_CAPACITY);
        std::thread::spawn(move || {
            while let Ok(line) = receiver.recv() {
                let mut out = std::io::stdout().lock();
                // Standard output is closed; the node continues to serve without logging.
                if out.write_all(line.as_bytes()).is_err() {
                    return;
                }
            }
        });
        Self {
            node: node.to_owned(),
            min_level,
            sender,
            dropped: std::array::from_fn(|_| Cell::default()),
            token_bucket: Cell::new((BURST_LINES, Duration::ZERO)),
        }
    }

    /// Returns the number of lines dropped since the sink was created.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.iter().map(Cell::get).sum()
    }

    /// Returns the kinds of which lines were dropped since the sink was created, and how many.
    pub fn dropped_kinds(&self) -> impl Iterator<Item = (EventCode, u64)> {
        let counts = self.dropped.iter().map(Cell::get);
        let kinds = EventCode::ALL.iter().copied().zip(counts);
        kinds.filter(|(_, count)| *count > 0)
    }

    fn count_dropped(&self, code: EventCode) {
        let count = &self.dropped[code as usize];
        count.set(count.get() + 1);
    }

    /// Queues a line, or drops and counts it. `now` is the time since the start of the process.
    pub fn write(&self, line: &LogLine, now: Duration) {
        if !self.is_enabled(line.code.level()) {
            return;
        }
        if !self.take_token(reserve(line), now) {
            self.count_dropped(line.code);
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
            self.count_dropped(line.code);
        }
    }

    fn is_enabled(&self, level: EventLevel) -> bool {
        let severity = |level| match level {
            EventLevel::Debug => 0,
            EventLevel::Info => 1,
            EventLevel::Warn => 2,
            EventLevel::Error => 3,
        };
        severity(level) >= severity(self.min_level)
    }

    /// Takes a token unless only `reserve` tokens are left.
    fn take_token(&self, reserve: f64, now: Duration) -> bool {
        let (tokens, refilled_at) = self.token_bucket.get();
        let refill = now.saturating_sub(refilled_at).as_secs_f64() * LINES_PER_SECOND;
        let tokens = (tokens + refill).min(BURST_LINES);
        let allowed = tokens >= 1.0 + reserve;
        let remaining = if allowed { tokens - 1.0 } else { tokens };
        self.token_bucket.set((remaining, now));
        allowed
    }
}

/// Tokens that a line leaves to others.
fn reserve(line: &LogLine) -> f64 {
    match line.code.level() {
        _ if line.is_kept => 0.0,
        EventLevel::Warn | EventLevel::Error => KEPT_RESERVE,
        EventLevel::Info | EventLevel::Debug => WARNING_RESERVE,
    }
}
