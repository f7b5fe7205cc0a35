//! Changes of the store that nodes pass on along a tree: a root reads the store, and two levels of
//! nodes follow it.
//!
//! Any node may be cut off from the store, be paused in its tasks or restart, at any time, while the
//! others are not. A follower takes what a source before it in the tree knows, with the age of that
//! knowledge, and reads the store itself once its own is too old. The head stands for a
//! configuration that revokes a key, or for a registry in which a target drains.

use crate::search::{ProtocolModel, SpecGuard};

const NODES: usize = 3;
const MAX_HEAD: u8 = 2;

/// Maximum age in ticks of what a node at each depth relies on. The root reads in each tick.
const MAX_AGE: [u8; NODES] = [0, 1, 2];

/// Age of what a node knows that has just restarted.
const UNKNOWN_AGE: u8 = MAX_AGE[NODES - 1] + 1;

/// Ticks after which a change must be known to each node that reaches the store, counted from the
/// change or from the last disturbance.
const PROPAGATION_TIMEOUT: u8 = UNKNOWN_AGE + 1;

/// Maximum number of changes of what reaches the store in one run.
const MAX_DISTURBANCES: u8 = 2;

/// Maximum number of node restarts in one run.
const MAX_RESTARTS: u8 = 1;

/// A guard of the protocol that can be removed from the specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedGuard {
    /// What is passed on keeps its age.
    ForwardedAge,
    /// A source whose data is too old is not relied on, and the store is read instead.
    AgeLimit,
    /// What a node knows is never replaced by something older.
    NewerOnly,
}

impl SpecGuard for FeedGuard {
    const ALL: &'static [Self] = &[Self::ForwardedAge, Self::AgeLimit, Self::NewerOnly];

    fn name(self) -> &'static str {
        match self {
            Self::ForwardedAge => "age of what is passed on",
            Self::AgeLimit => "the maximum age",
            Self::NewerOnly => "taking newer rows only",
        }
    }
}

/// Specification of the feed.
#[derive(Debug)]
pub struct FeedModel {
    removed_guard: Option<FeedGuard>,
}

/// The store's head, which nodes reach it, and what they know.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FeedState {
    head: u8,
    /// Ticks since the head or the network last changed.
    stable_for: u8,
    reaches_store: [bool; NODES],
    nodes: [FeedNode; NODES],
    disturbances: u8,
    restarts: u8,
    reverted: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct FeedNode {
    /// Version that the node knows; 0 after a restart.
    known: u8,
    /// Ticks since the store confirmed that version.
    age: u8,
}

const RESTARTED_NODE: FeedNode = FeedNode {
    known: 0,
    age: UNKNOWN_AGE,
};

impl FeedModel {
    fn enforces(&self, guard: FeedGuard) -> bool {
        self.removed_guard != Some(guard)
    }

    fn follow(&self, state: &FeedState, follower: usize, source: usize) -> Option<FeedState> {
        let given = state.nodes[source];
        let is_recent = given.age <= MAX_AGE[follower] || !self.enforces(FeedGuard::AgeLimit);
        if given.known == 0 || !is_recent {
            return None;
        }
        let own = state.nodes[follower];
        let is_older = given.known < own.known;
        if is_older && self.enforces(FeedGuard::NewerOnly) {
            return None;
        }
        let age = if self.enforces(FeedGuard::ForwardedAge) {
            given.age
        } else {
            0
        };
        let mut next = state.clone();
        next.reverted |= is_older;
        let is_newer = given.known != own.known;
        next.nodes[follower] = FeedNode {
            known: given.known,
            age: if is_newer { age } else { age.min(own.age) },
        };
        Some(next)
    }

    /// Advances time by a tick. The root reads the store in each tick, and another node once what it
    /// knows is too old.
    fn tick(&self, state: &FeedState) -> FeedState {
        let mut next = state.clone();
        next.stable_for = (state.stable_for + 1).min(PROPAGATION_TIMEOUT + 1);
        for (index, node) in next.nodes.iter_mut().enumerate() {
            node.age = (node.age + 1).min(UNKNOWN_AGE);
            let is_too_old = node.age > MAX_AGE[index];
            let reads_itself = index == 0 || node.known == 0 || self.enforces(FeedGuard::AgeLimit);
            if is_too_old && reads_itself && state.reaches_store[index] {
                *node = FeedNode {
                    known: state.head,
                    age: 0,
                };
            }
        }
        next
    }

    fn disturbances(state: &FeedState, transitions: &mut Vec<(String, FeedState)>) {
        if state.disturbances == MAX_DISTURBANCES {
            return;
        }
        for mask in 0..1_u8 << NODES {
            let reaches_store: [bool; NODES] = std::array::from_fn(|node| mask & (1 << node) != 0);
            if reaches_store == state.reaches_store {
                continue;
            }
            let mut next = state.clone();
            next.reaches_store = reaches_store;
            next.disturbances += 1;
            next.stable_for = 0;
            transitions.push((
                format!("the nodes of mask {mask:03b} reach the store"),
                next,
            ));
        }
    }
}

impl ProtocolModel for FeedModel {
    const NAME: &'static str = "feed";

    type Guard = FeedGuard;

    type State = FeedState;

    fn new(removed_guard: Option<FeedGuard>) -> Self {
        Self { removed_guard }
    }

    fn initial_state(&self) -> FeedState {
        FeedState {
            head: 1,
            stable_for: PROPAGATION_TIMEOUT + 1,
            reaches_store: [true; NODES],
            nodes: [FeedNode { known: 1, age: 0 }; NODES],
            disturbances: 0,
            restarts: 0,
            reverted: false,
        }
    }

    fn transitions(&self, state: &FeedState) -> Vec<(String, FeedState)> {
        let mut transitions = vec![("a tick passes".to_owned(), self.tick(state))];
        if state.head < MAX_HEAD {
            let mut next = state.clone();
            next.head += 1;
            next.stable_for = 0;
            transitions.push(("a change is accepted".to_owned(), next));
        }
        Self::disturbances(state, &mut transitions);
        for node in 0..NODES {
            for source in 0..node {
                let description = format!("node {node} follows node {source}");
                let followed = self.follow(state, node, source);
                transitions.extend(followed.map(|next| (description, next)));
            }
            if state.reaches_store[node] {
                let mut next = state.clone();
                next.nodes[node] = FeedNode {
                    known: state.head,
                    age: 0,
                };
                transitions.push((format!("node {node} reads the store"), next));
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

    fn violated_invariant(&self, state: &FeedState) -> Option<&'static str> {
        if state.reverted {
            return Some("a node went back to an older version");
        }
        if state.stable_for <= PROPAGATION_TIMEOUT {
            return None;
        }
        let is_outdated = |node: usize| {
            // A node that has just restarted knows nothing and does not serve.
            let known = state.nodes[node].known;
            state.reaches_store[node] && known > 0 && known < state.head
        };
        if (0..NODES).any(is_outdated) {
            return Some("a node that reaches the store does not know of a change in time");
        }
        None
    }
}
