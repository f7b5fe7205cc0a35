//! Which request ends the targets that run it.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use domain::{BootNumber, FastMap, FastSet, HostId};

/// Stands for all requests with the same path, customer and body: half of a SHA-256, in text 32
/// hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(pub u128);

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// A request that was at a target when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashedRequest {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// How long its answer had been under way; nothing if none had begun.
    pub answer_age: Option<Duration>,
}

/// Targets that must have ended under a request, and under no other that explains their ends, before
/// it is barred. Two hosts may be lost under one request by chance; three seldom are.
pub const MIN_CRASHES_TO_BAR: usize = 3;

/// Ends from which on a request is sent to one target for each of its arrivals.
const SUSPECT_ENDS: usize = 2;

/// Time for which an end is remembered. What ends targets comes back with its caller, who tries for
/// minutes.
pub const CRASH_RETENTION: Duration = Duration::from_mins(10);

/// Ends remembered at most; of more the oldest are forgotten.
const MOST_REMEMBERED: usize = 1024;

/// Counts for a request whose answer had not begun, when two are equally often to blame: it waited
/// beside what ran.
const WAITING_AGE: Duration = Duration::from_secs(10);

/// One end of a target's process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetCrash {
    /// The target.
    pub host: HostId,
    /// Start of the process that ended: the same host may end more than once.
    pub boot: BootNumber,
}

/// How far a request is to blame for the ends of targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoisonVerdict {
    /// Not more than those beside it.
    Clear,
    /// It may be; it is not sent on to a second target.
    Suspect,
    /// It ends what runs it, and is sent to no target any more.
    Barred,
}

#[derive(Debug)]
struct EndRecord {
    at: Duration,
    runs: FastMap<RequestFingerprint, Duration>,
}

/// What ran at targets that ended, and which request that speaks against.
///
/// Dozens of requests run at a target when it ends, and are moved together, so that each of them soon
/// has seen two or three ends. The one that was there each time explains all of them; once it does,
/// they speak against nobody else. Of two that were there equally often, the one whose answers had
/// been under way for less is to blame: it ends what begins to run it.
#[derive(Debug, Default)]
pub struct PoisonDetector {
    ends: FastMap<TargetCrash, EndRecord>,
    barred: FastSet<RequestFingerprint>,
    suspects: FastSet<RequestFingerprint>,
}

impl PoisonDetector {
    /// Whether no request is barred or suspected.
    #[must_use]
    pub fn is_clear(&self) -> bool {
        self.barred.is_empty() && self.suspects.is_empty()
    }

    /// What is held against a request.
    #[must_use]
    pub fn verdict(&self, mark: RequestFingerprint) -> PoisonVerdict {
        if self.barred.contains(&mark) {
            PoisonVerdict::Barred
        } else if self.suspects.contains(&mark) {
            PoisonVerdict::Suspect
        } else {
            PoisonVerdict::Clear
        }
    }

    /// Requests that are barred.
    #[must_use]
    pub fn barred(&self) -> Vec<RequestFingerprint> {
        let mut barred: Vec<RequestFingerprint> = self.barred.iter().copied().collect();
        barred.sort_unstable();
        barred
    }

    /// Notes what ran at a target that ended, as far as one node knows; other nodes may add to it.
    pub fn record(&mut self, end: TargetCrash, at: Duration, runs: &[CrashedRequest]) {
        let record = self.ends.entry(end).or_insert_with(|| EndRecord {
            at,
            runs: FastMap::default(),
        });
        for run in runs {
            let ran = run.answer_age.unwrap_or(WAITING_AGE);
            let known = record.runs.entry(run.fingerprint).or_insert(ran);
            *known = ran.min(*known);
        }
    }

    /// Judges anew, from the ends within [`CRASH_RETENTION`].
    pub fn evaluate(&mut self, now: Duration) {
        self.forget(now);
        self.barred.clear();
        let mut open: Vec<&EndRecord> = self.ends.values().collect();
        while let Some((mark, count)) = most_to_blame(&open) {
            if count < MIN_CRASHES_TO_BAR {
                break;
            }
            self.barred.insert(mark);
            open.retain(|end| !end.runs.contains_key(&mark));
        }
        self.suspects = seen_often(&open);
    }

    fn forget(&mut self, now: Duration) {
        self.ends
            .retain(|_, end| now.saturating_sub(end.at) < CRASH_RETENTION);
        if self.ends.len() <= MOST_REMEMBERED {
            return;
        }
        let mut times: Vec<Duration> = self.ends.values().map(|end| end.at).collect();
        times.sort_unstable();
        let oldest = times[times.len() - MOST_REMEMBERED];
        self.ends.retain(|_, end| end.at >= oldest);
    }
}

/// The request that was at most of the ends, and at how many.
fn most_to_blame(ends: &[&EndRecord]) -> Option<(RequestFingerprint, usize)> {
    let mut seen: FastMap<RequestFingerprint, (usize, Duration)> = FastMap::default();
    for end in ends {
        for (mark, ran) in &end.runs {
            let (count, total) = seen.entry(*mark).or_default();
            *count += 1;
            *total += *ran;
        }
    }
    let rank = |(mark, (count, total)): &(RequestFingerprint, (usize, Duration))| {
        (std::cmp::Reverse(*count), *total, *mark)
    };
    let most = seen.into_iter().min_by_key(rank)?;
    Some((most.0, most.1.0))
}

fn seen_often(ends: &[&EndRecord]) -> FastSet<RequestFingerprint> {
    let mut seen: FastMap<RequestFingerprint, usize> = FastMap::default();
    for mark in ends.iter().flat_map(|end| end.runs.keys()) {
        *seen.entry(*mark).or_default() += 1;
    }
    seen.retain(|_, count| *count >= SUSPECT_ENDS);
    seen.into_keys().collect()
}
