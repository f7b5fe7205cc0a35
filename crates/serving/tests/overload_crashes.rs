//! Crashes of cold targets that had been sent too much, which must bar no request.

use std::time::Duration;

use domain::{BootNumber, PromptPartId};
use serving::poison::{CrashedTarget, SendHistory};
use serving::{
    ColdTerms, CrashedFeature, PoisonDetector, RequestFeature, TargetLoad, TargetProcess,
};

const TERMS: ColdTerms = ColdTerms {
    duration: Duration::from_secs(3),
    rate: 23.0,
};

fn process(index: u64) -> TargetProcess {
    TargetProcess {
        host: format!("h{index}").parse().expect("a host"),
        boot: BootNumber(1),
    }
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A process that started at `started` and got `sends` requests, 20 ms apart, until it crashes at `now`.
fn crashed(sends: u64, started: Duration, now: Duration) -> CrashedTarget {
    let mut history = SendHistory::default();
    let process = process(0);
    history.record_start(&process, started);
    for index in (0..sends).rev() {
        history.record_send(&process, now.saturating_sub(at(20 * index)));
    }
    CrashedTarget {
        is_cold: false,
        uptime: history.uptime(&process, now),
        own_sends: history.recent_sends(&process, now),
        load: TargetLoad::default(),
    }
}

/// Plays crashes one second apart, each 1.5 s after a start; the same request and prompt part are at all.
fn play(crashes: u64, sends: u64, terms: Option<ColdTerms>) -> PoisonDetector {
    let popular = CrashedFeature {
        feature: RequestFeature::Part(PromptPartId(1)),
        response_age: Some(at(50)),
        is_outlived: false,
        is_trial: false,
    };
    let mut detector = PoisonDetector::default();
    detector.record_sound(RequestFeature::Part(PromptPartId(2)), Duration::ZERO);
    for index in 0..crashes {
        let now = at(10_000 + 1000 * index);
        if crashed(sends, now.saturating_sub(at(1500)), now).was_overloaded(terms, now) {
            detector.record_overload(process(index), now);
        } else {
            detector.record(process(index), now, &[popular]);
        }
        detector.evaluate(now);
    }
    detector
}

/// Twenty cold targets crash as each is sent 41 requests in a second where 39.5 are allowed. What ran there
/// must stay clear, or its callers get 400.
#[test]
fn overloaded_crashes_bar_nothing() {
    let detector = play(20, 41, Some(TERMS));
    assert!(detector.is_clear() && !detector.is_contested());
}

/// A request that crashes cold targets under little load must be barred as before, and so must one where the
/// service states nothing of cold targets.
#[test]
fn crashes_under_little_load_bar() {
    assert_eq!(play(3, 11, Some(TERMS)).barred().len(), 1);
    assert_eq!(play(3, 41, None).barred().len(), 1);
    let slow = ColdTerms { rate: 1.0, ..TERMS };
    assert_eq!(play(3, 1, Some(slow)).barred().len(), 1);
}

/// A warm target that crashes under full load is evidence: no rate is stated for it.
#[test]
fn warm_target_is_evidence() {
    let now = at(60_000);
    let warm = crashed(41, at(50_000), now);
    assert!(!warm.was_overloaded(Some(TERMS), now));
    let cold = CrashedTarget {
        is_cold: true,
        ..warm
    };
    assert!(cold.was_overloaded(Some(TERMS), now));
}

/// A node that sent little itself must recognize an overload from the load that the target reported.
#[test]
fn requests_of_others_count() {
    let now = at(60_000);
    let mut target = crashed(1, at(59_000), now);
    target.load.record_report(40, at(59_900));
    assert!(target.was_overloaded(Some(TERMS), now));
    target.load.record_report(10, at(59_900));
    assert!(!target.was_overloaded(Some(TERMS), now));
}

/// One node reports that the target was overloaded, another one does not know of it. The crash must be dropped
/// whichever report is read first.
#[test]
fn one_report_of_overload_is_enough() {
    let whole = CrashedFeature {
        feature: RequestFeature::Part(PromptPartId(1)),
        response_age: None,
        is_outlived: false,
        is_trial: false,
    };
    for is_first in [true, false] {
        let mut detector = PoisonDetector::default();
        for index in 0..20 {
            let now = at(1000 * index);
            if is_first {
                detector.record_overload(process(index), now);
            }
            detector.record(process(index), now, &[whole]);
            if !is_first {
                detector.record_overload(process(index), now);
            }
        }
        detector.evaluate(at(20_000));
        assert!(detector.is_clear());
    }
}

/// A process that follows another one on its host must not inherit the requests sent to that one.
#[test]
fn next_process_starts_unsent() {
    let mut history = SendHistory::default();
    let next = TargetProcess {
        boot: BootNumber(2),
        ..process(0)
    };
    history.record_send(&process(0), at(100));
    history.record_start(&next, at(200));
    assert_eq!(history.recent_sends(&next, at(300)), 0);
    assert_eq!(history.uptime(&next, at(300)), Some(at(100)));
    history.prune(at(3_600_000));
    assert_eq!(history.uptime(&next, at(3_600_000)), None);
}
