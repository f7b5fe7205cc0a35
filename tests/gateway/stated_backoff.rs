//! Backoffs that engines ask nodes for as they reject requests, counted at the engines per node.

use std::time::{Duration, Instant};

use http::StatusCode;
use standin::site::StoreGate;

use crate::node::TestNode;
use crate::request::{TestRequest, complete_stream, read_response};
use crate::retry_totals::gated_nodes;
use crate::site::TestSite;
use crate::target_proxies::{PartitionKind, TargetProxies};

/// Backoff that engines ask for.
const BACKOFF: Duration = Duration::from_secs(3);

/// Time after a rejection in which what was sent before it may still arrive, and how many requests may arrive
/// after it in the same backoff.
const GRACE: Duration = Duration::from_millis(500);
const ALLOWED: usize = 2;

/// Clients of each node, and the pause between two requests of one.
const CLIENTS: usize = 3;
const PAUSE: Duration = Duration::from_millis(60);

/// What became of the requests of some clients.
#[derive(Debug, Default)]
struct Outcomes {
    whole: usize,
    rejected: usize,
    other: usize,
    /// `Retry-After` of the rejections, in seconds.
    delays: Vec<f64>,
    /// Longest time to a rejection.
    held: Duration,
}

impl Outcomes {
    fn merge(mut self, other: Self) -> Self {
        self.whole += other.whole;
        self.rejected += other.rejected;
        self.other += other.other;
        self.delays.extend(other.delays);
        self.held = self.held.max(other.held);
        self
    }
}

async fn run_client(node: &TestNode, source: &str, client: &str, until: Instant) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let request = TestRequest::chat(&format!("{source}.{client}-{number}"));
        let sent = Instant::now();
        let (_connection, response) = request.begin(node).await;
        let response = read_response(response).await;
        match response.status {
            StatusCode::OK if response.complete => outcomes.whole += 1,
            StatusCode::SERVICE_UNAVAILABLE => {
                outcomes.rejected += 1;
                outcomes.held = outcomes.held.max(sent.elapsed());
                let delay = response.headers.get("retry-after");
                let delay = delay.and_then(|value| value.to_str().ok());
                let delay = delay.and_then(|text| text.parse().ok());
                outcomes
                    .delays
                    .push(delay.expect("a rejection says when to come back"));
            }
            _ => outcomes.other += 1,
        }
        tokio::time::sleep(PAUSE).await;
    }
    outcomes
}

/// Sends chats at all nodes for a while.
async fn send_chats(nodes: &[(TestNode, StoreGate)], name: &str, lasting: Duration) -> Outcomes {
    let until = Instant::now() + lasting;
    let clients = (0..CLIENTS).flat_map(|client| {
        let nodes = nodes.iter().enumerate();
        nodes.map(move |(index, (node, _))| async move {
            let client = format!("{name}{client}");
            run_client(node, &format!("n{index}"), &client, until).await
        })
    });
    let outcomes = futures::future::join_all(clients).await;
    outcomes
        .into_iter()
        .fold(Outcomes::default(), Outcomes::merge)
}

fn heads(site: &TestSite) -> Vec<String> {
    let serving = site.groups.serving();
    serving
        .into_iter()
        .map(|members| members[0].clone())
        .collect()
}

fn assert_left_alone(site: &TestSite) {
    let asked = site.groups.arrivals.backoff_count();
    assert!(asked > 0, "no engine asked for a backoff");
    let most = site.groups.arrivals.most_in_backoff(GRACE);
    assert!(most <= ALLOWED, "{most} requests of a node in a backoff");
}

/// Guards against an engine that asks a node for a backoff and gets more from it, while others have room.
#[tokio::test(flavor = "multi_thread")]
async fn one_target_left_alone() {
    let site = TestSite::start(14, 0);
    let nodes = gated_nodes(&site).await;
    let head = heads(&site).remove(0);
    site.groups.set_backoff(&head, Some(BACKOFF));
    let outcomes = send_chats(&nodes, "one", Duration::from_secs(7)).await;
    assert_left_alone(&site);
    assert_eq!(outcomes.rejected + outcomes.other, 0, "{outcomes:?}");
    // It is used again once it takes requests.
    site.groups.set_backoff(&head, None);
    send_chats(&nodes, "after", BACKOFF * 2).await;
    let returned = Instant::now();
    send_chats(&nodes, "free", Duration::from_secs(2)).await;
    let arrived = site
        .groups
        .arrivals
        .most_at(&head, returned, Duration::from_secs(2));
    assert!(arrived > 10, "only {arrived} requests after the backoff");
}

/// Guards against engines that all ask for a backoff, again and again, and get more; and against clients that
/// are kept waiting meanwhile, or told to come back before any engine takes requests.
#[tokio::test(flavor = "multi_thread")]
async fn all_targets_left_alone() {
    let site = TestSite::start(14, 0);
    let nodes = gated_nodes(&site).await;
    for head in heads(&site) {
        site.groups.set_backoff(&head, Some(BACKOFF));
    }
    let outcomes = send_chats(&nodes, "all", BACKOFF * 3).await;
    assert_left_alone(&site);
    assert_eq!(outcomes.whole + outcomes.other, 0, "{outcomes:?}");
    assert!(outcomes.held < GRACE, "{outcomes:?}");
    let longest = outcomes.delays.iter().copied().fold(0.0, f64::max);
    assert!(
        longest > 2.0,
        "no client was told how long to wait: {longest}"
    );
    for head in heads(&site) {
        site.groups.set_backoff(&head, None);
    }
    tokio::time::sleep(BACKOFF * 2).await;
    let outcomes = send_chats(&nodes, "free", Duration::from_secs(2)).await;
    assert!(outcomes.whole > 0, "{outcomes:?}");
    let outcomes = send_chats(&nodes, "later", Duration::from_secs(2)).await;
    assert_eq!(outcomes.rejected + outcomes.other, 0, "{outcomes:?}");
}

/// Guards against requests that had chosen an engine before it asked for a backoff, waited for a connection
/// to it, and are sent there when it opens.
#[tokio::test(flavor = "multi_thread")]
async fn slow_connections_ask_again() {
    let site = TestSite::start(14, 0);
    let node = site.node("n0").await;
    node.wait_replicas(3).await;
    // Leaves an idle connection to each head, on which the rejections come.
    let warm = (0..12).map(|number| {
        let request = TestRequest::chat(&format!("n0.warm{number}"));
        let node = &node;
        async move { request.send(node).await }
    });
    futures::future::join_all(warm).await;
    let mut guards = Vec::new();
    for head in heads(&site) {
        site.groups.set_backoff(&head, Some(BACKOFF));
        guards.push(site.lose_connections(&head).await);
    }
    let opening = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        guards.clear();
    };
    let chats = (0..60).map(|number| {
        let request = TestRequest::chat(&format!("n0.slow{number}"));
        let node = &node;
        async move { request.send(node).await.status }
    });
    let (statuses, ()) = tokio::join!(futures::future::join_all(chats), opening);
    assert!(
        statuses
            .iter()
            .all(|status| *status == StatusCode::SERVICE_UNAVAILABLE)
    );
    let asked = site.groups.arrivals.backoff_count();
    assert!(asked > 0, "no engine asked for a backoff");
    // What was sent on the idle connections at the same time arrives well within this.
    let most = site
        .groups
        .arrivals
        .most_in_backoff(Duration::from_millis(100));
    assert!(most <= ALLOWED, "{most} requests of a node in a backoff");
}

/// Guards against streams of a lost replica that are resumed at an engine in its backoff.
#[tokio::test(flavor = "multi_thread")]
async fn moved_streams_avoid_backoff() {
    let mut site = TestSite::start(14, 0);
    let node = site.only_node("n0").await;
    node.wait_replicas(3).await;
    site.groups.set_events(60);
    let chats = (0..12).map(|number| TestRequest::chat(&format!("n0.move{number}")));
    let mut streams = Vec::new();
    for chat in chats {
        streams.push(chat.begin(&node).await);
    }
    let heads = heads(&site);
    let resting = heads[0].clone();
    site.groups.set_backoff(&resting, Some(BACKOFF));
    wait_for_rejection(&site, &node, "n0").await;
    tokio::time::sleep(GRACE).await;
    let members = site.groups.serving();
    let lost = members.iter().find(|members| members[0] == heads[1]);
    let lost = lost.expect("the replica serves")[1].clone();
    site.kill_engine(&lost);
    for (_connection, response) in streams {
        let response = read_response(response).await;
        let cuts = node.log_lines(&["stream_cut"]);
        assert!(response.complete, "{cuts:?}");
        assert_eq!(response.text, complete_stream(60));
    }
    let moved = site.groups.arrivals.most_in_backoff(GRACE);
    assert_eq!(moved, 0, "streams moved to an engine in its backoff");
}

/// Guards against probes, reports and orders that do not leave an engine alone either.
#[tokio::test(flavor = "multi_thread")]
async fn probes_leave_alone() {
    let mut site = TestSite::start(14, 0);
    let node = site.node("n0").await;
    node.wait_replicas(3).await;
    site.groups.set_events(60);
    let mut streams = Vec::new();
    for number in 0..9 {
        streams.push(
            TestRequest::chat(&format!("n0.run{number}"))
                .begin(&node)
                .await,
        );
    }
    let heads = heads(&site);
    for head in &heads {
        site.groups.set_backoff(head, Some(BACKOFF));
    }
    let asked = TestRequest::chat("n0.ask").send(&node).await;
    assert_eq!(asked.status, StatusCode::SERVICE_UNAVAILABLE);
    let lost = site.groups.serving()[0][1].clone();
    site.kill_engine(&lost);
    tokio::time::sleep(BACKOFF).await;
    let calls = site.groups.arrivals.most_calls_in_backoff();
    assert!(calls <= ALLOWED, "{calls} probes and orders in a backoff");
    drop(streams);
}

/// Guards against a node that connects for another one to an engine, and sends it requests of its own in a
/// backoff that the engine, which sees only this node, has asked for.
#[tokio::test(flavor = "multi_thread")]
async fn tunnels_leave_alone() {
    let site = TestSite::start(9, 0);
    let proxies = TargetProxies::start(&site);
    let behind = site.node_in("z0", "n0", proxies.store).await;
    let relay = site.node_in("z1", "n1", site.store_address()).await;
    for node in [&behind, &relay] {
        node.wait_replicas(2).await;
        node.wait_log_line(&["nodes_counted", "\"nodes\":2"]).await;
    }
    proxies.set(PartitionKind::Reset).await;
    // Whatever the first node sends arrives from the second one.
    for number in 0..6 {
        TestRequest::chat(&format!("n1.early{number}"))
            .send(&behind)
            .await;
    }
    for head in heads(&site) {
        site.groups.set_backoff(&head, Some(BACKOFF));
    }
    wait_for_rejection(&site, &behind, "n1").await;
    tokio::time::sleep(GRACE).await;
    let chats = (0..12).map(|number| {
        let chat = TestRequest::chat(&format!("n1.own{number}"));
        let relay = &relay;
        async move { chat.send(relay).await.status }
    });
    futures::future::join_all(chats).await;
    assert_left_alone(&site);
}

/// Sends chats through a node until an engine has asked for a backoff.
async fn wait_for_rejection(site: &TestSite, node: &TestNode, source: &str) {
    for number in 0.. {
        if site.groups.arrivals.backoff_count() > 0 {
            return;
        }
        let request = TestRequest::chat(&format!("{source}.ask{number}"));
        drop(request.begin(node).await);
    }
}

/// Guards against nodes that each have to ask a target in its backoff, as its reported load makes it look like
/// the best choice to all of them.
#[tokio::test(flavor = "multi_thread")]
async fn others_prefer_other_targets() {
    let site = TestSite::start(14, 0);
    site.groups.set_tells_load(true);
    let first = site.node_in("z0", "n0", site.store_address()).await;
    let second = site.node_in("z1", "n1", site.store_address()).await;
    for node in [&first, &second] {
        node.wait_replicas(3).await;
        node.wait_log_line(&["nodes_counted", "\"nodes\":2"]).await;
    }
    let head = heads(&site).remove(0);
    site.groups.set_backoff(&head, Some(BACKOFF));
    wait_for_rejection(&site, &first, "n0").await;
    tokio::time::sleep(PAUSE).await;
    let told = Instant::now();
    let chats = (0..9).map(|number| {
        let chat = TestRequest::chat(&format!("n1.told{number}"));
        let node = &second;
        async move { chat.send(node).await.status }
    });
    futures::future::join_all(chats).await;
    let arrived = site.groups.arrivals.most_at(&head, told, BACKOFF);
    assert_eq!(arrived, 0, "the other targets have room");
}

/// Guards against a delay that can't be read, or is far too long, which stops all requests to a target for good
/// or is passed over without a word.
#[tokio::test(flavor = "multi_thread")]
async fn odd_delays_bar_nobody() {
    let site = TestSite::start(9, 0);
    let node = site.only_node("n0").await;
    node.wait_replicas(2).await;
    let head = heads(&site).remove(0);
    for text in ["", "-1", "nan", "inf", "soon", "0"] {
        site.groups.set_delay_text(&head, Some(text));
        for number in 0..4 {
            let name = format!("n0.odd{}-{number}", text.len());
            TestRequest::chat(&name).send(&node).await;
        }
    }
    node.wait_log_line(&["statement_unreadable", "retry_after"])
        .await;
    site.groups.set_delay_text(&head, None);
    let freed = Instant::now();
    for number in 0..30 {
        TestRequest::chat(&format!("n0.free{number}"))
            .send(&node)
            .await;
    }
    let arrived = site.groups.arrivals.most_at(&head, freed, BACKOFF * 20);
    assert!(arrived > 5, "only {arrived} requests");
}

/// Guards against a backoff that binds the next process of the engine, and against one that ends because some
/// heads take requests again while others ask for more.
#[tokio::test(flavor = "multi_thread")]
async fn next_process_serves() {
    let mut site = TestSite::start(9, 0);
    let node = site.only_node("n0").await;
    node.wait_replicas(2).await;
    let heads = heads(&site);
    let longest = Duration::from_mins(10);
    for head in &heads {
        site.groups.set_backoff(head, Some(longest));
    }
    // Most of them, one after the other, ask once.
    for number in 0..heads.len() {
        TestRequest::chat(&format!("n0.ask{number}"))
            .send(&node)
            .await;
    }
    let refused = TestRequest::chat("n0.refused").send(&node).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(site.groups.arrivals.most_in_backoff(GRACE), 0);
    for head in &heads {
        site.kill_engine(head);
        site.add_engine(head);
    }
    site.wait_until_serving(2).await;
    node.wait_replicas(2).await;
    let chat = TestRequest::chat("n0.again").send(&node).await;
    assert_eq!(chat.status, StatusCode::OK);
}
