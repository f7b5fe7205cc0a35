//! Telling connections that others have got their places.

use std::time::Duration;

use intake::{ConnectionPlaces, ConnectionState};

/// Time within which a connection learns that it is to be closed; only failing tests reach it.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against a connection that stays open, with its descriptor, after another one has got its place: nobody tells
/// it if the new one takes over its entry first.
#[tokio::test]
async fn displaced_is_told() {
    let places = ConnectionPlaces::new(1);
    let first = places.admit().place.expect("a place");
    let admission = places.admit();
    assert_eq!(admission.displaced, Some(ConnectionState::Unproven));
    let told = tokio::time::timeout(TIMEOUT, first.displaced()).await;
    assert!(told.is_ok());
    let report = places.take_report().expect("a report");
    assert_eq!((report.unproven, report.refused), (1, 0));
}

/// Guards against a place that is not given back when its connection ends, and against reports without end.
#[tokio::test]
async fn place_given_back() {
    let places = ConnectionPlaces::new(1);
    let place = places.admit().place.expect("a place");
    place.set_state(ConnectionState::Busy);
    assert!(places.admit().place.is_none());
    assert_eq!(places.take_report().map(|report| report.refused), Some(1));
    assert!(places.admit().place.is_none());
    assert_eq!(places.take_report(), None, "the last report was just now");
    drop(place);
    assert!(places.admit().place.is_some());
}
