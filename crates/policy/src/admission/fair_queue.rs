//! Weighted fair queueing between customers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use domain::{CustomerKey, FastMap};

use super::request::RequestKey;

/// Number of customers from which idle ones are evicted.
const MAX_CUSTOMERS: usize = 1_024;

/// Sort key of a request within its customer's queue: priority, then deadline, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrderKey {
    pub priority: Reverse<i32>,
    pub deadline: Duration,
    pub arrival: u64,
}

/// A waiting request as the fair queue needs it.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueuedRequest {
    pub key: RequestKey,
    pub customer: CustomerKey,
    pub order: OrderKey,
    pub cost: f64,
}

/// Waiting requests and virtual time of one customer.
#[derive(Debug, Default)]
struct CustomerQueue {
    /// Cost served so far divided by the customer's share; the customer with the lowest goes next.
    virtual_time: f64,
    share: f64,
    backlog: f64,
    waiting: BTreeMap<OrderKey, QueuedRequest>,
}

/// Requests of one class, in weighted fair order between customers.
///
/// Designed for about 10 customers, a few of them large, where one sends a burst of many times its
/// share. In order of arrival, the burst would fill the queue and every small customer would wait
/// behind it. Here the customer that was served least in relation to its share goes next, so a
/// small customer waits for at most one request of each other customer. A customer that returns
/// after an idle period starts at the virtual time of the least served one; if idle time were
/// credited, its return would starve the others. Selecting the next customer takes time linear in
/// the number of customers with waiting requests.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    customers: FastMap<CustomerKey, CustomerQueue>,
    /// Customers with waiting requests.
    active: Vec<CustomerKey>,
    /// Virtual time of the customer served last, at which customers start while none waits.
    virtual_time: f64,
}

impl FairQueue {
    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    pub fn waiting(&self, customer: CustomerKey) -> usize {
        self.customers
            .get(&customer)
            .map_or(0, |queue| queue.waiting.len())
    }

    fn next_customer(&self) -> Option<CustomerKey> {
        let mut best: Option<(CustomerKey, f64)> = None;
        for customer in &self.active {
            let Some(queue) = self.customers.get(customer) else {
                continue;
            };
            if best.is_none_or(|(_, virtual_time)| queue.virtual_time < virtual_time) {
                best = Some((*customer, queue.virtual_time));
            }
        }
        best.map(|(customer, _)| customer)
    }

    fn start_time(&self) -> f64 {
        self.next_customer()
            .and_then(|customer| self.customers.get(&customer))
            .map_or(self.virtual_time, |queue| {
                queue.virtual_time.max(self.virtual_time)
            })
    }

    pub fn push(&mut self, request: QueuedRequest, share: f64) {
        self.evict_idle();
        let start_time = self.start_time();
        let queue = self.customers.entry(request.customer).or_default();
        queue.share = share;
        if queue.waiting.is_empty() {
            queue.virtual_time = queue.virtual_time.max(start_time);
            self.active.push(request.customer);
        }
        queue.backlog += request.cost;
        queue.waiting.insert(request.order, request);
    }

    /// Evicts customers that have no waiting requests and are not ahead of the virtual time, when
    /// there are many.
    ///
    /// Customer keys change with the configuration; without eviction, a node that runs for months
    /// would keep a queue for each key that ever existed.
    fn evict_idle(&mut self) {
        if self.customers.len() < MAX_CUSTOMERS {
            return;
        }
        let virtual_time = self.virtual_time;
        self.customers
            .retain(|_, queue| !queue.waiting.is_empty() || queue.virtual_time > virtual_time);
    }

    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let customer = self.next_customer()?;
        let queue = self.customers.get_mut(&customer)?;
        let (_, request) = queue.waiting.pop_first()?;
        self.virtual_time = queue.virtual_time;
        queue.virtual_time += request.cost / queue.share;
        self.reduce_backlog(customer, request.cost);
        Some(request)
    }

    pub fn remove(&mut self, customer: CustomerKey, order: &OrderKey) {
        let Some(queue) = self.customers.get_mut(&customer) else {
            return;
        };
        let Some(request) = queue.waiting.remove(order) else {
            return;
        };
        self.reduce_backlog(customer, request.cost);
    }

    fn reduce_backlog(&mut self, customer: CustomerKey, cost: f64) {
        let Some(queue) = self.customers.get_mut(&customer) else {
            return;
        };
        queue.backlog = (queue.backlog - cost).max(0.0);
        if !queue.waiting.is_empty() {
            return;
        }
        queue.backlog = 0.0;
        self.active.retain(|other| *other != customer);
    }

    /// Charges or refunds the difference between the actual and the predicted cost of a request.
    ///
    /// Otherwise a customer that understates the length of its responses would be served beyond
    /// its share indefinitely.
    pub fn adjust_charge(&mut self, customer: CustomerKey, difference: f64) {
        if let Some(queue) = self.customers.get_mut(&customer) {
            queue.virtual_time = (queue.virtual_time + difference / queue.share.max(1.0)).max(0.0);
        }
    }

    /// Returns the cost that is served before a new request with this sort key.
    ///
    /// Another customer is served at most until its virtual time passes that of the new request;
    /// the rest of its backlog comes later.
    pub fn work_ahead(&self, customer: CustomerKey, share: f64, order: &OrderKey) -> f64 {
        let mut own = 0.0;
        let mut start = self.start_time();
        if let Some(queue) = self.customers.get(&customer) {
            for (_, request) in queue.waiting.range(..*order) {
                own += request.cost;
            }
            if queue.waiting.is_empty() {
                start = start.max(queue.virtual_time);
            } else {
                start = queue.virtual_time;
            }
        }
        let finish = start + own / share;
        let mut ahead = own;
        for other in &self.active {
            if *other == customer {
                continue;
            }
            let Some(queue) = self.customers.get(other) else {
                continue;
            };
            ahead += ((finish - queue.virtual_time) * queue.share).clamp(0.0, queue.backlog);
        }
        ahead
    }

    /// Returns the total cost of all waiting requests.
    pub fn backlog(&self) -> f64 {
        let customers = self.active.iter().filter_map(|key| self.customers.get(key));
        customers.map(|queue| queue.backlog).sum()
    }
}
