//! Work that has shifted between models: the shares that operators published don't fit it any more.

use std::collections::BTreeMap;
use std::time::Duration;

use domain::{FabricId, ServiceName};
use quickcheck::TestResult;
use serving::demand::{
    DemandLedger, DemandMeter, ModelDemand, ReportedDemand, ReviewInput, ShareDecider,
    ShareDecision, shares_by_work,
};
use serving::plan::{FabricCapacity, compute_layout};
use serving::{ModelConfig, ReplicaTiming, ServiceConfig};

/// Interval at which a node reviews the shares.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// Hosts of each of the nine fabric domains of these tests.
const DOMAIN_HOSTS: usize = 19;

fn demand(size: usize, busy_replicas: f64, published_share: f64) -> ModelDemand {
    ModelDemand {
        size,
        busy_replicas,
        published_share,
    }
}

fn model(name: &str, size: usize, share: f64) -> ModelConfig {
    ModelConfig {
        name: name.parse().expect("a model"),
        size,
        share,
        time_factor: 1.0,
        load_time: Duration::from_secs(16),
    }
}

/// Replicas of a large and a small model that the layout gives for these shares.
fn replicas(shares: &[f64]) -> [usize; 2] {
    let models = [model("large", 8, shares[0]), model("small", 4, shares[1])];
    let domains: BTreeMap<FabricId, FabricCapacity> = (0..9)
        .map(|index| {
            let fabric = format!("f{index}").parse().expect("a fabric");
            let capacity = FabricCapacity {
                hosts: DOMAIN_HOSTS,
                ..FabricCapacity::default()
            };
            (fabric, capacity)
        })
        .collect();
    let layout = compute_layout(&domains, &models);
    models.map(|model| {
        let counts = layout.values().map(|desired| desired.get(&model.name));
        counts.map(|count| count.copied().unwrap_or(0)).sum()
    })
}

/// Part of its replicas that the busiest model keeps busy.
fn worst_load(replicas: [usize; 2], busy: [f64; 2]) -> f64 {
    let load = |model: usize| {
        let count = u32::try_from(replicas[model].max(1)).expect("few replicas");
        busy[model] / f64::from(count)
    };
    load(0).max(load(1))
}

/// Feeds requests of one model to a meter, `gap` apart.
fn record_steadily(meter: &mut DemandMeter, work: Duration, gap: Duration, until: Duration) {
    let mut now = Duration::ZERO;
    while now < until {
        meter.record(work, now);
        now += gap;
    }
}

/// Ten requests a second of 200 ms keep two replicas busy.
#[test]
fn meter_counts_busy_replicas() {
    let mut meter = DemandMeter::default();
    let gap = Duration::from_millis(100);
    let until = Duration::from_secs(10);
    record_steadily(&mut meter, gap * 2, gap, until);
    let busy = meter.busy_replicas(until).expect("observed for seconds");
    assert!((busy - 2.0).abs() < 0.1, "{busy}");
}

/// Guards against shares that follow the first request that a node sees.
#[test]
fn first_moments_say_nothing() {
    let mut meter = DemandMeter::default();
    meter.record(Duration::from_secs(1), Duration::ZERO);
    assert_eq!(meter.busy_replicas(Duration::from_millis(100)), None);
    assert_eq!(DemandMeter::default().busy_replicas(Duration::MAX), None);
}

#[test]
fn long_requests_count_more() {
    let timing = ReplicaTiming {
        completion_interval: Duration::from_millis(70),
        prefill: Duration::from_millis(20),
        prefill_rate: 50_000.0,
        token_time: Duration::from_micros(500),
        ..ReplicaTiming::default()
    };
    assert_eq!(timing.request_time(0, 0), Duration::from_millis(70));
    assert_eq!(timing.request_time(2000, 0), Duration::from_millis(90));
    assert_eq!(timing.request_time(2000, 20), Duration::from_millis(50));
}

/// Guards against clients of the model that is asked for most who find all of its replicas full, while
/// replicas of the other one stand half empty: the work of a day that shifted, with equal published
/// shares.
#[test]
fn busy_model_gets_hosts() {
    let busy = [3.7, 12.8];
    let shares = shares_by_work(&[demand(8, busy[0], 0.5), demand(4, busy[1], 0.5)]);
    let by_work = replicas(&shares.expect("work is asked for"));
    let published = replicas(&[0.5, 0.5]);
    assert!(worst_load(by_work, busy) < worst_load(published, busy));
    // Three hosts of a domain stay spare. Whole replicas cost either model one at most.
    let serving_hosts = 9 * (DOMAIN_HOSTS - 3);
    let serving_hosts = f64::from(u32::try_from(serving_hosts).expect("few hosts"));
    let even = (8.0 * busy[0] + 4.0 * busy[1]) / serving_hosts;
    assert!(worst_load(by_work.map(|count| count + 1), busy) <= even);
}

/// Guards against a model that nobody asks for during a pause and that has no replica when its clients
/// are back.
#[test]
fn idle_model_keeps_a_third() {
    let shares = shares_by_work(&[demand(8, 0.0, 0.5), demand(4, 10.0, 0.5)]);
    let shares = shares.expect("work is asked for");
    assert!(shares[0] > 0.14, "{shares:?}");
    assert!(replicas(&shares)[0] >= 2);
}

/// Guards against hosts that move because a night is quiet.
#[test]
fn no_work_changes_nothing() {
    assert_eq!(
        shares_by_work(&[demand(8, 0.0, 0.5), demand(4, 0.0, 0.5)]),
        None
    );
    assert_eq!(shares_by_work(&[]), None);
}

/// Times at which a decider changes the shares, if it wants what `wanted` says at each review.
fn decisions(wanted: impl Fn(Duration) -> f64, until: Duration) -> Vec<Duration> {
    let mut decider = ShareDecider::default();
    let mut share = 0.5;
    let mut changes = Vec::new();
    let mut now = Duration::ZERO;
    while now < until {
        let next = wanted(now);
        if decider.decide(&[share, 1.0 - share], &[next, 1.0 - next], now) {
            share = next;
            changes.push(now);
        }
        now += REVIEW_INTERVAL;
    }
    changes
}

/// Guards against replicas that close under their clients for a wave of the traffic.
#[test]
fn wave_moves_no_hosts() {
    let wave = |now: Duration| 0.5 + 0.05 * now.as_secs_f64().sin();
    assert!(decisions(wave, Duration::from_mins(2)).is_empty());
}

/// Guards against hosts that move for a burst that is over before they serve.
#[test]
fn short_burst_moves_no_hosts() {
    let is_burst = |now: Duration| now.as_secs().is_multiple_of(10);
    let burst = |now: Duration| if is_burst(now) { 0.3 } else { 0.5 };
    assert!(decisions(burst, Duration::from_mins(2)).is_empty());
}

/// Guards against shares that never follow, and against some that follow again and again.
#[test]
fn lasting_shift_moves_hosts_once() {
    let shifted = |now: Duration| if now.as_secs() < 10 { 0.5 } else { 0.35 };
    let decided = decisions(shifted, Duration::from_mins(1));
    assert_eq!(decided.len(), 1);
    assert!(decided[0] < Duration::from_secs(14), "{decided:?}");
}

/// A service with two models of equal shares.
fn service() -> ServiceConfig {
    ServiceConfig {
        health_path: None,
        name: "assistant".parse().expect("a service"),
        max_connections: 100,
        models: vec![model("large", 8, 0.5), model("small", 4, 0.5)],
        slots: 30,
        timing: ReplicaTiming::default(),
        loads_per_second: 10.0,
        cold: None,
        memory_tokens: None,
        priorities: Vec::new(),
    }
}

/// Reports of `nodes` nodes that each keep a quarter of a replica of the small model busy.
fn reports(nodes: usize) -> ReportedDemand {
    let name: ServiceName = "assistant".parse().expect("a service");
    let small = "small".parse().expect("a model");
    let demand = [(name, [(small, 250)].into())].into();
    let mut reported = ReportedDemand::default();
    for _ in 0..nodes {
        reported.add(&demand);
    }
    reported
}

/// Reviews the shares for a minute; returns whether the node proposed others.
fn review(ledger: &mut DemandLedger, reporting: usize, nodes: usize) -> bool {
    let (service, reported) = (service(), reports(reporting));
    let mut now = Duration::ZERO;
    while now < Duration::from_mins(1) {
        let input = ReviewInput {
            service: &service,
            reported: &reported,
            nodes,
            clock: Duration::from_secs(100),
        };
        if ledger.review(input, now).is_some() {
            return true;
        }
        now += REVIEW_INTERVAL;
    }
    false
}

fn large_share(ledger: &DemandLedger) -> f64 {
    ledger.planned_models(&service())[0].share
}

/// Guards against a node that follows a decision of which the store, and so nobody else, knows: while
/// the store is away it would move hosts that the others move back.
#[test]
fn unaccepted_proposal_moves_nothing() {
    let mut ledger = DemandLedger::default();
    assert!(review(&mut ledger, 10, 10));
    // A heartbeat that was under way told of nothing.
    assert!(!ledger.finish_proposal(None, true));
    let proposal = ledger.decision_to_write().cloned();
    assert!(proposal.is_some());
    assert!((large_share(&ledger) - 0.5).abs() < 1e-9);
    assert!(!ledger.finish_proposal(proposal.as_ref(), false));
    assert!((large_share(&ledger) - 0.5).abs() < 1e-9);
    assert_eq!(ledger.decision_to_write(), None);
    // It proposes again, and the store is back.
    assert!(review(&mut ledger, 10, 10));
    let proposal = ledger.decision_to_write().cloned();
    assert!(ledger.finish_proposal(proposal.as_ref(), true));
    assert!(large_share(&ledger) < 0.2);
}

/// Guards against shares for all that follow from what a handful of nodes heard.
#[test]
fn few_reports_decide_nothing() {
    assert!(!review(&mut DemandLedger::default(), 10, 100));
    assert!(review(&mut DemandLedger::default(), 30, 100));
}

/// Guards against nodes that go back to an older decision, as heartbeats of before it arrive later.
#[test]
fn older_decision_is_ignored() {
    let decision = |seconds, share| ShareDecision {
        clock: Duration::from_secs(seconds),
        shares: [(
            "assistant".parse().expect("a service"),
            [("large".parse().expect("a model"), share)].into(),
        )]
        .into(),
    };
    let mut ledger = DemandLedger::default();
    assert!(ledger.adopt(&decision(20, 300)));
    assert!(!ledger.adopt(&decision(10, 700)));
    assert!(!ledger.adopt(&decision(20, 700)));
    assert!((large_share(&ledger) - 0.3).abs() < 1e-9);
}

cases::properties! {
    /// Guards against hosts that go to and fro between models, whatever the demand does.
    fn hosts_move_seldom(wanted: Vec<u8>) -> bool {
        let until = REVIEW_INTERVAL * u32::try_from(wanted.len()).unwrap_or(0);
        let at = |now: Duration| {
            let review = now.as_millis() / REVIEW_INTERVAL.as_millis();
            let index = usize::try_from(review).unwrap_or(0);
            f64::from(wanted[index]) / 255.0
        };
        let decided = decisions(at, until);
        decided.windows(2).all(|pair| pair[1].saturating_sub(pair[0]) >= Duration::from_secs(10))
    }

    /// Guards against shares by work under which a model is fuller than under the published ones, but
    /// for the replica that whole numbers may cost.
    fn nobody_is_worse_off(large: u8, small: u8, published: u8) -> TestResult {
        let busy = [f64::from(large) / 20.0, f64::from(small) / 10.0];
        let published = (f64::from(published) / 255.0).clamp(0.2, 0.8);
        let demands = [demand(8, busy[0], published), demand(4, busy[1], 1.0 - published)];
        let Some(shares) = shares_by_work(&demands) else {
            return TestResult::discard();
        };
        let by_work = replicas(&shares).map(|count| count + 1);
        let before = worst_load(replicas(&[published, 1.0 - published]), busy);
        TestResult::from_bool(worst_load(by_work, busy) <= before + 1e-9)
    }
}
