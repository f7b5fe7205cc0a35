//! Tests of peer selection, and that the resulting links connect all nodes.

use std::collections::BTreeSet;

use control::Member;
use control::members::MemberView;
use domain::{FastMap, FastSet, NodeId};
use peers::PeerSettings;
use peers::select::select_peers;

/// Returns nodes in 13 failure domains of 4 regions, the layout expected in two years.
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

fn selections(view: &MemberView) -> FastMap<NodeId, Vec<Member>> {
    let none = FastSet::default();
    let mut selections = FastMap::default();
    for member in &view.members {
        let selected = select_peers(member, view, degree(), &none);
        selections.insert(member.node.clone(), selected);
    }
    selections
}

/// Counts the live nodes that the first live node can reach over links between live nodes.
fn reachable(selections: &FastMap<NodeId, Vec<Member>>, alive: &BTreeSet<NodeId>) -> usize {
    let mut neighbours: FastMap<NodeId, Vec<NodeId>> = FastMap::default();
    for (node, selected) in selections {
        for other in selected {
            if !alive.contains(node) || !alive.contains(&other.node) {
                continue;
            }
            let mut connect = |from: &NodeId, to: &NodeId| {
                neighbours.entry(from.clone()).or_default().push(to.clone());
            };
            connect(node, &other.node);
            connect(&other.node, node);
        }
    }
    let mut seen = BTreeSet::new();
    let mut pending: Vec<NodeId> = alive.first().cloned().into_iter().collect();
    while let Some(node) = pending.pop() {
        if !seen.insert(node.clone()) {
            continue;
        }
        pending.extend(neighbours.get(&node).into_iter().flatten().cloned());
    }
    seen.len()
}

#[test]
fn spread_over_regions() {
    let view = members(410);
    for (node, selected) in selections(&view) {
        let own = view.members.iter().find(|member| member.node == node);
        let own = own.expect("a member");
        assert_eq!(selected.len(), degree());
        assert!(selected.iter().any(|other| other.region != own.region));
        assert!(selected.iter().any(|other| other.domain != own.domain));
        assert!(selected.iter().any(|other| other.domain == own.domain));
        assert!(selected.iter().all(|other| other.node != own.node));
    }
}

#[test]
fn links_connect_all_nodes() {
    for count in [2, 3, 6, 12, 24, 48, 410] {
        let view = members(count);
        let alive: BTreeSet<_> = view
            .members
            .iter()
            .map(|member| member.node.clone())
            .collect();
        assert_eq!(reachable(&selections(&view), &alive), count);
    }
}

// A whole failure domain is lost. The remaining nodes must still be connected by their existing
// links, before any new link is opened.
#[test]
fn domain_lost() {
    let view = members(410);
    let selections = selections(&view);
    for lost in 0..13 {
        let alive: BTreeSet<_> = view
            .members
            .iter()
            .filter(|member| member.domain.as_str() != format!("d{lost}"))
            .map(|member| member.node.clone())
            .collect();
        assert_eq!(
            reachable(&selections, &alive),
            alive.len(),
            "without d{lost}"
        );
    }
}

// Nodes come and go a hundred times a day. If every change moved many links, they would constantly
// be reconnecting.
#[test]
fn selection_is_stable() {
    let view = members(410);
    let before = selections(&view);
    let mut fewer = view.clone();
    fewer.members.remove(100);
    let after = selections(&fewer);
    let moved = after
        .iter()
        .filter(|(node, selected)| before[*node] != **selected)
        .count();
    assert!(moved <= 20, "{moved} nodes moved a link");
}
