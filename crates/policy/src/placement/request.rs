//! What is asked of a choice, and what it answers.

use std::time::Duration;

use bon::Builder;
use domain::{AdapterName, FastSet, TargetKey};
use rand::Rng;

use super::health::HealthSettings;

/// Targets that are at most this much farther than the nearest count as near.
///
/// Between the failure domains of one region lies about a millisecond, between regions tens.
const NEAR_LIMIT: Duration = Duration::from_millis(5);

/// Settings of a [`TargetPool`].
#[derive(Debug, Clone, Copy, PartialEq, Builder)]
pub struct PlacementSettings {
    /// Candidates drawn for a choice, fewer while all of them are full.
    ///
    /// The best of a few spreads requests so that lagged reports can't make every entry run to the
    /// same idle target; docs/DECISIONS.md has the figures for other numbers.
    #[builder(default = 4)]
    pub draws: usize,
    /// Prompt tokens a second that a target reads when nothing is known of it.
    #[builder(default = 8_000.0)]
    pub prompt_rate: f64,
    /// Time that a stream holds a slot, until some have been observed.
    #[builder(default = Duration::from_secs(8))]
    pub stay: Duration,
    /// Time to load an adapter that the target does not have.
    #[builder(default = Duration::from_secs(3))]
    pub adapter_load: Duration,
    /// Prompt tokens of one block of the prefix cache.
    #[builder(default = 16)]
    pub block_tokens: u32,
    /// Prefixes that are remembered.
    #[builder(default = 65_536)]
    pub prefixes: usize,
    /// Ejection.
    #[builder(default = HealthSettings::builder().build())]
    pub health: HealthSettings,
}

/// What is asked of a target.
#[derive(Debug, Clone, Copy, Default, Builder)]
pub struct PlacementRequest<'a> {
    /// Tokens of the prompt.
    #[builder(default)]
    pub prompt_tokens: u32,
    /// Hashes of the prompt's prefixes, one a block, as the engines publish them.
    #[builder(default)]
    pub prefixes: &'a [u64],
    /// The adapter.
    pub adapter: Option<&'a AdapterName>,
}

/// The chosen target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementChoice {
    /// The target.
    pub target: TargetKey,
    /// Predicted time to the first token; hand it back to [`TargetPool::record_first_token`].
    pub predicted: Duration,
    /// The same, had the target been as fast as its load allows.
    pub nominal: Duration,
    /// Prompt tokens that the target probably has cached.
    pub cached_tokens: u32,
}

/// The targets that may serve a request, near ones first; built once for each change of targets.
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
        let limit = nearest.saturating_add(NEAR_LIMIT);
        let near = targets.partition_point(|target| round_trip(*target) <= limit);
        let members = targets.iter().copied().collect();
        Self {
            targets,
            members,
            near,
        }
    }

    /// Whether a target is one of them.
    #[must_use]
    pub fn contains(&self, target: TargetKey) -> bool {
        self.members.contains(&target)
    }

    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// The targets, the nearest first.
    #[must_use]
    pub fn as_slice(&self) -> &[TargetKey] {
        &self.targets
    }

    /// Draws a candidate; every other draw is among the near ones only.
    ///
    /// A region away the first token comes tens of milliseconds later, so far targets are drawn
    /// less often, but still enough to take work over when the near ones are loaded or lost.
    pub(super) fn draw<R: Rng>(&self, number: usize, rng: &mut R) -> Option<TargetKey> {
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
