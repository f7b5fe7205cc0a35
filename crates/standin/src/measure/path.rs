//! What the path adds to an engine called directly: both ways in turns, one stream at a time.

use std::path::Path;
use std::time::{Duration, Instant};

use eyre::OptionExt;
use wire::engine::EngineState;

use super::RoundSpread;
use super::chat::{StreamTimes, open_direct, open_path, read_times};
use crate::stack::{StackPlan, TestStack};

/// Pairs of streams in a round.
const PAIRS: usize = 60;

/// Tokens of a stream.
const TOKENS: u32 = 32;

/// Text that stands once in each token's event of a completion.
pub const PATH_MARK: &str = "\"finish_reason\":null";

/// Text that stands once in each token's event of an engine.
const DIRECT_MARK: &str = "\"event\":\"token\"";

/// Measures and prints.
///
/// # Errors
///
/// When a stream fails.
pub async fn run(product: &Path, rounds: usize) -> eyre::Result<()> {
    let stack = StackPlan::new("measure-path", product)
        .entries(1)
        .step_us(4_000)
        .start()
        .await;
    let engine = leading_engine(&stack).await?;
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
    println!("path against the engine called directly, {rounds} rounds of {PAIRS} pairs,");
    println!("{TOKENS} tokens each, one stream at a time; median round (lowest to highest)");
    let line = |name: &str, added: &[f64], ratio: &[f64]| {
        let (added, ratio) = (RoundSpread::of(added), RoundSpread::of(ratio));
        println!("  {name}: added {added:.3} ms, ratio {ratio:.3}");
    };
    line("time to first token", &added_first, &first_ratio);
    line("time between tokens", &added_gap, &gap_ratio);
    Ok(())
}

/// Medians of one round in milliseconds.
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
    for pair in 0..PAIRS {
        let started = Instant::now();
        let answer = open_path(stack, entry, TOKENS).await?;
        path.push(read_times(answer, PATH_MARK, TOKENS, started).await?);
        let attempt = format!("direct.{round}.{pair}");
        let started = Instant::now();
        let answer = open_direct(stack, engine, &attempt, TOKENS).await?;
        direct.push(read_times(answer, DIRECT_MARK, TOKENS, started).await?);
    }
    Ok((RoundTimes::of(&path), RoundTimes::of(&direct)))
}

async fn leading_engine(stack: &TestStack) -> eyre::Result<EngineState> {
    let replicas = stack.replica_engines().await;
    let members = replicas.values().next().ok_or_eyre("no replica")?;
    Ok(stack.engine_state(members[0]).await)
}
