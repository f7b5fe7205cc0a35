//! Tests of links between the nodes of a mesh over loopback connections.

mod mesh;

use std::time::{Duration, Instant};

use control::config::NodeReadiness;
use mesh::{KEY, MeshConfig, wait_until};
use tokio::net::TcpStream;

#[tokio::test(flavor = "multi_thread")]
async fn members_discovered() {
    let nodes = MeshConfig::fast().start_many(8).await;
    for node in &nodes {
        wait_until("all members discovered", || {
            node.member_count() == nodes.len()
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_propagated() {
    let nodes = MeshConfig::fast().start_many(8).await;
    for node in &nodes {
        wait_until("all members discovered", || {
            node.member_count() == nodes.len()
        })
        .await;
    }
    for revision in 1..=5 {
        nodes[revision % 3].apply_change(revision as u64).await;
        for node in &nodes {
            wait_until("the revision is in force", || {
                node.revision() >= revision as u64
            })
            .await;
        }
    }
    for node in &nodes {
        assert_eq!(node.revision(), 5);
        assert_eq!(node.readiness(), NodeReadiness::Confirmed);
    }
}

/// A node was away for so long that it misses more changes than its peers keep. If they could only
/// send single changes, it would stay behind forever and serve outdated records.
#[tokio::test(flavor = "multi_thread")]
async fn snapshot_fetched() {
    let config = MeshConfig::fast();
    let first = config.start("e1", KEY, &[]).await;
    for revision in 1..=400 {
        first.apply_change(revision).await;
    }
    let second = config.start("e2", KEY, &[first.address]).await;
    wait_until("the second node catches up", || second.revision() == 400).await;
    let records = second.config.snapshot().await.records;
    assert_eq!(records, first.config.snapshot().await.records);
}

/// A process with another key, for example of another deployment or an attacker, connects to a
/// node. If it were accepted, it could put its own configuration into force.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_key_refused() {
    let config = MeshConfig::fast();
    let first = config.start("e1", KEY, &[]).await;
    let outsider = config
        .start("e2", "another key of the right length", &[first.address])
        .await;
    outsider.apply_change(1).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(first.revision(), 0);
    assert_eq!(first.member_count(), 1);
    assert_eq!(outsider.member_count(), 1);
}

/// A process without the key opens connections to a node again and again and leaves them idle. Other
/// nodes must still be able to link to it, or they would miss its configuration.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_leave_room() {
    let config = MeshConfig::fast();
    let first = config.start("e1", KEY, &[]).await;
    let address = first.address;
    let flood = tokio::spawn(async move {
        let mut open = Vec::new();
        loop {
            open.extend(TcpStream::connect(address).await.ok());
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    tokio::time::sleep(Duration::from_millis(600)).await;
    let second = config.start("e2", KEY, &[address]).await;
    wait_until("the nodes are linked", || second.member_count() == 2).await;
    flood.abort();
}

/// Nodes that can't reach the store but hear each other conclude that the store is down and keep
/// serving. When the two other nodes of a mesh of three are gone, the remaining one can't know which
/// configuration is in force and stops serving.
#[tokio::test(flavor = "multi_thread")]
async fn isolated_node_stops() {
    let config = MeshConfig::fast();
    let mut nodes = config.start_many(3).await;
    nodes[0].apply_change(1).await;
    for node in &nodes {
        wait_until("all members discovered", || node.member_count() == 3).await;
        wait_until("the revision is in force", || node.revision() == 1).await;
    }
    for node in &nodes {
        wait_until("the store is considered down", || {
            node.readiness() == NodeReadiness::StoreDown
        })
        .await;
    }
    let stopped = nodes.split_off(1);
    drop(stopped);
    wait_until("the node is cut off", || {
        nodes[0].readiness() == NodeReadiness::CutOff
    })
    .await;
}

/// A node starts while the store is down for all. It takes the configuration from its peers and
/// serves once it has heard from more than half of the roster for the settle time.
#[tokio::test(flavor = "multi_thread")]
async fn start_without_store() {
    let config = MeshConfig::fast();
    let nodes = config.start_many(3).await;
    nodes[0].apply_change(1).await;
    for node in &nodes {
        wait_until("the revision is in force", || node.revision() == 1).await;
        wait_until("all members discovered", || node.member_count() == 3).await;
    }
    for node in &nodes {
        wait_until("the store is considered down", || {
            node.readiness() == NodeReadiness::StoreDown
        })
        .await;
    }
    let started = Instant::now();
    let late = config.start("late", KEY, &[nodes[0].address]).await;
    wait_until("the late node serves", || {
        late.readiness() == NodeReadiness::StoreDown
    })
    .await;
    assert_eq!(late.revision(), 1);
    assert!(
        started.elapsed() >= config.readiness.settle,
        "it did not wait for the settle time"
    );
}

/// A node starts in a minority of nodes that is cut off from the others. It receives an old
/// configuration and a roster of which most nodes can't be heard, and must not serve.
#[tokio::test(flavor = "multi_thread")]
async fn minority_start_refused() {
    let config = MeshConfig::fast();
    let mut nodes = config.start_many(7).await;
    nodes[0].apply_change(1).await;
    for node in &nodes {
        wait_until("the revision is in force", || node.revision() == 1).await;
        wait_until("all members discovered", || node.member_count() == 7).await;
    }
    nodes.truncate(2);
    for node in &nodes {
        wait_until("the node is cut off", || {
            node.readiness() == NodeReadiness::CutOff
        })
        .await;
    }
    let late = config.start("late", KEY, &[nodes[0].address]).await;
    wait_until("the late node has the old configuration", || {
        late.revision() == 1
    })
    .await;
    let started = Instant::now();
    while started.elapsed() < config.readiness.settle * 3 {
        assert!(!late.readiness().serves(), "{:?}", late.readiness());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A node that stops announces that it leaves, so that health checks are reassigned at once and the
/// majority is counted without it.
#[tokio::test(flavor = "multi_thread")]
async fn leave_announced() {
    let config = MeshConfig::fast();
    let nodes = config.start_many(4).await;
    for node in &nodes {
        wait_until("all members discovered", || node.member_count() == 4).await;
    }
    nodes[3].membership.state().leave();
    for node in &nodes[..3] {
        wait_until("three members are left", || node.member_count() == 3).await;
        let reach = node.membership.reach(Instant::now());
        assert_eq!(reach.roster_size, 3);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn only_updates_sent() {
    let nodes = MeshConfig::fast().start_many(6).await;
    for node in &nodes {
        wait_until("all members discovered", || {
            node.member_count() == nodes.len()
        })
        .await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = nodes[0].traffic.counts();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after = nodes[0].traffic.counts();
    let bytes = after.sent - before.sent;
    let exchanges = after.exchanges - before.exchanges;
    assert!(exchanges > 0, "no digests were exchanged");
    let mean = bytes / exchanges;
    assert!(
        mean < 160,
        "{mean} bytes per digest: rows are sent repeatedly"
    );
}
