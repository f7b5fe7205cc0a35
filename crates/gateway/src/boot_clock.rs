//! The clock that goes on while the host is suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Time since the start of the process, suspension of the host included.
///
/// The monotonic clock of [`std::time::Instant`] stands still while the host is suspended. A lease that is
/// judged by it would go on for its holder after all others saw it end.
#[derive(Debug)]
pub struct BootClock {
    started: Instant,
    booted: Duration,
}

impl BootClock {
    /// Starts the clock.
    ///
    /// # Errors
    ///
    /// The error of the system call, if the system has no such clock.
    pub fn start() -> nix::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            booted: boot_time()?,
        })
    }

    /// Time since the start.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        // A system that has the clock has it for good.
        boot_time().map_or_else(
            |_| self.started.elapsed(),
            |now| now.saturating_sub(self.booted),
        )
    }
}

fn boot_time() -> nix::Result<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from)
}
