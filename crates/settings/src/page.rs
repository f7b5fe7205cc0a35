//! Renders the catalogue as a page of the documentation.

use std::fmt::Write;

use crate::catalogue::{SECTIONS, fields, section_description};

/// Returns the content of docs/SETTINGS.md.
#[must_use]
pub fn settings_page() -> String {
    let mut out = String::from(
        "# Settings\n\n\
A node reads one JSON file: `bramleyspring serve --settings FILE`. `bramleyspring check --settings \
FILE` validates it without serving and reports all findings with their JSON paths. Durations are \
written as `250ms`, `3s` or `2m`, sizes as `64KiB` or `4MiB`. Unknown keys are errors. This page is \
generated from the catalogue in the crate `settings`; a test checks that it is up to date.\n",
    );
    write_section(&mut out, "", "Top level");
    for section in SECTIONS {
        let _ = write!(
            out,
            "\n## `{section}`\n\n{}\n",
            section_description(section)
        );
        write_section(&mut out, section, "");
    }
    out
}

fn write_section(out: &mut String, section: &str, title: &str) {
    if !title.is_empty() {
        let _ = write!(out, "\n## {title}\n");
    }
    out.push_str("\n| Key | Default | Value | Description |\n|---|---|---|---|\n");
    for field in fields().filter(|field| field.section == section) {
        let default = match (field.required, field.default) {
            (true, _) => "required".to_owned(),
            (false, Some(text)) => format!("`{text}`"),
            (false, None) => "none".to_owned(),
        };
        let _ = writeln!(
            out,
            "| `{}` | {default} | {} | {} |",
            field.key,
            field.advice().trim_start_matches("write "),
            field.description,
        );
    }
}
