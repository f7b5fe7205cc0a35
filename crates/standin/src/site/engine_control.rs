//! What tests set at engines and ask of them.

use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::groups::SiteGroups;
use super::stream::EventShape;

/// Bytes that a stream repeats without end, with a pause between two of them.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndlessPiece {
    pub bytes: &'static [u8],
    pub pause: Duration,
}

impl SiteGroups {
    /// Makes an engine unresponsive: its connections stay open, but it sends nothing more.
    pub fn make_unresponsive(&self, id: &str) {
        self.with(id, |engine| engine.unresponsive = true);
    }

    /// Removes an engine from the registry, as the platform does when it stops reporting or leaves
    /// without notice; the engine continues to serve.
    pub fn expire(&self, id: &str) {
        self.with(id, |engine| engine.listed = false);
        self.store.remove("servers", id);
    }

    /// Writes the entry of an engine again that had expired.
    pub fn rewrite(&self, id: &str) {
        self.with(id, |engine| engine.listed = true);
        self.register(id);
    }

    /// Crashes an engine, as a request whose body contains [`CRASH_BODY`] does: its connections and
    /// its listener are closed.
    pub fn crash(&self, id: &str) {
        self.with(id, |engine| {
            engine.unresponsive = true;
            engine.crash.notify_one();
        });
        self.crashed.fetch_add(1, Ordering::Relaxed);
    }

    /// Sets whether new streams have neither a length nor chunks and end with their connection.
    pub fn set_unframed(&self, unframed: bool) {
        self.unframed.store(unframed, Ordering::Relaxed);
    }

    /// Sets whether heads reject all requests, as full ones do.
    pub fn set_rejects(&self, rejects: bool) {
        self.rejects.store(rejects, Ordering::Relaxed);
    }

    /// Sets the limit that an engine states, in requests a second; `None` if it states none.
    pub fn set_limit(&self, id: &str, limit: Option<f64>) {
        let mut limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        match limit {
            Some(limit) => limits.insert(id.to_owned(), limit),
            None => limits.remove(id),
        };
    }

    /// Makes an engine state in its entry that it stays cold for `left` from now, and writes the entry, as each
    /// heartbeat of an engine does.
    pub fn set_cold(&self, id: &str, left: Duration) {
        let mut cold_until = self
            .cold_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        cold_until.insert(id.to_owned(), Instant::now() + left);
        drop(cold_until);
        self.refresh_entry(id);
    }

    /// Time for which an engine states that it stays cold; zero if it is warm.
    pub(super) fn cold_left(&self, id: &str) -> Duration {
        let cold_until = self
            .cold_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let until = cold_until.get(id);
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// Sets the backoff that an engine asks for as it rejects all requests; `None` if it takes them.
    pub fn set_backoff(&self, id: &str, backoff: Option<Duration>) {
        let mut backoffs = self.backoffs.lock().unwrap_or_else(PoisonError::into_inner);
        match backoff {
            Some(backoff) => backoffs.insert(id.to_owned(), backoff),
            None => backoffs.remove(id),
        };
    }

    pub(super) fn backoff(&self, id: &str) -> Option<Duration> {
        let backoffs = self.backoffs.lock().unwrap_or_else(PoisonError::into_inner);
        backoffs.get(id).copied()
    }

    /// Sets how long an engine takes to reject a request that has arrived.
    pub fn set_rejection_delay(&self, id: &str, delay: Duration) {
        let delays = self.rejection_delays.lock();
        let mut delays = delays.unwrap_or_else(PoisonError::into_inner);
        delays.insert(id.to_owned(), delay);
    }

    pub(super) fn rejection_delay(&self, id: &str) -> Duration {
        let delays = self.rejection_delays.lock();
        let delays = delays.unwrap_or_else(PoisonError::into_inner);
        delays.get(id).copied().unwrap_or_default()
    }

    /// Makes a head repeat these bytes without end after the first event of each stream, with a pause
    /// between two pieces.
    pub fn set_endless(&self, id: &str, bytes: &'static [u8], pause: Duration) {
        let mut endless = self.endless.lock().unwrap_or_else(PoisonError::into_inner);
        endless.insert(id.to_owned(), EndlessPiece { bytes, pause });
    }

    pub(super) fn endless(&self, id: &str) -> Option<EndlessPiece> {
        let endless = self.endless.lock().unwrap_or_else(PoisonError::into_inner);
        endless.get(id).copied()
    }

    /// Drops what the previous process of an engine said of itself.
    pub(super) fn forget_statements(&self, id: &str) {
        self.set_backoff(id, None);
        self.set_delay_text(id, None);
        let mut leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        leaving.remove(id);
    }

    /// Makes an engine reject all requests with this text as its delay; `None` if it takes them.
    pub fn set_delay_text(&self, id: &str, text: Option<&'static str>) {
        let mut delays = self.delays.lock().unwrap_or_else(PoisonError::into_inner);
        match text {
            Some(text) => delays.insert(id.to_owned(), text),
            None => delays.remove(id),
        };
    }

    pub(super) fn delay_text(&self, id: &str) -> Option<&'static str> {
        let delays = self.delays.lock().unwrap_or_else(PoisonError::into_inner);
        delays.get(id).copied()
    }

    /// Makes an engine say in all its responses that it leaves; its registry entry stays as it is.
    pub fn say_leaving(&self, id: &str) {
        let mut leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        leaving.insert(id.to_owned());
    }

    pub(super) fn is_leaving(&self, id: &str) -> bool {
        let leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        leaving.contains(id)
    }

    pub(super) fn limit(&self, id: &str) -> Option<f64> {
        let limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        limits.get(id).copied()
    }

    /// Sets whether engines tell their load with each response.
    pub fn set_tells_load(&self, tells_load: bool) {
        self.tells_load.store(tells_load, Ordering::Relaxed);
    }

    /// Returns whether an engine is gone after a crash, or has been made unresponsive.
    #[must_use]
    pub fn has_crashed(&self, id: &str) -> bool {
        self.with(id, |engine| engine.unresponsive).unwrap_or(true)
    }

    /// Returns the number of engines that have crashed.
    #[must_use]
    pub fn crashed(&self) -> usize {
        self.crashed.load(Ordering::Relaxed)
    }

    /// Writes a stale registry entry, without the engine's current replica.
    pub fn write_stale_entry(&self, id: &str) {
        let group = self.with(id, |engine| engine.group.take()).flatten();
        self.register(id);
        self.with(id, |engine| engine.group = group);
    }

    /// Makes an engine report that it is draining.
    pub fn drain(&self, id: &str) {
        self.with(id, |engine| engine.draining = true);
        self.register(id);
    }

    /// Sets the number of events of new streams at all engines.
    pub fn set_events(&self, events: usize) {
        for engine in self.lock().values_mut() {
            engine.events = events;
        }
    }

    /// Sets how many bytes the events of all streams have beyond their number, and how far they are apart.
    pub fn set_event_shape(&self, padding: usize, interval: Duration) {
        let mut shape = self
            .event_shape
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *shape = EventShape { padding, interval };
    }

    pub(super) fn event_shape(&self) -> EventShape {
        *self
            .event_shape
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of streams that have not been read to their end, over all engines.
    #[must_use]
    pub fn running_streams(&self) -> usize {
        let engines = self.lock();
        engines.values().map(|engine| engine.running).sum()
    }

    /// Returns the members of each open replica by rank, so that the head comes first.
    #[must_use]
    pub fn serving(&self) -> Vec<Vec<String>> {
        let engines = self.lock();
        let open = engines.values().filter_map(|engine| {
            let group = engine.group.as_ref()?;
            (group.rank == 0 && group.state == "open" && !engine.unresponsive)
                .then(|| group.members.clone())
        });
        open.collect()
    }

    /// Returns how often a request was executed, over all engines.
    #[must_use]
    pub fn execution_count(&self, request: &str) -> usize {
        let engines = self.lock();
        let ran = engines.values().flat_map(|engine| &engine.executed);
        ran.filter(|id| *id == request).count()
    }

    /// Returns whether an engine started to execute a request.
    #[must_use]
    pub fn ran_at(&self, id: &str, request: &str) -> bool {
        let ran = self.with(id, |engine| {
            engine.executed.iter().any(|ran| ran == request)
        });
        ran.unwrap_or(false)
    }
}
