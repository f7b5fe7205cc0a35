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
    /// When requests of a source arrived, by engine.
    by_source: BTreeMap<(String, String), Vec<Instant>>,
    /// When engines asked a source for a backoff, and for how long.
    backoffs: BTreeMap<(String, String), Vec<(Instant, Duration)>>,
    /// When engines first told a source that they leave.
    leaving_told: BTreeMap<(String, String), Instant>,
    /// When reports were asked for or orders came, by engine.
    calls: BTreeMap<String, Vec<Instant>>,
}

/// Source of a request: what its id says before the first dot. Clients name the node there that they send to.
fn source_of(request: &str) -> String {
    request.split('.').next().unwrap_or_default().to_owned()
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
            let key = (engine.to_owned(), source_of(request));
            state.by_source.entry(key).or_default().push(Instant::now());
            if !state.known.insert(request.to_owned()) {
                state.retries.push(Instant::now());
            }
        });
    }

    /// Records that an engine rejects a request and asks its source for a backoff.
    pub(super) fn record_backoff(&self, engine: &str, request: &str, lasting: Duration) {
        let key = (engine.to_owned(), source_of(request));
        self.with(|state| {
            let asked = state.backoffs.entry(key).or_default();
            asked.push((Instant::now(), lasting));
        });
    }

    /// Records that an engine tells the source of a request that it leaves.
    pub(super) fn record_leaving(&self, engine: &str, request: &str) {
        let key = (engine.to_owned(), source_of(request));
        self.with(|state| {
            state.leaving_told.entry(key).or_insert_with(Instant::now);
        });
    }

    /// Records a report that an engine is asked for, or an order.
    pub(super) fn record_call(&self, engine: &str) {
        self.with(|state| {
            let calls = state.calls.entry(engine.to_owned()).or_default();
            calls.push(Instant::now());
        });
    }

    /// Most requests of one source that reached an engine in a backoff that it had asked this source for,
    /// from `grace` after the rejection on.
    #[must_use]
    pub fn most_in_backoff(&self, grace: Duration) -> usize {
        self.with(|state| {
            let counts = state.backoffs.iter().flat_map(|(key, asked)| {
                let arrivals = state.by_source.get(key).map_or(&[][..], Vec::as_slice);
                asked.iter().map(move |(at, lasting)| {
                    let length = lasting.saturating_sub(grace);
                    count_within(arrivals, *at + grace, length)
                })
            });
            counts.max().unwrap_or(0)
        })
    }

    /// Number of backoffs that engines asked for.
    #[must_use]
    pub fn backoff_count(&self) -> usize {
        self.with(|state| state.backoffs.values().map(Vec::len).sum())
    }

    /// Most reports and orders that reached an engine in a backoff that it had asked for.
    #[must_use]
    pub fn most_calls_in_backoff(&self) -> usize {
        self.with(|state| {
            let counts = state.backoffs.iter().flat_map(|((engine, _), asked)| {
                let calls = state.calls.get(engine).map_or(&[][..], Vec::as_slice);
                let counts = asked.iter();
                counts.map(move |(at, lasting)| count_within(calls, *at, *lasting))
            });
            counts.max().unwrap_or(0)
        })
    }

    /// Number of requests that reached an engine over `bound` after it had told their source that it leaves.
    #[must_use]
    pub fn arrivals_after_leaving(&self, bound: Duration) -> usize {
        self.with(|state| {
            let counts = state.leaving_told.iter().map(|(key, told)| {
                let arrivals = state.by_source.get(key).map_or(&[][..], Vec::as_slice);
                arrivals.len() - arrivals.partition_point(|at| *at <= *told + bound)
            });
            counts.sum()
        })
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
    /// When requests of a source reached an engine, in order.
    #[must_use]
    pub fn times_from(&self, source: &str, engine: &str) -> Vec<Instant> {
        let key = (engine.to_owned(), source.to_owned());
        self.with(|state| state.by_source.get(&key).cloned().unwrap_or_default())
    }

    /// Number of requests that reached an engine from `from` on.
    #[must_use]
    pub fn count_at(&self, engine: &str, from: Instant) -> usize {
        self.with(|state| {
            let arrivals = state.by_engine.get(engine).map_or(&[][..], Vec::as_slice);
            arrivals.len() - arrivals.partition_point(|at| *at < from)
        })
    }

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
