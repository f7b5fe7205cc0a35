//! Target health: failure suspicion, draining targets and stalled replicas.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use adapter::HostError;
use domain::HostId;
use events::{EventCode, LogLine};
use serving::plan::CLOSE_TIMEOUT;
use serving::probe_schedule::suspect_interval;
use serving::stall::{StallDetector, StallProbe};
use serving::target_paths::PathLoss;
use serving::{ReplicaView, TargetState};
use tokio::sync::Notify;
use web::ConnectionError;

use super::GatewayNode;

/// Kind of failure observed at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// It does not respond, or another target has its address.
    Unresponsive,
    /// It refuses connections, or its head rejects requests because this member is missing.
    Refused,
    /// Something answers at its address that is not known to be the target.
    Foreign,
}

impl From<FailureKind> for PathLoss {
    fn from(failure: FailureKind) -> Self {
        match failure {
            FailureKind::Unresponsive | FailureKind::Foreign => Self::Silent,
            FailureKind::Refused => Self::Refused,
        }
    }
}

impl From<&ConnectionError> for FailureKind {
    fn from(error: &ConnectionError) -> Self {
        match error {
            ConnectionError::Refused => Self::Refused,
            ConnectionError::NotConnected(_)
            | ConnectionError::Unsent
            | ConnectionError::Broken(_)
            | ConnectionError::NoAnswer(_) => Self::Unresponsive,
        }
    }
}

impl From<&HostError> for FailureKind {
    fn from(error: &HostError) -> Self {
        match error {
            HostError::Link(error) => error.into(),
            _ => Self::Unresponsive,
        }
    }
}

/// A suspected failure and when it was first observed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Suspicion {
    since: Duration,
    failure: FailureKind,
    /// Probes since then.
    probes: u32,
    next_probe_at: Duration,
}

/// How long a head counts as serving after its response to another node. This is longer than the
/// time between two responses started at a busy replica, and short compared with the seconds for
/// which the streams of a lost replica stall.
const SERVED_OTHERS_WINDOW: Duration = Duration::from_millis(600);

/// Notifies the requests at a replica that it is lost.
#[derive(Debug, Default)]
pub struct ReplicaLostSignal {
    lost: Cell<bool>,
    notify: Notify,
}

impl ReplicaLostSignal {
    /// Completes once the replica is lost, at once if it already is.
    pub async fn lost(&self) {
        while !self.lost.get() {
            self.notify.notified().await;
        }
    }

    fn trigger(&self) {
        self.lost.set(true);
        self.notify.notify_waiters();
    }
}

impl GatewayNode {
    /// How long a target has been suspected; `None` if it is not.
    #[must_use]
    pub fn silent_for(&self, id: &HostId) -> Option<Duration> {
        let suspicion = self.suspicions.borrow().get(id).copied()?;
        Some(self.now().saturating_sub(suspicion.since))
    }

    /// Marks a target as being probed; false if it already is.
    pub fn begin_probe(&self, id: &HostId) -> bool {
        self.probing.borrow_mut().insert(id.clone())
    }

    /// Marks a probe as finished, so that the target can be probed again.
    pub fn end_probe(&self, id: &HostId) {
        self.probing.borrow_mut().remove(id);
    }

    /// Whether a target is suspected to be down, so that its replica gets no new requests.
    #[must_use]
    pub fn is_suspected(&self, id: &HostId) -> bool {
        self.suspicions.borrow().contains_key(id)
    }

    /// How a suspected target failed; `None` if it is not suspected.
    #[must_use]
    pub fn suspected_failure(&self, id: &HostId) -> Option<FailureKind> {
        let suspicions = self.suspicions.borrow();
        suspicions.get(id).map(|suspicion| suspicion.failure)
    }

    /// All suspected targets, and since when.
    #[must_use]
    pub fn suspected_targets(&self) -> Vec<(HostId, Duration)> {
        let suspects = self.suspicions.borrow();
        suspects
            .iter()
            .map(|(id, suspicion)| (id.clone(), suspicion.since))
            .collect()
    }

    /// Whether this node should probe a suspected target now. Its next probe is due after an interval
    /// that depends on its rank and on the probes so far.
    #[must_use]
    pub fn begin_suspect_probe(&self, id: &HostId) -> bool {
        let now = self.now();
        let rank = self.host_rank(id);
        let mut suspects = self.suspicions.borrow_mut();
        let is_due = |suspicion: &&mut Suspicion| suspicion.next_probe_at <= now;
        let Some(suspicion) = suspects.get_mut(id).filter(is_due) else {
            return false;
        };
        suspicion.next_probe_at = now + suspect_interval(rank, suspicion.probes);
        suspicion.probes += 1;
        true
    }

    /// Suspects a target of being down; its replica gets no new requests.
    pub fn suspect(&self, id: &HostId, failure: FailureKind, reason: &str) {
        if failure == FailureKind::Refused && self.is_leaving(id) {
            self.mark_retired(id, reason);
            return;
        }
        if failure == FailureKind::Unresponsive
            && let Some(silence) = self.recent_silence(id)
        {
            let line = LogLine::new(EventCode::TargetDoubted)
                .text("host", id.as_str())
                .text("reason", reason)
                .millis("replica_silent_ms", silence);
            self.log(&line);
            return;
        }
        if self.is_suspected(id) {
            self.retired.borrow_mut().remove(id);
            return;
        }
        // Whatever answered, this node has seen it.
        if failure != FailureKind::Foreign && !self.can_vouch_for_loss(id, failure) {
            self.doubt(id, failure, reason);
            return;
        }
        let since = self.now();
        self.retired.borrow_mut().remove(id);
        let mut suspects = self.suspicions.borrow_mut();
        let suspicion = Suspicion {
            since,
            failure,
            probes: 0,
            next_probe_at: since,
        };
        suspects.insert(id.clone(), suspicion);
        drop(suspects);
        let mut line = LogLine::new(EventCode::TargetSuspected)
            .text("host", id.as_str())
            .text("reason", reason);
        if let Some(served_ago) = self.served_others_ago(id) {
            line = line.millis("served_others_ms", served_ago);
        }
        self.log(&line);
        self.notify_change();
    }

    /// Time since the replica of a target last started a response for another node, as far as known.
    fn served_others_ago(&self, id: &HostId) -> Option<Duration> {
        let head = self.head_of_member(id)?;
        let served_at = self.served_others_at.borrow().get(&head).copied()?;
        Some(self.now().saturating_sub(served_at))
    }

    /// Head of the replica that a target belongs to.
    fn head_of_member(&self, id: &HostId) -> Option<HostId> {
        self.registry(|registry| {
            let membership = registry.get(id)?.membership.as_ref()?;
            registry.replica(membership)?.head().cloned()
        })
    }

    /// Time since the last response from a target's replica to this node, if that was recent.
    ///
    /// A link that loses one packet in twenty loses every tenth connection attempt. If one such
    /// loss counted as a failed target, all streams of a working replica would be moved, and its
    /// hosts reassigned while they serve other nodes.
    fn recent_silence(&self, id: &HostId) -> Option<Duration> {
        let head = self.head_of_member(id)?;
        let now = self.now();
        let detectors = self.stall_detectors.borrow();
        let detector = detectors
            .get(&head)
            .filter(|detector| detector.is_progressing(now))?;
        Some(detector.stalled_for(now))
    }

    /// Whether an unresponsive target belongs to a replica that recently started responses for
    /// other nodes. Only this node can't reach it then, and the replica still serves.
    #[must_use]
    pub fn serves_other_nodes(&self, id: &HostId) -> bool {
        let suspicion = self.suspicions.borrow().get(id).copied();
        if suspicion.is_none_or(|suspicion| suspicion.failure != FailureKind::Unresponsive) {
            return false;
        }
        let served_ago = self.served_others_ago(id);
        served_ago.is_some_and(|served_ago| served_ago < SERVED_OTHERS_WINDOW)
    }

    /// Records that a target that is leaving no longer accepts connections.
    ///
    /// It still works for its replica while the head has requests. If it counted as lost, the head
    /// would be ordered to leave, which would cut off the streams still running there.
    fn mark_retired(&self, id: &HostId, reason: &str) {
        let now = self.now();
        let mut retired = self.retired.borrow_mut();
        if retired.contains_key(id) {
            return;
        }
        retired.insert(id.clone(), now);
        drop(retired);
        let line = LogLine::new(EventCode::TargetRetired)
            .text("host", id.as_str())
            .text("reason", reason);
        self.log(&line);
        self.notify_change();
    }

    /// Whether a target is leaving, announced or not, while its replica still runs requests.
    fn is_leaving(&self, id: &HostId) -> bool {
        let is_draining = self.registry(|registry| {
            let entry = registry.get(id);
            entry.is_some_and(|entry| entry.state == TargetState::Draining)
        });
        (is_draining || self.is_unlisted(id)) && self.holds_requests(id)
    }

    /// Whether a target that is leaving no longer accepts connections.
    #[must_use]
    pub fn is_retired(&self, id: &HostId) -> bool {
        self.retired.borrow().contains_key(id)
    }

    /// Targets that have refused connections for longer than any replica waits for its last
    /// requests.
    #[must_use]
    pub fn retired_too_long(&self) -> Vec<HostId> {
        let now = self.now();
        let retired = self.retired.borrow();
        let expired = retired
            .iter()
            .filter(|(_, since)| now.saturating_sub(**since) > CLOSE_TIMEOUT);
        expired.map(|(id, _)| id.clone()).collect()
    }

    pub(super) fn has_retired_member(&self, replica: &ReplicaView) -> bool {
        let retired = self.retired.borrow();
        replica.members.values().any(|id| retired.contains_key(id))
    }

    /// Clears the suspicion against a target.
    pub fn clear_suspicion(&self, id: &HostId) {
        if self.suspicions.borrow_mut().remove(id).is_none() {
            return;
        }
        let line = LogLine::new(EventCode::TargetBack).text("host", id.as_str());
        self.log(&line);
        self.notify_change();
    }

    /// Notifies the requests at replicas with a suspected member to fail over.
    pub(super) fn signal_lost_replicas(&self) {
        if self.suspicions.borrow().is_empty() {
            return;
        }
        let registry = self.registry.borrow();
        let mut signals = self.loss_signals.borrow_mut();
        for replica in registry.replicas() {
            let Some(head) = replica.head() else { continue };
            if !self.has_suspected_member(replica) {
                continue;
            }
            if let Some(signal) = signals.remove(head) {
                signal.trigger();
            }
        }
    }

    /// Notifies the requests at one head to fail over.
    pub fn signal_lost_replica(&self, head: &HostId) {
        if let Some(signal) = self.loss_signals.borrow_mut().remove(head) {
            signal.trigger();
        }
    }

    pub(super) fn has_suspected_member(&self, replica: &ReplicaView) -> bool {
        let suspects = self.suspicions.borrow();
        replica.members.values().any(|id| suspects.contains_key(id))
    }

    /// Signal that is triggered for requests at this head when its replica is lost.
    #[must_use]
    pub fn loss_signal(&self, head: &HostId) -> Rc<ReplicaLostSignal> {
        let mut signals = self.loss_signals.borrow_mut();
        Rc::clone(signals.entry(head.clone()).or_default())
    }

    /// Forgets a head that no request uses any more.
    pub(super) fn forget_idle_head(&self, id: &HostId) {
        let mut detectors = self.stall_detectors.borrow_mut();
        if detectors.get(id).is_some_and(StallDetector::is_idle) {
            detectors.remove(id);
        }
        let mut signals = self.loss_signals.borrow_mut();
        if signals
            .get(id)
            .is_some_and(|signal| Rc::strong_count(signal) == 1)
        {
            signals.remove(id);
        }
    }

    /// Calls `change` with the stall detector of a replica head, created at its first use.
    pub fn with_stall_detector<R>(
        &self,
        head: &HostId,
        change: impl FnOnce(&mut StallDetector) -> R,
    ) -> R {
        change(
            self.stall_detectors
                .borrow_mut()
                .entry(head.clone())
                .or_default(),
        )
    }

    /// Heads that run requests of this node without progress, and which hosts of their replicas
    /// should be probed now.
    #[must_use]
    pub fn heads_to_probe(&self) -> Vec<(HostId, StallProbe)> {
        let now = self.now();
        let mut due = Vec::new();
        for (head, detector) in self.stall_detectors.borrow_mut().iter_mut() {
            let served_at = self.served_others_at.borrow().get(head).copied();
            if let Some(probe) = detector.due_probe(now, served_at) {
                due.push((head.clone(), probe));
            }
        }
        due
    }
}
