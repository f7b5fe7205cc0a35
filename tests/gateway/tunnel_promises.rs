//! What is promised to clients, for requests that reach their targets through another node.

use std::time::{Duration, Instant};

use http::StatusCode;
use standin::site::ServiceMode;

use crate::node::{TestNode, wait_for};
use crate::request::{TestRequest, complete_stream, read_response};
use crate::site::TestSite;
use crate::target_proxies::{PartitionKind, TargetProxies};

/// Time in which a target must have learned that a client has left.
const LEAVE_BOUND: Duration = Duration::from_millis(500);

/// Time in which a node must know that a target drains.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// A site with one node that reaches no target itself, and others that do.
struct PartitionedSite {
    site: TestSite,
    node: TestNode,
    others: Vec<TestNode>,
    proxies: TargetProxies,
}

impl PartitionedSite {
    /// Starts a site with one or two replicas and `others` further nodes, and partitions the first node.
    async fn start(hosts: usize, instances: usize, others: usize) -> Self {
        let site = TestSite::start(hosts, instances);
        let proxies = TargetProxies::start(&site);
        let node = site.node_in("z0", "n0", proxies.store).await;
        let mut started = Vec::new();
        for number in 1..=others {
            let name = format!("n{number}");
            started.push(site.node_in("z1", &name, site.store_address()).await);
        }
        node.wait_replicas(hosts / 4).await;
        let counted = format!("\"nodes\":{}", others + 1);
        node.wait_log_line(&["nodes_counted", &counted]).await;
        proxies.set(PartitionKind::Reset).await;
        Self {
            site,
            node,
            others: started,
            proxies,
        }
    }

    /// Tunnels that the other nodes serve now.
    async fn tunnels(&self) -> usize {
        let mut served = 0;
        for other in &self.others {
            for line in other.metrics().await.lines() {
                if line.starts_with("bramleyspring_gateway_tunnel_served") {
                    let count = line.rsplit(' ').next().and_then(|count| count.parse().ok());
                    served += count.unwrap_or(0);
                }
            }
        }
        served
    }
}

/// The target gets the request as it would directly: once, with the customer instead of the key, for
/// this very target, and with no more time than the client has left.
#[tokio::test(flavor = "multi_thread")]
async fn headers_unchanged() {
    let behind = PartitionedSite::start(0, 1, 1).await;
    let request = TestRequest::new("/pay/fee", "p-1").header("x-deadline-ms", "900");
    let paid = request.send(&behind.node).await;
    assert_eq!(paid.status, StatusCode::OK);
    assert_eq!(paid.text, "receipt");
    assert_eq!(paid.headers["x-response-signature"], "signed");
    assert_eq!(behind.site.plain_runs("p-1"), 1);
    let seen = behind.site.instances[0].received_headers().concat();
    assert!(seen.contains("\"x-tenant\": \"desk\""), "{seen}");
    assert!(seen.contains("\"x-expect-instance\": \"s0\""), "{seen}");
    assert!(!seen.contains("x-credential"), "{seen}");
    let left = seen
        .split("\"x-deadline-ms\": \"")
        .nth(1)
        .expect("deadline");
    let left: u64 = left
        .split('"')
        .next()
        .and_then(|left| left.parse().ok())
        .expect("number");
    assert!(left <= 900, "{left}");
    // Unknown keys are refused before anything is sent.
    let unknown = TestRequest::new("/pay/fee", "p-2").header("x-credential", "other");
    assert_eq!(
        unknown.send(&behind.node).await.status,
        StatusCode::UNAUTHORIZED
    );
    assert_eq!(behind.site.plain_runs("p-2"), 0);
}

/// A payment's target never responds. It may have run, so the client gets 504 at its deadline, and the
/// payment is sent nowhere else.
#[tokio::test(flavor = "multi_thread")]
async fn payment_at_deadline() {
    let behind = PartitionedSite::start(0, 2, 2).await;
    behind.site.set_modes(ServiceMode::Unresponsive);
    let request = TestRequest::new("/pay/fee", "p-1").header("x-deadline-ms", "700");
    let sent_at = Instant::now();
    let response = request.send(&behind.node).await;
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(sent_at.elapsed() < Duration::from_millis(1200));
    assert_eq!(behind.site.plain_runs("p-1"), 1);
}

/// A target that is full says that it did not run the payment; the client is told so.
#[tokio::test(flavor = "multi_thread")]
async fn full_target() {
    let behind = PartitionedSite::start(0, 1, 1).await;
    behind.site.set_modes(ServiceMode::Overloaded);
    let response = TestRequest::new("/pay/fee", "p-1").send(&behind.node).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
    assert_eq!(behind.site.plain_runs("p-1"), 0);
}

/// The node that carries a payment is killed before the response. The payment may have run: it must not
/// be answered as not run, nor be sent again.
#[tokio::test(flavor = "multi_thread")]
async fn carrier_killed() {
    let mut behind = PartitionedSite::start(0, 2, 2).await;
    behind.site.set_modes(ServiceMode::Unresponsive);
    let request = TestRequest::new("/pay/fee", "p-1");
    let paying = request.send(&behind.node);
    let killing = async {
        wait_for("the payment", || behind.site.plain_runs("p-1") == 1).await;
        behind.others.clear();
    };
    let (response, ()) = tokio::join!(paying, killing);
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(behind.site.plain_runs("p-1"), 1);
}

/// The node that carries a stream is killed. The stream goes on through the other one, each event once.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_killed_carrier() {
    let mut behind = PartitionedSite::start(9, 0, 2).await;
    behind.site.groups.set_events(50);
    let (_connection, response) = TestRequest::chat("c-1").begin(&behind.node).await;
    assert_eq!(response.status(), StatusCode::OK);
    let mut carrier = None;
    for (index, other) in behind.others.iter().enumerate() {
        if other
            .metrics()
            .await
            .contains("bramleyspring_gateway_tunnel_served{otel_scope_name=\"bramleyspring\"} 1")
        {
            carrier = Some(index);
        }
    }
    drop(
        behind
            .others
            .remove(carrier.expect("a node carries the stream")),
    );
    let response = read_response(response).await;
    assert!(response.complete, "{}", response.text);
    assert_eq!(response.text, complete_stream(50));
}

/// The node that carries a stream gets SIGTERM. It must not exit before the stream has ended, and the
/// stream is not interrupted; new requests go through the other node.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_of_carrier() {
    let mut behind = PartitionedSite::start(4, 1, 1).await;
    behind.site.groups.set_events(50);
    let (_connection, response) = TestRequest::chat("c-1").begin(&behind.node).await;
    assert_eq!(response.status(), StatusCode::OK);
    behind.others[0].signal("TERM");
    behind.others[0].wait_ready(false).await;
    let started = behind
        .site
        .node_in("z1", "n2", behind.site.store_address())
        .await;
    let counted = format!("\"nodes\":{}", 3);
    behind
        .node
        .wait_log_line(&["nodes_counted", &counted])
        .await;
    let paid = TestRequest::new("/pay/fee", "p-1").send(&behind.node).await;
    assert_eq!(paid.status, StatusCode::OK);
    let response = read_response(response).await;
    assert!(response.complete, "{}", response.text);
    assert_eq!(response.text, complete_stream(50));
    assert!(behind.node.log_lines(&["stream_moved"]).is_empty());
    assert_eq!(behind.others[0].wait_exit().await, Some(0));
    drop(started);
}

/// A client leaves in the middle of a stream, and another one before the response to its call. The
/// targets must learn of it, and no tunnel is left open.
#[tokio::test(flavor = "multi_thread")]
async fn client_leaves() {
    let behind = PartitionedSite::start(4, 1, 1).await;
    behind.site.groups.set_events(500);
    let (connection, response) = TestRequest::chat("c-1").begin(&behind.node).await;
    assert_eq!(response.status(), StatusCode::OK);
    behind.site.set_modes(ServiceMode::Unresponsive);
    let call = TestRequest::new("/pay/fee", "p-1");
    let calling = call.send(&behind.node);
    drop(tokio::time::timeout(Duration::from_millis(300), calling).await);
    assert_eq!(behind.site.plain_runs("p-1"), 1);
    drop((connection, response));
    tokio::time::sleep(LEAVE_BOUND).await;
    assert_eq!(behind.tunnels().await, 0);
}

/// The head of a replica starts draining. Once the partitioned node must know it, nothing is sent there
/// any more, through whichever node.
#[tokio::test(flavor = "multi_thread")]
async fn draining_target() {
    let behind = PartitionedSite::start(9, 0, 1).await;
    let head = behind.site.groups.serving()[0][0].clone();
    behind.site.groups.drain(&head);
    tokio::time::sleep(DRAIN_BOUND).await;
    for number in 0..8 {
        let id = format!("c-{number}");
        let response = TestRequest::chat(&id).send(&behind.node).await;
        assert_eq!(response.status, StatusCode::OK);
        assert!(!behind.site.groups.ran_at(&head, &id));
    }
}

/// A member of a replica dies while a node is partitioned. That node must suspect the member, which no
/// other one reaches either, but none of the others.
#[tokio::test(flavor = "multi_thread")]
async fn lost_member() {
    let mut behind = PartitionedSite::start(9, 0, 1).await;
    let lost = behind.site.groups.serving()[0][2].clone();
    behind.site.kill_engine(&lost);
    behind.site.groups.expire(&lost);
    behind.site.wait_serving_without(&lost, 2).await;
    for number in 0..8 {
        let response = TestRequest::chat(&format!("c-{number}"))
            .send(&behind.node)
            .await;
        assert_eq!(response.status, StatusCode::OK);
    }
    let suspected = behind.node.log_lines(&["target_suspected"]);
    let others = suspected
        .iter()
        .filter(|line| line["host"] != lost.as_str());
    assert_eq!(others.count(), 0, "{suspected:?}");
    assert_eq!(behind.site.groups.violations(), Vec::<String>::new());
}

/// Connections break and are refused behind a partition, as when processes end. No target may be
/// recorded as crashed: the requests that ran there would be refused everywhere.
#[tokio::test(flavor = "multi_thread")]
async fn no_crash_recorded() {
    let behind = PartitionedSite::start(9, 1, 1).await;
    behind.site.groups.set_events(30);
    for number in 0..3 {
        behind.proxies.set(PartitionKind::Healed).await;
        // Paths are checked, and used again.
        tokio::time::sleep(Duration::from_secs(1)).await;
        let request = TestRequest::chat(&format!("c-{number}"));
        let (_connection, response) = request.begin(&behind.node).await;
        assert_eq!(response.status(), StatusCode::OK);
        behind.proxies.set(PartitionKind::Reset).await;
        let response = read_response(response).await;
        let lines = || behind.node.log_lines(&["\"up_ms\""]);
        assert_eq!(response.text, complete_stream(30), "{:?}", lines());
    }
    assert!(!behind.node.log_lines(&["stream_moved"]).is_empty());
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(behind.node.log_lines(&["target_ended"]).len(), 0);
    assert!(
        !behind
            .site
            .store
            .keys("ends")
            .iter()
            .any(|key| key.contains("n0"))
    );
}

/// A partition resets the connection of a stream, and idle ones only when they are used. The stream must
/// go on over a new connection: it has one attempt left, which another broken connection would use up.
#[tokio::test(flavor = "multi_thread")]
async fn stream_beside_broken_connections() {
    let behind = PartitionedSite::start(9, 0, 1).await;
    behind.proxies.set(PartitionKind::Healed).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    // Each head gets some of these, and keeps their connections open.
    let warm = (0..8).map(|number| format!("warm-{number}"));
    let warm: Vec<TestRequest> = warm.map(|id| TestRequest::chat(&id)).collect();
    let sent = warm.iter().map(|request| request.send(&behind.node));
    futures::future::join_all(sent).await;
    behind.site.groups.set_events(40);
    let (_connection, response) = TestRequest::chat("c-1").begin(&behind.node).await;
    assert_eq!(response.status(), StatusCode::OK);
    behind.proxies.set(PartitionKind::ResetOnUse).await;
    let response = read_response(response).await;
    assert!(response.complete, "{}", response.text);
    assert_eq!(response.text, complete_stream(40));
}
