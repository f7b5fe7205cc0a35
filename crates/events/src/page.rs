//! Rendering of the timeline as a self-contained HTML page, with one column per process.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::code::EventLevel;
use crate::record::EventRecord;
use crate::timeline::{TimelineView, format_subject, format_time_of_day};

const STYLE: &str = "body{font:13px system-ui;margin:16px}table{border-collapse:collapse}\
th{position:sticky;top:0;background:#fff;border-bottom:2px solid #444;text-align:left;padding:4px}\
td{border-bottom:1px solid #ddd;padding:3px 6px;vertical-align:top}\
.t{font-family:monospace;color:#555;white-space:nowrap}.c{font-weight:600}.s{color:#357}\
.debug{color:#666}.warn{background:#fff3d6}.error{background:#ffd9d6}.missing{color:#a00}";

/// Renders the timeline; nodes whose events are missing are listed above the table.
#[must_use]
pub fn timeline_page(view: &TimelineView) -> String {
    let columns = column_indices(view);
    let mut html = String::new();
    let _ = write!(
        html,
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">\
<title>bramleyspring timeline</title><style>{STYLE}</style></head><body>\
<h1>Timeline</h1><p>{} events of {} processes, times in UTC.</p>",
        view.events.len(),
        columns.len(),
    );
    for (node, reason) in &view.missing {
        let (node, reason) = (escape_html(node), escape_html(reason));
        let _ = write!(
            html,
            "<p class=\"missing\">{node} returned no events: {reason}</p>"
        );
    }
    html.push_str("<table><thead><tr><th>time</th>");
    for node in columns.keys() {
        let _ = write!(html, "<th>{}</th>", escape_html(node));
    }
    html.push_str("</tr></thead><tbody>");
    for event in &view.events {
        write_row(&mut html, event, &columns);
    }
    html.push_str("</tbody></table></body></html>\n");
    html
}

fn column_indices(view: &TimelineView) -> BTreeMap<String, usize> {
    let mut columns = BTreeMap::new();
    for event in &view.events {
        columns.insert(event.node.to_string(), 0);
    }
    for (index, column) in columns.values_mut().enumerate() {
        *column = index;
    }
    columns
}

fn write_row(html: &mut String, event: &EventRecord, columns: &BTreeMap<String, usize>) {
    let column = columns
        .get(event.node.as_str())
        .copied()
        .unwrap_or_default();
    let level = match event.code.level() {
        EventLevel::Debug => "debug",
        EventLevel::Info => "info",
        EventLevel::Warn => "warn",
        EventLevel::Error => "error",
    };
    let _ = write!(
        html,
        "<tr><td class=\"t\">{}</td>",
        format_time_of_day(event.timestamp.millis)
    );
    for _ in 0..column {
        html.push_str("<td></td>");
    }
    let _ = write!(
        html,
        "<td class=\"{level}\"><span class=\"c\">{} {}</span> <span class=\"s\">{}</span><br>{}</td>",
        event.code.number(),
        event.code.name(),
        escape_html(&format_subject(event)),
        escape_html(&event.detail),
    );
    for _ in column + 1..columns.len() {
        html.push_str("<td></td>");
    }
    html.push_str("</tr>");
}

/// Escapes text for HTML, because event details may contain what a client sent.
fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
