//! Results of a load, as text and as JSON.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::call::ChatStatus;

/// Results of a load.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LoadReport {
    /// Time over which requests were sent, in seconds.
    pub seconds: f64,
    /// Chats of all customers.
    pub chats: ChatCounts,
    /// Chats by customer.
    pub customers: BTreeMap<String, ChatCounts>,
    /// Time from when a chat was due until its first token.
    pub first_token: TimeSummary,
    /// Time between two consecutive tokens of a chat.
    pub between_tokens: TimeSummary,
    /// Non-repeatable calls by outcome.
    pub payments: PaymentCounts,
    /// Time from when a non-repeatable call was due until its response.
    pub payment_time: TimeSummary,
    /// Chats that were refused or failed, by the message that their clients got.
    pub problems: BTreeMap<String, u64>,
}

/// Counts of chats by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ChatCounts {
    /// Sent, whatever the outcome.
    pub offered: u64,
    /// Completed with the requested number of tokens.
    pub whole: u64,
    /// Of the completed ones, those whose first token was late.
    pub late: u64,
    /// Refused without being executed.
    pub refused: u64,
    /// Ended with an explicit error.
    pub failed: u64,
    /// Ended incomplete without an error, or with another number of tokens.
    pub cut: u64,
    /// Tokens received.
    pub tokens: u64,
}

impl ChatCounts {
    /// Adds one chat; `late` counts only if it completed.
    pub fn add(&mut self, status: ChatStatus, late: bool, tokens: usize) {
        self.offered += 1;
        self.tokens += tokens as u64;
        match status {
            ChatStatus::Completed => {
                self.whole += 1;
                self.late += u64::from(late);
            }
            ChatStatus::Refused => self.refused += 1,
            ChatStatus::Failed => self.failed += 1,
            ChatStatus::Truncated => self.cut += 1,
        }
    }
}

/// Counts of non-repeatable calls by what the responses reported, reconciled with what the service
/// executed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct PaymentCounts {
    /// Sent, whatever the outcome.
    pub offered: u64,
    /// Reported as executed.
    pub ran: u64,
    /// Reported as not executed.
    pub not_run: u64,
    /// Reported as unknown, or without a response.
    pub unknown: u64,
    /// Reported as executed, but not executed.
    pub lost: u64,
    /// Executed more than once.
    pub doubled: u64,
    /// Reported as not executed, but executed.
    pub run_though_denied: u64,
    /// Of the unknown ones, those that were executed.
    pub unknown_but_run: u64,
}

/// Summary of measured times in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct TimeSummary {
    /// Number of measurements.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

impl TimeSummary {
    /// Summarizes a histogram of microseconds.
    #[must_use]
    pub fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| milliseconds(histogram.value_at_quantile(quantile));
        Self {
            count: histogram.len(),
            p50_ms: at(0.50),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: milliseconds(histogram.max()),
        }
    }
}

fn milliseconds(micros: u64) -> f64 {
    f64::from(u32::try_from(micros).unwrap_or(u32::MAX)) / 1_000.0
}

impl fmt::Display for ChatCounts {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{} offered: {} whole ({} late), {} refused, {} failed, {} cut, {} tokens",
            self.offered, self.whole, self.late, self.refused, self.failed, self.cut, self.tokens
        )
    }
}

impl fmt::Display for PaymentCounts {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{} offered: {} ran, {} not run, {} unknown ({} of them ran); \
             {} lost, {} doubled, {} run though denied",
            self.offered,
            self.ran,
            self.not_run,
            self.unknown,
            self.unknown_but_run,
            self.lost,
            self.doubled,
            self.run_though_denied
        )
    }
}

impl fmt::Display for TimeSummary {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "50% {:.1} ms, 95% {:.1} ms, 99% {:.1} ms, longest {:.1} ms",
            self.p50_ms, self.p95_ms, self.p99_ms, self.max_ms
        )
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "chats           {}", self.chats)?;
        for (name, counts) in &self.customers {
            writeln!(out, "  {name}: {counts}")?;
        }
        writeln!(out, "first token     {}", self.first_token)?;
        writeln!(out, "between tokens  {}", self.between_tokens)?;
        writeln!(out, "payments        {}", self.payments)?;
        writeln!(out, "payment answer  {}", self.payment_time)?;
        for (problem, count) in &self.problems {
            writeln!(out, "{count} chats: {problem}")?;
        }
        Ok(())
    }
}
