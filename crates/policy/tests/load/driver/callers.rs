//! What callers ask for and what becomes of it.

use std::time::Duration;

use policy::placement::{PlacementChoice, PlacementRequest};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::baseline::{PlaceKind, QueueKind, ShareKind};

/// Time of one token of an answer, in seconds.
pub const TOKEN_TIME: f64 = 0.036;
/// A first token later than this is late.
pub const PATIENCE: Duration = Duration::from_millis(1_700);

pub fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

#[derive(Debug, Clone, Copy)]
pub struct EngineSpec {
    pub slots: u32,
    pub prompt_rate: f64,
    /// Factor on every time, within the span.
    pub slow: (f64, f64, f64),
    /// Span in which every stream fails at once.
    pub fails: (f64, f64),
    /// Shared prompts that the cache holds.
    pub cache: usize,
    pub max_queue: usize,
}

pub const ENGINE: EngineSpec = EngineSpec {
    slots: 16,
    prompt_rate: 8_000.0,
    slow: (1.0, 0.0, 0.0),
    fails: (0.0, 0.0),
    cache: 8,
    max_queue: 64,
};

#[derive(Debug, Clone, Copy)]
pub struct Call {
    pub at: f64,
    pub entry: usize,
    pub customer: usize,
    pub prompt: u32,
    pub answer: u32,
    /// Shared prompt and its tokens.
    pub shared: (u64, u32),
}

#[derive(Debug, Clone)]
pub struct Setup {
    pub entries: usize,
    pub engines: Vec<EngineSpec>,
    pub customers: usize,
    pub queue: QueueKind,
    pub place: PlaceKind,
    pub draws: usize,
    pub affinity: bool,
    pub share: ShareKind,
    /// Period and lag of the load reports in seconds.
    pub reports: (f64, f64),
    /// Span without reports.
    pub blackout: (f64, f64),
    /// How often a refused caller comes back.
    pub returns: u32,
    /// Time after which it does, instead of the one it was told.
    pub fixed_return: Option<Duration>,
    pub seed: u64,
}

impl Setup {
    /// One entry before engines of 16 slots, with the product's own decisions.
    pub fn plain(engines: usize, seed: u64) -> Self {
        Self {
            entries: 1,
            engines: vec![ENGINE; engines],
            customers: 4,
            queue: QueueKind::Fair,
            place: PlaceKind::Predicted,
            draws: 4,
            affinity: true,
            share: ShareKind::Scaled,
            reports: (0.5, 0.5),
            blackout: (0.0, 0.0),
            returns: 0,
            fixed_return: None,
            seed,
        }
    }

    /// Answers of `prompt` and `answer` tokens a second that the engines can give.
    pub fn capacity(&self, prompt: u32, answer: u32) -> f64 {
        let rates = self.engines.iter().map(|engine| {
            let read = f64::from(prompt) / engine.prompt_rate + 0.01;
            let stay = read + f64::from(answer) * TOKEN_TIME;
            (f64::from(engine.slots) / stay).min(1.0 / read)
        });
        rates.sum()
    }
}

/// Calls at a mean rate a second within a span, with answers of 20 to 180 tokens.
pub fn steady(
    seed: u64,
    rate: f64,
    span: (f64, f64),
    form: impl Fn(&mut Call, &mut SmallRng),
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
            answer: rng.random_range(20..180),
            shared: (calls.len() as u64, 0),
        };
        form(&mut call, &mut rng);
        calls.push(call);
    }
}

/// Several streams of calls as one, in the order of their times.
pub fn merged(streams: Vec<Vec<Call>>) -> Vec<Call> {
    let mut calls: Vec<Call> = streams.into_iter().flatten().collect();
    calls.sort_by(|left, right| left.at.total_cmp(&right.at));
    calls
}

/// A caller's request and what became of it.
#[derive(Debug)]
pub struct Job {
    pub call: Call,
    pub first_token: Option<f64>,
    pub refused: bool,
    pub failures: u32,
    pub retry_after: f64,
    pub choice: Option<PlacementChoice>,
    pub engine: usize,
    pub sent: Duration,
    pub arrived: Duration,
    pub attempts: u32,
    pub started: bool,
    pub returns: u32,
    /// Time from sending to the first token.
    pub first: Option<Duration>,
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
            sent: Duration::ZERO,
            arrived: Duration::ZERO,
            attempts: 0,
            started: false,
            returns: 0,
            first: None,
            prefixes: (0..u64::from(call.prompt / 16)).map(hash).collect(),
        }
    }

    pub fn on_time(&self) -> bool {
        self.first_token
            .is_some_and(|time| time <= PATIENCE.as_secs_f64())
    }

    pub fn cost(&self) -> u32 {
        self.call.prompt / 8 + self.call.answer
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

/// What a run did for its callers.
#[derive(Debug)]
pub struct RunResult {
    pub jobs: Vec<Job>,
    pub deepest: usize,
    pub busy_slots: f64,
}

impl RunResult {
    pub fn pick(&self, keep: impl Fn(&Job) -> bool) -> Vec<&Job> {
        self.jobs.iter().filter(|job| keep(job)).collect()
    }

    pub fn on_time(&self, keep: impl Fn(&Job) -> bool) -> f64 {
        let picked = self.pick(keep);
        let good = picked.iter().filter(|job| job.on_time()).count();
        good as f64 / picked.len().max(1) as f64
    }

    /// Tokens of answers that began on time, a second of the span.
    pub fn goodput(&self, from: f64, until: f64) -> f64 {
        let good = self.pick(|job| job.on_time() && (from..until).contains(&job.call.at));
        good.iter()
            .map(|job| f64::from(job.call.answer))
            .fold(0.0, |sum, tokens| sum + tokens)
            / (until - from)
    }

    /// Percentile of the time to the first token among those that got one.
    pub fn first_token(&self, part: f64, keep: impl Fn(&Job) -> bool) -> f64 {
        let mut times: Vec<f64> = self
            .pick(keep)
            .iter()
            .filter_map(|job| job.first_token)
            .collect();
        times.sort_by(f64::total_cmp);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let place = (times.len() as f64 * part) as usize;
        times
            .get(place.min(times.len().saturating_sub(1)))
            .copied()
            .unwrap_or(f64::NAN)
    }
}
