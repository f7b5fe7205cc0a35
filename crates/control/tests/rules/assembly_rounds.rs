//! Concurrent, paused and outdated controllers against failing engines and a faulty table: no host
//! is in two replicas, and all replicas recover.

use std::sync::Arc;

use crate::assembly_sim::{AssemblySim, HOSTS, REPLICAS, config, directory};
use crate::sim::SeededRng;
use crate::sim::engine::host_name;
use crate::sim::table::FaultRates;
use quickcheck::{Gen, QuickCheck};

const STEPS: usize = 120;

async fn run(seed: u64) -> Result<(), String> {
    let rates = FaultRates {
        lost_before: 4,
        lost_after: 6,
        late: 6,
        down: 2,
    };
    let mut rng = SeededRng::new(seed);
    let fencing = rng.chance(50);
    let mut sim = AssemblySim::new(seed, rates, fencing, 15).await;
    for step in 0..STEPS {
        let number = u16::try_from(rng.below(u64::from(HOSTS))).expect("fits the type");
        match rng.below(20) {
            0 => sim.engines.change(number, |host| host.alive = false),
            1 => sim.engines.change(number, |host| host.alive = true),
            2 => sim.engines.restart(number),
            3 => sim.engines.deliver_late_order(),
            4 if sim.controllers.len() < 6 => sim.take_over().await,
            5 => {
                sim.hosts.send_replace(Arc::new(directory(&[number])));
            }
            6 => {
                let wanted = u32::try_from(rng.below(4)).expect("fits the type");
                sim.config.send_replace(Arc::new(config(2, wanted, &[])));
            }
            // Outdated lease holders keep running rounds.
            7..=9 => {
                let index = rng.index(sim.controllers.len());
                sim.round(index).await;
            }
            _ => {
                let last = sim.controllers.len() - 1;
                sim.round(last).await;
            }
        }
        if !sim.is_consistent() {
            return Err(format!(
                "seed {seed} step {step}: {:#?} {:?}",
                sim.slots(),
                sim.fleet()
            ));
        }
    }
    sim.config
        .send_replace(Arc::new(config(3, REPLICAS, &["wolof"])));
    sim.recover().await;
    let fleet = sim.fleet();
    let recovered = sim.is_consistent()
        && sim.complete_replicas() == REPLICAS as usize
        && fleet.plans.iter().all(|plan| plan.adapters.len() == 1);
    if recovered {
        return Ok(());
    }
    let slots = sim.slots();
    Err(format!("seed {seed} stuck: {fleet:#?} {slots:#?}"))
}

fn invariants_hold_under_faults(seed: u64) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("runtime starts");
    runtime.block_on(run(seed))
}

/// Hosts die, return and restart, orders get lost or arrive late, the table loses responses, and
/// controllers without the lease continue. Guards against a host in two replicas, where each would
/// respond to requests for the other, and against replicas that never recover.
#[test]
fn no_host_in_two_replicas() {
    QuickCheck::new()
        .tests(200)
        .rng(Gen::from_size_and_seed(100, 3))
        .quickcheck(invariants_hold_under_faults as fn(u64) -> Result<(), String>);
}

async fn formed_sim() -> AssemblySim {
    let mut sim = AssemblySim::new(1, FaultRates::default(), true, 0).await;
    sim.round(0).await;
    sim.round(0).await;
    assert_eq!(sim.complete_replicas(), REPLICAS as usize);
    sim
}

/// A replica with a dead host continues with the spare under a new incarnation. The dead host's
/// slot stays assigned until the host itself reports that it is empty.
#[tokio::test(start_paused = true)]
async fn spare_replaces_dead_host() {
    let mut sim = formed_sim().await;
    sim.engines.change(0, |host| host.alive = false);
    sim.round(0).await;
    sim.round(0).await;
    assert_eq!(sim.complete_replicas(), REPLICAS as usize);
    let fleet = sim.fleet();
    let plan = fleet
        .replica_of(&host_name(HOSTS - 1))
        .expect("spare is in a replica");
    assert_eq!(plan.incarnation.0, 2);
    assert!(fleet.replica_of(&host_name(0)).is_none());
    assert!(sim.slots()["h0"].assignment.is_some());
    sim.engines.change(0, |host| host.alive = true);
    sim.round(0).await;
    sim.round(0).await;
    assert!(sim.slots()["h0"].assignment.is_none());
    assert!(sim.engines.state_of(0).assignment.is_none());
}

/// Two replicas each lose a host and there is one spare. One replica is completed; the other keeps
/// its remaining host, which holds its weights, and continues when the lost one is back.
#[tokio::test(start_paused = true)]
async fn fewer_spares_than_dead_hosts() {
    let mut sim = formed_sim().await;
    sim.engines.change(0, |host| host.alive = false);
    sim.engines.change(2, |host| host.alive = false);
    for _ in 0..4 {
        sim.round(0).await;
    }
    assert!(sim.is_consistent());
    assert_eq!(sim.complete_replicas(), 2);
    sim.engines.restart(2);
    for _ in 0..4 {
        sim.round(0).await;
    }
    assert_eq!(sim.complete_replicas(), REPLICAS as usize);
}

/// Three replicas each lose a host and there is one spare. Guards against broken replicas that wait
/// for their hosts indefinitely: one is dissolved, and its remaining host completes another.
#[tokio::test(start_paused = true)]
async fn broken_replica_donates_hosts() {
    let mut sim = formed_sim().await;
    for number in [0, 2, 4] {
        sim.engines.change(number, |host| host.alive = false);
    }
    for _ in 0..6 {
        sim.round(0).await;
    }
    assert!(sim.is_consistent());
    assert_eq!(sim.complete_replicas(), 2);
}

/// A host is silent for a while, as during the restart of a switch, and there is no spare. Its
/// replica takes no work meanwhile and is not reformed when the host is back, since the host kept
/// its rank.
#[tokio::test(start_paused = true)]
async fn silent_host_returns() {
    let mut sim = formed_sim().await;
    sim.engines.change(HOSTS - 1, |host| host.alive = false);
    sim.engines.change(0, |host| host.alive = false);
    for _ in 0..3 {
        sim.round(0).await;
    }
    let replica = sim
        .fleet()
        .replica_of(&host_name(0))
        .expect("still present")
        .clone();
    assert!(replica.draining);
    sim.engines.change(0, |host| host.alive = true);
    for _ in 0..3 {
        sim.round(0).await;
    }
    let after = sim
        .fleet()
        .plan(&replica.id)
        .expect("still present")
        .clone();
    assert!(!after.draining);
    assert_eq!(after.incarnation, replica.incarnation);
    assert_eq!(sim.complete_replicas(), REPLICAS as usize);
}

/// All hosts of the fabric domain fail, as in a power cut. Guards against dissolving replicas
/// meanwhile; all of them recover after the hosts restarted.
#[tokio::test(start_paused = true)]
async fn whole_fabric_outage() {
    let mut sim = formed_sim().await;
    let before = sim.fleet();
    for number in 0..HOSTS {
        sim.engines.change(number, |host| host.alive = false);
    }
    for _ in 0..3 {
        sim.round(0).await;
    }
    assert_eq!(sim.fleet(), before);
    for number in 0..HOSTS {
        sim.engines.restart(number);
    }
    for _ in 0..4 {
        sim.round(0).await;
    }
    assert_eq!(sim.complete_replicas(), REPLICAS as usize);
}

/// Guards against cutting off streams when a host leaves: its replica takes no new work at once,
/// and its hosts are taken only after the last stream ended.
#[tokio::test(start_paused = true)]
async fn leaving_host_drains_replica() {
    let mut sim = formed_sim().await;
    sim.engines.change(0, |host| host.state.load.running = 1);
    sim.hosts.send_replace(Arc::new(directory(&[1])));
    sim.round(0).await;
    sim.round(0).await;
    let fleet = sim.fleet();
    let plan = fleet
        .replica_of(&host_name(1))
        .expect("host is in a replica");
    assert!(plan.draining);
    sim.engines.change(0, |host| host.state.load.running = 0);
    for _ in 0..4 {
        sim.round(0).await;
    }
    assert!(sim.fleet().replica_of(&host_name(1)).is_none());
    assert_eq!(sim.complete_replicas(), REPLICAS as usize);
}

/// An order of a suspended lease holder arrives after another holder assigned the host to the
/// replica's next incarnation. The host's report then contradicts the plan, and the next round
/// orders it again.
#[tokio::test(start_paused = true)]
async fn late_order_is_corrected() {
    let mut sim = AssemblySim::new(1, FaultRates::default(), false, 0).await;
    sim.round(0).await;
    let old = sim.engines.state_of(1);
    sim.engines.change(0, |host| host.alive = false);
    sim.take_over().await;
    sim.round(1).await;
    sim.round(1).await;
    assert_eq!(sim.complete_replicas(), REPLICAS as usize);
    sim.engines.change(1, |host| host.state = old);
    assert_eq!(sim.complete_replicas(), REPLICAS as usize - 1);
    sim.round(1).await;
    assert_eq!(sim.complete_replicas(), REPLICAS as usize);
}

/// One host's engine restarts between two probes. The other ranks still wait for the old process,
/// so the replica needs a new incarnation although all its hosts respond.
#[tokio::test(start_paused = true)]
async fn host_restart_reforms_replica() {
    let mut sim = formed_sim().await;
    let before = sim.fleet();
    let old = before
        .replica_of(&host_name(0))
        .expect("host is in a replica");
    sim.engines.restart(0);
    sim.round(0).await;
    sim.round(0).await;
    let after = sim.fleet();
    let new = after.plan(&old.id).expect("replica still exists");
    assert_eq!(new.hosts, old.hosts);
    assert_eq!(Some(new.incarnation), old.incarnation.next());
    assert_eq!(sim.complete_replicas(), REPLICAS as usize);
}
