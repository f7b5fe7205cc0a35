//! Each entry's share of the targets' slots.

use std::time::Duration;

use crate::baseline::ShareKind;
use crate::simulation::workload::poisson_calls;
use crate::simulation::{Scenario, Simulation, SimulationResult};
use policy::capacity::{CapacityShare, PoolReport, ShareSettings};
use rand::Rng;

fn run(
    entries: usize,
    times: f64,
    share: ShareKind,
    report_outage: (f64, f64),
) -> (SimulationResult, f64) {
    let scenario = Scenario {
        entries,
        share,
        report_outage,
        ..Scenario::standard(20, 8)
    };
    let rate = scenario.capacity(400, 100);
    let calls = poisson_calls(9, rate * times, (0.0, 40.0), |call, rng| {
        let favored = (entries / 3).max(1);
        let to_favored = rng.random_bool(0.8);
        call.entry = rng.random_range(if to_favored {
            0..favored
        } else {
            favored..entries
        });
    });
    let result = Simulation::new(&scenario).run(&calls);
    let goodput = result.goodput(15.0, 40.0) / (rate * 100.0);
    (result, goodput)
}

/// The load balancer sends four fifths of the calls to a third of the entries. With equal shares
/// these would refuse clients while slots are idle.
#[test]
fn uneven_load_balancing_leaves_no_slot_idle() {
    for entries in [3, 24] {
        let (scaled, goodput) = run(entries, 0.8, ShareKind::Scaled, (0.0, 0.0));
        let (even, even_goodput) = run(entries, 0.8, ShareKind::EvenShare, (0.0, 0.0));
        assert!(
            scaled.slot_seconds > even.slot_seconds * 1.2,
            "slots are idle"
        );
        assert!(goodput > 0.76, "{goodput} of 0.8 with {entries} entries");
        assert!(even_goodput < 0.6, "even shares gave {even_goodput}");
        let refused = scaled.select(|job| job.refused).len();
        assert!(refused * 50 < scaled.jobs.len(), "{refused} refused");
    }
}

/// Runs streams of 100 ms one after another in all free places for this long; returns how many ended.
fn run_streams(share: &mut CapacityShare, from: Duration, time: Duration) -> usize {
    let stream_time = Duration::from_millis(100);
    let mut now = from;
    let mut ended = 0;
    while now < from + time {
        share.advance(now);
        let sent = share.free();
        for _ in 0..sent {
            share.record_offered(now);
            share.record_sent(now);
        }
        now += stream_time;
        for _ in 0..sent {
            share.record_finished(now, stream_time);
        }
        ended += sent;
    }
    ended
}

/// An entry learns of the replicas from its peers, which probe them, and so never gets a report of
/// its own. With one stream at a time its clients would wait beside idle replicas.
#[test]
fn window_grows_without_reports() {
    let settings = ShareSettings::builder().entries(3).build();
    let mut share = CapacityShare::new(settings, 7);
    run_streams(&mut share, Duration::ZERO, Duration::from_secs(1));
    assert!(share.window() >= 8.0, "{}", share.window());
}

/// Two clients come to an entry that has just started. The second must not wait for the response of
/// the first, which took so long that it was refused.
#[test]
fn second_stream_before_first_report() {
    for seed in 0..20 {
        let settings = ShareSettings::builder().entries(410).build();
        let mut share = CapacityShare::new(settings, seed);
        share.record_sent(Duration::ZERO);
        share.advance(Duration::from_millis(10));
        assert!(share.free() > 0, "with seed {seed}");
    }
}

/// The last report came while the replicas were full, so the window is below one, and peers probe
/// them from then on. Rounding must not leave it at no stream for good.
#[test]
fn small_window_recovers_without_reports() {
    for seed in 0..20 {
        let settings = ShareSettings::builder().entries(40).build();
        let mut share = CapacityShare::new(settings, seed);
        let full = PoolReport {
            slots: 16,
            running: 16,
            waiting: 30,
            age: Duration::ZERO,
        };
        share.record_report(Duration::ZERO, full);
        let ended = run_streams(&mut share, Duration::ZERO, Duration::from_secs(6));
        assert!(ended > 100, "{ended} streams with seed {seed}");
    }
}

/// Targets refuse streams as full while reports are missing. The window must then grow slowly, or
/// most of what an entry sends is refused.
#[test]
fn refusals_slow_growth_without_reports() {
    let settings = ShareSettings::builder().entries(3).build();
    let mut share = CapacityShare::new(settings, 7);
    run_streams(&mut share, Duration::ZERO, Duration::from_secs(1));
    share.record_full(Duration::from_secs(1));
    let before = share.window();
    run_streams(
        &mut share,
        Duration::from_secs(1),
        Duration::from_millis(300),
    );
    assert!(share.window() <= before + 3.1, "{}", share.window());
}

/// All entries see the same free slots in the same outdated report. If each took all of them,
/// requests would queue at the engines and clients' first tokens would be late.
#[test]
fn entries_do_not_oversubscribe_slots() {
    let (scaled, goodput) = run(24, 2.0, ShareKind::Scaled, (0.0, 0.0));
    let (all_free, baseline) = run(24, 2.0, ShareKind::AllFree, (0.0, 0.0));
    assert!(goodput > baseline + 0.05, "{goodput} versus {baseline}");
    assert!(scaled.max_engine_queue * 3 < all_free.max_engine_queue * 2);
}

/// Reports stop for 20 seconds, as when the links between failure domains are cut. At normal load,
/// clients must not be affected.
#[test]
fn lost_reports_do_not_stop_requests() {
    let (outage, _) = run(6, 0.7, ShareKind::Scaled, (10.0, 30.0));
    let on_time = outage.on_time(|job| job.call.at > 5.0);
    assert!(on_time > 0.95, "{on_time} on time");
}

/// A response that an engine is full decreases the window, but a burst of them does so only once.
#[test]
fn refusal_burst_decreases_window_once() {
    let settings = ShareSettings::builder().entries(3).build();
    let mut share = CapacityShare::new(settings, 1);
    let report = PoolReport {
        slots: 300,
        ..PoolReport::default()
    };
    share.record_report(Duration::from_secs(1), report);
    let window = share.window();
    assert!((window - 100.0).abs() < 1.0, "one third of the idle slots");
    for _ in 0..50 {
        share.record_full(Duration::from_secs(2));
    }
    assert!(share.window() > window * 0.9);
    assert!(share.window() < window);
}

/// With more entries than slots, each entry may send only in some of the rounds, and all together
/// about as many streams as there are slots.
#[test]
fn many_entries_share_few_slots() {
    let settings = ShareSettings::builder().entries(410).build();
    let report = PoolReport {
        slots: 64,
        ..PoolReport::default()
    };
    for round in 1..20 {
        let mut free = 0;
        for entry in 0..410 {
            let mut share = CapacityShare::new(settings, entry * 37);
            for second in 0..round {
                share.record_report(Duration::from_secs(second), report);
            }
            free += share.free();
        }
        assert!((30..=100).contains(&free), "{free} of 64 in round {round}");
    }
}
