//! Going over from one version of a model to another without a dip.

/// How many serving replicas of a model may be drained now because they are not wanted any more.
///
/// Made for a record that names a new version instead of the old one. If every replica of the old
/// one were drained at once, the model would serve nobody until the new one's weights are loaded;
/// seen as refusals to all its callers for minutes. So old replicas go as new ones come to serve,
/// with at most a small part missing at a time where no free hosts let the new ones come first.
///
/// `wanted` counts the model's wanted replicas and `serving` those that serve and do not drain,
/// both over all its versions. A model that no record wants goes at once.
#[must_use]
pub fn allowed_drains(wanted: usize, serving: usize, steps: usize) -> usize {
    let missing = wanted.div_ceil(steps.max(1));
    (serving + missing).saturating_sub(wanted)
}
