//! Which nodes watch a lease, a replica or whatever else has a name.

use domain::{NodeId, RegionId};

use crate::members::{Member, MemberView, rendezvous_weight};

/// A node's rank among the candidates of a lease; 0 is the first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CandidateRank(pub u32);

/// Members by rendezvous hashing over `key`, those that `prefers` picks before the others.
///
/// Every node comes to the same order without talking, work spreads evenly over 410 nodes, and a
/// node that leaves moves only its own share.
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

/// The node's rank among the first `count` candidates; none when it is not among them.
///
/// Nodes of the lease's own region come first, so that orders and probes stay near; nodes of other
/// regions follow, so that the loss of a region's nodes leaves its targets a controller. A node
/// that knows no members takes the first rank everywhere: too many candidates cost only reads.
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
