//! Explicit-state model checking by breadth-first search.

use std::cell::Cell;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::prelude::bfs;

/// The protection mechanisms of a protocol, each of which can be removed from its specification.
pub trait SpecGuard: Copy + 'static {
    /// All guards; the specification is checked once without each of them.
    const ALL: &'static [Self];

    /// Name of the guard in reports.
    fn name(self) -> &'static str;
}

/// A specification: an initial state, transitions, and invariants that hold in every state.
pub trait ProtocolModel {
    /// Name of the specification in reports.
    const NAME: &'static str;

    /// The guards that can be removed.
    type Guard: SpecGuard;

    /// The specification with one guard removed, or with all guards if none is given.
    fn new(removed_guard: Option<Self::Guard>) -> Self;

    /// A state of the whole system; equal states are expanded once.
    type State: Clone + Eq + Hash + Debug;

    /// The state from which the search starts.
    fn initial_state(&self) -> Self::State;

    /// The successors of a state, each with a description of the step that leads to it.
    fn transitions(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// The invariant that a state violates, if any.
    fn violated_invariant(&self, state: &Self::State) -> Option<&'static str>;
}

/// Result of a search.
#[derive(Debug)]
pub struct SearchReport {
    /// Number of states that were expanded.
    pub states: usize,
    /// Whether the search expanded every reachable state or ended at a violation; false when it
    /// reached the limit on states.
    pub complete: bool,
    /// The violation with the shortest trace; none when every expanded state is valid.
    pub violation: Option<SpecViolation>,
}

/// A violated invariant and the steps that lead to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpecViolation {
    /// Description of the violation.
    pub invariant: &'static str,
    /// Descriptions of the steps from the initial state.
    pub trace: Vec<String>,
}

/// Expands reachable states breadth first until one violates an invariant, all are expanded, or
/// `max_states` have been expanded.
#[must_use]
pub fn search<M: ProtocolModel>(model: &M, max_states: usize) -> SearchReport {
    let expanded = Cell::new(0_usize);
    let successors = |state: &M::State| {
        if expanded.get() >= max_states {
            return Vec::new();
        }
        expanded.set(expanded.get() + 1);
        model
            .transitions(state)
            .into_iter()
            .map(|(_, next)| next)
            .collect::<Vec<_>>()
    };
    let path = bfs(&model.initial_state(), successors, |state| {
        model.violated_invariant(state).is_some()
    });
    let violation = path.and_then(|path| build_violation(model, &path));
    let complete = violation.is_some() || expanded.get() < max_states;
    SearchReport {
        states: expanded.get(),
        complete,
        violation,
    }
}

fn build_violation<M: ProtocolModel>(model: &M, path: &[M::State]) -> Option<SpecViolation> {
    let invariant = model.violated_invariant(path.last()?)?;
    let mut trace = Vec::new();
    for pair in path.windows(2) {
        let step = model
            .transitions(&pair[0])
            .into_iter()
            .find(|(_, next)| *next == pair[1]);
        trace.extend(step.map(|(description, _)| description));
    }
    Some(SpecViolation { invariant, trace })
}
