//! Moving replicas between models.

#[path = "../examples/compare/tide.rs"]
mod tide;

use std::time::Duration;

use policy::shifting::{PoolDemand, ShiftPlanner, ShiftSettings};
use tide::{run_day, without_hysteresis};

fn pool(name: char, replicas: u32, offered: f64) -> PoolDemand<char> {
    PoolDemand::builder()
        .pool(name)
        .replicas(replicas)
        .slots(16)
        .offered(offered)
        .hosts_per_replica(4)
        .build()
}

/// Traders ask in the morning and clerks in the afternoon. With a fixed split one model refuses
/// callers while the other's hosts idle.
#[test]
fn replicas_follow_the_day() {
    for seed in 1..=3 {
        let ours = run_day(seed, 0.2, Some(ShiftSettings::default()));
        let fixed = run_day(seed, 0.2, None);
        assert!(ours.unmet * 4.0 < fixed.unmet, "{ours:?} {fixed:?}");
    }
}

/// The demand only trembles. Every move would cost minutes of a replica and win nothing.
#[test]
fn noise_moves_hardly_anything() {
    for seed in 1..=3 {
        let ours = run_day(seed, 0.4, Some(ShiftSettings::default()));
        let eager = run_day(seed, 0.4, Some(without_hysteresis()));
        assert!(ours.moves * 4 < eager.moves, "{ours:?} {eager:?}");
        assert!(ours.unmet < eager.unmet, "{ours:?} {eager:?}");
    }
}

/// A burst of a minute moves nothing; a lasting one moves a replica, and nothing comes back at
/// once.
#[test]
fn only_lasting_pressure_counts() {
    let mut planner = ShiftPlanner::new(ShiftSettings::default());
    let calm = [pool('a', 5, 40.0), pool('b', 5, 30.0)];
    let pressed = [pool('a', 5, 79.0), pool('b', 5, 30.0)];
    for second in 0..60 {
        assert_eq!(planner.plan(Duration::from_secs(second), &pressed), None);
    }
    for second in 60..600 {
        assert_eq!(planner.plan(Duration::from_secs(second), &calm), None);
    }
    let moved = (600..1_200)
        .find_map(|second| planner.plan(Duration::from_secs(second), &pressed))
        .expect("it lasts");
    assert_eq!((moved.from, moved.to), ('b', 'a'));
    let after = [pool('a', 6, 79.0), pool('b', 4, 30.0)];
    for second in 1_200..1_800 {
        let shift = planner.plan(Duration::from_secs(second), &after);
        assert!(shift.is_none_or(|shift| shift.to == 'a'));
    }
}

/// A pool never gives its last replica, nor one of another size.
#[test]
fn floors_and_sizes_are_kept() {
    let mut planner = ShiftPlanner::new(ShiftSettings::default());
    let other_size = PoolDemand {
        hosts_per_replica: 16,
        ..pool('c', 9, 1.0)
    };
    let pools = [pool('a', 2, 90.0), pool('b', 1, 0.0), other_size];
    for second in 0..900 {
        assert_eq!(planner.plan(Duration::from_secs(second), &pools), None);
    }
}
