//! All streams of an engine: the waiting queue and the batch.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use domain::AttemptId;
use serde::{Deserialize, Serialize};
use web::WebResponse;
use wire::engine::{EngineLoad, PREFIX_BLOCK_BYTES, StreamRequest, prefix_hashes};

use super::batch::BatchStep;
use super::cache::PrefixCache;
use super::stream::{EngineStream, StreamPhase};

/// Imported KV caches that wait for their stream.
const MAX_IMPORTS: usize = 64;

/// Weight of the newest step in the reported rates.
const RATE_SMOOTHING: f64 = 0.2;

/// A KV cache on its way; opaque to everybody but engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvCache {
    prompt: String,
    tokens: usize,
}

/// The streams.
#[derive(Debug)]
pub struct StreamPool {
    slots: usize,
    queue: usize,
    linger: Duration,
    arrivals: u64,
    streams: BTreeMap<AttemptId, EngineStream>,
    imports: VecDeque<(AttemptId, KvCache)>,
    cache: PrefixCache,
    prompt_rate: f64,
    token_rate: f64,
}

impl StreamPool {
    /// An empty pool: streams in the batch, streams that wait, and the time that a stream without
    /// a reader is kept.
    #[must_use]
    pub fn new(slots: usize, queue: usize, linger: Duration, cache: PrefixCache) -> Self {
        Self {
            slots,
            queue,
            linger,
            arrivals: 0,
            streams: BTreeMap::new(),
            imports: VecDeque::new(),
            cache,
            prompt_rate: 0.0,
            token_rate: 0.0,
        }
    }

    /// The prefix cache.
    #[must_use]
    pub fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    fn count(&self, matches: impl Fn(StreamPhase) -> bool) -> usize {
        let phases = self.streams.values().map(|stream| stream.phase);
        phases.filter(|phase| matches(*phase)).count()
    }

    /// Whether a further stream finds no place to wait.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let unfinished = self.count(|phase| phase != StreamPhase::Ended);
        unfinished >= self.slots + self.queue
    }

    /// Takes a stream.
    pub fn start(&mut self, request: StreamRequest, now: Instant) -> WebResponse {
        self.arrivals += 1;
        let attempt = request.attempt.clone();
        let from = u32::try_from(request.generated_tokens.len()).unwrap_or(u32::MAX);
        let mut stream = EngineStream::new(request, self.arrivals, now);
        let response = stream.attach(from, now);
        self.streams.insert(attempt, stream);
        response
    }

    /// Goes on with a stream that is still kept.
    pub fn resume(&mut self, attempt: &AttemptId, from: u32, now: Instant) -> Option<WebResponse> {
        let stream = self.streams.get_mut(attempt)?;
        Some(stream.attach(from, now))
    }

    /// Drops a stream.
    pub fn cancel(&mut self, attempt: &AttemptId) {
        self.streams.remove(attempt);
    }

    /// Drops every stream; their readers see the end of the connection without a final mark.
    pub fn clear(&mut self) {
        self.streams.clear();
        self.imports.clear();
    }

    /// Gives one stream up.
    pub fn fail(&mut self, attempt: &AttemptId, reason: &str, now: Instant) {
        if let Some(stream) = self.streams.get_mut(attempt) {
            stream.fail(reason);
            stream.flush(now);
        }
    }

    /// Gives every open stream up.
    pub fn fail_all(&mut self, reason: &str, now: Instant) {
        for stream in self.streams.values_mut() {
            stream.fail(reason);
            stream.flush(now);
        }
    }

    /// Whether there is something to do or to send.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.streams.values().any(EngineStream::is_busy)
    }

    /// Plans the next step.
    pub fn plan(&mut self) -> BatchStep {
        self.admit_waiting();
        let mut step = BatchStep::default();
        for (attempt, stream) in &self.streams {
            match stream.phase {
                StreamPhase::Waiting | StreamPhase::Ended => {}
                StreamPhase::Prefill(remaining) => step.add_prefill(attempt, remaining),
                StreamPhase::Decode => step.decode.push(attempt.clone()),
            }
        }
        step
    }

    /// Moves waiting streams into the batch: higher priority first, then in order of arrival.
    fn admit_waiting(&mut self) {
        let waits = |phase| phase == StreamPhase::Waiting;
        let running = self.count(|phase| !waits(phase) && phase != StreamPhase::Ended);
        let mut waiting: Vec<_> = self
            .streams
            .iter()
            .filter(|(_, stream)| waits(stream.phase))
            .map(|(attempt, stream)| {
                let rank = (Reverse(stream.request.priority), stream.arrival);
                (rank, attempt.clone())
            })
            .collect();
        waiting.sort();
        waiting.truncate(self.slots.saturating_sub(running));
        for (_, attempt) in waiting {
            self.admit(&attempt);
        }
    }

    fn admit(&mut self, attempt: &AttemptId) {
        let imported = self.take_import(attempt);
        let Some(stream) = self.streams.get_mut(attempt) else {
            return;
        };
        let request = &stream.request;
        let prompt_imported = imported.is_some_and(|kv| kv.prompt == request.prompt);
        stream.cached_tokens = if prompt_imported {
            stream.prompt_tokens
        } else {
            let hashes = prefix_hashes(&request.model, request.adapter.as_ref(), &request.prompt);
            let bytes = self.cache.count_cached(&hashes) * PREFIX_BLOCK_BYTES;
            count_words(&request.prompt.as_bytes()[..bytes])
        };
        // Tokens that the caller has already are read like a prompt.
        let unread = u64::from(stream.prompt_tokens - stream.cached_tokens);
        let remaining = unread + request.generated_tokens.len() as u64;
        stream.phase = if remaining == 0 {
            StreamPhase::Decode
        } else {
            StreamPhase::Prefill(remaining)
        };
    }

    fn take_import(&mut self, attempt: &AttemptId) -> Option<KvCache> {
        let index = self.imports.iter().position(|(of, _)| of == attempt)?;
        self.imports.remove(index).map(|(_, kv)| kv)
    }

    /// Carries out a step that took `time`.
    pub fn apply(&mut self, step: &BatchStep, time: Duration, now: Instant) {
        for (attempt, count) in &step.prefill {
            self.advance_prefill(attempt, *count, now);
        }
        for attempt in &step.decode {
            if let Some(stream) = self.streams.get_mut(attempt) {
                stream.advance();
            }
        }
        for stream in self.streams.values_mut() {
            stream.flush(now);
        }
        let linger = self.linger;
        self.streams
            .retain(|_, stream| !stream.is_abandoned(linger, now));
        let seconds = time.as_secs_f64().max(1e-6);
        let per_second = |count: usize| {
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            f64::from(count) / seconds
        };
        let prompt = usize::try_from(step.prompt_tokens()).unwrap_or(usize::MAX);
        smooth(&mut self.prompt_rate, per_second(prompt));
        smooth(&mut self.token_rate, per_second(step.decode.len()));
    }

    fn advance_prefill(&mut self, attempt: &AttemptId, count: u64, now: Instant) {
        let Some(stream) = self.streams.get_mut(attempt) else {
            return;
        };
        let StreamPhase::Prefill(remaining) = stream.phase else {
            return;
        };
        if remaining > count {
            stream.phase = StreamPhase::Prefill(remaining - count);
            return;
        }
        stream.phase = StreamPhase::Decode;
        let request = &stream.request;
        let hashes = prefix_hashes(&request.model, request.adapter.as_ref(), &request.prompt);
        self.cache.insert(&hashes, now);
    }

    /// Load now.
    #[must_use]
    pub fn load(&self) -> EngineLoad {
        let waiting = self.count(|phase| phase == StreamPhase::Waiting);
        let running = self.count(|phase| phase != StreamPhase::Ended) - waiting;
        let backlog = self.streams.values().map(|stream| match stream.phase {
            StreamPhase::Waiting => u64::from(stream.prompt_tokens),
            StreamPhase::Prefill(remaining) => remaining,
            StreamPhase::Decode | StreamPhase::Ended => 0,
        });
        EngineLoad {
            running: u32::try_from(running).unwrap_or(u32::MAX),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            slots: u32::try_from(self.slots).unwrap_or(u32::MAX),
            prompt_backlog: backlog.sum(),
            prompt_rate: self.prompt_rate,
            token_rate: self.token_rate,
            age_ms: 0,
        }
    }

    /// KV cache of a stream whose prompt is read.
    #[must_use]
    pub fn export(&self, attempt: &AttemptId) -> Option<KvCache> {
        let stream = self.streams.get(attempt)?;
        let read = matches!(stream.phase, StreamPhase::Decode | StreamPhase::Ended);
        read.then(|| KvCache {
            prompt: stream.request.prompt.clone(),
            tokens: stream.prompt_tokens as usize,
        })
    }

    /// Keeps a KV cache until its stream starts.
    pub fn import(&mut self, attempt: AttemptId, kv: KvCache) {
        self.imports.push_back((attempt, kv));
        if self.imports.len() > MAX_IMPORTS {
            self.imports.pop_front();
        }
    }
}

fn smooth(rate: &mut f64, newest: f64) {
    *rate += (newest - *rate) * RATE_SMOOTHING;
}

fn count_words(bytes: &[u8]) -> u32 {
    let words = bytes
        .split(u8::is_ascii_whitespace)
        .filter(|word| !word.is_empty());
    u32::try_from(words.count()).unwrap_or(u32::MAX)
}
