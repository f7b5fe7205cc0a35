//! What a request asks of the dispatcher, and the slot that it gets.

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

/// Bytes of a prompt that count as one token, for predictions only.
const BYTES_PER_TOKEN: usize = 4;

/// What a request asks of the dispatcher.
#[derive(Debug, Clone)]
pub struct DispatchRequest {
    /// Who asks.
    pub customer: CustomerId,
    /// Weight of the customer.
    pub share: u32,
    /// The model.
    pub model: ModelName,
    /// The version that the customer is pinned to.
    pub version: Option<VersionName>,
    /// The adapter.
    pub adapter: Option<AdapterName>,
    /// Tokens of the prompt, roughly.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's prefixes.
    pub prefixes: Arc<[u64]>,
    /// Predicted tokens of prompt and answer together.
    pub cost: u32,
    /// Replicas that failed this request.
    pub tried: FastSet<ReplicaId>,
    /// Whether the request was admitted before and only needs another replica.
    pub admitted: bool,
    /// Moment after which the request is given up.
    pub deadline: Instant,
}

impl DispatchRequest {
    /// The first ask of an order.
    #[must_use]
    pub fn new(order: &GenerationRequest) -> Self {
        let prompt_tokens = order.prompt.len().div_ceil(BYTES_PER_TOKEN);
        let prompt_tokens = u32::try_from(prompt_tokens).unwrap_or(u32::MAX);
        let prefixes = prefix_hashes(&order.model, order.adapter.as_ref(), &order.prompt);
        Self {
            customer: order.customer.clone(),
            share: order.share,
            model: order.model.clone(),
            version: order.version.clone(),
            adapter: order.adapter.clone(),
            prompt_tokens,
            prefixes: Arc::from(prefixes),
            cost: prompt_tokens.saturating_add(order.max_tokens),
            tried: FastSet::default(),
            admitted: false,
            deadline: order.deadline,
        }
    }
}

/// What the dispatcher has to know of a slot that it gave.
#[derive(Debug, Clone)]
pub struct SlotInfo {
    /// The model.
    pub model: ModelName,
    /// The customer.
    pub customer: CustomerKey,
    /// The choice.
    pub choice: PlacementChoice,
    /// Tokens that were predicted.
    pub predicted_cost: u32,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy)]
pub struct SlotOutcome {
    /// How it ended for the target.
    pub outcome: AttemptOutcome,
    /// Tokens of prompt and answer that it took.
    pub actual_cost: u32,
    /// Prompt tokens that were cached, when the target told.
    pub cached_tokens: Option<u32>,
}

/// What the dispatcher is told.
#[derive(Debug)]
pub enum DispatchEvent {
    /// The first token of an attempt came.
    FirstToken {
        /// The slot.
        info: SlotInfo,
        /// Time since the slot was given.
        elapsed: Duration,
    },
    /// An attempt ended.
    Ended {
        /// The slot.
        info: SlotInfo,
        /// How.
        outcome: SlotOutcome,
        /// Time since the slot was given.
        duration: Duration,
        /// Time to the first token; none when none came.
        first_token: Option<Duration>,
    },
    /// The caller of a waiting request is gone.
    Abandoned {
        /// The model.
        model: ModelName,
        /// Number of the request.
        number: u64,
    },
}

/// Sends events to the dispatcher.
pub type DispatchEventSender = mpsc::UnboundedSender<DispatchEvent>;

/// A replica's slot for one attempt; it is given back when it is dropped.
///
/// A slot that was never given back would lower this entry's part of the replica for good, so it
/// doesn't depend on any path of the caller's code.
#[derive(Debug)]
pub struct SlotGuard {
    /// The replica.
    pub plan: ReplicaPlan,
    /// Address of its leading host.
    pub leader: SocketAddr,
    info: SlotInfo,
    events: DispatchEventSender,
    granted_at: Instant,
    first_token: Option<Duration>,
    outcome: SlotOutcome,
}

impl SlotGuard {
    /// A slot that is given now.
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

    /// The first event of the stream came.
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

    /// Gives the slot back.
    pub fn end(mut self, outcome: SlotOutcome) {
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
