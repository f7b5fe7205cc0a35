//! Prints the contents of docs/EVENTS.md.

fn main() {
    print!("{}", events::code::events_page());
}
