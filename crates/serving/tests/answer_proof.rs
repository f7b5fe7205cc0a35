//! Which responses count as those of their target.

use serving::RouteKind;
use serving::answer_proof::{AnswerMarks, AnswerProof, ProofGap, RequestEcho};

fn marks(echo: RequestEcho, is_signed: bool, is_not_run: bool) -> AnswerMarks {
    AnswerMarks {
        echo,
        is_signed,
        is_not_run,
    }
}

/// Guards against a response that is believed without any mark, such as the 404 of a server that has taken
/// over a port and repeats the id of the request.
#[test]
fn echo_alone_proves_nothing() {
    for echo in [RequestEcho::Same, RequestEcho::Missing, RequestEcho::Other] {
        let proof = marks(echo, false, false).proof();
        assert!(matches!(proof, AnswerProof::Missing(_)), "{echo:?}");
    }
}

/// Guards against the answer to one request that is given to another.
#[test]
fn signature_needs_request() {
    let proof = |echo| marks(echo, true, false).proof();
    assert_eq!(proof(RequestEcho::Same), AnswerProof::Run);
    let missing = AnswerProof::Missing(ProofGap::NoRequest);
    assert_eq!(proof(RequestEcho::Missing), missing);
    let other = AnswerProof::Missing(ProofGap::OtherRequest);
    assert_eq!(proof(RequestEcho::Other), other);
}

/// Guards against a rejection of another request that passes for the promise that this one has not run.
#[test]
fn rejection_needs_request() {
    for is_signed in [false, true] {
        let proof = |echo| marks(echo, is_signed, true).proof();
        assert_eq!(proof(RequestEcho::Same), AnswerProof::NotRun);
        for echo in [RequestEcho::Missing, RequestEcho::Other] {
            assert!(matches!(proof(echo), AnswerProof::Missing(_)));
        }
    }
}

/// A request without an id can't be named by its answer.
#[test]
fn request_without_id() {
    assert_eq!(RequestEcho::of(None, None), RequestEcho::Same);
    assert_eq!(RequestEcho::of(Some("a"), None), RequestEcho::Other);
    assert_eq!(RequestEcho::of(Some("a"), Some("a")), RequestEcho::Same);
    assert_eq!(RequestEcho::of(Some("b"), Some("a")), RequestEcho::Other);
    assert_eq!(RequestEcho::of(None, Some("a")), RequestEcho::Missing);
}

/// Guards against a promise that reaches a client though its request ran, and against one that is withheld though it
/// is true or does no harm.
#[test]
fn promise_of_run_request() {
    let once = [
        RouteKind::NonIdempotent,
        RouteKind::Streaming { resumable: false },
    ];
    let again = [
        RouteKind::Idempotent,
        RouteKind::Streaming { resumable: true },
    ];
    for status in 100..=599 {
        let is_promise = [408, 421, 429, 503].contains(&status);
        assert_eq!(AnswerProof::Run.contradicts(status), is_promise, "{status}");
        for kind in once {
            assert_eq!(AnswerProof::Run.misleads(status, kind), is_promise);
            assert!(!AnswerProof::NotRun.misleads(status, kind));
        }
        for kind in again {
            assert!(!AnswerProof::Run.misleads(status, kind));
        }
    }
}
