//! Measures the cost of links per node, in bytes and CPU time per second, depending on the number of
//! nodes and of replicas with evidence. All nodes run in one process on loopback with the default
//! settings.
//!
//! `cargo bench -p peers --bench link_traffic [-- SECONDS] [replicas|full|today]` prints one line
//! per mesh. `replicas` selects only the meshes with evidence, `full` one mesh of 410 nodes and 94
//! replicas, and `today` one mesh of 6 nodes and 12 replicas. Bytes are TCP payload in both
//! directions. CPU time is that of the whole process divided by the number of nodes, and includes
//! both ends of every link.

#[path = "../tests/mesh/mod.rs"]
#[allow(dead_code, reason = "the rest of the module is used by the tests")]
mod mesh;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use control::members::LivenessTimeouts;
use domain::{FastMap, HealthEvidence, IncarnationNumber, ReplicaId};
use mesh::{KEY, MeshConfig, MeshNode};
use peers::{EvidenceExchange, PeerSettings, TimedEvidence};

/// Interval of the health checks of each replica.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the head revision is confirmed.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(2);

/// Age beyond which evidence no longer allows dispatch.
const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(3);

/// Clock ticks per second of the CPU times in `/proc`, which Linux fixes for user space.
const TICKS_PER_SECOND: f64 = 100.0;

#[derive(Debug, Clone, Default)]
struct BenchEvidenceStore {
    entries: Arc<Mutex<FastMap<ReplicaId, TimedEvidence>>>,
}

impl BenchEvidenceStore {
    fn entries(&self) -> MutexGuard<'_, FastMap<ReplicaId, TimedEvidence>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EvidenceExchange for BenchEvidenceStore {
    fn export(&self) -> Vec<TimedEvidence> {
        self.entries().values().cloned().collect()
    }

    fn import(&self, evidence: TimedEvidence) {
        let mut entries = self.entries();
        let newer = entries
            .get(&evidence.evidence.replica)
            .is_none_or(|known| evidence.as_of > known.as_of);
        if newer {
            entries.insert(evidence.evidence.replica.clone(), evidence);
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

/// User and system CPU time of the whole process, in seconds.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
    let ticks = |index: usize| -> f64 {
        let field = fields.get(index).and_then(|text| text.parse().ok());
        field.unwrap_or(0.0)
    };
    (ticks(12) + ticks(13)) / TICKS_PER_SECOND
}

/// Resident memory of the whole process, in bytes.
fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kilobytes.unwrap_or(0.0) * 1_024.0
}

fn default_config() -> MeshConfig {
    MeshConfig {
        heartbeat_interval: Duration::from_secs(5),
        liveness: LivenessTimeouts {
            dead: Duration::from_secs(20),
            unreachable: Duration::from_secs(10),
        },
        readiness: control::config::ConfigSettings::default().readiness_policy(),
        settings: PeerSettings::default(),
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts of a short run")]
async fn measure(nodes: usize, replicas: usize, time: Duration) {
    let config = default_config();
    let mut mesh: Vec<MeshNode> = Vec::new();
    let mut stores = Vec::new();
    for number in 0..nodes {
        let seeds: Vec<_> = mesh.iter().take(3).map(|node| node.address).collect();
        let store = BenchEvidenceStore::default();
        let name = format!("dakar-plateau-e{number:03}.1a239188b18");
        mesh.push(config.start_with(&name, KEY, &seeds, store.clone()).await);
        stores.push(store);
    }
    for node in &mesh {
        mesh::wait_until("all members discovered", || node.member_count() == nodes).await;
    }
    let checked_stores = stores.clone();
    let health_checks = tokio::spawn(async move {
        loop {
            for replica in 0..replicas {
                checked_stores[replica % checked_stores.len()].import(evidence(replica));
                checked_stores[(replica + 1) % checked_stores.len()].import(evidence(replica));
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    });
    mesh[0].apply_change(1).await;
    tokio::time::sleep(time / 2).await;
    let sent_before: u64 = mesh.iter().map(|node| node.traffic.counts().sent).sum();
    let exchanges_before: u64 = mesh
        .iter()
        .map(|node| node.traffic.counts().exchanges)
        .sum();
    let cpu_before = cpu_seconds();
    let started = Instant::now();
    let mut ages: Vec<Duration> = Vec::new();
    while started.elapsed() < time {
        mesh[0].confirm(1).await;
        tokio::time::sleep(CONFIRM_INTERVAL).await;
        for store in &stores {
            ages.extend(store.entries().values().map(|entry| entry.as_of.elapsed()));
        }
    }
    let seconds = started.elapsed().as_secs_f64();
    let sent_after: u64 = mesh.iter().map(|node| node.traffic.counts().sent).sum();
    let exchanges_after: u64 = mesh
        .iter()
        .map(|node| node.traffic.counts().exchanges)
        .sum();
    let per_node = |count: u64| count as f64 / seconds / nodes as f64;
    let cpu = (cpu_seconds() - cpu_before) / seconds / nodes as f64;
    let serving = mesh.iter().filter(|node| node.readiness().serves()).count();
    println!(
        "nodes {nodes:3}  replicas {replicas:4}  sent {:6.0} B/s  digests {:4.1}/s  CPU {:.3} %  \
         memory {:.2} MB  serving {serving}",
        per_node(sent_after - sent_before),
        per_node(exchanges_after - exchanges_before),
        cpu * 100.0,
        resident_bytes() / 1e6 / nodes as f64,
    );
    if !ages.is_empty() {
        ages.sort_unstable();
        let late = ages.len() - ages.partition_point(|age| *age <= MAX_EVIDENCE_AGE);
        println!(
            "  age of evidence: median {:.1?}, 99th percentile {:.1?}, max {:.1?}; older than 3 s {:.2} %",
            ages[ages.len() / 2],
            ages[ages.len() * 99 / 100],
            ages[ages.len() - 1],
            late as f64 * 100.0 / ages.len() as f64,
        );
    }
    health_checks.abort();
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
