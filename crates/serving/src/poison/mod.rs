//! Detection of what crashes the targets that run it: whole requests, or parts of prompts that requests
//! have in common.

mod detector;
mod feature;
mod sound;

pub use detector::{
    CRASH_RETENTION, CrashedRequest, MIN_CRASHES_TO_BAR, PoisonDetector, PoisonVerdict,
    TargetProcess,
};
pub use feature::{FeatureError, RequestFeature, RequestFingerprint};
pub use sound::{AnswerWatch, SOUND_ANSWER_AGE, SoundAnswers};
