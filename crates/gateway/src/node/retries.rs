//! Retry budgets of the services, and the log of what they decide.

use domain::{RequestId, ServiceName};
use events::{EventCode, LogLine};
use serving::RetryBudget;
use serving::lease::LeaseLedger;
use serving::retry_budget::{RETRIES_PER_SLOT, RetryPurpose, RetryTicket};

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

    /// Calls `access` with the leases of the extra retries, which must have been set up.
    pub fn with_retry_leases<R: Default>(&self, access: impl FnOnce(&mut LeaseLedger) -> R) -> R {
        self.retry_leases
            .borrow_mut()
            .as_mut()
            .map(access)
            .unwrap_or_default()
    }

    /// Extra retries per window that this node has leased and may use now.
    #[must_use]
    pub fn leased_retries(&self) -> u32 {
        let now = self.boot_now();
        let slots = self.with_retry_leases(|ledger| ledger.usable(now));
        u32::try_from(slots).unwrap_or(u32::MAX) * RETRIES_PER_SLOT
    }

    /// Takes a retry of a request from the budget of its service; `None` if none is left. `reason` is why
    /// the request needs another attempt.
    pub fn take_retry(
        &self,
        request: &AdmittedRequest,
        purpose: RetryPurpose,
        reason: &str,
    ) -> Option<RetryTicket> {
        let (now, leased) = (self.boot_now(), self.leased_retries());
        let (left, ticket) = self.with_retry_budget(&request.service, |budget| {
            let left = budget.remaining(now, leased, purpose);
            (left, budget.take(now, leased, purpose))
        });
        let outcome = if ticket.is_some() { "taken" } else { "denied" };
        self.metrics.record_retry(request.service.as_str(), outcome);
        let line = retry_line(request, outcome, reason)
            .text("left", &format!("{left:.1}"))
            .number("leased", u64::from(leased));
        self.log(&line);
        ticket
    }

    /// Returns a retry of which nothing reached a target.
    pub fn return_retry(&self, request: &AdmittedRequest, ticket: RetryTicket, reason: &str) {
        self.with_retry_budget(&request.service, |budget| budget.give_back(ticket));
        let service = request.service.as_str();
        self.metrics.record_retry(service, "returned");
        self.log(&retry_line(request, "returned", reason));
    }

    /// Records an attempt that takes nothing from the budget, because nothing of the previous one was
    /// written.
    pub fn record_free_attempt(&self, request: &AdmittedRequest, reason: &str) {
        self.metrics.record_retry(request.service.as_str(), "free");
        self.log(&retry_line(request, "free", reason));
    }

    /// Retries allowed now at the service that has the fewest left; 0 before the first request.
    pub(super) fn retries_left(&self) -> f64 {
        let (now, leased) = (self.boot_now(), self.leased_retries());
        let mut budgets = self.retry_budgets.borrow_mut();
        let left = budgets
            .values_mut()
            .map(|budget| budget.remaining(now, leased, RetryPurpose::Start));
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
