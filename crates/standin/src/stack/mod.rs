//! A whole system in separate processes on loopback, for tests and measurements.
#![expect(
    clippy::missing_panics_doc,
    reason = "a test's scaffolding reports by panicking"
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

/// Generous bound on anything that a test waits for.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// The operators' key of a test's system.
pub const OPERATOR_KEY: &str = "operators-of-the-test-stack";

/// The key that seals resume tokens in a test's system.
const RESUME_KEY: &str = "resume-key-of-the-test-stack";

/// The key that the entries share for their links.
const PEER_KEY: &str = "peer-key-of-the-test-stack";

/// Variables with the keys of the entries, and of the operators' client.
const OPERATOR_VARIABLE: &str = "STACK_OPERATOR_KEY";
const RESUME_VARIABLE: &str = "STACK_RESUME_KEY";
const PEER_VARIABLE: &str = "STACK_PEER_KEY";
const KEY_VARIABLE: &str = "BRAMLEYSPRING_KEY";
const NODES_VARIABLE: &str = "BRAMLEYSPRING_NODES";

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// A whole system in processes.
#[derive(Debug)]
pub struct TestStack {
    /// The table.
    pub table: StackProcess,
    /// The object store.
    pub objects: StackProcess,
    /// The host list.
    pub hostlist: StackProcess,
    /// The weight store, where there is one.
    pub weights: Option<StackProcess>,
    /// The instances of the plain service.
    pub services: Vec<StackProcess>,
    /// The engines, one for each host.
    pub engines: Vec<StackProcess>,
    /// The entries.
    pub entries: Vec<StackProcess>,
    /// A caller's client.
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
    std::fs::write(&temporary, list.to_string()).expect("writable");
    std::fs::rename(&temporary, directory.join("hosts.json")).expect("renamable");
}

fn merge_settings(section: &mut Value, values: &Value) {
    for (key, value) in values.as_object().into_iter().flatten() {
        section[key] = value.clone();
    }
}

/// Loopback address of the entries' listeners for peers. Connections within a system start from
/// 127.0.0.1; on that address one of them could take a free port before its entry listens there.
const PEER_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// An address with a port that was free a moment ago: entries must know each other's before they
/// start.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((PEER_IP, 0)).expect("a free port");
    listener.local_addr().expect("bound")
}

impl TestStack {
    fn records(&self, replicas: u32, hosts_per_replica: u32) -> Value {
        let mut records = self.deployment.records().expect("a sound example");
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

    /// Starts one more entry; entries take the plan's failure domains in turn.
    pub fn add_entry(&mut self, name: &str) {
        self.add_entry_with(name, &json!({}));
    }

    /// Starts one more entry whose settings differ in the sections of `patch`.
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
        std::fs::write(&file, settings.to_string()).expect("writable");
        file.display().to_string()
    }

    /// Writes records with the operators' client.
    pub fn apply(&self, records: &Value) {
        let path = self.directory.join("records.json");
        std::fs::File::create(&path)
            .and_then(|mut file| file.write_all(records.to_string().as_bytes()))
            .expect("writable");
        let mut command = self.operator_command();
        command.args(["apply", &path.display().to_string()]);
        let status = command.status().expect("the client runs");
        assert!(status.success(), "the records are not accepted");
    }

    /// The operators' client with its access to every entry; add a command and run it.
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

    /// Stops every process: entries are asked first, so that they end what is in progress.
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

    /// Kills an engine and starts it anew under the same host name and address, with a new boot
    /// number and no assignment.
    pub fn restart_engine(&mut self, engine: usize) {
        self.engines[engine].restart();
    }
}

impl Drop for TestStack {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
