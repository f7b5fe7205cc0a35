//! Targets whose entries are missing though they may be alive.
//!
//! The store removes the entry of a target that has left, and of one that could not write it for three intervals. After
//! an outage of the store, live targets write theirs again within about two seconds. Two things follow from a missing
//! entry, each in its own time: requests go to other targets, and the target's replica is given up.

use std::time::Duration;

use domain::{FastMap, HostId};

/// Time after failed calls to the store within which live targets write their entries again.
const REWRITE_TIME: Duration = Duration::from_millis(2300);

/// Shortest time without a confirmation of the registry in which entries of live targets can expire: two of the
/// intervals of about 1.2 s at which targets write. A single call that fails, with the longest poll, ends sooner.
const MIN_OUTAGE: Duration = Duration::from_millis(2200);

/// What may have made an entry go missing besides the target's leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LapseCause {
    /// The store was restored from a copy that lacks the entry, or has confirmed nothing for so long that entries
    /// expire.
    Outage,
    /// Calls of this node failed. What failed them may have kept targets from writing for longer.
    OwnCalls,
    /// Calls of nodes that pass on the store's changes failed. That says little about targets: often it is one node's
    /// connection that broke.
    OthersCalls,
}

impl LapseCause {
    /// Stable name for log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Outage => "outage",
            Self::OwnCalls => "own_calls",
            Self::OthersCalls => "others_calls",
        }
    }
}

/// What may have made an entry go missing, and until when it may come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryLapse {
    /// What it was.
    pub cause: LapseCause,
    /// When live targets have written their entries again.
    pub rewritten_at: Duration,
}

/// Tells outages of the store from single calls that fail. All times are measured from process start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutageWatch {
    confirmed_at: Option<Duration>,
    own_failure: Option<Duration>,
    others_failure: Option<Duration>,
    ended_at: Option<Duration>,
}

impl OutageWatch {
    /// Records that a call of this node to the store failed.
    pub fn record_failure(&mut self, failed_at: Duration) {
        self.own_failure = self.own_failure.max(Some(failed_at));
    }

    /// Records that a call failed of a node that passes on the store's changes.
    pub fn record_others_failure(&mut self, failed_at: Duration) {
        self.others_failure = self.others_failure.max(Some(failed_at));
    }

    /// Records that the store confirmed the registry. If calls have failed since the last time, and that is long ago,
    /// an outage has ended.
    pub fn record_confirmation(&mut self, confirmed_at: Duration) {
        let before = self.confirmed_at;
        self.confirmed_at = before.max(Some(confirmed_at));
        let Some(before) = before else {
            return;
        };
        let has_failed = self.failed_at().is_some_and(|failed_at| failed_at > before);
        if has_failed && confirmed_at.saturating_sub(before) >= MIN_OUTAGE {
            self.ended_at = Some(confirmed_at);
        }
    }

    /// When a call to the store last failed, here or at a node that passes on its changes; `None` if none has.
    #[must_use]
    pub fn failed_at(&self) -> Option<Duration> {
        self.own_failure.max(self.others_failure)
    }

    /// When the last outage ended in which entries may have expired; `None` if there was none.
    #[must_use]
    pub fn ended_at(&self) -> Option<Duration> {
        self.ended_at
    }

    /// What may have made an entry go missing that a read at `now` lacks, if the store was restored at `restored_at`;
    /// `None` if nothing but its target's leaving.
    #[must_use]
    pub fn lapse(&self, now: Duration, restored_at: Option<Duration>) -> Option<EntryLapse> {
        let lapse_after = |at: Option<Duration>, cause| {
            let rewritten_at = at? + REWRITE_TIME;
            (now < rewritten_at).then_some(EntryLapse {
                cause,
                rewritten_at,
            })
        };
        lapse_after(self.ended_at.max(restored_at), LapseCause::Outage)
            .or_else(|| lapse_after(self.own_failure, LapseCause::OwnCalls))
            .or_else(|| lapse_after(self.others_failure, LapseCause::OthersCalls))
    }
}

#[derive(Debug, Clone, Copy)]
struct MissingTarget {
    since: Duration,
    /// Until when requests may be sent to it; `None` as long as it is known.
    sendable_until: Option<Duration>,
    /// From when on a confirmation of the registry without the entry ends it; `None` if it ends with the requests.
    kept_until: Option<Duration>,
}

/// Known targets whose entries are missing.
#[derive(Debug, Default)]
pub struct MissingTargets {
    targets: FastMap<HostId, MissingTarget>,
}

impl MissingTargets {
    /// Records that a read at `now` lacks the entry of a target. `drain_bound` is the time within which nothing more
    /// may be sent to a target that has left; `in_replica` tells whether it can be a member of a replica.
    pub fn record(
        &mut self,
        id: HostId,
        now: Duration,
        lapse: EntryLapse,
        drain_bound: Duration,
        in_replica: bool,
    ) {
        let sendable_until = match lapse.cause {
            // The store may be away again before the target has written its entry.
            LapseCause::Outage => None,
            LapseCause::OwnCalls => Some(lapse.rewritten_at.min(now + drain_bound)),
            // The other half of the bound is for the way of the removal through other nodes.
            LapseCause::OthersCalls => Some(lapse.rewritten_at.min(now + drain_bound / 2)),
        };
        let is_kept = in_replica || sendable_until.is_none();
        self.targets.entry(id).or_insert(MissingTarget {
            since: now,
            sendable_until,
            kept_until: is_kept.then_some(lapse.rewritten_at),
        });
    }

    /// Records that the registry has the entry of a target, or that the target is no longer known. Returns since when
    /// it was missing.
    pub fn forget(&mut self, id: &HostId) -> Option<Duration> {
        self.targets.remove(id).map(|target| target.since)
    }

    /// Whether the entry of a target is missing.
    #[must_use]
    pub fn contains(&self, id: &HostId) -> bool {
        self.targets.contains_key(id)
    }

    /// Whether requests may be sent to a target now, by its entry.
    #[must_use]
    pub fn may_send(&self, id: &HostId, now: Duration) -> bool {
        let until = self
            .targets
            .get(id)
            .and_then(|target| target.sendable_until);
        until.is_none_or(|until| now < until)
    }

    /// Takes the targets that end with the requests to them.
    pub fn take_unsendable(&mut self, now: Duration) -> Vec<HostId> {
        let is_gone = |target: &MissingTarget| {
            let has_ended = target.sendable_until.is_some_and(|until| until <= now);
            has_ended && target.kept_until.is_none()
        };
        let gone = self.targets.extract_if(|_, target| is_gone(target));
        gone.map(|(id, _)| id).collect()
    }

    /// Takes the other targets that are gone, by a confirmation of the registry at `now`. If an outage has ended
    /// at `outage_ended_at`, they get the whole time from then: they could not write.
    pub fn take_unconfirmed(
        &mut self,
        now: Duration,
        outage_ended_at: Option<Duration>,
    ) -> Vec<HostId> {
        if outage_ended_at.is_some_and(|ended_at| now < ended_at + REWRITE_TIME) {
            return Vec::new();
        }
        let is_gone = |target: &MissingTarget| target.kept_until.is_some_and(|until| until <= now);
        let gone = self.targets.extract_if(|_, target| is_gone(target));
        gone.map(|(id, _)| id).collect()
    }
}
