//! What all nodes share, and what targets state of themselves, under faults in random series that overlap:
//! retries, limits, backoffs and drains, counted at the engines.
//!
//! A few seeds by default; `SHARED_SOAK_SEEDS=FIRST..END` plays others.

use std::cell::RefCell;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use standin::site::{GateMode, StoreGate};

use crate::node::TestNode;
use crate::request::{TestRequest, read_response};
use crate::retry_totals::ALLOWANCE;
use crate::site::TestSite;
use crate::soak_client::soak_seeds;
use crate::target_proxies::{PartitionKind, TargetProxies};

/// Seeds that are played by default.
const DEFAULT_SEEDS: Range<u64> = 1..3;

/// Nodes with a gate of their own to the store, and nodes behind the proxies of the targets.
const GATED: usize = 5;
const PROXIED: usize = 2;

/// Time for which faults come; longer than the time after which a heartbeat expires.
const FAULT_TIME: Duration = Duration::from_secs(22);

/// Clients of each node, and the pause between two requests of one.
const CLIENTS: usize = 3;
const PAUSE: Duration = Duration::from_millis(40);

/// Longest time for which a client waits for a response; a paused node gives none.
const PATIENCE: Duration = Duration::from_secs(2);

/// Requests a second that a head in need takes, and what is allowed in a window.
const LIMIT: f64 = 2.0;
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_ALLOWED: f64 = 1.5 * 4.0 * LIMIT + 5.0;

/// Time after which nodes that were told must follow a limit.
const LEARNING_TIME: Duration = Duration::from_secs(3);

/// Time after a rejection in which what was sent before it may still arrive, and how many requests of a node may
/// arrive after it in the same backoff.
const BACKOFF_GRACE: Duration = Duration::from_millis(500);
const BACKOFF_ALLOWED: usize = 2;

/// Time after a node was told that a target leaves from which on nothing may reach it from there.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

struct SoakSite {
    site: TestSite,
    gates: Vec<StoreGate>,
    proxies: TargetProxies,
    nodes: RefCell<Vec<Rc<TestNode>>>,
}

impl SoakSite {
    async fn start() -> Self {
        let site = TestSite::start(14, 0);
        let proxies = TargetProxies::start(&site);
        let mut gates = Vec::new();
        let mut nodes = Vec::new();
        for index in 0..GATED {
            let (node, gate) = site.gated_node(&domain(index), &name(index)).await;
            gates.push(gate);
            nodes.push(Rc::new(node));
        }
        for index in GATED..GATED + PROXIED {
            let (domain, name) = (domain(index), name(index));
            nodes.push(Rc::new(site.node_in(&domain, &name, proxies.store).await));
        }
        for node in &nodes {
            node.wait_replicas(3).await;
            let all = format!("\"nodes\":{}", GATED + PROXIED);
            node.wait_log_line(&["nodes_counted", &all]).await;
        }
        Self {
            site,
            gates,
            proxies,
            nodes: RefCell::new(nodes),
        }
    }

    fn node(&self, index: usize) -> Rc<TestNode> {
        Rc::clone(&self.nodes.borrow()[index])
    }

    /// Kills a gated node and starts it again.
    async fn restart(&self, index: usize, pause: Duration) {
        self.node(index).signal("KILL");
        tokio::time::sleep(pause).await;
        let store = self.gates[index].address;
        let (domain, name) = (domain(index), name(index));
        let node = self.site.unready_node_in(&domain, &name, store, false);
        let node = Rc::new(node.await);
        self.nodes.borrow_mut()[index] = node;
    }
}

fn domain(index: usize) -> String {
    format!("z{}", index % 3)
}

fn name(index: usize) -> String {
    format!("n{index}")
}

async fn run_client(soak: &SoakSite, index: usize, name: String, until: Instant) {
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let node = soak.node(index);
        let request = TestRequest::chat(&format!("{name}-{number}"));
        soak.site.groups.arrivals.record_sent();
        let sending = async {
            if let Some((_connection, response)) = request.try_begin(&node).await {
                drop(read_response(response).await);
            }
        };
        // A client that leaves is one of the faults.
        drop(tokio::time::timeout(PATIENCE, sending).await);
        tokio::time::sleep(PAUSE).await;
    }
}

async fn run_clients(soak: &SoakSite, seed: u64, until: Instant) {
    let clients = (0..GATED + PROXIED).flat_map(|index| {
        (0..CLIENTS)
            .map(move |client| run_client(soak, index, format!("n{index}.s{seed}-{client}"), until))
    });
    futures::future::join_all(clients).await;
}

/// A fault of some nodes or of the targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultKind {
    TurnedAway,
    SilentStore,
    LostResponses,
    SlowStore,
    Paused,
    Killed,
    Partitioned,
    Full,
}

/// Faults that come while retries are counted.
const RETRY_FAULTS: [FaultKind; 9] = [
    FaultKind::TurnedAway,
    FaultKind::SilentStore,
    FaultKind::LostResponses,
    FaultKind::SlowStore,
    FaultKind::Paused,
    FaultKind::Killed,
    FaultKind::Partitioned,
    FaultKind::Full,
    FaultKind::Full,
];

/// Faults that come while a limit is stated; a node that is paused, killed or cut off is excused from it.
const LIMIT_FAULTS: [FaultKind; 5] = [
    FaultKind::TurnedAway,
    FaultKind::SilentStore,
    FaultKind::LostResponses,
    FaultKind::SlowStore,
    FaultKind::Full,
];

/// Faults that come while backoffs are asked for; paths to targets are lost, too, so that requests pass through
/// other nodes.
const BACKOFF_FAULTS: [FaultKind; 6] = [
    FaultKind::TurnedAway,
    FaultKind::SilentStore,
    FaultKind::LostResponses,
    FaultKind::SlowStore,
    FaultKind::Partitioned,
    FaultKind::Full,
];

async fn bring_faults(soak: &SoakSite, kinds: &[FaultKind], seed: u64, until: Instant) {
    let series = (0..3).map(|number| async move {
        let mut rng = StdRng::seed_from_u64(seed * 31 + number);
        while Instant::now() < until {
            let kind = kinds[rng.random_range(0..kinds.len())];
            bring_fault(soak, kind, &mut rng).await;
            tokio::time::sleep(Duration::from_millis(rng.random_range(20..800))).await;
        }
    });
    futures::future::join_all(series).await;
    for gate in &soak.gates {
        gate.set(GateMode::Open);
    }
    soak.proxies.set(PartitionKind::Healed).await;
    soak.site.groups.set_rejects(false);
}

async fn bring_fault(soak: &SoakSite, kind: FaultKind, rng: &mut StdRng) {
    let lasting = Duration::from_millis(rng.random_range(300..6000));
    let index = rng.random_range(0..GATED);
    match kind {
        // Long enough for heartbeats to expire.
        FaultKind::TurnedAway => gate_most(soak, GateMode::TurnsAway, index, lasting * 3).await,
        FaultKind::SilentStore => gate_most(soak, GateMode::Silent, index, lasting).await,
        FaultKind::LostResponses => gate_most(soak, GateMode::LosesResponses, index, lasting).await,
        FaultKind::SlowStore => {
            let slow = GateMode::Slow(Duration::from_millis(200));
            gate_most(soak, slow, index, lasting).await;
        }
        FaultKind::Paused => {
            let node = soak.node(index);
            node.signal("STOP");
            tokio::time::sleep(lasting).await;
            node.signal("CONT");
        }
        FaultKind::Killed => soak.restart(index, lasting / 10).await,
        FaultKind::Partitioned => {
            let kinds = [
                PartitionKind::Silent,
                PartitionKind::Reset,
                PartitionKind::ResetOnUse,
            ];
            soak.proxies
                .set(kinds[rng.random_range(0..kinds.len())])
                .await;
            tokio::time::sleep(lasting / 2).await;
            soak.proxies.set(PartitionKind::Healed).await;
        }
        FaultKind::Full => {
            soak.site.groups.set_rejects(true);
            tokio::time::sleep(lasting / 2).await;
            soak.site.groups.set_rejects(false);
        }
    }
}

/// Puts the gates of all nodes but one into a mode for a while.
async fn gate_most(soak: &SoakSite, mode: GateMode, spared: usize, lasting: Duration) {
    let gates = soak.gates.iter().enumerate();
    let gates = gates.filter(|(index, _)| *index != spared);
    let gates: Vec<&StoreGate> = gates.map(|(_, gate)| gate).collect();
    for gate in &gates {
        gate.set(mode);
    }
    tokio::time::sleep(lasting.min(FAULT_TIME / 2)).await;
    for gate in &gates {
        gate.set(GateMode::Open);
    }
}

/// States a limit at the head of a replica, and drops it again, while it serves; counts what it gets in
/// between.
async fn state_limits(soak: &SoakSite, seed: u64, until: Instant) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x11);
    while Instant::now() < until {
        let serving = soak.site.groups.serving();
        let Some(replica) = serving.get(rng.random_range(0..serving.len().max(1))) else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let head = replica[0].clone();
        soak.site.groups.set_limit(&head, Some(LIMIT));
        let stated = Instant::now();
        tokio::time::sleep(Duration::from_millis(rng.random_range(4000..11_000))).await;
        let arrivals = &soak.site.groups.arrivals;
        let most = arrivals.most_at(&head, stated + LEARNING_TIME, LIMIT_WINDOW);
        soak.site.groups.set_limit(&head, None);
        let most = f64::from(u32::try_from(most).expect("few requests"));
        assert!(
            most <= LIMIT_ALLOWED,
            "seed {seed}: {most} requests in a window at {head}"
        );
        tokio::time::sleep(Duration::from_millis(rng.random_range(500..2500))).await;
    }
}

/// Lets one head, some or all ask for backoffs again and again, and one say that it leaves, while they serve.
async fn state_backoffs(soak: &SoakSite, seed: u64, until: Instant) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x55);
    let mut leaving = rng.random_bool(0.5);
    while Instant::now() < until {
        let heads: Vec<String> = soak
            .site
            .groups
            .serving()
            .into_iter()
            .map(|mut members| members.remove(0))
            .collect();
        let asking = rng.random_range(0..=heads.len());
        for head in heads.iter().take(asking) {
            let backoff = Duration::from_millis(rng.random_range(600..4000));
            soak.site.groups.set_backoff(head, Some(backoff));
        }
        if std::mem::take(&mut leaving)
            && let Some(head) = heads.last()
        {
            soak.site.groups.say_leaving(head);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(1000..6000))).await;
        for head in &heads {
            soak.site.groups.set_backoff(head, None);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..3000))).await;
    }
}

/// Guards against requests to a target in a backoff that it asked the node for, or later than the bound after
/// it has said that it leaves, while the store is slow, away or closed to most nodes and paths are lost.
#[tokio::test(flavor = "multi_thread")]
async fn backoffs_held() {
    for seed in soak_seeds("SHARED_SOAK_SEEDS", DEFAULT_SEEDS) {
        let soak = SoakSite::start().await;
        let until = Instant::now() + FAULT_TIME;
        let faults = bring_faults(&soak, &BACKOFF_FAULTS, seed, until);
        let backoffs = state_backoffs(&soak, seed, until);
        let ((), (), ()) = tokio::join!(run_clients(&soak, seed, until), faults, backoffs);
        let arrivals = &soak.site.groups.arrivals;
        let most = arrivals.most_in_backoff(BACKOFF_GRACE);
        let late = arrivals.arrivals_after_leaving(DRAIN_BOUND);
        println!(
            "seed {seed}: {} backoffs, {most} at most, {late} late",
            arrivals.backoff_count()
        );
        assert!(
            most <= BACKOFF_ALLOWED,
            "seed {seed}: {most} requests in a backoff"
        );
        assert_eq!(late, 0, "seed {seed}: requests to a target that leaves");
    }
}

/// Guards against retries of all nodes beyond the limit, whatever they see of each other and of the store,
/// while nodes are killed and paused, paths reset and all targets full, at once.
#[tokio::test(flavor = "multi_thread")]
async fn retries_within_limit() {
    for seed in soak_seeds("SHARED_SOAK_SEEDS", DEFAULT_SEEDS) {
        let soak = SoakSite::start().await;
        let until = Instant::now() + FAULT_TIME;
        let faults = bring_faults(&soak, &RETRY_FAULTS, seed, until);
        let ((), ()) = tokio::join!(run_clients(&soak, seed, until), faults);
        let worst = soak.site.groups.arrivals.worst_window(ALLOWANCE);
        println!("seed {seed}: {worst:?}");
        let excess = worst.map_or(0.0, |worst| worst.excess());
        assert!(excess <= 0.0, "seed {seed}: {worst:?}");
    }
}

/// Guards against more requests than a limit allows, while it is stated and dropped, and the store is slow,
/// away or closed to most nodes.
#[tokio::test(flavor = "multi_thread")]
async fn limits_held() {
    for seed in soak_seeds("SHARED_SOAK_SEEDS", DEFAULT_SEEDS) {
        println!("seed {seed}");
        let soak = SoakSite::start().await;
        let until = Instant::now() + FAULT_TIME;
        let faults = bring_faults(&soak, &LIMIT_FAULTS, seed, until);
        let limits = state_limits(&soak, seed, until);
        let ((), (), ()) = tokio::join!(run_clients(&soak, seed, until), faults, limits);
    }
}
