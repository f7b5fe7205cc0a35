//! What targets state of themselves in their responses.

use std::rc::Rc;
use std::time::Duration;

use adapter::{ResponseHeaders, StatedValue};
use domain::HostId;
use events::{EventCode, LogLine};
use http::StatusCode;
use serving::hashing::stable_hash;
use serving::target_statements::BackoffNews;
use serving::{SentRequest, TargetEntry, TargetProcess, TargetState};

use crate::limits::record_stated_limit;
use crate::node::GatewayNode;

/// Whether a response with this status turns a request away, so that its `Retry-After` speaks for the target.
#[must_use]
pub fn is_rejection(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

/// Takes in what a response to a request sent at `sent_at` states of its target.
pub fn record_statements(
    node: &Rc<GatewayNode>,
    target: &TargetEntry,
    status: StatusCode,
    headers: &ResponseHeaders,
    sent_at: Duration,
) {
    record_stated_limit(node, target, headers, sent_at);
    let process = TargetProcess {
        host: target.id.clone(),
        boot: target.boot,
    };
    node.record_process_statements(&process, status, headers);
}

impl GatewayNode {
    /// Takes in a backoff or a drain that a process of a target states.
    pub fn record_process_statements(
        &self,
        process: &TargetProcess,
        status: StatusCode,
        headers: &ResponseHeaders,
    ) {
        match headers.statements.retry_after {
            _ if !is_rejection(status) => {}
            StatedValue::Value(delay) => self.record_backoff(process, status, delay),
            StatedValue::Unreadable => self.log_unreadable(&process.host, "retry_after"),
            StatedValue::Absent => {}
        }
        match headers.statements.drains {
            StatedValue::Value(true) => self.record_drain(process),
            StatedValue::Unreadable => self.log_unreadable(&process.host, "drain"),
            StatedValue::Value(false) | StatedValue::Absent => {}
        }
    }

    fn record_backoff(&self, process: &TargetProcess, status: StatusCode, delay: Duration) {
        let draw = stable_hash(&(self.settings.node.as_str(), process.host.as_str())) % 1000;
        let draw = f64::from(u32::try_from(draw).unwrap_or(0)) / 1000.0;
        let now = self.now();
        let mut statements = self.statements.borrow_mut();
        let BackoffNews { is_new, sent, .. } = statements.record_backoff(process, delay, draw, now);
        drop(statements);
        self.metrics.record_statement("backoff");
        let line = LogLine::new(EventCode::BackoffStated)
            .text("host", process.host.as_str())
            .number("status", u64::from(status.as_u16()))
            .millis("for_ms", delay)
            .number("new", u64::from(is_new))
            .number("sent", sent);
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
    }

    fn log_unreadable(&self, id: &HostId, header: &str) {
        let line = LogLine::new(EventCode::StatementUnreadable)
            .text("host", id.as_str())
            .text("header", header);
        self.log(&line);
    }

    /// Counts a request that is about to be sent to a target; [`Self::record_request_answered`] must follow.
    pub fn record_request_sent(&self, process: &TargetProcess) -> SentRequest {
        let now = self.now();
        let mut statements = self.statements.borrow_mut();
        if statements.is_backing_off(process, now) {
            self.metrics.record_sent_in_backoff();
        }
        statements.record_sent(process, now)
    }

    /// Records that a request has a response, or gets none.
    pub fn record_request_answered(
        &self,
        process: &TargetProcess,
        sent: SentRequest,
        accepted: bool,
    ) {
        let mut statements = self.statements.borrow_mut();
        let is_over = statements.record_answered(process, sent, accepted);
        drop(statements);
        if is_over {
            let line = LogLine::new(EventCode::BackoffEnded).text("host", process.host.as_str());
            self.log(&line);
        }
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
