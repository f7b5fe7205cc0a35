//! Detection of the requests that crash targets.

use std::time::Duration;

use cases::seeded;
use domain::{BootNumber, HostId};
use serving::poison::{CRASH_RETENTION, MIN_CRASHES_TO_BAR};
use serving::{CrashedRequest, PoisonDetector, PoisonVerdict, RequestFingerprint, TargetProcess};

const CULPRIT: RequestFingerprint = RequestFingerprint(1);

fn crash(index: usize) -> TargetProcess {
    let host: HostId = format!("h{index}").parse().expect("a host");
    TargetProcess {
        host,
        boot: BootNumber(1),
    }
}

fn request(fingerprint: u128, millis: u64) -> CrashedRequest {
    CrashedRequest {
        fingerprint: RequestFingerprint(fingerprint),
        response_age: Some(Duration::from_millis(millis)),
    }
}

fn seconds(index: usize) -> Duration {
    Duration::from_secs(u64::try_from(index).expect("few crashes"))
}

/// Requests that move together from one crashed target to the next are at the same crashes. Only
/// the one whose response had just begun each time must be barred.
#[test]
fn only_youngest_response_barred() {
    let mut detector = PoisonDetector::default();
    for index in 0..MIN_CRASHES_TO_BAR {
        let requests = [request(1, 50), request(2, 700), request(3, 300)];
        detector.record(crash(index), seconds(index), &requests);
        detector.evaluate(seconds(index));
        let is_last = index + 1 == MIN_CRASHES_TO_BAR;
        assert_eq!(detector.verdict(CULPRIT) == PoisonVerdict::Barred, is_last);
    }
    assert_eq!(detector.barred(), [CULPRIT]);
    assert_eq!(
        detector.verdict(RequestFingerprint(2)),
        PoisonVerdict::Clear
    );
    assert_eq!(
        detector.verdict(RequestFingerprint(3)),
        PoisonVerdict::Clear
    );
}

/// A request that was queued at each crashed target must not be barred instead of the one that ran.
#[test]
fn queued_request_not_barred() {
    let mut detector = PoisonDetector::default();
    for index in 0..MIN_CRASHES_TO_BAR {
        let queued = CrashedRequest {
            fingerprint: RequestFingerprint(2),
            response_age: None,
        };
        detector.record(crash(index), seconds(index), &[queued, request(1, 400)]);
    }
    detector.evaluate(seconds(MIN_CRASHES_TO_BAR));
    assert_eq!(detector.barred(), [CULPRIT]);
}

/// A request that was barred by mistake is cleared as soon as a further crash points to another
/// one.
#[test]
fn wrong_verdict_corrected() {
    let mut detector = PoisonDetector::default();
    for index in 0..MIN_CRASHES_TO_BAR {
        detector.record(
            crash(index),
            seconds(index),
            &[request(1, 90), request(2, 20)],
        );
    }
    detector.evaluate(seconds(3));
    assert_eq!(detector.barred(), [RequestFingerprint(2)]);
    detector.record(crash(9), seconds(4), &[request(1, 90)]);
    detector.evaluate(seconds(4));
    assert_eq!(detector.barred(), [CULPRIT]);
}

/// Reports of several nodes on the same crash count as one crash. A process that restarts and
/// crashes again counts as another.
#[test]
fn crash_identified_by_boot() {
    let mut detector = PoisonDetector::default();
    for _ in 0..4 {
        detector.record(crash(0), seconds(0), &[request(1, 50)]);
    }
    detector.evaluate(seconds(1));
    assert_eq!(detector.verdict(CULPRIT), PoisonVerdict::Clear);
    let again = TargetProcess {
        boot: BootNumber(2),
        ..crash(0)
    };
    detector.record(again, seconds(2), &[request(1, 50)]);
    detector.evaluate(seconds(2));
    assert_eq!(detector.verdict(CULPRIT), PoisonVerdict::Suspect);
}

/// Crashes older than the retention are no evidence.
#[test]
fn old_crashes_expire() {
    let mut detector = PoisonDetector::default();
    for index in 0..MIN_CRASHES_TO_BAR {
        detector.record(crash(index), seconds(index), &[request(1, 50)]);
    }
    detector.evaluate(seconds(MIN_CRASHES_TO_BAR));
    assert_eq!(detector.barred(), [CULPRIT]);
    detector.evaluate(seconds(MIN_CRASHES_TO_BAR) + CRASH_RETENTION);
    assert!(detector.is_clear());
}

/// A request that was at all crashes is barred whatever ran next to it and in whichever order the
/// crashes are recorded. Each barred request needs its own crashes, at least as many as the
/// minimum.
#[test]
fn culprit_always_found() {
    fn holds(neighbours: Vec<Vec<(u8, u16)>>) -> bool {
        let crashes = neighbours.len();
        let mut forward = PoisonDetector::default();
        let mut backward = PoisonDetector::default();
        let records: Vec<Vec<CrashedRequest>> = neighbours
            .into_iter()
            .map(|requests| {
                let others = requests.into_iter();
                let others = others.map(|(fingerprint, age)| {
                    request(u128::from(fingerprint) + 2, u64::from(age) + 200)
                });
                others.chain([request(1, 100)]).collect()
            })
            .collect();
        for (index, requests) in records.iter().enumerate() {
            forward.record(crash(index), seconds(index), requests);
        }
        for (index, requests) in records.iter().enumerate().rev() {
            backward.record(crash(index), seconds(index), requests);
        }
        forward.evaluate(seconds(crashes));
        backward.evaluate(seconds(crashes));
        let barred = forward.verdict(CULPRIT) == PoisonVerdict::Barred;
        forward.barred() == backward.barred()
            && barred == (crashes >= MIN_CRASHES_TO_BAR)
            && forward.barred().len() <= crashes / MIN_CRASHES_TO_BAR
    }
    seeded().quickcheck(holds as fn(Vec<Vec<(u8, u16)>>) -> bool);
}
