//! Cost of control per node: CPU time, memory, bytes on peer connections and calls to the table, by
//! the number of nodes, records and hosts, extrapolated linearly to full scale.

use std::path::Path;
use std::time::Duration;

use eyre::OptionExt;
use serde_json::{Value, json};

use super::RoundSpread;
use super::process::{cpu_seconds, resident_kib};
use crate::stack::{StackPlan, TestStack};

/// Numbers of nodes, records and hosts that are measured.
const NODE_COUNTS: [usize; 5] = [3, 6, 12, 24, 48];
const RECORD_COUNTS: [usize; 4] = [50, 200, 600, 1_500];
const HOST_COUNTS: [usize; 4] = [24, 48, 96, 192];

/// Sizes that the fitted lines are extrapolated to.
const FULL_SCALE_NODES: f64 = 410.0;
const FULL_SCALE_RECORDS: f64 = 2_000.0;
const FULL_SCALE_HOSTS: f64 = 1_500.0;

/// Hosts per replica in the runs that vary the number of hosts.
const HOSTS_PER_REPLICA: usize = 4;

/// Time for a system to settle, and time between the two readings that rates are computed from.
const SETTLE_DURATION: Duration = Duration::from_secs(15);
const READING_DURATION: Duration = Duration::from_secs(15);

/// Records that are applied at once by the operator client.
const RECORDS_PER_FILE: usize = 250;

/// Runs the measurements and prints the results.
///
/// # Errors
///
/// Returns an error if `/proc`, a node's metrics or the table's counts can't be read.
pub async fn run(binary: &Path) -> eyre::Result<()> {
    let mut nodes = Vec::new();
    for count in NODE_COUNTS {
        let stack = small_plan("nodes", binary).entries(count).start().await;
        nodes.push((count, read_cost(&stack).await?));
    }
    print_costs("nodes", &nodes, FULL_SCALE_NODES);
    let mut records = Vec::new();
    for count in RECORD_COUNTS {
        let stack = small_plan("records", binary).start().await;
        apply_customers(&stack, count);
        records.push((count, read_cost(&stack).await?));
    }
    print_costs("records", &records, FULL_SCALE_RECORDS);
    let mut hosts = Vec::new();
    for count in HOST_COUNTS {
        let replicas = u32::try_from(count / HOSTS_PER_REPLICA)?;
        let stack = StackPlan::new("measure-hosts", binary)
            .engines(count)
            .replicas(replicas)
            .hosts_per_replica(u32::try_from(HOSTS_PER_REPLICA)?)
            .step_us(50_000)
            .start()
            .await;
        hosts.push((count, read_cost(&stack).await?));
    }
    print_costs("hosts", &hosts, FULL_SCALE_HOSTS);
    Ok(())
}

fn small_plan(name: &str, binary: &Path) -> StackPlan {
    StackPlan::new(&format!("measure-{name}"), binary)
        .engines(2)
        .replicas(1)
        .hosts_per_replica(2)
        .step_us(50_000)
}

/// Applies customers like those of the example, each with a key of its own.
fn apply_customers(stack: &TestStack, count: usize) {
    let numbers: Vec<usize> = (0..count).collect();
    for part in numbers.chunks(RECORDS_PER_FILE) {
        let records: Vec<Value> = part.iter().map(|number| customer(*number)).collect();
        stack.apply(&Value::from(records));
    }
}

fn customer(number: usize) -> Value {
    json!({
        "schema": 2, "kind": "customer", "name": format!("customer-{number}"),
        "spec": {
            "key_hashes": [format!("{number:064x}")],
            "grants": [{ "model": "trader-help", "adapters": ["wolof"] }],
            "services": ["licences"], "share": 1,
        },
    })
}

/// Cost of control without any requests.
struct ControlCost {
    /// CPU usage per node, in percent of a core.
    cpu: RoundSpread,
    /// Resident memory per node in MiB.
    memory: RoundSpread,
    /// Bytes per second that a node sends and receives on its peer connections.
    bytes: RoundSpread,
    /// Reads and writes per second at the table, by all nodes together.
    reads: f64,
    writes: f64,
}

async fn read_cost(stack: &TestStack) -> eyre::Result<ControlCost> {
    tokio::time::sleep(SETTLE_DURATION).await;
    let before = read_nodes(stack).await?;
    let table_before = stack.fault_report(stack.table.address).await.counts;
    tokio::time::sleep(READING_DURATION).await;
    let after = read_nodes(stack).await?;
    let table_after = stack.fault_report(stack.table.address).await.counts;
    let seconds = READING_DURATION.as_secs_f64();
    let rate = |before: f64, after: f64| (after - before) / seconds;
    let (mut cpu, mut memory, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for (before, after) in before.iter().zip(&after) {
        cpu.push(100.0 * rate(before.cpu, after.cpu));
        memory.push(after.resident_kib / 1_024.0);
        bytes.push(rate(before.bytes, after.bytes));
    }
    Ok(ControlCost {
        cpu: RoundSpread::of(&cpu),
        memory: RoundSpread::of(&memory),
        bytes: RoundSpread::of(&bytes),
        reads: rate(as_f64(table_before.reads), as_f64(table_after.reads)),
        writes: rate(as_f64(table_before.writes), as_f64(table_after.writes)),
    })
}

fn as_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

struct NodeReading {
    cpu: f64,
    resident_kib: f64,
    bytes: f64,
}

async fn read_nodes(stack: &TestStack) -> eyre::Result<Vec<NodeReading>> {
    let mut readings = Vec::new();
    for entry in &stack.entries {
        let text = stack.metrics(entry.admin_blocking()).await?;
        let sent = metric(&text, "bramleyspring_peer_sent_bytes").unwrap_or_default();
        let received = metric(&text, "bramleyspring_peer_received_bytes").unwrap_or_default();
        readings.push(NodeReading {
            cpu: cpu_seconds(entry.pid())?,
            resident_kib: resident_kib(entry.pid())?,
            bytes: sent + received,
        });
    }
    Ok(readings)
}

fn metric(text: &str, name: &str) -> Option<f64> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

fn print_costs(dimension: &str, costs: &[(usize, ControlCost)], full_scale: f64) {
    println!(
        "\n{dimension:>8} | CPU % of a core per node | MiB per node | bytes/s per node | reads/s | writes/s"
    );
    for (number, cost) in costs {
        println!(
            "{number:>8} | {:.2} | {:.1} | {:.0} | {:.1} | {:.1}",
            cost.cpu, cost.memory, cost.bytes, cost.reads, cost.writes
        );
    }
    let columns: [(&str, Vec<f64>); 5] = [
        (
            "CPU %",
            costs.iter().map(|(_, cost)| cost.cpu.median).collect(),
        ),
        (
            "MiB",
            costs.iter().map(|(_, cost)| cost.memory.median).collect(),
        ),
        (
            "bytes/s",
            costs.iter().map(|(_, cost)| cost.bytes.median).collect(),
        ),
        (
            "reads/s",
            costs.iter().map(|(_, cost)| cost.reads).collect(),
        ),
        (
            "writes/s",
            costs.iter().map(|(_, cost)| cost.writes).collect(),
        ),
    ];
    let numbers: Vec<f64> = costs
        .iter()
        .map(|(number, _)| as_f64(*number as u64))
        .collect();
    for (name, values) in columns {
        let Some((base, slope)) = fit_line(&numbers, &values)
            .ok_or_eyre("all sizes are equal")
            .ok()
        else {
            continue;
        };
        println!(
            "  {name}: {base:.3} + {slope:.5} for each of the {dimension}; at {full_scale:.0}: {:.2}",
            base + slope * full_scale
        );
    }
}

/// Fits a line by least squares; returns its intercept and slope, or `None` if all `xs` are equal.
fn fit_line(xs: &[f64], ys: &[f64]) -> Option<(f64, f64)> {
    let points = as_f64(xs.len() as u64);
    let mean_x = xs.iter().sum::<f64>() / points;
    let mean_y = ys.iter().sum::<f64>() / points;
    let sum_of_squares: f64 = xs.iter().map(|x| (x - mean_x).powi(2)).sum();
    if sum_of_squares <= 0.0 {
        return None;
    }
    let sum_of_products: f64 = xs
        .iter()
        .zip(ys)
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = sum_of_products / sum_of_squares;
    Some((mean_y - slope * mean_x, slope))
}
