//! A node that refuses what its copy of the configuration does not allow, and so speaks for the whole
//! system.
//!
//! It calls the store for changes. The store builds a response in two steps, the rows and then the newest
//! version, between which an operator may write. A response may be lost or wait for any time, in which
//! the node may be paused. The store may end a call for changes early; one without changes shows that there
//! were none until its rows were read, which the node knows by the store's clock. The node may refuse at any
//! time while it runs.

use crate::search::{ProtocolModel, SpecGuard};

/// Maximum number of configurations that operators write in one run.
const MAX_VERSIONS: usize = 2;

/// Ticks after its confirmation within which a configuration is in force everywhere.
const BOUND: u8 = 2;

/// Ticks for which the node asks the store to hold a call without changes.
const WAIT: u8 = 1;

/// An age at which nothing changes any more.
const OLD: u8 = BOUND + 1;

/// A guard of the protocol that can be removed from the specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalGuard {
    /// A node refuses only if its copy was proved within the bound.
    ProofAge,
    /// A response proves what holds when its call begins or its rows are read, not when it arrives.
    CallStart,
    /// When the rows were read is told by the store's clock, not by how long the call took.
    StoreClock,
    /// A version counts as known only once a later call has shown it.
    VerifiedVersion,
}

impl SpecGuard for RefusalGuard {
    const ALL: &'static [Self] = &[
        Self::ProofAge,
        Self::CallStart,
        Self::StoreClock,
        Self::VerifiedVersion,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::ProofAge => "the maximum age of a proof",
            Self::CallStart => "proofs from before the response",
            Self::StoreClock => "the store's clock",
            Self::VerifiedVersion => "versions shown by a later call",
        }
    }
}

/// Specification of refusals.
#[derive(Debug)]
pub struct RefusalModel {
    removed_guard: Option<RefusalGuard>,
}

/// A call for changes after a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct StoreCall {
    /// Ticks since it began.
    age: u8,
    after: u8,
    /// Newest version whose rows the response shows, once they are read; 0 if none.
    shown: Option<u8>,
    /// Ticks since then.
    rows_age: u8,
    /// Version that the response names, once it is complete.
    named: Option<u8>,
}

/// The store, the node and its call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RefusalState {
    /// Newest version of the store; the first one is there from the start.
    newest: u8,
    /// Ticks since each later version was confirmed.
    confirmed_for: [u8; MAX_VERSIONS],
    /// Version in force at the node.
    known: u8,
    /// Version after which the node asks for changes.
    position: u8,
    /// Version that the last response named.
    claimed: Option<u8>,
    proof_age: u8,
    call: Option<StoreCall>,
    is_paused: bool,
    refused_wrongly: bool,
}

impl RefusalState {
    /// Newest version that was confirmed for longer than the bound.
    fn due(&self) -> u8 {
        let ages = self.confirmed_for.iter().zip(1..=self.newest);
        let due = ages.filter(|(age, _)| **age > BOUND);
        due.map(|(_, version)| version).max().unwrap_or(0)
    }

    fn tick(&self) -> Self {
        let mut next = self.clone();
        let older = |age: u8| (age + 1).min(OLD);
        for (age, _) in next.confirmed_for.iter_mut().zip(1..=self.newest) {
            *age = older(*age);
        }
        next.proof_age = older(self.proof_age);
        if let Some(call) = &mut next.call {
            call.age = older(call.age);
            if call.shown.is_some() {
                call.rows_age = older(call.rows_age);
            }
        }
        next
    }
}

impl RefusalModel {
    fn enforces(&self, guard: RefusalGuard) -> bool {
        self.removed_guard != Some(guard)
    }

    /// The node reads a complete response.
    fn take(&self, state: &RefusalState, call: StoreCall, named: u8) -> RefusalState {
        let mut next = state.clone();
        next.call = None;
        next.known = state.known.max(call.shown.unwrap_or(0));
        let has_changes = call.shown.is_some_and(|shown| shown > 0);
        let proof_age = if !self.enforces(RefusalGuard::CallStart) {
            0
        } else if has_changes {
            call.age
        } else if self.enforces(RefusalGuard::StoreClock) {
            call.rows_age
        } else {
            call.age.saturating_sub(WAIT)
        };
        next.proof_age = state.proof_age.min(proof_age);
        next.position = if self.enforces(RefusalGuard::VerifiedVersion) {
            call.after.max(state.claimed.unwrap_or(0))
        } else {
            named
        };
        next.claimed = Some(named);
        next
    }

    fn run_node(&self, state: &RefusalState, transitions: &mut Vec<(String, RefusalState)>) {
        if state.is_paused {
            return;
        }
        if !self.enforces(RefusalGuard::ProofAge) || state.proof_age <= BOUND {
            let mut next = state.clone();
            next.refused_wrongly = state.known < state.due();
            transitions.push(("the node refuses".to_owned(), next));
        }
        match state.call {
            None => {
                let mut next = state.clone();
                next.call = Some(StoreCall {
                    age: 0,
                    after: state.position,
                    shown: None,
                    rows_age: 0,
                    named: None,
                });
                transitions.push(("the node calls the store".to_owned(), next));
            }
            Some(call) => {
                if let Some(named) = call.named {
                    let next = self.take(state, call, named);
                    transitions.push(("the node reads the response".to_owned(), next));
                }
            }
        }
    }

    fn run_store(state: &RefusalState, transitions: &mut Vec<(String, RefusalState)>) {
        if usize::from(state.newest) < MAX_VERSIONS {
            let mut next = state.clone();
            next.newest += 1;
            transitions.push(("a version is confirmed".to_owned(), next));
        }
        let Some(call) = state.call else { return };
        let mut next = state.clone();
        next.call = None;
        transitions.push(("the response is lost".to_owned(), next));
        if call.named.is_some() {
            return;
        }
        let mut built = call;
        let step = if call.shown.is_none() {
            let is_news = state.newest > call.after;
            built.shown = Some(if is_news { state.newest } else { 0 });
            "the store reads the rows"
        } else {
            built.named = Some(state.newest);
            "the store names the version"
        };
        let mut next = state.clone();
        next.call = Some(built);
        transitions.push((step.to_owned(), next));
    }
}

impl ProtocolModel for RefusalModel {
    const NAME: &'static str = "refusals";

    type Guard = RefusalGuard;

    type State = RefusalState;

    fn new(removed_guard: Option<RefusalGuard>) -> Self {
        Self { removed_guard }
    }

    fn initial_state(&self) -> RefusalState {
        RefusalState {
            newest: 0,
            confirmed_for: [0; MAX_VERSIONS],
            known: 0,
            position: 0,
            claimed: None,
            proof_age: 0,
            call: None,
            is_paused: false,
            refused_wrongly: false,
        }
    }

    fn transitions(&self, state: &RefusalState) -> Vec<(String, RefusalState)> {
        let mut transitions = vec![("a tick passes".to_owned(), state.tick())];
        Self::run_store(state, &mut transitions);
        self.run_node(state, &mut transitions);
        let mut next = state.clone();
        next.is_paused = !state.is_paused;
        transitions.push(("the node is paused, or wakes".to_owned(), next));
        transitions
    }

    fn violated_invariant(&self, state: &RefusalState) -> Option<&'static str> {
        state
            .refused_wrongly
            .then_some("a node refused what a confirmed configuration may allow")
    }
}
