//! Handle to a running gateway: its addresses, log and process.

use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command};
use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::Value;
use tokio::net::{TcpSocket, TcpStream};
use web::HttpConnection;

use crate::request::read_response;

/// Timeout for expected events; only failing tests reach it.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// A running gateway, killed on drop.
pub struct TestNode {
    pub child: Option<Child>,
    pub requests: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    pub hints: SocketAddr,
    pub links: SocketAddr,
    pub log: PathBuf,
    pub unread_output: Option<BufReader<ChildStdout>>,
}

impl Drop for TestNode {
    fn drop(&mut self) {
        // The process may have exited already.
        if let Some(child) = &mut self.child {
            drop(child.kill());
            drop(child.wait());
        }
    }
}

/// Polls until a condition holds; fails after [`EVENT_TIMEOUT`].
pub async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(EVENT_TIMEOUT, waiting).await;
    assert!(waited.is_ok(), "timed out waiting for {what}");
}

impl TestNode {
    pub fn set_addresses(&mut self, line: &Value) {
        let address = |name: &str| {
            let text = line[name].as_str().expect("valid address");
            text.parse().expect("valid address")
        };
        self.requests = address("requests");
        self.readiness = address("readiness");
        self.metrics = address("metrics");
        if line["hints"] != "none" {
            self.hints = address("hints");
        }
        self.links = address("links");
    }

    async fn get(&self, address: SocketAddr, path: &str) -> Option<(StatusCode, String)> {
        let limit = Duration::from_secs(1);
        let mut connection = HttpConnection::connect(address, limit).await.ok()?;
        let request = Request::get(path).header("host", "node");
        let request = request.body(Full::default()).ok()?;
        let response = read_response(connection.send(request).await.ok()?).await;
        Some((response.status, response.text))
    }

    pub async fn is_ready(&self) -> bool {
        let response = self.get(self.readiness, "/ready").await;
        response.is_some_and(|(status, _)| status == StatusCode::OK)
    }

    pub async fn wait_ready(&self, ready: bool) {
        let waiting = async {
            while self.is_ready().await != ready {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let waited = tokio::time::timeout(EVENT_TIMEOUT, waiting).await;
        assert!(
            waited.is_ok(),
            "timed out waiting for readiness to be {ready}"
        );
    }

    pub async fn metrics(&self) -> String {
        let response = self.get(self.metrics, "/metrics").await;
        response.expect("metrics listener responds").1
    }

    /// Waits until the node's metrics show `count` serving replicas.
    pub async fn wait_replicas(&self, count: usize) {
        let has_count = |text: &str| {
            let mut lines = text.lines();
            lines.any(|line| {
                let serving = line.starts_with("bramleyspring_gateway_replica_serving");
                serving && line.ends_with(&format!(" {count}"))
            })
        };
        let waiting = async {
            while !has_count(&self.metrics().await) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let waited = tokio::time::timeout(EVENT_TIMEOUT, waiting).await;
        assert!(
            waited.is_ok(),
            "timed out waiting for the node to see {count} serving replicas"
        );
    }

    /// Complete log lines that contain all of `parts`.
    pub fn log_lines(&self, parts: &[&str]) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).expect("log file is accessible");
        let complete = text.rfind('\n').map_or("", |end| &text[..end]);
        let lines = complete
            .lines()
            .filter(|line| parts.iter().all(|part| line.contains(part)));
        lines
            .map(|line| serde_json::from_str(line).expect("log line is JSON"))
            .collect()
    }

    /// Connects with a small buffer, so that the node has to wait for a client that reads slowly.
    pub async fn connect_narrow(&self) -> TcpStream {
        let socket = TcpSocket::new_v4().expect("a socket");
        let set = socket.set_recv_buffer_size(32 << 10);
        set.expect("a small buffer");
        socket.connect(self.requests).await.expect("connects")
    }

    /// Waits for a log line that contains all of `parts`.
    pub async fn wait_log_line(&self, parts: &[&str]) -> Value {
        wait_for(&format!("a log line with {parts:?}"), || {
            !self.log_lines(parts).is_empty()
        })
        .await;
        self.log_lines(parts).remove(0)
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([
                format!("-{name}"),
                self.child
                    .as_ref()
                    .expect("process was started")
                    .id()
                    .to_string(),
            ])
            .status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "signal was not sent"
        );
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut().expect("process was started");
        matches!(child.try_wait(), Ok(None))
    }

    /// Waits for the process to exit; returns its exit code.
    pub async fn wait_exit(&mut self) -> Option<i32> {
        let child = self.child.as_mut().expect("process was started");
        let mut code = None;
        wait_for("the process to exit", || match child.try_wait() {
            Ok(Some(status)) => {
                code = status.code();
                true
            }
            Ok(None) | Err(_) => false,
        })
        .await;
        code
    }
}
