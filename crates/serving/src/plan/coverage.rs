//! How many hosts serve a model relative to its share of the work.

use std::cmp::Ordering;

use crate::route::ModelConfig;

/// Lower bound on the share of a model, which avoids a division by zero.
const MIN_SHARE: f64 = 1e-6;

/// Number of hosts that serve a model, divided by the share of the work expected for it. Clients of
/// the model with the lowest coverage wait the longest and are refused the most.
#[derive(Debug, Clone, Copy)]
pub(super) struct Coverage(f64);

impl Coverage {
    pub fn of(model: &ModelConfig, replicas: usize) -> Self {
        let hosts = u32::try_from(replicas * model.size).unwrap_or(u32::MAX);
        Self(f64::from(hosts) / model.share.max(MIN_SHARE))
    }

    pub fn hosts_per_share(self) -> f64 {
        self.0
    }
}

impl PartialEq for Coverage {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Coverage {}

impl PartialOrd for Coverage {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Coverage {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}
