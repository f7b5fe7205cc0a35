//! Configuration: amendments, partitions, store outages, restarts, and who may serve meanwhile.
//!
//! Four nodes follow the head. A partition puts some of them on the far side, where they reach
//! each other and not the table; the store may also be down for all. A node learns the head from
//! the table, or hears of it from a node on its side and then fetches it. It serves by the rules
//! of `control::config::readiness`.
//!
//! One case is left out of the promise, and said so there: more than half of the nodes are cut
//! off from the table and none of them ever heard of the newer revision.

use crate::search::{ProtocolModel, SpecGuard};

const NODES: usize = 4;
const MAJORITY: u32 = 3;
const LAST_HEAD: u8 = 2;

/// Ticks for which a confirmation holds.
const CONFIRM_TICKS: u8 = 1;

/// Ticks until a node notices that it no longer hears the others.
const SILENCE_TICKS: u8 = 1;

/// Ticks after which an amendment must be in force wherever anyone serves, counted from its
/// acceptance or from the last change of the network or the store.
const FORCE_TICKS: u8 = CONFIRM_TICKS + SILENCE_TICKS + 1;

/// Partitions and outages in one run.
const DISTURBANCES: u8 = 2;

/// Restarts in one run.
const RESTARTS: u8 = 1;

/// A mechanism that the specification can go without.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigGuard {
    /// A confirmation holds only for a short time.
    ConfirmLimit,
    /// A confirmation that a peer passes on keeps its age.
    PassedAge,
    /// Without a confirmation only a node that hears the majority serves.
    MajorityHeard,
    /// A node that knows of a revision which it lacks does not serve by the majority.
    BehindStepsOut,
    /// Only a higher revision is applied.
    HigherOnly,
}

impl SpecGuard for ConfigGuard {
    const ALL: &'static [Self] = &[
        Self::ConfirmLimit,
        Self::PassedAge,
        Self::MajorityHeard,
        Self::BehindStepsOut,
        Self::HigherOnly,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::ConfirmLimit => "the limit of a confirmation",
            Self::PassedAge => "the age of a passed confirmation",
            Self::MajorityHeard => "hearing the majority",
            Self::BehindStepsOut => "stepping out when behind",
            Self::HigherOnly => "applying higher revisions only",
        }
    }
}

/// The specification.
#[derive(Debug)]
pub struct ConfigModel {
    removed: Option<ConfigGuard>,
}

/// The head, the network and the nodes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConfigState {
    head: u8,
    /// Ticks since the head was amended or the network or store changed.
    settled_for: u8,
    store_up: bool,
    /// Whether each node is on the far side, away from the table.
    far: [bool; NODES],
    /// The sides before the last partition, and the ticks since.
    far_before: [bool; NODES],
    parted_for: u8,
    nodes: [ConfigNode; NODES],
    disturbances: u8,
    restarts: u8,
    reverted: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ConfigNode {
    /// Revision in force here; 0 after a restart.
    applied: u8,
    /// Highest revision that the node heard of.
    known: u8,
    /// Revision and age of the newest confirmation.
    confirmed: Option<(u8, u8)>,
}

const SOUND_NODE: ConfigNode = ConfigNode {
    applied: 1,
    known: 1,
    confirmed: Some((1, 0)),
};
const FRESH_NODE: ConfigNode = ConfigNode {
    applied: 0,
    known: 0,
    confirmed: None,
};

impl ConfigState {
    fn reaches_table(&self, node: usize) -> bool {
        self.store_up && !self.far[node]
    }

    fn side_size(far: [bool; NODES], node: usize) -> u32 {
        far.iter().map(|side| u32::from(*side == far[node])).sum()
    }

    /// Whether a node hears the majority, which it takes to be so for a while after a partition.
    fn hears_majority(&self, node: usize) -> bool {
        let now = Self::side_size(self.far, node) >= MAJORITY;
        let before = Self::side_size(self.far_before, node) >= MAJORITY;
        now || (before && self.parted_for <= SILENCE_TICKS)
    }
}

impl ConfigModel {
    fn has(&self, guard: ConfigGuard) -> bool {
        self.removed != Some(guard)
    }

    fn serves(&self, state: &ConfigState, node: usize) -> bool {
        let here = &state.nodes[node];
        if here.applied == 0 {
            return false;
        }
        let confirmed = here.confirmed.is_some_and(|(revision, age)| {
            let fresh = age <= CONFIRM_TICKS || !self.has(ConfigGuard::ConfirmLimit);
            fresh && here.applied >= revision
        });
        let majority = state.hears_majority(node) || !self.has(ConfigGuard::MajorityHeard);
        let behind = here.known > here.applied && self.has(ConfigGuard::BehindStepsOut);
        confirmed || (majority && !behind)
    }

    fn exchange(
        &self,
        state: &ConfigState,
        from: usize,
        to: usize,
        out: &mut Vec<(String, ConfigState)>,
    ) {
        if state.far[from] != state.far[to] {
            return;
        }
        let (sender, receiver) = (&state.nodes[from], &state.nodes[to]);
        let mut heard = state.clone();
        let node = &mut heard.nodes[to];
        node.known = node.known.max(sender.known).max(sender.applied);
        if let Some((revision, age)) = sender.confirmed {
            let age = if self.has(ConfigGuard::PassedAge) {
                age
            } else {
                0
            };
            let newer = receiver.confirmed.is_none_or(|(_, own)| age < own);
            if newer {
                node.confirmed = Some((revision, age));
                node.known = node.known.max(revision);
            }
        }
        if heard != *state {
            out.push((format!("node {to} hears node {from}"), heard));
        }
        let higher = sender.applied > receiver.applied;
        let other = sender.applied != receiver.applied && sender.applied > 0;
        if higher || (other && !self.has(ConfigGuard::HigherOnly)) {
            let mut fetched = state.clone();
            fetched.reverted |= sender.applied < receiver.applied;
            fetched.nodes[to].applied = sender.applied;
            fetched.nodes[to].known = receiver.known.max(sender.applied);
            out.push((
                format!(
                    "node {to} fetches revision {} of node {from}",
                    sender.applied
                ),
                fetched,
            ));
        }
    }

    fn disturb(state: &ConfigState, out: &mut Vec<(String, ConfigState)>) {
        if state.disturbances == DISTURBANCES {
            return;
        }
        let mut outage = state.clone();
        outage.store_up = !state.store_up;
        outage.disturbances += 1;
        outage.settled_for = 0;
        let name = if outage.store_up {
            "the store returns"
        } else {
            "the store is down"
        };
        out.push((name.to_owned(), outage));
        for mask in 0..1_u8 << NODES {
            let far: [bool; NODES] = std::array::from_fn(|node| mask & (1 << node) != 0);
            if far == state.far {
                continue;
            }
            let mut next = state.clone();
            next.far_before = state.far;
            next.far = far;
            next.parted_for = 0;
            next.disturbances += 1;
            next.settled_for = 0;
            out.push((
                format!("nodes with the bits {mask:04b} are on the far side"),
                next,
            ));
        }
    }
}

impl ProtocolModel for ConfigModel {
    const NAME: &'static str = "config";

    type Guard = ConfigGuard;

    type State = ConfigState;

    fn without(removed: Option<ConfigGuard>) -> Self {
        Self { removed }
    }

    fn start(&self) -> ConfigState {
        ConfigState {
            head: 1,
            settled_for: FORCE_TICKS + 1,
            store_up: true,
            far: [false; NODES],
            far_before: [false; NODES],
            parted_for: SILENCE_TICKS + 1,
            nodes: [SOUND_NODE; NODES],
            disturbances: 0,
            restarts: 0,
            reverted: false,
        }
    }

    fn steps(&self, state: &ConfigState) -> Vec<(String, ConfigState)> {
        let mut out = vec![("a tick passes".to_owned(), tick(state))];
        if state.store_up && state.head < LAST_HEAD {
            let mut next = state.clone();
            next.head += 1;
            next.settled_for = 0;
            out.push(("an amendment is accepted".to_owned(), next));
        }
        Self::disturb(state, &mut out);
        for node in 0..NODES {
            if state.reaches_table(node) {
                let mut next = state.clone();
                next.nodes[node] = ConfigNode {
                    applied: state.head,
                    known: state.head,
                    confirmed: Some((state.head, 0)),
                };
                out.push((format!("node {node} reads the table"), next));
            }
            for other in 0..NODES {
                if other != node {
                    self.exchange(state, other, node, &mut out);
                }
            }
            if state.restarts < RESTARTS {
                let mut next = state.clone();
                next.nodes[node] = FRESH_NODE;
                next.restarts += 1;
                out.push((format!("node {node} restarts"), next));
            }
        }
        out
    }

    fn violation(&self, state: &ConfigState) -> Option<&'static str> {
        if state.reverted {
            return Some("a node went back to an older configuration");
        }
        if state.settled_for <= FORCE_TICKS {
            return None;
        }
        for (number, node) in state.nodes.iter().enumerate() {
            let old = node.applied < state.head && self.serves(state, number);
            let ignorant_majority = ConfigState::side_size(state.far, number) >= MAJORITY
                && !state.reaches_table(number)
                && node.known <= node.applied;
            if old && !ignorant_majority {
                return Some("an old configuration is served long after a newer one");
            }
        }
        None
    }
}

/// Time goes on. A node that reaches the table reads it at least once a tick.
fn tick(state: &ConfigState) -> ConfigState {
    let mut next = state.clone();
    next.settled_for = (state.settled_for + 1).min(FORCE_TICKS + 1);
    next.parted_for = (state.parted_for + 1).min(SILENCE_TICKS + 1);
    if next.parted_for > SILENCE_TICKS {
        next.far_before = next.far;
    }
    for (number, node) in next.nodes.iter_mut().enumerate() {
        if let Some((_, age)) = &mut node.confirmed {
            *age = (*age + 1).min(CONFIRM_TICKS + 1);
        }
        if state.reaches_table(number) {
            *node = ConfigNode {
                applied: state.head,
                known: state.head,
                confirmed: Some((state.head, 0)),
            };
        }
    }
    next
}
