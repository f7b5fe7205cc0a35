//! The tree along which nodes pass on what they read from the store.
//!
//! Each failure domain has a tree of its own, so that a change crosses to the domain once. Nodes
//! are ordered by rendezvous hashing; the first is the root and reads the store, and each other
//! node follows one before it. No node is elected: views that differ cost extra reads, and a loop
//! of nodes that follow each other ends by the age of the data.

use crate::hashing::stable_hash;

/// Number of nodes that follow one node. Bounds the bytes that a node sends on, however many nodes
/// there are; three levels hold 73 nodes.
pub const TREE_FANOUT: usize = 8;

/// Number of nodes in a failure domain from which they follow each other. Fewer save too few calls
/// to be worth a delay.
pub const MIN_FOLLOWING_NODES: usize = 8;

/// Number of nodes that stand in for the root, each if those before it are lost or cut off as well.
const DEPUTIES: usize = 3;

/// Sorts the nodes of a failure domain by their ranks in its tree.
#[must_use]
pub fn feed_order<'a>(domain: &str, nodes: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut order: Vec<&str> = nodes.into_iter().collect();
    order.sort_by_key(|node| (std::cmp::Reverse(stable_hash(&(*node, domain))), *node));
    order
}

/// Ranks that the node of a rank may follow, the preferred one first: its ancestors, then the
/// deputies of the root. Empty for the root, and in a domain with few nodes.
///
/// All are lower than `rank`, so nodes that agree on the order never follow each other in a loop.
#[must_use]
pub fn feed_sources(rank: usize, nodes: usize) -> Vec<usize> {
    let mut sources = Vec::new();
    if nodes < MIN_FOLLOWING_NODES {
        return sources;
    }
    let mut ancestor = rank;
    while ancestor > 0 {
        ancestor = (ancestor - 1) / TREE_FANOUT;
        sources.push(ancestor);
    }
    // Without deputies, all children of a lost root would read the store.
    for deputy in 1..=DEPUTIES {
        if deputy < rank && !sources.contains(&deputy) {
            sources.push(deputy);
        }
    }
    sources
}

/// Ranks in another failure domain of which a cut-off node asks one or two: they are near the store,
/// and together carry the cut-off nodes of the others.
const FALLBACK_RANKS: usize = 5;

/// Nodes of each other failure domain that a node may follow while it is cut off from the store.
const FALLBACKS_PER_DOMAIN: usize = 2;

/// Nodes of another failure domain that `node` follows while the store and all sources in its own
/// domain turn it away, the preferred one first. `order` is the order of the other domain's tree.
#[must_use]
pub fn fallback_sources<'a>(node: &str, order: &[&'a str]) -> Vec<&'a str> {
    let candidates = &order[..order.len().min(FALLBACK_RANKS)];
    let mut fallbacks = candidates.to_vec();
    fallbacks.sort_by_key(|fallback| stable_hash(&(node, *fallback)));
    fallbacks.truncate(FALLBACKS_PER_DOMAIN);
    fallbacks
}

/// Number of nodes between the node of a rank and the store; 0 for the root.
#[must_use]
pub fn tree_depth(rank: usize) -> u32 {
    let mut depth = 0;
    let mut ancestor = rank;
    while ancestor > 0 {
        ancestor = (ancestor - 1) / TREE_FANOUT;
        depth += 1;
    }
    depth
}
