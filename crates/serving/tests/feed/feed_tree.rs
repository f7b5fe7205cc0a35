//! Hundreds of nodes that each read the store cost it a call a node; a tree must keep the readers
//! few and every node reachable whatever single node is lost.

use serving::feed::{
    MIN_FOLLOWING_NODES, TREE_FANOUT, fallback_sources, feed_order, feed_sources, tree_depth,
};

#[test]
fn one_reader_per_domain() {
    for nodes in [8, 21, 64, 67, 137] {
        let readers = (0..nodes).filter(|rank| feed_sources(*rank, nodes).is_empty());
        assert_eq!(readers.count(), 1);
    }
}

#[test]
fn few_nodes_read_themselves() {
    for rank in 0..MIN_FOLLOWING_NODES - 1 {
        assert!(feed_sources(rank, MIN_FOLLOWING_NODES - 1).is_empty());
    }
}

/// Guards against a loss of the root after which all of its children read the store.
#[test]
fn deputies_replace_root() {
    for rank in 4..=TREE_FANOUT {
        assert_eq!(feed_sources(rank, 64), vec![0, 1, 2, 3]);
    }
    assert_eq!(feed_sources(1, 64), vec![0]);
    assert_eq!(feed_sources(2, 64), vec![0, 1]);
}

cases::properties! {
    /// Guards against nodes that follow each other in a loop and never hear of a change.
    fn sources_rank_before(rank: u8, nodes: u8) -> bool {
        let (rank, nodes) = (usize::from(rank), usize::from(nodes));
        feed_sources(rank, nodes).iter().all(|source| *source < rank)
    }

    /// Guards against a node whose link carries the changes to a whole failure domain.
    fn fanout_is_bounded(nodes: u8) -> bool {
        let nodes = usize::from(nodes);
        (0..nodes).all(|source| {
            let follows = |rank: &usize| feed_sources(*rank, nodes).first() == Some(&source);
            (0..nodes).filter(follows).count() <= TREE_FANOUT
        })
    }

    /// Guards against a node that disagrees on the order because it learnt the names differently.
    fn order_ignores_input_order(names: Vec<u16>) -> bool {
        let mut names: Vec<String> = names.iter().map(|name| format!("n{name}")).collect();
        names.sort();
        names.dedup();
        let forwards = feed_order("d0", names.iter().map(String::as_str));
        let backwards = feed_order("d0", names.iter().rev().map(String::as_str));
        forwards == backwards
    }
}

/// Guards against a failure domain that the store turns away and whose nodes all ask one node of
/// another: its link would carry the changes to a hundred nodes.
#[test]
fn fallbacks_are_spread() {
    let order: Vec<String> = (0..100).map(|rank| format!("other-{rank}")).collect();
    let order: Vec<&str> = order.iter().map(String::as_str).collect();
    let mut followers = vec![0; order.len()];
    for node in 0..100 {
        let fallbacks = fallback_sources(&format!("own-{node}"), &order);
        assert_eq!(fallbacks.len(), 2);
        let first = order.iter().position(|name| *name == fallbacks[0]);
        followers[first.expect("a node of the other domain")] += 1;
    }
    let most = followers.iter().max().copied();
    assert!(most <= Some(40), "{most:?} of 100 nodes ask the same one");
    assert!(followers[5..].iter().all(|count| *count == 0));
}

/// Guards against a small failure domain whose nodes have nobody to ask.
#[test]
fn single_fallback_is_enough() {
    assert_eq!(fallback_sources("own", &["other"]), vec!["other"]);
    assert!(fallback_sources("own", &[]).is_empty());
}

#[test]
fn depth_grows_by_level() {
    let depths = [0, 1, 8, 9, 72, 73].map(tree_depth);
    assert_eq!(depths, [0, 1, 1, 2, 2, 3]);
}
