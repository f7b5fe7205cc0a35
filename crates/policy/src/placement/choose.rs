//! The choice between targets.

use std::time::Duration;

use domain::TargetKey;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::affinity::PrefixMatch;
use super::health::HealthVerdict;
use super::pool::TargetPool;
use super::request::{CandidateList, PlacementChoice, PlacementRequest};
use super::state::TargetState;

/// Draws before a search falls back to looking at every candidate in turn.
const MAX_DRAWS: usize = 24;

/// Draws that suffice when each of them is full.
///
/// A gap that a report shows among full targets is taken by the time it is known, and every entry
/// would run to the same one; seen as engines that queue beside idle slots.
const FULL_DRAWS: usize = 2;

/// Holders of a prompt's prefix that are weighed besides the drawn targets.
const MAX_HOLDERS: usize = 4;

/// Holders of the adapter that are drawn besides.
///
/// With an adapter on 3 of 1,500 engines hardly any drawn target would have it, and the caller
/// would wait until it is loaded.
const ADAPTER_DRAWS: usize = 3;

/// Lately freed targets that are weighed besides the drawn ones.
///
/// Made for full targets: the slot that an own stream has just left is free for certain, while
/// nearly every drawn target is full, and a request sent there waits beside an idle slot.
const FREED_WEIGHED: usize = 3;

/// Longest prediction in seconds; beyond it targets are equally hopeless.
const LONGEST_PREDICTED: f64 = 3_600.0;

/// Time to the first token, with and without the target's own slowness.
struct TimeEstimate {
    predicted: Duration,
    nominal: Duration,
}

impl TargetPool {
    /// Chooses a target, none when no candidate is usable.
    ///
    /// `usable` is the caller's gate (evidence of wholeness, not leaving, not tried before); it
    /// is asked only for the few targets that are looked at. Targets are drawn by chance, so the
    /// cost does not grow with 1,500 engines, and the holders of the prompt's longest prefix are
    /// weighed besides. The least predicted time to the first token wins.
    pub fn choose<R: Rng>(
        &mut self,
        candidates: &CandidateList,
        request: &PlacementRequest<'_>,
        now: Duration,
        usable: impl Fn(TargetKey) -> bool,
        rng: &mut R,
    ) -> Option<PlacementChoice> {
        self.survey(now);
        let prefix = self.prefixes.look_up(request.prefixes, MAX_HOLDERS);
        let mut best: Option<PlacementChoice> = None;
        for holder in &prefix.holders {
            let listed = candidates.contains(holder.target);
            if !listed || !self.is_open(holder.target, now) || !usable(holder.target) {
                continue;
            }
            self.weigh(holder.target, &prefix, request, now, &mut best);
        }
        let mut drawn = 0;
        let mut full = 0;
        for draw in 0..MAX_DRAWS {
            let all_full = full == drawn && drawn >= FULL_DRAWS;
            if drawn >= self.settings.draws || all_full {
                break;
            }
            let Some(target) = candidates.draw(draw, rng) else {
                break;
            };
            if !self.is_open(target, now) || !usable(target) {
                continue;
            }
            drawn += 1;
            full += usize::from(self.is_full(target, now));
            self.weigh(target, &prefix, request, now, &mut best);
        }
        for _ in 0..ADAPTER_DRAWS {
            let holders = request.adapter.and_then(|name| self.adapters.get(name));
            let Some(target) = holders.and_then(|holders| holders.choose(rng)).copied() else {
                break;
            };
            let listed = candidates.contains(target);
            if listed && self.is_open(target, now) && usable(target) {
                self.weigh(target, &prefix, request, now, &mut best);
            }
        }
        for target in self.freed.iter().rev().copied().take(FREED_WEIGHED) {
            let listed = candidates.contains(target);
            if !listed || !self.is_open(target, now) || !usable(target) {
                continue;
            }
            self.weigh(target, &prefix, request, now, &mut best);
        }
        if best.is_none() {
            best = self.search(candidates, &prefix, request, now, &usable, rng);
        }
        let choice = best?;
        if let Some(place) = self.freed.iter().rposition(|freed| *freed == choice.target) {
            self.freed.remove(place);
        }
        if let Some(state) = self.targets.get_mut(choice.target)
            && state.health.verdict(now) == HealthVerdict::Trial
        {
            state.health.start_trial(now, &self.settings.health);
        }
        Some(choice)
    }

    /// Looks at every candidate from a random place on, for when hardly one is usable.
    ///
    /// Ejected targets are taken as the last resort: to try one costs less than to refuse.
    fn search<R: Rng>(
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
        for open_only in [true, false] {
            for step in 0..count {
                let target = candidates.as_slice()[(start + step) % count];
                if open_only && !self.is_open(target, now) || !usable(target) {
                    continue;
                }
                let mut best = None;
                self.weigh(target, prefix, request, now, &mut best);
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

    fn is_open(&self, target: TargetKey, now: Duration) -> bool {
        let Some(state) = self.targets.get(target) else {
            return false;
        };
        state.health.verdict(now) != HealthVerdict::Ejected
    }

    fn weigh(
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
        let trusted = (f64::from(tokens) * state.cache_trust) as u32;
        trusted
    }

    /// Time to the first token: the way there, the wait for a slot, the prompts before this one
    /// and this one's part that is not cached, scaled by how slow the target was lately.
    fn predict(
        &self,
        state: &TargetState,
        cached_tokens: u32,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> TimeEstimate {
        let load = state.estimate(now);
        let slots = f64::from(state.properties.slots.max(1));
        let over = load.streams + 1.0 - slots;
        let wait = if state.properties.slots > 0 && over > 0.0 {
            over * self.stay / slots
        } else {
            0.0
        };
        let unread = f64::from(request.prompt_tokens.saturating_sub(cached_tokens));
        let reading = load.reading + unread / load.prompt_rate.max(1.0);
        // Streams in the batch slow each other a little; it also tells idle targets apart.
        let crowding = load.streams / slots * 0.05;
        let missing = request
            .adapter
            .is_some_and(|adapter| !state.properties.adapters.contains(adapter));
        let loading = if missing {
            self.settings.adapter_load.as_secs_f64()
        } else {
            0.0
        };
        // A target on trial is weighed as if it were well, or its past would keep it from one.
        let slowness = match state.health.verdict(now) {
            HealthVerdict::Trial => 1.0,
            HealthVerdict::Open | HealthVerdict::Ejected => state.health.slowness(now),
        };
        let wait = wait + reading + crowding;
        let at_pace = |slowness: f64| {
            let seconds = (wait * slowness + loading).min(LONGEST_PREDICTED);
            state.properties.round_trip + Duration::from_secs_f64(seconds)
        };
        TimeEstimate {
            predicted: at_pace(slowness),
            nominal: at_pace(1.0),
        }
    }
}
