//! Index of the replicas known to the dispatcher, and selection among them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use control::{ReplicaView, TargetView};
use domain::{DomainId, FastMap, ModelName, ReplicaId, TargetKey};
use policy::capacity::PoolReport;
use policy::placement::{
    CandidateList, PlacementChoice, PlacementRequest, PlacementSettings, TargetLoad, TargetPool,
    TargetProperties,
};
use rand::rngs::SmallRng;

use super::request::DispatchRequest;

/// Assumed round-trip time to a replica in another failure domain of the region.
const CROSS_DOMAIN_ROUND_TRIP: Duration = Duration::from_millis(1);

/// All known replicas.
#[derive(Debug)]
pub(super) struct ReplicaIndex {
    pub pool: TargetPool,
    keys: FastMap<ReplicaId, TargetKey>,
    views: FastMap<TargetKey, Arc<ReplicaView>>,
    pub rng: SmallRng,
    max_evidence_age: Duration,
    local_domain: Option<DomainId>,
}

/// Replicas of one model after an update.
#[derive(Debug, Default)]
pub(super) struct ModelTargets {
    pub keys: Vec<TargetKey>,
    pub report: Option<PoolReport>,
}

impl ReplicaIndex {
    pub fn new(rng: SmallRng, max_evidence_age: Duration, local_domain: Option<DomainId>) -> Self {
        Self {
            pool: TargetPool::new(PlacementSettings::builder().build()),
            keys: FastMap::default(),
            views: FastMap::default(),
            rng,
            max_evidence_age,
            local_domain,
        }
    }

    /// Replaces the known replicas and returns them grouped by model.
    pub fn update_targets(
        &mut self,
        view: &TargetView,
        now: Duration,
        instant: Instant,
    ) -> FastMap<ModelName, ModelTargets> {
        let mut models: FastMap<ModelName, ModelTargets> = FastMap::default();
        let mut keys = FastMap::default();
        let mut views = FastMap::default();
        for replica in &view.replicas {
            let properties = self.properties(replica);
            let key = match self.keys.remove(&replica.plan.id) {
                Some(key) => {
                    self.pool.set_properties(key, properties);
                    key
                }
                None => self.pool.insert(properties),
            };
            keys.insert(replica.plan.id.clone(), key);
            views.insert(key, Arc::clone(replica));
            let targets = models.entry(replica.plan.model.clone()).or_default();
            targets.keys.push(key);
            let Some((load, received)) = replica.load else {
                continue;
            };
            let age = instant.saturating_duration_since(received);
            let age = age + Duration::from_millis(load.age_ms);
            let load = TargetLoad {
                running: load.running,
                waiting: load.waiting,
                prompt_backlog: load.prompt_backlog,
                prompt_rate: load.prompt_rate,
                age,
            };
            self.pool.record_load(key, now, load);
            if replica.dispatchable(instant, self.max_evidence_age) {
                add_report(&mut targets.report, replica, load);
            }
        }
        for (_, removed) in self.keys.drain() {
            self.pool.remove(removed);
        }
        self.keys = keys;
        self.views = views;
        models
    }

    fn properties(&self, replica: &ReplicaView) -> TargetProperties {
        let is_local = self.local_domain.is_none() || replica.domain == self.local_domain;
        TargetProperties {
            slots: replica.load.map_or(0, |(load, _)| load.slots),
            round_trip: if is_local {
                Duration::ZERO
            } else {
                CROSS_DOMAIN_ROUND_TRIP
            },
            adapters: replica.plan.adapters.clone(),
        }
    }

    /// Returns whether any of the candidates accepts work.
    pub fn any_usable(&self, candidates: &CandidateList, instant: Instant) -> bool {
        candidates.as_slice().iter().any(|key| {
            let view = self.views.get(key);
            view.is_some_and(|view| view.dispatchable(instant, self.max_evidence_age))
        })
    }

    /// Selects a replica and counts the attempt as sent.
    ///
    /// Prefers replicas that have not failed this request, but falls back to the others, which may
    /// have recovered.
    pub fn place(
        &mut self,
        candidates: &CandidateList,
        request: &DispatchRequest,
        now: Duration,
        instant: Instant,
    ) -> Option<(PlacementChoice, Arc<ReplicaView>)> {
        let placement = PlacementRequest {
            prompt_tokens: request.prompt_tokens,
            prefixes: &request.prefixes,
            adapter: request.adapter.as_ref(),
        };
        let (views, limit) = (&self.views, self.max_evidence_age);
        let is_suitable = |key: TargetKey| {
            views.get(&key).is_some_and(|view| {
                let version = request.version.as_ref();
                version.is_none_or(|version| view.plan.version == *version)
                    && view.dispatchable(instant, limit)
            })
        };
        let untried = |key: TargetKey| {
            let tried = views
                .get(&key)
                .is_some_and(|view| request.tried.contains(&view.plan.id));
            !tried && is_suitable(key)
        };
        let pool = &mut self.pool;
        let choice = pool
            .choose(candidates, &placement, now, untried, &mut self.rng)
            .or_else(|| pool.choose(candidates, &placement, now, is_suitable, &mut self.rng))?;
        let view = Arc::clone(views.get(&choice.target)?);
        pool.record_sent(&choice, &placement, now);
        Some((choice, view))
    }
}

fn add_report(report: &mut Option<PoolReport>, replica: &ReplicaView, load: TargetLoad) {
    let sum = report.get_or_insert_default();
    // A replica of unknown size can run at least one stream.
    let slots = replica.load.map_or(1, |(load, _)| load.slots.max(1));
    sum.slots += slots;
    sum.running += load.running;
    sum.waiting += load.waiting;
    sum.age = sum.age.max(load.age);
}
