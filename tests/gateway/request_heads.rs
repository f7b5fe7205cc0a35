//! Request heads that are proper by HTTP and within the limits that the configuration states.

use std::fmt::Write as _;

use crate::refusal_makers::first_line;
use crate::site::{HOST, KEY, TestSite};

/// Head of a look-up with further header lines, without the empty line at its end.
fn look_up_head(id: &str, host: &str) -> String {
    format!(
        "GET /look/x HTTP/1.1\r\nhost: {host}\r\nx-request-id: {id}\r\nx-credential: {KEY}\r\n\
         x-deadline-ms: 5000\r\n"
    )
}

async fn assert_served(head: &str) {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let line = first_line(node.requests, format!("{head}\r\n").as_bytes()).await;
    assert_eq!(line, "HTTP/1.1 200 OK");
}

/// Guards against 431 for a head of many small headers that is well within `max_header_bytes`: the HTTP
/// library counts headers, and the client is told for good that its request is wrong.
#[tokio::test(flavor = "multi_thread")]
async fn many_small_headers() {
    let mut head = look_up_head("h-1", HOST);
    for number in 0..120 {
        write!(head, "x-note-{number}: {}\r\n", "v".repeat(45)).expect("a String can be written");
    }
    assert!(head.len() < 8 << 10);
    assert_served(&head).await;
}

/// Guards against the same for as many headers as fit into the limit.
#[tokio::test(flavor = "multi_thread")]
async fn as_many_headers_as_fit() {
    let mut head = look_up_head("h-1", HOST);
    for number in 0.. {
        let line = format!("h{number}:\r\n");
        if head.len() + line.len() > 16_000 {
            break;
        }
        head.push_str(&line);
    }
    assert_served(&head).await;
}

/// Guards against 404 for the fully qualified form of the host's name.
#[tokio::test(flavor = "multi_thread")]
async fn host_with_trailing_dot() {
    assert_served(&look_up_head("h-1", &format!("{HOST}."))).await;
    assert_served(&look_up_head("h-2", &format!("{HOST}.:8080"))).await;
}
