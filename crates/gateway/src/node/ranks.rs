//! Order in which nodes act for a fabric domain, cached between changes of the set of nodes.
//!
//! With a hundred nodes and as many fabric domains, computing the ranks for every plan took a
//! seventh of a core per node.

use domain::{FabricId, FastMap, HostId};
use serving::hashing::rendezvous_rank;

use super::GatewayNode;

/// Cached rank of this node per fabric domain.
#[derive(Debug, Default)]
pub(super) struct FabricRanks {
    generation: u64,
    ranks: FastMap<FabricId, usize>,
}

impl GatewayNode {
    /// Number of nodes that act for the fabric domain before this one.
    #[must_use]
    pub fn fabric_rank(&self, fabric: &FabricId) -> usize {
        let mut cached = self.fabric_ranks.borrow_mut();
        if cached.generation != self.nodes_generation() {
            cached.generation = self.nodes_generation();
            cached.ranks.clear();
        }
        if let Some(rank) = cached.ranks.get(fabric) {
            return *rank;
        }
        let name = self.settings.node.as_str();
        let rank = self.with_live_nodes(|nodes| {
            rendezvous_rank(name, nodes.iter().map(String::as_str), fabric.as_str())
        });
        cached.ranks.insert(fabric.clone(), rank);
        rank
    }

    /// Rank of this node for the fabric domain of a host; 0 if the host is in none.
    #[must_use]
    pub fn host_rank(&self, id: &HostId) -> usize {
        let fabric = self.registry(|registry| registry.get(id)?.fabric.clone());
        fabric.map_or(0, |fabric| self.fabric_rank(&fabric))
    }
}
