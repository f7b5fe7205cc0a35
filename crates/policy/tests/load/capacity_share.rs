//! Each entry's part of the targets' slots.

use std::time::Duration;

use crate::baseline::ShareKind;
use crate::driver::callers::steady;
use crate::driver::{Driver, RunResult, Setup};
use policy::capacity::{CapacityShare, PoolReport, ShareSettings};
use rand::Rng;

fn run(entries: usize, times: f64, share: ShareKind, blackout: (f64, f64)) -> (RunResult, f64) {
    let setup = Setup {
        entries,
        share,
        blackout,
        ..Setup::plain(20, 8)
    };
    let rate = setup.capacity(400, 100);
    let calls = steady(9, rate * times, (0.0, 40.0), |call, rng| {
        let few = (entries / 3).max(1);
        let uneven = rng.random_bool(0.8);
        call.entry = rng.random_range(if uneven { 0..few } else { few..entries });
    });
    let result = Driver::new(&setup).run(&calls);
    let goodput = result.goodput(15.0, 40.0) / (rate * 100.0);
    (result, goodput)
}

/// The balancer sends four fifths of the calls to a third of the entries. With even parts those
/// refuse callers while slots idle.
#[test]
fn uneven_balancer_leaves_no_slot_idle() {
    for entries in [3, 24] {
        let (scaled, goodput) = run(entries, 0.8, ShareKind::Scaled, (0.0, 0.0));
        let (parts, even) = run(entries, 0.8, ShareKind::EvenPart, (0.0, 0.0));
        assert!(scaled.busy_slots > parts.busy_slots * 1.2, "slots idle");
        assert!(goodput > 0.76, "{goodput} of 0.8 with {entries} entries");
        assert!(even < 0.6, "even parts gave {even}");
        let refused = scaled.pick(|job| job.refused).len();
        assert!(refused * 50 < scaled.jobs.len(), "{refused} refused");
    }
}

/// Every entry sees the same free slots in the same old report. If each took them all, the
/// engines would queue, and callers' first tokens would come late.
#[test]
fn slots_are_not_taken_many_times() {
    let (scaled, goodput) = run(24, 2.0, ShareKind::Scaled, (0.0, 0.0));
    let (all_free, baseline) = run(24, 2.0, ShareKind::AllFree, (0.0, 0.0));
    assert!(goodput > baseline + 0.05, "{goodput} against {baseline}");
    assert!(scaled.deepest * 3 < all_free.deepest * 2);
}

/// Reports stop for 20 seconds, as when the links between failure domains are cut. Callers should
/// notice nothing at usual load.
#[test]
fn lost_reports_stop_no_one() {
    let (cut, _) = run(6, 0.7, ShareKind::Scaled, (10.0, 30.0));
    let on_time = cut.on_time(|job| job.call.at > 5.0);
    assert!(on_time > 0.95, "{on_time} on time");
}

/// An engine that says it is full cuts the window, but one wave of refusals only once.
#[test]
fn full_answers_cut_the_window_once() {
    let settings = ShareSettings::builder().entries(3).build();
    let mut share = CapacityShare::new(settings, 1);
    let report = PoolReport {
        slots: 300,
        ..PoolReport::default()
    };
    share.record_report(Duration::from_secs(1), report);
    let window = share.window();
    assert!((window - 100.0).abs() < 1.0, "a third of the idle slots");
    for _ in 0..50 {
        share.record_full(Duration::from_secs(2));
    }
    assert!(share.window() > window * 0.9);
    assert!(share.window() < window);
}

/// With more entries than slots each may send now and then, and all together about as many
/// streams as there are slots.
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
