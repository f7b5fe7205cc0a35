//! Delivery progress of a response, and validation of an attempt's events against it.
//!
//! Free of I/O, so that the property tests run the same state machine.

use domain::{AttemptId, IncarnationNumber};
use wire::engine::StreamEvent;

use crate::digest::TextDigest;
use crate::token::StreamOffset;

/// Part of a response that the client has received, over all attempts and entries.
#[derive(Debug, Clone)]
pub struct ResponseProgress {
    offset: StreamOffset,
    /// Text of the received tokens; none if another entry delivered some, since the resume token
    /// contains only their digest.
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
    /// Creates the progress of a client that resumes a stream.
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

    /// Returns the count and digest of the received tokens.
    #[must_use]
    pub fn offset(&self) -> StreamOffset {
        self.offset
    }

    /// Returns the tokens that a new attempt continues from. None if the attempt must regenerate
    /// the response from the start, because another entry delivered some of the tokens.
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

/// Result of a completed generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationSummary {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of prompt tokens that the engine's prefix cache held.
    pub cached_tokens: u32,
    /// Number of generated tokens, over all attempts.
    pub count: u32,
    /// Why the generation ended: `stop` or `length`.
    pub finish_reason: String,
}

/// Why an attempt can't be continued.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// A token is missing.
    #[error("expected token {expected}, received token {received}")]
    MissingToken {
        /// Index that was expected.
        expected: u32,
        /// Index that was received.
        received: u32,
    },
    /// The final event reports another number of tokens than were received.
    #[error("the final event reports {counted} tokens, but {received} were received")]
    CountMismatch {
        /// Count in the final event.
        counted: u32,
        /// Number of tokens received.
        received: u32,
    },
    /// The regenerated response differs from the text that the client has received.
    #[error("the regenerated response differs from the text already delivered")]
    ContentMismatch,
    /// The engine reported a failure.
    #[error("the engine reported a failure: {0}")]
    EngineFailed(String),
}

/// Action to take for an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamAction {
    /// Deliver the token, which the progress already includes.
    Deliver(String),
    /// Ignore the event: it belongs to another attempt or is a duplicate.
    Ignore,
    /// Nothing to deliver, since the client has this token; the event proves that the attempt is
    /// alive.
    AlreadyDelivered,
    /// The response is complete.
    Finished(GenerationSummary),
    /// Abandon the attempt.
    Fail(StreamError),
}

/// Validates the events of one attempt.
///
/// Connections are pooled, and engines resume and repeat streams, so events of an abandoned attempt
/// can arrive late or on another attempt's connection. Clients would then see text that is
/// duplicated, missing or part of another response. An event is therefore only accepted with the
/// expected attempt, incarnation and index.
#[derive(Debug)]
pub struct StreamValidator {
    attempt: AttemptId,
    incarnation: IncarnationNumber,
    /// Index of the next token expected from this attempt.
    next: u32,
    /// Tokens regenerated so far, while the attempt catches up with the progress.
    regeneration: Option<Regeneration>,
}

#[derive(Debug, Default)]
struct Regeneration {
    tokens: Vec<String>,
    digest: TextDigest,
}

impl StreamValidator {
    /// Creates a validator for an attempt that continues after the delivered tokens.
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

    /// Creates a validator for an attempt that regenerates the response from its first token.
    #[must_use]
    pub fn regenerating(attempt: AttemptId, incarnation: IncarnationNumber) -> Self {
        Self {
            attempt,
            incarnation,
            next: 0,
            regeneration: Some(Regeneration::default()),
        }
    }

    /// Validates an event, and adds the token to `progress` if it has to be delivered.
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
