//! Forged rows, unreadable configurations and wrong settings.

use std::process::Command;

use http::StatusCode;
use serde_json::json;

use crate::BINARY;
use crate::request::TestRequest;
use crate::site::{TestSite, configuration};

/// Another writer leaves entries that name no target, and one that is cut off. The others hold,
/// and one line says which entry and field it was.
#[tokio::test(flavor = "multi_thread")]
async fn forged_entries() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let forged = json!({"service": "records", "address": "127.0.0.1:1", "zone": "z0", "slots": 9,
        "state": "wonderful"});
    site.store
        .put("servers", "i-forged", forged.to_string().as_bytes());
    site.store.put("servers", "i-torn", b"{\"service\":\"rec");
    let line = node.wait_line(&["entry_unreadable", "i-forged"]).await;
    assert!(
        line["reason"]
            .as_str()
            .is_some_and(|reason| reason.contains("state"))
    );
    node.wait_line(&["entry_unreadable", "i-torn"]).await;
    for call in 0..6 {
        let answer = TestRequest::new("/look/x", &format!("l-{call}"))
            .send(&node)
            .await;
        assert_eq!(answer.status, StatusCode::OK);
    }
}

/// A configuration that can't be read is not put into force; the one before it stays.
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_configuration() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let mut wrong = configuration(9);
    wrong["routes"][1]["route_type"] = json!("sometimes");
    site.configure(&wrong);
    let line = node.wait_line(&["config_unreadable"]).await;
    assert!(
        line["reason"]
            .as_str()
            .is_some_and(|reason| reason.contains("routes[1]"))
    );
    let answer = TestRequest::new("/look/x", "l-1").send(&node).await;
    assert_eq!(answer.status, StatusCode::OK);
}

/// Settings are missing or wrong. The program names all of them, each with its place and what
/// belongs there, and ends; `check` says the same without starting.
#[test]
fn wrong_settings() {
    let path =
        std::env::temp_dir().join(format!("bramleyspring-wrong-{}.json", std::process::id()));
    std::fs::write(
        &path,
        "{\"node\": \"n0\", \"failure_domain\": 7, \"first_start\": true}",
    )
    .expect("a file");
    for command in ["gateway", "check"] {
        let output = Command::new(BINARY)
            .args([command, "--settings"])
            .arg(&path)
            .output()
            .expect("the product");
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success());
        for place in [
            "failure_domain: can't be 7",
            "listen.requests: missing",
            "store: missing",
        ] {
            assert!(error.contains(place), "{command}: {error}");
        }
    }
    std::fs::remove_file(&path).expect("the file");
}
