//! Failure domains that operators evacuate, counted at the engines and instances there.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use http::StatusCode;
use standin::site::GateMode;

use crate::evacuated_site::{
    add_engine, add_instance, assert_none_reach, end_evacuation, evacuate, reached, send_chats,
    send_until_reached, start_site, wait_begun, wait_ended,
};
use crate::node::{TestNode, wait_for};
use crate::request::{TestRequest, TestResponse, complete_stream, read_response};
use crate::site::{EVACUATION_BOUND, TestSite};

/// Clients of each node, and the pause between two requests of one.
const CLIENTS: usize = 2;
const PAUSE: Duration = Duration::from_millis(40);

/// Time for which arrivals are counted.
const COUNT_TIME: Duration = Duration::from_secs(2);

/// `Retry-After` of a rejection without a target.
const NO_TARGET_DELAY: &str = "0.700";

/// Lets the clients of some nodes send chats until told to stop; returns the number of those that failed.
async fn run_clients(nodes: &[&TestNode], stopped: &AtomicBool) -> usize {
    let clients = nodes.iter().enumerate().flat_map(|(index, node)| {
        (0..CLIENTS).map(move |client| async move {
            let mut failed = 0;
            for number in 0.. {
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let chat = TestRequest::chat(&format!("n{index}.c{client}-{number}"));
                let response = chat.send(node).await;
                failed += usize::from(response.status != StatusCode::OK || !response.complete);
                tokio::time::sleep(PAUSE).await;
            }
            failed
        })
    });
    futures::future::join_all(clients).await.into_iter().sum()
}

/// Guards against requests that reach an evacuated failure domain from any node, against requests that fail
/// although others have room, and against a failure domain that stays empty after the end, or has lost its
/// replica meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn sends_stop_and_resume() {
    let site = start_site(&["z0", "z1", "z2"]);
    let mut nodes = Vec::new();
    for zone in ["z0", "z1", "z2"] {
        let name = format!("n-{zone}");
        nodes.push(site.node_in(zone, &name, site.store_address()).await);
    }
    for node in &nodes {
        node.wait_replicas(3).await;
    }
    let nodes: Vec<&TestNode> = nodes.iter().collect();
    let serving = site.groups.serving();
    let stopped = AtomicBool::new(false);
    let scenario = async {
        let begun = Instant::now();
        wait_for("requests in z1", || reached(&site, "z1", begun) > 0).await;
        evacuate(&site, "z1");
        tokio::time::sleep(EVACUATION_BOUND).await;
        let in_force = Instant::now();
        tokio::time::sleep(COUNT_TIME).await;
        let late = reached(&site, "z1", in_force);
        let elsewhere = reached(&site, "z", in_force);
        for node in &nodes {
            node.wait_log_line(&["evacuation_drained", "z1"]).await;
            let metrics = node.metrics().await;
            assert!(has_gauge(&metrics, "active", 1), "{metrics}");
            assert!(has_gauge(&metrics, "running", 0), "{metrics}");
        }
        end_evacuation(&site, "z1");
        wait_ended(&nodes, "z1").await;
        let ended = Instant::now();
        wait_for("requests in z1 again", || reached(&site, "z1", ended) > 0).await;
        stopped.store(true, Ordering::Relaxed);
        (late, elsewhere)
    };
    let (failed, (late, elsewhere)) = tokio::join!(run_clients(&nodes, &stopped), scenario);
    assert_eq!(late, 0, "requests in the evacuated failure domain");
    assert!(elsewhere > 0, "no request was sent");
    assert_eq!(failed, 0, "the other replicas have room");
    assert_eq!(site.groups.serving(), serving);
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}

fn has_gauge(metrics: &str, name: &str, value: usize) -> bool {
    let name = format!("bramleyspring_gateway_evacuation_{name}");
    let mut lines = metrics.lines();
    lines.any(|line| line.starts_with(&name) && line.ends_with(&format!(" {value}")))
}

/// Guards against a node that takes the loss of the store for the end of an evacuation, and against one that
/// does not learn of the end once the store is back.
#[tokio::test(flavor = "multi_thread")]
async fn store_lost_in_between() {
    let site = start_site(&["z0", "z1"]);
    let (node, gate) = site.gated_node("z0", "n0").await;
    node.wait_replicas(2).await;
    evacuate(&site, "z1");
    wait_begun(&[&node], "z1").await;
    gate.set(GateMode::Silent);
    end_evacuation(&site, "z1");
    // Longer than any wait of the node for the store.
    tokio::time::sleep(EVACUATION_BOUND).await;
    assert_none_reach(&site, &node, "cut", "z1").await;
    gate.set(GateMode::Open);
    wait_ended(&[&node], "z1").await;
    send_until_reached(&site, &node, "back", "z1").await;
}

/// Guards against a node without the store that knows of no evacuation and rejects requests, or that does not
/// learn from another node that a failure domain is evacuated or free again.
#[tokio::test(flavor = "multi_thread")]
async fn learns_from_other_node() {
    let site = start_site(&["z0", "z1"]);
    let (node, gate) = site.gated_node("z0", "n0").await;
    let other = site.node_in("z1", "n1", site.store_address()).await;
    for node in [&node, &other] {
        node.wait_replicas(2).await;
        node.wait_log_line(&["nodes_counted", "\"nodes\":2"]).await;
    }
    gate.set(GateMode::TurnsAway);
    evacuate(&site, "z1");
    let response = TestRequest::chat("n0.cut").send(&node).await;
    assert_eq!(response.status, StatusCode::OK);
    wait_begun(&[&node, &other], "z1").await;
    assert_none_reach(&site, &node, "told", "z1").await;
    end_evacuation(&site, "z1");
    wait_ended(&[&node, &other], "z1").await;
    send_until_reached(&site, &node, "back", "z1").await;
}

/// Guards against a node that starts during an evacuation and sends before it has read the row, and against
/// replicas that are formed there before the end, or never.
#[tokio::test(flavor = "multi_thread")]
async fn node_starts_in_between() {
    let site = start_site(&["z0", "z1", "z2"]);
    evacuate(&site, "z1");
    let first = site.node("n0").await;
    first.wait_replicas(2).await;
    end_evacuation(&site, "z1");
    first.wait_replicas(3).await;
    evacuate(&site, "z1");
    wait_begun(&[&first], "z1").await;
    let second = site.restarted_node("n1").await;
    let ready = Instant::now();
    let responses = send_chats(&second, "n1.new", 12).await;
    assert!(
        responses
            .iter()
            .any(|response| response.status == StatusCode::OK)
    );
    assert_eq!(reached(&site, "z1", ready), 0);
}

/// Guards against a state that outlives a row which came and went within a second, at a node that saw both
/// changes, one of them or, since it was suspended, none.
#[tokio::test(flavor = "multi_thread")]
async fn row_comes_and_goes() {
    let site = start_site(&["z0", "z1"]);
    let node = site.only_node("n0").await;
    node.wait_replicas(2).await;
    for (round, pause) in [0, 1, 20, 100, 700].into_iter().enumerate() {
        evacuate(&site, "z1");
        tokio::time::sleep(Duration::from_millis(pause)).await;
        end_evacuation(&site, "z1");
        wait_until_free(&site, &node).await;
        send_until_reached(&site, &node, &format!("r{round}-"), "z1").await;
    }
    node.signal("STOP");
    evacuate(&site, "z1");
    tokio::time::sleep(Duration::from_millis(500)).await;
    end_evacuation(&site, "z1");
    node.signal("CONT");
    wait_until_free(&site, &node).await;
    send_until_reached(&site, &node, "frozen", "z1").await;
}

/// Waits until a node has applied all changes so far, and knows of no evacuation.
async fn wait_until_free(site: &TestSite, node: &TestNode) {
    let marker = format!("mark{}", site.store.calls());
    evacuate(site, &marker);
    wait_begun(&[node], &marker).await;
    end_evacuation(site, &marker);
    wait_ended(&[node], &marker).await;
    let begun = node.log_lines(&["evacuation_begun"]).len();
    assert_eq!(node.log_lines(&["evacuation_ended"]).len(), begun);
}

/// Guards against requests that are held, or sent nevertheless, when everything that serves them is evacuated,
/// and against rejections that say neither when to come back nor, in the log, why.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_left() {
    let mut site = start_site(&["z0", "z1"]);
    add_instance(&mut site, "s0", "z1");
    let node = site.only_node("n0").await;
    node.wait_replicas(2).await;
    let requests = |name: &str| {
        [
            TestRequest::new("/look/x", &format!("{name}-look")),
            TestRequest::new("/pay/fee", &format!("{name}-pay")),
            TestRequest::chat(&format!("{name}-chat")),
        ]
    };
    for request in requests("before") {
        assert_eq!(request.send(&node).await.status, StatusCode::OK);
    }
    evacuate(&site, "z1");
    wait_begun(&[&node], "z1").await;
    // The only instance of the plain service is there.
    let call = TestRequest::new("/look/x", "one").send(&node).await;
    assert_rejected(&call);
    evacuate(&site, "z0");
    wait_begun(&[&node], "z0").await;
    let in_force = Instant::now();
    let received = site.instances[0].received_count();
    for request in requests("all") {
        let sent = Instant::now();
        assert_rejected(&request.send(&node).await);
        // Its deadline is five seconds off.
        assert!(sent.elapsed() < COUNT_TIME, "held for {:?}", sent.elapsed());
    }
    assert_eq!(reached(&site, "z", in_force), 0);
    assert_eq!(site.instances[0].received_count(), received);
    // The log names the reason; it is written beside the response, so the line may come after it.
    node.wait_log_line(&["all-chat", "outside evacuated failure domains"])
        .await;
    end_evacuation(&site, "z0");
    end_evacuation(&site, "z1");
    wait_ended(&[&node], "z0").await;
    wait_ended(&[&node], "z1").await;
    for request in requests("after") {
        assert_eq!(request.send(&node).await.status, StatusCode::OK);
    }
}

fn assert_rejected(response: &TestResponse) {
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers["retry-after"], NO_TARGET_DELAY);
}

/// Guards against requests to a replica of which a host other than its head is in the failure domain.
#[tokio::test(flavor = "multi_thread")]
async fn one_member_there() {
    let mut site = TestSite::start(0, 0);
    for host in 0..4 {
        let zone = if host == 3 { "z1" } else { "z0" };
        add_engine(&mut site, &format!("a{host}"), "f0", zone);
        add_engine(&mut site, &format!("b{host}"), "f1", "z0");
    }
    let node = site.only_node("n0").await;
    node.wait_replicas(2).await;
    let serving = site.groups.serving();
    assert!(serving.iter().all(|members| !members[0].ends_with('3')));
    send_until_reached(&site, &node, "before", "a").await;
    evacuate(&site, "z1");
    wait_begun(&[&node], "z1").await;
    assert_none_reach(&site, &node, "during", "a").await;
    assert_eq!(site.groups.serving(), serving);
    end_evacuation(&site, "z1");
    wait_ended(&[&node], "z1").await;
    send_until_reached(&site, &node, "after", "a").await;
}

/// Guards against a request that is sent to the evacuated failure domain because another target has rejected
/// it.
#[tokio::test(flavor = "multi_thread")]
async fn retries_stay_outside() {
    let site = start_site(&["z0", "z1"]);
    let node = site.only_node("n0").await;
    node.wait_replicas(2).await;
    let serving = site.groups.serving();
    let outside = serving.iter().find(|members| members[0].starts_with("z0"));
    let outside = &outside.expect("a replica in z0")[0];
    site.groups.set_delay_text(outside, Some("soon"));
    for response in send_chats(&node, "before", 3).await {
        assert_eq!(response.status, StatusCode::OK, "z1 takes what z0 rejects");
    }
    evacuate(&site, "z1");
    wait_begun(&[&node], "z1").await;
    let begun = Instant::now();
    for response in send_chats(&node, "during", 3).await {
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert!(reached(&site, "z0", begun) > 0, "none was tried");
    assert_eq!(reached(&site, "z1", begun), 0);
    end_evacuation(&site, "z1");
    wait_ended(&[&node], "z1").await;
    for response in send_chats(&node, "after", 3).await {
        assert_eq!(response.status, StatusCode::OK);
    }
}

/// Guards against streams that are moved because of an evacuation, and against those of a lost replica that
/// are resumed in the evacuated failure domain.
#[tokio::test(flavor = "multi_thread")]
async fn streams_stay_or_move_outside() {
    let mut site = start_site(&["z0", "z1", "z2"]);
    let node = site.only_node("n0").await;
    node.wait_replicas(3).await;
    site.groups.set_events(100);
    let from = Instant::now();
    let mut streams = Vec::new();
    for number in 0..6 {
        let chat = TestRequest::chat(&format!("stream{number}"));
        streams.push(chat.begin(&node).await);
    }
    let before = reached(&site, "z1", from);
    assert!(before > 0, "none runs in z1");
    evacuate(&site, "z1");
    wait_begun(&[&node], "z1").await;
    let metrics = node.metrics().await;
    assert!(has_gauge(&metrics, "running", before), "{metrics}");
    assert!(node.log_lines(&["evacuation_drained"]).is_empty());
    let lost = site.groups.serving().remove(0).remove(1);
    assert!(lost.starts_with("z0"), "{lost}");
    site.kill_engine(&lost);
    for (_connection, response) in streams {
        let response = read_response(response).await;
        assert!(response.complete, "{:?}", node.log_lines(&["stream_cut"]));
        assert_eq!(response.text, complete_stream(100));
    }
    assert_eq!(reached(&site, "z1", from), before);
    // At least one stream of the lost replica has moved.
    node.wait_log_line(&["stream_moved"]).await;
    let moved = node.log_lines(&["stream_moved"]);
    assert!(
        moved
            .iter()
            .all(|line| line["to"].as_str().is_some_and(|to| to.starts_with("z2"))),
        "{moved:?}"
    );
    node.wait_log_line(&["evacuation_drained", "z1"]).await;
}
