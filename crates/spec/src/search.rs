//! Explicit-state search over a specification.

use std::cell::Cell;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::prelude::bfs;

/// The mechanisms of a specification that it can go without.
pub trait SpecGuard: Copy + 'static {
    /// Every guard.
    const ALL: &'static [Self];

    /// Its name in reports.
    fn name(self) -> &'static str;
}

/// A specification: states, steps and what must hold of every state.
pub trait ProtocolModel {
    /// Its name in reports.
    const NAME: &'static str;

    /// Its guards.
    type Guard: SpecGuard;

    /// The specification with one guard removed, or whole.
    fn without(removed: Option<Self::Guard>) -> Self;

    /// A state; equal states are visited once.
    type State: Clone + Eq + Hash + Debug;

    /// The first state.
    fn start(&self) -> Self::State;

    /// Every step that may be taken in a state, with its name.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// The promise that a state breaks.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// What a search found.
#[derive(Debug)]
pub struct SearchReport {
    /// States whose steps were taken.
    pub states: usize,
    /// Whether every reachable state was visited, or a violation ended the search.
    pub complete: bool,
    /// The shortest way to a violation.
    pub violation: Option<SpecViolation>,
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpecViolation {
    /// The promise.
    pub promise: &'static str,
    /// Names of the steps that lead to it.
    pub trace: Vec<String>,
}

/// Visits every reachable state, up to `bound` states, until one breaks a promise.
#[must_use]
pub fn search<M: ProtocolModel>(model: &M, bound: usize) -> SearchReport {
    let visited = Cell::new(0_usize);
    let successors = |state: &M::State| {
        if visited.get() >= bound {
            return Vec::new();
        }
        visited.set(visited.get() + 1);
        model
            .steps(state)
            .into_iter()
            .map(|(_, next)| next)
            .collect::<Vec<_>>()
    };
    let path = bfs(&model.start(), successors, |state| {
        model.violation(state).is_some()
    });
    let violation = path.and_then(|path| describe(model, &path));
    let complete = violation.is_some() || visited.get() < bound;
    SearchReport {
        states: visited.get(),
        complete,
        violation,
    }
}

fn describe<M: ProtocolModel>(model: &M, path: &[M::State]) -> Option<SpecViolation> {
    let promise = model.violation(path.last()?)?;
    let mut trace = Vec::new();
    for pair in path.windows(2) {
        let step = model
            .steps(&pair[0])
            .into_iter()
            .find(|(_, next)| *next == pair[1]);
        trace.extend(step.map(|(name, _)| name));
    }
    Some(SpecViolation { promise, trace })
}
