//! The catalogue of events: its numbers, its names and its page.

use std::collections::HashSet;

use events::EventCode;

#[test]
fn page_current() {
    let page = include_str!("../../../docs/EVENTS.md");
    assert!(
        page == events::code::events_page(),
        "docs/EVENTS.md is not what the catalogue says: cargo run -p events --example page"
    );
}

/// Two events under one number: an operator's alarm fires for the wrong one.
#[test]
fn numbers_unique() {
    let numbers: HashSet<u16> = EventCode::ALL.iter().map(|code| code.number()).collect();
    let names: HashSet<&str> = EventCode::ALL.iter().map(|code| code.name()).collect();
    assert_eq!(numbers.len(), EventCode::ALL.len());
    assert_eq!(names.len(), EventCode::ALL.len());
}

#[test]
fn numbers_rise() {
    let numbers: Vec<u16> = EventCode::ALL.iter().map(|code| code.number()).collect();
    assert!(
        numbers.windows(2).all(|pair| pair[0] < pair[1]),
        "{numbers:?}"
    );
}
