//! Targets that are lost together, one shortly after the other, while popular requests run there.
//!
//! What crashes targets is inferred from what was at the crashes. A joint loss looks like several crashes, and
//! what is popular was at each of them.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use standin::site::{ServiceMode, SiteInstance};
use tokio::time::Instant;
use web::HttpConnection;

use crate::node::TestNode;
use crate::request::{TestRequest, TestResponse, complete_stream, read_response};
use crate::site::TestSite;

/// Pause between two losses.
const LOSS_INTERVAL: Duration = Duration::from_millis(150);

/// Time of a look-up, longer than the losses take: none ends between the first and the last of them.
const LOOK_UP_TIME: Duration = Duration::from_secs(2);

/// Time until lost targets are replaced.
const REPLACEMENT_TIME: Duration = Duration::from_secs(3);

/// Time after the replacement within which clients must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Time for which clients are counted after that.
const SERVED_TIME: Duration = Duration::from_secs(2);

/// Pause of a client after a response that is not a success, unless it is told one.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A response as its client saw it.
#[derive(Debug)]
struct Seen {
    at: Instant,
    status: StatusCode,
}

/// How long a client waits before it returns; an interactive one does not wait for long.
fn return_pause(response: &TestResponse) -> Duration {
    let told = response.headers.get("retry-after");
    let seconds = told.and_then(|value| value.to_str().ok()?.parse().ok());
    let pause = seconds.map_or(RETRY_PAUSE, Duration::from_secs_f64);
    pause.clamp(RETRY_PAUSE, Duration::from_millis(700))
}

/// Sends requests one after the other, as they are made by `request`, until `until`.
async fn run_client(
    node: &TestNode,
    request: impl Fn(usize) -> TestRequest,
    until: Instant,
) -> Vec<Seen> {
    let mut seen = Vec::new();
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let Some((_connection, response)) = request(number).try_begin(node).await else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        let response = read_response(response).await;
        seen.push(Seen {
            at: Instant::now(),
            status: response.status,
        });
        if response.status != StatusCode::OK || !response.complete {
            tokio::time::sleep(return_pause(&response)).await;
        }
    }
    seen
}

fn describe_verdicts(nodes: &[TestNode]) -> String {
    let lines = nodes
        .iter()
        .flat_map(|node| node.log_lines(&["request_barred"]));
    let texts: Vec<String> = lines.map(|line| line.to_string()).collect();
    texts.join("\n")
}

/// Checks that no client was told never to return.
fn check_never_refused(seen: &[Seen], nodes: &[TestNode]) {
    let refused = seen.iter().filter(|seen| seen.status.is_client_error());
    assert_eq!(
        refused.count(),
        0,
        "final answers of {}; {}",
        seen.len(),
        describe_verdicts(nodes)
    );
}

/// Checks that all clients are served after `recovered`.
fn check_served(seen: &[Seen], recovered: Instant, nodes: &[TestNode]) {
    let after = seen.iter().filter(|seen| seen.at >= recovered);
    let (served, other): (Vec<&Seen>, Vec<&Seen>) =
        after.partition(|seen| seen.status == StatusCode::OK);
    assert!(
        !served.is_empty() && other.is_empty(),
        "{} served and {} not after the recovery; {}",
        served.len(),
        other.len(),
        describe_verdicts(nodes)
    );
}

async fn start_nodes(site: &TestSite) -> Vec<TestNode> {
    let mut nodes = Vec::new();
    for index in 0..3 {
        nodes.push(site.node(&format!("n{index}")).await);
    }
    for node in &nodes {
        node.wait_log_line(&["nodes_counted", "\"nodes\":3"]).await;
    }
    nodes
}

/// Guards against 400 for a popular look-up after all instances of its service were lost within half a
/// second: it was at three ends, so every node took it for what crashes instances, for minutes after the
/// instances were back.
#[tokio::test(flavor = "multi_thread")]
async fn lost_instances_refuse_nothing() {
    let mut site = TestSite::start(0, 3);
    let nodes = start_nodes(&site).await;
    site.set_modes(ServiceMode::Delayed(LOOK_UP_TIME));
    let begun = Instant::now();
    let lost_at = begun + Duration::from_secs(1);
    let recovered = lost_at + LOSS_INTERVAL * 3 + REPLACEMENT_TIME + RECOVERY_TIME;
    let until = recovered + SERVED_TIME;
    let clients = (0..18).map(|client| {
        let path = if client % 6 < 4 {
            "/look/popular".to_owned()
        } else {
            format!("/look/{client}")
        };
        let request = move |number: usize| TestRequest::new(&path, &format!("l-{client}-{number}"));
        run_client(&nodes[client % 3], request, until)
    });
    let losses = async {
        tokio::time::sleep_until(lost_at).await;
        while !site.instances.is_empty() {
            drop(site.instances.remove(0));
            tokio::time::sleep(LOSS_INTERVAL).await;
        }
        tokio::time::sleep(REPLACEMENT_TIME).await;
        for index in 3..6 {
            site.store.remove("servers", &format!("s{}", index - 3));
            let instance = SiteInstance::start(&site.store, &format!("s{index}"), "z0");
            site.instances.push(instance.expect("instance starts"));
        }
    };
    let (seen, ()) = tokio::join!(futures::future::join_all(clients), losses);
    let seen: Vec<Seen> = seen.into_iter().flatten().collect();
    check_never_refused(&seen, &nodes);
    check_served(&seen, recovered, &nodes);
}

/// Part of all prompts.
const POPULAR: &str = "aaaa0001";

/// Replicas whose heads crash; enough also for parts that have had no sound answer yet.
const LOST_HEADS: usize = 6;

/// Pause between two crashes of heads. All of them end before the streams have lasted a second.
const CRASH_INTERVAL: Duration = Duration::from_millis(80);

/// Streams that run when the losses begin.
const STREAMS: usize = 60;

/// Time for which the streams have run by then.
const STREAM_AGE: Duration = Duration::from_millis(250);

/// Time after the losses for which clients send the part again, and the pause between two requests.
const RETURN_TIME: Duration = Duration::from_secs(4);
const RETURN_INTERVAL: Duration = Duration::from_millis(200);

/// Time that a client waits for a response to begin.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(1);

fn chat(id: &str) -> TestRequest {
    let own = id
        .bytes()
        .fold(7_u32, |hash, byte| hash.wrapping_mul(31) ^ u32::from(byte));
    TestRequest::chat(id)
        .header("x-prompt-prefix", &format!("{POPULAR}:20,{own:08x}:10"))
        .body(format!("request {id}").into_bytes())
}

/// Serves the part for long enough that sound answers with it are known.
async fn serve_for_a_while(nodes: &[TestNode]) {
    for round in 0..4 {
        for (index, node) in nodes.iter().enumerate() {
            let response = chat(&format!("warm-{round}-{index}")).send(node).await;
            assert_eq!(response.text, complete_stream(12));
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

/// Makes all engines stand still, and crashes the heads of some replicas one after the other: nothing is
/// answered from then on.
async fn lose_heads(site: &TestSite) {
    let serving = site.groups.serving();
    let lost: Vec<&String> = serving
        .iter()
        .take(LOST_HEADS)
        .map(|members| &members[0])
        .collect();
    for engine in &site.engines {
        if !lost.contains(&&engine.id) {
            site.groups.make_unresponsive(&engine.id);
        }
    }
    for head in lost {
        site.groups.crash(head);
        tokio::time::sleep(CRASH_INTERVAL).await;
    }
}

/// Sends the part to each node for a while, whatever becomes of earlier requests.
async fn send_again(nodes: &[TestNode]) -> Vec<Seen> {
    let until = Instant::now() + RETURN_TIME;
    let mut sending = Vec::new();
    for round in 0.. {
        if Instant::now() >= until {
            break;
        }
        for (index, node) in nodes.iter().enumerate() {
            let request = chat(&format!("c-{index}-{round}"));
            sending.push(tokio::spawn(begin_in_time(request, node.requests)));
        }
        tokio::time::sleep(RETURN_INTERVAL).await;
    }
    let mut seen = Vec::new();
    for sent in sending {
        seen.extend(sent.await.expect("a request ends"));
    }
    seen
}

/// Sends a request; the response, if it begins in time.
async fn begin_in_time(request: TestRequest, node: SocketAddr) -> Option<Seen> {
    let begun = async {
        let mut connection = HttpConnection::connect(node, CLIENT_TIMEOUT).await.ok()?;
        let response = request.begin_on(&mut connection).await?;
        Some(response.status())
    };
    let status = tokio::time::timeout(CLIENT_TIMEOUT, begun).await.ok()??;
    Some(Seen {
        at: Instant::now(),
        status,
    })
}

/// Loses heads while streams with the part run that have just begun, then sends the part for a while.
async fn lose_engines(is_known: bool) {
    let site = TestSite::start(60, 0);
    let nodes = start_nodes(&site).await;
    for node in &nodes {
        node.wait_replicas(14).await;
    }
    if is_known {
        serve_for_a_while(&nodes).await;
    }
    site.groups.set_events(60);
    let mut running = Vec::new();
    for index in 0..STREAMS {
        let begun = chat(&format!("r-{index}"))
            .try_begin(&nodes[index % 3])
            .await;
        running.extend(begun);
    }
    tokio::time::sleep(STREAM_AGE).await;
    lose_heads(&site).await;
    let seen = send_again(&nodes).await;
    check_never_refused(&seen, &nodes);
    drop(running);
}

/// Guards against 400 for a popular part of prompts after heads of replicas were lost one shortly after the
/// other while all others stood still: nothing was answered since that could speak for the part.
#[tokio::test(flavor = "multi_thread")]
async fn lost_engines_refuse_nothing() {
    lose_engines(true).await;
}

/// Guards against the same just after a start, when no part has had a sound answer yet.
#[tokio::test(flavor = "multi_thread")]
async fn losses_after_start_refuse_nothing() {
    lose_engines(false).await;
}
