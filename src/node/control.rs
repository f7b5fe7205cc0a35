//! Wiring of control: configuration, fleet and assembly.

use std::sync::Arc;
use std::time::Duration;

use control::ConfigView;
use control::assembly::assemble_round;
use control::fleet::follow_fleet;
use domain::LeaseEpoch;
use platform::http::{HttpHostList, HttpTable};
use target::HttpEngine;
use tokio::sync::watch;

use super::NodeContext;

const FLEET_PERIOD: Duration = Duration::from_millis(500);
const ASSEMBLY_PERIOD: Duration = Duration::from_millis(500);

/// Starts the tasks of control.
pub fn start(context: &NodeContext) {
    tokio::spawn(follow_fleet(
        context.table.clone(),
        context.list.clone(),
        context.engine.clone(),
        context.target_sender.clone(),
        FLEET_PERIOD,
    ));
    tokio::spawn(assemble_forever(
        context.table.clone(),
        context.list.clone(),
        context.engine.clone(),
        context.config_sender.subscribe(),
    ));
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
