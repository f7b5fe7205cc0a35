//! Rows of the store by which nodes share the evidence on what crashes targets.

use std::time::Duration;

use adapter::MAX_CLOCK;
use domain::{BootNumber, HostId};
use serde::{Deserialize, Serialize};
use serving::poison::FeatureError;
use serving::{CrashedFeature, RequestFeature, TargetProcess};

/// Maximum number of features in one row. At about 70 bytes each they fit the store's row size limit.
pub const MAX_FEATURES_PER_ROW: usize = 400;

/// One row of evidence. Times are those of the store's clock.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum EvidenceRow {
    /// What one node had at a crashed target.
    Crash(CrashRow),
    /// Answers that targets survived, as one node has seen.
    Sound(SoundRow),
    /// Which node tries requests with these features.
    Trial(TrialRow),
}

/// What one node had at a crashed target.
#[derive(Debug, Serialize, Deserialize)]
pub struct CrashRow {
    host: HostId,
    boot: BootNumber,
    clock_ms: u64,
    #[serde(rename = "runs")]
    features: Vec<FeatureRow>,
    /// Whether the target had been sent more than it takes; the row then has no features, so that nodes which
    /// do not know the field take nothing from it. Rows of earlier releases lack it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    overloaded: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct FeatureRow {
    #[serde(rename = "mark")]
    feature: String,
    /// Longest time since a response began, in milliseconds; `None` if none had.
    #[serde(rename = "ran_ms")]
    response_age_ms: Option<u64>,
    #[serde(default)]
    outlived: bool,
    /// Whether such a request was on trial. Rows of earlier releases lack it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    tried: bool,
    /// When the newest sound answer began of which the node knew.
    #[serde(default)]
    sound_at_ms: Option<u64>,
}

/// Answers that targets survived, as one node has seen.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct SoundRow {
    sound: Vec<SoundFeatureRow>,
}

#[derive(Debug, Serialize, Deserialize)]
struct SoundFeatureRow {
    #[serde(rename = "mark")]
    feature: String,
    at_ms: u64,
}

/// A trial: one node sends one request with these features, and the others send none.
#[derive(Debug, Serialize, Deserialize)]
pub struct TrialRow {
    #[serde(rename = "trial")]
    features: Vec<String>,
    /// Name of the node.
    by: String,
    at_ms: u64,
}

/// A feature at a crash, with the newest sound answer of which the reporting node knew.
#[derive(Debug, Clone, Copy)]
pub struct ReportedFeature {
    /// The feature at the crash.
    pub crashed: CrashedFeature,
    /// When the newest sound answer with it began.
    pub sound_at: Option<Duration>,
}

/// A crash as one node reports it.
#[derive(Debug, Clone)]
pub struct CrashReport {
    /// The process that crashed.
    pub process: TargetProcess,
    /// When it was noticed, on the store's clock.
    pub at: Duration,
    /// Features of the requests that the node had there; none if it was overloaded.
    pub features: Vec<ReportedFeature>,
    /// Whether it had been sent more than it takes, so that the crash is no evidence.
    pub is_overloaded: bool,
}

fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl From<&ReportedFeature> for FeatureRow {
    fn from(reported: &ReportedFeature) -> Self {
        let crashed = &reported.crashed;
        Self {
            feature: crashed.feature.to_string(),
            response_age_ms: crashed.response_age.map(to_millis),
            outlived: crashed.is_outlived,
            tried: crashed.is_trial,
            sound_at_ms: reported.sound_at.map(to_millis),
        }
    }
}

impl TryFrom<&FeatureRow> for ReportedFeature {
    type Error = FeatureError;

    fn try_from(row: &FeatureRow) -> Result<Self, Self::Error> {
        let crashed = CrashedFeature {
            feature: row.feature.parse()?,
            response_age: row.response_age_ms.map(Duration::from_millis),
            is_outlived: row.outlived,
            is_trial: row.tried,
        };
        Ok(Self {
            crashed,
            sound_at: row.sound_at_ms.map(Duration::from_millis),
        })
    }
}

impl From<&CrashReport> for CrashRow {
    fn from(report: &CrashReport) -> Self {
        let features = report.features.iter().take(MAX_FEATURES_PER_ROW);
        Self {
            host: report.process.host.clone(),
            boot: report.process.boot,
            clock_ms: to_millis(report.at),
            features: features.map(FeatureRow::from).collect(),
            overloaded: report.is_overloaded,
        }
    }
}

impl From<&CrashRow> for CrashReport {
    /// Features that can't be read are left out: a newer release may know others.
    fn from(row: &CrashRow) -> Self {
        let features = row.features.iter();
        Self {
            process: TargetProcess {
                host: row.host.clone(),
                boot: row.boot,
            },
            at: Duration::from_millis(row.clock_ms),
            features: features
                .filter_map(|row| ReportedFeature::try_from(row).ok())
                .collect(),
            is_overloaded: row.overloaded,
        }
    }
}

impl SoundRow {
    /// A row with the newest of these answers.
    #[must_use]
    pub fn new(mut answers: Vec<(RequestFeature, Duration)>) -> Self {
        answers.sort_by_key(|(_, begun_at)| std::cmp::Reverse(*begun_at));
        let newest = answers.into_iter().take(MAX_FEATURES_PER_ROW);
        let sound = newest.map(|(feature, begun_at)| SoundFeatureRow {
            feature: feature.to_string(),
            at_ms: to_millis(begun_at),
        });
        Self {
            sound: sound.collect(),
        }
    }

    /// The answers, without those whose features can't be read.
    #[must_use]
    pub fn answers(&self) -> Vec<(RequestFeature, Duration)> {
        let answers = self.sound.iter().filter_map(|row| {
            let feature = row.feature.parse().ok()?;
            Some((feature, Duration::from_millis(row.at_ms)))
        });
        answers.collect()
    }
}

impl TrialRow {
    /// A trial of these features that a node begins at this time.
    #[must_use]
    pub fn new(features: &[RequestFeature], by: &str, at: Duration) -> Self {
        Self {
            features: features.iter().map(ToString::to_string).collect(),
            by: by.to_owned(),
            at_ms: to_millis(at),
        }
    }
}

impl EvidenceRow {
    /// Decodes a row; `None` if it is malformed, or of a time that the store's clock can't show, at which it would never
    /// expire.
    pub fn decode(value: &[u8]) -> Option<Self> {
        let row: Self = serde_json::from_slice(value).ok()?;
        let is_possible = row.newest().is_none_or(|newest| newest <= MAX_CLOCK);
        is_possible.then_some(row)
    }

    /// The process whose crash it tells of.
    #[must_use]
    pub fn process(&self) -> Option<TargetProcess> {
        let Self::Crash(row) = self else { return None };
        Some(TargetProcess {
            host: row.host.clone(),
            boot: row.boot,
        })
    }

    /// When what it tells of was; `None` if it tells nothing.
    #[must_use]
    pub fn newest(&self) -> Option<Duration> {
        let newest_ms = match self {
            Self::Crash(row) => Some(row.clock_ms),
            Self::Sound(row) => row.sound.iter().map(|answer| answer.at_ms).max(),
            Self::Trial(row) => Some(row.at_ms),
        };
        newest_ms.map(Duration::from_millis)
    }
}
