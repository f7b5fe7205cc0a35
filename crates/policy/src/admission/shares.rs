//! Which customers use more than their share of a service at one entry.

use std::time::Duration;

use domain::{CustomerId, FastMap};

/// How long a customer counts as one that shares the service after its last request. Small
/// customers send a request every few seconds to one entry; forgotten between two of them, they
/// would leave the whole queue to the large ones.
const PRESENCE: Duration = Duration::from_secs(10);

/// Even parts that a customer may use before it counts as one that uses too much. Customers differ
/// in size on the calmest day, and refusing the larger ones in order to hold places for others who
/// do not come costs answers.
const FREE_PARTS: u32 = 2;

/// Customers from which on two even parts are less than half of everything.
const HALF_FROM: u32 = 4;

/// Requests that are taken to run at least. Of two or three requests one is no sign of anything.
const FREE_RUNNING: u32 = 2;

/// Customers that are remembered before those that left are looked for.
const MAX_LINES: usize = 1_024;

#[derive(Debug, Clone, Copy, Default)]
struct CustomerLine {
    running: u32,
    seen: Duration,
}

/// Requests of each customer that run at a service for one entry.
#[derive(Debug, Default)]
pub struct CustomerShares {
    lines: FastMap<CustomerId, CustomerLine>,
    running: u32,
}

impl CustomerShares {
    /// A customer's request arrived, whatever becomes of it.
    pub fn record_arrival(&mut self, customer: &CustomerId, now: Duration) {
        if self.lines.len() >= MAX_LINES {
            self.lines.retain(|_, line| is_present(line, now));
        }
        let line = self.lines.entry(customer.clone()).or_default();
        line.seen = now;
    }

    /// A customer's request was sent.
    pub fn record_sent(&mut self, customer: &CustomerId) {
        self.lines.entry(customer.clone()).or_default().running += 1;
        self.running += 1;
    }

    /// A request that was sent has ended.
    pub fn record_ended(&mut self, customer: &CustomerId) {
        let Some(line) = self.lines.get_mut(customer) else {
            return;
        };
        line.running = line.running.saturating_sub(1);
        self.running = self.running.saturating_sub(1);
    }

    /// Whether a customer uses more than [`FREE_PARTS`] even parts among those that are present, or
    /// more than half. A customer that is alone may use everything.
    #[must_use]
    pub fn is_over_share(&self, customer: &CustomerId, now: Duration) -> bool {
        let Some(line) = self.lines.get(customer) else {
            return false;
        };
        let present = self.lines.values().filter(|line| is_present(line, now));
        let present = u32::try_from(present.count()).unwrap_or(u32::MAX);
        if present < 2 {
            return false;
        }
        let allowed = self.running.max(FREE_RUNNING).saturating_mul(FREE_PARTS);
        line.running.saturating_mul(present.max(HALF_FROM)) > allowed
    }
}

fn is_present(line: &CustomerLine, now: Duration) -> bool {
    line.running > 0 || now.saturating_sub(line.seen) < PRESENCE
}
