//! Links between nodes of one mesh, over loopback connections.

mod mesh;

use std::time::{Duration, Instant};

use control::config::NodeReadiness;
use mesh::{KEY, MeshPlan, wait_until};

#[tokio::test(flavor = "multi_thread")]
async fn members_met() {
    let nodes = MeshPlan::quick().start_many(8).await;
    for node in &nodes {
        wait_until("every node knows all", || node.alive() == nodes.len()).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_spread() {
    let nodes = MeshPlan::quick().start_many(8).await;
    for node in &nodes {
        wait_until("every node knows all", || node.alive() == nodes.len()).await;
    }
    for revision in 1..=5 {
        nodes[revision % 3].learn(revision as u64).await;
        for node in &nodes {
            wait_until("in force", || node.revision() >= revision as u64).await;
        }
    }
    for node in &nodes {
        assert_eq!(node.revision(), 5);
        assert_eq!(node.standing(), NodeReadiness::Confirmed);
    }
}

/// A node that was away for long misses more changes than its peers keep. It would stay behind for
/// good if they could only pass on single changes; callers would see records of weeks ago.
#[tokio::test(flavor = "multi_thread")]
async fn snapshot_fetched() {
    let plan = MeshPlan::quick();
    let first = plan.start("e1", KEY, &[]).await;
    for revision in 1..=400 {
        first.learn(revision).await;
    }
    let second = plan.start("e2", KEY, &[first.address]).await;
    wait_until("the late node has all", || second.revision() == 400).await;
    let records = second.config.snapshot().await.records;
    assert_eq!(records, first.config.snapshot().await.records);
}

/// A process with another key, such as one of another deployment or an attacker's, speaks to a
/// node. If it were believed it could put a configuration of its own into force.
#[tokio::test(flavor = "multi_thread")]
async fn stranger_refused() {
    let plan = MeshPlan::quick();
    let first = plan.start("e1", KEY, &[]).await;
    let stranger = plan
        .start("e2", "another key of the right length", &[first.address])
        .await;
    stranger.learn(1).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(first.revision(), 0);
    assert_eq!(first.alive(), 1);
    assert_eq!(stranger.alive(), 1);
}

/// One of three nodes loses all links. It can't know what is in force any more and steps out of
/// service; the two others, who hear each other, take the store to be down and go on.
#[tokio::test(flavor = "multi_thread")]
async fn lonely_node_stops() {
    let plan = MeshPlan::quick();
    let mut nodes = plan.start_many(3).await;
    nodes[0].learn(1).await;
    for node in &nodes {
        wait_until("all know all", || node.alive() == 3).await;
        wait_until("in force", || node.revision() == 1).await;
    }
    for node in &nodes {
        wait_until("goes on", || node.standing() == NodeReadiness::StoreDown).await;
    }
    let gone = nodes.split_off(1);
    drop(gone);
    wait_until("steps out", || nodes[0].standing() == NodeReadiness::CutOff).await;
}

/// The store is down for all while a node starts. Its peers have the configuration; it takes over
/// theirs and serves once it has heard more than half of the roster for a while.
#[tokio::test(flavor = "multi_thread")]
async fn start_without_store() {
    let plan = MeshPlan::quick();
    let nodes = plan.start_many(3).await;
    nodes[0].learn(1).await;
    for node in &nodes {
        wait_until("in force", || node.revision() == 1).await;
        wait_until("all know all", || node.alive() == 3).await;
    }
    for node in &nodes {
        wait_until("goes on", || node.standing() == NodeReadiness::StoreDown).await;
    }
    let started = Instant::now();
    let late = plan.start("late", KEY, &[nodes[0].address]).await;
    wait_until("serves", || late.standing() == NodeReadiness::StoreDown).await;
    assert_eq!(late.revision(), 1);
    assert!(started.elapsed() >= plan.rule.settle, "it did not wait");
}

/// A small group of old nodes is cut off and a node starts among them. They tell it an old
/// configuration and a roster of which most can't be heard; it must not serve.
#[tokio::test(flavor = "multi_thread")]
async fn minority_start_refused() {
    let plan = MeshPlan::quick();
    let mut nodes = plan.start_many(7).await;
    nodes[0].learn(1).await;
    for node in &nodes {
        wait_until("in force", || node.revision() == 1).await;
        wait_until("all know all", || node.alive() == 7).await;
    }
    nodes.truncate(2);
    for node in &nodes {
        wait_until("steps out", || node.standing() == NodeReadiness::CutOff).await;
    }
    let late = plan.start("late", KEY, &[nodes[0].address]).await;
    wait_until("has the old head", || late.revision() == 1).await;
    let watched = Instant::now();
    while watched.elapsed() < plan.rule.settle * 3 {
        assert!(!late.standing().serves(), "{:?}", late.standing());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A node that stops says goodbye, so that watchers are chosen anew at once and the majority is
/// counted without it.
#[tokio::test(flavor = "multi_thread")]
async fn goodbye_heard() {
    let plan = MeshPlan::quick();
    let nodes = plan.start_many(4).await;
    for node in &nodes {
        wait_until("all know all", || node.alive() == 4).await;
    }
    nodes[3].membership.state().leave();
    for node in &nodes[..3] {
        wait_until("three are left", || node.alive() == 3).await;
        let reach = node.membership.reach(Instant::now());
        assert_eq!(reach.roster_size, 3);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn only_news_sent() {
    let nodes = MeshPlan::quick().start_many(6).await;
    for node in &nodes {
        wait_until("every node knows all", || node.alive() == nodes.len()).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = nodes[0].traffic.counts();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after = nodes[0].traffic.counts();
    let bytes = after.sent - before.sent;
    let exchanges = after.exchanges - before.exchanges;
    assert!(exchanges > 0, "the links stand still");
    let each = bytes / exchanges;
    assert!(each < 160, "{each} bytes a digest: rows are sent again");
}
