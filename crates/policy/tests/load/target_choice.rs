//! Target selection by the predicted time to first token.

use std::time::Duration;

use crate::baseline::{PlacementKind, QueueKind, ShareKind};
use crate::simulation::workload::poisson_calls;
use crate::simulation::{Call, Job, Scenario, Simulation, SimulationResult};
use domain::{AdapterName, TargetKey};
use policy::placement::{
    AttemptOutcome, PlacementRequest, PlacementSettings, TargetLoad, TargetPool, TargetProperties,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const BASELINES: [PlacementKind; 4] = [
    PlacementKind::Random,
    PlacementKind::RoundRobin,
    PlacementKind::LeastLoaded,
    PlacementKind::TwoChoices,
];

/// Runs two entries in front of 20 engines at three quarters of their capacity; one call in ten is
/// long.
fn run(placement: PlacementKind, adjust: impl Fn(&mut Scenario)) -> SimulationResult {
    let mut scenario = Scenario {
        entries: 2,
        placement,
        share: ShareKind::Unlimited,
        queue: QueueKind::Fifo { limit: usize::MAX },
        ..Scenario::standard(20, 6)
    };
    adjust(&mut scenario);
    let rate = scenario.capacity(400, 100) * 0.55;
    let calls = poisson_calls(7, rate, (0.0, 40.0), |call: &mut Call, rng| {
        call.entry = rng.random_range(0..2);
        if rng.random_bool(0.1) {
            call.prompt *= 8;
            call.response *= 4;
        }
    });
    Simulation::new(&scenario).run(&calls)
}

fn after_start(job: &Job) -> bool {
    job.call.at > 5.0
}

/// With a mix of short and long calls, no baseline has a lower tail latency to the first token.
#[test]
fn mixed_workload_beats_baselines() {
    let predicted = run(PlacementKind::Predicted, |_| {});
    assert!(predicted.on_time(after_start) > 0.998);
    let tail = predicted.first_token(0.99, after_start);
    for baseline in BASELINES {
        let other = run(baseline, |_| {}).first_token(0.99, after_start);
        assert!(
            tail < other * 0.98,
            "{tail} versus {other} for {baseline:?}"
        );
    }
}

/// One engine is four times slower for 20 seconds and then recovers. With the baselines, its
/// clients' first tokens are late.
#[test]
fn straggler_is_ejected() {
    let slow = |scenario: &mut Scenario| scenario.engines[3].slowdown = (4.0, 10.0, 30.0);
    let predicted = run(PlacementKind::Predicted, slow);
    assert!(predicted.on_time(after_start) > 0.995);
    for baseline in [PlacementKind::Random, PlacementKind::RoundRobin] {
        let other = run(baseline, slow).on_time(after_start);
        assert!(other < 0.98, "{other} for {baseline:?}");
    }
}

/// One engine fails every stream immediately and therefore looks idle. Selection by reported load
/// sends it more and more calls, and clients have to wait for the retries.
#[test]
fn fast_failures_attract_no_requests() {
    let failing = |scenario: &mut Scenario| scenario.engines[3].failing = (10.0, 30.0);
    let count = |result: SimulationResult| result.jobs.iter().map(|job| job.failures).sum::<u32>();
    let predicted = count(run(PlacementKind::Predicted, failing));
    let random = count(run(PlacementKind::Random, failing));
    let reported = count(run(PlacementKind::TwoChoices, failing));
    assert!(predicted * 2 < random, "{predicted} versus {random}");
    assert!(predicted * 4 < reported, "{predicted} versus {reported}");
}

/// Reports stop for 20 seconds. A selection that relies on the last ones sends everything to the
/// engines that were idle then.
#[test]
fn outdated_reports_do_not_misdirect_requests() {
    let outage = |scenario: &mut Scenario| scenario.report_outage = (10.0, 30.0);
    let predicted = run(PlacementKind::Predicted, outage).on_time(after_start);
    let reported = run(PlacementKind::TwoChoices, outage).on_time(after_start);
    assert!(predicted > 0.99, "{predicted}");
    assert!(reported < 0.97, "{reported}");
}

struct Fixture {
    pool: TargetPool,
    targets: Vec<TargetKey>,
    rng: SmallRng,
}

impl Fixture {
    fn new(count: usize) -> Self {
        let mut pool = TargetPool::new(PlacementSettings::builder().build());
        let properties = TargetProperties::builder().slots(8).build();
        let targets = (0..count)
            .map(|_| pool.insert(properties.clone()))
            .collect();
        Self {
            pool,
            targets,
            rng: SmallRng::seed_from_u64(5),
        }
    }

    /// Sends a request at `now`, ends it with `outcome` and returns the target that it was sent to.
    fn send(&mut self, now: Duration, outcome: impl Fn(TargetKey) -> AttemptOutcome) -> TargetKey {
        let list = self.pool.candidates(self.targets.iter().copied());
        let request = PlacementRequest::default();
        let choice = self
            .pool
            .choose(&list, &request, now, |_| true, &mut self.rng);
        let choice = choice.expect("targets are available");
        self.pool.record_sent(&choice, &request, now);
        let outcome = outcome(choice.target);
        let later = now + Duration::from_millis(10);
        if outcome == AttemptOutcome::Finished {
            self.pool
                .record_first_token(&choice, later, Duration::from_millis(10));
        }
        self.pool
            .record_ended(choice.target, later, Duration::from_millis(10), outcome);
        choice.target
    }
}

/// A failed target is probed with one request at a time and used again soon after it has recovered;
/// the longer it keeps failing, the fewer probes it gets.
#[test]
fn recovered_target_is_used_again() {
    let mut fixture = Fixture::new(4);
    let bad = fixture.targets[0];
    let mut attempts = 0;
    for step in 0..600 {
        let now = Duration::from_millis(step * 100);
        let target = fixture.send(now, |target| {
            if target == bad {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Finished
            }
        });
        attempts += usize::from(target == bad);
    }
    assert!(
        (3..=12).contains(&attempts),
        "{attempts} attempts in a minute"
    );
    let mut used = 0;
    for step in 600..1_200 {
        let now = Duration::from_millis(step * 100);
        let target = fixture.send(now, |_| AttemptOutcome::Finished);
        used += usize::from(target == bad && step > 950);
    }
    assert!(used > 30, "{used} of 250 requests after its recovery");
}

/// A target fails in every other second. If it were used again immediately after each good second,
/// its failures would be as frequent as with random selection, which is 150.
#[test]
fn flapping_target_causes_few_failures() {
    let mut fixture = Fixture::new(4);
    let bad = fixture.targets[0];
    let mut failures = 0;
    for step in 0..1_200 {
        let now = Duration::from_millis(step * 100);
        let failing = (step / 10) % 2 == 1;
        let target = fixture.send(now, |target| {
            if failing && target == bad {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Finished
            }
        });
        failures += usize::from(failing && target == bad);
    }
    assert!(failures < 75, "{failures} failures");
}

/// The entry's own network fails, so that every target appears to fail. The entry must keep
/// sending, or clients would be refused long after the network has recovered.
#[test]
fn most_targets_stay_in_use() {
    let mut fixture = Fixture::new(10);
    let mut seen = domain::FastSet::default();
    for step in 0..400 {
        let now = Duration::from_millis(10_000 + step * 10);
        let target = fixture.send(now, |_| AttemptOutcome::Failed);
        if step > 200 {
            seen.insert(target);
        }
    }
    assert!(seen.len() >= 7, "{} of 10 are still in use", seen.len());
}

/// The filter accepts a single target, which is found; if it accepts none, none is chosen.
#[test]
fn usable_filter_is_respected() {
    let mut fixture = Fixture::new(500);
    let usable = fixture.targets[321];
    let list = fixture.pool.candidates(fixture.targets.iter().copied());
    let request = PlacementRequest::default();
    let accept = |target| target == usable;
    let choice = fixture
        .pool
        .choose(&list, &request, Duration::ZERO, accept, &mut fixture.rng);
    assert_eq!(choice.map(|choice| choice.target), Some(usable));
    let none = fixture
        .pool
        .choose(&list, &request, Duration::ZERO, |_| false, &mut fixture.rng);
    assert!(none.is_none());
}

/// Forty requests arrive between two reports, after one that shows one target idle and one lightly
/// loaded. The entry's own sends are counted, so that not all requests go to the idle one.
#[test]
fn own_sends_correct_the_report() {
    let mut fixture = Fixture::new(2);
    let now = Duration::from_secs(1);
    let load = TargetLoad {
        running: 2,
        ..TargetLoad::default()
    };
    fixture.pool.record_load(fixture.targets[0], now, load);
    fixture
        .pool
        .record_load(fixture.targets[1], now, TargetLoad::default());
    let list = fixture.pool.candidates(fixture.targets.iter().copied());
    let request = PlacementRequest::builder().prompt_tokens(100).build();
    let mut counts = [0, 0];
    for _ in 0..40 {
        let choice = fixture
            .pool
            .choose(&list, &request, now, |_| true, &mut fixture.rng)
            .expect("targets are available");
        fixture.pool.record_sent(&choice, &request, now);
        counts[usize::from(choice.target == fixture.targets[1])] += 1;
    }
    assert!(counts[0] >= 16 && counts[1] >= 16, "{counts:?}");
}

/// Near targets are preferred until they are loaded, and a loaded adapter outweighs a longer round
/// trip.
#[test]
fn round_trip_and_adapters_are_weighed() {
    let adapter: AdapterName = "badges".parse().expect("a name");
    let mut pool = TargetPool::new(PlacementSettings::builder().build());
    let far = TargetProperties::builder()
        .slots(8)
        .round_trip(Duration::from_millis(60))
        .adapters(vec![adapter.clone()])
        .build();
    let near = TargetProperties::builder().slots(8).build();
    let (far, near) = (pool.insert(far), pool.insert(near));
    let list = pool.candidates([far, near]);
    assert_eq!(list.as_slice(), [near, far]);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut choose = |pool: &mut TargetPool, adapter| {
        let request = PlacementRequest::builder().maybe_adapter(adapter).build();
        let choice = pool.choose(&list, &request, Duration::ZERO, |_| true, &mut rng);
        choice.expect("targets are available").target
    };
    let to_far = (0..50).filter(|_| choose(&mut pool, None) == far).count();
    assert!(to_far < 5, "{to_far} of 50 went to the distant target");
    let to_far = (0..50).filter(|_| choose(&mut pool, Some(&adapter)) == far);
    assert!(to_far.count() > 40);
}
