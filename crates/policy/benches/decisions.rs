//! Cost of one decision at the size of today and at the target of two years.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use domain::CustomerKey;
use policy::admission::{AdmissionQueue, OfferOutcome, WaitingRequest};
use policy::assembly::{
    AssemblyHost, AssemblyReplica, AssemblySettings, AssemblyState, HostPresence, ReplicaStage,
    WantedReplicas, plan_round,
};
use policy::capacity::{CapacityShare, PoolReport, ShareSettings};
use policy::placement::{PlacementRequest, PlacementSettings, TargetFacts, TargetLoad, TargetPool};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

/// Engines today and in two years, with the hosts of one replica.
const SIZES: [(u32, u32); 2] = [(50, 4), (1_500, 16)];

fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text} is no id"))
}

/// One request offered and one sent, with 10 and with 400 customers waiting.
fn admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    for customers in [10_usize, 400] {
        let mut arena: SlotMap<CustomerKey, ()> = SlotMap::with_key();
        let keys: Vec<CustomerKey> = (0..customers).map(|_| arena.insert(())).collect();
        let mut queue = AdmissionQueue::builder().seed(1).max_waiting(4_096).build();
        let mut now = Duration::ZERO;
        let offer = |queue: &mut AdmissionQueue, now: Duration, number: usize| {
            let request = WaitingRequest::builder()
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

/// One choice for a prompt of 4 KB and the note of its sending.
fn placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    for (engines, _) in SIZES {
        let mut pool = TargetPool::new(PlacementSettings::builder().build());
        let facts = TargetFacts::builder().slots(64).build();
        let targets: Vec<_> = (0..engines).map(|_| pool.insert(facts.clone())).collect();
        let load = TargetLoad {
            running: 30,
            prompt_rate: 8_000.0,
            ..TargetLoad::default()
        };
        for target in &targets {
            pool.note_load(*target, Duration::ZERO, load);
        }
        let list = pool.candidates(targets);
        let mut rng = SmallRng::seed_from_u64(1);
        let mut now = Duration::ZERO;
        let mut number = 0_u64;
        group.bench_function(BenchmarkId::new("engines", engines), |bencher| {
            bencher.iter(|| {
                // One entry's part of the peak: 13 requests a second.
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
                pool.note_sent(&choice, &request, now);
                black_box(choice)
            });
        });
    }
    group.finish();
}

/// One round of reports into the share; it does not depend on the number of engines.
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
            share.note_offered(now);
            share.note_report(now, report);
            black_box(share.free())
        });
    });
}

/// A state with every replica formed, one host of each twentieth lost, in fabric domains of 64
/// hosts and a spare for each group of 16.
fn assembled(engines: u32, size: u32) -> AssemblyState {
    let per_fabric = 64 / size;
    let mut state = AssemblyState {
        wanted: vec![WantedReplicas {
            model: id("help"),
            version: id("v1"),
            replicas: engines,
            extra: 0,
            hosts_per_replica: size,
        }],
        ..AssemblyState::default()
    };
    for engine in 0..engines {
        let fabric = engine / per_fabric;
        let replica = id(&format!("r{engine}"));
        let lost = engine % 20 == 7;
        let count = size + u32::from(engine % per_fabric == 0);
        let mut hosts = Vec::new();
        for rank in 0..count {
            let spare = rank == size;
            let host: domain::HostId = id(&format!("h{engine:04}-{rank:02}"));
            let absent = lost && rank == 0;
            state.hosts.push(AssemblyHost {
                id: host.clone(),
                fabric: id(&format!("f{fabric}")),
                domain: id(&format!("d{}", fabric % 13)),
                presence: if absent {
                    HostPresence::Absent(Duration::from_mins(5))
                } else {
                    HostPresence::Present
                },
                replica: (!spare).then(|| Clone::clone(&replica)),
                loaded: None,
            });
            if !spare {
                hosts.push(host);
            }
        }
        state.replicas.push(AssemblyReplica {
            id: replica,
            model: id("help"),
            version: id("v1"),
            fabric: id(&format!("f{fabric}")),
            hosts,
            stage: ReplicaStage::Ready,
        });
    }
    state
}

/// One round over all fabric domains; a lease holder plans only its own.
fn assembly(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("assembly");
    group.sample_size(20);
    let settings = AssemblySettings::default();
    for (engines, size) in SIZES {
        let state = assembled(engines, size);
        group.bench_function(BenchmarkId::new("engines", engines), |bencher| {
            bencher.iter(|| black_box(plan_round(&state, &settings)));
        });
    }
    group.finish();
}

criterion_group!(decisions, admission, placement, capacity, assembly);
criterion_main!(decisions);
