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

use crate::order::CompletionOrder;

/// Bytes of a prompt that count as one token, for predictions only.
const BYTES_PER_TOKEN: usize = 4;

/// What a request asks of the dispatcher.
#[derive(Debug, Clone)]
pub struct PlacementAsk {
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

impl PlacementAsk {
    /// The first ask of an order.
    #[must_use]
    pub fn new(order: &CompletionOrder) -> Self {
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
pub struct SlotFacts {
    /// The model.
    pub model: ModelName,
    /// The customer.
    pub customer: CustomerKey,
    /// The choice.
    pub choice: PlacementChoice,
    /// Tokens that were predicted.
    pub predicted: u32,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy)]
pub struct SlotOutcome {
    /// How it ended for the target.
    pub outcome: AttemptOutcome,
    /// Tokens of prompt and answer that it took.
    pub actual: u32,
    /// Prompt tokens that were cached, when the target told.
    pub cached_tokens: Option<u32>,
}

/// What the dispatcher is told.
#[derive(Debug)]
pub enum DispatchNote {
    /// The first token of an attempt came.
    FirstToken {
        /// The slot.
        facts: SlotFacts,
        /// Time since the slot was given.
        elapsed: Duration,
    },
    /// An attempt ended.
    Ended {
        /// The slot.
        facts: SlotFacts,
        /// How.
        outcome: SlotOutcome,
        /// Time since the slot was given.
        stay: Duration,
        /// Time to the first token; none when none came.
        first_token: Option<Duration>,
    },
    /// The caller of a waiting request is gone.
    Left {
        /// The model.
        model: ModelName,
        /// Number of the ask.
        number: u64,
    },
}

/// Sends notes to the dispatcher.
pub type NoteSender = mpsc::UnboundedSender<DispatchNote>;

/// A replica's slot for one attempt; it is given back when it is dropped.
///
/// A slot that was never given back would lower this entry's part of the replica for good, so it
/// doesn't depend on any path of the caller's code.
#[derive(Debug)]
pub struct PlacedSlot {
    /// The replica.
    pub plan: ReplicaPlan,
    /// Address of its leading host.
    pub leader: SocketAddr,
    facts: SlotFacts,
    notes: NoteSender,
    given: Instant,
    first_token: Option<Duration>,
    outcome: SlotOutcome,
}

impl PlacedSlot {
    /// A slot that is given now.
    #[must_use]
    pub fn new(plan: ReplicaPlan, leader: SocketAddr, facts: SlotFacts, notes: NoteSender) -> Self {
        Self {
            plan,
            leader,
            facts,
            notes,
            given: Instant::now(),
            first_token: None,
            outcome: SlotOutcome {
                outcome: AttemptOutcome::Cancelled,
                actual: 0,
                cached_tokens: None,
            },
        }
    }

    /// The first event of the stream came.
    pub fn note_first_token(&mut self) {
        if self.first_token.is_some() {
            return;
        }
        let elapsed = self.given.elapsed();
        self.first_token = Some(elapsed);
        let facts = self.facts.clone();
        let _ = self.notes.send(DispatchNote::FirstToken { facts, elapsed });
    }

    /// Gives the slot back.
    pub fn end(mut self, outcome: SlotOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for PlacedSlot {
    fn drop(&mut self) {
        let _ = self.notes.send(DispatchNote::Ended {
            facts: self.facts.clone(),
            outcome: self.outcome,
            stay: self.given.elapsed(),
            first_token: self.first_token,
        });
    }
}
