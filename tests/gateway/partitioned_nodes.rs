//! Nodes that are partitioned from all targets, while clients, the store and the other nodes still
//! reach them.

use std::time::Duration;

use http::StatusCode;
use tokio::time::Instant;

use crate::node::TestNode;
use crate::request::{TestRequest, complete_stream, read_response};
use crate::site::TestSite;
use crate::target_proxies::{PartitionKind, TargetProxies};

/// Time from the beginning of a partition within which requests may fail at the nodes behind it: the
/// platform's bound for a node to cope with a change.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// Requests of each kind that are sent to a node behind the partition.
const REQUESTS: usize = 12;

/// Hosts of the site: two replicas of four, and a spare.
const HOSTS: usize = 9;

/// Sends a request of each kind; returns the statuses and checks that the promises of the answers
/// hold. `name` makes the request ids unique.
async fn send_one_of_each(site: &TestSite, node: &TestNode, name: &str) -> [StatusCode; 3] {
    let ids = [
        format!("{name}-chat"),
        format!("{name}-pay"),
        format!("{name}-look"),
    ];
    let requests = [
        TestRequest::chat(&ids[0]),
        TestRequest::new("/pay/fee", &ids[1]),
        TestRequest::new("/look/x", &ids[2]),
    ];
    let [chat, pay, look] = &requests;
    let (chat, pay, look) = tokio::join!(chat.send(node), pay.send(node), look.send(node));
    let paid = site.plain_runs(&ids[1]);
    assert!(paid <= 1, "payment {} ran {paid} times", ids[1]);
    if pay.status == StatusCode::OK {
        assert_eq!(paid, 1, "{}", ids[1]);
    }
    if pay.status == StatusCode::SERVICE_UNAVAILABLE {
        assert_eq!(paid, 0, "{} was answered as not run", ids[1]);
    }
    if chat.status == StatusCode::OK && chat.complete {
        assert_eq!(chat.text, complete_stream(12));
    }
    [chat.status, pay.status, look.status]
}

/// Sends requests until the time is over, some at once, so that the node takes notice of the partition.
async fn send_until(site: &TestSite, node: &TestNode, until: Instant) {
    let mut number = 0;
    while Instant::now() < until {
        let name = format!("early-{}-{number}", node.requests.port());
        let sending = send_one_of_each(site, node, &name);
        // A payment on a connection that falls silent ends with its deadline.
        drop(tokio::time::timeout(Duration::from_millis(300), sending).await);
        number += 1;
    }
}

/// Sends requests of each kind to a node behind a partition; all must be served at the first attempt.
async fn expect_served(site: &TestSite, node: &TestNode, phase: &str) {
    for number in 0..REQUESTS {
        let name = format!("{phase}-{number}");
        let statuses = send_one_of_each(site, node, &name).await;
        assert_eq!(statuses, [StatusCode::OK; 3], "{name}");
        assert_eq!(site.groups.execution_count(&format!("{name}-chat")), 1);
    }
}

/// One of two nodes is partitioned from all targets. Its clients must be served as before, and the
/// replicas, which serve the other node, must stay as they are.
async fn one_node_partitioned(kind: PartitionKind) {
    let site = TestSite::start(HOSTS, 2);
    let proxies = TargetProxies::start(&site);
    let node = site.node_in("z0", "n0", proxies.store).await;
    let other = site.node_in("z1", "n1", site.store_address()).await;
    node.wait_replicas(2).await;
    other.wait_replicas(2).await;
    expect_served(&site, &node, "before").await;
    let serving = site.groups.serving();
    let began_at = Instant::now();
    proxies.set(kind).await;
    send_until(&site, &node, began_at + STABILITY_WINDOW).await;
    expect_served(&site, &node, "behind").await;
    expect_served(&site, &other, "beside").await;
    assert_eq!(site.groups.serving(), serving);
    for event in ["target_suspected", "target_ended"] {
        let lines = node.log_lines(&[event]);
        assert!(lines.is_empty(), "{lines:?}");
    }
    proxies.set(PartitionKind::Healed).await;
    expect_served(&site, &node, "healed").await;
    assert_eq!(site.groups.serving(), serving);
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}

/// A node's packets to all targets are lost. It suspected every target and rejected all requests.
#[tokio::test(flavor = "multi_thread")]
async fn silent_partition() {
    one_node_partitioned(PartitionKind::Silent).await;
}

/// A node's connections to all targets are reset. It took every target's process for ended.
#[tokio::test(flavor = "multi_thread")]
async fn reset_partition() {
    one_node_partitioned(PartitionKind::Reset).await;
}

/// A node's open connections to the targets work, but new ones are refused. It rejected all requests
/// that no idle connection was left for.
#[tokio::test(flavor = "multi_thread")]
async fn refused_connections() {
    one_node_partitioned(PartitionKind::RefusesNew).await;
}

/// All nodes of a failure domain are partitioned from the targets. The node of another one has to
/// serve their clients, too, and each of them needs to find it.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_domain() {
    let site = TestSite::start(HOSTS, 2);
    let proxies = TargetProxies::start(&site);
    let mut nodes = Vec::new();
    for name in ["n0", "n1", "n2"] {
        nodes.push(site.node_in("z0", name, proxies.store).await);
    }
    let other = site.node_in("z1", "n3", site.store_address()).await;
    for node in nodes.iter().chain([&other]) {
        node.wait_replicas(2).await;
        node.wait_log_line(&["nodes_counted", "\"nodes\":4"]).await;
    }
    let serving = site.groups.serving();
    let began_at = Instant::now();
    proxies.set(PartitionKind::Silent).await;
    let [first, second, third] = &nodes[..] else {
        unreachable!("three nodes were started");
    };
    tokio::join!(
        send_until(&site, first, began_at + STABILITY_WINDOW),
        send_until(&site, second, began_at + STABILITY_WINDOW),
        send_until(&site, third, began_at + STABILITY_WINDOW),
    );
    for node in &nodes {
        expect_served(&site, node, &format!("behind-{}", node.requests.port())).await;
    }
    expect_served(&site, &other, "beside").await;
    for node in nodes.iter().chain([&other]) {
        let suspected = node.log_lines(&["target_suspected"]);
        assert!(suspected.is_empty(), "{suspected:?}");
    }
    assert_eq!(site.groups.serving(), serving);
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}

/// A stream runs when its node is partitioned. The client must get the rest of it, each event once.
#[tokio::test(flavor = "multi_thread")]
async fn stream_across_partition() {
    let site = TestSite::start(HOSTS, 0);
    let proxies = TargetProxies::start(&site);
    let node = site.node_in("z0", "n0", proxies.store).await;
    let _other = site.node_in("z1", "n1", site.store_address()).await;
    node.wait_replicas(2).await;
    node.wait_log_line(&["nodes_counted", "\"nodes\":2"]).await;
    site.groups.set_events(60);
    let (_connection, response) = TestRequest::chat("c-1").begin(&node).await;
    assert_eq!(response.status(), StatusCode::OK);
    proxies.set(PartitionKind::Silent).await;
    let response = read_response(response).await;
    assert!(response.complete, "{}", response.text);
    assert_eq!(response.text, complete_stream(60));
}
