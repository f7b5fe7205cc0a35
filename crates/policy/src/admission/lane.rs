//! Weighted fair order between customers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use domain::{CustomerKey, FastMap};

use super::request::RequestKey;

/// Customers that are remembered before idle ones are forgotten.
const MAX_LINES: usize = 1_024;

/// Place of a request among its customer's own: priority first, then deadline, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LineRank {
    pub priority: Reverse<i32>,
    pub deadline: Duration,
    pub arrival: u64,
}

/// What a lane knows of a waiting request.
#[derive(Debug, Clone, Copy)]
pub(super) struct LaneTicket {
    pub key: RequestKey,
    pub customer: CustomerKey,
    pub rank: LineRank,
    pub cost: f64,
}

/// One customer's requests and what it has been served.
#[derive(Debug, Default)]
struct CustomerLine {
    /// Cost served so far over the customer's share; the lowest goes next.
    served: f64,
    share: f64,
    backlog: f64,
    waiting: BTreeMap<LineRank, LaneTicket>,
}

/// Requests of one class, in a weighted fair order between their customers.
///
/// Made for about 10 customers, a few of them large, of whom one sends a burst of many times its
/// share. First come first served would let the burst fill the queue and every small customer
/// wait behind it. Here the customer that has been served least for its share goes next, so a
/// small customer waits for at most one request of each other customer. A customer that returns
/// from idleness starts level with the least served one: idle time is not saved up, or its
/// return would starve the others. Scanning the customers that wait is linear in them alone.
#[derive(Debug, Default)]
pub(super) struct FairLane {
    lines: FastMap<CustomerKey, CustomerLine>,
    /// Customers that have a request waiting.
    active: Vec<CustomerKey>,
    /// Where the last served customer stood, for customers that come while none waits.
    level: f64,
}

impl FairLane {
    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    pub fn waiting(&self, customer: CustomerKey) -> usize {
        self.lines
            .get(&customer)
            .map_or(0, |line| line.waiting.len())
    }

    fn least_served(&self) -> Option<CustomerKey> {
        let mut best: Option<(CustomerKey, f64)> = None;
        for customer in &self.active {
            let Some(line) = self.lines.get(customer) else {
                continue;
            };
            if best.is_none_or(|(_, served)| line.served < served) {
                best = Some((*customer, line.served));
            }
        }
        best.map(|(customer, _)| customer)
    }

    fn start_level(&self) -> f64 {
        self.least_served()
            .and_then(|customer| self.lines.get(&customer))
            .map_or(self.level, |line| line.served.max(self.level))
    }

    pub fn push(&mut self, ticket: LaneTicket, share: f64) {
        self.forget_idle();
        let level = self.start_level();
        let line = self.lines.entry(ticket.customer).or_default();
        line.share = share;
        if line.waiting.is_empty() {
            line.served = line.served.max(level);
            self.active.push(ticket.customer);
        }
        line.backlog += ticket.cost;
        line.waiting.insert(ticket.rank, ticket);
    }

    /// Forgets customers that have nothing waiting and no debt, when there are many.
    ///
    /// Keys of customers change with the configuration; without this a node that runs for months
    /// keeps a line for each key there ever was.
    fn forget_idle(&mut self) {
        if self.lines.len() < MAX_LINES {
            return;
        }
        let level = self.level;
        self.lines
            .retain(|_, line| !line.waiting.is_empty() || line.served > level);
    }

    pub fn pop(&mut self) -> Option<LaneTicket> {
        let customer = self.least_served()?;
        let line = self.lines.get_mut(&customer)?;
        let (_, ticket) = line.waiting.pop_first()?;
        self.level = line.served;
        line.served += ticket.cost / line.share;
        self.settle(customer, ticket.cost);
        Some(ticket)
    }

    pub fn remove(&mut self, customer: CustomerKey, rank: &LineRank) {
        let Some(line) = self.lines.get_mut(&customer) else {
            return;
        };
        let Some(ticket) = line.waiting.remove(rank) else {
            return;
        };
        self.settle(customer, ticket.cost);
    }

    fn settle(&mut self, customer: CustomerKey, cost: f64) {
        let Some(line) = self.lines.get_mut(&customer) else {
            return;
        };
        line.backlog = (line.backlog - cost).max(0.0);
        if !line.waiting.is_empty() {
            return;
        }
        line.backlog = 0.0;
        self.active.retain(|other| *other != customer);
    }

    /// Charges or refunds what a finished request cost beyond its prediction.
    ///
    /// Without it a customer that understates its answers' length would be served beyond its
    /// share for as long as it likes.
    pub fn correct(&mut self, customer: CustomerKey, difference: f64) {
        if let Some(line) = self.lines.get_mut(&customer) {
            line.served = (line.served + difference / line.share.max(1.0)).max(0.0);
        }
    }

    /// Cost that will be served before a new request of this rank, by the fair order.
    ///
    /// Another customer is served at most up to the point where its served cost over its share
    /// passes that of the new request; the rest of its backlog stays behind.
    pub fn work_ahead(&self, customer: CustomerKey, share: f64, rank: &LineRank) -> f64 {
        let mut own = 0.0;
        let mut from = self.start_level();
        if let Some(line) = self.lines.get(&customer) {
            for (_, ticket) in line.waiting.range(..*rank) {
                own += ticket.cost;
            }
            if line.waiting.is_empty() {
                from = from.max(line.served);
            } else {
                from = line.served;
            }
        }
        let until = from + own / share;
        let mut ahead = own;
        for other in &self.active {
            if *other == customer {
                continue;
            }
            let Some(line) = self.lines.get(other) else {
                continue;
            };
            ahead += ((until - line.served) * line.share).clamp(0.0, line.backlog);
        }
        ahead
    }

    /// Cost of everything that waits.
    pub fn backlog(&self) -> f64 {
        let lines = self.active.iter().filter_map(|key| self.lines.get(key));
        lines.map(|line| line.backlog).sum()
    }
}
