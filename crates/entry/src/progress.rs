//! How much of an answer was delivered, and matching the events of attempts against it.
//!
//! No I/O: the same state machine runs under the property tests.

use domain::{AttemptId, IncarnationNumber};
use wire::engine::StreamEvent;

use crate::digest::TextDigest;
use crate::token::StreamOffset;

/// What a caller has of an answer, over all attempts and entries.
#[derive(Debug, Clone)]
pub struct AnswerProgress {
    offset: StreamOffset,
    /// The tokens; none when an earlier entry delivered some, of which only the digest is known.
    tokens: Option<Vec<String>>,
}

impl Default for AnswerProgress {
    fn default() -> Self {
        Self {
            offset: StreamOffset::default(),
            tokens: Some(Vec::new()),
        }
    }
}

impl AnswerProgress {
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
    pub fn known_tokens(&self) -> Option<&[String]> {
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
pub struct AnswerEnd {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that the prefix cache held.
    pub cached_tokens: u32,
    /// Tokens of the answer.
    pub count: u32,
    /// Why it ended: `stop` or `length`.
    pub finish: String,
}

/// Why an attempt can't be followed any longer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MatchFault {
    /// A token before this one is lost.
    #[error("token {got} came where {wanted} was due")]
    Gap {
        /// The index that was due.
        wanted: u32,
        /// The index that came.
        got: u32,
    },
    /// The final mark counts other tokens than came.
    #[error("the final mark counts {counted} tokens where {got} came")]
    WrongCount {
        /// The mark's count.
        counted: u32,
        /// Tokens that came.
        got: u32,
    },
    /// An answer that was begun again is another than the caller has.
    #[error("the answer, generated again, differs from what was delivered")]
    TextDiffers,
    /// The engine gives up.
    #[error("the engine gave up: {0}")]
    GivenUp(String),
}

/// What to do with an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MatchStep {
    /// Deliver this token; the progress counts it already.
    Deliver(String),
    /// Drop it: of another attempt, or a duplicate.
    Drop,
    /// A token of this attempt that the caller has already.
    Known,
    /// The answer is whole.
    Finished(AnswerEnd),
    /// Leave the attempt.
    Fault(MatchFault),
}

/// Matches the events of one attempt.
///
/// Connections are pooled and engines resume and repeat, so events of an abandoned attempt can
/// come late or crossed. A caller would notice by words that are doubled, missing or somebody
/// else's. So an event counts only with its attempt, incarnation and index.
#[derive(Debug)]
pub struct StreamMatcher {
    attempt: AttemptId,
    incarnation: IncarnationNumber,
    /// Index of the next token that this attempt shall give.
    next: u32,
    /// Tokens and their digest so far, while an answer is generated again.
    again: Option<AgainState>,
}

#[derive(Debug, Default)]
struct AgainState {
    tokens: Vec<String>,
    digest: TextDigest,
}

impl StreamMatcher {
    /// A matcher for an attempt that goes on behind what was delivered.
    #[must_use]
    pub fn behind(
        attempt: AttemptId,
        incarnation: IncarnationNumber,
        progress: &AnswerProgress,
    ) -> Self {
        Self {
            attempt,
            incarnation,
            next: progress.offset.count,
            again: None,
        }
    }

    /// A matcher for an attempt that generates the answer again from its first token.
    #[must_use]
    pub fn again(attempt: AttemptId, incarnation: IncarnationNumber) -> Self {
        Self {
            attempt,
            incarnation,
            next: 0,
            again: Some(AgainState::default()),
        }
    }

    /// Takes an event and counts what is to be delivered into `progress`.
    pub fn take(&mut self, progress: &mut AnswerProgress, event: StreamEvent) -> MatchStep {
        match event {
            StreamEvent::Token {
                attempt,
                incarnation,
                index,
                text,
            } => {
                if !self.is_own(&attempt, incarnation) || index < self.next {
                    return MatchStep::Drop;
                }
                if index > self.next {
                    return MatchStep::Fault(MatchFault::Gap {
                        wanted: self.next,
                        got: index,
                    });
                }
                self.take_token(progress, text)
            }
            StreamEvent::Done {
                attempt,
                incarnation,
                count,
                prompt_tokens,
                cached_tokens,
                finish,
            } => {
                if !self.is_own(&attempt, incarnation) {
                    return MatchStep::Drop;
                }
                if count != self.next || count != progress.offset.count {
                    return MatchStep::Fault(MatchFault::WrongCount {
                        counted: count,
                        got: self.next,
                    });
                }
                MatchStep::Finished(AnswerEnd {
                    prompt_tokens,
                    cached_tokens,
                    count,
                    finish,
                })
            }
            StreamEvent::Failed { attempt, reason } => {
                if attempt != self.attempt {
                    return MatchStep::Drop;
                }
                MatchStep::Fault(MatchFault::GivenUp(reason))
            }
        }
    }

    fn is_own(&self, attempt: &AttemptId, incarnation: IncarnationNumber) -> bool {
        *attempt == self.attempt && incarnation == self.incarnation
    }

    fn take_token(&mut self, progress: &mut AnswerProgress, text: String) -> MatchStep {
        self.next += 1;
        let Some(again) = &mut self.again else {
            progress.push(&text);
            return MatchStep::Deliver(text);
        };
        again.digest = again.digest.extended(&text);
        again.tokens.push(text);
        if self.next < progress.offset.count {
            return MatchStep::Known;
        }
        if again.digest != progress.offset.digest {
            return MatchStep::Fault(MatchFault::TextDiffers);
        }
        progress.tokens = Some(std::mem::take(&mut again.tokens));
        self.again = None;
        MatchStep::Known
    }
}
