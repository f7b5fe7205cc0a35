//! Partitions, restarts and lost hosts in random series that overlap, under load.
//!
//! A few seeds by default; `SOAK_SEEDS=FIRST..END` plays others.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use http::StatusCode;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::time::Instant;
use web::HttpConnection;

use crate::node::TestNode;
use crate::request::{TestRequest, complete_stream, read_response};
use crate::site::TestSite;
use crate::soak_client::{kept_connection, soak_seeds};
use crate::target_proxies::{PartitionKind, TargetProxies};

/// Seeds that are played by default.
const DEFAULT_SEEDS: Range<u64> = 1..4;

/// Time for which faults come.
const FAULT_TIME: Duration = Duration::from_secs(12);

/// Time after the last fault within which each request must be served again.
const CALM_TIME: Duration = Duration::from_secs(5);

/// Pause of a client that was not served.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Clients of each node; each keeps its connection while the node does.
const CLIENTS: usize = 3;

/// What a client got for a payment.
type PaymentLog = BTreeMap<String, Option<StatusCode>>;

/// Sends chats and payments one after the other until the time is over, on one connection while it lasts.
async fn run_client(node: &TestNode, name: String, until: Instant) -> PaymentLog {
    let mut payments = PaymentLog::new();
    let mut open: Option<HttpConnection> = None;
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("{name}-{number}");
        let is_payment = number % 2 == 0;
        let request = if is_payment {
            TestRequest::new("/pay/fee", &id).header("x-deadline-ms", "1500")
        } else {
            TestRequest::chat(&id)
        };
        let Some(mut connection) = kept_connection(open.take(), node).await else {
            continue;
        };
        let response = match request.begin_on(&mut connection).await {
            Some(response) => Some(read_response(response).await),
            None => None,
        };
        if let Some(response) = &response {
            if response.complete {
                open = Some(connection);
            }
            if !is_payment && response.status == StatusCode::OK && response.complete {
                assert_eq!(response.text, complete_stream(12), "{id}");
            }
        }
        if response
            .as_ref()
            .is_none_or(|response| response.status != StatusCode::OK)
        {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        if is_payment {
            payments.insert(id, response.map(|response| response.status));
        }
    }
    payments
}

/// Partitions the nodes behind the proxies in one way after the other, and drains or loses a host.
async fn bring_faults(site: &TestSite, proxies: &TargetProxies, seed: u64, until: Instant) {
    let mut rng = StdRng::seed_from_u64(seed);
    let kinds = [
        PartitionKind::Silent,
        PartitionKind::Reset,
        PartitionKind::ResetOnUse,
        PartitionKind::RefusesNew,
        PartitionKind::Healed,
    ];
    let mut lost = 0;
    while Instant::now() < until {
        let kind = kinds[rng.random_range(0..kinds.len())];
        proxies.set(kind).await;
        let host = format!("e{}", rng.random_range(0..site.engines.len()));
        if lost < 1 && rng.random_bool(0.3) {
            lost += 1;
            site.groups.make_unresponsive(&host);
            site.groups.expire(&host);
        } else if lost < 2 && rng.random_bool(0.2) {
            lost += 1;
            site.groups.drain(&host);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..2500))).await;
    }
    proxies.set(PartitionKind::Healed).await;
}

async fn soak(seed: u64) {
    let site = TestSite::start(14, 2);
    let proxies = TargetProxies::start(&site);
    let behind = [
        site.node_in("z0", "n0", proxies.store).await,
        site.node_in("z1", "n1", proxies.store).await,
    ];
    let beside = site.node_in("z1", "n2", site.store_address()).await;
    let mut stopping = site.node_in("z0", "n3", site.store_address()).await;
    for node in behind.iter().chain([&beside, &stopping]) {
        node.wait_replicas(3).await;
        node.wait_log_line(&["nodes_counted", "\"nodes\":4"]).await;
    }
    let until = Instant::now() + FAULT_TIME;
    let mut clients = Vec::new();
    for node in behind.iter().chain([&beside, &stopping]) {
        for number in 0..CLIENTS {
            let name = format!("s{seed}-{}-{number}", node.requests.port());
            clients.push(run_client(node, name, until));
        }
    }
    let stop_after = Duration::from_millis(1000 + (seed * 977) % 8000);
    let stop = async {
        tokio::time::sleep(stop_after).await;
        stopping.signal("TERM");
    };
    let faults = bring_faults(&site, &proxies, seed, until);
    let (logs, (), ()) = tokio::join!(futures::future::join_all(clients), faults, stop);
    for (id, status) in logs.into_iter().flatten() {
        let runs = site.plain_runs(&id);
        assert!(runs <= 1, "seed {seed}: payment {id} ran {runs} times");
        let is_not_run = status == Some(StatusCode::SERVICE_UNAVAILABLE);
        assert!(
            !is_not_run || runs == 0,
            "seed {seed}: {id} was answered as not run"
        );
        assert!(
            status != Some(StatusCode::OK) || runs == 1,
            "seed {seed}: {id}"
        );
    }
    tokio::time::sleep(CALM_TIME).await;
    for (index, node) in behind.iter().chain([&beside]).enumerate() {
        for number in 0..4 {
            let id = format!("s{seed}-calm-{index}-{number}");
            let chat = TestRequest::chat(&id).send(node).await;
            assert_eq!(chat.status, StatusCode::OK, "seed {seed}: {id}");
            let paid = TestRequest::new("/pay/fee", &format!("{id}-pay"))
                .send(node)
                .await;
            assert_eq!(paid.status, StatusCode::OK, "seed {seed}: {id}");
        }
    }
    assert_eq!(stopping.wait_exit().await, Some(0), "seed {seed}");
    assert_eq!(
        site.groups.violations(),
        Vec::<String>::new(),
        "seed {seed}"
    );
}

/// Whatever happens to paths, hosts and nodes at once, a payment runs at most once, what is answered as
/// not run has not run, streams are whole, and all is served again soon after.
#[tokio::test(flavor = "multi_thread")]
async fn promises_kept() {
    for seed in soak_seeds("SOAK_SEEDS", DEFAULT_SEEDS) {
        println!("seed {seed}");
        soak(seed).await;
    }
}
