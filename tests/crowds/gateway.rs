//! A gateway with lowered limits, a store and an instance of a plain service.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Stdio};
use std::time::Duration;

use serde_json::{Value, json};
use standin::site::{SiteInstance, SiteStore, StoreMode};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::MutexGuard;

use crate::BINARY;
use crate::crowd::{Crowd, CrowdBytes, first_line};
use crate::process::{
    FREE_DESCRIPTORS, OWN_DESCRIPTORS, limited_command, open_descriptors, peak_memory, take_turn,
};

/// Host name of all routes.
pub const HOST: &str = "desk.example";

/// API key of the only customer.
pub const KEY: &str = "key-of-the-desk";

/// Largest head, in bytes.
pub const HEAD_BYTES: usize = 16 << 10;

/// Requests that a large target takes at once.
const LARGE_TARGET: usize = 5000;

/// Largest body, in bytes.
pub const BODY_BYTES: usize = 64 << 10;

/// Time within which whatever a test waits for must come; only failing tests reach it.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two looks at what a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time in which a gateway knows of a changed row.
const LEARN_TIME: Duration = Duration::from_secs(2);

/// First line of a response that tells the client to come again.
pub const UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable";

/// How often a client comes again that is told to.
const MOST_RETURNS: usize = 20;

/// Time after which it comes again.
const RETURN_INTERVAL: Duration = Duration::from_millis(500);

/// Limits of the machine that a gateway is told of.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    /// Memory of the process, in MB.
    pub memory_mb: f64,
    /// Descriptors that the process may have open.
    pub descriptors: usize,
}

/// A quarter of the memory of the users' machines, and descriptors for every connection of a crowd.
pub const SMALL_MACHINE: Machine = Machine {
    memory_mb: 64.0,
    descriptors: 2000,
};

/// Address of a gateway for a crowd.
#[derive(Debug, Clone, Copy)]
pub enum Face {
    Requests,
    Readiness,
    Metrics,
    Hints,
    Links,
}

/// A running gateway, killed on drop.
pub struct TestGateway {
    pub store: SiteStore,
    pub instance: SiteInstance,
    machine: Machine,
    child: Child,
    started: Value,
    folder: PathBuf,
    _turn: MutexGuard<'static, ()>,
}

impl Drop for TestGateway {
    fn drop(&mut self) {
        // The process may have exited already, and leftovers are in the folder for temporary files.
        drop(self.child.kill());
        drop(self.child.wait());
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

fn configuration() -> Value {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        json!({
            "name": name, "host": HOST, "prefix": prefix, "route_type": kind, "service": "records",
            "timeout_ms": 20_000, "target_latency_ms": 5000, "priority": 1, "max_attempts": attempts,
            "public": false, "resumable": false, "sticky": false,
        })
    };
    json!({
        "version": 1,
        "routes": [route("look", "/look/", "idempotent", 2), route("pay", "/pay/", "non_idempotent", 1)],
        "services": [{"name": "records", "max_connections": 100, "health_path": "/health"}],
        "limits": {"max_header_bytes": HEAD_BYTES, "max_body_bytes": BODY_BYTES,
            "header_timeout_ms": 3000, "idle_timeout_ms": 120_000},
        "tenants": [{"name": "desk", "api_keys": [KEY], "priority": 1}],
    })
}

impl TestGateway {
    /// Starts a gateway on a small machine once no other test runs, and waits until it is ready.
    pub async fn start() -> Self {
        Self::start_on(SMALL_MACHINE).await
    }

    /// The same on another machine.
    pub async fn start_on(machine: Machine) -> Self {
        let gateway = Self::start_unready(machine).await;
        gateway.configure().await;
        gateway
    }

    /// The same with a target that takes as many requests as come.
    pub async fn start_with_large_target(machine: Machine) -> Self {
        let gateway = Self::start_unready(machine).await;
        gateway.put_target(gateway.instance.address());
        let mut config = configuration();
        config["services"][0]["max_connections"] = json!(LARGE_TARGET);
        gateway.configure_with(&config).await;
        gateway
    }

    /// Starts a gateway for which there is no configuration yet.
    pub async fn start_unready(machine: Machine) -> Self {
        let turn = take_turn().await;
        let store = SiteStore::default();
        let store_address = store.serve().expect("store starts");
        let instance = SiteInstance::start(&store, "s0", "z0").expect("instance starts");
        let name = format!("bramleyspring-crowds-{}", store_address.port());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("temporary directory is writable");
        let any = "127.0.0.1:0";
        let settings = json!({
            "node": "n0", "failure_domain": "z0", "store": store_address, "first_start": true,
            "listen": {"requests": any, "readiness": any, "metrics": any, "hints": any, "links": any},
            "bounds": {"stop_grace_s": 8, "repeat_ratio": 0.2, "repeat_window_s": 10, "repeat_extra": 130,
                "load_window_s": 5, "fencing": false, "config_ms": 60_000, "drain_ms": 2000},
            "memory_mb": machine.memory_mb,
        });
        let path = folder.join("n0.json");
        std::fs::write(&path, settings.to_string()).expect("settings file is writable");
        let log = folder.join("n0.log");
        let output = File::create(&log).expect("log file is accessible");
        let child = limited_command(BINARY, machine.descriptors)
            .args(["gateway", "--settings"])
            .arg(&path)
            .stdout(Stdio::from(output))
            .spawn()
            .expect("binary runs");
        let mut gateway = Self {
            store,
            instance,
            machine,
            child,
            started: Value::Null,
            folder,
            _turn: turn,
        };
        gateway.started = gateway.wait_log_line("node_started").await;
        gateway
    }

    fn put_target(&self, address: SocketAddr) {
        let row = json!({
            "service": "records", "address": address.to_string(), "zone": "z0", "version": "v1",
            "slots": LARGE_TARGET, "state": "ready", "cold_remaining_ms": 0, "sequence": 2,
        });
        self.store.put("servers", "s0", row.to_string().as_bytes());
    }

    /// Moves the target to another address, and waits until the gateway has had time to learn of it.
    pub async fn move_target(&self, address: SocketAddr) {
        self.put_target(address);
        tokio::time::sleep(LEARN_TIME).await;
    }

    /// The key of links to the gateway, which its row in the store holds.
    pub async fn link_key(&self) -> String {
        let reading = async {
            loop {
                let row = self.store.value("nodes", "n0").unwrap_or_default();
                let row: Value = serde_json::from_slice(&row).unwrap_or_default();
                if let Some(key) = row["link"]["key"].as_str() {
                    return key.to_owned();
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let read = tokio::time::timeout(EVENT_TIMEOUT, reading).await;
        read.expect("the gateway writes its row")
    }

    /// Publishes the configuration and waits until the gateway is ready.
    pub async fn configure(&self) {
        self.configure_with(&configuration()).await;
    }

    async fn configure_with(&self, config: &Value) {
        let config = config.to_string();
        self.store.put("op", "config", config.as_bytes());
        let ready = async {
            while !self.is_ready().await {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(EVENT_TIMEOUT, ready).await;
        waited.expect("the gateway is ready in time");
    }

    /// Makes the store unreachable.
    pub fn lose_store(&self) {
        self.store.set_mode(StoreMode::Away);
    }

    /// Complete log lines that contain `part`.
    pub fn log_lines(&self, part: &str) -> Vec<Value> {
        let text = std::fs::read_to_string(self.folder.join("n0.log")).expect("log is readable");
        let complete = text.rfind('\n').map_or("", |end| &text[..end]);
        let lines = complete.lines().filter(|line| line.contains(part));
        let lines = lines.map(|line| serde_json::from_str(line).expect("log line is JSON"));
        lines.collect()
    }

    /// Waits for a log line that contains `part`.
    pub async fn wait_log_line(&self, part: &str) -> Value {
        let waiting = async {
            loop {
                if let Some(line) = self.log_lines(part).pop() {
                    return line;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(EVENT_TIMEOUT, waiting).await;
        waited.unwrap_or_else(|_| panic!("no log line with {part}"))
    }

    pub fn address(&self, face: Face) -> SocketAddr {
        let name = match face {
            Face::Requests => "requests",
            Face::Readiness => "readiness",
            Face::Metrics => "metrics",
            Face::Hints => "hints",
            Face::Links => "links",
        };
        let text = self.started[name].as_str().expect("an address");
        text.parse().expect("an address")
    }

    /// Has a crowd send to a face, and holds its connections.
    pub async fn crowd(&self, face: Face, count: usize, bytes: &CrowdBytes) -> Crowd {
        Crowd::gather(self.address(face), count, bytes).await
    }

    /// First line of the response to these bytes, sent on a connection of their own.
    pub async fn first_line(&self, face: Face, bytes: &[u8]) -> Option<String> {
        let responding = async {
            let stream = TcpStream::connect(self.address(face)).await.ok()?;
            first_line(stream, bytes).await
        };
        let responded = tokio::time::timeout(EVENT_TIMEOUT, responding).await;
        responded.ok().flatten()
    }

    /// Whether the readiness address says that the gateway is ready.
    pub async fn is_ready(&self) -> bool {
        let request = b"GET /ready HTTP/1.1\r\nhost: node\r\n\r\n";
        let line = self.first_line(Face::Readiness, request).await;
        line.as_deref() == Some("HTTP/1.1 200 OK")
    }

    /// Sum of a metric over its labels.
    pub async fn metric(&self, name: &str) -> f64 {
        let stream = TcpStream::connect(self.address(Face::Metrics)).await;
        let mut stream = stream.expect("it listens");
        let request = b"GET /metrics HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";
        stream.write_all(request).await.expect("it reads");
        let mut text = String::new();
        let reading = tokio::time::timeout(EVENT_TIMEOUT, stream.read_to_string(&mut text));
        let read = reading.await.expect("a response");
        read.expect("a whole response");
        let lines = text.lines().filter(|line| line.starts_with(name));
        let values = lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok());
        values.sum()
    }

    /// First line of the response to one request.
    pub async fn request(&self) -> Option<String> {
        let head = request_head("GET", "/look/x", "ordinary");
        let request = format!("{head}\r\n");
        self.first_line(Face::Requests, request.as_bytes()).await
    }

    /// First line of the response to an ordinary request, which comes again if it is told to.
    pub async fn ordinary_request(&self) -> Option<String> {
        for _ in 0..MOST_RETURNS {
            let line = self.request().await;
            if line.as_deref() != Some(UNAVAILABLE) {
                return line;
            }
            tokio::time::sleep(RETURN_INTERVAL).await;
        }
        self.request().await
    }

    /// Whether the process lives.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn peak_memory(&self) -> f64 {
        peak_memory(self.child.id())
    }

    pub fn open_descriptors(&self) -> usize {
        open_descriptors(self.child.id())
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        let sent = std::process::Command::new("kill").arg(id).status();
        assert!(sent.is_ok_and(|status| status.success()), "no signal sent");
    }

    /// Waits for the process to end; returns whether it ended well.
    pub async fn ends_well(&mut self) -> bool {
        let ending = async {
            loop {
                if let Ok(Some(status)) = self.child.try_wait() {
                    return status.success();
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(EVENT_TIMEOUT, ending).await == Ok(true)
    }

    /// Waits until the process has given back what it had open for a crowd that has left.
    pub async fn wait_released(&self) {
        // Connections are accepted in turn, so all of the crowd are when this one is answered.
        assert!(self.request().await.is_some(), "no response");
        let releasing = async {
            while self.open_descriptors() > OWN_DESCRIPTORS {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let released = tokio::time::timeout(EVENT_TIMEOUT, releasing).await;
        released.unwrap_or_else(|_| panic!("{} descriptors open", self.open_descriptors()));
    }

    /// Checks that the process lives within its machine's memory and has descriptors left.
    pub fn assert_bounded(&mut self) {
        assert!(self.is_running(), "the process ended");
        let open = self.open_descriptors();
        let memory = self.peak_memory();
        println!("{memory:.1} MB, {open} descriptors");
        let most = self.machine.descriptors - FREE_DESCRIPTORS;
        assert!(open <= most, "{open} descriptors open, bound {most}");
        let bound = self.machine.memory_mb;
        assert!(memory < bound, "{memory} MB used, bound {bound} MB");
    }

    /// Checks what must hold after a crowd has left: the process is within its bounds, says that it is ready and serves.
    pub async fn assert_serves(&mut self) {
        let ordinary = self.ordinary_request().await;
        self.assert_bounded();
        assert_eq!(ordinary.as_deref(), Some("HTTP/1.1 200 OK"));
        assert!(self.is_ready().await, "the readiness check fails");
    }

    /// Checks what must hold while a crowd of `count` connections is held: the process lives within its machine's
    /// memory, has no more descriptors open than the crowd and it need, says that it is ready and serves.
    pub async fn assert_sound(&mut self, count: usize) {
        let most = (count + OWN_DESCRIPTORS).min(self.machine.descriptors - FREE_DESCRIPTORS);
        let open = self.open_descriptors();
        assert!(open <= most, "{open} descriptors open, bound {most}");
        let ordinary = self.ordinary_request().await;
        assert!(self.is_running(), "the process ended");
        let memory = self.peak_memory();
        println!("{memory:.1} MB, {open} descriptors, {ordinary:?}");
        let bound = self.machine.memory_mb;
        assert!(memory < bound, "{memory} MB used, bound {bound} MB");
        let open = self.open_descriptors();
        assert!(open <= most, "{open} descriptors open, bound {most}");
        assert_eq!(ordinary.as_deref(), Some("HTTP/1.1 200 OK"));
        assert!(self.is_ready().await, "the readiness check fails");
    }
}

/// Head of a request with a key, without the empty line at its end.
pub fn request_head(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-credential: {KEY}\r\n\
         x-deadline-ms: 20000\r\n"
    )
}
