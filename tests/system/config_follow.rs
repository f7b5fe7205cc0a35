//! Amendments come into force on every entry, with the store up and for an entry without it.

use std::time::{Duration, Instant};

use http::{Method, Request, StatusCode};
use serde_json::{Value, json};
use standin::faults::FaultPlan;
use standin::stack::{CUSTOMER_KEY, PATIENCE, StackPlan, TestStack};
use web::body::full_body;
use web::read_body;

use crate::PRODUCT;
use crate::table_cut::TableCut;

const POLL: Duration = Duration::from_millis(20);

/// Settings under which knowledge grows old within seconds.
pub fn quick_plan(name: &str) -> StackPlan {
    StackPlan::new(name, PRODUCT)
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

/// The example customer with an adapter that names a change.
pub fn customer(adapter: &str) -> Value {
    let text = include_str!("../../examples/ndiaye/records.json");
    let records: Value = serde_json::from_str(text).expect("JSON");
    let mut record = records
        .as_array()
        .and_then(|records| records.iter().find(|record| record["kind"] == "customer"))
        .cloned()
        .expect("the example has a customer");
    record["spec"]["grants"][0]["adapters"] = json!(["wolof", adapter]);
    record
}

/// What an entry shows its caller of the configuration in force.
pub enum EntryView {
    /// The newest adapter that the customer is granted.
    Serves(String),
    /// It says that it is not ready.
    NotReady,
    /// No answer came.
    Silent,
}

/// Asks an entry which models and adapters the customer has.
pub async fn look(stack: &TestStack, entry: usize, timeout: Duration) -> EntryView {
    let address = stack.entries[entry].address;
    let request = Request::builder()
        .method(Method::GET)
        .uri(format!("http://{address}/v1/models"))
        .header("authorization", format!("Bearer {CUSTOMER_KEY}"))
        .body(full_body(""))
        .expect("a request");
    let Ok(answer) = stack.client.send(address, request, timeout).await else {
        return EntryView::Silent;
    };
    if answer.status() == StatusCode::SERVICE_UNAVAILABLE {
        return EntryView::NotReady;
    }
    assert_eq!(answer.status(), StatusCode::OK);
    let Ok(bytes) = read_body(answer.into_body(), 1 << 20).await else {
        return EntryView::Silent;
    };
    let body: Value = serde_json::from_slice(&bytes).expect("JSON");
    let last = body["data"].as_array().and_then(|models| models.last());
    let name = last.and_then(|model| model["id"].as_str()).unwrap_or("");
    EntryView::Serves(name.rsplit(':').next().unwrap_or("").to_owned())
}

/// Waits until an entry serves with the adapter granted.
pub async fn wait_granted(stack: &TestStack, entry: usize, adapter: &str) -> Duration {
    let started = Instant::now();
    loop {
        if let EntryView::Serves(newest) = look(stack, entry, PATIENCE).await
            && newest == adapter
        {
            return started.elapsed();
        }
        assert!(started.elapsed() < PATIENCE, "entry {entry}: no {adapter}");
        tokio::time::sleep(POLL).await;
    }
}

/// Applies a change and returns the longest time until an entry had it in force.
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
async fn change_in_force() {
    let plan = StackPlan::new("change-in-force", PRODUCT).entries(6);
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
        "in force on 6 entries: median {:?}, longest {:?}",
        times[10], times[19]
    );
    assert!(times[19] < Duration::from_secs(16));
}

// One entry loses the table and keeps its peers. The change comes to it over the links, and it
// stays in service, because its peers confirm what is in force.
#[tokio::test(flavor = "multi_thread")]
async fn cut_entry_follows() {
    let plan = StackPlan::new("cut-entry", PRODUCT).entries(5);
    let mut stack = plan
        .engines(2)
        .replicas(1)
        .hosts_per_replica(1)
        .start()
        .await;
    let cut = TableCut::start(stack.table.address).await;
    stack.add_entry_with("cut", &json!({ "platform": { "table": cut.address } }));
    wait_granted(&stack, 5, "wolof").await;
    cut.set_cut(true);
    // Longer than the entry may go without a confirmation.
    tokio::time::sleep(Duration::from_secs(10)).await;
    let mut times = Vec::new();
    for round in 0..20 {
        times.push(amend_and_wait(&stack, &format!("a{round}")).await);
    }
    times.sort();
    println!(
        "in force on 6 entries, one cut off: median {:?}, longest {:?}",
        times[10], times[19]
    );
    assert!(times[19] < Duration::from_secs(16));
}

// Eight operators amend the same record at once. Whoever is told that his record is accepted finds
// it in the history; the last of them is in force on every entry, and nobody is told so wrongly.
#[tokio::test(flavor = "multi_thread")]
async fn operators_race() {
    let stack = quick_plan("operators-race").start().await;
    let folder = std::env::temp_dir().join(format!("race-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut racers = Vec::new();
    for number in 0..8 {
        let path = folder.join(format!("{number}.json"));
        let records = json!([customer(&format!("r{number}"))]);
        std::fs::write(&path, records.to_string()).expect("writable");
        let mut command = stack.operator();
        command.args(["apply", &path.display().to_string()]);
        racers.push(command.spawn().expect("the client runs"));
    }
    let mut accepted = 0;
    for mut racer in racers {
        let status = racer.wait().expect("it ends");
        accepted += usize::from(status.success());
    }
    let _ = std::fs::remove_dir_all(&folder);
    assert!(accepted >= 1, "nobody was accepted");
    let output = stack
        .operator()
        .args(["history", "customer", "sandaga-traders", "--format", "json"])
        .output()
        .expect("the client runs");
    let history: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let changes = history.as_array().expect("a list");
    assert_eq!(changes.len(), accepted + 1, "{history}");
    let newest = changes
        .iter()
        .max_by_key(|change| change["revision"].as_u64())
        .expect("a change");
    let text = newest.to_string();
    let winner = (0..8)
        .map(|number| format!("r{number}"))
        .find(|name| text.contains(&format!("\"{name}\"")))
        .expect("one of the racers");
    for entry in 0..3 {
        wait_granted(&stack, entry, &winner).await;
    }
}

// The table takes the amendment and its answer is lost. The operator must not be told that it
// failed, nor is it accepted twice.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_settled() {
    let stack = quick_plan("config-answer-lost").start().await;
    let plan = FaultPlan::builder().lose_next(2).match_body("config/head");
    stack.table_faults(&plan.build()).await;
    amend_and_wait(&stack, "after-loss").await;
    let output = stack
        .operator()
        .args(["history", "customer", "sandaga-traders", "--format", "json"])
        .output()
        .expect("the client runs");
    let history: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(history.as_array().expect("a list").len(), 2, "{history}");
}
