//! Taking the steps of a plan.

use std::time::Duration;

use adapter::orders::HostOrder;
use domain::{HostId, ModelName, ReplicaId};
use serving::plan::{CloseMode, PlanStep, SPARE_PREFIX, spare_prefix};

use super::ReplicaReconciler;
use crate::orders::{OrderOutcome, PlannedOrder, execute_order, membership_key};
use crate::probe::{order_target, refresh_host};

/// Time for which a head that was told to open may go on reporting itself as ready.
const OPENING_TIME: Duration = Duration::from_millis(900);

/// Time within which the effect of an order stands in the registry.
const EFFECT_TIME: Duration = Duration::from_millis(150);

/// Pause after an order that was refused or not answered. What refused it is on its way to the
/// registry; asking again at once only costs calls.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

impl ReplicaReconciler {
    /// Takes a step; returns how long its hosts are left alone afterwards.
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
                let end = self.give(&head, order, Some((replica, epoch))).await;
                cooldown_after(end, OPENING_TIME)
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
                let end = self.form(model, members, "r-").await;
                cooldown_after(end, EFFECT_TIME)
            }
            PlanStep::Stage { host, model } => self.stage(&host, model).await,
            PlanStep::Warm { host, model } => {
                let prefix = spare_prefix(&model);
                let end = self.form(model, vec![host], &prefix).await;
                cooldown_after(end, EFFECT_TIME)
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
        let end = self.give(head, order, Some((replica, epoch))).await;
        cooldown_after(end, EFFECT_TIME)
    }

    pub(super) async fn give(
        &self,
        host: &HostId,
        order: HostOrder,
        expected: Option<(ReplicaId, u64)>,
    ) -> OrderOutcome {
        let planned = PlannedOrder {
            host: host.clone(),
            order,
            expected,
        };
        execute_order(&self.node, &self.order_tracker, &planned).await
    }

    /// Joins hosts to a new replica. Hosts that were heads go first: once a head has left its old
    /// replica, nobody can open that one again, and its members are free.
    async fn form(&self, model: ModelName, members: Vec<HostId>, prefix: &str) -> OrderOutcome {
        let name = self.new_name(prefix).zip(self.node.registry_version());
        let Some((replica, version)) = name else {
            return OrderOutcome::Stale;
        };
        // Versions of the store only grow, for all nodes alike, and an epoch that was taken at one
        // is above each that stood in the registry by then.
        let epoch = version.0;
        let end = self.join_all(model, members, replica.clone(), epoch).await;
        if end != OrderOutcome::Done {
            self.node.abandon_replica(&replica, epoch);
        }
        end
    }

    async fn join_all(
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
            match self.place(member, &members) {
                MemberPlace::Head(key) => heads.push((member.clone(), key)),
                place => others.push((member.clone(), place)),
            }
        }
        for (host, expected) in heads {
            let end = self.join_head(&host, expected, &join).await;
            if end != OrderOutcome::Done {
                return end;
            }
        }
        let joins = others
            .into_iter()
            .map(|(host, place)| self.join_member(host, place, &join));
        let ends = futures::future::join_all(joins).await;
        let failed = ends.into_iter().find(|end| *end != OrderOutcome::Done);
        failed.unwrap_or(OrderOutcome::Done)
    }

    /// Asks the heads that seem to have left the replicas of members; whether they have. An entry may be
    /// from before the head joined, and its members would be taken from under its streams.
    async fn confirm_left(&self, members: &[HostId]) -> bool {
        let moved = self.moved_heads(members);
        let asks = moved.iter().filter_map(|(head, _)| {
            let target = order_target(&self.node, head)?;
            Some(refresh_host(&self.node, target))
        });
        futures::future::join_all(asks).await;
        self.node.registry(|registry| {
            moved.iter().all(|(head, old)| {
                let entry = registry.get(head);
                let membership = entry.and_then(|entry| entry.membership.as_ref());
                membership.is_none_or(|membership| membership_key(membership) != *old)
            })
        })
    }

    /// Heads of the replicas that members are in whose entries name another replica or none.
    fn moved_heads(&self, members: &[HostId]) -> Vec<(HostId, (ReplicaId, u64))> {
        let mut moved: Vec<(HostId, (ReplicaId, u64))> = Vec::new();
        self.node.registry(|registry| {
            for member in members {
                let entry = registry.get(member);
                let Some(membership) = entry.and_then(|entry| entry.membership.as_ref()) else {
                    continue;
                };
                let old = membership_key(membership);
                let head = self.node.last_known_head(&old);
                let Some(entry) = head.as_ref().and_then(|head| registry.get(head)) else {
                    continue;
                };
                let stays = entry
                    .membership
                    .as_ref()
                    .is_some_and(|now| membership_key(now) == old);
                let is_new = moved.iter().all(|(head, _)| *head != entry.id);
                if !stays && is_new && !self.node.is_suspected(&entry.id) {
                    moved.push((entry.id.clone(), old));
                }
            }
        });
        moved
    }

    /// Joins the head of an old replica. An engine that opens still reports itself as ready, so it
    /// leaves first: joined at once, it could be serving and belong to two replicas.
    async fn join_head(
        &self,
        host: &HostId,
        old: (ReplicaId, u64),
        join: &HostOrder,
    ) -> OrderOutcome {
        if old.0.as_str().starts_with(SPARE_PREFIX) {
            return self.give(host, join.clone(), Some(old)).await;
        }
        let end = self.leave(host, &old).await;
        if end != OrderOutcome::Done {
            return end;
        }
        self.give(host, join.clone(), None).await
    }

    async fn join_member(
        &self,
        host: HostId,
        place: MemberPlace,
        join: &HostOrder,
    ) -> OrderOutcome {
        let expected = match place {
            MemberPlace::Free => None,
            MemberPlace::Head(key) | MemberPlace::FreedMember(key) => Some(key),
            MemberPlace::MemberOf(key, head) => {
                let end = self.leave(&head, &key).await;
                if end != OrderOutcome::Done {
                    return end;
                }
                Some(key)
            }
            MemberPlace::Orphan(key) => {
                let end = self.leave(&host, &key).await;
                if end != OrderOutcome::Done {
                    return end;
                }
                None
            }
        };
        self.give(&host, join.clone(), expected).await
    }

    async fn leave(&self, host: &HostId, old: &(ReplicaId, u64)) -> OrderOutcome {
        let order = HostOrder::Leave {
            replica: old.0.clone(),
            epoch: old.1,
        };
        self.give(host, order, Some(old.clone())).await
    }

    fn place(&self, host: &HostId, joined: &[HostId]) -> MemberPlace {
        self.node.registry(|registry| {
            let entry = registry.get(host);
            let membership = entry.and_then(|entry| entry.membership.as_ref());
            let Some(membership) = membership else {
                return MemberPlace::Free;
            };
            if membership.rank == 0 {
                return MemberPlace::Head(membership_key(membership));
            }
            let old = membership_key(membership);
            let head = self.node.last_known_head(&old);
            let entry = head.as_ref().and_then(|head| registry.get(head));
            let Some(entry) = entry.filter(|entry| !self.node.is_suspected(&entry.id)) else {
                return MemberPlace::Orphan(old);
            };
            let stays = entry
                .membership
                .as_ref()
                .is_some_and(|now| membership_key(now) == old);
            if !stays || joined.contains(&entry.id) {
                return MemberPlace::FreedMember(old);
            }
            MemberPlace::MemberOf(old, entry.id.clone())
        })
    }

    fn new_name(&self, prefix: &str) -> Option<ReplicaId> {
        let number = self.formed_count.get() + 1;
        self.formed_count.set(number);
        let (tag, nonce) = (self.node_tag(), self.process_nonce);
        let name = format!("{prefix}{tag}-{nonce:x}-{number}");
        name.parse().ok()
    }
}

enum MemberPlace {
    /// In no replica.
    Free,
    /// Head of a replica.
    Head((ReplicaId, u64)),
    /// Member of a replica whose head is still in it. The head leaves first, so that nobody opens
    /// the old replica while its members join another one.
    MemberOf((ReplicaId, u64), HostId),
    /// Member of a replica whose head left it, or joins the same new one before.
    FreedMember((ReplicaId, u64)),
    /// Member of a replica whose head is gone. It leaves before it joins: should the head live
    /// after all, its replica stands still rather than share a host with another one.
    Orphan((ReplicaId, u64)),
}

pub(super) fn cooldown_after(end: OrderOutcome, done: Duration) -> Duration {
    match end {
        OrderOutcome::Done => done,
        OrderOutcome::Stale | OrderOutcome::Unresponsive => RETRY_PAUSE,
    }
}
