//! Formation of replicas without a lease: two nodes form replicas from the same three hosts. Each
//! order names the number of orders that the host must have accepted before it.
//!
//! Hosts 0 and 1 form the first replica, host 2 is spare. Each node acts on a snapshot of the
//! hosts, which may be outdated, and forms a replica of its own: one from hosts 1 and 2, the other
//! from hosts 0 and 2. Each may open the first replica or its own. Responses may be lost, a copy of
//! an order may take effect at any later time, a node may abort and start with a new snapshot, and
//! a host may restart and lose its state. Once, the store goes back to a copy: entries of the hosts
//! are older then than the hosts themselves, and versions, from which epochs are taken, are given out
//! again. Invariants: no host joins a replica while the head of its old replica has not left that and
//! serves; no head serves while a member has never joined its replica; no head is opened because of an
//! entry from before the restore while a member is missing; and no epoch that is taken after the
//! restore is as low as one that a host has.

use crate::formation_guard::FormationGuard;
use crate::formation_store::{StoreState, StoreVersion};
use crate::search::ProtocolModel;

pub(super) const HOSTS: usize = 3;
pub(super) const NODES: usize = 2;
/// Members of each replica; the first is the head.
pub(super) const REPLICAS: [[usize; 2]; 3] = [[0, 1], [1, 2], [0, 2]];
/// Maximum number of orders that a host accepts, which bounds the state space.
const MAX_ORDERS: u8 = 6;

/// Specification of replica formation.
#[derive(Debug)]
pub struct FormationModel {
    removed_guard: Option<FormationGuard>,
}

/// State of the hosts and nodes, and at most one delayed order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FormationState {
    pub(super) hosts: [HostState; HOSTS],
    pub(super) nodes: [NodeState; NODES],
    pub(super) store: StoreState,
    /// Number of the epoch of each replica that a node forms; 0 before it is taken.
    pub(super) epochs: [u8; NODES],
    pub(super) delayed: Option<Order>,
    /// By replica and host, whether the host has ever joined the replica.
    pub(super) joined: [[bool; HOSTS]; REPLICAS.len()],
    pub(super) restarted: bool,
    /// Whether a host joined a replica while its old one served.
    pub(super) joined_while_serving: bool,
    /// Whether a replica was opened before all of its members had joined.
    pub(super) opened_incomplete: bool,
    /// What a restored store led to that must not happen.
    pub(super) restore_fault: Option<&'static str>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct HostState {
    pub(super) accepted_orders: u8,
    pub(super) replica: Option<usize>,
    pub(super) serves: bool,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct NodeState {
    /// The hosts as last read; none before the first read and after an order was not accepted.
    pub(super) snapshot: Option<[HostState; HOSTS]>,
    /// Whether the snapshot is of entries that a restored store shows.
    pub(super) rests_on_entries: bool,
    /// Version of the store up to which the node knew it at its snapshot.
    pub(super) known: StoreVersion,
    /// The order that waits for its response.
    pub(super) sent: Option<Order>,
    /// Hosts that it has ever ordered to join its replica.
    pub(super) join_sent: [bool; HOSTS],
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Order {
    pub(super) host: usize,
    pub(super) replica: usize,
    pub(super) kind: OrderKind,
    pub(super) expected: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum OrderKind {
    Join,
    Leave,
    Open,
}

impl FormationModel {
    pub(super) fn enforces(&self, guard: FormationGuard) -> bool {
        self.removed_guard != Some(guard)
    }

    /// Executes an order if the host accepts it; returns whether it did.
    fn apply(&self, state: &mut FormationState, order: Order) -> bool {
        let host = state.hosts[order.host];
        let expected = host.accepted_orders == order.expected
            || !self.enforces(FormationGuard::ExpectedOrderCount);
        if !expected || host.accepted_orders == MAX_ORDERS {
            return false;
        }
        let is_member = host.replica == Some(order.replica);
        match order.kind {
            OrderKind::Join => {
                state.store.record_write();
                state.joined_while_serving |= leaves_serving_replica(state, order);
                state.joined[order.replica][order.host] = true;
                state.hosts[order.host] = HostState {
                    accepted_orders: host.accepted_orders + 1,
                    replica: Some(order.replica),
                    serves: false,
                };
                true
            }
            OrderKind::Leave if is_member => {
                state.hosts[order.host] = HostState {
                    accepted_orders: host.accepted_orders + 1,
                    ..HostState::default()
                };
                true
            }
            OrderKind::Open if is_member && REPLICAS[order.replica][0] == order.host => {
                let members = REPLICAS[order.replica];
                let all_joined = members
                    .iter()
                    .all(|member| state.joined[order.replica][*member]);
                state.opened_incomplete |= !all_joined;
                state.hosts[order.host].accepted_orders += 1;
                state.hosts[order.host].serves = true;
                true
            }
            OrderKind::Leave | OrderKind::Open => false,
        }
    }

    /// The next order with which a node forms its replica, given its snapshot of the hosts.
    fn next_join(
        &self,
        snapshot: &[HostState; HOSTS],
        join_sent: [bool; HOSTS],
        replica: usize,
    ) -> Option<Order> {
        for member in REPLICAS[replica] {
            let known = snapshot[member];
            let order = |host: usize, replica, kind| Order {
                host,
                replica,
                kind,
                expected: snapshot[host].accepted_orders,
            };
            let join = order(member, replica, OrderKind::Join);
            let has_joined = known.replica == Some(replica);
            if join_sent[member] && !has_joined && self.enforces(FormationGuard::UniqueName) {
                return None;
            }
            let Some(old) = known.replica else {
                return Some(join);
            };
            if old == replica {
                continue;
            }
            let head = REPLICAS[old][0];
            if head == member {
                let leaves = self.enforces(FormationGuard::HeadLeavesBeforeJoin);
                return Some(if leaves {
                    order(member, old, OrderKind::Leave)
                } else {
                    join
                });
            }
            let head_stays = snapshot[head].replica == Some(old);
            if head_stays && self.enforces(FormationGuard::HeadLeavesFirst) {
                return Some(order(head, old, OrderKind::Leave));
            }
            return Some(join);
        }
        None
    }

    fn next_open(&self, snapshot: &[HostState; HOSTS], replica: usize) -> Option<Order> {
        let [head, other] = REPLICAS[replica];
        let observed = |host: usize| snapshot[host].replica == Some(replica);
        let all_observed = observed(head)
            && (observed(other) || !self.enforces(FormationGuard::AllMembersObserved));
        (all_observed && !snapshot[head].serves).then_some(Order {
            host: head,
            replica,
            kind: OrderKind::Open,
            expected: snapshot[head].accepted_orders,
        })
    }

    fn possible_orders(&self, node: usize, known: NodeState) -> Vec<Order> {
        let own_replica = node + 1;
        let Some(snapshot) = &known.snapshot else {
            return Vec::new();
        };
        let orders = [
            self.next_join(snapshot, known.join_sent, own_replica),
            self.next_open(snapshot, own_replica),
            self.next_open(snapshot, 0),
        ];
        orders.into_iter().flatten().collect()
    }

    fn apply_with_response(
        &self,
        state: &FormationState,
        node: usize,
        order: Order,
    ) -> FormationState {
        let mut next = state.clone();
        let accepted = self.apply(&mut next, order);
        next.nodes[node].sent = None;
        let host = next.hosts[order.host];
        match &mut next.nodes[node].snapshot {
            Some(snapshot) if accepted => snapshot[order.host] = host,
            snapshot => *snapshot = None,
        }
        next
    }

    fn node_steps(
        &self,
        state: &FormationState,
        node: usize,
        transitions: &mut Vec<(String, FormationState)>,
    ) {
        let known = state.nodes[node];
        let Some(order) = known.sent else {
            Self::read_steps(state, node, transitions);
            for order in self.possible_orders(node, known) {
                transitions.extend(self.send(state, node, order));
            }
            return;
        };
        let responded = self.apply_with_response(state, node, order);
        transitions.push((
            format!("{order:?} of node {node} gets a response"),
            responded,
        ));
        let mut response_lost = state.clone();
        self.apply(&mut response_lost, order);
        transitions.push((
            format!("{order:?} of node {node} loses its response"),
            response_lost,
        ));
        if state.delayed.is_none() {
            let mut delayed = state.clone();
            delayed.delayed = Some(order);
            transitions.push((format!("a copy of {order:?} is delayed"), delayed));
        }
        let mut aborted = state.clone();
        aborted.nodes[node] = NodeState {
            join_sent: known.join_sent,
            ..NodeState::default()
        };
        transitions.push((format!("node {node} aborts"), aborted));
    }
}

/// Whether the head of the host's old replica still serves, so that the order would put the host
/// into two replicas.
fn leaves_serving_replica(state: &FormationState, order: Order) -> bool {
    let Some(old) = state.hosts[order.host].replica else {
        return false;
    };
    let head = state.hosts[REPLICAS[old][0]];
    old != order.replica && head.replica == Some(old) && head.serves
}

impl ProtocolModel for FormationModel {
    const NAME: &'static str = "formation";

    type Guard = FormationGuard;

    type State = FormationState;

    fn new(removed_guard: Option<FormationGuard>) -> Self {
        Self { removed_guard }
    }

    fn initial_state(&self) -> FormationState {
        let member = HostState {
            accepted_orders: 1,
            replica: Some(0),
            serves: false,
        };
        let mut joined = [[false; HOSTS]; REPLICAS.len()];
        joined[0] = [true, true, false];
        FormationState {
            hosts: [member, member, HostState::default()],
            nodes: Default::default(),
            store: StoreState::default(),
            epochs: [0; NODES],
            delayed: None,
            joined,
            restarted: false,
            joined_while_serving: false,
            opened_incomplete: false,
            restore_fault: None,
        }
    }

    fn transitions(&self, state: &FormationState) -> Vec<(String, FormationState)> {
        let mut transitions = Vec::new();
        for node in 0..NODES {
            self.node_steps(state, node, &mut transitions);
        }
        self.store_steps(state, &mut transitions);
        if let Some(order) = state.delayed {
            let mut next = state.clone();
            next.delayed = None;
            self.apply(&mut next, order);
            transitions.push((format!("the delayed {order:?} arrives"), next));
        }
        if !state.restarted {
            for host in 0..HOSTS {
                let mut next = state.clone();
                next.hosts[host] = HostState::default();
                next.restarted = true;
                transitions.push((format!("host {host} restarts"), next));
            }
        }
        for (_, next) in &mut transitions {
            self.forget_settled(next);
        }
        transitions
    }

    fn violated_invariant(&self, state: &FormationState) -> Option<&'static str> {
        if state.joined_while_serving {
            return Some("a host joined a replica while its old one served");
        }
        if state.opened_incomplete {
            return Some("a head serves whose replica has a member that never joined");
        }
        state.restore_fault
    }
}
