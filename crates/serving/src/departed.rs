//! Processes of targets that have left, against entries that a restored store shows again.

use std::time::Duration;

use domain::{BootNumber, FastMap, HostId};

use crate::TargetProcess;

/// Time for which a process that has left is remembered. Copies from which a store is restored are some seconds
/// old.
const DEPARTED_MEMORY: Duration = Duration::from_secs(30);

/// Number of processes that are remembered, which bounds the memory.
const MAX_DEPARTED: usize = 4096;

/// Processes whose entries were removed lately.
#[derive(Debug, Default)]
pub struct DepartedTargets {
    processes: FastMap<HostId, (BootNumber, Duration)>,
}

impl DepartedTargets {
    /// Records that the entry of a process was removed.
    pub fn record(&mut self, process: TargetProcess, now: Duration) {
        if self.processes.len() >= MAX_DEPARTED {
            self.processes
                .retain(|_, (_, left_at)| now.saturating_sub(*left_at) < DEPARTED_MEMORY);
        }
        if self.processes.len() < MAX_DEPARTED {
            let departed = self.processes.entry(process.host);
            let (boot, left_at) = departed.or_insert((process.boot, now));
            *boot = process.boot.max(*boot);
            *left_at = now;
        }
    }

    /// Whether a process has ended: the entry of a later one of its target is `known`, or the entry of this one or
    /// a later one was removed lately.
    #[must_use]
    pub fn has_left(
        &self,
        process: &TargetProcess,
        known: Option<BootNumber>,
        now: Duration,
    ) -> bool {
        if let Some(known) = known {
            return process.boot < known;
        }
        let departed = self.processes.get(&process.host);
        departed.is_some_and(|(boot, left_at)| {
            process.boot <= *boot && now.saturating_sub(*left_at) < DEPARTED_MEMORY
        })
    }
}
