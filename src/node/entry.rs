//! Wiring of the callers' listener.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use control::CallLedger;
use entry::{EntryParts, EntryServer};
use eyre::WrapErr;
use platform::http::HttpTable;
use target::{HttpEngine, HttpService};
use tokio::net::TcpListener;
use web::serve_listener;

use super::NodeContext;

/// A bound callers' listener.
pub struct EntryListener {
    /// Where callers connect.
    pub address: SocketAddr,
    listener: TcpListener,
    server: Arc<EntryServer<HttpEngine, HttpTable, HttpService>>,
}

/// Binds the callers' listener.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn bind(context: &NodeContext) -> eyre::Result<EntryListener> {
    let parts = EntryParts {
        node: context.settings.node.clone(),
        config: context.config_sender.subscribe(),
        targets: context.target_sender.subscribe(),
        engine: context.engine.clone(),
        recorder: context.recorder.clone(),
    };
    let ledger = CallLedger::with_settings(
        context.table.clone(),
        context.settings.node.clone(),
        context.settings.control.ledger,
    );
    let server = Arc::new(EntryServer::new(parts, ledger, context.service.clone()));
    let wanted = context.settings.listen;
    let listener = TcpListener::bind(wanted)
        .await
        .wrap_err_with(|| format!("can't listen on {wanted}"))?;
    let address = listener.local_addr()?;
    Ok(EntryListener {
        address,
        listener,
        server,
    })
}

impl EntryListener {
    /// Serves until `stop` completes and the running requests are done.
    pub async fn serve(self, stop: impl Future<Output = ()> + Send) {
        serve_listener(self.listener, self.server, stop).await;
    }
}
