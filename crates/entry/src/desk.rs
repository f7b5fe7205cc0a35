//! The desk that finds a replica for each attempt.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use control::TargetView;
use domain::{FastSet, ReplicaId, ReplicaPlan};
use tokio::sync::watch;
use wire::caller::ErrorCode;

use crate::failure::CallerFailure;
use crate::order::CompletionOrder;
use crate::place::choose_replica;

/// When to come back while no whole replica serves a model.
const NO_REPLICA_RETRY: Duration = Duration::from_secs(2);

/// What a request wants of the desk.
#[derive(Debug, Clone, Copy)]
pub struct PlacementAsk<'a> {
    /// The order.
    pub order: &'a CompletionOrder,
    /// Replicas that failed this request.
    pub tried: &'a FastSet<ReplicaId>,
    /// Whether the caller has a part of the answer already.
    pub begun: bool,
    /// Moment after which the request is given up.
    pub deadline: Instant,
}

/// A replica that takes an attempt.
#[derive(Debug)]
pub struct PlacedSlot {
    /// The replica.
    pub plan: ReplicaPlan,
    /// Address of its leading host.
    pub leader: SocketAddr,
}

impl PlacedSlot {
    /// Gives the slot back; `well` tells whether the replica did its part.
    pub fn release(self, _well: bool) {}
}

/// Finds replicas.
#[derive(Debug, Clone)]
pub struct DispatchDesk {
    targets: watch::Receiver<Arc<TargetView>>,
    evidence_limit: Duration,
}

impl DispatchDesk {
    /// A desk.
    #[must_use]
    pub fn new(targets: watch::Receiver<Arc<TargetView>>, evidence_limit: Duration) -> Self {
        Self {
            targets,
            evidence_limit,
        }
    }

    /// Finds a replica; waits for one until the deadline.
    ///
    /// # Errors
    ///
    /// [`CallerFailure`], as not run.
    pub async fn place(&self, ask: PlacementAsk<'_>) -> Result<PlacedSlot, CallerFailure> {
        let mut targets = self.targets.clone();
        loop {
            let view = Arc::clone(&targets.borrow_and_update());
            if let Some(slot) = self.choose(&view, &ask) {
                return Ok(slot);
            }
            let left = ask.deadline.saturating_duration_since(Instant::now());
            let changed = tokio::time::timeout(left, targets.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                let message = format!("no whole replica serves {} now", ask.order.model);
                let failure = CallerFailure::not_run(ErrorCode::NoReplica, message);
                return Err(failure.retry(NO_REPLICA_RETRY));
            }
        }
    }

    fn choose(&self, view: &TargetView, ask: &PlacementAsk<'_>) -> Option<PlacedSlot> {
        let version = ask.order.version.as_ref();
        let now = Instant::now();
        let limit = self.evidence_limit;
        let none_tried = FastSet::default();
        // A replica that failed this request once may have recovered; it is better than none.
        let replica = choose_replica(view, &ask.order.model, version, ask.tried, now, limit)
            .or_else(|| choose_replica(view, &ask.order.model, version, &none_tried, now, limit))?;
        Some(PlacedSlot {
            plan: replica.plan.clone(),
            leader: replica.leader?,
        })
    }
}
