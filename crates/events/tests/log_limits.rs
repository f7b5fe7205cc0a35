//! Rate limit, level filter and truncation of log lines.

use std::time::{Duration, Instant};

use events::{EventCode, EventLevel, LogLine, LogSink};

fn line(number: u64) -> LogLine {
    LogLine::new(EventCode::GatewayRefused)
        .text("request", &format!("r-{number}"))
        .text("reason", "all targets are full")
}

/// Every rejected request logs a line. In a burst of rejections, lines beyond the rate limit are
/// dropped and counted, so that they can't fill the disk of the log collector.
#[test]
fn lines_beyond_rate_limit_are_dropped() {
    let sink = LogSink::to_stdout("n0", EventLevel::Info);
    for number in 0..5000 {
        sink.write(&line(number), Duration::from_millis(number / 10));
    }
    // Half a second at 120 lines per second, and a burst of 400 lines.
    assert!(sink.dropped() > 4400, "{}", sink.dropped());
    let kinds: Vec<_> = sink.dropped_kinds().collect();
    assert_eq!(kinds, [(EventCode::GatewayRefused, sink.dropped())]);
}

/// A burst of news and of rejections uses up the limit. The line that tells why a client was refused for
/// good is still written, and what was dropped is known by kind.
#[test]
fn refusal_kept_in_burst() {
    let sink = LogSink::to_stdout("n0", EventLevel::Info);
    for number in 0..1000 {
        sink.write(&LogLine::new(EventCode::GatewayAnswered), Duration::ZERO);
        sink.write(&line(number), Duration::ZERO);
    }
    for _ in 0..50 {
        let refusal = LogLine::new(EventCode::RequestFailed).kept();
        sink.write(&refusal, Duration::ZERO);
    }
    let kinds: Vec<_> = sink.dropped_kinds().map(|(kind, _)| kind).collect();
    assert_eq!(
        kinds,
        [EventCode::GatewayAnswered, EventCode::GatewayRefused]
    );
}

/// A busy node writes much news in a short time. Warnings that follow are written.
#[test]
fn warnings_kept_beside_news() {
    let sink = LogSink::to_stdout("n0", EventLevel::Info);
    for _ in 0..1000 {
        sink.write(&LogLine::new(EventCode::GatewayAnswered), Duration::ZERO);
    }
    for number in 0..90 {
        sink.write(&line(number), Duration::ZERO);
    }
    let kinds: Vec<_> = sink.dropped_kinds().map(|(kind, _)| kind).collect();
    assert_eq!(kinds, [EventCode::GatewayAnswered]);
}

#[test]
fn lines_within_rate_limit_are_kept() {
    let sink = LogSink::to_stdout("n0", EventLevel::Info);
    for number in 0..100 {
        sink.write(&line(number), Duration::from_millis(number * 20));
    }
    assert_eq!(sink.dropped(), 0);
}

/// Lines below the minimum level neither consume the rate limit nor count as dropped.
#[test]
fn lines_below_level_are_not_counted() {
    let sink = LogSink::to_stdout("n0", EventLevel::Error);
    for number in 0..5000 {
        sink.write(&line(number), Duration::ZERO);
    }
    assert_eq!(sink.dropped(), 0);
}

/// A client sends a header of one megabyte, whose value is logged.
#[test]
fn long_values_are_truncated() {
    let sink = LogSink::to_stdout("n0", EventLevel::Info);
    let started = Instant::now();
    let long = "é".repeat(1 << 20);
    sink.write(
        &LogLine::new(EventCode::RequestFailed).text("reason", &long),
        Duration::ZERO,
    );
    assert!(started.elapsed() < Duration::from_secs(5));
    assert_eq!(sink.dropped(), 0);
}
