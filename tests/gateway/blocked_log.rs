//! A log that its reader does not read, or that requests fill up to its limit.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::StatusCode;

use crate::request::TestRequest;
use crate::site::{CONFIG_BOUND, TestSite, configuration};

/// Clients that send one request after the other, each of which writes a line.
const CLIENTS: usize = 8;

/// Time in which their lines take what the log may write at once.
const FILL_TIME: Duration = Duration::from_secs(2);

/// The log collector hangs and the pipe fills up. Clients are still served, and dropped log lines
/// are counted.
#[tokio::test(flavor = "multi_thread")]
async fn blocked_reader_drops_lines() {
    let site = TestSite::start(0, 1);
    let node = site.node_with_unread_log("n0");
    node.wait_ready(true).await;
    for number in 0..1500 {
        let request = TestRequest::new("/nowhere/x", &format!("r-{number}"));
        assert_eq!(request.send(&node).await.status, StatusCode::NOT_FOUND);
    }
    let served = TestRequest::new("/look/x", "last").send(&node).await;
    assert_eq!(served.status, StatusCode::OK);
    let metrics = node.metrics().await;
    let dropped = metrics
        .lines()
        .find(|line| line.starts_with("bramleyspring_gateway_log_dropped"))
        .expect("metric exists");
    assert!(!dropped.ends_with(" 0"), "{dropped}");
}

/// Guards against a change of the configuration that is in force without a line that says so, since the lines of
/// requests have taken all that the log may write. On-call tells by that line from when a change was in force.
#[tokio::test(flavor = "multi_thread")]
async fn change_logged_beside_requests() {
    let site = TestSite::start(0, 2);
    let node = site.node("n0").await;
    let is_over = AtomicBool::new(false);
    let clients = (0..CLIENTS).map(|client| {
        let (node, is_over) = (&node, &is_over);
        async move {
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let request = TestRequest::new("/look/x", &format!("r-{client}-{number}"));
                request.send(node).await;
            }
        }
    });
    let changing = async {
        tokio::time::sleep(FILL_TIME).await;
        for revision in 8..12 {
            site.configure(&configuration(revision));
            tokio::time::sleep(CONFIG_BOUND).await;
            let metrics = node.metrics().await;
            let mut lines = metrics.lines();
            let line = lines.find(|line| line.starts_with("bramleyspring_gateway_config_revision"));
            let line = line.expect("metric exists");
            assert!(line.ends_with(&format!(" {revision}")), "{line}");
        }
        is_over.store(true, Ordering::Relaxed);
    };
    tokio::join!(futures::future::join_all(clients), changing);
    assert!(!node.log_lines(&["lines_dropped"]).is_empty());
    for revision in 8..12 {
        node.wait_log_line(&["config_applied", &format!("\"revision\":{revision},")])
            .await;
    }
}
