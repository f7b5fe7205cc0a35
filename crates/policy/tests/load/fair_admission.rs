//! Fairness between customers at one entry.

use std::time::Duration;

use crate::baseline::QueueKind;
use crate::simulation::workload::{merge_calls, poisson_calls};
use crate::simulation::{Call, Job, Scenario, Simulation};
use domain::CustomerKey;
use policy::admission::{
    AdmissionQueue, AdmissionRequest, FinishedRequest, OfferOutcome, RequestKey,
};
use quickcheck::{Arbitrary, Gen};
use rand::Rng;
use slotmap::SlotMap;

const CASES: u64 = 200;

fn customers(count: usize) -> Vec<CustomerKey> {
    let mut arena: SlotMap<CustomerKey, ()> = SlotMap::with_key();
    (0..count).map(|_| arena.insert(())).collect()
}

fn request(customer: CustomerKey, deadline: u64) -> AdmissionRequest {
    AdmissionRequest::builder()
        .customer(customer)
        .deadline(Duration::from_secs(deadline))
        .cost(10)
        .build()
}

fn admit(
    queue: &mut AdmissionQueue,
    now: Duration,
    request: AdmissionRequest,
) -> Option<RequestKey> {
    match queue.offer(now, request) {
        OfferOutcome::Admitted(key) => Some(key),
        OfferOutcome::Refused { .. } => None,
    }
}

fn small_calls(rate: f64) -> Vec<Call> {
    poisson_calls(2, rate, (0.0, 60.0), |call, rng| {
        call.customer = rng.random_range(1..4);
    })
}

/// A large customer sends four times the capacity for 20 seconds. The requests of three small
/// customers, at their normal rate, must stay on time.
#[test]
fn burst_leaves_small_customers_on_time() {
    let run = |queue| {
        let scenario = Scenario {
            queue,
            ..Scenario::standard(10, 1)
        };
        let rate = scenario.capacity(400, 100);
        let burst = poisson_calls(3, rate * 4.0, (20.0, 40.0), |_, _| {});
        let calls = merge_calls(vec![small_calls(rate * 0.3), burst]);
        Simulation::new(&scenario).run(&calls)
    };
    let small = |job: &Job| job.call.customer > 0 && (20.0..40.0).contains(&job.call.at);
    let fair = run(QueueKind::Fair);
    let fifo = run(QueueKind::Fifo { limit: 200 });
    assert!(fair.on_time(small) > 0.99, "{}", fair.on_time(small));
    assert!(fifo.on_time(small) < 0.3);
    let quiet = Scenario::standard(10, 1);
    let rate = quiet.capacity(400, 100);
    let alone = Simulation::new(&quiet).run(&small_calls(rate * 0.3));
    let added_delay = fair.first_token(0.95, small) - alone.first_token(0.95, small);
    assert!(
        added_delay < 0.4,
        "the burst delayed small customers by {added_delay} s"
    );
}

/// Two customers with shares of 3 and 1 always have requests waiting; three quarters and one
/// quarter of the dispatched requests are theirs.
#[test]
fn dispatches_follow_shares() {
    let keys = customers(2);
    let mut queue = AdmissionQueue::builder().seed(1).build();
    let mut owners = slotmap::SecondaryMap::new();
    for _ in 0..100 {
        for (customer, share) in [(keys[0], 3), (keys[1], 1)] {
            let request = AdmissionRequest {
                share,
                ..request(customer, 1_000)
            };
            let key = admit(&mut queue, Duration::ZERO, request).expect("the queue has room");
            owners.insert(key, customer);
        }
    }
    let sent: Vec<RequestKey> = (0..80)
        .filter_map(|_| queue.next(Duration::from_secs(1), 1))
        .collect();
    let first = sent.iter().filter(|key| owners[**key] == keys[0]).count();
    assert!((59..=61).contains(&first), "{first} of 80");
}

/// Background work yields to all other requests, but gets one dispatch in 16.
#[test]
fn background_work_is_not_starved() {
    let keys = customers(2);
    let mut queue = AdmissionQueue::builder().seed(1).build();
    let background = AdmissionRequest {
        priority: -1,
        ..request(keys[0], 1_000)
    };
    let last = admit(&mut queue, Duration::ZERO, background).expect("the queue has room");
    for _ in 0..64 {
        admit(&mut queue, Duration::ZERO, request(keys[1], 1_000));
    }
    let position = (1..=64).find(|_| queue.next(Duration::ZERO, 1) == Some(last));
    assert_eq!(position, Some(16));
}

/// A customer's background requests turn out longer than predicted. Its other requests must not
/// wait longer for that: the correction belongs to the background queue.
#[test]
fn background_correction_charged_apart() {
    let keys = customers(2);
    let mut queue = AdmissionQueue::builder().seed(1).build();
    let mut owners = domain::FastMap::default();
    for _ in 0..20 {
        for key in &keys {
            let admitted = admit(&mut queue, Duration::ZERO, request(*key, 1_000));
            owners.insert(admitted.expect("the queue has room"), *key);
        }
    }
    for _ in 0..5 {
        let finished = FinishedRequest::builder()
            .customer(keys[0])
            .priority(-1)
            .predicted_cost(10)
            .actual_cost(1_000)
            .build();
        queue.record_finished(Duration::ZERO, finished);
    }
    let sent: Vec<RequestKey> = (0..10)
        .filter_map(|_| queue.next(Duration::from_secs(1), 1))
        .collect();
    let first = sent.iter().filter(|key| owners[*key] == keys[0]).count();
    assert_eq!(first, 5, "{first} of 10");
}

/// One operation of a random sequence on the queue.
#[derive(Debug, Clone, Copy)]
enum Operation {
    Offer(usize, u32),
    Next,
    Cancel,
    Wait(u64),
}

impl Arbitrary for Operation {
    fn arbitrary(source: &mut Gen) -> Self {
        match u8::arbitrary(source) % 8 {
            0..=3 => Self::Offer(
                usize::arbitrary(source) % 3,
                u32::arbitrary(source) % 100 + 1,
            ),
            4 | 5 => Self::Next,
            6 => Self::Cancel,
            _ => Self::Wait(u64::arbitrary(source) % 300),
        }
    }
}

/// For any sequence of operations, the queue stays within its limit, a free slot is used whenever a
/// request waits, no request is returned twice, and each admitted one is dispatched, expired or
/// cancelled.
#[test]
fn queue_is_work_conserving_and_bounded() {
    for seed in 0..CASES {
        let operations = Vec::<Operation>::arbitrary(&mut Gen::from_size_and_seed(200, seed));
        let keys = customers(3);
        let mut queue = AdmissionQueue::builder().max_waiting(20).seed(seed).build();
        let mut waiting = domain::FastSet::default();
        let mut now = Duration::ZERO;
        for operation in operations {
            match operation {
                Operation::Offer(customer, cost) => {
                    let request = AdmissionRequest {
                        cost,
                        deadline: now + Duration::from_secs(2),
                        ..request(keys[customer], 0)
                    };
                    if let Some(key) = admit(&mut queue, now, request) {
                        assert!(waiting.insert(key));
                    }
                }
                Operation::Next => {
                    let next = queue.next(now, 1);
                    assert_eq!(next.is_none(), waiting.is_empty());
                    assert!(next.is_none_or(|key| waiting.remove(&key)));
                }
                Operation::Cancel => {
                    let Some(key) = waiting.iter().copied().next() else {
                        continue;
                    };
                    assert!(queue.cancel(key) && waiting.remove(&key));
                }
                Operation::Wait(millis) => {
                    now += Duration::from_millis(millis);
                    for key in queue.expire(now) {
                        assert!(waiting.remove(&key));
                    }
                }
            }
            assert!(queue.len() <= 20);
            assert_eq!(queue.len(), waiting.len());
        }
    }
}

/// For any backlogs of other customers, a customer's first request is dispatched after at most one
/// request of each of them.
#[test]
fn new_customer_waits_for_one_request_per_customer() {
    for seed in 0..CASES {
        let sizes = Vec::<u8>::arbitrary(&mut Gen::from_size_and_seed(8, seed));
        let keys = customers(sizes.len() + 1);
        let mut queue = AdmissionQueue::builder().seed(seed).build();
        for (customer, size) in keys.iter().zip(&sizes) {
            for _ in 0..size % 40 {
                admit(&mut queue, Duration::ZERO, request(*customer, 1_000));
            }
        }
        let newcomer = request(keys[sizes.len()], 1_000);
        let key = admit(&mut queue, Duration::ZERO, newcomer).expect("the queue has room");
        let position = (0..=sizes.len()).find(|_| queue.next(Duration::ZERO, 1) == Some(key));
        assert!(position.is_some(), "seed {seed}");
    }
}
