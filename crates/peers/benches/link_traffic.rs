//! What the links cost a node: bytes and processor time a second over the number of nodes and of
//! replicas with evidence, under the default settings, all nodes in one process on loopback.
//!
//! `cargo bench -p peers --bench link_traffic [-- SECONDS] [replicas|full|today]` prints one line a
//! mesh; with `replicas` only those with evidence, with `full` one mesh of 410 nodes and 94
//! replicas, with `today` one of 6 nodes and 12 replicas. Bytes are those
//! of TCP's payload in both directions; processor time is that of the whole process by node, with
//! both ends of every link in it.

#[path = "../tests/mesh/mod.rs"]
#[allow(dead_code, reason = "the tests need the rest of it")]
mod mesh;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use control::members::LivenessTimeouts;
use domain::{FastMap, HealthEvidence, IncarnationNumber, ReplicaId};
use mesh::{KEY, MeshNode, MeshPlan};
use peers::{EvidenceExchange, PeerSettings, TimedEvidence};

/// Watchers look at each replica so often.
const LOOK_PERIOD: Duration = Duration::from_secs(1);

/// The head is confirmed by the table so often.
const CONFIRM_PERIOD: Duration = Duration::from_secs(2);

/// Evidence older than this opens no gate.
const EVIDENCE_LIMIT: Duration = Duration::from_secs(3);

/// Ticks of the kernel's clock of processor time a second, as Linux fixes it for programs.
const TICKS: f64 = 100.0;

#[derive(Debug, Clone, Default)]
struct BenchBoard {
    held: Arc<Mutex<FastMap<ReplicaId, TimedEvidence>>>,
}

impl BenchBoard {
    fn held(&self) -> MutexGuard<'_, FastMap<ReplicaId, TimedEvidence>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EvidenceExchange for BenchBoard {
    fn export(&self) -> Vec<TimedEvidence> {
        self.held().values().cloned().collect()
    }

    fn import(&self, evidence: TimedEvidence) {
        let mut held = self.held();
        let newer = held
            .get(&evidence.evidence.replica)
            .is_none_or(|known| evidence.as_of > known.as_of);
        if newer {
            held.insert(evidence.evidence.replica.clone(), evidence);
        }
    }
}

fn evidence(replica: usize) -> TimedEvidence {
    let hosts = (0..16)
        .map(|rank| format!("dakar-plateau-{}", replica * 16 + rank))
        .filter_map(|name| name.parse().ok())
        .collect();
    let id = format!("trader-help.{replica}").parse();
    TimedEvidence {
        evidence: HealthEvidence {
            replica: id.unwrap_or_else(|_| unreachable!("an id")),
            incarnation: IncarnationNumber(1),
            hosts,
            leaving: false,
            age: Duration::ZERO,
        },
        as_of: Instant::now(),
    }
}

fn processor_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
    let ticks = |index: usize| -> f64 {
        let field = fields.get(index).and_then(|text| text.parse().ok());
        field.unwrap_or(0.0)
    };
    (ticks(12) + ticks(13)) / TICKS
}

/// Resident memory of the whole process, in bytes.
fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kilobytes.unwrap_or(0.0) * 1_024.0
}

fn default_plan() -> MeshPlan {
    MeshPlan {
        beat: Duration::from_secs(5),
        limits: LivenessTimeouts {
            dead: Duration::from_secs(20),
            unreachable: Duration::from_secs(10),
        },
        rule: control::config::ConfigSettings::default().readiness_policy(),
        settings: PeerSettings::default(),
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts of a short run")]
async fn measure(nodes: usize, replicas: usize, time: Duration) {
    let plan = default_plan();
    let mut mesh: Vec<MeshNode> = Vec::new();
    let mut boards = Vec::new();
    for number in 0..nodes {
        let seeds: Vec<_> = mesh.iter().take(3).map(|node| node.address).collect();
        let evidence_store = BenchBoard::default();
        let name = format!("dakar-plateau-e{number:03}.1a239188b18");
        mesh.push(
            plan.start_with(&name, KEY, &seeds, evidence_store.clone())
                .await,
        );
        boards.push(evidence_store);
    }
    for node in &mesh {
        mesh::wait_until("all know all", || node.alive() == nodes).await;
    }
    let looks = boards.clone();
    let looking = tokio::spawn(async move {
        loop {
            for replica in 0..replicas {
                looks[replica % looks.len()].import(evidence(replica));
                looks[(replica + 1) % looks.len()].import(evidence(replica));
            }
            tokio::time::sleep(LOOK_PERIOD).await;
        }
    });
    mesh[0].learn(1).await;
    tokio::time::sleep(time / 2).await;
    let before: u64 = mesh.iter().map(|node| node.traffic.counts().sent).sum();
    let exchanges: u64 = mesh
        .iter()
        .map(|node| node.traffic.counts().exchanges)
        .sum();
    let spent = processor_seconds();
    let started = Instant::now();
    let mut ages: Vec<Duration> = Vec::new();
    while started.elapsed() < time {
        mesh[0].confirm(1).await;
        tokio::time::sleep(CONFIRM_PERIOD).await;
        for evidence_store in &boards {
            ages.extend(
                evidence_store
                    .held()
                    .values()
                    .map(|held| held.as_of.elapsed()),
            );
        }
    }
    let seconds = started.elapsed().as_secs_f64();
    let after: u64 = mesh.iter().map(|node| node.traffic.counts().sent).sum();
    let later: u64 = mesh
        .iter()
        .map(|node| node.traffic.counts().exchanges)
        .sum();
    let per_node = |count: u64| count as f64 / seconds / nodes as f64;
    let processor = (processor_seconds() - spent) / seconds / nodes as f64;
    let served = mesh.iter().filter(|node| node.standing().serves()).count();
    println!(
        "nodes {nodes:3}  replicas {replicas:4}  sent {:6.0} B/s  digests {:4.1}/s  processor {:.3} %  \
         memory {:.2} MB  served {served}",
        per_node(after - before),
        per_node(later - exchanges),
        processor * 100.0,
        resident_bytes() / 1e6 / nodes as f64,
    );
    if !ages.is_empty() {
        ages.sort_unstable();
        let late = ages.len() - ages.partition_point(|age| *age <= EVIDENCE_LIMIT);
        println!(
            "  age of evidence: median {:.1?}, 99 in 100 {:.1?}, longest {:.1?}; older than 3 s {:.2} %",
            ages[ages.len() / 2],
            ages[ages.len() * 99 / 100],
            ages[ages.len() - 1],
            late as f64 * 100.0 / ages.len() as f64,
        );
    }
    looking.abort();
}

#[tokio::main]
async fn main() {
    let seconds = std::env::args().find_map(|text| text.parse().ok());
    let time = Duration::from_secs(seconds.unwrap_or(20));
    let only_replicas = std::env::args().any(|text| text == "replicas");
    if std::env::args().any(|text| text == "full") {
        return measure(410, 94, time).await;
    }
    if std::env::args().any(|text| text == "today") {
        return measure(6, 12, time).await;
    }
    for nodes in [3, 6, 12, 24, 48] {
        if only_replicas {
            continue;
        }
        measure(nodes, 0, time).await;
    }
    for replicas in [24, 47, 94] {
        measure(24, replicas, time).await;
    }
}
