//! Refusal at arrival, expiry and the times to come back.

use std::time::Duration;

use crate::baseline::QueueKind;
use crate::driver::callers::{merged, steady};
use crate::driver::{Driver, RunResult, Setup};
use domain::CustomerKey;
use policy::admission::{AdmissionQueue, AdmissionRequest, OfferOutcome};
use quickcheck::{Arbitrary, Gen};
use rand::Rng;
use slotmap::SlotMap;

fn saturate(times: f64, queue: QueueKind, returns: u32) -> (RunResult, f64) {
    let setup = Setup {
        queue,
        returns,
        ..Setup::plain(10, 4)
    };
    let rate = setup.capacity(400, 100);
    let calls = steady(5, rate * times, (0.0, 40.0), |call, rng| {
        call.customer = rng.random_range(0..4);
    });
    let result = Driver::new(&setup).run(&calls);
    let goodput = result.goodput(10.0, 40.0) / (rate * 100.0);
    (result, goodput)
}

/// Demand rises to 2 and to 10 times what the engines can do. Without refusal every caller waits
/// in one long queue and hardly anyone's first token is on time, though all engines are busy.
#[test]
fn goodput_stays_near_capacity() {
    for times in [2.0, 10.0] {
        let (result, goodput) = saturate(times, QueueKind::Fair, 0);
        assert!(goodput > 0.93, "{goodput} at {times} times");
        let late = result.pick(|job| job.first_token.is_some() && !job.on_time());
        assert!(late.len() * 50 < result.jobs.len(), "{} late", late.len());
        let (_, baseline) = saturate(times, QueueKind::FirstCome { bound: 200 }, 0);
        assert!(baseline < 0.1, "first come first served gave {baseline}");
    }
}

/// Refused callers come back when they were told to. If they all came at once, the goodput would
/// fall at each wave.
#[test]
fn returning_callers_do_no_harm() {
    let (_, goodput) = saturate(2.0, QueueKind::Fair, 3);
    assert!(goodput > 0.93, "{goodput}");
}

/// At twice the capacity every engine becomes three times slower. A bound that was right before now
/// keeps every caller waiting for too long, and no answer is on time.
#[test]
fn refusal_follows_the_capacity() {
    let run = |queue| {
        let mut setup = Setup {
            queue,
            ..Setup::plain(10, 15)
        };
        for engine in &mut setup.engines {
            engine.slow = (3.0, 20.0, 90.0);
        }
        let rate = setup.capacity(400, 100);
        let calls = steady(16, rate * 2.0, (0.0, 50.0), |_, _| {});
        let result = Driver::new(&setup).run(&calls);
        result.goodput(30.0, 50.0) / (rate / 3.0 * 100.0)
    };
    let (ours, bound) = (
        run(QueueKind::Fair),
        run(QueueKind::FirstCome { bound: 40 }),
    );
    assert!(ours > 0.9 && bound < 0.2, "{ours} against {bound}");
}

/// A burst of four times the capacity lasts 10 seconds. Those who come back when they were told
/// are all served in the end; those who come back each second meet the same crowd again.
#[test]
fn told_times_serve_the_burst() {
    let run = |fixed_return| {
        let setup = Setup {
            returns: 5,
            fixed_return,
            ..Setup::plain(10, 12)
        };
        let rate = setup.capacity(400, 100);
        let burst = steady(13, rate * 4.0, (5.0, 15.0), |_, _| {});
        let rest = steady(14, rate * 0.5, (0.0, 60.0), |call, _| call.customer = 1);
        let result = Driver::new(&setup).run(&merged(vec![burst, rest]));
        result.on_time(|job| job.call.customer == 0)
    };
    let (told, fixed) = (run(None), run(Some(Duration::from_secs(1))));
    assert!(told > 0.95 && fixed < 0.5, "{told} against {fixed}");
}

fn customer() -> CustomerKey {
    SlotMap::<CustomerKey, ()>::with_key().insert(())
}

fn request(patience: u64, now: Duration) -> AdmissionRequest {
    AdmissionRequest::builder()
        .customer(customer())
        .deadline(now + Duration::from_millis(patience))
        .cost(100)
        .build()
}

/// A queue that drains one request of cost 100 each 100 ms, with `backlog` more waiting.
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

/// A longer queue or a shorter patience never turns a refusal into an admission.
#[test]
fn refusal_is_monotone() {
    let mut refusals = 0;
    for seed in 0..100 {
        let mut source = Gen::from_size_and_seed(100, seed);
        let (backlog, patience) = (
            usize::arbitrary(&mut source) % 60,
            u64::arbitrary(&mut source),
        );
        let patience = patience % 5_000;
        let refused = |backlog, patience| {
            let (mut queue, now) = blocked_queue(backlog);
            let outcome = queue.offer(now, request(patience, now));
            matches!(outcome, OfferOutcome::Refused { .. })
        };
        if !refused(backlog, patience) {
            continue;
        }
        refusals += 1;
        assert!(refused(backlog + 7, patience), "longer queue, seed {seed}");
        assert!(refused(backlog, patience / 2), "less patience, seed {seed}");
    }
    assert!(
        (20..100).contains(&refusals),
        "{refusals} of 100 cases refused"
    );
}

/// A hundred callers are refused in the same moment. Were they told the same time, they would
/// come back as one wave.
#[test]
fn returns_are_spread() {
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
    assert!(most <= 30, "{most} of 100 come back within a second");
}

/// Targets stop answering while requests wait. Their callers learn it as soon as the deadline
/// can't be met, not after a timeout of their own.
#[test]
fn expired_requests_leave_at_once() {
    let mut queue = AdmissionQueue::builder().seed(3).build();
    let OfferOutcome::Admitted(key) = queue.offer(Duration::ZERO, request(1_700, Duration::ZERO))
    else {
        panic!("an empty queue admits");
    };
    assert!(queue.expire(Duration::from_millis(1_600)).is_empty());
    assert_eq!(queue.expire(Duration::from_millis(1_700)), vec![key]);
    assert!(queue.is_empty() && queue.next(Duration::from_secs(2), 1).is_none());
}

/// A burst of one customer before any drain rate is known leaves places for the others.
#[test]
fn full_queue_has_room_for_others() {
    let mut arena: SlotMap<CustomerKey, ()> = SlotMap::with_key();
    let (large, small) = (arena.insert(()), arena.insert(()));
    let mut queue = AdmissionQueue::builder().max_waiting(100).seed(3).build();
    let of = |customer| AdmissionRequest {
        customer,
        ..request(1_700, Duration::ZERO)
    };
    for _ in 0..200 {
        queue.offer(Duration::ZERO, of(large));
    }
    assert_eq!(queue.len(), 50);
    let outcome = queue.offer(Duration::ZERO, of(small));
    assert!(matches!(outcome, OfferOutcome::Admitted(_)));
}
