//! How long a caller's connection has been idle.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Use of one caller's connection.
#[derive(Debug)]
pub struct ConnectionUsage {
    running: Cell<usize>,
    last_used: Cell<Duration>,
}

impl ConnectionUsage {
    /// A connection that was opened at a time since the start of the process.
    #[must_use]
    pub fn new(now: Duration) -> Rc<Self> {
        Rc::new(Self {
            running: Cell::new(0),
            last_used: Cell::new(now),
        })
    }

    /// Notes the beginning of a request.
    pub fn begin(&self) {
        self.running.set(self.running.get() + 1);
    }

    /// Notes the end of an answer. Callers count from here: a connection whose last answer took
    /// long would else be closed under the next request.
    pub fn end(&self, now: Duration) {
        self.running.set(self.running.get().saturating_sub(1));
        self.last_used.set(now);
    }

    /// How long it has had no request.
    #[must_use]
    pub fn idle_time(&self, now: Duration) -> Duration {
        if self.running.get() > 0 {
            return Duration::ZERO;
        }
        now.saturating_sub(self.last_used.get())
    }
}
