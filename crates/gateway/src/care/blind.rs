//! Caring for replicas while the store is away, and soon after.
//!
//! The registry then says nothing new: not that a host has joined, not that a head serves. An
//! outage of some seconds would cost each replica that loses a host in it for the rest of the
//! outage; and after it entries from before would have whole replicas taken apart. So the hosts of a fabric domain in which something is to be done are asked themselves,
//! and others are left alone: each question is paid for.

use std::rc::Rc;
use std::time::Duration;

use domain::{FabricId, FastMap, HostId};
use serving::MemberState;
use serving::plan::{HostState, SPARE_PREFIX};

use super::ReplicaCare;
use crate::probe::{order_target, refresh_host};

/// Pause between two rounds of questions to one fabric domain; a join takes about as long.
const ASK_PAUSE: Duration = Duration::from_millis(250);

/// Age of the last complete round up to which steps are taken on it.
const ASK_AGE: Duration = Duration::from_millis(900);

/// Rounds of questions by fabric domain: when the last one began, and when the last one ended.
#[derive(Debug, Default)]
pub(super) struct AskedFabrics {
    rounds: FastMap<FabricId, AskedRound>,
}

#[derive(Debug, Clone, Copy, Default)]
struct AskedRound {
    began: Option<Duration>,
    ended: Option<Duration>,
}

impl AskedFabrics {
    fn may_begin(&mut self, fabric: &FabricId, now: Duration) -> bool {
        let round = self.rounds.entry(fabric.clone()).or_default();
        let due = round
            .began
            .is_none_or(|began| now.saturating_sub(began) >= ASK_PAUSE);
        if due {
            round.began = Some(now);
        }
        due
    }

    fn end(&mut self, fabric: &FabricId, now: Duration) {
        self.rounds.entry(fabric.clone()).or_default().ended = Some(now);
    }

    fn is_fresh(&self, fabric: &FabricId, now: Duration) -> bool {
        let ended = self.rounds.get(fabric).and_then(|round| round.ended);
        ended.is_some_and(|ended| now.saturating_sub(ended) < ASK_AGE)
    }
}

impl ReplicaCare {
    /// Asks the hosts of a fabric domain that needs care; whether what is known of it is fresh
    /// enough for steps.
    pub(super) fn ask_fabric(
        self: &Rc<Self>,
        fabric: &FabricId,
        hosts: &[HostState],
        has_steps: bool,
    ) -> bool {
        if !has_steps && is_settled(hosts) {
            return false;
        }
        let now = self.node.now();
        let mut asked = self.asked.borrow_mut();
        if asked.may_begin(fabric, now) {
            let ids: Vec<HostId> = hosts
                .iter()
                .filter(|host| host.silent_for.is_none())
                .map(|host| host.id.clone())
                .collect();
            let care = Rc::clone(self);
            let fabric = fabric.clone();
            tokio::task::spawn_local(async move { care.ask_hosts(&fabric, ids).await });
        }
        asked.is_fresh(fabric, now)
    }

    async fn ask_hosts(&self, fabric: &FabricId, ids: Vec<HostId>) {
        let questions = ids.iter().filter_map(|id| {
            let target = order_target(&self.node, id)?;
            Some(refresh_host(&self.node, target))
        });
        futures::future::join_all(questions).await;
        self.asked.borrow_mut().end(fabric, self.node.now());
        self.node.state_changed.notify_waiters();
    }
}

/// Whether each host that answers serves in a whole replica, or waits as a spare.
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
                let own = other.membership.as_ref();
                own.is_some_and(|own| own.replica == membership.replica && own.rank == 0)
            });
            let Some(head) = head else { return false };
            let state = head.membership.as_ref().map(|own| own.state);
            state == Some(MemberState::Open) && head.silent_for.is_none()
        })
}
