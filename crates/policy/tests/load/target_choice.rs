//! Choosing a target by its predicted time to the first token.

use std::time::Duration;

use crate::baseline::{PlaceKind, QueueKind, ShareKind};
use crate::driver::callers::steady;
use crate::driver::{Call, Driver, Job, RunResult, Setup};
use domain::{AdapterName, TargetKey};
use policy::placement::{
    AttemptOutcome, PlacementRequest, PlacementSettings, TargetLoad, TargetPool, TargetProperties,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const BASELINES: [PlaceKind; 4] = [
    PlaceKind::Random,
    PlaceKind::RoundRobin,
    PlaceKind::LeastReported,
    PlaceKind::TwoReported,
];

/// Two entries before 20 engines at three quarters of their capacity; one call in ten is long.
fn run(place: PlaceKind, form: impl Fn(&mut Setup)) -> RunResult {
    let mut setup = Setup {
        entries: 2,
        place,
        share: ShareKind::Unlimited,
        queue: QueueKind::FirstCome { bound: usize::MAX },
        ..Setup::plain(20, 6)
    };
    form(&mut setup);
    let rate = setup.capacity(400, 100) * 0.55;
    let calls = steady(7, rate, (0.0, 40.0), |call: &mut Call, rng| {
        call.entry = rng.random_range(0..2);
        if rng.random_bool(0.1) {
            call.prompt *= 8;
            call.answer *= 4;
        }
    });
    Driver::new(&setup).run(&calls)
}

fn after_start(job: &Job) -> bool {
    job.call.at > 5.0
}

/// Short and long work together: no baseline has a better tail of first-token times.
#[test]
fn mixed_work_beats_the_baselines() {
    let ours = run(PlaceKind::Predicted, |_| {});
    assert!(ours.on_time(after_start) > 0.998);
    let tail = ours.first_token(0.99, after_start);
    for baseline in BASELINES {
        let theirs = run(baseline, |_| {}).first_token(0.99, after_start);
        assert!(
            tail < theirs * 0.98,
            "{tail} against {theirs} of {baseline:?}"
        );
    }
}

/// One engine becomes four times slower for 20 seconds and recovers. Its callers' first tokens
/// are late with the baselines.
#[test]
fn straggler_is_left_out() {
    let slow = |setup: &mut Setup| setup.engines[3].slow = (4.0, 10.0, 30.0);
    let ours = run(PlaceKind::Predicted, slow);
    assert!(ours.on_time(after_start) > 0.995);
    for baseline in [PlaceKind::Random, PlaceKind::RoundRobin] {
        let theirs = run(baseline, slow).on_time(after_start);
        assert!(theirs < 0.98, "{theirs} of {baseline:?}");
    }
}

/// One engine fails every stream at once and therefore looks idle. A choice by reported load
/// sends it more and more; callers notice by the retries.
#[test]
fn fast_failures_attract_nothing() {
    let failing = |setup: &mut Setup| setup.engines[3].fails = (10.0, 30.0);
    let count = |result: RunResult| result.jobs.iter().map(|job| job.failures).sum::<u32>();
    let ours = count(run(PlaceKind::Predicted, failing));
    let random = count(run(PlaceKind::Random, failing));
    let reported = count(run(PlaceKind::TwoReported, failing));
    assert!(ours * 2 < random, "{ours} against {random}");
    assert!(ours * 4 < reported, "{ours} against {reported}");
}

/// The reports stop for 20 seconds. Whoever trusts the last ones sends everything to the engines
/// that were idle then.
#[test]
fn old_reports_mislead_no_one() {
    let cut = |setup: &mut Setup| setup.blackout = (10.0, 30.0);
    let ours = run(PlaceKind::Predicted, cut).on_time(after_start);
    let reported = run(PlaceKind::TwoReported, cut).on_time(after_start);
    assert!(ours > 0.99, "{ours}");
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

    /// Sends a request at `now` and ends it with `outcome`, and tells where it went.
    fn send(&mut self, now: Duration, outcome: impl Fn(TargetKey) -> AttemptOutcome) -> TargetKey {
        let list = self.pool.candidates(self.targets.iter().copied());
        let request = PlacementRequest::default();
        let choice = self
            .pool
            .choose(&list, &request, now, |_| true, &mut self.rng);
        let choice = choice.expect("there are targets");
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

/// A target that failed is tried again with one request at a time, and is back in use soon after
/// it has recovered; while it flaps it gets ever fewer tries.
#[test]
fn recovered_target_returns() {
    let mut fixture = Fixture::new(4);
    let bad = fixture.targets[0];
    let mut tries = 0;
    for step in 0..600 {
        let now = Duration::from_millis(step * 100);
        let target = fixture.send(now, |target| {
            if target == bad {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Finished
            }
        });
        tries += usize::from(target == bad);
    }
    assert!((3..=12).contains(&tries), "{tries} tries in a minute");
    let mut back = 0;
    for step in 600..1_200 {
        let now = Duration::from_millis(step * 100);
        let target = fixture.send(now, |_| AttemptOutcome::Finished);
        back += usize::from(target == bad && step > 950);
    }
    assert!(back > 30, "{back} of 250 requests after its recovery");
}

/// A target fails in every other second. Its good seconds must not win it back at once, or callers
/// of the bad ones meet it as often as by chance, which is 150 times.
#[test]
fn flapping_target_costs_little() {
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

/// The entry's own network fails, so that every target seems to fail. It must go on trying, or
/// callers would be refused long after the network is back.
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
    assert!(seen.len() >= 7, "{} of 10 are still tried", seen.len());
}

/// The gate closes for all targets but one; that one is found.
#[test]
fn closed_gate_is_respected() {
    let mut fixture = Fixture::new(500);
    let open = fixture.targets[321];
    let list = fixture.pool.candidates(fixture.targets.iter().copied());
    let request = PlacementRequest::default();
    let only = |target| target == open;
    let choice = fixture
        .pool
        .choose(&list, &request, Duration::ZERO, only, &mut fixture.rng);
    assert_eq!(choice.map(|choice| choice.target), Some(open));
    let none = fixture
        .pool
        .choose(&list, &request, Duration::ZERO, |_| false, &mut fixture.rng);
    assert!(none.is_none());
}

/// Forty requests arrive between two reports, of which the last shows one target idle and one with
/// a little work. The own sends count, so that not all of them go to the idle one.
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
            .expect("there are targets");
        fixture.pool.record_sent(&choice, &request, now);
        counts[usize::from(choice.target == fixture.targets[1])] += 1;
    }
    assert!(counts[0] >= 16 && counts[1] >= 16, "{counts:?}");
}

/// Near targets are preferred until they are loaded, and a loaded adapter is worth a longer way.
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
        choice.expect("there are targets").target
    };
    let to_far = (0..50).filter(|_| choose(&mut pool, None) == far).count();
    assert!(to_far < 5, "{to_far} of 50 took the long way");
    let to_far = (0..50).filter(|_| choose(&mut pool, Some(&adapter)) == far);
    assert!(to_far.count() > 40);
}
