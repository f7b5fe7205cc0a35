//! Invalid registry entries, configurations and settings.

use std::process::Command;

use http::StatusCode;
use serde_json::json;

use crate::BINARY;
use crate::request::TestRequest;
use crate::site::{TestSite, configuration};

/// An entry with an invalid field and a truncated one are written to the registry. Each is logged
/// with its key and the cause, and valid entries stay in use.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_entries() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let invalid = json!({"service": "records", "address": "127.0.0.1:1", "zone": "z0", "slots": 9,
        "state": "wonderful"});
    site.store
        .put("servers", "i-forged", invalid.to_string().as_bytes());
    site.store.put("servers", "i-torn", b"{\"service\":\"rec");
    let line = node.wait_log_line(&["entry_unreadable", "i-forged"]).await;
    assert!(
        line["reason"]
            .as_str()
            .is_some_and(|reason| reason.contains("state"))
    );
    node.wait_log_line(&["entry_unreadable", "i-torn"]).await;
    for number in 0..6 {
        let response = TestRequest::new("/look/x", &format!("l-{number}"))
            .send(&node)
            .await;
        assert_eq!(response.status, StatusCode::OK);
    }
}

/// An invalid configuration is rejected, and the previous one stays active.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_configuration() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let mut invalid = configuration(9);
    invalid["routes"][1]["route_type"] = json!("sometimes");
    site.configure(&invalid);
    let line = node.wait_log_line(&["config_unreadable"]).await;
    assert!(
        line["reason"]
            .as_str()
            .is_some_and(|reason| reason.contains("routes[1]"))
    );
    let response = TestRequest::new("/look/x", "l-1").send(&node).await;
    assert_eq!(response.status, StatusCode::OK);
}

/// Settings are missing or invalid. Both `gateway` and `check` report every one with its path and
/// the expected value, and fail.
#[test]
fn invalid_settings() {
    let path =
        std::env::temp_dir().join(format!("bramleyspring-wrong-{}.json", std::process::id()));
    std::fs::write(
        &path,
        "{\"node\": \"n0\", \"failure_domain\": 7, \"first_start\": true}",
    )
    .expect("settings file is writable");
    for command in ["gateway", "check"] {
        let output = Command::new(BINARY)
            .args([command, "--settings"])
            .arg(&path)
            .output()
            .expect("binary runs");
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
    std::fs::remove_file(&path).expect("settings file exists");
}

/// A configuration with a lower revision than the one in force is written, as after a restore. The node
/// does not go back to it, and says so.
#[tokio::test(flavor = "multi_thread")]
async fn lower_revision() {
    let site = TestSite::start(0, 1);
    site.configure(&configuration(5));
    let node = site.node("n0").await;
    site.configure(&configuration(4));
    let line = node.wait_log_line(&["config_regressed"]).await;
    assert_eq!(line["revision"], 4);
    let response = TestRequest::new("/nowhere/x", "l-1").send(&node).await;
    assert_eq!(response.status, StatusCode::NOT_FOUND);
    let line = node.wait_log_line(&["request_failed", "l-1"]).await;
    assert_eq!(line["revision"], 5);
}

/// Guards against a node that refuses for good what a configuration may allow which it can't read, for
/// example one of a later release. It serves on by the previous one, and says that it does not know.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_beside_unreadable_configuration() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let mut unreadable = configuration(5);
    unreadable["routes"][0]["route_type"] = json!("of a later release");
    site.configure(&unreadable);
    node.wait_log_line(&["config_unreadable"]).await;
    let unknown = TestRequest::new("/nowhere/x", "l-1").send(&node).await;
    assert_eq!(unknown.status, StatusCode::SERVICE_UNAVAILABLE);
    let known = TestRequest::new("/look/x", "l-2").send(&node).await;
    assert_eq!(known.status, StatusCode::OK);
    site.configure(&configuration(6));
    node.wait_log_line(&["config_applied", "\"revision\":6"])
        .await;
    let unknown = TestRequest::new("/nowhere/x", "l-3").send(&node).await;
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
}
