//! Queue of one model at one entry.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use domain::CustomerKey;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use super::drain_rate::DrainRate;
use super::fair_queue::{FairQueue, OrderKey, QueuedRequest};
use super::first_token::FirstTokenTime;
use super::request::{AdmissionRequest, FinishedRequest, OfferOutcome, RefusalReason, RequestKey};
use super::retry_after::RetrySchedule;

/// Every how many dispatches a background request goes first even if others wait.
///
/// Background work yields to all other requests, but must make progress even in a week of full
/// load. One dispatch in 16 costs the others at most 6%.
const BACKGROUND_INTERVAL: u64 = 16;

/// Maximum predicted wait, as a fraction of the time that a request can wait.
///
/// Predictions are off by up to the duration of the responses in progress. A request admitted at
/// the very limit is late half of the time and takes the place of one that would have been on time.
const MAX_WAIT_FRACTION: f64 = 0.85;

/// Maximum fraction of the time to a request's deadline that is reserved for the target's own work.
///
/// While every first token is late, the observed time to first token would rule out every request,
/// nothing would be sent, and no new observation would ever correct it. So at least half of the
/// time to the deadline remains for waiting.
const MAX_TARGET_FRACTION: f64 = 0.5;

#[derive(Debug)]
struct QueueEntry {
    request: QueuedRequest,
    background: bool,
    /// Latest time at which the request can be sent and still meet its deadline.
    send_by: Duration,
}

/// Waiting requests of one model at one entry.
///
/// Requests are queued here and not at the engines because only here they can still be reordered,
/// refused or sent elsewhere; an engine is sent hardly more than it can run concurrently.
#[derive(Debug)]
pub struct AdmissionQueue {
    max_waiting: usize,
    requests: SlotMap<RequestKey, QueueEntry>,
    normal: FairQueue,
    background: FairQueue,
    send_deadlines: BTreeSet<(Duration, RequestKey)>,
    drain_rate: DrainRate,
    retry_schedule: RetrySchedule,
    free: usize,
    first_token: FirstTokenTime,
    arrivals: u64,
    dispatches: u64,
}

#[bon::bon]
impl AdmissionQueue {
    /// Creates an empty queue.
    ///
    /// `max_waiting` bounds its memory. At 13 requests per second per entry and deadlines of a few
    /// seconds, the default is reached only while the drain rate is unknown. `seed` is for the
    /// jitter of retry times and should differ between entries.
    #[builder]
    pub fn new(#[builder(default = 1_024)] max_waiting: usize, seed: u64) -> Self {
        Self {
            max_waiting,
            requests: SlotMap::with_key(),
            normal: FairQueue::default(),
            background: FairQueue::default(),
            send_deadlines: BTreeSet::new(),
            drain_rate: DrainRate::default(),
            retry_schedule: RetrySchedule::new(SmallRng::seed_from_u64(seed)),
            free: 0,
            first_token: FirstTokenTime::default(),
            arrivals: 0,
            dispatches: 0,
        }
    }

    /// Returns the number of waiting requests, background work included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the units of cost per second that leave the queue while it is blocked, or `None`
    /// before this was observed.
    #[must_use]
    pub fn drain_rate(&self) -> Option<f64> {
        self.drain_rate.rate()
    }

    /// Admits a request or refuses it immediately.
    ///
    /// Designed for a demand of 2 to 10 times the capacity. A request that waits and is then late
    /// costs its client the wait and the target the work, which shows as busy targets while hardly
    /// any response is on time. It is therefore refused while its client can still act, with a
    /// retry time at which there will be capacity.
    pub fn offer(&mut self, now: Duration, request: AdmissionRequest) -> OfferOutcome {
        self.advance(now);
        let cost = f64::from(request.cost.max(1));
        let order = self.next_order(&request);
        let wait = self.predict_wait(&request);
        let time_left = request.deadline.saturating_sub(now);
        let wait_budget = time_left.saturating_sub(self.target_allowance(time_left));
        let max_wait = wait_budget.mul_f64(MAX_WAIT_FRACTION);
        if time_left.is_zero() || wait > max_wait {
            let excess = wait.saturating_sub(max_wait);
            return self.refuse(now, RefusalReason::WouldMissDeadline, excess, cost);
        }
        if self.is_full_for(request.customer) {
            return self.refuse(now, RefusalReason::QueueFull, wait, cost);
        }
        OfferOutcome::Admitted(self.insert(request, order, now + wait_budget, cost))
    }

    /// Returns whether the customer already holds as many places as are free.
    ///
    /// This guards against a burst of one customer before the drain rate is known. A plain limit
    /// would let the burst take every place and refuse all other customers; this one always leaves
    /// some places for them.
    fn is_full_for(&self, customer: CustomerKey) -> bool {
        let free_places = self.max_waiting.saturating_sub(self.requests.len());
        let held = self.normal.waiting(customer) + self.background.waiting(customer);
        held >= free_places
    }

    /// Discards the drain rate because the capacity has changed.
    ///
    /// While there is no target the queue does not drain, and a rate from that time would cause
    /// every request to be refused once the targets are back.
    pub fn reset_drain_rate(&mut self) {
        self.drain_rate = DrainRate::default();
    }

    fn advance(&mut self, now: Duration) {
        self.drain_rate
            .advance(now, self.free == 0, self.is_blocked());
    }

    fn is_blocked(&self) -> bool {
        self.free == 0 && !self.requests.is_empty()
    }

    fn next_order(&mut self, request: &AdmissionRequest) -> OrderKey {
        self.arrivals += 1;
        OrderKey {
            priority: Reverse(request.priority),
            deadline: request.deadline,
            arrival: self.arrivals,
        }
    }

    fn target_allowance(&self, time_left: Duration) -> Duration {
        self.first_token
            .allowance()
            .min(time_left.mul_f64(MAX_TARGET_FRACTION))
    }

    /// Predicts how long a request would wait now. While the drain rate is unknown nothing has
    /// waited yet, so the prediction is zero.
    fn predict_wait(&self, request: &AdmissionRequest) -> Duration {
        if self.free > self.requests.len() {
            return Duration::ZERO;
        }
        let Some(rate) = self.drain_rate.rate() else {
            return Duration::ZERO;
        };
        let share = f64::from(request.share.max(1));
        // Ranked behind all other requests of its customer, even if its deadline would put it
        // ahead. Otherwise an urgent request would be admitted at the expense of those admitted
        // before it.
        let order = OrderKey {
            priority: Reverse(request.priority),
            deadline: Duration::MAX,
            arrival: u64::MAX,
        };
        let mut ahead = 0.0;
        if request.priority < 0 {
            ahead += self.background.work_ahead(request.customer, share, &order);
            ahead += self.normal.backlog();
        } else {
            ahead += self.normal.work_ahead(request.customer, share, &order);
        }
        Duration::try_from_secs_f64(ahead / rate).unwrap_or(Duration::MAX)
    }

    fn refuse(
        &mut self,
        now: Duration,
        reason: RefusalReason,
        excess: Duration,
        cost: f64,
    ) -> OfferOutcome {
        let retry_after = self
            .retry_schedule
            .reserve(now, excess, cost, self.drain_rate.rate());
        OfferOutcome::Refused {
            reason,
            retry_after,
        }
    }

    fn insert(
        &mut self,
        request: AdmissionRequest,
        order: OrderKey,
        send_by: Duration,
        cost: f64,
    ) -> RequestKey {
        let customer = request.customer;
        let background = request.priority < 0;
        let key = self.requests.insert_with_key(|key| QueueEntry {
            request: QueuedRequest {
                key,
                customer,
                order,
                cost,
            },
            background,
            send_by,
        });
        let queued = self.requests[key].request;
        let share = f64::from(request.share.max(1));
        self.fair_queue(background).push(queued, share);
        self.send_deadlines.insert((send_by, key));
        key
    }

    fn fair_queue(&mut self, background: bool) -> &mut FairQueue {
        if background {
            return &mut self.background;
        }
        &mut self.normal
    }

    /// Returns the next request to send if `free` more may be sent. Call it until it returns
    /// `None`.
    ///
    /// It is work-conserving: it returns a request whenever one waits and `free` is not zero, so no
    /// slot is reserved for a customer that has nothing to run.
    pub fn next(&mut self, now: Duration, free: usize) -> Option<RequestKey> {
        self.advance(now);
        self.free = free;
        if free == 0 {
            return None;
        }
        self.dispatches += 1;
        let background_turn = self.dispatches.is_multiple_of(BACKGROUND_INTERVAL);
        let from_background = self.normal.is_empty() || background_turn;
        let request = if from_background {
            self.background.pop().or_else(|| self.normal.pop())
        } else {
            self.normal.pop()
        }?;
        let entry = self.requests.remove(request.key)?;
        self.send_deadlines.remove(&(entry.send_by, request.key));
        self.drain_rate.record_dispatched(request.cost);
        self.free -= 1;
        self.advance(now);
        Some(request.key)
    }

    /// Removes and returns the requests that can't meet their deadline any more.
    ///
    /// They get their final response immediately: a client that learns of the failure early can
    /// still act, and sending a request that is already late would take the slot of one that is
    /// not.
    pub fn expire(&mut self, now: Duration) -> Vec<RequestKey> {
        let mut expired = Vec::new();
        while let Some((send_by, key)) = self.send_deadlines.first().copied() {
            if send_by > now {
                break;
            }
            self.cancel(key);
            expired.push(key);
        }
        self.advance(now);
        expired
    }

    /// Returns when the client of an expired request of this cost should retry.
    pub fn retry_after(&mut self, now: Duration, cost: u32) -> Duration {
        let backlog = self.normal.backlog() + self.background.backlog();
        let rate = self.drain_rate.rate();
        let wait = rate.map_or(0.0, |rate| backlog / rate);
        let excess = Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX);
        let cost = f64::from(cost.max(1));
        self.retry_schedule
            .reserve(now, excess.min(Duration::from_hours(1)), cost, rate)
    }

    /// Removes a request whose client has disconnected; returns false if it is not waiting.
    pub fn cancel(&mut self, key: RequestKey) -> bool {
        let Some(entry) = self.requests.remove(key) else {
            return false;
        };
        self.send_deadlines.remove(&(entry.send_by, key));
        let request = entry.request;
        self.fair_queue(entry.background)
            .remove(request.customer, &request.order);
        true
    }

    /// Records that a target finished a request returned by [`Self::next`].
    pub fn record_finished(&mut self, now: Duration, request: FinishedRequest) {
        self.advance(now);
        self.drain_rate
            .record_finished(f64::from(request.actual_cost));
        let difference = f64::from(request.actual_cost) - f64::from(request.predicted_cost);
        self.fair_queue(request.priority < 0)
            .adjust_charge(request.customer, difference);
        if let Some(first_token) = request.first_token {
            self.first_token.record(first_token);
        }
    }
}
