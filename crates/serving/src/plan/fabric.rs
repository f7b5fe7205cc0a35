//! The plan for one fabric domain.

use domain::ModelName;

use super::exchange::{ServingReplica, yield_replicas};
use super::fate::{ReplicaFate, judge, known_replicas, replica_model};
use super::forming::{form_replicas, keep_for_successors};
use super::spares::warm_spares;
use super::staging::stage_second;
use super::state::{FabricState, HostState};
use super::step::PlanStep;
use super::tally::ReplicaTally;
use crate::route::ModelConfig;

/// What to do in a fabric domain, and what was found there.
#[derive(Debug, Default)]
pub struct FabricPlan {
    /// The next steps.
    pub steps: Vec<PlanStep>,
    /// What was found.
    pub summary: FabricSummary,
}

/// Replicas and idle hosts of a fabric domain before the steps of a plan.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FabricSummary {
    /// Its models.
    pub models: Vec<ModelSummary>,
    /// Usable hosts in no replica that stands.
    pub idle_hosts: usize,
}

/// Replicas of one model in a fabric domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelSummary {
    /// The model.
    pub model: ModelName,
    /// Replicas that serve, form or end.
    pub current: usize,
    /// Replicas that the domain should have.
    pub desired: usize,
}

/// Plans the next steps.
#[must_use]
pub fn plan_fabric(situation: &FabricState<'_>) -> FabricPlan {
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
    let mut free: Vec<&HostState> = situation
        .hosts
        .iter()
        .filter(|host| host.is_usable())
        .filter(|host| !tally.is_taken(&host.id))
        .collect();
    let summary = summarize(situation, &tally, free.len());
    let kept = keep_for_successors(&ending, &mut free);
    form_replicas(situation, &mut tally, &mut free, &mut steps);
    yield_replicas(situation, &tally, &serving, &mut steps);
    free.extend(kept);
    close_idle_heads(lost, &mut free, &mut steps);
    warm_spares(situation, &tally, &free, &mut steps);
    stage_second(situation, &mut steps);
    FabricPlan { steps, summary }
}

/// Closes heads of lost replicas that nobody joined; they get no other step.
fn close_idle_heads(lost: Vec<PlanStep>, free: &mut Vec<&HostState>, steps: &mut Vec<PlanStep>) {
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

fn summarize(
    situation: &FabricState<'_>,
    tally: &ReplicaTally<'_>,
    idle_hosts: usize,
) -> FabricSummary {
    let count = |model: &ModelConfig| ModelSummary {
        model: model.name.clone(),
        current: tally.standing(&model.name),
        desired: tally.wanted(&model.name),
    };
    FabricSummary {
        models: situation.models.iter().map(count).collect(),
        idle_hosts,
    }
}
