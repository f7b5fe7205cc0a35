//! Planned stops while targets are slow: each request that a node has taken gets an answer.

use std::time::{Duration, Instant};

use http::StatusCode;
use serde_json::json;
use standin::site::ServiceMode;

use crate::node::TestNode;
use crate::request::{TestRequest, TestResponse};
use crate::site::{TestSite, configuration};

/// Clients that send at once, each one request after the other.
const CLIENTS: usize = 8;

/// Time after which no process that was told to stop runs any more.
const STOP_TIME: Duration = Duration::from_secs(10);

/// What became of the requests of clients that send until the node is gone.
#[derive(Default)]
struct StopOutcome {
    answers: Vec<TestResponse>,
    /// Requests that had no answer though a target had run them.
    cut: Vec<String>,
}

/// Sends payments on kept connections until the node takes no more connections.
async fn send_until_gone(site: &TestSite, node: &TestNode, client: usize) -> StopOutcome {
    let mut outcome = StopOutcome::default();
    let until = Instant::now() + STOP_TIME;
    for number in 0.. {
        let id = format!("p-{client}-{number}");
        let request = TestRequest::new("/pay/x", &id).header("x-deadline-ms", "9000");
        let Some((_connection, response)) = request.try_begin(node).await else {
            if site.plain_runs(&id) > 0 {
                outcome.cut.push(id);
            }
            let connected = tokio::net::TcpStream::connect(node.requests).await;
            if Instant::now() >= until || connected.is_err() {
                break;
            }
            continue;
        };
        outcome
            .answers
            .push(crate::request::read_response(response).await);
    }
    outcome
}

/// A site whose route for payments lets them take long, and whose targets take this long.
fn slow_site(stop_grace_s: u64, delay: Duration) -> TestSite {
    let mut site = TestSite::start(0, 3);
    site.stop_grace_s = stop_grace_s;
    let mut config = configuration(2);
    config["routes"][1]["timeout_ms"] = json!(9000);
    site.configure(&config);
    site.set_modes(ServiceMode::Delayed(delay));
    site
}

/// Stops a node while clients send; `signals` are sent a little apart.
async fn stop(site: &TestSite, signals: usize) -> StopOutcome {
    let mut node = site.node("n0").await;
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        for _ in 0..signals {
            node.signal("TERM");
            tokio::time::sleep(Duration::from_millis(400)).await;
        }
    };
    let clients = (0..CLIENTS).map(|client| send_until_gone(site, &node, client));
    let ((), outcomes) = tokio::join!(stopping, futures::future::join_all(clients));
    let mut all = StopOutcome::default();
    for outcome in outcomes {
        all.answers.extend(outcome.answers);
        all.cut.extend(outcome.cut);
    }
    assert_eq!(node.wait_exit().await, Some(0));
    all
}

/// Guards against payments that are cut without an answer at the end of a grace that is shorter than the time for
/// which a stopping node takes everything.
#[tokio::test(flavor = "multi_thread")]
async fn short_grace_cuts_nothing() {
    let site = slow_site(3, Duration::from_millis(700));
    let outcome = stop(&site, 1).await;
    assert_eq!(
        outcome.cut,
        Vec::<String>::new(),
        "{} answers",
        outcome.answers.len()
    );
    let is_paid = |answer: &&TestResponse| answer.status == StatusCode::OK;
    assert!(outcome.answers.iter().filter(is_paid).count() >= CLIENTS);
    let is_other = |answer: &&TestResponse| {
        !is_paid(answer) && answer.status != StatusCode::SERVICE_UNAVAILABLE
    };
    assert_eq!(
        outcome.answers.iter().filter(is_other).count(),
        0,
        "no payment is given up"
    );
}

/// Guards against payments that are cut without an answer since their target is still at work at the end of the grace:
/// clients are told that they may have run. A second signal changes nothing.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_requests_answered() {
    let site = slow_site(8, Duration::from_secs(30));
    let outcome = stop(&site, 2).await;
    assert_eq!(
        outcome.cut,
        Vec::<String>::new(),
        "{} answers",
        outcome.answers.len()
    );
    let is_unknown = |answer: &&TestResponse| answer.status == StatusCode::GATEWAY_TIMEOUT;
    assert!(outcome.answers.iter().filter(is_unknown).count() >= CLIENTS);
}
