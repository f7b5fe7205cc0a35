//! Whose turn it is, and what each fabric domain should hold; both kept between plans.
//!
//! At a hundred nodes and as many fabric domains a plan that ranked all nodes for all domains and
//! laid all of them out anew took a seventh of a core of each node (ten machines: a thirtieth).
//! Ranks change with the nodes and the layout with the hosts, both far less often than a plan.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use domain::{ConfigRevision, FabricId, FastMap, ServiceName};
use serving::ServiceConfig;
use serving::hashing::{rendezvous_rank, stable_hash};
use serving::plan::{FabricCapacity, FabricLayout, PlanStep, compute_layout};

use super::ReplicaReconciler;
use crate::node::GatewayNode;

/// Time that each node leaves to the one before it. Orders are answered within milliseconds and
/// their effect stands in the registry soon after, so a step that still waits was not taken.
const TURN: Duration = Duration::from_millis(350);

/// Turns counted at most; of many nodes the later ones act at about the same time, and the
/// engines refuse all but one.
const MAX_TURNS: u32 = 8;

/// Quiet time after the last new host before replicas are formed at the first start. Hosts
/// register over the first seconds, and a plan on the first few forms the wrong replicas.
const GATHER_TIME: Duration = Duration::from_millis(700);

/// Ranks of this node for fabric domains.
#[derive(Debug, Default)]
pub(super) struct TurnRanks {
    counted: u64,
    ranks: FastMap<FabricId, usize>,
}

impl TurnRanks {
    /// How many nodes go before this one.
    pub fn rank(&mut self, node: &GatewayNode, fabric: &FabricId) -> usize {
        if self.counted != node.nodes_generation() {
            self.counted = node.nodes_generation();
            self.ranks.clear();
        }
        if let Some(rank) = self.ranks.get(fabric) {
            return *rank;
        }
        let own = node.settings.node.as_str();
        let rank = node.with_live_nodes(|nodes| {
            rendezvous_rank(own, nodes.iter().map(String::as_str), fabric.as_str())
        });
        self.ranks.insert(fabric.clone(), rank);
        rank
    }
}

/// Layouts by service.
#[derive(Debug, Default)]
pub(super) struct KeptLayouts {
    kept: FastMap<ServiceName, KeptLayout>,
}

#[derive(Debug)]
struct KeptLayout {
    revision: ConfigRevision,
    capacities: BTreeMap<FabricId, FabricCapacity>,
    layout: Rc<FabricLayout>,
}

impl KeptLayouts {
    /// The layout for what each fabric domain has.
    pub fn layout(
        &mut self,
        service: &ServiceConfig,
        revision: ConfigRevision,
        capacities: BTreeMap<FabricId, FabricCapacity>,
    ) -> Rc<FabricLayout> {
        if let Some(kept) = self.kept.get(&service.name)
            && kept.revision == revision
            && kept.capacities == capacities
        {
            return Rc::clone(&kept.layout);
        }
        let layout = Rc::new(compute_layout(&capacities, &service.models));
        let kept = KeptLayout {
            revision,
            capacities,
            layout: Rc::clone(&layout),
        };
        self.kept.insert(service.name.clone(), kept);
        layout
    }
}

impl ReplicaReconciler {
    /// How long this node leaves a step to those before it.
    pub(super) fn turn(&self, fabric: &FabricId, step: &PlanStep) -> Duration {
        let node = &self.node;
        let own = node.settings.node.as_str();
        let made_here = match step {
            PlanStep::Open { replica, .. } | PlanStep::Close { replica, .. } => {
                replica.as_str().contains(&self.node_tag())
            }
            // Others may have chosen another replica to give up; all wait for the first in turn.
            PlanStep::Yield { .. }
            | PlanStep::Form { .. }
            | PlanStep::Warm { .. }
            | PlanStep::Stage { .. } => false,
        };
        if made_here {
            return Duration::ZERO;
        }
        let rank = self.ranks.borrow_mut().rank(node, fabric);
        let rank = u32::try_from(rank).unwrap_or(MAX_TURNS).min(MAX_TURNS);
        // Until the others are known, nodes take turns by chance.
        let rank = if node.with_live_nodes(<[String]>::is_empty) {
            let chance = stable_hash(&(own, fabric.as_str())) % u64::from(MAX_TURNS);
            u32::try_from(chance).unwrap_or(0)
        } else {
            rank
        };
        // Others may still reach the store, and know more.
        let blind = u32::from(node.is_store_unreachable());
        let turn = TURN * (rank + blind);
        match step {
            PlanStep::Form { .. } | PlanStep::Warm { .. } if node.is_bootstrapping() => {
                // The wait counts from the last new host: all have waited since their start.
                let quiet = node.time_since_host_change();
                if quiet < GATHER_TIME + turn {
                    Duration::MAX
                } else {
                    turn
                }
            }
            PlanStep::Form { .. } | PlanStep::Warm { .. } => turn,
            // Its effect shows only when the weights are there, and nobody waits for them.
            PlanStep::Stage { model, .. } => self.staging_time(model) * (rank + blind),
            // Whoever formed or closed a replica goes on with it at once.
            PlanStep::Open { .. } | PlanStep::Close { .. } | PlanStep::Yield { .. } => turn + TURN,
        }
    }
}
