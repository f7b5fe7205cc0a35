//! Evacuated failure domains, as this node knows them.

use std::time::Duration;

use domain::{DomainId, HostId};
use events::{EventCode, LogLine};
use serving::evacuation::EvacuationChange;
use serving::{ReplicaView, SendBarrier, TargetEntry};

use super::GatewayNode;

impl GatewayNode {
    /// Applies that operators evacuate a failure domain, or no longer do.
    pub fn apply_evacuation(&self, domain: &DomainId, is_requested: bool) {
        let now = self.now();
        let change = self
            .evacuations
            .borrow_mut()
            .apply(domain, is_requested, now);
        let code = match change {
            Some(EvacuationChange::Begun) => EventCode::EvacuationBegun,
            Some(EvacuationChange::Ended) => EventCode::EvacuationEnded,
            None => return,
        };
        if code == EventCode::EvacuationEnded {
            self.presume_cold_domain(domain);
        }
        let line = LogLine::new(code).kept();
        self.log(&line.text("failure_domain", domain.as_str()));
        self.record_drained_domains();
        self.notify_change();
    }

    /// Whether a failure domain is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, domain: &DomainId) -> bool {
        self.evacuations.borrow().is_evacuated(domain)
    }

    /// Whether a request may be sent to a target now, by the evacuations in force.
    ///
    /// # Errors
    ///
    /// [`SendBarrier::Evacuated`] if the target, or another host of its replica, is in an evacuated failure
    /// domain.
    pub fn check_evacuation(&self, target: &TargetEntry) -> Result<(), SendBarrier> {
        let evacuations = self.evacuations.borrow();
        if evacuations.is_empty() {
            return Ok(());
        }
        self.registry(|registry| evacuations.check(registry.failure_domains(target)))
    }

    /// Whether a known host of a replica is in an evacuated failure domain.
    pub(super) fn has_evacuated_member(&self, replica: &ReplicaView) -> bool {
        let evacuations = self.evacuations.borrow();
        if evacuations.is_empty() {
            return false;
        }
        let registry = self.registry.borrow();
        let hosts = replica.members.values().filter_map(|id| registry.get(id));
        evacuations.check(hosts.map(|entry| &entry.domain)).is_err()
    }

    /// Logs the evacuated failure domains in which no request of this node runs any more, once for each.
    pub fn record_drained_domains(&self) {
        let pending: Vec<(DomainId, Duration)> = {
            let evacuations = self.evacuations.borrow();
            let pending = evacuations.undrained();
            pending.map(|(domain, at)| (domain.clone(), at)).collect()
        };
        for (domain, begun_at) in pending {
            if self.count_running_in(|found| *found == domain) > 0 {
                continue;
            }
            self.evacuations.borrow_mut().record_drained(&domain);
            let line = LogLine::new(EventCode::EvacuationDrained)
                .kept()
                .text("failure_domain", domain.as_str())
                .millis("after_ms", self.now().saturating_sub(begun_at));
            self.log(&line);
        }
    }

    /// Records that a request of this node at a target has ended.
    pub fn record_request_ended(&self, id: &HostId) {
        let is_awaited = {
            let evacuations = self.evacuations.borrow();
            evacuations.undrained().next().is_some() && self.load(id).in_flight == 0
        };
        if is_awaited {
            self.record_drained_domains();
        }
    }

    /// Number of evacuated failure domains, and of this node's requests that still run there.
    #[must_use]
    pub fn evacuation_counts(&self) -> (usize, usize) {
        let evacuations = self.evacuations.borrow();
        let active = evacuations.active().count();
        if active == 0 {
            return (0, 0);
        }
        let running = self.count_running_in(|domain| evacuations.is_evacuated(domain));
        (active, running)
    }

    /// Number of this node's requests at targets whose replicas have a host in one of certain failure domains.
    fn count_running_in(&self, is_counted: impl Fn(&DomainId) -> bool) -> usize {
        let loads = self.loads.borrow();
        let busy = loads.iter().filter(|(_, load)| load.in_flight > 0);
        self.registry(|registry| {
            let there = busy.filter(|(id, _)| {
                let entry = registry.get(id);
                entry.is_some_and(|entry| registry.failure_domains(entry).any(&is_counted))
            });
            let counts = there.map(|(_, load)| usize::try_from(load.in_flight).unwrap_or(0));
            counts.sum()
        })
    }
}
