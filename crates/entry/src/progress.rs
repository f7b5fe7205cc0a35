//! How much of an answer was delivered, and matching the events of attempts against it.
//!
//! No I/O: the same state machine runs under the property tests.

use domain::{AttemptId, IncarnationNumber};
use wire::engine::StreamEvent;

use crate::digest::TextDigest;
use crate::token::StreamOffset;

/// What a caller has of an answer, over all attempts and entries.
#[derive(Debug, Clone)]
pub struct ResponseProgress {
    offset: StreamOffset,
    /// The tokens; none when an earlier entry delivered some, of which only the digest is known.
    tokens: Option<Vec<String>>,
}

impl Default for ResponseProgress {
    fn default() -> Self {
        Self {
            offset: StreamOffset::default(),
            tokens: Some(Vec::new()),
        }
    }
}

impl ResponseProgress {
    /// The progress of a caller that has so much from an earlier connection.
    #[must_use]
    pub fn resumed(offset: StreamOffset) -> Self {
        if offset.count == 0 {
            return Self::default();
        }
        Self {
            offset,
            tokens: None,
        }
    }

    /// What the caller has.
    #[must_use]
    pub fn offset(&self) -> StreamOffset {
        self.offset
    }

    /// The tokens that a new attempt goes on behind; none when it has to begin again, because an
    /// earlier entry delivered some.
    #[must_use]
    pub fn delivered_tokens(&self) -> Option<&[String]> {
        self.tokens.as_deref()
    }

    fn push(&mut self, text: &str) {
        self.offset.count += 1;
        self.offset.digest = self.offset.digest.extended(text);
        if let Some(tokens) = &mut self.tokens {
            tokens.push(text.to_owned());
        }
    }
}

/// How an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationSummary {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that the prefix cache held.
    pub cached_tokens: u32,
    /// Tokens of the answer.
    pub count: u32,
    /// Why it ended: `stop` or `length`.
    pub finish_reason: String,
}

/// Why an attempt can't be followed any longer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// A token before this one is lost.
    #[error("token {received} came where {expected} was due")]
    MissingToken {
        /// The index that was due.
        expected: u32,
        /// The index that came.
        received: u32,
    },
    /// The final mark counts other tokens than came.
    #[error("the final mark counts {counted} tokens where {received} came")]
    CountMismatch {
        /// The mark's count.
        counted: u32,
        /// Tokens that came.
        received: u32,
    },
    /// An answer that was begun again is another than the caller has.
    #[error("the answer, generated again, differs from what was delivered")]
    ContentMismatch,
    /// The engine gives up.
    #[error("the engine gave up: {0}")]
    EngineFailed(String),
}

/// What to do with an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamAction {
    /// Deliver this token; the progress counts it already.
    Deliver(String),
    /// Drop it: of another attempt, or a duplicate.
    Ignore,
    /// A token of this attempt that the caller has already.
    AlreadyDelivered,
    /// The answer is whole.
    Finished(GenerationSummary),
    /// Leave the attempt.
    Fail(StreamError),
}

/// Matches the events of one attempt.
///
/// Connections are pooled and engines resume and repeat, so events of an abandoned attempt can
/// come late or crossed. A caller would notice by words that are doubled, missing or somebody
/// else's. So an event counts only with its attempt, incarnation and index.
#[derive(Debug)]
pub struct StreamValidator {
    attempt: AttemptId,
    incarnation: IncarnationNumber,
    /// Index of the next token that this attempt shall give.
    next: u32,
    /// Tokens and their digest so far, while an answer is generated again.
    regeneration: Option<Regeneration>,
}

#[derive(Debug, Default)]
struct Regeneration {
    tokens: Vec<String>,
    digest: TextDigest,
}

impl StreamValidator {
    /// A matcher for an attempt that goes on behind what was delivered.
    #[must_use]
    pub fn continuing(
        attempt: AttemptId,
        incarnation: IncarnationNumber,
        progress: &ResponseProgress,
    ) -> Self {
        Self {
            attempt,
            incarnation,
            next: progress.offset.count,
            regeneration: None,
        }
    }

    /// A matcher for an attempt that generates the answer again from its first token.
    #[must_use]
    pub fn regenerating(attempt: AttemptId, incarnation: IncarnationNumber) -> Self {
        Self {
            attempt,
            incarnation,
            next: 0,
            regeneration: Some(Regeneration::default()),
        }
    }

    /// Takes an event and counts what is to be delivered into `progress`.
    pub fn accept(&mut self, progress: &mut ResponseProgress, event: StreamEvent) -> StreamAction {
        match event {
            StreamEvent::Token {
                attempt,
                incarnation,
                index,
                text,
            } => {
                if !self.belongs_to_attempt(&attempt, incarnation) || index < self.next {
                    return StreamAction::Ignore;
                }
                if index > self.next {
                    return StreamAction::Fail(StreamError::MissingToken {
                        expected: self.next,
                        received: index,
                    });
                }
                self.accept_token(progress, text)
            }
            StreamEvent::Done {
                attempt,
                incarnation,
                count,
                prompt_tokens,
                cached_tokens,
                finish_reason,
            } => {
                if !self.belongs_to_attempt(&attempt, incarnation) {
                    return StreamAction::Ignore;
                }
                if count != self.next || count != progress.offset.count {
                    return StreamAction::Fail(StreamError::CountMismatch {
                        counted: count,
                        received: self.next,
                    });
                }
                StreamAction::Finished(GenerationSummary {
                    prompt_tokens,
                    cached_tokens,
                    count,
                    finish_reason,
                })
            }
            StreamEvent::Failed { attempt, reason } => {
                if attempt != self.attempt {
                    return StreamAction::Ignore;
                }
                StreamAction::Fail(StreamError::EngineFailed(reason))
            }
        }
    }

    fn belongs_to_attempt(&self, attempt: &AttemptId, incarnation: IncarnationNumber) -> bool {
        *attempt == self.attempt && incarnation == self.incarnation
    }

    fn accept_token(&mut self, progress: &mut ResponseProgress, text: String) -> StreamAction {
        self.next += 1;
        let Some(regeneration) = &mut self.regeneration else {
            progress.push(&text);
            return StreamAction::Deliver(text);
        };
        regeneration.digest = regeneration.digest.extended(&text);
        regeneration.tokens.push(text);
        if self.next < progress.offset.count {
            return StreamAction::AlreadyDelivered;
        }
        if regeneration.digest != progress.offset.digest {
            return StreamAction::Fail(StreamError::ContentMismatch);
        }
        progress.tokens = Some(std::mem::take(&mut regeneration.tokens));
        self.regeneration = None;
        StreamAction::AlreadyDelivered
    }
}
