//! Requests that a client sends before it has the response to the last one, as HTTP/1.1 allows. Nobody but the HTTP
//! library knows where the next head begins then.

use std::fmt::Write as _;
use std::time::Duration;

use serde_json::json;
use standin::site::ServiceMode;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::node::{TestNode, wait_for};
use crate::request::request_head;
use crate::site::{TestSite, configuration};

/// How long a target runs a request.
const RUN_TIME: Duration = Duration::from_millis(30);

/// Time after which the rest of a second request comes, long after the response to the first one.
const REST_DELAY: Duration = Duration::from_millis(150);

/// Time in which a response must come.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Connections at a time; the targets have a place for each request.
const CONNECTIONS: usize = 12;

fn payment(id: &str) -> String {
    let head = request_head("POST", "/pay/fee", id);
    format!("{head}content-length: 8\r\n\r\namount=5")
}

fn chunked_payment(id: &str) -> String {
    let head = request_head("POST", "/pay/fee", id);
    format!("{head}transfer-encoding: chunked\r\n\r\n8\r\namount=5\r\n0\r\n\r\n")
}

/// How the bytes of two requests come.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    /// The first request.
    first: fn(&str) -> String,
    /// Whether the start of the second one comes in the same packet as the first.
    is_joined: bool,
    /// What a client sends between the two.
    between: &'static str,
}

const ARRIVALS: [Arrival; 4] = [
    Arrival {
        first: payment,
        is_joined: true,
        between: "",
    },
    Arrival {
        first: payment,
        is_joined: false,
        between: "\r\n",
    },
    Arrival {
        first: chunked_payment,
        is_joined: true,
        between: "",
    },
    Arrival {
        first: chunked_payment,
        is_joined: false,
        between: "",
    },
];

/// Reads a response of the stand-in's instances; returns its status line, or what came instead.
async fn read_status(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let reading = async {
        while !bytes.ends_with(b"\r\n\r\nreceipt") {
            match stream.read_u8().await {
                Ok(byte) => bytes.push(byte),
                Err(_) => return,
            }
        }
    };
    // What has come by then is compared.
    drop(tokio::time::timeout(RESPONSE_TIMEOUT, reading).await);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

/// Sends two payments, the rest of the second one after so many bytes of it late; returns both status lines.
async fn send_two(node: &TestNode, arrival: Arrival, cut: usize, id: &str) -> [String; 2] {
    let mut stream = TcpStream::connect(node.requests).await.expect("connects");
    stream.set_nodelay(true).expect("the socket takes it");
    let first = (arrival.first)(&format!("{id}a"));
    let second = format!("{}{}", arrival.between, payment(&format!("{id}b")));
    let (start, rest) = second.split_at(cut.min(second.len()));
    let packets = if arrival.is_joined {
        vec![format!("{first}{start}")]
    } else {
        vec![first, start.to_owned()]
    };
    for packet in packets {
        stream.write_all(packet.as_bytes()).await.expect("written");
        tokio::time::sleep(RUN_TIME / 3).await;
    }
    tokio::time::sleep(REST_DELAY).await;
    // The node may have closed the connection.
    drop(stream.write_all(rest.as_bytes()).await);
    [
        read_status(&mut stream).await,
        read_status(&mut stream).await,
    ]
}

async fn cut_everywhere(number: usize) {
    let arrival = ARRIVALS[number];
    let site = TestSite::start(0, 3);
    site.set_modes(ServiceMode::Delayed(RUN_TIME));
    let node = site.only_node("n0").await;
    let length = arrival.between.len() + payment("000b").len();
    let cuts: Vec<usize> = (1..=length).collect();
    let mut failures = Vec::new();
    for batch in cuts.chunks(CONNECTIONS) {
        let sending = batch.iter().map(|cut| {
            let node = &node;
            async move {
                (
                    *cut,
                    send_two(node, arrival, *cut, &format!("{cut:03}")).await,
                )
            }
        });
        for (cut, statuses) in futures::future::join_all(sending).await {
            if statuses != ["HTTP/1.1 200 OK", "HTTP/1.1 200 OK"] {
                failures.push((cut, statuses));
            }
        }
    }
    assert!(failures.is_empty(), "{arrival:?}: {failures:?}");
    for cut in cuts {
        for part in ["a", "b"] {
            assert_eq!(site.plain_runs(&format!("{cut:03}{part}")), 1, "{cut}");
        }
    }
    let received: usize = site
        .instances
        .iter()
        .map(standin::site::SiteInstance::received_count)
        .sum();
    assert_eq!(received, 2 * length, "requests that nobody sent");
}

/// Guards against a head whose lines are joined, or a payment that runs under an id that nobody sent, where the rest of
/// a head comes after the response to the request before it.
#[tokio::test(flavor = "multi_thread")]
async fn start_in_same_packet() {
    cut_everywhere(0).await;
}

/// Guards against the same where the start comes while the first request runs, after an empty line as old clients
/// send it after a body.
#[tokio::test(flavor = "multi_thread")]
async fn start_while_running() {
    cut_everywhere(1).await;
}

/// Guards against the same after a body in chunks, whose end only the library knows.
#[tokio::test(flavor = "multi_thread")]
async fn after_chunks_in_same_packet() {
    cut_everywhere(2).await;
}

/// Guards against the same after a body in chunks, while the first request runs.
#[tokio::test(flavor = "multi_thread")]
async fn after_chunks_while_running() {
    cut_everywhere(3).await;
}

/// Guards against 431 for a head with many headers whose start came while another request ran, so that its lines were
/// not counted.
#[tokio::test(flavor = "multi_thread")]
async fn many_headers_while_running() {
    let site = TestSite::start(0, 1);
    site.set_modes(ServiceMode::Delayed(RUN_TIME));
    let node = site.node("n0").await;
    for (round, first) in [payment, chunked_payment].into_iter().enumerate() {
        let mut stream = TcpStream::connect(node.requests).await.expect("connects");
        let mut second = request_head("GET", "/look/x", &format!("m{round}b"));
        for number in 0..180 {
            write!(second, "x-note-{number}: v\r\n").expect("a String can be written");
        }
        second.push_str("\r\n");
        let (start, rest) = second.split_at(second.len() / 2);
        let packet = format!("{}{start}", first(&format!("m{round}a")));
        stream.write_all(packet.as_bytes()).await.expect("written");
        tokio::time::sleep(REST_DELAY).await;
        stream.write_all(rest.as_bytes()).await.expect("written");
        assert_eq!(read_status(&mut stream).await, "HTTP/1.1 200 OK");
        assert_eq!(read_status(&mut stream).await, "HTTP/1.1 200 OK");
    }
}

/// Guards against a head without end that no time limit ends, since its start came while another request ran.
#[tokio::test(flavor = "multi_thread")]
async fn late_head_while_running() {
    let site = TestSite::start(0, 1);
    site.set_modes(ServiceMode::Delayed(RUN_TIME));
    let mut config = configuration(2);
    config["limits"]["header_timeout_ms"] = json!(300);
    site.configure(&config);
    let node = site.node("n0").await;
    for first in [payment, chunked_payment] {
        let mut stream = TcpStream::connect(node.requests).await.expect("connects");
        let packet = format!("{}GET /look/x HTTP/1.1\r\nhost: ", first("l-1"));
        stream.write_all(packet.as_bytes()).await.expect("written");
        assert_eq!(read_status(&mut stream).await, "HTTP/1.1 200 OK");
        let sent_at = Instant::now();
        while stream.write_all(b"x").await.is_ok() {
            tokio::time::sleep(RUN_TIME).await;
            assert!(
                sent_at.elapsed() < RESPONSE_TIMEOUT,
                "the head has no limit"
            );
        }
    }
    node.wait_log_line(&["head_late"]).await;
}

/// Guards against a connection that no longer closes once it is idle, after it was taken apart for the empty line that
/// an old client sends after a body.
#[tokio::test(flavor = "multi_thread")]
async fn idle_after_empty_line() {
    let site = TestSite::start(0, 1);
    let mut config = configuration(2);
    config["limits"]["idle_timeout_ms"] = json!(400);
    site.configure(&config);
    let node = site.node("n0").await;
    for first in [payment, chunked_payment] {
        let mut stream = TcpStream::connect(node.requests).await.expect("connects");
        let packet = format!("{}\r\n", first("i-1"));
        stream.write_all(packet.as_bytes()).await.expect("written");
        assert_eq!(read_status(&mut stream).await, "HTTP/1.1 200 OK");
        let ended = tokio::time::timeout(RESPONSE_TIMEOUT, stream.read_u8()).await;
        assert!(ended.expect("the connection closes").is_err());
    }
}

/// Length of a response that the system can't take at once for a client that reads slowly.
const LARGE_BYTES: usize = 8 << 20;

/// Time for which a client reads a large response.
const READING_TIME: Duration = Duration::from_millis(3500);

/// Reads a large response slowly; returns how many bytes of its body came.
async fn read_slowly(stream: &mut TcpStream) -> usize {
    let began = Instant::now();
    let mut bytes = Vec::new();
    let mut body_at = None;
    while body_at.is_none_or(|at| bytes.len() - at < LARGE_BYTES) {
        let left = body_at.map_or(LARGE_BYTES, |at| LARGE_BYTES + at - bytes.len());
        let mut piece = vec![0; left.min(64 << 10)];
        let read = tokio::time::timeout(RESPONSE_TIMEOUT, stream.read(&mut piece)).await;
        match read.expect("bytes in time") {
            Ok(length @ 1..) => bytes.extend_from_slice(&piece[..length]),
            _ => break,
        }
        if body_at.is_none() {
            let end = bytes.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            body_at = end.map(|end| end + 4);
        }
        let share = f64::from(u32::try_from(bytes.len()).expect("few bytes"))
            / f64::from(u32::try_from(LARGE_BYTES).expect("few bytes"));
        tokio::time::sleep_until(began + READING_TIME.mul_f64(share.min(1.0))).await;
    }
    let body = &bytes[body_at.expect("a head")..];
    assert!(body.iter().all(|byte| *byte == b'y'), "other bytes");
    body.len()
}

async fn start_large() -> (TestSite, TestNode) {
    let site = TestSite::start(0, 1);
    let mut config = configuration(2);
    config["limits"]["header_timeout_ms"] = json!(300);
    config["limits"]["idle_timeout_ms"] = json!(500);
    site.configure(&config);
    let node = site.node("n0").await;
    site.instances[0].set_text(&"y".repeat(LARGE_BYTES));
    (site, node)
}

/// Guards against a response that is cut in the middle because the head of the next request, which the client has sent
/// meanwhile, counts as late: the library reads no head before the response is written.
#[tokio::test(flavor = "multi_thread")]
async fn next_head_during_response() {
    let (site, node) = start_large().await;
    let mut complete = request_head("GET", "/look/x", "n-2");
    let mut many = complete.clone();
    for number in 0..150 {
        write!(many, "x-note-{number}: v\r\n").expect("a String can be written");
    }
    many.push_str("\r\n");
    complete.push_str("\r\n");
    for second in [complete, many] {
        let mut stream = node.connect_narrow().await;
        site.instances[0].set_text(&"y".repeat(LARGE_BYTES));
        let first = format!("{}\r\n", request_head("GET", "/look/x", "n-1"));
        stream.write_all(first.as_bytes()).await.expect("written");
        let runs = site.plain_runs("n-1");
        wait_for("the first request", || {
            site.plain_runs("n-1") > runs || runs > 0
        })
        .await;
        tokio::time::sleep(REST_DELAY * 2).await;
        site.instances[0].set_text("receipt");
        stream.write_all(second.as_bytes()).await.expect("written");
        assert_eq!(read_slowly(&mut stream).await, LARGE_BYTES);
        assert_eq!(read_status(&mut stream).await, "HTTP/1.1 200 OK");
    }
}

/// Guards against a response that is cut when its node stops, or whose connection counts as idle, while its client
/// reads it.
#[tokio::test(flavor = "multi_thread")]
async fn stop_during_response() {
    let (site, mut node) = start_large().await;
    let mut stream = node.connect_narrow().await;
    let first = format!("{}\r\n", request_head("GET", "/look/x", "n-1"));
    stream.write_all(first.as_bytes()).await.expect("written");
    wait_for("the request", || site.plain_runs("n-1") == 1).await;
    tokio::time::sleep(REST_DELAY * 2).await;
    node.signal("TERM");
    assert_eq!(read_slowly(&mut stream).await, LARGE_BYTES);
    drop(stream);
    assert_eq!(node.wait_exit().await, Some(0));
}
