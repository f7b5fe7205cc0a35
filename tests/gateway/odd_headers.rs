//! Responses of targets with headers that can't be read, or state numbers at the end of their range.

use http::StatusCode;

use crate::request::TestRequest;
use crate::site::TestSite;

/// Requests for each header, on connections that are kept and on new ones.
const REQUESTS: usize = 4;

/// Names and values of headers.
const ODD_HEADERS: [(&str, &[u8]); 24] = [
    ("keep-alive", b"timeout=18446744073709551615"),
    ("keep-alive", b"timeout=9223372036854775807"),
    ("keep-alive", b"timeout=99999999999999999999"),
    ("keep-alive", b"timeout=-1"),
    ("keep-alive", b"timeout=\xff"),
    ("x-server-load", b"4294967295,4294967295,4294967295"),
    ("x-server-load", b"4294967295,1,6"),
    ("x-server-load", b"-1,-1,-1"),
    ("x-server-load", b"1e400,,"),
    ("x-server-load", b"\xff"),
    ("server-limit", b"1e400"),
    ("server-limit", b"-1"),
    ("server-limit", b"NaN"),
    ("retry-after", b"18446744073709551616"),
    ("retry-after", b"1e400"),
    ("retry-after", b"-1"),
    ("retry-after", b"Fri, 31 Dec 9999 23:59:59 GMT"),
    ("retry-after", b"\xff"),
    ("x-cold-ms", b"1e300"),
    ("x-cold-ms", b"-1"),
    ("x-cold-ms", b"NaN"),
    ("server-leaving", b"2"),
    ("at-server", b"127.0.0.1:70000"),
    ("at-server", b"\xff"),
];

/// Guards against a header of one target that ends the process, or the connection of a client whose request the target
/// has run.
#[tokio::test(flavor = "multi_thread")]
async fn odd_headers_beside_good_answers() {
    let site = TestSite::start(0, 1);
    let mut node = site.node("n0").await;
    for (index, (name, value)) in ODD_HEADERS.into_iter().enumerate() {
        let shown = format!("{name}: {}", value.escape_ascii());
        site.instances[0].set_header(name, value);
        for number in 0..REQUESTS {
            let path = ["/look/x", "/pay/x"][number % 2];
            let request = TestRequest::new(path, &format!("h-{index}-{number}"));
            let response = request.send(&node).await;
            assert_eq!(response.status, StatusCode::OK, "{shown}");
            assert!(response.complete, "{shown}");
        }
        assert!(node.is_running(), "{shown}");
    }
}

/// Guards against a client's numbers at the end of their range that end the process, or requests of others.
#[tokio::test(flavor = "multi_thread")]
async fn odd_client_headers_beside_good_ones() {
    let site = TestSite::start(4, 0);
    let mut node = site.node("n0").await;
    node.wait_replicas(1).await;
    for (index, (name, value)) in [
        ("x-token-usage", "4294967295,4294967295"),
        ("x-token-usage", "18446744073709551616,-1"),
        ("x-deadline-ms", "18446744073709551615"),
        ("x-deadline-ms", "1e400"),
        ("last-event-id", "18446744073709551615"),
        ("last-event-id", "-1"),
        ("x-prompt-prefix", "a:18446744073709551616,b:-1,:"),
        ("x-request-priority", "-1"),
    ]
    .into_iter()
    .enumerate()
    {
        let odd = TestRequest::chat(&format!("odd-{index}")).header(name, value);
        // Whatever becomes of it, it gets a response.
        let odd = odd.send(&node).await;
        assert!(!odd.status.is_informational(), "{name}: {value}");
        let good = TestRequest::chat(&format!("good-{index}"))
            .send(&node)
            .await;
        assert_eq!(good.status, StatusCode::OK, "{name}: {value}");
        assert!(node.is_running(), "{name}: {value}");
    }
}
