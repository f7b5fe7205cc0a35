//! Graceful shutdown of an entry.
//!
//! First `/readyz` returns 503 while requests are still accepted, because the load balancer keeps
//! sending until its next health check. Then the listener closes and running requests may finish.
//! Streams that take longer are handed over: their clients receive a resume token and continue at
//! another entry.

use tokio::sync::watch;

/// Phase of a shutdown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No shutdown in progress.
    #[default]
    Serving,
    /// Not ready for the load balancer. Requests are still accepted, but HTTP/1 connections are
    /// closed after their response.
    Draining,
    /// Streams end with a resume event; other requests may finish.
    HandingOver,
}

/// Controls the shutdown phase, which only ever advances.
#[derive(Debug, Clone, Default)]
pub struct ShutdownHandle {
    sender: watch::Sender<ShutdownPhase>,
}

impl ShutdownHandle {
    /// Advances to `phase`; has no effect if that phase has been reached already.
    pub fn advance(&self, phase: ShutdownPhase) {
        self.sender.send_if_modified(|current| {
            let later = phase > *current;
            if later {
                *current = phase;
            }
            later
        });
    }

    /// Returns whether a shutdown has started.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.sender.borrow() > ShutdownPhase::Serving
    }

    /// Returns a watcher of the phase.
    #[must_use]
    pub fn watch(&self) -> ShutdownWatcher {
        ShutdownWatcher {
            receiver: self.sender.subscribe(),
        }
    }
}

/// Waits for shutdown phases.
#[derive(Debug, Clone)]
pub struct ShutdownWatcher {
    receiver: watch::Receiver<ShutdownPhase>,
}

impl ShutdownWatcher {
    /// Completes when a shutdown has started.
    pub async fn stopping(&mut self) {
        self.wait_until(ShutdownPhase::Draining).await;
    }

    /// Completes when streams must be handed over.
    pub async fn handing_over(&mut self) {
        self.wait_until(ShutdownPhase::HandingOver).await;
    }

    async fn wait_until(&mut self, min_phase: ShutdownPhase) {
        let reached = self
            .receiver
            .wait_for(|phase| *phase >= min_phase)
            .await
            .is_ok();
        if !reached {
            // The handle was dropped, so this phase will never be reached.
            std::future::pending::<()>().await;
        }
    }
}
