//! Tells a node what a target stated in a response that came through it.
//!
//! The target sees that node alone. What it asks for binds it as well as the one that has the response.

use std::rc::Rc;
use std::time::Duration;

use adapter::{StatedValue, TargetStatements};
use domain::{BootNumber, NodeId};
use http::StatusCode;
use peers::error::LinkError;
use serving::TargetProcess;
use wire::peer::encode_message;
use wire::tunnel::TunnelStatement;

use crate::node::GatewayNode;

/// Tells a relay what a process of a target stated with this status, if it concerns later requests.
pub fn tell_relay(
    node: &Rc<GatewayNode>,
    relay: &NodeId,
    process: &TargetProcess,
    (status, statements): (StatusCode, &TargetStatements),
) {
    let backoff = statements.backoff(status);
    let drains = statements.drains == StatedValue::Value(true);
    if backoff.is_none() && !drains {
        return;
    }
    let statement = TunnelStatement {
        host: process.host.clone(),
        boot: process.boot.0,
        backoff_ms: backoff.map(|delay| u32::try_from(delay.as_millis()).unwrap_or(u32::MAX)),
        drains,
    };
    let (node, relay) = (Rc::clone(node), relay.clone());
    tokio::task::spawn_local(async move {
        if let Err(error) = send_statement(&node, &relay, &statement).await {
            node.log_untold(&relay, &statement, &error);
        }
    });
}

async fn send_statement(
    node: &GatewayNode,
    relay: &NodeId,
    statement: &TunnelStatement,
) -> Result<(), LinkError> {
    let payload = encode_message(statement)?;
    let link = node.tunnels.link(relay);
    match link.get() {
        Some(link) => link.tell(payload).await,
        // It was closed with all its tunnels: the relay stops, or is gone.
        None => Ok(()),
    }
}

/// Takes in what a target stated on a tunnel through this node.
pub fn record_tunnel_statement(node: &GatewayNode, statement: &TunnelStatement) {
    let process = TargetProcess {
        host: statement.host.clone(),
        boot: BootNumber(statement.boot),
    };
    let delay = statement
        .backoff_ms
        .map(|millis| Duration::from_millis(u64::from(millis)));
    let statements = TargetStatements {
        retry_after: delay.map_or(StatedValue::Absent, StatedValue::Value),
        drains: StatedValue::Value(statement.drains),
        ..TargetStatements::default()
    };
    let status = StatusCode::SERVICE_UNAVAILABLE;
    node.record_process_statements(&process, status, &statements);
}
