//! Detection of what crashes the targets that run it: whole requests, or parts of prompts that requests
//! have in common.

mod detector;
mod evidence;
mod feature;
mod overload;
mod sound;

pub use detector::{
    BarredSet, JOINT_LOSS_SPAN, MIN_CRASHES_TO_BAR, MIN_UNHEARD_CRASHES_TO_BAR, PoisonDetector,
    PoisonVerdict,
};
pub use evidence::{CRASH_RETENTION, CrashedFeature, TargetProcess};
pub use feature::{FeatureError, RequestFeature, RequestFingerprint};
pub use overload::{CrashedTarget, SendHistory};
pub use sound::{AnswerWatch, COMPLETE_ANSWER_AGE, SOUND_ANSWER_AGE, SoundAnswers};
