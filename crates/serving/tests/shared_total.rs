//! Retries of all nodes together, whatever they see of each other and however often they start.

mod fleet;

use std::time::Duration;

use cases::properties;
use domain::{EraVersion, StoreEra};
use serving::retry_budget::RetryLimits;

use fleet::{Draws, Fleet, LeaseRows, STEP};

const LIMITS: RetryLimits = RetryLimits {
    window: Duration::from_secs(10),
    ratio: 0.2,
    extra: 130.0,
};

/// Simulated steps: two minutes, so that leases end and change hands.
const STEPS: u32 = 480;

/// Plays faults drawn from a seed, while every attempt fails; returns the worst excess.
fn play(seed: u64) -> f64 {
    let mut draws = Draws::new(seed);
    let count = usize::try_from(1 + draws.below(12)).unwrap();
    let mut fleet = Fleet::new(LIMITS, count);
    let busy = draws.below(8);
    for step in 0..STEPS {
        let now = STEP * step;
        for index in 0..count {
            let seconds = Duration::from_secs(1 + draws.below(70));
            if draws.below(120) == 0 {
                fleet.restart(index, now);
            }
            if draws.below(120) == 0 {
                fleet.nodes[index].turned_away_until = now + seconds;
            }
            if draws.below(200) == 0 {
                fleet.nodes[index].suspended_until = now + seconds;
            }
            if now < fleet.nodes[index].suspended_until {
                continue;
            }
            let counted = usize::try_from(draws.below(2 * 12)).unwrap();
            fleet.claim(index, now, counted);
            for _ in 0..draws.below(1 + busy) {
                fleet.request(index, now, 3);
            }
            if draws.below(20) == 0 {
                for _ in 0..40 {
                    fleet.request(index, now, 3);
                }
            }
        }
    }
    fleet.worst_excess()
}

/// Takes the store back to a copy, in a new era; the numbers of its rows stay.
fn restore(rows: &mut LeaseRows, copy: LeaseRows) {
    let era = StoreEra(rows.era.0 + 1);
    *rows = copy;
    rows.era = era;
    for (version, _) in &mut rows.rows {
        let number = version.within(version.era()).unwrap_or_default();
        *version = EraVersion::new(era, number);
    }
}

/// Plays restores of the store from copies that are up to ten seconds old, while nodes are turned away and
/// suspended and every attempt fails; returns the worst excess.
fn play_restores(seed: u64) -> f64 {
    let mut draws = Draws::new(seed);
    let count = usize::try_from(1 + draws.below(12)).unwrap();
    let mut fleet = Fleet::new(LIMITS, count);
    let mut copies = Vec::new();
    for step in 0..STEPS {
        let now = STEP * step;
        copies.push(fleet.rows.clone());
        if draws.below(80) == 0 {
            let age = usize::try_from(draws.below(40)).unwrap();
            let copy = copies[copies.len().saturating_sub(1 + age)].clone();
            restore(&mut fleet.rows, copy);
        }
        for index in 0..count {
            let seconds = Duration::from_secs(1 + draws.below(70));
            if draws.below(120) == 0 {
                fleet.nodes[index].turned_away_until = now + seconds;
            }
            if draws.below(200) == 0 {
                fleet.nodes[index].suspended_until = now + seconds;
            }
            if now < fleet.nodes[index].suspended_until {
                continue;
            }
            let counted = usize::try_from(draws.below(2 * 12)).unwrap();
            fleet.claim(index, now, counted);
            if draws.below(20) == 0 {
                for _ in 0..40 {
                    fleet.request(index, now, 3);
                }
            }
        }
    }
    fleet.worst_excess()
}

properties! {
    /// Guards against a slot with two holders after a restore of the store that lost the lease of the first.
    fn total_holds_across_restores(seed: u64) -> bool {
        play_restores(seed) <= 0.0
    }


    /// Guards against nodes that together retry more than is allowed: each counts any number of others, is
    /// killed, suspended or turned away by the store at any time, and all attempts fail.
    fn total_holds_whatever_nodes_see(seed: u64) -> bool {
        play(seed) <= 0.0
    }
}

/// Guards against a restart that makes the extra retries available once more: a node that uses its slots,
/// is killed and starts again has none of them until what it sent before counts no longer.
#[test]
fn restart_brings_no_second_part() {
    let mut fleet = Fleet::new(LIMITS, 1);
    let mut now = Duration::from_secs(4);
    fleet.claim(0, now, 1);
    for _ in 0..10 {
        fleet.request(0, now, 200);
        now += Duration::from_secs(1);
        fleet.restart(0, now);
        fleet.nodes[0].next_claim = now;
        fleet.claim(0, now, 1);
    }
    assert!(fleet.worst_excess() <= 0.0, "{}", fleet.worst_excess());
}

/// Guards against slots that are lost with a process: the next one uses them once the first one's retries
/// count no longer.
#[test]
fn restart_gets_slots_back() {
    let mut fleet = Fleet::new(LIMITS, 1);
    fleet.claim(0, Duration::from_secs(4), 1);
    let restarted = Duration::from_secs(10);
    fleet.restart(0, restarted);
    fleet.claim(0, restarted + Duration::from_secs(4), 1);
    let early = restarted + LIMITS.window;
    assert_eq!(fleet.nodes[0].ledger.usable(early), 0);
    let settled = restarted + LIMITS.settle_time();
    assert_eq!(fleet.nodes[0].ledger.usable(settled), LIMITS.slot_count());
}

/// Guards against an outage of the store that leaves nodes without retries at once: they keep their slots
/// for the time of a lease, and not longer.
#[test]
fn outage_bridged_by_leases() {
    let mut fleet = Fleet::new(LIMITS, 2);
    let claimed = Duration::from_secs(4);
    for index in 0..2 {
        fleet.claim(index, claimed, 2);
    }
    let slots = LIMITS.slot_count() / 2;
    let late = claimed + Duration::from_secs(59);
    assert_eq!(fleet.nodes[0].ledger.usable(late), slots);
    let over = claimed + Duration::from_mins(1);
    assert_eq!(fleet.nodes[0].ledger.usable(over), 0);
}

/// Guards against a slot with two holders: one that can't renew stops before another one may begin.
#[test]
fn slots_change_hands_late() {
    let mut fleet = Fleet::new(LIMITS, 2);
    let claimed = Duration::from_secs(4);
    fleet.claim(0, claimed, 1);
    let ended = claimed + Duration::from_mins(1);
    fleet.nodes[1].next_claim = ended;
    fleet.claim(1, ended, 1);
    assert_eq!(fleet.nodes[1].ledger.usable(ended), 0);
    let mut now = ended + STEP;
    while now <= ended + LIMITS.settle_time() {
        fleet.nodes[1].next_claim = now;
        fleet.claim(1, now, 1);
        assert_eq!(fleet.nodes[1].ledger.usable(now), 0, "at {now:?}");
        now += STEP;
    }
    let settled = ended + LIMITS.settle_time() + STEP;
    fleet.nodes[1].next_claim = settled;
    fleet.claim(1, settled, 1);
    assert_eq!(fleet.nodes[1].ledger.usable(settled), LIMITS.slot_count());
}

/// Guards against what a slot allows being sent twice in a window: by the holder that can't renew it, just
/// before its lease ends, and by the next one, which claims it as soon as it may.
#[test]
fn slot_used_once_in_a_window() {
    let mut fleet = Fleet::new(LIMITS, 2);
    let claimed = Duration::from_secs(4);
    fleet.claim(0, claimed, 1);
    let ended = claimed + Duration::from_mins(1);
    let last = claimed + Duration::from_secs(59);
    for _ in 0..10 {
        fleet.request(0, last, 200);
    }
    let mut now = ended;
    while now <= ended + LIMITS.settle_time() + STEP {
        fleet.nodes[1].next_claim = now;
        fleet.claim(1, now, 1);
        fleet.request(1, now, 200);
        now += STEP;
    }
    assert!(fleet.worst_excess() <= 0.0, "{}", fleet.worst_excess());
    assert!(fleet.nodes[1].ledger.usable(now) > 0);
}
