//! Cost of one decision at the current size and at the size planned for two years from now.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use domain::CustomerKey;
use policy::admission::{AdmissionQueue, AdmissionRequest, OfferOutcome};
use policy::capacity::{CapacityShare, PoolReport, ShareSettings};
use policy::placement::{
    PlacementRequest, PlacementSettings, TargetLoad, TargetPool, TargetProperties,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

/// Number of engines currently and in two years.
const SIZES: [u32; 2] = [50, 1_500];

/// One request offered and one dispatched, with 10 and with 400 waiting customers.
fn admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    for customers in [10_usize, 400] {
        let mut arena: SlotMap<CustomerKey, ()> = SlotMap::with_key();
        let keys: Vec<CustomerKey> = (0..customers).map(|_| arena.insert(())).collect();
        let mut queue = AdmissionQueue::builder().seed(1).max_waiting(4_096).build();
        let mut now = Duration::ZERO;
        let offer = |queue: &mut AdmissionQueue, now: Duration, number: usize| {
            let request = AdmissionRequest::builder()
                .customer(keys[number % customers])
                .deadline(now + Duration::from_hours(1))
                .cost(100)
                .build();
            matches!(queue.offer(now, request), OfferOutcome::Admitted(_))
        };
        for number in 0..800 {
            offer(&mut queue, now, number);
        }
        let mut number = 0;
        group.bench_function(BenchmarkId::new("customers", customers), |bencher| {
            bencher.iter(|| {
                now += Duration::from_millis(1);
                number += 1;
                black_box(offer(&mut queue, now, number));
                black_box(queue.expire(now));
                black_box(queue.next(now, 1))
            });
        });
    }
    group.finish();
}

/// One choice for a prompt of 4 KB, including recording that it was sent.
fn placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    for engines in SIZES {
        let mut pool = TargetPool::new(PlacementSettings::builder().build());
        let properties = TargetProperties::builder().slots(64).build();
        let targets: Vec<_> = (0..engines)
            .map(|_| pool.insert(properties.clone()))
            .collect();
        let load = TargetLoad {
            running: 30,
            prompt_rate: 8_000.0,
            ..TargetLoad::default()
        };
        for target in &targets {
            pool.record_load(*target, Duration::ZERO, load);
        }
        let list = pool.candidates(targets);
        let mut rng = SmallRng::seed_from_u64(1);
        let mut now = Duration::ZERO;
        let mut number = 0_u64;
        group.bench_function(BenchmarkId::new("engines", engines), |bencher| {
            bencher.iter(|| {
                // One entry's part of the peak load: 13 requests per second.
                now += Duration::from_millis(77);
                number += 1;
                let own = (number % 5_000) << 20;
                let prefixes: [u64; 64] = std::array::from_fn(|block| own | block as u64);
                let request = PlacementRequest::builder()
                    .prompt_tokens(1_000)
                    .prefixes(&prefixes)
                    .build();
                let choice = pool.choose(&list, &request, now, |_| true, &mut rng);
                let choice = choice.expect("there are targets");
                pool.record_sent(&choice, &request, now);
                black_box(choice)
            });
        });
    }
    group.finish();
}

/// One round of reports; its cost does not depend on the number of engines.
fn capacity(criterion: &mut Criterion) {
    let settings = ShareSettings::builder().entries(410).build();
    let mut share = CapacityShare::new(settings, 1);
    let report = PoolReport {
        slots: 24_000,
        running: 20_000,
        ..PoolReport::default()
    };
    let mut now = Duration::ZERO;
    criterion.bench_function("capacity/round", |bencher| {
        bencher.iter(|| {
            now += Duration::from_millis(500);
            share.record_offered(now);
            share.record_report(now, report);
            black_box(share.free())
        });
    });
}

criterion_group!(decisions, admission, placement, capacity);
criterion_main!(decisions);
