//! Detection of replicas whose requests make no progress.

use std::time::Duration;

/// Time without progress after which the members of a replica are probed.
///
/// A decode pass of a full replica that also prefills prompts takes up to a quarter of a second. A
/// head that has lost a member makes no progress for seconds and still accepts requests. Twice the
/// longest pass separates the two cases.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(450);

/// Time after the last progress for which a replica counts as progressing: one long decode pass. A
/// member that does not respond meanwhile is unreachable from this node, not lost.
pub const PROGRESS_WINDOW: Duration = Duration::from_millis(300);

/// Interval between two rounds of probes while the stall lasts.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Which hosts of a replica should be probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StallProbe {
    /// The head alone: it serves other nodes, so only this node may not reach it.
    Head,
    /// All members: the replica serves nobody, and one of them may be lost.
    Members,
}

/// Progress of the requests that one node has at one replica.
#[derive(Debug, Clone, Copy, Default)]
pub struct StallDetector {
    running: u32,
    last_progress: Duration,
    last_probe: Option<Duration>,
    last_head_probe: Option<Duration>,
}

impl StallDetector {
    /// Counts a request that was sent. The first one after an idle time restarts the stall clock,
    /// since no progress was possible before.
    pub fn request_started(&mut self, now: Duration) {
        if self.running == 0 {
            self.last_progress = now;
        }
        self.running += 1;
    }

    /// Counts the end of a request, whether it succeeded or not. Without running requests nothing
    /// counts as a stall.
    pub fn request_ended(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records that bytes of a response arrived, which counts as progress.
    pub fn record_progress(&mut self, now: Duration) {
        self.last_progress = now;
    }

    /// Returns whether no request runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running == 0
    }

    /// Returns how long the running requests have made no progress; zero if none run.
    #[must_use]
    pub fn stalled_for(&self, now: Duration) -> Duration {
        if self.running == 0 {
            return Duration::ZERO;
        }
        now.saturating_sub(self.last_progress)
    }

    /// Returns whether requests run and made progress within [`PROGRESS_WINDOW`].
    #[must_use]
    pub fn is_progressing(&self, now: Duration) -> bool {
        self.running > 0 && self.stalled_for(now) < PROGRESS_WINDOW
    }

    /// Returns which hosts should be probed now; `served_others_at` is when the head last began a
    /// response for another node, as far as this one knows.
    ///
    /// In a large deployment a node has one request at a replica, which often waits for its first
    /// token for longer than [`STALL_TIMEOUT`]. If that alone counted as a stall, all nodes together
    /// would probe the members of each busy replica many times a second.
    pub fn due_probe(
        &mut self,
        now: Duration,
        served_others_at: Option<Duration>,
    ) -> Option<StallProbe> {
        let serves_others =
            served_others_at.is_some_and(|at| now.saturating_sub(at) < STALL_TIMEOUT);
        if !serves_others {
            return self.should_probe(now).then_some(StallProbe::Members);
        }
        if self.stalled_for(now) < STALL_TIMEOUT {
            self.last_head_probe = None;
            return None;
        }
        let is_recent = |probed: Duration| now < probed + PROBE_INTERVAL;
        if self.last_head_probe.is_some_and(is_recent) {
            return None;
        }
        self.last_head_probe = Some(now);
        Some(StallProbe::Head)
    }

    /// Returns whether the members should be probed now. It is true at most once per
    /// [`PROBE_INTERVAL`].
    pub fn should_probe(&mut self, now: Duration) -> bool {
        if self.stalled_for(now) < STALL_TIMEOUT {
            self.last_probe = None;
            return false;
        }
        if self
            .last_probe
            .is_some_and(|probed| now < probed + PROBE_INTERVAL)
        {
            return false;
        }
        self.last_probe = Some(now);
        true
    }
}
