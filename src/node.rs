//! Wiring of one node: the tasks of control and the callers' listener.

use std::sync::Arc;
use std::time::Duration;

use control::assembly::assemble_round;
use control::config::follow_config;
use control::fleet::follow_fleet;
use control::{CallLedger, ConfigView, TargetView};
use domain::LeaseEpoch;
use entry::{EntryParts, EntryServer};
use events::{EventCode, EventRecorder, EventSubject};
use eyre::WrapErr;
use platform::http::{HttpHostList, HttpTable, ServiceEndpoint};
use target::{HttpEngine, HttpService};
use tokio::net::TcpListener;
use tokio::sync::watch;
use web::{WebClient, serve_listener};

use crate::settings::NodeSettings;

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
const CONFIG_PERIOD: Duration = Duration::from_millis(500);
const FLEET_PERIOD: Duration = Duration::from_millis(500);
const ASSEMBLY_PERIOD: Duration = Duration::from_millis(500);
const EVENT_CAPACITY: usize = 20_000;

/// Serves until the process is interrupted.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn serve(settings: &NodeSettings) -> eyre::Result<()> {
    let client = WebClient::default();
    let endpoint = |address| ServiceEndpoint::new(client.clone(), address, PLATFORM_TIMEOUT);
    let table = HttpTable::new(endpoint(settings.platform.table));
    let list = HttpHostList::new(endpoint(settings.platform.hostlist));
    let engine = HttpEngine::new(client.clone());
    let recorder = EventRecorder::new(settings.node.clone(), EVENT_CAPACITY);
    let (config_sender, config) = watch::channel(Arc::new(ConfigView::default()));
    let (target_sender, targets) = watch::channel(Arc::new(TargetView::default()));
    tokio::spawn(follow_config(table.clone(), config_sender, CONFIG_PERIOD));
    tokio::spawn(follow_fleet(
        table.clone(),
        list.clone(),
        engine.clone(),
        target_sender,
        FLEET_PERIOD,
    ));
    tokio::spawn(assemble_forever(
        table.clone(),
        list,
        engine.clone(),
        config.clone(),
    ));
    let parts = EntryParts {
        node: settings.node.clone(),
        config,
        targets,
        engine,
        recorder: recorder.clone(),
    };
    let ledger = CallLedger::new(table, settings.node.clone());
    let server = EntryServer::new(parts, ledger, HttpService::new(client));
    let listener = TcpListener::bind(settings.listen)
        .await
        .wrap_err_with(|| format!("can't listen on {}", settings.listen))?;
    let address = listener.local_addr()?;
    recorder.note(
        EventCode::NodeStarted,
        EventSubject::default(),
        address.to_string(),
    );
    println!("{} listens on {address}", settings.node);
    let stop = async {
        let _ = tokio::signal::ctrl_c().await;
    };
    serve_listener(listener, Arc::new(server), stop).await;
    Ok(())
}

async fn assemble_forever(
    table: HttpTable,
    list: HttpHostList,
    engine: HttpEngine,
    config: watch::Receiver<Arc<ConfigView>>,
) {
    loop {
        let view = Arc::clone(&config.borrow());
        let _ = assemble_round(&table, &list, &engine, &view, LeaseEpoch(1), "0").await;
        tokio::time::sleep(ASSEMBLY_PERIOD).await;
    }
}
