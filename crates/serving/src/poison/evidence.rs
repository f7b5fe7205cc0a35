//! Crashes and what was at them: the evidence against request features.

use std::cmp::Reverse;
use std::time::Duration;

use domain::{BootNumber, FastMap, HostId};

use super::{RequestFeature, SoundAnswers};

/// Time for which a crash counts as evidence. A client whose request crashes targets sends it again
/// for minutes.
pub const CRASH_RETENTION: Duration = Duration::from_mins(10);

/// Maximum number of crashes kept; beyond it the oldest are dropped.
const MAX_CRASHES: usize = 1024;

/// Crashes closer together than this count as one against a prompt part: what ends several targets at once
/// is something that they share, not a request at each of them. A whole request is at one target at a time.
const SAME_MOMENT: Duration = Duration::from_millis(50);

/// Response age assumed for a request whose response had not begun. It was queued while others ran,
/// so of two features that were at equally many crashes the running one is the likelier cause.
const QUEUED_RESPONSE_AGE: Duration = Duration::from_secs(10);

/// One process of a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetProcess {
    /// Host that ran the process.
    pub host: HostId,
    /// Boot number of the process. It tells repeated crashes of a host apart.
    pub boot: BootNumber,
}

/// A feature of the requests that were at a target when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashedFeature {
    /// Identifies the feature across targets, nodes and requests.
    pub feature: RequestFeature,
    /// Longest time since a response to a request with it began, or since such a request was sent if its
    /// service is a plain one; `None` if they are streams that had not begun.
    pub response_age: Option<Duration>,
    /// Whether the target had sent bytes of such a response for [`super::SOUND_ANSWER_AGE`].
    pub is_outlived: bool,
    /// Whether such a request was there to show whether it crashes its target, while others like it were
    /// sent to none.
    pub is_trial: bool,
}

impl CrashedFeature {
    /// Adds what another request, or another node, says of the same feature at the same crash.
    pub fn merge(&mut self, other: Self) {
        self.response_age = self.response_age.max(other.response_age);
        self.is_outlived |= other.is_outlived;
        self.is_trial |= other.is_trial;
    }
}

#[derive(Debug)]
pub(super) struct CrashRecord {
    pub at: Duration,
    features: FastMap<RequestFeature, CrashedFeature>,
    /// Whether a node reports that the target had been sent more than it takes.
    is_overloaded: bool,
}

impl CrashRecord {
    /// Whether the crash speaks against a feature: it was there, no answer with it that began later, or long
    /// enough before, shows that a target survives it, and the target was not overloaded.
    pub fn speaks_against(&self, feature: RequestFeature, sound: &SoundAnswers) -> bool {
        if self.is_overloaded {
            return false;
        }
        let Some(crashed) = self.features.get(&feature) else {
            return false;
        };
        // A whole request may crash its target late in its answer.
        let is_part = matches!(feature, RequestFeature::Part(_));
        let is_outlived = crashed.is_outlived && is_part;
        !is_outlived && sound.newest(feature).is_none_or(|begun| begun < self.at)
    }

    /// Whether a request with a feature was on trial there.
    pub fn is_trial_of(&self, feature: RequestFeature) -> bool {
        let crashed = self.features.get(&feature);
        crashed.is_some_and(|crashed| crashed.is_trial)
    }
}

/// The evidence against one feature: the crashes that speak against it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FeatureTally {
    /// Number of moments at which targets crashed.
    pub crashes: usize,
    /// Those at which a response with the feature had begun.
    pub begun: usize,
    total_age: Duration,
    /// When the newest of them was.
    pub last_at: Duration,
    /// When the first of them were.
    reached_at: [Duration; TIMED_CRASHES],
}

/// Number of crashes of which the tally keeps the times.
const TIMED_CRASHES: usize = 5;

impl FeatureTally {
    fn add(&mut self, at: Duration, crashed: &CrashedFeature) {
        let is_part = matches!(crashed.feature, RequestFeature::Part(_));
        if is_part && self.crashes > 0 && at < self.last_at + SAME_MOMENT {
            return;
        }
        let age = crashed.response_age;
        if let Some(reached_at) = self.reached_at.get_mut(self.crashes) {
            *reached_at = at;
        }
        self.crashes += 1;
        self.begun += usize::from(age.is_some());
        self.total_age += age.unwrap_or(QUEUED_RESPONSE_AGE);
        self.last_at = at;
    }

    /// When the crash with this number was, counted from one; `None` if there were fewer.
    pub fn reached(&self, count: usize) -> Option<Duration> {
        (self.crashes >= count).then(|| self.reached_at[count.min(TIMED_CRASHES) - 1])
    }

    /// Order among features that nothing else tells apart, the likeliest cause first: that whose responses
    /// had begun more often, and more recently.
    pub fn rank(&self) -> (Reverse<usize>, Reverse<usize>, Duration) {
        (Reverse(self.crashes), Reverse(self.begun), self.total_age)
    }

    /// Whether this is clearly likelier a cause than another one: a target crashes as soon as it begins to
    /// answer, so the responses of what merely stands next to it have run for longer.
    pub fn leads(&self, other: &Self) -> bool {
        let is_younger = self.total_age < other.total_age;
        self.begun > other.begun || (is_younger && self.total_age * 2 <= other.total_age)
    }
}

/// Crashes within [`CRASH_RETENTION`].
#[derive(Debug, Default)]
pub(super) struct CrashLog {
    crashes: FastMap<TargetProcess, CrashRecord>,
}

impl CrashLog {
    /// Adds what one node had at a crashed target; several nodes may report the same crash.
    pub fn record(&mut self, process: TargetProcess, at: Duration, features: &[CrashedFeature]) {
        let record = self.entry(process, at);
        for crashed in features {
            let known = record.features.entry(crashed.feature);
            known.or_insert(*crashed).merge(*crashed);
        }
    }

    /// Records that a target had been sent more than it takes when it crashed.
    pub fn record_overload(&mut self, process: TargetProcess, at: Duration) {
        self.entry(process, at).is_overloaded = true;
    }

    fn entry(&mut self, process: TargetProcess, at: Duration) -> &mut CrashRecord {
        let record = self.crashes.entry(process).or_insert_with(|| CrashRecord {
            at,
            features: FastMap::default(),
            is_overloaded: false,
        });
        record.at = record.at.min(at);
        record
    }

    pub fn forget(&mut self, process: &TargetProcess) {
        self.crashes.remove(process);
    }

    pub fn expire(&mut self, now: Duration) {
        self.crashes
            .retain(|_, crash| now.saturating_sub(crash.at) < CRASH_RETENTION);
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let mut times: Vec<Duration> = self.crashes.values().map(|crash| crash.at).collect();
        times.sort_unstable();
        let oldest = times[times.len() - MAX_CRASHES];
        self.crashes.retain(|_, crash| crash.at >= oldest);
    }

    /// All crashes by time.
    pub fn by_time(&self) -> Vec<&CrashRecord> {
        let mut crashes: Vec<(&TargetProcess, &CrashRecord)> = self.crashes.iter().collect();
        crashes.sort_unstable_by_key(|(process, crash)| (crash.at, *process));
        crashes.into_iter().map(|(_, crash)| crash).collect()
    }
}

/// Counts what speaks against each feature in these crashes, which are in the order of time.
pub(super) fn tally(
    crashes: &[&CrashRecord],
    sound: &SoundAnswers,
) -> FastMap<RequestFeature, FeatureTally> {
    let mut tallies: FastMap<RequestFeature, FeatureTally> = FastMap::default();
    for crash in crashes {
        for (feature, crashed) in &crash.features {
            if crash.speaks_against(*feature, sound) {
                let tally = tallies.entry(*feature).or_default();
                tally.add(crash.at, crashed);
            }
        }
    }
    tallies
}
