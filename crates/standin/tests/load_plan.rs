//! Guards against a load that differs between runs of one seed, requests that miss the configured
//! rates and shares, and wrong counts when payments are reconciled with the service's executions.

use std::time::Duration;

use standin::load::call::{LoadOutcome, LoadResult, ReportedExecution};
use standin::load::plan::{LoadPlan, RequestKind};
use standin::load::stats::LoadStats;
use wire::service::LookupBody;

fn plan(seed: u64) -> LoadPlan {
    LoadPlan::builder()
        .entries(vec!["127.0.0.1:1".parse().expect("valid address")])
        .rate(200.0)
        .duration(Duration::from_secs(50))
        .seed(seed)
        .build()
}

#[test]
fn seed_determines_requests() {
    let requests = plan(3).requests().expect("valid plan");
    assert_eq!(requests, plan(3).requests().expect("valid plan"));
    assert_ne!(requests, plan(4).requests().expect("valid plan"));
}

#[test]
fn rate_and_shares_are_met() {
    let requests = plan(3).requests().expect("valid plan");
    let expected = 10_000;
    assert!(
        requests.len().abs_diff(expected) < 400,
        "{}",
        requests.len()
    );
    let is_payment = |kind: &RequestKind| matches!(kind, RequestKind::Payment { .. });
    let payments = requests
        .iter()
        .filter(|request| is_payment(&request.kind))
        .count();
    assert!(payments.abs_diff(expected / 5) < 200, "{payments}");
    let largest_customer = requests
        .iter()
        .filter(|request| request.customer.name == "sandaga-traders");
    assert!(largest_customer.count().abs_diff(expected * 6 / 10) < 300);
}

#[test]
fn payments_are_reconciled() {
    use ReportedExecution::{NotRun, Ran, Unknown};
    let mut stats = LoadStats::new(Duration::from_secs(1));
    let cases = [
        ("fine", Ran, 1),
        ("lost", Ran, 0),
        ("doubled", Ran, 2),
        ("denied", NotRun, 1),
        ("refused", NotRun, 0),
        ("unknown", Unknown, 1),
        ("unknown-too", Unknown, 0),
    ];
    let mut executions_by_key = Vec::new();
    for (key, reported, executions) in cases {
        let result = LoadResult::Payment {
            key: key.to_owned(),
            reported,
            time: Duration::from_millis(5),
        };
        let customer = "sandaga-traders".to_owned();
        stats.add(LoadOutcome { customer, result });
        if executions > 0 {
            executions_by_key.push(LookupBody {
                key: key.to_owned(),
                customer: None,
                executions,
                response: None,
            });
        }
    }
    stats.reconcile(&executions_by_key);
    let report = stats.report(Duration::from_secs(1));
    let counts = report.payments;
    assert_eq!((counts.offered, counts.ran), (7, 3));
    assert_eq!((counts.not_run, counts.unknown), (2, 2));
    assert_eq!((counts.lost, counts.doubled), (1, 1));
    assert_eq!((counts.run_though_denied, counts.unknown_but_run), (1, 1));
    assert!((report.payment_time.p50_ms - 5.0).abs() < 0.1);
}
