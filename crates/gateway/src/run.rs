//! Startup and shutdown of a gateway.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use events::{EventCode, EventLevel, LogLine, LogSink};
use eyre::WrapErr;
use http::StatusCode;
use serving::ShutdownPlan;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use wire::feed::{FeedLane, FeedTable};

use crate::accept::ListenFace;
use crate::boot_clock::BootClock;
use crate::feed::FeedIntake;
use crate::hint_channel::HintChannel;
use crate::hints::receive_hints;
use crate::metrics::GatewayMetrics;
use crate::node::GatewayNode;
use crate::retry_leases::hold_retry_leases;
use crate::settings::GatewaySettings;
use crate::status::serve_status;
use crate::{crash, feed, heartbeat, listen, load_batches, probe, reconcile, restore, tunnel};

/// Interval for checking whether a process that is shutting down may exit.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for the log writer to flush the last lines.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(20);

/// Interval between closing expired idle connections to targets.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a gateway on the current thread until SIGTERM.
///
/// # Errors
///
/// Invalid settings, or an address that can't be bound.
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
    let sink = LogSink::to_stdout(settings.node.as_str(), EventLevel::Info);
    let requests = listen::bind_tcp(listen.requests).await?;
    let readiness = listen::bind_tcp(listen.readiness).await?;
    let metrics = listen::bind_tcp(listen.metrics).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let hints = match listen.hints {
        Some(address) => Some(listen::bind_udp(address).await?),
        None => None,
    };
    let hints = HintChannel::new(hints);
    let clock = BootClock::start()
        .wrap_err("the system has no clock that goes on while the host is suspended")?;
    let node = GatewayNode::new(settings, sink, GatewayMetrics::new()?, hints, clock);
    let node = Rc::new(node);
    let links = match listen.links {
        Some(address) => Some(listen::bind_tcp(address).await?),
        None => None,
    };
    let link_address = match &links {
        Some(listener) => Some(listener.local_addr()?),
        None => None,
    };
    if let Some(address) = link_address {
        node.feed.set_address(address);
    }
    let hint_address = node.hints.address().map(|address| address.to_string());
    node.log(
        &LogLine::new(EventCode::NodeStarted)
            .text("version", env!("CARGO_PKG_VERSION"))
            .text("requests", &requests.local_addr()?.to_string())
            .text("readiness", &readiness.local_addr()?.to_string())
            .text("metrics", &metrics.local_addr()?.to_string())
            .text("hints", hint_address.as_deref().unwrap_or("none"))
            .text(
                "links",
                link_address
                    .map(|address| address.to_string())
                    .as_deref()
                    .unwrap_or("none"),
            ),
    );
    let holder = format!("{}@{}", node.settings.node, requests.local_addr()?);
    node.lease_holder.replace(holder);
    spawn_local(listen::serve_clients(Rc::clone(&node), requests));
    spawn_local(hold_retry_leases(Rc::clone(&node)));
    spawn_status_listeners(&node, readiness, metrics);
    spawn_feed(&node, links);
    spawn_local(restore::watch_eras(Rc::clone(&node)));
    spawn_local(heartbeat::run_heartbeats(Rc::clone(&node)));
    spawn_local(receive_hints(Rc::clone(&node)));
    spawn_local(load_batches::pass_on_loads(Rc::clone(&node)));
    spawn_local(crash::watch_evidence(Rc::clone(&node)));
    spawn_local(crash::share_evidence(Rc::clone(&node)));
    spawn_local(reconcile::reconcile_replicas(Rc::clone(&node)));
    spawn_local(probe::watch_for_stalls(Rc::clone(&node)));
    spawn_local(probe::probe_suspects(Rc::clone(&node)));
    spawn_local(probe::probe_all_unlisted(Rc::clone(&node)));
    spawn_local(tunnel::check_lost_paths(Rc::clone(&node)));
    spawn_local(tunnel::confirm_doubts(Rc::clone(&node)));
    spawn_local(run_housekeeping(Rc::clone(&node)));
    spawn_local(reread_settings(Rc::clone(&node), hangup, path.to_owned()));
    terminate.recv().await;
    shut_down(&node).await;
    Ok(())
}

fn spawn_feed(node: &Rc<GatewayNode>, links: Option<tokio::net::TcpListener>) {
    let intake = Rc::new(FeedIntake::new(Rc::clone(node)));
    for table in [FeedTable::Config, FeedTable::Registry] {
        spawn_local(feed::read_directly(Rc::clone(&intake), table));
    }
    if let Some(listener) = links {
        spawn_local(feed::serve_links(Rc::clone(node), listener));
        for lane in FeedLane::ALL {
            spawn_local(feed::follow_sources(Rc::clone(&intake), lane));
        }
    }
}

fn spawn_status_listeners(
    node: &Rc<GatewayNode>,
    readiness: tokio::net::TcpListener,
    metrics: tokio::net::TcpListener,
) {
    let ready_node = Rc::clone(node);
    let face = ListenFace::Readiness;
    spawn_local(serve_status(Rc::clone(node), readiness, face, move || {
        if ready_node.is_ready() {
            (StatusCode::OK, String::new())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, String::new())
        }
    }));
    let metrics_node = Rc::clone(node);
    let face = ListenFace::Metrics;
    spawn_local(serve_status(
        Rc::clone(node),
        metrics,
        face,
        move || match metrics_node.metrics_text() {
            Ok(text) => (StatusCode::OK, text),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        },
    ));
}

/// Closes expired idle connections, reports dropped log lines and adds up the time that hosts and
/// replicas were not serving; never returns.
async fn run_housekeeping(node: Rc<GatewayNode>) {
    let mut reported = 0;
    loop {
        let started_at = node.now();
        tokio::time::sleep(SWEEP_INTERVAL).await;
        node.pool.evict_expired();
        node.forget_old_statements();
        // Requests at targets that are gone end without being counted.
        node.record_drained_domains();
        node.forget_warm_targets();
        node.crashes.expire(node.evidence_time());
        node.forget_old_sends();
        let elapsed = node.now().saturating_sub(started_at);
        let stats = node.stats();
        if stats.dropped_lines > reported {
            let line = LogLine::new(EventCode::LinesDropped)
                .number("lines", stats.dropped_lines - reported);
            reported = stats.dropped_lines;
            node.log(&line);
        }
        let total_time = |count: usize| elapsed * u32::try_from(count).unwrap_or(u32::MAX);
        node.metrics.add_lost_time(
            total_time(stats.stranded_hosts),
            total_time(stats.idle_replicas),
        );
    }
}

/// Validates the settings file on SIGHUP. Changes take effect at the next start, because addresses
/// and names are fixed for the life of a process; an invalid file is reported immediately.
async fn reread_settings(node: Rc<GatewayNode>, mut hangup: Signal, path: std::path::PathBuf) {
    while hangup.recv().await.is_some() {
        let outcome = match GatewaySettings::load(&path) {
            Ok(_) => "usable".to_owned(),
            Err(error) => format!("{error:#}"),
        };
        node.log(&LogLine::new(EventCode::SettingsReread).text("outcome", &outcome));
    }
}

/// Shuts down gracefully: the node reports itself as not ready immediately, but serves until the
/// load balancer and clients have noticed and requests have finished, or the grace period is over.
async fn shut_down(node: &GatewayNode) {
    let plan = node.begin_shutdown();
    node.log(&shutdown_line(node, "begun"));
    wait_until_drained(node, plan).await;
    // A client that connects between the last check and the exit would have its request executed
    // without a response. Closing the listener sends such clients elsewhere; those that connected
    // just before are still served.
    node.stop_accepting();
    tokio::task::yield_now().await;
    wait_until_drained(node, plan).await;
    node.give_up_requests();
    while node.running_requests() > 0 && node.now() < plan.exit() {
        drop(tokio::time::timeout(LOG_FLUSH_TIME, node.activity_ended.notified()).await);
    }
    node.log(&shutdown_line(node, "done"));
    tokio::time::sleep(LOG_FLUSH_TIME).await;
}

async fn wait_until_drained(node: &GatewayNode, plan: ShutdownPlan) {
    loop {
        let idle = node.running_requests() == 0
            && node.open_connections() == 0
            && node.tunnels.served() == 0;
        if plan.is_over(node.now(), idle) {
            return;
        }
        drop(tokio::time::timeout(SHUTDOWN_CHECK_INTERVAL, node.activity_ended.notified()).await);
    }
}

fn shutdown_line(node: &GatewayNode, phase: &str) -> LogLine {
    let count = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
    LogLine::new(EventCode::NodeStopping)
        .text("phase", phase)
        .number("requests", count(node.running_requests()))
        .number("connections", count(node.open_connections()))
}
