//! The time line as one self-contained HTML page with a lane for each process.

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

/// Writes the page.
#[must_use]
pub fn timeline_page(view: &TimelineView) -> String {
    let lanes = lane_numbers(view);
    let mut out = String::new();
    let _ = write!(
        out,
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">\
<title>bramleyspring time line</title><style>{STYLE}</style></head><body>\
<h1>Time line</h1><p>{} events of {} processes, times in UTC.</p>",
        view.events.len(),
        lanes.len(),
    );
    for (node, reason) in &view.missing {
        let (node, reason) = (escaped(node), escaped(reason));
        let _ = write!(
            out,
            "<p class=\"missing\">{node} gave no events: {reason}</p>"
        );
    }
    out.push_str("<table><thead><tr><th>time</th>");
    for node in lanes.keys() {
        let _ = write!(out, "<th>{}</th>", escaped(node));
    }
    out.push_str("</tr></thead><tbody>");
    for event in &view.events {
        write_row(&mut out, event, &lanes);
    }
    out.push_str("</tbody></table></body></html>\n");
    out
}

fn lane_numbers(view: &TimelineView) -> BTreeMap<String, usize> {
    let mut lanes = BTreeMap::new();
    for event in &view.events {
        lanes.insert(event.node.to_string(), 0);
    }
    for (number, lane) in lanes.values_mut().enumerate() {
        *lane = number;
    }
    lanes
}

fn write_row(out: &mut String, event: &EventRecord, lanes: &BTreeMap<String, usize>) {
    let lane = lanes.get(event.node.as_str()).copied().unwrap_or_default();
    let level = match event.code.level() {
        EventLevel::Debug => "debug",
        EventLevel::Info => "info",
        EventLevel::Warn => "warn",
        EventLevel::Error => "error",
    };
    let _ = write!(
        out,
        "<tr><td class=\"t\">{}</td>",
        format_time_of_day(event.timestamp.millis)
    );
    for _ in 0..lane {
        out.push_str("<td></td>");
    }
    let _ = write!(
        out,
        "<td class=\"{level}\"><span class=\"c\">{} {}</span> <span class=\"s\">{}</span><br>{}</td>",
        event.code.number(),
        event.code.name(),
        escaped(&format_subject(event)),
        escaped(&event.detail),
    );
    for _ in lane + 1..lanes.len() {
        out.push_str("<td></td>");
    }
    out.push_str("</tr>");
}

/// Text that can't end or open an element: details may quote what a caller sent.
fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
