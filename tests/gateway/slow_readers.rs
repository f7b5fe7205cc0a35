//! Clients that read or send slowly, and requests that are larger than a replica's memory.

use std::time::{Duration, Instant};

use http::{Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use standin::site::{EndlessInstance, EndlessKind};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};
use web::HttpConnection;

use crate::node::{TestNode, wait_for};
use crate::request::{TestRequest, TestResponse, read_response};
use crate::site::{HOST, KEY, TestSite, configuration};

/// Streams of which nothing is read.
const UNREAD_STREAMS: usize = 500;

/// Memory that nodes are told of, in MB.
const MEMORY_MB: f64 = 96.0;

/// A site whose replica runs many long streams, with events of this size and pace.
fn start_site(events: usize, padding: usize, interval: Duration) -> TestSite {
    let site = TestSite::start(4, 0);
    let mut config = configuration(2);
    config["routes"][0]["timeout_ms"] = json!(120_000);
    config["routes"][0]["target_latency_ms"] = json!(4000);
    config["services"][0]["max_connections"] = json!(5000);
    config["services"][0]["engine"]["slots"] = json!(2 * UNREAD_STREAMS);
    config["limits"]["max_body_bytes"] = json!(64 << 20);
    site.configure(&config);
    site.groups.set_events(events);
    site.groups.set_event_shape(padding, interval);
    site
}

async fn start_node(site: &TestSite, memory_mb: Option<f64>) -> TestNode {
    let node = site.node_with_memory("n0", memory_mb).await;
    node.wait_replicas(1).await;
    node
}

fn long_chat(id: &str) -> TestRequest {
    let chat = TestRequest::chat(id).header("x-token-usage", "1,1");
    chat.header("x-deadline-ms", "120000")
}

/// Segment size of clients. With that of the loopback interface, 64 KiB, the system buffers 400 KB of each stream
/// for the node, which is all there is.
const SEGMENT_BYTES: u32 = 1400;

/// Connects with a small receive buffer, so that little of a stream is on its way.
async fn connect(node: &TestNode) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a buffer size");
    let options = socket2::SockRef::from(&socket);
    let set = options.set_tcp_mss(SEGMENT_BYTES);
    set.expect("a segment size");
    let connected = socket.connect(node.requests).await;
    connected.expect("the node accepts connections")
}

/// Begins a stream of which nothing is read yet.
async fn begin_unread(node: &TestNode, id: &str) -> (HttpConnection, Response<Incoming>) {
    let connection = HttpConnection::over(connect(node).await).await;
    let mut connection = connection.expect("an open connection");
    let response = long_chat(id).begin_on(&mut connection).await;
    let response = response.expect("a response head");
    assert_eq!(response.status(), StatusCode::OK);
    (connection, response)
}

/// Value of a metric without labels, or the sum over its labels.
async fn metric(node: &TestNode, name: &str) -> f64 {
    let text = node.metrics().await;
    let lines = text.lines().filter(|line| line.starts_with(name));
    let values = lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok());
    values.sum()
}

/// Most memory that the process of a node has used, in MB.
fn peak_memory(node: &TestNode) -> f64 {
    let process = node.child.as_ref().expect("process was started").id();
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    let kib: f64 = number.and_then(|number| number.parse().ok()).expect("KiB");
    kib * 1024.0 / 1e6
}

fn count_events(response: &TestResponse) -> usize {
    response.text.matches("\n\n").count()
}

/// Guards against a client that reads nothing of each of 500 streams, which ends the process by its memory:
/// some of them are cut off and look it, and the streams of another client stay whole.
#[tokio::test(flavor = "multi_thread")]
async fn unread_streams_bounded() {
    let (events, padding) = (100, 4 << 10);
    let site = start_site(events, padding, Duration::from_millis(100));
    let node = start_node(&site, Some(MEMORY_MB)).await;
    let mut unread = Vec::new();
    for batch in 0..UNREAD_STREAMS / 20 {
        let begun = (0..20).map(|number| {
            let id = format!("slow-{}", batch * 20 + number);
            let node = &node;
            async move { begin_unread(node, &id).await }
        });
        unread.extend(futures::future::join_all(begun).await);
    }
    let read = (0..4).map(|number| {
        let chat = long_chat(&format!("quick-{number}"));
        let node = &node;
        async move { chat.send(node).await }
    });
    for chat in futures::future::join_all(read).await {
        assert!(chat.complete);
        assert_eq!(count_events(&chat), events);
    }
    wait_for("all streams to be read or cut", || {
        site.groups.running_streams() == 0
    })
    .await;
    let memory = peak_memory(&node);
    assert!(memory < MEMORY_MB, "{memory} MB");
    let cut = node.log_lines(&["slow_reader_cut"]).len();
    assert!(cut > 0 && cut < UNREAD_STREAMS, "{cut} were cut");
    assert!(node.log_lines(&["slow_reader_cut", "quick-"]).is_empty());
    assert!(metric(&node, "bramleyspring_gateway_held_bytes").await < MEMORY_MB * 0.25e6);
    let reading = unread.into_iter().map(|(connection, response)| async move {
        let response = read_response(response).await;
        drop(connection);
        response
    });
    let responses = futures::future::join_all(reading).await;
    let whole = responses.iter().filter(|response| response.complete);
    assert!(whole.clone().all(|chat| count_events(chat) == events));
    assert_eq!(whole.count(), UNREAD_STREAMS - cut);
    assert!(metric(&node, "bramleyspring_gateway_held_bytes").await < 1.0);
}

/// Guards against a target's response that is left unread while its client does not read, until the target
/// cuts it off.
#[tokio::test(flavor = "multi_thread")]
async fn unread_stream_read_on() {
    let events = 160;
    let site = start_site(events, 100_000, Duration::from_millis(5));
    let node = start_node(&site, Some(160.0)).await;
    let (_connection, response) = begin_unread(&node, "paused").await;
    wait_for("the engine to have sent everything", || {
        site.groups.running_streams() == 0
    })
    .await;
    assert!(metric(&node, "bramleyspring_gateway_held_largest").await > 1e6);
    let chat = read_response(response).await;
    assert!(chat.complete);
    assert_eq!(count_events(&chat), events);
}

/// Guards against a bound where no memory is stated: a stream is not read on, and none is cut.
#[tokio::test(flavor = "multi_thread")]
async fn unbounded_without_memory() {
    let events = 400;
    let site = start_site(events, 100_000, Duration::from_millis(2));
    let node = start_node(&site, None).await;
    let (_connection, response) = begin_unread(&node, "paused").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(site.groups.running_streams(), 1);
    let chat = read_response(response).await;
    let told = node.log_lines(&["\"request\":\"paused\""]);
    assert!(chat.complete, "{told:?}");
    assert_eq!(count_events(&chat), events);
}

/// Guards against a target that sends without end to a client that reads nothing, beside one that reads.
#[tokio::test(flavor = "multi_thread")]
async fn endless_stream_cut() {
    let site = start_site(usize::MAX, 100_000, Duration::from_millis(2));
    let node = start_node(&site, Some(MEMORY_MB)).await;
    let (_connection, response) = begin_unread(&node, "endless").await;
    let cut = node.wait_log_line(&["slow_reader_cut"]).await;
    assert_eq!(cut["request"], "endless");
    assert!(!read_response(response).await.complete);
    assert!(peak_memory(&node) < MEMORY_MB);
    site.groups.set_events(12);
    let chat = long_chat("after").send(&node).await;
    assert!(chat.complete);
}

/// Guards against plain responses without end that are buffered in memory: they are given up at the bound, and
/// other requests succeed.
#[tokio::test(flavor = "multi_thread")]
async fn endless_plain_responses_given_up() {
    let site = TestSite::start(0, 2);
    let endless = EndlessInstance::start(&site.store, "endless", EndlessKind::Body);
    let _endless = endless.expect("a port is free");
    // 25 KB may be held: the instance sends single bytes.
    let node = site.node_with_memory("n0", Some(0.1)).await;
    let sending = (0..24).map(|number| {
        let request = TestRequest::new("/look/x", &format!("plain-{number}"));
        let node = &node;
        async move { request.send(node).await.status }
    });
    let statuses = futures::future::join_all(sending).await;
    let succeeded = statuses.iter().filter(|status| **status == StatusCode::OK);
    assert!(succeeded.count() >= 12, "{statuses:?}");
    node.wait_log_line(&["slow_reader_cut", "\"what\":\"target\""])
        .await;
}

/// Guards against request bodies that come slowly and are held without bound: the largest is rejected as a
/// request that has not run.
#[tokio::test(flavor = "multi_thread")]
async fn slow_bodies_rejected() {
    let site = start_site(12, 0, Duration::from_millis(5));
    let node = start_node(&site, Some(MEMORY_MB)).await;
    let mut clients = Vec::new();
    for number in 0..3 {
        if number == 2 {
            // The first two count as slow by then.
            tokio::time::sleep(Duration::from_millis(1500)).await;
        }
        let mut client = connect(&node).await;
        let head = format!(
            "POST /chat/x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: body-{number}\r\n\
             x-credential: {KEY}\r\nx-model: helper\r\ncontent-length: {}\r\n\r\n",
            32 << 20
        );
        client.write_all(head.as_bytes()).await.expect("written");
        let bytes = vec![b'x'; 9_000_000 + number * 1000];
        client.write_all(&bytes).await.expect("written");
        clients.push(client);
    }
    let mut answer = [0; 12];
    let first = clients[1].read_exact(&mut answer);
    let first = tokio::time::timeout(Duration::from_secs(20), first).await;
    first.expect("a response in time").expect("a response");
    assert_eq!(&answer, b"HTTP/1.1 503");
    let line = node.wait_log_line(&["slow_reader_cut"]).await;
    assert_eq!(line["request"], "body-1");
    assert_eq!(site.groups.execution_count("body-1"), 0);
}

/// Guards against a request that is larger than a replica's memory, which crashes the replica, and against
/// requests that together are.
#[tokio::test(flavor = "multi_thread")]
async fn requests_beyond_memory() {
    let site = start_site(40, 0, Duration::from_millis(40));
    let mut config = configuration(3);
    config["services"][0]["engine"]["kv_capacity"] = json!(1000);
    site.configure(&config);
    let node = start_node(&site, None).await;
    let large = TestRequest::chat("large").header("x-token-usage", "900,101");
    let sent_at = Instant::now();
    let response = large.send(&node).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
    assert!(sent_at.elapsed() < Duration::from_secs(2), "held for long");
    let line = node.wait_log_line(&["gateway_refused", "large"]).await;
    let reason = "request needs 1001 tokens, a replica holds 1000";
    assert_eq!(line["reason"], reason);
    let half = |id: &str| TestRequest::chat(id).header("x-token-usage", "400,150");
    let (_connection, first) = half("first").begin(&node).await;
    assert_eq!(first.status(), StatusCode::OK);
    let second = half("second").send(&node).await;
    assert_eq!(second.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(read_response(first).await.complete);
    let third = half("third").send(&node).await;
    assert!(third.complete && third.status == StatusCode::OK);
    for id in ["large", "second"] {
        assert_eq!(site.groups.execution_count(id), 0, "{id}");
    }
}
