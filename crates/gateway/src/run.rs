//! Starting and stopping a gateway.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use events::{EventCode, EventLevel, EventLine, LineSink};
use http::StatusCode;
use serving::ShutdownPlan;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

use crate::hints::{HintChannel, receive_hints};
use crate::metrics::GatewayMetrics;
use crate::node::GatewayNode;
use crate::settings::GatewaySettings;
use crate::{care, crash_records, heartbeat, listen, probe, watch};

/// Pause between two looks at whether a stopping process may end.
const STOP_PAUSE: Duration = Duration::from_millis(50);

/// Time for the log's writer after the last line.
const LAST_LINES: Duration = Duration::from_millis(20);

/// Pause between two sweeps of idle connections to targets.
const SWEEP_PAUSE: Duration = Duration::from_secs(1);

/// Runs a gateway until SIGTERM, on the current thread.
///
/// # Errors
///
/// Settings that can't be used, or an address that can't be listened on.
pub fn run_gateway(path: &Path) -> eyre::Result<()> {
    let settings = GatewaySettings::load(path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    runtime.block_on(local.run_until(serve(settings, path)))
}

async fn serve(settings: GatewaySettings, path: &Path) -> eyre::Result<()> {
    let listen = settings.listen;
    let sink = LineSink::to_stdout(settings.node.as_str(), EventLevel::Info);
    let callers = listen::bind_tcp(listen.requests).await?;
    let readiness = listen::bind_tcp(listen.readiness).await?;
    let metrics = listen::bind_tcp(listen.metrics).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let hints = match listen.hints {
        Some(address) => Some(listen::bind_udp(address).await?),
        None => None,
    };
    let hints = HintChannel::new(hints);
    let node = GatewayNode::new(settings, sink, GatewayMetrics::new()?, hints);
    let node = Rc::new(node);
    let told = node.hints.address().map(|address| address.to_string());
    node.log(
        &EventLine::new(EventCode::NodeStarted)
            .text("version", env!("CARGO_PKG_VERSION"))
            .text("requests", &callers.local_addr()?.to_string())
            .text("readiness", &readiness.local_addr()?.to_string())
            .text("metrics", &metrics.local_addr()?.to_string())
            .text("hints", told.as_deref().unwrap_or("none")),
    );
    spawn_local(listen::serve_clients(Rc::clone(&node), callers));
    spawn_status_listeners(&node, readiness, metrics);
    spawn_local(watch::follow_config(Rc::clone(&node)));
    spawn_local(watch::follow_registry(Rc::clone(&node)));
    spawn_local(receive_hints(Rc::clone(&node)));
    spawn_local(heartbeat::run_heartbeats(Rc::clone(&node)));
    spawn_local(crash_records::watch_crash_records(Rc::clone(&node)));
    spawn_local(care::care_for_replicas(Rc::clone(&node)));
    spawn_local(probe::watch_replicas(Rc::clone(&node)));
    spawn_local(probe::ask_suspects(Rc::clone(&node)));
    spawn_local(probe::ask_unlisted(Rc::clone(&node)));
    spawn_local(sweep(Rc::clone(&node)));
    spawn_local(reread_settings(Rc::clone(&node), hangup, path.to_owned()));
    terminate.recv().await;
    stop(&node).await;
    Ok(())
}

fn spawn_status_listeners(
    node: &Rc<GatewayNode>,
    readiness: tokio::net::TcpListener,
    metrics: tokio::net::TcpListener,
) {
    let asked = Rc::clone(node);
    spawn_local(listen::serve_status(readiness, move || {
        if asked.is_ready() {
            (StatusCode::OK, String::new())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, String::new())
        }
    }));
    let measured = Rc::clone(node);
    spawn_local(listen::serve_status(metrics, move || {
        match measured.metrics_text() {
            Ok(text) => (StatusCode::OK, text),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }));
}

/// Closes old idle connections and adds up what stood idle meanwhile.
async fn sweep(node: Rc<GatewayNode>) {
    let mut said = 0;
    loop {
        let began = node.now();
        tokio::time::sleep(SWEEP_PAUSE).await;
        node.pool.evict_expired();
        let passed = node.now().saturating_sub(began);
        let stats = node.stats();
        if stats.dropped_lines > said {
            let line =
                EventLine::new(EventCode::LinesDropped).number("lines", stats.dropped_lines - said);
            said = stats.dropped_lines;
            node.log(&line);
        }
        let times = |count: usize| passed * u32::try_from(count).unwrap_or(u32::MAX);
        node.metrics
            .add_lost_time(times(stats.stranded_hosts), times(stats.idle_replicas));
    }
}

/// Reads the settings again at SIGHUP. Addresses and names hold for the life of a process, so a
/// file that differs takes effect at the next start; one that can't be read is reported now.
async fn reread_settings(node: Rc<GatewayNode>, mut hangup: Signal, path: std::path::PathBuf) {
    while hangup.recv().await.is_some() {
        let outcome = match GatewaySettings::load(&path) {
            Ok(_) => "usable".to_owned(),
            Err(error) => format!("{error:#}"),
        };
        node.log(&EventLine::new(EventCode::SettingsReread).text("outcome", &outcome));
    }
}

/// Stops: no longer ready at once, but serving on until callers have learned it and what runs has
/// ended, or the grace time is over.
async fn stop(node: &GatewayNode) {
    let plan = node.stop();
    node.log(&stop_line(node, "begun"));
    wait_until_over(node, plan).await;
    // A caller that connects between the last look and the end of the process would have its
    // request run and see no answer. With the listener closed it connects elsewhere, and whoever came
    // in just before is still served.
    node.stop_accepting();
    tokio::task::yield_now().await;
    wait_until_over(node, plan).await;
    node.log(&stop_line(node, "done"));
    // The writer's thread gets a moment for the last lines.
    tokio::time::sleep(LAST_LINES).await;
}

async fn wait_until_over(node: &GatewayNode, plan: ShutdownPlan) {
    loop {
        let idle = node.running() == 0 && node.connections() == 0;
        if plan.is_over(node.now(), idle) {
            return;
        }
        drop(tokio::time::timeout(STOP_PAUSE, node.ended.notified()).await);
    }
}

fn stop_line(node: &GatewayNode, phase: &str) -> EventLine {
    let count = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
    EventLine::new(EventCode::NodeStopping)
        .text("phase", phase)
        .number("requests", count(node.running()))
        .number("connections", count(node.connections()))
}
