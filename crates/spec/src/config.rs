//! Configuration under amendments, partitions, store outages and restarts: which nodes may serve.
//!
//! Four nodes follow the head. A partition isolates some of them: they reach each other, but not
//! the table. The store may also be down for all nodes. A node reads the head from the table, or
//! learns of it from a node on its side of the partition and then fetches it. It serves according
//! to the rules of `control::config::readiness`.
//!
//! One case is exempt from the invariant, as documented there: more than half of the nodes are cut
//! off from the table and none of them has learned of the newer revision.

use crate::search::{ProtocolModel, SpecGuard};

const NODES: usize = 4;
const MAJORITY: u32 = 3;
const MAX_HEAD: u8 = 2;

/// Ticks for which a confirmation of the head is valid.
const MAX_CONFIRMATION_AGE: u8 = 1;

/// Ticks after a partition during which a node still considers the others reachable.
const UNREACHABLE_TIMEOUT: u8 = 1;

/// Ticks after which an amendment must be in force on every serving node, counted from its
/// acceptance or from the last change of the network or the store.
const PROPAGATION_TIMEOUT: u8 = MAX_CONFIRMATION_AGE + UNREACHABLE_TIMEOUT + 1;

/// Maximum number of partition and store changes in one run.
const MAX_DISTURBANCES: u8 = 2;

/// Maximum number of node restarts in one run.
const MAX_RESTARTS: u8 = 1;

/// A guard of the protocol that can be removed from the specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigGuard {
    /// A confirmation expires.
    ConfirmationExpiry,
    /// A confirmation keeps its age when a peer forwards it.
    ForwardedAge,
    /// Without a confirmation, a node serves only if it reaches a majority.
    MajorityReachable,
    /// A node that knows of a newer revision than its own does not serve because of the majority.
    OutdatedStops,
    /// A node applies only higher revisions.
    HigherOnly,
}

impl SpecGuard for ConfigGuard {
    const ALL: &'static [Self] = &[
        Self::ConfirmationExpiry,
        Self::ForwardedAge,
        Self::MajorityReachable,
        Self::OutdatedStops,
        Self::HigherOnly,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::ConfirmationExpiry => "expiry of confirmations",
            Self::ForwardedAge => "age of forwarded confirmations",
            Self::MajorityReachable => "reaching a majority",
            Self::OutdatedStops => "stopping when outdated",
            Self::HigherOnly => "applying higher revisions only",
        }
    }
}

/// Specification of configuration distribution.
#[derive(Debug)]
pub struct ConfigModel {
    removed_guard: Option<ConfigGuard>,
}

/// The head, the state of the network and the store, and the nodes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConfigState {
    head: u8,
    /// Ticks since the head, the network or the store last changed.
    stable_for: u8,
    store_up: bool,
    /// Whether each node is on the side of the partition without the table.
    isolated: [bool; NODES],
    /// `isolated` before the last change of the partition.
    isolated_before: [bool; NODES],
    /// Ticks since the last change of the partition.
    partition_age: u8,
    nodes: [ConfigNode; NODES],
    disturbances: u8,
    restarts: u8,
    reverted: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ConfigNode {
    /// Revision in force; 0 after a restart.
    applied: u8,
    /// Highest revision that the node knows of.
    known: u8,
    /// Revision and age in ticks of the newest confirmation; none after a restart.
    confirmed: Option<(u8, u8)>,
}

const UP_TO_DATE_NODE: ConfigNode = ConfigNode {
    applied: 1,
    known: 1,
    confirmed: Some((1, 0)),
};
const RESTARTED_NODE: ConfigNode = ConfigNode {
    applied: 0,
    known: 0,
    confirmed: None,
};

impl ConfigState {
    fn reaches_table(&self, node: usize) -> bool {
        self.store_up && !self.isolated[node]
    }

    fn side_size(isolated: [bool; NODES], node: usize) -> u32 {
        isolated
            .iter()
            .map(|other| u32::from(*other == isolated[node]))
            .sum()
    }

    /// Whether a node considers a majority reachable; it notices a partition only after a timeout.
    fn reaches_majority(&self, node: usize) -> bool {
        let now = Self::side_size(self.isolated, node) >= MAJORITY;
        let before = Self::side_size(self.isolated_before, node) >= MAJORITY;
        now || (before && self.partition_age <= UNREACHABLE_TIMEOUT)
    }
}

impl ConfigModel {
    fn enforces(&self, guard: ConfigGuard) -> bool {
        self.removed_guard != Some(guard)
    }

    fn serves(&self, state: &ConfigState, node: usize) -> bool {
        let node_state = &state.nodes[node];
        if node_state.applied == 0 {
            return false;
        }
        let confirmed = node_state.confirmed.is_some_and(|(revision, age)| {
            let valid =
                age <= MAX_CONFIRMATION_AGE || !self.enforces(ConfigGuard::ConfirmationExpiry);
            valid && node_state.applied >= revision
        });
        let majority =
            state.reaches_majority(node) || !self.enforces(ConfigGuard::MajorityReachable);
        let outdated =
            node_state.known > node_state.applied && self.enforces(ConfigGuard::OutdatedStops);
        confirmed || (majority && !outdated)
    }

    fn exchange(
        &self,
        state: &ConfigState,
        from: usize,
        to: usize,
        transitions: &mut Vec<(String, ConfigState)>,
    ) {
        if state.isolated[from] != state.isolated[to] {
            return;
        }
        let (sender, receiver) = (&state.nodes[from], &state.nodes[to]);
        let mut updated = state.clone();
        let node = &mut updated.nodes[to];
        node.known = node.known.max(sender.known).max(sender.applied);
        if let Some((revision, age)) = sender.confirmed {
            let age = if self.enforces(ConfigGuard::ForwardedAge) {
                age
            } else {
                0
            };
            let is_newer = receiver.confirmed.is_none_or(|(_, own)| age < own);
            if is_newer {
                node.confirmed = Some((revision, age));
                node.known = node.known.max(revision);
            }
        }
        if updated != *state {
            transitions.push((
                format!("node {to} receives the state of node {from}"),
                updated,
            ));
        }
        let is_higher = sender.applied > receiver.applied;
        let is_different = sender.applied != receiver.applied && sender.applied > 0;
        if is_higher || (is_different && !self.enforces(ConfigGuard::HigherOnly)) {
            let mut fetched = state.clone();
            fetched.reverted |= sender.applied < receiver.applied;
            fetched.nodes[to].applied = sender.applied;
            fetched.nodes[to].known = receiver.known.max(sender.applied);
            transitions.push((
                format!(
                    "node {to} fetches revision {} from node {from}",
                    sender.applied
                ),
                fetched,
            ));
        }
    }

    fn disturbances(state: &ConfigState, transitions: &mut Vec<(String, ConfigState)>) {
        if state.disturbances == MAX_DISTURBANCES {
            return;
        }
        let mut outage = state.clone();
        outage.store_up = !state.store_up;
        outage.disturbances += 1;
        outage.stable_for = 0;
        let description = if outage.store_up {
            "the store returns"
        } else {
            "the store goes down"
        };
        transitions.push((description.to_owned(), outage));
        for mask in 0..1_u8 << NODES {
            let isolated: [bool; NODES] = std::array::from_fn(|node| mask & (1 << node) != 0);
            if isolated == state.isolated {
                continue;
            }
            let mut next = state.clone();
            next.isolated_before = state.isolated;
            next.isolated = isolated;
            next.partition_age = 0;
            next.disturbances += 1;
            next.stable_for = 0;
            transitions.push((format!("the nodes of mask {mask:04b} are isolated"), next));
        }
    }
}

impl ProtocolModel for ConfigModel {
    const NAME: &'static str = "config";

    type Guard = ConfigGuard;

    type State = ConfigState;

    fn new(removed_guard: Option<ConfigGuard>) -> Self {
        Self { removed_guard }
    }

    fn initial_state(&self) -> ConfigState {
        ConfigState {
            head: 1,
            stable_for: PROPAGATION_TIMEOUT + 1,
            store_up: true,
            isolated: [false; NODES],
            isolated_before: [false; NODES],
            partition_age: UNREACHABLE_TIMEOUT + 1,
            nodes: [UP_TO_DATE_NODE; NODES],
            disturbances: 0,
            restarts: 0,
            reverted: false,
        }
    }

    fn transitions(&self, state: &ConfigState) -> Vec<(String, ConfigState)> {
        let mut transitions = vec![("a tick passes".to_owned(), tick(state))];
        if state.store_up && state.head < MAX_HEAD {
            let mut next = state.clone();
            next.head += 1;
            next.stable_for = 0;
            transitions.push(("an amendment is accepted".to_owned(), next));
        }
        Self::disturbances(state, &mut transitions);
        for node in 0..NODES {
            if state.reaches_table(node) {
                let mut next = state.clone();
                next.nodes[node] = ConfigNode {
                    applied: state.head,
                    known: state.head,
                    confirmed: Some((state.head, 0)),
                };
                transitions.push((format!("node {node} reads the table"), next));
            }
            for other in 0..NODES {
                if other != node {
                    self.exchange(state, other, node, &mut transitions);
                }
            }
            if state.restarts < MAX_RESTARTS {
                let mut next = state.clone();
                next.nodes[node] = RESTARTED_NODE;
                next.restarts += 1;
                transitions.push((format!("node {node} restarts"), next));
            }
        }
        transitions
    }

    fn violated_invariant(&self, state: &ConfigState) -> Option<&'static str> {
        if state.reverted {
            return Some("a node reverted to an older configuration");
        }
        if state.stable_for <= PROPAGATION_TIMEOUT {
            return None;
        }
        for (index, node) in state.nodes.iter().enumerate() {
            let serves_old = node.applied < state.head && self.serves(state, index);
            let unaware_majority = ConfigState::side_size(state.isolated, index) >= MAJORITY
                && !state.reaches_table(index)
                && node.known <= node.applied;
            if serves_old && !unaware_majority {
                return Some("an old configuration is served after the propagation timeout");
            }
        }
        None
    }
}

/// Advances time by a tick. A node that reaches the table reads it at least once a tick.
fn tick(state: &ConfigState) -> ConfigState {
    let mut next = state.clone();
    next.stable_for = (state.stable_for + 1).min(PROPAGATION_TIMEOUT + 1);
    next.partition_age = (state.partition_age + 1).min(UNREACHABLE_TIMEOUT + 1);
    if next.partition_age > UNREACHABLE_TIMEOUT {
        next.isolated_before = next.isolated;
    }
    for (index, node) in next.nodes.iter_mut().enumerate() {
        if let Some((_, age)) = &mut node.confirmed {
            *age = (*age + 1).min(MAX_CONFIRMATION_AGE + 1);
        }
        if state.reaches_table(index) {
            *node = ConfigNode {
                applied: state.head,
                known: state.head,
                confirmed: Some((state.head, 0)),
            };
        }
    }
    next
}
