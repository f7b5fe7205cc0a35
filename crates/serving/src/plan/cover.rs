//! How much a model has for its part of the work.

use std::cmp::Ordering;

use crate::route::ModelConfig;

/// Share that counts for a model without one, so that it is not divided by zero.
const LEAST_SHARE: f64 = 1e-6;

/// Hosts that serve a model for each part of the work that is expected for it. The model with the
/// least has the callers that wait and are refused most.
#[derive(Debug, Clone, Copy)]
pub(super) struct Cover(f64);

impl Cover {
    /// The cover of a model with so many replicas.
    pub fn of(model: &ModelConfig, replicas: usize) -> Self {
        let hosts = u32::try_from(replicas * model.size).unwrap_or(u32::MAX);
        Self(f64::from(hosts) / model.share.max(LEAST_SHARE))
    }

    /// The number itself.
    pub fn hosts_per_share(self) -> f64 {
        self.0
    }
}

impl PartialEq for Cover {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Cover {}

impl PartialOrd for Cover {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Cover {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}
