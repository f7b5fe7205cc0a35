//! Events of assembly.

use std::collections::BTreeMap;

use domain::{FabricFleet, HostId, ReplicaId};
use events::{EventCode, EventRecorder, EventSubject};

use super::{AssemblyStep, HostHealth};

/// Notes steps that took effect.
#[derive(Debug)]
pub struct StepJournal<'parts> {
    recorder: &'parts EventRecorder,
}

impl<'parts> StepJournal<'parts> {
    /// A journal.
    pub fn new(recorder: &'parts EventRecorder) -> Self {
        Self { recorder }
    }

    /// Notes a step that led from the fleet `before` to the fleet `after`.
    pub fn note_step(
        &self,
        step: &AssemblyStep,
        before: &FabricFleet,
        after: &FabricFleet,
        hosts: &BTreeMap<HostId, HostHealth>,
    ) {
        let note = |code, subject, detail: String| self.recorder.note(code, subject, detail);
        match step {
            AssemblyStep::Free(host) => {
                note(
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
                note(EventCode::ReplicaFormed, subject, host_list(&plan.hosts));
            }
            AssemblyStep::Reform {
                replica,
                hosts: ranks,
                ..
            } => {
                self.note_lost(replica, before, hosts);
                let subject = EventSubject::replica(replica);
                note(EventCode::ReplicaReformed, subject, host_list(ranks));
            }
            AssemblyStep::Drain(replica, cause) => {
                self.note_lost(replica, before, hosts);
                let subject = EventSubject::replica(replica);
                let detail = cause.as_str().to_owned();
                note(EventCode::ReplicaDraining, subject, detail);
            }
            AssemblyStep::Undrain(replica) => {
                let subject = EventSubject::replica(replica);
                note(EventCode::ReplicaDraining, subject, "no longer".to_owned());
            }
            AssemblyStep::Dissolve(replica) => {
                self.note_lost(replica, before, hosts);
                let subject = EventSubject::replica(replica);
                note(EventCode::ReplicaDissolved, subject, String::new());
            }
        }
    }

    fn note_lost(
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
            let subject = EventSubject::host(host).and_replica(replica);
            self.recorder
                .note(EventCode::HostLost, subject, String::new());
        }
    }
}

fn host_list(hosts: &[HostId]) -> String {
    let names: Vec<&str> = hosts.iter().map(HostId::as_str).collect();
    names.join(" ")
}
