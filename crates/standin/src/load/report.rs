//! What a load showed, as text and as JSON.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::call::ChatStatus;

/// What a load showed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LoadReport {
    /// Time over which requests were sent.
    pub seconds: f64,
    /// Chats over all customers.
    pub chats: ChatCounts,
    /// Chats by customer.
    pub customers: BTreeMap<String, ChatCounts>,
    /// From when a chat was due until its first token.
    pub first_token: TimeSummary,
    /// Between two tokens of a chat.
    pub between_tokens: TimeSummary,
    /// Non-repeatable calls.
    pub payments: PaymentCounts,
    /// From when a non-repeatable call was due until its answer.
    pub payment_time: TimeSummary,
}

/// Chats by how they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ChatCounts {
    /// Sent.
    pub offered: u64,
    /// Answered whole.
    pub whole: u64,
    /// Of the whole ones, those whose first token came late.
    pub late: u64,
    /// Refused without being run.
    pub refused: u64,
    /// Ended by an explicit error.
    pub failed: u64,
    /// Ended silently or with another count of tokens.
    pub cut: u64,
    /// Tokens that came.
    pub tokens: u64,
}

impl ChatCounts {
    /// Counts one chat.
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

/// Non-repeatable calls by what callers were told, reconciled with what the service ran.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct PaymentCounts {
    /// Sent.
    pub offered: u64,
    /// Told that it ran.
    pub ran: u64,
    /// Told that it did not run.
    pub not_run: u64,
    /// Told that nobody knows, or got no answer.
    pub unknown: u64,
    /// Told that it ran, but it did not.
    pub lost: u64,
    /// Ran more than once.
    pub doubled: u64,
    /// Told that it did not run, but it did.
    pub run_though_denied: u64,
    /// Of the unknown ones, those that ran.
    pub unknown_but_run: u64,
}

/// Times in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct TimeSummary {
    /// Times that were taken.
    pub count: u64,
    /// Half are below.
    pub p50_ms: f64,
    /// 95 in 100 are below.
    pub p95_ms: f64,
    /// 99 in 100 are below.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl TimeSummary {
    /// Summary of a histogram of microseconds.
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
        writeln!(out, "payment answer  {}", self.payment_time)
    }
}
