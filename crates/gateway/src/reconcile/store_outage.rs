//! Reconciliation while the store is unavailable and shortly afterwards.
//!
//! During an outage the registry has no news of joined hosts or serving heads. Without this module,
//! every replica that loses a host would be down for the rest of the outage, and entries from
//! before it would have intact replicas taken apart afterwards. The hosts of fabric domains that
//! need changes are therefore queried directly. Other domains are not queried, because each query
//! has a cost.
//!
//! Nodes query in the order in which they act. If all of them queried at once, a large deployment
//! would send each host dozens of queries a second for as long as the outage lasts.

use std::rc::Rc;
use std::time::Duration;

use domain::{FabricId, FastMap, HostId};
use serving::MemberState;
use serving::plan::{HostState, SPARE_PREFIX};

use super::ReplicaReconciler;
use super::ranks::DELAY_PER_RANK;
use crate::probe::{order_target, refresh_host};

/// Interval between query rounds of the first node for one fabric domain; a join takes about as
/// long.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum age of the last complete round for steps to be taken on its results.
const MAX_REFRESH_AGE: Duration = Duration::from_millis(900);

/// Last query round per fabric domain.
#[derive(Debug, Default)]
pub(super) struct FabricRefreshes {
    rounds: FastMap<FabricId, RefreshRound>,
}

#[derive(Debug, Clone, Copy, Default)]
struct RefreshRound {
    /// When the next round is due; `None` while the domain needs none.
    due_at: Option<Duration>,
    ended_at: Option<Duration>,
}

impl FabricRefreshes {
    /// Records that a domain needs queries; returns whether a round of the node with this rank is
    /// due now. The first node starts at once.
    fn try_start(&mut self, fabric: &FabricId, rank: usize, now: Duration) -> bool {
        let round = self.rounds.entry(fabric.clone()).or_default();
        if now < *round.due_at.get_or_insert(now + head_start(rank)) {
            return false;
        }
        round.due_at = Some(now + refresh_interval(rank));
        true
    }

    fn settle(&mut self, fabric: &FabricId) {
        if let Some(round) = self.rounds.get_mut(fabric) {
            round.due_at = None;
        }
    }

    fn finish(&mut self, fabric: &FabricId, now: Duration) {
        self.rounds.entry(fabric.clone()).or_default().ended_at = Some(now);
    }

    fn is_fresh(&self, fabric: &FabricId, now: Duration) -> bool {
        let ended_at = self.rounds.get(fabric).and_then(|round| round.ended_at);
        ended_at.is_some_and(|ended_at| now.saturating_sub(ended_at) < MAX_REFRESH_AGE)
    }
}

impl ReplicaReconciler {
    /// Queries the hosts of a fabric domain that needs changes; returns whether its state is fresh
    /// enough to take steps.
    pub(super) fn refresh_fabric(
        self: &Rc<Self>,
        fabric: &FabricId,
        hosts: &[HostState],
        has_steps: bool,
    ) -> bool {
        let now = self.node.now();
        let rank = self.node.fabric_rank(fabric);
        let mut refreshes = self.refreshes.borrow_mut();
        if !has_steps && is_settled(hosts) {
            refreshes.settle(fabric);
            return false;
        }
        if refreshes.try_start(fabric, rank, now) {
            let ids: Vec<HostId> = hosts
                .iter()
                .filter(|host| host.silent_for.is_none())
                .map(|host| host.id.clone())
                .collect();
            let reconciler = Rc::clone(self);
            let fabric = fabric.clone();
            tokio::task::spawn_local(async move { reconciler.refresh_hosts(&fabric, ids).await });
        }
        refreshes.is_fresh(fabric, now)
    }

    async fn refresh_hosts(&self, fabric: &FabricId, ids: Vec<HostId>) {
        let queries = ids.iter().filter_map(|id| {
            let target = order_target(&self.node, id)?;
            Some(refresh_host(&self.node, target))
        });
        futures::future::join_all(queries).await;
        self.refreshes.borrow_mut().finish(fabric, self.node.now());
        self.node.state_changed.notify_waiters();
    }
}

/// Time that the node with this rank leaves to those before it. Its steps are due a rank's delay
/// later, while what it learned is still fresh.
fn head_start(rank: usize) -> Duration {
    DELAY_PER_RANK.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX))
}

/// Interval between query rounds of the node with this rank. It grows with the square of the rank,
/// so that all nodes together send a few times the queries of the first, however many there are.
fn refresh_interval(rank: usize) -> Duration {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    let delays = rank.saturating_mul(rank.saturating_add(1)) / 2;
    REFRESH_INTERVAL + DELAY_PER_RANK.saturating_mul(delays)
}

/// Whether each responsive host is in no replica, is a spare, is evacuated, or is in a replica with a
/// responsive open head. A replica that forms in an evacuated failure domain changes only at the end of the
/// evacuation.
pub(super) fn is_settled(hosts: &[HostState]) -> bool {
    hosts
        .iter()
        .filter(|host| host.silent_for.is_none() && !host.evacuated)
        .all(|host| {
            let Some(membership) = &host.membership else {
                return true;
            };
            if membership.replica.as_str().starts_with(SPARE_PREFIX) {
                return true;
            }
            let head = hosts.iter().find(|other| {
                let peer = other.membership.as_ref();
                peer.is_some_and(|peer| peer.replica == membership.replica && peer.rank == 0)
            });
            let Some(head) = head else { return false };
            let state = head.membership.as_ref().map(|peer| peer.state);
            state == Some(MemberState::Open) && head.silent_for.is_none()
        })
}
