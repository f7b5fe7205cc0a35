//! Selection of the nodes that are responsible for a lease, a replica or any other key.

use domain::{NodeId, RegionId};

use crate::members::{Member, MemberView, rendezvous_weight};

/// A node's rank among the candidates of a lease; 0 is the preferred one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CandidateRank(pub u32);

/// Orders the members by rendezvous hashing over `key`, those that `prefers` selects first.
///
/// Every node computes the same order without communication, the load spreads evenly over 410
/// nodes, and a node that leaves moves only its own share.
#[must_use]
pub fn ranked_nodes<'view>(
    view: &'view MemberView,
    key: &str,
    prefers: impl Fn(&Member) -> bool,
) -> Vec<&'view Member> {
    let mut ranked: Vec<(bool, u64, &Member)> = view
        .members
        .iter()
        .map(|member| {
            (
                !prefers(member),
                rendezvous_weight(key, &member.node),
                member,
            )
        })
        .collect();
    ranked.sort_unstable_by(|left, right| {
        left.0
            .cmp(&right.0)
            .then(right.1.cmp(&left.1))
            .then(left.2.node.cmp(&right.2.node))
    });
    ranked.into_iter().map(|(_, _, member)| member).collect()
}

/// The node's rank among the first `count` candidates; none when it is not one of them.
///
/// Nodes of the lease's own region come first, which keeps orders and probes local; nodes of other
/// regions follow, so that the targets of a region that lost its nodes still get a controller. A
/// node that is not in its own member view takes rank 0 for every lease: surplus candidates cost
/// only reads.
#[must_use]
pub fn candidate_rank(
    view: &MemberView,
    node: &NodeId,
    key: &str,
    region: Option<&RegionId>,
    count: usize,
) -> Option<CandidateRank> {
    let known = view.members.iter().any(|member| member.node == *node);
    if !known {
        return Some(CandidateRank(0));
    }
    let ranked = ranked_nodes(view, key, |member| Some(&member.region) == region);
    let rank = ranked.iter().position(|member| member.node == *node)?;
    if rank >= count {
        return None;
    }
    u32::try_from(rank).ok().map(CandidateRank)
}
