//! One row or entry that can't be used among those of the engines, from another writer.

use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use serving::feed::feed_order;
use standin::site::{ROW_VERSION, SiteInstance};

use crate::node::{TestNode, wait_for};
use crate::request::TestRequest;
use crate::site::{TestSite, configuration};

/// Levels of nesting that overflow the stack of a decoder that recurses.
const DEEP: usize = 50_000;

/// Nodes of a domain; enough of them to follow each other.
const FOLLOWING_NODES: usize = 9;

/// Time within which a node knows a new target; only failing tests reach it.
const LEARN_TIMEOUT: Duration = Duration::from_secs(30);

/// Texts of rows that can't be read, wholly or in part.
fn odd_rows() -> Vec<(&'static str, String)> {
    let deep = "[".repeat(DEEP) + &"]".repeat(DEEP);
    let many_digits = "9".repeat(400);
    let value = |value: &str| {
        format!(r#""part":"","row_version":{ROW_VERSION},"value":{value},"removed":false}}"#)
    };
    let extra = |extra: &str| {
        let rest = value("\"e30=\"");
        format!(r#"{{"key":"i-odd","extra":{extra},{rest}"#)
    };
    vec![
        ("deep value", format!(r#"{{"key":"i-odd",{}"#, value(&deep))),
        ("deep row", extra(&deep)),
        ("deep text", deep.clone()),
        ("exponent", extra("1e400")),
        ("negative exponent", extra("-1e400")),
        ("no number", extra("NaN")),
        ("infinity", extra("-Infinity")),
        (
            "surrogate",
            format!(r#"{{"key":"i-odd",{}"#, value("\"\\ud800\"")),
        ),
        (
            "long number",
            format!(r#"{{"key":"i-odd","row_version":{many_digits}}}"#),
        ),
        (
            "largest version",
            r#"{"key":"i-odd","row_version":18446744073709551615,"value":"e30="}"#.to_owned(),
        ),
        (
            "version too large",
            r#"{"key":"i-odd","row_version":18446744073709551616,"value":"e30="}"#.to_owned(),
        ),
        (
            "key twice",
            format!(r#"{{"key":"i-odd","key":"i-other",{}"#, value("\"e30=\"")),
        ),
        ("no key", format!("{{{}", value("\"e30=\""))),
    ]
}

/// Entries that decoders refuse, or that state numbers at the end of their range.
fn odd_entries() -> Vec<(&'static str, Vec<u8>)> {
    let deep = "{\"a\":".repeat(DEEP) + "1" + &"}".repeat(DEEP);
    let entry = |address: &str, fields: &str| {
        let entry = format!(
            r#"{{"service":"records","address":"{address}","zone":"z0","slots":6,"state":"ready"{fields}}}"#
        );
        entry.into_bytes()
    };
    let nowhere = "127.0.0.1:1";
    let largest = u64::MAX;
    let group = |epoch: &str, rank: &str| {
        format!(r#","group":{{"name":"g1","epoch":{epoch},"rank":{rank},"state":"open"}}"#)
    };
    vec![
        ("deep", deep.clone().into_bytes()),
        ("deep field", entry(nowhere, &format!(r#","extra":{deep}"#))),
        ("exponent", entry(nowhere, r#","cold_remaining_ms":1e400"#)),
        (
            "long cold",
            entry(nowhere, r#","cold_remaining_ms":1.8e22"#),
        ),
        (
            "negative cold",
            entry(nowhere, r#","cold_remaining_ms":-1e300"#),
        ),
        ("fabric", entry(nowhere, r#","domain":1e400"#)),
        ("born", entry(nowhere, &format!(r#","born":{largest}"#))),
        (
            "born too large",
            entry(nowhere, r#","born":18446744073709551616"#),
        ),
        ("epoch", entry(nowhere, &group(&largest.to_string(), "0"))),
        ("rank", entry(nowhere, &group("1", "4294967295"))),
        ("epoch too large", entry(nowhere, &group("1e40", "0"))),
        ("port", entry("127.0.0.1:70000", "")),
        ("port 0", entry("127.0.0.1:0", "")),
        ("negative port", entry("127.0.0.1:-1", "")),
        ("surrogate", entry(nowhere, r#","stage":"\ud800""#)),
        ("not UTF-8", b"{\"service\":\"\xff\"}".to_vec()),
        ("empty", Vec::new()),
    ]
}

/// Sends requests until one has run at an instance; all must succeed.
pub async fn reaches(node: &TestNode, instance: &SiteInstance, name: &str) {
    let reaching = async {
        for number in 0.. {
            let id = format!("{name}-{number}").replace(' ', "-");
            let response = TestRequest::new("/look/x", &id).send(node).await;
            assert_eq!(response.status, StatusCode::OK, "{name}");
            if instance.execution_count(&id) > 0 {
                return;
            }
        }
    };
    let reached = tokio::time::timeout(LEARN_TIMEOUT, reaching).await;
    assert!(reached.is_ok(), "{name}: no request reached the new target");
}

/// Guards against one odd row that stops a node from learning of any change of the targets after it, or ends its
/// process.
#[tokio::test(flavor = "multi_thread")]
async fn rows_beside_good_ones() {
    let site = TestSite::start(0, 1);
    let mut node = site.node("n0").await;
    for (index, (name, text)) in odd_rows().into_iter().enumerate() {
        site.store.put_row_text("servers", "i-odd", &text);
        let id = format!("s-after-{index}");
        let added = SiteInstance::start(&site.store, &id, "z0").expect("instance starts");
        reaches(&node, &added, name).await;
        site.store.remove("servers", &id);
        node.wait_log_line(&["target_gone", &id]).await;
        drop(added);
        assert!(node.is_running(), "{name}");
    }
    let lines = node.log_lines(&["row_unreadable", "servers"]);
    assert!(!lines.is_empty());
    let metrics = node.metrics().await;
    assert!(metrics.contains("row_unreadable"), "{metrics}");
}

/// Guards against a node that doesn't start, or doesn't become ready, because of one odd row of each table.
#[tokio::test(flavor = "multi_thread")]
async fn rows_before_start() {
    for (name, text) in odd_rows() {
        let site = TestSite::start(0, 1);
        for table in ["servers", "op", "nodes"] {
            site.store.put_row_text(table, "i-odd", &text);
        }
        let node = site.node("n0").await;
        reaches(&node, &site.instances[0], name).await;
        let added = SiteInstance::start(&site.store, "s1", "z0").expect("instance starts");
        reaches(&node, &added, name).await;
        site.configure(&configuration(8));
        node.wait_log_line(&["config_applied", "\"revision\":8"])
            .await;
    }
}

/// Guards against an odd row that ends what a node passes on to those that follow it.
#[tokio::test(flavor = "multi_thread")]
async fn rows_passed_on() {
    let site = TestSite::start(0, 1);
    let names: Vec<String> = (0..FOLLOWING_NODES)
        .map(|index| format!("n{index}"))
        .collect();
    let mut nodes = Vec::new();
    for name in feed_order("z0", names.iter().map(String::as_str)) {
        nodes.push(site.node(name).await);
    }
    for node in &nodes[1..] {
        node.wait_log_line(&["feed_followed"]).await;
    }
    for (index, (_, text)) in odd_rows().into_iter().enumerate() {
        for table in ["servers", "op", "nodes"] {
            let key = format!("i-odd-{index}");
            site.store
                .put_row_text(table, &key, &text.replace("i-odd", &key));
        }
    }
    for (_, entry) in odd_entries() {
        site.store.put("servers", "i-entry", &entry);
    }
    let added = SiteInstance::start(&site.store, "s1", "z0").expect("instance starts");
    site.configure(&configuration(8));
    for node in &mut nodes {
        node.wait_log_line(&["config_applied", "\"revision\":8"])
            .await;
        reaches(node, &added, "passed on").await;
        assert!(node.is_running());
    }
}

/// Guards against an entry with a number or an address out of range that ends the process or stops it from following.
#[tokio::test(flavor = "multi_thread")]
async fn entries_beside_good_ones() {
    let site = TestSite::start(4, 1);
    let mut config = configuration(2);
    // Services that limit what cold targets get read how long an entry stays cold.
    for service in config["services"].as_array_mut().expect("services") {
        service["cold_s"] = json!(5);
        service["cold_per_s"] = json!(50);
    }
    site.configure(&config);
    let mut node = site.node("n0").await;
    node.wait_replicas(1).await;
    for (index, (name, entry)) in odd_entries().into_iter().enumerate() {
        let key = format!("i-odd-{index}");
        site.store.put("servers", &key, &entry);
        // The same among the entries of a fabric domain and a service with replicas.
        let text = String::from_utf8_lossy(&entry);
        let member = text.replace("\"records\"", "\"assistant\"");
        let member = member.replacen('{', "{\"domain\":\"f0\",", 1);
        site.store
            .put("servers", &format!("{key}-member"), member.as_bytes());
        let id = format!("s-after-{index}");
        let added = SiteInstance::start(&site.store, &id, "z0").expect("instance starts");
        reaches(&node, &added, name).await;
        let chat = TestRequest::chat(&format!("c-{index}")).send(&node).await;
        assert_eq!(chat.status, StatusCode::OK, "{name}");
        for key in [key.clone(), format!("{key}-member"), id.clone()] {
            site.store.remove("servers", &key);
        }
        node.wait_log_line(&["target_gone", &id]).await;
        assert!(node.is_running(), "{name}");
    }
    wait_for("no odd entry", || site.store.keys("servers").len() == 5).await;
}
