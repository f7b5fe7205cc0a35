//! The operators' client: what it prints, how it ends, and what it refuses.

use std::process::{Command, Output};

use serde_json::{Value, json};
use standin::stack::{OPERATOR_KEY, PATIENCE, StackPlan, TestStack};

use crate::PRODUCT;

const DONE: Option<i32> = Some(0);
const FAILED: Option<i32> = Some(1);
const BAD_COMMAND_LINE: Option<i32> = Some(2);

async fn small_stack(name: &str) -> TestStack {
    let plan = StackPlan::new(name, PRODUCT)
        .engines(2)
        .replicas(1)
        .hosts_per_replica(2);
    plan.entries(2).start().await
}

fn run(stack: &TestStack, arguments: &[&str]) -> Output {
    stack
        .operator()
        .args(arguments)
        .output()
        .expect("the client runs")
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn problem(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn file(name: &str, content: &Value) -> String {
    let path = std::env::temp_dir().join(format!("bramleyspring-{}-{name}", std::process::id()));
    std::fs::write(&path, content.to_string()).expect("writable");
    path.display().to_string()
}

fn drain_of(hosts: &[&str]) -> Value {
    json!({ "schema": 1, "kind": "drain", "name": "rack-7", "spec": { "hosts": hosts } })
}

#[tokio::test(flavor = "multi_thread")]
async fn record_round() {
    let stack = small_stack("record-round").await;
    let path = file("round.json", &drain_of(&["h99"]));

    let new = run(&stack, &["diff", &path]);
    assert_eq!(new.status.code(), FAILED, "a new record differs");
    assert!(text(&new).contains("drain rack-7: new"), "{}", text(&new));

    let applied = run(&stack, &["apply", "--wait", "--operator", "awa", &path]);
    assert_eq!(applied.status.code(), DONE, "{}", problem(&applied));
    assert!(
        text(&applied).contains("is in force on"),
        "{}",
        text(&applied)
    );

    let same = run(&stack, &["diff", &path]);
    assert_eq!(same.status.code(), DONE, "{}", text(&same));

    let shown = run(&stack, &["get", "drain", "rack-7"]);
    let record: Value = serde_json::from_slice(&shown.stdout).expect("JSON");
    assert_eq!(record["record"]["spec"]["hosts"], json!(["h99"]));

    let deleted = run(&stack, &["delete", "drain", "rack-7", "--operator", "ion"]);
    assert_eq!(deleted.status.code(), DONE, "{}", problem(&deleted));
    let history = text(&run(&stack, &["history", "drain", "rack-7"]));
    let lines: Vec<&str> = history.lines().collect();
    assert!(
        lines[1].contains("deleted") && lines[1].contains("ion"),
        "{history}"
    );
    assert!(
        lines[2].contains("written") && lines[2].contains("awa"),
        "{history}"
    );
}

/// Two operators read the same record and both amend it. The later one must be told who was
/// faster, or the first one's change would vanish without a word.
#[tokio::test(flavor = "multi_thread")]
async fn later_operator_told() {
    let stack = small_stack("later-operator").await;
    let first = file("first.json", &drain_of(&["h98"]));
    let second = file("second.json", &drain_of(&["h99"]));
    let written = run(
        &stack,
        &["apply", "--expect", "0", "--operator", "awa", &first],
    );
    assert_eq!(written.status.code(), DONE, "{}", problem(&written));
    let late = run(
        &stack,
        &["apply", "--expect", "0", "--operator", "ion", &second],
    );
    assert_eq!(late.status.code(), FAILED);
    assert!(
        problem(&late).contains("written by awa"),
        "{}",
        problem(&late)
    );
    let shown = text(&run(&stack, &["get", "drain", "rack-7"]));
    assert!(shown.contains("h98"), "{shown}");
}

#[tokio::test(flavor = "multi_thread")]
async fn findings_together() {
    let stack = small_stack("findings").await;
    let records = json!([
        { "schema": 2, "kind": "customer", "name": "a b", "spec": {} },
        { "schema": 2, "kind": "customer", "name": "c",
          "spec": { "key_hashes": ["xyz"], "grants": [], "share": 0 } },
        { "schema": 9, "kind": "model", "name": "m", "spec": {} },
    ]);
    let path = file("findings.json", &records);
    for arguments in [["check", &path], ["apply", &path]] {
        let output = run(&stack, &arguments);
        assert_eq!(output.status.code(), FAILED);
        let problem = problem(&output);
        for place in [
            "[0] (a b): name",
            "spec.share",
            "spec.key_hashes[0]",
            "schema version 9",
        ] {
            assert!(problem.contains(place), "{place} is missing in {problem}");
        }
    }
    let records = text(&run(&stack, &["get", "customer"]));
    assert!(
        !records.contains(" c "),
        "nothing of a bad file is written: {records}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_key_refused() {
    let stack = small_stack("wrong-key").await;
    let mut command = stack.operator();
    command
        .env("BRAMLEYSPRING_KEY", "not-the-operators-key")
        .arg("status");
    let output = command.output().expect("the client runs");
    assert_eq!(output.status.code(), FAILED);
    assert!(
        problem(&output).contains("operators' key"),
        "{}",
        problem(&output)
    );
    assert!(!problem(&output).contains(OPERATOR_KEY));
}

#[tokio::test(flavor = "multi_thread")]
async fn way_on_timeline() {
    let stack = small_stack("timeline").await;
    let answer = stack
        .complete(1, "Which form renews a stall licence?", 4)
        .await;
    let request = answer.json()["id"].as_str().expect("an id").to_owned();
    let shown = run(&stack, &["timeline", "--request", &request]);
    assert_eq!(shown.status.code(), DONE, "{}", problem(&shown));
    let shown = text(&shown);
    for step in ["request_admitted", "attempt_started"] {
        assert!(shown.contains(step), "{step} is missing in {shown}");
    }
    let metrics = stack
        .metrics(stack.entries[1].admin_now())
        .await
        .expect("metrics");
    let gaps = "bramleyspring_request_token_gap_duration_seconds_count";
    assert!(
        metrics.lines().any(|line| line.starts_with(gaps)),
        "{metrics}"
    );
    let page = text(&run(&stack, &["timeline", "--format", "html"]));
    assert!(page.starts_with("<!doctype html>") && page.contains("node_started"));
}

/// One entry host is gone while an operator looks. The others' status and events must still be
/// shown, with the missing one named.
#[tokio::test(flavor = "multi_thread")]
async fn node_gone() {
    let mut stack = small_stack("node-gone").await;
    let gone = stack.entries[1].admin_now();
    let mut command = stack.operator();
    stack.entries[1].signal("KILL");
    stack.entries[1].wait();
    let output = command
        .args(["timeline"])
        .output()
        .expect("the client runs");
    assert_eq!(output.status.code(), DONE, "{}", problem(&output));
    assert!(
        text(&output).contains(&format!("missing: {gone}")),
        "{}",
        text(&output)
    );
    let status = text(&run(&stack, &["status"]));
    assert!(
        status.contains("e0") && status.contains("no answer"),
        "{status}"
    );
}

#[test]
fn bad_command_line() {
    for arguments in [
        &["serve"][..],
        &["apply"],
        &["frobnicate"],
        &["get", "--format", "xml"],
    ] {
        let output = Command::new(PRODUCT)
            .args(arguments)
            .output()
            .expect("the client runs");
        assert_eq!(output.status.code(), BAD_COMMAND_LINE, "{arguments:?}");
        assert!(problem(&output).contains("--help"), "{}", problem(&output));
    }
    let help = Command::new(PRODUCT)
        .arg("--help")
        .output()
        .expect("the client runs");
    assert!(text(&help).contains("Examples:"), "{}", text(&help));
}

/// Two of three entry hosts are frozen, which to the third looks like a partition with itself on
/// the small side. An amendment over it would be told to be in force within seconds while most
/// callers still get the old configuration. The operator must be told to go elsewhere, and when
/// the others are back the same amendment must be accepted.
#[tokio::test(flavor = "multi_thread")]
async fn small_side_refused() {
    let members = json!({ "beat": "200ms", "write": "1s", "dead": "2s", "unheard": "1s" });
    let plan = StackPlan::new("small-side", PRODUCT)
        .engines(2)
        .replicas(1)
        .hosts_per_replica(2);
    let stack = plan.settings("members", members).start().await;
    let path = file("small-side.json", &drain_of(&["h99"]));
    for entry in &stack.entries[1..] {
        entry.signal("STOP");
    }
    let refused = apply_until(&stack, &path, FAILED).await;
    assert!(
        problem(&refused).contains("less than half"),
        "{}",
        problem(&refused)
    );
    for entry in &stack.entries[1..] {
        entry.signal("CONT");
    }
    apply_until(&stack, &path, DONE).await;
}

async fn apply_until(stack: &TestStack, path: &str, wanted: Option<i32>) -> Output {
    let started = std::time::Instant::now();
    loop {
        let output = run(stack, &["apply", path]);
        if output.status.code() == wanted {
            return output;
        }
        assert!(
            started.elapsed() < PATIENCE,
            "{}{}",
            text(&output),
            problem(&output)
        );
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    }
}
