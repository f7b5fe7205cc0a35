//! Faults that keep nodes from learning of changes.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use standin::site::GateMode;
use tokio::time::Instant;

use super::processes::{SoakSite, domain};
use super::state::{SoakState, lock};
use crate::site::CONFIG_BOUND;

/// Time after which a fault that waits for a change gives up.
const LONGEST_STEP: Duration = Duration::from_secs(3);

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
    StoreCopy,
}

/// All of them, each as likely as the others.
const FAULTS: [FaultKind; 11] = [
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
    FaultKind::StoreCopy,
];

/// Kinds that are drawn: without drills, the last of them, a seed brings the faults that it brought before there were
/// any.
fn drawn_kinds() -> &'static [FaultKind] {
    let has_drills = std::env::var("CONFIG_SOAK_DRILLS").as_deref() != Ok("0");
    let count = FAULTS.len() - usize::from(!has_drills);
    &FAULTS[..count]
}

/// Brings faults one after the other, each for a while, so that they overlap.
pub async fn bring_faults(soak: &SoakSite, state: &SoakState, seed: u64, until: Instant) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0xfa);
    let kinds = drawn_kinds();
    let series = (0..2).map(|_| {
        let seed = rng.random();
        async move {
            let mut rng = StdRng::seed_from_u64(seed);
            while Instant::now() < until {
                let kind = kinds[rng.random_range(0..kinds.len())];
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
        FaultKind::StoreCopy => {
            let away = Duration::from_millis(rng.random_range(50..1000));
            let pause = Duration::from_millis(rng.random_range(0..1500));
            return_from_copy(soak, state, lasting, (away, pause)).await;
        }
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

/// Lets the store come back from a copy of so long before. The operator and the targets write again after a pause.
async fn return_from_copy(
    soak: &SoakSite,
    state: &SoakState,
    age: Duration,
    (away, pause): (Duration, Duration),
) {
    let store = &soak.site.store;
    let (copy, copied_version) = {
        let _unchanged = state.store.lock().await;
        (store.copy(), lock(&state.history).newest().version)
    };
    tokio::time::sleep(age).await;
    let _incomplete = state.store.lock().await;
    for index in 0..soak.gates.len() {
        state.excuse(index);
    }
    // A node may answer from the copy as soon as the store is back.
    lock(&state.history).record_lost(copied_version);
    let lost = store.drill(&copy, away).await;
    tokio::time::sleep(pause).await;
    store.write_again(&lost, &["op", "servers"]);
    lock(&state.history).record_rewritten();
    for index in 0..soak.gates.len() {
        state.end_excuse(index);
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
