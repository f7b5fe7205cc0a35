//! Routing of prompts to targets that hold their prefixes.

use crate::baseline::{PlacementKind, QueueKind, ShareKind};
use crate::simulation::workload::poisson_calls;
use crate::simulation::{Scenario, Simulation, SimulationResult};
use domain::TargetKey;
use policy::placement::PrefixIndex;
use quickcheck::{Arbitrary, Gen};
use rand::Rng;
use slotmap::SlotMap;

fn targets(count: usize) -> Vec<TargetKey> {
    let mut arena: SlotMap<TargetKey, ()> = SlotMap::with_key();
    (0..count).map(|_| arena.insert(())).collect()
}

/// Runs calls with 160 shared prompts of 2,400 tokens; each engine's cache holds `cache` of them.
fn run(placement: PlacementKind, affinity: bool, cache: usize) -> SimulationResult {
    let mut scenario = Scenario {
        entries: 2,
        placement,
        affinity,
        share: ShareKind::Unlimited,
        queue: QueueKind::Fifo { limit: usize::MAX },
        ..Scenario::standard(20, 10)
    };
    for engine in &mut scenario.engines {
        engine.cache_capacity = cache;
    }
    let rate = scenario.capacity(400, 100) * 0.5;
    let calls = poisson_calls(11, rate, (0.0, 40.0), |call, rng| {
        call.entry = rng.random_range(0..2);
        call.shared = (rng.random_range(1..160_u64) << 20, 2_400);
        call.prompt += 2_400;
    });
    Simulation::new(&scenario).run(&calls)
}

/// Many clients share a few long prompts. A target with the prompt in its cache returns the first
/// token sooner.
#[test]
fn cached_prefixes_reduce_first_token_time() {
    let with = run(PlacementKind::Predicted, true, 16).first_token(0.5, |job| job.call.at > 10.0);
    let without =
        run(PlacementKind::Predicted, false, 16).first_token(0.5, |job| job.call.at > 10.0);
    assert!(with < without * 0.85, "{with} versus {without}");
}

/// The caches evict nearly everything without any event. Affinity must not direct requests into
/// queues for prefixes that are no longer cached.
#[test]
fn outdated_index_does_not_increase_latency() {
    let with = run(PlacementKind::Predicted, true, 1);
    let without = run(PlacementKind::Predicted, false, 1);
    let tail = |result: &SimulationResult| result.first_token(0.95, |job| job.call.at > 10.0);
    assert!(tail(&with) < tail(&without) * 1.15);
    assert!(with.on_time(|_| true) > without.on_time(|_| true) - 0.01);
}

/// The index stays within its capacity for any insertions.
#[test]
fn index_memory_is_bounded() {
    let targets = targets(4);
    for seed in 0..100 {
        let prefixes = Vec::<u64>::arbitrary(&mut Gen::from_size_and_seed(400, seed));
        let mut index = PrefixIndex::new(64);
        for (position, prefix) in prefixes.iter().enumerate() {
            index.insert(*prefix, targets[position % 4]);
            assert!(index.len() <= 64);
        }
    }
}

/// The holder of the longest prefix comes first, a removed holder is not returned, and a prefix
/// held by all targets counts as common.
#[test]
fn longest_prefix_comes_first() {
    let targets = targets(12);
    let mut index = PrefixIndex::new(1_000);
    let prompt: Vec<u64> = (100..140).collect();
    index.insert_prompt(&prompt[..4], targets[0]);
    index.insert_prompt(&prompt[..16], targets[1]);
    let found = index.look_up(&prompt, 4);
    assert_eq!(found.holders[0].target, targets[1]);
    assert_eq!(found.holders[0].blocks, 16);
    assert_eq!(found.holders[1].target, targets[0]);
    index.remove(prompt[15], targets[1]);
    assert_eq!(index.look_up(&prompt, 4).holders[0].blocks, 12);
    for target in &targets {
        index.insert_prompt(&prompt[..2], *target);
    }
    assert_eq!(index.look_up(&prompt, 4).common_blocks, 2);
}
