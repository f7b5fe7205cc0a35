//! The ways of deciding that the policies are compared with.

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

use crate::driver::{Job, Setup};

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QueueKind {
    Fair,
    FirstCome { bound: usize },
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlaceKind {
    Predicted,
    Random,
    RoundRobin,
    LeastReported,
    TwoReported,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShareKind {
    Scaled,
    EvenPart,
    AllFree,
    Unlimited,
}

/// One entry with all that decides for it.
#[derive(Debug)]
pub struct Entry {
    pub queue: AdmissionQueue,
    pub line: VecDeque<usize>,
    pub keys: FastMap<RequestKey, usize>,
    pub pool: TargetPool,
    pub list: CandidateList,
    pub share: CapacityShare,
    pub reported: Vec<TargetLoad>,
    pub since: Vec<i64>,
    pub turn: usize,
}

impl Entry {
    pub fn new(setup: &Setup, index: usize) -> Self {
        let mut pool = TargetPool::new(PlacementSettings::builder().samples(setup.draws).build());
        let mut targets = Vec::new();
        for engine in &setup.engines {
            targets.push(pool.insert(TargetProperties::builder().slots(engine.slots).build()));
        }
        let seed = setup.seed * 1_000 + index as u64 * 37;
        let entries = u32::try_from(setup.entries).unwrap_or(u32::MAX);
        Self {
            queue: AdmissionQueue::builder().seed(seed).build(),
            line: VecDeque::new(),
            keys: FastMap::default(),
            list: pool.candidates(targets),
            pool,
            share: CapacityShare::new(ShareSettings::builder().entries(entries).build(), seed),
            reported: vec![TargetLoad::default(); setup.engines.len()],
            since: vec![0; setup.engines.len()],
            turn: index,
        }
    }
}

impl PlaceKind {
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
                let choice = entry.pool.choose(&entry.list, &request, now, |_| true, rng);
                return choice.expect("there is always a target");
            }
            Self::Random => rng.random_range(0..count),
            Self::RoundRobin => {
                entry.turn += 1;
                entry.turn % count
            }
            Self::LeastReported => (0..count).min_by_key(load).unwrap_or(0),
            Self::TwoReported => {
                let drawn = [rng.random_range(0..count), rng.random_range(0..count)];
                drawn.into_iter().min_by_key(load).unwrap_or(0)
            }
        };
        PlacementChoice {
            target: entry.list.as_slice()[index],
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
        let occupied = i64::from(reported.sum::<u32>()) + entry.since.iter().sum::<i64>();
        match self {
            Self::Scaled => entry.share.free(),
            Self::EvenPart => {
                (slots as usize / entries).saturating_sub(entry.share.in_use() as usize)
            }
            Self::AllFree => usize::try_from(i64::from(slots) - occupied).unwrap_or(0),
            Self::Unlimited => usize::MAX,
        }
    }
}
