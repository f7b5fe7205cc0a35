//! Refusal on arrival, expiry and retry times.

use std::time::Duration;

use crate::baseline::QueueKind;
use crate::simulation::workload::{merge_calls, poisson_calls};
use crate::simulation::{Scenario, Simulation, SimulationResult};
use domain::CustomerKey;
use policy::admission::{AdmissionQueue, AdmissionRequest, OfferOutcome};
use quickcheck::{Arbitrary, Gen};
use rand::Rng;
use slotmap::SlotMap;

fn saturate(times: f64, queue: QueueKind, max_retries: u32) -> (SimulationResult, f64) {
    let scenario = Scenario {
        queue,
        max_retries,
        ..Scenario::standard(10, 4)
    };
    let rate = scenario.capacity(400, 100);
    let calls = poisson_calls(5, rate * times, (0.0, 40.0), |call, rng| {
        call.customer = rng.random_range(0..4);
    });
    let result = Simulation::new(&scenario).run(&calls);
    let goodput = result.goodput(10.0, 40.0) / (rate * 100.0);
    (result, goodput)
}

/// Demand rises to 2 and to 10 times the capacity. Without refusal, all clients wait in one long
/// queue and hardly any first token is on time, although all engines are busy.
#[test]
fn goodput_stays_near_capacity() {
    for times in [2.0, 10.0] {
        let (result, goodput) = saturate(times, QueueKind::Fair, 0);
        assert!(goodput > 0.93, "{goodput} at {times} times");
        let late = result.select(|job| job.first_token.is_some() && !job.on_time());
        assert!(late.len() * 50 < result.jobs.len(), "{} late", late.len());
        let (_, baseline) = saturate(times, QueueKind::Fifo { limit: 200 }, 0);
        assert!(baseline < 0.1, "FIFO gave {baseline}");
    }
}

/// Refused clients retry at the assigned times. If all retried at the same time, goodput would
/// drop with each burst.
#[test]
fn retries_do_not_reduce_goodput() {
    let (_, goodput) = saturate(2.0, QueueKind::Fair, 3);
    assert!(goodput > 0.93, "{goodput}");
}

/// At a demand of twice the capacity every engine becomes three times slower. A queue limit that
/// was right before now makes every client wait too long, and no response is on time.
#[test]
fn refusal_adapts_to_capacity() {
    let run = |queue| {
        let mut scenario = Scenario {
            queue,
            ..Scenario::standard(10, 15)
        };
        for engine in &mut scenario.engines {
            engine.slowdown = (3.0, 20.0, 90.0);
        }
        let rate = scenario.capacity(400, 100);
        let calls = poisson_calls(16, rate * 2.0, (0.0, 50.0), |_, _| {});
        let result = Simulation::new(&scenario).run(&calls);
        result.goodput(30.0, 50.0) / (rate / 3.0 * 100.0)
    };
    let (fair, fifo) = (run(QueueKind::Fair), run(QueueKind::Fifo { limit: 40 }));
    assert!(fair > 0.9 && fifo < 0.2, "{fair} versus {fifo}");
}

/// A burst of four times the capacity lasts 10 seconds. Clients that retry at the assigned times
/// are eventually served; if they retry every second, they meet the same overload again.
#[test]
fn retry_times_serve_the_whole_burst() {
    let run = |fixed_retry_after| {
        let scenario = Scenario {
            max_retries: 5,
            fixed_retry_after,
            ..Scenario::standard(10, 12)
        };
        let rate = scenario.capacity(400, 100);
        let burst = poisson_calls(13, rate * 4.0, (5.0, 15.0), |_, _| {});
        let rest = poisson_calls(14, rate * 0.5, (0.0, 60.0), |call, _| call.customer = 1);
        let result = Simulation::new(&scenario).run(&merge_calls(vec![burst, rest]));
        result.on_time(|job| job.call.customer == 0)
    };
    let (assigned, fixed) = (run(None), run(Some(Duration::from_secs(1))));
    assert!(assigned > 0.95 && fixed < 0.5, "{assigned} versus {fixed}");
}

fn customer() -> CustomerKey {
    SlotMap::<CustomerKey, ()>::with_key().insert(())
}

fn request(time_left: u64, now: Duration) -> AdmissionRequest {
    AdmissionRequest::builder()
        .customer(customer())
        .deadline(now + Duration::from_millis(time_left))
        .cost(100)
        .build()
}

/// Returns a queue that drains one request of cost 100 every 100 ms, with `backlog` requests
/// waiting.
fn blocked_queue(backlog: usize) -> (AdmissionQueue, Duration) {
    let mut queue = AdmissionQueue::builder().seed(3).build();
    let mut now = Duration::ZERO;
    for _ in 0..backlog + 50 {
        queue.offer(now, request(100_000, now));
    }
    for _ in 0..50 {
        now += Duration::from_millis(100);
        queue.next(now, 1);
        queue.next(now, 0);
    }
    (queue, now)
}

/// A longer queue or less time to the deadline never turns a refusal into an admission.
#[test]
fn refusal_is_monotonic() {
    let mut refusals = 0;
    for seed in 0..100 {
        let mut source = Gen::from_size_and_seed(100, seed);
        let (backlog, time_left) = (
            usize::arbitrary(&mut source) % 60,
            u64::arbitrary(&mut source),
        );
        let time_left = time_left % 5_000;
        let refused = |backlog, time_left| {
            let (mut queue, now) = blocked_queue(backlog);
            let outcome = queue.offer(now, request(time_left, now));
            matches!(outcome, OfferOutcome::Refused { .. })
        };
        if !refused(backlog, time_left) {
            continue;
        }
        refusals += 1;
        assert!(refused(backlog + 7, time_left), "longer queue, seed {seed}");
        assert!(
            refused(backlog, time_left / 2),
            "less time left, seed {seed}"
        );
    }
    assert!(
        (20..100).contains(&refusals),
        "{refusals} of 100 cases refused"
    );
}

/// A hundred clients are refused at the same time. If all got the same retry time, they would
/// return in one burst.
#[test]
fn retry_times_are_spread() {
    let (mut queue, now) = blocked_queue(100);
    let mut times = Vec::new();
    for _ in 0..100 {
        let OfferOutcome::Refused { retry_after, .. } = queue.offer(now, request(1_000, now))
        else {
            panic!("the wait is 10 s");
        };
        times.push(retry_after);
    }
    times.sort();
    assert!(times[0] >= Duration::from_millis(500));
    assert!(times[99] <= Duration::from_secs(30));
    let mut most = 0;
    for time in &times {
        let within = times
            .iter()
            .filter(|other| **other >= *time && **other < *time + Duration::from_secs(1));
        most = most.max(within.count());
    }
    assert!(most <= 30, "{most} of 100 retry within a second");
}

/// Targets stop responding while requests wait. Clients are told as soon as the deadline can't be
/// met, not after a timeout of their own.
#[test]
fn expired_requests_are_removed_immediately() {
    let mut queue = AdmissionQueue::builder().seed(3).build();
    let OfferOutcome::Admitted(key) = queue.offer(Duration::ZERO, request(1_700, Duration::ZERO))
    else {
        panic!("an empty queue must admit");
    };
    assert!(queue.expire(Duration::from_millis(1_600)).is_empty());
    assert_eq!(queue.expire(Duration::from_millis(1_700)), vec![key]);
    assert!(queue.is_empty() && queue.next(Duration::from_secs(2), 1).is_none());
}

/// A burst of one customer before the drain rate is known leaves places for other customers.
#[test]
fn full_queue_leaves_places_for_others() {
    let mut arena: SlotMap<CustomerKey, ()> = SlotMap::with_key();
    let (large, small) = (arena.insert(()), arena.insert(()));
    let mut queue = AdmissionQueue::builder().max_waiting(100).seed(3).build();
    let request_of = |customer| AdmissionRequest {
        customer,
        ..request(1_700, Duration::ZERO)
    };
    for _ in 0..200 {
        queue.offer(Duration::ZERO, request_of(large));
    }
    assert_eq!(queue.len(), 50);
    let outcome = queue.offer(Duration::ZERO, request_of(small));
    assert!(matches!(outcome, OfferOutcome::Admitted(_)));
}
