//! A day in which the demand moves between two models, minute by minute.

#![allow(dead_code)]

use std::time::Duration;

use policy::shifting::{PoolDemand, ShiftPlanner, ShiftSettings};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SLOTS: f64 = 16.0;

/// Minutes in which a moving replica serves nobody: its drain and its load.
const MOVE_MINUTES: u32 = 6;

/// What a day did for callers.
#[derive(Debug, Clone, Copy)]
pub struct TideResult {
    /// Part of the demanded streams for which there was no slot.
    pub unmet: f64,
    /// Moves of a replica.
    pub moves: u32,
}

/// Runs a day over 20 replicas; `settings` of none never moves.
pub fn run_day(seed: u64, noise: f64, settings: Option<ShiftSettings>) -> TideResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut planner = settings.map(ShiftPlanner::new);
    let mut replicas = [10_u32, 10];
    let mut moving: Vec<(u32, usize)> = Vec::new();
    let (mut demanded, mut unmet, mut moves) = (0.0, 0.0, 0);
    for minute in 0..1_440_u32 {
        moving.retain(|(until, _)| *until > minute);
        let wave = (f64::from(minute) / 1_440.0 * std::f64::consts::TAU).sin();
        let mut pools = Vec::new();
        for (pool, side) in [(0_usize, 1.0), (1, -1.0)] {
            let spike = 1.0 + noise * rng.random_range(-1.0..1.0);
            let offered = 120.0 * (1.0 + side * wave * 0.5) * spike;
            let away = moving.iter().filter(|(_, to)| *to == pool).count();
            let there = f64::from(replicas[pool]) - f64::from(u8::try_from(away).unwrap_or(0));
            demanded += offered;
            unmet += (offered - there * SLOTS).max(0.0);
            pools.push(
                PoolDemand::builder()
                    .pool(pool)
                    .replicas(replicas[pool])
                    .slots(16)
                    .offered(offered)
                    .hosts_per_replica(4)
                    .build(),
            );
        }
        let now = Duration::from_mins(u64::from(minute));
        let shift = planner
            .as_mut()
            .and_then(|planner| planner.plan(now, &pools));
        if let Some(shift) = shift {
            replicas[shift.from] -= 1;
            replicas[shift.to] += 1;
            moving.push((minute + MOVE_MINUTES, shift.to));
            moves += 1;
        }
    }
    TideResult {
        unmet: unmet / demanded,
        moves,
    }
}

/// Settings that follow every minute's demand.
pub fn without_hysteresis() -> ShiftSettings {
    ShiftSettings::builder()
        .high(0.0)
        .low(f64::MAX)
        .hold(Duration::ZERO)
        .rest(Duration::ZERO)
        .memory(Duration::from_secs(1))
        .build()
}
