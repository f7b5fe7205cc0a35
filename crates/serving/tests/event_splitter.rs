//! Splitting a stream into complete events.

use cases::properties;
use serving::EventSplitter;

fn stream(ids: impl IntoIterator<Item = u64>) -> Vec<u8> {
    let mut out = Vec::new();
    for id in ids {
        out.extend_from_slice(format!("id: {id}\ndata: piece {id}\n\n").as_bytes());
    }
    out
}

fn push(splitter: &mut EventSplitter, bytes: &[u8]) -> Vec<u8> {
    let events = splitter.push(bytes).expect("small events");
    events.map(|events| events.to_vec()).unwrap_or_default()
}

/// An engine crashes in the middle of an event. If the partial event were forwarded, it would merge
/// with the first event of the next engine into one that no engine sent.
#[test]
fn partial_event_not_forwarded() {
    let mut splitter = EventSplitter::default();
    let mut bytes = stream(1..=2);
    bytes.extend_from_slice(b"id: 3\ndata: pie");
    assert_eq!(push(&mut splitter, &bytes), stream(1..=2));
    assert!(splitter.has_partial());
    splitter.drop_partial();
    assert_eq!(push(&mut splitter, &stream(3..=4)), stream(3..=4));
    assert_eq!(splitter.last_id(), Some(4));
}

/// An engine that resumes a stream may repeat events that the client already has.
#[test]
fn repeated_event_dropped() {
    let mut splitter = EventSplitter::after(Some(2));
    assert_eq!(push(&mut splitter, &stream(1..=4)), stream(3..=4));
}

#[test]
fn oversized_event_rejected() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 600 << 10];
    assert!(splitter.push(&chunk).is_ok());
    assert!(splitter.push(&chunk).is_err());
}

/// Guards against work that grows with the square of an event that never ends: in pieces of a byte, as an
/// engine may send it, a stream would occupy the node's only thread for minutes.
#[test]
fn endless_event_in_small_pieces() {
    let mut splitter = EventSplitter::default();
    let pieces = (0..2 << 20).take_while(|_| splitter.push(b"x").is_ok());
    assert_eq!(pieces.count(), 1 << 20);
    let mut splitter = EventSplitter::default();
    let lines = (0..2 << 20).take_while(|_| splitter.push(b"x\n").is_ok());
    assert_eq!(lines.count(), 1 << 19);
}

/// Guards against a stream of comments, empty lines, repeated events or events without an id that never ends: nothing of it
/// brings the client further.
#[test]
fn endless_events_without_id() {
    for piece in [&b"\n"[..], b": comment\n\n", b"data: x\n\n", b"id: 2\n\n"] {
        let mut splitter = EventSplitter::default();
        push(&mut splitter, &stream(1..=2));
        let pieces = (0..4 << 20).take_while(|_| splitter.push(piece).is_ok());
        assert_eq!(pieces.count(), (1 << 20) / piece.len());
    }
}

properties! {
    /// However the network splits a stream into chunks, the client gets the same bytes.
    fn any_chunks(count: u8, cuts: Vec<u8>) -> bool {
        let bytes = stream(1..=u64::from(count));
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut rest = bytes.as_slice();
        for cut in cuts {
            let (first, later) = rest.split_at(usize::from(cut).min(rest.len()));
            out.extend(push(&mut splitter, first));
            rest = later;
        }
        out.extend(push(&mut splitter, rest));
        out == bytes && !splitter.has_partial()
    }

    /// No input makes the splitter panic.
    fn any_bytes(bytes: Vec<u8>) -> bool {
        EventSplitter::default().push(&bytes).is_ok()
    }
}
