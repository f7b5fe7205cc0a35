//! How long a queue a request accepts at its target.
//!
//! For targets that keep a queue of their own, ordered by rank, and tell its length. Nothing waits
//! at the entry then; a request that does not accept the queue is refused at once.

/// Factor on the accepted queue for each rank that goes before the request's own.
///
/// Under overload a queue grows to what the most urgent accept. All others find it too long and
/// come back later, so the least urgent are refused first and the slots go to the urgent ones;
/// with one limit for all, arrivals of each rank would be refused alike.
const RANK_FACTOR: f64 = 0.7;

/// Factor on the accepted queue for a customer that uses more than its share.
///
/// A customer that sends many times its share fills each queue up to this part; the rest is left
/// for customers that use less, who would otherwise be refused as often as the one that is the
/// cause.
const SHARE_FACTOR: f64 = 0.5;

/// What a request is among those that compete with it. Its size is no part of it: at the same
/// queue a large prompt is refused no sooner than a small one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdmissionClass {
    /// How many ranks in use at its service go before its own.
    pub higher_ranks: usize,
    /// Whether its customer uses more than its share.
    pub over_share: bool,
}

impl AdmissionClass {
    /// Part of the longest queue that it accepts, above 0 and at most 1.
    #[must_use]
    pub fn queue_fraction(&self) -> f64 {
        let ranks = i32::try_from(self.higher_ranks).unwrap_or(i32::MAX);
        let share = if self.over_share { SHARE_FACTOR } else { 1.0 };
        RANK_FACTOR.powi(ranks) * share
    }
}
