//! Selection among the candidate targets.

use std::time::Duration;

use domain::TargetKey;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::affinity::PrefixMatch;
use super::health::HealthStatus;
use super::pool::TargetPool;
use super::request::{CandidateList, PlacementChoice, PlacementRequest};
use super::state::TargetState;

/// Maximum number of random samples before all candidates are scanned in turn.
const MAX_SAMPLES: usize = 24;

/// Number of samples that suffice if all of them are full.
///
/// A free slot that a report shows among full targets is taken by the time the report arrives, and
/// every entry would send to the same target. This shows as engines that queue requests while slots
/// elsewhere are idle.
const FULL_SAMPLES: usize = 2;

/// Number of holders of the prompt's prefix that are considered in addition to the samples.
const MAX_PREFIX_HOLDERS: usize = 4;

/// Number of random holders of the adapter that are considered in addition to the samples.
///
/// With an adapter on 3 of 1,500 engines, hardly any sample would have it, and the client would
/// wait until it is loaded.
const ADAPTER_SAMPLES: usize = 3;

/// Number of recently freed targets that are considered in addition to the samples.
///
/// When nearly all targets are full, the slot that one of this entry's own streams has just left is
/// certain to be free, while a request sent to a random target would wait there next to an idle
/// slot.
const MAX_FREED_CANDIDATES: usize = 3;

/// Upper limit of predictions in seconds; beyond it, targets are not distinguished.
const MAX_PREDICTED_SECONDS: f64 = 3_600.0;

/// Predicted time to first token, with and without the target's measured slowness.
struct TimeEstimate {
    predicted: Duration,
    nominal: Duration,
}

impl TargetPool {
    /// Chooses a target, or returns `None` if no candidate is usable.
    ///
    /// `usable` is the caller's filter (evidence that the replica is complete, not leaving, not
    /// tried before); it is called only for the few targets that are considered. Targets are
    /// sampled at random, so the cost does not grow with 1,500 engines, and the holders of the
    /// prompt's longest prefix are considered in addition. The target with the lowest predicted
    /// time to first token is chosen.
    pub fn choose<R: Rng>(
        &mut self,
        candidates: &CandidateList,
        request: &PlacementRequest<'_>,
        now: Duration,
        usable: impl Fn(TargetKey) -> bool,
        rng: &mut R,
    ) -> Option<PlacementChoice> {
        self.eject_stragglers(now);
        let prefix = self.prefixes.look_up(request.prefixes, MAX_PREFIX_HOLDERS);
        let mut best: Option<PlacementChoice> = None;
        for holder in &prefix.holders {
            let listed = candidates.contains(holder.target);
            if !listed || !self.is_available(holder.target, now) || !usable(holder.target) {
                continue;
            }
            self.consider(holder.target, &prefix, request, now, &mut best);
        }
        let mut sampled = 0;
        let mut full = 0;
        for sample in 0..MAX_SAMPLES {
            let all_full = full == sampled && sampled >= FULL_SAMPLES;
            if sampled >= self.settings.samples || all_full {
                break;
            }
            let Some(target) = candidates.sample(sample, rng) else {
                break;
            };
            if !self.is_available(target, now) || !usable(target) {
                continue;
            }
            sampled += 1;
            full += usize::from(self.is_full(target, now));
            self.consider(target, &prefix, request, now, &mut best);
        }
        for _ in 0..ADAPTER_SAMPLES {
            let holders = request.adapter.and_then(|name| self.adapters.get(name));
            let Some(target) = holders.and_then(|holders| holders.choose(rng)).copied() else {
                break;
            };
            let listed = candidates.contains(target);
            if listed && self.is_available(target, now) && usable(target) {
                self.consider(target, &prefix, request, now, &mut best);
            }
        }
        for target in self
            .recently_freed
            .iter()
            .rev()
            .copied()
            .take(MAX_FREED_CANDIDATES)
        {
            let listed = candidates.contains(target);
            if !listed || !self.is_available(target, now) || !usable(target) {
                continue;
            }
            self.consider(target, &prefix, request, now, &mut best);
        }
        if best.is_none() {
            best = self.scan(candidates, &prefix, request, now, &usable, rng);
        }
        let choice = best?;
        if let Some(position) = self
            .recently_freed
            .iter()
            .rposition(|freed| *freed == choice.target)
        {
            self.recently_freed.remove(position);
        }
        if let Some(state) = self.targets.get_mut(choice.target)
            && state.health.status(now) == HealthStatus::ProbeDue
        {
            state.health.start_probe(now, &self.settings.health);
        }
        Some(choice)
    }

    /// Scans all candidates from a random position, for the case that hardly any is usable.
    ///
    /// Ejected targets are a last resort: trying one costs less than refusing the request.
    fn scan<R: Rng>(
        &self,
        candidates: &CandidateList,
        prefix: &PrefixMatch,
        request: &PlacementRequest<'_>,
        now: Duration,
        usable: &impl Fn(TargetKey) -> bool,
        rng: &mut R,
    ) -> Option<PlacementChoice> {
        let count = candidates.len();
        if count == 0 {
            return None;
        }
        let start = rng.random_range(0..count);
        for available_only in [true, false] {
            for step in 0..count {
                let target = candidates.as_slice()[(start + step) % count];
                if available_only && !self.is_available(target, now) || !usable(target) {
                    continue;
                }
                let mut best = None;
                self.consider(target, prefix, request, now, &mut best);
                if best.is_some() {
                    return best;
                }
            }
        }
        None
    }

    fn is_full(&self, target: TargetKey, now: Duration) -> bool {
        self.targets.get(target).is_some_and(|state| {
            let slots = state.properties.slots;
            slots > 0 && state.estimate(now).streams >= f64::from(slots)
        })
    }

    fn is_available(&self, target: TargetKey, now: Duration) -> bool {
        let Some(state) = self.targets.get(target) else {
            return false;
        };
        state.health.status(now) != HealthStatus::Ejected
    }

    fn consider(
        &self,
        target: TargetKey,
        prefix: &PrefixMatch,
        request: &PlacementRequest<'_>,
        now: Duration,
        best: &mut Option<PlacementChoice>,
    ) {
        let Some(state) = self.targets.get(target) else {
            return;
        };
        let cached_tokens = self.cached_tokens(target, state, prefix, request);
        let estimate = self.predict(state, cached_tokens, request, now);
        if best.is_some_and(|best| best.predicted <= estimate.predicted) {
            return;
        }
        *best = Some(PlacementChoice {
            target,
            predicted: estimate.predicted,
            nominal: estimate.nominal,
            cached_tokens,
        });
    }

    fn cached_tokens(
        &self,
        target: TargetKey,
        state: &TargetState,
        prefix: &PrefixMatch,
        request: &PlacementRequest<'_>,
    ) -> u32 {
        let held = prefix.holders.iter().find(|holder| holder.target == target);
        let blocks = held.map_or(0, |holder| holder.blocks);
        let blocks = blocks.max(prefix.common_blocks);
        let blocks = u32::try_from(blocks).unwrap_or(u32::MAX);
        let tokens = blocks.saturating_mul(self.settings.block_tokens);
        let tokens = tokens.min(request.prompt_tokens);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let expected = (f64::from(tokens) * state.cache_accuracy) as u32;
        expected
    }

    /// Predicts the time to first token: the round trip, the wait for a slot, the prefill of
    /// earlier prompts and of the uncached part of this one, scaled by the target's recent
    /// slowness.
    fn predict(
        &self,
        state: &TargetState,
        cached_tokens: u32,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> TimeEstimate {
        let load = state.estimate(now);
        let slots = f64::from(state.properties.slots.max(1));
        let excess = load.streams + 1.0 - slots;
        let wait = if state.properties.slots > 0 && excess > 0.0 {
            excess * self.stream_duration / slots
        } else {
            0.0
        };
        let uncached = f64::from(request.prompt_tokens.saturating_sub(cached_tokens));
        let prefill = load.prefill_seconds + uncached / load.prompt_rate.max(1.0);
        // Streams in a batch slow each other down slightly; this also differentiates idle targets.
        let batch_contention = load.streams / slots * 0.05;
        let adapter_missing = request
            .adapter
            .is_some_and(|adapter| !state.properties.adapters.contains(adapter));
        let adapter_load = if adapter_missing {
            self.settings.adapter_load_time.as_secs_f64()
        } else {
            0.0
        };
        // A target due for a probe is treated as healthy; its past slowness would otherwise keep it
        // from being probed.
        let slowness = match state.health.status(now) {
            HealthStatus::ProbeDue => 1.0,
            HealthStatus::Healthy | HealthStatus::Ejected => state.health.slowness(now),
        };
        let wait = wait + prefill + batch_contention;
        let with_slowness = |slowness: f64| {
            let seconds = (wait * slowness + adapter_load).min(MAX_PREDICTED_SECONDS);
            state.properties.round_trip + Duration::from_secs_f64(seconds)
        };
        TimeEstimate {
            predicted: with_slowness(slowness),
            nominal: with_slowness(1.0),
        }
    }
}
