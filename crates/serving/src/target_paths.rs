//! Which targets this node can't connect to although other nodes can.
//!
//! A failed connection tells that a target or the path to it is lost, and one node alone can't tell
//! which. If it took the first for granted, a node that is partitioned from all targets would suspect
//! them all and reject every request, beside nodes that serve from the same targets. So a node asks
//! another one before it suspects a target, and connects through it if that one reaches the target.

use std::time::Duration;

use domain::{FastMap, HostId};

/// How a path was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathLoss {
    /// Packets are lost: open connections may be dead as well.
    Silent,
    /// Connections are refused; open ones may still work.
    Refused,
}

/// Age up to which lost packets count. A link that loses one packet in twenty loses the first packet of
/// every tenth connection.
const STRIKE_VALIDITY: Duration = Duration::from_secs(3);

/// Number of connections lost in silence, with nothing received in between, from which on a path counts
/// as lost.
const SILENT_STRIKES: u32 = 2;

/// Number of targets whose paths are lost, without any success since, from which on the node counts as
/// partitioned from all.
const PARTITION_TARGETS: usize = 2;

/// Time within which broken connections to two targets have the same cause. A target that breaks off single
/// responses must not cost all idle connections: busy targets reset new ones.
const BREAK_WINDOW: Duration = Duration::from_millis(50);

/// Interval between two checks of the same path.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Paths that are checked at once after a partition has ended.
const MAX_CHECKS: usize = 8;

/// Time for which other nodes are not asked again about a target that they don't reach either. It
/// doubles with each time.
const DENIAL_TIME: Duration = Duration::from_millis(500);

/// Maximum of that time.
const MAX_DENIAL_TIME: Duration = Duration::from_secs(4);

/// What is known of the path to one target since it last failed.
#[derive(Debug, Clone, Copy)]
struct PathRecord {
    loss: PathLoss,
    failed_at: Duration,
    strikes: u32,
    is_lost: bool,
    check_at: Duration,
}

/// Targets that no other node reached either.
#[derive(Debug, Clone, Copy)]
struct PathDenial {
    until: Duration,
    count: u32,
}

/// Change of the paths that a record has made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// Nothing that decides how targets are connected to.
    None,
    /// The path to the target is lost, or works again.
    Path,
    /// The node is partitioned from all targets, or no longer.
    Partition,
}

/// Paths of one node to its targets. Times are measured from process start.
#[derive(Debug, Default)]
pub struct TargetPaths {
    records: FastMap<HostId, PathRecord>,
    denials: FastMap<HostId, PathDenial>,
    connected_at: Duration,
    received_at: Duration,
    broken: Option<(HostId, Duration)>,
    partition: Option<PathLoss>,
    partition_check_at: Duration,
    next_other: usize,
}

impl TargetPaths {
    /// Records that a connection to a target failed here and that another node has established one.
    pub fn record_lost(&mut self, id: &HostId, loss: PathLoss, now: Duration) -> PathChange {
        self.denials.remove(id);
        let record = self.records.entry(id.clone()).or_insert(PathRecord {
            loss,
            failed_at: now,
            strikes: 0,
            is_lost: false,
            check_at: now + CHECK_INTERVAL,
        });
        if now.saturating_sub(record.failed_at) > STRIKE_VALIDITY {
            record.strikes = 0;
        }
        record.loss = loss;
        record.failed_at = now;
        record.strikes += 1;
        let was_lost = record.is_lost;
        record.is_lost |= loss == PathLoss::Refused || record.strikes >= SILENT_STRIKES;
        let is_lost = record.is_lost;
        if self.partition != Some(loss) && self.counts_as_partition(loss, now) {
            self.partition = Some(loss);
            self.partition_check_at = now + CHECK_INTERVAL;
            return PathChange::Partition;
        }
        if is_lost && !was_lost {
            PathChange::Path
        } else {
            PathChange::None
        }
    }

    /// Whether paths to several targets were lost in the same way, and nothing has shown since that any
    /// path works.
    fn counts_as_partition(&self, loss: PathLoss, now: Duration) -> bool {
        let contact_at = self.contact_at(loss);
        let recent = self.records.values().filter(|record| {
            let is_recent = now.saturating_sub(record.failed_at) <= STRIKE_VALIDITY;
            record.loss == loss && is_recent && record.failed_at > contact_at
        });
        recent.count() >= PARTITION_TARGETS
    }

    /// Records a connection that this node established itself.
    pub fn record_connected(&mut self, id: &HostId, now: Duration) -> PathChange {
        self.connected_at = now;
        self.denials.remove(id);
        let was_lost = self.records.remove(id).is_some_and(|record| record.is_lost);
        if self.partition.take().is_some() {
            // Whatever was lost with the partition is checked at once.
            for record in self.records.values_mut() {
                record.check_at = now;
            }
            return PathChange::Partition;
        }
        if was_lost {
            PathChange::Path
        } else {
            PathChange::None
        }
    }

    /// Records that a connection of this node's own broke; returns whether one to another target just did,
    /// too. Idle connections to all targets are probably broken then, as by a partition.
    pub fn record_broken(&mut self, id: &HostId, now: Duration) -> bool {
        let before = self.broken.replace((id.clone(), now));
        before.is_some_and(|(other, at)| other != *id && now.saturating_sub(at) < BREAK_WINDOW)
    }

    /// Whether a connection of this node's own has just broken.
    #[must_use]
    pub fn has_broken(&self, now: Duration) -> bool {
        let broken = self.broken.as_ref();
        broken.is_some_and(|(_, at)| now.saturating_sub(*at) < BREAK_WINDOW)
    }

    /// Records that bytes of a target arrived on a connection of this node's own.
    pub fn record_received(&mut self, id: &HostId, now: Duration) {
        self.received_at = now;
        if self.records.is_empty() {
            return;
        }
        let is_strike = |record: &PathRecord| !record.is_lost && record.loss == PathLoss::Silent;
        if self.records.get(id).is_some_and(is_strike) {
            self.records.remove(id);
        }
    }

    /// Time since bytes of any target last arrived on a connection of this node's own.
    #[must_use]
    pub fn silent_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.received_at)
    }

    /// When this node last learned that paths are not lost in this way: it established a connection of its
    /// own to any target, or received bytes on one. Open connections that still receive don't show that
    /// new ones can be established.
    fn contact_at(&self, loss: PathLoss) -> Duration {
        match loss {
            PathLoss::Silent => self.connected_at.max(self.received_at),
            PathLoss::Refused => self.connected_at,
        }
    }

    /// Time since then.
    #[must_use]
    pub fn contact_age(&self, loss: PathLoss, now: Duration) -> Duration {
        now.saturating_sub(self.contact_at(loss))
    }

    /// Whether a target should be connected to through another node.
    #[must_use]
    pub fn is_lost(&self, id: &HostId) -> bool {
        self.partition.is_some() || self.records.get(id).is_some_and(|record| record.is_lost)
    }

    /// Whether open connections to a target are probably dead.
    #[must_use]
    pub fn is_silent(&self, id: &HostId) -> bool {
        let is_silent = |record: &PathRecord| record.is_lost && record.loss == PathLoss::Silent;
        self.partition == Some(PathLoss::Silent) || self.records.get(id).is_some_and(is_silent)
    }

    /// How the node was partitioned from all targets; `None` if it isn't.
    #[must_use]
    pub fn partition(&self) -> Option<PathLoss> {
        self.partition
    }

    /// Number of targets whose paths are lost.
    #[must_use]
    pub fn lost_count(&self) -> usize {
        self.records
            .values()
            .filter(|record| record.is_lost)
            .count()
    }

    /// Records that no other node reached a target either.
    pub fn record_denied(&mut self, id: &HostId, now: Duration) {
        let denial = self.denials.entry(id.clone()).or_insert(PathDenial {
            until: now,
            count: 0,
        });
        let factor = 1_u32.checked_shl(denial.count).unwrap_or(u32::MAX);
        denial.until = now + DENIAL_TIME.saturating_mul(factor).min(MAX_DENIAL_TIME);
        denial.count += 1;
    }

    /// Whether other nodes should not be asked about a target, because they did not reach it either.
    #[must_use]
    pub fn is_denied(&self, id: &HostId, now: Duration) -> bool {
        self.denials
            .get(id)
            .is_some_and(|denial| now < denial.until)
    }

    /// Forgets a target.
    pub fn forget(&mut self, id: &HostId) {
        self.records.remove(id);
        self.denials.remove(id);
    }

    /// Targets to connect to now, to learn whether a path works again. During a partition these are one
    /// whose path is lost and one of `others` in turn: the paths to some targets may be lost and
    /// others work.
    pub fn due_checks(&mut self, others: &[HostId], now: Duration) -> Vec<HostId> {
        let most = if self.partition.is_some() {
            1
        } else {
            MAX_CHECKS
        };
        let due = self
            .records
            .iter()
            .filter(|(_, record)| record.check_at <= now);
        let mut due: Vec<(Duration, HostId)> = due
            .map(|(id, record)| (record.check_at, id.clone()))
            .collect();
        due.sort();
        due.truncate(most);
        let mut checks = Vec::new();
        for (_, id) in due {
            let Some(record) = self.records.get_mut(&id) else {
                continue;
            };
            record.check_at = now + CHECK_INTERVAL;
            if record.is_lost {
                checks.push(id);
            } else if now.saturating_sub(record.failed_at) > STRIKE_VALIDITY {
                self.records.remove(&id);
            }
        }
        if self.partition.is_some() && self.partition_check_at <= now {
            self.partition_check_at = now + CHECK_INTERVAL;
            let untried: Vec<&HostId> = others
                .iter()
                .filter(|id| !self.records.contains_key(*id))
                .collect();
            if !untried.is_empty() {
                self.next_other = (self.next_other + 1) % untried.len();
                checks.push(untried[self.next_other].clone());
            }
        }
        checks
    }
}
