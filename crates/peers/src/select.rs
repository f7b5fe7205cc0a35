//! Which peers a node links to.

use control::Member;
use control::members::{MemberView, rendezvous_weight};
use domain::FastSet;
use domain::NodeId;

/// Picks the peers that `own` makes links to, `degree` at most.
///
/// Made for 410 nodes in 13 failure domains and 4 regions: each node makes the same few links
/// however many nodes there are, and by rendezvous hashing the choice moves little when nodes come
/// and go. One link leaves the region and one leaves the failure domain, so that no domain is an
/// island; the others stay in the own domain, where a message costs least and evidence matters
/// most. `avoided` are peers whose link failed lately; their place goes to the next in rank.
#[must_use]
pub fn select_peers(
    own: &Member,
    view: &MemberView,
    degree: usize,
    avoided: &FastSet<NodeId>,
) -> Vec<Member> {
    let mut ranked: Vec<&Member> = view
        .members
        .iter()
        .filter(|member| member.node != own.node && !avoided.contains(&member.node))
        .collect();
    let key = format!("link.{}", own.node);
    ranked.sort_by_cached_key(|member| std::cmp::Reverse(rendezvous_weight(&key, &member.node)));
    let mut chosen: Vec<Member> = Vec::new();
    let mut take = |wanted: &dyn Fn(&Member) -> bool, limit: usize| {
        for member in &ranked {
            if chosen.len() >= limit {
                return;
            }
            let taken = chosen.iter().any(|other| other.node == member.node);
            if taken || !wanted(member) {
                continue;
            }
            chosen.push((*member).clone());
        }
    };
    let abroad = |member: &Member| member.region != own.region;
    let next_door = |member: &Member| member.region == own.region && member.domain != own.domain;
    let near = |member: &Member| member.domain == own.domain && member.region == own.region;
    take(&abroad, degree.min(1));
    take(&next_door, degree.min(2));
    take(&near, degree);
    take(&|_| true, degree);
    chosen
}
