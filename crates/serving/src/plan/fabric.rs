//! The plan for one fabric domain.

use domain::{FastMap, FastSet, HostId, ModelName};

use super::fate::{ReplicaFate, judge, known_replicas, replica_model};
use super::forming::{form_replicas, keep_for_successors};
use super::situation::{FabricSituation, HostSituation};
use super::spares::warm_spares;
use super::staging::stage_second;
use super::step::PlanStep;

/// Plans the next steps.
#[must_use]
pub fn plan_fabric(situation: &FabricSituation<'_>) -> Vec<PlanStep> {
    let mut steps = Vec::new();
    let mut lost = Vec::new();
    let mut ending = Vec::new();
    let mut taken: FastSet<&HostId> = FastSet::default();
    let mut standing: FastMap<&ModelName, usize> = FastMap::default();
    for known in known_replicas(situation.hosts) {
        let model = replica_model(&known, situation.models);
        match judge(&known, model, situation, &mut steps) {
            ReplicaFate::Over => continue,
            ReplicaFate::Lost(close) => {
                lost.push(close);
                continue;
            }
            ReplicaFate::Ending(leaving) => ending.extend(model.map(|model| (model, leaving))),
            ReplicaFate::Stays | ReplicaFate::Changing => {}
        }
        for host in known.members.values() {
            taken.insert(&host.id);
        }
        if let Some(model) = model {
            *standing.entry(&model.name).or_default() += 1;
        }
    }
    let mut free: Vec<&HostSituation> = situation
        .hosts
        .iter()
        .filter(|host| host.is_usable())
        .filter(|host| !taken.contains(&host.id))
        .collect();
    let kept = keep_for_successors(&ending, &mut free);
    form_replicas(situation, &mut standing, &mut free, &mut steps);
    free.extend(kept);
    let mut idle_heads = Vec::new();
    for close in lost {
        let PlanStep::Close { head, .. } = &close else {
            continue;
        };
        if free.iter().any(|host| host.id == *head) {
            idle_heads.push(head.clone());
            steps.push(close);
        }
    }
    free.retain(|host| !idle_heads.contains(&host.id));
    warm_spares(situation, &standing, &free, &mut steps);
    stage_second(situation, &mut steps);
    steps
}
