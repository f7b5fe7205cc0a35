//! Detection of poison requests: requests that crash the targets that run them.

use std::time::Duration;

use domain::{BootNumber, FastMap, FastSet, HostId};

use super::RequestFingerprint;

/// A request that was at a target when the target crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashedRequest {
    /// Identifies the request across targets, nodes and retries by its client.
    pub fingerprint: RequestFingerprint,
    /// Time since its response began, or since it was sent if its service is a plain one; `None` if
    /// it is a stream that had not begun.
    pub response_age: Option<Duration>,
}

/// Crashes that must involve a request, and no other barred request, before it is barred. Two
/// hosts may be lost under the same request by chance; three seldom are.
pub const MIN_CRASHES_TO_BAR: usize = 3;

/// Unexplained crashes that must involve a request before it is suspect. A suspect request is sent
/// to a single target per arrival.
const MIN_CRASHES_TO_SUSPECT: usize = 2;

/// Time for which a crash counts as evidence. A client whose request crashes targets sends it again
/// for minutes.
pub const CRASH_RETENTION: Duration = Duration::from_mins(10);

/// Maximum number of crashes kept; beyond it the oldest are dropped.
const MAX_CRASHES: usize = 1024;

/// Response age assumed for a request whose response had not begun. It was queued while others ran,
/// so of two requests that were at equally many crashes the running one is the likelier cause.
const QUEUED_RESPONSE_AGE: Duration = Duration::from_secs(10);

/// One process of a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetProcess {
    /// Host that ran the process.
    pub host: HostId,
    /// Boot number of the process. It tells repeated crashes of a host apart.
    pub boot: BootNumber,
}

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

#[derive(Debug)]
struct CrashRecord {
    at: Duration,
    /// Requests at the target, with the age of their responses.
    requests: FastMap<RequestFingerprint, Duration>,
}

/// Finds poison requests from the requests that were at crashed targets.
///
/// Dozens of requests run at a target when it crashes, and they move on together, so each of them
/// has soon been at two or three crashes. The request that was at the most crashes explains them;
/// those crashes then no longer count against the others. Of two requests that were at equally
/// many crashes, the one with the younger responses is the likelier cause, since it crashes a
/// target as soon as it begins to run.
#[derive(Debug, Default)]
pub struct PoisonDetector {
    crashes: FastMap<TargetProcess, CrashRecord>,
    barred: FastSet<RequestFingerprint>,
    suspects: FastSet<RequestFingerprint>,
}

impl PoisonDetector {
    /// Returns whether no request is barred or suspect.
    #[must_use]
    pub fn is_clear(&self) -> bool {
        self.barred.is_empty() && self.suspects.is_empty()
    }

    /// Returns the verdict on a request as of the last [`Self::evaluate`]; a request that was at no
    /// recorded crash is clear.
    #[must_use]
    pub fn verdict(&self, fingerprint: RequestFingerprint) -> PoisonVerdict {
        if self.barred.contains(&fingerprint) {
            PoisonVerdict::Barred
        } else if self.suspects.contains(&fingerprint) {
            PoisonVerdict::Suspect
        } else {
            PoisonVerdict::Clear
        }
    }

    /// Returns the barred requests in ascending order.
    #[must_use]
    pub fn barred(&self) -> Vec<RequestFingerprint> {
        let mut barred: Vec<RequestFingerprint> = self.barred.iter().copied().collect();
        barred.sort_unstable();
        barred
    }

    /// Adds the requests that one node had at a crashed target.
    ///
    /// Several nodes may report the same crash; their requests are merged.
    pub fn record(&mut self, crash: TargetProcess, at: Duration, requests: &[CrashedRequest]) {
        let record = self.crashes.entry(crash).or_insert_with(|| CrashRecord {
            at,
            requests: FastMap::default(),
        });
        for request in requests {
            let age = request.response_age.unwrap_or(QUEUED_RESPONSE_AGE);
            let known = record.requests.entry(request.fingerprint).or_insert(age);
            *known = age.min(*known);
        }
    }

    /// Recomputes all verdicts from the crashes within [`CRASH_RETENTION`].
    pub fn evaluate(&mut self, now: Duration) {
        self.expire(now);
        self.barred.clear();
        let mut unexplained: Vec<&CrashRecord> = self.crashes.values().collect();
        while let Some((fingerprint, count)) = most_frequent(&unexplained) {
            if count < MIN_CRASHES_TO_BAR {
                break;
            }
            self.barred.insert(fingerprint);
            unexplained.retain(|crash| !crash.requests.contains_key(&fingerprint));
        }
        self.suspects = find_suspects(&unexplained);
    }

    fn expire(&mut self, now: Duration) {
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
}

/// Returns the request that was at the most crashes, and their number.
fn most_frequent(crashes: &[&CrashRecord]) -> Option<(RequestFingerprint, usize)> {
    let mut seen: FastMap<RequestFingerprint, (usize, Duration)> = FastMap::default();
    for crash in crashes {
        for (fingerprint, age) in &crash.requests {
            let (count, total_age) = seen.entry(*fingerprint).or_default();
            *count += 1;
            *total_age += *age;
        }
    }
    let rank = |(fingerprint, (count, total_age)): &(RequestFingerprint, (usize, Duration))| {
        (std::cmp::Reverse(*count), *total_age, *fingerprint)
    };
    let most = seen.into_iter().min_by_key(rank)?;
    Some((most.0, most.1.0))
}

fn find_suspects(crashes: &[&CrashRecord]) -> FastSet<RequestFingerprint> {
    let mut seen: FastMap<RequestFingerprint, usize> = FastMap::default();
    for fingerprint in crashes.iter().flat_map(|crash| crash.requests.keys()) {
        *seen.entry(*fingerprint).or_default() += 1;
    }
    seen.retain(|_, count| *count >= MIN_CRASHES_TO_SUSPECT);
    seen.into_keys().collect()
}
