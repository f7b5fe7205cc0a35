//! The queue of one model, and what is given out of it.

use std::time::Duration;

use domain::{CustomerKey, FastMap};
use policy::admission::{AdmissionQueue, AdmissionRequest, OfferOutcome, RequestKey};
use policy::capacity::{CapacityShare, ShareSettings};
use policy::placement::CandidateList;
use wire::caller::ErrorCode;

use super::ask::{NoteSender, PlacedSlot, PlacementAsk, SlotFacts};
use super::index::ReplicaIndex;
use super::moment::{DispatchMoment, SlotReply};
use crate::failure::CallerFailure;

/// Time without any whole replica after which waiting is hopeless.
///
/// A missed round of reports, or a host that is replaced by a spare, is over within a few seconds.
/// Beyond that a caller is better off with an answer now.
const ABSENCE_LIMIT: Duration = Duration::from_secs(5);

/// When to come back while no whole replica serves a model.
const ABSENCE_RETRY: Duration = Duration::from_secs(2);

/// An ask that waits.
#[derive(Debug)]
pub(super) struct WaitingAsk {
    pub number: u64,
    pub ask: PlacementAsk,
    pub customer: CustomerKey,
    pub deadline: Duration,
    pub reply: SlotReply,
}

impl WaitingAsk {
    fn fail(self, failure: CallerFailure) {
        // A caller that is gone needs no answer.
        let _ = self.reply.send(Err(failure));
    }

    fn absent(&self) -> CallerFailure {
        let message = format!("no whole replica serves {} now", self.ask.model);
        CallerFailure::not_run(ErrorCode::NoReplica, message).retry(ABSENCE_RETRY)
    }
}

/// One model at this entry.
#[derive(Debug)]
pub(super) struct ModelQueue {
    pub queue: AdmissionQueue,
    pub share: CapacityShare,
    pub candidates: CandidateList,
    queued: FastMap<RequestKey, WaitingAsk>,
    /// Admitted asks that found no replica that fits them.
    parked: Vec<WaitingAsk>,
    usable: bool,
    absent_since: Duration,
}

impl ModelQueue {
    pub fn new(entries: u32, seed: u64, now: Duration) -> Self {
        let settings = ShareSettings::builder().entries(entries).build();
        Self {
            queue: AdmissionQueue::builder().seed(seed).build(),
            share: CapacityShare::new(settings, seed),
            candidates: CandidateList::default(),
            queued: FastMap::default(),
            parked: Vec::new(),
            usable: false,
            absent_since: now,
        }
    }

    pub fn waiting(&self) -> usize {
        self.queued.len() + self.parked.len()
    }

    /// Judges whether any replica takes work.
    pub fn refresh(&mut self, index: &ReplicaIndex, at: DispatchMoment) {
        let was_usable = self.usable;
        self.usable = index.any_usable(&self.candidates, at.instant);
        if self.usable {
            if !was_usable {
                self.queue.reset_drain_rate();
            }
            self.absent_since = at.now;
        }
    }

    fn is_absent(&self, now: Duration) -> bool {
        now.saturating_sub(self.absent_since) > ABSENCE_LIMIT
    }

    /// Lets an ask in, or answers it at once.
    pub fn offer(&mut self, at: DispatchMoment, waiting: WaitingAsk) {
        if waiting.ask.admitted {
            self.parked.push(waiting);
            return;
        }
        self.share.record_offered(at.now);
        if self.is_absent(at.now) {
            let failure = waiting.absent();
            waiting.fail(failure);
            return;
        }
        let request = AdmissionRequest::builder()
            .customer(waiting.customer)
            .share(waiting.ask.share)
            .deadline(waiting.deadline)
            .cost(waiting.ask.cost)
            .build();
        match self.queue.offer(at.now, request) {
            OfferOutcome::Admitted(key) => {
                self.queued.insert(key, waiting);
            }
            OfferOutcome::Refused {
                reason,
                retry_after,
            } => {
                let failure = CallerFailure::not_run(ErrorCode::Overloaded, reason.to_string());
                waiting.fail(failure.retry(retry_after));
            }
        }
    }

    /// The caller of an ask is gone.
    pub fn leave(&mut self, number: u64) {
        self.parked.retain(|waiting| waiting.number != number);
        let found = self
            .queued
            .iter()
            .find(|(_, waiting)| waiting.number == number);
        if let Some(key) = found.map(|(key, _)| *key) {
            self.queue.cancel(key);
            self.queued.remove(&key);
        }
    }

    /// Answers what expired and gives out what may be sent.
    pub fn pump(&mut self, index: &mut ReplicaIndex, at: DispatchMoment, notes: &NoteSender) {
        self.expire(at);
        for waiting in std::mem::take(&mut self.parked) {
            self.give(index, at, notes, waiting);
        }
        loop {
            let free = if self.usable { self.share.free() } else { 0 };
            let Some(key) = self.queue.next(at.now, free) else {
                break;
            };
            let Some(waiting) = self.queued.remove(&key) else {
                continue;
            };
            self.give(index, at, notes, waiting);
        }
    }

    fn expire(&mut self, at: DispatchMoment) {
        for key in self.queue.expire(at.now) {
            let Some(waiting) = self.queued.remove(&key) else {
                continue;
            };
            // Without a usable replica the queue's rate says nothing of when to come back, and
            // "too late" would send an operator after load where a host is missing.
            if !self.usable {
                let failure = waiting.absent();
                waiting.fail(failure);
                continue;
            }
            let after = self.queue.retry_after(at.now, waiting.ask.cost);
            let message = "the answer could not begin within the request's timeout";
            let failure = CallerFailure::not_run(ErrorCode::DeadlineExceeded, message);
            waiting.fail(failure.retry(after));
        }
        for waiting in std::mem::take(&mut self.parked) {
            if waiting.deadline > at.now {
                self.parked.push(waiting);
                continue;
            }
            let failure = waiting.absent();
            waiting.fail(failure);
        }
        if !self.is_absent(at.now) {
            return;
        }
        for (key, waiting) in self.queued.drain() {
            self.queue.cancel(key);
            let failure = waiting.absent();
            waiting.fail(failure);
        }
    }

    /// Gives an ask its slot, or parks it until a replica fits it.
    fn give(
        &mut self,
        index: &mut ReplicaIndex,
        at: DispatchMoment,
        notes: &NoteSender,
        waiting: WaitingAsk,
    ) {
        if waiting.reply.is_closed() {
            return;
        }
        let placed = index.place(&self.candidates, &waiting.ask, at.now, at.instant);
        let Some((choice, view)) = placed else {
            self.parked.push(waiting);
            return;
        };
        self.share.record_sent(at.now);
        let facts = SlotFacts {
            model: waiting.ask.model.clone(),
            customer: waiting.customer,
            choice,
            predicted: waiting.ask.cost,
        };
        let Some(leader) = view.leader else {
            // The gate admits no replica whose leader is unknown.
            return;
        };
        let slot = PlacedSlot::new(view.plan.clone(), leader, facts, notes.clone());
        // When the caller left meanwhile the slot comes back and reports its own end.
        let _ = waiting.reply.send(Ok(slot));
    }
}
