//! Requests to the dispatcher, and the slots that it grants.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use domain::{
    AdapterName, CustomerId, CustomerKey, FastSet, ModelName, ReplicaId, ReplicaPlan, VersionName,
};
use policy::placement::{AttemptOutcome, PlacementChoice};
use tokio::sync::mpsc;
use wire::engine::prefix_hashes;

use crate::generation::GenerationRequest;

/// Assumed number of prompt bytes per token; only used for predictions.
const BYTES_PER_TOKEN: usize = 4;

/// Request for a replica to run an attempt on.
#[derive(Debug, Clone)]
pub struct DispatchRequest {
    /// Customer whose fair share the request counts towards.
    pub customer: CustomerId,
    /// Fair-queueing weight of the customer.
    pub share: u32,
    /// Requested model.
    pub model: ModelName,
    /// Version that the customer is pinned to; none allows any.
    pub version: Option<VersionName>,
    /// Requested adapter, if any.
    pub adapter: Option<AdapterName>,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's prefixes, to find a replica with a warm prefix cache.
    pub prefixes: Arc<[u64]>,
    /// Predicted cost in tokens: the prompt and the maximum length of the response.
    pub cost: u32,
    /// Replicas on which an attempt of this request failed.
    pub tried: FastSet<ReplicaId>,
    /// Whether an earlier attempt was admitted, so that the request skips admission.
    pub admitted: bool,
    /// Time after which the request is rejected.
    pub deadline: Instant,
}

impl DispatchRequest {
    /// Creates the request for the first attempt.
    #[must_use]
    pub fn new(generation: &GenerationRequest) -> Self {
        let prompt_tokens = generation.prompt.len().div_ceil(BYTES_PER_TOKEN);
        let prompt_tokens = u32::try_from(prompt_tokens).unwrap_or(u32::MAX);
        let prefixes = prefix_hashes(
            &generation.model,
            generation.adapter.as_ref(),
            &generation.prompt,
        );
        Self {
            customer: generation.customer.clone(),
            share: generation.share,
            model: generation.model.clone(),
            version: generation.version.clone(),
            adapter: generation.adapter.clone(),
            prompt_tokens,
            prefixes: Arc::from(prefixes),
            cost: prompt_tokens.saturating_add(generation.max_tokens),
            tried: FastSet::default(),
            admitted: false,
            deadline: generation.deadline,
        }
    }
}

/// Data that is needed to account for a slot when it is released.
#[derive(Debug, Clone)]
pub struct SlotInfo {
    /// Model whose capacity the slot counts towards.
    pub model: ModelName,
    /// Customer whose fair share the slot counts towards.
    pub customer: CustomerKey,
    /// Selected replica and the predictions for it.
    pub choice: PlacementChoice,
    /// Predicted cost in tokens.
    pub predicted_cost: u32,
}

/// Outcome of an attempt, reported when its slot is released.
#[derive(Debug, Clone, Copy)]
pub struct SlotOutcome {
    /// Outcome in terms of the target's health.
    pub outcome: AttemptOutcome,
    /// Actual cost in tokens: the prompt and the delivered tokens.
    pub actual_cost: u32,
    /// Number of cached prompt tokens, if the engine reported it.
    pub cached_tokens: Option<u32>,
}

/// Event reported to the dispatcher.
#[derive(Debug)]
pub enum DispatchEvent {
    /// An attempt received its first event.
    FirstToken {
        /// Slot of the attempt.
        info: SlotInfo,
        /// Time since the slot was granted.
        elapsed: Duration,
    },
    /// An attempt ended and its slot was released.
    Ended {
        /// Slot of the attempt.
        info: SlotInfo,
        /// Outcome of the attempt.
        outcome: SlotOutcome,
        /// Time since the slot was granted.
        duration: Duration,
        /// Time from the grant to the first event; none if there was no event.
        first_token: Option<Duration>,
    },
    /// The client of a waiting request disconnected.
    Abandoned {
        /// Model whose queue the request is in.
        model: ModelName,
        /// Number that the request was queued under.
        number: u64,
    },
}

/// Channel for dispatcher events.
pub type DispatchEventSender = mpsc::UnboundedSender<DispatchEvent>;

/// Slot of a replica for one attempt, released on drop.
///
/// A slot that is never released would permanently reduce this entry's share of the replica, so the
/// release does not depend on the code paths of the holder.
#[derive(Debug)]
pub struct SlotGuard {
    /// Plan of the replica at the time of the grant.
    pub plan: ReplicaPlan,
    /// Engine address of the replica's rank 0 host.
    pub leader: SocketAddr,
    info: SlotInfo,
    events: DispatchEventSender,
    granted_at: Instant,
    first_token: Option<Duration>,
    outcome: SlotOutcome,
}

impl SlotGuard {
    /// Creates a guard for a slot that is granted now.
    #[must_use]
    pub fn new(
        plan: ReplicaPlan,
        leader: SocketAddr,
        info: SlotInfo,
        events: DispatchEventSender,
    ) -> Self {
        Self {
            plan,
            leader,
            info,
            events,
            granted_at: Instant::now(),
            first_token: None,
            outcome: SlotOutcome {
                outcome: AttemptOutcome::Cancelled,
                actual_cost: 0,
                cached_tokens: None,
            },
        }
    }

    /// Records the first event of the stream; later calls have no effect.
    pub fn record_first_token(&mut self) {
        if self.first_token.is_some() {
            return;
        }
        let elapsed = self.granted_at.elapsed();
        self.first_token = Some(elapsed);
        let info = self.info.clone();
        let _ = self
            .events
            .send(DispatchEvent::FirstToken { info, elapsed });
    }

    /// Releases the slot with the given outcome. A slot dropped without it counts as cancelled.
    pub fn release(mut self, outcome: SlotOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let _ = self.events.send(DispatchEvent::Ended {
            info: self.info.clone(),
            outcome: self.outcome,
            duration: self.granted_at.elapsed(),
            first_token: self.first_token,
        });
    }
}
