//! Changes of the configuration in uneven steps, and an observer that asks every node which version is
//! in force, while faults come alone and in series that overlap.
//!
//! A few seeds by default. `CONFIG_SOAK_SEEDS=FIRST..END` plays others (`FOREIGN_SOAK_SEEDS` of the soak in
//! which other servers take the ports of targets), `CONFIG_SOAK_NODES=N` so many
//! nodes, `CONFIG_SOAK_DRILLS=0` without returns of the store from a copy, and `CONFIG_SOAK_STRICT=1` also
//! judges by the clock what runs by routes and keys that newer versions took away, which a busy machine may
//! delay.

mod faults;
mod operator;
mod processes;
mod state;
mod targets;

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::sync::Notify;
use tokio::time::Instant;
use web::HttpConnection;

use self::faults::bring_faults;
use self::operator::{operate, write};
use self::processes::start_site;
use self::state::{ObservedNode, SoakState, lock};
use self::targets::change_targets;
use crate::config_history::{
    ConfigHistory, NodeProgress, PAY_PREFIX, ProbeOutcome, ProbeTime, VersionProbe, first_content,
};
use crate::node::wait_for;
use crate::request::{TestRequest, TestResponse, read_response};
use crate::site::{CONFIG_BOUND, KEY};
use crate::soak_client::soak_seeds;

/// Seeds that are played by default.
const DEFAULT_SEEDS: Range<u64> = 1..4;

/// Nodes by default, in three failure domains.
const DEFAULT_NODES: usize = 6;

/// Time for which changes and faults come.
const CHANGE_TIME: Duration = Duration::from_secs(12);

/// Pause between two probes of a node.
const PROBE_INTERVAL: Duration = Duration::from_millis(60);

/// Timeout for connecting to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(6);

/// Time after the last change within which all nodes must have it.
const CALM_TIME: Duration = Duration::from_secs(5);

/// Changed probes that the observer chooses from.
const RECENT_PROBES: usize = 10;

fn number(name: &str) -> Option<usize> {
    let text = std::env::var(name).ok()?;
    Some(text.parse().expect("the variable is a number"))
}

/// Asks one node again and again, on one connection while it lasts.
async fn observe(state: Arc<SoakState>, index: usize, seed: u64, until: Instant) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut open: Option<HttpConnection> = None;
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
            (incarnation, progress, open) = (current, NodeProgress::default(), None);
        }
        let Some(mut connection) = connect(open.take(), address).await else {
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
            open = Some(connection);
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

/// The open connection, or a new one to the process that listens now.
async fn connect(open: Option<HttpConnection>, address: SocketAddr) -> Option<HttpConnection> {
    match open.filter(HttpConnection::is_open) {
        Some(connection) => Some(connection),
        None => HttpConnection::connect(address, CONNECT_TIMEOUT).await.ok(),
    }
}

fn choose_probe(state: &SoakState, rng: &mut StdRng) -> VersionProbe {
    let history = lock(&state.history);
    let recent = history.changed.len().min(RECENT_PROBES);
    if recent == 0 || rng.random_bool(state.steady_share()) {
        let index = match state.steady.len() {
            1 => 0,
            count => rng.random_range(0..count),
        };
        return state.steady[index].clone();
    }
    let back = rng.random_range(1..=recent);
    history.changed[history.changed.len() - back].clone()
}

fn judge(
    state: &SoakState,
    index: usize,
    probe: &VersionProbe,
    response: Option<&TestResponse>,
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

/// A request that each version allows.
fn steady_probe(prefix: &str) -> VersionProbe {
    VersionProbe {
        prefix: prefix.to_owned(),
        key: KEY.to_owned(),
    }
}

/// Plays one seed; `foreign` also lets other servers take the ports of targets.
async fn soak(seed: u64, foreign: bool) {
    let soak = start_site(number("CONFIG_SOAK_NODES").unwrap_or(DEFAULT_NODES)).await;
    let mut history = ConfigHistory::default();
    history.record_sent(first_content());
    history.record_confirmed();
    let mut steady = vec![steady_probe("/other/")];
    if foreign {
        let mut with_payments = first_content();
        with_payments.version += 1;
        with_payments.routes.insert(PAY_PREFIX.to_owned(), 0);
        history.record_sent(with_payments.clone());
        soak.site.configure(&with_payments.to_json());
        history.record_confirmed();
        steady.extend([steady_probe("/base/"), steady_probe(PAY_PREFIX)]);
    }
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
        steady,
        changed: Notify::new(),
        store: tokio::sync::Mutex::default(),
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
        async {
            if foreign {
                change_targets(&soak.site, seed, until).await;
            }
        },
    );
    for gate in &soak.gates {
        gate.lose_config(0);
    }
    let mut last = lock(&state.history).newest().clone();
    last.version += 1;
    last.routes.insert("/last/".to_owned(), 0);
    let revision = format!("\"revision\":{}", last.version);
    write(&soak.site, &state, last).await;
    for node in &soak.nodes {
        let log = lock(node).log.clone();
        wait_for("the last version at all nodes", || {
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
    for seed in soak_seeds("CONFIG_SOAK_SEEDS", DEFAULT_SEEDS) {
        println!("seed {seed}");
        soak(seed, false).await;
    }
}

/// The same while ports of targets are used again by other services and by servers that know nothing of
/// the system, cut off, silent, and send bytes that nobody asked for: no proper request is refused for good.
#[tokio::test(flavor = "multi_thread")]
async fn foreign_servers_refuse_nothing() {
    for seed in soak_seeds("FOREIGN_SOAK_SEEDS", DEFAULT_SEEDS) {
        println!("seed {seed}, foreign servers");
        soak(seed, true).await;
    }
}
