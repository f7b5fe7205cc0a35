//! What targets state of themselves in their responses.

use std::rc::Rc;
use std::time::Duration;

use adapter::{ResponseHeaders, StatedValue, TargetStatements};
use domain::{HostId, NodeId};
use events::{EventCode, LogLine};
use http::StatusCode;
use peers::error::LinkError;
use serving::hashing::unit_draw;
use serving::target_statements::BackoffNews;
use serving::{SendBarrier, SendGrant, TargetEntry, TargetProcess, TargetState};
use wire::tunnel::TunnelStatement;

use crate::limits::record_stated_limit;
use crate::node::GatewayNode;

/// Takes in what a response to a request sent at `sent_at` states of its target.
pub fn record_statements(
    node: &Rc<GatewayNode>,
    target: &TargetEntry,
    status: StatusCode,
    headers: &ResponseHeaders,
    sent_at: Duration,
) {
    record_stated_limit(node, target, headers, sent_at);
    node.record_process_statements(&target.process(), status, &headers.statements);
}

impl GatewayNode {
    /// Takes in a backoff, a drain or a cold time that a process of a target states.
    pub fn record_process_statements(
        &self,
        process: &TargetProcess,
        status: StatusCode,
        statements: &TargetStatements,
    ) {
        if let Some(delay) = statements.backoff(status) {
            self.record_backoff(process, status, delay);
        }
        if statements.retry_after == StatedValue::Unreadable {
            self.log_unreadable(&process.host, "retry_after");
        }
        match statements.drains {
            StatedValue::Value(true) => self.record_drain(process),
            StatedValue::Unreadable => self.log_unreadable(&process.host, "drain"),
            StatedValue::Value(false) | StatedValue::Absent => {}
        }
        match statements.cold {
            StatedValue::Value(left) => self.record_stated_cold(process, left),
            StatedValue::Unreadable => self.log_unreadable(&process.host, "cold"),
            StatedValue::Absent => {}
        }
    }

    fn record_backoff(&self, process: &TargetProcess, status: StatusCode, delay: Duration) {
        let draw = unit_draw(&(self.settings.node.as_str(), process.host.as_str()));
        let now = self.now();
        let mut statements = self.statements.borrow_mut();
        let news = statements.record_backoff(process, delay, draw, now);
        drop(statements);
        let Some(BackoffNews { is_new, calls, .. }) = news else {
            return;
        };
        self.metrics.record_statement("backoff");
        let line = LogLine::new(EventCode::BackoffStated)
            .text("host", process.host.as_str())
            .number("status", u64::from(status.as_u16()))
            .millis("for_ms", delay)
            .number("new", u64::from(is_new))
            .number("calls", u64::from(calls));
        self.log(&line);
    }

    fn record_drain(&self, process: &TargetProcess) {
        let now = self.now();
        if !self.statements.borrow_mut().record_draining(process, now) {
            return;
        }
        self.metrics.record_statement("drain");
        let state = self.registry(|registry| registry.get(&process.host).map(|entry| entry.state));
        let listed = match state {
            Some(TargetState::Ready) => "ready",
            Some(TargetState::Draining) => "draining",
            None => "none",
        };
        let line = LogLine::new(EventCode::DrainStated)
            .text("host", process.host.as_str())
            .text("listed", listed);
        self.log(&line);
        self.apply_stated_drain(process);
    }

    /// Whether the process of an entry has said to this node that it drains.
    #[must_use]
    pub fn is_draining_by_word(&self, entry: &TargetEntry) -> bool {
        let statements = self.statements.borrow();
        !statements.is_empty() && statements.is_draining(&entry.process())
    }

    /// Logs that a node was not told what a target stated through it.
    pub fn log_untold(&self, relay: &NodeId, statement: &TunnelStatement, error: &LinkError) {
        let line = LogLine::new(EventCode::StatementUntold)
            .text("host", statement.host.as_str())
            .text("relay", relay.as_str())
            .text("reason", &error.to_string());
        self.log(&line);
    }

    fn log_unreadable(&self, id: &HostId, header: &str) {
        let line = LogLine::new(EventCode::StatementUnreadable)
            .text("host", id.as_str())
            .text("header", header);
        self.log(&line);
    }

    /// Whether a request may be sent to a target now, by what the target states. Asked of each target that is
    /// to be chosen among.
    ///
    /// # Errors
    ///
    /// [`SendBarrier`] if not.
    pub fn check_send(&self, target: &TargetEntry) -> Result<(), SendBarrier> {
        self.check_evacuation(target)?;
        self.check_cold(target)?;
        let statements = self.statements.borrow();
        if !statements.is_empty() {
            statements.check(&target.process(), self.now())?;
        }
        self.check_limit(target)
    }

    /// The same right before a request is written, and counts it: between the choice of a target and the
    /// first byte lie a connection that is opened and perhaps other nodes.
    ///
    /// # Errors
    ///
    /// [`SendBarrier`] if it must not be sent.
    pub fn take_send(&self, target: &TargetEntry) -> Result<(), SendBarrier> {
        match self.take_turn(target) {
            Ok(grant) => {
                self.record_sent_to_limited(&target.id);
                self.record_process_send(target);
                if grant == SendGrant::BackoffOver {
                    let line = LogLine::new(EventCode::BackoffEnded);
                    self.log(&line.text("host", target.id.as_str()));
                }
                Ok(())
            }
            Err(barrier) => Err(self.record_barred(barrier)),
        }
    }

    fn take_turn(&self, target: &TargetEntry) -> Result<SendGrant, SendBarrier> {
        self.check_evacuation(target)?;
        self.check_limit(target)?;
        let now = self.now();
        let process = target.process();
        self.statements.borrow().check(&process, now)?;
        self.take_cold(target)?;
        self.statements.borrow_mut().take_send(&process, now)
    }

    /// The same before a request that was counted is written to another connection, since the first one took
    /// nothing.
    ///
    /// # Errors
    ///
    /// [`SendBarrier`] if it must not be sent.
    pub fn recheck_send(&self, target: &TargetEntry) -> Result<(), SendBarrier> {
        let checked = self.check_evacuation(target).and_then(|()| {
            let statements = self.statements.borrow();
            statements.check_word(&target.process(), self.now())
        });
        checked.map_err(|barrier| self.record_barred(barrier))
    }

    /// Whether a probe, a status report or an order may be sent to a target now; counts it.
    ///
    /// # Errors
    ///
    /// [`SendBarrier`] if it must not be sent.
    pub fn take_call(&self, id: &HostId) -> Result<(), SendBarrier> {
        let process = self.registry(|registry| registry.get(id).map(TargetEntry::process));
        let Some(process) = process else {
            return Ok(());
        };
        let mut statements = self.statements.borrow_mut();
        let taken = statements.take_call(&process, self.now());
        taken.map_err(|barrier| self.record_barred(barrier))
    }

    fn record_barred(&self, barrier: SendBarrier) -> SendBarrier {
        self.metrics.record_barred_send(barrier);
        barrier
    }

    /// Number of targets that want nothing from this node now, and of those that drain by their own word.
    #[must_use]
    pub fn statement_counts(&self) -> (usize, usize) {
        self.statements.borrow().counts(self.now())
    }

    /// Forgets what targets have not repeated for long.
    pub fn forget_old_statements(&self) {
        self.statements.borrow_mut().prune(self.now());
    }
}
