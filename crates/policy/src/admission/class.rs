//! Queue limits by the class of a request.
//!
//! Used for targets that have their own queue, ordered by rank, and report its length. Nothing is
//! queued at the entry then: a request that does not accept the length of the queue is refused
//! immediately.

/// Factor on the queue limit for each rank above the request's own.
///
/// Under overload, a queue grows to the limit of the most urgent requests. It then exceeds the
/// limits of all other requests, so the least urgent ones are refused first and the slots go to the
/// urgent ones. With one limit for all, every rank would be refused alike.
const RANK_FACTOR: f64 = 0.7;

/// Factor on the queue limit for a customer that uses more than its share.
///
/// A customer that sends many times its share fills each queue only up to this fraction. The rest
/// is left for customers within their share, who would otherwise be refused as often as the
/// customer that causes the overload.
const OVER_SHARE_FACTOR: f64 = 0.5;

/// Part of the slots that only requests in time may use.
const IN_TIME_SLOT_FRACTION: f64 = 0.1;

/// Class of a request for admission. It does not depend on the size of the request: at the same
/// queue length, a large prompt is refused no earlier than a small one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdmissionClass {
    /// Number of ranks in use at the service that precede the request's own.
    pub higher_ranks: usize,
    /// Whether the customer uses more than its share of the service.
    pub over_share: bool,
    /// Whether the response will be late even if a slot is free.
    pub is_late: bool,
}

impl AdmissionClass {
    /// Returns the fraction of the longest accepted queue up to which the request is admitted: above 0
    /// and at most 1, or 0 for a late request, which must not wait in front of others.
    #[must_use]
    pub fn queue_fraction(&self) -> f64 {
        if self.is_late {
            return 0.0;
        }
        let ranks = i32::try_from(self.higher_ranks).unwrap_or(i32::MAX);
        let share = if self.over_share {
            OVER_SHARE_FACTOR
        } else {
            1.0
        };
        RANK_FACTOR.powi(ranks) * share
    }

    /// Returns the longest queue at a target for the request to be sent there, where `capacity` requests
    /// may wait at most. Negative for a late request, which leaves some of the slots to others.
    #[must_use]
    pub fn queue_limit(&self, slots: u32, capacity: f64) -> f64 {
        if self.is_late {
            return -f64::from(slots) * IN_TIME_SLOT_FRACTION;
        }
        capacity * self.queue_fraction()
    }
}
