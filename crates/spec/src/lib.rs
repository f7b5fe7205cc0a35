//! Small specifications of the core protocols and their search.
//!
//! Each specification is a state machine with every interleaving of its processes, messages,
//! pauses and losses, searched breadth first to the last reachable state. Each also runs once for
//! every guard with that guard removed, and must then reach a violation: a specification that
//! can't fail proves nothing.

pub mod assembly;
pub mod config;
pub mod formation;
pub mod lease;
pub mod ledger;
pub mod search;

use search::{ProtocolModel, SearchReport, SpecGuard, search};

/// States after which a search gives up; an unfinished search counts as a failure.
pub const STATE_BOUND: usize = 6_000_000;

/// One run of a specification: whole, or with one guard removed.
#[derive(Debug)]
pub struct SpecRun {
    /// Name of the specification.
    pub spec: &'static str,
    /// The guard that is removed; none in a run of the whole specification.
    pub removed: Option<&'static str>,
    /// What the search found.
    pub report: SearchReport,
}

impl SpecRun {
    /// Whether the run found what it must: nothing when whole, a violation without a guard.
    #[must_use]
    pub fn passes(&self) -> bool {
        let violated = self.report.violation.is_some();
        self.report.complete && violated == self.removed.is_some()
    }
}

/// Runs every specification, whole and with each guard removed.
#[must_use]
pub fn run_all() -> Vec<SpecRun> {
    let mut runs = Vec::new();
    run_spec::<lease::LeaseModel>(&mut runs);
    run_spec::<assembly::AssemblyModel>(&mut runs);
    run_spec::<ledger::LedgerModel>(&mut runs);
    run_spec::<config::ConfigModel>(&mut runs);
    run_spec::<formation::FormationModel>(&mut runs);
    runs
}

fn run_spec<M: ProtocolModel>(runs: &mut Vec<SpecRun>) {
    runs.push(run_once::<M>(None));
    for guard in M::Guard::ALL {
        runs.push(run_once::<M>(Some(*guard)));
    }
}

fn run_once<M: ProtocolModel>(removed: Option<M::Guard>) -> SpecRun {
    let report = search(&M::without(removed), STATE_BOUND);
    SpecRun {
        spec: M::NAME,
        removed: removed.map(SpecGuard::name),
        report,
    }
}
