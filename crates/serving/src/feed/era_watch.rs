//! Which era of the store a process knows, and what it makes of answers of another one.

use std::time::Duration;

use domain::StoreEra;

/// Answers of an earlier era in a row after which the later one is given up, if none of it came meanwhile: it
/// was stated by mistake, and everything would be dropped for good.
const MAX_CONTRADICTIONS: u32 = 3;

/// Time from the first contradiction on without an answer of the era that is known, before which it is not given up.
/// Answers that were held back on their way arrive within it. Those that waited in the sockets of a process that was
/// stopped arrive at one moment, however long ago the era was stated.
const DOUBT_TIME: Duration = Duration::from_secs(5);

/// What an answer says of the store's era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraObservation {
    /// It is of the era that is known.
    Same,
    /// A new era has begun. Versions known so far mean nothing in it.
    Began {
        /// The era before; `None` if none was known.
        before: Option<StoreEra>,
    },
    /// It is of an earlier era, and must change nothing.
    Outdated,
}

/// Who states an era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraSource {
    /// The store itself, in a response.
    Store,
    /// Another node, which may repeat a mistake for as long as others tell it the same.
    Node,
}

/// What speaks against an era since it was last stated.
#[derive(Debug, Clone, Copy, Default)]
struct EraDoubt {
    first_at: Option<Duration>,
    contradictions: u32,
}

impl EraDoubt {
    /// Records an earlier era; returns whether the later one is given up.
    fn contradict(&mut self, now: Duration) -> bool {
        let first_at = *self.first_at.get_or_insert(now);
        self.contradictions += 1;
        let is_doubtful = now.saturating_sub(first_at) >= DOUBT_TIME;
        is_doubtful && self.contradictions >= MAX_CONTRADICTIONS
    }
}

/// The era that a process knows.
#[derive(Debug, Clone, Copy, Default)]
pub struct EraWatch {
    current: Option<StoreEra>,
    /// What the store says against it, whatever other nodes say.
    store_doubt: EraDoubt,
    /// What anybody says against it.
    doubt: EraDoubt,
    /// An era that the store itself has refuted.
    given_up: Option<StoreEra>,
}

impl EraWatch {
    /// The newest era that is known; [`StoreEra::UNSTATED`] before the first.
    #[must_use]
    pub fn current(&self) -> StoreEra {
        self.current.unwrap_or(StoreEra::UNSTATED)
    }

    /// Takes in the era of an answer that was read at `now`. An answer that states none is taken for one of
    /// the era that is known.
    pub fn observe(
        &mut self,
        stated: Option<StoreEra>,
        source: EraSource,
        now: Duration,
    ) -> EraObservation {
        let Some(stated) = stated else {
            return EraObservation::Same;
        };
        if self.given_up.is_some_and(|given_up| stated >= given_up) {
            // Each node gives the era up some time later; until then they would tell each other of it again.
            if source == EraSource::Node {
                return EraObservation::Outdated;
            }
            self.given_up = None;
        }
        if self.current == Some(stated) {
            self.confirm(source);
            return EraObservation::Same;
        }
        if self.current.is_some_and(|current| stated < current) && !self.gives_up(source, now) {
            return EraObservation::Outdated;
        }
        self.confirm(EraSource::Store);
        EraObservation::Began {
            before: self.current.replace(stated),
        }
    }

    fn confirm(&mut self, source: EraSource) {
        self.doubt = EraDoubt::default();
        if source == EraSource::Store {
            self.store_doubt = EraDoubt::default();
        }
    }

    /// Takes in that an earlier era was stated; returns whether the current one is given up.
    fn gives_up(&mut self, source: EraSource, now: Duration) -> bool {
        let is_given_up = self.doubt.contradict(now);
        if source == EraSource::Store && self.store_doubt.contradict(now) {
            self.given_up = self.current;
            return true;
        }
        is_given_up
    }
}
