//! Operator commands sent to a gateway address by mistake.

use std::process::{Command, Stdio};

use crate::BINARY;
use crate::site::TestSite;

/// The address of a gateway listener is passed as an admin address. The commands must name this
/// mistake and the place to look instead of reporting a missing record or an unreadable response.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_address_reported() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    for address in [node.requests, node.readiness, node.metrics] {
        for command in ["status", "history", "timeline"] {
            let address = address.to_string();
            let output = tokio::task::spawn_blocking(move || {
                Command::new(BINARY)
                    .args([command, "--node", &address])
                    .env("BRAMLEYSPRING_KEY", "a-key-of-an-operator")
                    .stdin(Stdio::null())
                    .output()
                    .expect("binary runs")
            });
            let output = output.await.expect("command task doesn't panic");
            let mut printed = String::from_utf8_lossy(&output.stdout).into_owned();
            printed.push_str(&String::from_utf8_lossy(&output.stderr));
            assert!(
                printed.contains("is no admin listener"),
                "{command}: {printed}"
            );
            assert!(printed.contains("metrics address"), "{command}: {printed}");
        }
    }
}
