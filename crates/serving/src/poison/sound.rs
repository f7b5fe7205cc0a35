//! Answers that targets survived: evidence that what they have in common crashes nothing.

use std::rc::Rc;
use std::time::Duration;

use domain::{FastMap, PromptPartId};

use super::{RequestFeature, TargetProcess};

/// Time after which a target that still sends bytes has survived an answer. One that crashes under an
/// answer does so in the first passes, each of which takes at most some hundred milliseconds.
pub const SOUND_ANSWER_AGE: Duration = Duration::from_secs(1);

/// Time that a complete answer must have taken to show that its target survives it, in place of
/// [`SOUND_ANSWER_AGE`]: several passes.
pub const COMPLETE_ANSWER_AGE: Duration = Duration::from_millis(300);

/// Time after the first sound answer within which features in use have had one as well.
const WARM_UP_TIME: Duration = Duration::from_secs(3);

/// Maximum number of features kept; beyond it, the half with the oldest answers is dropped, so that a
/// client that sends other parts with each request does not exhaust the memory.
const MAX_FEATURES: usize = 4096;

/// Maximum number of short answers that wait for a sign of life of one target; the oldest are dropped.
const MAX_WATCHED_PER_TARGET: usize = 32;

/// Time after which a short answer is no longer watched: its target may have become idle.
const MAX_WATCH_TIME: Duration = Duration::from_secs(10);

/// When the newest answer with each feature began that its target survived.
#[derive(Debug, Default)]
pub struct SoundAnswers {
    begun_at: FastMap<RequestFeature, Duration>,
    /// When the first of all answers began.
    first_begun_at: Option<Duration>,
}

impl SoundAnswers {
    /// Records an answer that a target survived.
    pub fn record(&mut self, feature: RequestFeature, begun_at: Duration) {
        let newest = self.begun_at.entry(feature).or_insert(begun_at);
        *newest = begun_at.max(*newest);
        let first = self.first_begun_at.get_or_insert(begun_at);
        *first = begun_at.min(*first);
        if self.begun_at.len() > MAX_FEATURES {
            self.drop_older_half();
        }
    }

    /// When the newest sound answer with a feature began; `None` if none is known.
    #[must_use]
    pub fn newest(&self, feature: RequestFeature) -> Option<Duration> {
        self.begun_at.get(&feature).copied()
    }

    /// Whether sound answers were known for a while before this time, so that a feature without any is
    /// remarkable.
    #[must_use]
    pub fn were_known_before(&self, time: Duration) -> bool {
        let first = self.first_begun_at;
        first.is_some_and(|first| first + WARM_UP_TIME <= time)
    }

    fn drop_older_half(&mut self) {
        let mut times: Vec<Duration> = self.begun_at.values().copied().collect();
        times.sort_unstable();
        let middle = times[times.len() / 2];
        self.begun_at.retain(|_, begun_at| *begun_at > middle);
    }
}

#[derive(Debug)]
struct WatchedAnswer {
    begun_at: Duration,
    parts: Rc<[PromptPartId]>,
}

/// Answers that ended too soon to show that their targets survived them.
#[derive(Debug, Default)]
pub struct AnswerWatch {
    by_target: FastMap<TargetProcess, Vec<WatchedAnswer>>,
}

impl AnswerWatch {
    /// Watches an answer that has ended, until its target shows that it still lives.
    pub fn add(&mut self, target: TargetProcess, begun_at: Duration, parts: &Rc<[PromptPartId]>) {
        let answers = self.by_target.entry(target).or_default();
        if answers.len() >= MAX_WATCHED_PER_TARGET {
            answers.remove(0);
        }
        answers.push(WatchedAnswer {
            begun_at,
            parts: Rc::clone(parts),
        });
    }

    /// Takes the answers that a target has survived, given that it sent bytes just now.
    pub fn take_survived(
        &mut self,
        target: &TargetProcess,
        now: Duration,
    ) -> Vec<(RequestFeature, Duration)> {
        let Some(answers) = self.by_target.get_mut(target) else {
            return Vec::new();
        };
        let survived = |answer: &mut WatchedAnswer| answer.begun_at + SOUND_ANSWER_AGE <= now;
        let mut features = Vec::new();
        for answer in answers.extract_if(.., survived) {
            for part in answer.parts.iter() {
                features.push((RequestFeature::Part(*part), answer.begun_at));
            }
        }
        features
    }

    /// Forgets the answers of a target that has crashed.
    pub fn forget(&mut self, target: &TargetProcess) {
        self.by_target.remove(target);
    }

    /// Forgets answers whose targets have sent nothing for long.
    pub fn expire(&mut self, now: Duration) {
        for answers in self.by_target.values_mut() {
            answers.retain(|answer| answer.begun_at + MAX_WATCH_TIME > now);
        }
        self.by_target.retain(|_, answers| !answers.is_empty());
    }
}
