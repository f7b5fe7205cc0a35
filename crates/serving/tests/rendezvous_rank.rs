//! The order in which nodes act for a fabric domain.

use serving::hashing::rendezvous_rank;

const NODES: [&str; 6] = ["n0", "n1", "n2", "n3", "n4", "n5"];

fn order(nodes: &[&str], subject: &str) -> Vec<String> {
    let mut ranked: Vec<(usize, String)> = nodes
        .iter()
        .map(|node| {
            (
                rendezvous_rank(node, nodes.iter().copied(), subject),
                (*node).to_owned(),
            )
        })
        .collect();
    ranked.sort();
    ranked.into_iter().map(|(_, node)| node).collect()
}

#[test]
fn ranks_differ() {
    let ranks: Vec<usize> = order(&NODES, "f0")
        .iter()
        .map(|node| rendezvous_rank(node, NODES, "f0"))
        .collect();
    assert_eq!(ranks, [0, 1, 2, 3, 4, 5]);
}

/// When a node is lost, the order of the others stays the same for each subject, so only the
/// subjects of the lost node move.
#[test]
fn loss_keeps_order() {
    for subject in 0..40 {
        let subject = format!("f{subject}");
        let before = order(&NODES, &subject);
        let remaining: Vec<&str> = NODES.iter().copied().filter(|node| *node != "n2").collect();
        let after = order(&remaining, &subject);
        let expected: Vec<String> = before.into_iter().filter(|node| node != "n2").collect();
        assert_eq!(after, expected);
    }
}

#[test]
fn subjects_spread_evenly() {
    let mut firsts = [0_u32; 6];
    for subject in 0..600 {
        let subject = format!("fabric-{subject}");
        let first = order(&NODES, &subject).remove(0);
        let index = NODES
            .iter()
            .position(|node| *node == first)
            .expect("a node");
        firsts[index] += 1;
    }
    assert!(
        firsts.iter().all(|count| (60..=150).contains(count)),
        "{firsts:?}"
    );
}
