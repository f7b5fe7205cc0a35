//! Which peers are chosen, and that the links hold all nodes together.

use std::collections::BTreeSet;

use control::Member;
use control::members::MemberView;
use domain::{FastMap, FastSet, NodeId};
use peers::PeerSettings;
use peers::select::select_peers;

/// Nodes in 13 failure domains of 4 regions, as in two years' time.
fn members(count: usize) -> MemberView {
    let mut members: Vec<Member> = (0..count)
        .map(|number| Member {
            node: format!("e{number:03}").parse().expect("a node"),
            address: "127.0.0.1:1".parse().expect("an address"),
            domain: format!("d{}", number % 13).parse().expect("a domain"),
            region: format!("r{}", number % 13 % 4).parse().expect("a region"),
            admin: None,
        })
        .collect();
    members.sort_by(|left, right| left.node.cmp(&right.node));
    MemberView { members }
}

fn degree() -> usize {
    PeerSettings::default().degree
}

fn choices(view: &MemberView) -> FastMap<NodeId, Vec<Member>> {
    let none = FastSet::default();
    let mut choices = FastMap::default();
    for member in &view.members {
        let chosen = select_peers(member, view, degree(), &none);
        choices.insert(member.node.clone(), chosen);
    }
    choices
}

fn reached(choices: &FastMap<NodeId, Vec<Member>>, alive: &BTreeSet<NodeId>) -> usize {
    let mut neighbours: FastMap<NodeId, Vec<NodeId>> = FastMap::default();
    for (node, chosen) in choices {
        for other in chosen {
            if !alive.contains(node) || !alive.contains(&other.node) {
                continue;
            }
            let mut join = |from: &NodeId, to: &NodeId| {
                neighbours.entry(from.clone()).or_default().push(to.clone());
            };
            join(node, &other.node);
            join(&other.node, node);
        }
    }
    let mut seen = BTreeSet::new();
    let mut open: Vec<NodeId> = alive.first().cloned().into_iter().collect();
    while let Some(node) = open.pop() {
        if !seen.insert(node.clone()) {
            continue;
        }
        open.extend(neighbours.get(&node).into_iter().flatten().cloned());
    }
    seen.len()
}

#[test]
fn spread_over_regions() {
    let view = members(410);
    for (node, chosen) in choices(&view) {
        let own = view.members.iter().find(|member| member.node == node);
        let own = own.expect("a member");
        assert_eq!(chosen.len(), degree());
        assert!(chosen.iter().any(|other| other.region != own.region));
        assert!(chosen.iter().any(|other| other.domain != own.domain));
        assert!(chosen.iter().any(|other| other.domain == own.domain));
        assert!(chosen.iter().all(|other| other.node != own.node));
    }
}

#[test]
fn links_hold_together() {
    for count in [2, 3, 6, 12, 24, 48, 410] {
        let view = members(count);
        let alive: BTreeSet<_> = view
            .members
            .iter()
            .map(|member| member.node.clone())
            .collect();
        assert_eq!(reached(&choices(&view), &alive), count);
    }
}

// A whole failure domain goes dark. The nodes that are left must still hear each other over the
// links that stand, before any new link is made.
#[test]
fn domain_lost() {
    let view = members(410);
    let choices = choices(&view);
    for lost in 0..13 {
        let alive: BTreeSet<_> = view
            .members
            .iter()
            .filter(|member| member.domain.as_str() != format!("d{lost}"))
            .map(|member| member.node.clone())
            .collect();
        assert_eq!(reached(&choices, &alive), alive.len(), "without d{lost}");
    }
}

// Nodes come and go a hundred times a day. If every change moved every link, the links would
// hardly ever stand.
#[test]
fn choice_moves_little() {
    let view = members(410);
    let before = choices(&view);
    let mut fewer = view.clone();
    fewer.members.remove(100);
    let after = choices(&fewer);
    let moved = after
        .iter()
        .filter(|(node, chosen)| before[*node] != **chosen)
        .count();
    assert!(moved <= 20, "{moved} nodes moved a link");
}
