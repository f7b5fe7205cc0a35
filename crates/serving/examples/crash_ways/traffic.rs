//! Requests of the simulation and their prompt parts.

use domain::PromptPartId;
use serving::RequestFeature;
use serving::hashing::stable_hash;

/// The part that crashes engines.
pub const CULPRIT: RequestFeature = RequestFeature::Part(PromptPartId(1));

/// A part that no prompt has.
pub const UNUSED: RequestFeature = RequestFeature::Part(PromptPartId(3));

/// Share of the prompts that begin with the same part.
const COMMON_SHARE: f64 = 0.9;

/// Number of first parts, of uneven popularity.
const FIRST_PARTS: f64 = 60.0;

/// Second parts for each first one.
const SECOND_PARTS: f64 = 4.0;

/// Reproducible random numbers.
#[derive(Debug)]
pub struct Draws {
    seed: u64,
    count: u64,
}

impl Draws {
    pub fn new(seed: u64) -> Self {
        Self { seed, count: 0 }
    }

    /// A number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        self.count += 1;
        let hash = stable_hash(&(self.seed, self.count));
        f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
    }

    /// A number below `count`.
    pub fn below(&mut self, count: usize) -> usize {
        let count = u32::try_from(count.max(1)).unwrap_or(u32::MAX);
        whole(self.unit() * f64::from(count)).min(count as usize - 1)
    }
}

// In range: the simulation's numbers are small and not negative.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(number: f64) -> usize {
    number as usize
}

/// Shared parts of a request's prompt: one that nearly all have, a popular one and one that follows it, and
/// the culprit among them.
pub fn draw_parts(draws: &mut Draws, is_bad: bool) -> Vec<RequestFeature> {
    // The square makes the first parts several times as popular as the last.
    let popularity = draws.unit() * draws.unit();
    let first = whole(popularity * FIRST_PARTS);
    let second = whole(draws.unit() * SECOND_PARTS);
    let part = |id: usize| {
        let id = u128::try_from(id).unwrap_or(u128::MAX);
        RequestFeature::Part(PromptPartId(id))
    };
    let mut parts = vec![part(100 + first), part(1000 + first * 10 + second)];
    if draws.unit() < COMMON_SHARE {
        parts.insert(0, part(2));
    }
    if is_bad {
        let place = draws.below(parts.len() + 1);
        parts.insert(place, CULPRIT);
    }
    parts
}
