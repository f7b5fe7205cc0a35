//! Controllers that race, pause and lose answers over engines that die, restart and get orders
//! late: no host in two replicas, and everything stands again afterwards.

use std::sync::Arc;

use crate::assembly_world::{AssemblyWorld, HOSTS, REPLICAS, config, directory};
use crate::dice::SeededDice;
use crate::dice::engine::host_name;
use crate::dice::table::FaultRates;
use quickcheck::{Gen, QuickCheck};

const STEPS: usize = 120;

async fn run(seed: u64) -> Result<(), String> {
    let rates = FaultRates {
        lost_before: 4,
        lost_after: 6,
        late: 6,
        down: 2,
    };
    let mut dice = SeededDice::new(seed);
    let fencing = dice.chance(50);
    let mut world = AssemblyWorld::new(seed, rates, fencing, 15).await;
    for step in 0..STEPS {
        let number = u16::try_from(dice.roll(u64::from(HOSTS))).expect("small");
        match dice.roll(20) {
            0 => world.engines.change(number, |host| host.alive = false),
            1 => world.engines.change(number, |host| host.alive = true),
            2 => world.engines.restart(number),
            3 => world.engines.deliver_late(),
            4 if world.controllers.len() < 6 => world.take_over().await,
            5 => {
                world.hosts.send_replace(Arc::new(directory(&[number])));
            }
            6 => {
                let wanted = u32::try_from(dice.roll(4)).expect("small");
                world.config.send_replace(Arc::new(config(2, wanted, &[])));
            }
            // Old holders go on as if nothing had happened.
            7..=9 => {
                let index = dice.index(world.controllers.len());
                world.round(index).await;
            }
            _ => {
                let last = world.controllers.len() - 1;
                world.round(last).await;
            }
        }
        if !world.is_sound() {
            return Err(format!(
                "seed {seed} step {step}: {:#?} {:?}",
                world.slots(),
                world.fleet()
            ));
        }
    }
    world
        .config
        .send_replace(Arc::new(config(3, REPLICAS, &["wolof"])));
    world.settle().await;
    let fleet = world.fleet();
    let well = world.is_sound()
        && world.whole() == REPLICAS as usize
        && fleet.plans.iter().all(|plan| plan.adapters.len() == 1);
    if well {
        return Ok(());
    }
    let slots = world.slots();
    Err(format!("seed {seed} stuck: {fleet:#?} {slots:#?}"))
}

fn sound_under_faults(seed: u64) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(run(seed))
}

/// Hosts die, return and restart, orders get lost or arrive late, the table loses answers, and
/// controllers that lost the lease go on. If a host ever stood in two replicas, each would answer
/// for the other's callers; if the replicas did not come back, traders would wait for nothing.
#[test]
fn no_host_twice() {
    QuickCheck::new()
        .tests(200)
        .rng(Gen::from_size_and_seed(100, 3))
        .quickcheck(sound_under_faults as fn(u64) -> Result<(), String>);
}

async fn formed_world() -> AssemblyWorld {
    let mut world = AssemblyWorld::new(1, FaultRates::default(), true, 0).await;
    world.round(0).await;
    world.round(0).await;
    assert_eq!(world.whole(), REPLICAS as usize);
    world
}

/// A host of a replica dies. The replica goes on with the spare under a new incarnation; the dead
/// host's slot stays taken until the host itself reports that it is empty.
#[tokio::test(start_paused = true)]
async fn spare_replaces() {
    let mut world = formed_world().await;
    world.engines.change(0, |host| host.alive = false);
    world.round(0).await;
    world.round(0).await;
    assert_eq!(world.whole(), REPLICAS as usize);
    let fleet = world.fleet();
    let plan = fleet.replica_of(&host_name(HOSTS - 1)).expect("the spare");
    assert_eq!(plan.incarnation.0, 2);
    assert!(fleet.replica_of(&host_name(0)).is_none());
    assert!(world.slots()["h0"].assignment.is_some());
    world.engines.change(0, |host| host.alive = true);
    world.round(0).await;
    world.round(0).await;
    assert!(world.slots()["h0"].assignment.is_none());
    assert!(world.engines.state_of(0).assignment.is_none());
}

/// Two hosts of two replicas die with one spare in the fabric domain. One replica is whole again;
/// the other keeps its last host, which holds its weights, and goes on when the lost one is back.
#[tokio::test(start_paused = true)]
async fn short_of_spares() {
    let mut world = formed_world().await;
    world.engines.change(0, |host| host.alive = false);
    world.engines.change(2, |host| host.alive = false);
    for _ in 0..4 {
        world.round(0).await;
    }
    assert!(world.is_sound());
    assert_eq!(world.whole(), 2);
    world.engines.restart(2);
    for _ in 0..4 {
        world.round(0).await;
    }
    assert_eq!(world.whole(), REPLICAS as usize);
}

/// One host of each replica dies with one spare. Two broken replicas could wait for their hosts
/// for hours; one of them is taken apart, and its last host makes the other one whole.
#[tokio::test(start_paused = true)]
async fn broken_regrouped() {
    let mut world = formed_world().await;
    for number in [0, 2, 4] {
        world.engines.change(number, |host| host.alive = false);
    }
    for _ in 0..6 {
        world.round(0).await;
    }
    assert!(world.is_sound());
    assert_eq!(world.whole(), 2);
}

/// A switch restarts and a host is silent for a while, without a spare. Its replica takes no work
/// meanwhile; nothing is loaded anew when the host is back, since it still holds its rank.
#[tokio::test(start_paused = true)]
async fn silent_host_back() {
    let mut world = formed_world().await;
    world.engines.change(HOSTS - 1, |host| host.alive = false);
    world.engines.change(0, |host| host.alive = false);
    for _ in 0..3 {
        world.round(0).await;
    }
    let replica = world
        .fleet()
        .replica_of(&host_name(0))
        .expect("kept")
        .clone();
    assert!(replica.draining);
    world.engines.change(0, |host| host.alive = true);
    for _ in 0..3 {
        world.round(0).await;
    }
    let after = world.fleet().plan(&replica.id).expect("kept").clone();
    assert!(!after.draining);
    assert_eq!(after.incarnation, replica.incarnation);
    assert_eq!(world.whole(), REPLICAS as usize);
}

/// The whole fabric domain goes dark: a power cut. Nothing is torn apart meanwhile, and all its
/// replicas stand again after the hosts restarted.
#[tokio::test(start_paused = true)]
async fn domain_dark() {
    let mut world = formed_world().await;
    let before = world.fleet();
    for number in 0..HOSTS {
        world.engines.change(number, |host| host.alive = false);
    }
    for _ in 0..3 {
        world.round(0).await;
    }
    assert_eq!(world.fleet(), before);
    for number in 0..HOSTS {
        world.engines.restart(number);
    }
    for _ in 0..4 {
        world.round(0).await;
    }
    assert_eq!(world.whole(), REPLICAS as usize);
}

/// A host leaves. Its replica takes no new work at once, and its hosts are taken only after the
/// last stream ended, so that no trader's answer is cut off.
#[tokio::test(start_paused = true)]
async fn leaving_drains() {
    let mut world = formed_world().await;
    world.engines.change(0, |host| host.state.load.running = 1);
    world.hosts.send_replace(Arc::new(directory(&[1])));
    world.round(0).await;
    world.round(0).await;
    let fleet = world.fleet();
    let plan = fleet.replica_of(&host_name(1)).expect("still there");
    assert!(plan.draining);
    world.engines.change(0, |host| host.state.load.running = 0);
    for _ in 0..4 {
        world.round(0).await;
    }
    assert!(world.fleet().replica_of(&host_name(1)).is_none());
    assert_eq!(world.whole(), REPLICAS as usize);
}

/// A holder was frozen with an order on its way. It arrives after another holder gave the host to
/// the replica's next incarnation. The host's report then contradicts the plan, and the next round
/// orders it anew.
#[tokio::test(start_paused = true)]
async fn late_order() {
    let mut world = AssemblyWorld::new(1, FaultRates::default(), false, 0).await;
    world.round(0).await;
    let old = world.engines.state_of(1);
    world.engines.change(0, |host| host.alive = false);
    world.take_over().await;
    world.round(1).await;
    world.round(1).await;
    assert_eq!(world.whole(), REPLICAS as usize);
    world.engines.change(1, |host| host.state = old);
    assert_eq!(world.whole(), REPLICAS as usize - 1);
    world.round(1).await;
    assert_eq!(world.whole(), REPLICAS as usize);
}

/// One host's engine restarts quickly, between two questions. The other ranks still wait for the
/// one that is gone, so the replica gets a new incarnation, though all its hosts are there.
#[tokio::test(start_paused = true)]
async fn restart_reforms() {
    let mut world = formed_world().await;
    let before = world.fleet();
    let old = before.replica_of(&host_name(0)).expect("formed");
    world.engines.restart(0);
    world.round(0).await;
    world.round(0).await;
    let after = world.fleet();
    let new = after.plan(&old.id).expect("the same replica");
    assert_eq!(new.hosts, old.hosts);
    assert_eq!(new.incarnation, old.incarnation.next());
    assert_eq!(world.whole(), REPLICAS as usize);
}
