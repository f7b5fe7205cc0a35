//! How models spread over fabric domains.

use std::collections::BTreeMap;
use std::time::Duration;

use domain::FabricId;
use quickcheck::quickcheck;
use serving::ModelShape;
use serving::plan::{FabricLayout, lay_out};

fn model(name: &str, size: usize, share: f64) -> ModelShape {
    ModelShape {
        name: name.parse().expect("a model"),
        size,
        share,
        pace: 1.0,
        load: Duration::from_secs(16),
    }
}

fn domains(sizes: &[usize]) -> BTreeMap<FabricId, usize> {
    let named = sizes.iter().enumerate();
    named
        .map(|(index, size)| (format!("f{index}").parse().expect("a fabric"), *size))
        .collect()
}

fn count(layout: &FabricLayout, fabric: &str, model: &str) -> usize {
    let fabric: FabricId = fabric.parse().expect("a fabric");
    let model = model.parse().expect("a model");
    layout[&fabric].get(&model).copied().unwrap_or(0)
}

/// Six domains of eight hosts: each gets one replica of either model and keeps two spares. A
/// domain without a spare would lose a replica for the time of a whole load with each host.
#[test]
fn even_domains() {
    let models = [model("large", 4, 0.67), model("small", 2, 0.33)];
    let layout = lay_out(&domains(&[8; 6]), &models);
    for index in 0..6 {
        let fabric = format!("f{index}");
        assert_eq!(count(&layout, &fabric, "large"), 1, "{layout:?}");
        assert_eq!(count(&layout, &fabric, "small"), 1, "{layout:?}");
    }
}

/// Domains of nineteen hosts have room for more than one of each, and still keep spares.
#[test]
fn large_domains() {
    let models = [model("large", 8, 0.5), model("small", 4, 0.5)];
    let layout = lay_out(&domains(&[19; 9]), &models);
    for (fabric, wanted) in &layout {
        let used: usize = wanted
            .iter()
            .map(|(name, count)| count * if name.as_str() == "large" { 8 } else { 4 })
            .sum();
        assert!((12..=17).contains(&used), "{fabric}: {wanted:?}");
    }
}

/// A domain with fewer hosts than a replica has must not be counted on.
#[test]
fn small_domain_left() {
    let models = [model("large", 4, 1.0)];
    let layout = lay_out(&domains(&[3, 4]), &models);
    assert_eq!(count(&layout, "f0", "large"), 0);
    assert_eq!(count(&layout, "f1", "large"), 1);
}

quickcheck! {
    /// No domain is promised more hosts than it has.
    fn never_over(sizes: Vec<u8>, first: u8, second: u8) -> bool {
        let sizes: Vec<usize> = sizes.into_iter().take(12).map(usize::from).collect();
        let models = [
            model("one", usize::from(first % 9), 0.6),
            model("two", usize::from(second % 9), 0.4),
        ];
        let hosts = domains(&sizes);
        let layout = lay_out(&hosts, &models);
        layout.iter().all(|(fabric, wanted)| {
            let used: usize = models
                .iter()
                .map(|model| wanted.get(&model.name).copied().unwrap_or(0) * model.size)
                .sum();
            used <= hosts[fabric]
        })
    }
}
