//! Baseline algorithms that the policies are compared with.

use std::collections::VecDeque;
use std::time::Duration;

use domain::FastMap;
use policy::admission::{AdmissionQueue, RequestKey};
use policy::capacity::{CapacityShare, ShareSettings};
use policy::placement::{
    CandidateList, PlacementChoice, PlacementSettings, TargetLoad, TargetPool, TargetProperties,
};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::simulation::{Job, Scenario};

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QueueKind {
    Fair,
    Fifo { limit: usize },
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlacementKind {
    Predicted,
    Random,
    RoundRobin,
    LeastLoaded,
    TwoChoices,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShareKind {
    Scaled,
    EvenShare,
    AllFree,
    Unlimited,
}

/// One simulated entry with the state of all decisions and baselines.
#[derive(Debug)]
pub struct Entry {
    pub queue: AdmissionQueue,
    pub fifo: VecDeque<usize>,
    pub keys: FastMap<RequestKey, usize>,
    pub pool: TargetPool,
    pub candidates: CandidateList,
    pub share: CapacityShare,
    pub reported: Vec<TargetLoad>,
    pub changes_since_report: Vec<i64>,
    pub round_robin: usize,
}

impl Entry {
    pub fn new(scenario: &Scenario, index: usize) -> Self {
        let mut pool = TargetPool::new(
            PlacementSettings::builder()
                .samples(scenario.samples)
                .build(),
        );
        let mut targets = Vec::new();
        for engine in &scenario.engines {
            targets.push(pool.insert(TargetProperties::builder().slots(engine.slots).build()));
        }
        let seed = scenario.seed * 1_000 + index as u64 * 37;
        let entries = u32::try_from(scenario.entries).unwrap_or(u32::MAX);
        Self {
            queue: AdmissionQueue::builder().seed(seed).build(),
            fifo: VecDeque::new(),
            keys: FastMap::default(),
            candidates: pool.candidates(targets),
            pool,
            share: CapacityShare::new(ShareSettings::builder().entries(entries).build(), seed),
            reported: vec![TargetLoad::default(); scenario.engines.len()],
            changes_since_report: vec![0; scenario.engines.len()],
            round_robin: index,
        }
    }
}

impl PlacementKind {
    pub fn choose(
        self,
        entry: &mut Entry,
        job: &Job,
        now: Duration,
        affinity: bool,
        rng: &mut SmallRng,
    ) -> PlacementChoice {
        let count = entry.reported.len();
        let load = |index: &usize| entry.reported[*index].running + entry.reported[*index].waiting;
        let index = match self {
            Self::Predicted => {
                let request = job.request(affinity);
                let choice = entry
                    .pool
                    .choose(&entry.candidates, &request, now, |_| true, rng);
                return choice.expect("there is always a target");
            }
            Self::Random => rng.random_range(0..count),
            Self::RoundRobin => {
                entry.round_robin += 1;
                entry.round_robin % count
            }
            Self::LeastLoaded => (0..count).min_by_key(load).unwrap_or(0),
            Self::TwoChoices => {
                let samples = [rng.random_range(0..count), rng.random_range(0..count)];
                samples.into_iter().min_by_key(load).unwrap_or(0)
            }
        };
        PlacementChoice {
            target: entry.candidates.as_slice()[index],
            predicted: Duration::from_millis(100),
            nominal: Duration::from_millis(100),
            cached_tokens: 0,
        }
    }
}

impl ShareKind {
    pub fn free(self, entry: &Entry, slots: u32, entries: usize) -> usize {
        let reported = entry
            .reported
            .iter()
            .map(|load| load.running + load.waiting);
        let occupied =
            i64::from(reported.sum::<u32>()) + entry.changes_since_report.iter().sum::<i64>();
        match self {
            Self::Scaled => entry.share.free(),
            Self::EvenShare => {
                (slots as usize / entries).saturating_sub(entry.share.in_use() as usize)
            }
            Self::AllFree => usize::try_from(i64::from(slots) - occupied).unwrap_or(0),
            Self::Unlimited => usize::MAX,
        }
    }
}
