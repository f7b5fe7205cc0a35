//! Amendments come into force on every entry node, also on one that is cut off from the table.

use std::time::{Duration, Instant};

use http::{Method, Request, StatusCode};
use serde_json::{Value, json};
use standin::faults::FaultPlan;
use standin::stack::{CUSTOMER_KEY, StackPlan, TestStack, WAIT_TIMEOUT};
use web::body::full_body;
use web::read_body;

use crate::BINARY;
use crate::table_proxy::TableProxy;

const POLL: Duration = Duration::from_millis(20);

/// A stack whose configuration and membership timeouts are a few seconds.
pub fn short_timeout_plan(name: &str) -> StackPlan {
    StackPlan::new(name, BINARY)
        .engines(2)
        .replicas(1)
        .hosts_per_replica(1)
        .settings(
            "config",
            json!({ "poll": "300ms", "confirm": "3s", "settle": "4s" }),
        )
        .settings(
            "members",
            json!({ "beat": "500ms", "write": "1s", "dead": "8s", "unheard": "3s" }),
        )
        .settings(
            "peers",
            json!({ "exchange": "200ms", "timeout": "1s", "avoid": "1s" }),
        )
}

/// The record of the example customer, granted `adapter` to identify an amendment.
pub fn customer(adapter: &str) -> Value {
    let text = include_str!("../../examples/ndiaye/records.json");
    let records: Value = serde_json::from_str(text).expect("valid JSON");
    let mut record = records
        .as_array()
        .and_then(|records| records.iter().find(|record| record["kind"] == "customer"))
        .cloned()
        .expect("the example has a customer");
    record["spec"]["grants"][0]["adapters"] = json!(["wolof", adapter]);
    record
}

/// What an entry node shows a client of the configuration in force.
pub enum EntryView {
    /// The newest adapter that the customer is granted.
    Serves(String),
    /// It responds that it is not ready.
    NotReady,
    /// It did not respond.
    NoResponse,
}

/// Lists the customer's models and adapters at an entry node.
pub async fn view_config(stack: &TestStack, entry: usize, timeout: Duration) -> EntryView {
    let address = stack.entries[entry].address;
    let request = Request::builder()
        .method(Method::GET)
        .uri(format!("http://{address}/v1/models"))
        .header("authorization", format!("Bearer {CUSTOMER_KEY}"))
        .body(full_body(""))
        .expect("a request");
    let Ok(response) = stack.client.send(address, request, timeout).await else {
        return EntryView::NoResponse;
    };
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        return EntryView::NotReady;
    }
    assert_eq!(response.status(), StatusCode::OK);
    let Ok(bytes) = read_body(response.into_body(), 1 << 20).await else {
        return EntryView::NoResponse;
    };
    let body: Value = serde_json::from_slice(&bytes).expect("valid JSON");
    let last = body["data"].as_array().and_then(|models| models.last());
    let name = last.and_then(|model| model["id"].as_str()).unwrap_or("");
    EntryView::Serves(name.rsplit(':').next().unwrap_or("").to_owned())
}

/// Waits until the adapter is granted at an entry node; returns the time that it took.
pub async fn wait_granted(stack: &TestStack, entry: usize, adapter: &str) -> Duration {
    let started = Instant::now();
    loop {
        if let EntryView::Serves(newest) = view_config(stack, entry, WAIT_TIMEOUT).await
            && newest == adapter
        {
            return started.elapsed();
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "entry {entry}: no {adapter}"
        );
        tokio::time::sleep(POLL).await;
    }
}

/// Amends the customer and returns the time until the change was in force on all entry nodes.
pub async fn amend_and_wait(stack: &TestStack, adapter: &str) -> Duration {
    stack.apply(&json!([customer(adapter)]));
    let mut longest = Duration::ZERO;
    let started = Instant::now();
    for entry in 0..stack.entries.len() {
        wait_granted(stack, entry, adapter).await;
        longest = longest.max(started.elapsed());
    }
    longest
}

#[tokio::test(flavor = "multi_thread")]
async fn amendment_in_force() {
    let plan = StackPlan::new("amendment-in-force", BINARY).entries(6);
    let stack = plan
        .engines(2)
        .replicas(1)
        .hosts_per_replica(1)
        .start()
        .await;
    let mut times = Vec::new();
    for round in 0..20 {
        times.push(amend_and_wait(&stack, &format!("a{round}")).await);
    }
    times.sort();
    println!(
        "in force on 6 entry nodes: median {:?}, longest {:?}",
        times[10], times[19]
    );
    assert!(times[19] < Duration::from_secs(16));
}

/// One entry node is cut off from the table but not from its peers. It receives amendments from
/// them and keeps serving, because they confirm the head.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_node_follows_peers() {
    let plan = StackPlan::new("cut-off-node", BINARY).entries(5);
    let mut stack = plan
        .engines(2)
        .replicas(1)
        .hosts_per_replica(1)
        .start()
        .await;
    let proxy = TableProxy::start(stack.table.address).await;
    stack.add_entry_with("cut", &json!({ "platform": { "table": proxy.address } }));
    wait_granted(&stack, 5, "wolof").await;
    proxy.set_cut(true);
    // Longer than a confirmation is valid.
    tokio::time::sleep(Duration::from_secs(10)).await;
    let mut times = Vec::new();
    for round in 0..20 {
        times.push(amend_and_wait(&stack, &format!("a{round}")).await);
    }
    times.sort();
    println!(
        "in force on 6 entry nodes, one cut off: median {:?}, longest {:?}",
        times[10], times[19]
    );
    assert!(times[19] < Duration::from_secs(16));
}

/// Eight operators amend the same record at once. The history must contain each accepted amendment
/// and no other, and the last one must come into force on every entry node.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_amendments_recorded() {
    let stack = short_timeout_plan("concurrent-amendments").start().await;
    let folder = std::env::temp_dir().join(format!("amendments-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut commands = Vec::new();
    for number in 0..8 {
        let path = folder.join(format!("{number}.json"));
        let records = json!([customer(&format!("r{number}"))]);
        std::fs::write(&path, records.to_string()).expect("writable");
        let mut command = stack.operator_command();
        command.args(["apply", &path.display().to_string()]);
        commands.push(command.spawn().expect("the client runs"));
    }
    let mut accepted = 0;
    for mut client in commands {
        let status = client.wait().expect("the client exits");
        accepted += usize::from(status.success());
    }
    let _ = std::fs::remove_dir_all(&folder);
    assert!(accepted >= 1, "no amendment was accepted");
    let output = stack
        .operator_command()
        .args(["history", "customer", "sandaga-traders", "--format", "json"])
        .output()
        .expect("the client runs");
    let history: Value = serde_json::from_slice(&output.stdout).expect("valid JSON");
    let changes = history.as_array().expect("a list");
    assert_eq!(changes.len(), accepted + 1, "{history}");
    let newest = changes
        .iter()
        .max_by_key(|change| change["revision"].as_u64())
        .expect("a change");
    let text = newest.to_string();
    let last_adapter = (0..8)
        .map(|number| format!("r{number}"))
        .find(|name| text.contains(&format!("\"{name}\"")))
        .expect("one of the amendments");
    for entry in 0..3 {
        wait_granted(&stack, entry, &last_adapter).await;
    }
}

/// The table applies an amendment and the response is lost. The operator must not be told that it
/// failed, and it must not be recorded twice.
#[tokio::test(flavor = "multi_thread")]
async fn lost_response_settled() {
    let stack = short_timeout_plan("config-response-lost").start().await;
    let plan = FaultPlan::builder().lose_next(2).match_body("config/head");
    stack.set_table_faults(&plan.build()).await;
    amend_and_wait(&stack, "after-loss").await;
    let output = stack
        .operator_command()
        .args(["history", "customer", "sandaga-traders", "--format", "json"])
        .output()
        .expect("the client runs");
    let history: Value = serde_json::from_slice(&output.stdout).expect("valid JSON");
    assert_eq!(history.as_array().expect("a list").len(), 2, "{history}");
}
