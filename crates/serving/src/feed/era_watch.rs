//! Which era of the store a process knows, and what it makes of answers of another one.

use std::time::Duration;

use domain::StoreEra;

/// Answers of an earlier era in a row after which the later one is given up, if none of it came meanwhile: it
/// was stated by mistake, and everything would be dropped for good.
const MAX_CONTRADICTIONS: u32 = 3;

/// Time without an answer of the era that is known, before which it is not given up. Answers that were held
/// back on their way arrive within it.
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

/// The era that a process knows.
#[derive(Debug, Clone, Copy, Default)]
pub struct EraWatch {
    current: Option<StoreEra>,
    stated_at: Duration,
    contradictions: u32,
}

impl EraWatch {
    /// The newest era that is known; [`StoreEra::UNSTATED`] before the first.
    #[must_use]
    pub fn current(&self) -> StoreEra {
        self.current.unwrap_or(StoreEra::UNSTATED)
    }

    /// Takes in the era of an answer that was read at `now`. An answer that states none is taken for one of
    /// the era that is known.
    pub fn observe(&mut self, stated: Option<StoreEra>, now: Duration) -> EraObservation {
        let Some(stated) = stated else {
            return EraObservation::Same;
        };
        if self.current == Some(stated) {
            self.stated_at = now;
            self.contradictions = 0;
            return EraObservation::Same;
        }
        if self.current.is_some_and(|current| stated < current) {
            self.contradictions += 1;
            let is_doubtful = now.saturating_sub(self.stated_at) > DOUBT_TIME;
            if !is_doubtful || self.contradictions < MAX_CONTRADICTIONS {
                return EraObservation::Outdated;
            }
        }
        self.contradictions = 0;
        self.stated_at = now;
        EraObservation::Began {
            before: self.current.replace(stated),
        }
    }
}
