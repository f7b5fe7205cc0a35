//! Changes of the configuration in uneven steps, and an observer that asks every node which version is
//! in force, while faults come alone and in series that overlap.
//!
//! A few seeds by default. `CONFIG_SOAK_SEEDS=FIRST..END` plays others, `CONFIG_SOAK_NODES=N` so many
//! nodes, and `CONFIG_SOAK_STRICT=1` also judges by the clock what runs by routes and keys that newer
//! versions took away, which a busy machine may delay.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use standin::site::{GateMode, SiteInstance, StoreGate, StoreRates};
use tokio::sync::Notify;
use tokio::time::Instant;
use web::HttpConnection;

use crate::config_history::{
    ConfigContent, ConfigHistory, NodeProgress, ProbeOutcome, ProbeTime, SERVICES, VersionProbe,
    first_content,
};
use crate::node::TestNode;
use crate::request::{TestRequest, read_response};
use crate::site::{CONFIG_BOUND, KEY, TestSite};

/// Seeds that are played by default.
const DEFAULT_SEEDS: Range<u64> = 1..4;

/// Nodes by default, in three failure domains.
const DEFAULT_NODES: usize = 6;

/// Time for which changes and faults come.
const CHANGE_TIME: Duration = Duration::from_secs(12);

/// Time after which a fault that waits for a change gives up.
const LONGEST_STEP: Duration = Duration::from_secs(3);

/// Time after a fault for which what a node runs is not judged.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// Pause between two probes of a node.
const PROBE_INTERVAL: Duration = Duration::from_millis(60);

/// Time limit of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(6);

/// Time after the last change within which all nodes must have it.
const CALM_TIME: Duration = Duration::from_secs(5);

/// Changed probes that the observer chooses from.
const RECENT_PROBES: usize = 10;

/// Rates of the store of the users' deployments.
const STORE_RATES: StoreRates = StoreRates {
    answer: Duration::from_millis(4),
    reads_per_s: 2000,
    writes_per_s: 400,
};

fn number(name: &str) -> Option<usize> {
    let text = std::env::var(name).ok()?;
    Some(text.parse().expect("the variable is a number"))
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("CONFIG_SOAK_SEEDS") else {
        return DEFAULT_SEEDS;
    };
    let (first, end) = text
        .split_once("..")
        .expect("CONFIG_SOAK_SEEDS is FIRST..END");
    let number = |text: &str| text.parse().expect("CONFIG_SOAK_SEEDS is FIRST..END");
    number(first)..number(end)
}

/// A fault of one node or of the whole site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultKind {
    None,
    LostResponse,
    TwoLostResponses,
    SlowStore,
    TurnedAway,
    SilentStore,
    Paused,
    BusyMachine,
    Restart,
    StoreClock,
}

const FAULTS: [FaultKind; 10] = [
    FaultKind::None,
    FaultKind::LostResponse,
    FaultKind::TwoLostResponses,
    FaultKind::SlowStore,
    FaultKind::TurnedAway,
    FaultKind::SilentStore,
    FaultKind::Paused,
    FaultKind::BusyMachine,
    FaultKind::Restart,
    FaultKind::StoreClock,
];

/// A node as the observer sees it.
struct ObservedNode {
    address: SocketAddr,
    /// Counts the processes that had this name.
    incarnation: u64,
    /// Since when a fault keeps the node from being judged by the clock, and until when.
    excused: Vec<(Instant, Option<Instant>)>,
}

struct SoakState {
    history: Mutex<ConfigHistory>,
    nodes: Vec<Mutex<ObservedNode>>,
    failures: Mutex<Vec<String>>,
    counts: Mutex<BTreeMap<&'static str, usize>>,
    is_strict: bool,
    changed: Notify,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SoakState {
    fn excuse(&self, index: usize) {
        let mut node = lock(&self.nodes[index]);
        node.excused.push((Instant::now(), None));
    }

    fn end_excuse(&self, index: usize) {
        let mut node = lock(&self.nodes[index]);
        let until = Instant::now() + STABILITY_WINDOW;
        if let Some(last) = node.excused.iter_mut().rev().find(|last| last.1.is_none()) {
            last.1 = Some(until);
        }
    }

    fn is_excused(&self, index: usize, time: ProbeTime) -> bool {
        let node = lock(&self.nodes[index]);
        let mut excused = node.excused.iter();
        excused.any(|(from, until)| {
            *from <= time.ended && until.is_none_or(|until| until >= time.sent)
        })
    }

    fn count(&self, name: &'static str) {
        *lock(&self.counts).entry(name).or_default() += 1;
    }
}

/// Writes one change after the other, some of them large, and versions in uneven steps.
async fn operate(site: &TestSite, state: &SoakState, seed: u64, until: Instant) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut next = 0_u64;
    while Instant::now() < until {
        let mut content = lock(&state.history).newest().clone();
        let probe = change(&mut content, &mut rng, &mut next);
        content.version += rng.random_range(1..6);
        write(site, state, content);
        lock(&state.history).changed.push(probe);
        let pause = if rng.random_bool(0.3) {
            rng.random_range(10..150)
        } else {
            rng.random_range(150..2600)
        };
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

fn write(site: &TestSite, state: &SoakState, content: ConfigContent) {
    let sent = Instant::now();
    site.configure(&content.to_json());
    lock(&state.history).record(content, sent);
    state.changed.notify_waiters();
}

/// Changes a route or a key; returns a probe that shows the change.
fn change(content: &mut ConfigContent, rng: &mut StdRng, next: &mut u64) -> VersionProbe {
    *next += 1;
    let added: Vec<String> = content
        .routes
        .keys()
        .filter(|prefix| prefix.starts_with("/r"))
        .cloned()
        .collect();
    let keys: Vec<String> = content
        .keys
        .iter()
        .filter(|key| *key != KEY)
        .cloned()
        .collect();
    let chosen = |list: &[String], rng: &mut StdRng| list[rng.random_range(0..list.len())].clone();
    let on_base = |key: String| VersionProbe {
        prefix: "/base/".to_owned(),
        key,
    };
    let mut prefix = format!("/r{next}/");
    match rng.random_range(0..10) {
        0..2 if !added.is_empty() => {
            prefix = chosen(&added, rng);
            content.routes.remove(&prefix);
        }
        2..4 if !added.is_empty() => {
            prefix = chosen(&added, rng);
            let service = content.routes.entry(prefix.clone()).or_default();
            *service = (*service + 1) % SERVICES.len();
        }
        4..6 => {
            let key = format!("key-{next}");
            content.keys.insert(key.clone());
            return on_base(key);
        }
        6 if !keys.is_empty() => {
            let key = chosen(&keys, rng);
            content.keys.remove(&key);
            return on_base(key);
        }
        7 => {
            for number in 0..200 {
                content.routes.insert(format!("/idle{next}-{number}/"), 0);
            }
            content.routes.insert(prefix.clone(), 0);
        }
        _ => {
            content
                .routes
                .insert(prefix.clone(), rng.random_range(0..SERVICES.len()));
        }
    }
    VersionProbe {
        prefix,
        key: KEY.to_owned(),
    }
}

/// Asks one node again and again, on one connection while it lasts.
async fn observe(state: Arc<SoakState>, index: usize, seed: u64, until: Instant) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut open: Option<(u64, HttpConnection)> = None;
    let mut progress = NodeProgress::default();
    let mut incarnation = 0;
    for number in 0.. {
        if Instant::now() >= until {
            return;
        }
        tokio::time::sleep(PROBE_INTERVAL.mul_f64(rng.random_range(0.3..1.7))).await;
        let probe = choose_probe(&state, &mut rng);
        let (address, current) = {
            let node = lock(&state.nodes[index]);
            (node.address, node.incarnation)
        };
        if current != incarnation {
            (incarnation, progress) = (current, NodeProgress::default());
        }
        let kept = open.take();
        let kept = kept.filter(|(of, connection)| *of == current && connection.is_open());
        let connection = match kept {
            Some((_, connection)) => Some(connection),
            None => HttpConnection::connect(address, Duration::from_secs(1))
                .await
                .ok(),
        };
        let Some(mut connection) = connection else {
            continue;
        };
        let id = format!("p{index}-{number}");
        let request = TestRequest::new(&format!("{}x", probe.prefix), &id);
        let request = request.header("x-credential", &probe.key);
        let sent = Instant::now();
        let asking = async {
            let response = request.begin_on(&mut connection).await?;
            Some(read_response(response).await)
        };
        let response = tokio::time::timeout(PROBE_TIMEOUT, asking)
            .await
            .ok()
            .flatten();
        let time = ProbeTime {
            sent,
            ended: Instant::now(),
        };
        if response.as_ref().is_some_and(|response| response.complete) {
            open = Some((current, connection));
        }
        judge(
            &state,
            index,
            &probe,
            response.as_ref(),
            time,
            &mut progress,
        );
    }
}

fn choose_probe(state: &SoakState, rng: &mut StdRng) -> VersionProbe {
    let history = lock(&state.history);
    let recent = history.changed.len().min(RECENT_PROBES);
    if recent == 0 || rng.random_bool(0.2) {
        return VersionProbe {
            prefix: "/other/".to_owned(),
            key: KEY.to_owned(),
        };
    }
    let back = rng.random_range(1..=recent);
    history.changed[history.changed.len() - back].clone()
}

fn judge(
    state: &SoakState,
    index: usize,
    probe: &VersionProbe,
    response: Option<&crate::request::TestResponse>,
    time: ProbeTime,
    progress: &mut NodeProgress,
) {
    let outcome = ProbeOutcome::of(response);
    let judged = lock(&state.history).judge(probe, outcome, time, CONFIG_BOUND, progress);
    let excused = state.is_excused(index, time);
    state.count(match outcome {
        ProbeOutcome::Unknown => "not served",
        outcome if outcome.is_refusal() => "refused",
        _ => "served",
    });
    let Err(reason) = judged else { return };
    let counts = outcome.is_refusal() || (state.is_strict && !excused);
    state.count(if outcome.is_refusal() {
        "wrongly refused"
    } else if excused {
        "run by an old version, excused"
    } else {
        "run by an old version"
    });
    if counts {
        lock(&state.failures).push(format!("node {index}: {reason}"));
    }
}

/// The processes and what stands between them and the store.
struct SoakSite {
    site: TestSite,
    nodes: Vec<Mutex<TestNode>>,
    gates: Vec<StoreGate>,
    _instances: Vec<SiteInstance>,
}

fn domain(index: usize) -> String {
    format!("z{}", index % 3)
}

async fn start_site(count: usize) -> SoakSite {
    let site = TestSite::start(0, 0);
    site.store.set_rates(STORE_RATES);
    site.configure(&first_content().to_json());
    let mut instances = Vec::new();
    for (number, service) in SERVICES.iter().enumerate() {
        let id = format!("i{number}");
        let instance = SiteInstance::start_for(&site.store, &id, "z0", service);
        instances.push(instance.expect("instance starts"));
    }
    let mut nodes = Vec::new();
    let mut gates = Vec::new();
    for index in 0..count {
        let (node, gate) = site.gated_node(&domain(index), &format!("n{index}")).await;
        nodes.push(Mutex::new(node));
        gates.push(gate);
    }
    for node in &nodes {
        let log = lock(node).log.clone();
        wait_counted(&log, count).await;
    }
    SoakSite {
        site,
        nodes,
        gates,
        _instances: instances,
    }
}

async fn wait_counted(log: &std::path::Path, count: usize) {
    let line = format!("\"nodes\":{count}}}");
    crate::node::wait_for("all nodes to be counted", || {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        text.contains(&line)
    })
    .await;
}

/// Brings faults one after the other, each for a while, so that they overlap.
async fn bring_faults(soak: &SoakSite, state: &SoakState, seed: u64, until: Instant) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0xfa);
    let series = (0..2).map(|_| {
        let seed = rng.random();
        async move {
            let mut rng = StdRng::seed_from_u64(seed);
            while Instant::now() < until {
                let kind = FAULTS[rng.random_range(0..FAULTS.len())];
                bring_fault(soak, state, kind, &mut rng).await;
                let pause = rng.random_range(50..1500);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
    });
    futures::future::join_all(series).await;
}

async fn bring_fault(soak: &SoakSite, state: &SoakState, kind: FaultKind, rng: &mut StdRng) {
    let lasting = Duration::from_millis(rng.random_range(300..4000));
    let count = soak.gates.len();
    let first = rng.random_range(0..count);
    let some = (first..first + rng.random_range(1..=count.div_ceil(2))).map(|index| index % count);
    let some: Vec<usize> = some.collect();
    println!("fault {kind:?} at {some:?} for {lasting:?}");
    match kind {
        FaultKind::None => tokio::time::sleep(lasting).await,
        FaultKind::LostResponse => lose(soak, state, &some, 1).await,
        FaultKind::TwoLostResponses => lose(soak, state, &some, 2).await,
        FaultKind::SlowStore => {
            let mode = GateMode::Slow(Duration::from_millis(160));
            let all: Vec<usize> = (0..count).collect();
            gate_for(soak, state, &all, mode, lasting).await;
        }
        FaultKind::TurnedAway => {
            gate_for(soak, state, &some, GateMode::TurnsAway, lasting).await;
        }
        FaultKind::SilentStore => gate_for(soak, state, &some, GateMode::Silent, lasting).await,
        FaultKind::Paused => {
            state.excuse(first);
            lock(&soak.nodes[first]).signal("STOP");
            tokio::time::sleep(lasting).await;
            lock(&soak.nodes[first]).signal("CONT");
            state.end_excuse(first);
        }
        FaultKind::BusyMachine => keep_busy(lasting).await,
        FaultKind::Restart => restart(soak, state, first).await,
        FaultKind::StoreClock => soak.site.store.step_clock(lasting * 10),
    }
}

/// Loses responses about the configuration. Nobody is excused: the bound covers two in a row.
async fn lose(soak: &SoakSite, state: &SoakState, nodes: &[usize], losses: u32) {
    for index in nodes {
        soak.gates[*index].lose_config(losses);
    }
    // No further change may come any more.
    drop(tokio::time::timeout(LONGEST_STEP, state.changed.notified()).await);
    tokio::time::sleep(CONFIG_BOUND).await;
}

async fn gate_for(
    soak: &SoakSite,
    state: &SoakState,
    nodes: &[usize],
    mode: GateMode,
    lasting: Duration,
) {
    for index in nodes {
        state.excuse(*index);
        soak.gates[*index].set(mode);
    }
    tokio::time::sleep(lasting).await;
    for index in nodes {
        soak.gates[*index].set(GateMode::Open);
        state.end_excuse(*index);
    }
}

/// Uses all processors for a while.
async fn keep_busy(lasting: Duration) {
    let until = std::time::Instant::now() + lasting;
    let threads = std::thread::available_parallelism().map_or(4, usize::from);
    let spinning = (0..threads).map(|_| {
        tokio::task::spawn_blocking(move || {
            let mut value = 1_u64;
            while std::time::Instant::now() < until {
                for _ in 0..10_000 {
                    value = std::hint::black_box(value.wrapping_mul(3) + 1);
                }
            }
        })
    });
    futures::future::join_all(spinning.collect::<Vec<_>>()).await;
}

async fn restart(soak: &SoakSite, state: &SoakState, index: usize) {
    state.excuse(index);
    {
        // Dropping a node kills it, so it is gone before its successor starts.
        let mut node = lock(&soak.nodes[index]);
        if let Some(child) = &mut node.child {
            drop(child.kill());
            drop(child.wait());
        }
    }
    let address = soak.gates[index].address;
    let started = soak
        .site
        .unready_node_in(&domain(index), &format!("n{index}"), address, false)
        .await;
    {
        let mut observed = lock(&state.nodes[index]);
        observed.address = started.requests;
        observed.incarnation += 1;
    }
    *lock(&soak.nodes[index]) = started;
    state.end_excuse(index);
}

async fn soak(seed: u64) {
    let soak = start_site(number("CONFIG_SOAK_NODES").unwrap_or(DEFAULT_NODES)).await;
    let mut history = ConfigHistory::default();
    history.record(first_content(), Instant::now());
    let observed = soak.nodes.iter().map(|node| {
        Mutex::new(ObservedNode {
            address: lock(node).requests,
            incarnation: 0,
            excused: Vec::new(),
        })
    });
    let state = Arc::new(SoakState {
        history: Mutex::new(history),
        nodes: observed.collect(),
        failures: Mutex::default(),
        counts: Mutex::default(),
        is_strict: std::env::var_os("CONFIG_SOAK_STRICT").is_some(),
        changed: Notify::new(),
    });
    let until = Instant::now() + CHANGE_TIME;
    let mut observers = Vec::new();
    for index in 0..soak.nodes.len() {
        let observing = observe(
            Arc::clone(&state),
            index,
            seed ^ index as u64,
            until + CALM_TIME,
        );
        observers.push(tokio::spawn(observing));
    }
    tokio::join!(
        operate(&soak.site, &state, seed, until),
        bring_faults(&soak, &state, seed, until),
    );
    for gate in &soak.gates {
        gate.lose_config(0);
    }
    let mut last = lock(&state.history).newest().clone();
    last.version += 1;
    last.routes.insert("/last/".to_owned(), 0);
    let revision = format!("\"revision\":{}", last.version);
    write(&soak.site, &state, last);
    for node in &soak.nodes {
        let log = lock(node).log.clone();
        crate::node::wait_for("the last version at all nodes", || {
            let text = std::fs::read_to_string(&log).unwrap_or_default();
            text.lines()
                .any(|line| line.contains("config_applied") && line.contains(&revision))
        })
        .await;
    }
    for observer in observers {
        observer.await.expect("observer does not panic");
    }
    println!("seed {seed}: {:?}", lock(&state.counts));
    let failures = lock(&state.failures);
    assert!(
        failures.is_empty(),
        "seed {seed}, {} failures, the first:\n{}",
        failures.len(),
        failures[..failures.len().min(8)].join("\n")
    );
}

/// Whatever keeps nodes from learning of changes, none refuses what has been confirmed for longer than
/// the bound or goes back behind what it showed, and each has the last version soon.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_are_proved() {
    for seed in seeds() {
        println!("seed {seed}");
        soak(seed).await;
    }
}
