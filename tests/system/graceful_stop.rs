//! Planned stops of an entry under load.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures::future::join_all;
use http::{Method, Request, StatusCode};
use serde_json::json;
use standin::stack::{PATIENCE, StackPlan, TestStack};
use web::body::full_body;

use crate::PRODUCT;
use crate::event_stream::{open_stream, question, undisturbed_text};

const CALLERS: usize = 8;

async fn readiness(stack: &TestStack, entry: usize) -> Option<StatusCode> {
    let address = stack.entries[entry].address;
    let request = Request::builder()
        .method(Method::GET)
        .uri(format!("http://{address}/readyz"))
        .body(full_body(""))
        .expect("a request");
    let answer = stack.client.send(address, request, PATIENCE).await;
    answer.ok().map(|answer| answer.status())
}

/// An entry is stopped for an update while traders use it. The balancer notices by `/readyz` and
/// sends new requests elsewhere; none that reached the entry may be cut off.
#[tokio::test(flavor = "multi_thread")]
async fn none_cut_off() {
    let settings = json!({ "drain_grace": "2s" });
    let plan = StackPlan::new("none-cut-off", PRODUCT).settings("entry", settings);
    let mut stack = plan.start().await;
    let away = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let (away_seen, count) = (&away, &served);
    let shared = &stack;
    let callers = (0..CALLERS).map(|caller| async move {
        for round in 0_u64.. {
            let entry = usize::from(away_seen.load(Ordering::SeqCst));
            let body = question(round * 100 + caller as u64, 30);
            if caller % 2 == 0 {
                let mut stream = open_stream(shared, entry, &body, None).await;
                stream.read_all().await;
                assert_eq!(stream.closing, "[DONE]", "entry {entry}, round {round}");
            } else {
                let answer = shared.complete(entry, "Which form?", 30).await;
                assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
            }
            count.fetch_add(1, Ordering::SeqCst);
            if entry == 1 {
                return;
            }
        }
    });
    let stop = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        shared.entries[0].signal("TERM");
        // The balancer looks once in a while, as real ones do.
        let started = Instant::now();
        while readiness(shared, 0).await == Some(StatusCode::OK) {
            assert!(started.elapsed() < PATIENCE, "it stays ready");
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        away_seen.store(true, Ordering::SeqCst);
    };
    futures::future::join(join_all(callers), stop).await;
    stack.entries[0].wait();
    println!("{} requests, none cut off", served.load(Ordering::SeqCst));
}

/// A stream runs longer than a stopping entry may wait. Its caller is asked to go on at another
/// entry and loses nothing; a caller that doesn't stream gets its whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn handed_over() {
    let settings = json!({ "drain_grace": "300ms", "finish": "300ms" });
    let plan = StackPlan::new("handed-over", PRODUCT).settings("entry", settings);
    let mut stack = plan.start().await;
    let body = question(21, 600);
    let expected = undisturbed_text(&stack, 1, &body).await;
    let mut first = open_stream(&stack, 0, &body, None).await;
    first.read_words(5).await;
    let whole = stack.complete(0, "Which form?", 600);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        stack.entries[0].signal("TERM");
    };
    let (whole, (), ()) = tokio::join!(whole, stop, first.read_all());
    assert_eq!(whole.status, StatusCode::OK, "{}", whole.text());
    assert_eq!(whole.json()["usage"]["completion_tokens"], 600);
    assert_eq!(first.closing, "resume", "asked to go on elsewhere");
    let mut second = open_stream(&stack, 1, &body, Some(&first.last_id)).await;
    second.read_all().await;
    assert_eq!(second.closing, "[DONE]");
    assert_eq!(format!("{}{}", first.text, second.text), expected);
    stack.entries[0].wait();
}

/// An operator can't wait and sends the signal again; the process must end at once.
#[tokio::test(flavor = "multi_thread")]
async fn second_signal() {
    let settings = json!({ "drain_grace": "1m" });
    let plan = StackPlan::new("second-signal", PRODUCT).settings("entry", settings);
    let mut stack = plan.start().await;
    stack.entries[0].signal("TERM");
    let started = Instant::now();
    while readiness(&stack, 0).await == Some(StatusCode::OK) {
        assert!(started.elapsed() < PATIENCE, "it stays ready");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    stack.entries[0].signal("TERM");
    stack.entries[0].wait();
    assert!(started.elapsed() < PATIENCE, "it waited");
}
