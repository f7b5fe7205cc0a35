//! Settings, requests and results of target selection.

use std::time::Duration;

use bon::Builder;
use domain::{AdapterName, FastSet, TargetKey};
use rand::Rng;

use super::health::HealthSettings;

/// Maximum round trip beyond that of the nearest target for a target to count as near.
///
/// The round trip is about a millisecond between failure domains of one region and tens of
/// milliseconds between regions.
const NEAR_MARGIN: Duration = Duration::from_millis(5);

/// Settings of a [`TargetPool`](super::TargetPool).
#[derive(Debug, Clone, Copy, PartialEq, Builder)]
pub struct PlacementSettings {
    /// Number of candidates sampled per choice, fewer if all of them are full.
    ///
    /// Choosing the best of a few samples spreads requests, so that delayed reports don't make
    /// every entry send to the same idle target. The `placement` table of the `compare` example has
    /// the figures for other values; docs/DECISIONS.md shows it.
    #[builder(default = 4)]
    pub samples: usize,
    /// Assumed prefill rate in prompt tokens per second of a target whose rate is unknown.
    #[builder(default = 8_000.0)]
    pub prompt_rate: f64,
    /// Assumed time that a stream holds a slot, until streams have been observed.
    #[builder(default = Duration::from_secs(8))]
    pub stream_duration: Duration,
    /// Assumed time to load an adapter that the target does not have.
    #[builder(default = Duration::from_secs(3))]
    pub adapter_load_time: Duration,
    /// Number of prompt tokens per block of the prefix cache.
    #[builder(default = 16)]
    pub block_tokens: u32,
    /// Maximum number of prefixes in the prefix index; beyond it those not used recently are
    /// dropped.
    #[builder(default = 65_536)]
    pub max_prefixes: usize,
    /// Settings of outlier ejection.
    #[builder(default = HealthSettings::builder().build())]
    pub health: HealthSettings,
}

/// A request to be placed on a target.
#[derive(Debug, Clone, Copy, Default, Builder)]
pub struct PlacementRequest<'a> {
    /// Number of tokens of the prompt, cached or not.
    #[builder(default)]
    pub prompt_tokens: u32,
    /// Hashes of the prompt's prefixes, one per block, as the engines publish them.
    #[builder(default)]
    pub prefixes: &'a [u64],
    /// Adapter that the request needs; `None` for the base model. For a target without
    /// it, the time to load it is added to the prediction.
    pub adapter: Option<&'a AdapterName>,
}

/// The chosen target and the prediction that it was chosen by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementChoice {
    /// Target to send the attempt to.
    pub target: TargetKey,
    /// Predicted time to first token. Pass the choice back to
    /// [`TargetPool::record_first_token`](super::TargetPool::record_first_token).
    pub predicted: Duration,
    /// Prediction without the target's measured slowness, which observations are compared with.
    pub nominal: Duration,
    /// Expected number of prompt tokens in the target's cache.
    pub cached_tokens: u32,
}

/// Targets that may serve a request, nearest first; built once per change of targets.
#[derive(Debug, Clone, Default)]
pub struct CandidateList {
    targets: Vec<TargetKey>,
    members: FastSet<TargetKey>,
    near: usize,
}

impl CandidateList {
    pub(super) fn new(
        mut targets: Vec<TargetKey>,
        round_trip: impl Fn(TargetKey) -> Duration,
    ) -> Self {
        targets.sort_by_key(|target| round_trip(*target));
        let nearest = targets
            .first()
            .map_or(Duration::ZERO, |target| round_trip(*target));
        let limit = nearest.saturating_add(NEAR_MARGIN);
        let near = targets.partition_point(|target| round_trip(*target) <= limit);
        let members = targets.iter().copied().collect();
        Self {
            targets,
            members,
            near,
        }
    }

    /// Returns whether a target was a candidate when the list was built.
    #[must_use]
    pub fn contains(&self, target: TargetKey) -> bool {
        self.members.contains(&target)
    }

    /// Returns the number of candidates, near or not and whatever their health.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether there are no candidates.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the candidates, nearest first.
    #[must_use]
    pub fn as_slice(&self) -> &[TargetKey] {
        &self.targets
    }

    /// Samples a candidate at random; every other sample is taken from the near ones only.
    ///
    /// From another region the first token arrives tens of milliseconds later, so distant targets
    /// are sampled less often, but often enough to take over load when the near ones are busy or
    /// lost.
    pub(super) fn sample<R: Rng>(&self, number: usize, rng: &mut R) -> Option<TargetKey> {
        let count = if number.is_multiple_of(2) {
            self.near
        } else {
            self.len()
        };
        if count == 0 {
            return None;
        }
        self.targets.get(rng.random_range(0..count)).copied()
    }
}
