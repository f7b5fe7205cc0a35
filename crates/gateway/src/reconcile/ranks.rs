//! When a node acts for a fabric domain, and the desired layout of each fabric domain, which is
//! cached between plans: it changes only with the hosts.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use domain::{FabricId, FastMap, ServiceName};
use serving::ModelConfig;
use serving::hashing::stable_hash;
use serving::plan::{FabricCapacity, FabricLayout, PlanStep, compute_layout};

use super::ReplicaReconciler;

/// Delay per rank before a node takes a step. Engines respond to orders within milliseconds and
/// the effect appears in the registry soon after, so a step that is still pending was not taken.
pub(super) const DELAY_PER_RANK: Duration = Duration::from_millis(350);

/// Maximum rank used for the delay. Nodes of higher rank act at about the same time, and the
/// engines reject all orders but one.
const MAX_DELAY_RANK: u32 = 8;

/// Time without new hosts before replicas are formed at the first start. Hosts register over the
/// first seconds, and a plan based on the first few would form the wrong replicas.
const INITIAL_QUIET_TIME: Duration = Duration::from_millis(700);

/// Cached layouts by service.
#[derive(Debug, Default)]
pub(super) struct LayoutCache {
    cached: FastMap<ServiceName, CachedLayout>,
}

#[derive(Debug)]
struct CachedLayout {
    models: Vec<ModelConfig>,
    capacities: BTreeMap<FabricId, FabricCapacity>,
    layout: Rc<FabricLayout>,
}

impl LayoutCache {
    /// Returns the layout for the given capacities, recomputed only if the models, their shares or the
    /// capacities changed.
    pub fn layout(
        &mut self,
        service: &ServiceName,
        models: &[ModelConfig],
        capacities: BTreeMap<FabricId, FabricCapacity>,
    ) -> Rc<FabricLayout> {
        if let Some(cached) = self.cached.get(service)
            && cached.models == models
            && cached.capacities == capacities
        {
            return Rc::clone(&cached.layout);
        }
        let layout = Rc::new(compute_layout(&capacities, models));
        let cached = CachedLayout {
            models: models.to_vec(),
            capacities,
            layout: Rc::clone(&layout),
        };
        self.cached.insert(service.clone(), cached);
        layout
    }
}

impl ReplicaReconciler {
    /// Delay before this node takes a step, so that nodes of lower rank can take it first.
    pub(super) fn step_delay(&self, fabric: &FabricId, step: &PlanStep) -> Duration {
        let node = &self.node;
        let node_name = node.settings.node.as_str();
        let formed_here = match step {
            PlanStep::Open { replica, .. } | PlanStep::Close { replica, .. } => {
                replica.as_str().contains(&self.node_tag())
            }
            // Other nodes may have chosen another replica to yield, so all wait for the node of
            // rank 0.
            PlanStep::Yield { .. }
            | PlanStep::Form { .. }
            | PlanStep::Warm { .. }
            | PlanStep::Stage { .. } => false,
        };
        if formed_here {
            return Duration::ZERO;
        }
        let rank = node.fabric_rank(fabric);
        let rank = u32::try_from(rank)
            .unwrap_or(MAX_DELAY_RANK)
            .min(MAX_DELAY_RANK);
        // Until other nodes are known, use a pseudorandom rank.
        let rank = if node.with_live_nodes(<[String]>::is_empty) {
            let random_rank =
                stable_hash(&(node_name, fabric.as_str())) % u64::from(MAX_DELAY_RANK);
            u32::try_from(random_rank).unwrap_or(0)
        } else {
            rank
        };
        // Other nodes may still reach the store and have newer data.
        let extra_rank = u32::from(node.is_store_unreachable());
        let delay = DELAY_PER_RANK * (rank + extra_rank);
        match step {
            PlanStep::Form { .. } | PlanStep::Warm { .. } if node.is_bootstrapping() => {
                // Measured from the last new host, because all steps have been waiting since
                // startup.
                let quiet_time = node.time_since_host_change();
                if quiet_time < INITIAL_QUIET_TIME + delay {
                    Duration::MAX
                } else {
                    delay
                }
            }
            PlanStep::Form { .. } | PlanStep::Warm { .. } => delay,
            // The effect shows only after the load, and nothing waits for it.
            PlanStep::Stage { model, .. } => self.staging_time(model) * (rank + extra_rank),
            // The node that formed or closed the replica continues at once.
            PlanStep::Open { .. } | PlanStep::Close { .. } | PlanStep::Yield { .. } => {
                delay + DELAY_PER_RANK
            }
        }
    }
}
