//! Rollout from one version of a model to another without a loss of capacity.

/// Returns how many surplus serving replicas of a model may be drained now.
///
/// When a record replaces a version by a new one, draining all replicas of the old version at once
/// would leave the model without a serving replica until the weights of the new version are loaded,
/// and all clients would be refused for minutes. Old replicas are therefore drained as new ones
/// start to serve. If there are no free hosts to start new replicas first, at most one part in
/// `steps` of the desired replicas, rounded up, is missing at a time.
///
/// `desired` is the number of desired replicas of the model and `serving` the number of replicas
/// that serve and are not draining, both over all versions. If none is desired, all may be drained
/// at once.
#[must_use]
pub fn allowed_drains(desired: usize, serving: usize, steps: usize) -> usize {
    let unavailable = desired.div_ceil(steps.max(1));
    (serving + unavailable).saturating_sub(desired)
}
