//! All streams of an engine: those that wait and those in the batch.

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

/// Maximum imported KV caches that wait for their stream; the oldest is dropped above it.
const MAX_IMPORTS: usize = 64;

/// Smoothing factor of the reported rates, an exponential moving average over steps.
const RATE_SMOOTHING: f64 = 0.2;

/// KV cache that is transferred between engines; opaque to everything else.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvCache {
    prompt: String,
    tokens: usize,
}

/// Streams by attempt, with the prefix cache and the measured rates.
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
    /// Creates an empty pool with `slots` streams in the batch and `queue` waiting ones; a stream
    /// without a reader is kept for `linger`.
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

    /// Returns the prefix cache.
    #[must_use]
    pub fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    fn count(&self, matches: impl Fn(StreamPhase) -> bool) -> usize {
        let phases = self.streams.values().map(|stream| stream.phase);
        phases.filter(|phase| matches(*phase)).count()
    }

    /// Returns whether batch and queue are full.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let unfinished = self.count(|phase| phase != StreamPhase::Ended);
        unfinished >= self.slots + self.queue
    }

    /// Queues a stream and attaches the caller as its reader.
    pub fn start(&mut self, request: StreamRequest, now: Instant) -> WebResponse {
        self.arrivals += 1;
        let attempt = request.attempt.clone();
        let from = u32::try_from(request.generated_tokens.len()).unwrap_or(u32::MAX);
        let mut stream = EngineStream::new(request, self.arrivals, now);
        let response = stream.attach(from, now);
        self.streams.insert(attempt, stream);
        response
    }

    /// Attaches a new reader from token index `from`; `None` if the stream is no longer kept.
    pub fn resume(&mut self, attempt: &AttemptId, from: u32, now: Instant) -> Option<WebResponse> {
        let stream = self.streams.get_mut(attempt)?;
        Some(stream.attach(from, now))
    }

    /// Removes a stream; its reader sees the connection end without a final event.
    pub fn cancel(&mut self, attempt: &AttemptId) {
        self.streams.remove(attempt);
    }

    /// Removes every stream; their readers see the connection end without a final event.
    pub fn clear(&mut self) {
        self.streams.clear();
        self.imports.clear();
    }

    /// Fails one stream, unless it has ended.
    pub fn fail(&mut self, attempt: &AttemptId, reason: &str, now: Instant) {
        if let Some(stream) = self.streams.get_mut(attempt) {
            stream.fail(reason);
            stream.flush(now);
        }
    }

    /// Fails every stream that has not ended.
    pub fn fail_all(&mut self, reason: &str, now: Instant) {
        for stream in self.streams.values_mut() {
            stream.fail(reason);
            stream.flush(now);
        }
    }

    /// Returns whether any stream has tokens to generate or events to send.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.streams.values().any(EngineStream::is_busy)
    }

    /// Admits waiting streams to the batch and returns the work of the next step.
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

    /// Moves waiting streams into free slots: higher priority first, then in order of arrival.
    fn admit_waiting(&mut self) {
        let is_waiting = |phase| phase == StreamPhase::Waiting;
        let running = self.count(|phase| !is_waiting(phase) && phase != StreamPhase::Ended);
        let mut waiting: Vec<_> = self
            .streams
            .iter()
            .filter(|(_, stream)| is_waiting(stream.phase))
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
        // Tokens that the caller already has are prefilled like a prompt.
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

    /// Returns the current load.
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

    /// Returns the KV cache of a stream; `None` until its prefill is complete.
    #[must_use]
    pub fn export(&self, attempt: &AttemptId) -> Option<KvCache> {
        let stream = self.streams.get(attempt)?;
        let read = matches!(stream.phase, StreamPhase::Decode | StreamPhase::Ended);
        read.then(|| KvCache {
            prompt: stream.request.prompt.clone(),
            tokens: stream.prompt_tokens as usize,
        })
    }

    /// Stores a KV cache until its stream is admitted to the batch.
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
