//! The queue of one model at one entry.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use domain::CustomerKey;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use super::drain::DrainRate;
use super::first_token::FirstTokenTime;
use super::lane::{FairLane, LaneTicket, LineRank};
use super::request::{AdmissionRequest, FinishedRequest, OfferOutcome, RefusalReason, RequestKey};
use super::spread::ReturnSpread;

/// Turns after which a background request goes even though others wait.
///
/// Background work yields to everyone, but a customer's nightly drafts must end some day also in
/// a week of full load: one turn in 16 costs the others 6% at most.
const BACKGROUND_TURN: u64 = 16;

/// Part of a request's patience that its predicted wait may fill.
///
/// Predictions miss by the length of the answers in progress. A request let in at the very edge
/// is late half of the time, and its place is lost for one that would have been on time.
const WAIT_PART: f64 = 0.85;

/// Largest part of a request's patience that is put aside for the target's own work.
///
/// When every first token is late for a while, the observed time to it would rule out every
/// request, nothing would be sent, and no newer observation would ever end that. So each request
/// keeps at least half of its patience for waiting.
const TARGET_PART: f64 = 0.5;

#[derive(Debug)]
struct WaitEntry {
    ticket: LaneTicket,
    background: bool,
    /// Latest moment at which sending it still makes sense.
    send_by: Duration,
}

/// Requests of one model that wait at one entry.
///
/// The queue is here and not at the engines because only here a request can still be reordered,
/// refused or sent elsewhere; an engine is given hardly more than it can run at once.
#[derive(Debug)]
pub struct AdmissionQueue {
    max_waiting: usize,
    entries: SlotMap<RequestKey, WaitEntry>,
    normal: FairLane,
    background: FairLane,
    due: BTreeSet<(Duration, RequestKey)>,
    drain: DrainRate,
    spread: ReturnSpread,
    free: usize,
    first_token: FirstTokenTime,
    arrivals: u64,
    turns: u64,
}

#[bon::bon]
impl AdmissionQueue {
    /// An empty queue.
    ///
    /// `max_waiting` bounds its memory: at 13 requests a second of one entry and a patience of
    /// some seconds the default is never reached unless the drain rate is unknown. `seed` spreads
    /// the times at which refused callers return and should differ between entries.
    #[builder]
    pub fn new(#[builder(default = 1_024)] max_waiting: usize, seed: u64) -> Self {
        Self {
            max_waiting,
            entries: SlotMap::with_key(),
            normal: FairLane::default(),
            background: FairLane::default(),
            due: BTreeSet::new(),
            drain: DrainRate::default(),
            spread: ReturnSpread::new(SmallRng::seed_from_u64(seed)),
            free: 0,
            first_token: FirstTokenTime::default(),
            arrivals: 0,
            turns: 0,
        }
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Units of cost that leave the queue a second while it is full; none before it was observed.
    #[must_use]
    pub fn drain_rate(&self) -> Option<f64> {
        self.drain.rate()
    }

    /// Lets a request in, or refuses it at once.
    ///
    /// Made for a demand of 2 to 10 times the capacity. A request that waits and then is late
    /// anyway has cost its caller the wait and the target the work; seen as targets that are busy
    /// while hardly an answer is on time. So it is refused while its caller can still do
    /// something else, with a time to return at which there will be room.
    pub fn offer(&mut self, now: Duration, request: AdmissionRequest) -> OfferOutcome {
        self.pass(now);
        let cost = f64::from(request.cost.max(1));
        let rank = self.next_rank(&request);
        let wait = self.predict_wait(&request);
        let patience = request.deadline.saturating_sub(now);
        let room = patience.saturating_sub(self.target_time(patience));
        let limit = room.mul_f64(WAIT_PART);
        if patience.is_zero() || wait > limit {
            let excess = wait.saturating_sub(limit);
            return self.refuse(now, RefusalReason::TooLate, excess, cost);
        }
        if self.is_full_for(request.customer) {
            return self.refuse(now, RefusalReason::QueueFull, wait, cost);
        }
        OfferOutcome::Admitted(self.insert(request, rank, now + room, cost))
    }

    /// A customer may hold at most as many places as are still free.
    ///
    /// Made for a burst of one customer before the drain rate is known. A plain bound would let
    /// the burst take every place and turn all others away; this one always leaves some for them.
    fn is_full_for(&self, customer: CustomerKey) -> bool {
        let left = self.max_waiting.saturating_sub(self.entries.len());
        let held = self.normal.waiting(customer) + self.background.waiting(customer);
        held >= left
    }

    /// Forgets how fast the queue drains, because the capacity is another from now on.
    ///
    /// While no target is there the queue stands still, and a rate taken from that time would
    /// refuse everyone once the targets are back, as if they were still gone.
    pub fn reset_drain_rate(&mut self) {
        self.drain = DrainRate::default();
    }

    fn pass(&mut self, now: Duration) {
        self.drain.pass(now, self.free == 0, self.is_blocked());
    }

    fn is_blocked(&self) -> bool {
        self.free == 0 && !self.entries.is_empty()
    }

    fn next_rank(&mut self, request: &AdmissionRequest) -> LineRank {
        self.arrivals += 1;
        LineRank {
            priority: Reverse(request.priority),
            deadline: request.deadline,
            arrival: self.arrivals,
        }
    }

    fn target_time(&self, patience: Duration) -> Duration {
        self.first_token
            .allowance()
            .min(patience.mul_f64(TARGET_PART))
    }

    /// How long a request would wait now; zero while the drain rate is unknown, because then
    /// nothing has waited yet.
    fn predict_wait(&self, request: &AdmissionRequest) -> Duration {
        if self.free > self.entries.len() {
            return Duration::ZERO;
        }
        let Some(rate) = self.drain.rate() else {
            return Duration::ZERO;
        };
        let share = f64::from(request.share.max(1));
        // Behind all of its customer's own requests, although a nearer deadline may go before
        // them: else an urgent one would be let in at the cost of those let in before it.
        let rank = LineRank {
            priority: Reverse(request.priority),
            deadline: Duration::MAX,
            arrival: u64::MAX,
        };
        let mut ahead = 0.0;
        if request.priority < 0 {
            ahead += self.background.work_ahead(request.customer, share, &rank);
            ahead += self.normal.backlog();
        } else {
            ahead += self.normal.work_ahead(request.customer, share, &rank);
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
        let retry_after = self.spread.book(now, excess, cost, self.drain.rate());
        OfferOutcome::Refused {
            reason,
            retry_after,
        }
    }

    fn insert(
        &mut self,
        request: AdmissionRequest,
        rank: LineRank,
        send_by: Duration,
        cost: f64,
    ) -> RequestKey {
        let customer = request.customer;
        let background = request.priority < 0;
        let key = self.entries.insert_with_key(|key| WaitEntry {
            ticket: LaneTicket {
                key,
                customer,
                rank,
                cost,
            },
            background,
            send_by,
        });
        let ticket = self.entries[key].ticket;
        let share = f64::from(request.share.max(1));
        self.lane(background).push(ticket, share);
        self.due.insert((send_by, key));
        key
    }

    fn lane(&mut self, background: bool) -> &mut FairLane {
        if background {
            return &mut self.background;
        }
        &mut self.normal
    }

    /// The request that goes next, when `free` more may be sent; call it until it gives none.
    ///
    /// It gives one whenever one waits and `free` is not zero: a slot is never held back for a
    /// customer that has nothing to run.
    pub fn next(&mut self, now: Duration, free: usize) -> Option<RequestKey> {
        self.pass(now);
        self.free = free;
        if free == 0 {
            return None;
        }
        self.turns += 1;
        let background_turn = self.turns.is_multiple_of(BACKGROUND_TURN);
        let from_background = self.normal.is_empty() || background_turn;
        let ticket = if from_background {
            self.background.pop().or_else(|| self.normal.pop())
        } else {
            self.normal.pop()
        }?;
        let entry = self.entries.remove(ticket.key)?;
        self.due.remove(&(entry.send_by, ticket.key));
        self.drain.record_dispatched(ticket.cost);
        self.free -= 1;
        self.pass(now);
        Some(ticket.key)
    }

    /// Takes out the requests whose deadline can't be met any more.
    ///
    /// They get their final answer at once: a caller that learns of it early can still act, and
    /// a request that is sent although it is late takes the place of one that is not.
    pub fn expire(&mut self, now: Duration) -> Vec<RequestKey> {
        let mut expired = Vec::new();
        while let Some((send_by, key)) = self.due.first().copied() {
            if send_by > now {
                break;
            }
            self.cancel(key);
            expired.push(key);
        }
        self.pass(now);
        expired
    }

    /// When the caller of an expired request of this cost shall come back.
    pub fn retry_after(&mut self, now: Duration, cost: u32) -> Duration {
        let backlog = self.normal.backlog() + self.background.backlog();
        let rate = self.drain.rate();
        let wait = rate.map_or(0.0, |rate| backlog / rate);
        let excess = Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX);
        let cost = f64::from(cost.max(1));
        self.spread
            .book(now, excess.min(Duration::from_hours(1)), cost, rate)
    }

    /// Takes a request out whose caller has gone; false when it does not wait.
    pub fn cancel(&mut self, key: RequestKey) -> bool {
        let Some(entry) = self.entries.remove(key) else {
            return false;
        };
        self.due.remove(&(entry.send_by, key));
        let ticket = entry.ticket;
        self.lane(entry.background)
            .remove(ticket.customer, &ticket.rank);
        true
    }

    /// A target finished a request that [`Self::next`] had named.
    pub fn record_finished(&mut self, now: Duration, request: FinishedRequest) {
        self.pass(now);
        self.drain.record_finished(f64::from(request.actual_cost));
        let difference = f64::from(request.actual_cost) - f64::from(request.predicted_cost);
        self.normal.correct(request.customer, difference);
        if let Some(first_token) = request.first_token {
            self.first_token.note(first_token);
        }
    }
}
