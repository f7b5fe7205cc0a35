//! Reconciliation while the store is unavailable and shortly afterwards.
//!
//! During an outage the registry has no news of joined hosts or serving heads. Without this module,
//! every replica that loses a host would be down for the rest of the outage, and entries from
//! before it would have intact replicas taken apart afterwards. The hosts of fabric domains that
//! need changes are therefore queried directly. Other domains are not queried, because each query
//! has a cost.

use std::rc::Rc;
use std::time::Duration;

use domain::{FabricId, FastMap, HostId};
use serving::MemberState;
use serving::plan::{HostState, SPARE_PREFIX};

use super::ReplicaReconciler;
use crate::probe::{order_target, refresh_host};

/// Interval between query rounds for one fabric domain; a join takes about as long.
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
    started_at: Option<Duration>,
    ended_at: Option<Duration>,
}

impl FabricRefreshes {
    fn try_start(&mut self, fabric: &FabricId, now: Duration) -> bool {
        let round = self.rounds.entry(fabric.clone()).or_default();
        let due = round
            .started_at
            .is_none_or(|started_at| now.saturating_sub(started_at) >= REFRESH_INTERVAL);
        if due {
            round.started_at = Some(now);
        }
        due
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
        if !has_steps && is_settled(hosts) {
            return false;
        }
        let now = self.node.now();
        let mut refreshes = self.refreshes.borrow_mut();
        if refreshes.try_start(fabric, now) {
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

/// Whether each responsive host is in no replica, is a spare, or is in a replica with a responsive
/// open head.
pub(super) fn is_settled(hosts: &[HostState]) -> bool {
    hosts
        .iter()
        .filter(|host| host.silent_for.is_none())
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
