//! The targets of an entry and the observations of each.

use std::collections::VecDeque;
use std::time::Duration;

use domain::{AdapterName, FastMap, TargetKey};
use slotmap::SlotMap;

use super::affinity::PrefixIndex;
use super::request::{CandidateList, PlacementChoice, PlacementRequest, PlacementSettings};
use super::state::{AttemptOutcome, TargetLoad, TargetProperties, TargetState};

/// Weight of a new observation in the pool's moving averages.
const MEAN_WEIGHT: f64 = 0.05;

/// Number of recently freed targets to keep; with more, others would take the slots before they are
/// considered.
const MAX_RECENTLY_FREED: usize = 8;

/// Minimum time to first token, in seconds, that slowness is computed from. Below it, network
/// jitter would look like slowness.
const MIN_EXPECTED_SECONDS: f64 = 0.05;

/// The targets of one entry with their known load, cache contents and health.
#[derive(Debug)]
pub struct TargetPool {
    pub(super) settings: PlacementSettings,
    pub(super) targets: SlotMap<TargetKey, TargetState>,
    pub(super) prefixes: PrefixIndex,
    /// Targets by the adapters that they have loaded.
    pub(super) adapters: FastMap<AdapterName, Vec<TargetKey>>,
    /// Targets on which own streams ended recently, newest last.
    pub(super) recently_freed: VecDeque<TargetKey>,
    pub(super) stream_duration: f64,
    pub(super) median_slowness: f64,
    pub(super) outliers_checked_at: Option<Duration>,
}

impl TargetPool {
    /// Creates a pool without targets; [`Self::insert`] adds them.
    #[must_use]
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            targets: SlotMap::with_key(),
            prefixes: PrefixIndex::new(settings.max_prefixes),
            adapters: FastMap::default(),
            recently_freed: VecDeque::new(),
            stream_duration: settings.stream_duration.as_secs_f64(),
            median_slowness: 1.0,
            outliers_checked_at: None,
            settings,
        }
    }

    /// Adds a target, which counts as idle and healthy until something else is recorded.
    pub fn insert(&mut self, properties: TargetProperties) -> TargetKey {
        let state = TargetState::new(properties, self.settings.prompt_rate);
        let target = self.targets.insert(state);
        self.index_adapters(target);
        target
    }

    /// Replaces the properties of a target; its load and health are kept.
    pub fn set_properties(&mut self, target: TargetKey, properties: TargetProperties) {
        self.unindex_adapters(target);
        if let Some(state) = self.targets.get_mut(target) {
            state.properties = properties;
        }
        self.index_adapters(target);
    }

    /// Removes a target; its entries in the prefix index age out.
    pub fn remove(&mut self, target: TargetKey) {
        self.unindex_adapters(target);
        self.targets.remove(target);
    }

    fn index_adapters(&mut self, target: TargetKey) {
        let Some(state) = self.targets.get(target) else {
            return;
        };
        for adapter in &state.properties.adapters {
            let holders = self.adapters.entry(adapter.clone()).or_default();
            holders.push(target);
        }
    }

    fn unindex_adapters(&mut self, target: TargetKey) {
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

    /// Prepares a list of candidates for [`Self::choose`]. Call it when the targets change, not for
    /// each request.
    #[must_use]
    pub fn candidates(&self, targets: impl IntoIterator<Item = TargetKey>) -> CandidateList {
        CandidateList::new(targets.into_iter().collect(), |target| {
            let state = self.targets.get(target);
            state.map_or(Duration::MAX, |state| state.properties.round_trip)
        })
    }

    /// Records the load that a target reported. A report older than the last one is ignored.
    pub fn record_load(&mut self, target: TargetKey, now: Duration, load: TargetLoad) {
        if let Some(state) = self.targets.get_mut(target) {
            state.record_load(now, load);
        }
    }

    /// Records that an attempt was sent to the chosen target, whose cache is then expected to hold
    /// the prompt. [`Self::record_ended`] must follow.
    pub fn record_sent(
        &mut self,
        choice: &PlacementChoice,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) {
        let Some(state) = self.targets.get_mut(choice.target) else {
            return;
        };
        let uncached = request.prompt_tokens.saturating_sub(choice.cached_tokens);
        state.record_sent(now, uncached);
        self.prefixes.insert_prompt(request.prefixes, choice.target);
    }

    /// Records that the first token of an attempt arrived `elapsed` after it was sent, which
    /// updates the target's slowness and resets its failures.
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
        let expected = choice.nominal.as_secs_f64().max(MIN_EXPECTED_SECONDS);
        let ratio = elapsed.as_secs_f64().max(MIN_EXPECTED_SECONDS) / expected;
        state.health.record_ratio(now, ratio, &settings);
    }

    /// Records that an attempt was cancelled, or a second target was tried, after `elapsed` without
    /// a first token.
    ///
    /// A cancelled attempt yields no time to first token. Without this, a target that stalls would
    /// lose to every hedged request and its slowness would never be detected.
    pub fn record_missing_first_token(
        &mut self,
        choice: &PlacementChoice,
        now: Duration,
        elapsed: Duration,
    ) {
        let Some(state) = self.targets.get(choice.target) else {
            return;
        };
        let expected = choice.nominal.as_secs_f64().max(MIN_EXPECTED_SECONDS);
        if elapsed.as_secs_f64() > expected * state.health.slowness(now) {
            self.record_first_token(choice, now, elapsed);
        }
    }

    /// Records that an attempt ended after it had spent `duration` at the target.
    ///
    /// A target that fails immediately has no load and would look best for every request, so that a
    /// large fraction of the attempts would end there. It is therefore ejected after consecutive
    /// failures.
    pub fn record_ended(
        &mut self,
        target: TargetKey,
        now: Duration,
        duration: Duration,
        outcome: AttemptOutcome,
    ) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        state.record_ended(now);
        match outcome {
            AttemptOutcome::Finished => {
                self.recently_freed.push_back(target);
                if self.recently_freed.len() > MAX_RECENTLY_FREED {
                    self.recently_freed.pop_front();
                }
                self.stream_duration +=
                    (duration.as_secs_f64() - self.stream_duration) * MEAN_WEIGHT;
            }
            AttemptOutcome::Full => state.record_full(now),
            AttemptOutcome::Failed => self.record_failure(target, now),
            AttemptOutcome::Cancelled => {}
        }
    }

    fn record_failure(&mut self, target: TargetKey, now: Duration) {
        let settings = self.settings.health;
        let allowed = self.allowed_ejections(now);
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        let eject_now = state.health.record_failure();
        if eject_now || state.health.has_failed_repeatedly(&settings) && allowed > 0 {
            state.health.eject(now, &settings);
        }
    }

    /// Records an engine's cache event: a prefix was stored in its cache or evicted from it.
    pub fn record_cache_event(&mut self, target: TargetKey, prefix: u64, stored: bool) {
        if stored {
            self.prefixes.insert(prefix, target);
        } else {
            self.prefixes.remove(prefix, target);
        }
    }

    /// Records how many prompt tokens a target actually had cached.
    ///
    /// If eviction events are lost, the index predicts too many cached tokens. The target's cache
    /// accuracy then falls, and affinity no longer directs requests to a queue without benefit.
    pub fn record_cached_tokens(&mut self, choice: &PlacementChoice, cached_tokens: u32) {
        if choice.cached_tokens == 0 {
            return;
        }
        let Some(state) = self.targets.get_mut(choice.target) else {
            return;
        };
        let predicted = f64::from(choice.cached_tokens) / state.cache_accuracy.max(0.05);
        let accuracy = (f64::from(cached_tokens) / predicted).min(1.0);
        state.cache_accuracy += (accuracy - state.cache_accuracy) * 0.2;
        state.cache_accuracy = state.cache_accuracy.clamp(0.05, 1.0);
    }
}
