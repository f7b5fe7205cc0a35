//! Single rounds of assembly.

#[path = "../examples/compare/year.rs"]
mod year;

use std::time::Duration;

use domain::{FastSet, HostId, ReplicaId};
use policy::assembly::{
    AssemblyReplica, AssemblySettings, AssemblyState, AssemblyStep, DissolveReason, DrainReason,
    HostPresence, LoadedWeights, ReplicaStage, WantedReplicas, plan_round,
};
use quickcheck::{Arbitrary, Gen};
use year::{fleet, wanted};

fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text} is no id"))
}

fn plan(state: &AssemblyState) -> Vec<AssemblyStep> {
    plan_round(state, &AssemblySettings::default())
}

fn state(fabrics: usize, hosts: usize, wanted: Vec<WantedReplicas>) -> AssemblyState {
    AssemblyState {
        hosts: fleet(fabrics, hosts),
        replicas: Vec::new(),
        wanted,
    }
}

/// Takes every step of a round as done at once; replicas become ready when they load.
fn take(state: &mut AssemblyState, steps: &[AssemblyStep]) {
    for step in steps {
        match step {
            AssemblyStep::Form {
                model,
                version,
                fabric,
                hosts,
            } => {
                let replica = unused_id(state);
                set_slots(state, hosts, Some(&replica));
                state.replicas.push(AssemblyReplica {
                    id: replica,
                    model: model.clone(),
                    version: version.clone(),
                    fabric: fabric.clone(),
                    hosts: hosts.clone(),
                    stage: ReplicaStage::Formed,
                });
            }
            AssemblyStep::Replace {
                replica,
                lost,
                spare,
            } => {
                set_slots(state, std::slice::from_ref(spare), Some(replica));
                set_slots(state, std::slice::from_ref(lost), None);
                let group = find(state, replica);
                group.stage = ReplicaStage::Formed;
                for host in &mut group.hosts {
                    if host == lost {
                        *host = spare.clone();
                    }
                }
            }
            AssemblyStep::Load { replica } => find(state, replica).stage = ReplicaStage::Ready,
            AssemblyStep::Drain { replica, .. } => {
                find(state, replica).stage = ReplicaStage::Drained;
            }
            AssemblyStep::Dissolve { replica, .. } => {
                let hosts = find(state, replica).hosts.clone();
                set_slots(state, &hosts, None);
                state.replicas.retain(|other| other.id != *replica);
            }
        }
    }
}

fn unused_id(state: &AssemblyState) -> ReplicaId {
    let ids = (0..).map(|number| id::<ReplicaId>(&format!("r{number}")));
    let mut unused = ids.filter(|id| state.replicas.iter().all(|replica| replica.id != *id));
    unused.next().expect("numbers don't end")
}

fn find<'a>(state: &'a mut AssemblyState, replica: &ReplicaId) -> &'a mut AssemblyReplica {
    let found = state.replicas.iter_mut().find(|other| other.id == *replica);
    found.expect("steps name known replicas")
}

fn set_slots(state: &mut AssemblyState, hosts: &[HostId], replica: Option<&ReplicaId>) {
    for host in &mut state.hosts {
        if hosts.contains(&host.id) {
            host.replica = replica.cloned();
        }
    }
}

fn settle(state: &mut AssemblyState) {
    for _ in 0..40 {
        let steps = plan(state);
        if steps.is_empty() {
            return;
        }
        take(state, &steps);
    }
    panic!("no rest after 40 rounds: {:?}", plan(state));
}

fn lose(state: &mut AssemblyState, host: &str) {
    set_presence(state, host, HostPresence::Absent(Duration::from_mins(5)));
}

fn set_presence(state: &mut AssemblyState, host: &str, presence: HostPresence) {
    let host = state
        .hosts
        .iter_mut()
        .find(|other| other.id.as_str() == host);
    host.expect("a known host").presence = presence;
}

/// A host of a serving replica is lost while a spare is there. Callers miss one replica until the
/// spare has its part of the weights, and no other replica is touched.
#[test]
fn spare_takes_the_lost_rank() {
    let mut state = state(1, 9, vec![wanted("help", 2, 0, 4)]);
    settle(&mut state);
    let lost = state.replicas[0].hosts[2].clone();
    lose(&mut state, lost.as_str());
    let steps = plan(&state);
    let [AssemblyStep::Replace { replica, spare, .. }] = steps.as_slice() else {
        panic!("{steps:?}");
    };
    assert_eq!(*replica, state.replicas[0].id);
    assert_eq!(spare.as_str(), "f00-h008");
}

/// A host answers late for a moment. Its replica waits for it, because it has its weights.
#[test]
fn short_pause_changes_nothing() {
    let mut state = state(1, 9, vec![wanted("help", 2, 0, 4)]);
    settle(&mut state);
    let host = state.replicas[0].hosts[1].clone();
    let paused = HostPresence::Absent(Duration::from_secs(5));
    set_presence(&mut state, host.as_str(), paused);
    assert_eq!(plan(&state), vec![]);
}

/// Two 16-host replicas lose a host each and no spare is left. Thirty paid hosts would serve
/// nothing; regrouped, one replica serves again.
#[test]
fn leftovers_are_regrouped() {
    let mut state = state(1, 32, vec![wanted("help", 2, 0, 16)]);
    settle(&mut state);
    for replica in 0..2 {
        let host = state.replicas[replica].hosts[3].clone();
        lose(&mut state, host.as_str());
    }
    let steps = plan(&state);
    let regrouped = |step: &AssemblyStep| {
        matches!(step, AssemblyStep::Dissolve { reason, .. }
            if *reason == DissolveReason::Regrouped)
    };
    assert!(steps.len() == 1 && regrouped(&steps[0]), "{steps:?}");
    settle(&mut state);
    assert_eq!(state.replicas.len(), 1);
    assert_eq!(state.replicas[0].stage, ReplicaStage::Ready);
}

/// A whole fabric domain goes dark. Its replicas are formed anew where hosts are free; where none
/// are, they are kept as they were, to serve at once when the power is back.
#[test]
fn dark_fabric_is_not_taken_apart() {
    let mut state = state(2, 9, vec![wanted("help", 4, 0, 4)]);
    settle(&mut state);
    for host in 0..9 {
        lose(&mut state, &format!("f00-h{host:03}"));
    }
    assert_eq!(plan(&state), vec![]);
    for host in state
        .hosts
        .iter_mut()
        .filter(|host| host.fabric.as_str() == "f00")
    {
        host.presence = HostPresence::Present;
    }
    assert_eq!(plan(&state), vec![]);
}

/// A host leaves. Its replica still answers the requests in progress, so it is drained before a
/// spare takes the rank.
#[test]
fn leaving_host_drains_first() {
    let mut state = state(1, 9, vec![wanted("help", 2, 0, 4)]);
    settle(&mut state);
    let host = state.replicas[0].hosts[0].clone();
    set_presence(&mut state, host.as_str(), HostPresence::Leaving);
    let replica = state.replicas[0].id.clone();
    let reason = DrainReason::HostLeaving;
    let drain = AssemblyStep::Drain { replica, reason };
    assert_eq!(plan(&state), vec![drain]);
    state.replicas[0].stage = ReplicaStage::Draining;
    assert_eq!(plan(&state), vec![]);
    state.replicas[0].stage = ReplicaStage::Drained;
    let steps = plan(&state);
    let replaced = matches!(&steps[..], [AssemblyStep::Replace { lost, .. }] if *lost == host);
    assert!(replaced, "{steps:?}");
}

/// An operator wants fewer replicas. One that serves is drained before its hosts are freed, and a
/// broken one goes before it.
#[test]
fn unwanted_replica_is_drained() {
    let mut state = state(1, 8, vec![wanted("help", 2, 0, 4)]);
    settle(&mut state);
    state.wanted = vec![wanted("help", 1, 0, 4)];
    let steps = plan(&state);
    assert!(
        matches!(&steps[..], [AssemblyStep::Drain { .. }]),
        "{steps:?}"
    );
    let host = state.replicas[1].hosts[0].clone();
    lose(&mut state, host.as_str());
    let steps = plan(&state);
    let broken = state.replicas[1].id.clone();
    let gone = |step: &AssemblyStep| matches!(step, AssemblyStep::Dissolve { replica, .. } if *replica == broken);
    assert!(steps.iter().any(gone), "{steps:?}");
}

/// A power cut ends and eight replicas want their weights at once. They load a few at a time, so
/// that the first serves after one load and not after all.
#[test]
fn loads_follow_the_store_rate() {
    let mut state = state(1, 32, vec![wanted("help", 8, 0, 4)]);
    let steps = plan(&state);
    take(&mut state, &steps);
    let steps = plan(&state);
    assert!(
        matches!(&steps[..], [AssemblyStep::Load { .. }]),
        "{steps:?}"
    );
    if let AssemblyStep::Load { replica } = &steps[0] {
        find(&mut state, replica).stage = ReplicaStage::Loading;
    }
    assert_eq!(plan(&state), vec![]);
}

/// A spare that kept the lost rank's weights needs no load, and is taken before an empty one.
#[test]
fn loaded_spare_is_preferred() {
    let mut state = state(1, 10, vec![wanted("help", 2, 0, 4)]);
    settle(&mut state);
    state.hosts[9].loaded = Some(LoadedWeights {
        model: id("help"),
        version: id("v1"),
        rank: 2,
    });
    let host = state.replicas[0].hosts[2].clone();
    lose(&mut state, host.as_str());
    let steps = plan(&state);
    let preferred = matches!(&steps[..], [AssemblyStep::Replace { spare, .. }]
        if spare.as_str() == "f00-h009");
    assert!(preferred, "{steps:?}");
}

/// Another model's extra replica gives its hosts when a wanted one can't be repaired, and only
/// one does.
#[test]
fn extra_replica_gives_its_hosts() {
    let both = vec![wanted("lookup", 1, 0, 4), wanted("help", 1, 8, 4)];
    let mut state = state(2, 12, both);
    settle(&mut state);
    assert_eq!(state.replicas.len(), 6);
    let lookup = state
        .replicas
        .iter()
        .find(|replica| replica.model.as_str() == "lookup");
    let host = lookup.expect("it is wanted").hosts[0].clone();
    lose(&mut state, host.as_str());
    let steps = plan(&state);
    let drains = steps.iter().filter(|step| {
        matches!(step, AssemblyStep::Drain { reason, .. } if *reason == DrainReason::HostsNeeded)
    });
    assert_eq!(drains.count(), 1, "{steps:?}");
    settle(&mut state);
    let whole = state
        .replicas
        .iter()
        .find(|replica| replica.model.as_str() == "lookup");
    let whole = whole.expect("it is wanted");
    assert!(whole.stage == ReplicaStage::Ready && !whole.hosts.contains(&host));
}

/// Whatever hosts come and go and whatever is wanted: no host stands in two replicas or two steps,
/// a replica's hosts share a fabric domain, and the planner comes to rest.
#[test]
fn no_host_is_used_twice() {
    for seed in 0..150 {
        let mut source = Gen::from_size_and_seed(60, seed);
        let small = u32::arbitrary(&mut source) % 5;
        let large = u32::arbitrary(&mut source) % 3;
        let extra = u32::arbitrary(&mut source) % 4;
        let both = vec![
            wanted("help", small, extra, 4),
            wanted("draft", large, 0, 16),
        ];
        let mut state = state(3, 21, both);
        for _ in 0..30 {
            for _ in 0..u8::arbitrary(&mut source) % 4 {
                let place = usize::arbitrary(&mut source) % state.hosts.len();
                state.hosts[place].presence = match u8::arbitrary(&mut source) % 5 {
                    0 => HostPresence::Leaving,
                    1 => HostPresence::Absent(Duration::from_secs(3)),
                    2 => HostPresence::Absent(Duration::from_mins(9)),
                    _ => HostPresence::Present,
                };
            }
            let steps = plan(&state);
            check_steps(&state, &steps);
            take(&mut state, &steps);
            check_hosts(&state);
        }
        for host in &mut state.hosts {
            host.presence = HostPresence::Present;
        }
        settle(&mut state);
        let made = |model: &str| {
            let of = state
                .replicas
                .iter()
                .filter(|replica| replica.model.as_str() == model);
            u32::try_from(of.count()).unwrap_or(u32::MAX)
        };
        assert!(
            made("help") >= small && made("draft") == large,
            "seed {seed}"
        );
    }
}

fn check_steps(state: &AssemblyState, steps: &[AssemblyStep]) {
    let mut taken: FastSet<&HostId> = FastSet::default();
    for step in steps {
        let hosts = match step {
            AssemblyStep::Form { hosts, .. } => hosts.as_slice(),
            AssemblyStep::Replace { spare, .. } => std::slice::from_ref(spare),
            _ => continue,
        };
        for host in hosts {
            assert!(taken.insert(host), "{host} in two steps");
            let known = state.hosts.iter().find(|other| other.id == *host);
            let known = known.expect("a known host");
            assert!(known.replica.is_none() && known.presence == HostPresence::Present);
        }
    }
}

fn check_hosts(state: &AssemblyState) {
    let mut taken: FastSet<&HostId> = FastSet::default();
    for replica in &state.replicas {
        for host in &replica.hosts {
            assert!(taken.insert(host), "{host} in two replicas");
            assert!(host.as_str().starts_with(replica.fabric.as_str()));
        }
    }
}
