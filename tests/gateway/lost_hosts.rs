//! Hosts of replicas that die, become unreachable or leave.

use http::{Response, StatusCode};
use hyper::body::Incoming;

use crate::node::{TestNode, wait_for};
use crate::request::{TestRequest, complete_stream, read_response};
use crate::site::TestSite;

/// Reads the stream of 50 events that `c-1` started, which must be complete and served by its first
/// target.
async fn expect_uninterrupted(node: &TestNode, response: Response<Incoming>) {
    let response = read_response(response).await;
    assert!(response.complete, "{}", response.text);
    assert_eq!(response.text, complete_stream(50));
    for event in ["stream_moved", "stream_stays"] {
        let lines = node.log_lines(&[event, "c-1"]);
        assert!(lines.is_empty(), "{lines:?}");
    }
}

/// A member of a replica loses power during a stream. The head keeps the connection open, but the
/// replica stalls. The client sees a pause and then the rest of the stream from another replica,
/// each event once.
#[tokio::test(flavor = "multi_thread")]
async fn member_power_loss() {
    let mut site = TestSite::start(9, 0);
    let node = site.node("n0").await;
    node.wait_replicas(2).await;
    site.groups.set_events(60);
    let (_connection, response) = TestRequest::chat("c-1").begin(&node).await;
    assert_eq!(response.status(), StatusCode::OK);
    let lost_replica = site.replica_running("c-1");
    site.kill_engine(&lost_replica[2]);
    let response = read_response(response).await;
    assert!(response.complete, "{}", response.text);
    assert_eq!(response.text, complete_stream(60));
    node.wait_log_line(&["stream_moved", "c-1"]).await;
    // The replica is formed again with the spare host.
    site.wait_until_serving(2).await;
    assert!(
        site.groups
            .serving()
            .iter()
            .all(|members| !members.contains(&lost_replica[2]))
    );
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}

/// The head of a replica dies. Its members form a new replica with the spare.
#[tokio::test(flavor = "multi_thread")]
async fn head_lost() {
    let mut site = TestSite::start(5, 0);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    let head = site.groups.serving()[0][0].clone();
    site.kill_engine(&head);
    site.groups.expire(&head);
    node.wait_log_line(&["target_gone", &head]).await;
    site.wait_until_serving(1).await;
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}

/// A member dies and there is no spare. The client gets 503 with a `Retry-After` at once, and the
/// request is not executed.
#[tokio::test(flavor = "multi_thread")]
async fn no_spare_left() {
    let mut site = TestSite::start(4, 0);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    let member = site.groups.serving()[0][3].clone();
    site.kill_engine(&member);
    site.groups.expire(&member);
    node.wait_log_line(&["target_gone", &member]).await;
    let response = TestRequest::chat("c-1").send(&node).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    let wait: f64 = response.headers["retry-after"]
        .to_str()
        .expect("header is ASCII")
        .parse()
        .expect("Retry-After in seconds");
    assert!(wait > 0.0 && wait < 5.0);
    assert_eq!(site.groups.execution_count("c-1"), 0);
    // With a new host the replica serves again.
    site.add_engine("fresh");
    site.wait_until_serving(1).await;
}

/// A member starts draining. Its replica is closed and formed again with the spare.
#[tokio::test(flavor = "multi_thread")]
async fn member_draining() {
    let site = TestSite::start(5, 0);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    let members = site.groups.serving().remove(0);
    site.groups.drain(&members[1]);
    node.wait_log_line(&["step_taken", "close"]).await;
    wait_for("a replica without the leaving host", || {
        let serving = site.groups.serving();
        serving.len() == 1 && !serving[0].contains(&members[1])
    })
    .await;
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}

/// A member is removed from the registry while it still works. Requests are not affected, since the
/// replica is complete. Once the member dies, the spare replaces it.
#[tokio::test(flavor = "multi_thread")]
async fn member_unlisted() {
    let mut site = TestSite::start(5, 0);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    let before = site.groups.serving();
    let member = before[0][2].clone();
    site.groups.expire(&member);
    node.wait_log_line(&["target_unlisted", &member]).await;
    for number in 0..3 {
        let response = TestRequest::chat(&format!("c-{number}")).send(&node).await;
        assert_eq!(response.status, StatusCode::OK);
    }
    assert_eq!(site.groups.serving(), before);
    site.kill_engine(&member);
    node.wait_log_line(&["target_gone", &member]).await;
    wait_for("a replica without the lost member", || {
        let serving = site.groups.serving();
        serving.len() == 1 && !serving[0].contains(&member)
    })
    .await;
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}

/// The head of a replica is removed from the registry without draining and keeps serving for a
/// while. Its streams must finish there without a pause. Guards against reassigning its members at
/// once, which stalled the stream; a stream whose request had already used an attempt elsewhere
/// could not move and was never completed.
///
/// Seen in the log: `target_gone` for the head, an order to `leave` to each member 40 ms later, and
/// `stream_cut` or `stream_stays` with `no attempts left` after another 450 ms.
#[tokio::test(flavor = "multi_thread")]
async fn head_unlisted() {
    let site = TestSite::start(10, 0);
    let node = site.node("n0").await;
    node.wait_replicas(2).await;
    site.groups.set_events(50);
    let (_connection, response) = TestRequest::chat("c-1").begin(&node).await;
    let head = site.replica_running("c-1").remove(0);
    site.groups.expire(&head);
    node.wait_log_line(&["target_", &head]).await;
    // New requests are sent elsewhere.
    for number in 0..4 {
        let id = format!("l-{number}");
        let (_connection, late) = TestRequest::chat(&id).begin(&node).await;
        assert_eq!(late.status(), StatusCode::OK);
        assert!(!site.groups.ran_at(&head, &id), "{id}");
    }
    expect_uninterrupted(&node, response).await;
    // Its members serve again with the spare.
    site.wait_serving_without(&head, 2).await;
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}

/// A member that is leaving, announced or not, stops accepting connections but works for its
/// replica while the head has requests. A refused connection must not count as a crash then:
/// streams must finish there without a pause.
///
/// Seen in the log: `target_suspected` with `the connection was refused` for an unlisted or
/// draining member, an order to `leave` to its head some 20 ms later, and at once `stream_cut` with
/// `no attempts left` for the streams running there.
#[tokio::test(flavor = "multi_thread")]
async fn member_stops_listening() {
    for is_announced in [false, true] {
        let site = TestSite::start(10, 0);
        let node = site.node("n0").await;
        node.wait_replicas(2).await;
        site.groups.set_events(50);
        let (_connection, response) = TestRequest::chat("c-1").begin(&node).await;
        let member = site.replica_running("c-1").remove(2);
        if is_announced {
            site.groups.drain(&member);
        } else {
            site.groups.expire(&member);
        }
        site.stop_listening(&member);
        expect_uninterrupted(&node, response).await;
        site.wait_serving_without(&member, 2).await;
        assert_eq!(site.groups.violations(), Vec::<String>::new());
    }
}

/// The head of a replica is removed from the registry and stops accepting connections while it
/// finishes a stream. The stream must finish there, and a new request, refused by this head, must
/// be served elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn head_stops_listening() {
    let mut site = TestSite::start(10, 0);
    let node = site.node("n0").await;
    node.wait_replicas(2).await;
    site.groups.set_events(50);
    let (_connection, response) = TestRequest::chat("c-1").begin(&node).await;
    let head = site.replica_running("c-1").remove(0);
    site.groups.expire(&head);
    site.stop_listening(&head);
    let (_connection, other) = TestRequest::chat("c-2").begin(&node).await;
    assert_eq!(other.status(), StatusCode::OK);
    expect_uninterrupted(&node, response).await;
    // Once its process has exited, its members serve again with the spare.
    site.kill_engine(&head);
    site.wait_serving_without(&head, 2).await;
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}

/// Connection attempts from one node to the head of a working replica are lost. A running stream
/// must not be moved, and new requests are served by the other replica. Guards against treating one
/// lost connection as the death of the head, which moved all streams of the node and reassigned the
/// replica's hosts while they served other nodes.
///
/// Seen in the log: `target_suspected` with `no connection within 350ms` at one node only, a step
/// that forms a replica of the members 300 ms later, and `target_back` within a second.
#[tokio::test(flavor = "multi_thread")]
async fn lost_packets_keep_replica() {
    let site = TestSite::start(9, 0);
    let node = site.node("n0").await;
    node.wait_replicas(2).await;
    let before = site.groups.serving();
    site.groups.set_events(60);
    let (_connection, response) = TestRequest::chat("c-1").begin(&node).await;
    let head = site.replica_running("c-1").remove(0);
    let guard = site.lose_connections(&head).await;
    for number in 0..4 {
        let late = TestRequest::chat(&format!("l-{number}"));
        let (_connection, late) = late.begin(&node).await;
        assert_eq!(late.status(), StatusCode::OK);
    }
    let response = read_response(response).await;
    assert!(response.complete, "{}", response.text);
    assert!(node.log_lines(&["stream_moved"]).is_empty());
    drop(guard);
    assert_eq!(site.groups.serving(), before);
    assert!(node.log_lines(&["order_ended", "\"leave\""]).is_empty());
}

/// A replica loses a member while the only other one is nearly full. Each interrupted stream must
/// be resumed there, although it starts later than a new request may. Guards against applying the
/// queue limit for new requests: streams that found all targets full waited at the lost replica
/// until their clients gave up.
///
/// Seen in the log: `stream_stays` with `all 1 targets are full` and one attempt used, and the
/// client gone a second later.
#[tokio::test(flavor = "multi_thread")]
async fn streams_resume_at_full_replica() {
    let mut site = TestSite::start(9, 0);
    let node = site.node("n0").await;
    node.wait_replicas(2).await;
    // Alone, it gets all slots with its second claim.
    node.wait_log_line(&["retries_leased", "\"slots\":58"])
        .await;
    // Remove the spare, so that the lost replica can't be formed again.
    let members = site.groups.serving().concat();
    let ids = site.engines.iter().map(|engine| engine.id.clone());
    let spares: Vec<String> = ids.filter(|id| !members.contains(id)).collect();
    site.kill_engine(&spares[0]);
    site.groups.expire(&spares[0]);
    node.wait_log_line(&["target_gone", &spares[0]]).await;
    site.groups.set_events(60);
    let mut streams = Vec::new();
    for number in 0..12 {
        let (connection, response) = TestRequest::chat(&format!("c-{number}")).begin(&node).await;
        assert_eq!(response.status(), StatusCode::OK, "c-{number}");
        streams.push(tokio::spawn(async move {
            let response = read_response(response).await;
            drop(connection);
            response
        }));
    }
    let member = site.replica_running("c-0").remove(1);
    site.kill_engine(&member);
    for stream in streams {
        let response = stream.await.expect("stream task doesn't panic");
        assert!(response.complete, "{}", response.text);
        assert_eq!(response.text, complete_stream(60));
    }
}

/// The registry entry of a head is overwritten with unreadable bytes during a stream. The stream
/// must continue undisturbed. Guards against treating the head as gone and reassigning its members
/// under the stream.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_head_entry() {
    let site = TestSite::start(10, 0);
    let node = site.node("n0").await;
    node.wait_replicas(2).await;
    site.groups.set_events(50);
    let (_connection, response) = TestRequest::chat("c-1").begin(&node).await;
    let head = site.replica_running("c-1").remove(0);
    site.store.put("servers", &head, b"{\"service\":");
    expect_uninterrupted(&node, response).await;
}
