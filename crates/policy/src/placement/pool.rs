//! The targets of an entry and what is noted of each.

use std::collections::VecDeque;
use std::time::Duration;

use domain::{AdapterName, FastMap, TargetKey};
use slotmap::SlotMap;

use super::affinity::PrefixIndex;
use super::request::{CandidateList, PlacementChoice, PlacementRequest, PlacementSettings};
use super::state::{AttemptOutcome, TargetLoad, TargetProperties, TargetState};

/// Weight of a new observation in the pool's means.
const MEAN_WEIGHT: f64 = 0.05;

/// Freed targets that are remembered; more would be taken by others before they are looked at.
const MAX_FREED: usize = 8;

/// Shortest time to a first token that slowness is judged by, in seconds; below it the noise of
/// the network would look like slowness.
const LEAST_EXPECTED: f64 = 0.05;

/// The targets of one entry with all that is known of their load, caches and health.
#[derive(Debug)]
pub struct TargetPool {
    pub(super) settings: PlacementSettings,
    pub(super) targets: SlotMap<TargetKey, TargetState>,
    pub(super) prefixes: PrefixIndex,
    /// Targets by the adapters that they have loaded.
    pub(super) adapters: FastMap<AdapterName, Vec<TargetKey>>,
    /// Targets on which own streams ended lately, the newest last.
    pub(super) freed: VecDeque<TargetKey>,
    pub(super) stay: f64,
    pub(super) median_slowness: f64,
    pub(super) surveyed_at: Option<Duration>,
}

impl TargetPool {
    /// An empty pool.
    #[must_use]
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            targets: SlotMap::with_key(),
            prefixes: PrefixIndex::new(settings.prefixes),
            adapters: FastMap::default(),
            freed: VecDeque::new(),
            stay: settings.stay.as_secs_f64(),
            median_slowness: 1.0,
            surveyed_at: None,
            settings,
        }
    }

    /// Adds a target.
    pub fn insert(&mut self, properties: TargetProperties) -> TargetKey {
        let state = TargetState::new(properties, self.settings.prompt_rate);
        let target = self.targets.insert(state);
        self.list_adapters(target);
        target
    }

    /// Changes what is fixed about a target; its load and health stay.
    pub fn set_properties(&mut self, target: TargetKey, properties: TargetProperties) {
        self.unlist_adapters(target);
        if let Some(state) = self.targets.get_mut(target) {
            state.properties = properties;
        }
        self.list_adapters(target);
    }

    /// Forgets a target.
    pub fn remove(&mut self, target: TargetKey) {
        self.unlist_adapters(target);
        self.targets.remove(target);
    }

    fn list_adapters(&mut self, target: TargetKey) {
        let Some(state) = self.targets.get(target) else {
            return;
        };
        for adapter in &state.properties.adapters {
            let holders = self.adapters.entry(adapter.clone()).or_default();
            holders.push(target);
        }
    }

    fn unlist_adapters(&mut self, target: TargetKey) {
        let Some(state) = self.targets.get(target) else {
            return;
        };
        for adapter in &state.properties.adapters {
            let Some(holders) = self.adapters.get_mut(adapter) else {
                continue;
            };
            holders.retain(|holder| *holder != target);
            if holders.is_empty() {
                self.adapters.remove(adapter);
            }
        }
    }

    /// Orders targets for [`Self::choose`]; call it when targets change, not for each request.
    #[must_use]
    pub fn candidates(&self, targets: impl IntoIterator<Item = TargetKey>) -> CandidateList {
        CandidateList::new(targets.into_iter().collect(), |target| {
            let state = self.targets.get(target);
            state.map_or(Duration::MAX, |state| state.properties.round_trip)
        })
    }

    /// A target reported its load.
    pub fn record_load(&mut self, target: TargetKey, now: Duration, load: TargetLoad) {
        if let Some(state) = self.targets.get_mut(target) {
            state.record_load(now, load);
        }
    }

    /// An attempt was sent.
    pub fn record_sent(
        &mut self,
        choice: &PlacementChoice,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) {
        let Some(state) = self.targets.get_mut(choice.target) else {
            return;
        };
        let unread = request.prompt_tokens.saturating_sub(choice.cached_tokens);
        state.record_sent(now, unread);
        self.prefixes.insert_prompt(request.prefixes, choice.target);
    }

    /// The first token of an attempt came after `elapsed`.
    pub fn record_first_token(
        &mut self,
        choice: &PlacementChoice,
        now: Duration,
        elapsed: Duration,
    ) {
        let settings = self.settings.health;
        let Some(state) = self.targets.get_mut(choice.target) else {
            return;
        };
        let expected = choice.nominal.as_secs_f64().max(LEAST_EXPECTED);
        let ratio = elapsed.as_secs_f64().max(LEAST_EXPECTED) / expected;
        state.health.record_answer(now, ratio, &settings);
    }

    /// An attempt was cancelled, or a second target is asked, after `elapsed` without a token.
    ///
    /// The attempt that is cancelled tells no time to its first token. Without this a target that
    /// stalls loses every hedge and is never seen to be slow.
    pub fn record_late(&mut self, choice: &PlacementChoice, now: Duration, elapsed: Duration) {
        let Some(state) = self.targets.get(choice.target) else {
            return;
        };
        let expected = choice.nominal.as_secs_f64().max(LEAST_EXPECTED);
        if elapsed.as_secs_f64() > expected * state.health.slowness(now) {
            self.record_first_token(choice, now, elapsed);
        }
    }

    /// An attempt ended after `stay` at the target.
    ///
    /// A target that fails at once has no load and would look like the best one for every
    /// request; seen as a large share of attempts that end there. So failures in a row eject it.
    pub fn record_ended(
        &mut self,
        target: TargetKey,
        now: Duration,
        stay: Duration,
        outcome: AttemptOutcome,
    ) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        state.record_ended(now);
        match outcome {
            AttemptOutcome::Finished => {
                self.freed.push_back(target);
                if self.freed.len() > MAX_FREED {
                    self.freed.pop_front();
                }
                self.stay += (stay.as_secs_f64() - self.stay) * MEAN_WEIGHT;
            }
            AttemptOutcome::Full => state.record_full(now),
            AttemptOutcome::Failed => self.record_failure(target, now),
            AttemptOutcome::Cancelled => {}
        }
    }

    fn record_failure(&mut self, target: TargetKey, now: Duration) {
        let settings = self.settings.health;
        let room = self.ejection_room(now);
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        let again = state.health.record_failure();
        if again || state.health.is_failing(&settings) && room > 0 {
            state.health.eject(now, &settings);
        }
    }

    /// An engine published that a prefix entered or left its cache.
    pub fn record_cache_event(&mut self, target: TargetKey, prefix: u64, stored: bool) {
        if stored {
            self.prefixes.insert(prefix, target);
        } else {
            self.prefixes.remove(prefix, target);
        }
    }

    /// A target told how many prompt tokens it really had cached.
    ///
    /// Where events of evictions are lost, the index promises too much; the target's trust then
    /// falls, and affinity stops drawing requests to a queue for nothing.
    pub fn record_cached_tokens(&mut self, choice: &PlacementChoice, cached_tokens: u32) {
        if choice.cached_tokens == 0 {
            return;
        }
        let Some(state) = self.targets.get_mut(choice.target) else {
            return;
        };
        let predicted = f64::from(choice.cached_tokens) / state.cache_trust.max(0.05);
        let part = (f64::from(cached_tokens) / predicted).min(1.0);
        state.cache_trust += (part - state.cache_trust) * 0.2;
        state.cache_trust = state.cache_trust.clamp(0.05, 1.0);
    }
}
