//! Request queue of a single model.

use std::time::Duration;

use domain::{CustomerKey, FastMap};
use policy::admission::{AdmissionQueue, AdmissionRequest, OfferOutcome, RequestKey};
use policy::capacity::{CapacityShare, ShareSettings};
use policy::placement::CandidateList;
use wire::client_api::ErrorCode;

use super::index::ReplicaIndex;
use super::request::{DispatchEventSender, DispatchRequest, SlotGuard, SlotInfo};
use super::time::{DispatchTime, SlotReply};
use crate::error::RequestError;

/// Time without a usable replica after which waiting requests are rejected.
///
/// A missed round of reports, or a host that is replaced by a spare, is resolved within a few
/// seconds. After that, an immediate error serves the client better.
const NO_REPLICA_GRACE: Duration = Duration::from_secs(5);

/// Retry delay while no replica of the model is usable.
const NO_REPLICA_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A request that waits for a replica.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub number: u64,
    pub request: DispatchRequest,
    pub customer: CustomerKey,
    pub deadline: Duration,
    pub reply: SlotReply,
}

impl QueuedRequest {
    fn reject(self, error: RequestError) {
        // The client may have disconnected, so the receiver may be gone.
        let _ = self.reply.send(Err(error));
    }

    fn no_replica_error(&self) -> RequestError {
        let message = format!("no replica of {} is available", self.request.model);
        RequestError::not_run(ErrorCode::NoReplica, message)
            .with_retry_after(NO_REPLICA_RETRY_AFTER)
    }
}

/// Queue, capacity share and replicas of one model at this entry.
#[derive(Debug)]
pub(super) struct ModelQueue {
    pub queue: AdmissionQueue,
    pub share: CapacityShare,
    pub candidates: CandidateList,
    queued: FastMap<RequestKey, QueuedRequest>,
    /// Admitted requests for which no suitable replica was found yet.
    unplaced: Vec<QueuedRequest>,
    usable: bool,
    last_usable_at: Duration,
}

impl ModelQueue {
    pub fn new(entries: u32, seed: u64, now: Duration) -> Self {
        let settings = ShareSettings::builder().entries(entries).build();
        Self {
            queue: AdmissionQueue::builder().seed(seed).build(),
            share: CapacityShare::new(settings, seed),
            candidates: CandidateList::default(),
            queued: FastMap::default(),
            unplaced: Vec::new(),
            usable: false,
            last_usable_at: now,
        }
    }

    pub fn waiting(&self) -> usize {
        self.queued.len() + self.unplaced.len()
    }

    /// Updates whether any replica accepts work.
    pub fn refresh(&mut self, index: &ReplicaIndex, at: DispatchTime) {
        self.share.advance(at.now);
        let was_usable = self.usable;
        self.usable = index.any_usable(&self.candidates, at.instant);
        if self.usable {
            if !was_usable {
                self.queue.reset_drain_rate();
            }
            self.last_usable_at = at.now;
        }
    }

    fn is_unavailable(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_usable_at) > NO_REPLICA_GRACE
    }

    /// Admits a request to the queue, or rejects it immediately.
    pub fn offer(&mut self, at: DispatchTime, waiting: QueuedRequest) {
        if waiting.request.admitted {
            self.unplaced.push(waiting);
            return;
        }
        self.share.record_offered(at.now);
        if self.is_unavailable(at.now) {
            let error = waiting.no_replica_error();
            waiting.reject(error);
            return;
        }
        let admission = AdmissionRequest::builder()
            .customer(waiting.customer)
            .share(waiting.request.share)
            .deadline(waiting.deadline)
            .cost(waiting.request.cost)
            .build();
        match self.queue.offer(at.now, admission) {
            OfferOutcome::Admitted(key) => {
                self.queued.insert(key, waiting);
            }
            OfferOutcome::Refused {
                reason,
                retry_after,
            } => {
                let error = RequestError::not_run(ErrorCode::Overloaded, reason.to_string());
                waiting.reject(error.with_retry_after(retry_after));
            }
        }
    }

    /// Removes a request whose client has disconnected.
    pub fn cancel(&mut self, number: u64) {
        self.unplaced.retain(|waiting| waiting.number != number);
        let found = self
            .queued
            .iter()
            .find(|(_, waiting)| waiting.number == number);
        if let Some(key) = found.map(|(key, _)| *key) {
            self.queue.cancel(key);
            self.queued.remove(&key);
        }
    }

    /// Rejects expired requests and dispatches as many others as capacity permits.
    pub fn dispatch_ready(
        &mut self,
        index: &mut ReplicaIndex,
        at: DispatchTime,
        events: &DispatchEventSender,
    ) {
        self.expire(at);
        for waiting in std::mem::take(&mut self.unplaced) {
            self.dispatch(index, at, events, waiting);
        }
        loop {
            let free = if self.usable { self.share.free() } else { 0 };
            let Some(key) = self.queue.next(at.now, free) else {
                break;
            };
            let Some(waiting) = self.queued.remove(&key) else {
                continue;
            };
            self.dispatch(index, at, events, waiting);
        }
    }

    fn expire(&mut self, at: DispatchTime) {
        for key in self.queue.expire(at.now) {
            let Some(waiting) = self.queued.remove(&key) else {
                continue;
            };
            // The drain rate of the queue says nothing about the time until a replica returns, and
            // a "deadline exceeded" error would make operators look for excess load instead of a
            // missing host.
            if !self.usable {
                let error = waiting.no_replica_error();
                waiting.reject(error);
                continue;
            }
            let after = self.queue.retry_after(at.now, waiting.request.cost);
            let message = "the response could not start within the request timeout";
            let error = RequestError::not_run(ErrorCode::DeadlineExceeded, message);
            waiting.reject(error.with_retry_after(after));
        }
        for waiting in std::mem::take(&mut self.unplaced) {
            if waiting.deadline > at.now {
                self.unplaced.push(waiting);
                continue;
            }
            let error = waiting.no_replica_error();
            waiting.reject(error);
        }
        if !self.is_unavailable(at.now) {
            return;
        }
        for (key, waiting) in self.queued.drain() {
            self.queue.cancel(key);
            let error = waiting.no_replica_error();
            waiting.reject(error);
        }
    }

    /// Dispatches a request to a replica, or keeps it until a suitable one is available.
    fn dispatch(
        &mut self,
        index: &mut ReplicaIndex,
        at: DispatchTime,
        events: &DispatchEventSender,
        waiting: QueuedRequest,
    ) {
        if waiting.reply.is_closed() {
            return;
        }
        let placed = index.place(&self.candidates, &waiting.request, at.now, at.instant);
        let Some((choice, view)) = placed else {
            self.unplaced.push(waiting);
            return;
        };
        self.share.record_sent(at.now);
        let info = SlotInfo {
            model: waiting.request.model.clone(),
            customer: waiting.customer,
            choice,
            predicted_cost: waiting.request.cost,
        };
        let Some(leader) = view.leader else {
            // A replica without a known leader is not dispatchable, so it is never selected.
            return;
        };
        let slot = SlotGuard::new(view.plan.clone(), leader, info, events.clone());
        // If the client has disconnected meanwhile, dropping the guard releases the slot.
        let _ = waiting.reply.send(Ok(slot));
    }
}
