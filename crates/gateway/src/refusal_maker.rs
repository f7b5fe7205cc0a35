//! Who makes responses with a 3xx or 4xx.

use crate::local_response::LocalResponse;

/// Who made a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalMaker {
    /// This node, by the configuration that it knows.
    Configuration,
    /// This node, since the body did not come as a body.
    Body,
    /// This node, by records of crashed targets.
    CrashRecords,
    /// A target, whose signature it has.
    Target,
    /// The HTTP library, which could not read the request.
    HttpLibrary,
}

impl RefusalMaker {
    /// Name in metrics and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Body => "body",
            Self::CrashRecords => "crash_records",
            Self::Target => "target",
            Self::HttpLibrary => "http_library",
        }
    }

    /// Maker of a local response; `None` if it leaves the client a way to be served.
    #[must_use]
    pub fn of_local(response: LocalResponse) -> Option<Self> {
        match response {
            LocalResponse::NoRoute | LocalResponse::Unauthorized | LocalResponse::BodyTooLarge => {
                Some(Self::Configuration)
            }
            LocalResponse::IncompleteBody => Some(Self::Body),
            LocalResponse::Blocked => Some(Self::CrashRecords),
            LocalResponse::LateBody
            | LocalResponse::NotExecuted(_)
            | LocalResponse::ResponseLost
            | LocalResponse::TimedOut => None,
        }
    }
}
