//! Cold targets, as this node knows them.

use std::time::Duration;

use domain::{DomainId, ServiceName};
use events::{EventCode, LogLine};
use serving::{
    ColdAllowance, ColdBound, ColdTerms, SendBarrier, SenderNode, TargetEntry, TargetProcess,
    cold_allowance,
};

use super::GatewayNode;

/// What tells that a target is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdSource {
    /// Its registry entry.
    Entry,
    /// A header of its response.
    Response,
    /// It restarted during traffic.
    Restart,
    /// The evacuation of its failure domain has ended.
    EvacuationEnd,
}

impl ColdSource {
    fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Response => "response",
            Self::Restart => "restart",
            Self::EvacuationEnd => "evacuation_end",
        }
    }

    /// Whether the target itself says so.
    fn is_stated(self) -> bool {
        matches!(self, Self::Entry | Self::Response)
    }
}

impl GatewayNode {
    /// What the targets of a service take while they are cold; `None` if they are not limited.
    #[must_use]
    pub fn cold_limits(&self, service: &ServiceName) -> Option<(ColdTerms, ColdBound)> {
        let bound = self.settings.bounds.cold_bound()?;
        let config = self.config()?;
        let terms = config.services.get(service)?.cold?;
        Some((terms, bound))
    }

    /// Records that a process is cold for `left`, or is warm if that is zero; the service's cold time at most.
    pub fn record_cold(
        &self,
        process: &TargetProcess,
        service: &ServiceName,
        left: Duration,
        source: ColdSource,
    ) {
        let Some((terms, _)) = self.cold_limits(service) else {
            return;
        };
        let now = self.now();
        let left = left.min(terms.duration);
        let mut cold_targets = self.cold_targets.borrow_mut();
        let is_new = if source.is_stated() {
            cold_targets.record(process, left, now)
        } else {
            cold_targets.presume(process, left, now)
        };
        drop(cold_targets);
        if !is_new {
            return;
        }
        let line = LogLine::new(EventCode::TargetCold)
            .text("host", process.host.as_str())
            .text("source", source.name())
            .millis("for_ms", left);
        self.log(&line);
    }

    /// Records that a target states in a response for how long it stays cold.
    pub fn record_stated_cold(&self, process: &TargetProcess, left: Duration) {
        let service = self.registry(|registry| Some(registry.get(&process.host)?.service.clone()));
        if let Some(service) = service {
            self.record_cold(process, &service, left, ColdSource::Response);
        }
    }

    /// Presumes that a target is cold that restarted during traffic.
    pub(super) fn presume_cold_restart(&self, entry: &TargetEntry) {
        if !self.is_bootstrapping() {
            let process = entry.process();
            self.record_cold(&process, &entry.service, Duration::MAX, ColdSource::Restart);
        }
    }

    /// Presumes that the targets of a failure domain are cold, whose evacuation has ended.
    pub fn presume_cold_domain(&self, domain: &DomainId) {
        if self.settings.bounds.cold_bound().is_none() {
            return;
        }
        let targets = self.registry(|registry| {
            let targets = registry.targets().filter(|entry| entry.domain == *domain);
            let targets = targets.map(|entry| (entry.process(), entry.service.clone()));
            targets.collect::<Vec<_>>()
        });
        for (process, service) in targets {
            self.record_cold(&process, &service, Duration::MAX, ColdSource::EvacuationEnd);
        }
    }

    /// Whether a request may be sent to a target now, if it is cold.
    ///
    /// # Errors
    ///
    /// [`SendBarrier::Cold`] if not.
    pub fn check_cold(&self, target: &TargetEntry) -> Result<(), SendBarrier> {
        if !self.is_limited_cold(target) {
            return Ok(());
        }
        let allowance = self.cold_allowance(target);
        let cold_targets = self.cold_targets.borrow();
        cold_targets.check(&target.process(), allowance, self.now())
    }

    /// The same right before a request is written, and counts it.
    ///
    /// # Errors
    ///
    /// [`SendBarrier::Cold`] if it must not be sent.
    pub fn take_cold(&self, target: &TargetEntry) -> Result<(), SendBarrier> {
        if !self.is_limited_cold(target) {
            return Ok(());
        }
        let allowance = self.cold_allowance(target);
        let mut cold_targets = self.cold_targets.borrow_mut();
        cold_targets.take_send(&target.process(), allowance, self.now())
    }

    /// Factor on the probability with which this node chooses a target: a cold one has to get its share of
    /// the work from few nodes.
    #[must_use]
    pub fn cold_factor(&self, target: &TargetEntry) -> f64 {
        if !self.is_limited_cold(target) {
            return 1.0;
        }
        let allowance = self.cold_allowance(target);
        allowance.map_or(1.0, |allowance| allowance.nodes_per_sender)
    }

    /// Whether a target is cold and the configuration in force limits what it takes then.
    fn is_limited_cold(&self, target: &TargetEntry) -> bool {
        let cold_targets = self.cold_targets.borrow();
        !cold_targets.is_empty()
            && cold_targets.is_cold(&target.process(), self.now())
            && self.cold_limits(&target.service).is_some()
    }

    fn cold_allowance(&self, target: &TargetEntry) -> Option<ColdAllowance> {
        let limits = self.cold_limits(&target.service)?;
        let names = self.live_nodes.borrow();
        let domains = self.live_domains.borrow();
        let nodes = names.iter().zip(domains.iter());
        let nodes = nodes.map(|(name, domain)| SenderNode { name, domain });
        let own = (self.settings.node.as_str(), self.sender_standing());
        cold_allowance(
            limits,
            nodes,
            own,
            (target.id.as_str(), target.domain.as_str()),
        )
    }

    /// Number of targets that are cold.
    #[must_use]
    pub fn cold_count(&self) -> usize {
        self.cold_targets.borrow().count(self.now())
    }

    /// Forgets targets that are no longer cold.
    pub fn forget_warm_targets(&self) {
        self.cold_targets.borrow_mut().prune(self.now());
    }
}
