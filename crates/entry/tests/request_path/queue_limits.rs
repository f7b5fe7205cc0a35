//! Queued requests: deadlines, refusals and missing replicas.

use std::time::{Duration, Instant};

use entry::EntrySettings;
use http::StatusCode;

use crate::fake_engine::EngineBehavior;
use crate::fake_entry::{FakeEntry, replica, target_view};
use crate::fake_service::FakeService;
use crate::fake_table::FakeTable;

const TEXT: &str = "/v1/completions";
const BODY: &str = r#"{"model": "help", "prompt": "p", "max_tokens": 2}"#;

/// No replica is available. A request with a short timeout must get its final response when the
/// timeout expires, marked as not executed and with a retry delay.
#[tokio::test]
async fn timeout_without_replica() {
    let entry = FakeEntry::new();
    entry.targets.send_replace(target_view(Vec::new()));
    tokio::time::sleep(Duration::from_millis(50)).await;
    let started = Instant::now();
    let response = entry
        .post(TEXT, &[("x-request-timeout", "0.3")], BODY)
        .await;
    assert!(
        started.elapsed() < Duration::from_secs(4),
        "the response took too long"
    );
    assert!(response.status.is_server_error(), "{}", response.text);
    assert_eq!(response.error("execution"), "not_run");
    assert!(response.retry_after.is_some());
    assert!(entry.engine.requests().is_empty());
}

/// No replica has been available for a while. Waiting is pointless, so clients must be told
/// immediately.
#[tokio::test]
async fn error_without_replica() {
    let entry = FakeEntry::new();
    entry.targets.send_replace(target_view(Vec::new()));
    let first = entry.post(TEXT, &[], BODY).await;
    assert_eq!(first.error("code"), "no_replica", "{}", first.text);
    let started = Instant::now();
    let second = entry.post(TEXT, &[], BODY).await;
    assert_eq!(second.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(second.error("execution"), "not_run");
    assert!(second.retry_after.is_some());
    assert!(
        started.elapsed() < Duration::from_secs(1),
        "the response took too long"
    );
}

/// A replica returns while a request waits. The request must be served without being sent again.
#[tokio::test]
async fn returning_replica() {
    let entry = FakeEntry::new();
    entry.targets.send_replace(target_view(Vec::new()));
    tokio::time::sleep(Duration::from_millis(50)).await;
    let recovery = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        entry.targets.send_replace(target_view(vec![replica(1)]));
    };
    let (response, ()) = tokio::join!(entry.post(TEXT, &[], BODY), recovery);
    assert_eq!(response.status, StatusCode::OK, "{}", response.text);
}

/// A customer sends far more requests than the replicas can run. Requests that would be late must
/// be refused immediately with a retry delay, and none may wait beyond its timeout.
#[tokio::test]
async fn overload_refused() {
    let settings = EntrySettings::builder()
        .evidence_ms(600_000)
        .silence_ms(300)
        .doubt_silence_ms(300)
        .max_attempts(1)
        .build();
    let entry = FakeEntry::start("e0", settings, FakeTable::default(), FakeService::default());
    // Each stream occupies its slot until the silence limit expires.
    entry
        .engine
        .script(&vec![EngineBehavior::StallAfter(1); 4_000]);
    let started = Instant::now();
    let calls = (0..1_200).map(|_| entry.post(TEXT, &[("x-request-timeout", "1")], BODY));
    let responses = futures::future::join_all(calls).await;
    assert!(
        started.elapsed() < Duration::from_secs(30),
        "the response took too long"
    );
    let mut refused = 0;
    for response in &responses {
        assert!(response.retry_after.is_some(), "{}", response.text);
        if response.status == StatusCode::TOO_MANY_REQUESTS {
            assert_eq!(response.error("execution"), "not_run");
            refused += 1;
        }
    }
    assert!(refused > 100, "{refused} of {}", responses.len());
    let sent = entry.engine.requests().len();
    assert!(sent > 0 && sent < responses.len(), "{sent} sent");
}

/// A client disconnects while its request waits. The request must not be sent to an engine later.
#[tokio::test]
async fn client_disconnected() {
    let entry = FakeEntry::new();
    entry.targets.send_replace(target_view(Vec::new()));
    tokio::time::sleep(Duration::from_millis(50)).await;
    let waiting = entry.post(TEXT, &[], BODY);
    let result = tokio::time::timeout(Duration::from_millis(100), waiting).await;
    assert!(result.is_err(), "the request must still be waiting");
    entry.targets.send_replace(target_view(vec![replica(1)]));
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(entry.engine.requests().is_empty());
}

/// After a quiet period with a few short requests, twenty long ones arrive at once at nearly idle
/// replicas. None may be refused.
#[tokio::test]
async fn burst_after_idle_served() {
    let entry = FakeEntry::new();
    for _ in 0..4 {
        let response = entry.post(TEXT, &[], BODY).await;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let long = r#"{"model": "help", "prompt": "p", "max_tokens": 2000}"#;
    let calls = (0..20).map(|_| entry.post(TEXT, &[], long));
    for response in futures::future::join_all(calls).await {
        assert_eq!(response.status, StatusCode::OK, "{}", response.text);
    }
}

/// Requests waited in vain while no replica was available. Once replicas are back, requests for
/// long responses must not be refused because of the drain rate measured in the meantime.
#[tokio::test]
async fn burst_after_outage_served() {
    let entry = FakeEntry::new();
    entry.targets.send_replace(target_view(Vec::new()));
    tokio::time::sleep(Duration::from_millis(50)).await;
    let waiting = (0..4).map(|_| entry.post(TEXT, &[], BODY));
    let recovery = async {
        tokio::time::sleep(Duration::from_secs(2)).await;
        entry
            .targets
            .send_replace(target_view(vec![replica(1), replica(2)]));
    };
    futures::future::join(futures::future::join_all(waiting), recovery).await;
    let long = r#"{"model": "help", "prompt": "p", "max_tokens": 2000}"#;
    let calls = (0..20).map(|_| entry.post(TEXT, &[], long));
    for response in futures::future::join_all(calls).await {
        assert_eq!(response.status, StatusCode::OK, "{}", response.text);
    }
}
