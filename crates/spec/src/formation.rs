//! Replicas without a lease: two nodes that form replicas from the same three hosts, by orders that
//! name how many orders the host must have accepted before.
//!
//! Host 0 and host 1 form the first replica, host 2 is spare. Either node reads what the hosts say,
//! now or long ago, and works towards a replica of its own: one with hosts 1 and 2, the other with
//! hosts 0 and 2. Either may open the first replica, or its own. An answer may be lost, a copy of an
//! order may come into effect any time later, a node may give up and start from a new reading, and a
//! host may start again and forget everything. What must never happen: a host joins a replica while
//! the head of its old one, which it has not left, serves; or a head serves whose replica has a
//! member that never joined it.

use crate::search::{ProtocolModel, SpecGuard};

const HOSTS: usize = 3;
const NODES: usize = 2;
/// Members of each replica, the head first.
const REPLICAS: [[usize; 2]; 3] = [[0, 1], [1, 2], [0, 2]];
/// Orders that a host accepts before the search lets it be.
const LAST_ORDER: u8 = 6;

/// A mechanism that the specification can go without.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FormationGuard {
    /// A host takes an order only if it accepted as many before as the order names.
    ExpectedOrders,
    /// A head leaves its replica before it joins another.
    HeadLeaves,
    /// A member joins another replica only once its head is out of the old one.
    HeadFirst,
    /// A replica is opened only once each member was seen in it.
    AllSeen,
    /// A name is used for one formation; whoever starts anew takes another.
    FreshName,
}

impl SpecGuard for FormationGuard {
    const ALL: &'static [Self] = &[
        Self::ExpectedOrders,
        Self::HeadLeaves,
        Self::HeadFirst,
        Self::AllSeen,
        Self::FreshName,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::ExpectedOrders => "expected number of orders",
            Self::HeadLeaves => "a head leaves before it joins",
            Self::HeadFirst => "the head leaves before its members",
            Self::AllSeen => "all members seen before the opening",
            Self::FreshName => "a fresh name for each formation",
        }
    }
}

/// The specification.
#[derive(Debug)]
pub struct FormationModel {
    removed: Option<FormationGuard>,
}

/// Hosts, nodes and an order that is late.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FormationState {
    hosts: [HostState; HOSTS],
    nodes: [NodeState; NODES],
    late: Option<Order>,
    /// Members that ever joined each replica.
    joined: [[bool; HOSTS]; REPLICAS.len()],
    restarted: bool,
    shared_host: bool,
    partial_head: bool,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct HostState {
    orders: u8,
    replica: Option<usize>,
    serves: bool,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct NodeState {
    reading: Option<[HostState; HOSTS]>,
    sent: Option<Order>,
    /// Hosts that it ever told to join its replica.
    asked: [bool; HOSTS],
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Order {
    host: usize,
    replica: usize,
    kind: OrderKind,
    expected: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum OrderKind {
    Join,
    Leave,
    Open,
}

impl FormationModel {
    fn has(&self, guard: FormationGuard) -> bool {
        self.removed != Some(guard)
    }

    /// Carries an order out, if the host takes it; whether it did.
    fn apply(&self, state: &mut FormationState, order: Order) -> bool {
        let host = state.hosts[order.host];
        let expected = host.orders == order.expected || !self.has(FormationGuard::ExpectedOrders);
        if !expected || host.orders == LAST_ORDER {
            return false;
        }
        let is_member = host.replica == Some(order.replica);
        match order.kind {
            OrderKind::Join => {
                state.shared_host |= serving_old_replica(state, order);
                state.joined[order.replica][order.host] = true;
                state.hosts[order.host] = HostState {
                    orders: host.orders + 1,
                    replica: Some(order.replica),
                    serves: false,
                };
                true
            }
            OrderKind::Leave if is_member => {
                state.hosts[order.host] = HostState {
                    orders: host.orders + 1,
                    ..HostState::default()
                };
                true
            }
            OrderKind::Open if is_member && REPLICAS[order.replica][0] == order.host => {
                let members = REPLICAS[order.replica];
                let all = members
                    .iter()
                    .all(|member| state.joined[order.replica][*member]);
                state.partial_head |= !all;
                state.hosts[order.host].orders += 1;
                state.hosts[order.host].serves = true;
                true
            }
            OrderKind::Leave | OrderKind::Open => false,
        }
    }

    /// The next order of a node towards its replica, as it read the hosts.
    fn next_join(
        &self,
        reading: &[HostState; HOSTS],
        asked: [bool; HOSTS],
        replica: usize,
    ) -> Option<Order> {
        for member in REPLICAS[replica] {
            let known = reading[member];
            let order = |host: usize, replica, kind| Order {
                host,
                replica,
                kind,
                expected: reading[host].orders,
            };
            let join = order(member, replica, OrderKind::Join);
            let in_it = known.replica == Some(replica);
            if asked[member] && !in_it && self.has(FormationGuard::FreshName) {
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
                let leaves = self.has(FormationGuard::HeadLeaves);
                return Some(if leaves {
                    order(member, old, OrderKind::Leave)
                } else {
                    join
                });
            }
            let head_stays = reading[head].replica == Some(old);
            if head_stays && self.has(FormationGuard::HeadFirst) {
                return Some(order(head, old, OrderKind::Leave));
            }
            return Some(join);
        }
        None
    }

    fn open(&self, reading: &[HostState; HOSTS], replica: usize) -> Option<Order> {
        let [head, other] = REPLICAS[replica];
        let seen = |host: usize| reading[host].replica == Some(replica);
        let all = seen(head) && (seen(other) || !self.has(FormationGuard::AllSeen));
        (all && !reading[head].serves).then_some(Order {
            host: head,
            replica,
            kind: OrderKind::Open,
            expected: reading[head].orders,
        })
    }

    fn choices(&self, node: usize, known: NodeState) -> Vec<Order> {
        let own = node + 1;
        let Some(reading) = &known.reading else {
            return Vec::new();
        };
        let choices = [
            self.next_join(reading, known.asked, own),
            self.open(reading, own),
            self.open(reading, 0),
        ];
        choices.into_iter().flatten().collect()
    }

    fn answered(&self, state: &FormationState, node: usize, order: Order) -> FormationState {
        let mut next = state.clone();
        let taken = self.apply(&mut next, order);
        next.nodes[node].sent = None;
        let host = next.hosts[order.host];
        match &mut next.nodes[node].reading {
            Some(reading) if taken => reading[order.host] = host,
            reading => *reading = None,
        }
        next
    }

    fn node_steps(
        &self,
        state: &FormationState,
        node: usize,
        out: &mut Vec<(String, FormationState)>,
    ) {
        let known = state.nodes[node];
        let Some(order) = known.sent else {
            if known.reading != Some(state.hosts) {
                let mut next = state.clone();
                next.nodes[node].reading = Some(state.hosts);
                out.push((format!("node {node} reads the hosts"), next));
            }
            for order in self.choices(node, known) {
                let mut next = state.clone();
                next.nodes[node].sent = Some(order);
                next.nodes[node].asked[order.host] |= order.kind == OrderKind::Join;
                out.push((format!("node {node} sends {order:?}"), next));
            }
            return;
        };
        let answered = self.answered(state, node, order);
        out.push((format!("{order:?} of node {node} is answered"), answered));
        let mut unanswered = state.clone();
        self.apply(&mut unanswered, order);
        out.push((
            format!("{order:?} of node {node} is not answered"),
            unanswered,
        ));
        if state.late.is_none() {
            let mut late = state.clone();
            late.late = Some(order);
            out.push((format!("a copy of {order:?} is late"), late));
        }
        let mut given_up = state.clone();
        given_up.nodes[node] = NodeState {
            asked: known.asked,
            ..NodeState::default()
        };
        out.push((format!("node {node} gives up"), given_up));
    }
}

/// Whether a host that joins would be in two replicas: its old one's head serves.
fn serving_old_replica(state: &FormationState, order: Order) -> bool {
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

    fn without(removed: Option<FormationGuard>) -> Self {
        Self { removed }
    }

    fn start(&self) -> FormationState {
        let member = HostState {
            orders: 1,
            replica: Some(0),
            serves: false,
        };
        let mut joined = [[false; HOSTS]; REPLICAS.len()];
        joined[0] = [true, true, false];
        FormationState {
            hosts: [member, member, HostState::default()],
            nodes: Default::default(),
            late: None,
            joined,
            restarted: false,
            shared_host: false,
            partial_head: false,
        }
    }

    fn steps(&self, state: &FormationState) -> Vec<(String, FormationState)> {
        let mut out = Vec::new();
        for node in 0..NODES {
            self.node_steps(state, node, &mut out);
        }
        if let Some(order) = state.late {
            let mut next = state.clone();
            next.late = None;
            self.apply(&mut next, order);
            out.push((format!("the late {order:?} arrives"), next));
        }
        if !state.restarted {
            for host in 0..HOSTS {
                let mut next = state.clone();
                next.hosts[host] = HostState::default();
                next.restarted = true;
                out.push((format!("host {host} starts again"), next));
            }
        }
        out
    }

    fn violation(&self, state: &FormationState) -> Option<&'static str> {
        if state.shared_host {
            return Some("a host joined a replica while its old one served");
        }
        if state.partial_head {
            return Some("a head serves whose replica has a member that never joined");
        }
        None
    }
}
