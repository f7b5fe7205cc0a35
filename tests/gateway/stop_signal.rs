//! Graceful stops.

use std::time::Duration;

use http::StatusCode;

use standin::site::PlainMode;

use crate::request::{TestRequest, complete_stream, read_response};
use crate::site::TestSite;

/// Events of a stream that lasts about two seconds, so that one taken late can't end in time.
const STREAM_EVENTS: usize = 50;

/// Pause between two callers; the one replica has room for their streams.
const CALLER_PAUSE: Duration = Duration::from_millis(300);

/// Time for which the process is paused while a caller connects.
const PAUSED_TIME: Duration = Duration::from_millis(20);

/// A node is stopped in the middle of an answer. It is not ready at once, so the balancer sends
/// new callers elsewhere; the answer ends whole, and the process ends by itself.
#[tokio::test(flavor = "multi_thread")]
async fn stream_ends_whole() {
    let site = TestSite::start(4, 1);
    let mut node = site.node("n0").await;
    node.wait_replicas(1).await;
    site.groups.set_events(40);
    let (_link, answer) = TestRequest::chat("c-1").begin(&node).await;
    node.signal("TERM");
    node.wait_ready(false).await;
    // A caller that has not heard of it yet is still answered, and told to leave.
    let late = TestRequest::new("/look/x", "l-1").send(&node).await;
    assert_eq!(late.status, StatusCode::OK);
    assert_eq!(late.headers["connection"], "close");
    let answer = read_response(answer).await;
    assert!(answer.complete);
    assert_eq!(answer.text, complete_stream(40));
    assert_eq!(node.wait_exit().await, Some(0));
    assert_eq!(node.lines(&["node_stopping"]).len(), 2);
}

/// Nodes of one failure domain are stopped one after the other, so that the balancer, with too few
/// ready ones, goes on opening connections to those that stop. Callers see either a whole answer or
/// a refusal that sends them elsewhere at once; none is cut off in the middle of an answer, however
/// late it came.
#[tokio::test(flavor = "multi_thread")]
async fn late_callers_whole() {
    let site = TestSite::start(4, 1);
    let mut node = site.node("n0").await;
    node.wait_replicas(1).await;
    site.groups.set_events(STREAM_EVENTS);
    node.signal("TERM");
    let mut streams = Vec::new();
    for number in 0.. {
        if !node.is_running() {
            break;
        }
        tokio::time::sleep(CALLER_PAUSE).await;
        let call = TestRequest::chat(&format!("c-{number}"));
        // A busy host takes a connection when its request is already there.
        node.signal("STOP");
        let resume = async {
            tokio::time::sleep(PAUSED_TIME).await;
            node.signal("CONT");
        };
        let (began, ()) = tokio::join!(call.try_begin(&node), resume);
        let Some((link, answer)) = began else {
            continue;
        };
        if answer.status() != StatusCode::OK {
            assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
            assert!(answer.headers().contains_key("retry-after"));
            continue;
        }
        // The connection stays open until its answer was read.
        streams.push(tokio::spawn(async move {
            let answer = read_response(answer).await;
            drop(link);
            answer
        }));
    }
    assert_eq!(node.wait_exit().await, Some(0));
    assert!(!streams.is_empty(), "the first callers are still served");
    let sent_on = node.lines(&["gateway_refused", "node is shutting down"]);
    assert!(!sent_on.is_empty(), "the last ones are sent elsewhere");
    for stream in streams {
        let answer = stream.await.expect("a stream");
        assert!(answer.complete, "cut off: {answer:?}");
        assert_eq!(answer.text, complete_stream(STREAM_EVENTS));
    }
}

/// The last callers have gone, and the process is about to end when another one connects. Either
/// its payment is made and it gets the receipt, or the connection closes before any target has seen
/// the payment; a payment that is made without a receipt looks lost to the trader.
#[tokio::test(flavor = "multi_thread")]
async fn last_caller_answered() {
    let site = TestSite::start(0, 1);
    let mut node = site.node("n0").await;
    site.instances[0].set_mode(PlainMode::Slow);
    node.signal("TERM");
    for number in 0.. {
        if !node.is_running() {
            break;
        }
        let id = format!("p-{number}");
        // Short enough to be over before the process must end.
        let call = TestRequest::new("/pay/x", &id).header("x-deadline-ms", "1000");
        let Some((_link, answer)) = call.try_begin(&node).await else {
            assert_eq!(site.instances[0].runs(&id), 0, "{id} was paid unanswered");
            continue;
        };
        let answer = read_response(answer).await;
        let refused = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(refused || answer.status == StatusCode::OK, "{answer:?}");
    }
    assert_eq!(node.wait_exit().await, Some(0));
}

/// The settings file changes while the process runs.
#[tokio::test(flavor = "multi_thread")]
async fn settings_reread() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    node.signal("HUP");
    let line = node.wait_line(&["settings_reread"]).await;
    assert_eq!(line["outcome"], "usable");
    assert!(node.is_ready().await);
}
