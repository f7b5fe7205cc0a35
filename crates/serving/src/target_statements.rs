//! What targets state of themselves in their responses, and whether a request may be sent to one.
//!
//! A target that rejects a request may ask the node for a backoff: a time in which it wants nothing from this
//! node. One that is about to exit says that it drains. Both bind the node that heard them, hold for the
//! process that stated them, and need neither the store nor another node to be kept.
//!
//! After a backoff the node comes back step by step. If all that it has came back at once, and that of the
//! other nodes with it, the target would ask for the next backoff. A target rejects at once, so the number
//! that may be sent grows by time alone, without waiting for responses, which take until a first token.

use std::fmt;
use std::time::Duration;

use domain::{BootNumber, FastMap, HostId};

use crate::poison::TargetProcess;

/// Most of a backoff by which a node comes back later than asked. Targets ask all nodes for the same time, at
/// nearly the same moment.
const RETURN_SPREAD: f64 = 0.25;

/// Time after which twice as many requests may have been sent since the end of a backoff; rejections arrive
/// sooner.
const RETURN_STEP: Duration = Duration::from_millis(100);

/// Steps after which a backoff is forgotten.
const RETURN_STEPS: u32 = 5;

/// Probes, status reports and orders that may be sent in a backoff: a question and an order that follows from
/// the answer, by which a replica that has lost a host is closed.
const CALLS_PER_BACKOFF: u32 = 2;

/// Time after which a statement is forgotten that the target has not repeated. An old copy of the registry may
/// list it until then.
const STATEMENT_MEMORY: Duration = Duration::from_mins(10);

/// Why nothing may be sent to a target now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendBarrier {
    /// It has asked this node for a backoff, or takes few requests again after one.
    Backoff {
        /// When the next request may be sent, as far as known.
        until: Duration,
    },
    /// It has said that it drains.
    Draining,
    /// It states a limit on the requests of all nodes, which leaves nothing for this one now.
    Limit,
    /// Operators evacuate the failure domain of a host of its replica.
    Evacuated,
    /// It is cold, and what this node may send to cold targets is used up.
    Cold,
}

impl fmt::Display for SendBarrier {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Backoff { .. } => "target has asked for a backoff",
            Self::Draining => "target has said that it drains",
            Self::Limit => "target states a limit",
            Self::Evacuated => "failure domain of the target is evacuated",
            Self::Cold => "target is cold",
        })
    }
}

/// A request that may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendGrant {
    /// As usual.
    Plain,
    /// It is the one with which a backoff is forgotten.
    BackoffOver,
}

/// A backoff that a target asked this node for.
#[derive(Debug, Clone, Copy)]
struct BackoffPeriod {
    /// When the target takes requests of this node again, by its own word.
    until: Duration,
    /// When this node sends the first one.
    resumes_at: Duration,
    /// Requests sent since then.
    returned: u32,
    /// Probes, reports and orders sent since the beginning.
    calls: u32,
}

impl BackoffPeriod {
    fn new(until: Duration) -> Self {
        Self {
            until,
            resumes_at: until,
            returned: 0,
            calls: 0,
        }
    }

    /// Steps of the return that are over; `None` before it.
    fn steps(&self, now: Duration) -> Option<u32> {
        let elapsed = now.checked_sub(self.resumes_at)?;
        let steps = elapsed.as_millis() / RETURN_STEP.as_millis();
        Some(u32::try_from(steps).unwrap_or(u32::MAX))
    }

    fn is_over(&self, now: Duration) -> bool {
        self.steps(now).is_some_and(|steps| steps >= RETURN_STEPS)
    }

    fn check(&self, now: Duration) -> Result<(), SendBarrier> {
        let Some(steps) = self.steps(now) else {
            let until = self.resumes_at;
            return Err(SendBarrier::Backoff { until });
        };
        if steps >= RETURN_STEPS || self.returned < 1 << steps {
            return Ok(());
        }
        let until = self.resumes_at + RETURN_STEP * (steps + 1);
        Err(SendBarrier::Backoff { until })
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
    /// Probes, reports and orders sent in the backoff that was in force already.
    pub calls: u32,
}

/// What targets have stated to one node. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct StatementLedger {
    statements: FastMap<HostId, TargetStatement>,
}

impl StatementLedger {
    /// Takes in a backoff that a target asks for. Of several, the one that ends last holds. `draw`, from 0 to
    /// 1, differs between nodes. Returns `None` for a process that another one has followed.
    pub fn record_backoff(
        &mut self,
        process: &TargetProcess,
        delay: Duration,
        draw: f64,
        now: Duration,
    ) -> Option<BackoffNews> {
        let statement = self.statement(process, now)?;
        let known = statement.backoff.filter(|known| now < known.until);
        let is_new = known.is_none();
        let mut backoff = known.unwrap_or_else(|| BackoffPeriod::new(now));
        backoff.until = backoff.until.max(now + delay);
        let spread = delay.mul_f64(RETURN_SPREAD * draw.clamp(0.0, 1.0));
        backoff.resumes_at = backoff.resumes_at.max(backoff.until + spread);
        statement.backoff = Some(backoff);
        Some(BackoffNews {
            is_new,
            until: backoff.until,
            calls: backoff.calls,
        })
    }

    /// Takes in that a target drains; returns whether it had not said so.
    pub fn record_draining(&mut self, process: &TargetProcess, now: Duration) -> bool {
        let statement = self.statement(process, now);
        statement.is_some_and(|statement| !std::mem::replace(&mut statement.drains, true))
    }

    /// The statement of a process; `None` if a later one of its host has stated something.
    fn statement(
        &mut self,
        process: &TargetProcess,
        now: Duration,
    ) -> Option<&mut TargetStatement> {
        let fresh = TargetStatement {
            boot: process.boot,
            heard_at: now,
            backoff: None,
            drains: false,
        };
        let statement = self.statements.entry(process.host.clone()).or_insert(fresh);
        if statement.boot > process.boot {
            return None;
        }
        if statement.boot < process.boot {
            *statement = fresh;
        }
        statement.heard_at = now;
        Some(statement)
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
        self.check_word(process, now)?;
        let backoff = self.known(process).and_then(|statement| statement.backoff);
        backoff.map_or(Ok(()), |backoff| backoff.check(now))
    }

    /// Whether a process of a target wants nothing now, or drains.
    ///
    /// # Errors
    ///
    /// [`SendBarrier`] if so.
    pub fn check_word(&self, process: &TargetProcess, now: Duration) -> Result<(), SendBarrier> {
        let Some(statement) = self.known(process) else {
            return Ok(());
        };
        if statement.drains {
            return Err(SendBarrier::Draining);
        }
        let backoff = statement.backoff.filter(|backoff| now < backoff.until);
        backoff.map_or(Ok(()), |backoff| backoff.check(now))
    }

    /// Whether a process of a target has said that it drains.
    #[must_use]
    pub fn is_draining(&self, process: &TargetProcess) -> bool {
        self.known(process)
            .is_some_and(|statement| statement.drains)
    }

    /// Whether a request may be sent to a process of a target now; counts it.
    ///
    /// # Errors
    ///
    /// [`SendBarrier`] if not.
    pub fn take_send(
        &mut self,
        process: &TargetProcess,
        now: Duration,
    ) -> Result<SendGrant, SendBarrier> {
        self.check(process, now)?;
        let Some(statement) = self.statements.get_mut(&process.host) else {
            return Ok(SendGrant::Plain);
        };
        let backoff = statement.backoff.as_mut();
        let Some(backoff) = backoff.filter(|_| statement.boot == process.boot) else {
            return Ok(SendGrant::Plain);
        };
        backoff.returned += 1;
        if !backoff.is_over(now) {
            return Ok(SendGrant::Plain);
        }
        statement.backoff = None;
        Ok(SendGrant::BackoffOver)
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

    /// Whether no target has stated anything that still counts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
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
