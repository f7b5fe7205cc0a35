//! How many replicas of each model a fabric domain should have.

use std::collections::BTreeMap;

use domain::{FabricId, ModelName};

use crate::route::ModelShape;

/// Replicas wanted in each fabric domain, by model.
pub type FabricLayout = BTreeMap<FabricId, BTreeMap<ModelName, usize>>;

/// Spreads models over fabric domains in proportion to their shares.
///
/// The model that lacks most goes first, into a fabric domain that has no replica of it, of these
/// into the one with the most hosts left. Once a
/// domain has a replica of a model, a further one must leave a spare host for each model: a lost
/// host is then replaced within a second instead of after a load of many seconds.
#[must_use]
pub fn lay_out(hosts: &BTreeMap<FabricId, usize>, models: &[ModelShape]) -> FabricLayout {
    let mut free = hosts.clone();
    let mut layout: FabricLayout = hosts
        .keys()
        .map(|fabric| (fabric.clone(), BTreeMap::new()))
        .collect();
    let mut placed: Vec<usize> = vec![0; models.len()];
    loop {
        let mut order: Vec<usize> = (0..models.len()).collect();
        order.sort_by(|left, right| {
            let lack = |index: usize| to_f64(placed[index]) / models[index].share.max(1e-6);
            let sizes = models[*right].size.cmp(&models[*left].size);
            lack(*left).total_cmp(&lack(*right)).then(sizes)
        });
        let mut progress = false;
        for index in order {
            let model = &models[index];
            let Some(fabric) = best_fabric(&free, &layout, model, models.len()) else {
                continue;
            };
            if let Some(left) = free.get_mut(&fabric) {
                *left -= model.size;
            }
            if let Some(wanted) = layout.get_mut(&fabric) {
                *wanted.entry(model.name.clone()).or_default() += 1;
            }
            placed[index] += model.size;
            progress = true;
            break;
        }
        if !progress {
            return layout;
        }
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn best_fabric(
    free: &BTreeMap<FabricId, usize>,
    layout: &FabricLayout,
    model: &ModelShape,
    spares: usize,
) -> Option<FabricId> {
    let mut best: Option<((bool, usize), &FabricId)> = None;
    for (fabric, left) in free {
        let has_one = layout
            .get(fabric)
            .is_some_and(|wanted| wanted.contains_key(&model.name));
        let reserve = if has_one { spares } else { 0 };
        if model.size == 0 || *left < model.size + reserve {
            continue;
        }
        // A domain without the model goes first: the loss of one then leaves the others.
        let rank = (!has_one, *left);
        if best.is_none_or(|(most, _)| rank > most) {
            best = Some((rank, fabric));
        }
    }
    best.map(|(_, fabric)| fabric.clone())
}
