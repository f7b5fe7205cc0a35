//! What the soaks share: their seeds, and clients that keep their connections.

use std::ops::Range;
use std::time::Duration;

use web::HttpConnection;

use crate::node::TestNode;

/// Pause of a client whose node accepts no connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Seeds to play: those that the environment variable names as `FIRST..END`, or the default ones.
pub fn soak_seeds(variable: &str, default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var(variable) else {
        return default;
    };
    let bounds = text.split_once("..").and_then(|(first, end)| {
        let first: u64 = first.parse().ok()?;
        Some(first..end.parse().ok()?)
    });
    bounds.unwrap_or_else(|| panic!("{variable} is not FIRST..END: {text}"))
}

/// The open connection, or a new one; `None` after a pause if the node accepts none.
pub async fn kept_connection(
    open: Option<HttpConnection>,
    node: &TestNode,
) -> Option<HttpConnection> {
    if let Some(connection) = open.filter(HttpConnection::is_open) {
        return Some(connection);
    }
    let connected = HttpConnection::connect(node.requests, Duration::from_secs(1)).await;
    if connected.is_err() {
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
    connected.ok()
}
