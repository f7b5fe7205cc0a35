//! Responses that have neither a length nor chunks and end with their connection.

use std::time::Duration;

use http::StatusCode;
use standin::site::ServiceMode;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::node::TestNode;
use crate::request::{TestRequest, complete_stream, read_response, request_head};
use crate::site::TestSite;

/// Length of a response that the system can't take at once for a client that reads slowly.
const LARGE_BYTES: usize = 8 << 20;

/// Time in which a connection must end once its client reads on.
const END_TIMEOUT: Duration = Duration::from_secs(20);

/// Streams and calls whose end is that of their connection are passed on whole.
#[tokio::test(flavor = "multi_thread")]
async fn whole_responses_passed_on() {
    let site = TestSite::start(9, 2);
    let node = site.node("n0").await;
    node.wait_replicas(2).await;
    site.groups.set_unframed(true);
    site.set_modes(ServiceMode::Unframed);
    for index in 0..4 {
        let stream = TestRequest::chat(&format!("c-{index}")).send(&node).await;
        assert_eq!(stream.status, StatusCode::OK);
        assert_eq!(stream.text, complete_stream(12));
        assert!(stream.complete);
        let call = TestRequest::new("/look/x", &format!("l-{index}"));
        let call = call.send(&node).await;
        assert_eq!(call.status, StatusCode::OK);
        assert_eq!(call.text, "receipt");
    }
}

/// An engine dies between two events of such a stream and closes its connections in order. The stream looks
/// complete, and its caller would take half an answer for the whole one.
#[tokio::test(flavor = "multi_thread")]
async fn dead_engine_leaves_no_whole_stream() {
    let site = TestSite::start(9, 0);
    let node = site.node("n0").await;
    node.wait_replicas(2).await;
    site.groups.set_unframed(true);
    site.groups.set_events(40);
    for index in 0..2 {
        let id = format!("c-{index}");
        let (_connection, response) = TestRequest::chat(&id).begin(&node).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let serving = site.groups.serving();
        let mut heads = serving.iter().map(|members| &members[0]);
        let head = heads.find(|head| site.groups.ran_at(head, &id));
        site.groups.crash(head.expect("a head runs the request"));
        let response = read_response(response).await;
        let whole = response.text == complete_stream(40);
        assert_eq!(response.complete, whole, "{}", response.text);
        node.wait_log_line(&["target_ended"]).await;
        if index == 0 {
            assert!(whole, "the stream goes on at the other replica");
        }
    }
}

/// An engine that leaves accepts no new connections and ends what it has begun. Its streams are whole, and
/// callers would lose a ready answer if they were not passed on.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_ends_whole_stream() {
    let site = TestSite::start(9, 0);
    let node = site.node("n0").await;
    node.wait_replicas(2).await;
    site.groups.set_unframed(true);
    site.groups.set_events(40);
    let (_connection, response) = TestRequest::chat("c-0").begin(&node).await;
    let head = site.replica_running("c-0")[0].clone();
    site.groups.drain(&head);
    site.stop_listening(&head);
    let response = read_response(response).await;
    assert!(response.complete);
    assert_eq!(response.text, complete_stream(40));
    assert!(node.log_lines(&["target_ended"]).is_empty());
}

/// An engine dies between two events of such a stream while it drains. It had begun to leave in order, and yet its
/// stream is not whole.
#[tokio::test(flavor = "multi_thread")]
async fn draining_engine_dies() {
    let site = TestSite::start(9, 0);
    let node = site.node("n0").await;
    node.wait_replicas(2).await;
    site.groups.set_unframed(true);
    site.groups.set_events(40);
    site.groups.set_event_shape(0, Duration::from_millis(40));
    let (_connection, response) = TestRequest::chat("c-0").begin(&node).await;
    let head = site.replica_running("c-0")[0].clone();
    site.groups.drain(&head);
    tokio::time::sleep(Duration::from_millis(700)).await;
    site.groups.crash(&head);
    let response = read_response(response).await;
    let whole = response.text == complete_stream(40);
    assert_eq!(response.complete, whole, "{}", response.text);
}

/// An instance dies in the middle of such a response to a call. Its caller must not get half of the response
/// as the whole one.
#[tokio::test(flavor = "multi_thread")]
async fn dead_instance_leaves_no_whole_call() {
    let site = TestSite::start(0, 2);
    let node = site.node("n0").await;
    site.set_modes(ServiceMode::DiesUnframed);
    let response = TestRequest::new("/pay/x", "p-0").send(&node).await;
    assert_eq!(
        response.status,
        StatusCode::BAD_GATEWAY,
        "{}",
        response.text
    );
    let response = TestRequest::new("/look/x", "l-0").send(&node).await;
    assert_ne!(response.status, StatusCode::OK, "{}", response.text);
}

/// Begins a call whose response is large and ends with its connection.
async fn begin_large(site: &TestSite, node: &TestNode, id: &str) -> TcpStream {
    for instance in &site.instances {
        instance.set_text(&"y".repeat(LARGE_BYTES));
    }
    site.set_modes(ServiceMode::Unframed);
    let mut stream = node.connect_narrow().await;
    let head = format!("{}\r\n", request_head("GET", "/look/x", id));
    stream.write_all(head.as_bytes()).await.expect("written");
    stream
}

/// A request for a stream as clients of HTTP/1.0 send it, to which no chunks may be sent.
async fn begin_old_stream(node: &TestNode, id: &str) -> TcpStream {
    let mut stream = node.connect_narrow().await;
    let head = request_head("POST", "/chat/x", id).replace("HTTP/1.1", "HTTP/1.0");
    let more = "x-model: helper\r\nx-token-usage: 100,60\r\ncontent-length: 2\r\n\r\n{}";
    let request = format!("{head}{more}");
    stream.write_all(request.as_bytes()).await.expect("written");
    stream
}

/// What a client has of a response that ends with its connection.
#[derive(Debug)]
struct UnframedRead {
    head: String,
    body: String,
    /// Whether the connection ended in order, by which clients take the body for whole.
    looks_whole: bool,
}

/// Reads to the end of a connection.
async fn read_to_end(stream: &mut TcpStream, mut bytes: Vec<u8>) -> UnframedRead {
    let read = tokio::time::timeout(END_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    let looks_whole = read.expect("the connection ends").is_ok();
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    UnframedRead {
        head: head.to_lowercase(),
        body: body.to_owned(),
        looks_whole,
    }
}

fn assert_unframed(response: &UnframedRead) {
    let head = &response.head;
    assert!(head.starts_with("http/1.0 200"), "{head}");
    assert!(!head.contains("content-length"), "{head}");
    assert!(!head.contains("transfer-encoding"), "{head}");
}

/// Guards against a part of a response that looks whole, since its node was killed while it wrote it.
#[tokio::test(flavor = "multi_thread")]
async fn killed_node_leaves_no_whole_call() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let mut stream = begin_large(&site, &node, "l-0").await;
    let mut start = vec![0; 1 << 20];
    stream.read_exact(&mut start).await.expect("a part");
    node.signal("KILL");
    let response = read_to_end(&mut stream, start).await;
    assert_unframed(&response);
    let length = response.body.len();
    assert!(length < LARGE_BYTES, "the node had written all of it");
    assert!(!response.looks_whole, "{length} bytes look whole");
}

/// Guards against the same for a client of HTTP/1.0 and a stream, which ends with its connection there.
#[tokio::test(flavor = "multi_thread")]
async fn killed_node_leaves_no_whole_old_stream() {
    let site = TestSite::start(9, 0);
    let node = site.node("n0").await;
    node.wait_replicas(2).await;
    site.groups.set_events(400);
    let mut stream = begin_old_stream(&node, "c-0").await;
    let mut start = vec![0; 400];
    stream.read_exact(&mut start).await.expect("a part");
    node.signal("KILL");
    let response = read_to_end(&mut stream, start).await;
    assert_unframed(&response);
    assert_ne!(response.body, complete_stream(400));
    assert!(!response.looks_whole, "{}", response.body);
}

/// Guards against a stream that looks whole to a client of HTTP/1.0, though its engines have died and the node knows
/// that it is not.
#[tokio::test(flavor = "multi_thread")]
async fn dead_engines_leave_no_whole_old_stream() {
    let site = TestSite::start(9, 0);
    let node = site.node("n0").await;
    node.wait_replicas(2).await;
    site.groups.set_events(400);
    let mut stream = begin_old_stream(&node, "c-0").await;
    let mut start = vec![0; 400];
    stream.read_exact(&mut start).await.expect("a part");
    for members in site.groups.serving() {
        site.groups.crash(&members[0]);
    }
    let response = read_to_end(&mut stream, start).await;
    assert_unframed(&response);
    let whole = response.body == complete_stream(400);
    assert_eq!(response.looks_whole, whole, "{}", response.body);
}

/// Guards against a part of a response that looks whole, since its client reads so slowly that it is cut off once the
/// node holds too much.
#[tokio::test(flavor = "multi_thread")]
async fn cut_reader_sees_cut() {
    let site = TestSite::start(0, 2);
    let node = site.node_with_memory("n0", Some(96.0)).await;
    let mut streams = Vec::new();
    for number in 0..6 {
        let mut stream = begin_large(&site, &node, &format!("l-{number}")).await;
        // The node has all of a response once it writes it.
        let mut start = vec![0; 64 << 10];
        if stream.read_exact(&mut start).await.is_ok() {
            streams.push((stream, start));
        }
        // It counts as behind by then.
        tokio::time::sleep(Duration::from_millis(1200)).await;
    }
    node.wait_log_line(&["slow_reader_cut"]).await;
    let mut cut = 0;
    for (mut stream, start) in streams {
        let response = read_to_end(&mut stream, start).await;
        assert_unframed(&response);
        let whole = response.body.len() == LARGE_BYTES;
        assert_eq!(response.looks_whole, whole, "{} bytes", response.body.len());
        cut += usize::from(!whole);
    }
    assert!(cut > 0, "no response was cut");
}

/// Guards against a part of a response that looks whole to a client that has ended its own half of the connection.
#[tokio::test(flavor = "multi_thread")]
async fn half_closed_client_sees_cut() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let mut stream = begin_large(&site, &node, "l-0").await;
    let mut start = vec![0; 1 << 20];
    stream.read_exact(&mut start).await.expect("a part");
    stream.shutdown().await.expect("its half ends");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let response = read_to_end(&mut stream, start).await;
    let whole = response.body.len() == LARGE_BYTES;
    assert_eq!(response.looks_whole, whole, "{} bytes", response.body.len());
}

/// Guards against a whole response whose connection is reset: its client would lose a ready answer.
#[tokio::test(flavor = "multi_thread")]
async fn slow_reader_gets_whole_call() {
    let site = TestSite::start(0, 1);
    let mut node = site.node("n0").await;
    let mut stream = begin_large(&site, &node, "l-0").await;
    let mut start = vec![0; 1 << 20];
    stream.read_exact(&mut start).await.expect("a part");
    tokio::time::sleep(Duration::from_millis(300)).await;
    node.signal("TERM");
    let response = read_to_end(&mut stream, start).await;
    assert_unframed(&response);
    assert_eq!(response.body.len(), LARGE_BYTES);
    assert!(response.looks_whole);
    assert_eq!(node.wait_exit().await, Some(0));
}

/// Guards against the same at the end of a stream for a client of HTTP/1.0.
#[tokio::test(flavor = "multi_thread")]
async fn old_client_gets_whole_stream() {
    let site = TestSite::start(9, 0);
    let node = site.node("n0").await;
    node.wait_replicas(2).await;
    let mut stream = begin_old_stream(&node, "c-0").await;
    let response = read_to_end(&mut stream, Vec::new()).await;
    assert_unframed(&response);
    assert_eq!(response.body, complete_stream(12));
    assert!(response.looks_whole);
}
