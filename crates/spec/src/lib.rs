//! Model checker and state-machine specifications of the core protocols.
//!
//! Each specification covers every interleaving of its processes, messages, pauses and losses. A
//! breadth-first search visits all of its reachable states and checks the invariants in each. It
//! runs again once per guard with that guard removed and must then find a violation; otherwise the
//! specification could not detect the failure that the guard prevents.

pub mod assembly;
pub mod assembly_guard;
pub mod config;
pub mod eras;
mod eras_follower;
pub mod feed;
pub mod formation;
pub mod formation_guard;
mod formation_store;
pub mod lanes;
pub mod lease;
pub mod ledger;
pub mod refusals;
pub mod search;

use search::{ProtocolModel, SearchReport, SpecGuard, search};

/// Number of states after which a search stops; an incomplete search counts as a failure.
pub const MAX_STATES: usize = 6_000_000;

/// Result of checking a specification with all guards, or with one guard removed.
#[derive(Debug)]
pub struct SpecRun {
    /// Name of the specification, as its module is called.
    pub spec: &'static str,
    /// Name of the removed guard; none when all guards are in place.
    pub removed_guard: Option<&'static str>,
    /// Result of the search.
    pub report: SearchReport,
}

impl SpecRun {
    /// Whether a complete search found no violation with all guards, or one with a guard removed.
    #[must_use]
    pub fn passed(&self) -> bool {
        let violated = self.report.violation.is_some();
        self.report.complete && violated == self.removed_guard.is_some()
    }
}

/// Checks every specification with all guards, and again with each guard removed.
#[must_use]
pub fn run_all() -> Vec<SpecRun> {
    let mut runs = Vec::new();
    run_spec::<lease::LeaseModel>(&mut runs);
    run_spec::<assembly::AssemblyModel>(&mut runs);
    run_spec::<ledger::LedgerModel>(&mut runs);
    run_spec::<config::ConfigModel>(&mut runs);
    run_spec::<formation::FormationModel>(&mut runs);
    run_spec::<feed::FeedModel>(&mut runs);
    run_spec::<lanes::LaneModel>(&mut runs);
    run_spec::<refusals::RefusalModel>(&mut runs);
    run_spec::<eras::ErasModel>(&mut runs);
    runs
}

fn run_spec<M: ProtocolModel>(runs: &mut Vec<SpecRun>) {
    runs.push(run_once::<M>(None));
    for guard in M::Guard::ALL {
        runs.push(run_once::<M>(Some(*guard)));
    }
}

fn run_once<M: ProtocolModel>(removed_guard: Option<M::Guard>) -> SpecRun {
    let report = search(&M::new(removed_guard), MAX_STATES);
    SpecRun {
        spec: M::NAME,
        removed_guard: removed_guard.map(SpecGuard::name),
        report,
    }
}
