//! Waiting for SIGINT and SIGTERM.

use tokio::signal::unix::{SignalKind, signal};

/// Signals on which a command shuts down together with the processes it started.
#[derive(Debug)]
pub struct ShutdownSignals {
    interrupt: tokio::signal::unix::Signal,
    terminate: tokio::signal::unix::Signal,
}

impl ShutdownSignals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler can't be installed.
    pub fn catch() -> std::io::Result<Self> {
        Ok(Self {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    /// Waits for SIGINT or SIGTERM.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}
