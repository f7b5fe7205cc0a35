//! Hosts, what is wanted of them and what happens to them.

#![allow(dead_code)]

use std::time::Duration;

use policy::assembly::{AssemblyHost, HostPresence, WantedReplicas};
use rand::Rng;
use rand::rngs::SmallRng;

/// What happens to the hosts.
#[derive(Debug, Clone, Copy)]
pub struct FleetPlan {
    pub fabrics: usize,
    pub hosts: usize,
    pub days: f64,
    /// Events of one host a year, each with its mean length.
    pub failures: (f64, Duration),
    pub restarts: (f64, Duration),
    pub pauses: (f64, Duration),
    /// Losses of one fabric domain a year.
    pub outages: (f64, Duration),
    pub seed: u64,
}

pub fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text} is no id"))
}

pub fn wanted(model: &str, replicas: u32, extra: u32, hosts_per_replica: u32) -> WantedReplicas {
    WantedReplicas {
        model: id(model),
        version: id("v1"),
        replicas,
        extra,
        hosts_per_replica,
    }
}

/// Hosts that are all there and free, spread over fabric domains.
pub fn fleet(fabrics: usize, hosts: usize) -> Vec<AssemblyHost> {
    let mut fleet = Vec::new();
    for fabric in 0..fabrics {
        for host in 0..hosts {
            fleet.push(AssemblyHost {
                id: id(&format!("f{fabric:02}-h{host:03}")),
                fabric: id(&format!("f{fabric:02}")),
                domain: id(&format!("d{}", fabric % 3)),
                presence: HostPresence::Present,
                replica: None,
                loaded: None,
            });
        }
    }
    fleet
}

/// Poisson events of a mean rate a year with exponential lengths.
pub fn occurrences(
    rate: f64,
    length: Duration,
    end: f64,
    rng: &mut SmallRng,
) -> Vec<(Duration, Duration)> {
    let mut found = Vec::new();
    let mut at = 0.0;
    let mean = 365.0 * 86_400.0 / rate.max(1e-9);
    loop {
        at += -rng.random_range(f64::EPSILON..1.0).ln() * mean;
        if at >= end {
            return found;
        }
        let part = -rng.random_range(f64::EPSILON..1.0).ln();
        found.push((Duration::from_secs_f64(at), length.mul_f64(part)));
    }
}
