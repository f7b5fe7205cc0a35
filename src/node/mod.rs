//! Wiring of one node, a module for each part.

mod control;
mod entry;
mod peers;

use std::sync::Arc;
use std::time::Duration;

use ::control::{ConfigView, TargetView};
use events::{EventCode, EventRecorder, EventSubject};
use platform::http::{HttpHostList, HttpObjects, HttpTable, ServiceEndpoint};
use target::{HttpEngine, HttpService};
use tokio::sync::watch;
use web::WebClient;

use crate::settings::NodeSettings;

/// Longest wait for an answer of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Events that the node keeps for the time line.
const EVENT_CAPACITY: usize = 20_000;

/// What the parts of a node share.
struct NodeContext {
    settings: NodeSettings,
    table: HttpTable,
    objects: HttpObjects,
    list: HttpHostList,
    engine: HttpEngine,
    service: HttpService,
    recorder: EventRecorder,
    config_sender: watch::Sender<Arc<ConfigView>>,
    target_sender: watch::Sender<Arc<TargetView>>,
}

impl NodeContext {
    fn new(settings: NodeSettings) -> Self {
        let client = WebClient::default();
        let endpoint = |address| ServiceEndpoint::new(client.clone(), address, PLATFORM_TIMEOUT);
        Self {
            table: HttpTable::new(endpoint(settings.platform.table)),
            objects: HttpObjects::new(endpoint(settings.platform.objects)),
            list: HttpHostList::new(endpoint(settings.platform.hostlist)),
            engine: HttpEngine::new(client.clone()),
            service: HttpService::new(client),
            recorder: EventRecorder::new(settings.node.clone(), EVENT_CAPACITY),
            config_sender: watch::Sender::new(Arc::new(ConfigView::default())),
            target_sender: watch::Sender::new(Arc::new(TargetView::default())),
            settings,
        }
    }
}

/// Serves until the process is told to stop.
///
/// # Errors
///
/// When an address can't be bound.
pub async fn serve(settings: NodeSettings) -> eyre::Result<()> {
    let context = NodeContext::new(settings);
    let peers = peers::bind(&context).await?;
    control::start(&context);
    let peers = peers.start(&context)?;
    let running = entry::bind(&context).await?;
    let address = running.address;
    context.recorder.note(
        EventCode::NodeStarted,
        EventSubject::default(),
        address.to_string(),
    );
    println!("{} listens on {address}", context.settings.node);
    running.serve(stop_signal()).await;
    peers.leave().await;
    Ok(())
}

async fn stop_signal() {
    let _ = tokio::signal::ctrl_c().await;
}
