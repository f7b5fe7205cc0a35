//! Simple ways of assembling replicas.

use std::collections::BTreeMap;

use policy::assembly::{
    AssemblySettings, AssemblyState, AssemblyStep, DissolveReason, HostPresence, ReplicaStage,
    plan_round,
};

/// Replicas keep their hosts for ever and wait for each to come back.
pub fn plan_fixed_groups(state: &AssemblyState, settings: &AssemblySettings) -> Vec<AssemblyStep> {
    let mut steps = plan_round(state, settings);
    if !state.replicas.is_empty() {
        steps.retain(|step| matches!(step, AssemblyStep::Load { .. }));
    }
    steps
}

/// A replica that lost a host is taken apart, and whatever hosts come first form the next.
pub fn plan_first_fit(state: &AssemblyState, settings: &AssemblySettings) -> Vec<AssemblyStep> {
    let mut steps = Vec::new();
    let present = |id| {
        state.hosts.iter().any(|host| {
            let waits = match host.presence {
                HostPresence::Present | HostPresence::Leaving => true,
                HostPresence::Absent(since) => since < settings.patience,
            };
            host.id == id && waits
        })
    };
    let mut kept = 0;
    for replica in &state.replicas {
        if replica.hosts.iter().all(|host| present(host.clone())) {
            kept += 1;
            if replica.stage == ReplicaStage::Formed {
                let replica = replica.id.clone();
                steps.push(AssemblyStep::Load { replica });
            }
            continue;
        }
        steps.push(AssemblyStep::Dissolve {
            replica: replica.id.clone(),
            reason: DissolveReason::Regrouped,
        });
    }
    let mut free: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for host in &state.hosts {
        if host.replica.is_none() && host.presence == HostPresence::Present {
            free.entry(&host.fabric).or_default().push(host.id.clone());
        }
    }
    for wanted in &state.wanted {
        let size = wanted.hosts_per_replica as usize;
        for _ in kept..wanted.replicas as usize {
            let Some((fabric, hosts)) = free.iter_mut().find(|(_, hosts)| hosts.len() >= size)
            else {
                break;
            };
            steps.push(AssemblyStep::Form {
                model: wanted.model.clone(),
                version: wanted.version.clone(),
                fabric: (*fabric).clone(),
                hosts: hosts.drain(..size).collect(),
            });
        }
    }
    steps
}
