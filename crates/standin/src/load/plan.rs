//! The schedule of requests, generated from a seed before the first one is sent.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::ensure;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;

use crate::deployment::{CustomerConfig, Deployment};

/// Share of the chats with a long response.
const LONG_SHARE: f64 = 0.2;

/// Range of the number of tokens in short responses.
const SHORT_TOKENS: std::ops::Range<u32> = 8..33;

/// Range of the number of tokens in long responses.
const LONG_TOKENS: std::ops::Range<u32> = 64..129;

/// Parameters of a load.
#[derive(Debug, Clone, bon::Builder)]
pub struct LoadPlan {
    /// Example that prompts, calls and customers come from.
    #[builder(default)]
    pub deployment: Deployment,
    /// Entries; each request goes to a random one, or to the next one if the connection fails.
    pub entries: Vec<SocketAddr>,
    /// Instance of the service that payments are reconciled with at the end; `None` skips that.
    pub service: Option<SocketAddr>,
    /// Mean arrival rate in requests per second.
    #[builder(default = 20.0)]
    pub rate: f64,
    /// Time over which requests are sent.
    #[builder(default = Duration::from_secs(10))]
    pub duration: Duration,
    /// Seed of all random choices.
    #[builder(default = 1)]
    pub seed: u64,
    /// Share of the requests that are non-repeatable calls, from 0 to 1.
    #[builder(default = 0.2)]
    pub payment_share: f64,
    /// Time to first token above which a chat counts as late.
    #[builder(default = Duration::from_millis(1_700))]
    pub late_after: Duration,
}

/// One request of a load.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadRequest {
    /// Sequence number, which makes its idempotency key unique.
    pub number: usize,
    /// When it is due, relative to the start of the load.
    pub at: Duration,
    /// Index of the entry that is tried first.
    pub entry: usize,
    /// Customer that sends it.
    pub customer: CustomerConfig,
    /// Kind of the request, with its content.
    pub kind: RequestKind,
}

/// Kind of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestKind {
    /// A streamed chat.
    Chat {
        /// Content of the user message.
        prompt: &'static str,
        /// Maximum number of tokens in the response.
        max_tokens: u32,
    },
    /// A non-repeatable call.
    Payment {
        /// JSON body of the call.
        body: Value,
    },
}

impl LoadPlan {
    /// Generates the requests in order of time; arrivals form a Poisson process.
    ///
    /// # Errors
    ///
    /// Returns an error if the example is malformed, the rate is not positive or there is no entry.
    pub fn requests(&self) -> eyre::Result<Vec<LoadRequest>> {
        ensure!(self.rate > 0.0, "--rate must be above 0");
        ensure!(!self.entries.is_empty(), "at least one --entry is required");
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
    let mut remaining = random.random_range(0..total.max(1));
    for customer in customers {
        if remaining < customer.weight {
            return customer;
        }
        remaining -= customer.weight;
    }
    &customers[0]
}
