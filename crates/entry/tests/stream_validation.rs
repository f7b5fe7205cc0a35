//! Validation of streams with duplicated, delayed, misdirected and lost events.

use domain::{AttemptId, IncarnationNumber};
use entry::digest::TextDigest;
use entry::progress::{ResponseProgress, StreamAction, StreamError, StreamValidator};
use entry::token::StreamOffset;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use wire::engine::StreamEvent;

const SEED: u64 = 0x5eed_0001;
const CASES: u64 = 400;
const CASE_SIZE: usize = 24;

fn attempt(number: usize) -> AttemptId {
    format!("e0.1.{number}").parse().expect("an id")
}

fn word(index: u32) -> String {
    format!("w{index} ")
}

fn token(number: usize, incarnation: u64, index: u32, text: String) -> StreamEvent {
    StreamEvent::Token {
        attempt: attempt(number),
        incarnation: IncarnationNumber(incarnation),
        index,
        text,
    }
}

fn done(number: usize, incarnation: u64, count: u32) -> StreamEvent {
    StreamEvent::Done {
        attempt: attempt(number),
        incarnation: IncarnationNumber(incarnation),
        count,
        prompt_tokens: 3,
        cached_tokens: 0,
        finish_reason: "length".to_owned(),
    }
}

/// Effect of the network on one event of an attempt.
#[derive(Debug, Clone, Copy)]
enum NetworkEffect {
    Delivered,
    Duplicated,
    Lost,
    /// Preceded by events of an abandoned attempt.
    AfterOtherAttempt,
    /// Preceded by an event of an older incarnation of the same attempt.
    AfterOldIncarnation,
    /// Preceded by a duplicate of the previous event.
    AfterDuplicate,
    /// The connection breaks before this event.
    Broken,
}

impl Arbitrary for NetworkEffect {
    fn arbitrary(source: &mut Gen) -> Self {
        let effects = [
            Self::Delivered,
            Self::Delivered,
            Self::Delivered,
            Self::Delivered,
            Self::Duplicated,
            Self::Lost,
            Self::AfterOtherAttempt,
            Self::AfterOldIncarnation,
            Self::AfterDuplicate,
            Self::Broken,
        ];
        *source.choose(&effects).expect("not empty")
    }
}

/// A client and the part of the response that it has received.
#[derive(Default)]
struct Client {
    text: Vec<String>,
    finished: bool,
}

enum AttemptEnd {
    Finished,
    Abandoned,
}

/// Passes the events of one attempt through the network to the validator.
fn run_attempt(
    number: usize,
    length: u32,
    effects: &[NetworkEffect],
    progress: &mut ResponseProgress,
    client: &mut Client,
) -> AttemptEnd {
    let incarnation = number as u64 + 1;
    let expected_incarnation = IncarnationNumber(incarnation);
    let (mut validator, from) = if progress.delivered_tokens().is_some() {
        let from = progress.offset().count;
        (
            StreamValidator::continuing(attempt(number), expected_incarnation, progress),
            from,
        )
    } else {
        (
            StreamValidator::regenerating(attempt(number), expected_incarnation),
            0,
        )
    };
    let mut events = Vec::new();
    for index in from..=length {
        let event = if index == length {
            done(number, incarnation, length)
        } else {
            token(number, incarnation, index, word(index))
        };
        let effect = effects.get((index - from) as usize);
        match effect.copied().unwrap_or(NetworkEffect::Delivered) {
            NetworkEffect::Delivered => events.push(event),
            NetworkEffect::Duplicated => events.extend([event.clone(), event]),
            NetworkEffect::Lost => {}
            NetworkEffect::AfterOtherAttempt => {
                events.push(token(number + 7, incarnation, index, "other ".to_owned()));
                events.push(done(number + 7, incarnation, index));
                events.push(event);
            }
            NetworkEffect::AfterOldIncarnation => {
                events.push(token(number, incarnation - 1, index, "older ".to_owned()));
                events.push(event);
            }
            NetworkEffect::AfterDuplicate => {
                let before = index.saturating_sub(1);
                events.push(token(number, incarnation, before, word(before)));
                events.push(event);
            }
            NetworkEffect::Broken => break,
        }
    }
    for event in events {
        match validator.accept(progress, event) {
            StreamAction::Deliver(text) => client.text.push(text),
            StreamAction::Ignore | StreamAction::AlreadyDelivered => {}
            StreamAction::Finished(summary) => {
                assert_eq!(summary.count, length);
                client.finished = true;
                return AttemptEnd::Finished;
            }
            StreamAction::Fail(_) => return AttemptEnd::Abandoned,
        }
    }
    AttemptEnd::Abandoned
}

fn complete_response(length: u32) -> Vec<String> {
    (0..length).map(word).collect()
}

/// Connections break, and events are duplicated, lost or delayed from an abandoned attempt. The
/// client must receive each token of its response once and in order, and the end only after the
/// last token.
#[test]
fn complete_or_prefix() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes arguments by value"
    )]
    fn property(length: u8, attempts: Vec<Vec<NetworkEffect>>) -> TestResult {
        let length = u32::from(length % 24);
        let complete = complete_response(length);
        let mut progress = ResponseProgress::default();
        let mut client = Client::default();
        for (number, effects) in attempts.iter().enumerate() {
            if let AttemptEnd::Finished =
                run_attempt(number, length, effects, &mut progress, &mut client)
            {
                break;
            }
            if !complete.starts_with(&client.text) {
                return TestResult::error(format!("{:?}", client.text));
            }
        }
        if client.finished {
            return TestResult::from_bool(client.text == complete);
        }
        // An undisturbed attempt always completes the response.
        run_attempt(attempts.len(), length, &[], &mut progress, &mut client);
        TestResult::from_bool(client.finished && client.text == complete)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(CASE_SIZE, SEED))
        .tests(CASES)
        .quickcheck(property as fn(u8, Vec<Vec<NetworkEffect>>) -> TestResult);
}

/// The entry that started a stream fails. Another entry only knows the number and the digest of the
/// tokens that the client has received. The client must receive the rest of the same response, each
/// token once.
#[test]
fn resumed_at_another_entry() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes arguments by value"
    )]
    fn property(length: u8, received_count: u8, attempts: Vec<Vec<NetworkEffect>>) -> TestResult {
        let length = u32::from(length % 24) + 1;
        let received_count = u32::from(received_count) % (length + 1);
        let complete = complete_response(length);
        let offset = offset_of(&complete[..received_count as usize]);
        let mut progress = ResponseProgress::resumed(offset);
        let mut client = Client::default();
        for (number, effects) in attempts.iter().enumerate() {
            if let AttemptEnd::Finished =
                run_attempt(number, length, effects, &mut progress, &mut client)
            {
                break;
            }
        }
        if !client.finished {
            run_attempt(attempts.len(), length, &[], &mut progress, &mut client);
        }
        TestResult::from_bool(client.finished && client.text == complete[received_count as usize..])
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(CASE_SIZE, SEED + 1))
        .tests(CASES)
        .quickcheck(property as fn(u8, u8, Vec<Vec<NetworkEffect>>) -> TestResult);
}

fn offset_of(tokens: &[String]) -> StreamOffset {
    let mut digest = TextDigest::default();
    for token in tokens {
        digest = digest.extended(token);
    }
    StreamOffset {
        count: u32::try_from(tokens.len()).expect("a small number"),
        digest,
    }
}

/// A replica with other weights generates different text for the same request. A client that
/// resumes there must receive an error, since the two parts would not match.
#[test]
fn regenerated_text_differs() {
    let offset = offset_of(&["other ".to_owned(), word(1)]);
    let mut progress = ResponseProgress::resumed(offset);
    let mut validator = StreamValidator::regenerating(attempt(0), IncarnationNumber(1));
    let first = validator.accept(&mut progress, token(0, 1, 0, word(0)));
    assert_eq!(first, StreamAction::AlreadyDelivered);
    let second = validator.accept(&mut progress, token(0, 1, 1, word(1)));
    assert_eq!(second, StreamAction::Fail(StreamError::ContentMismatch));
}

/// The final event arrives while tokens are missing. If it were accepted, the client would take a
/// partial response for a complete one.
#[test]
fn premature_end() {
    let mut progress = ResponseProgress::default();
    let mut validator = StreamValidator::continuing(attempt(0), IncarnationNumber(1), &progress);
    let first = validator.accept(&mut progress, token(0, 1, 0, word(0)));
    assert_eq!(first, StreamAction::Deliver(word(0)));
    for count in [0, 2, 9] {
        let end = validator.accept(&mut progress, done(0, 1, count));
        assert!(
            matches!(end, StreamAction::Fail(StreamError::CountMismatch { .. })),
            "{end:?}"
        );
    }
}
