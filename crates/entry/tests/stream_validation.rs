//! Whole answers out of duplicated, late, crossed and lost events, by the real state machine.

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

/// What the network does with one event of an attempt.
#[derive(Debug, Clone, Copy)]
enum EventFate {
    Kept,
    Doubled,
    Lost,
    /// An event of an abandoned attempt comes first.
    AfterStranger,
    /// An event of the same attempt's older incarnation comes first.
    AfterOlder,
    /// The event before it comes once more.
    AfterRepeat,
    /// The connection breaks here.
    Broken,
}

impl Arbitrary for EventFate {
    fn arbitrary(source: &mut Gen) -> Self {
        let fates = [
            Self::Kept,
            Self::Kept,
            Self::Kept,
            Self::Kept,
            Self::Doubled,
            Self::Lost,
            Self::AfterStranger,
            Self::AfterOlder,
            Self::AfterRepeat,
            Self::Broken,
        ];
        *source.choose(&fates).expect("not empty")
    }
}

/// A caller with its answer so far.
#[derive(Default)]
struct Caller {
    text: Vec<String>,
    finished: bool,
}

enum AttemptOutcome {
    Finished,
    Left,
}

/// Feeds the events of one attempt, as the network leaves them, to the state machine.
fn run_attempt(
    number: usize,
    length: u32,
    fates: &[EventFate],
    progress: &mut ResponseProgress,
    caller: &mut Caller,
) -> AttemptOutcome {
    let incarnation = number as u64 + 1;
    let own = IncarnationNumber(incarnation);
    let (mut validator, from) = if progress.delivered_tokens().is_some() {
        let from = progress.offset().count;
        (
            StreamValidator::continuing(attempt(number), own, progress),
            from,
        )
    } else {
        (StreamValidator::regenerating(attempt(number), own), 0)
    };
    let mut events = Vec::new();
    for index in from..=length {
        let event = if index == length {
            done(number, incarnation, length)
        } else {
            token(number, incarnation, index, word(index))
        };
        let fate = fates.get((index - from) as usize);
        match fate.copied().unwrap_or(EventFate::Kept) {
            EventFate::Kept => events.push(event),
            EventFate::Doubled => events.extend([event.clone(), event]),
            EventFate::Lost => {}
            EventFate::AfterStranger => {
                events.push(token(
                    number + 7,
                    incarnation,
                    index,
                    "stranger ".to_owned(),
                ));
                events.push(done(number + 7, incarnation, index));
                events.push(event);
            }
            EventFate::AfterOlder => {
                events.push(token(number, incarnation - 1, index, "older ".to_owned()));
                events.push(event);
            }
            EventFate::AfterRepeat => {
                let before = index.saturating_sub(1);
                events.push(token(number, incarnation, before, word(before)));
                events.push(event);
            }
            EventFate::Broken => break,
        }
    }
    for event in events {
        match validator.accept(progress, event) {
            StreamAction::Deliver(text) => caller.text.push(text),
            StreamAction::Ignore | StreamAction::AlreadyDelivered => {}
            StreamAction::Finished(end) => {
                assert_eq!(end.count, length);
                caller.finished = true;
                return AttemptOutcome::Finished;
            }
            StreamAction::Fail(_) => return AttemptOutcome::Left,
        }
    }
    AttemptOutcome::Left
}

fn whole_answer(length: u32) -> Vec<String> {
    (0..length).map(word).collect()
}

/// Connections break, events come twice, late from an abandoned attempt, or not at all. A caller
/// sees the words of its own answer, each once and in order, and an end only after the last.
#[test]
fn whole_or_prefix() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the library hands values over"
    )]
    fn property(length: u8, attempts: Vec<Vec<EventFate>>) -> TestResult {
        let length = u32::from(length % 24);
        let whole = whole_answer(length);
        let mut progress = ResponseProgress::default();
        let mut caller = Caller::default();
        for (number, fates) in attempts.iter().enumerate() {
            if let AttemptOutcome::Finished =
                run_attempt(number, length, fates, &mut progress, &mut caller)
            {
                break;
            }
            if !whole.starts_with(&caller.text) {
                return TestResult::error(format!("{:?}", caller.text));
            }
        }
        if caller.finished {
            return TestResult::from_bool(caller.text == whole);
        }
        // An undisturbed attempt always finishes what is left.
        run_attempt(attempts.len(), length, &[], &mut progress, &mut caller);
        TestResult::from_bool(caller.finished && caller.text == whole)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(CASE_SIZE, SEED))
        .tests(CASES)
        .quickcheck(property as fn(u8, Vec<Vec<EventFate>>) -> TestResult);
}

/// The entry that began a stream dies; another one knows only how much the caller has and its
/// digest. The caller gets the rest of the same answer, each word once.
#[test]
fn resumed_elsewhere() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the library hands values over"
    )]
    fn property(length: u8, have: u8, attempts: Vec<Vec<EventFate>>) -> TestResult {
        let length = u32::from(length % 24) + 1;
        let have = u32::from(have) % (length + 1);
        let whole = whole_answer(length);
        let offset = offset_of(&whole[..have as usize]);
        let mut progress = ResponseProgress::resumed(offset);
        let mut caller = Caller::default();
        for (number, fates) in attempts.iter().enumerate() {
            if let AttemptOutcome::Finished =
                run_attempt(number, length, fates, &mut progress, &mut caller)
            {
                break;
            }
        }
        if !caller.finished {
            run_attempt(attempts.len(), length, &[], &mut progress, &mut caller);
        }
        TestResult::from_bool(caller.finished && caller.text == whole[have as usize..])
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(CASE_SIZE, SEED + 1))
        .tests(CASES)
        .quickcheck(property as fn(u8, u8, Vec<Vec<EventFate>>) -> TestResult);
}

fn offset_of(tokens: &[String]) -> StreamOffset {
    let mut digest = TextDigest::default();
    for token in tokens {
        digest = digest.extended(token);
    }
    StreamOffset {
        count: u32::try_from(tokens.len()).expect("few"),
        digest,
    }
}

/// A replica with other weights generates another text for the same request. A caller that goes
/// on there would get an answer of two halves that don't fit; it must get an error instead.
#[test]
fn other_text() {
    let offset = offset_of(&["other ".to_owned(), word(1)]);
    let mut progress = ResponseProgress::resumed(offset);
    let mut validator = StreamValidator::regenerating(attempt(0), IncarnationNumber(1));
    let first = validator.accept(&mut progress, token(0, 1, 0, word(0)));
    assert_eq!(first, StreamAction::AlreadyDelivered);
    let second = validator.accept(&mut progress, token(0, 1, 1, word(1)));
    assert_eq!(second, StreamAction::Fail(StreamError::ContentMismatch));
}

/// A final mark comes though tokens are missing. Taken for the end, the caller would believe that
/// half an answer is the whole.
#[test]
fn early_mark() {
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
