//! Requests that wait, and those that wait in vain.

use std::time::{Duration, Instant};

use entry::EntrySettings;
use http::StatusCode;

use crate::fake_engine::EngineScript;
use crate::fake_entry::{FakeEntry, replica, view_of};
use crate::fake_service::FakeService;
use crate::fake_table::FakeTable;

const TEXT: &str = "/v1/completions";
const BODY: &str = r#"{"model": "help", "prompt": "p", "max_tokens": 2}"#;

/// No replica is whole. A request with little patience gets its final answer when its time is up,
/// as not run and with when to come back.
#[tokio::test]
async fn deadline_kept() {
    let entry = FakeEntry::new();
    entry.targets.send_replace(view_of(Vec::new()));
    tokio::time::sleep(Duration::from_millis(50)).await;
    let started = Instant::now();
    let answer = entry
        .post(TEXT, &[("x-request-timeout", "0.3")], BODY)
        .await;
    assert!(started.elapsed() < Duration::from_secs(4), "held back");
    assert!(answer.status.is_server_error(), "{}", answer.text);
    assert_eq!(answer.error("execution"), "not_run");
    assert!(answer.retry_after.is_some());
    assert!(entry.engine.orders().is_empty());
}

/// No replica was whole for a while. To wait for one is hopeless, and callers learn so at once.
#[tokio::test]
async fn absence_told() {
    let entry = FakeEntry::new();
    entry.targets.send_replace(view_of(Vec::new()));
    let first = entry.post(TEXT, &[], BODY).await;
    assert_eq!(first.error("code"), "no_replica", "{}", first.text);
    let started = Instant::now();
    let second = entry.post(TEXT, &[], BODY).await;
    assert_eq!(second.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(second.error("execution"), "not_run");
    assert!(second.retry_after.is_some());
    assert!(started.elapsed() < Duration::from_secs(1), "held back");
}

/// A replica comes back while a request waits; it is served without being sent again.
#[tokio::test]
async fn return_used() {
    let entry = FakeEntry::new();
    entry.targets.send_replace(view_of(Vec::new()));
    tokio::time::sleep(Duration::from_millis(50)).await;
    let back = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        entry.targets.send_replace(view_of(vec![replica(1)]));
    };
    let (answer, ()) = tokio::join!(entry.post(TEXT, &[], BODY), back);
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
}

/// A customer sends far more than the replicas can run. What would be late is refused at once with
/// when to come back; what is let in is answered; nothing waits beyond its patience.
#[tokio::test]
async fn burst_refused() {
    let settings = EntrySettings::builder()
        .evidence_ms(600_000)
        .silence_ms(300)
        .doubt_silence_ms(300)
        .max_attempts(1)
        .build();
    let entry = FakeEntry::start("e0", settings, FakeTable::default(), FakeService::default());
    // Each stream holds its slot until it counts as silent.
    entry
        .engine
        .script(&vec![EngineScript::SilentAfter(1); 4_000]);
    let started = Instant::now();
    let calls = (0..1_200).map(|_| entry.post(TEXT, &[("x-request-timeout", "1")], BODY));
    let answers = futures::future::join_all(calls).await;
    assert!(started.elapsed() < Duration::from_secs(30), "held back");
    let mut refused = 0;
    for answer in &answers {
        assert!(answer.retry_after.is_some(), "{}", answer.text);
        if answer.status == StatusCode::TOO_MANY_REQUESTS {
            assert_eq!(answer.error("execution"), "not_run");
            refused += 1;
        }
    }
    assert!(refused > 100, "{refused} of {}", answers.len());
    let sent = entry.engine.orders().len();
    assert!(sent > 0 && sent < answers.len(), "{sent} sent");
}

/// A caller hangs up while its request waits. It must not be sent to an engine later, for nobody.
#[tokio::test]
async fn caller_left() {
    let entry = FakeEntry::new();
    entry.targets.send_replace(view_of(Vec::new()));
    tokio::time::sleep(Duration::from_millis(50)).await;
    let waiting = entry.post(TEXT, &[], BODY);
    let left = tokio::time::timeout(Duration::from_millis(100), waiting).await;
    assert!(left.is_err(), "it waits");
    entry.targets.send_replace(view_of(vec![replica(1)]));
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(entry.engine.orders().is_empty());
}

/// A quiet time with a few short requests is followed by twenty long ones at once, on replicas that
/// are nearly idle. Traders who are refused then stand before idle accelerators.
#[tokio::test]
async fn burst_served() {
    let entry = FakeEntry::new();
    for _ in 0..4 {
        let answer = entry.post(TEXT, &[], BODY).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let long = r#"{"model": "help", "prompt": "p", "max_tokens": 2000}"#;
    let calls = (0..20).map(|_| entry.post(TEXT, &[], long));
    for answer in futures::future::join_all(calls).await {
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    }
}

/// While no replica was there, requests waited in vain. Once it is back, callers with long answers
/// must not be refused for the speed at which the queue moved without it.
#[tokio::test]
async fn absence_forgotten() {
    let entry = FakeEntry::new();
    entry.targets.send_replace(view_of(Vec::new()));
    tokio::time::sleep(Duration::from_millis(50)).await;
    let waiting = (0..4).map(|_| entry.post(TEXT, &[], BODY));
    let back = async {
        tokio::time::sleep(Duration::from_secs(2)).await;
        entry
            .targets
            .send_replace(view_of(vec![replica(1), replica(2)]));
    };
    futures::future::join(futures::future::join_all(waiting), back).await;
    let long = r#"{"model": "help", "prompt": "p", "max_tokens": 2000}"#;
    let calls = (0..20).map(|_| entry.post(TEXT, &[], long));
    for answer in futures::future::join_all(calls).await {
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    }
}
