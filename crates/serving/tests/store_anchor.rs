//! When a response of the store was built at the earliest.

use std::time::Duration;

use quickcheck::{TestResult, quickcheck};
use serving::feed::{ClockWatch, StoreAnchor};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a response that the store built early and that waited for a paused process: it does not
/// count as built when it was read.
#[test]
fn waiting_response_keeps_its_time() {
    let mut anchor = StoreAnchor::default();
    assert_eq!(anchor.place(1, (ms(100), ms(104)), ms(5000)), ms(100));
    // Built 120 ms after the start of the call, read 1.1 s after it.
    let placed = anchor.place(1, (ms(1000), ms(2100)), ms(6020));
    assert!(placed <= ms(1120), "{placed:?}");
    assert!(placed >= ms(1115), "{placed:?}");
}

/// Guards against polls that the store held to their end and that count from their start all the same:
/// a node without changes would take its configuration for out of date.
#[test]
fn held_poll_counts_from_its_end() {
    let mut anchor = StoreAnchor::default();
    anchor.place(1, (ms(100), ms(104)), ms(5002));
    for poll in 0..100 {
        let started = 200 + poll * 1005;
        let placed = anchor.place(
            1,
            (ms(started), ms(started + 1004)),
            ms(started + 4902 + 1001),
        );
        assert!(placed >= ms(started + 940), "poll {poll}: {placed:?}");
    }
}

/// Guards against a store's clock that is set forward or back, which must not make a response younger.
#[test]
fn stepped_clock() {
    let mut anchor = StoreAnchor::default();
    anchor.place(1, (ms(100), ms(104)), ms(5000));
    assert_eq!(anchor.place(1, (ms(1000), ms(1010)), ms(9000)), ms(1000));
    let placed = anchor.place(1, (ms(2000), ms(3010)), ms(11_000));
    assert!(placed >= ms(2990) && placed <= ms(3010), "{placed:?}");
    assert_eq!(anchor.place(1, (ms(4000), ms(5000)), ms(100)), ms(4000));
}

/// Guards against a store that moves to a machine whose clock is ahead: an early response that waited would
/// look as if it had been held.
#[test]
fn other_connection_starts_anew() {
    let mut anchor = StoreAnchor::default();
    anchor.place(1, (ms(100), ms(104)), ms(5000));
    // Built 120 ms after the start of the call by a clock that is 800 ms ahead, read 1.1 s after it.
    assert_eq!(anchor.place(2, (ms(1000), ms(2100)), ms(6820)), ms(1000));
    // The same machine held this one for a second.
    anchor.place(2, (ms(2200), ms(2204)), ms(7900));
    let placed = anchor.place(2, (ms(2300), ms(3310)), ms(9000));
    assert!(placed >= ms(3290) && placed <= ms(3310), "{placed:?}");
}

/// Guards against a clock that is set forward without a word, and against words where a response was only read
/// late.
#[test]
fn steps_are_told() {
    let mut watch = ClockWatch::default();
    assert_eq!(watch.step(ms(100), ms(5000)), None);
    assert_eq!(watch.step(ms(1100), ms(6001)), None);
    assert_eq!(
        watch.step(ms(4100), ms(7000)),
        None,
        "read two seconds late"
    );
    assert_eq!(watch.step(ms(4200), ms(9100)), None);
    assert_eq!(watch.step(ms(5200), ms(10_901)), Some(ms(800)));
    assert_eq!(watch.step(ms(6200), ms(11_901)), None);
}

/// However calls overlap and responses wait, none is placed after the time at which it was built.
#[test]
fn never_too_late() {
    fn property(offset: u16, calls: Vec<(u16, u16, u16, u16)>) -> TestResult {
        let mut anchor = StoreAnchor::default();
        let mut now = 0;
        for (pause, way, held, waited) in calls {
            now += u64::from(pause);
            let built = now + u64::from(way) + u64::from(held);
            let read = built + u64::from(waited);
            let placed = anchor.place(1, (ms(now), ms(read)), ms(u64::from(offset) + built));
            if placed > ms(built) || placed < ms(now) {
                return TestResult::failed();
            }
            now = read;
        }
        TestResult::passed()
    }
    quickcheck(property as fn(u16, Vec<(u16, u16, u16, u16)>) -> TestResult);
}
