//! The plan for one fabric domain.

use domain::ModelName;

use super::counts::ReplicaCounts;
use super::forming::{form_replicas, reserve_for_successors};
use super::rebalance::{ServingReplica, yield_replicas};
use super::replica_status::{ReplicaStatus, assess, observe_replicas, replica_model};
use super::spares::warm_spares;
use super::staging::stage_second_models;
use super::state::{FabricState, HostState};
use super::step::PlanStep;
use crate::route::ModelConfig;

/// Plan for a fabric domain, with a summary of the state that it starts from.
#[derive(Debug, Default)]
pub struct FabricPlan {
    /// Steps to take now; empty if nothing is to be done.
    pub steps: Vec<PlanStep>,
    /// Replicas and idle hosts before the steps.
    pub summary: FabricSummary,
}

/// Replicas and idle hosts of a fabric domain before the steps of a plan.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FabricSummary {
    /// Replica counts of each model, in the order of the configuration.
    pub models: Vec<ModelSummary>,
    /// Usable hosts that are in no existing replica.
    pub idle_hosts: usize,
}

/// Replica counts of one model in a fabric domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelSummary {
    /// Model that the replicas serve.
    pub model: ModelName,
    /// Replicas that serve, form or close.
    pub current: usize,
    /// Replicas that the layout assigns to the domain.
    pub desired: usize,
}

/// Plans the next steps for a fabric domain: replicas open or close, free hosts form new ones,
/// replicas of models with more coverage are given up, and hosts left over load or stage models.
#[must_use]
pub fn plan_fabric(fabric: &FabricState<'_>) -> FabricPlan {
    let mut steps = Vec::new();
    let mut failed = Vec::new();
    let mut closing = Vec::new();
    let mut serving = Vec::new();
    let mut counts = ReplicaCounts::new(fabric);
    for observed in observe_replicas(fabric.hosts) {
        let model = replica_model(&observed, fabric.models);
        let status = assess(&observed, model, fabric, &mut steps);
        match status {
            ReplicaStatus::Released => continue,
            ReplicaStatus::Failed(close) => {
                failed.push(close);
                continue;
            }
            ReplicaStatus::Closing(leaving) => closing.extend(model.map(|model| (model, leaving))),
            ReplicaStatus::Serving | ReplicaStatus::InTransition => {}
        }
        counts.add_existing(model, &observed);
        if let (ReplicaStatus::Serving, Some(model)) = (status, model) {
            serving.push(ServingReplica { observed, model });
        }
    }
    let mut free: Vec<&HostState> = fabric
        .hosts
        .iter()
        .filter(|host| host.is_usable())
        .filter(|host| !counts.is_taken(&host.id))
        .collect();
    let summary = summarize(fabric, &counts, free.len());
    let reserved = reserve_for_successors(&closing, &mut free);
    form_replicas(fabric, &mut counts, &mut free, &mut steps);
    yield_replicas(fabric, &counts, &serving, &mut steps);
    free.extend(reserved);
    close_idle_heads(fabric, failed, &mut free, &mut steps);
    warm_spares(fabric, &counts, &free, &mut steps);
    stage_second_models(fabric, &mut steps);
    FabricPlan { steps, summary }
}

/// Closes the heads of failed replicas that were not used for a new replica. They get no other
/// step. Evacuated heads are not free, since they join no replica, and are closed as well.
fn close_idle_heads(
    fabric: &FabricState<'_>,
    failed: Vec<PlanStep>,
    free: &mut Vec<&HostState>,
    steps: &mut Vec<PlanStep>,
) {
    let mut idle_heads = Vec::new();
    for close in failed {
        let PlanStep::Close { head, .. } = &close else {
            continue;
        };
        let mut hosts = fabric.hosts.iter();
        let is_evacuated = hosts.any(|host| host.id == *head && host.may_close_evacuated());
        if is_evacuated || free.iter().any(|host| host.id == *head) {
            idle_heads.push(head.clone());
            steps.push(close);
        }
    }
    free.retain(|host| !idle_heads.contains(&host.id));
}

fn summarize(
    fabric: &FabricState<'_>,
    counts: &ReplicaCounts<'_>,
    idle_hosts: usize,
) -> FabricSummary {
    let count = |model: &ModelConfig| ModelSummary {
        model: model.name.clone(),
        current: counts.current(&model.name),
        desired: counts.desired(&model.name),
    };
    FabricSummary {
        models: fabric.models.iter().map(count).collect(),
        idle_hosts,
    }
}
