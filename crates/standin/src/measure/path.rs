//! Latency that the request path adds to a direct call of the engine. Both are measured
//! alternately, one stream at a time.

use std::path::Path;
use std::time::{Duration, Instant};

use eyre::OptionExt;
use wire::engine::EngineState;

use super::RoundSpread;
use super::chat::{StreamTimes, open_engine_stream, open_entry_stream, read_stream_times};
use crate::stack::{StackPlan, TestStack};

/// Pairs of streams per round.
const PAIRS_PER_ROUND: usize = 60;

/// Tokens per stream.
const TOKENS_PER_STREAM: u32 = 32;

/// Text that occurs exactly once in each token event of a completion.
pub const ENTRY_TOKEN_MARKER: &str = "\"finish_reason\":null";

/// Text that occurs exactly once in each token event of an engine.
const ENGINE_TOKEN_MARKER: &str = "\"event\":\"token\"";

/// Runs the measurement and prints the results.
///
/// # Errors
///
/// Returns an error if a stream fails.
pub async fn run(binary: &Path, rounds: usize) -> eyre::Result<()> {
    let stack = StackPlan::new("measure-path", binary)
        .entries(1)
        .step_us(4_000)
        .start()
        .await;
    let engine = leader_engine(&stack).await?;
    let mut added_first = Vec::new();
    let mut first_ratio = Vec::new();
    let mut added_gap = Vec::new();
    let mut gap_ratio = Vec::new();
    for round in 0..rounds {
        let (path, direct) = measure_round(&stack, &engine, round).await?;
        added_first.push(path.first - direct.first);
        first_ratio.push(path.first / direct.first);
        added_gap.push(path.gap - direct.gap);
        gap_ratio.push(path.gap / direct.gap);
    }
    println!(
        "request path compared with a direct call of the engine, {rounds} rounds of {PAIRS_PER_ROUND} pairs,"
    );
    println!(
        "{TOKENS_PER_STREAM} tokens each, one stream at a time; median round (lowest to highest)"
    );
    let line = |name: &str, added: &[f64], ratio: &[f64]| {
        let (added, ratio) = (RoundSpread::of(added), RoundSpread::of(ratio));
        println!("  {name}: added {added:.3} ms, ratio {ratio:.3}");
    };
    line("time to first token", &added_first, &first_ratio);
    line("time between tokens", &added_gap, &gap_ratio);
    Ok(())
}

/// Median times of one round in milliseconds.
struct RoundTimes {
    first: f64,
    gap: f64,
}

impl RoundTimes {
    fn of(streams: &[StreamTimes]) -> Self {
        let median = |time: fn(&StreamTimes) -> Duration| {
            let times: Vec<f64> = streams
                .iter()
                .map(|stream| time(stream).as_secs_f64() * 1_000.0)
                .collect();
            RoundSpread::of(&times).median
        };
        Self {
            first: median(|stream| stream.first),
            gap: median(|stream| stream.gap),
        }
    }
}

async fn measure_round(
    stack: &TestStack,
    engine: &EngineState,
    round: usize,
) -> eyre::Result<(RoundTimes, RoundTimes)> {
    let entry = stack.entries[0].address;
    let mut path = Vec::new();
    let mut direct = Vec::new();
    for pair in 0..PAIRS_PER_ROUND {
        let started = Instant::now();
        let response = open_entry_stream(stack, entry, TOKENS_PER_STREAM).await?;
        path.push(
            read_stream_times(response, ENTRY_TOKEN_MARKER, TOKENS_PER_STREAM, started).await?,
        );
        let attempt = format!("direct.{round}.{pair}");
        let started = Instant::now();
        let response = open_engine_stream(stack, engine, &attempt, TOKENS_PER_STREAM).await?;
        direct.push(
            read_stream_times(response, ENGINE_TOKEN_MARKER, TOKENS_PER_STREAM, started).await?,
        );
    }
    Ok((RoundTimes::of(&path), RoundTimes::of(&direct)))
}

async fn leader_engine(stack: &TestStack) -> eyre::Result<EngineState> {
    let replicas = stack.replica_engines().await;
    let members = replicas
        .values()
        .next()
        .ok_or_eyre("no engine reports a replica")?;
    Ok(stack.engine_state(members[0]).await)
}
