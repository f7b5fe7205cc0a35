//! A complete system in separate processes on loopback, for tests and measurements.
#![expect(
    clippy::missing_panics_doc,
    reason = "test scaffolding reports failures by panicking"
)]

mod caller;
mod faults;
mod plan;
mod process;

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use serde_json::{Map, Value, json};
use tokio::sync::SemaphorePermit;
use web::WebClient;

use crate::deployment::{CallerConfig, Deployment};

pub use caller::{CUSTOMER_KEY, CallerResponse};
pub use plan::{HostPlacement, StackPlan};
pub use process::StackProcess;

/// Timeout for anything that a test waits for; long enough for a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Operator key of a test system.
pub const OPERATOR_KEY: &str = "operators-of-the-test-stack";

/// Key that signs resume tokens in a test system.
const RESUME_KEY: &str = "resume-key-of-the-test-stack";

/// Key that the entries authenticate peer connections with.
const PEER_KEY: &str = "peer-key-of-the-test-stack";

/// Environment variables that keys and addresses are passed in, to the entries and to the operator
/// client.
const OPERATOR_VARIABLE: &str = "STACK_OPERATOR_KEY";
const RESUME_VARIABLE: &str = "STACK_RESUME_KEY";
const PEER_VARIABLE: &str = "STACK_PEER_KEY";
const KEY_VARIABLE: &str = "BRAMLEYSPRING_KEY";
const NODES_VARIABLE: &str = "BRAMLEYSPRING_NODES";

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for a graceful shutdown, after which a process is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// A complete system of processes; dropping it kills them and removes its directory.
#[derive(Debug)]
pub struct TestStack {
    /// Transactional table.
    pub table: StackProcess,
    /// Object store.
    pub objects: StackProcess,
    /// Host list, which serves `hosts.json` of the system's directory.
    pub hostlist: StackProcess,
    /// Weight store; `None` unless [`StackPlan::weights`] was called.
    pub weights: Option<StackProcess>,
    /// Instances of the plain service, which share one execution log.
    pub services: Vec<StackProcess>,
    /// Engines, one per host.
    pub engines: Vec<StackProcess>,
    /// Entries, in the order in which they were started.
    pub entries: Vec<StackProcess>,
    /// HTTP client for calls to any process of the system.
    pub client: WebClient,
    placements: Vec<HostPlacement>,
    deployment: Deployment,
    callers: CallerConfig,
    entry_domains: Vec<String>,
    settings: Map<String, Value>,
    peer_addresses: Vec<SocketAddr>,
    binary: PathBuf,
    directory: PathBuf,
    _permit: SemaphorePermit<'static>,
}

fn write_hosts(
    directory: &Path,
    deployment: Deployment,
    engines: &[StackProcess],
    placements: &[HostPlacement],
    leaving: &[&str],
) {
    let region = deployment.region();
    let hosts: Vec<Value> = engines
        .iter()
        .zip(placements)
        .map(|(engine, placement)| {
            json!({
                "host": engine.name, "address": engine.address, "fabric": placement.fabric,
                "domain": placement.domain, "region": region,
                "leaving": leaving.contains(&engine.name.as_str()),
            })
        })
        .collect();
    let list = json!({ "revision": 1, "hosts": hosts });
    let temporary = directory.join("hosts.json.new");
    std::fs::write(&temporary, list.to_string()).expect("file is writable");
    std::fs::rename(&temporary, directory.join("hosts.json")).expect("file can be renamed");
}

fn merge_settings(section: &mut Value, values: &Value) {
    for (key, value) in values.as_object().into_iter().flatten() {
        section[key] = value.clone();
    }
}

/// Loopback address of the entries' peer listeners. Outgoing connections of a system start from
/// 127.0.0.1; on that address one of them could take the free port before the entry binds it.
const PEER_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// Returns an address whose port was free when checked. Entries must know each other's addresses
/// before they start.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((PEER_IP, 0)).expect("free port");
    listener.local_addr().expect("bound")
}

impl TestStack {
    fn records(&self, replicas: u32, hosts_per_replica: u32) -> Value {
        let mut records = self.deployment.records().expect("valid example");
        let spec = &mut records[0]["spec"];
        spec["hosts_per_replica"] = json!(hosts_per_replica);
        if spec["versions"].is_array() {
            spec["versions"][0]["replicas"] = json!(replicas);
        } else {
            spec["replicas"] = json!(replicas);
        }
        let targets: Vec<_> = self
            .services
            .iter()
            .map(|service| service.address)
            .collect();
        records[1]["spec"]["targets"] = json!(targets);
        Value::from(records)
    }

    /// Returns the address at which an entry accepts links of others.
    #[must_use]
    pub fn peer_address(&self, entry: usize) -> SocketAddr {
        self.peer_addresses[entry]
    }

    /// Starts another entry; entries are assigned to the plan's failure domains round-robin.
    pub fn add_entry(&mut self, name: &str) {
        self.add_entry_with(name, &json!({}));
    }

    /// Starts another entry; the sections of `patch` override its settings.
    pub fn add_entry_with(&mut self, name: &str, patch: &Value) {
        let domain = self.entry_domains[self.entries.len() % self.entry_domains.len()].clone();
        let settings = self.write_settings(name, &domain, patch);
        let entry = StackProcess::start(name, &self.binary, &["serve", "--settings", &settings]);
        self.entries.push(entry);
    }

    fn write_settings(&mut self, name: &str, domain: &str, patch: &Value) -> String {
        let peer_address = free_address();
        let mut settings = json!({
            "node": name, "region": self.deployment.region(), "domain": domain,
            "listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "log": { "level": "error" },
            "secrets": { "operator_key_env": OPERATOR_VARIABLE, "resume_key_env": RESUME_VARIABLE },
            "platform": {
                "table": self.table.address,
                "objects": self.objects.address,
                "hostlist": self.hostlist.address,
            },
            "peers": {
                "key_env": PEER_VARIABLE, "listen": peer_address, "seeds": self.peer_addresses,
            },
        });
        self.peer_addresses.push(peer_address);
        for (section, values) in &self.settings {
            merge_settings(&mut settings[section], values);
        }
        for (section, values) in patch.as_object().into_iter().flatten() {
            merge_settings(&mut settings[section], values);
        }
        let file = self.directory.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).expect("file is writable");
        file.display().to_string()
    }

    /// Applies records with the operator client.
    pub fn apply(&self, records: &Value) {
        let path = self.directory.join("records.json");
        std::fs::File::create(&path)
            .and_then(|mut file| file.write_all(records.to_string().as_bytes()))
            .expect("file is writable");
        let mut command = self.operator_command();
        command.args(["apply", &path.display().to_string()]);
        let status = command.status().expect("operator client starts");
        assert!(status.success(), "the records were rejected");
    }

    /// Returns a command that runs the operator client with access to every entry; the caller adds
    /// the arguments.
    #[must_use]
    pub fn operator_command(&self) -> Command {
        let admins: Vec<String> = self
            .entries
            .iter()
            .map(|entry| entry.admin_blocking().to_string())
            .collect();
        let mut command = Command::new(&self.binary);
        command
            .env(NODES_VARIABLE, admins.join(","))
            .env(KEY_VARIABLE, OPERATOR_KEY);
        command
    }

    /// Marks hosts as leaving in the host list.
    pub fn set_leaving(&self, leaving: &[&str]) {
        let placements = &self.placements;
        write_hosts(
            &self.directory,
            self.deployment,
            &self.engines,
            placements,
            leaving,
        );
    }

    /// Stops entries gracefully, so that they finish requests in progress, then engines and services.
    pub fn stop(&mut self) {
        for entry in &self.entries {
            entry.signal("TERM");
        }
        for entry in &mut self.entries {
            entry.wait_or_kill(STOP_TIMEOUT);
        }
        self.entries.clear();
        self.engines.clear();
        self.services.clear();
    }

    /// Kills an engine and restarts it with the same host name and address, a new boot number and no
    /// assignment.
    pub fn restart_engine(&mut self, engine: usize) {
        self.engines[engine].restart();
    }
}

impl Drop for TestStack {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
