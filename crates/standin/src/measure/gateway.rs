//! Cost of a gateway compared with a plain relay: CPU time per request and event, memory per open
//! stream.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{OptionExt, WrapErr};
use futures::future::try_join_all;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::json;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::task::JoinHandle;
use web::HttpConnection;

use super::RoundSpread;
use super::process::{cpu_seconds, resident_kib};
use crate::site::{SiteEngine, SiteGroups, SiteInstance, SiteStore};

/// Concurrent callers of plain calls, below the capacity of one instance, and of streams.
const PLAIN_CALLERS: usize = 8;
const STREAM_CALLERS: usize = 200;

/// Number of open streams at which memory is read.
const OPEN_STREAMS: usize = 300;

/// Events of a stream, and of a stream that must stay open during a reading.
const EVENTS: usize = 30;
const OPEN_EVENTS: usize = 10_000;

/// Duration of one round.
const ROUND_DURATION: Duration = Duration::from_secs(4);

/// Timeout for a connection on loopback, for the start of a process and for a replica to serve.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// An in-process platform with one replica and one service instance.
struct BenchmarkSite {
    store: SiteStore,
    groups: SiteGroups,
    engines: Vec<SiteEngine>,
    instance: SiteInstance,
}

/// A gateway or relay in a process of its own; it is killed on drop.
struct ForwarderProcess {
    child: Child,
    address: SocketAddr,
}

impl Drop for ForwarderProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Results of one forwarder: microseconds of CPU time per unit, and KiB per stream.
#[derive(Debug, Default)]
struct ForwardCost {
    plain_us: Vec<f64>,
    event_us: Vec<f64>,
    stream_kib: f64,
}

/// Runs the measurements and prints the results.
///
/// # Errors
///
/// Returns an error if a process does not start, a call fails or `/proc` can't be read.
pub async fn run(binary: &Path, rounds: usize) -> eyre::Result<()> {
    let site = BenchmarkSite::start()?;
    let gateway = site.gateway(binary).await?;
    let head = site.head()?;
    let plain_relay = site.relay(site.instance.address()).await?;
    let stream_relay = site.relay(head).await?;
    site.groups.set_events(OPEN_EVENTS);
    let mut costs = [ForwardCost::default(), ForwardCost::default()];
    // Memory is measured first, because later rounds reuse memory that earlier ones have freed.
    costs[0].stream_kib = measure_memory(&gateway).await?;
    costs[1].stream_kib = measure_memory(&stream_relay).await?;
    site.groups.set_events(EVENTS);
    for _ in 0..rounds {
        for (cost, plain, stream) in [(0, &gateway, &gateway), (1, &plain_relay, &stream_relay)] {
            costs[cost].plain_us.push(measure_plain(plain).await?);
            costs[cost].event_us.push(measure_events(stream).await?);
        }
    }
    println!("a gateway compared with a plain relay, {rounds} rounds of {ROUND_DURATION:?};");
    println!("median round (lowest to highest)");
    for (name, cost) in ["gateway", "relay"].iter().zip(&costs) {
        println!("  {name}:");
        println!(
            "    us per plain request: {:.0}",
            RoundSpread::of(&cost.plain_us)
        );
        println!("    us per event: {:.1}", RoundSpread::of(&cost.event_us));
        println!(
            "    KiB per stream at {OPEN_STREAMS} open: {:.1}",
            cost.stream_kib
        );
    }
    println!(
        "  memory of the gateway at the end: {:.0} KiB",
        resident_kib(gateway.child.id())?
    );
    Ok(())
}

impl BenchmarkSite {
    fn start() -> eyre::Result<Self> {
        let store = SiteStore::default();
        let groups = SiteGroups::new(&store);
        let instance = SiteInstance::start(&store, "s0", "z0")?;
        let mut engines = Vec::new();
        for index in 0..2 {
            engines.push(groups.start(&format!("e{index}"), "f0", "z0")?);
        }
        store.put("op", "config", configuration().to_string().as_bytes());
        Ok(Self {
            store,
            groups,
            engines,
            instance,
        })
    }

    /// Returns the address of the replica's head.
    fn head(&self) -> eyre::Result<SocketAddr> {
        let serving = self.groups.serving();
        let head = serving.first().and_then(|members| members.first());
        let head = head.ok_or_eyre("no replica is serving")?;
        let engine = self.engines.iter().find(|engine| engine.id == *head);
        Ok(engine
            .ok_or_eyre("the head is not among the engines")?
            .address())
    }

    async fn gateway(&self, binary: &Path) -> eyre::Result<ForwarderProcess> {
        let any_port = "127.0.0.1:0";
        let settings = json!({
            "node": "measured", "failure_domain": "z0", "store": self.store.serve()?,
            "first_start": true,
            "listen": {"requests": any_port, "readiness": any_port, "metrics": any_port},
            "bounds": {"stop_grace_s": 8, "repeat_ratio": 0.2, "repeat_window_s": 10,
                "repeat_extra": 130, "load_window_s": 5, "fencing": false,
                "config_ms": 2000, "drain_ms": 2000},
        });
        let file = std::env::temp_dir().join(format!("measured-{}.json", std::process::id()));
        std::fs::write(&file, settings.to_string())?;
        let mut command = Command::new(binary);
        command.args(["gateway", "--settings"]).arg(&file);
        let (forwarder, line) = start(command).await?;
        std::fs::remove_file(&file)?;
        let line: serde_json::Value = serde_json::from_str(&line)?;
        let address = line["requests"]
            .as_str()
            .ok_or_eyre("no address in the first line")?;
        let waiting = async {
            while self.groups.serving().is_empty() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            // The registry lists the replica shortly after it starts serving.
            tokio::time::sleep(Duration::from_secs(1)).await;
        };
        tokio::time::timeout(WAIT_TIMEOUT, waiting)
            .await
            .wrap_err("no replica started serving in time")?;
        Ok(ForwarderProcess {
            child: forwarder,
            address: address.parse()?,
        })
    }

    async fn relay(&self, server: SocketAddr) -> eyre::Result<ForwarderProcess> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["relay", "--to", &server.to_string()]);
        let (child, line) = start(command).await?;
        let address = line.trim().rsplit(' ').next().unwrap_or_default();
        Ok(ForwarderProcess {
            child,
            address: address.parse()?,
        })
    }
}

/// Starts a process and returns the first line of its output; the remaining lines are discarded.
async fn start(mut command: Command) -> eyre::Result<(Child, String)> {
    let mut child = command.stdout(Stdio::piped()).spawn()?;
    let output = child
        .stdout
        .take()
        .ok_or_eyre("standard output is not piped")?;
    let output = tokio::process::ChildStdout::from_std(output)?;
    let mut lines = BufReader::new(output).lines();
    let line = tokio::time::timeout(WAIT_TIMEOUT, lines.next_line())
        .await
        .wrap_err("the process did not print its address in time")??
        .ok_or_eyre("the process printed nothing")?;
    tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
    Ok((child, line))
}

fn configuration() -> serde_json::Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "desk.example", "prefix": prefix, "route_type": kind,
            "service": service, "timeout_ms": 600_000, "target_latency_ms": 300, "priority": 1,
            "max_attempts": 2, "public": true, "resumable": kind == "streaming",
        })
    };
    json!({
        "version": 1,
        "routes": [
            route("chat", "/chat/", "streaming", "assistant"),
            route("look", "/look/", "idempotent", "records"),
        ],
        "services": [
            {"name": "assistant", "max_connections": 4000, "engine": {
                "slots": 1000, "step_ms": 6.0, "per_seq_ms": 0.2, "read_per_s": 46000.0,
                "usual": {"prompt": 1000.0, "answer": 100.0}, "loads_per_s": 50.0,
                "models": [{"name": "helper", "size": 2, "share": 1.0, "pace": 1.0, "load_s": 1.0}],
            }},
            {"name": "records", "max_connections": 4000},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4096,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [],
    })
}

async fn send_request(
    connection: &mut HttpConnection,
    path: &str,
    id: &str,
) -> eyre::Result<Response<Incoming>> {
    let request = Request::post(path)
        .header("host", "desk.example")
        .header("x-request-id", id)
        .header("x-deadline-ms", "600000")
        .header("x-model", "helper")
        .header("x-token-usage", "100,60")
        .body(Full::new(Bytes::from_static(b"{}")))?;
    let response = connection.send(request).await?;
    eyre::ensure!(
        response.status().is_success(),
        "unexpected status {}",
        response.status()
    );
    Ok(response)
}

/// Reads a response to its end and returns the number of events.
async fn read_events(response: Response<Incoming>) -> eyre::Result<u32> {
    let mut body = response.into_body();
    let mut events = 0;
    while let Some(frame) = body.frame().await {
        let data = frame?.into_data().unwrap_or_default();
        let ends = data.windows(2).filter(|pair| *pair == b"\n\n").count();
        events += u32::try_from(ends)?;
    }
    Ok(events)
}

/// Returns the microseconds of the forwarder's CPU time per unit of work that `caller` reports.
async fn measure<F, C>(forwarder: &ForwarderProcess, callers: usize, caller: C) -> eyre::Result<f64>
where
    F: Future<Output = eyre::Result<u32>>,
    C: Fn(usize, Instant) -> F,
{
    let before = cpu_seconds(forwarder.child.id())?;
    let end = Instant::now() + ROUND_DURATION;
    let units = try_join_all((0..callers).map(|number| caller(number, end))).await?;
    let spent = cpu_seconds(forwarder.child.id())? - before;
    let units: u32 = units.into_iter().sum();
    Ok(spent * 1e6 / f64::from(units.max(1)))
}

async fn measure_plain(forwarder: &ForwarderProcess) -> eyre::Result<f64> {
    let address = forwarder.address;
    measure(forwarder, PLAIN_CALLERS, |number, end| async move {
        let mut connection = HttpConnection::connect(address, WAIT_TIMEOUT).await?;
        let mut calls = 0;
        while Instant::now() < end {
            let response =
                send_request(&mut connection, "/look/x", &format!("p{number}-{calls}")).await?;
            response.into_body().collect().await?;
            calls += 1;
        }
        Ok(calls)
    })
    .await
}

async fn measure_events(forwarder: &ForwarderProcess) -> eyre::Result<f64> {
    let address = forwarder.address;
    measure(forwarder, STREAM_CALLERS, |number, end| async move {
        let mut connection = HttpConnection::connect(address, WAIT_TIMEOUT).await?;
        let mut events = 0;
        while Instant::now() < end {
            let response =
                send_request(&mut connection, "/chat/x", &format!("e{number}-{events}")).await?;
            events += read_events(response).await?;
        }
        Ok(events)
    })
    .await
}

/// Returns the KiB of resident memory per stream that the forwarder holds open.
async fn measure_memory(forwarder: &ForwarderProcess) -> eyre::Result<f64> {
    let before = resident_kib(forwarder.child.id())?;
    let mut open: Vec<JoinHandle<()>> = Vec::new();
    for number in 0..OPEN_STREAMS {
        let mut connection = HttpConnection::connect(forwarder.address, WAIT_TIMEOUT).await?;
        let response = send_request(&mut connection, "/chat/x", &format!("m{number}")).await?;
        open.push(tokio::spawn(async move {
            // The connection must outlive the reading of its response.
            let _connection = connection;
            drop(read_events(response).await);
        }));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let after = resident_kib(forwarder.child.id())?;
    for task in open {
        task.abort();
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    Ok((after - before) / f64::from(u32::try_from(OPEN_STREAMS)?))
}
