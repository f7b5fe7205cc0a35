//! A whole system in separate processes on loopback, for tests and measurements.
#![expect(
    clippy::missing_panics_doc,
    reason = "a test's scaffolding reports by panicking"
)]

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use tokio::sync::{Semaphore, SemaphorePermit};

use http::{Method, Request, StatusCode};
use serde_json::{Value, json};
use web::body::full_body;
use web::{WebClient, read_body};

/// Generous bound on anything that a test waits for.
pub const PATIENCE: Duration = Duration::from_mins(1);

const POLL: Duration = Duration::from_millis(50);
const MAX_BODY: usize = 16 << 20;

/// Whole systems at once, so that a busy machine does not make healthy processes look dead.
static STACKS: Semaphore = Semaphore::const_new(3);

/// One started process; killed when it is dropped.
#[derive(Debug)]
pub struct StackProcess {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    child: Child,
}

impl StackProcess {
    /// Starts a program and waits until it says where it listens.
    #[must_use]
    pub fn start(name: &str, program: &Path, arguments: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{name} does not start: {error}"));
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let line = lines.next().expect("a first line").expect("readable");
        let address = line.rsplit(' ').next().and_then(|text| text.parse().ok());
        std::thread::spawn(move || for _ in lines {});
        Self {
            name: name.to_owned(),
            address: address.expect("an address"),
            child,
        }
    }

    /// Sends a signal by name, such as `KILL`, `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args(["-s", signal, &self.child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success(), "{} takes no {signal}", self.name);
    }

    /// Waits until the process ended by itself.
    pub fn wait(&mut self) {
        self.child.wait().expect("the process can be waited for");
    }
}

impl Drop for StackProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A whole system in processes.
#[derive(Debug)]
pub struct TestStack {
    /// The table.
    pub table: StackProcess,
    /// The object store.
    pub objects: StackProcess,
    /// The host list.
    pub hostlist: StackProcess,
    /// The plain service.
    pub service: StackProcess,
    /// The engines, one for each host.
    pub engines: Vec<StackProcess>,
    /// The entries.
    pub entries: Vec<StackProcess>,
    /// A caller's client.
    pub client: WebClient,
    product: PathBuf,
    folder: PathBuf,
    _permit: SemaphorePermit<'static>,
}

/// What a whole system consists of.
#[derive(Debug, Clone)]
pub struct StackPlan {
    name: String,
    product: PathBuf,
    engines: usize,
    entries: usize,
    replicas: u32,
    hosts_per_replica: u32,
    step_us: u64,
}

impl StackPlan {
    /// Two replicas of four hosts behind three entries that run `product`, the path of the built
    /// `bramleyspring`; the built `standin` lies beside it.
    #[must_use]
    pub fn new(name: &str, product: impl Into<PathBuf>) -> Self {
        Self {
            name: name.to_owned(),
            product: product.into(),
            engines: 8,
            entries: 3,
            replicas: 2,
            hosts_per_replica: 4,
            step_us: 5_000,
        }
    }

    /// Hosts with an engine.
    #[must_use]
    pub fn engines(mut self, count: usize) -> Self {
        self.engines = count;
        self
    }

    /// Entry processes.
    #[must_use]
    pub fn entries(mut self, count: usize) -> Self {
        self.entries = count;
        self
    }

    /// Replicas wanted.
    #[must_use]
    pub fn replicas(mut self, count: u32) -> Self {
        self.replicas = count;
        self
    }

    /// Hosts of one replica.
    #[must_use]
    pub fn hosts_per_replica(mut self, count: u32) -> Self {
        self.hosts_per_replica = count;
        self
    }

    /// Microseconds of one step of an engine's batch.
    #[must_use]
    pub fn step_us(mut self, time: u64) -> Self {
        self.step_us = time;
        self
    }

    /// Starts everything, applies the records and waits until every entry serves.
    pub async fn start(self) -> TestStack {
        let permit = STACKS.acquire().await.expect("never closed");
        let folder = std::env::temp_dir().join(format!(
            "bramleyspring-{}-{}",
            self.name,
            std::process::id()
        ));
        std::fs::create_dir_all(&folder).expect("a folder for the test");
        let program = standin_program(&self.product);
        let start_standin =
            |name: &str, arguments: &[&str]| StackProcess::start(name, &program, arguments);
        let table = start_standin("table", &["table"]);
        let objects = start_standin("objects", &["objects"]);
        let service = start_standin("service", &["service"]);
        let step = self.step_us.to_string();
        let mut engines = Vec::new();
        for number in 0..self.engines {
            let host = format!("h{number:02}");
            engines.push(start_standin(
                &host,
                &["engine", "--host", &host, "--step-us", &step],
            ));
        }
        write_hosts(&folder, &engines, &[]);
        let hosts = folder.join("hosts.json").display().to_string();
        let hostlist = start_standin("hostlist", &["hostlist", "--hosts", &hosts]);
        let mut stack = TestStack {
            table,
            objects,
            hostlist,
            service,
            engines,
            entries: Vec::new(),
            client: WebClient::default(),
            product: self.product,
            folder,
            _permit: permit,
        };
        for number in 0..self.entries {
            stack.add_entry(&format!("e{number}"));
        }
        let records = stack.records(self.replicas, self.hosts_per_replica);
        stack.apply(&records);
        for index in 0..self.entries {
            stack.wait_serving(index).await;
        }
        stack
    }
}

fn standin_program(product: &Path) -> PathBuf {
    let program = product.with_file_name("standin");
    assert!(
        program.exists(),
        "{} is not built: run scripts/test",
        program.display()
    );
    program
}

fn write_hosts(folder: &Path, engines: &[StackProcess], leaving: &[&str]) {
    let hosts: Vec<Value> = engines
        .iter()
        .map(|engine| {
            json!({
                "host": engine.name, "address": engine.address, "fabric": "f0",
                "domain": "plateau", "region": "dakar",
                "leaving": leaving.contains(&engine.name.as_str()),
            })
        })
        .collect();
    let list = json!({ "revision": 1, "hosts": hosts });
    let written = folder.join("hosts.json.new");
    std::fs::write(&written, list.to_string()).expect("writable");
    std::fs::rename(&written, folder.join("hosts.json")).expect("renamable");
}

/// An answer read whole.
#[derive(Debug)]
pub struct CallerAnswer {
    /// Its status.
    pub status: StatusCode,
    /// When to come back.
    pub retry_after: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
}

impl CallerAnswer {
    /// The body as JSON; null when it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// The body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Bearer key of the example customer.
pub const CUSTOMER_KEY: &str = "ndiaye-sandaga-desk";

impl TestStack {
    fn records(&self, replicas: u32, hosts_per_replica: u32) -> Value {
        let text = include_str!("../../../examples/ndiaye/records.json");
        let mut records: Value = serde_json::from_str(text).expect("the example is JSON");
        records[0]["spec"]["hosts_per_replica"] = json!(hosts_per_replica);
        records[0]["spec"]["versions"][0]["replicas"] = json!(replicas);
        records[1]["spec"]["targets"] = json!([self.service.address]);
        records
    }

    /// Starts one more entry.
    pub fn add_entry(&mut self, name: &str) {
        let settings = self.write_settings(name);
        let entry = StackProcess::start(name, &self.product, &["serve", "--settings", &settings]);
        self.entries.push(entry);
    }

    fn write_settings(&self, name: &str) -> String {
        let settings = json!({
            "node": name, "region": "dakar", "domain": "plateau", "listen": "127.0.0.1:0",
            "platform": {
                "table": self.table.address,
                "objects": self.objects.address,
                "hostlist": self.hostlist.address,
            },
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
        let settings = self.write_settings("operator");
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
        write_hosts(&self.folder, &self.engines, leaving);
    }

    /// Calls an entry as the example customer.
    pub async fn call(
        &self,
        entry: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> CallerAnswer {
        let address = self.entries[entry].address;
        let mut builder = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {CUSTOMER_KEY}"));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder
            .body(full_body(body.to_string()))
            .expect("a request");
        let answer = self
            .client
            .send(address, request, PATIENCE)
            .await
            .expect("an answer");
        let status = answer.status();
        let retry_after = answer
            .headers()
            .get("retry-after")
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let body = read_body(answer.into_body(), MAX_BODY)
            .await
            .expect("a whole body");
        CallerAnswer {
            status,
            retry_after,
            body: body.to_vec(),
        }
    }

    /// Asks an entry for a completion, not streamed.
    pub async fn complete(&self, entry: usize, prompt: &str, max_tokens: u32) -> CallerAnswer {
        let body = json!({ "model": "trader-help", "prompt": prompt, "max_tokens": max_tokens });
        self.call(entry, "/v1/completions", &[], &body).await
    }

    /// Waits until an entry answers completions.
    pub async fn wait_serving(&self, entry: usize) {
        let started = Instant::now();
        loop {
            let answer = self.complete(entry, "ready?", 1).await;
            if answer.status == StatusCode::OK {
                return;
            }
            assert!(
                started.elapsed() < PATIENCE,
                "entry {entry} serves not: {}",
                answer.text()
            );
            tokio::time::sleep(POLL).await;
        }
    }
}

impl Drop for TestStack {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
