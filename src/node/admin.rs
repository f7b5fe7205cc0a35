//! Wiring of the admin listener.

use std::net::SocketAddr;
use std::sync::Arc;

use admin::{AdminContext, AdminServer, OperatorKey};
use entry::RequestDispatcher;
use eyre::WrapErr;
use tokio::net::TcpListener;
use web::serve_listener;

use super::NodeContext;
use super::control::ControlTasks;
use super::peers::PeerTasks;
use super::report::NodeReport;

/// A bound admin listener.
pub struct AdminListener {
    /// Where operators connect.
    pub address: SocketAddr,
    listener: TcpListener,
}

/// Binds the admin listener when the settings name one.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn bind(context: &NodeContext) -> eyre::Result<Option<AdminListener>> {
    let Some(wanted) = context.settings.admin else {
        return Ok(None);
    };
    let listener = TcpListener::bind(wanted)
        .await
        .wrap_err_with(|| format!("can't listen on {wanted}"))?;
    let address = listener.local_addr()?;
    Ok(Some(AdminListener { address, listener }))
}

/// Starts sampling, and serving on the listener for as long as the process lives.
///
/// # Errors
///
/// When the operators' key can't be read.
pub fn start(
    context: &NodeContext,
    peers: &PeerTasks,
    tasks: &ControlTasks,
    dispatcher: &RequestDispatcher,
    bound: Option<AdminListener>,
) -> eyre::Result<()> {
    let report = NodeReport::new(context, peers, tasks, dispatcher);
    tokio::spawn(report.clone().sample_forever(context.metrics.clone()));
    let Some(bound) = bound else { return Ok(()) };
    let key = context.settings.secrets.operator_key()?;
    let server = AdminServer::new(AdminContext {
        table: context.table.with_operator_priority(),
        status_source: report,
        recorder: context.recorder.clone(),
        metrics: context.metrics.clone(),
        key: key.map(|key| OperatorKey::new(key.expose())),
    });
    tokio::spawn(serve_listener(
        bound.listener,
        Arc::new(server),
        std::future::pending(),
    ));
    Ok(())
}
