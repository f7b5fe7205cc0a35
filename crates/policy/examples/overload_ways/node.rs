//! What one node knows, and its choice of a replica.

use std::time::Duration;

use policy::admission::{AdmissionClass, CustomerShares, UsualTimes};
use serving::choose_by_room::{ArrivalRate, BLIND_TIME, BlindTraffic, choose_by_room};
use serving::choose_sampled::{SampledCandidate, choose_sampled};
use serving::{ChoiceLimits, ReturnTimes, TargetLoad};

use super::spec::{ChoiceWay, Mechanisms, SLOTS, TARGET, target_rate, timing};

#[derive(Debug)]
pub struct Node {
    pub loads: Vec<TargetLoad>,
    pub usual: UsualTimes,
    pub returns: ReturnTimes,
    pub shares: CustomerShares,
    arrivals: ArrivalRate,
}

impl Node {
    pub fn new(targets: usize) -> Self {
        Self {
            loads: vec![TargetLoad::default(); targets],
            usual: UsualTimes::default(),
            returns: ReturnTimes::default(),
            shares: CustomerShares::default(),
            arrivals: ArrivalRate::default(),
        }
    }

    pub fn record_arrival(&mut self, now: Duration) {
        self.arrivals.record(now);
    }

    /// Chooses the replica of a request; `draw` is a number from 0 to 1.
    pub fn choose(
        &self,
        nodes: usize,
        mechanisms: Mechanisms,
        class: AdmissionClass,
        (now, draw): (Duration, f64),
    ) -> Option<usize> {
        let capacity = timing().queue_capacity(TARGET).expect("a step model");
        let limits = ChoiceLimits {
            queue_limit: class.queue_limit(SLOTS, capacity),
            nodes,
        };
        let candidates = self.loads.iter().map(|load| SampledCandidate {
            load: *load,
            slots: SLOTS,
            in_flight_limit: SLOTS * 2,
            is_near: true,
            has_connection: true,
            cold_factor: 1.0,
        });
        let candidates: Vec<SampledCandidate> = candidates.collect();
        if mechanisms.choice == ChoiceWay::Sampled {
            return choose_sampled(&candidates, limits, now, draw).ok();
        }
        let traffic = self.blind_traffic(nodes, class, now);
        choose_by_room(&candidates, limits, traffic, now, draw).ok()
    }

    fn blind_traffic(&self, nodes: usize, class: AdmissionClass, now: Duration) -> BlindTraffic {
        let nodes = f64::from(u32::try_from(nodes).expect("a small number"));
        let seconds = BLIND_TIME.as_secs_f64();
        BlindTraffic {
            arrivals: self.arrivals.per_second(now) * nodes * seconds,
            ends: if class.is_late {
                0.0
            } else {
                target_rate() * seconds
            },
        }
    }
}
