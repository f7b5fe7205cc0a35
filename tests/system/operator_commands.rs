//! Operator commands: output, exit codes and errors.

use std::process::{Command, Output};

use serde_json::{Value, json};
use standin::stack::{OPERATOR_KEY, StackPlan, TestStack, WAIT_TIMEOUT};

use crate::BINARY;

const SUCCESS: Option<i32> = Some(0);
const FAILURE: Option<i32> = Some(1);
const USAGE_ERROR: Option<i32> = Some(2);

async fn small_stack(name: &str) -> TestStack {
    let plan = StackPlan::new(name, BINARY)
        .engines(2)
        .replicas(1)
        .hosts_per_replica(2);
    plan.entries(2).start().await
}

fn run(stack: &TestStack, arguments: &[&str]) -> Output {
    stack
        .operator_command()
        .args(arguments)
        .output()
        .expect("the client runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Writes a temporary file and returns its path.
fn write_file(name: &str, content: &Value) -> String {
    let path = std::env::temp_dir().join(format!("bramleyspring-{}-{name}", std::process::id()));
    std::fs::write(&path, content.to_string()).expect("writable");
    path.display().to_string()
}

fn drain_record(hosts: &[&str]) -> Value {
    json!({ "schema": 1, "kind": "drain", "name": "rack-7", "spec": { "hosts": hosts } })
}

#[tokio::test(flavor = "multi_thread")]
async fn record_applied_and_deleted() {
    let stack = small_stack("record-commands").await;
    let path = write_file("record.json", &drain_record(&["h99"]));

    let new = run(&stack, &["diff", &path]);
    assert_eq!(new.status.code(), FAILURE, "a new record is a difference");
    assert!(
        stdout(&new).contains("drain rack-7: new"),
        "{}",
        stdout(&new)
    );

    let applied = run(&stack, &["apply", "--wait", "--operator", "awa", &path]);
    assert_eq!(applied.status.code(), SUCCESS, "{}", stderr(&applied));
    assert!(
        stdout(&applied).contains("is in force on"),
        "{}",
        stdout(&applied)
    );

    let same = run(&stack, &["diff", &path]);
    assert_eq!(same.status.code(), SUCCESS, "{}", stdout(&same));

    let shown = run(&stack, &["get", "drain", "rack-7"]);
    let record: Value = serde_json::from_slice(&shown.stdout).expect("valid JSON");
    assert_eq!(record["record"]["spec"]["hosts"], json!(["h99"]));

    let deleted = run(&stack, &["delete", "drain", "rack-7", "--operator", "ion"]);
    assert_eq!(deleted.status.code(), SUCCESS, "{}", stderr(&deleted));
    let history = stdout(&run(&stack, &["history", "drain", "rack-7"]));
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

/// Two operators read the same record and both amend it. The later one must be told who amended it
/// first, or the first amendment would be lost unnoticed.
#[tokio::test(flavor = "multi_thread")]
async fn conflicting_amendment_refused() {
    let stack = small_stack("conflicting-amendment").await;
    let first = write_file("first.json", &drain_record(&["h98"]));
    let second = write_file("second.json", &drain_record(&["h99"]));
    let written = run(
        &stack,
        &["apply", "--expect", "0", "--operator", "awa", &first],
    );
    assert_eq!(written.status.code(), SUCCESS, "{}", stderr(&written));
    let late = run(
        &stack,
        &["apply", "--expect", "0", "--operator", "ion", &second],
    );
    assert_eq!(late.status.code(), FAILURE);
    assert!(
        stderr(&late).contains("written by awa"),
        "{}",
        stderr(&late)
    );
    let shown = stdout(&run(&stack, &["get", "drain", "rack-7"]));
    assert!(shown.contains("h98"), "{shown}");
}

#[tokio::test(flavor = "multi_thread")]
async fn all_findings_reported() {
    let stack = small_stack("findings").await;
    let records = json!([
        { "schema": 2, "kind": "customer", "name": "a b", "spec": {} },
        { "schema": 2, "kind": "customer", "name": "c",
          "spec": { "key_hashes": ["xyz"], "grants": [], "share": 0 } },
        { "schema": 9, "kind": "model", "name": "m", "spec": {} },
    ]);
    let path = write_file("findings.json", &records);
    for arguments in [["check", &path], ["apply", &path]] {
        let output = run(&stack, &arguments);
        assert_eq!(output.status.code(), FAILURE);
        let errors = stderr(&output);
        for place in [
            "[0] (a b): name",
            "spec.share",
            "spec.key_hashes[0]",
            "schema version 9",
        ] {
            assert!(errors.contains(place), "{place} is missing in {errors}");
        }
    }
    let records = stdout(&run(&stack, &["get", "customer"]));
    assert!(
        !records.contains(" c "),
        "a record of an invalid file was written: {records}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_key_refused() {
    let stack = small_stack("wrong-key").await;
    let mut command = stack.operator_command();
    command
        .env("BRAMLEYSPRING_KEY", "not-the-operators-key")
        .arg("status");
    let output = command.output().expect("the client runs");
    assert_eq!(output.status.code(), FAILURE);
    assert!(
        stderr(&output).contains("operators' key"),
        "{}",
        stderr(&output)
    );
    assert!(!stderr(&output).contains(OPERATOR_KEY));
}

#[tokio::test(flavor = "multi_thread")]
async fn timeline_shows_request() {
    let stack = small_stack("timeline").await;
    let response = stack
        .complete(1, "Which form renews a stall licence?", 4)
        .await;
    let request = response.json()["id"].as_str().expect("an id").to_owned();
    let shown = run(&stack, &["timeline", "--request", &request]);
    assert_eq!(shown.status.code(), SUCCESS, "{}", stderr(&shown));
    let shown = stdout(&shown);
    for step in ["request_admitted", "attempt_started"] {
        assert!(shown.contains(step), "{step} is missing in {shown}");
    }
    let metrics = stack
        .metrics(stack.entries[1].admin_blocking())
        .await
        .expect("metrics");
    let gaps = "bramleyspring_request_token_gap_duration_seconds_count";
    assert!(
        metrics.lines().any(|line| line.starts_with(gaps)),
        "{metrics}"
    );
    let page = stdout(&run(&stack, &["timeline", "--format", "html"]));
    assert!(page.starts_with("<!doctype html>") && page.contains("node_started"));
}

/// An entry node is down. The status and events of the other nodes must still be shown, and the
/// missing node must be named.
#[tokio::test(flavor = "multi_thread")]
async fn missing_node_named() {
    let mut stack = small_stack("missing-node").await;
    let gone = stack.entries[1].admin_blocking();
    let mut command = stack.operator_command();
    stack.entries[1].signal("KILL");
    stack.entries[1].wait();
    let output = command
        .args(["timeline"])
        .output()
        .expect("the client runs");
    assert_eq!(output.status.code(), SUCCESS, "{}", stderr(&output));
    assert!(
        stdout(&output).contains(&format!("missing: {gone}")),
        "{}",
        stdout(&output)
    );
    let status = stdout(&run(&stack, &["status"]));
    assert!(
        status.contains("e0") && status.contains("no response"),
        "{status}"
    );
}

#[test]
fn invalid_command_line() {
    for arguments in [
        &["serve"][..],
        &["apply"],
        &["frobnicate"],
        &["get", "--format", "xml"],
    ] {
        let output = Command::new(BINARY)
            .args(arguments)
            .output()
            .expect("the client runs");
        assert_eq!(output.status.code(), USAGE_ERROR, "{arguments:?}");
        assert!(stderr(&output).contains("--help"), "{}", stderr(&output));
    }
    let help = Command::new(BINARY)
        .arg("--help")
        .output()
        .expect("the client runs");
    assert!(stdout(&help).contains("Examples:"), "{}", stdout(&help));
}

/// Two of three entry nodes are suspended, which the third can't tell from a partition with itself
/// in the minority. If it accepted an amendment, the operator would be told that it is in force
/// while most clients still get the old configuration. It must refuse the amendment and accept it
/// once the others are back.
#[tokio::test(flavor = "multi_thread")]
async fn minority_refuses_amendments() {
    let members = json!({ "beat": "200ms", "write": "1s", "dead": "2s", "unheard": "1s" });
    let plan = StackPlan::new("minority", BINARY)
        .engines(2)
        .replicas(1)
        .hosts_per_replica(2);
    let stack = plan.settings("members", members).start().await;
    let path = write_file("minority.json", &drain_record(&["h99"]));
    for entry in &stack.entries[1..] {
        entry.signal("STOP");
    }
    let refused = apply_until(&stack, &path, FAILURE).await;
    assert!(
        stderr(&refused).contains("less than half"),
        "{}",
        stderr(&refused)
    );
    for entry in &stack.entries[1..] {
        entry.signal("CONT");
    }
    apply_until(&stack, &path, SUCCESS).await;
}

/// Applies a file until the command exits with the expected code.
async fn apply_until(stack: &TestStack, path: &str, expected: Option<i32>) -> Output {
    let started = std::time::Instant::now();
    loop {
        let output = run(stack, &["apply", path]);
        if output.status.code() == expected {
            return output;
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "{}{}",
            stdout(&output),
            stderr(&output)
        );
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    }
}
