//! Retry budgets of the services, and the log of what they decide.

use domain::{RequestId, ServiceName};
use events::{EventCode, LogLine};
use serving::RetryBudget;

use super::GatewayNode;
use crate::admitted::AdmittedRequest;

impl GatewayNode {
    /// Calls `update` with the retry budget of a service.
    pub fn with_retry_budget<R>(
        &self,
        service: &ServiceName,
        update: impl FnOnce(&mut RetryBudget) -> R,
    ) -> R {
        let mut budgets = self.retry_budgets.borrow_mut();
        let limits = self.settings.bounds.retry_limits();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(limits));
        update(budget)
    }

    /// Takes a retry of a request from the budget of its service and returns whether it was allowed.
    /// `reason` is why the request needs another attempt.
    pub fn take_retry(&self, request: &AdmittedRequest, reason: &str) -> bool {
        let (now, nodes) = (self.now(), self.node_count());
        let (left, is_allowed) = self.with_retry_budget(&request.service, |budget| {
            let left = budget.remaining(now, nodes);
            (left, budget.take(now, nodes))
        });
        let outcome = if is_allowed { "taken" } else { "denied" };
        self.metrics.record_retry(request.service.as_str(), outcome);
        let line = retry_line(request, outcome, reason)
            .text("left", &format!("{left:.1}"))
            .number("nodes", u64::try_from(nodes).unwrap_or(u64::MAX));
        self.log(&line);
        is_allowed
    }

    /// Records an attempt that takes nothing from the budget, because nothing of the previous one was
    /// written.
    pub fn record_free_attempt(&self, request: &AdmittedRequest, reason: &str) {
        self.metrics.record_retry(request.service.as_str(), "free");
        self.log(&retry_line(request, "free", reason));
    }

    /// Retries allowed now at the service that has the fewest left; 0 before the first request.
    pub(super) fn retries_left(&self) -> f64 {
        let (now, nodes) = (self.now(), self.node_count());
        let mut budgets = self.retry_budgets.borrow_mut();
        let left = budgets
            .values_mut()
            .map(|budget| budget.remaining(now, nodes));
        left.reduce(f64::min).unwrap_or(0.0)
    }
}

fn retry_line(request: &AdmittedRequest, outcome: &str, reason: &str) -> LogLine {
    LogLine::new(EventCode::RetryDecided)
        .text("request", request.id.as_ref().map_or("", RequestId::as_str))
        .text("service", request.service.as_str())
        .text("outcome", outcome)
        .text("reason", reason)
}
