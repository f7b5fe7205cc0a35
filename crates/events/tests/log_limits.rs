//! Lines of the log under load: bounded, never waited for.

use std::time::{Duration, Instant};

use events::{EventCode, EventLevel, LogLine, LogSink};

fn line(number: u64) -> LogLine {
    LogLine::new(EventCode::GatewayRefused)
        .text("request", &format!("r-{number}"))
        .text("reason", "all targets are full")
}

/// A burst of refusals: each wants a line. Lines beyond the rate are counted instead of written,
/// so a bad minute can't fill the disk of whoever collects them.
#[test]
fn burst_is_bounded() {
    let sink = LogSink::to_stdout("n0", EventLevel::Info);
    for number in 0..5000 {
        sink.write(&line(number), Duration::from_millis(number / 10));
    }
    // Half a second at 120 lines a second, and 400 at once.
    assert!(sink.dropped() > 4400, "{}", sink.dropped());
}

#[test]
fn quiet_lines_pass() {
    let sink = LogSink::to_stdout("n0", EventLevel::Info);
    for number in 0..100 {
        sink.write(&line(number), Duration::from_millis(number * 20));
    }
    assert_eq!(sink.dropped(), 0);
}

/// Lines below the level cost neither the rate nor a count.
#[test]
fn level_filters() {
    let sink = LogSink::to_stdout("n0", EventLevel::Error);
    for number in 0..5000 {
        sink.write(&line(number), Duration::ZERO);
    }
    assert_eq!(sink.dropped(), 0);
}

/// A caller sends a header of a megabyte that ends up in a line.
#[test]
fn long_values_cut() {
    let sink = LogSink::to_stdout("n0", EventLevel::Info);
    let began = Instant::now();
    let long = "é".repeat(1 << 20);
    sink.write(
        &LogLine::new(EventCode::RequestFailed).text("reason", &long),
        Duration::ZERO,
    );
    assert!(began.elapsed() < Duration::from_secs(5));
    assert_eq!(sink.dropped(), 0);
}
