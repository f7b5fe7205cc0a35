//! Prints docs/SETTINGS.md.

fn main() {
    print!("{}", settings::page::settings_page());
}
