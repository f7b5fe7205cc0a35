//! Sending prompts to the targets that hold their prefixes.

use crate::baseline::{PlaceKind, QueueKind, ShareKind};
use crate::driver::callers::steady;
use crate::driver::{Driver, RunResult, Setup};
use domain::TargetKey;
use policy::placement::PrefixIndex;
use quickcheck::{Arbitrary, Gen};
use rand::Rng;
use slotmap::SlotMap;

fn targets(count: usize) -> Vec<TargetKey> {
    let mut arena: SlotMap<TargetKey, ()> = SlotMap::with_key();
    (0..count).map(|_| arena.insert(())).collect()
}

/// Shared prompts of 2,400 tokens; each engine's cache holds `cache` of the 160.
fn run(place: PlaceKind, affinity: bool, cache: usize) -> RunResult {
    let mut setup = Setup {
        entries: 2,
        place,
        affinity,
        share: ShareKind::Unlimited,
        queue: QueueKind::FirstCome { bound: usize::MAX },
        ..Setup::plain(20, 10)
    };
    for engine in &mut setup.engines {
        engine.cache = cache;
    }
    let rate = setup.capacity(400, 100) * 0.5;
    let calls = steady(11, rate, (0.0, 40.0), |call, rng| {
        call.entry = rng.random_range(0..2);
        call.shared = (rng.random_range(1..160_u64) << 20, 2_400);
        call.prompt += 2_400;
    });
    Driver::new(&setup).run(&calls)
}

/// Instructors share a few long instructions. A target that has read them gives the first token
/// sooner.
#[test]
fn held_prefixes_shorten_the_wait() {
    let with = run(PlaceKind::Predicted, true, 16).first_token(0.5, |job| job.call.at > 10.0);
    let without = run(PlaceKind::Predicted, false, 16).first_token(0.5, |job| job.call.at > 10.0);
    assert!(with < without * 0.85, "{with} against {without}");
}

/// The caches forget nearly everything and no event says so. Affinity must not draw requests into
/// queues for prefixes that are gone.
#[test]
fn forgetful_caches_do_no_harm() {
    let with = run(PlaceKind::Predicted, true, 1);
    let without = run(PlaceKind::Predicted, false, 1);
    let tail = |result: &RunResult| result.first_token(0.95, |job| job.call.at > 10.0);
    assert!(tail(&with) < tail(&without) * 1.15);
    assert!(with.on_time(|_| true) > without.on_time(|_| true) - 0.01);
}

/// Whatever is inserted, the index keeps to its bound.
#[test]
fn index_memory_is_bounded() {
    let targets = targets(4);
    for seed in 0..100 {
        let prefixes = Vec::<u64>::arbitrary(&mut Gen::from_size_and_seed(400, seed));
        let mut index = PrefixIndex::new(64);
        for (place, prefix) in prefixes.iter().enumerate() {
            index.insert(*prefix, targets[place % 4]);
            assert!(index.len() <= 64);
        }
    }
}

/// The longest held prefix is named first; one that left is not named; one that every target
/// holds is common.
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
