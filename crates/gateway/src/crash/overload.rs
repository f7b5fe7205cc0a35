//! What this node knows of the load of targets that have just started, by which it judges their crashes.

use domain::{HostId, ServiceName};
use serving::poison::CrashedTarget;
use serving::{ColdTerms, TargetEntry, TargetProcess};

use crate::node::GatewayNode;

impl GatewayNode {
    /// Records that a target process was first listed after this node had read the registry.
    pub fn record_process_start(&self, target: &TargetEntry) {
        if self.cold_terms(&target.service).is_some() {
            let mut sends = self.crashes.sends.borrow_mut();
            sends.record_start(&target.process(), self.now());
        }
    }

    /// Records that a request is about to be written to a target.
    pub fn record_process_send(&self, target: &TargetEntry) {
        if self.cold_terms(&target.service).is_some() {
            let mut sends = self.crashes.sends.borrow_mut();
            sends.record_send(&target.process(), self.now());
        }
    }

    /// Whether a target process that has probably crashed had been sent more than it takes while cold. To be
    /// asked before the requests that it ran are no longer counted.
    pub(super) fn was_overloaded(&self, process: &TargetProcess) -> bool {
        let Some(terms) = self.terms_of_host(&process.host) else {
            return false;
        };
        let now = self.now();
        let sends = self.crashes.sends.borrow();
        let target = CrashedTarget {
            is_cold: self.cold_targets.borrow().is_cold(process, now),
            uptime: sends.uptime(process, now),
            own_sends: sends.recent_sends(process, now),
            load: self.load(&process.host),
        };
        target.was_overloaded(Some(terms), now)
    }

    /// Forgets starts and sends that are too old to matter.
    pub fn forget_old_sends(&self) {
        self.crashes.sends.borrow_mut().prune(self.now());
    }

    fn terms_of_host(&self, host: &HostId) -> Option<ColdTerms> {
        let service = self.registry(|registry| Some(registry.get(host)?.service.clone()))?;
        self.cold_terms(&service)
    }

    fn cold_terms(&self, service: &ServiceName) -> Option<ColdTerms> {
        self.config()?.services.get(service)?.cold
    }
}
