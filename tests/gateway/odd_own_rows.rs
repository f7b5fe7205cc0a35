//! Rows that can't be read, or state numbers at the end of their range, in the tables that the nodes write themselves.

use http::StatusCode;
use standin::site::{ServiceMode, SiteInstance};

use crate::node::TestNode;
use crate::odd_entries::reaches;
use crate::request::TestRequest;
use crate::site::{TestSite, configuration};

/// Levels of nesting that overflow the stack of a decoder that recurses.
const DEEP: usize = 50_000;

/// Tables, keys and values of odd rows; `MAX` stands for the largest number.
const ODD_ROWS: [(&str, &str, &str); 12] = [
    (
        "nodes",
        "x0",
        r#"{"clock_ms":MAX,"domain":"z0","suspects":true,"demand":{"records":{"m":4294967295}}}"#,
    ),
    (
        "nodes",
        "x1",
        r#"{"clock_ms":MAX,"decision":{"clock_ms":MAX,"shares":{"records":{"m":4294967295}}}}"#,
    ),
    (
        "nodes",
        "x2",
        r#"{"clock_ms":MAX,"domain":"z1","link":{"address":"127.0.0.1:1","key":"0123456789abcdef0123456789abcdef"}}"#,
    ),
    (
        "nodes",
        "x3",
        r#"{"clock_ms":1e400,"hints":"127.0.0.1:70000"}"#,
    ),
    (
        "nodes",
        "not a name/",
        r#"{"clock_ms":MAX,"hints":"127.0.0.1:0"}"#,
    ),
    (
        "ends",
        "x0",
        r#"{"host":"s0","boot":MAX,"clock_ms":MAX,"runs":[]}"#,
    ),
    ("ends", "x1", r#"{"sound":[{"mark":"","at_ms":MAX}]}"#),
    ("ends", "x2", r#"{"trial":["MAX"],"by":"","at_ms":MAX}"#),
    (
        "ends",
        "x3",
        r#"{"host":"s0","boot":-1,"clock_ms":1e400,"runs":[{"mark":"x","ran_ms":MAX}]}"#,
    ),
    ("retry_leases", "000", r#"{"holder":"x","until_ms":MAX}"#),
    (
        "retry_leases",
        "999999999999999999999",
        r#"{"holder":"x","until_ms":-1}"#,
    ),
    ("limit_leases", "000", r#"{"holder":1,"until_ms":1e400}"#),
];

/// A new target becomes known, and requests that it rejects are sent to another one, out of the budget that the nodes
/// share.
async fn serves(site: &TestSite, node: &TestNode, name: &str) {
    let id = format!("own-{name}");
    let added = SiteInstance::start(&site.store, &id, "z0").expect("instance starts");
    reaches(node, &added, name).await;
    added.set_mode(ServiceMode::Overloaded);
    for number in 0..8 {
        let request = TestRequest::new("/look/x", &format!("{name}-again-{number}"));
        let response = request.send(node).await;
        assert_eq!(response.status, StatusCode::OK, "{name}");
    }
}

fn write_odd_rows(site: &TestSite) {
    for (table, key, value) in ODD_ROWS {
        let value = value.replace("MAX", &u64::MAX.to_string());
        site.store.put(table, key, value.as_bytes());
    }
    let deep = "{\"clock_ms\":".repeat(DEEP) + "1" + &"}".repeat(DEEP);
    for table in ["nodes", "ends", "retry_leases", "limit_leases"] {
        site.store.put(table, "001", deep.as_bytes());
        let text = format!(r#"{{"key":"002","row_version":{deep}}}"#);
        site.store.put_row_text(table, "002", &text);
    }
}

/// Guards against one odd row of the nodes' own tables that ends a process, or stops it from following the others.
#[tokio::test(flavor = "multi_thread")]
async fn own_rows_beside_good_ones() {
    let site = TestSite::start(0, 1);
    let mut running = site.node("n0").await;
    write_odd_rows(&site);
    serves(&site, &running, "running").await;
    let mut started = site.node("n1").await;
    serves(&site, &started, "started").await;
    site.configure(&configuration(8));
    for node in [&mut running, &mut started] {
        node.wait_log_line(&["config_applied", "\"revision\":8"])
            .await;
        assert!(node.is_running());
    }
    // Nodes that are not there would take their parts of what the nodes share.
    running
        .wait_log_line(&["nodes_counted", "\"nodes\":2"])
        .await;
    let counted = running.log_lines(&["nodes_counted"]);
    assert!(counted.iter().all(|line| line["nodes"].as_u64() <= Some(2)));
}
