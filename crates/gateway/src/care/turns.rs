//! Whose turn it is, and what each fabric domain should hold; both kept between plans.
//!
//! At a hundred nodes and as many fabric domains a plan that ranked all nodes for all domains and
//! laid all of them out anew took a seventh of a core of each node (ten machines: a thirtieth).
//! Ranks change with the nodes and the layout with the hosts, both far less often than a plan.

use std::collections::BTreeMap;
use std::rc::Rc;

use domain::{ConfigRevision, FabricId, FastMap, ServiceName};
use serving::ServiceShape;
use serving::plan::{FabricLayout, lay_out};
use serving::rank::rendezvous_rank;

use crate::node::GatewayNode;

/// Ranks of this node for fabric domains.
#[derive(Debug, Default)]
pub(super) struct TurnRanks {
    counted: u64,
    ranks: FastMap<FabricId, usize>,
}

impl TurnRanks {
    /// How many nodes go before this one.
    pub fn rank(&mut self, node: &GatewayNode, fabric: &FabricId) -> usize {
        if self.counted != node.nodes_counted() {
            self.counted = node.nodes_counted();
            self.ranks.clear();
        }
        if let Some(rank) = self.ranks.get(fabric) {
            return *rank;
        }
        let own = node.settings.node.as_str();
        let rank = node.with_nodes(|nodes| {
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
    hosts: BTreeMap<FabricId, usize>,
    layout: Rc<FabricLayout>,
}

impl KeptLayouts {
    /// The layout for the hosts that each fabric domain has.
    pub fn layout(
        &mut self,
        service: &ServiceShape,
        revision: ConfigRevision,
        hosts: BTreeMap<FabricId, usize>,
    ) -> Rc<FabricLayout> {
        if let Some(kept) = self.kept.get(&service.name)
            && kept.revision == revision
            && kept.hosts == hosts
        {
            return Rc::clone(&kept.layout);
        }
        let layout = Rc::new(lay_out(&hosts, &service.models));
        let kept = KeptLayout {
            revision,
            hosts,
            layout: Rc::clone(&layout),
        };
        self.kept.insert(service.name.clone(), kept);
        layout
    }
}
