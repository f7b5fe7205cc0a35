//! Being told to stop.

use tokio::signal::unix::{SignalKind, signal};

/// Signals that end a command in order, with everything that it started.
#[derive(Debug)]
pub struct ShutdownSignals {
    interrupt: tokio::signal::unix::Signal,
    terminate: tokio::signal::unix::Signal,
}

impl ShutdownSignals {
    /// Catches the signals from now on.
    ///
    /// # Errors
    ///
    /// When the system refuses it.
    pub fn catch() -> std::io::Result<Self> {
        Ok(Self {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    /// Waits for one of them.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}
