//! Counts outcomes and reconciles payments with what the service executed.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use wire::service::LookupBody;

use super::call::{LoadOutcome, LoadResult, ReportedExecution};
use super::report::{ChatCounts, LoadReport, PaymentCounts, TimeSummary};

/// Significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Maximum time of the histograms in microseconds; longer times are recorded as this.
const MAX_RECORDED_MICROS: u64 = 600_000_000;

/// Counts and times of the outcomes so far.
#[derive(Debug)]
pub struct LoadStats {
    late_after: Duration,
    chats: ChatCounts,
    customers: BTreeMap<String, ChatCounts>,
    first: Histogram<u64>,
    gaps: Histogram<u64>,
    payment_times: Histogram<u64>,
    payments: PaymentCounts,
    problems: BTreeMap<String, u64>,
    reported: BTreeMap<String, ReportedExecution>,
}

impl LoadStats {
    /// Creates empty statistics; a first token after `late_after` counts as late.
    ///
    /// # Panics
    ///
    /// Never panics: the bounds of the histograms are valid constants.
    #[must_use]
    pub fn new(late_after: Duration) -> Self {
        let histogram = || {
            Histogram::new_with_max(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS).expect("valid bounds")
        };
        Self {
            late_after,
            chats: ChatCounts::default(),
            customers: BTreeMap::new(),
            first: histogram(),
            gaps: histogram(),
            payment_times: histogram(),
            payments: PaymentCounts::default(),
            problems: BTreeMap::new(),
            reported: BTreeMap::new(),
        }
    }

    /// Adds an outcome.
    pub fn add(&mut self, outcome: LoadOutcome) {
        match outcome.result {
            LoadResult::Chat {
                status,
                first_token,
                token_gaps,
                problem,
            } => {
                if let Some(problem) = problem {
                    *self.problems.entry(problem).or_default() += 1;
                }
                let late = first_token.is_some_and(|time| time > self.late_after);
                let tokens = token_gaps.len() + usize::from(first_token.is_some());
                self.chats.add(status, late, tokens);
                let customer = self.customers.entry(outcome.customer).or_default();
                customer.add(status, late, tokens);
                if let Some(time) = first_token {
                    record(&mut self.first, time);
                }
                for gap in token_gaps {
                    record(&mut self.gaps, gap);
                }
            }
            LoadResult::Payment {
                key,
                reported,
                time,
            } => {
                self.payments.offered += 1;
                match reported {
                    ReportedExecution::Ran => self.payments.ran += 1,
                    ReportedExecution::NotRun => self.payments.not_run += 1,
                    ReportedExecution::Unknown => self.payments.unknown += 1,
                }
                record(&mut self.payment_times, time);
                self.reported.insert(key, reported);
            }
        }
    }

    /// Compares what the responses reported with what the service executed.
    pub fn reconcile(&mut self, executions: &[LookupBody]) {
        let counts: BTreeMap<&str, u64> = executions
            .iter()
            .map(|entry| (entry.key.as_str(), entry.executions))
            .collect();
        for (key, reported) in &self.reported {
            let ran = counts.get(key.as_str()).copied().unwrap_or(0);
            if ran > 1 {
                self.payments.doubled += 1;
            }
            match (reported, ran) {
                (ReportedExecution::Ran, 0) => self.payments.lost += 1,
                (ReportedExecution::NotRun, 1..) => self.payments.run_though_denied += 1,
                (ReportedExecution::Unknown, 1..) => self.payments.unknown_but_run += 1,
                _ => {}
            }
        }
    }

    /// Returns the report of a load that was sent over `duration`.
    #[must_use]
    pub fn report(&self, duration: Duration) -> LoadReport {
        LoadReport {
            seconds: duration.as_secs_f64(),
            chats: self.chats,
            customers: self.customers.clone(),
            first_token: TimeSummary::of(&self.first),
            between_tokens: TimeSummary::of(&self.gaps),
            payments: self.payments,
            payment_time: TimeSummary::of(&self.payment_times),
            problems: self.problems.clone(),
        }
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
}
