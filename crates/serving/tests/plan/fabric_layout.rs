//! Layout of models over fabric domains.

use std::collections::BTreeMap;
use std::time::Duration;

use cases::properties;
use domain::FabricId;
use serving::ModelConfig;
use serving::plan::{FabricCapacity, FabricLayout, compute_layout};

fn model(name: &str, size: usize, share: f64) -> ModelConfig {
    ModelConfig {
        name: name.parse().expect("a model"),
        size,
        share,
        time_factor: 1.0,
        load_time: Duration::from_secs(16),
    }
}

fn fabric(index: usize) -> FabricId {
    format!("f{index}").parse().expect("a fabric")
}

fn domains(sizes: &[usize]) -> BTreeMap<FabricId, FabricCapacity> {
    let named = sizes.iter().enumerate();
    let capacity = |size: &usize| FabricCapacity {
        hosts: *size,
        ..FabricCapacity::default()
    };
    named
        .map(|(index, size)| (fabric(index), capacity(size)))
        .collect()
}

fn count(layout: &FabricLayout, fabric: &str, model: &str) -> usize {
    let fabric: FabricId = fabric.parse().expect("a fabric");
    let model = model.parse().expect("a model");
    layout[&fabric].get(&model).copied().unwrap_or(0)
}

/// In domains of eight hosts each model gets one replica and two hosts stay spare. Without spares,
/// each lost host would cost a replica until a host has loaded its model.
#[test]
fn even_domains() {
    let models = [model("large", 4, 0.67), model("small", 2, 0.33)];
    let layout = compute_layout(&domains(&[8; 6]), &models);
    for index in 0..6 {
        let fabric = format!("f{index}");
        assert_eq!(count(&layout, &fabric, "large"), 1, "{layout:?}");
        assert_eq!(count(&layout, &fabric, "small"), 1, "{layout:?}");
    }
}

/// Domains of nineteen hosts have room for more replicas, and still keep spares.
#[test]
fn large_domains() {
    let models = [model("large", 8, 0.5), model("small", 4, 0.5)];
    let layout = compute_layout(&domains(&[19; 9]), &models);
    for (fabric, desired) in &layout {
        let used: usize = desired
            .iter()
            .map(|(name, count)| count * if name.as_str() == "large" { 8 } else { 4 })
            .sum();
        assert!((12..=17).contains(&used), "{fabric}: {desired:?}");
    }
}

/// A domain with fewer hosts than a replica needs gets none.
#[test]
fn small_domain_skipped() {
    let models = [model("large", 4, 1.0)];
    let layout = compute_layout(&domains(&[3, 4]), &models);
    assert_eq!(count(&layout, "f0", "large"), 0);
    assert_eq!(count(&layout, "f1", "large"), 1);
}

/// The larger of two models with equal shares must get a replica in each domain. It had none in a
/// sixth of the domains: small replicas were placed where most hosts were free until it no longer
/// fit, and its clients waited at the other domains.
#[test]
fn large_model_placed() {
    let models = [model("large", 16, 0.5), model("small", 4, 0.5)];
    let layout = compute_layout(&domains(&[37; 6]), &models);
    for fabric in layout.keys() {
        assert_eq!(count(&layout, fabric.as_str(), "large"), 1, "{layout:?}");
    }
}

/// Two of four domains have the large model in memory. The loss of a host must not move it: its
/// hosts would be given to small replicas, and the new domain would have to load it.
#[test]
fn loaded_models_stay() {
    let models = [model("large", 16, 0.5), model("small", 4, 0.5)];
    let name = models[0].name.clone();
    for lost in 0..4 {
        let mut capacities = domains(&[20; 4]);
        for index in [1, 3] {
            let capacity = capacities.get_mut(&fabric(index)).expect("a domain");
            capacity.loaded.insert(name.clone(), 16);
        }
        capacities.get_mut(&fabric(lost)).expect("a domain").hosts -= 1;
        let layout = compute_layout(&capacities, &models);
        let placed = [0, 1, 2, 3].map(|index| count(&layout, &format!("f{index}"), "large"));
        assert_eq!(placed, [0, 1, 0, 1], "a host of f{lost} is lost");
    }
}

/// Returns whether a domain could have one more replica of `recipient` in place of some of `donor`,
/// with `donor` keeping at least as much coverage.
fn can_rebalance(
    capacities: &BTreeMap<FabricId, FabricCapacity>,
    layout: &FabricLayout,
    recipient: &ModelConfig,
    donor: &ModelConfig,
) -> bool {
    let placed_in = |fabric: &FabricId, model: &ModelConfig| {
        layout[fabric].get(&model.name).copied().unwrap_or(0)
    };
    let coverage = |model: &ModelConfig, more: i32| {
        let placed: usize = layout.keys().map(|fabric| placed_in(fabric, model)).sum();
        let placed = i32::try_from(placed).expect("few replicas") + more;
        let size = i32::try_from(model.size).expect("few hosts");
        f64::from(placed * size) / model.share
    };
    for (fabric, capacity) in capacities {
        // A further replica of a model in the same domain leaves a spare for each model.
        let spares = if placed_in(fabric, recipient) > 0 {
            2
        } else {
            0
        };
        let used =
            placed_in(fabric, recipient) * recipient.size + placed_in(fabric, donor) * donor.size;
        let missing = (recipient.size + spares).saturating_sub(capacity.hosts - used);
        let released = missing.div_ceil(donor.size);
        let released_signed = i32::try_from(released).expect("few replicas");
        if released <= placed_in(fabric, donor)
            && coverage(donor, -released_signed) >= coverage(recipient, 1)
        {
            return true;
        }
    }
    false
}

properties! {
    /// No layout uses more hosts of a domain than it has.
    fn capacity_never_exceeded(sizes: Vec<u8>, first: u8, second: u8) -> bool {
        let sizes: Vec<usize> = sizes.into_iter().take(12).map(usize::from).collect();
        let models = [
            model("one", usize::from(first % 9), 0.6),
            model("two", usize::from(second % 9), 0.4),
        ];
        let hosts = domains(&sizes);
        let layout = compute_layout(&hosts, &models);
        layout.iter().all(|(fabric, desired)| {
            let used: usize = models
                .iter()
                .map(|model| desired.get(&model.name).copied().unwrap_or(0) * model.size)
                .sum();
            used <= hosts[fabric].hosts
        })
    }

    /// Whatever the sizes and shares, no model is left with low coverage while another can give up
    /// replicas for it.
    fn no_model_starved(sizes: Vec<u8>, first: u8, second: u8, share: u8) -> bool {
        let sizes = sizes.into_iter().take(8);
        let sizes: Vec<usize> = sizes.map(|size| usize::from(size % 48)).collect();
        let share = 0.1 + 0.8 * f64::from(share) / 255.0;
        let models = [
            model("one", 1 + usize::from(first % 16), share),
            model("two", 1 + usize::from(second % 16), 1.0 - share),
        ];
        let hosts = domains(&sizes);
        let layout = compute_layout(&hosts, &models);
        !can_rebalance(&hosts, &layout, &models[0], &models[1])
            && !can_rebalance(&hosts, &layout, &models[1], &models[0])
    }
}
