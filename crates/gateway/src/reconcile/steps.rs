//! Executes the steps of a plan.

use std::time::Duration;

use adapter::orders::HostOrder;
use domain::{HostId, ModelName, ReplicaId};
use serving::MembershipKey;
use serving::plan::{CloseMode, PlanStep, SPARE_PREFIX, spare_prefix};

use super::ReplicaReconciler;
use crate::orders::{OrderOutcome, execute_order};
use crate::planned_order::PlannedOrder;
use crate::probe::{order_target, refresh_host};

/// Time during which a head that was ordered to open may still report itself as ready.
const OPEN_COOLDOWN: Duration = Duration::from_millis(900);

/// Time until the effect of an order appears in the registry.
const EFFECT_DELAY: Duration = Duration::from_millis(150);

/// Delay after an order that was rejected or got no response. The state behind a rejection is on
/// its way to the registry; an earlier retry would only cost calls.
const RETRY_DELAY: Duration = Duration::from_millis(300);

impl ReplicaReconciler {
    /// Executes a step; returns how long its hosts are reserved afterwards.
    pub(super) async fn execute_step(&self, step: PlanStep) -> Duration {
        match step {
            PlanStep::Open {
                head,
                replica,
                epoch,
            } => {
                let order = HostOrder::Open {
                    replica: replica.clone(),
                    epoch,
                };
                let outcome = self.send_order(&head, order, Some((replica, epoch))).await;
                cooldown_after(outcome, OPEN_COOLDOWN)
            }
            PlanStep::Close {
                head,
                replica,
                epoch,
                mode,
            } => self.close(&head, replica, epoch, mode).await,
            PlanStep::Yield {
                head,
                replica,
                epoch,
            } => self.close(&head, replica, epoch, CloseMode::Wait).await,
            PlanStep::Form { model, members } => {
                let outcome = self.form(model, members, "r-").await;
                cooldown_after(outcome, EFFECT_DELAY)
            }
            PlanStep::Stage { host, model } => self.stage(&host, model).await,
            PlanStep::Warm { host, model } => {
                let prefix = spare_prefix(&model);
                let outcome = self.form(model, vec![host], &prefix).await;
                cooldown_after(outcome, EFFECT_DELAY)
            }
        }
    }

    async fn close(
        &self,
        head: &HostId,
        replica: ReplicaId,
        epoch: u64,
        mode: CloseMode,
    ) -> Duration {
        let order = HostOrder::Close {
            replica: replica.clone(),
            epoch,
            mode,
        };
        let outcome = self.send_order(head, order, Some((replica, epoch))).await;
        cooldown_after(outcome, EFFECT_DELAY)
    }

    pub(super) async fn send_order(
        &self,
        host: &HostId,
        order: HostOrder,
        expected: Option<MembershipKey>,
    ) -> OrderOutcome {
        let planned = PlannedOrder {
            host: host.clone(),
            order,
            expected,
        };
        execute_order(&self.node, &self.order_tracker, &planned).await
    }

    /// Joins hosts to a new replica. Hosts that were heads join first: once a head has left its old
    /// replica, that replica can't be opened again, and its members are free.
    async fn form(&self, model: ModelName, members: Vec<HostId>, prefix: &str) -> OrderOutcome {
        let name = self
            .new_replica_id(prefix)
            .zip(self.node.registry_version());
        let Some((replica, version)) = name else {
            return OrderOutcome::Stale;
        };
        // An epoch taken from a version of the store is higher than every epoch that the registry contained
        // by then, also after the store's versions have gone back with a new era.
        let epoch = version.fencing_number();
        let outcome = self
            .join_members(model, members, replica.clone(), epoch)
            .await;
        if outcome != OrderOutcome::Done {
            self.node.abandon_replica(&replica, epoch);
        }
        outcome
    }

    async fn join_members(
        &self,
        model: ModelName,
        members: Vec<HostId>,
        replica: ReplicaId,
        epoch: u64,
    ) -> OrderOutcome {
        let join = HostOrder::Join {
            replica,
            epoch,
            model,
            members: members.clone(),
        };
        if !self.confirm_left(&members).await {
            return OrderOutcome::Stale;
        }
        let mut heads = Vec::new();
        let mut others = Vec::new();
        for member in &members {
            match self.placement(member, &members) {
                MemberPlacement::Head(key) => heads.push((member.clone(), key)),
                placement => others.push((member.clone(), placement)),
            }
        }
        for (host, expected) in heads {
            let outcome = self.join_head(&host, expected, &join).await;
            if outcome != OrderOutcome::Done {
                return outcome;
            }
        }
        let joins = others
            .into_iter()
            .map(|(host, placement)| self.join_member(host, placement, &join));
        let outcomes = futures::future::join_all(joins).await;
        let failed = outcomes
            .into_iter()
            .find(|outcome| *outcome != OrderOutcome::Done);
        failed.unwrap_or(OrderOutcome::Done)
    }

    /// Queries heads that seem to have left the replicas of these members; returns whether all of
    /// them have. An entry may predate the head's join, and taking its members would break its
    /// streams.
    async fn confirm_left(&self, members: &[HostId]) -> bool {
        let moved = self.moved_heads(members);
        let queries = moved.iter().map(|(head, old)| self.has_left(head, old));
        let outcomes = futures::future::join_all(queries).await;
        outcomes.into_iter().all(|has_left| has_left)
    }

    /// Queries a head that seems to have left a replica; returns whether it has. One that does not
    /// respond is suspected, and its members leave before they join.
    async fn has_left(&self, head: &HostId, old: &MembershipKey) -> bool {
        let Some(target) = order_target(&self.node, head) else {
            return true;
        };
        let reported = refresh_host(&self.node, target).await;
        reported.is_none_or(|membership| membership.as_ref() != Some(old))
    }

    /// Heads of the members' current replicas whose own entries name another replica or none.
    fn moved_heads(&self, members: &[HostId]) -> Vec<(HostId, MembershipKey)> {
        let mut moved: Vec<(HostId, MembershipKey)> = Vec::new();
        self.node.registry(|registry| {
            for member in members {
                let entry = registry.get(member);
                let Some(membership) = entry.and_then(|entry| entry.membership.as_ref()) else {
                    continue;
                };
                let old = membership.key();
                let head = self.node.last_known_head(&old);
                let Some(entry) = head.as_ref().and_then(|head| registry.get(head)) else {
                    continue;
                };
                let is_still_member = entry
                    .membership
                    .as_ref()
                    .is_some_and(|now| now.key() == old);
                let is_new = moved.iter().all(|(head, _)| *head != entry.id);
                if !is_still_member && is_new && !self.node.is_suspected(&entry.id) {
                    moved.push((entry.id.clone(), old));
                }
            }
        });
        moved
    }

    /// Joins a host that is the head of another replica. It leaves that replica first, since an
    /// engine that is opening still reports itself as ready: joined directly, it could be serving
    /// and belong to two replicas.
    async fn join_head(&self, host: &HostId, old: MembershipKey, join: &HostOrder) -> OrderOutcome {
        if old.0.as_str().starts_with(SPARE_PREFIX) {
            return self.send_order(host, join.clone(), Some(old)).await;
        }
        let outcome = self.leave(host, &old).await;
        if outcome != OrderOutcome::Done {
            return outcome;
        }
        self.send_order(host, join.clone(), None).await
    }

    async fn join_member(
        &self,
        host: HostId,
        placement: MemberPlacement,
        join: &HostOrder,
    ) -> OrderOutcome {
        let expected = match placement {
            MemberPlacement::Free => None,
            MemberPlacement::Head(key) | MemberPlacement::FreedMember(key) => Some(key),
            MemberPlacement::MemberOf(key, head) => {
                let outcome = self.leave(&head, &key).await;
                if outcome != OrderOutcome::Done {
                    return outcome;
                }
                Some(key)
            }
            MemberPlacement::Orphan(key) => {
                let outcome = self.leave(&host, &key).await;
                if outcome != OrderOutcome::Done {
                    return outcome;
                }
                None
            }
        };
        self.send_order(&host, join.clone(), expected).await
    }

    async fn leave(&self, host: &HostId, old: &MembershipKey) -> OrderOutcome {
        let order = HostOrder::Leave {
            replica: old.0.clone(),
            epoch: old.1,
        };
        self.send_order(host, order, Some(old.clone())).await
    }

    fn placement(&self, host: &HostId, joined: &[HostId]) -> MemberPlacement {
        self.node.registry(|registry| {
            let entry = registry.get(host);
            let membership = entry.and_then(|entry| entry.membership.as_ref());
            let Some(membership) = membership else {
                return MemberPlacement::Free;
            };
            if membership.rank == 0 {
                return MemberPlacement::Head(membership.key());
            }
            let old = membership.key();
            let head = self.node.last_known_head(&old);
            let entry = head.as_ref().and_then(|head| registry.get(head));
            let Some(entry) = entry.filter(|entry| !self.node.is_suspected(&entry.id)) else {
                return MemberPlacement::Orphan(old);
            };
            let is_still_member = entry
                .membership
                .as_ref()
                .is_some_and(|now| now.key() == old);
            if !is_still_member || joined.contains(&entry.id) {
                return MemberPlacement::FreedMember(old);
            }
            MemberPlacement::MemberOf(old, entry.id.clone())
        })
    }

    fn new_replica_id(&self, prefix: &str) -> Option<ReplicaId> {
        let number = self.formed_count.get() + 1;
        self.formed_count.set(number);
        let (tag, nonce) = (self.node_tag(), self.process_nonce);
        let name = format!("{prefix}{tag}-{nonce:x}-{number}");
        name.parse().ok()
    }
}

enum MemberPlacement {
    /// The host is in no replica.
    Free,
    /// The host is the head of a replica.
    Head(MembershipKey),
    /// Member of a replica whose head is still in it. The head leaves first, so that the old
    /// replica can't be opened while its members join another one.
    MemberOf(MembershipKey, HostId),
    /// Member of a replica whose head has left it, or joins the same new replica first.
    FreedMember(MembershipKey),
    /// Member of a replica whose head is gone. It leaves before it joins: if the head is alive
    /// after all, its replica stalls instead of sharing a host with another replica.
    Orphan(MembershipKey),
}

pub(super) fn cooldown_after(outcome: OrderOutcome, done: Duration) -> Duration {
    match outcome {
        OrderOutcome::Done => done,
        OrderOutcome::Stale | OrderOutcome::Unresponsive => RETRY_DELAY,
    }
}
