//! Checks every specification and prints a line for each run; `--traces` adds the steps that lead
//! to each violation.

use std::process::ExitCode;

use spec::{SpecRun, run_all};

fn main() -> ExitCode {
    let print_traces = std::env::args().any(|argument| argument == "--traces");
    let runs = run_all();
    for run in &runs {
        print_run(run, print_traces);
    }
    let failed = runs.iter().filter(|run| !run.passed()).count();
    println!("{} specification runs, {failed} failed", runs.len());
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print_run(run: &SpecRun, print_traces: bool) {
    let guard = run
        .removed_guard
        .map_or("all guards".to_owned(), |guard| format!("without {guard}"));
    let result = match &run.report.violation {
        Some(violation) => format!(
            "{} after {} steps",
            violation.invariant,
            violation.trace.len()
        ),
        None if run.report.complete => "no violation".to_owned(),
        None => "search incomplete".to_owned(),
    };
    let status = if run.passed() { "ok" } else { "FAILED" };
    println!(
        "{status:6} {:14} {guard:34} {:>9} states: {result}",
        run.spec, run.report.states
    );
    let Some(violation) = &run.report.violation else {
        return;
    };
    if !print_traces && run.passed() {
        return;
    }
    for step in &violation.trace {
        println!("         {step}");
    }
}
