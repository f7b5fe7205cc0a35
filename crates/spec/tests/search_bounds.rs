//! The search itself: shortest traces, and no verdict without a whole search.

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

/// Counts up by one or two; the promise breaks at `bad`.
struct CountModel {
    bad: u32,
}

impl ProtocolModel for CountModel {
    const NAME: &'static str = "count";

    type Guard = NoGuard;

    type State = u32;

    fn without(_removed: Option<NoGuard>) -> Self {
        Self { bad: 10 }
    }

    fn start(&self) -> u32 {
        0
    }

    fn steps(&self, state: &u32) -> Vec<(String, u32)> {
        let sums = [("one", state + 1), ("two", state + 2)];
        sums.into_iter()
            .filter(|(_, sum)| *sum <= 20)
            .map(|(name, sum)| (name.to_owned(), sum))
            .collect()
    }

    fn violation(&self, state: &u32) -> Option<&'static str> {
        (*state == self.bad).then_some("the count is bad")
    }
}

#[test]
fn shortest_trace() {
    let report = search(&CountModel { bad: 10 }, 1_000);
    let violation = report.violation.expect("10 can be reached");
    assert_eq!(violation.trace, vec!["two"; 5]);
}

#[test]
fn all_visited() {
    let report = search(&CountModel { bad: 99 }, 1_000);
    assert!(report.complete && report.violation.is_none());
    assert_eq!(report.states, 21);
}

#[test]
fn unfinished_fails() {
    let report = search(&CountModel { bad: 99 }, 5);
    assert!(!report.complete);
    let run = SpecRun {
        spec: "count",
        removed: None,
        report,
    };
    assert!(!run.passes(), "an unfinished search is no proof");
}

#[test]
fn idle_guard_fails() {
    let report = SearchReport {
        states: 21,
        complete: true,
        violation: None,
    };
    let run = SpecRun {
        spec: "count",
        removed: Some("nothing"),
        report,
    };
    assert!(
        !run.passes(),
        "a guard that prevents nothing shows a specification that can't fail"
    );
}
