//! The event catalog: numbers, names and documentation page.

use std::collections::HashSet;

use events::EventCode;

#[test]
fn page_is_up_to_date() {
    let page = include_str!("../../../docs/EVENTS.md");
    assert!(
        page == events::code::events_page(),
        "docs/EVENTS.md is out of date: run cargo run -p events --example page"
    );
}

/// If two events had the same number, an operator's alert would fire for the wrong one.
#[test]
fn numbers_and_names_are_unique() {
    let numbers: HashSet<u16> = EventCode::ALL.iter().map(|code| code.number()).collect();
    let names: HashSet<&str> = EventCode::ALL.iter().map(|code| code.name()).collect();
    assert_eq!(numbers.len(), EventCode::ALL.len());
    assert_eq!(names.len(), EventCode::ALL.len());
}

#[test]
fn numbers_increase() {
    let numbers: Vec<u16> = EventCode::ALL.iter().map(|code| code.number()).collect();
    assert!(
        numbers.windows(2).all(|pair| pair[0] < pair[1]),
        "{numbers:?}"
    );
}
