//! Asking a second target when the first token does not come.

use std::time::Duration;

use bon::Builder;

/// Settings of hedges.
#[derive(Debug, Clone, Copy, PartialEq, Builder)]
pub struct HedgeSettings {
    /// How many times its predicted time an attempt gets before another target is asked.
    /// Predictions are often missed by half, hardly ever fourfold by a target that is well.
    #[builder(default = 4.0)]
    pub factor: f64,
    /// Shortest time before another target is asked; below it the network's noise would start
    /// hedges.
    #[builder(default = Duration::from_millis(300))]
    pub least: Duration,
    /// Hedges that each send allows.
    #[builder(default = 0.05)]
    pub per_send: f64,
    /// Hedges that may be saved up.
    #[builder(default = 5.0)]
    pub reserve: f64,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Hedges that may still be made, as a part of recent sends.
///
/// Made for nearly full targets, of which some keep a request waiting far longer than predicted: a
/// neighbour's long prompt, a stall, a report that was out of date. The caller sees one late first
/// token among many in time. When everything is slow a hedge only adds load, so there is at most
/// one for 20 sends, and only while the entry has a slot free for which nobody waits.
#[derive(Debug)]
pub struct HedgeBudget {
    settings: HedgeSettings,
    balance: f64,
}

impl HedgeBudget {
    /// A budget with its reserve full.
    #[must_use]
    pub fn new(settings: HedgeSettings) -> Self {
        Self {
            balance: settings.reserve,
            settings,
        }
    }

    /// An attempt was sent, hedges not counted.
    pub fn note_sent(&mut self) {
        self.balance = (self.balance + self.settings.per_send).min(self.settings.reserve);
    }

    /// How long an attempt gets for its first token before [`Self::take`] is asked.
    #[must_use]
    pub fn wait(&self, predicted: Duration) -> Duration {
        predicted
            .mul_f64(self.settings.factor)
            .max(self.settings.least)
    }

    /// Whether another target may be asked now, and pays for it.
    ///
    /// The attempt that gives the first token goes on and the other is cancelled.
    pub fn take(&mut self, case: &HedgeCase) -> bool {
        let room = case.free_slots > 0 && case.waiting == 0;
        if !case.idempotent || !room || self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// An attempt whose first token is late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgeCase {
    /// Whether running it twice does no harm; any other call would run twice.
    pub idempotent: bool,
    /// Streams that the entry may still send.
    pub free_slots: usize,
    /// Requests that wait at the entry; a second attempt must not go before a first one.
    pub waiting: usize,
}
