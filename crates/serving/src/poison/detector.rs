//! Verdicts on what crashes targets.

use std::time::Duration;

use domain::FastSet;

use super::evidence::{CrashLog, CrashRecord, CrashedFeature, FeatureTally, TargetProcess, tally};
use super::{RequestFeature, SOUND_ANSWER_AGE, SoundAnswers};

/// Crashes that must speak against a feature before requests with it are barred. Two hosts may be lost
/// under the same request by chance; three seldom are.
pub const MIN_CRASHES_TO_BAR: usize = 3;

/// The same for a prompt part while hardly any has had a sound answer yet: one that many prompts have may be
/// at three crashes by chance, and those that know better may not have been heard.
pub const MIN_UNHEARD_CRASHES_TO_BAR: usize = 5;

/// Crashes that must speak against a feature before it is suspect. A suspect request is sent to a single
/// target per arrival.
const MIN_CRASHES_TO_SUSPECT: usize = 2;

/// Time for which a verdict waits for sound answers: those that have begun since must have lasted long enough
/// to count. For a feature that had some before the crashes it runs from the crash that would bar it. Another
/// one is waited for only after a start, when hardly any has had one yet, and from its first crash on.
const SOUND_ANSWER_PATIENCE: Duration = SOUND_ANSWER_AGE.saturating_add(Duration::from_millis(500));

/// Time within which ends of targets may have one cause that they share, such as a failure domain that goes
/// dark host by host.
pub const JOINT_LOSS_SPAN: Duration = Duration::from_secs(1);

/// Time after the last crash until one request of a barred set is let through, for features that never had
/// a sound answer. Each such request may cost another target.
const TRIAL_DELAY: Duration = Duration::from_mins(2);

/// The same for features that had one before the crashes.
const SOUND_TRIAL_DELAY: Duration = Duration::from_secs(20);

/// Time after the last crash of any target until a set is tried for the first time, and after the crash of a
/// target under a trial until it is proof: answers that have begun since, and ends of other targets at that
/// time, must have become known.
const SETTLE_TIME: Duration = JOINT_LOSS_SPAN.saturating_add(Duration::from_millis(500));

/// Gap between two crashes of a set after which the later one shows a trial that has failed. Each doubles
/// the delay of the next.
const TRIAL_GAP: Duration = Duration::from_secs(15);

/// Maximum number of times that the delay is doubled.
const MAX_TRIAL_DOUBLINGS: u32 = 4;

/// Result of the detection for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoisonVerdict {
    /// No more likely a cause than the requests next to it.
    Clear,
    /// A possible cause; it is not sent to a second target.
    Suspect,
    /// The cause of several crashes; it is not sent to any target.
    Barred,
}

/// Features that were together at the same crashes, of which at least one caused them. Only requests that
/// have all of them are barred: one that has some of them may be sound, and what becomes of it tells the
/// features apart.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BarredSet {
    /// The features in ascending order.
    pub features: Vec<RequestFeature>,
    /// Number of crashes that speak against them.
    pub crashes: usize,
    /// Time from the first of these crashes to the last one.
    pub crash_span: Duration,
    /// Number of other targets that ended within [`JOINT_LOSS_SPAN`] of one of these crashes. Many of them
    /// are a sign of a joint loss.
    pub other_ends: usize,
    /// When the newest sound answer with one of them began; `None` if there was none.
    pub newest_sound: Option<Duration>,
    /// Whether a trial has shown that such requests crash targets. Without it they may have been at the
    /// crashes by chance, as popular ones are at a joint loss.
    pub is_proved: bool,
    /// When a request with all of them may be tried, as long as that is not proved.
    pub first_trial_at: Duration,
    /// When a request with all of them may be tried again.
    pub trial_at: Duration,
}

impl BarredSet {
    fn covers(&self, features: &[RequestFeature]) -> bool {
        self.features
            .iter()
            .all(|feature| features.contains(feature))
    }
}

/// A feature with the evidence against it.
#[derive(Debug, Clone, Copy)]
struct SuspectFeature {
    feature: RequestFeature,
    tally: FeatureTally,
    /// Whether any answer with it is known that its target survived, before the crashes.
    was_sound: bool,
    /// Whether that would be known if there had been any.
    is_heard: bool,
}

impl SuspectFeature {
    /// Whether it is suspect.
    fn is_suspect(&self, now: Duration) -> bool {
        let reached = self.tally.reached(MIN_CRASHES_TO_SUSPECT);
        reached.is_some_and(|reached| !self.was_sound || reached + SOUND_ANSWER_PATIENCE <= now)
    }

    /// Whether it may be barred, unless another one is the likelier cause.
    fn is_barrable(&self, now: Duration) -> bool {
        let is_part = matches!(self.feature, RequestFeature::Part(_));
        let is_unheard_part = is_part && !self.was_sound && !self.is_heard;
        let min_crashes = if is_unheard_part {
            MIN_UNHEARD_CRASHES_TO_BAR
        } else {
            MIN_CRASHES_TO_BAR
        };
        let Some(reached) = self.tally.reached(min_crashes) else {
            return false;
        };
        let waits_from = match (self.was_sound, self.is_heard) {
            (true, _) => Some(reached),
            (false, false) => self.tally.reached(1),
            (false, true) => return true,
        };
        waits_from.is_some_and(|from| from + SOUND_ANSWER_PATIENCE <= now)
    }

    fn leads(&self, other: &Self) -> bool {
        self.was_sound != other.was_sound || self.tally.leads(&other.tally)
    }
}

/// Finds what crashes targets from what was at the crashes and from the answers that targets survived.
///
/// Dozens of requests run at a target when it crashes, and they move on together, so each of them, and each
/// popular part of their prompts, has soon been at several crashes. Guilt alone can't tell them from the
/// cause. A crash speaks against a feature only as long as no answer with the feature that began later was
/// survived by its target; the cause never has one. Of the features left, the one that was at the most
/// crashes explains them, and those crashes no longer count against the others.
///
/// All times are measured on one clock that the nodes share.
#[derive(Debug, Default)]
pub struct PoisonDetector {
    crashes: CrashLog,
    /// Sound answers of which this node knows.
    sound: SoundAnswers,
    /// Those of which all nodes can know.
    reported: SoundAnswers,
    barred: Vec<BarredSet>,
    suspects: FastSet<RequestFeature>,
    /// Features against which several crashes speak, and those of barred sets.
    contested: FastSet<RequestFeature>,
    /// Features that other nodes may bar by what all can know.
    barred_elsewhere: FastSet<RequestFeature>,
}

impl PoisonDetector {
    /// Returns whether no request is barred or suspect.
    #[must_use]
    pub fn is_clear(&self) -> bool {
        self.barred.is_empty() && self.suspects.is_empty()
    }

    /// Returns whether several crashes speak against any feature, so that newer evidence may change
    /// verdicts.
    #[must_use]
    pub fn is_contested(&self) -> bool {
        !self.contested.is_empty()
    }

    /// Returns whether verdicts depend on whole requests, whose fingerprints are then needed.
    #[must_use]
    pub fn involves_requests(&self) -> bool {
        let mut features = self.contested.iter();
        features.any(|feature| matches!(feature, RequestFeature::Whole(_)))
    }

    /// Returns the barred sets.
    #[must_use]
    pub fn barred(&self) -> &[BarredSet] {
        &self.barred
    }

    /// Returns the number of suspect features.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the barred set that a request with these features falls under; of several one that is proved.
    #[must_use]
    pub fn barred_set(&self, features: &[RequestFeature]) -> Option<&BarredSet> {
        let covering = self.barred.iter().filter(|set| set.covers(features));
        covering.max_by_key(|set| set.is_proved)
    }

    /// Returns the verdict on a request with these features as of the last [`Self::evaluate`].
    #[must_use]
    pub fn verdict(&self, features: &[RequestFeature]) -> PoisonVerdict {
        if self.barred_set(features).is_some() {
            return PoisonVerdict::Barred;
        }
        let mut features = features.iter();
        let is_suspect = features.any(|feature| {
            let in_set = |set: &BarredSet| set.features.contains(feature);
            self.suspects.contains(feature) || self.barred.iter().any(in_set)
        });
        if is_suspect {
            PoisonVerdict::Suspect
        } else {
            PoisonVerdict::Clear
        }
    }

    /// Adds the features of the requests that one node had at a crashed target.
    ///
    /// Several nodes may report the same crash; their features are merged.
    pub fn record(&mut self, process: TargetProcess, at: Duration, features: &[CrashedFeature]) {
        self.crashes.record(process, at, features);
    }

    /// Records that a target had been sent more than it takes when it crashed, as one node reports. The crash
    /// then speaks against nothing, whatever other nodes report of it.
    pub fn record_overload(&mut self, process: TargetProcess, at: Duration) {
        self.crashes.record_overload(process, at);
    }

    /// Drops all that is known of a crash, as when operators lift a verdict.
    pub fn forget(&mut self, process: &TargetProcess) {
        self.crashes.forget(process);
    }

    /// Adds an answer that its target survived, as this node has seen.
    pub fn record_sound(&mut self, feature: RequestFeature, begun_at: Duration) {
        self.sound.record(feature, begun_at);
    }

    /// Adds an answer that its target survived, as any node has reported to all.
    pub fn record_reported_sound(&mut self, feature: RequestFeature, begun_at: Duration) {
        self.sound.record(feature, begun_at);
        self.reported.record(feature, begun_at);
    }

    /// When the newest sound answer with a feature began, as far as this node knows.
    #[must_use]
    pub fn newest_sound(&self, feature: RequestFeature) -> Option<Duration> {
        self.sound.newest(feature)
    }

    /// Returns the sound answers that this node must report, because other nodes judge a contested feature
    /// without them.
    #[must_use]
    pub fn unreported_sound(&self) -> Vec<(RequestFeature, Duration)> {
        let crashes = self.crashes.by_time();
        let mut unreported = Vec::new();
        for feature in self.contested.union(&self.barred_elsewhere) {
            let Some(begun_at) = self.sound.newest(*feature) else {
                continue;
            };
            let known = self.reported.newest(*feature);
            let clears = |crash: &&CrashRecord| {
                crash.at <= begun_at && crash.speaks_against(*feature, &self.reported)
            };
            if known.is_none() || crashes.iter().any(clears) {
                unreported.push((*feature, begun_at));
            }
        }
        unreported.sort_unstable();
        unreported
    }

    /// Recomputes all verdicts from the crashes within [`super::CRASH_RETENTION`].
    pub fn evaluate(&mut self, now: Duration) {
        self.crashes.expire(now);
        self.barred.clear();
        self.suspects.clear();
        self.contested.clear();
        let crashes = self.crashes.by_time();
        let reported = tally(&crashes, &self.reported).into_iter();
        let reported = reported.filter(|(_, tally)| tally.crashes >= MIN_CRASHES_TO_BAR);
        self.barred_elsewhere = reported.map(|(feature, _)| feature).collect();
        let mut unexplained = crashes.clone();
        loop {
            let suspects = find_suspects(&unexplained, &self.sound);
            let Some(best) = likeliest(&suspects, now) else {
                self.contested
                    .extend(suspects.iter().map(|suspect| suspect.feature));
                let ripe = suspects.iter().filter(|suspect| suspect.is_suspect(now));
                self.suspects.extend(ripe.map(|suspect| suspect.feature));
                break;
            };
            let explains = |crash: &CrashRecord| crash.speaks_against(best.feature, &self.sound);
            let explained: Vec<&CrashRecord> = unexplained
                .iter()
                .copied()
                .filter(|crash| explains(crash))
                .collect();
            let mut set = bar(&best, &suspects, &explained, &self.sound);
            set.other_ends = count_other_ends(&crashes, &explained);
            set.is_proved = is_proved(&set, &crashes, now);
            set.first_trial_at = first_trial(&set, &crashes);
            self.contested.extend(set.features.iter().copied());
            self.barred.push(set);
            unexplained.retain(|crash| !explains(crash));
        }
        self.barred
            .sort_unstable_by(|one, other| one.features.cmp(&other.features));
    }
}

/// Features against which several crashes speak.
fn find_suspects(crashes: &[&CrashRecord], sound: &SoundAnswers) -> Vec<SuspectFeature> {
    let mut suspects = Vec::new();
    for (feature, tally) in tally(crashes, sound) {
        if tally.crashes < MIN_CRASHES_TO_SUSPECT {
            continue;
        }
        let first_crash = tally.reached(1).unwrap_or_default();
        suspects.push(SuspectFeature {
            feature,
            tally,
            was_sound: sound.newest(feature).is_some(),
            is_heard: sound.were_known_before(first_crash),
        });
    }
    suspects
}

/// The feature that is likeliest to be a cause, if any is to be barred. One without any sound answer goes
/// before those that had some: each popular part is at nearly all crashes.
fn likeliest(suspects: &[SuspectFeature], now: Duration) -> Option<SuspectFeature> {
    let barrable = suspects.iter().filter(|suspect| suspect.is_barrable(now));
    let best = barrable
        .min_by_key(|suspect| (suspect.was_sound, suspect.tally.rank(), suspect.feature))?;
    Some(*best)
}

/// Bars a feature, together with those that the evidence does not tell from it.
fn bar(
    best: &SuspectFeature,
    suspects: &[SuspectFeature],
    explained: &[&CrashRecord],
    sound: &SoundAnswers,
) -> BarredSet {
    let is_alike = |suspect: &&SuspectFeature| {
        let feature = suspect.feature;
        let at_all = || {
            explained
                .iter()
                .all(|crash| crash.speaks_against(feature, sound))
        };
        suspect.tally.crashes == best.tally.crashes && !best.leads(suspect) && at_all()
    };
    let alike = suspects.iter().filter(is_alike);
    let mut features: Vec<RequestFeature> = alike.map(|suspect| suspect.feature).collect();
    features.sort_unstable();
    let newest_sound = features
        .iter()
        .filter_map(|feature| sound.newest(*feature))
        .max();
    BarredSet {
        features,
        crashes: best.tally.crashes,
        crash_span: span_of(explained),
        other_ends: 0,
        newest_sound,
        is_proved: false,
        first_trial_at: Duration::ZERO,
        trial_at: best.tally.last_at + trial_delay(best.was_sound, explained),
    }
}

/// Time from the first of these crashes to the last one; they are in the order of time.
fn span_of(crashes: &[&CrashRecord]) -> Duration {
    let [first, .., last] = crashes else {
        return Duration::ZERO;
    };
    last.at.saturating_sub(first.at)
}

/// Number of crashes that a set does not explain, within [`JOINT_LOSS_SPAN`] of one that it does.
fn count_other_ends(crashes: &[&CrashRecord], explained: &[&CrashRecord]) -> usize {
    let is_explained = |crash: &CrashRecord| {
        let mut explained = explained.iter();
        explained.any(|known| std::ptr::eq(*known, crash))
    };
    let is_near = |crash: &CrashRecord| {
        let mut explained = explained.iter();
        explained.any(|known| known.at.abs_diff(crash.at) <= JOINT_LOSS_SPAN)
    };
    let others = crashes.iter().filter(|crash| !is_explained(crash));
    others.filter(|crash| is_near(crash)).count()
}

/// Whether a target crashed under a trial of a set, and no other target ended at about that time: in a joint
/// loss the target may have ended whatever it ran.
fn is_proved(set: &BarredSet, crashes: &[&CrashRecord], now: Duration) -> bool {
    for (index, crash) in crashes.iter().enumerate() {
        let mut features = set.features.iter();
        if !features.all(|feature| crash.is_trial_of(*feature)) || now < crash.at + SETTLE_TIME {
            continue;
        }
        let is_near = |other: Option<&&CrashRecord>| {
            other.is_some_and(|other| other.at.abs_diff(crash.at) <= JOINT_LOSS_SPAN)
        };
        let earlier = index.checked_sub(1).and_then(|index| crashes.get(index));
        if !is_near(earlier) && !is_near(crashes.get(index + 1)) {
            return true;
        }
    }
    false
}

/// When a set may be tried for the first time: once no target has ended for a while, and in any case when a
/// proved one would be tried again.
fn first_trial(set: &BarredSet, crashes: &[&CrashRecord]) -> Duration {
    let newest = crashes.last().map_or(Duration::ZERO, |crash| crash.at);
    (newest + SETTLE_TIME).min(set.trial_at)
}

/// Time after the last crash until a request of the set is let through.
fn trial_delay(was_sound: bool, explained: &[&CrashRecord]) -> Duration {
    let gaps = explained.windows(2).filter(|pair| {
        let [earlier, later] = pair else { return false };
        later.at.saturating_sub(earlier.at) >= TRIAL_GAP
    });
    let failed = u32::try_from(gaps.count()).unwrap_or(u32::MAX);
    let delay = if was_sound {
        SOUND_TRIAL_DELAY
    } else {
        TRIAL_DELAY
    };
    delay * 2_u32.pow(failed.min(MAX_TRIAL_DOUBLINGS))
}
