//! Moving hosts between replicas: traces found by the specification `assembly`, replayed on the
//! real code.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use control::assembly::{AssemblySettings, FabricHealth, HostHealth, HostOrder, required_orders};
use control::directory::HostDirectory;
use domain::replica::ReplicaRole;
use domain::{
    BootNumber, FabricFleet, FastMap, HostId, HostSlot, IncarnationNumber, LeaseEpoch, ReplicaPlan,
};
use platform::HostEntry;
use wire::engine::{EngineAddress, EngineAssignment, EngineLoad, EngineState};

const LOADS_AT_ONCE: usize = 4;

fn host(name: &str) -> HostId {
    name.parse().expect("valid id")
}

fn address() -> SocketAddr {
    "127.0.0.1:1".parse().expect("valid address")
}

fn directory(names: &[&str]) -> HostDirectory {
    let entries = names.iter().map(|name| HostEntry {
        host: host(name),
        address: address(),
        fabric: "f0".parse().expect("valid id"),
        domain: "plateau".parse().expect("valid id"),
        region: "dakar".parse().expect("valid id"),
        leaving: false,
    });
    HostDirectory {
        hosts: entries.map(|entry| (entry.host.clone(), entry)).collect(),
    }
}

fn assignment(replica: &str, members: &[&str], rank: u32) -> EngineAssignment {
    let ranks = members.iter().map(|name| EngineAddress {
        host: host(name),
        address: address(),
    });
    EngineAssignment {
        replica: replica.parse().expect("valid id"),
        incarnation: IncarnationNumber(1),
        epoch: LeaseEpoch(1),
        hosts: ranks.collect(),
        rank,
        model: "trader-help".parse().expect("valid id"),
        version: "v1".parse().expect("valid id"),
        adapters: Vec::new(),
        role: ReplicaRole::Both,
    }
}

fn reported(name: &str, assignment: Option<EngineAssignment>) -> (HostId, HostHealth) {
    let state = EngineState {
        host: host(name),
        boot: BootNumber(1),
        ready: assignment.is_some(),
        assignment,
        leaving: false,
        load: EngineLoad::default(),
    };
    (
        host(name),
        HostHealth {
            state: Some(state),
            ..HostHealth::default()
        },
    )
}

fn plan(replica: &str, members: &[&str]) -> ReplicaPlan {
    let template = assignment(replica, members, 0);
    ReplicaPlan {
        id: template.replica,
        incarnation: template.incarnation,
        epoch: template.epoch,
        fabric: "f0".parse().expect("valid id"),
        hosts: members.iter().map(|name| host(name)).collect(),
        model: template.model,
        version: template.version,
        adapters: Vec::new(),
        role: template.role,
        draining: false,
    }
}

fn fleet(plans: Vec<ReplicaPlan>) -> FabricFleet {
    FabricFleet {
        next_number: 9,
        plans,
    }
}

fn emptied(orders: &[HostOrder]) -> Vec<&str> {
    let empty = orders.iter().filter(|order| order.assignment.is_none());
    empty.map(|order| order.host.as_str()).collect()
}

/// A replica was dissolved and an entry node has not learned of it. If its second host were emptied
/// first, the leader would still accept that node's requests and never respond to them.
#[test]
fn leader_emptied_first() {
    let members = ["h0", "h1"];
    let mut hosts = BTreeMap::from([
        reported("h0", Some(assignment("r0", &members, 0))),
        reported("h1", Some(assignment("r0", &members, 1))),
    ]);
    let directory = directory(&members);
    let orders = required_orders(&fleet(Vec::new()), &hosts, &directory, LOADS_AT_ONCE);
    assert_eq!(emptied(&orders), ["h0"]);

    hosts.extend([reported("h0", None)]);
    let orders = required_orders(&fleet(Vec::new()), &hosts, &directory, LOADS_AT_ONCE);
    assert_eq!(emptied(&orders), ["h1"]);
}

/// The leader of a dissolved replica is silent. It may still respond to requests, so the other
/// hosts are not emptied until it counts as lost.
#[test]
fn silent_leader_blocks_emptying() {
    let members = ["h0", "h1"];
    let mut hosts = BTreeMap::from([
        (host("h0"), HostHealth::default()),
        reported("h1", Some(assignment("r0", &members, 1))),
    ]);
    let directory = directory(&members);
    let orders = required_orders(&fleet(Vec::new()), &hosts, &directory, LOADS_AT_ONCE);
    assert_eq!(orders, []);

    hosts.insert(
        host("h0"),
        HostHealth {
            lost: true,
            ..HostHealth::default()
        },
    );
    let orders = required_orders(&fleet(Vec::new()), &hosts, &directory, LOADS_AT_ONCE);
    assert_eq!(emptied(&orders), ["h1"]);
}

/// A late order of a paused controller put a host back into its old replica. It must be emptied
/// first: with an order for its new replica at once, a node with old evidence could consider the
/// old replica healthy for a moment.
#[test]
fn misassigned_host_emptied() {
    let hosts = BTreeMap::from([
        reported("h1", Some(assignment("r0", &["h0", "h1"], 1))),
        reported("h2", Some(assignment("r1", &["h2", "h1"], 0))),
    ]);
    let fleet = fleet(vec![plan("r1", &["h2", "h1"])]);
    let orders = required_orders(&fleet, &hosts, &directory(&["h1", "h2"]), LOADS_AT_ONCE);
    assert_eq!(emptied(&orders), ["h1"]);
    assert_eq!(orders.len(), 1);
}

/// An emptied host waits longer than any node uses old evidence before it gets its assignment.
#[test]
fn misassigned_host_cools_down() {
    let settings = AssemblySettings::default();
    let mut health = FabricHealth::default();
    let used = HostSlot {
        assignment: None,
        epoch: LeaseEpoch(1),
    };
    let slots: FastMap<HostId, HostSlot> = [(host("h1"), used)].into_iter().collect();
    let fleet = fleet(vec![plan("r1", &["h1"])]);
    let directory = directory(&["h1"]);
    let start = Instant::now();

    let mut misassigned = BTreeMap::from([reported("h1", Some(assignment("r0", &["h1"], 0)))]);
    health.update_cooldown(&mut misassigned, &slots, settings, start);

    let orders_after = |health: &mut FabricHealth, passed: Duration| {
        let mut hosts = BTreeMap::from([reported("h1", None)]);
        health.update_cooldown(&mut hosts, &slots, settings, start + passed);
        required_orders(&fleet, &hosts, &directory, LOADS_AT_ONCE).len()
    };
    assert_eq!(orders_after(&mut health, Duration::from_secs(1)), 0);
    let cooldown = Duration::from_millis(settings.rest_ms);
    assert_eq!(
        orders_after(&mut health, cooldown + Duration::from_secs(1)),
        1
    );
}

#[test]
fn new_host_needs_no_cooldown() {
    let mut health = FabricHealth::default();
    let mut hosts = BTreeMap::from([reported("h1", None), reported("h2", None)]);
    let used = HostSlot {
        assignment: None,
        epoch: LeaseEpoch(4),
    };
    let slots: FastMap<HostId, HostSlot> = [(host("h1"), HostSlot::default()), (host("h2"), used)]
        .into_iter()
        .collect();
    health.update_cooldown(
        &mut hosts,
        &slots,
        AssemblySettings::default(),
        Instant::now(),
    );
    assert!(!hosts[&host("h1")].cooling_down);
    assert!(hosts[&host("h2")].cooling_down);
}

/// A host was lost and its replica continued under a new incarnation with the same leader. When the
/// host returns with its old rank it must be emptied although the leader runs; otherwise it would
/// never be used again.
#[test]
fn returning_host_emptied() {
    let mut newer = assignment("r0", &["h0", "h2"], 0);
    newer.incarnation = IncarnationNumber(2);
    let hosts = BTreeMap::from([
        reported("h0", Some(newer)),
        reported("h1", Some(assignment("r0", &["h0", "h1"], 1))),
    ]);
    let mut next = plan("r0", &["h0", "h2"]);
    next.incarnation = IncarnationNumber(2);
    let directory = directory(&["h0", "h1"]);
    let orders = required_orders(&fleet(vec![next]), &hosts, &directory, LOADS_AT_ONCE);
    assert_eq!(emptied(&orders), ["h1"]);
}
