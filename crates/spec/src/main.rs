//! Checks every specification and prints the states visited.

use std::process::ExitCode;

use spec::{SpecRun, run_all};

fn main() -> ExitCode {
    let with_traces = std::env::args().any(|argument| argument == "--traces");
    let runs = run_all();
    for run in &runs {
        print_run(run, with_traces);
    }
    let failed = runs.iter().filter(|run| !run.passes()).count();
    println!("{} specification runs, {failed} failed", runs.len());
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print_run(run: &SpecRun, with_traces: bool) {
    let guard = run
        .removed
        .map_or("whole".to_owned(), |guard| format!("without {guard}"));
    let found = match &run.report.violation {
        Some(violation) => format!(
            "{} after {} steps",
            violation.promise,
            violation.trace.len()
        ),
        None if run.report.complete => "no violation".to_owned(),
        None => "unfinished".to_owned(),
    };
    let verdict = if run.passes() { "ok" } else { "FAILED" };
    println!(
        "{verdict:6} {:14} {guard:34} {:>9} states: {found}",
        run.spec, run.report.states
    );
    let Some(violation) = &run.report.violation else {
        return;
    };
    if !with_traces && run.passes() {
        return;
    }
    for step in &violation.trace {
        println!("         {step}");
    }
}
