//! Cutting a stream into whole events.

use cases::properties;
use serving::EventSplitter;

fn stream(ids: impl IntoIterator<Item = u64>) -> Vec<u8> {
    let mut out = Vec::new();
    for id in ids {
        out.extend_from_slice(format!("id: {id}\ndata: piece {id}\n\n").as_bytes());
    }
    out
}

fn joined(splitter: &mut EventSplitter, bytes: &[u8]) -> Vec<u8> {
    let events = splitter.push(bytes).expect("small events");
    events.map(|events| events.to_vec()).unwrap_or_default()
}

/// An engine dies in the middle of an event. The half is never passed on: joined with the next
/// engine's first event, it would show the caller a piece that nobody made.
#[test]
fn half_event_kept_back() {
    let mut splitter = EventSplitter::default();
    let mut bytes = stream(1..=2);
    bytes.extend_from_slice(b"id: 3\ndata: pie");
    assert_eq!(joined(&mut splitter, &bytes), stream(1..=2));
    assert!(splitter.has_partial());
    splitter.drop_partial();
    assert_eq!(joined(&mut splitter, &stream(3..=4)), stream(3..=4));
    assert_eq!(splitter.last_id(), Some(4));
}

/// The engine that goes on repeats events that the caller has.
#[test]
fn repeated_event_dropped() {
    let mut splitter = EventSplitter::after(Some(2));
    assert_eq!(joined(&mut splitter, &stream(1..=4)), stream(3..=4));
}

#[test]
fn endless_event_refused() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 600 << 10];
    assert!(splitter.push(&chunk).is_ok());
    assert!(splitter.push(&chunk).is_err());
}

properties! {
    /// However the network cuts a stream, its caller gets the same bytes.
    fn any_chunks(count: u8, cuts: Vec<u8>) -> bool {
        let bytes = stream(1..=u64::from(count));
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut rest = bytes.as_slice();
        for cut in cuts {
            let (first, later) = rest.split_at(usize::from(cut).min(rest.len()));
            out.extend(joined(&mut splitter, first));
            rest = later;
        }
        out.extend(joined(&mut splitter, rest));
        out == bytes && !splitter.has_partial()
    }

    /// No bytes make it panic.
    fn any_bytes(bytes: Vec<u8>) -> bool {
        EventSplitter::default().push(&bytes).is_ok()
    }
}
