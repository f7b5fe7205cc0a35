//! Scenarios, the calls in them and their results.

use std::time::Duration;

use policy::placement::{PlacementChoice, PlacementRequest};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::baseline::{PlacementKind, QueueKind, ShareKind};

/// Time per token of a response, in seconds.
pub const TOKEN_TIME: f64 = 0.036;
/// Time after a call's arrival up to which a first token counts as on time.
pub const FIRST_TOKEN_LIMIT: Duration = Duration::from_millis(1_700);

pub fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

#[derive(Debug, Clone, Copy)]
pub struct EngineSpec {
    pub slots: u32,
    pub prompt_rate: f64,
    /// Factor on all processing times, with the start and end of the slowdown in seconds.
    pub slowdown: (f64, f64, f64),
    /// Start and end of the time in which every stream fails immediately, in seconds.
    pub failing: (f64, f64),
    /// Number of shared prompts that the engine's cache holds.
    pub cache_capacity: usize,
    pub max_queue: usize,
}

pub const ENGINE: EngineSpec = EngineSpec {
    slots: 16,
    prompt_rate: 8_000.0,
    slowdown: (1.0, 0.0, 0.0),
    failing: (0.0, 0.0),
    cache_capacity: 8,
    max_queue: 64,
};

#[derive(Debug, Clone, Copy)]
pub struct Call {
    pub at: f64,
    pub entry: usize,
    pub customer: usize,
    /// Length of the prompt in tokens.
    pub prompt: u32,
    /// Length of the response in tokens.
    pub response: u32,
    /// Identifier of the shared part of the prompt, and its length in tokens.
    pub shared: (u64, u32),
}

#[derive(Debug, Clone)]
pub struct Scenario {
    pub entries: usize,
    pub engines: Vec<EngineSpec>,
    pub customers: usize,
    pub queue: QueueKind,
    pub placement: PlacementKind,
    pub samples: usize,
    pub affinity: bool,
    pub share: ShareKind,
    /// Interval and lag of the load reports, in seconds.
    pub report_timing: (f64, f64),
    /// Start and end of the time without reports, in seconds.
    pub report_outage: (f64, f64),
    /// Maximum number of retries by a refused client.
    pub max_retries: u32,
    /// Delay before a retry, instead of the one that the client was given.
    pub fixed_retry_after: Option<Duration>,
    pub seed: u64,
}

impl Scenario {
    /// One entry in front of engines with 16 slots, with the policies of this crate.
    pub fn standard(engines: usize, seed: u64) -> Self {
        Self {
            entries: 1,
            engines: vec![ENGINE; engines],
            customers: 4,
            queue: QueueKind::Fair,
            placement: PlacementKind::Predicted,
            samples: 4,
            affinity: true,
            share: ShareKind::Scaled,
            report_timing: (0.5, 0.5),
            report_outage: (0.0, 0.0),
            max_retries: 0,
            fixed_retry_after: None,
            seed,
        }
    }

    /// Returns how many calls per second the engines can complete, at `prompt` tokens of prompt and
    /// `response` tokens of response each.
    pub fn capacity(&self, prompt: u32, response: u32) -> f64 {
        let rates = self.engines.iter().map(|engine| {
            let prefill = f64::from(prompt) / engine.prompt_rate + 0.01;
            let duration = prefill + f64::from(response) * TOKEN_TIME;
            (f64::from(engine.slots) / duration).min(1.0 / prefill)
        });
        rates.sum()
    }
}

/// Generates calls as a Poisson process with a mean rate per second, with responses of 20 to 180
/// tokens.
pub fn poisson_calls(
    seed: u64,
    rate: f64,
    span: (f64, f64),
    adjust: impl Fn(&mut Call, &mut SmallRng),
) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    let mut at = span.0;
    loop {
        at += -rng.random_range(f64::EPSILON..1.0).ln() / rate;
        if at >= span.1 {
            return calls;
        }
        let mut call = Call {
            at,
            entry: 0,
            customer: 0,
            prompt: rng.random_range(100..700),
            response: rng.random_range(20..180),
            shared: (calls.len() as u64, 0),
        };
        adjust(&mut call, &mut rng);
        calls.push(call);
    }
}

/// Merges several sequences of calls, ordered by time.
pub fn merge_calls(streams: Vec<Vec<Call>>) -> Vec<Call> {
    let mut calls: Vec<Call> = streams.into_iter().flatten().collect();
    calls.sort_by(|left, right| left.at.total_cmp(&right.at));
    calls
}

/// A call and its result.
#[derive(Debug)]
pub struct Job {
    pub call: Call,
    pub first_token: Option<f64>,
    pub refused: bool,
    pub failures: u32,
    pub retry_after: f64,
    pub choice: Option<PlacementChoice>,
    pub engine: usize,
    pub sent_at: Duration,
    pub arrived_at: Duration,
    pub attempts: u32,
    pub started: bool,
    pub retries: u32,
    /// Time from the last sending to the first token.
    pub target_first_token: Option<Duration>,
    prefixes: Vec<u64>,
}

impl Job {
    pub fn new(call: &Call, index: usize) -> Self {
        let shared = u64::from(call.shared.1 / 16);
        let own = (index as u64 + 1) << 40;
        let hash = |block| {
            if block < shared {
                call.shared.0 << 16 | block
            } else {
                own | block
            }
        };
        Self {
            call: *call,
            first_token: None,
            refused: false,
            failures: 0,
            retry_after: 0.0,
            choice: None,
            engine: 0,
            sent_at: Duration::ZERO,
            arrived_at: Duration::ZERO,
            attempts: 0,
            started: false,
            retries: 0,
            target_first_token: None,
            prefixes: (0..u64::from(call.prompt / 16)).map(hash).collect(),
        }
    }

    pub fn on_time(&self) -> bool {
        self.first_token
            .is_some_and(|time| time <= FIRST_TOKEN_LIMIT.as_secs_f64())
    }

    pub fn cost(&self) -> u32 {
        self.call.prompt / 8 + self.call.response
    }

    pub fn request(&self, affinity: bool) -> PlacementRequest<'_> {
        let prefixes = if affinity {
            self.prefixes.as_slice()
        } else {
            &[]
        };
        PlacementRequest::builder()
            .prompt_tokens(self.call.prompt)
            .prefixes(prefixes)
            .build()
    }
}

/// Results of a simulation.
#[derive(Debug)]
pub struct SimulationResult {
    pub jobs: Vec<Job>,
    pub max_engine_queue: usize,
    pub slot_seconds: f64,
}

impl SimulationResult {
    pub fn select(&self, keep: impl Fn(&Job) -> bool) -> Vec<&Job> {
        self.jobs.iter().filter(|job| keep(job)).collect()
    }

    pub fn on_time(&self, keep: impl Fn(&Job) -> bool) -> f64 {
        let selected = self.select(keep);
        let good = selected.iter().filter(|job| job.on_time()).count();
        good as f64 / selected.len().max(1) as f64
    }

    /// Returns the tokens per second of responses that started on time.
    pub fn goodput(&self, from: f64, until: f64) -> f64 {
        let good = self.select(|job| job.on_time() && (from..until).contains(&job.call.at));
        good.iter()
            .map(|job| f64::from(job.call.response))
            .fold(0.0, |sum, tokens| sum + tokens)
            / (until - from)
    }

    /// Returns a quantile of the time to first token, over the selected calls that got one.
    pub fn first_token(&self, quantile: f64, keep: impl Fn(&Job) -> bool) -> f64 {
        let mut times: Vec<f64> = self
            .select(keep)
            .iter()
            .filter_map(|job| job.first_token)
            .collect();
        times.sort_by(f64::total_cmp);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let index = (times.len() as f64 * quantile) as usize;
        times
            .get(index.min(times.len().saturating_sub(1)))
            .copied()
            .unwrap_or(f64::NAN)
    }
}
