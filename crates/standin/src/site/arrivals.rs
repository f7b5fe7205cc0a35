//! What arrives at all engines of a site, and how it stands to the limits of the platform.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The platform's limit on arrivals beyond the first of each request, over all nodes.
#[derive(Debug, Clone, Copy)]
pub struct RetryAllowance {
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed besides.
    pub extra: f64,
}

/// The window with the most retries beyond what is allowed.
#[derive(Debug, Clone, Copy)]
pub struct WorstWindow {
    /// Retries in it.
    pub retries: usize,
    /// Retries allowed in it.
    pub allowed: f64,
}

impl WorstWindow {
    /// Retries beyond what is allowed; negative if there are fewer.
    #[must_use]
    pub fn excess(&self) -> f64 {
        to_f64(self.retries) - self.allowed
    }
}

#[derive(Debug, Default)]
struct ArrivalState {
    /// When clients sent requests.
    sent: Vec<Instant>,
    /// Requests of which one has arrived.
    known: BTreeSet<String>,
    /// When requests arrived that had arrived before.
    retries: Vec<Instant>,
    /// When requests arrived, by engine.
    by_engine: BTreeMap<String, Vec<Instant>>,
}

/// Arrivals at the engines of a site; clones share them.
#[derive(Debug, Clone, Default)]
pub struct ArrivalLog {
    state: Arc<Mutex<ArrivalState>>,
}

impl ArrivalLog {
    fn with<R>(&self, access: impl FnOnce(&mut ArrivalState) -> R) -> R {
        access(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Records that a client sends a request.
    pub fn record_sent(&self) {
        self.with(|state| state.sent.push(Instant::now()));
    }

    /// Records a request that arrives at an engine, whatever becomes of it.
    pub(super) fn record_arrival(&self, engine: &str, request: &str) {
        self.with(|state| {
            let arrivals = state.by_engine.entry(engine.to_owned()).or_default();
            arrivals.push(Instant::now());
            if !state.known.insert(request.to_owned()) {
                state.retries.push(Instant::now());
            }
        });
    }

    /// Returns the window that exceeds the allowance most, or is nearest to it; `None` without retries.
    ///
    /// Requests count in the window, in the one before it, or in the one that begins half a window
    /// earlier, whichever has most.
    #[must_use]
    pub fn worst_window(&self, allowance: RetryAllowance) -> Option<WorstWindow> {
        self.with(|state| {
            let windows = state.retries.iter().map(|start| {
                let sent = |back: Duration| {
                    let from = start.checked_sub(back).unwrap_or(*start);
                    count_within(&state.sent, from, allowance.window)
                };
                let window = allowance.window;
                let requests = sent(Duration::ZERO).max(sent(window)).max(sent(window / 2));
                WorstWindow {
                    retries: count_within(&state.retries, *start, window),
                    allowed: allowance.ratio * to_f64(requests) + allowance.extra,
                }
            });
            windows.max_by(|left, right| left.excess().total_cmp(&right.excess()))
        })
    }
}

impl ArrivalLog {
    /// Most requests that reached an engine in a window of this length that begins after `from`.
    #[must_use]
    pub fn most_at(&self, engine: &str, from: Instant, window: Duration) -> usize {
        self.with(|state| {
            let arrivals = state.by_engine.get(engine).map_or(&[][..], Vec::as_slice);
            let starts = arrivals.iter().filter(|at| **at >= from);
            let counts = starts.map(|start| count_within(arrivals, *start, window));
            counts.max().unwrap_or(0)
        })
    }
}

/// Number of moments, which are in order, in the window that begins at `from`.
fn count_within(moments: &[Instant], from: Instant, window: Duration) -> usize {
    let first = moments.partition_point(|at| *at < from);
    let end = moments.partition_point(|at| *at <= from + window);
    end - first
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
