//! Going over from one version of a model to another without a dip.

use domain::{FastMap, ModelName};

use super::fabric::RoundView;
use super::state::ReplicaStage;

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
pub fn drain_room(wanted: usize, serving: usize, steps: usize) -> usize {
    let missing = wanted.div_ceil(steps.max(1));
    (serving + missing).saturating_sub(wanted)
}

/// How many replicas of each model may be drained in this round.
pub(super) struct DrainRoom<'a> {
    room: FastMap<&'a ModelName, usize>,
}

impl<'a> DrainRoom<'a> {
    pub fn new(view: &RoundView<'a>, leave: &[usize]) -> Self {
        let mut room = FastMap::default();
        for index in leave {
            let model = &view.replicas[*index].replica.model;
            let of = view
                .wanted
                .iter()
                .filter(|wanted| wanted.model == *model)
                .map(|wanted| wanted.replicas as usize);
            let wanted: usize = of.sum();
            let serving = view.replicas.iter().filter(|view| {
                let ready = view.replica.stage == ReplicaStage::Ready;
                view.replica.model == *model && ready && !view.broken
            });
            let steps = view.settings.rollout_steps;
            room.insert(model, drain_room(wanted, serving.count(), steps));
        }
        Self { room }
    }

    pub fn take(&mut self, model: &ModelName) -> bool {
        let Some(room) = self.room.get_mut(model) else {
            return true;
        };
        let some = *room > 0;
        *room = room.saturating_sub(1);
        some
    }
}
