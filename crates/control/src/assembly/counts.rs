//! How many replicas of each model stand and serve, over all fabric domains.

use std::time::{Duration, Instant};

use domain::{FastMap, ModelName};

use super::ModelCounts;
use super::rows::FabricRows;
use crate::view::TargetView;

/// Oldest evidence with which a replica counts as serving; as old as entries trust.
const EVIDENCE_LIMIT: Duration = Duration::from_secs(3);

/// Counts by model: those that stand from the table, those that serve from this node's targets.
///
/// The table's count falls with the drain itself, in the same transaction, while the targets show
/// it a moment later; so the lower of both counts. Without targets every standing one serves.
pub fn model_counts(
    rows: &FabricRows,
    targets: Option<&TargetView>,
    now: Instant,
) -> FastMap<ModelName, ModelCounts> {
    let mut counts: FastMap<ModelName, ModelCounts> = FastMap::default();
    for ((model, _), (row, _)) in &rows.census {
        let count = counts.entry(model.clone()).or_default();
        count.standing += row.replicas as usize;
        count.serving = count.standing;
    }
    let Some(targets) = targets else {
        return counts;
    };
    let mut serving: FastMap<ModelName, usize> = FastMap::default();
    for replica in &targets.replicas {
        if replica.dispatchable(now, EVIDENCE_LIMIT) {
            *serving.entry(replica.plan.model.clone()).or_default() += 1;
        }
    }
    for (model, count) in &mut counts {
        let seen = serving.get(model).copied().unwrap_or_default();
        count.serving = count.serving.min(seen);
    }
    counts
}
