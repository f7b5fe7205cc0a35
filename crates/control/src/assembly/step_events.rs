//! Events of assembly.

use std::collections::BTreeMap;

use domain::{FabricFleet, HostId, ReplicaId};
use events::{EventCode, EventRecorder, EventSubject};

use super::{AssemblyStep, HostHealth};

/// Records events for committed steps.
#[derive(Debug)]
pub struct StepEvents<'recorder> {
    recorder: &'recorder EventRecorder,
}

impl<'recorder> StepEvents<'recorder> {
    /// Records to the given recorder.
    pub fn new(recorder: &'recorder EventRecorder) -> Self {
        Self { recorder }
    }

    /// Records a step that changed the fleet from `before` to `after`.
    pub fn record(
        &self,
        step: &AssemblyStep,
        before: &FabricFleet,
        after: &FabricFleet,
        hosts: &BTreeMap<HostId, HostHealth>,
    ) {
        let record_event =
            |code, subject, detail: String| self.recorder.record(code, subject, detail);
        match step {
            AssemblyStep::Free(host) => {
                record_event(
                    EventCode::HostFreed,
                    EventSubject::host(host),
                    String::new(),
                );
            }
            AssemblyStep::Form { .. } => {
                let Some(plan) = after.plans.last() else {
                    return;
                };
                let subject = EventSubject::replica(&plan.id);
                record_event(EventCode::ReplicaFormed, subject, host_list(&plan.hosts));
            }
            AssemblyStep::Reform {
                replica,
                hosts: ranks,
                ..
            } => {
                self.record_lost_hosts(replica, before, hosts);
                let subject = EventSubject::replica(replica);
                record_event(EventCode::ReplicaReformed, subject, host_list(ranks));
            }
            AssemblyStep::Drain(replica, cause) => {
                self.record_lost_hosts(replica, before, hosts);
                let subject = EventSubject::replica(replica);
                let detail = cause.as_str().to_owned();
                record_event(EventCode::ReplicaDraining, subject, detail);
            }
            AssemblyStep::Undrain(replica) => {
                let subject = EventSubject::replica(replica);
                record_event(
                    EventCode::ReplicaDraining,
                    subject,
                    "the drain ended".to_owned(),
                );
            }
            AssemblyStep::Dissolve(replica) => {
                self.record_lost_hosts(replica, before, hosts);
                let subject = EventSubject::replica(replica);
                record_event(EventCode::ReplicaDissolved, subject, String::new());
            }
        }
    }

    fn record_lost_hosts(
        &self,
        replica: &ReplicaId,
        before: &FabricFleet,
        hosts: &BTreeMap<HostId, HostHealth>,
    ) {
        let Some(plan) = before.plan(replica) else {
            return;
        };
        for host in &plan.hosts {
            if !hosts.get(host).is_some_and(|health| health.lost) {
                continue;
            }
            let subject = EventSubject::host(host).with_replica(replica);
            self.recorder
                .record(EventCode::HostLost, subject, String::new());
        }
    }
}

fn host_list(hosts: &[HostId]) -> String {
    let names: Vec<&str> = hosts.iter().map(HostId::as_str).collect();
    names.join(" ")
}
