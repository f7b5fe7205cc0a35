//! Stopping an entry without cutting off a request.
//!
//! First `/readyz` turns 503 while requests are still taken, because the balancer goes on sending
//! until its next check. Then the listener closes and what runs may finish. Streams that run
//! longer are handed over: their callers get their resume token and go on at another entry.

use tokio::sync::watch;

/// How far a stop is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No stop.
    #[default]
    Serving,
    /// Not ready for the balancer; requests are still taken and connections are not kept.
    Draining,
    /// Streams end with their resume token; other requests finish.
    HandingOver,
}

/// Moves the phase on; it never goes back.
#[derive(Debug, Clone, Default)]
pub struct ShutdownHandle {
    sender: watch::Sender<ShutdownPhase>,
}

impl ShutdownHandle {
    /// Moves on to a later phase.
    pub fn advance(&self, phase: ShutdownPhase) {
        self.sender.send_if_modified(|current| {
            let later = phase > *current;
            if later {
                *current = phase;
            }
            later
        });
    }

    /// Whether a stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.sender.borrow() > ShutdownPhase::Serving
    }

    /// A view of the phase.
    #[must_use]
    pub fn watch(&self) -> ShutdownWatcher {
        ShutdownWatcher {
            receiver: self.sender.subscribe(),
        }
    }
}

/// A view of the phase.
#[derive(Debug, Clone)]
pub struct ShutdownWatcher {
    receiver: watch::Receiver<ShutdownPhase>,
}

impl ShutdownWatcher {
    /// Completes when a stop has begun.
    pub async fn stopping(&mut self) {
        self.reach(ShutdownPhase::Draining).await;
    }

    /// Completes when streams shall be handed over.
    pub async fn handing_over(&mut self) {
        self.reach(ShutdownPhase::HandingOver).await;
    }

    async fn reach(&mut self, wanted: ShutdownPhase) {
        let reached = self
            .receiver
            .wait_for(|phase| *phase >= wanted)
            .await
            .is_ok();
        if !reached {
            // The switch is gone, so that no hand-over will ever be asked for.
            std::future::pending::<()>().await;
        }
    }
}
