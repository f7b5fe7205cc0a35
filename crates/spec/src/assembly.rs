//! Assembly and release of replicas: two replicas that share one host, with delayed orders.
//!
//! Replica 0 has hosts 0 and 1, replica 1 has hosts 2 and 1; the first of each is the leader. The
//! controller forms a replica when its rows are free, orders its hosts into it, drains it, empties
//! the hosts and frees their rows. An entry node dispatches to the leader if it has evidence that
//! every host of the replica reported it. The targets check no fencing tokens: an order of a paused
//! controller arrives at any later time. Such an order may take a host out of a serving replica;
//! dispatch must then end within the maximum age of evidence, as after the loss of a host.

use crate::assembly_guard::AssemblyGuard;
use crate::search::ProtocolModel;

const HOSTS: usize = 3;
const REPLICAS: usize = 2;
const MEMBERS: [[usize; 2]; REPLICAS] = [[0, 1], [2, 1]];

/// Ticks for which evidence is valid. A replica must not be dispatched to when one of its hosts has
/// been lost for longer.
const MAX_EVIDENCE_AGE: u8 = 1;

/// Maximum number of delayed orders of paused controllers in one run.
const MAX_DELAYED_ORDERS: u8 = 1;

/// Maximum number of host losses in one run.
const MAX_LOSSES: u8 = 1;

/// Specification of replica assembly.
#[derive(Debug)]
pub struct AssemblyModel {
    removed_guard: Option<AssemblyGuard>,
}

/// Rows and plans of the controller, state of the hosts, and evidence of the entry node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AssemblyState {
    /// The replica to which each host's row assigns it; none for a free row.
    rows: [Option<usize>; HOSTS],
    plans: [PlanState; REPLICAS],
    hosts: [Host; HOSTS],
    /// Age in ticks of the last report, by replica and member; none without a report.
    reports: [[Option<u8>; 2]; REPLICAS],
    delayed_orders: u8,
    losses: u8,
    /// What was wrong with the first bad dispatch, if there was one.
    violation: Option<&'static str>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum PlanState {
    None,
    Serving,
    Draining,
    Dissolved,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Host {
    /// The replica that it runs.
    replica: Option<usize>,
    /// Ticks since the host was lost; none while it is up.
    lost_for: Option<u8>,
    /// Ticks since a delayed order moved it; none if none did.
    misassigned_for: Option<u8>,
    /// Ticks since it was emptied or returned; none if it never was.
    empty_for: Option<u8>,
}

impl AssemblyModel {
    fn enforces(&self, guard: AssemblyGuard) -> bool {
        self.removed_guard != Some(guard)
    }

    fn reconcile(
        &self,
        state: &AssemblyState,
        replica: usize,
        transitions: &mut Vec<(String, AssemblyState)>,
    ) {
        let members = MEMBERS[replica];
        match state.plans[replica] {
            PlanState::None => {
                let free = members.iter().all(|host| state.rows[*host].is_none());
                if free || !self.enforces(AssemblyGuard::FreeRows) {
                    let mut next = state.clone();
                    next.plans[replica] = PlanState::Serving;
                    for host in members {
                        next.rows[host] = Some(replica);
                    }
                    transitions.push((format!("replica {replica} is formed"), next));
                }
            }
            PlanState::Serving => {
                for host in members {
                    self.order_host(state, replica, host, transitions);
                }
                let mut next = state.clone();
                next.plans[replica] = PlanState::Draining;
                transitions.push((format!("replica {replica} drains"), next));
            }
            PlanState::Draining => self.dissolve(state, replica, transitions),
            PlanState::Dissolved => {}
        }
    }

    /// Orders a host into its replica; a host that runs another replica is emptied first.
    fn order_host(
        &self,
        state: &AssemblyState,
        replica: usize,
        host: usize,
        transitions: &mut Vec<(String, AssemblyState)>,
    ) {
        let host_state = &state.hosts[host];
        if host_state.replica == Some(replica) || host_state.lost_for.is_some() {
            return;
        }
        if host_state.replica.is_some() {
            transitions.push((
                format!("host {host} is emptied after a delayed order"),
                empty_host(state, host),
            ));
            return;
        }
        let has_waited = host_state
            .empty_for
            .is_none_or(|ticks| ticks > MAX_EVIDENCE_AGE);
        if !has_waited && self.enforces(AssemblyGuard::EmptyWait) {
            return;
        }
        let mut next = state.clone();
        next.hosts[host].replica = Some(replica);
        next.hosts[host].empty_for = None;
        transitions.push((
            format!("host {host} is ordered into replica {replica}"),
            next,
        ));
    }

    fn dissolve(
        &self,
        state: &AssemblyState,
        replica: usize,
        transitions: &mut Vec<(String, AssemblyState)>,
    ) {
        let leader_running = state.hosts[MEMBERS[replica][0]].replica == Some(replica);
        for host in MEMBERS[replica] {
            let host_state = &state.hosts[host];
            let is_leader = host == MEMBERS[replica][0];
            let may_empty =
                is_leader || !leader_running || !self.enforces(AssemblyGuard::LeaderFirst);
            if host_state.replica == Some(replica) && may_empty {
                let mut next = state.clone();
                next.hosts[host] = Host {
                    empty_for: Some(0),
                    ..Host::default()
                };
                transitions.push((format!("host {host} is emptied of replica {replica}"), next));
            }
            let reported_empty = host_state.replica.is_none() && host_state.lost_for.is_none();
            let may_free = reported_empty || !self.enforces(AssemblyGuard::EmptyReport);
            if state.rows[host] != Some(replica) || !may_free {
                continue;
            }
            let mut next = state.clone();
            next.rows[host] = None;
            if MEMBERS[replica]
                .iter()
                .all(|member| next.rows[*member] != Some(replica))
            {
                next.plans[replica] = PlanState::Dissolved;
            }
            transitions.push((format!("the row of host {host} is freed"), next));
        }
    }

    fn host_faults(
        state: &AssemblyState,
        host: usize,
        transitions: &mut Vec<(String, AssemblyState)>,
    ) {
        if state.hosts[host].lost_for.is_some() {
            let mut next = state.clone();
            next.hosts[host] = Host {
                empty_for: Some(0),
                ..Host::default()
            };
            transitions.push((format!("host {host} returns empty"), next));
        } else if state.losses < MAX_LOSSES {
            let mut next = state.clone();
            next.hosts[host] = Host {
                replica: None,
                lost_for: Some(0),
                misassigned_for: None,
                empty_for: None,
            };
            next.losses += 1;
            transitions.push((format!("host {host} is lost"), next));
        }
        if state.delayed_orders < MAX_DELAYED_ORDERS && state.hosts[host].lost_for.is_none() {
            for (replica, members) in MEMBERS.iter().enumerate() {
                let was_ordered =
                    state.plans[replica] != PlanState::None && members.contains(&host);
                if !was_ordered || state.hosts[host].replica == Some(replica) {
                    continue;
                }
                let mut next = state.clone();
                next.hosts[host].replica = Some(replica);
                next.hosts[host].misassigned_for = Some(0);
                next.delayed_orders += 1;
                transitions.push((
                    format!("a delayed order puts host {host} into replica {replica}"),
                    next,
                ));
            }
        }
    }

    fn dispatch(
        &self,
        state: &AssemblyState,
        replica: usize,
        transitions: &mut Vec<(String, AssemblyState)>,
    ) {
        let members = MEMBERS[replica];
        for (member, host) in members.iter().enumerate() {
            let is_running = state.hosts[*host].replica == Some(replica);
            if !is_running || state.reports[replica][member] == Some(0) {
                continue;
            }
            let mut next = state.clone();
            next.reports[replica][member] = Some(0);
            transitions.push((format!("host {host} reports replica {replica}"), next));
        }
        let is_healthy = state.reports[replica].iter().all(|age| match age {
            Some(age) => *age <= MAX_EVIDENCE_AGE || !self.enforces(AssemblyGuard::EvidenceExpiry),
            None => false,
        });
        if !is_healthy {
            return;
        }
        let leader = &state.hosts[members[0]];
        let accepted = leader.lost_for.is_none()
            && (leader.replica == Some(replica) || !self.enforces(AssemblyGuard::ReplicaCheck));
        if !accepted {
            return;
        }
        if let Some(violation) = dispatch_violation(state, replica) {
            let mut next = state.clone();
            next.violation = Some(violation);
            transitions.push((
                format!("a request is dispatched to replica {replica}"),
                next,
            ));
        }
    }
}

fn empty_host(state: &AssemblyState, host: usize) -> AssemblyState {
    let mut next = state.clone();
    next.hosts[host].replica = None;
    next.hosts[host].empty_for = Some(0);
    next
}

/// What is wrong with running a request on a replica in this state, if anything is.
fn dispatch_violation(state: &AssemblyState, replica: usize) -> Option<&'static str> {
    let members = MEMBERS[replica];
    if state.hosts[members[0]].replica != Some(replica) {
        return Some("a request ran on a host of another replica");
    }
    for host in members {
        let lost_too_long = state.hosts[host]
            .lost_for
            .is_some_and(|ticks| ticks > MAX_EVIDENCE_AGE);
        if lost_too_long {
            return Some("a replica served with a host lost for too long");
        }
        let emptied = state.hosts[host].replica.is_none()
            && state.hosts[host].empty_for.is_some()
            && state.losses == 0
            && state.delayed_orders == 0;
        if emptied {
            return Some("a planned change left a running request without a host");
        }
        let elsewhere = state.hosts[host]
            .replica
            .is_some_and(|other| other != replica);
        let recently_misassigned = state.hosts[host]
            .misassigned_for
            .is_some_and(|ticks| ticks <= MAX_EVIDENCE_AGE);
        if elsewhere && !recently_misassigned {
            return Some("a replica served with a host that belongs to another");
        }
    }
    None
}

impl ProtocolModel for AssemblyModel {
    const NAME: &'static str = "assembly";

    type Guard = AssemblyGuard;

    type State = AssemblyState;

    fn new(removed_guard: Option<AssemblyGuard>) -> Self {
        Self { removed_guard }
    }

    fn initial_state(&self) -> AssemblyState {
        AssemblyState {
            rows: [None; HOSTS],
            plans: [PlanState::None; REPLICAS],
            hosts: [Host::default(); HOSTS],
            reports: [[None; 2]; REPLICAS],
            delayed_orders: 0,
            losses: 0,
            violation: None,
        }
    }

    fn transitions(&self, state: &AssemblyState) -> Vec<(String, AssemblyState)> {
        let mut transitions = vec![("a tick passes".to_owned(), tick(state))];
        for replica in [0, 1] {
            self.reconcile(state, replica, &mut transitions);
            self.dispatch(state, replica, &mut transitions);
        }
        for host in 0..HOSTS {
            Self::host_faults(state, host, &mut transitions);
        }
        transitions
    }

    fn violated_invariant(&self, state: &AssemblyState) -> Option<&'static str> {
        if state.violation.is_some() {
            return state.violation;
        }
        for (replica, members) in MEMBERS.iter().enumerate() {
            let is_shared = state.plans[replica] == PlanState::Serving
                && members
                    .iter()
                    .any(|host| state.rows[*host] != Some(replica));
            if is_shared {
                return Some("a host belongs to two replicas");
            }
        }
        None
    }
}

fn tick(state: &AssemblyState) -> AssemblyState {
    let mut next = state.clone();
    for age in next.reports.iter_mut().flatten().flatten() {
        *age = (*age + 1).min(MAX_EVIDENCE_AGE + 1);
    }
    for host in &mut next.hosts {
        let ages = [
            &mut host.lost_for,
            &mut host.misassigned_for,
            &mut host.empty_for,
        ];
        for ticks in ages.into_iter().flatten() {
            *ticks = (*ticks + 1).min(MAX_EVIDENCE_AGE + 1);
        }
    }
    next
}
