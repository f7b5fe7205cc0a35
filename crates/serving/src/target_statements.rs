//! What targets state of themselves in their responses, and whether a request may be sent to one.
//!
//! A target that rejects a request may ask the node for a backoff: a time in which it wants nothing from this
//! node. One that is about to exit says that it drains. Both bind the node that heard them, hold for the
//! process that stated them, and need neither the store nor another node to be kept.
//!
//! After a backoff the node sends one request and waits for its response; each response that is no rejection
//! doubles the number that may wait. If all that the node has came back at once, and that of the other nodes
//! with it, the target would ask for the next backoff.

use std::time::Duration;

use domain::{BootNumber, FastMap, HostId};

use crate::poison::TargetProcess;

/// Most of a backoff by which a node comes back later than asked. Targets ask all nodes for the same time, at
/// nearly the same moment.
const RETURN_SPREAD: f64 = 0.25;

/// Requests that may wait for a response right after a backoff.
const FIRST_WINDOW: u32 = 1;

/// Requests that may wait for a response from which on the backoff is forgotten.
const FULL_WINDOW: u32 = 16;

/// Probes, status reports and orders that may be sent in a backoff: a question and an order that follows from
/// the answer, by which a replica that has lost a host is closed.
const CALLS_PER_BACKOFF: u32 = 2;

/// Time after which a statement is forgotten that the target has not repeated. An old copy of the registry may
/// list it until then.
const STATEMENT_MEMORY: Duration = Duration::from_mins(10);

/// Why nothing may be sent to a target now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendBarrier {
    /// It has asked this node for a backoff, or has not shown since that it takes requests again.
    Backoff {
        /// When the next request may be sent, as far as known.
        until: Duration,
    },
    /// It has said that it drains.
    Draining,
}

/// A backoff that a target asked this node for.
#[derive(Debug, Clone, Copy)]
struct BackoffPeriod {
    /// When the target takes requests of this node again, by its own word.
    until: Duration,
    /// When this node sends the first one.
    resumes_at: Duration,
    /// Requests that may wait for a response after that.
    window: u32,
    /// Requests sent since the end that wait for a response.
    waiting: u32,
    /// Probes, reports and orders sent since the beginning.
    calls: u32,
    /// Requests sent since the beginning that the end had not come for.
    sent: u64,
}

impl BackoffPeriod {
    fn new(until: Duration, waiting: u32) -> Self {
        Self {
            until,
            resumes_at: until,
            window: FIRST_WINDOW,
            waiting,
            calls: 0,
            sent: 0,
        }
    }

    fn check(&self, now: Duration) -> Result<(), SendBarrier> {
        if now >= self.resumes_at && self.waiting < self.window {
            return Ok(());
        }
        Err(SendBarrier::Backoff {
            until: self.resumes_at.max(now),
        })
    }
}

/// What one process of a target has stated.
#[derive(Debug, Clone, Copy)]
struct TargetStatement {
    boot: BootNumber,
    heard_at: Duration,
    backoff: Option<BackoffPeriod>,
    drains: bool,
}

/// A backoff as it was taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffNews {
    /// Whether no backoff of the target was in force.
    pub is_new: bool,
    /// When the target takes requests of this node again.
    pub until: Duration,
    /// Requests that this node had sent it in the backoff that was in force already.
    pub sent: u64,
}

/// A request that was let through, as [`StatementLedger::record_sent`] counted it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SentRequest {
    /// No backoff concerns it.
    Free,
    /// It is one of the first after a backoff.
    Returning,
}

/// What targets have stated to one node. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct StatementLedger {
    statements: FastMap<HostId, TargetStatement>,
}

impl StatementLedger {
    /// Takes in a backoff that a target asks for. Of several, the one that ends last holds. `draw`, from 0 to
    /// 1, differs between nodes.
    pub fn record_backoff(
        &mut self,
        process: &TargetProcess,
        delay: Duration,
        draw: f64,
        now: Duration,
    ) -> BackoffNews {
        let statement = self.statement(process, now);
        let known = statement.backoff.filter(|known| now < known.until);
        let is_new = known.is_none();
        // Those that wait since the end of the previous one still count.
        let waiting = statement.backoff.map_or(0, |previous| previous.waiting);
        let mut backoff = known.unwrap_or_else(|| BackoffPeriod::new(now, waiting));
        let sent = backoff.sent;
        backoff.until = backoff.until.max(now + delay);
        let spread = delay.mul_f64(RETURN_SPREAD * draw.clamp(0.0, 1.0));
        backoff.resumes_at = backoff.resumes_at.max(backoff.until + spread);
        statement.backoff = Some(backoff);
        BackoffNews {
            is_new,
            until: backoff.until,
            sent,
        }
    }

    /// Takes in that a target drains; returns whether it had not said so.
    pub fn record_draining(&mut self, process: &TargetProcess, now: Duration) -> bool {
        let statement = self.statement(process, now);
        !std::mem::replace(&mut statement.drains, true)
    }

    fn statement(&mut self, process: &TargetProcess, now: Duration) -> &mut TargetStatement {
        let fresh = TargetStatement {
            boot: process.boot,
            heard_at: now,
            backoff: None,
            drains: false,
        };
        let statement = self.statements.entry(process.host.clone()).or_insert(fresh);
        if statement.boot != process.boot {
            *statement = fresh;
        }
        statement.heard_at = now;
        statement
    }

    fn known(&self, process: &TargetProcess) -> Option<&TargetStatement> {
        let statement = self.statements.get(&process.host)?;
        (statement.boot == process.boot).then_some(statement)
    }

    fn backoff_mut(&mut self, process: &TargetProcess) -> Option<&mut BackoffPeriod> {
        let statement = self.statements.get_mut(&process.host)?;
        statement
            .backoff
            .as_mut()
            .filter(|_| statement.boot == process.boot)
    }

    /// Whether a request may be sent to a process of a target now.
    ///
    /// # Errors
    ///
    /// [`SendBarrier`] if not.
    pub fn check(&self, process: &TargetProcess, now: Duration) -> Result<(), SendBarrier> {
        let Some(statement) = self.known(process) else {
            return Ok(());
        };
        if statement.drains {
            return Err(SendBarrier::Draining);
        }
        statement
            .backoff
            .map_or(Ok(()), |backoff| backoff.check(now))
    }

    /// Whether a process of a target wants nothing now.
    #[must_use]
    pub fn is_backing_off(&self, process: &TargetProcess, now: Duration) -> bool {
        let backoff = self.known(process).and_then(|statement| statement.backoff);
        backoff.is_some_and(|backoff| now < backoff.until)
    }

    /// Whether a process of a target has said that it drains.
    #[must_use]
    pub fn is_draining(&self, process: &TargetProcess) -> bool {
        self.known(process)
            .is_some_and(|statement| statement.drains)
    }

    /// Counts a request that is sent now; [`Self::record_answered`] must follow.
    pub fn record_sent(&mut self, process: &TargetProcess, now: Duration) -> SentRequest {
        let Some(backoff) = self.backoff_mut(process) else {
            return SentRequest::Free;
        };
        if now < backoff.until {
            backoff.sent += 1;
            return SentRequest::Free;
        }
        backoff.waiting += 1;
        SentRequest::Returning
    }

    /// Records that a request has a response or gets none. `accepted`: the target did not reject it.
    /// Returns whether the target is sent to as before the backoff from now on.
    pub fn record_answered(
        &mut self,
        process: &TargetProcess,
        request: SentRequest,
        accepted: bool,
    ) -> bool {
        let Some(backoff) = self.backoff_mut(process) else {
            return false;
        };
        if request == SentRequest::Free {
            return false;
        }
        backoff.waiting = backoff.waiting.saturating_sub(1);
        if !accepted {
            return false;
        }
        backoff.window = backoff.window.saturating_mul(2);
        let is_over = backoff.window >= FULL_WINDOW;
        if is_over && let Some(statement) = self.statements.get_mut(&process.host) {
            statement.backoff = None;
        }
        is_over
    }

    /// Whether a probe, a status report or an order may be sent to a target now; counts it. A target that
    /// drains takes them.
    ///
    /// # Errors
    ///
    /// [`SendBarrier`] if not.
    pub fn take_call(&mut self, process: &TargetProcess, now: Duration) -> Result<(), SendBarrier> {
        let Some(backoff) = self.backoff_mut(process).filter(|known| now < known.until) else {
            return Ok(());
        };
        if backoff.calls >= CALLS_PER_BACKOFF {
            return Err(SendBarrier::Backoff {
                until: backoff.until,
            });
        }
        backoff.calls += 1;
        Ok(())
    }

    /// Forgets statements that were not repeated for long.
    pub fn prune(&mut self, now: Duration) {
        self.statements.retain(|_, statement| {
            let holds = statement.backoff.is_some_and(|backoff| now < backoff.until);
            holds || now.saturating_sub(statement.heard_at) < STATEMENT_MEMORY
        });
    }

    /// Number of targets that want nothing now, and of those that drain.
    #[must_use]
    pub fn counts(&self, now: Duration) -> (usize, usize) {
        let statements = self.statements.values();
        let backoffs = statements.clone().filter_map(|statement| statement.backoff);
        let waiting = backoffs.filter(|backoff| now < backoff.until).count();
        let draining = statements.filter(|statement| statement.drains).count();
        (waiting, draining)
    }
}
