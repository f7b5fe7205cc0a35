//! Detection of customers that use more than their share of a service at one entry.

use std::time::Duration;

use domain::{CustomerId, FastMap};

/// Time after its last request for which a customer counts as active. Small customers send a
/// request to one entry every few seconds; if they became inactive in between, the whole queue
/// would be left to the large ones.
const ACTIVE_PERIOD: Duration = Duration::from_secs(10);

/// Number of even shares that a customer may use before it counts as over its share. Customers
/// differ in size even on a quiet day, and refusing the larger ones to reserve places for customers
/// that send nothing reduces the number of responses.
const ALLOWED_SHARES: u32 = 2;

/// Minimum number of customers that even shares are computed for. With fewer customers two even
/// shares would exceed half of all running requests.
const MIN_SHARE_COUNT: u32 = 4;

/// Minimum total of running requests that shares are computed from. One out of two or three
/// requests is not significant.
const MIN_RUNNING: u32 = 2;

/// Number of known customers from which inactive ones are removed.
const MAX_CUSTOMERS: usize = 1_024;

#[derive(Debug, Clone, Copy, Default)]
struct CustomerUsage {
    running: u32,
    last_arrival: Duration,
}

/// Running requests of each customer at a service, sent by one entry.
#[derive(Debug, Default)]
pub struct CustomerShares {
    customers: FastMap<CustomerId, CustomerUsage>,
    running: u32,
}

impl CustomerShares {
    /// Records the arrival of a request, whether it is admitted or not. Its customer counts as
    /// active for `ACTIVE_PERIOD`.
    pub fn record_arrival(&mut self, customer: &CustomerId, now: Duration) {
        if self.customers.len() >= MAX_CUSTOMERS {
            self.customers.retain(|_, usage| is_active(usage, now));
        }
        let usage = self.customers.entry(customer.clone()).or_default();
        usage.last_arrival = now;
    }

    /// Records that a request was sent; [`Self::record_ended`] must follow.
    pub fn record_sent(&mut self, customer: &CustomerId) {
        self.customers.entry(customer.clone()).or_default().running += 1;
        self.running += 1;
    }

    /// Records that a request that was sent has ended, whether it succeeded or not.
    pub fn record_ended(&mut self, customer: &CustomerId) {
        let Some(usage) = self.customers.get_mut(customer) else {
            return;
        };
        usage.running = usage.running.saturating_sub(1);
        self.running = self.running.saturating_sub(1);
    }

    /// Returns whether a customer uses more than `ALLOWED_SHARES` even shares among the active
    /// customers, or more than half of all running requests. A customer that is alone may use
    /// everything.
    #[must_use]
    pub fn is_over_share(&self, customer: &CustomerId, now: Duration) -> bool {
        let Some(usage) = self.customers.get(customer) else {
            return false;
        };
        let active = self
            .customers
            .values()
            .filter(|usage| is_active(usage, now));
        let active = u32::try_from(active.count()).unwrap_or(u32::MAX);
        if active < 2 {
            return false;
        }
        let allowed = self.running.max(MIN_RUNNING).saturating_mul(ALLOWED_SHARES);
        usage.running.saturating_mul(active.max(MIN_SHARE_COUNT)) > allowed
    }
}

fn is_active(usage: &CustomerUsage, now: Duration) -> bool {
    usage.running > 0 || now.saturating_sub(usage.last_arrival) < ACTIVE_PERIOD
}
