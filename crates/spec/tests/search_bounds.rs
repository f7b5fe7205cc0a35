//! The search finds shortest traces, and an incomplete search never counts as passed.

use spec::SpecRun;
use spec::search::{ProtocolModel, SearchReport, SpecGuard, search};

#[derive(Clone, Copy)]
enum NoGuard {}

impl SpecGuard for NoGuard {
    const ALL: &'static [Self] = &[];

    fn name(self) -> &'static str {
        match self {}
    }
}

/// Counts up by one or two; the state `forbidden` violates the invariant.
struct CountModel {
    forbidden: u32,
}

impl ProtocolModel for CountModel {
    const NAME: &'static str = "count";

    type Guard = NoGuard;

    type State = u32;

    fn new(_removed_guard: Option<NoGuard>) -> Self {
        Self { forbidden: 10 }
    }

    fn initial_state(&self) -> u32 {
        0
    }

    fn transitions(&self, state: &u32) -> Vec<(String, u32)> {
        let sums = [("one", state + 1), ("two", state + 2)];
        sums.into_iter()
            .filter(|(_, sum)| *sum <= 20)
            .map(|(step, sum)| (step.to_owned(), sum))
            .collect()
    }

    fn violated_invariant(&self, state: &u32) -> Option<&'static str> {
        (*state == self.forbidden).then_some("the count is forbidden")
    }
}

#[test]
fn finds_shortest_trace() {
    let report = search(&CountModel { forbidden: 10 }, 1_000);
    let violation = report.violation.expect("10 is reachable");
    assert_eq!(violation.trace, vec!["two"; 5]);
}

#[test]
fn visits_all_states() {
    let report = search(&CountModel { forbidden: 99 }, 1_000);
    assert!(report.complete && report.violation.is_none());
    assert_eq!(report.states, 21);
}

#[test]
fn incomplete_search_fails() {
    let report = search(&CountModel { forbidden: 99 }, 5);
    assert!(!report.complete);
    let run = SpecRun {
        spec: "count",
        removed_guard: None,
        report,
    };
    assert!(!run.passed(), "an incomplete search proves nothing");
}

#[test]
fn ineffective_guard_fails() {
    let report = SearchReport {
        states: 21,
        complete: true,
        violation: None,
    };
    let run = SpecRun {
        spec: "count",
        removed_guard: Some("unneeded guard"),
        report,
    };
    assert!(
        !run.passed(),
        "no violation without the guard: the specification can't detect its absence"
    );
}
