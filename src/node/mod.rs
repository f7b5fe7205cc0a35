//! Wiring of one node, a module for each part.

mod admin;
mod control;
mod entry;
mod peers;
mod report;

use std::sync::Arc;
use std::time::SystemTime;

use ::control::{ConfigView, ControlSettings, EvidenceStore, TargetView};
use domain::NodeId;
use events::logs::init_logging;
use events::{EventCode, EventRecorder, EventSubject, NodeMetrics};
use platform::BudgetedTable;
use platform::http::{HttpHostList, HttpObjects, HttpTable, ServiceEndpoint};
use settings::NodeSettings;
use target::{HttpEngineClient, HttpServiceClient};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{oneshot, watch};
use web::WebClient;

/// Exit status after a second signal, as shells give it for an interrupted process.
const SECOND_SIGNAL_STATUS: i32 = 130;

/// The table within the node's share of its limits.
type NodeTable = BudgetedTable<HttpTable>;

/// What the parts of a node share.
struct NodeContext {
    settings: NodeSettings,
    control: ControlSettings,
    evidence_store: EvidenceStore,
    table: NodeTable,
    objects: HttpObjects,
    list: HttpHostList,
    engine: HttpEngineClient,
    service: HttpServiceClient,
    recorder: EventRecorder,
    metrics: NodeMetrics,
    config_sender: watch::Sender<Arc<ConfigView>>,
    target_sender: watch::Sender<Arc<TargetView>>,
}

impl NodeContext {
    fn new(settings: NodeSettings) -> eyre::Result<Self> {
        let client = WebClient::default();
        let timeout = settings.platform.timeout();
        let endpoint = |address| ServiceEndpoint::new(client.clone(), address, timeout);
        let metrics = NodeMetrics::new()?;
        let capacity = settings.log.events;
        Ok(Self {
            table: BudgetedTable::new(
                HttpTable::new(endpoint(settings.platform.table)),
                settings.budget,
            ),
            objects: HttpObjects::new(endpoint(settings.platform.objects)),
            list: HttpHostList::new(endpoint(settings.platform.hostlist)),
            engine: HttpEngineClient::new(client.clone()),
            service: HttpServiceClient::new(client),
            recorder: EventRecorder::with_metrics(settings.node.clone(), capacity, metrics.clone()),
            metrics,
            config_sender: watch::Sender::new(Arc::new(ConfigView::default())),
            target_sender: watch::Sender::new(Arc::new(TargetView::default())),
            control: settings.control_settings(),
            evidence_store: EvidenceStore::default(),
            settings,
        })
    }
}

/// Serves until the process is told to stop.
///
/// # Errors
///
/// When an address can't be bound.
pub async fn serve(mut settings: NodeSettings) -> eyre::Result<()> {
    init_logging(settings.log.level);
    settings.node = renewed_id(&settings.node)?;
    let context = NodeContext::new(settings)?;
    let admin = admin::bind(&context).await?;
    let peers = peers::bind(&context, admin.as_ref().map(|admin| admin.address)).await?;
    let tasks = control::start(&context, &peers.members());
    let peers = peers.start(&context)?;
    let running = entry::bind(&context, peers.membership().watch()).await?;
    let address = running.address;
    context.recorder.record(
        EventCode::NodeStarted,
        EventSubject::default(),
        address.to_string(),
    );
    println!("{} listens on {address}", context.settings.node);
    if let Some(admin) = &admin {
        println!(
            "{} admin listens on {}",
            context.settings.node, admin.address
        );
    }
    admin::start(&context, &peers, &tasks, running.dispatcher(), admin)?;
    let recorder = context.recorder.clone();
    let (released, release) = oneshot::channel();
    let stop = async move {
        stop_signal().await;
        recorder.record(EventCode::NodeStopping, EventSubject::default(), "");
        // Others take the leases over while this node still finishes its streams.
        let _ = released.send(tokio::spawn(tasks.release()));
    };
    running.serve(stop).await;
    if let Ok(release) = release.await {
        let _ = release.await;
    }
    peers.leave().await;
    Ok(())
}

/// An id that no earlier process of this host had.
///
/// Under the old id, peers would take the new process's heartbeats for late ones of the old, and a
/// lease that the old process held would look like the new one's own.
fn renewed_id(name: &NodeId) -> eyre::Result<NodeId> {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
    Ok(format!("{name}.{:x}", since_epoch.as_millis()).parse()?)
}

/// Completes at the first signal to stop; a second one ends the process at once.
async fn stop_signal() {
    next_signal().await;
    tokio::spawn(async {
        next_signal().await;
        std::process::exit(SECOND_SIGNAL_STATUS);
    });
}

async fn next_signal() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        let _ = tokio::signal::ctrl_c().await;
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
