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
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::SemaphorePermit;
use web::WebClient;

pub use caller::{CUSTOMER_KEY, CallerAnswer};
pub use plan::{StackPlace, StackPlan};
pub use process::StackProcess;

/// Generous bound on anything that a test waits for.
pub const PATIENCE: Duration = Duration::from_mins(1);

const POLL: Duration = Duration::from_millis(50);
const PROBE: Duration = Duration::from_secs(1);

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
    places: Vec<StackPlace>,
    entry_domains: Vec<String>,
    entry_settings: Value,
    product: PathBuf,
    folder: PathBuf,
    _permit: SemaphorePermit<'static>,
}

fn write_hosts(folder: &Path, engines: &[StackProcess], places: &[StackPlace], leaving: &[&str]) {
    let hosts: Vec<Value> = engines
        .iter()
        .zip(places)
        .map(|(engine, place)| {
            json!({
                "host": engine.name, "address": engine.address, "fabric": place.fabric,
                "domain": place.domain, "region": "dakar",
                "leaving": leaving.contains(&engine.name.as_str()),
            })
        })
        .collect();
    let list = json!({ "revision": 1, "hosts": hosts });
    let written = folder.join("hosts.json.new");
    std::fs::write(&written, list.to_string()).expect("writable");
    std::fs::rename(&written, folder.join("hosts.json")).expect("renamable");
}

impl TestStack {
    fn records(&self, replicas: u32, hosts_per_replica: u32) -> Value {
        let text = include_str!("../../../../examples/ndiaye/records.json");
        let mut records: Value = serde_json::from_str(text).expect("the example is JSON");
        records[0]["spec"]["hosts_per_replica"] = json!(hosts_per_replica);
        records[0]["spec"]["versions"][0]["replicas"] = json!(replicas);
        let targets: Vec<_> = self
            .services
            .iter()
            .map(|service| service.address)
            .collect();
        records[1]["spec"]["targets"] = json!(targets);
        records
    }

    /// Starts one more entry; entries take the plan's failure domains in turn.
    pub fn add_entry(&mut self, name: &str) {
        let domain = self.entry_domains[self.entries.len() % self.entry_domains.len()].clone();
        let settings = self.write_settings(name, &domain);
        let entry = StackProcess::start(name, &self.product, &["serve", "--settings", &settings]);
        self.entries.push(entry);
    }

    fn write_settings(&self, name: &str, domain: &str) -> String {
        let settings = json!({
            "node": name, "region": "dakar", "domain": domain, "listen": "127.0.0.1:0",
            "platform": {
                "table": self.table.address,
                "objects": self.objects.address,
                "hostlist": self.hostlist.address,
            },
            "entry": self.entry_settings,
        });
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("writable");
        path.display().to_string()
    }

    /// Writes records with the operators' client.
    pub fn apply(&self, records: &Value) {
        let path = self.folder.join("records.json");
        std::fs::File::create(&path)
            .and_then(|mut file| file.write_all(records.to_string().as_bytes()))
            .expect("writable");
        let settings = self.write_settings("operator", &self.entry_domains[0]);
        let status = Command::new(&self.product)
            .args([
                "apply",
                "--settings",
                &settings,
                &path.display().to_string(),
            ])
            .status()
            .expect("the client runs");
        assert!(status.success(), "the records are not accepted");
    }

    /// Marks hosts as leaving in the host list.
    pub fn set_leaving(&self, leaving: &[&str]) {
        write_hosts(&self.folder, &self.engines, &self.places, leaving);
    }

    /// Kills an engine and starts it anew under the same host name and address, with a new boot
    /// number and no assignment.
    pub fn restart_engine(&mut self, engine: usize) {
        self.engines[engine].restart();
    }
}

impl Drop for TestStack {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
