//! Detection of the requests and prompt parts that crash targets.

use std::time::Duration;

use cases::seeded;
use domain::{BootNumber, HostId, PromptPartId};
use serving::poison::{
    BarredSet, CRASH_RETENTION, JOINT_LOSS_SPAN, MIN_CRASHES_TO_BAR, MIN_UNHEARD_CRASHES_TO_BAR,
    SOUND_ANSWER_AGE,
};
use serving::{
    CrashedFeature, PoisonDetector, PoisonVerdict, RequestFeature, RequestFingerprint,
    TargetProcess,
};

const CULPRIT: RequestFeature = RequestFeature::Whole(RequestFingerprint(1));

/// Part that nearly all prompts have.
const POPULAR: u128 = 100;

fn crash(index: usize) -> TargetProcess {
    let host: HostId = format!("h{index}").parse().expect("a host");
    TargetProcess {
        host,
        boot: BootNumber(1),
    }
}

fn whole(fingerprint: u128) -> RequestFeature {
    RequestFeature::Whole(RequestFingerprint(fingerprint))
}

fn part(id: u128) -> RequestFeature {
    RequestFeature::Part(PromptPartId(id))
}

fn at_crash(feature: RequestFeature, millis: u64) -> CrashedFeature {
    CrashedFeature {
        feature,
        response_age: Some(Duration::from_millis(millis)),
        is_outlived: false,
        is_trial: false,
    }
}

fn request(fingerprint: u128, millis: u64) -> CrashedFeature {
    at_crash(whole(fingerprint), millis)
}

fn seconds(index: usize) -> Duration {
    Duration::from_secs(u64::try_from(index).expect("few crashes"))
}

fn barred(detector: &PoisonDetector) -> Vec<Vec<RequestFeature>> {
    let sets = detector.barred().iter();
    sets.map(|set: &BarredSet| set.features.clone()).collect()
}

/// A detector that has known sound answers for long when it is four seconds old.
fn heard_detector() -> PoisonDetector {
    let mut detector = PoisonDetector::default();
    detector.record_sound(part(POPULAR), Duration::ZERO);
    detector
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
        let is_barred = detector.verdict(&[CULPRIT]) == PoisonVerdict::Barred;
        assert_eq!(is_barred, is_last);
    }
    assert_eq!(barred(&detector), [[CULPRIT]]);
    assert_eq!(detector.verdict(&[whole(2)]), PoisonVerdict::Clear);
    assert_eq!(detector.verdict(&[whole(3)]), PoisonVerdict::Clear);
}

/// A request that was queued at each crashed target must not be barred instead of the one that ran.
#[test]
fn queued_request_not_barred() {
    let mut detector = PoisonDetector::default();
    for index in 0..MIN_CRASHES_TO_BAR {
        let queued = CrashedFeature {
            feature: whole(2),
            response_age: None,
            is_outlived: false,
            is_trial: false,
        };
        detector.record(crash(index), seconds(index), &[queued, request(1, 400)]);
    }
    detector.evaluate(seconds(MIN_CRASHES_TO_BAR));
    assert_eq!(barred(&detector), [[CULPRIT]]);
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
    assert_eq!(barred(&detector), [[whole(2)]]);
    detector.record(crash(9), seconds(4), &[request(1, 90)]);
    detector.evaluate(seconds(4));
    assert_eq!(barred(&detector), [[CULPRIT]]);
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
    assert_eq!(detector.verdict(&[CULPRIT]), PoisonVerdict::Clear);
    let again = TargetProcess {
        boot: BootNumber(2),
        ..crash(0)
    };
    detector.record(again, seconds(2), &[request(1, 50)]);
    detector.evaluate(seconds(2));
    assert_eq!(detector.verdict(&[CULPRIT]), PoisonVerdict::Suspect);
}

/// Crashes older than the retention are no evidence.
#[test]
fn old_crashes_expire() {
    let mut detector = PoisonDetector::default();
    for index in 0..MIN_CRASHES_TO_BAR {
        detector.record(crash(index), seconds(index), &[request(1, 50)]);
    }
    detector.evaluate(seconds(MIN_CRASHES_TO_BAR));
    assert_eq!(barred(&detector), [[CULPRIT]]);
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
        let records: Vec<Vec<CrashedFeature>> = neighbours
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
        let is_barred = forward.verdict(&[CULPRIT]) == PoisonVerdict::Barred;
        barred(&forward) == barred(&backward)
            && is_barred == (crashes >= MIN_CRASHES_TO_BAR)
            && barred(&forward).len() <= crashes / MIN_CRASHES_TO_BAR
    }
    seeded().quickcheck(holds as fn(Vec<Vec<(u8, u16)>>) -> bool);
}

/// A popular part is at every crash, next to the part that causes them, and its oldest response there is no
/// older. The sound answers with it before the crashes tell the two apart.
#[test]
fn popular_part_not_barred() {
    let mut detector = heard_detector();
    for index in 4..4 + MIN_CRASHES_TO_BAR {
        let features = [at_crash(part(POPULAR), 40), at_crash(part(1), 40)];
        detector.record(crash(index), seconds(index), &features);
        detector.evaluate(seconds(index));
    }
    assert_eq!(barred(&detector), [[part(1)]]);
    let sound = [part(POPULAR), part(7)];
    assert_eq!(detector.verdict(&sound), PoisonVerdict::Clear);
}

/// Just after a start nothing has had a sound answer yet. A popular part is at every crash, also at one that
/// something else caused, and must be heard before it is barred in place of the cause.
#[test]
fn start_bars_no_popular_part() {
    let at = |tenths: u32| Duration::from_millis(100) * tenths;
    let mut detector = PoisonDetector::default();
    for (index, tenths) in [2, 4, 6].into_iter().enumerate() {
        let mut features = vec![at_crash(part(POPULAR), 40)];
        if tenths != 4 {
            features.push(at_crash(part(1), 40));
        }
        detector.record(crash(index), at(tenths), &features);
        detector.evaluate(at(tenths));
        assert!(barred(&detector).is_empty());
    }
    detector.record_sound(part(POPULAR), at(6));
    detector.evaluate(at(17));
    assert!(barred(&detector).is_empty());
    assert_eq!(detector.verdict(&[part(POPULAR)]), PoisonVerdict::Clear);
    for index in 3..=MIN_UNHEARD_CRASHES_TO_BAR {
        assert!(barred(&detector).is_empty());
        let now = at(20) + seconds(index);
        detector.record(crash(index), now, &[at_crash(part(1), 40)]);
        detector.evaluate(now);
    }
    assert_eq!(barred(&detector), [[part(1)]]);
}

/// Several targets end at one moment with the same part, which has never been seen before. That is one
/// event, and callers with the part must be served.
#[test]
fn one_moment_counts_once() {
    let mut detector = PoisonDetector::default();
    for index in 0..10 {
        let at = seconds(5) + Duration::from_millis(u64::try_from(index).expect("small"));
        detector.record(crash(index), at, &[at_crash(part(1), 300)]);
    }
    detector.evaluate(seconds(20));
    assert!(detector.is_clear());
}

/// A part that begins to crash targets after it was sound for long is barred as well, once answers that
/// have begun since would have shown that it is sound.
#[test]
fn turned_part_barred() {
    let mut detector = PoisonDetector::default();
    detector.record_sound(part(1), seconds(9));
    for index in 10..10 + MIN_CRASHES_TO_BAR {
        detector.record(crash(index), seconds(index), &[at_crash(part(1), 40)]);
    }
    detector.evaluate(seconds(13));
    assert_eq!(detector.verdict(&[part(1)]), PoisonVerdict::Suspect);
    detector.evaluate(seconds(14));
    assert_eq!(detector.verdict(&[part(1)]), PoisonVerdict::Barred);
}

/// Parts that were always together are barred together only: a request with one of them shows which of them
/// is the cause, and is served if it is the other.
#[test]
fn inseparable_parts_told_apart() {
    let mut detector = heard_detector();
    for index in 4..4 + MIN_CRASHES_TO_BAR {
        let features = [at_crash(part(1), 40), at_crash(part(2), 40)];
        detector.record(crash(index), seconds(index), &features);
    }
    detector.evaluate(seconds(7));
    assert_eq!(barred(&detector), [[part(1), part(2)]]);
    assert_eq!(
        detector.verdict(&[part(2), part(5)]),
        PoisonVerdict::Suspect
    );
    detector.record_sound(part(2), seconds(8));
    detector.evaluate(seconds(9));
    assert_eq!(barred(&detector), [[part(1)]]);
    assert_eq!(detector.verdict(&[part(2)]), PoisonVerdict::Clear);
}

/// A target that has sent an answer for a second when it crashes was not crashed by a part of that answer.
#[test]
fn outlived_part_not_blamed() {
    let mut detector = PoisonDetector::default();
    for index in 0..10 {
        let outlived = CrashedFeature {
            is_outlived: true,
            ..at_crash(part(1), 1500)
        };
        detector.record(crash(index), seconds(index), &[outlived]);
    }
    detector.evaluate(seconds(20));
    assert!(detector.is_clear());
}

/// Nothing with a barred part is sent any more, so no answer could show that it is sound again. From time
/// to time one request is to be tried, less and less often while that ends targets.
#[test]
fn trials_grow_rarer() {
    let mut detector = heard_detector();
    for index in 4..4 + MIN_CRASHES_TO_BAR {
        detector.record(crash(index), seconds(index), &[at_crash(part(1), 40)]);
    }
    detector.evaluate(seconds(7));
    let first = detector.barred()[0].trial_at;
    assert!(first > seconds(60) && first < CRASH_RETENTION);
    detector.record(crash(9), first, &[at_crash(part(1), 40)]);
    detector.evaluate(first);
    let second = detector.barred()[0].trial_at;
    assert!(second > first * 2);
    detector.record_sound(part(1), second);
    detector.evaluate(second + SOUND_ANSWER_AGE);
    assert!(detector.is_clear());
}

/// A node that has seen a sound answer with a part that others may judge tells them, once.
#[test]
fn sound_answers_reported_once() {
    let mut detector = PoisonDetector::default();
    detector.record_sound(part(1), seconds(5));
    detector.evaluate(seconds(6));
    assert!(detector.unreported_sound().is_empty());
    for index in [2, 3] {
        detector.record(crash(index), seconds(index + 4), &[at_crash(part(1), 40)]);
    }
    detector.evaluate(seconds(8));
    assert_eq!(detector.unreported_sound(), [(part(1), seconds(5))]);
    detector.record_reported_sound(part(1), seconds(5));
    detector.evaluate(seconds(8));
    assert!(detector.unreported_sound().is_empty());
}

/// A node that knows of a sound answer judges a part to be sound, and no longer contests it. The others go
/// on keeping its callers away unless they are told.
#[test]
fn clearing_answer_reported() {
    let mut detector = PoisonDetector::default();
    for index in 4..4 + MIN_CRASHES_TO_BAR {
        detector.record(crash(index), seconds(index), &[at_crash(part(1), 40)]);
    }
    detector.record_sound(part(1), seconds(8));
    detector.evaluate(seconds(9));
    assert!(detector.is_clear() && !detector.is_contested());
    assert_eq!(detector.unreported_sound(), [(part(1), seconds(8))]);
    detector.record_reported_sound(part(1), seconds(8));
    detector.evaluate(seconds(10));
    assert!(detector.unreported_sound().is_empty());
}

/// Whatever sound requests run beside it, the part at every crash is barred from the third crash on, and no
/// part is that has had a sound answer since the last crash.
#[test]
fn sound_parts_never_barred() {
    fn holds(neighbours: Vec<Vec<u8>>) -> bool {
        let mut detector = heard_detector();
        let last = seconds(neighbours.len() + 5);
        let mut seen = Vec::new();
        let crashes = neighbours.len();
        for (index, parts) in neighbours.into_iter().enumerate() {
            let others = parts.into_iter().map(|id| part(u128::from(id) + 2));
            let others: Vec<RequestFeature> = others.collect();
            seen.extend(others.iter().copied());
            let mut features: Vec<CrashedFeature> = others
                .into_iter()
                .map(|feature| at_crash(feature, 40))
                .collect();
            features.push(at_crash(part(1), 40));
            detector.record(crash(index), seconds(index + 4), &features);
        }
        for feature in &seen {
            detector.record_sound(*feature, last);
        }
        detector.evaluate(last + SOUND_ANSWER_AGE);
        let expected: Vec<Vec<RequestFeature>> = if crashes >= MIN_CRASHES_TO_BAR {
            vec![vec![part(1)]]
        } else {
            Vec::new()
        };
        barred(&detector) == expected
            && seen
                .iter()
                .all(|feature| detector.verdict(&[*feature]) == PoisonVerdict::Clear)
    }
    seeded().quickcheck(holds as fn(Vec<Vec<u8>>) -> bool);
}

/// A part that is barred since three targets crashed with it, at 4, 5 and 6 s.
fn barring_detector() -> PoisonDetector {
    let mut detector = heard_detector();
    for index in 4..4 + MIN_CRASHES_TO_BAR {
        detector.record(crash(index), seconds(index), &[at_crash(part(1), 40)]);
    }
    detector.evaluate(seconds(6));
    assert_eq!(barred(&detector), [[part(1)]]);
    detector
}

fn on_trial(feature: RequestFeature) -> CrashedFeature {
    CrashedFeature {
        is_trial: true,
        ..at_crash(feature, 40)
    }
}

/// Popular parts are at all crashes of a joint loss. Until a trial has shown that a part crashes targets, no
/// client may be told so, however many crashes speak against the part.
#[test]
fn only_trials_prove() {
    let mut detector = barring_detector();
    for index in 7..20 {
        detector.record(crash(index), seconds(index), &[at_crash(part(1), 40)]);
        detector.evaluate(seconds(index) + SOUND_ANSWER_AGE * 10);
        assert!(!detector.barred()[0].is_proved);
    }
    detector.record(crash(30), seconds(30), &[on_trial(part(1))]);
    detector.evaluate(seconds(30) + JOINT_LOSS_SPAN);
    assert!(!detector.barred()[0].is_proved, "too early to tell");
    detector.evaluate(seconds(32));
    assert!(detector.barred()[0].is_proved);
}

/// A target may end under a trial because hosts are lost jointly. That must prove nothing.
#[test]
fn trial_in_joint_loss_proves_nothing() {
    for offset in [-900_i64, -50, 0, 50, 900] {
        let mut detector = barring_detector();
        detector.record(crash(30), seconds(30), &[on_trial(part(1))]);
        let other = Duration::from_millis(u64::try_from(30_000 + offset).expect("positive"));
        detector.record(crash(31), other, &[at_crash(part(7), 40)]);
        detector.evaluate(seconds(35));
        let set = &detector.barred()[0];
        assert!(!set.is_proved, "another end {offset} ms later");
        assert_eq!(set.other_ends, 1);
        detector.record(crash(40), seconds(40), &[on_trial(part(1))]);
        detector.evaluate(seconds(45));
        assert!(detector.barred()[0].is_proved);
    }
}

/// While targets go on ending, a trial shows nothing and may cost one more; but a trial must come.
#[test]
fn trials_wait_for_calm() {
    let mut detector = barring_detector();
    let calm = detector.barred()[0].first_trial_at;
    assert!(calm > seconds(6) + JOINT_LOSS_SPAN && calm < seconds(9));
    for index in 7..400 {
        detector.record(crash(index), seconds(index), &[at_crash(part(7), 1500)]);
        detector.record_sound(part(7), seconds(index + 1));
    }
    detector.evaluate(seconds(400));
    let set = &detector.barred()[0];
    assert_eq!(set.first_trial_at, set.trial_at);
}

/// A trial of parts that were always together proves nothing of one of them alone.
#[test]
fn proof_holds_for_tried_parts() {
    let mut detector = heard_detector();
    for index in 4..4 + MIN_CRASHES_TO_BAR {
        let features = [at_crash(part(1), 40), at_crash(part(2), 40)];
        detector.record(crash(index), seconds(index), &features);
    }
    let tried = [on_trial(part(1)), at_crash(part(2), 40)];
    detector.record(crash(20), seconds(20), &tried);
    detector.evaluate(seconds(25));
    assert_eq!(barred(&detector), [[part(1), part(2)]]);
    assert!(!detector.barred()[0].is_proved);
}
