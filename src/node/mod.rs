//! Startup and shutdown of an entry node.

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

/// Exit status after a second signal; shells use it for a process interrupted by SIGINT.
const SECOND_SIGNAL_STATUS: i32 = 130;

/// The table, limited to the node's share of its rate limits.
type NodeTable = BudgetedTable<HttpTable>;

/// Dependencies shared by the components of a node.
struct NodeContext {
    settings: NodeSettings,
    control: ControlSettings,
    evidence_store: EvidenceStore,
    table: NodeTable,
    objects: HttpObjects,
    host_list: HttpHostList,
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
            host_list: HttpHostList::new(endpoint(settings.platform.hostlist)),
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

/// Runs an entry node until a signal stops it.
///
/// # Errors
///
/// When an address can't be bound, or a key or the certificate can't be loaded.
pub async fn serve(mut settings: NodeSettings) -> eyre::Result<()> {
    init_logging(settings.log.level);
    settings.node = unique_node_id(&settings.node)?;
    let context = NodeContext::new(settings)?;
    let admin = admin::bind(&context).await?;
    let peers = peers::bind(&context, admin.as_ref().map(|admin| admin.address)).await?;
    let tasks = control::start(&context, &peers.members());
    let peers = peers.start(&context)?;
    let entry = entry::bind(&context, peers.membership().watch()).await?;
    let address = entry.address;
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
    admin::start(&context, &peers, &tasks, entry.dispatcher(), admin)?;
    let recorder = context.recorder.clone();
    let (release_sender, release_receiver) = oneshot::channel();
    let stop = async move {
        shutdown_signal().await;
        recorder.record(EventCode::NodeStopping, EventSubject::default(), "");
        // Other nodes can acquire the leases while this node still finishes its streams.
        let _ = release_sender.send(tokio::spawn(tasks.release()));
    };
    entry.serve(stop).await;
    if let Ok(release) = release_receiver.await {
        let _ = release.await;
    }
    peers.leave().await;
    Ok(())
}

/// Returns a node id that no earlier process on this host had.
///
/// With the same id, peers would mistake the new process's heartbeats for delayed ones of the old
/// process, and a lease that the old process held would appear to belong to the new one.
fn unique_node_id(name: &NodeId) -> eyre::Result<NodeId> {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
    Ok(format!("{name}.{:x}", since_epoch.as_millis()).parse()?)
}

/// Completes at the first SIGTERM or SIGINT; a second one ends the process at once.
async fn shutdown_signal() {
    wait_for_signal().await;
    tokio::spawn(async {
        wait_for_signal().await;
        std::process::exit(SECOND_SIGNAL_STATUS);
    });
}

async fn wait_for_signal() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        let _ = tokio::signal::ctrl_c().await;
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
