//! Arrivals of requests at rates that change over time.

use std::time::Duration;

use serving::hashing::unit_draw;

use super::spec::{Arrival, FleetSpec};

/// Total time of a client.
pub const TOTAL: Duration = Duration::from_secs(6);

/// When the overload begins and ends, and when the load ends.
pub const OVERLOAD: (u64, u64) = (5, 25);
const END: f64 = 30.0;

/// Number of customers that send at the same rate.
const CUSTOMERS: usize = 40;

/// Load before and after the overload, as a part of the capacity.
const NORMAL_LOAD: f64 = 0.7;

/// Arrivals at `load(seconds)` times the capacity.
pub fn arrivals(spec: FleetSpec, load: impl Fn(f64) -> f64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    for count in 0_u64.. {
        let draw = unit_draw(&(spec.seed, "arrival", count)).max(f64::EPSILON);
        at -= draw.ln() / (spec.capacity() * load(at));
        if at >= END {
            break;
        }
        let customer = usize::try_from(count).expect("a small number") % CUSTOMERS;
        let at = Duration::from_secs_f64(at);
        arrivals.push(Arrival {
            born: at,
            at,
            total: TOTAL,
            customer,
            timeout: Duration::from_secs(10),
        });
    }
    arrivals
}

/// Load of 1.5 times the capacity for 20 s.
pub fn overload(spec: FleetSpec) -> Vec<Arrival> {
    let (from, to) = OVERLOAD;
    let range = Duration::from_secs(from).as_secs_f64()..Duration::from_secs(to).as_secs_f64();
    arrivals(spec, |at| {
        if range.contains(&at) {
            1.5
        } else {
            NORMAL_LOAD
        }
    })
}
