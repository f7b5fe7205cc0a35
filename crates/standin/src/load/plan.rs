//! Who asks what when, decided from a seed before the first request is sent.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::ensure;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;

use crate::deployment::{CustomerConfig, Deployment};

/// Share of the questions that want a long answer.
const LONG_SHARE: f64 = 0.2;

/// Tokens of short answers.
const SHORT_TOKENS: std::ops::Range<u32> = 8..33;

/// Tokens of long answers.
const LONG_TOKENS: std::ops::Range<u32> = 64..129;

/// A load.
#[derive(Debug, Clone, bon::Builder)]
pub struct LoadPlan {
    /// The example that prompts, calls and customers come from.
    #[builder(default)]
    pub deployment: Deployment,
    /// The entries; each request takes one at random, and the next one when it is not there.
    pub entries: Vec<SocketAddr>,
    /// An instance of the service, to reckon payments at the end.
    pub service: Option<SocketAddr>,
    /// Requests a second on average.
    #[builder(default = 20.0)]
    pub rate: f64,
    /// Time over which requests are sent.
    #[builder(default = Duration::from_secs(10))]
    pub duration: Duration,
    /// Seed of everything random.
    #[builder(default = 1)]
    pub seed: u64,
    /// Share of the requests that are non-repeatable calls, from 0 to 1.
    #[builder(default = 0.2)]
    pub payment_share: f64,
    /// A first token that comes later counts as late.
    #[builder(default = Duration::from_millis(1_700))]
    pub late_after: Duration,
}

/// One request of a load.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadRequest {
    /// Number in the load.
    pub number: usize,
    /// When it is sent, from the start.
    pub at: Duration,
    /// Index of the entry.
    pub entry: usize,
    /// Who sends it.
    pub customer: CustomerConfig,
    /// What it asks for.
    pub kind: RequestKind,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestKind {
    /// A streamed chat.
    Chat {
        /// The question.
        prompt: &'static str,
        /// Most tokens of the answer.
        max_tokens: u32,
    },
    /// A non-repeatable call.
    Payment {
        /// Its body.
        body: Value,
    },
}

impl LoadPlan {
    /// The requests in the order of their times: a Poisson process.
    ///
    /// # Errors
    ///
    /// When the example or a setting can't be used.
    pub fn requests(&self) -> eyre::Result<Vec<LoadRequest>> {
        ensure!(self.rate > 0.0, "--rate must be above 0");
        ensure!(!self.entries.is_empty(), "name at least one --entry");
        let customers = self.deployment.callers()?.customers;
        let prompts = self.deployment.prompts();
        let calls = self.deployment.calls()?;
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut requests = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            let uniform: f64 = random.random();
            let gap = -(1.0 - uniform).ln() / self.rate;
            at += Duration::from_secs_f64(gap);
            if at >= self.duration {
                return Ok(requests);
            }
            let kind = if random.random_bool(self.payment_share.clamp(0.0, 1.0)) {
                let body = calls[random.random_range(0..calls.len())].clone();
                RequestKind::Payment { body }
            } else {
                RequestKind::Chat {
                    prompt: prompts[random.random_range(0..prompts.len())],
                    max_tokens: choose_max_tokens(&mut random),
                }
            };
            requests.push(LoadRequest {
                number: requests.len(),
                at,
                entry: random.random_range(0..self.entries.len()),
                customer: choose_customer(&mut random, &customers).clone(),
                kind,
            });
        }
    }
}

fn choose_max_tokens(random: &mut StdRng) -> u32 {
    if random.random_bool(LONG_SHARE) {
        random.random_range(LONG_TOKENS)
    } else {
        random.random_range(SHORT_TOKENS)
    }
}

fn choose_customer<'plan>(
    random: &mut StdRng,
    customers: &'plan [CustomerConfig],
) -> &'plan CustomerConfig {
    let total: u32 = customers.iter().map(|customer| customer.weight).sum();
    let mut left = random.random_range(0..total.max(1));
    for customer in customers {
        if left < customer.weight {
            return customer;
        }
        left -= customer.weight;
    }
    &customers[0]
}
