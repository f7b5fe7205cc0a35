//! Operators' commands that are pointed at a gateway.

use std::process::{Command, Stdio};

use crate::BINARY;
use crate::site::TestSite;

/// An engineer takes the address of a gateway's callers or metrics for an admin listener. The
/// commands must say so and where to look instead, not that a record is missing or that the answer
/// can't be read.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_named_instead() {
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
                    .expect("the product")
            });
            let output = output.await.expect("its end");
            let mut said = String::from_utf8_lossy(&output.stdout).into_owned();
            said.push_str(&String::from_utf8_lossy(&output.stderr));
            assert!(said.contains("is no admin listener"), "{command}: {said}");
            assert!(said.contains("metrics address"), "{command}: {said}");
        }
    }
}
