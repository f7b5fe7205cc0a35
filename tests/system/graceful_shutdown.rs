//! Graceful shutdown of an entry node under load.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures::future::join_all;
use http::{Method, Request, StatusCode};
use serde_json::json;
use standin::stack::{StackPlan, TestStack, WAIT_TIMEOUT};
use web::body::full_body;

use crate::BINARY;
use crate::event_stream_client::{complete_text, completion_request, open_stream};

const CLIENTS: usize = 8;

/// The status of `/readyz`; none without a response.
async fn readiness(stack: &TestStack, entry: usize) -> Option<StatusCode> {
    let address = stack.entries[entry].address;
    let request = Request::builder()
        .method(Method::GET)
        .uri(format!("http://{address}/readyz"))
        .body(full_body(""))
        .expect("a request");
    let response = stack.client.send(address, request, WAIT_TIMEOUT).await;
    response.ok().map(|response| response.status())
}

/// An entry node is stopped for an update while clients use it. The load balancer learns of it from
/// `/readyz` and sends new requests elsewhere. No request that reached the node may be cut off.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_completes_requests() {
    let settings = json!({ "drain_grace": "2s" });
    let plan = StackPlan::new("graceful-shutdown", BINARY).settings("entry", settings);
    let mut stack = plan.start().await;
    let has_moved = Arc::new(AtomicBool::new(false));
    let completed_count = Arc::new(AtomicUsize::new(0));
    let (moved_away, completed) = (&has_moved, &completed_count);
    let shared = &stack;
    let clients = (0..CLIENTS).map(|client| async move {
        for round in 0_u64.. {
            let entry = usize::from(moved_away.load(Ordering::SeqCst));
            let body = completion_request(round * 100 + client as u64, 30);
            if client % 2 == 0 {
                let mut stream = open_stream(shared, entry, &body, None).await;
                stream.read_all().await;
                assert_eq!(stream.final_event, "[DONE]", "entry {entry}, round {round}");
            } else {
                let response = shared.complete(entry, "Which form?", 30).await;
                assert_eq!(response.status, StatusCode::OK, "{}", response.text());
            }
            completed.fetch_add(1, Ordering::SeqCst);
            if entry == 1 {
                return;
            }
        }
    });
    let stop = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        shared.entries[0].signal("TERM");
        // The load balancer polls at an interval.
        let started = Instant::now();
        while readiness(shared, 0).await == Some(StatusCode::OK) {
            assert!(started.elapsed() < WAIT_TIMEOUT, "the node stays ready");
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        moved_away.store(true, Ordering::SeqCst);
    };
    futures::future::join(join_all(clients), stop).await;
    stack.entries[0].wait();
    println!(
        "{} requests, none cut off",
        completed_count.load(Ordering::SeqCst)
    );
}

/// A stream runs for longer than the shutdown may take. Its client is told to resume at another
/// entry node and must lose no event. A client that does not stream gets the complete response.
#[tokio::test(flavor = "multi_thread")]
async fn long_stream_resumes_elsewhere() {
    let settings = json!({ "drain_grace": "300ms", "finish": "300ms" });
    let plan = StackPlan::new("resumes-elsewhere", BINARY).settings("entry", settings);
    let mut stack = plan.start().await;
    let body = completion_request(21, 600);
    let expected = complete_text(&stack, 1, &body).await;
    let mut interrupted = open_stream(&stack, 0, &body, None).await;
    interrupted.read_words(5).await;
    let complete = stack.complete(0, "Which form?", 600);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        stack.entries[0].signal("TERM");
    };
    let (complete, (), ()) = tokio::join!(complete, stop, interrupted.read_all());
    assert_eq!(complete.status, StatusCode::OK, "{}", complete.text());
    assert_eq!(complete.json()["usage"]["completion_tokens"], 600);
    assert_eq!(
        interrupted.final_event, "resume",
        "the client is told to resume elsewhere"
    );
    let mut resumed = open_stream(&stack, 1, &body, Some(&interrupted.last_id)).await;
    resumed.read_all().await;
    assert_eq!(resumed.final_event, "[DONE]");
    assert_eq!(format!("{}{}", interrupted.text, resumed.text), expected);
    stack.entries[0].wait();
}

/// A second signal must end the process at once, without waiting for the drain.
#[tokio::test(flavor = "multi_thread")]
async fn second_signal_ends_process() {
    let settings = json!({ "drain_grace": "1m" });
    let plan = StackPlan::new("second-signal", BINARY).settings("entry", settings);
    let mut stack = plan.start().await;
    stack.entries[0].signal("TERM");
    let started = Instant::now();
    while readiness(&stack, 0).await == Some(StatusCode::OK) {
        assert!(started.elapsed() < WAIT_TIMEOUT, "the node stays ready");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    stack.entries[0].signal("TERM");
    stack.entries[0].wait();
    assert!(
        started.elapsed() < WAIT_TIMEOUT,
        "the process waited for the drain"
    );
}
