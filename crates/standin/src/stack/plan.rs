//! Configuration of a test system, and starting it.

use std::path::{Path, PathBuf};

use serde_json::{Map, Value};
use tokio::sync::Semaphore;
use web::WebClient;

use crate::deployment::Deployment;

use super::{StackProcess, TestStack, write_hosts};

/// Limits how many systems run at once. On an overloaded machine healthy processes miss deadlines
/// and appear dead.
static STACK_PERMITS: Semaphore = Semaphore::const_new(3);

/// Placement of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostPlacement {
    /// Fabric domain; a replica's hosts must share one.
    pub fabric: String,
    /// Failure domain of the host.
    pub domain: String,
}

/// Builder of a test system.
#[derive(Debug, Clone)]
pub struct StackPlan {
    name: String,
    binary: PathBuf,
    engines: usize,
    entries: usize,
    services: usize,
    replicas: u32,
    hosts_per_replica: u32,
    step_us: u64,
    fabrics: usize,
    domains: Vec<String>,
    engine_options: Vec<String>,
    hostlist_options: Vec<String>,
    weights_options: Option<Vec<String>>,
    settings: Map<String, Value>,
    deployment: Deployment,
}

impl StackPlan {
    /// Two replicas of four hosts behind three entries, in one fabric domain and one failure domain.
    /// `binary` is the path of the built `bramleyspring`; `standin` must be in the same directory.
    #[must_use]
    pub fn new(name: &str, binary: impl Into<PathBuf>) -> Self {
        Self {
            name: name.to_owned(),
            binary: binary.into(),
            engines: 8,
            entries: 3,
            services: 1,
            replicas: 2,
            hosts_per_replica: 4,
            step_us: 5_000,
            fabrics: 1,
            domains: vec!["plateau".to_owned()],
            engine_options: Vec::new(),
            hostlist_options: Vec::new(),
            weights_options: None,
            settings: Map::new(),
            deployment: Deployment::Ndiaye,
        }
    }

    /// Sets the number of engines; each runs on a host of its own.
    #[must_use]
    pub fn engines(mut self, count: usize) -> Self {
        self.engines = count;
        self
    }

    /// Sets the number of entries.
    #[must_use]
    pub fn entries(mut self, count: usize) -> Self {
        self.entries = count;
        self
    }

    /// Sets the number of instances of the plain service, which share one execution log.
    #[must_use]
    pub fn services(mut self, count: usize) -> Self {
        self.services = count;
        self
    }

    /// Sets the number of replicas in the model's record.
    #[must_use]
    pub fn replicas(mut self, count: u32) -> Self {
        self.replicas = count;
        self
    }

    /// Sets the number of hosts per replica.
    #[must_use]
    pub fn hosts_per_replica(mut self, count: u32) -> Self {
        self.hosts_per_replica = count;
        self
    }

    /// Sets the duration of one batch step of the engines, in microseconds.
    #[must_use]
    pub fn step_us(mut self, time: u64) -> Self {
        self.step_us = time;
        self
    }

    /// Sets one section of the entries' settings, such as `("config", json!({"poll": "200ms"}))`.
    #[must_use]
    pub fn settings(mut self, section: &str, values: Value) -> Self {
        self.settings.insert(section.to_owned(), values);
        self
    }

    /// Sets the number of fabric domains `f0`, `f1`, …; each has an equal share of consecutive hosts.
    #[must_use]
    pub fn fabrics(mut self, count: usize) -> Self {
        self.fabrics = count.max(1);
        self
    }

    /// Sets the failure domains, which fabric domains and entries are assigned to round-robin.
    #[must_use]
    pub fn domains(mut self, names: &[&str]) -> Self {
        assert!(!names.is_empty(), "at least one failure domain is required");
        self.domains = names.iter().map(|&name| name.to_owned()).collect();
        self
    }

    /// Sets additional options of every engine, such as `["--fencing"]`.
    #[must_use]
    pub fn engine_options(mut self, options: &[&str]) -> Self {
        self.engine_options = options.iter().map(|&text| text.to_owned()).collect();
        self
    }

    /// Sets additional options of the host list, such as `["--lag-ms", "2000"]`.
    #[must_use]
    pub fn hostlist_options(mut self, options: &[&str]) -> Self {
        self.hostlist_options = options.iter().map(|&text| text.to_owned()).collect();
        self
    }

    /// Adds a weight store that every engine loads from, with options such as `["--rate", "1000000"]`.
    #[must_use]
    pub fn weights(mut self, options: &[&str]) -> Self {
        self.weights_options = Some(options.iter().map(|&text| text.to_owned()).collect());
        self
    }

    /// Sets the example that records, customers and region come from.
    #[must_use]
    pub fn deployment(mut self, deployment: Deployment) -> Self {
        self.deployment = deployment;
        self
    }

    fn placement(&self, engine: usize) -> HostPlacement {
        let hosts_per_fabric = self.engines.div_ceil(self.fabrics);
        let fabric = engine / hosts_per_fabric;
        HostPlacement {
            fabric: format!("f{fabric}"),
            domain: self.domains[fabric % self.domains.len()].clone(),
        }
    }

    /// Starts all processes, applies the records and waits until every entry serves.
    pub async fn start(self) -> TestStack {
        let stack = self.clone().start_without_records().await;
        let records = stack.records(self.replicas, self.hosts_per_replica);
        stack.apply(&records);
        for index in 0..self.entries {
            stack.wait_until_serving(index).await;
        }
        stack
    }

    /// Starts all processes without applying records.
    pub async fn start_without_records(self) -> TestStack {
        let permit = STACK_PERMITS.acquire().await.expect("never closed");
        let directory = self.create_directory();
        let program = standin_binary(&self.binary);
        let start_standin =
            |name: &str, arguments: &[&str]| StackProcess::start(name, &program, arguments);
        let table = start_standin("table", &["table"]);
        let objects = start_standin("objects", &["objects"]);
        let book = directory.join("executions").display().to_string();
        let services = (0..self.services)
            .map(|number| start_standin(&format!("s{number}"), &["service", "--book", &book]))
            .collect();
        let weights = self.weights_options.as_ref().map(|options| {
            let mut arguments = vec!["weights"];
            arguments.extend(options.iter().map(String::as_str));
            start_standin("weights", &arguments)
        });
        let weights_address = weights.as_ref().map(|store| store.address.to_string());
        let step = self.step_us.to_string();
        let mut engines = Vec::new();
        let mut placements = Vec::new();
        for number in 0..self.engines {
            let host = format!("h{number:02}");
            let mut arguments = vec!["engine", "--host", &host, "--step-us", &step];
            arguments.extend(self.engine_options.iter().map(String::as_str));
            if let Some(address) = &weights_address {
                arguments.extend(["--weights", address]);
            }
            engines.push(start_standin(&host, &arguments));
            placements.push(self.placement(number));
        }
        write_hosts(&directory, self.deployment, &engines, &placements, &[]);
        let hosts = directory.join("hosts.json").display().to_string();
        let mut arguments = vec!["hostlist", "--hosts", &hosts];
        arguments.extend(self.hostlist_options.iter().map(String::as_str));
        let hostlist = start_standin("hostlist", &arguments);
        let mut stack = TestStack {
            table,
            objects,
            hostlist,
            weights,
            services,
            engines,
            entries: Vec::new(),
            client: WebClient::default(),
            placements,
            deployment: self.deployment,
            callers: self.deployment.callers().expect("valid example"),
            entry_domains: self.domains,
            settings: self.settings,
            peer_addresses: Vec::new(),
            binary: self.binary,
            directory,
            _permit: permit,
        };
        for number in 0..self.entries {
            stack.add_entry(&format!("e{number}"));
        }
        stack
    }

    fn create_directory(&self) -> PathBuf {
        let name = format!("bramleyspring-{}-{}", self.name, std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).expect("temporary directory can be created");
        directory
    }
}

fn standin_binary(binary: &Path) -> PathBuf {
    let program = binary.with_file_name("standin");
    assert!(
        program.exists(),
        "{} is not built: run scripts/test",
        program.display()
    );
    program
}
