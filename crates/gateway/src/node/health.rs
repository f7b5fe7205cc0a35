//! Which targets answer, which leave, and whether replicas move.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use adapter::HostError;
use domain::HostId;
use events::{EventCode, EventLine};
use serving::plan::CLOSE_TIMEOUT;
use serving::stall::StallDetector;
use serving::{ReplicaView, TargetState};
use tokio::sync::Notify;
use web::LinkError;

use super::GatewayNode;

/// What speaks against a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossSign {
    /// It does not answer, or another one has its address.
    Silent,
    /// It takes no connections, or its head no requests for want of it.
    Closed,
}

impl From<&LinkError> for LossSign {
    fn from(error: &LinkError) -> Self {
        match error {
            LinkError::Refused => Self::Closed,
            LinkError::NotConnected(_) | LinkError::Unsent | LinkError::Broken(_) => Self::Silent,
        }
    }
}

impl From<&HostError> for LossSign {
    fn from(error: &HostError) -> Self {
        match error {
            HostError::Link(error) => error.into(),
            _ => Self::Silent,
        }
    }
}

/// What is held against a target, and since when.
#[derive(Debug, Clone, Copy)]
pub(super) struct LossSuspicion {
    since: Duration,
    sign: LossSign,
}

/// Time after a head's answer to another node in which it counts as serving: longer than the pause
/// between two answers that begin at a busy replica, and little beside the seconds for which the
/// streams of a lost one stand still.
const SERVED_AGE: Duration = Duration::from_millis(600);

/// Tells the requests at a replica that it stands still.
#[derive(Debug, Default)]
pub struct LossSignal {
    lost: Cell<bool>,
    notify: Notify,
}

impl LossSignal {
    /// Completes once the replica is lost.
    pub async fn lost(&self) {
        while !self.lost.get() {
            self.notify.notified().await;
        }
    }

    fn raise(&self) {
        self.lost.set(true);
        self.notify.notify_waiters();
    }
}

impl GatewayNode {
    /// Time since when a target does not answer, if it does not.
    #[must_use]
    pub fn silent_for(&self, id: &HostId) -> Option<Duration> {
        let suspicion = self.suspects.borrow().get(id).copied()?;
        Some(self.now().saturating_sub(suspicion.since))
    }

    /// Notes that a target is being asked; false if it is already.
    pub fn begin_asking(&self, id: &HostId) -> bool {
        self.asking.borrow_mut().insert(id.clone())
    }

    /// Notes that a target was asked.
    pub fn end_asking(&self, id: &HostId) {
        self.asking.borrow_mut().remove(id);
    }

    /// Whether a target is suspected.
    #[must_use]
    pub fn is_suspect(&self, id: &HostId) -> bool {
        self.suspects.borrow().contains_key(id)
    }

    /// Targets that are suspected, with the time since when.
    #[must_use]
    pub fn suspects(&self) -> Vec<(HostId, Duration)> {
        let suspects = self.suspects.borrow();
        suspects
            .iter()
            .map(|(id, suspicion)| (id.clone(), suspicion.since))
            .collect()
    }

    /// Suspects a target; its replica gets nothing more.
    pub fn suspect(&self, id: &HostId, sign: LossSign, reason: &str) {
        if sign == LossSign::Closed && self.is_leaving(id) {
            self.retire(id, reason);
            return;
        }
        if sign == LossSign::Silent
            && let Some(silence) = self.short_silence(id)
        {
            let line = EventLine::new(EventCode::TargetDoubted)
                .text("host", id.as_str())
                .text("reason", reason)
                .millis("replica_silent_ms", silence);
            self.log(&line);
            return;
        }
        let since = self.now();
        self.retired.borrow_mut().remove(id);
        let mut suspects = self.suspects.borrow_mut();
        if suspects.contains_key(id) {
            return;
        }
        suspects.insert(id.clone(), LossSuspicion { since, sign });
        drop(suspects);
        let line = EventLine::new(EventCode::TargetSuspected)
            .text("host", id.as_str())
            .text("reason", reason);
        self.log(&line);
        self.after_change();
    }

    /// The head of a target's replica.
    fn head_of_member(&self, id: &HostId) -> Option<HostId> {
        self.registry(|registry| {
            let membership = registry.get(id)?.membership.as_ref()?;
            registry.replica(membership)?.head().cloned()
        })
    }

    /// Time since the last answer of a target's replica to this node, if one came until just now.
    ///
    /// A link that loses one packet in twenty loses each tenth new connection. Taken for a death, one
    /// such loss moves all streams of a sound replica, and has its hosts given away under those of the
    /// other nodes.
    fn short_silence(&self, id: &HostId) -> Option<Duration> {
        let head = self.head_of_member(id)?;
        let now = self.now();
        let pulses = self.pulses.borrow();
        let pulse = pulses
            .get(&head)
            .filter(|pulse| pulse.is_progressing(now))?;
        Some(pulse.stalled_for(now))
    }

    /// Whether a target that does not answer this node stands in a replica that began answers of
    /// other nodes just now: it is out of this node's reach, and its replica serves on.
    #[must_use]
    pub fn serves_others(&self, id: &HostId) -> bool {
        let suspicion = self.suspects.borrow().get(id).copied();
        if suspicion.is_none_or(|suspicion| suspicion.sign != LossSign::Silent) {
            return false;
        }
        let head = self.head_of_member(id);
        let served = self.served_others.borrow();
        let last = head.and_then(|head| served.get(&head).copied());
        last.is_some_and(|last| self.now().saturating_sub(last) < SERVED_AGE)
    }

    /// Notes that a target which leaves takes no connections any more.
    ///
    /// It works on for its replica as long as the head has requests. Were it taken for lost, the
    /// head would be told to leave, and streams that go on until then would be cut off.
    fn retire(&self, id: &HostId, reason: &str) {
        let now = self.now();
        let mut retired = self.retired.borrow_mut();
        if retired.contains_key(id) {
            return;
        }
        retired.insert(id.clone(), now);
        drop(retired);
        let line = EventLine::new(EventCode::TargetRetired)
            .text("host", id.as_str())
            .text("reason", reason);
        self.log(&line);
        self.after_change();
    }

    /// Whether a target leaves, with a word or without, while its replica still runs requests.
    fn is_leaving(&self, id: &HostId) -> bool {
        let is_draining = self.registry(|registry| {
            let entry = registry.get(id);
            entry.is_some_and(|entry| entry.state == TargetState::Draining)
        });
        (is_draining || self.is_unlisted(id)) && self.holds_requests(id)
    }

    /// Whether a target leaves and takes no connections any more.
    #[must_use]
    pub fn is_retired(&self, id: &HostId) -> bool {
        self.retired.borrow().contains_key(id)
    }

    /// Targets that have taken no connections for longer than any replica waits for its last
    /// requests.
    #[must_use]
    pub fn long_retired(&self) -> Vec<HostId> {
        let now = self.now();
        let retired = self.retired.borrow();
        let long = retired
            .iter()
            .filter(|(_, since)| now.saturating_sub(**since) > CLOSE_TIMEOUT);
        long.map(|(id, _)| id.clone()).collect()
    }

    pub(super) fn has_retired(&self, replica: &ReplicaView) -> bool {
        let retired = self.retired.borrow();
        replica.members.values().any(|id| retired.contains_key(id))
    }

    /// Trusts a target again.
    pub fn trust(&self, id: &HostId) {
        if self.suspects.borrow_mut().remove(id).is_none() {
            return;
        }
        let line = EventLine::new(EventCode::TargetBack).text("host", id.as_str());
        self.log(&line);
        self.after_change();
    }

    /// Tells the requests at replicas with a suspected member to go elsewhere.
    pub(super) fn raise_losses(&self) {
        if self.suspects.borrow().is_empty() {
            return;
        }
        let registry = self.registry.borrow();
        let mut signals = self.signals.borrow_mut();
        for replica in registry.replicas() {
            let Some(head) = replica.head() else { continue };
            if !self.has_suspect(replica) {
                continue;
            }
            if let Some(signal) = signals.remove(head) {
                signal.raise();
            }
        }
    }

    /// Tells the requests at one head to go elsewhere.
    pub fn raise_loss(&self, head: &HostId) {
        if let Some(signal) = self.signals.borrow_mut().remove(head) {
            signal.raise();
        }
    }

    pub(super) fn has_suspect(&self, replica: &ReplicaView) -> bool {
        let suspects = self.suspects.borrow();
        replica.members.values().any(|id| suspects.contains_key(id))
    }

    /// The signal for requests at a replica's head.
    #[must_use]
    pub fn loss_signal(&self, head: &HostId) -> Rc<LossSignal> {
        let mut signals = self.signals.borrow_mut();
        Rc::clone(signals.entry(head.clone()).or_default())
    }

    /// Changes a replica's pulse.
    pub fn with_pulse<R>(&self, head: &HostId, change: impl FnOnce(&mut StallDetector) -> R) -> R {
        change(self.pulses.borrow_mut().entry(head.clone()).or_default())
    }

    /// Heads at which requests of this node run and that should be asked about now.
    #[must_use]
    pub fn silent_heads(&self) -> Vec<HostId> {
        let now = self.now();
        let mut silent = Vec::new();
        for (head, pulse) in self.pulses.borrow_mut().iter_mut() {
            if pulse.should_probe(now) {
                silent.push(head.clone());
            }
        }
        silent
    }
}
