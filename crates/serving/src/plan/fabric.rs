//! The plan for one fabric domain.

use domain::ModelName;

use super::exchange::{ServingReplica, yield_replicas};
use super::fate::{ReplicaFate, judge, known_replicas, replica_model};
use super::forming::{form_replicas, keep_for_successors};
use super::situation::{FabricSituation, HostSituation};
use super::spares::warm_spares;
use super::staging::stage_second;
use super::step::PlanStep;
use super::tally::ReplicaTally;
use crate::route::ModelConfig;

/// What to do in a fabric domain, and what was found there.
#[derive(Debug, Default)]
pub struct FabricPlan {
    /// The next steps.
    pub steps: Vec<PlanStep>,
    /// What was found.
    pub census: FabricCensus,
}

/// Replicas and idle hosts of a fabric domain before the steps of a plan.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FabricCensus {
    /// Its models.
    pub models: Vec<ModelCensus>,
    /// Usable hosts in no replica that stands.
    pub idle_hosts: usize,
}

/// Replicas of one model in a fabric domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelCensus {
    /// The model.
    pub model: ModelName,
    /// Replicas that serve, form or end.
    pub standing: usize,
    /// Replicas that the domain should have.
    pub wanted: usize,
}

/// Plans the next steps.
#[must_use]
pub fn plan_fabric(situation: &FabricSituation<'_>) -> FabricPlan {
    let mut steps = Vec::new();
    let mut lost = Vec::new();
    let mut ending = Vec::new();
    let mut serving = Vec::new();
    let mut tally = ReplicaTally::new(situation);
    for known in known_replicas(situation.hosts) {
        let model = replica_model(&known, situation.models);
        let fate = judge(&known, model, situation, &mut steps);
        match fate {
            ReplicaFate::Over => continue,
            ReplicaFate::Lost(close) => {
                lost.push(close);
                continue;
            }
            ReplicaFate::Ending(leaving) => ending.extend(model.map(|model| (model, leaving))),
            ReplicaFate::Stays | ReplicaFate::Changing => {}
        }
        tally.stand(model, known.members.values().map(|host| &host.id));
        if let (ReplicaFate::Stays, Some(model)) = (fate, model) {
            serving.push(ServingReplica { known, model });
        }
    }
    let mut free: Vec<&HostSituation> = situation
        .hosts
        .iter()
        .filter(|host| host.is_usable())
        .filter(|host| !tally.is_taken(&host.id))
        .collect();
    let census = take_census(situation, &tally, free.len());
    let kept = keep_for_successors(&ending, &mut free);
    form_replicas(situation, &mut tally, &mut free, &mut steps);
    yield_replicas(situation, &tally, &serving, &mut steps);
    free.extend(kept);
    close_idle_heads(lost, &mut free, &mut steps);
    warm_spares(situation, &tally, &free, &mut steps);
    stage_second(situation, &mut steps);
    FabricPlan { steps, census }
}

/// Closes heads of lost replicas that nobody joined; they get no other step.
fn close_idle_heads(
    lost: Vec<PlanStep>,
    free: &mut Vec<&HostSituation>,
    steps: &mut Vec<PlanStep>,
) {
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
}

fn take_census(
    situation: &FabricSituation<'_>,
    tally: &ReplicaTally<'_>,
    idle_hosts: usize,
) -> FabricCensus {
    let count = |model: &ModelConfig| ModelCensus {
        model: model.name.clone(),
        standing: tally.standing(&model.name),
        wanted: tally.wanted(&model.name),
    };
    FabricCensus {
        models: situation.models.iter().map(count).collect(),
        idle_hosts,
    }
}
