//! Startup of the admin listener.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use admin::{AdminContext, AdminServer, OperatorKey};
use entry::RequestDispatcher;
use eyre::WrapErr;
use tokio::net::TcpListener;
use web::{ServerLimits, serve_listener};

use super::NodeContext;
use super::control::ControlTasks;
use super::peers::PeerTasks;
use super::report::StatusReporter;

/// What operators and monitoring systems need.
const LIMITS: ServerLimits = ServerLimits {
    max_connections: 64,
    max_requests: 64,
    idle_timeout: Duration::from_mins(1),
    read_timeout: Duration::from_mins(1),
};

/// A bound admin listener, which is not served until [`start`].
pub struct AdminListener {
    /// Address on which operators connect.
    pub address: SocketAddr,
    listener: TcpListener,
}

/// Binds the admin listener; none if the settings have no address for it.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn bind(context: &NodeContext) -> eyre::Result<Option<AdminListener>> {
    let Some(address) = context.settings.admin else {
        return Ok(None);
    };
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("can't listen on {address}"))?;
    let address = listener.local_addr()?;
    Ok(Some(AdminListener { address, listener }))
}

/// Starts sampling the gauges, and serving the admin API until the process ends.
///
/// # Errors
///
/// When the operators' key can't be read.
pub fn start(
    context: &NodeContext,
    peers: &PeerTasks,
    tasks: &ControlTasks,
    dispatcher: &RequestDispatcher,
    listener: Option<AdminListener>,
) -> eyre::Result<()> {
    let reporter = StatusReporter::new(context, peers, tasks, dispatcher);
    tokio::spawn(reporter.clone().run_sampling(context.metrics.clone()));
    let Some(admin) = listener else { return Ok(()) };
    let key = context.settings.secrets.operator_key()?;
    let server = AdminServer::new(AdminContext {
        table: context.table.with_operator_priority(),
        status_source: reporter,
        recorder: context.recorder.clone(),
        metrics: context.metrics.clone(),
        key: key.map(|key| OperatorKey::new(key.expose())),
    });
    tokio::spawn(serve_listener(
        admin.listener,
        Arc::new(server),
        LIMITS,
        std::future::pending(),
    ));
    Ok(())
}
