//! Selection of the peers that a node opens links to.

use control::Member;
use control::members::{MemberView, rendezvous_weight};
use domain::FastSet;
use domain::NodeId;

/// Selects at most `degree` peers that `own` opens links to.
///
/// Designed for 410 nodes in 13 failure domains and 4 regions. The number of links per node doesn't
/// depend on the number of nodes, and rendezvous hashing keeps most links in place when nodes come
/// and go. One link leaves the region and one leaves the failure domain, so that no domain is
/// isolated; the others stay within the domain, where messages are cheapest and health evidence
/// matters most. Peers in `avoided`, whose links failed recently, are replaced by the next in rank.
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
    let mut add = |wanted: &dyn Fn(&Member) -> bool, limit: usize| {
        for member in &ranked {
            if chosen.len() >= limit {
                return;
            }
            let already_chosen = chosen.iter().any(|other| other.node == member.node);
            if already_chosen || !wanted(member) {
                continue;
            }
            chosen.push((*member).clone());
        }
    };
    let other_region = |member: &Member| member.region != own.region;
    let other_domain = |member: &Member| member.region == own.region && member.domain != own.domain;
    let same_domain = |member: &Member| member.domain == own.domain && member.region == own.region;
    add(&other_region, degree.min(1));
    add(&other_domain, degree.min(2));
    add(&same_domain, degree);
    add(&|_| true, degree);
    chosen
}
